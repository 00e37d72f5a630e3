"""The fleet's members, discovered by gossip from a few seed addresses.

Used where the platform publishes no list of VMs. A VM contacts its seeds and
the members that their replies name. A VM that gets no reply works alone.
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
SILENT_S: Final = 9.0
# Largest number of VMs that form a full mesh, in which each VM contacts all
# others. In a larger fleet a VM contacts only the hubs of its zone, and hubs
# also contact the hubs of other zones.
MESH_VMS: Final = 16
# Number of hubs in each zone.
HUBS: Final = 2
# Number of VMs in each zone that hold a role, in a fleet too large for a full
# mesh.
VMS_PER_ROLE: Final = 4


@dataclasses.dataclass(frozen=True)
class Member:
    """One running entry process and its address for other VMs."""

    vm_id: ids.VmId
    incarnation: ids.Incarnation
    # IP address and port.
    address: str
    zone: ids.ZoneName


@dataclasses.dataclass(frozen=True)
class Named:
    """A member that a VM names to another VM."""

    member: Member
    # Time since any VM received a message from the member itself, in seconds.
    silent_s: float


@dataclasses.dataclass
class _MemberState:
    member: Member
    # When this VM last received a message from the member; None if not within
    # SILENT_S.
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
        # The latest process that announced its shutdown, by its VM's id.
        self._leaving_by_id: dict[ids.VmId, ids.Incarnation] = {}

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Sets the addresses to start from; ignores the address of this VM."""
        self._seeds = [seed for seed in seeds if seed != self.me.address]

    def _is_leaving(self, member: Member) -> bool:
        return self._leaving_by_id.get(member.vm_id) == member.incarnation

    def hear(self, member: Member) -> None:
        """Records a message from the member itself."""
        if member.vm_id == self.me.vm_id or self._is_leaving(member):
            return
        now_s = self._clock()
        known = self._states_by_id.get(member.vm_id)
        if known is None or known.member != member or not known.heard_at_s:
            LOG.info(
                'member heard',
                extra={'member': member.vm_id, 'address': member.address},
            )
        self._states_by_id[member.vm_id] = _MemberState(member, now_s, now_s)

    def name(self, named: Iterable[Named]) -> None:
        """Records members that another VM has named.

        Only the time of the last message from the member itself counts.
        Otherwise VMs that name a dead member to each other would keep it
        alive forever.
        """
        now_s = self._clock()
        for named_member in named:
            member, alive_at_s = (
                named_member.member,
                now_s - named_member.silent_s,
            )
            if member.vm_id == self.me.vm_id or self._is_leaving(member):
                continue
            known = self._states_by_id.get(member.vm_id)
            if known is None or (
                known.heard_at_s is None
                and known.member != member
                and known.alive_at_s < alive_at_s
            ):
                known = _MemberState(member, None, alive_at_s)
                self._states_by_id[member.vm_id] = known
            if known.member == member:
                known.alive_at_s = max(known.alive_at_s, alive_at_s)

    def leave(self, member: Member) -> None:
        """Removes a member that is shutting down.

        From then on `name` and `hear` ignore this process of the member.
        """
        if self._is_leaving(member):
            return
        self._leaving_by_id[member.vm_id] = member.incarnation
        self._states_by_id.pop(member.vm_id, None)
        LOG.info('member leaves', extra={'member': member.vm_id})

    def _remove_silent(self) -> None:
        oldest_s = self._clock() - SILENT_S
        for vm_id, known in list(self._states_by_id.items()):
            if known.heard_at_s is not None and known.heard_at_s < oldest_s:
                known.heard_at_s = None
            if known.heard_at_s is None and known.alive_at_s < oldest_s:
                del self._states_by_id[vm_id]
                LOG.info('member silent', extra={'member': vm_id})

    def alive(self) -> list[Member]:
        """Returns the members that have contacted this VM within SILENT_S."""
        self._remove_silent()
        return [
            known.member
            for known in self._states_by_id.values()
            if known.heard_at_s is not None
        ]

    def known(self) -> list[Member]:
        """Returns all members, also those that only other VMs have named."""
        return [named.member for named in self.named()]

    def named(self) -> list[Named]:
        """Returns all members, each with the age of its last message."""
        self._remove_silent()
        now_s = self._clock()
        return [
            Named(known.member, max(0.0, now_s - known.alive_at_s))
            for known in self._states_by_id.values()
        ]

    def vms(self) -> int:
        """Returns the number of known VMs, including this VM."""
        self._remove_silent()
        return 1 + len(self._states_by_id)

    def is_mesh(self) -> bool:
        """Tells whether the fleet is small enough for a full mesh."""
        return self.vms() <= MESH_VMS

    def hubs(self, zone: ids.ZoneName) -> list[Member]:
        """Returns the members that collect the load reports of a zone."""
        members_by_id = {
            known.member.vm_id: known.member
            for known in self._states_by_id.values()
            if known.member.zone == zone
        }
        if zone == self.me.zone:
            members_by_id[self.me.vm_id] = self.me
        first = ranks.rank_vms(f'hub/{zone}', members_by_id, HUBS)
        return [members_by_id[vm_id] for vm_id in first]

    def zones(self) -> set[ids.ZoneName]:
        """Returns the zones of all members, including the zone of this VM."""
        known = {k.member.zone for k in self._states_by_id.values()}
        return known | {self.me.zone}

    def is_hub(self) -> bool:
        """Tells whether this VM collects the load reports of its zone."""
        return self.me in self.hubs(self.me.zone)

    def contacts(self) -> list[Member]:
        """Returns the members that this VM sends reports to."""
        if self.is_mesh():
            return self.known()
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
            known.member.zone != self.me.zone
            for known in self._states_by_id.values()
        )
        if self.is_mesh() or not knows_other_zone:
            addresses += self._seeds
        return list(dict.fromkeys(addresses))

    def neighbours(self) -> list[Member]:
        """Returns the other members of this VM's zone."""
        return [m for m in self.known() if m.zone == self.me.zone]

    def has_role(self, role: str) -> bool:
        """Tells whether this VM holds a role.

        In a full mesh every VM does, else the first VMS_PER_ROLE of each zone.
        """
        if self.is_mesh():
            return True
        peer_ids = [member.vm_id for member in self.neighbours()]
        holders = ranks.rank_vms(
            role, [*peer_ids, self.me.vm_id], VMS_PER_ROLE
        )
        return self.me.vm_id in holders
