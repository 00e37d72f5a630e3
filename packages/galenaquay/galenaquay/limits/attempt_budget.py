"""Retry budget for the requests of each service.

Every VM keeps a budget of its own and needs no coordination. The budgets of
all VMs together stay within the budget that the operator sets.
"""

from collections.abc import Callable
import time
from typing import Final

from .. import ids

# Retries that each request adds to the budget; lower than the ratio of retries
# to requests that the operator allows.
RETRIES_PER_REQUEST: Final = 0.15
# Initial budget of a service, in retries. The refill over time stops here, and
# requests can raise the budget to twice this number.
INITIAL_RETRIES: Final = 5.0
# Retries that are added to the budget over time, per second.
REFILL_PER_S: Final = 0.3


class AttemptBudget:
    """Counts the retries that each service may still make on this VM."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._left_by_service: dict[ids.ServiceName, float] = {}
        self._refilled_at_s_by_service: dict[ids.ServiceName, float] = {}

    def _refill(self, service: ids.ServiceName) -> float:
        now_s = self._clock()
        elapsed_s = now_s - self._refilled_at_s_by_service.get(service, now_s)
        left = self._left_by_service.get(service, INITIAL_RETRIES)
        left = min(max(INITIAL_RETRIES, left), left + elapsed_s * REFILL_PER_S)
        self._refilled_at_s_by_service[service] = now_s
        self._left_by_service[service] = left
        return left

    def earn(self, service: ids.ServiceName) -> None:
        """Credits the budget of a service with one request."""
        left = self._refill(service)
        self._left_by_service[service] = min(
            INITIAL_RETRIES * 2, left + RETRIES_PER_REQUEST
        )

    def left(self, service: ids.ServiceName) -> float:
        """Returns the retries that the budget of a service contains."""
        return self._refill(service)

    def spend(self, service: ids.ServiceName) -> bool:
        """Spends one retry; returns False if the budget is used up."""
        left = self._refill(service)
        if left < 1:
            return False
        self._left_by_service[service] = left - 1
        return True
