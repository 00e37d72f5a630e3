"""Watches the engines whose memory this process owns a share of.

A task for each engine polls the engine's load and the requests that hold
memory there, reconciles the ledger with them, and cancels requests that were
released without the engine's confirmation or whose entry process is gone.
"""

import asyncio
from collections.abc import Callable
import logging
import time
from typing import Final

from .. import codes
from .. import ids
from .. import tasks
from ..configuration import documents
from ..limits import owner as owners
from ..limits import shares
from ..membership import view as views
from ..ports import engine as engine_port

LOG: Final = logging.getLogger(__name__)
# Time between two checks whether an engine has to be polled, in seconds.
CHECK_INTERVAL_S: Final = 0.5
# Shortest and longest time between two polls of an engine's load by its first
# owner, in seconds. Within these bounds, the time between two heartbeats.
MIN_LOAD_INTERVAL_S: Final = 0.9
MAX_LOAD_INTERVAL_S: Final = 1.5
# Time between two polls of an engine's load by its second owner, in seconds.
# The second owner grants memory only if the first one is unavailable.
SECOND_OWNER_LOAD_INTERVAL_S: Final = 5.0
# Time between two polls of an engine's holdings while they are uncertain, in
# seconds.
UNCERTAIN_HOLDINGS_INTERVAL_S: Final = 0.9
# Time between two polls of an engine's holdings otherwise, in seconds. Finds
# grants whose release was lost.
HOLDINGS_INTERVAL_S: Final = 10.0
# Reports of an engine's holdings that took longer than this are ignored, in
# seconds. An engine that answers late may not have processed the latest orders
# to run requests yet.
MAX_HOLDINGS_ANSWER_S: Final = 0.25


class EngineWatch:
    """Keeps the owner's state of its engines up to date."""

    def __init__(
        self,
        view: views.View,
        owner: owners.Owner,
        engines: engine_port.Engines,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._view = view
        self._owner = owner
        self._engines = engines
        self._clock = clock
        # Grants whose requests are cancelled at each poll until the engine no
        # longer holds them.
        self._to_cancel: set[ids.GrantId] = set()
        # Engines whose load this process reports to its peers.
        self._published: set[ids.EndpointId] = set()

    def cancel_until_gone(self, grant_id: ids.GrantId) -> None:
        """Cancels a grant's request at each poll until the engine frees it."""
        self._to_cancel.add(grant_id)

    async def run(self) -> None:
        """Runs one task for each engine that this process owns a share of."""
        tasks_by_endpoint: dict[ids.EndpointId, asyncio.Task[None]] = {}
        try:
            while True:
                self._update_tasks(tasks_by_endpoint)
                await asyncio.sleep(CHECK_INTERVAL_S)
        finally:
            for task in tasks_by_endpoint.values():
                task.cancel()

    def _update_tasks(
        self, tasks_by_endpoint: dict[ids.EndpointId, asyncio.Task[None]]
    ) -> None:
        owned = self._owned()
        for endpoint_id in set(tasks_by_endpoint) - set(owned):
            tasks_by_endpoint.pop(endpoint_id).cancel()
            self._published.discard(endpoint_id)
        for endpoint_id, endpoint in owned.items():
            if endpoint_id not in tasks_by_endpoint:
                tasks_by_endpoint[endpoint_id] = tasks.start(
                    self._watch(endpoint), name=f'engine {endpoint_id}'
                )

    def _owned(self) -> dict[ids.EndpointId, documents.Endpoint]:
        document = self._view.configs.document
        if document is None:
            return {}
        owned_ids = {k.endpoint_id for k in self._owner.ledger.shares_by_key}
        owned_ids.update(
            grant.endpoint_id
            for grant in self._owner.ledger.grants_by_id.values()
        )
        return {
            endpoint_id: document.endpoints_by_id[endpoint_id]
            for endpoint_id in owned_ids
            if endpoint_id in document.endpoints_by_id
        }

    async def _watch(self, endpoint: documents.Endpoint) -> None:
        load_polled_s = holdings_polled_s = float('-inf')
        while True:
            now_s = self._clock()
            if now_s - load_polled_s >= self._load_interval_s(endpoint):
                load_polled_s = now_s
                await self._poll_load(endpoint)
            if now_s - holdings_polled_s >= self._holdings_interval_s(
                endpoint
            ):
                holdings_polled_s = now_s
                await self._poll_holdings(endpoint)
            self.update_load(endpoint)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _load_interval_s(self, endpoint: documents.Endpoint) -> float:
        if self._publishes_load(endpoint):
            interval_s = max(MIN_LOAD_INTERVAL_S, self._view.interval_s)
            return min(MAX_LOAD_INTERVAL_S, interval_s)
        return SECOND_OWNER_LOAD_INTERVAL_S

    def _holdings_interval_s(self, endpoint: documents.Endpoint) -> float:
        if self._is_uncertain(ids.EndpointId(endpoint.id)):
            return UNCERTAIN_HOLDINGS_INTERVAL_S
        return HOLDINGS_INTERVAL_S

    def _is_uncertain(self, endpoint_id: ids.EndpointId) -> bool:
        """Returns whether the ledger may differ from what an engine holds.

        Also true for an engine that is assumed to be cold.
        """
        owner_ledger = self._owner.ledger
        for slot in shares.Slot:
            share = owner_ledger.shares_by_key.get(
                shares.ShareKey(endpoint_id, slot)
            )
            if share is not None and share.debit_tokens > 0:
                return True
        if self._owner.state_of(endpoint_id).is_cold:
            return True
        return any(
            grant.grant_id in self._to_cancel
            or self._view.is_gone(grant.entry)
            for grant in owner_ledger.grants_of(endpoint_id)
        )

    async def _poll_load(self, endpoint: documents.Endpoint) -> None:
        endpoint_id = ids.EndpointId(endpoint.id)
        state = self._owner.state_of(endpoint_id)
        report = await self._engines.load(endpoint.url)
        if isinstance(report, codes.Failure):
            state.note_failed_report()
            return
        state.note_report(report, self._clock())
        self._owner.grant_waiting(endpoint_id)

    async def _poll_holdings(self, endpoint: documents.Endpoint) -> None:
        asked_at_s = self._clock()
        report = await self._engines.holdings(endpoint.url)
        if isinstance(report, codes.Failure):
            return
        if self._clock() - asked_at_s > MAX_HOLDINGS_ANSWER_S:
            return
        endpoint_id = ids.EndpointId(endpoint.id)
        freed = self._owner.reconcile(endpoint_id, report.holdings, asked_at_s)
        for grant in freed:
            self._to_cancel.discard(grant.grant_id)
            LOG.info(
                'released grant %s of engine %s', grant.grant_id, endpoint_id
            )
        for holding in report.holdings:
            if self._is_orphan(holding):
                await self._cancel(endpoint, holding)

    def _is_orphan(self, holding: shares.Holding) -> bool:
        return holding.grant_id in self._to_cancel or self._view.is_gone(
            holding.entry
        )

    async def _cancel(
        self, endpoint: documents.Endpoint, holding: shares.Holding
    ) -> None:
        is_confirmed = await self._engines.cancel(
            endpoint.url, holding.request_id, holding.attempt
        )
        LOG.info(
            'cancelled orphaned request %s at engine %s: %s',
            holding.request_id,
            endpoint.id,
            'confirmed' if is_confirmed else 'no answer',
        )

    def update_load(self, endpoint: documents.Endpoint) -> None:
        """Updates an engine's load in this process's view.

        Only the process that reports the load to its peers updates the load.
        """
        endpoint_id = ids.EndpointId(endpoint.id)
        owner_ledger = self._owner.ledger
        now_s = self._clock()
        if not self._publishes_load(endpoint):
            self._published.discard(endpoint_id)
            return
        self._published.add(endpoint_id)
        state = self._owner.state_of(endpoint_id)
        self._view.set_load(
            views.Load(
                endpoint_id=endpoint_id,
                free_tokens=owner_ledger.free_tokens(endpoint_id, now_s),
                backlog_tokens=self._owner.backlog_tokens(
                    endpoint_id, only_short=False
                ),
                short_backlog_tokens=self._owner.backlog_tokens(
                    endpoint_id, only_short=True
                ),
                waiting=self._owner.waiting_count(endpoint_id),
                streams=len(list(owner_ledger.grants_of(endpoint_id))),
                is_cold=state.is_cold,
                is_reachable=state.is_reachable,
                heard_at_s=now_s,
            )
        )

    def _publishes_load(self, endpoint: documents.Endpoint) -> bool:
        """Returns whether this process reports the engine's load to its peers.

        The holder of the engine's first share does, and so does the holder of
        the second share if no other process is available as first owner.
        """
        key = shares.ShareKey(ids.EndpointId(endpoint.id), shares.Slot.FIRST)
        if key in self._owner.ledger.shares_by_key:
            return True
        return self._lacks_other_first_owner(endpoint)

    def _lacks_other_first_owner(self, endpoint: documents.Endpoint) -> bool:
        """Returns whether no other process is available as first owner."""
        first = next(iter(self._view.owners(endpoint)), None)
        if first is None or first == self._view.me.vm_id:
            return True
        return self._view.status_of(first) in (
            views.PeerStatus.SUSPECT,
            views.PeerStatus.UNHEARD,
        )

    def published_loads(self) -> list[views.Load]:
        """Returns the loads that this process reports to its peers."""
        return [
            load
            for endpoint_id, load in self._view.loads_by_endpoint.items()
            if endpoint_id in self._published
        ]
