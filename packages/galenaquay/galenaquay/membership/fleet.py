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

LOG: Final = logging.getLogger(__name__)
# Time without a word after which a member is taken for gone, in seconds.
SILENT_S: Final = 4.0


@dataclasses.dataclass(frozen=True)
class Member:
    """One running process and where it answers."""

    vm_id: ids.VmId
    incarnation: ids.Incarnation
    # IP number and port.
    address: str


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

    def hear(self, member: Member) -> None:
        """Notes that a member has spoken itself."""
        if member.vm_id == self.me.vm_id:
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
            if member.vm_id == self.me.vm_id:
                continue
            known = self._known_by_id.get(member.vm_id)
            if known is None or (
                known.heard_at_s is None and known.member != member
            ):
                self._known_by_id[member.vm_id] = _Known(member, None, now_s)

    def leave(self, vm_id: ids.VmId) -> None:
        """Forgets a member that is shutting down."""
        if self._known_by_id.pop(vm_id, None) is not None:
            LOG.info('member leaves', extra={'member': vm_id})

    def _forget_silent(self) -> None:
        oldest_s = self._clock() - SILENT_S
        for vm_id, known in list(self._known_by_id.items()):
            if max(known.heard_at_s or 0, known.named_at_s) < oldest_s:
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

    def addresses(self) -> list[str]:
        """Returns where others may answer, seeds included."""
        self._forget_silent()
        known = (k.member.address for k in self._known_by_id.values())
        return list(dict.fromkeys([*known, *self._seeds]))

    def vms(self) -> int:
        """Returns how many VMs there are, this one included."""
        return 1 + len(self.alive())
