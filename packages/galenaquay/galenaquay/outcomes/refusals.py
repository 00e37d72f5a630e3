"""The Retry-After time of refused requests."""

import random
from typing import Final

# Bounds of the random Retry-After time, in seconds. The time is random so that
# refused callers do not all retry at the same moment.
RETRY_AFTER_MIN_S: Final = 0.2
RETRY_AFTER_MAX_S: Final = 0.7
# Part of the time until endpoints take requests again over which callers
# return afterwards.
SPREAD_SHARE: Final = 0.25
# Retry-After time of prompts that crash engines, in seconds. They stay refused
# for much longer than callers of other refused requests should wait.
QUARANTINE_RETRY_AFTER_S: Final = 60.0


def draw_retry_after_s(rng: random.Random, wait_s: float = 0.0) -> float:
    """Returns a random time after which a caller may retry, in seconds.

    Args:
        rng: The source of randomness.
        wait_s: Time until some endpoint takes requests again, in seconds. The
            callers of all requests that are refused meanwhile return spread
            over a time that grows with it.
    """
    return wait_s + rng.uniform(
        RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S + wait_s * SPREAD_SHARE
    )
