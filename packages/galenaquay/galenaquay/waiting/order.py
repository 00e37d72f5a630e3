"""The order in which the waiting requests of one pool get capacity."""

from collections.abc import Iterable
import dataclasses
from typing import Final

from .. import ids

# A request counts as one class more urgent for each interval that it has
# waited, in seconds. Large prompts that need many engines at once would
# otherwise wait behind small ones until their time is over.
AGEING_INTERVAL_S: Final = 3.0
# Time before its latest start in which a request that does not fit is no
# longer overtaken by smaller ones, in seconds.
NEAR_S: Final = 0.5
# The latest start is computed for this multiple of the estimated time, and a
# fixed time earlier, in seconds: estimates come from loads that are out of
# date, and a request is tried only at intervals.
ESTIMATE_FACTOR: Final = 1.3
EARLIER_S: Final = 0.4


@dataclasses.dataclass(frozen=True)
class Need:
    """What a request needs, and when; times are on the event loop's clock."""

    priority_class: ids.PriorityClass
    arrived_at_s: float
    # When the first event is due, and when the caller stops waiting.
    target_at_s: float
    deadline_s: float
    # Time to the first event on idle engines that are not kept for short
    # prompts, and on all engines, in seconds.
    idle_first_event_s: float
    idle_fastest_s: float
    # Time from the first event to the last, in seconds.
    decode_s: float
    # Prefill time of the whole prompt on one engine, in seconds.
    prefill_s: float

    @property
    def target_start_s(self) -> float:
        """The latest start that meets the target, with a margin."""
        first_event_s = (self.idle_first_event_s + self.idle_fastest_s) / 2
        return self.target_at_s - (first_event_s * ESTIMATE_FACTOR + EARLIER_S)

    @property
    def last_target_start_s(self) -> float:
        """The latest start that meets the target on idle engines."""
        return self.target_at_s - self.idle_fastest_s

    @property
    def limit_start_s(self) -> float:
        """The latest start that ends within the time limit, with a margin."""
        return self.deadline_s - (
            (self.idle_first_event_s + self.decode_s) * ESTIMATE_FACTOR
            + EARLIER_S
        )

    def slack_s(self, now_s: float) -> float:
        """Returns the time to the latest start.

        That is the start for the target or, once the target cannot be met, for
        the time limit.
        """
        if now_s <= self.last_target_start_s:
            return self.target_start_s - now_s
        return self.limit_start_s - now_s

    def aged_class(self, now_s: float) -> ids.PriorityClass:
        """Returns the class, more urgent by the time waited."""
        aged_by = int((now_s - self.arrived_at_s) / AGEING_INTERVAL_S)
        return ids.PriorityClass(max(0, self.priority_class - aged_by))


def sort_key(need: Need, now_s: float) -> tuple[int, float, float]:
    """Returns the key by which waiting requests are sorted, first ones first.

    Requests are sorted by class, then by slack, then by size.
    """
    return need.aged_class(now_s), need.slack_s(now_s), need.prefill_s


def is_behind(need: Need, ahead: Iterable[Need], now_s: float) -> bool:
    """Returns whether a request may not overtake one that does not fit.

    Args:
        need: The request.
        ahead: Requests that come first in the order and do not fit now.
        now_s: The current time.
    """
    return any(
        other.priority_class <= need.priority_class
        and (
            other.prefill_s <= need.prefill_s or other.slack_s(now_s) <= NEAR_S
        )
        for other in ahead
    )
