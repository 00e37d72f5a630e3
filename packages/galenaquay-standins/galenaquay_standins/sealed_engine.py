"""An engine or plain service in the users' protocol, with faults on demand.

Writes raw bytes, so that it can also answer what no HTTP library would send.
"""

import asyncio
import dataclasses
import enum
import itertools
import socket
import struct
import time
from typing import Any, Final

import orjson

_HEAD_END: Final = b'\r\n\r\n'


class Fault(enum.Enum):
    """What is done to the next request."""

    # Says that it has not run the request.
    REJECT = 'reject'
    # Runs it and closes the connection, or resets it.
    CLOSE = 'close'
    RESET = 'reset'
    # Runs it and says nothing.
    MUTE = 'mute'
    # Answers its own failure.
    FAIL = 'fail'
    # A success that nothing proves.
    UNPROVED = 'unproved'
    # A success with the id of another request.
    CROSSED = 'crossed'
    # A whole second answer after the first.
    EXTRA = 'extra'
    # A body without a length, ended by closing or by a reset.
    UNFRAMED = 'unframed'
    UNFRAMED_RESET = 'unframed reset'
    # Breaks off in the middle of an event.
    TORN = 'torn'
    # A body with an encoding that nobody asked for.
    ENCODED = 'encoded'
    # Answers before it has read the body.
    EARLY = 'early'


@dataclasses.dataclass
class Received:
    """One request as it came."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    # Whether the engine ran it.
    has_run: bool = False
    # Whether the connection was closed before the answer was complete.
    was_left: bool = False


@dataclasses.dataclass
class Reserved:
    """Memory that is set aside."""

    tokens: int
    until_s: float


class SealedEngine:
    """One engine on loopback."""

    def __init__(
        self, name: str, service: str, zone: str, port: int, events: int = 0
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.port = port
        # Port that it lists, where something stands before it.
        self.listed_port = port
        # Events of a stream; 0 for a plain service.
        self.events = events
        self.event_s = 0.01
        self.body = b'{"ok":true}'
        self.faults: list[Fault] = []
        # Events that are sent before a stream breaks off.
        self.torn_after = 3
        self.received: list[Received] = []
        self.orders: list[dict[str, Any]] = []
        # Whether orders are carried out and not answered.
        self.loses_orders = False
        self.reserved_by_id: dict[str, Reserved] = {}
        self._server: asyncio.Server | None = None
        self._numbers = itertools.count()

    def entry(self, state: str = 'ready') -> dict[str, Any]:
        """Returns what the engine writes into the store."""
        return {
            'service': self.service,
            'address': f'127.0.0.1:{self.listed_port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': state,
            'coldRemainingMs': 0,
            'seq': next(self._numbers),
        }

    async def start(self) -> None:
        """Serves on its port."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )

    async def stop(self) -> None:
        """Closes the port."""
        if self._server is not None:
            self._server.close()

    def runs(self) -> list[Received]:
        """Returns the requests that it has run."""
        return [request for request in self.received if request.has_run]

    def reserved_tokens(self) -> int:
        """Returns the memory that is set aside now."""
        now_s = time.monotonic()
        return sum(
            reserved.tokens
            for reserved in self.reserved_by_id.values()
            if reserved.until_s > now_s
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(_HEAD_END)
        lines = head.decode('latin-1').split('\r\n')
        method, target, _ = lines[0].split(' ', 2)
        headers = dict(
            (name.lower(), value.strip())
            for name, found, value in (
                line.partition(':') for line in lines[1:]
            )
            if found
        )
        fault = None
        is_order = target == '/api/order'
        if self.faults and not target.startswith('/api/'):
            fault = self.faults.pop(0)
        request = Received(method, target, headers, b'')
        if fault is Fault.EARLY:
            self.received.append(request)
            writer.write(
                b'HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n'
                b'Content-Length: 0\r\n\r\n'
            )
            await asyncio.sleep(0.2)
            request.body = await reader.read(1 << 22)
            return False
        request.body = await reader.readexactly(
            int(headers.get('content-length', 0))
        )
        if is_order:
            return self._order(request, writer)
        if target == '/api/report':
            return self._report(writer)
        self.received.append(request)
        if headers.get('x-expect-instance') != self.name:
            writer.write(
                b'HTTP/1.1 421 Misdirected Request\r\n'
                b'Content-Length: 0\r\n\r\n'
            )
            return True
        watcher = asyncio.ensure_future(reader.read(1))
        try:
            return await self._run(request, fault, writer, watcher)
        finally:
            watcher.cancel()
            await asyncio.wait([watcher])

    def _order(self, request: Received, writer: asyncio.StreamWriter) -> bool:
        order = orjson.loads(request.body)
        self.orders.append(order)
        now_s = time.monotonic()
        status = 200
        if order['operation'] == 'reserve':
            self.reserved_by_id[order['id']] = Reserved(
                order['tokens'], now_s + order['holdMs'] / 1000
            )
        elif self.reserved_by_id.pop(order['id'], None) is None:
            status = 409
        if self.loses_orders:
            return False
        body = b'{"free":1}'
        writer.write(
            b'HTTP/1.1 %d OK\r\nContent-Type: application/json\r\n'
            b'Content-Length: %d\r\n\r\n%s' % (status, len(body), body)
        )
        return True

    def _report(self, writer: asyncio.StreamWriter) -> bool:
        now_s = time.monotonic()
        body = orjson.dumps(
            {
                'tickets': [
                    {
                        'id': reservation_id,
                        'tokens': reserved.tokens,
                        'state': 'held',
                        'ageMs': 0,
                    }
                    for reservation_id, reserved in (
                        self.reserved_by_id.items()
                    )
                    if reserved.until_s > now_s
                ]
            }
        )
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
            b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
        )
        return True

    async def _run(
        self,
        request: Received,
        fault: Fault | None,
        writer: asyncio.StreamWriter,
        watcher: 'asyncio.Future[bytes]',
    ) -> bool:
        if fault is Fault.REJECT:
            writer.write(
                b'HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n'
                b'Content-Length: 0\r\n\r\n'
            )
            return True
        request.has_run = True
        if fault is Fault.CLOSE:
            return False
        if fault is Fault.RESET:
            _reset(writer)
            return False
        if fault is Fault.MUTE:
            await watcher
            request.was_left = True
            return False
        if self.events:
            return await self._stream(request, fault, writer, watcher)
        return self._plain(request, fault, writer)

    def _head(
        self, request: Received, fault: Fault | None, extra: str
    ) -> bytes:
        status = '500 Failed' if fault is Fault.FAIL else '200 OK'
        lines = [f'HTTP/1.1 {status}', extra]
        request_id = request.headers.get('x-attempt-id', '')
        if fault is Fault.CROSSED:
            request_id = 'another'
        lines.append(f'X-Attempt-Id: {request_id}')
        if fault is not Fault.UNPROVED:
            lines.append(f'X-Response-Seal: seal-of-{self.name}')
        if fault is Fault.ENCODED:
            lines.append('Content-Encoding: gzip')
        lines.append('X-Engine-Load: 1,0,8')
        return '\r\n'.join(lines).encode() + _HEAD_END

    def _plain(
        self,
        request: Received,
        fault: Fault | None,
        writer: asyncio.StreamWriter,
    ) -> bool:
        length = f'Content-Length: {len(self.body)}'
        if fault in (Fault.UNFRAMED, Fault.UNFRAMED_RESET):
            length = 'Connection: close'
        answer = self._head(request, fault, length) + self.body
        writer.write(answer)
        if fault is Fault.EXTRA:
            writer.write(answer)
        if fault is Fault.UNFRAMED_RESET:
            asyncio.get_running_loop().call_later(0.05, _reset, writer)
            return True
        return fault is not Fault.UNFRAMED

    async def _stream(
        self,
        request: Received,
        fault: Fault | None,
        writer: asyncio.StreamWriter,
        watcher: 'asyncio.Future[bytes]',
    ) -> bool:
        writer.write(
            self._head(
                request,
                fault,
                'Content-Type: text/event-stream\r\n'
                'Transfer-Encoding: chunked',
            )
        )
        first = int(request.headers.get('last-event-id', -1)) + 1
        for number in range(first, self.events):
            event = b'id: %d\ndata: piece %d\n\n' % (number, number)
            if fault is Fault.TORN and number == first + self.torn_after:
                writer.write(_chunk(event[: len(event) // 2]))
                await writer.drain()
                await asyncio.sleep(0.02)
                _reset(writer)
                return False
            writer.write(_chunk(event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
            if watcher.done():
                request.was_left = True
                return False
        writer.write(b'0\r\n\r\n')
        return True


def _chunk(data: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(data), data)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection so that the other side sees a reset."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()
