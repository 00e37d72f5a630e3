"""Stand-in for the key-value store of the users' platform.

Implements the range and watch calls that the entry processes use, and keeps
all items in memory. Tests write items by calling methods and inject faults by
setting attributes.
"""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any

from aiohttp import web
import orjson


@dataclasses.dataclass
class Event:
    """One change: the item written, or None if the key was removed."""

    revision: int
    key: str
    item: dict[str, Any] | None


@dataclasses.dataclass
class Snapshot:
    """The contents and the history of the store at one moment."""

    revision: int
    items_by_key: dict[str, dict[str, Any]]
    events: list[Event]


class KvStore:
    """Key-value store that listens on loopback."""

    # Number of restores from a snapshot plus 1, sent in all responses; None
    # sends no such header.
    era: int | None
    # Text that is sent as the header instead, if set.
    odd_era: str

    # Whether the store responds 503 to each call.
    is_busy: bool
    # Whether the next watch gets status 410, as after a compaction of the
    # store's history.
    is_compacted: bool
    # Whether the next watch gets no response.
    drops_next_watch: bool

    def __init__(self) -> None:
        self.is_busy = False
        self.is_compacted = False
        self.drops_next_watch = False
        self.era = 1
        self.odd_era = ''
        self.calls = 0
        self.revision = 1
        self.items_by_key: dict[str, dict[str, Any]] = {}
        # Revision that the last restore went back to.
        self._restored_at = 0
        self._events: list[Event] = []
        self._event_added = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self, port: int) -> None:
        """Starts to listen on a port."""
        app = web.Application(middlewares=[self._add_era])
        app.router.add_get('/api/kv-range', self._handle_range)
        app.router.add_get('/api/kv-watch', self._handle_watch)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(
            self._runner, '127.0.0.1', port, shutdown_timeout=0.1
        )
        await site.start()

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, key: str, value: Any) -> None:
        """Writes an item; a value other than bytes is encoded as JSON."""
        self.revision += 1
        data = value if isinstance(value, bytes) else orjson.dumps(value)
        old = self.items_by_key.get(key)
        self.items_by_key[key] = {
            'key': key,
            'value': base64.b64encode(data).decode(),
            'revision': self.revision,
            'createdRev': old['createdRev'] if old else self.revision,
            'lease': 0,
        }
        self._append_event(Event(self.revision, key, self.items_by_key[key]))

    def remove(self, key: str) -> None:
        """Removes an item."""
        self.revision += 1
        self.items_by_key.pop(key, None)
        self._append_event(Event(self.revision, key, None))

    def take_snapshot(self) -> Snapshot:
        """Returns a copy of the current contents."""
        return Snapshot(
            self.revision, dict(self.items_by_key), list(self._events)
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Goes back to a snapshot; later revisions are given out again."""
        self.revision = snapshot.revision
        self._restored_at = snapshot.revision
        self.items_by_key = dict(snapshot.items_by_key)
        self._events = list(snapshot.events)
        if self.era is not None:
            self.era += 1
        self._wake_watches()

    def write_again(self, lost: Snapshot) -> None:
        """Writes what a restore has lost, unless it was written since.

        Args:
            lost: The state of the store right before the restore.
        """
        for key in sorted({*lost.items_by_key, *self.items_by_key}):
            item = lost.items_by_key.get(key)
            current = self.items_by_key.get(key)
            if current is not None and current['revision'] > self._restored_at:
                continue
            if item is None:
                self.remove(key)
            elif current is None or current['value'] != item['value']:
                self.put(key, base64.b64decode(item['value']))

    def _append_event(self, event: Event) -> None:
        self._events.append(event)
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._event_added.set()
        self._event_added = asyncio.Event()

    @web.middleware
    async def _add_era(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        response = await handler(request)
        if self.odd_era or self.era is not None:
            response.headers['Store-Era'] = self.odd_era or str(self.era)
        return response

    async def _handle_range(self, request: web.Request) -> web.Response:
        self.calls += 1
        if self.is_busy:
            return web.Response(status=503)
        prefix = request.query['prefix']
        items = [
            item
            for key, item in sorted(self.items_by_key.items())
            if key.startswith(prefix) and key > request.query.get('after', '')
        ]
        return web.json_response(
            {
                'items': items[:50],
                'hasMore': len(items) > 50,
                'currentRev': self.revision,
            }
        )

    async def _handle_watch(self, request: web.Request) -> web.Response:
        self.calls += 1
        prefix = request.query['prefix']
        after = int(request.query['after'])
        if self.drops_next_watch:
            self.drops_next_watch = False
            await asyncio.Event().wait()
        try:
            async with asyncio.timeout(int(request.query['waitMs']) / 1000):
                while (
                    not self._events_after(prefix, after)
                    and not self.is_busy
                    and after <= self.revision
                ):
                    await self._event_added.wait()
        except TimeoutError:
            pass
        if self.is_busy:
            return web.Response(status=503)
        if self.is_compacted or after > self.revision:
            self.is_compacted = False
            return web.Response(status=410)
        return web.json_response(
            {
                'events': self._events_after(prefix, after),
                'currentRev': self.revision,
            }
        )

    def _events_after(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event.item
            or {'key': event.key, 'revision': event.revision, 'removed': True}
            for event in self._events
            if event.revision > after and event.key.startswith(prefix)
        ]
