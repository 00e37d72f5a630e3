"""Callers' side of forwarding: requests in, answers out, over HTTP/1.1."""

import asyncio
import logging
from typing import Final, Protocol

from aiohttp import web

from ..configuration import current as current_module
from ..configuration import routes
from ..outcomes import forwarding
from ..ports import exchange
from . import timed_connections

LOG: Final = logging.getLogger(__name__)
# Bytes of one header line, and of all, that the parser takes.
MAX_HEADER_BYTES: Final = 16384


class RequestCodec(Protocol):
    """Translates callers' requests into typed messages."""

    def decode_request(
        self, request: web.BaseRequest, body: bytes, received_s: float
    ) -> exchange.Request | str:
        """Returns the request, or what is wrong with it."""
        ...


class BodyError(Exception):
    """A caller's body is not allowed; nothing of the request has run."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class HttpReply:
    """One caller's answer."""

    is_started: bool

    def __init__(self, request: web.BaseRequest, closes: bool) -> None:
        self.is_started = False
        self._request = request
        self._closes = closes
        self._response: web.StreamResponse | None = None

    def close_after(self) -> None:
        """Has the connection closed once the answer is out."""
        self._closes = True

    def _prepare(self, head: exchange.Head) -> web.StreamResponse:
        response = web.StreamResponse(status=head.status)
        for name, value in head.headers:
            response.headers.add(name, value)
        if self._closes:
            response.force_close()
        self._response = response
        return response

    async def start(self, head: exchange.Head) -> None:
        """Sends status and headers of an answer in pieces."""
        self.is_started = True
        response = self._prepare(head)
        response.enable_chunked_encoding()
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Sends a piece; waits for a reader that is slow."""
        assert self._response is not None
        await self._response.write(data)

    async def finish(self) -> None:
        """Ends the answer as complete."""
        assert self._response is not None
        await self._response.write_eof()

    def abort(self) -> None:
        """Breaks the answer off so that it cannot be taken for complete."""
        if self._request.transport is not None:
            self._request.transport.abort()

    async def send_whole(self, head: exchange.Head, body: bytes) -> None:
        """Sends an answer with its whole body."""
        self.is_started = True
        response = self._prepare(head)
        response.content_length = len(body)
        await response.prepare(self._request)
        await response.write(body)
        await response.write_eof()

    async def refuse(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        """Sends an answer of our own."""
        headers = [('Content-Type', 'text/plain; charset=utf-8')]
        if retry_after_s is not None:
            headers.append(('Retry-After', f'{retry_after_s:.3f}'))
        head = exchange.Head(status, tuple(headers), is_stream=False)
        await self.send_whole(head, f'{reason}\n'.encode())

    def response(self) -> web.StreamResponse:
        """Returns the answer that was sent."""
        assert self._response is not None
        return self._response


class ForwardFront:
    """Reads requests from callers' connections and has them served."""

    # Whether connections are closed after the answer that is being sent.
    is_closing: bool
    # Requests that have been read and not yet answered.
    in_progress: int

    def __init__(
        self,
        forwarder: forwarding.Forwarder,
        current: current_module.Current,
        codec: RequestCodec,
    ) -> None:
        self.is_closing = False
        self.in_progress = 0
        self._forwarder = forwarder
        self._current = current
        self._codec = codec

    def _limits(self) -> routes.RequestLimits:
        table = self._current.table
        return routes.RequestLimits() if table is None else table.limits

    def server(self) -> web.Server:
        """Builds the server for callers' connections."""
        return timed_connections.TimedServer(
            self._handle,
            self._limits,
            access_log=None,
            auto_decompress=False,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        received_s = asyncio.get_running_loop().time()
        reply = HttpReply(request, self.is_closing)
        connection = request.protocol
        assert isinstance(connection, timed_connections.TimedConnection)
        connection.begin_request()
        self.in_progress += 1
        try:
            await self._serve(request, reply, received_s)
        except ConnectionError as exc:
            LOG.info('caller gone', extra={'detail': str(exc)})
            reply.abort()
            raise asyncio.CancelledError from exc
        finally:
            self.in_progress -= 1
            connection.end_request()
        return reply.response()

    async def _serve(
        self, request: web.BaseRequest, reply: HttpReply, received_s: float
    ) -> None:
        try:
            body = await self._read_body(request)
        except BodyError as exc:
            reply.close_after()
            await reply.refuse(exc.status, exc.reason)
            return
        decoded = self._codec.decode_request(request, body, received_s)
        if isinstance(decoded, str):
            await reply.refuse(400, decoded)
            return
        await self._forwarder.serve(decoded, reply)

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        """Returns the body; raises BodyError if it is not allowed."""
        allowed = self._limits().body_bytes
        if (request.content_length or 0) > allowed:
            raise BodyError(413, 'the body is too large')
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self._longest_s()
        parts: list[bytes] = []
        size = 0
        while not request.content.at_eof():
            data = await self._read_piece(request, end_s - loop.time())
            size += len(data)
            if size > allowed:
                raise BodyError(413, 'the body is too large')
            parts.append(data)
        return b''.join(parts)

    def _longest_s(self) -> float:
        """Returns the time that any request may take, in seconds."""
        table = self._current.table
        return self._limits().idle_s if table is None else table.longest_s

    async def _read_piece(
        self, request: web.BaseRequest, left_s: float
    ) -> bytes:
        content = request.content
        if content.is_eof():
            # All of it is here already, as with nearly every request.
            return await content.readany()
        try:
            async with asyncio.timeout(min(self._limits().idle_s, left_s)):
                return await content.readany()
        except TimeoutError:
            raise BodyError(408, 'the body came too slowly') from None
