"""Limits the request rate to endpoints in cold start.

The rate that an endpoint can sustain is divided evenly among the VMs, so that
the VMs need no coordination. With many VMs, only a few VMs of each zone send
requests to a given endpoint in cold start.
"""

from collections.abc import Callable
import time
from typing import Final

from .. import ids

# Smallest and largest number of VMs by which a rate is divided.
MIN_VMS: Final = 8
MAX_VMS: Final = 16
# Number of requests that a VM may send at once to an endpoint to which the VM
# has sent none recently.
BURST: Final = 1.0


class ColdStartLimiter:
    """Token buckets of this VM for endpoints in cold start."""

    # Number of VMs that are known to divide the rates.
    vm_count: int

    def __init__(
        self,
        is_chosen: Callable[[ids.EndpointId], bool] = lambda _: True,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.vm_count = 1
        # Returns whether this VM may send to an endpoint in cold start.
        self._is_chosen = is_chosen
        self._clock = clock
        self._buckets: dict[ids.EndpointId, tuple[float, float]] = {}

    def _available(self, endpoint_id: ids.EndpointId, per_s: float) -> float:
        now_s = self._clock()
        left, updated_at_s = self._buckets.get(endpoint_id, (BURST, now_s))
        share_per_s = per_s / min(MAX_VMS, max(MIN_VMS, self.vm_count))
        return min(BURST, left + (now_s - updated_at_s) * share_per_s)

    def may_send(self, endpoint_id: ids.EndpointId, per_s: float) -> bool:
        """Returns whether this VM may send one more request to an endpoint.

        Args:
            endpoint_id: The endpoint in cold start.
            per_s: Requests per second that the endpoint can sustain from all
                VMs together.
        """
        if not self._is_chosen(endpoint_id):
            return False
        return self._available(endpoint_id, per_s) >= 1

    def record_sent(self, endpoint_id: ids.EndpointId, per_s: float) -> None:
        """Counts a request that this VM sends to an endpoint in cold start."""
        left = self._available(endpoint_id, per_s)
        self._buckets[endpoint_id] = (left - 1, self._clock())
