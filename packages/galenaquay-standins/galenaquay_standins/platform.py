"""Platform stand-in that publishes a configuration and a list of VMs.

Clients can read and watch both documents under `/v1/`. Tests and the demo
publish new versions under `/standin/`.
"""

import asyncio
import copy
import dataclasses
import time
from typing import Any, Final

from aiohttp import web
import orjson

# Maximum time that a watch waits for a change, in seconds.
WATCH_MAX_S: Final = 30.0


@dataclasses.dataclass
class Faults:
    """Faults that the platform stand-in injects."""

    # Responds 503 to each read.
    down: bool = False
    # Returns the documents as they were when the fault was set.
    stale: bool = False
    # Returns the version published before the latest.
    fall_back: bool = False


@dataclasses.dataclass
class PublishedDocument:
    """One published document and the older copies that faults return."""

    body: dict[str, Any]
    # Copy made when the `stale` fault was set.
    stale_body: dict[str, Any]
    # Body before the latest publication; returned by `fall_back`.
    previous_body: dict[str, Any]


class Platform:
    """HTTP server of the configuration and the list of VMs."""

    # Documents by name: `config` and `vms`.
    documents_by_name: dict[str, PublishedDocument]
    # Number of reads received, including refused reads. A watch counts as one
    # read.
    reads: int

    def __init__(
        self, config: dict[str, Any], vms: dict[str, Any], reads_s: float
    ) -> None:
        self.documents_by_name = {
            'config': PublishedDocument(config, config, config),
            'vms': PublishedDocument(vms, vms, vms),
        }
        self.reads = 0
        self.refused_reads = 0
        self.faults = Faults()
        # Read rate above which reads are refused, in reads per second. Bursts
        # of up to one second's reads are served.
        self._reads_s = reads_s
        self._read_tokens = reads_s
        self._refilled_at = time.monotonic()
        self._changed = asyncio.Condition()

    def app(self) -> web.Application:
        """Builds the platform's HTTP application."""
        app = web.Application()
        app.add_routes(
            [
                web.get('/v1/{name:config|vms}', self.read),
                web.put('/standin/{name:config|vms}', self.publish),
                web.post('/standin/fault', self.set_fault),
                web.get('/standin/counters', self.counters),
            ]
        )
        return app

    async def read(self, request: web.Request) -> web.Response:
        """Responds to a read at once and to a watch at the next change."""
        self.reads += 1
        if self.faults.down:
            raise web.HTTPServiceUnavailable()
        if not self._consume_read_token():
            self.refused_reads += 1
            raise web.HTTPTooManyRequests()
        name = request.match_info['name']
        after = int(request.query.get('after', '-1'))
        wait_s = min(WATCH_MAX_S, float(request.query.get('wait', '0')))
        body = await self._wait_newer(name, after, wait_s)
        if body['version'] <= after:
            return web.Response(status=304)
        return web.Response(
            body=orjson.dumps(body), content_type='application/json'
        )

    def _consume_read_token(self) -> bool:
        now = time.monotonic()
        refill = (now - self._refilled_at) * self._reads_s
        self._refilled_at = now
        self._read_tokens = min(self._reads_s, self._read_tokens + refill)
        if self._read_tokens < 1:
            return False
        self._read_tokens -= 1
        return True

    def _current_body(self, name: str) -> dict[str, Any]:
        published = self.documents_by_name[name]
        if self.faults.fall_back:
            return published.previous_body
        return published.stale_body if self.faults.stale else published.body

    async def _wait_newer(
        self, name: str, after: int, wait_s: float
    ) -> dict[str, Any]:
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: self._current_body(name)['version'] > after
                )
        except TimeoutError:
            pass
        return self._current_body(name)

    async def publish(self, request: web.Request) -> web.Response:
        """Publishes a new version of a document."""
        body = orjson.loads(await request.read())
        name = request.match_info['name']
        published = self.documents_by_name[name]
        published.previous_body = published.body
        published.body = body
        async with self._changed:
            self._changed.notify_all()
        return web.json_response({'version': body['version']})

    async def set_fault(self, request: web.Request) -> web.Response:
        """Updates the injected faults."""
        body = orjson.loads(await request.read())
        if body.get('stale') and not self.faults.stale:
            for published in self.documents_by_name.values():
                published.stale_body = copy.deepcopy(published.body)
        self.faults = dataclasses.replace(self.faults, **body)
        return web.json_response(dataclasses.asdict(self.faults))

    async def counters(self, request: web.Request) -> web.Response:
        """Returns the numbers of received reads and of refused reads."""
        return web.json_response(
            {'reads': self.reads, 'refused_reads': self.refused_reads}
        )
