"""Server connections with timeouts for idle time and for request headers.

A connection is closed if no request begins within the idle timeout, or if the
headers of a request do not arrive within the header timeout. The timeouts may
change while connections are open. A connection that its caller has half-closed
stays open until the requests on it have their responses.
"""

import asyncio
from collections.abc import Callable
import logging
import socket
import struct
from typing import Any, Final

from aiohttp import abc
from aiohttp import http
from aiohttp import streams
from aiohttp import web

from . import closing_sockets
from ..configuration import routes
from . import half_closed
from . import raw_heads
from . import socket_state

LOG: Final = logging.getLogger(__name__)
# Value of `SO_LINGER` (on, 0 s) with which a close resets the connection.
_LINGER_NONE: Final = struct.pack('ii', 1, 0)


def _can_be_half_closed(request: web.BaseRequest) -> bool:
    """Returns whether a request is served after its caller half-closes.

    The request must be complete, and its client must accept the interim
    responses by which a client that has disconnected is detected.
    """
    return request.content.is_eof() and request.version >= http.HttpVersion11


class TimedConnection(web.RequestHandler):
    """The connection of one caller."""

    # Whether the next received bytes begin a new request.
    is_between_requests: bool
    # Whether a request is in progress.
    is_in_request: bool

    def __init__(
        self,
        server: 'TimedServer',
        limits: Callable[[], routes.RequestLimits],
        **options: Any,
    ) -> None:
        super().__init__(server, loop=asyncio.get_running_loop(), **options)
        self.is_between_requests = True
        self.is_in_request = False
        self._limits = limits
        self._closing = server.closing
        self._timer: asyncio.TimerHandle | None = None
        # Number of requests that were handled completely.
        self._handled_count = 0
        # Whether the response to the request in progress has begun.
        self._has_response_begun = False
        # The connection; aiohttp's own attribute is unset before the close.
        self._open_transport: asyncio.Transport | None = None
        self._half_closed: half_closed.HalfClosedCaller | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the idle timeout for the first request."""
        super().connection_made(transport)
        self._open_transport = self.transport
        self._start_timeout(self._limits().idle_s, 'no request came')

    def data_received(self, data: bytes) -> None:
        """Handles received data; a new request starts the header timeout."""
        if self.is_between_requests:
            self.is_between_requests = False
            self._start_timeout(
                self._limits().header_s, 'a head came too slowly'
            )
        super().data_received(data)

    def eof_received(self) -> bool:  # type: ignore[override]
        """Handles the end of the caller's direction of the connection.

        Returns:
            Whether the connection stays open for the responses to the requests
            that were received. It is closed at once if there is no such
            request, or if a caller that has disconnected cannot be detected.
        """
        if self._half_closed is not None:
            return True
        transport = self._open_transport
        if transport is None or self._count_of_open_requests() == 0:
            return False
        if not all(payload.is_eof() for _, payload in self._messages):
            return False
        if self._current_request is not None and not _can_be_half_closed(
            self._current_request
        ):
            return False
        info = socket_state.tcp_info(transport.get_extra_info('socket'))
        if info is None:
            return False
        self._half_closed = half_closed.HalfClosedCaller(
            transport, info, self._is_response_awaited, self.abort
        )
        return True

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stops the timers of a lost connection.

        A socket with unacknowledged bytes is kept until they are sent.
        """
        self._cancel_timeout()
        if self._half_closed is not None:
            self._half_closed.stop()
        if self._open_transport is not None and exc is None:
            self._closing.keep(self._open_transport.get_extra_info('socket'))
        self._open_transport = None
        super().connection_lost(exc)

    def unsent_bytes(self) -> int:
        """Returns how many bytes the caller's host has not acknowledged.

        The bytes in the kernel's send queue are counted if the kernel reports
        their number.
        """
        transport = self._open_transport
        if transport is None:
            return 0
        sock = transport.get_extra_info('socket')
        in_kernel = socket_state.unacknowledged_bytes(sock.fileno()) or 0
        return transport.get_write_buffer_size() + in_kernel

    def abort(self) -> None:
        """Aborts the connection; what the kernel holds is still sent."""
        if self._open_transport is not None:
            self._open_transport.abort()

    def reset(self) -> None:
        """Aborts the connection with a reset, without sending the rest.

        A response that the end of the connection delimits is then seen as
        truncated.
        """
        transport = self._open_transport
        if transport is None:
            return
        transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE
        )
        self._open_transport = None
        transport.abort()

    def begin_request(self, request: web.BaseRequest) -> None:
        """Cancels the header timeout once the headers have arrived."""
        self._cancel_timeout()
        self.is_in_request = True
        self._has_response_begun = False
        if self._half_closed is not None and not _can_be_half_closed(request):
            self.force_close()

    def begin_response(self) -> None:
        """Notes that the response to the request in progress begins."""
        self._has_response_begun = True

    def end_request(self) -> None:
        """Starts the idle timeout after the response to a request."""
        self.is_between_requests = True
        self.is_in_request = False
        self._handled_count += 1
        if self._half_closed is not None and not self._messages:
            self.close()
        self._start_timeout(self._limits().idle_s, 'no further request came')

    def _count_of_open_requests(self) -> int:
        return self._request_count - self._handled_count

    def _is_response_awaited(self) -> bool:
        return self.is_in_request and not self._has_response_begun

    def _start_timeout(self, seconds: float, reason: str) -> None:
        self._cancel_timeout()
        self._timer = asyncio.get_running_loop().call_later(
            seconds, self._on_timeout, reason
        )

    def _cancel_timeout(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self, reason: str) -> None:
        LOG.info('connection closed', extra={'reason': reason})
        self.force_close()


class TimedServer(web.Server):
    """Creates a `TimedConnection` for each connection that is accepted."""

    # Closed connections whose last bytes are still being sent.
    closing: closing_sockets.ClosingSockets

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Any],
        limits: Callable[[], routes.RequestLimits],
        **options: Any,
    ) -> None:
        super().__init__(
            handler,
            handler_cancellation=True,
            request_factory=_make_request,
        )
        self.closing = closing_sockets.ClosingSockets()
        self._limits = limits
        self._options = options

    def unsent_responses(self) -> int:
        """Returns how many callers have not received their last response.

        Connections with a request in progress are not counted.
        """
        return self.closing.count() + sum(
            isinstance(connection, TimedConnection)
            and not connection.is_in_request
            and connection.unsent_bytes() > 0
            for connection in self.connections
        )

    def __call__(self) -> web.RequestHandler:
        """Returns the protocol instance for a new connection."""
        return TimedConnection(self, self._limits, **self._options)


def _make_request(
    message: http.RawRequestMessage,
    payload: streams.StreamReader,
    protocol: web.RequestHandler,
    writer: abc.AbstractStreamWriter,
    task: 'asyncio.Task[None]',
) -> web.BaseRequest:
    """Creates a request whose response head is written byte for byte."""
    loop = asyncio.get_running_loop()
    raw_writer = raw_heads.RawHeadWriter(protocol, loop)
    return web.BaseRequest(message, payload, protocol, raw_writer, task, loop)
