"""Engines that are kept for the short prompts of more urgent classes.

`short_set` selects the engines; the rule here says what a request of a less
urgent class may do there.
"""

import dataclasses
import math
from typing import Final

from ..configuration import priorities

# Time that is left for the prefill of a short prompt after a part of a less
# urgent prompt, in seconds.
SHORT_PREFILL_S: Final = 0.06


@dataclasses.dataclass(frozen=True)
class KeepRule:
    """What a request may do on engines that are kept for short prompts."""

    # Longest pause that callers of the most urgent class accept, in seconds.
    first_class_pause_s: float
    # Longest time for which the engine may be kept from a short prompt, in
    # seconds; infinite if the request may use any engine.
    max_stall_s: float = math.inf


@dataclasses.dataclass(frozen=True)
class IdleEstimate:
    """Times of a request that finds the engines idle."""

    # Time to the first event outside of the engines kept for short prompts,
    # in seconds.
    first_event_s: float
    # Shortest time to the first event on any engines, in seconds.
    fastest_s: float
    # Time from the first event to the last, in seconds.
    decode_s: float


def make_rule(
    limits: priorities.UrgentLimits, *, is_kept_out: bool
) -> KeepRule:
    """Returns the rule for a request.

    Args:
        limits: What callers of more urgent classes accept.
        is_kept_out: Whether engines are kept from the request now.
    """
    if not is_kept_out or limits.tightest_s is None:
        return KeepRule(limits.first_class_pause_s)
    return KeepRule(
        limits.first_class_pause_s, limits.tightest_s - SHORT_PREFILL_S
    )
