"""Callers' connections whose next request has to come in time.

A connection is closed that stays idle for too long, or on which the head of
a request comes too slowly. The limits may change while connections are open.
"""

import asyncio
from collections.abc import Callable
import logging
from typing import Any, Final

from aiohttp import web

from ..configuration import routes

LOG: Final = logging.getLogger(__name__)


class TimedConnection(web.RequestHandler):
    """One caller's connection."""

    # Whether the next bytes that come are the first ones of a request.
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
        """Begins to wait for the first request."""
        super().connection_made(transport)
        self._wait(self._limits().idle_s, 'no request came')

    def data_received(self, data: bytes) -> None:
        """Takes bytes in; the first ones of a request start its time."""
        if self.is_between_requests:
            self.is_between_requests = False
            self._wait(self._limits().header_s, 'a head came too slowly')
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the wait together with the connection."""
        self._stop_waiting()
        super().connection_lost(exc)

    def begin_request(self) -> None:
        """Notes that the head of a request is there."""
        self._stop_waiting()

    def end_request(self) -> None:
        """Notes that a request has been answered; the next may follow."""
        self.is_between_requests = True
        self._wait(self._limits().idle_s, 'no further request came')

    def _wait(self, seconds: float, reason: str) -> None:
        self._stop_waiting()
        self._timer = asyncio.get_running_loop().call_later(
            seconds, self._cut, reason
        )

    def _stop_waiting(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _cut(self, reason: str) -> None:
        LOG.info('connection closed', extra={'reason': reason})
        self.force_close()


class TimedServer(web.Server):
    """Makes timed connections; every option goes to each of them."""

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
        """Returns the protocol of a new connection."""
        return TimedConnection(self, self._limits, **self._options)
