"""Keeps this VM's copy of the platform's documents up to date.

One VM of a zone, the first by rank, follows the platform; the others ask
whoever goes before them. A VM whose source falls silent, or has lost the
platform, takes the next one, so that the platform's calls grow with the zones
and not with the VMs.
"""

import asyncio
import contextlib
import logging
import random
from typing import Final

from .. import ids
from ..configuration import mirror as mirror_module
from . import fleet as fleet_module
from ..ports import documents
from . import ranks

LOG: Final = logging.getLogger(__name__)
# Time that one question to another VM waits for a change, in seconds.
MEMBER_WAIT_S: Final = 0.3
# VMs that go before this one and are asked before the platform is; and how
# many others, drawn at each failure, while this one does not reach it.
MAX_CANDIDATES: Final = 2
DRAWN_CANDIDATES: Final = 2
# Time for which a source that has failed is left alone, in seconds.
REST_S: Final = 1.0
# Time after a failure of the platform in which other VMs are asked first, in
# seconds: drawn between the two, and more for each VM that goes before this
# one, so that a large fleet does not ask all at once.
PLATFORM_REST_MIN_S: Final = 0.1
PLATFORM_REST_MAX_S: Final = 0.4
PLATFORM_REST_BY_RANK_S: Final = 0.15
MAX_RESTING_RANK: Final = 8
# What the time that a member let this VM wait adds to its rest.
REST_FACTOR: Final = 3
# Time between two looks for a VM to ask in place of the platform, in seconds.
LOOK_INTERVAL_S: Final = 0.5


class Following:
    """Chooses where the documents come from, and follows it."""

    def __init__(
        self,
        copy: mirror_module.Mirror,
        platform: documents.Platform,
        members: documents.Members,
        fleet: fleet_module.Fleet,
    ) -> None:
        self._copy = copy
        self._platform = platform
        self._members = members
        self._fleet = fleet
        self._loop = asyncio.get_running_loop()
        # When a member may be asked again, by its process.
        self._rests_until_s: dict[tuple[ids.VmId, ids.Incarnation], float] = {}
        self._platform_rests_until_s = 0.0
        self._drawn: list[fleet_module.Member] = []
        self._source = ''

    async def run(self) -> None:
        """Follows one source after the other."""
        while True:
            member = self._choose_member()
            if member is not None:
                self._note_source(member.vm_id)
                await self._ask(member)
            elif self._loop.time() < self._platform_rests_until_s:
                await asyncio.sleep(PLATFORM_REST_MIN_S / 2)
            else:
                self._note_source('platform')
                await self._follow_platform()

    def _note_source(self, source: str) -> None:
        if source != self._source:
            LOG.info(
                'documents come from another source',
                extra={
                    'source': source,
                    'previous': self._source,
                    'revision': self._copy.revision,
                    'checked_age_s': self._copy.checked_age_s(),
                },
            )
            self._source = source

    def _choose_member(self) -> fleet_module.Member | None:
        """Returns the VM to ask, None if it is the platform."""
        before, after = self._ranked()
        candidates = before[:MAX_CANDIDATES]
        if self._loop.time() < self._platform_rests_until_s:
            # The platform does not answer this VM, and those that go first
            # may have lost it like this one; any other may reach it.
            candidates = candidates + self._drawn
        return next(filter(self._is_awake, candidates), None)

    def _ranked(
        self,
    ) -> tuple[list[fleet_module.Member], list[fleet_module.Member]]:
        """Returns the members that go before this VM, and the others."""
        me = self._fleet.me
        members_by_id = {m.vm_id: m for m in self._fleet.neighbours()}
        order = ranks.rank_vms(
            ranks.watch_duty(me.zone), [*members_by_id, me.vm_id]
        )
        rank = order.index(me.vm_id)
        return (
            [members_by_id[vm_id] for vm_id in order[:rank]],
            [members_by_id[vm_id] for vm_id in order[rank + 1 :]],
        )

    def _is_awake(self, member: fleet_module.Member) -> bool:
        key = (member.vm_id, member.incarnation)
        return self._loop.time() >= self._rests_until_s.get(key, 0.0)

    async def _ask(self, member: fleet_module.Member) -> None:
        started_s = self._loop.time()
        try:
            await self._members.update(member, self._copy, MEMBER_WAIT_S)
        except documents.SourceError as exc:
            LOG.info(
                'member gave no documents',
                extra={'member': member.vm_id, 'reason': str(exc)},
            )
            key = (member.vm_id, member.incarnation)
            # One that did not answer at all costs more time to ask.
            took_s = self._loop.time() - started_s
            rest_s = REST_S + took_s * REST_FACTOR
            self._rests_until_s[key] = self._loop.time() + rest_s

    async def _follow_platform(self) -> None:
        following = asyncio.ensure_future(self._platform.follow(self._copy))
        try:
            while not following.done() and self._choose_member() is None:
                await asyncio.wait([following], timeout=LOOK_INTERVAL_S)
            if following.done():
                following.result()
        except documents.SourceError as exc:
            self._note_platform_failure(str(exc))
        finally:
            following.cancel()
            with contextlib.suppress(
                asyncio.CancelledError, documents.SourceError
            ):
                await following

    def _note_platform_failure(self, reason: str) -> None:
        before, after = self._ranked()
        others = before[MAX_CANDIDATES:] + after
        self._drawn = random.sample(others, min(DRAWN_CANDIDATES, len(others)))
        rank = min(len(before), MAX_RESTING_RANK)
        rest_s = rank * PLATFORM_REST_BY_RANK_S + random.uniform(
            PLATFORM_REST_MIN_S, PLATFORM_REST_MAX_S
        )
        self._platform_rests_until_s = self._loop.time() + rest_s
        LOG.warning(
            'platform lost',
            extra={
                'reason': reason,
                'rest_s': round(rest_s, 3),
                'checked_age_s': self._copy.checked_age_s(),
            },
        )
