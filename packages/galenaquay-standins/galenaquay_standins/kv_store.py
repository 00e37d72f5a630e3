"""The users' platform store, as far as entries read it: ranges and watches.

Everything is kept in memory; a test writes by calling methods and breaks it
by setting fields.
"""

import asyncio
import base64
import dataclasses
from typing import Any

from aiohttp import web
import orjson


@dataclasses.dataclass
class Event:
    """One change: an item, or a key that was removed."""

    revision: int
    key: str
    item: dict[str, Any] | None


class KvStore:
    """A store on loopback."""

    # Whether calls are refused as if the store were busy.
    is_busy: bool
    # Whether the history of changes is gone.
    is_compacted: bool
    # Whether the answer of the next watch is lost.
    loses_watch: bool

    def __init__(self) -> None:
        self.is_busy = False
        self.is_compacted = False
        self.loses_watch = False
        self.calls = 0
        self.revision = 1
        self.items_by_key: dict[str, dict[str, Any]] = {}
        self._events: list[Event] = []
        self._written = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self, port: int) -> None:
        """Serves on a port of the loopback."""
        app = web.Application()
        app.router.add_get('/api/kv-range', self._range)
        app.router.add_get('/api/kv-watch', self._watch)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(
            self._runner, '127.0.0.1', port, shutdown_timeout=0.1
        )
        await site.start()

    async def stop(self) -> None:
        """Closes the port."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, key: str, value: Any) -> None:
        """Writes an item; bytes are taken as they are."""
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
        self._note(Event(self.revision, key, self.items_by_key[key]))

    def remove(self, key: str) -> None:
        """Removes an item."""
        self.revision += 1
        self.items_by_key.pop(key, None)
        self._note(Event(self.revision, key, None))

    def _note(self, event: Event) -> None:
        self._events.append(event)
        self._written.set()
        self._written = asyncio.Event()

    async def _range(self, request: web.Request) -> web.Response:
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

    async def _watch(self, request: web.Request) -> web.Response:
        self.calls += 1
        prefix = request.query['prefix']
        after = int(request.query['after'])
        if self.loses_watch:
            self.loses_watch = False
            await asyncio.Event().wait()
        try:
            async with asyncio.timeout(int(request.query['waitMs']) / 1000):
                while not self._changes(prefix, after) and not self.is_busy:
                    await self._written.wait()
        except TimeoutError:
            pass
        if self.is_busy:
            return web.Response(status=503)
        if self.is_compacted:
            self.is_compacted = False
            return web.Response(status=410)
        return web.json_response(
            {
                'events': self._changes(prefix, after),
                'currentRev': self.revision,
            }
        )

    def _changes(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event.item
            or {'key': event.key, 'revision': event.revision, 'removed': True}
            for event in self._events
            if event.revision > after and event.key.startswith(prefix)
        ]
