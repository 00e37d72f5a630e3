"""A connection to an endpoint that carries one request.

The request is sent with flow control beside the reading of the response, and
a failure to send does not affect what has been received: an endpoint may
respond before it reads a body, and then close the connection.
"""

import asyncio
import contextlib
import errno
import os
import socket
import struct
from typing import Final

from . import peer_liveness

# Number of bytes that are handed to the kernel at a time.
SEND_BYTES: Final = 256 * 1024
# Interval between checks whether the endpoint has taken a request that the
# kernel holds, in seconds.
TAKEN_INTERVAL_S: Final = 0.05
# Largest number of bytes that one read discards, and largest number of bytes
# that an endpoint may send after its response.
DISCARD_BYTES: Final = 32 * 1024
MAX_SURPLUS_BYTES: Final = 64 * 1024
# Value of SO_LINGER that drops what the kernel holds when the socket closes.
_NO_LINGER: Final = struct.pack('ii', 1, 0)


class ConnectionReader(asyncio.StreamReader):
    """Delivers all received data before it reports a failure."""

    def __init__(self) -> None:
        super().__init__(loop=asyncio.get_running_loop())
        self._has_ended = False
        self._failure: Exception | None = None

    def note_failure(self, failure: Exception) -> None:
        """Has the end of the data, if still to come, reported as a failure."""
        if not self._has_ended and self._failure is None:
            self._failure = failure

    def feed_eof(self) -> None:
        self._has_ended = True
        super().feed_eof()

    def set_exception(self, exc: Exception) -> None:
        self.note_failure(exc)
        self.feed_eof()

    async def read(self, n: int = -1) -> bytes:
        data = await super().read(n)
        if not data and self._failure is not None:
            raise self._failure
        return data


class _ConnectionProtocol(asyncio.StreamReaderProtocol):
    """Distinguishes a reset from an orderly end.

    An event loop may report the end of the data although the connection was
    reset, if both arrive at once, or if the sending of the request got the
    error of the reset.
    """

    def __init__(self, reader: ConnectionReader) -> None:
        super().__init__(reader, loop=asyncio.get_running_loop())
        self._connection_reader = reader
        self._sock: socket.socket | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._sock = transport.get_extra_info('socket')

    def eof_received(self) -> bool | None:
        assert self._sock is not None
        error = 0
        with contextlib.suppress(*peer_liveness.CLOSED_ERRORS):
            error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error or peer_liveness.is_reset(self._sock):
            self._connection_reader.note_failure(
                ConnectionResetError(
                    error or errno.ECONNRESET, 'connection reset'
                )
            )
        return super().eof_received()


class EndpointConnection:
    """A connection that is open until `close` or `abort`."""

    reader: ConnectionReader

    def __init__(
        self,
        sock: socket.socket,
        reader: ConnectionReader,
        transport: asyncio.Transport,
    ) -> None:
        self.reader = reader
        self._sock = sock
        self._transport = transport
        self._watch: peer_liveness.SendWatch | None = None
        self._sending: asyncio.Task[None] | None = None
        self._size_bytes = 0
        self._has_send_failed = False

    def send(self, head: bytes, body: bytes, timeout_s: float) -> None:
        """Begins to send a request; returns at once.

        Args:
            head: The head of the request.
            body: The body.
            timeout_s: Time until the request ends in any case, in seconds.
        """
        self._size_bytes = len(head) + len(body)
        self._watch = peer_liveness.SendWatch(
            self._sock,
            self._size_bytes,
            timeout_s,
            self.is_written,
            self._end_dead,
        )
        first = head + body[:SEND_BYTES]
        try:
            sent_bytes = os.write(self._sock.fileno(), first)
        except BlockingIOError:
            sent_bytes = 0
        except OSError as exc:
            self._note_send_failure(exc)
            return
        if sent_bytes < self._size_bytes:
            # The event loop does not send on a socket whose file descriptor
            # one of its transports reads from.
            sock = self._sock.dup()
            sock.setblocking(False)
            self._sending = asyncio.create_task(
                self._send_rest(sock, first[sent_bytes:], body)
            )
            self._sending.add_done_callback(lambda _: sock.close())

    async def _send_rest(
        self, sock: socket.socket, first: bytes, body: bytes
    ) -> None:
        """Sends the rest of the first bytes, then the rest of the body."""
        loop = asyncio.get_running_loop()
        view = memoryview(body)
        try:
            await loop.sock_sendall(sock, first)
            for start in range(SEND_BYTES, len(body), SEND_BYTES):
                await loop.sock_sendall(sock, view[start : start + SEND_BYTES])
        except OSError as exc:
            self._note_send_failure(exc)

    def _note_send_failure(self, failure: OSError) -> None:
        """Records that the request cannot be sent.

        The kernel reports a reset only once, so the reader would see an
        orderly end of the data.
        """
        self._has_send_failed = True
        self.reader.note_failure(failure)

    def _end_dead(self) -> None:
        self.reader.note_failure(TimeoutError('the endpoint is silent'))
        self.abort()

    def is_written(self) -> bool:
        """Returns whether the kernel has the whole request."""
        return self._sending is None or self._sending.done()

    def held_bytes(self) -> int:
        """Returns the memory that is kept for the request, in bytes."""
        return 0 if self.is_written() else self._size_bytes

    def has_unsent(self) -> bool:
        """Returns whether the endpoint has not taken the whole request.

        Where the kernel does not report what it holds, a request counts as
        taken once the kernel has it.
        """
        if not self.is_written() or self._has_send_failed:
            return True
        queued_bytes = peer_liveness.read_queued_bytes(self._sock)
        return queued_bytes is not None and queued_bytes > 0

    async def wait_taken(self) -> None:
        """Waits until the endpoint has taken the whole request."""
        while self.has_unsent():
            if self._sending is not None and not self._sending.done():
                await asyncio.wait([self._sending])
            else:
                await asyncio.sleep(TAKEN_INTERVAL_S)

    async def wait_ended(self) -> None:
        """Waits until the endpoint ends the connection.

        Discards what the endpoint sends; too much of that counts as the end.
        """
        surplus_bytes = 0
        with contextlib.suppress(OSError):
            while surplus_bytes <= MAX_SURPLUS_BYTES:
                data = await self.reader.read(DISCARD_BYTES)
                if not data:
                    return
                surplus_bytes += len(data)

    def close(self) -> None:
        """Closes the connection after the kernel has the whole request.

        The kernel goes on sending what it holds.
        """
        if self._watch is not None:
            self._watch.stop()
            if (
                self._size_bytes > peer_liveness.SMALL_REQUEST_BYTES
                and peer_liveness.read_queued_bytes(self._sock) is None
            ):
                self._watch.extend()
        self._transport.abort()

    def abort(self) -> None:
        """Ends the connection at once and discards what is not sent yet."""
        if self._watch is not None:
            self._watch.stop()
        if self.has_unsent():
            # The end of the connection would otherwise reach the endpoint
            # only after all that the kernel holds.
            with contextlib.suppress(*peer_liveness.CLOSED_ERRORS):
                self._sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
                )
        if self._sending is not None:
            self._sending.cancel()
        self._transport.abort()


async def connect(host: str, port: int) -> EndpointConnection:
    """Opens a connection; raises OSError if it fails."""
    loop = asyncio.get_running_loop()
    reader = ConnectionReader()
    transport, _ = await loop.create_connection(
        lambda: _ConnectionProtocol(reader), host, port
    )
    sock = transport.get_extra_info('socket')
    peer_liveness.detect_dead_peer(sock)
    return EndpointConnection(sock, reader, transport)
