"""Model engines over HTTP, in the form of docs/ENGINE-API.md.

The only module that knows the wire form; another dialect is another adapter
behind the same port.
"""

import asyncio
from typing import Any, Final

import aiohttp
import orjson

from .. import codes
from .. import ids
from ..limits import ledger
from ..ports import engine as engine_port
from ..streams import events

# Bytes of one answer that may wait in this process before it is read on.
READ_BUFFER_BYTES: Final = 8 * 1024
# Time for a connection to an engine, in seconds.
CONNECT_S: Final = 1.0
# Time for an engine to answer a question about itself, in seconds.
QUESTION_S: Final = 1.0
# Time for an engine to confirm a cancel, in seconds.
CANCEL_S: Final = 0.5
# Connections to all engines; grants bound the requests, so that this need not.
UNBOUNDED: Final = 0


class HttpAnswer:
    """An answer that is read over one connection."""

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        splitter: events.EventSplitter,
    ) -> None:
        self._response = response
        self._splitter = splitter

    async def next_chunk(self) -> engine_port.Chunk | codes.Failure:
        """Returns what has come next, or why no more will come."""
        content = self._response.content
        try:
            while data := await content.readany():
                chunk = self._splitter.feed(data)
                if chunk is not None:
                    return chunk
        except (aiohttp.ClientError, OSError) as exc:
            return _broke(exc)
        return codes.failure(codes.Code.ENGINE_BROKE, 'the answer ended early')

    async def close(self) -> None:
        """Closes the connection; does not cancel at the engine."""
        self._response.close()


class HttpPartHold:
    """A part that an engine holds as long as the connection lasts."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response

    async def wait_until_lost(self) -> None:
        """Returns when the engine no longer holds the part."""
        try:
            await self._response.content.readany()
        except (aiohttp.ClientError, OSError):
            return

    async def close(self) -> None:
        """Closes the connection; does not cancel at the engine."""
        self._response.close()


class HttpEngines:
    """Model engines, reached by their addresses."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    @property
    def session(self) -> aiohttp.ClientSession:
        """The connections to all engines, opened at the first use."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=UNBOUNDED),
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=CONNECT_S
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
    ) -> HttpAnswer | codes.Failure:
        """Hands a run order over and returns the answer's beginning."""
        path = '/v1/chat/completions' if request.is_chat else '/v1/completions'
        body = {
            **request.body,
            'stream': True,
            'galenaquay': _extension(request),
        }
        response = await self._post(request, path, body)
        if isinstance(response, codes.Failure):
            return response
        splitter = events.EventSplitter(
            request.request_id, request.attempt, request.resume_offset
        )
        return HttpAnswer(response, splitter)

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
            return _broke(exc)
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
        """Prefills and holds one part of a prompt that a group reads."""
        response = await self._post(
            request, '/engine/v1/parts', _extension(request)
        )
        if isinstance(response, codes.Failure):
            return response
        try:
            ready = await response.content.readany()
        except (aiohttp.ClientError, OSError) as exc:
            return _broke(exc)
        if not ready:
            return codes.failure(codes.Code.ENGINE_BROKE, 'a part was dropped')
        return HttpPartHold(response)

    async def cancel(
        self, url: str, request_id: ids.RequestId, attempt: int
    ) -> bool:
        """Cancels a request; returns whether the engine confirmed it."""
        body = {'request_id': request_id, 'attempt': attempt}
        try:
            async with (
                asyncio.timeout(CANCEL_S),
                self.session.post(
                    f'{url}/engine/v1/cancel', json=body
                ) as response,
            ):
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def load(self, url: str) -> engine_port.LoadReport | codes.Failure:
        """Reads an engine's load report."""
        body = await self._ask(f'{url}/engine/v1/load')
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
        """Asks an engine what it holds."""
        body = await self._ask(f'{url}/engine/v1/holdings')
        if isinstance(body, codes.Failure):
            return body
        holdings = (
            ledger.parse_tag(
                ids.RequestId(h['request_id']), int(h['attempt']), h['grant']
            )
            for h in body['holdings']
        )
        return engine_port.HoldingsReport(
            incarnation=int(body['incarnation']),
            holdings=tuple(h for h in holdings if h is not None),
        )

    async def _ask(self, url: str) -> dict[str, Any] | codes.Failure:
        try:
            async with (
                asyncio.timeout(QUESTION_S),
                self.session.get(url) as response,
            ):
                if response.status != 200:
                    return codes.failure(
                        codes.Code.ENGINE_BROKE, f'answered {response.status}'
                    )
                body: dict[str, Any] = orjson.loads(await response.read())
                return body
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            return _broke(exc)


def _extension(request: engine_port.RunRequest) -> dict[str, Any]:
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


def _broke(exc: Exception) -> codes.Failure:
    detail = str(exc) or type(exc).__name__
    return codes.failure(codes.Code.ENGINE_BROKE, detail)


def _dumps(value: Any) -> str:
    return orjson.dumps(value).decode()
