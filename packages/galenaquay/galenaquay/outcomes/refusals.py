"""When a caller that was refused may return."""

import random
from typing import Final

# Drawn between the two, in seconds, so that callers do not return together.
RETRY_AFTER_MIN_S: Final = 0.2
RETRY_AFTER_MAX_S: Final = 0.7


def draw_retry_after_s(rng: random.Random) -> float:
    """Returns when to try again, in seconds."""
    return rng.uniform(RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S)
