"""How many requests may be sent a second time, for each service.

Every VM keeps its own budget, so that all together stay within the one that
the operator sets, with nobody to ask.
"""

from collections.abc import Callable
import time
from typing import Final

from .. import ids

# Further attempts that each request allows; below the operator's ratio.
RATIO: Final = 0.15
# Attempts that a service has at the start and may save up.
SAVED: Final = 5.0
# Attempts that come back by themselves, a second.
REFILL_PER_S: Final = 0.3


class AttemptBudget:
    """Counts the further attempts that are left."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._left_by_service: dict[ids.ServiceName, float] = {}
        self._at_s_by_service: dict[ids.ServiceName, float] = {}

    def _refill(self, service: ids.ServiceName) -> float:
        now_s = self._clock()
        elapsed_s = now_s - self._at_s_by_service.get(service, now_s)
        left = self._left_by_service.get(service, SAVED)
        left = min(max(SAVED, left), left + elapsed_s * REFILL_PER_S)
        self._at_s_by_service[service] = now_s
        self._left_by_service[service] = left
        return left

    def earn(self, service: ids.ServiceName) -> None:
        """Counts a request."""
        left = self._refill(service)
        self._left_by_service[service] = min(SAVED * 2, left + RATIO)

    def spend(self, service: ids.ServiceName) -> bool:
        """Takes one further attempt; returns whether there was one."""
        left = self._refill(service)
        if left < 1:
            return False
        self._left_by_service[service] = left - 1
        return True
