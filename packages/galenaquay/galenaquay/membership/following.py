"""Keeps this VM's copy of the platform's documents up to date.

The highest-ranked VM of each zone follows the platform. Every other VM asks a
VM that ranks higher. When that VM does not answer or has lost the platform,
the asking VM switches to the next source. In this way the number of calls to
the platform grows with the number of zones and not with the number of VMs.
"""

import asyncio
import contextlib
import itertools
import logging
import random
from typing import Final

from .. import ids
from .. import telemetry
from ..configuration import mirror as mirror_module
from . import fleet as fleet_module
from ..ports import documents
from . import ranks

LOG: Final = logging.getLogger(__name__)
# Time that one request to another VM waits for a change, in seconds.
MEMBER_WAIT_S: Final = 0.3
# Number of higher-ranked VMs that a VM asks before it asks the platform.
RANKED_CANDIDATES: Final = 2
# Minimum time before a VM that gave no documents is asked again, in seconds.
MEMBER_BACKOFF_S: Final = 1.0
# Time after a failed call to the platform during which a VM asks only other
# VMs, in seconds; the module `hedging` asks more of them. It is a random value
# between the minimum and the maximum, plus an addition for each higher-ranked
# VM, so that the VMs of a large fleet do not all retry the platform at the
# same time.
PLATFORM_BACKOFF_MIN_S: Final = 0.1
PLATFORM_BACKOFF_MAX_S: Final = 0.4
PLATFORM_BACKOFF_PER_RANK_S: Final = 0.15
# Number of higher-ranked VMs for which the addition is made at most.
MAX_BACKOFF_RANK: Final = 8
# The duration of the failed request times this factor is added to
# MEMBER_BACKOFF_S.
MEMBER_BACKOFF_FACTOR: Final = 3
# Time between checks for a VM to ask instead of the platform, in seconds.
CANDIDATE_CHECK_INTERVAL_S: Final = 0.5


class DocumentFollower:
    """Chooses the source of the documents and keeps the mirror up to date."""

    def __init__(
        self,
        copy: mirror_module.Mirror,
        platform: documents.Platform,
        members: documents.Members,
        fleet: fleet_module.Fleet,
        metrics: telemetry.TextMetrics,
    ) -> None:
        self._mirror = copy
        self._metrics = metrics
        self._platform = platform
        self._members = members
        self._fleet = fleet
        self._loop = asyncio.get_running_loop()
        # When a member may be asked again, by its VM and incarnation.
        self._retry_at_s: dict[tuple[ids.VmId, ids.Incarnation], float] = {}
        self._platform_retry_at_s = 0.0
        self._source = ''

    async def run(self) -> None:
        """Asks the chosen source for changes, for as long as the task runs.

        Chooses the source anew after each request to a VM and after each
        failure of the platform. A higher-ranked VM also replaces the platform
        as soon as that VM may be asked again.
        """
        while True:
            member = self._choose_member()
            if member is not None:
                self._set_source(member.vm_id)
                await self._ask(member)
            elif self._loop.time() < self._platform_retry_at_s:
                await asyncio.sleep(PLATFORM_BACKOFF_MIN_S / 2)
            else:
                self._set_source('platform')
                await self._follow_platform()

    def _set_source(self, source: str) -> None:
        if source != self._source:
            LOG.info(
                'documents come from another source',
                extra={
                    'source': source,
                    'previous': self._source,
                    'revision': self._mirror.revision,
                    'checked_age_s': self._mirror.checked_age_s(),
                },
            )
            self._source = source

    def _choose_member(self) -> fleet_module.Member | None:
        """Returns the VM to ask; None stands for the platform."""
        candidates = self._higher_members()[:RANKED_CANDIDATES]
        return next(filter(self._may_be_asked, candidates), None)

    def _higher_members(self) -> list[fleet_module.Member]:
        """Returns the members of the zone that rank higher than this VM."""
        me = self._fleet.me
        order = self._fleet.rank_zone(ranks.watch_role(me.zone), me.zone)
        return list(itertools.takewhile(lambda member: member != me, order))

    def _may_be_asked(self, member: fleet_module.Member) -> bool:
        key = (member.vm_id, member.incarnation)
        return self._loop.time() >= self._retry_at_s.get(key, 0.0)

    async def _ask(self, member: fleet_module.Member) -> None:
        started_s = self._loop.time()
        try:
            received = await self._members.update(
                member, self._mirror, MEMBER_WAIT_S
            )
        except documents.SourceError as exc:
            # A member that timed out delays each further attempt, so it is
            # asked again later than one that refused at once.
            took_s = self._loop.time() - started_s
            LOG.info(
                'member gave no documents',
                extra={
                    'member': member.vm_id,
                    'reason': str(exc),
                    'took_s': round(took_s, 3),
                },
            )
            self._metrics.count('document_updates', outcome='failed')
            key = (member.vm_id, member.incarnation)
            backoff_s = MEMBER_BACKOFF_S + took_s * MEMBER_BACKOFF_FACTOR
            self._retry_at_s[key] = self._loop.time() + backoff_s
            return
        self._record_received(member, received, self._loop.time() - started_s)

    def _record_received(
        self,
        member: fleet_module.Member,
        received: documents.Received,
        took_s: float,
    ) -> None:
        self._metrics.count('document_updates', outcome='received')
        self._metrics.count('document_bytes_received', received.size_bytes)
        self._metrics.observe('document_update_seconds', took_s)
        if not received.documents:
            return
        LOG.info(
            'documents received',
            extra={
                'member': member.vm_id,
                'documents': received.documents,
                'bytes': received.size_bytes,
                'took_s': round(took_s, 3),
                'revision': self._mirror.revision,
                'checked_age_s': self._mirror.checked_age_s(),
            },
        )

    async def _follow_platform(self) -> None:
        following = asyncio.ensure_future(self._platform.follow(self._mirror))
        try:
            while not following.done() and self._choose_member() is None:
                await asyncio.wait(
                    [following], timeout=CANDIDATE_CHECK_INTERVAL_S
                )
            if following.done():
                following.result()
        except documents.SourceError as exc:
            self._back_off_from_platform(str(exc))
        finally:
            following.cancel()
            with contextlib.suppress(
                asyncio.CancelledError, documents.SourceError
            ):
                await following

    def _back_off_from_platform(self, reason: str) -> None:
        rank = min(len(self._higher_members()), MAX_BACKOFF_RANK)
        backoff_s = rank * PLATFORM_BACKOFF_PER_RANK_S + random.uniform(
            PLATFORM_BACKOFF_MIN_S, PLATFORM_BACKOFF_MAX_S
        )
        self._platform_retry_at_s = self._loop.time() + backoff_s
        LOG.warning(
            'platform lost',
            extra={
                'reason': reason,
                'rest_s': round(backoff_s, 3),
                'checked_age_s': self._mirror.checked_age_s(),
            },
        )
