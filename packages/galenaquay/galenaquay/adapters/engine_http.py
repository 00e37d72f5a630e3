"""HTTP client for engines; implements the port `ports.engine`.

docs/ENGINE-API.md specifies the protocol. Only this module depends on the
protocol; an engine with another protocol needs another adapter of the port.
"""

import asyncio
from typing import Any, Final
from urllib import parse

import aiohttp
import orjson

from .. import codes
from .. import ids
from . import http_calls
from ..limits import shares
from ..ports import engine as engine_port
from ..ports import exchange
from ..streams import events

# Read buffer of one response, in bytes; aiohttp pauses reading from the engine
# while more than twice this size is buffered.
READ_BUFFER_BYTES: Final = 8 * 1024
DEFAULT_PORT: Final = 80
# Timeout for connecting to an engine, in seconds.
CONNECT_TIMEOUT_S: Final = 1.0
# Timeout for an engine's load or holdings report, in seconds.
REPORT_TIMEOUT_S: Final = 1.0
# Largest size of such a report, in bytes.
MAX_REPORT_BYTES: Final = 1024 * 1024
# Timeout for an engine to confirm a cancellation, in seconds.
CANCEL_TIMEOUT_S: Final = 0.5
# Limit on the connections to all engines together; 0 disables the limit, since
# grants already limit the number of requests.
MAX_CONNECTIONS: Final = 0


class HttpResponseStream:
    """A streamed response of an engine on one connection."""

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        splitter: events.EventSplitter,
    ) -> None:
        self._response = response
        self._splitter = splitter

    async def next_chunk(self) -> engine_port.Chunk | codes.Failure:
        """Returns the next complete events, or why no more will follow."""
        content = self._response.content
        try:
            while data := await content.readany():
                chunk = self._splitter.feed(data)
                if chunk is not None:
                    return chunk
        except (aiohttp.ClientError, OSError) as exc:
            return _engine_failure(exc)
        return codes.failure(codes.Code.ENGINE_BROKE, 'the answer ended early')

    async def close(self) -> None:
        """Closes the connection; does not cancel at the engine."""
        self._response.close()


class HttpPartHold:
    """A part of a prompt that an engine holds while a connection is open."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response

    async def wait_until_lost(self) -> None:
        """Waits until the engine no longer holds the part."""
        try:
            await self._response.content.readany()
        except (aiohttp.ClientError, OSError):
            return

    async def close(self) -> None:
        """Closes the connection; does not cancel at the engine."""
        self._response.close()


class HttpEngines:
    """HTTP client for engines, by URL."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    @property
    def session(self) -> aiohttp.ClientSession:
        """The client session for all engines, created on first use."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=MAX_CONNECTIONS),
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=CONNECT_TIMEOUT_S
                ),
                read_bufsize=READ_BUFFER_BYTES,
                json_serialize=_dumps,
            )
        return self._session

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def run(
        self, request: engine_port.RunRequest
    ) -> HttpResponseStream | codes.Failure:
        """Sends a run request; returns once the headers have arrived."""
        path = '/v1/chat/completions' if request.is_chat else '/v1/completions'
        body = {
            **request.body,
            'stream': True,
            'galenaquay': _protocol_extension(request),
        }
        response = await self._post(request, path, body)
        if isinstance(response, codes.Failure):
            return response
        splitter = events.EventSplitter(
            request.request_id, request.attempt, request.resume_offset
        )
        return HttpResponseStream(response, splitter)

    async def _post(
        self, request: engine_port.RunRequest, path: str, body: dict[str, Any]
    ) -> aiohttp.ClientResponse | codes.Failure:
        headers = {'Content-Type': 'application/json'}
        if request.traceparent:
            headers['traceparent'] = request.traceparent
        try:
            response = await self.session.post(
                request.url + path, data=orjson.dumps(body), headers=headers
            )
        except aiohttp.ClientConnectorError as exc:
            return codes.failure(codes.Code.CONNECT_FAILED, str(exc))
        except aiohttp.ServerTimeoutError as exc:
            return codes.failure(codes.Code.CONNECT_FAILED, str(exc))
        except (aiohttp.ClientError, OSError) as exc:
            return _engine_failure(exc)
        if response.status == 200:
            return response
        response.close()
        if response.status == 409:
            return codes.failure(codes.Code.BACK_END_REFUSED)
        return codes.failure(
            codes.Code.ENGINE_BROKE, f'answered {response.status}'
        )

    async def hold_part(
        self, request: engine_port.RunRequest
    ) -> HttpPartHold | codes.Failure:
        """Has an engine prefill and hold one part of a prompt.

        Args:
            request: The request, for a prompt that is spread over a group of
                engines.
        """
        response = await self._post(
            request, '/engine/v1/parts', _protocol_extension(request)
        )
        if isinstance(response, codes.Failure):
            return response
        try:
            ready = await response.content.readany()
        except (aiohttp.ClientError, OSError) as exc:
            return _engine_failure(exc)
        if not ready:
            return codes.failure(codes.Code.ENGINE_BROKE, 'a part was dropped')
        return HttpPartHold(response)

    async def cancel(
        self, url: str, request_id: ids.RequestId, attempt: int
    ) -> bool:
        """Cancels a request; returns whether the engine confirmed it."""
        body = orjson.dumps({'request_id': request_id, 'attempt': attempt})
        call = http_calls.Call(
            'POST',
            '/engine/v1/cancel',
            [('Content-Type', 'application/json')],
            body,
        )
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                response = await http_calls.start(
                    _address(url), call, CANCEL_TIMEOUT_S
                )
        except (exchange.ExchangeBrokenError, OSError):
            return False
        response.close()
        return response.status == 200

    async def load(self, url: str) -> engine_port.LoadReport | codes.Failure:
        """Reads an engine's load report."""
        body = await self._get_report(url, '/engine/v1/load')
        if isinstance(body, codes.Failure):
            return body
        return engine_port.LoadReport(
            incarnation=int(body['incarnation']),
            held_tokens=int(body['held_tokens']),
            backlog_tokens=int(body.get('backlog_tokens', 0)),
            running=int(body.get('running', 0)),
            is_cold=bool(body['cold']),
            age_s=body['age_ms'] / 1000,
        )

    async def holdings(
        self, url: str
    ) -> engine_port.HoldingsReport | codes.Failure:
        """Reads the list of requests whose memory an engine holds."""
        body = await self._get_report(url, '/engine/v1/holdings')
        if isinstance(body, codes.Failure):
            return body
        holdings = (
            shares.parse_tag(
                ids.RequestId(h['request_id']), int(h['attempt']), h['grant']
            )
            for h in body['holdings']
        )
        return engine_port.HoldingsReport(
            incarnation=int(body['incarnation']),
            holdings=tuple(h for h in holdings if h is not None),
        )

    async def _get_report(
        self, url: str, target: str
    ) -> dict[str, Any] | codes.Failure:
        call = http_calls.Call('GET', target, ())
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                answer = await http_calls.call_at(
                    _address(url), call, MAX_REPORT_BYTES, REPORT_TIMEOUT_S
                )
            if answer.status != 200:
                return codes.failure(
                    codes.Code.ENGINE_BROKE, f'answered {answer.status}'
                )
            body: dict[str, Any] = orjson.loads(answer.body)
        except (exchange.ExchangeBrokenError, OSError, ValueError) as exc:
            return _engine_failure(exc)
        return body


def _address(url: str) -> http_calls.Address:
    parts = parse.urlsplit(url)
    return http_calls.Address(
        parts.hostname or '', parts.port or DEFAULT_PORT, CONNECT_TIMEOUT_S
    )


def _protocol_extension(request: engine_port.RunRequest) -> dict[str, Any]:
    extension: dict[str, Any] = {
        'request_id': request.request_id,
        'attempt': request.attempt,
        'priority': request.priority,
        'grant': request.grant_tag,
    }
    if request.resume_offset:
        extension['resume_offset'] = request.resume_offset
    if request.part_tokens:
        extension['part_tokens'] = request.part_tokens
    return extension


def _engine_failure(exc: Exception) -> codes.Failure:
    detail = str(exc) or type(exc).__name__
    return codes.failure(codes.Code.ENGINE_BROKE, detail)


def _dumps(value: Any) -> str:
    return orjson.dumps(value).decode()
