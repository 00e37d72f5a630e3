"""The fleet's members, discovered by gossip from a few seed addresses.

Used where the platform publishes no list of VMs. A VM contacts its seeds and
the members that their replies name. A VM works alone as long as it gets no
reply.
"""

from collections.abc import Callable, Iterable, Sequence
import dataclasses
import logging
import time
from typing import Any, Concatenate, Final, ParamSpec, TypeVar

from .. import ids
from . import ranks

LOG: Final = logging.getLogger(__name__)
# Time without a message after which a member counts as gone, in seconds.
MEMBER_TIMEOUT_S: Final = 9.0
# Largest number of VMs that form a full mesh, in which each VM contacts all
# others. In a larger fleet a VM contacts only the hubs of its zone, and hubs
# also contact the hubs of other zones.
MAX_MESH_VMS: Final = 16
# Number of hubs in each zone.
HUBS_PER_ZONE: Final = 2
# Interval between checks for members that have become silent, in seconds.
SILENCE_CHECK_INTERVAL_S: Final = 0.25

_Params = ParamSpec('_Params')
_Result = TypeVar('_Result')


@dataclasses.dataclass(frozen=True)
class Member:
    """One running entry process and its address for other VMs."""

    vm_id: ids.VmId
    incarnation: ids.Incarnation
    # IP address and port.
    address: str
    zone: ids.ZoneName
    # What the VM can do for others, from 0: members with a greater capacity
    # serve the other members of their zone.
    capacity: int = 0


@dataclasses.dataclass(frozen=True)
class GossipEntry:
    """A member as one VM reports it to another VM."""

    member: Member
    # Time since any VM received a message from the member itself, in seconds.
    silent_s: float


@dataclasses.dataclass
class _MemberState:
    member: Member
    # When this VM last received a message from the member; None if not within
    # MEMBER_TIMEOUT_S.
    heard_at_s: float | None
    # When any VM last received a message from the member, as far as known.
    alive_at_s: float


def _until_change(
    method: 'Callable[Concatenate[Fleet, _Params], _Result]',
) -> 'Callable[Concatenate[Fleet, _Params], _Result]':
    """Keeps the result of a method until the set of members changes."""

    def kept(
        fleet: 'Fleet', /, *args: _Params.args, **kwargs: _Params.kwargs
    ) -> _Result:
        fleet._remove_silent()
        key = (method.__name__, args)
        if key not in fleet._kept_results:
            fleet._kept_results[key] = method(fleet, *args, **kwargs)
        result: _Result = fleet._kept_results[key]
        return result

    kept.__doc__ = method.__doc__
    return kept


class Fleet:
    """The known members of the fleet, without this process."""

    def __init__(
        self,
        me: Member,
        seeds: Iterable[str],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.me = me
        self.set_seeds(seeds)
        self._clock = clock
        self._states_by_id: dict[ids.VmId, _MemberState] = {}
        # Incarnation of the latest process that announced its shutdown, by the
        # id of the VM that the process runs on.
        self._leaving_by_id: dict[ids.VmId, ids.Incarnation] = {}
        self._silence_check_at_s = float('-inf')
        # Results of methods, valid until the set of members changes.
        self._kept_results: dict[Any, Any] = {}

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Sets the addresses to start from; ignores the address of this VM."""
        self._seeds = [seed for seed in seeds if seed != self.me.address]

    def _is_leaving(self, member: Member) -> bool:
        return self._leaving_by_id.get(member.vm_id) == member.incarnation

    def record_contact(self, member: Member) -> None:
        """Records that a member has contacted this VM."""
        if member.vm_id == self.me.vm_id or self._is_leaving(member):
            return
        now_s = self._clock()
        state = self._states_by_id.get(member.vm_id)
        if state is None or state.member != member or not state.heard_at_s:
            LOG.info(
                'member heard',
                extra={'member': member.vm_id, 'address': member.address},
            )
        if state is None or state.member != member:
            self._kept_results.clear()
        self._states_by_id[member.vm_id] = _MemberState(member, now_s, now_s)

    def merge_gossip(self, entries: Iterable[GossipEntry]) -> None:
        """Records the members that another VM has reported.

        Only the time of the last message from the member itself counts.
        Otherwise VMs that report a dead member to each other would keep it
        alive forever.
        """
        now_s = self._clock()
        for entry in entries:
            member, alive_at_s = (
                entry.member,
                now_s - entry.silent_s,
            )
            if member.vm_id == self.me.vm_id or self._is_leaving(member):
                continue
            state = self._states_by_id.get(member.vm_id)
            if state is None or (
                state.heard_at_s is None
                and state.member != member
                and state.alive_at_s < alive_at_s
            ):
                state = _MemberState(member, None, alive_at_s)
                self._states_by_id[member.vm_id] = state
                self._kept_results.clear()
            if state.member == member:
                state.alive_at_s = max(state.alive_at_s, alive_at_s)

    def remove_leaving(self, member: Member) -> None:
        """Removes a member that is shutting down.

        From then on this process of the member is ignored, also in gossip.
        """
        if self._is_leaving(member):
            return
        self._leaving_by_id[member.vm_id] = member.incarnation
        self._states_by_id.pop(member.vm_id, None)
        self._kept_results.clear()
        LOG.info('member leaves', extra={'member': member.vm_id})

    def _remove_silent(self) -> None:
        now_s = self._clock()
        if now_s < self._silence_check_at_s:
            return
        self._silence_check_at_s = now_s + SILENCE_CHECK_INTERVAL_S
        oldest_s = now_s - MEMBER_TIMEOUT_S
        for vm_id, state in list(self._states_by_id.items()):
            if state.heard_at_s is not None and state.heard_at_s < oldest_s:
                state.heard_at_s = None
            if state.heard_at_s is None and state.alive_at_s < oldest_s:
                del self._states_by_id[vm_id]
                self._kept_results.clear()
                LOG.info('member silent', extra={'member': vm_id})

    def live_members(self) -> list[Member]:
        """Returns the members that have contacted this VM recently.

        The latest contact is at most MEMBER_TIMEOUT_S ago.
        """
        self._remove_silent()
        return [
            state.member
            for state in self._states_by_id.values()
            if state.heard_at_s is not None
        ]

    @_until_change
    def members(self) -> Sequence[Member]:
        """Returns all members, also those that only other VMs reported."""
        return [state.member for state in self._states_by_id.values()]

    @_until_change
    def members_digest(self) -> int:
        """Returns a digest of the set of all members and this VM."""
        return ranks.digest(
            f'{member.vm_id}/{member.incarnation}'
            for member in (self.me, *self.members())
        )

    def gossip_entries(self) -> list[GossipEntry]:
        """Returns all members, each with the age of its last message."""
        self._remove_silent()
        now_s = self._clock()
        return [
            GossipEntry(state.member, max(0.0, now_s - state.alive_at_s))
            for state in self._states_by_id.values()
        ]

    @_until_change
    def vm_count(self) -> int:
        """Returns the number of known VMs, including this VM."""
        return 1 + len(self._states_by_id)

    def is_mesh(self) -> bool:
        """Tells whether the fleet is small enough for a full mesh."""
        return self.vm_count() <= MAX_MESH_VMS

    @_until_change
    def rank_zone(self, role: str, zone: ids.ZoneName) -> Sequence[Member]:
        """Returns the members of a zone in order of their rank for a role.

        Members with a greater capacity rank higher. The result includes this
        process if it belongs to the zone.
        """
        members_by_id = {
            member.vm_id: member
            for member in (self.me, *self.members())
            if member.zone == zone
        }
        ranked = [
            members_by_id[vm_id]
            for vm_id in ranks.rank_vms(role, members_by_id)
        ]
        return sorted(ranked, key=lambda member: -member.capacity)

    @_until_change
    def hubs(self, zone: ids.ZoneName) -> Sequence[Member]:
        """Returns the members that collect the load reports of a zone.

        The result includes this process if it is a hub of the zone.
        """
        return self.rank_zone(f'hub/{zone}', zone)[:HUBS_PER_ZONE]

    @_until_change
    def preferred_hub(self) -> Member:
        """Returns the hub of this VM's zone that tells it the loads of others.

        The VMs of a zone are spread over its hubs.
        """
        hubs_by_id = {hub.vm_id: hub for hub in self.hubs(self.me.zone)}
        first = ranks.rank_vms(f'loads/{self.me.vm_id}', hubs_by_id, 1)
        return hubs_by_id[first[0]]

    @_until_change
    def zones(self) -> set[ids.ZoneName]:
        """Returns the zones of all members, including the zone of this VM."""
        zones = {state.member.zone for state in self._states_by_id.values()}
        return zones | {self.me.zone}

    @_until_change
    def is_hub(self) -> bool:
        """Tells whether this VM collects the load reports of its zone."""
        return self.me in self.hubs(self.me.zone)

    @_until_change
    def contacts(self) -> Sequence[Member]:
        """Returns the members that this VM sends reports to."""
        if self.is_mesh():
            return self.members()
        zones = self.zones() if self.is_hub() else {self.me.zone}
        contacts = [hub for zone in sorted(zones) for hub in self.hubs(zone)]
        return [member for member in contacts if member != self.me]

    def addresses(self) -> list[str]:
        """Returns the addresses that this VM sends reports to.

        They include the seeds in a full mesh, and in a larger fleet until a
        member of another zone is known.
        """
        addresses = [member.address for member in self.contacts()]
        knows_other_zone = any(
            state.member.zone != self.me.zone
            for state in self._states_by_id.values()
        )
        if self.is_mesh() or not knows_other_zone:
            addresses += self._seeds
        return list(dict.fromkeys(addresses))

    @_until_change
    def zone_peers(self) -> Sequence[Member]:
        """Returns the other members of this VM's zone."""
        return [m for m in self.members() if m.zone == self.me.zone]

    @_until_change
    def vm_ids_by_zone(self) -> dict[ids.ZoneName, frozenset[ids.VmId]]:
        """Returns the known VMs of each zone, including this VM."""
        vm_ids_by_zone = {self.me.zone: {self.me.vm_id}}
        for member in self.members():
            vm_ids_by_zone.setdefault(member.zone, set()).add(member.vm_id)
        return {
            zone: frozenset(vm_ids) for zone, vm_ids in vm_ids_by_zone.items()
        }
