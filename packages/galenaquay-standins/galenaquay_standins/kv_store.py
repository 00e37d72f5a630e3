"""Stand-in for the key-value store of the users' platform.

Implements the range and watch calls that the entry processes use, and keeps
all items in memory. Tests write items by calling methods and inject faults by
setting attributes.
"""

import asyncio
import base64
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


class KvStore:
    """Key-value store that listens on loopback."""

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
        self.calls = 0
        self.revision = 1
        self.items_by_key: dict[str, dict[str, Any]] = {}
        self._events: list[Event] = []
        self._event_added = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self, port: int) -> None:
        """Starts to listen on a port."""
        app = web.Application()
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

    def _append_event(self, event: Event) -> None:
        self._events.append(event)
        self._event_added.set()
        self._event_added = asyncio.Event()

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
                    not self._events_after(prefix, after) and not self.is_busy
                ):
                    await self._event_added.wait()
        except TimeoutError:
            pass
        if self.is_busy:
            return web.Response(status=503)
        if self.is_compacted:
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
