"""Plain service stand-in that counts how often it executes each call.

Calls are counted by the header `X-Call-Key`, so that a test can compare the
number of executions with the responses that the client received.
"""

import asyncio
import collections
import dataclasses
from typing import Any

from aiohttp import web
import orjson


@dataclasses.dataclass
class Faults:
    """Faults that the service stand-in injects."""

    # Delay before a call is executed, in seconds.
    late_s: float = 0.0
    # Executes a call, then aborts the connection without a response.
    drop_answers: bool = False
    # Aborts the connection before a call is executed.
    drop_calls: bool = False
    # Executes a call and delays the response by an hour.
    hang: bool = False


class Service:
    """HTTP server of a service whose calls must not be executed twice."""

    # Number of executions of each call, by the value of `X-Call-Key`.
    runs_by_key: collections.Counter[str]

    def __init__(self) -> None:
        self.runs_by_key = collections.Counter()
        self.faults = Faults()

    def app(self) -> web.Application:
        """Builds the service's HTTP application."""
        app = web.Application()
        app.add_routes(
            [
                web.get('/engine/v1/load', self.load),
                web.get('/standin/counters', self.counters),
                web.post('/standin/fault', self.set_fault),
                web.route('*', '/{path:.*}', self.call),
            ]
        )
        return app

    async def call(self, request: web.Request) -> web.StreamResponse:
        """Executes a call and returns its key and number of executions."""
        body = await request.read()
        if self.faults.drop_calls:
            return _abort_connection(request)
        await asyncio.sleep(self.faults.late_s)
        key = request.headers.get('X-Call-Key', '')
        self.runs_by_key[key] += 1
        if self.faults.drop_answers:
            return _abort_connection(request)
        if self.faults.hang:
            await asyncio.sleep(3600)
        return web.json_response(
            {
                'path': request.path,
                'key': key,
                'run': self.runs_by_key[key],
                'bytes': len(body),
            }
        )

    async def load(self, request: web.Request) -> web.Response:
        """Returns an empty load report in the engines' format."""
        return web.json_response(
            {'incarnation': 1, 'held_tokens': 0, 'cold': False, 'age_ms': 0}
        )

    async def counters(self, request: web.Request) -> web.Response:
        """Returns the number of executions of each call."""
        return web.json_response(dict(self.runs_by_key))

    async def set_fault(self, request: web.Request) -> web.Response:
        """Updates the injected faults."""
        body: dict[str, Any] = orjson.loads(await request.read())
        self.faults = dataclasses.replace(self.faults, **body)
        return web.json_response(dataclasses.asdict(self.faults))


def _abort_connection(request: web.Request) -> web.StreamResponse:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()
