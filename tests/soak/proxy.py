"""A loopback proxy that delays, resets, cuts one way and silences."""

import asyncio
import dataclasses
import socket
import struct


@dataclasses.dataclass
class Weather:
    """What the proxy does to everything that passes."""

    # Added to each piece of data, in seconds.
    delay_s: float = 0.0
    # Whether what callers send, or what is answered, is held back.
    holds_up: bool = False
    holds_down: bool = False


class Proxy:
    """Passes connections on from one port to another."""

    def __init__(self, port, target_port):
        self.port = port
        self.target_port = target_port
        self.weather = Weather()
        # Weather of connections that were open when it changed may differ:
        # those that fell silent stay so for good.
        self._writers = set()
        self._silenced = set()
        self._tasks = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )

    async def stop(self):
        self._server.close()
        self.reset_all()
        for task in list(self._tasks):
            task.cancel()

    def reset_all(self):
        """Resets every open connection."""
        for writer in list(self._writers):
            sock = writer.get_extra_info('socket')
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    struct.pack('ii', 1, 0),
                )
            writer.transport.abort()

    def silence_open(self):
        """Holds back all further data of the connections open now."""
        self._silenced.update(self._writers)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            up_reader, up_writer = await asyncio.open_connection(
                '127.0.0.1', self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers.update((writer, up_writer))
        try:
            await asyncio.gather(
                self._pump(reader, up_writer, is_up=True),
                self._pump(up_reader, writer, is_up=False),
            )
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()
            up_writer.transport.abort()
            self._writers.difference_update((writer, up_writer))
            self._silenced.difference_update((writer, up_writer))
            self._tasks.discard(asyncio.current_task())

    async def _pump(self, reader, writer, is_up):
        while data := await reader.read(65536):
            if self.weather.delay_s:
                await asyncio.sleep(self.weather.delay_s)
            while writer in self._silenced or (
                self.weather.holds_up if is_up else self.weather.holds_down
            ):
                await asyncio.sleep(0.02)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
