"""Loopback TCP proxy that delays, resets and stalls connections."""

import asyncio
import dataclasses
import socket
import struct

# Connections that fill the queue of a listener which accepts none.
BLOCKING_CONNECTIONS = 4


@dataclasses.dataclass
class Impairment:
    """Faults that the proxy applies to the data of all connections."""

    # Delay of each chunk of data, in seconds.
    delay_s: float = 0.0
    # Whether data from clients, or data from the target, is held back.
    stalls_requests: bool = False
    stalls_responses: bool = False
    # Rate at which the proxy passes on the responses of all connections
    # together, in bytes per second; 0 sets no limit.
    response_bytes_per_s: float = 0.0


class Proxy:
    """Forwards the connections of one port to another port."""

    def __init__(self, port, target_port):
        self.port = port
        self.target_port = target_port
        self.impairment = Impairment()
        self._writers = set()
        # Writers of the connections that `stall_all` stalled. These
        # connections stay stalled after the impairment is cleared.
        self._stalled_writers = set()
        self._tasks = set()
        self._server = None
        # Sockets that fill the queue of a port that does not answer.
        self._blockers = []
        self._connecting = []
        # When the responses that were passed on have left a limited link, on
        # the clock of the event loop, in seconds.
        self._responses_sent_at_s = 0.0

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )

    async def stop(self):
        self._server.close()
        await self._close_blockers()
        self.reset_all()
        for task in list(self._tasks):
            task.cancel()

    def refuse(self):
        """Refuses new connections; those that are open live on."""
        self._server.close()

    async def block(self):
        """Leaves attempts to connect unanswered, as behind a partition."""
        self._server.close()
        loop = asyncio.get_running_loop()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(('127.0.0.1', self.port))
        listener.listen(0)
        self._blockers.append(listener)
        # The kernel drops attempts to connect while its queue is full.
        for _ in range(BLOCKING_CONNECTIONS):
            sock = socket.socket()
            sock.setblocking(False)
            self._blockers.append(sock)
            connecting = asyncio.ensure_future(
                loop.sock_connect(sock, ('127.0.0.1', self.port))
            )
            self._connecting.append(connecting)
        await asyncio.sleep(0.05)

    async def _close_blockers(self):
        for connecting in self._connecting:
            connecting.cancel()
        await asyncio.gather(*self._connecting, return_exceptions=True)
        for sock in self._blockers:
            sock.close()
        self._connecting.clear()
        self._blockers.clear()

    async def reopen(self):
        """Accepts connections again."""
        await self._close_blockers()
        await self.start()

    def reset_all(self):
        """Resets every open connection."""
        for writer in list(self._writers):
            _reset(writer)

    def stall_all(self):
        """Holds back all further data of the connections that are open now."""
        self._stalled_writers.update(self._writers)

    async def _wait_for_link(self, size):
        rate = self.impairment.response_bytes_per_s
        if not rate:
            return
        now_s = asyncio.get_running_loop().time()
        start_s = max(now_s, self._responses_sent_at_s)
        self._responses_sent_at_s = start_s + size / rate
        await asyncio.sleep(self._responses_sent_at_s - now_s)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            target_reader, target_writer = await asyncio.open_connection(
                '127.0.0.1', self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers.update((writer, target_writer))
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, is_request=True),
                self._forward(target_reader, writer, is_request=False),
            )
        except OSError:
            # A reset is passed on as a reset; an orderly end would make an
            # answer without a length look complete.
            _reset(writer)
            _reset(target_writer)
        finally:
            writer.transport.abort()
            target_writer.transport.abort()
            self._writers.difference_update((writer, target_writer))
            self._stalled_writers.difference_update((writer, target_writer))
            self._tasks.discard(asyncio.current_task())

    async def _forward(self, reader, writer, is_request):
        while data := await reader.read(65536):
            if self.impairment.delay_s:
                await asyncio.sleep(self.impairment.delay_s)
            while writer in self._stalled_writers or (
                self.impairment.stalls_requests
                if is_request
                else self.impairment.stalls_responses
            ):
                await asyncio.sleep(0.02)
            if not is_request:
                await self._wait_for_link(len(data))
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()


def _reset(writer):
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()
