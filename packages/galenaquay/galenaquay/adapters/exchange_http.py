"""HTTP/1.1 client for endpoints that opens a new connection per request.

Connections are not reused: a reused connection may still deliver the rest of
an earlier response, and the endpoint may close it just as the next request is
sent.
"""

import asyncio
from collections.abc import AsyncIterator
import logging
import socket
from typing import Any, Final, Protocol

import h11

from ..engines import directory
from ..ports import exchange
from . import raw_heads
from . import run_checks

LOG: Final = logging.getLogger(__name__)
# Timeout for connecting to an endpoint, in seconds.
CONNECT_TIMEOUT_S: Final = 0.25
# TCP options that detect dead peers. The connection fails if sent data remains
# unacknowledged, or keepalive probes on an idle connection unanswered, for
# TCP_USER_TIMEOUT_MS; on Linux this timeout takes precedence over
# KEEPALIVE_PROBES, the number of unanswered probes. The idle time before the
# first probe and the interval between probes are in seconds.
TCP_USER_TIMEOUT_MS: Final = 1500
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
# Largest number of bytes per read from a connection.
READ_BYTES: Final = 32 * 1024
# Limit on the status line and headers of a response, in bytes; a response
# beyond it is treated as broken.
MAX_HEAD_BYTES: Final = 64 * 1024
# Maximum number of informational responses (status 1xx) before a response.
MAX_INFORMATIONAL: Final = 16


class Codec(Protocol):
    """Encodes and decodes the headers that endpoints use."""

    def encode(
        self, request: exchange.Request, params: exchange.AttemptParams
    ) -> list[tuple[str, str]]:
        """Returns the headers of one attempt of a request."""
        ...

    def decode(
        self,
        request: exchange.Request,
        status: int,
        headers: list[tuple[str, str]],
    ) -> exchange.Head | exchange.SendError:
        """Decodes the status and headers of a response.

        Returns:
            The decoded head, or an error if the endpoint did not run the
            request or the response does not belong to the request.
        """
        ...


def detect_dead_peer(sock: socket.socket) -> None:
    """Sets the TCP options that detect a peer which no longer responds."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


def open_socket(info: Any) -> socket.socket:
    """Creates a socket with `detect_dead_peer`, for aiohttp connectors.

    Args:
        info: An entry of the list that `socket.getaddrinfo` returns.
    """
    family, kind, protocol, _, _ = info
    sock = socket.socket(family, kind, protocol)
    detect_dead_peer(sock)
    return sock


class HttpResponse:
    """A response whose body is being read."""

    def __init__(
        self,
        head: exchange.Head,
        parser: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.head = head
        self._parser = parser
        self._reader = reader
        self._writer = writer

    async def body(self) -> AsyncIterator[bytes]:
        """Yields the body; raises ExchangeBrokenError if it is truncated."""
        while True:
            event = await _next_event(self._parser, self._reader)
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise exchange.ExchangeBrokenError('the body ended early')
            yield bytes(event.data)

    def close(self) -> None:
        """Aborts the connection, which cancels the request at the endpoint."""
        self._writer.transport.abort()


async def _next_event(
    parser: h11.Connection, reader: asyncio.StreamReader
) -> object:
    try:
        while True:
            event = parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            parser.receive_data(await reader.read(READ_BYTES))
    except (h11.RemoteProtocolError, OSError) as exc:
        raise exchange.ExchangeBrokenError(
            str(exc) or type(exc).__name__
        ) from exc


async def _read_head(
    parser: h11.Connection, reader: asyncio.StreamReader
) -> object:
    """Returns the first event that is no informational response."""
    for _ in range(MAX_INFORMATIONAL + 1):
        event = await _next_event(parser, reader)
        if not isinstance(event, h11.InformationalResponse):
            return event
    raise exchange.ExchangeBrokenError('too many informational responses')


class HttpExchange:
    """Sends requests to endpoints, one connection per request."""

    def __init__(self, codec: Codec, run_codec: run_checks.RunCodec) -> None:
        self._codec = codec
        self._run_checker = run_checks.RunChecker(run_codec)

    async def send(
        self, request: exchange.Request, params: exchange.AttemptParams
    ) -> HttpResponse | exchange.SendError:
        """Sends a request once; returns the response without its body."""
        endpoint = params.endpoint
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    endpoint.host, endpoint.port
                )
        except (OSError, TimeoutError) as exc:
            return exchange.SendError(
                exchange.Failure.NOT_SENT, str(exc) or 'no connection in time'
            )
        try:
            response = await self._exchange(request, params, reader, writer)
        except BaseException:
            writer.transport.abort()
            raise
        if isinstance(response, exchange.SendError):
            writer.transport.abort()
        return response

    async def find_run(
        self, endpoint: directory.Endpoint
    ) -> exchange.RunState:
        """Returns whether an endpoint's own run answers at its address."""
        return await self._run_checker.find_run(endpoint)

    async def _exchange(
        self,
        request: exchange.Request,
        params: exchange.AttemptParams,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> HttpResponse | exchange.SendError:
        detect_dead_peer(writer.get_extra_info('socket'))
        parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        try:
            data = self._request_bytes(parser, request, params)
        except h11.LocalProtocolError as exc:
            return exchange.SendError(exchange.Failure.NOT_SENT, str(exc))
        writer.write(data)
        try:
            event = await _read_head(parser, reader)
        except exchange.ExchangeBrokenError as exc:
            return exchange.SendError(exchange.Failure.BROKEN, str(exc))
        if not isinstance(event, h11.Response):
            return exchange.SendError(
                exchange.Failure.BROKEN, 'closed without an answer'
            )
        headers = [
            (name.decode('latin-1'), raw_heads.decode(value))
            for name, value in event.headers.raw_items()
        ]
        head = self._codec.decode(request, event.status_code, headers)
        if isinstance(head, exchange.SendError):
            return head
        return HttpResponse(head, parser, reader, writer)

    def _request_bytes(
        self,
        parser: h11.Connection,
        request: exchange.Request,
        params: exchange.AttemptParams,
    ) -> bytes:
        headers = self._codec.encode(request, params)
        if request.body or request.method not in ('GET', 'HEAD'):
            headers.append(('Content-Length', str(len(request.body))))
        head = parser.send(
            h11.Request(
                method=request.method.encode('latin-1'),
                target=raw_heads.encode(request.target),
                headers=[
                    (name.encode('latin-1'), raw_heads.encode(value))
                    for name, value in headers
                ],
            )
        )
        parts = [head or b'']
        if request.body:
            parts.append(parser.send(h11.Data(data=request.body)) or b'')
        parts.append(parser.send(h11.EndOfMessage()) or b'')
        return b''.join(parts)
