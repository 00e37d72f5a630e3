"""The loads in the replies of a hub, summed up once for many replies.

A hub replies to each VM of its zone several times per second, with the loads
of all other VMs. The sums of all VMs are kept for a short time. A reply
differs from them only at the endpoints of the VM that receives it, which are
summed up again without the loads of that VM.
"""

from collections.abc import Callable
import dataclasses
import time
from typing import Final

from galenaquay_api import fleet_pb2

from .. import ids
from ..engines import workload as workload_module
from . import fleet_messages

# Time for which sums are used, in seconds.
SUMS_VALID_S: Final = 0.03


@dataclasses.dataclass(frozen=True)
class _Sums:
    """The loads of all VMs but the excluded ones, as messages."""

    made_at_s: float
    messages_by_id: dict[ids.EndpointId, fleet_pb2.EndpointLoad]
    # What each VM had reported when the sums were made.
    loads_by_peer: dict[ids.VmId, workload_module.PeerLoads]


class ReplyLoads:
    """Makes the loads of replies."""

    def __init__(
        self,
        workload: workload_module.Workload,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._workload = workload
        self._clock = clock
        self._sums_by_excluded: dict[frozenset[ids.VmId], _Sums] = {}

    def messages_for(
        self, receiver: ids.VmId, excluded: frozenset[ids.VmId]
    ) -> list[fleet_pb2.EndpointLoad]:
        """Returns the loads of all but the receiver and the excluded ones."""
        sums = self._sums(excluded)
        changed_ids = self._endpoints_of(receiver, sums)
        if not changed_ids:
            return list(sums.messages_by_id.values())
        messages_by_id = {
            endpoint_id: message
            for endpoint_id, message in sums.messages_by_id.items()
            if endpoint_id not in changed_ids
        }
        loads = self._workload.loads_excluding(
            {receiver, *excluded}, changed_ids
        )
        messages_by_id.update(_messages(loads))
        return list(messages_by_id.values())

    def _endpoints_of(
        self, receiver: ids.VmId, sums: _Sums
    ) -> set[ids.EndpointId]:
        """Returns the endpoints at which the sums contain a VM's jobs.

        These are also those of its latest report, which may be newer.
        """
        endpoint_ids: set[ids.EndpointId] = set()
        for loads in (
            sums.loads_by_peer.get(receiver),
            self._workload.peer_loads(receiver),
        ):
            if loads is not None:
                endpoint_ids.update(loads.by_id)
        return endpoint_ids

    def _sums(self, excluded: frozenset[ids.VmId]) -> _Sums:
        sums = self._sums_by_excluded.get(excluded)
        now_s = self._clock()
        if sums is not None and now_s - sums.made_at_s < SUMS_VALID_S:
            return sums
        self._sums_by_excluded = {
            key: other
            for key, other in self._sums_by_excluded.items()
            if now_s - other.made_at_s < SUMS_VALID_S
        }
        sums = _Sums(
            now_s,
            _messages(self._workload.loads_excluding(excluded)),
            self._workload.all_peer_loads(),
        )
        self._sums_by_excluded[excluded] = sums
        return sums


def _messages(
    loads: dict[ids.EndpointId, workload_module.EndpointLoad],
) -> dict[ids.EndpointId, fleet_pb2.EndpointLoad]:
    return {
        endpoint_id: fleet_messages.load_message(endpoint_id, load)
        for endpoint_id, load in loads.items()
    }
