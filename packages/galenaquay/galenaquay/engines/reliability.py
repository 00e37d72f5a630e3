"""How often endpoints fail and how much slower than expected they are.

Learned from answers, since an endpoint may call itself healthy and fail, and
forgotten with time, so that one that has recovered is tried again.
"""

from collections.abc import Callable
import dataclasses
import math
import time
from typing import Final

from .. import ids

# Time in which what was learned loses most of its weight, in seconds.
MEMORY_S: Final = 6.0
# Answers that an endpoint is taken to have given before the first.
PRIOR_ANSWERS: Final = 1.5
PRIOR_FAILURES: Final = 0.02
# Bounds on the factor by which an endpoint is slower than expected.
MIN_PACE: Final = 0.7
MAX_PACE: Final = 12.0
# Weight of the newest answer in the pace.
PACE_WEIGHT: Final = 0.4


@dataclasses.dataclass
class _Record:
    answers: float = 0.0
    failures: float = 0.0
    pace: float = 1.0
    at_s: float = 0.0


class Reliability:
    """What answers have told about each endpoint."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._records: dict[ids.EndpointId, _Record] = {}

    def _fresh(self, endpoint_id: ids.EndpointId) -> _Record:
        now_s = self._clock()
        record = self._records.setdefault(
            endpoint_id, _Record(at_s=self._clock())
        )
        kept = math.exp((record.at_s - now_s) / MEMORY_S)
        record.answers *= kept
        record.failures *= kept
        record.pace = 1 + (record.pace - 1) * kept
        record.at_s = now_s
        return record

    def succeeded(self, endpoint_id: ids.EndpointId) -> None:
        """Counts an answer."""
        self._fresh(endpoint_id).answers += 1

    def failed(self, endpoint_id: ids.EndpointId, weight: float = 1) -> None:
        """Counts a failure."""
        record = self._fresh(endpoint_id)
        record.answers += weight
        record.failures += weight

    def took(
        self, endpoint_id: ids.EndpointId, took_s: float, expected_s: float
    ) -> None:
        """Compares the time that an answer took with what was expected."""
        ratio = min(MAX_PACE, max(MIN_PACE, took_s / expected_s))
        record = self._fresh(endpoint_id)
        record.pace += (ratio - record.pace) * PACE_WEIGHT

    def failure_chance(self, endpoint_id: ids.EndpointId) -> float:
        """Returns the chance that the next request fails, 0 to 1."""
        if endpoint_id not in self._records:
            return PRIOR_FAILURES / PRIOR_ANSWERS
        record = self._fresh(endpoint_id)
        return (record.failures + PRIOR_FAILURES) / (
            record.answers + PRIOR_ANSWERS
        )

    def pace(self, endpoint_id: ids.EndpointId) -> float:
        """Returns how many times slower than expected it is."""
        if endpoint_id not in self._records:
            return 1.0
        return self._fresh(endpoint_id).pace
