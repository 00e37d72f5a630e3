"""Distinguishes a half-closed caller from a caller that has disconnected.

Both end their direction of the connection, and nothing else shows which of the
two it was. A half-closed caller acknowledges what is sent to it; the host of a
caller that has disconnected resets the connection. Until the response begins,
interim responses (RFC 9110, section 15.2) are sent for this purpose. Within a
response there is nothing that could be sent in a pause: an unfinished line of
the chunked encoding makes a truncated response look complete to some clients.
A caller therefore also counts as disconnected if it has not acknowledged
anything for some time.
"""

import asyncio
from collections.abc import Callable
import logging
from typing import Final

from . import socket_state

LOG: Final = logging.getLogger(__name__)
# Interim response. Clients of HTTP/1.1 must accept it before a response, even
# if they do not expect it.
INTERIM_RESPONSE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
# Interval between checks, in seconds.
CHECK_INTERVAL_S: Final = 0.05
# Interval between interim responses, in seconds.
INTERIM_INTERVAL_S: Final = 0.1
# A caller that has acknowledged nothing for this time counts as disconnected,
# in seconds. Requests of callers that have disconnected must be cancelled
# within 0.5 s.
PROOF_TIMEOUT_S: Final = 0.3


class HalfClosedCaller:
    """Checks whether the caller of a half-closed connection is connected."""

    def __init__(
        self,
        transport: asyncio.Transport,
        info: socket_state.TcpInfo,
        is_waiting: Callable[[], bool],
        on_gone: Callable[[], None],
    ) -> None:
        """Starts the checks.

        Args:
            transport: The connection.
            info: The state of the connection.
            is_waiting: Returns whether a request is in progress whose response
                has not begun.
            on_gone: Called once if the caller has disconnected.
        """
        self._transport = transport
        self._is_waiting = is_waiting
        self._on_gone = on_gone
        self._loop = asyncio.get_running_loop()
        self._acknowledged_bytes = info.acknowledged_bytes
        self._proof_s = self._loop.time()
        self._interim_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._check()

    def stop(self) -> None:
        """Stops the checks."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        self._timer = None
        if not self._is_there():
            LOG.info('caller gone', extra={'detail': 'after a half-close'})
            self._on_gone()
            return
        now_s = self._loop.time()
        if (
            self._is_waiting()
            and now_s >= self._interim_s + INTERIM_INTERVAL_S
            and not self._transport.is_closing()
            and not self._unsent_bytes()
        ):
            self._interim_s = now_s
            self._transport.write(INTERIM_RESPONSE)
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _unsent_bytes(self) -> int:
        sock = self._transport.get_extra_info('socket')
        in_kernel = socket_state.unacknowledged_bytes(sock.fileno()) or 0
        return self._transport.get_write_buffer_size() + in_kernel

    def _is_there(self) -> bool:
        info = socket_state.tcp_info(self._transport.get_extra_info('socket'))
        if info is None or info.state != socket_state.TcpState.CLOSE_WAIT:
            return False
        now_s = self._loop.time()
        if (
            info.acknowledged_bytes > self._acknowledged_bytes
            # A part of a response is unacknowledged, perhaps because the
            # caller reads slowly. The host of a caller that has disconnected
            # resets the connection when it receives this part.
            or self._unsent_bytes() > len(INTERIM_RESPONSE)
        ):
            self._acknowledged_bytes = info.acknowledged_bytes
            self._proof_s = now_s
        return now_s < self._proof_s + PROOF_TIMEOUT_S
