"""This process's view of the VMs, their roles and the engines' loads.

Combines the published VM list with the state that peers report in their
heartbeats. The module `heartbeats` sends the heartbeats, and the package
`limits` holds the shares of engines' memory.
"""

from collections.abc import Callable, Mapping, Sequence
import dataclasses
import enum
import time
from typing import Final

from galenaquay_api import peer_pb2

from .. import ids
from ..configuration import documents
from ..configuration import versions
from ..limits import shares
from . import ranks

# Number of heartbeat intervals without a heartbeat after which a peer is
# suspect.
SUSPECT_INTERVALS: Final = 3
# Number of VMs that own an engine's memory.
OWNERS: Final = 2
# Number of VMs in each zone that watch the platform.
WATCHERS: Final = 2
# Bits of the field `state` of an EngineLoad message.
STATE_COLD: Final = 1
STATE_UNREACHABLE: Final = 2
# Age after which an engine's reported load is ignored, in seconds.
LOAD_VALID_S: Final = 25.0


class PeerStatus(enum.Enum):
    """Liveness of a peer as this process sees it."""

    UNHEARD = 'unheard'
    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'


@dataclasses.dataclass
class PeerState:
    """The state that one peer reported in its latest heartbeat."""

    vm_id: ids.VmId
    incarnation: ids.Incarnation = ids.Incarnation(0)
    heard_at_s: float = float('-inf')
    config_version: int = 0
    list_version: int = 0
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True)
class Load:
    """An engine's load as its owner last reported it."""

    endpoint_id: ids.EndpointId
    free_tokens: int
    backlog_tokens: int
    # The part of the backlog that consists of short prompts.
    short_backlog_tokens: int
    waiting: int
    streams: int
    is_cold: bool
    is_reachable: bool
    heard_at_s: float


class View:
    """The VMs of the zone, their state and their roles, as known here."""

    # This process.
    me: shares.ProcessId
    zone: ids.ZoneName
    # Documents in force.
    configs: versions.DocumentInForce[documents.Document]
    lists: versions.DocumentInForce[documents.VmList]
    # The other VMs of the zone that have sent a heartbeat, by their id.
    peers_by_id: dict[ids.VmId, PeerState]
    # Latest load that an owner reported, by engine.
    loads_by_endpoint: dict[ids.EndpointId, Load]
    # Whether this process is shutting down.
    is_leaving: bool
    # Time between two heartbeats to one peer, in seconds.
    interval_s: float

    def __init__(
        self,
        me: shares.ProcessId,
        zone: ids.ZoneName,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.me = me
        self.zone = zone
        self.configs = versions.DocumentInForce(documents.Document)
        self.lists = versions.DocumentInForce(documents.VmList)
        self.peers_by_id = {}
        self.loads_by_endpoint = {}
        self.is_leaving = False
        self.interval_s = 0.5
        self.clock = clock
        self._ranked_by_role: dict[str, Sequence[ids.VmId]] = {}
        self._ranked_basis: tuple[object, ...] = ()
        self._fleet_ranked_by_role: dict[str, Sequence[ids.VmId]] = {}
        self._fleet_ranked_version = 0

    # Members.

    def listed_vms(self) -> Mapping[ids.VmId, documents.Vm]:
        """Returns the VMs of the list in force by their id, in all zones."""
        vm_list = self.lists.document
        return {} if vm_list is None else vm_list.vms_by_id

    def zone_peers(self) -> list[documents.Vm]:
        """Returns the other VMs listed in this zone, live or leaving."""
        return [
            vm
            for vm_id, vm in self.listed_vms().items()
            if vm.zone == self.zone and vm_id != self.me.vm_id
        ]

    def status_of(self, vm_id: ids.VmId) -> PeerStatus:
        """Returns the liveness of a peer."""
        peer = self.peers_by_id.get(vm_id)
        if peer is None or peer.incarnation == 0:
            return PeerStatus.UNHEARD
        silent_s = self.clock() - peer.heard_at_s
        if silent_s > SUSPECT_INTERVALS * self.interval_s:
            return PeerStatus.SUSPECT
        return PeerStatus.LEAVING if peer.is_leaving else PeerStatus.ALIVE

    def is_gone(self, process: shares.ProcessId) -> bool:
        """Tells whether a process has certainly ended.

        The platform has terminated a VM that is no longer in its list. A
        heartbeat with another incarnation from the same VM proves that the
        earlier process on that VM has ended.
        """
        if process == self.me:
            return False
        if process.vm_id == self.me.vm_id:
            return True
        if self.lists.document is None:
            return False
        if process.vm_id not in self.listed_vms():
            return True
        peer = self.peers_by_id.get(process.vm_id)
        if peer is None or peer.incarnation == 0:
            return False
        return peer.incarnation != process.incarnation

    def record_heartbeat(
        self, sender: shares.ProcessId, heartbeat: peer_pb2.HeartbeatRequest
    ) -> None:
        """Records the state and the loads that a heartbeat reports."""
        peer = self.peers_by_id.setdefault(
            sender.vm_id, PeerState(sender.vm_id)
        )
        peer.incarnation = sender.incarnation
        peer.heard_at_s = self.clock()
        peer.config_version = heartbeat.config_version
        peer.list_version = heartbeat.list_version
        peer.is_leaving = heartbeat.leaving
        for load in heartbeat.loads:
            self.set_load(_load_from_message(load, peer.heard_at_s))

    def set_load(self, load: Load) -> None:
        """Records the latest load of an engine."""
        self.loads_by_endpoint[load.endpoint_id] = load

    def load_of(self, endpoint_id: ids.EndpointId) -> Load | None:
        """Returns an engine's load, None if it is older than LOAD_VALID_S."""
        load = self.loads_by_endpoint.get(endpoint_id)
        if load is None or self.clock() - load.heard_at_s > LOAD_VALID_S:
            return None
        return load

    # Owners and other roles.

    def _leaving_ids(self) -> frozenset[ids.VmId]:
        leaving = {p.vm_id for p in self.peers_by_id.values() if p.is_leaving}
        if self.is_leaving:
            leaving.add(self.me.vm_id)
        return frozenset(leaving)

    def rank(
        self, role: str, zone: ids.ZoneName, count: int
    ) -> Sequence[ids.VmId]:
        """Returns the VMs of a zone that hold a role, in order of rank.

        Only VMs that are live in the published list are ranked. VMs that
        are shutting down are left out, unless all live VMs of the zone are
        shutting down.
        """
        basis = (self.lists.version, self._leaving_ids())
        if basis != self._ranked_basis:
            self._ranked_basis = basis
            self._ranked_by_role = {}
        ranked = self._ranked_by_role.get(role)
        if ranked is None:
            vm_list = self.lists.document
            live = [] if vm_list is None else vm_list.live_in_zone(zone)
            leaving = self._leaving_ids()
            staying = [vm_id for vm_id in live if vm_id not in leaving]
            ranked = ranks.rank_vms(role, staying or live, count)
            self._ranked_by_role[role] = ranked
        return ranked

    def rank_fleet(self, role: str, count: int) -> Sequence[ids.VmId]:
        """Returns the VMs of all zones that hold a role, in order of rank."""
        basis = self.lists.version
        if basis != self._fleet_ranked_version:
            self._fleet_ranked_version = basis
            self._fleet_ranked_by_role = {}
        ranked = self._fleet_ranked_by_role.get(role)
        if ranked is None:
            ranked = ranks.rank_vms(
                role, _live_vm_ids(self.lists.document), count
            )
            self._fleet_ranked_by_role[role] = ranked
        return ranked

    def previous_live_vms(self) -> list[ids.VmId]:
        """Returns the live VMs of the list before the one in force."""
        return _live_vm_ids(self.lists.previous)

    def owners(self, endpoint: documents.Endpoint) -> Sequence[ids.VmId]:
        """Returns the first and second owner of an engine's memory."""
        role = ranks.engine_role(ids.EndpointId(endpoint.id))
        return self.rank(role, ids.ZoneName(endpoint.zone), OWNERS)

    def wanted_shares(self) -> list[shares.ShareKey]:
        """Returns the shares of engines' memory that this VM should hold."""
        document = self.configs.document
        if document is None or self.is_leaving:
            return []
        return [
            shares.ShareKey(ids.EndpointId(endpoint.id), slot)
            for endpoint in self.zone_engines(document)
            for slot in shares.wanted_slots(
                self.owners(endpoint), self.me.vm_id
            )
        ]

    def zone_engines(
        self, document: documents.Document
    ) -> list[documents.Endpoint]:
        """Returns the engines of this zone."""
        return [
            endpoint
            for endpoint in document.endpoints
            if endpoint.zone == self.zone
            and endpoint.kind is documents.EndpointKind.ENGINE
        ]

    def is_watcher(self) -> bool:
        """Tells whether this process is a platform watcher of its zone."""
        role = ranks.watch_role(self.zone)
        return self.me.vm_id in self.rank(role, self.zone, WATCHERS)


def _live_vm_ids(vm_list: documents.VmList | None) -> list[ids.VmId]:
    if vm_list is None:
        return []
    return [
        vm_id
        for vm_id, vm in vm_list.vms_by_id.items()
        if vm.state is documents.VmState.LIVE
    ]


def _load_from_message(
    message: peer_pb2.EngineLoad, heard_at_s: float
) -> Load:
    return Load(
        endpoint_id=ids.EndpointId(message.endpoint_id),
        free_tokens=message.free_tokens,
        backlog_tokens=message.prefill_backlog_tokens,
        short_backlog_tokens=message.short_backlog_tokens,
        waiting=message.waiting,
        streams=message.streams,
        is_cold=bool(message.state & STATE_COLD),
        is_reachable=not message.state & STATE_UNREACHABLE,
        heard_at_s=heard_at_s,
    )


def load_message(load: Load) -> peer_pb2.EngineLoad:
    """Converts a load to the message that heartbeats carry."""
    state = STATE_COLD if load.is_cold else 0
    if not load.is_reachable:
        state |= STATE_UNREACHABLE
    return peer_pb2.EngineLoad(
        endpoint_id=load.endpoint_id,
        free_tokens=max(0, load.free_tokens),
        prefill_backlog_tokens=load.backlog_tokens,
        short_backlog_tokens=load.short_backlog_tokens,
        waiting=load.waiting,
        streams=load.streams,
        state=state,
    )
