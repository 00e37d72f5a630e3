"""Server connections with timeouts for idle time and for request headers.

A connection is closed if no request begins within the idle timeout, or if the
headers of a request do not arrive within the header timeout. The timeouts may
change while connections are open.
"""

import asyncio
from collections.abc import Callable
import logging
from typing import Any, Final

from aiohttp import web

from ..configuration import routes

LOG: Final = logging.getLogger(__name__)


class TimedConnection(web.RequestHandler):
    """The connection of one caller."""

    # Whether the next received bytes begin a new request.
    is_between_requests: bool

    def __init__(
        self,
        server: 'TimedServer',
        limits: Callable[[], routes.RequestLimits],
        **options: Any,
    ) -> None:
        super().__init__(server, loop=asyncio.get_running_loop(), **options)
        self.is_between_requests = True
        self._limits = limits
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the idle timeout for the first request."""
        super().connection_made(transport)
        self._start_timeout(self._limits().idle_s, 'no request came')

    def data_received(self, data: bytes) -> None:
        """Handles received data; a new request starts the header timeout."""
        if self.is_between_requests:
            self.is_between_requests = False
            self._start_timeout(
                self._limits().header_s, 'a head came too slowly'
            )
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancels the timeout of a connection that was lost."""
        self._cancel_timeout()
        super().connection_lost(exc)

    def begin_request(self) -> None:
        """Cancels the header timeout once the headers have arrived."""
        self._cancel_timeout()

    def end_request(self) -> None:
        """Starts the idle timeout after the response to a request."""
        self.is_between_requests = True
        self._start_timeout(self._limits().idle_s, 'no further request came')

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

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Any],
        limits: Callable[[], routes.RequestLimits],
        **options: Any,
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._limits = limits
        self._options = options

    def __call__(self) -> web.RequestHandler:
        """Returns the protocol instance for a new connection."""
        return TimedConnection(self, self._limits, **self._options)
