"""Asks further VMs for documents when this VM's copy becomes too old.

The module `following` keeps the copy up to date from one source at a time.
When that source fails, the search for the next one may take too long. From
some age of the copy on, this VM therefore also asks VMs of all zones that are
drawn at random, several at the same time. It also asks a VM that reports
changes which this VM does not have.
"""

import asyncio
from collections.abc import Callable
import logging
import random
from typing import Final

from .. import telemetry
from ..configuration import freshness as freshness_module
from ..configuration import mirror as mirror_module
from ..configuration import store_revisions
from ..configuration.store_revisions import StoreRevision
from . import fleet as fleet_module
from ..ports import documents

LOG: Final = logging.getLogger(__name__)
# Interval between two draws of VMs, in seconds.
DRAW_INTERVAL_S: Final = 0.25
# Number of VMs that are drawn and asked at the same time.
DRAWN_MEMBERS: Final = 2
# Maximum number of unanswered requests.
MAX_REQUESTS: Final = 6
# Time that a reported change may take to arrive from this VM's own source
# before the VM that reported the change is asked, in seconds.
REPORTED_GRACE_S: Final = 0.15


class DocumentHedge:
    """Asks further VMs while the copy of the documents is too old."""

    def __init__(
        self,
        copy: mirror_module.Mirror,
        open_members: Callable[[], documents.Members],
        fleet: fleet_module.Fleet,
        freshness: freshness_module.Freshness,
        metrics: telemetry.TextMetrics,
    ) -> None:
        self._mirror = copy
        self._open_members = open_members
        self._fleet = fleet
        self._freshness = freshness
        self._metrics = metrics
        self._requests: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Asks drawn VMs whenever the copy is too old, until cancelled."""
        try:
            while True:
                await asyncio.sleep(DRAW_INTERVAL_S)
                if self._is_overdue():
                    self._ask_drawn_members()
        finally:
            for request in self._requests:
                request.cancel()

    def _is_overdue(self) -> bool:
        age_s = self._mirror.checked_age_s()
        return age_s is not None and age_s > self._freshness.hedge_age_s

    def _ask_drawn_members(self) -> None:
        members = self._fleet.members()
        count = min(DRAWN_MEMBERS, len(members))
        for member in random.sample(members, count):
            self._start(member, 0.0)

    def note_newer(
        self, member: fleet_module.Member, newest_revision: StoreRevision
    ) -> None:
        """Has a VM asked that reported a change unless the change arrives."""
        if newest_revision > self._mirror.newest_revision:
            self._start(member, REPORTED_GRACE_S, newest_revision)

    def _start(
        self,
        member: fleet_module.Member,
        grace_s: float,
        newest_revision: StoreRevision = store_revisions.NONE,
    ) -> None:
        if len(self._requests) >= MAX_REQUESTS:
            return
        request = asyncio.ensure_future(
            self._ask(member, grace_s, newest_revision)
        )
        self._requests.add(request)
        request.add_done_callback(self._requests.discard)

    async def _ask(
        self,
        member: fleet_module.Member,
        grace_s: float,
        newest_revision: StoreRevision,
    ) -> None:
        if grace_s:
            await self._mirror.wait_for_changes(
                StoreRevision(newest_revision - 1), grace_s
            )
            if self._mirror.newest_revision >= newest_revision:
                return
        members = self._open_members()
        age_s = self._mirror.checked_age_s()
        outcome = 'received'
        try:
            received = await members.update(member, self._mirror, 0.0)
        except documents.SourceError as exc:
            outcome = 'failed'
            LOG.info(
                'other member gave no documents',
                extra={'member': member.vm_id, 'reason': str(exc)},
            )
        else:
            LOG.info(
                'documents received from another member',
                extra={
                    'member': member.vm_id,
                    'documents': received.documents,
                    'bytes': received.size_bytes,
                    'previous_age_s': age_s,
                    'checked_age_s': self._mirror.checked_age_s(),
                    'revision': self._mirror.revision,
                },
            )
        finally:
            members.close()
        self._metrics.count('document_hedges', outcome=outcome)
