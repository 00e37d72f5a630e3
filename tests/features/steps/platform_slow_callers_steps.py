"""Steps that simulate slow callers."""

import asyncio
import socket
import time

from behave import given
from behave import then
from behave import when

from tests import platform_asking
from tests import platform_support as support

SMALL_BUFFER_BYTES = 65536


@given(
    'the limits are {head:d} ms for request headers and {idle:d} ms of idle '
    'time'
)
def step_caller_limits(context, head, idle):
    context.limits = {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 100000,
        'headerTimeoutMs': head,
        'idleTimeoutMs': idle,
    }
    platform_asking.publish_and_wait(context, limits=context.limits)


@given('the longest timeout of a route is {longest:d} ms')
def step_longest_timeout(context, longest):
    routes = [
        {**route, 'timeoutMs': min(longest, route['timeoutMs'])}
        for route in support.configuration()['routes']
    ]
    platform_asking.publish_and_wait(
        context, limits=context.limits, routes=routes
    )


def slow_pieces(what):
    """Returns the pieces of data that a slow caller sends 100 ms apart."""
    head = (
        f'POST /once/x HTTP/1.1\r\nHost: {support.HOST}\r\n'
        f'Authorization: Bearer {support.KEY}\r\nX-Attempt-Id: 79\r\n'
        'Content-Length: 1000\r\n\r\n'
    ).encode()
    return {
        'nothing': [],
        'incomplete request headers': [head[:50]],
        'request headers byte by byte': [head[i : i + 1] for i in range(50)],
        'an incomplete body': [head, b'abcde'],
        'a complete request': [head, b'a' * 1000],
        'a body byte by byte': [head, *([b'a'] * 100)],
    }[what]


@when('a caller sends {what} and then stops sending')
def step_slow_caller(context, what):
    async def send_pieces(writer):
        for piece in slow_pieces(what):
            writer.write(piece)
            await asyncio.sleep(0.1)

    async def run_step():
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', platform_asking.fixture(context).front_port()
        )
        started_s = time.monotonic()
        sending = asyncio.ensure_future(send_pieces(writer))
        try:
            async with asyncio.timeout(10):
                context.raw = await reader.read(-1)
        finally:
            sending.cancel()
            writer.transport.abort()
        return time.monotonic() - started_s

    context.took_s = platform_asking.run(context, run_step())


@then(
    'the connection of the caller is closed after {low:g} to {high:g} '
    'seconds with {status:w}'
)
def step_connection_closed(context, low, high, status):
    assert low <= context.took_s <= high, context.took_s
    platform_asking.check_status_line(context.raw, status)


@then(
    '{count:d} requests sent {pause:d} ms apart on one connection are answered'
)
def step_requests_apart(context, count, pause):
    request = (
        f'POST /look/x HTTP/1.1\r\nHost: {support.HOST}\r\n'
        f'Authorization: Bearer {support.KEY}\r\nX-Attempt-Id: %d\r\n'
        'Content-Length: 2\r\n\r\n{}'
    )

    async def run_step():
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', platform_asking.fixture(context).front_port()
        )
        for number in range(count):
            writer.write((request % number).encode())
            response = await support.read_response(reader)
            assert response.status == 200 and response.is_complete, response
            await asyncio.sleep(pause / 1000)
        writer.transport.abort()

    platform_asking.run(context, run_step())


@given(
    'each engine sends {count:d} events of {size:d} bytes, one every '
    '{seconds:g} seconds'
)
def step_large_events(context, count, size, seconds):
    for engine in platform_asking.fixture(context).engines_by_name.values():
        if engine.events:
            engine.events = count
            engine.event_filler_bytes = size
            engine.event_interval_s = seconds


async def read_to_end(reader):
    """Returns the rest of a response in chunked encoding."""
    data = b''
    while not data.endswith(b'\r\n0\r\n\r\n'):
        part = await reader.read(SMALL_BUFFER_BYTES)
        assert part, 'the response is incomplete'
        data += part
    return data


@when('a caller of "{target}" stops reading for {seconds:g} seconds')
def step_pausing_caller(context, target, seconds):
    async def run_step():
        sock = socket.socket()
        # A small buffer, so that the entry process notices the pause.
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
        )
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        port = platform_asking.fixture(context).front_port()
        await loop.sock_connect(sock, ('127.0.0.1', port))
        reader, writer = await asyncio.open_connection(
            sock=sock, limit=SMALL_BUFFER_BYTES
        )
        lines = [
            f'POST {target} HTTP/1.1',
            f'Host: {support.HOST}',
            f'Authorization: Bearer {support.KEY}',
            'X-Attempt-Id: 1f',
            'X-Deadline-Ms: 8000',
            'X-Token-Counts: 5000,500',
            'Content-Length: 0',
        ]
        writer.write('\r\n'.join([*lines, '', '']).encode())
        await reader.readexactly(1)
        await asyncio.sleep(seconds)
        try:
            async with asyncio.timeout(8.0):
                return await read_to_end(reader)
        finally:
            writer.transport.abort()

    context.stream = platform_asking.run(context, run_step())


@then('the caller received {count:d} events')
def step_event_count(context, count):
    assert context.stream.count(b'id: ') == count
