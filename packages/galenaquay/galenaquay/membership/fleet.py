"""VMs that have found one another, starting from a few seeds.

Nobody publishes a list of the VMs here. A VM asks its seeds and whoever they
name; it works alone while nobody answers.
"""

from collections.abc import Callable, Iterable
import dataclasses
import logging
import time
from typing import Final

from .. import ids
from . import ranks

LOG: Final = logging.getLogger(__name__)
# Time without a word after which a member is taken for gone, in seconds.
SILENT_S: Final = 9.0
# VMs up to which everybody speaks with everybody; in a larger fleet a VM
# speaks with the hubs of its zone, and hubs speak with those of other zones.
MESH_VMS: Final = 16
# Hubs of each zone.
HUBS: Final = 2
# VMs of a zone that hold a duty which is shared among a few.
DUTY_VMS: Final = 4


@dataclasses.dataclass(frozen=True)
class Member:
    """One running process and where it answers."""

    vm_id: ids.VmId
    incarnation: ids.Incarnation
    # IP number and port.
    address: str
    zone: ids.ZoneName


@dataclasses.dataclass(frozen=True)
class Named:
    """A member that another VM knows of."""

    member: Member
    # Time since anybody has heard from it, in seconds.
    silent_s: float


@dataclasses.dataclass
class _Known:
    member: Member
    # When it last spoke to this VM; None if it was only named by others.
    heard_at_s: float | None
    # When it was last heard from by anybody, as far as others have told.
    alive_at_s: float


class Fleet:
    """The members that are known, this process not among them."""

    def __init__(
        self,
        me: Member,
        seeds: Iterable[str],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.me = me
        self.set_seeds(seeds)
        self._clock = clock
        self._known_by_id: dict[ids.VmId, _Known] = {}
        # The process that was shutting down on a VM, by the VM's id.
        self._leaving_by_id: dict[ids.VmId, ids.Incarnation] = {}

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Sets whom to ask first, this VM left out."""
        self._seeds = [seed for seed in seeds if seed != self.me.address]

    def _is_leaving(self, member: Member) -> bool:
        return self._leaving_by_id.get(member.vm_id) == member.incarnation

    def hear(self, member: Member) -> None:
        """Notes that a member has spoken itself."""
        if member.vm_id == self.me.vm_id or self._is_leaving(member):
            return
        now_s = self._clock()
        known = self._known_by_id.get(member.vm_id)
        if known is None or known.member != member or not known.heard_at_s:
            LOG.info(
                'member heard',
                extra={'member': member.vm_id, 'address': member.address},
            )
        self._known_by_id[member.vm_id] = _Known(member, now_s, now_s)

    def name(self, named: Iterable[Named]) -> None:
        """Notes members that another has named.

        What counts is when somebody heard from a member itself, so that VMs
        which name it to each other do not keep it for ever.
        """
        now_s = self._clock()
        for one in named:
            member, alive_at_s = one.member, now_s - one.silent_s
            if member.vm_id == self.me.vm_id or self._is_leaving(member):
                continue
            known = self._known_by_id.get(member.vm_id)
            if known is None or (
                known.heard_at_s is None
                and known.member != member
                and known.alive_at_s < alive_at_s
            ):
                known = _Known(member, None, alive_at_s)
                self._known_by_id[member.vm_id] = known
            if known.member == member:
                known.alive_at_s = max(known.alive_at_s, alive_at_s)

    def leave(self, member: Member) -> None:
        """Forgets a member that is shutting down, whoever names it still."""
        if self._is_leaving(member):
            return
        self._leaving_by_id[member.vm_id] = member.incarnation
        self._known_by_id.pop(member.vm_id, None)
        LOG.info('member leaves', extra={'member': member.vm_id})

    def _forget_silent(self) -> None:
        oldest_s = self._clock() - SILENT_S
        for vm_id, known in list(self._known_by_id.items()):
            if known.heard_at_s is not None and known.heard_at_s < oldest_s:
                known.heard_at_s = None
            if known.heard_at_s is None and known.alive_at_s < oldest_s:
                del self._known_by_id[vm_id]
                LOG.info('member silent', extra={'member': vm_id})

    def alive(self) -> list[Member]:
        """Returns the members that were heard from of late."""
        self._forget_silent()
        return [
            known.member
            for known in self._known_by_id.values()
            if known.heard_at_s is not None
        ]

    def known(self) -> list[Member]:
        """Returns all members, those that others have named among them."""
        return [named.member for named in self.named()]

    def named(self) -> list[Named]:
        """Returns all members with the time since they were heard from."""
        self._forget_silent()
        now_s = self._clock()
        return [
            Named(known.member, max(0.0, now_s - known.alive_at_s))
            for known in self._known_by_id.values()
        ]

    def vms(self) -> int:
        """Returns how many VMs there are, this one included."""
        self._forget_silent()
        return 1 + len(self._known_by_id)

    def is_mesh(self) -> bool:
        """Tells whether everybody speaks with everybody."""
        return self.vms() <= MESH_VMS

    def hubs(self, zone: ids.ZoneName) -> list[Member]:
        """Returns the members that collect what a zone's VMs tell."""
        members_by_id = {
            known.member.vm_id: known.member
            for known in self._known_by_id.values()
            if known.member.zone == zone
        }
        if zone == self.me.zone:
            members_by_id[self.me.vm_id] = self.me
        first = ranks.rank_vms(f'hub/{zone}', members_by_id, HUBS)
        return [members_by_id[vm_id] for vm_id in first]

    def zones(self) -> set[ids.ZoneName]:
        """Returns all zones that have members."""
        known = {k.member.zone for k in self._known_by_id.values()}
        return known | {self.me.zone}

    def is_hub(self) -> bool:
        """Tells whether this VM collects what its zone's VMs tell."""
        return self.me in self.hubs(self.me.zone)

    def contacts(self) -> list[Member]:
        """Returns the members that this VM speaks with."""
        if self.is_mesh():
            return self.known()
        zones = self.zones() if self.is_hub() else {self.me.zone}
        contacts = [hub for zone in sorted(zones) for hub in self.hubs(zone)]
        return [member for member in contacts if member != self.me]

    def addresses(self) -> list[str]:
        """Returns where to speak, the seeds among them while needed."""
        addresses = [member.address for member in self.contacts()]
        has_far = any(
            known.member.zone != self.me.zone
            for known in self._known_by_id.values()
        )
        if self.is_mesh() or not has_far:
            addresses += self._seeds
        return list(dict.fromkeys(addresses))

    def neighbours(self) -> list[Member]:
        """Returns the members of this VM's zone."""
        return [m for m in self.known() if m.zone == self.me.zone]

    def holds_duty(self, duty: str) -> bool:
        """Tells whether this VM is one of the few of its zone for a duty."""
        if self.is_mesh():
            return True
        near = [member.vm_id for member in self.neighbours()]
        holders = ranks.rank_vms(duty, [*near, self.me.vm_id], DUTY_VMS)
        return self.me.vm_id in holders
