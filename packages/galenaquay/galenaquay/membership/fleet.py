"""The fleet's members, discovered by gossip from a few seed addresses.

Used where the platform publishes no list of VMs. A VM contacts its seeds and
the members that their replies name. A VM works alone as long as it gets no
reply.
"""

from collections.abc import Callable, Iterable
import dataclasses
import logging
import time
from typing import Final

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


@dataclasses.dataclass(frozen=True)
class Member:
    """One running entry process and its address for other VMs."""

    vm_id: ids.VmId
    incarnation: ids.Incarnation
    # IP address and port.
    address: str
    zone: ids.ZoneName


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
        LOG.info('member leaves', extra={'member': member.vm_id})

    def _remove_silent(self) -> None:
        oldest_s = self._clock() - MEMBER_TIMEOUT_S
        for vm_id, state in list(self._states_by_id.items()):
            if state.heard_at_s is not None and state.heard_at_s < oldest_s:
                state.heard_at_s = None
            if state.heard_at_s is None and state.alive_at_s < oldest_s:
                del self._states_by_id[vm_id]
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

    def members(self) -> list[Member]:
        """Returns all members, also those that only other VMs reported."""
        return [entry.member for entry in self.gossip_entries()]

    def gossip_entries(self) -> list[GossipEntry]:
        """Returns all members, each with the age of its last message."""
        self._remove_silent()
        now_s = self._clock()
        return [
            GossipEntry(state.member, max(0.0, now_s - state.alive_at_s))
            for state in self._states_by_id.values()
        ]

    def vm_count(self) -> int:
        """Returns the number of known VMs, including this VM."""
        self._remove_silent()
        return 1 + len(self._states_by_id)

    def is_mesh(self) -> bool:
        """Tells whether the fleet is small enough for a full mesh."""
        return self.vm_count() <= MAX_MESH_VMS

    def hubs(self, zone: ids.ZoneName) -> list[Member]:
        """Returns the members that collect the load reports of a zone.

        The result includes this process if it is a hub of the zone.
        """
        members_by_id = {
            state.member.vm_id: state.member
            for state in self._states_by_id.values()
            if state.member.zone == zone
        }
        if zone == self.me.zone:
            members_by_id[self.me.vm_id] = self.me
        first = ranks.rank_vms(f'hub/{zone}', members_by_id, HUBS_PER_ZONE)
        return [members_by_id[vm_id] for vm_id in first]

    def zones(self) -> set[ids.ZoneName]:
        """Returns the zones of all members, including the zone of this VM."""
        zones = {state.member.zone for state in self._states_by_id.values()}
        return zones | {self.me.zone}

    def is_hub(self) -> bool:
        """Tells whether this VM collects the load reports of its zone."""
        return self.me in self.hubs(self.me.zone)

    def contacts(self) -> list[Member]:
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

    def zone_peers(self) -> list[Member]:
        """Returns the other members of this VM's zone."""
        return [m for m in self.members() if m.zone == self.me.zone]

    def vm_ids_by_zone(self) -> dict[ids.ZoneName, frozenset[ids.VmId]]:
        """Returns the known VMs of each zone, including this VM."""
        vm_ids_by_zone = {self.me.zone: {self.me.vm_id}}
        for member in self.members():
            vm_ids_by_zone.setdefault(member.zone, set()).add(member.vm_id)
        return {
            zone: frozenset(vm_ids) for zone, vm_ids in vm_ids_by_zone.items()
        }
