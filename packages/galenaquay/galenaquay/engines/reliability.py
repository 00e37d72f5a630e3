"""Estimates the failure rate and the slowdown of every endpoint.

The estimates are based on the outcomes of requests, since an endpoint may
report that it is healthy and still fail. They decay over time, so that an
endpoint that has recovered is used again.
"""

from collections.abc import Callable
import dataclasses
import math
import time
from typing import Final

from .. import ids

# Time constant of the exponential decay of the statistics, in seconds.
DECAY_S: Final = 6.0
# Numbers of requests and of failed requests that are added to the counts of
# every endpoint, so that the first results do not decide the failure rate.
PRIOR_REQUESTS: Final = 1.5
PRIOR_FAILURES: Final = 0.02
# Bounds of the factor by which an answer is slower than expected.
MIN_SLOWDOWN: Final = 0.7
MAX_SLOWDOWN: Final = 12.0
# Weight of the newest answer in the moving average of the slowdown.
SLOWDOWN_WEIGHT: Final = 0.4


@dataclasses.dataclass
class _Record:
    # Number of requests and number of failed ones, both decayed.
    requests: float = 0.0
    failures: float = 0.0
    # Factor by which answers are slower than expected; decays towards 1.
    slowdown: float = 1.0
    # When the values were last decayed.
    updated_at_s: float = 0.0


class Reliability:
    """The failure rate and the slowdown of each endpoint."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._records: dict[ids.EndpointId, _Record] = {}

    def _decayed(self, endpoint_id: ids.EndpointId) -> _Record:
        now_s = self._clock()
        record = self._records.setdefault(
            endpoint_id, _Record(updated_at_s=self._clock())
        )
        decay = math.exp((record.updated_at_s - now_s) / DECAY_S)
        record.requests *= decay
        record.failures *= decay
        record.slowdown = 1 + (record.slowdown - 1) * decay
        record.updated_at_s = now_s
        return record

    def record_success(self, endpoint_id: ids.EndpointId) -> None:
        """Counts a successful request."""
        self._decayed(endpoint_id).requests += 1

    def record_failure(
        self, endpoint_id: ids.EndpointId, weight: float = 1
    ) -> None:
        """Counts a failed request; a weight below 1 counts it in part."""
        record = self._decayed(endpoint_id)
        record.requests += weight
        record.failures += weight

    def record_duration(
        self, endpoint_id: ids.EndpointId, took_s: float, expected_s: float
    ) -> None:
        """Updates the slowdown by the time that an answer took."""
        ratio = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, took_s / expected_s))
        record = self._decayed(endpoint_id)
        record.slowdown += (ratio - record.slowdown) * SLOWDOWN_WEIGHT

    def failure_chance(self, endpoint_id: ids.EndpointId) -> float:
        """Returns the probability that the next request fails, from 0 to 1."""
        if endpoint_id not in self._records:
            return PRIOR_FAILURES / PRIOR_REQUESTS
        record = self._decayed(endpoint_id)
        return (record.failures + PRIOR_FAILURES) / (
            record.requests + PRIOR_REQUESTS
        )

    def slowdown(self, endpoint_id: ids.EndpointId) -> float:
        """Returns the factor by which answers are slower than expected."""
        if endpoint_id not in self._records:
            return 1.0
        return self._decayed(endpoint_id).slowdown
