"""Decides whether a request is placed, waits, or is rejected."""

import dataclasses
import enum
from typing import Final

from . import order

# While a request can still wait for a better placement, the estimated time to
# the first event may be at most this share of the time left to the target.
SAFE_SHARE: Final = 0.85

# Share of the time from the arrival of a request to its latest start during
# which its prefill must not cause long pauses in other answers.
SPARING_SHARE: Final = 0.6


class Engines(enum.Enum):
    """The engines that a request may use now."""

    # As `NOT_KEPT`, and only engines on which the prefill causes no pause that
    # is too long for the callers of other requests.
    SPARING = 'sparing'
    # Not those that are kept for short prompts of more urgent classes, except
    # for parts that do not delay these prompts too long.
    NOT_KEPT = 'not kept'
    ANY = 'any'


class Action(enum.Enum):
    """What happens to a request now."""

    PLACE = 'place'
    WAIT = 'wait'
    REJECT = 'reject'


@dataclasses.dataclass(frozen=True)
class Decision:
    """The action, and the reason for waiting or for the rejection."""

    action: Action
    reason: str = ''


PLACE: Final = Decision(Action.PLACE)
TOO_LATE: Final = Decision(Action.REJECT, 'cannot be served in time')
GIVES_WAY: Final = Decision(Action.WAIT, 'more urgent requests wait')
BEHIND: Final = Decision(Action.WAIT, 'earlier requests wait')
NO_ENDPOINT: Final = Decision(Action.WAIT, 'no endpoint can take it')
BUSY: Final = Decision(Action.WAIT, 'endpoints are busy beyond the time limit')
LATE: Final = Decision(Action.WAIT, 'endpoints are busy beyond the target')


def has_aged(need: order.Need, now_s: float) -> bool:
    """Returns whether ageing has raised a request to the most urgent class.

    False for requests that were in this class from the beginning.
    """
    return need.priority_class > 0 and not need.aged_class(now_s)


def usable_engines(need: order.Need, now_s: float) -> Engines:
    """Returns the engines that a request may use now."""
    if not need.priority_class or has_aged(need, now_s):
        return Engines.ANY
    start_s = need.limit_start_s
    if now_s <= need.last_target_start_s:
        start_s = need.target_start_s
    if now_s >= start_s:
        return Engines.ANY
    sparing_s = (start_s - need.arrived_at_s) * SPARING_SHARE
    if now_s < need.arrived_at_s + sparing_s:
        return Engines.SPARING
    return Engines.NOT_KEPT


def decide(
    need: order.Need,
    now_s: float,
    first_event_s: float | None,
    *,
    gives_way: bool,
    is_behind: bool,
) -> Decision:
    """Decides what happens to a request now.

    Args:
        need: The request.
        now_s: The current time.
        first_event_s: Estimated time to the first event on the best of the
            engines that the request may use, in seconds; None if none of them
            can take it.
        gives_way: Whether more urgent requests wait for capacity.
        is_behind: Whether the request may not overtake another one.
    """
    time_left_s = need.deadline_s - now_s
    if need.idle_fastest_s > time_left_s:
        return TOO_LATE
    is_due = (
        need.priority_class > 0 and usable_engines(need, now_s) is Engines.ANY
    )
    if gives_way and not is_due:
        return GIVES_WAY
    if is_behind and not is_due:
        return BEHIND
    if first_event_s is None:
        return NO_ENDPOINT
    if first_event_s > time_left_s:
        return BUSY
    if not need.priority_class or has_aged(need, now_s):
        return PLACE
    target_left_s = need.target_at_s - now_s
    if now_s < need.target_start_s:
        target_left_s *= SAFE_SHARE
    if now_s <= need.last_target_start_s and first_event_s > target_left_s:
        return LATE
    return PLACE
