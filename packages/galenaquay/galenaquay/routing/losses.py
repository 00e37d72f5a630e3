"""Losses of callers by late answers and by pauses in answers.

Values are those of `placement.answer_value`.
"""

import math
from typing import Final

from ..engines import workload

# Share of an answer's value that is lost if the answer is late.
LATE_LOSS: Final = 0.75
# Midpoint and width of the logistic curve that scales LATE_LOSS by the time to
# the first event, as ratios of that time to the route's target time.
LATENESS_MIDPOINT: Final = 0.85
LATENESS_WIDTH: Final = 0.12
# Midpoint and width of the logistic curve that scales LATE_LOSS by the pause
# between two events, as ratios of the pause to the longest pause that the
# caller accepts.
GAP_MIDPOINT: Final = 0.88
GAP_WIDTH: Final = 0.06
# Share of an answer's value that is lost by waiting for the whole target time,
# in addition to the loss for lateness. Grows linearly with the wait.
LINEAR_WAIT_LOSS: Final = 0.05


def _logistic(x: float) -> float:
    return 1 / (1 + math.exp(-max(-30.0, min(30.0, x))))


def wait_loss(first_event_s: float, target_s: float) -> float:
    """Returns the share of a value that is lost by waiting.

    Args:
        first_event_s: Estimated time to the first event, in seconds.
        target_s: Time to the first event that the caller expects, in seconds.
    """
    ratio = first_event_s / target_s
    late = LATE_LOSS * _logistic((ratio - LATENESS_MIDPOINT) / LATENESS_WIDTH)
    return late + LINEAR_WAIT_LOSS * ratio


def gap_loss(gap_s: float, load: workload.EndpointLoad) -> float:
    """Returns the value that decoding requests lose by a pause."""
    return sum(
        group.value
        * LATE_LOSS
        * _logistic((gap_s / group.max_gap_s - GAP_MIDPOINT) / GAP_WIDTH)
        for group in load.decoding_groups
    )
