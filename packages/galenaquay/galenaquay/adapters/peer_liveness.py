"""Distinguishes peers that no longer respond from peers that read slowly.

The kernel ends a connection whose data stays unacknowledged for
TCP_USER_TIMEOUT_MS, also if the peer answers window probes but keeps its
window closed. `SendWatch` extends this timeout while a peer that still
responds has not taken all of a request.
"""

import array
import asyncio
from collections.abc import Callable
import dataclasses
import fcntl
import select
import socket
import struct
import termios
from typing import Final

# TCP options that detect dead peers. The connection fails if sent data remains
# unacknowledged, or keepalive probes on an idle connection unanswered, for
# TCP_USER_TIMEOUT_MS; on Linux this timeout takes precedence over
# KEEPALIVE_PROBES, the number of unanswered probes. The idle time before the
# first probe and the interval between probes are in seconds.
TCP_USER_TIMEOUT_MS: Final = 1500
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
# Longest TCP_USER_TIMEOUT of a connection whose peer reads slowly.
MAX_USER_TIMEOUT_MS: Final = 600_000
# Time from the sending of a request to the first check whether the peer has
# taken the request, and between later checks, in seconds. The first check has
# to come well before TCP_USER_TIMEOUT_MS has passed.
FIRST_CHECK_S: Final = 0.5
CHECK_INTERVAL_S: Final = 0.25
# Where the kernel does not report the state of connections, the timeout is
# extended only for requests above this size, in bytes. Smaller requests fit
# into the receive buffers of endpoints that do not read.
SMALL_REQUEST_BYTES: Final = 16 * 1024
# Start of Linux's `struct tcp_info`: 8 fields of 8 bits and 13 of 32 bits.
_TCP_INFO: Final = struct.Struct('=8B13I')
_STATE: Final = 0
_PROBES: Final = 3
_UNACKED: Final = 12
_LAST_DATA_SENT_MS: Final = 17
_LAST_ACK_RECEIVED_MS: Final = 20
_MS_PER_S: Final = 1000
# What operations on the socket of a closed connection raise, by event loop.
CLOSED_ERRORS: Final = (OSError, ValueError)


def detect_dead_peer(sock: socket.socket) -> None:
    """Sets the TCP options that detect a peer which no longer responds."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


@dataclasses.dataclass(frozen=True)
class AckState:
    """What the kernel knows of a peer's acknowledgments."""

    # Whether data or a window probe was sent that the peer has not answered.
    is_unanswered: bool
    # Time since the last acknowledgment, in seconds.
    ack_age_s: float


def read_ack_state(sock: socket.socket) -> AckState | None:
    """Returns the state of a connection; None if it is not available."""
    try:
        data = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size
        )
    except (AttributeError, *CLOSED_ERRORS):
        return None
    # A state of 0 is invalid; platforms that emulate Linux may return it.
    if len(data) < _TCP_INFO.size or not data[_STATE]:
        return None
    fields = _TCP_INFO.unpack(data)
    ack_age_ms = fields[_LAST_ACK_RECEIVED_MS]
    return AckState(
        fields[_PROBES] > 0
        or (fields[_UNACKED] > 0 and fields[_LAST_DATA_SENT_MS] < ack_age_ms),
        ack_age_ms / _MS_PER_S,
    )


def read_queued_bytes(sock: socket.socket) -> int | None:
    """Returns how many bytes the kernel holds for the peer.

    These bytes are not sent yet or not acknowledged.

    Returns:
        The number of bytes; None if it is not available.
    """
    queued = array.array('i', [0])
    try:
        # On Linux, TIOCOUTQ has the same number as SIOCOUTQ.
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, queued)
    except (AttributeError, *CLOSED_ERRORS):
        return None
    return queued[0]


def is_reset(sock: socket.socket) -> bool:
    """Returns whether a connection whose data has ended was reset.

    The kernel reports the error of a reset once, to whichever call on the
    socket comes first. The connection stays closed in both directions, while
    the peer's orderly end closes one of them.
    """
    poll = select.poll()
    try:
        poll.register(sock, 0)
        return bool(poll.poll(0))
    except CLOSED_ERRORS:
        return False


class SendWatch:
    """Watches one connection until the peer has taken a request."""

    def __init__(
        self,
        sock: socket.socket,
        size_bytes: int,
        timeout_s: float,
        is_written: Callable[[], bool],
        end_dead: Callable[[], None],
    ) -> None:
        """Starts to watch.

        Args:
            sock: A socket with `detect_dead_peer`, used until `stop`.
            size_bytes: Size of the request.
            timeout_s: Time until the request ends in any case, in seconds.
            is_written: Returns whether the kernel has the whole request.
            end_dead: Called when the peer no longer responds.
        """
        self._sock = sock
        self._is_small = size_bytes <= SMALL_REQUEST_BYTES
        self._extended_ms = max(
            TCP_USER_TIMEOUT_MS,
            int(min(timeout_s * _MS_PER_S, MAX_USER_TIMEOUT_MS)),
        )
        self._is_written = is_written
        self._end_dead = end_dead
        self._is_extended = False
        # When the peer was first seen not to answer, on the loop's clock.
        self._unanswered_since_s: float | None = None
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(FIRST_CHECK_S, self._check)

    def stop(self) -> None:
        """Ends the watch; the timeout stays as it is."""
        self._timer.cancel()

    def extend(self) -> None:
        """Extends the timeout, also for the time after `stop`."""
        self._set_extended(True)

    def _set_extended(self, is_extended: bool) -> None:
        if is_extended is self._is_extended:
            return
        self._is_extended = is_extended
        try:
            self._sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                self._extended_ms if is_extended else TCP_USER_TIMEOUT_MS,
            )
        except CLOSED_ERRORS:
            # The connection has ended.
            self.stop()

    def _check(self) -> None:
        if self._sock.fileno() < 0:
            return
        queued_bytes = read_queued_bytes(self._sock)
        if queued_bytes == 0 and self._is_written():
            self._set_extended(False)
            return
        state = read_ack_state(self._sock)
        if queued_bytes is None or state is None:
            if self._is_small:
                return
            self.extend()
            if queued_bytes is None:
                return
        elif not state.is_unanswered:
            self._unanswered_since_s = None
            self.extend()
        elif self._is_dead(state):
            self._end_dead()
            return
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _is_dead(self, state: AckState) -> bool:
        """Returns whether the peer has answered nothing for too long.

        While the timeout is not extended, the kernel ends the connection of
        such a peer, and the result is False.
        """
        now_s = self._loop.time()
        since_s = self._unanswered_since_s
        if since_s is None or state.ack_age_s < now_s - since_s:
            self._unanswered_since_s = now_s
            return False
        silent_s = now_s - since_s
        return self._is_extended and (
            silent_s >= TCP_USER_TIMEOUT_MS / _MS_PER_S
        )
