"""VMs that have found one another, starting from a few seeds.

Nobody publishes a list of the VMs here. A VM asks its seeds and whoever they
name; it works alone while nobody answers.
"""

from collections.abc import Callable, Iterable
import dataclasses
import logging
import time
from typing import Final

import xxhash

from .. import ids
from . import ranks

LOG: Final = logging.getLogger(__name__)
# Time without a word after which a member is taken for gone, in seconds.
SILENT_S: Final = 9.0
# VMs up to which everybody speaks with everybody; in a larger fleet a VM
# speaks with its zone and with a few members of other zones.
MESH_VMS: Final = 16
# Members of other zones that a VM of a larger fleet speaks with.
FAR_CONTACTS: Final = 3
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


@dataclasses.dataclass
class _Known:
    member: Member
    # When it was last heard from; None if it was only named by others.
    heard_at_s: float | None
    named_at_s: float


class Fleet:
    """The members that are known, this process not among them."""

    def __init__(
        self,
        me: Member,
        seeds: Iterable[str],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.me = me
        self._seeds = [seed for seed in seeds if seed != me.address]
        self._clock = clock
        self._known_by_id: dict[ids.VmId, _Known] = {}
        # The process that was shutting down on a VM, by the VM's id.
        self._leaving_by_id: dict[ids.VmId, ids.Incarnation] = {}

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

    def name(self, members: Iterable[Member]) -> None:
        """Notes members that another has named."""
        now_s = self._clock()
        for member in members:
            if member.vm_id == self.me.vm_id or self._is_leaving(member):
                continue
            known = self._known_by_id.get(member.vm_id)
            if known is None or (
                known.heard_at_s is None and known.member != member
            ):
                self._known_by_id[member.vm_id] = _Known(member, None, now_s)
            else:
                known.named_at_s = now_s

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
            if known.heard_at_s is None and known.named_at_s < oldest_s:
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

    def vms(self) -> int:
        """Returns how many VMs there are, this one included."""
        self._forget_silent()
        return 1 + len(self._known_by_id)

    def is_mesh(self) -> bool:
        """Tells whether everybody speaks with everybody."""
        return self.vms() <= MESH_VMS

    def _distance(self, member: Member) -> int:
        pair = '/'.join(sorted((self.me.vm_id, member.vm_id)))
        return xxhash.xxh64_intdigest(pair.encode())

    def contacts(self) -> list[Member]:
        """Returns the members that this VM speaks with."""
        self._forget_silent()
        known = [known.member for known in self._known_by_id.values()]
        if self.is_mesh():
            return known
        far = sorted(
            (m for m in known if m.zone != self.me.zone), key=self._distance
        )
        near = [m for m in known if m.zone == self.me.zone]
        return near + far[:FAR_CONTACTS]

    def addresses(self) -> list[str]:
        """Returns where to speak, the seeds among them while needed."""
        addresses = [member.address for member in self.contacts()]
        has_far = any(m.zone != self.me.zone for m in self.alive())
        if self.is_mesh() or not has_far:
            addresses += self._seeds
        return list(dict.fromkeys(addresses))

    def rank(self) -> int:
        """Returns how many members that are near go before this VM."""
        near = self.alive()
        if not self.is_mesh():
            near = [m for m in near if m.zone == self.me.zone]
        return sum(member.vm_id < self.me.vm_id for member in near)

    def holds_duty(self, duty: str) -> bool:
        """Tells whether this VM is one of the few of its zone for a duty."""
        if self.is_mesh():
            return True
        near = [m.vm_id for m in self.alive() if m.zone == self.me.zone]
        holders = ranks.rank_vms(duty, [*near, self.me.vm_id], DUTY_VMS)
        return self.me.vm_id in holders
