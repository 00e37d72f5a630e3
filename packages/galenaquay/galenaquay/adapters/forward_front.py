"""HTTP/1.1 server that receives callers' requests and has them forwarded."""

import asyncio
import logging
from typing import Final, Protocol

from aiohttp import http
from aiohttp import web

from ..configuration import current as current_module
from ..configuration import routes
from ..outcomes import forwarding
from ..ports import exchange
from . import timed_connections

LOG: Final = logging.getLogger(__name__)
# Limit of the HTTP parser on the request line and on each header, in bytes.
MAX_HEADER_BYTES: Final = 16384


class RequestCodec(Protocol):
    """Decodes callers' HTTP requests."""

    def decode_request(
        self, request: web.BaseRequest, body: bytes, received_s: float
    ) -> exchange.Request | str:
        """Decodes a caller's request.

        Args:
            request: The HTTP request.
            body: The complete body.
            received_s: When the headers of the request had arrived, on the
                clock of the event loop, in seconds.

        Returns:
            The decoded request, or the reason why the request is invalid.
        """
        ...


class BodyError(Exception):
    """A body is too large or arrives too slowly; nothing was forwarded."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class HttpResponseWriter:
    """The HTTP response to one request of a caller."""

    # Whether any part of the response was sent.
    is_started: bool

    def __init__(
        self,
        request: web.BaseRequest,
        connection: timed_connections.TimedConnection,
        closes_connection: bool,
    ) -> None:
        self.is_started = False
        self._connection = connection
        # Whether the end of the connection marks the end of the response.
        self._ends_with_connection = False
        self._request = request
        self._closes_connection = closes_connection
        self._response: web.StreamResponse | None = None

    def close_after_response(self) -> None:
        """Has the connection closed after the response."""
        self._closes_connection = True

    def _prepare(self, head: exchange.Head) -> web.StreamResponse:
        assert self._response is None, 'a response has begun'
        response = web.StreamResponse(status=head.status)
        for name, value in head.headers:
            response.headers.add(name, value)
        if self._closes_connection:
            response.force_close()
        self._response = response
        self._connection.begin_response()
        return response

    async def start(self, head: exchange.Head) -> None:
        """Sends status and headers of a response of unknown length.

        The body is sent in chunked encoding, or to a client of HTTP/1.0 until
        the end of its connection.
        """
        self.is_started = True
        response = self._prepare(head)
        if self._request.version >= http.HttpVersion11:
            response.enable_chunked_encoding()
        else:
            self._ends_with_connection = True
            response.force_close()
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Sends a part of the body; waits while the send buffer is full."""
        assert self._response is not None
        await self._response.write(data)

    async def finish(self) -> None:
        """Marks the response as complete."""
        assert self._response is not None
        await self._response.write_eof()

    def abort(self) -> None:
        """Aborts the connection, so that the response is seen as truncated."""
        if self._ends_with_connection:
            self._connection.reset()
        else:
            self._connection.abort()

    async def send_whole(self, head: exchange.Head, body: bytes) -> None:
        """Sends a complete response with a Content-Length."""
        self.is_started = True
        response = self._prepare(head)
        response.content_length = len(body)
        await response.prepare(self._request)
        await response.write(body)
        await response.write_eof()

    async def refuse(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        """Sends a plain-text error response.

        Args:
            status: The HTTP status.
            reason: The body, without its newline.
            retry_after_s: Value of the Retry-After header, in seconds; None
                sends no such header.
        """
        headers = [('Content-Type', 'text/plain; charset=utf-8')]
        if retry_after_s is not None:
            headers.append(('Retry-After', f'{retry_after_s:.3f}'))
        head = exchange.Head(status, tuple(headers), is_stream=False)
        await self.send_whole(head, f'{reason}\n'.encode())

    def response(self) -> web.StreamResponse:
        """Returns the response that was sent."""
        assert self._response is not None
        return self._response


class ForwardingServer:
    """Receives requests on callers' connections and has them forwarded."""

    # Whether the responses to new requests close their connections.
    is_closing: bool
    # Number of requests that were received and have no complete response yet.
    in_progress: int

    def __init__(
        self,
        forwarder: forwarding.Forwarder,
        current: current_module.RouteTableInForce,
        codec: RequestCodec,
    ) -> None:
        self.is_closing = False
        self.in_progress = 0
        self._forwarder = forwarder
        self._current = current
        self._codec = codec
        self._server: timed_connections.TimedServer | None = None

    def open_responses(self) -> int:
        """Returns how many callers have no whole response yet.

        A response is open until the caller's host has acknowledged its last
        byte, as far as the kernel reports that.
        """
        unsent = 0 if self._server is None else self._server.unsent_responses()
        return self.in_progress + unsent

    def _limits(self) -> routes.RequestLimits:
        table = self._current.table
        return routes.RequestLimits() if table is None else table.limits

    def server(self) -> web.Server:
        """Returns the server for callers' connections."""
        self._server = timed_connections.TimedServer(
            self._handle,
            self._limits,
            access_log=None,
            auto_decompress=False,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        return self._server

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        received_s = asyncio.get_running_loop().time()
        connection = request.protocol
        assert isinstance(connection, timed_connections.TimedConnection)
        writer = HttpResponseWriter(request, connection, self.is_closing)
        connection.begin_request(request)
        self.in_progress += 1
        try:
            await self._serve(request, writer, received_s)
        except ConnectionError as exc:
            LOG.info('caller gone', extra={'detail': str(exc)})
            writer.abort()
            raise asyncio.CancelledError from exc
        finally:
            self.in_progress -= 1
            connection.end_request()
        return writer.response()

    async def _serve(
        self,
        request: web.BaseRequest,
        writer: HttpResponseWriter,
        received_s: float,
    ) -> None:
        try:
            body = await self._read_body(request)
        except BodyError as exc:
            writer.close_after_response()
            await writer.refuse(exc.status, exc.reason)
            return
        decoded = self._codec.decode_request(request, body, received_s)
        if isinstance(decoded, str):
            await writer.refuse(400, decoded)
            return
        await self._forwarder.serve(decoded, writer)

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        """Returns the body; raises BodyError if it is too large or slow."""
        max_bytes = self._limits().body_bytes
        if (request.content_length or 0) > max_bytes:
            raise BodyError(413, 'the body is too large')
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self._max_timeout_s()
        parts: list[bytes] = []
        size = 0
        while not request.content.at_eof():
            data = await self._read_chunk(request, end_s - loop.time())
            size += len(data)
            if size > max_bytes:
                raise BodyError(413, 'the body is too large')
            parts.append(data)
        return b''.join(parts)

    def _max_timeout_s(self) -> float:
        """Returns the longest timeout of all routes, in seconds.

        Returns the idle timeout while no route table is in force.
        """
        table = self._current.table
        return self._limits().idle_s if table is None else table.max_timeout_s

    async def _read_chunk(
        self, request: web.BaseRequest, left_s: float
    ) -> bytes:
        content = request.content
        if content.is_eof():
            # The rest of the body has already arrived, as for nearly every
            # request; no timeout is needed.
            return await content.readany()
        try:
            async with asyncio.timeout(min(self._limits().idle_s, left_s)):
                return await content.readany()
        except TimeoutError:
            raise BodyError(408, 'the body came too slowly') from None
