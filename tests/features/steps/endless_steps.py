"""Steps about servers whose responses are not in the protocol."""

import asyncio
import math
import socket
import struct
import threading
import time
import tracemalloc

from behave import given
from behave import then
from behave import when
import uvloop

from galenaquay.adapters import body_transfers
from galenaquay.adapters import engine_http
from galenaquay.adapters import exchange_http
from galenaquay.adapters import run_checks
from galenaquay.adapters import service_http
from galenaquay import codes
from galenaquay.engines import directory
from galenaquay.ports import engine as engine_port
from galenaquay.ports import exchange
from galenaquay.ports import reservations
from galenaquay.ports import services
from galenaquay import telemetry
from galenaquay_platform import headers
from galenaquay_platform import orders
from galenaquay_platform import run_reports

BYTES_PER_MB = 1_000_000
OK = b'HTTP/1.1 200 OK\r\n'
CHUNKED = OK + b'Transfer-Encoding: chunked\r\n\r\n'
REPEATS = 10_000
# Time limit of a call to a service, in seconds.
CALL_TIMEOUT_S = 3.0
REQUEST_ID = 'r'
# Time from half of a response to the reset, in seconds.
RESET_PAUSE_S = 0.02
# What a server sends first and then again and again.
ENDLESS = {
    'a body': (OK + b'Content-Type: application/json\r\n\r\n', b'a'),
    'small chunks': (CHUNKED, b'2\r\naa\r\n'),
    'a chunk extension': (CHUNKED + b'2;', b'a'),
    'trailers': (CHUNKED + b'0\r\n', b'A: b\r\n'),
    'headers': (OK, b'A: b\r\n'),
    'a header': (OK + b'A: ', b'b'),
    'a status line': (b'HTTP/1.1 200 ', b'a'),
    'empty lines': (b'', b'\r\n'),
    'informational responses': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'no response': (b'', b'xyz'),
}


class RawServer:
    """Sends given bytes on each connection, in a thread of its own.

    The thread fills the buffers of the kernel whatever the client does.
    """

    def __init__(self, first, repeated=b'', is_reset=False):
        self._first = first
        self._is_reset = is_reset
        self._repeated = repeated * REPEATS
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.port = self._listener.getsockname()[1]
        self.sent_bytes = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection:
                self._serve(connection)

    def _serve(self, connection):
        try:
            connection.recv(65536)
            connection.sendall(self._first)
            while self._repeated:
                connection.sendall(self._repeated)
                self.sent_bytes += len(self._repeated)
            if self._is_reset:
                # The client's buffers are full by then.
                time.sleep(RESET_PAUSE_S)
                linger = struct.pack('ii', 1, 0)
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )
                return
            connection.shutdown(socket.SHUT_WR)
            connection.recv(65536)
        except OSError:
            return


def start_server(context, *data):
    context.server = RawServer(*data)
    context.add_cleanup(context.server.close)


@given('a server that sends {kind} without end')
def step_endless_server(context, kind):
    start_server(context, *ENDLESS[kind])


@given('a server that responds with status {status}')
def step_status_server(context, status):
    lines = [
        f'HTTP/1.1 {status} X',
        'Content-Length: 2',
        f'X-Attempt-Id: {REQUEST_ID}',
        'X-Response-Seal: seal',
    ]
    start_server(context, '\r\n'.join([*lines, '', '{}']).encode())


@given('a server that resets calls after half of a response without a length')
def step_reset_server(context):
    context.server = RawServer(OK + b'\r\nhalf', is_reset=True)
    context.add_cleanup(context.server.close)


@then('each of {count:d} calls of a service with {size:d} bytes fails')
def step_half_responses(context, count, size):
    url = f'http://127.0.0.1:{context.server.port}'
    call = services.ServiceCall(
        'POST', '/x', b'a' * size, 'text/plain', 'key', ''
    )

    async def run_step():
        client = service_http.HttpServices()
        return [await client.call(url, call) for _ in range(count)]

    for outcome in uvloop.run(run_step()):
        assert isinstance(outcome, codes.Failure), outcome


def make_endpoint(port):
    return directory.Endpoint(
        'e', 's', '127.0.0.1', port, 'ba', 1, directory.EndpointState.READY
    )


async def read_reservations(port):
    client = orders.HttpReservations()
    use = await client.find_use(make_endpoint(port), 'r')
    return use is reservations.Use.UNKNOWN


async def reserve(port):
    client = orders.HttpReservations()
    # An order counts as done once the head of the response says so.
    outcome = await client.reserve(make_endpoint(port), 'r', 1, 1.0)
    return outcome is not reservations.Outcome.REFUSED


async def check_run(port):
    checker = run_checks.RunChecker(run_reports.ReportCodec())
    state = await checker.find_run(make_endpoint(port))
    return state is exchange.RunState.UNKNOWN


async def read_engine_report(port):
    client = engine_http.HttpEngines()
    try:
        report = await client.load(f'http://127.0.0.1:{port}')
    finally:
        await client.close()
    return isinstance(report, codes.Failure)


async def run_prompt(port):
    client = engine_http.HttpEngines()
    request = engine_port.RunRequest(
        REQUEST_ID, 1, f'http://127.0.0.1:{port}', {}, False, 0, 'tag'
    )
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            response = await client.run(request)
    except TimeoutError:
        return False
    finally:
        await client.close()
    return isinstance(response, codes.Failure)


async def call_service(port):
    client = service_http.HttpServices()
    call = services.ServiceCall('GET', '/x', b'', 'text/plain', 'key', '')
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            response = await client.call(f'http://127.0.0.1:{port}', call)
    except TimeoutError:
        # A call that is ended from outside has not failed by itself.
        return False
    return isinstance(response, codes.Failure)


async def send_request(port):
    client = exchange_http.HttpExchange(
        headers.HeaderCodec(),
        run_reports.ReportCodec(),
        body_transfers.BodyTransfers(telemetry.TextMetrics()),
    )
    request = exchange.Request(
        REQUEST_ID, 'POST', '/x', 'h', (), b'{}', None, math.inf
    )
    response = await client.send(
        request, exchange.AttemptParams(make_endpoint(port), None, 3.0)
    )
    if isinstance(response, exchange.SendError):
        return True
    response.close()
    return False


CALLS_BY_CLIENT = {
    'the reader of reservations': read_reservations,
    'the client of reservations': reserve,
    'the check of runs': check_run,
    'the client of engine reports': read_engine_report,
    'the client of prompts': run_prompt,
    'the client of services': call_service,
    'the exchange with endpoints': send_request,
}


@when('{client} calls the server')
def step_call(context, client):
    tracemalloc.start()
    try:
        context.has_failed = uvloop.run(
            CALLS_BY_CLIENT[client](context.server.port)
        )
        context.peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@then('the call fails')
def step_failed(context):
    assert context.has_failed


@then('the call fails and the server sent at most {megabytes:d} MB')
def step_given_up(context, megabytes):
    assert context.has_failed
    sent_bytes = context.server.sent_bytes
    assert sent_bytes <= megabytes * BYTES_PER_MB, sent_bytes


@then('the call ends and holds at most {megabytes:d} MB')
def step_memory(context, megabytes):
    assert context.peak_bytes <= megabytes * BYTES_PER_MB, context.peak_bytes
