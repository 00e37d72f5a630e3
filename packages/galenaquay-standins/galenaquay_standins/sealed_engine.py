"""Stand-in for an engine or plain service of the users' platform.

Implements the platform's HTTP protocol, in which a response carries the header
`X-Response-Seal`. Writes raw bytes to the socket, because some of the injected
faults are malformed responses that HTTP libraries refuse to send.
"""

import asyncio
from collections.abc import Callable
import itertools
import time
from typing import Any, Final

import orjson

from . import engine_faults
from . import engine_records
from . import late_reading
from . import raw_responses

_NS_PER_MS: Final = 1_000_000


class SealedEngine:
    """Engine or plain service stand-in that listens on loopback."""

    def __init__(
        self, name: str, service: str, zone: str, port: int, events: int = 0
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.port = port
        # Port in the store entry; differs from `port` behind a proxy.
        self.advertised_port = port
        # Number of events in a stream; 0 for a plain service.
        self.events = events
        # Size of the filler in each event of a stream, in bytes.
        self.event_filler_bytes = 0
        # Time between two events of a stream, in seconds.
        self.event_interval_s = 0.01
        # Time before an answer that is no stream, in seconds.
        self.answer_delay_s = 0.0
        # Time from the head of a stream to its first event, in seconds.
        self.event_delay_s = 0.0
        # Pause before `Fault.LATE_BODY` reads a body, and before the faults
        # after which nothing is acknowledged take effect, in seconds.
        self.late_read_s = 0.3
        # Sizes of receive buffers and segments of connections; 0 leaves them
        # to the system.
        self.receive_buffer_bytes = 0
        self.segment_bytes = 0
        self.body = b'{"ok":true}'
        self.faults: list[engine_faults.Fault] = []
        # Bytes of one more header in responses, without the line break.
        self.raw_header = b''
        # Number of bytes of the head sent by `Fault.PARTIAL_HEAD`.
        self.head_bytes = 0
        # Size of the whole head of that response.
        self.full_head_bytes = 0
        # Number of complete events sent before `Fault.PARTIAL_EVENT` applies.
        self.events_before_reset = 3
        self.received: list[engine_records.ReceivedRequest] = []
        # Bytes sent by the faults that end only when the client disconnects.
        self.endless_bytes = 0
        # Limit in requests per second that responses state; None for no limit.
        self.limit_per_s: float | None = None
        # Whether all answers say that this engine shuts down.
        self.is_leaving = False
        # Text of the Retry-After header with which the engine rejects all
        # requests; None rejects none.
        self.retry_after: str | None = None
        # When this run of the engine started, in Unix milliseconds.
        self.started_at_ms = time.time_ns() // _NS_PER_MS
        # Id of a part of prompts, id of a last part, and body of a request;
        # each of them crashes this engine as it begins to answer.
        self.deadly_part = ''
        self.deadly_last_part = ''
        self.deadly_body: bytes | None = None
        # Called after each simulated crash of the engine.
        self.on_end: Callable[[], None] = lambda: None
        self.has_ended = False
        # Whether connections are accepted, but no request is answered.
        self.is_silent = False
        # Whether the engine offers a report, and the number of reads of it.
        self.has_report = True
        self.report_reads = 0
        self.orders: list[dict[str, Any]] = []
        # Whether the engine carries out orders without responding to them.
        self.drops_order_responses = False
        self.reservations_by_id: dict[str, engine_records.Reservation] = {}
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._numbers = itertools.count()

    def store_entry(self, state: str = 'ready') -> dict[str, Any]:
        """Returns the engine's entry in the platform store."""
        return {
            'service': self.service,
            'address': f'127.0.0.1:{self.advertised_port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': state,
            'coldRemainingMs': 0,
            'seq': next(self._numbers),
            'born': self.started_at_ms,
        }

    async def start(self) -> None:
        """Starts to listen on the engine's port."""
        self._server = await asyncio.start_server(
            self._serve_connection,
            sock=late_reading.open_listener(
                self.port, self.receive_buffer_bytes, self.segment_bytes
            ),
        )

    async def stop(self) -> None:
        """Stops listening on the port."""
        if self._server is not None:
            self._server.close()

    def end(self) -> None:
        """Ends like a crashed process, with all connections."""
        self.has_ended = True
        if self._server is not None:
            self._server.close()
        self.end_connections()
        self.on_end()

    def end_connections(self) -> None:
        """Ends all connections; those with unread data are reset."""
        for writer in list(self._writers):
            writer.transport.abort()

    def crash(self, fault: engine_faults.Fault) -> None:
        """Ends like a crashed process, in the way that a fault describes."""
        if fault is engine_faults.Fault.NO_LENGTH_CRASH:
            self.end()
            return
        self.end_connections()
        if fault is engine_faults.Fault.NO_LENGTH_RESTART:
            self.restart()
            self.on_end()
        elif fault is engine_faults.Fault.NO_LENGTH_REUSE:
            self.name = f'{self.name}-another'
        else:
            self.is_silent = True
        if fault is engine_faults.Fault.NO_LENGTH_LATE_CRASH:
            asyncio.get_running_loop().call_later(
                engine_faults.LISTENER_OUTLIVES_S, self.end
            )

    def restart(self) -> None:
        """Begins another run of the engine under the same id and address."""
        self.is_leaving = False
        self.retry_after = None
        self.started_at_ms += 1

    def executed_requests(self) -> list[engine_records.ReceivedRequest]:
        """Returns the requests that the engine executed."""
        return [request for request in self.received if request.has_run]

    def reserved_tokens(self) -> int:
        """Returns the memory of all unexpired reservations, in tokens."""
        return sum(
            ticket['tokens']
            for ticket in engine_records.tickets(self.reservations_by_id)
        )

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if self.is_silent:
                await reader.read()
                return
            while await self._serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serves one request; returns whether the connection stays open."""
        head = await reader.readuntil(raw_responses.HEAD_END)
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
        request = engine_records.ReceivedRequest(method, target, headers, b'')
        if fault is engine_faults.Fault.EARLY_RESPONSE:
            self.received.append(request)
            writer.write(
                raw_responses.rejection('503 Busy', request.attempt_id)
            )
            await asyncio.sleep(0.2)
            request.body = await reader.read(1 << 22)
            return False
        size = int(headers.get('content-length', 0))
        if self.retry_after is not None:
            # The request is rejected below.
            fault = None
        if fault is engine_faults.Fault.LATE_BODY:
            request.late_body = asyncio.ensure_future(
                late_reading.read_body(reader, writer, size, self.late_read_s)
            )
        elif fault not in engine_faults.UNREAD_FAULTS:
            request.body = await reader.readexactly(size)
        if is_order:
            return self._handle_order(request, writer)
        if target == '/api/report':
            return self._send_report(request, writer)
        request.run_started_at_ms = self.started_at_ms
        request.says_leaving = self.is_leaving
        request.retry_after = self.retry_after
        self.received.append(request)
        rejection = None
        if headers.get('x-expect-instance') != self.name:
            rejection = '421 Misdirected Request'
        elif self.retry_after is not None:
            rejection = '503 Busy'
        if rejection is not None:
            writer.write(
                raw_responses.rejection(
                    rejection, request.attempt_id, *self._notice_lines()
                )
            )
            return True
        if fault in engine_faults.SILENT_FAULTS:
            request.has_run = True
            await late_reading.fall_silent(
                writer,
                None
                if fault is engine_faults.Fault.UNREAD_SILENCE
                else self.late_read_s,
            )
            request.hung_up_at_s = time.monotonic()
            return False
        disconnect = asyncio.ensure_future(
            engine_records.read_surplus(request, reader)
        )
        try:
            is_kept = await self._respond(request, fault, writer, disconnect)
            if request.late_body is not None:
                # Reads what follows the body, until the connection ends.
                request.surplus = await disconnect
                return False
            if fault in engine_faults.RESET_FAULTS:
                raw_responses.reset(writer)
            return is_kept and fault not in engine_faults.UNREAD_FAULTS
        finally:
            disconnect.cancel()
            await asyncio.wait([disconnect])

    def _is_deadly(self, request: engine_records.ReceivedRequest) -> bool:
        *shared, last = engine_records.part_ids(request)
        return (
            self.deadly_part in shared
            or ('' != last == self.deadly_last_part)
            or request.body == self.deadly_body
        )

    def _handle_order(
        self,
        request: engine_records.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        order = orjson.loads(request.body)
        self.orders.append(order)
        status = engine_records.apply_order(self.reservations_by_id, order)
        if self.drops_order_responses:
            return False
        writer.write(self._format_json(status, b'{"free":1}'))
        return True

    def _format_json(self, status: int, body: bytes) -> bytes:
        return raw_responses.json_response(status, body, self._notice_lines())

    def _notice_lines(self) -> list[str]:
        """Returns the headers that contain the engine's notices."""
        lines = []
        if self.limit_per_s is not None:
            lines.append(f'Server-Limit: {self.limit_per_s}')
        if self.is_leaving:
            lines.append('Server-Leaving: 1')
        if self.retry_after is not None:
            lines.append(f'Retry-After: {self.retry_after}')
        return lines

    def _send_report(
        self,
        request: engine_records.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        self.report_reads += 1
        if request.headers.get('x-expect-instance', self.name) != self.name:
            writer.write(raw_responses.rejection('421 Misdirected', ''))
            return True
        if not self.has_report:
            writer.write(self._format_json(404, b'{}'))
            return True
        report = {
            'tickets': engine_records.tickets(self.reservations_by_id),
            'born': self.started_at_ms,
        }
        writer.write(self._format_json(200, orjson.dumps(report)))
        return True

    async def _respond(
        self,
        request: engine_records.ReceivedRequest,
        fault: engine_faults.Fault | None,
        writer: asyncio.StreamWriter,
        disconnect: 'asyncio.Future[bytes]',
    ) -> bool:
        if fault is engine_faults.Fault.REJECT:
            writer.write(
                raw_responses.rejection('503 Busy', request.attempt_id)
            )
            return True
        request.has_run = True
        if fault in raw_responses.STALE_RESPONSES:
            writer.write(raw_responses.STALE_RESPONSES[fault])
            return True
        if fault is engine_faults.Fault.CLOSE_CONNECTION:
            return False
        if fault is engine_faults.Fault.RESET_CONNECTION:
            raw_responses.reset(writer)
            return False
        if fault is engine_faults.Fault.NO_RESPONSE:
            await disconnect
            request.client_disconnected = True
            return False
        if fault is engine_faults.Fault.PARTIAL_HEAD:
            head = self._format_head(request, fault, 'Content-Length: 11')
            self.full_head_bytes = len(head)
            writer.write(head[: self.head_bytes])
            return False
        if fault in engine_faults.ENDLESS_FAULTS:
            await self._send_without_end(request, fault, writer, disconnect)
            return False
        if self.events and fault is not engine_faults.Fault.PLAIN_RESPONSE:
            return await self._send_stream(request, fault, writer, disconnect)
        await asyncio.sleep(self.answer_delay_s)
        return await self._send_plain(request, fault, writer)

    def _format_head(
        self,
        request: engine_records.ReceivedRequest,
        fault: engine_faults.Fault | None,
        extra: str,
    ) -> bytes:
        status = (
            '500 Failed'
            if fault is engine_faults.Fault.SERVER_ERROR
            else '200 OK'
        )
        lines = [f'HTTP/1.1 {status}', extra]
        request_id = request.headers.get('x-attempt-id', '')
        if fault is engine_faults.Fault.WRONG_ATTEMPT_ID:
            request_id = 'another'
        lines.append(f'X-Attempt-Id: {request_id}')
        if fault is not engine_faults.Fault.NO_SEAL:
            lines.append(f'X-Response-Seal: seal-of-{self.name}')
        if fault is engine_faults.Fault.ENCODED:
            lines.append('Content-Encoding: gzip')
        lines.append('X-Engine-Load: 1,0,8')
        lines += self._notice_lines()
        # Header values of requests are repeated byte for byte.
        head = '\r\n'.join(lines).encode('latin-1')
        if self.raw_header:
            head += b'\r\n' + self.raw_header
        return head + raw_responses.HEAD_END

    async def _send_without_end(
        self,
        request: engine_records.ReceivedRequest,
        fault: engine_faults.Fault,
        writer: asyncio.StreamWriter,
        disconnect: 'asyncio.Future[bytes]',
    ) -> None:
        """Sends bytes until the client disconnects."""
        stream = self._format_head(
            request,
            fault,
            'Content-Type: text/event-stream\r\nConnection: close',
        )
        plain = self._format_head(request, fault, 'Connection: close')
        start, filler = raw_responses.endless_parts(fault, plain, stream)
        is_slow = fault is engine_faults.Fault.SLOW_ENDLESS_EVENT
        writer.write(start)
        try:
            while not disconnect.done():
                self.endless_bytes += len(filler)
                writer.write(filler)
                await writer.drain()
                await asyncio.sleep(
                    raw_responses.SLOW_BYTE_INTERVAL_S if is_slow else 0.0
                )
        finally:
            request.client_disconnected = True

    async def _send_plain(
        self,
        request: engine_records.ReceivedRequest,
        fault: engine_faults.Fault | None,
        writer: asyncio.StreamWriter,
    ) -> bool:
        length = f'Content-Length: {len(self.body)}'
        if fault in engine_faults.UNFRAMED_FAULTS:
            length = 'Connection: close'
        response = self._format_head(request, fault, length) + self.body
        if fault in engine_faults.CRASH_FAULTS:
            writer.write(response[: -len(self.body) // 2])
            await writer.drain()
            await asyncio.sleep(0.02)
            self.crash(fault)
            return False
        if fault is engine_faults.Fault.UNREAD_HALF_RESET:
            return await raw_responses.send_unread(writer, response[:-5])
        writer.write(response)
        if fault is engine_faults.Fault.DUPLICATE_RESPONSE:
            writer.write(response)
        if fault is engine_faults.Fault.NO_LENGTH_RESET:
            asyncio.get_running_loop().call_later(
                0.05, raw_responses.reset, writer
            )
            return True
        return fault is not engine_faults.Fault.NO_LENGTH

    async def _send_stream(
        self,
        request: engine_records.ReceivedRequest,
        fault: engine_faults.Fault | None,
        writer: asyncio.StreamWriter,
        disconnect: 'asyncio.Future[bytes]',
    ) -> bool:
        is_chunked = fault not in engine_faults.UNFRAMED_FAULTS
        framing = 'Transfer-Encoding: chunked'
        if not is_chunked:
            framing = 'Connection: close'
        writer.write(
            self._format_head(
                request,
                fault,
                f'Content-Type: text/event-stream\r\n{framing}',
            )
        )
        if self._is_deadly(request):
            await writer.drain()
            self.end()
            return False
        await asyncio.sleep(self.event_delay_s)
        first = int(request.headers.get('last-event-id', -1)) + 1
        for number in range(first, self.events):
            filler = b'a' * self.event_filler_bytes
            event = b'id: %d\ndata: piece %d%s\n\n' % (number, number, filler)
            if (
                fault in engine_faults.BREAKING_FAULTS
                and number == first + self.events_before_reset
            ):
                part = event[: len(event) // 2]
                if fault in engine_faults.BREAKS_BETWEEN_EVENTS:
                    part = b''
                writer.write(raw_responses.chunk(part) if is_chunked else part)
                await writer.drain()
                await asyncio.sleep(0.02)
                if fault in engine_faults.CRASH_FAULTS:
                    self.crash(fault)
                elif fault is not engine_faults.Fault.NO_LENGTH_PARTIAL_EVENT:
                    raw_responses.reset(writer)
                return False
            writer.write(raw_responses.chunk(event) if is_chunked else event)
            await writer.drain()
            if request.late_body is not None:
                await asyncio.wait([request.late_body])
            if number + 1 < self.events:
                await asyncio.wait([disconnect], timeout=self.event_interval_s)
            if disconnect.done():
                request.client_disconnected = True
                return False
        if is_chunked:
            writer.write(b'0\r\n\r\n')
        return is_chunked
