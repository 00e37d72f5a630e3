"""Keeps the request rates to single endpoints within limits, over all VMs.

Two kinds of endpoints have a limit: those in cold start, by configuration, and
those that name one in their answers. The VMs divide a rate without asking each
other: in each zone the VMs that rank first for an endpoint send to it, each an
even share, and all other VMs leave it out. The smaller a rate, the fewer VMs
and zones divide it, so that each of them may send now and then.
"""

from collections.abc import Callable, Mapping, Sequence
import time
from typing import Final

from .. import ids
from ..membership import fleet as fleet_module
from ..membership import ranks
from . import named_limits as named_limits_module

# Smallest and largest number of VMs by which the rate of an endpoint in cold
# start is divided. The smallest also holds for a VM that knows no other, since
# that VM may only be cut off.
MIN_COLD_VMS: Final = 8
MAX_COLD_VMS: Final = 16
# Number of VMs of each zone that send to an endpoint in cold start, in a fleet
# too large for a full mesh.
COLD_VMS_PER_ZONE: Final = 4
# Smallest share of a named rate by which another VM of a zone may send, in
# requests per second.
MIN_SHARE_PER_S: Final = 1.0
# Number of zones that divide the smallest named rates, and by how much the
# number grows with each request per second. Each sender may be one request
# ahead of its share.
MIN_NAMED_ZONES: Final = 3
NAMED_ZONES_PER_RATE: Final = 2
# Smallest named rate, in requests per second. An endpoint that named none at
# all would get no request whose answer could end the limit.
MIN_NAMED_PER_S: Final = 0.25
# A VM that has sent no request to an endpoint recently may send its share of
# this time at once, in seconds, but at least one request.
BURST_S: Final = 0.25
MIN_BURST: Final = 1.0


class EndpointRates:
    """Token buckets of this VM, one for each endpoint with a limit."""

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        named_limits: named_limits_module.NamedLimits,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._fleet = fleet
        self._named_limits = named_limits
        self._clock = clock
        self._vm_ids_by_zone: Mapping[ids.ZoneName, frozenset[ids.VmId]] = {}
        # This VM's rank for an endpoint among the VMs of its zone, from 0.
        self._rank_by_id: dict[ids.EndpointId, int] = {}
        # The zones in order of their rank for an endpoint.
        self._zones_by_id: dict[ids.EndpointId, Sequence[ids.ZoneName]] = {}
        # Requests left and the time of the last change.
        self._bucket_by_id: dict[ids.EndpointId, tuple[float, float]] = {}
        self.update_members()

    def update_members(self) -> None:
        """Adopts the present members of the fleet."""
        vm_ids_by_zone = self._fleet.vm_ids_by_zone()
        if vm_ids_by_zone != self._vm_ids_by_zone:
            self._vm_ids_by_zone = vm_ids_by_zone
            self._rank_by_id = {}
            self._zones_by_id = {}

    def may_send(
        self, endpoint_id: ids.EndpointId, cold_per_s: float = 0.0
    ) -> bool:
        """Returns whether this VM may send one more request to an endpoint.

        Args:
            endpoint_id: The endpoint.
            cold_per_s: Requests per second that the endpoint takes from all
                VMs together in cold start; 0 if it is not in cold start.
        """
        share_per_s = self._share_per_s(endpoint_id, cold_per_s)
        if share_per_s is None:
            return True
        return self._available(endpoint_id, share_per_s) >= 1

    def record_sent(
        self, endpoint_id: ids.EndpointId, cold_per_s: float = 0.0
    ) -> None:
        """Counts a request that this VM sends, if the endpoint has a limit."""
        share_per_s = self._share_per_s(endpoint_id, cold_per_s)
        if share_per_s is None:
            self._bucket_by_id.pop(endpoint_id, None)
            return
        left = self._available(endpoint_id, share_per_s)
        self._bucket_by_id[endpoint_id] = (left - 1, self._clock())

    def _available(
        self, endpoint_id: ids.EndpointId, share_per_s: float
    ) -> float:
        if not share_per_s:
            return 0.0
        now_s = self._clock()
        burst = max(MIN_BURST, share_per_s * BURST_S)
        left, updated_at_s = self._bucket_by_id.get(
            endpoint_id, (burst, now_s)
        )
        return min(burst, left + (now_s - updated_at_s) * share_per_s)

    def _share_per_s(
        self, endpoint_id: ids.EndpointId, cold_per_s: float
    ) -> float | None:
        """Returns this VM's share of the lowest limit; None without limits."""
        named_per_s = self._named_limits.per_s(endpoint_id)
        shares_per_s = []
        if cold_per_s:
            shares_per_s.append(
                self._cold_share_per_s(endpoint_id, cold_per_s)
            )
        if named_per_s is not None:
            shares_per_s.append(
                self._named_share_per_s(endpoint_id, named_per_s)
            )
        return min(shares_per_s, default=None)

    def _rank(self, endpoint_id: ids.EndpointId) -> int:
        rank = self._rank_by_id.get(endpoint_id)
        if rank is None:
            me = self._fleet.me
            ranked = ranks.rank_vms(endpoint_id, self._vm_ids_by_zone[me.zone])
            rank = self._rank_by_id[endpoint_id] = ranked.index(me.vm_id)
        return rank

    def _cold_share_per_s(
        self, endpoint_id: ids.EndpointId, per_s: float
    ) -> float:
        if (
            not self._fleet.is_mesh()
            and self._rank(endpoint_id) >= COLD_VMS_PER_ZONE
        ):
            return 0.0
        vms = sum(map(len, self._vm_ids_by_zone.values()))
        return per_s / min(MAX_COLD_VMS, max(MIN_COLD_VMS, vms))

    def _named_share_per_s(
        self, endpoint_id: ids.EndpointId, per_s: float
    ) -> float:
        per_s = max(MIN_NAMED_PER_S, per_s)
        zones = self._zones_for(endpoint_id)
        zones = zones[: MIN_NAMED_ZONES + int(per_s * NAMED_ZONES_PER_RATE)]
        per_zone = max(1, int(per_s / len(zones) / MIN_SHARE_PER_S))
        if (
            self._fleet.me.zone not in zones
            or self._rank(endpoint_id) >= per_zone
        ):
            return 0.0
        senders = sum(
            min(per_zone, len(self._vm_ids_by_zone[zone])) for zone in zones
        )
        return per_s / senders

    def _zones_for(
        self, endpoint_id: ids.EndpointId
    ) -> Sequence[ids.ZoneName]:
        """Returns all zones, in order of their rank for an endpoint."""
        zones = self._zones_by_id.get(endpoint_id)
        if zones is None:
            zones = ranks.rank_zones(endpoint_id, self._vm_ids_by_zone)
            self._zones_by_id[endpoint_id] = zones
        return zones
