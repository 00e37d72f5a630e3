"""Follows closed connections until their peers have received everything.

Closing a socket leaves the bytes in its send queue to the kernel, and the
process can no longer see them. A duplicate of the file descriptor is kept
instead, so that a shutdown can wait for these bytes.
"""

import asyncio
import contextlib
import logging
import os
import socket
from typing import Any, Final

from . import socket_state

LOG: Final = logging.getLogger(__name__)
# Interval between checks of the send queues, in seconds.
CHECK_INTERVAL_S: Final = 0.1
# Largest number of sockets that are kept, which bounds the file descriptors in
# use. Further sockets are closed at once, and a shutdown does not wait for
# their bytes.
MAX_SOCKETS: Final = 256
# Time after which a socket is left to the kernel, in seconds.
MAX_TIME_S: Final = 10.0
# Largest number of received bytes that are discarded before the close. Unread
# bytes would turn the close into a reset.
DISCARDED_BYTES: Final = 64 * 1024


class ClosingSockets:
    """Sockets whose connections were closed in an orderly way."""

    def __init__(self) -> None:
        # The time at which each socket is left to the kernel.
        self._end_s_by_socket: dict[socket.socket, float] = {}
        self._timer: asyncio.TimerHandle | None = None

    def count(self) -> int:
        """Returns the number of sockets that still have bytes to send."""
        self._close_sent()
        return len(self._end_s_by_socket)

    def keep(self, closing: Any) -> None:
        """Keeps a socket that is about to be closed and has bytes to send.

        Does nothing if all bytes were acknowledged, or if the kernel does not
        report their number.

        Args:
            closing: The socket, as `get_extra_info` of its transport returns
                it.
        """
        if not socket_state.unacknowledged_bytes(closing.fileno()):
            return
        if len(self._end_s_by_socket) >= MAX_SOCKETS:
            return
        loop = asyncio.get_running_loop()
        try:
            kept = socket.socket(fileno=os.dup(closing.fileno()))
        except OSError as exc:
            LOG.info('socket not kept', extra={'detail': str(exc)})
            return
        with contextlib.suppress(OSError):
            # The kernel sends the end of the connection after the bytes.
            kept.shutdown(socket.SHUT_WR)
        kept.setblocking(False)
        self._end_s_by_socket[kept] = loop.time() + MAX_TIME_S
        self._schedule()

    def _schedule(self) -> None:
        if self._timer is None and self._end_s_by_socket:
            self._timer = asyncio.get_running_loop().call_later(
                CHECK_INTERVAL_S, self._check
            )

    def _check(self) -> None:
        self._timer = None
        self._close_sent()
        self._schedule()

    def _close_sent(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for kept, end_s in list(self._end_s_by_socket.items()):
            unsent = socket_state.unacknowledged_bytes(kept.fileno())
            if unsent and now_s < end_s:
                continue
            del self._end_s_by_socket[kept]
            with contextlib.suppress(OSError):
                kept.recv(DISCARDED_BYTES)
            kept.close()
