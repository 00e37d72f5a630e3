"""Steps for the connections of callers: slow, old, half-closed and gone."""

import asyncio
import signal
import socket
import time

from behave import given
from behave import then
from behave import when

from tests import platform_asking
from tests import platform_support as support

# Segment size and receive buffer of callers that do not read, so that the
# kernel holds little of a response and the process holds the rest.
SEGMENT_BYTES = 1448
WINDOW_BYTES = 16384
# Time in which a stream is written by its engine, in seconds.
WRITING_S = 0.7
# Bytes that are neither ASCII nor, as a whole, UTF-8.
ODD_VALUE = b'caf\xe9 \xc3\xa9 \xff\x80'
# A part of prompts that is not UTF-8.
ODD_PART = b'\xff\xe9'
# Time in which a connection is closed that has nothing left to send.
CLOSE_S = 0.5
# Runs an entry process whose calls for the state of connections fail.
SILENT_KERNEL_PROGRAM = """
import fcntl
import socket
import sys

def fail(*arguments):
    raise OSError(25, 'not supported')

fcntl.ioctl = fail
del socket.TCP_INFO
sys.argv = ['galenaquay_platform', *sys.argv[1:]]
from galenaquay_platform import command
command.main()
"""
READ_BYTES = 65536


def request_bytes(target, version='1.1', body=b'{}', odd_lines=(), **changes):
    fields = {
        'Host': support.HOST,
        'Authorization': f'Bearer {support.KEY}',
        'X-Attempt-Id': '5f',
        'X-Deadline-Ms': '8000',
        'X-Token-Counts': '5000,500',
        'Content-Length': str(len(body)),
        **changes,
    }
    lines = [f'POST {target} HTTP/{version}'.encode()]
    lines += [f'{name}: {value}'.encode() for name, value in fields.items()]
    return b'\r\n'.join([*lines, *odd_lines, b'', b'']) + body


async def connect(context):
    port = platform_asking.fixture(context).front_port()
    return await asyncio.open_connection('127.0.0.1', port)


class SlowCaller:
    """A caller that sends a request and reads the response later."""

    async def send(self, port, target):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        self.sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES
        )
        self.sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.sock, ('127.0.0.1', port))
        await loop.sock_sendall(self.sock, request_bytes(target))

    async def read(self):
        reader, writer = await asyncio.open_connection(sock=self.sock)
        try:
            async with asyncio.timeout(5.0):
                return await support.read_response(reader)
        finally:
            writer.transport.abort()


@given(
    '{count:d} entry processes, each with a caller that does not read its '
    'stream of {least_kb:d} to {most_kb:d} KB'
)
def step_slow_callers(context, count, least_kb, most_kb):
    fixture = platform_asking.fixture(context)
    engines = [e for e in fixture.engines_by_name.values() if e.events]

    async def run_step():
        await asyncio.gather(*(fixture.start_vm(i) for i in range(1, count)))
        context.slow_callers = []
        for vm in range(count):
            # How much the kernel holds for a caller differs, so that the
            # streams have different sizes. A process with several callers
            # would wait for the one with the longest stream.
            step_kb = (most_kb - least_kb) / (count - 1)
            size = int((least_kb + vm * step_kb) * 1000)
            for engine in engines:
                engine.event_filler_bytes = size // engine.events
            caller = SlowCaller()
            await caller.send(fixture.front_port(vm), '/ask/x')
            context.slow_callers.append(caller)
            await fixture.wait_until(
                lambda vm=vm: (
                    len(fixture.executed_requests(support.POOL)) > vm
                ),
                2.0,
            )
            # The engine reads the size of its events while it writes them.
            await asyncio.sleep(0.1)
        await asyncio.sleep(WRITING_S)

    platform_asking.run(context, run_step())


@when('the entry processes get SIGTERM')
def step_sigterm_all(context):
    for process in platform_asking.fixture(context).processes.values():
        process.send_signal(signal.SIGTERM)


@then('each of these callers receives its whole stream')
def step_whole_streams(context):
    async def run_step():
        return await asyncio.gather(*(c.read() for c in context.slow_callers))

    responses = platform_asking.run(context, run_step())
    received = [(r.is_complete, r.body.count(b'id: ')) for r in responses]
    assert set(received) == {(True, 40)}, received


@then(
    'the entry processes exit {low:g} to {high:g} seconds later with status 0'
)
def step_exits_late(context, low, high):
    processes = platform_asking.fixture(context).processes.values()

    async def run_step():
        async with asyncio.timeout(support.GRACE_S + 2):
            return await asyncio.gather(*(p.wait() for p in processes))

    started_s = time.monotonic()
    statuses = platform_asking.run(context, run_step())
    took_s = time.monotonic() - started_s
    assert set(statuses) == {0}, statuses
    assert low <= took_s <= high, took_s


@given('each service answers with a header that is not ASCII')
def step_odd_response(context):
    for engine in platform_asking.fixture(context).engines_by_name.values():
        engine.raw_header = b'X-Odd-Reply: ' + ODD_VALUE


@when('a request with a header that is not ASCII is sent')
def step_odd_request(context):
    async def run_step():
        reader, writer = await connect(context)
        writer.write(
            request_bytes('/once/x', odd_lines=[b'X-Odd: ' + ODD_VALUE])
        )
        async with asyncio.timeout(5.0):
            context.raw = await reader.readuntil(b'\r\n\r\n')
        writer.transport.abort()

    platform_asking.run(context, run_step())


@then('the service receives the header byte for byte')
def step_odd_received(context):
    requests = platform_asking.fixture(context).received_requests(
        support.SERVICE
    )
    values = [r.headers.get('x-odd', '').encode('latin-1') for r in requests]
    assert values == [ODD_VALUE], (values, context.raw)


@then('the caller receives the header byte for byte')
def step_odd_replied(context):
    assert context.raw.startswith(b'HTTP/1.1 200 '), context.raw
    lines = context.raw.split(b'\r\n')
    assert b'X-Odd-Reply: ' + ODD_VALUE in lines, lines


@when('an HTTP/1.0 client requests a stream on "{target}"')
def step_old_client(context, target):
    async def run_step():
        reader, writer = await connect(context)
        writer.write(request_bytes(target, version='1.0'))
        context.raw = b''
        context.is_reset = False
        try:
            async with asyncio.timeout(5.0):
                while data := await reader.read(READ_BYTES):
                    context.raw += data
        except ConnectionResetError:
            context.is_reset = True
        writer.transport.abort()

    platform_asking.run(context, run_step())


@then('the client receives {count:d} events without chunks, and {end}')
def step_old_stream(context, count, end):
    head, _, body = context.raw.partition(b'\r\n\r\n')
    assert b' 200 ' in head.split(b'\r\n')[0], context.raw
    assert b'transfer-encoding' not in head.lower(), head
    expected = b''.join(
        b'id: %d\ndata: piece %d\n\n' % (i, i) for i in range(count)
    )
    assert body == expected, body
    assert context.is_reset == (end == 'a reset'), context.is_reset


@when('a request with the Host header "{host}" is sent')
def step_host(context, host):
    async def run_step():
        reader, writer = await connect(context)
        writer.write(request_bytes('/once/x', Host=host))
        async with asyncio.timeout(5.0):
            context.response = await support.read_response(reader)
        writer.transport.abort()

    platform_asking.run(context, run_step())


@then('the caller receives status {status:d}')
def step_caller_status(context, status):
    assert context.response.status == status, context.response


@then('services received only the Host header "{host}"')
def step_host_received(context, host):
    requests = platform_asking.fixture(context).received_requests(
        support.SERVICE
    )
    assert {r.headers['host'] for r in requests} <= {host}, requests
    assert bool(requests) == (context.response.status == 200), requests


@given('each service answers after {seconds:g} seconds')
def step_late_answers(context, seconds):
    for engine in platform_asking.fixture(context).engines_by_name.values():
        engine.answer_delay_s = seconds


def half_closing_request(context, data):
    """Sends data, half-closes the connection, and reads to its end."""

    async def run_step():
        reader, writer = await connect(context)
        writer.write(data)
        writer.write_eof()
        context.raw = b''
        started_s = time.monotonic()
        try:
            async with asyncio.timeout(8.0):
                while data_read := await reader.read(READ_BYTES):
                    context.raw += data_read
        finally:
            context.took_s = time.monotonic() - started_s
            writer.transport.abort()

    platform_asking.run(context, run_step())


async def parse_responses(raw, count):
    """Returns the responses in raw data; interim responses are skipped."""
    reader = asyncio.StreamReader()
    while raw.startswith(b'HTTP/1.1 100 '):
        raw = raw.partition(b'\r\n\r\n')[2]
    parts = [raw]
    if count > 1:
        first, start, rest = raw[1:].partition(b'HTTP/1.1 ')
        parts = [raw[:1] + first, start + rest]
    responses = []
    for part in parts:
        while part.startswith(b'HTTP/1.1 100 '):
            part = part.partition(b'\r\n\r\n')[2]
        reader = asyncio.StreamReader()
        reader.feed_data(part)
        reader.feed_eof()
        responses.append(await support.read_response(reader))
    return responses


@when('a client sends a request to "{target}" and half-closes its connection')
def step_half_close(context, target):
    half_closing_request(context, request_bytes(target))


@when(
    'a client sends two requests to "{target}" and half-closes its connection'
)
def step_half_close_two(context, target):
    half_closing_request(context, request_bytes(target) * 2)


@then('the client receives a complete response with status {status:d}')
def step_complete(context, status):
    (response,) = platform_asking.run(context, parse_responses(context.raw, 1))
    assert response.status == status, context.raw
    assert response.is_complete, context.raw


@then('the client receives two complete responses with status {status:d}')
def step_two_complete(context, status):
    responses = platform_asking.run(context, parse_responses(context.raw, 2))
    assert [r.status for r in responses] == [status] * 2, context.raw
    assert all(r.is_complete for r in responses), context.raw


@then('the connection is closed after the response')
def step_closed(context):
    fixture = platform_asking.fixture(context)
    delay_s = max(e.answer_delay_s for e in fixture.engines_by_name.values())
    assert context.took_s < delay_s + CLOSE_S, context.took_s


@when('a client sends a part of a request and half-closes its connection')
def step_half_close_body(context):
    half_closing_request(context, request_bytes('/once/x')[:-1])


@then('the response ends incomplete within {seconds:g} seconds')
def step_ends_within(context, seconds):
    (response,) = platform_asking.run(context, parse_responses(context.raw, 1))
    assert response.status == 200, context.raw
    assert not response.is_complete, context.raw
    assert context.took_s <= seconds, context.took_s


@then('each engine sees its connections closed')
def step_all_see(context):
    fixture = platform_asking.fixture(context)
    requests = fixture.executed_requests(support.POOL)
    platform_asking.run(
        context,
        fixture.wait_until(
            lambda: all(r.client_disconnected for r in requests), CLOSE_S
        ),
    )


@then('the connection is closed at once without a response')
def step_closed_at_once(context):
    assert context.raw == b'', context.raw
    assert context.took_s < CLOSE_S, context.took_s


async def leave(context, target, half_closes, seconds):
    fixture = platform_asking.fixture(context)
    reader, writer = await connect(context)
    writer.write(request_bytes(target))
    if half_closes:
        writer.write_eof()
    await asyncio.sleep(seconds)
    requests = [
        *fixture.executed_requests(support.SERVICE),
        *fixture.executed_requests(support.POOL),
    ]
    assert len(requests) == 1, requests
    context.request = requests[0]
    assert not context.request.client_disconnected
    # The client has read all data, so that its kernel sends no reset.
    writer.close()
    await writer.wait_closed()


@when(
    'a client sends a request to "{target}" and is gone after {seconds:g} '
    'seconds'
)
def step_gone(context, target, seconds):
    platform_asking.run(context, leave(context, target, False, seconds))


@when(
    'a client sends a request to "{target}" and half-closes, and is gone '
    'after {seconds:g} seconds'
)
def step_half_closed_gone(context, target, seconds):
    platform_asking.run(context, leave(context, target, True, seconds))


@then('the endpoint sees its connection closed within {seconds:g} seconds')
def step_endpoint_sees(context, seconds):
    platform_asking.run(
        context,
        platform_asking.fixture(context).wait_until(
            lambda: context.request.client_disconnected, seconds
        ),
    )


@given('the entry process starts again where the kernel tells nothing')
def step_silent_kernel(context):
    fixture = platform_asking.fixture(context)

    async def run_step():
        process = fixture.processes.pop(0)
        process.kill()
        await process.wait()
        await fixture.start_vm(0, program=('-c', SILENT_KERNEL_PROGRAM))

    platform_asking.run(context, run_step())


@then('a POST request to "{target}" gets {status:d}')
def step_post_gets(context, target, status):
    response = platform_asking.send_post(context, target)
    assert response.status == status, response
    for engine in platform_asking.fixture(context).engines_by_name.values():
        engine.received.clear()


@then('the entry process has logged no error')
def step_no_error(context):
    log = platform_asking.fixture(context).log()
    assert '"level":"ERROR"' not in log, log
    assert 'Traceback' not in log, log


@when('a request whose id is not UTF-8 is sent')
def step_odd_id(context):
    data = request_bytes('/once/x').replace(
        b'X-Attempt-Id: 5f', b'X-Attempt-Id: x\xe9\xff'
    )

    async def run_step():
        reader, writer = await connect(context)
        writer.write(data)
        async with asyncio.timeout(5.0):
            raw = await reader.readuntil(b'\r\n\r\n')
        assert b'X-Attempt-Id: x\xe9\xff\r\n' in raw, raw
        status = int(raw.split(b' ')[1])
        context.response = support.Response(status, {}, b'', True)
        writer.transport.abort()

    platform_asking.run(context, run_step())


@then('the entry process has logged the request with id "{text}"')
def step_odd_id_logged(context, text):
    fixture = platform_asking.fixture(context)
    escaped = text.replace('\\', '\\\\')
    platform_asking.run(
        context,
        fixture.wait_until(
            lambda: f'"request_id":"{escaped}"' in fixture.log(), 2.0
        ),
    )


@given('each engine ends when it gets a part that is not UTF-8')
def step_odd_deadly_part(context):
    for engine in platform_asking.fixture(context).engines_by_name.values():
        engine.deadly_part = ODD_PART.decode('latin-1')


@when('{count:d} prompts with the part are sent one after the other')
def step_odd_part(context, count):
    line = b'X-Prompt-Prefix: ' + ODD_PART + b':10,ab:4990'

    async def run_step():
        # The VMs know each other.
        await asyncio.sleep(1.0)
        for _ in range(count):
            reader, writer = await connect(context)
            writer.write(request_bytes('/tell/x', odd_lines=[line]))
            async with asyncio.timeout(5.0):
                await reader.read(READ_BYTES)
            writer.transport.abort()
            await asyncio.sleep(0.3)

    platform_asking.run(context, run_step())


@then('the second entry process blames the part')
def step_part_blamed(context):
    fixture = platform_asking.fixture(context)
    platform_asking.run(
        context,
        fixture.wait_until(
            lambda: '"prompt parts blamed' in fixture.log(1), 3.0
        ),
    )
