"""Steps that play callers who are slow."""

import asyncio
import time

from behave import given
from behave import then
from behave import when

from tests import platform_asking
from tests import platform_support as support


def publish_and_wait(context, **changes):
    """Publishes a configuration; waits until the first entry has it."""

    async def work():
        platform_asking.world(context).publish(**changes)
        version = platform_asking.world(context).version

        def is_in_force():
            return (
                f'"version":{version}' in platform_asking.world(context).log()
            )

        await platform_asking.world(context).wait_until(is_in_force, 5.0)

    platform_asking.run(context, work())


@given('callers may take {head:d} ms for a head and be idle for {idle:d} ms')
def step_caller_limits(context, head, idle):
    context.limits = {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 100000,
        'headerTimeoutMs': head,
        'idleTimeoutMs': idle,
    }
    publish_and_wait(context, limits=context.limits)


@given('the longest time of a route is {longest:d} ms')
def step_longest(context, longest):
    routes = [
        {**route, 'timeoutMs': min(longest, route['timeoutMs'])}
        for route in support.configuration()['routes']
    ]
    publish_and_wait(context, limits=context.limits, routes=routes)


def slow_pieces(what):
    """Returns the pieces that a slow caller sends, 100 ms apart."""
    head = (
        f'POST /once/x HTTP/1.1\r\nHost: {support.HOST}\r\n'
        f'Authorization: Bearer {support.KEY}\r\nX-Attempt-Id: 79\r\n'
        'Content-Length: 1000\r\n\r\n'
    ).encode()
    return {
        'nothing': [],
        'half a head': [head[:50]],
        'a drip of a head': [head[i : i + 1] for i in range(50)],
        'half a body': [head, b'abcde'],
        'a whole call': [head, b'a' * 1000],
        'a drip of a body': [head, *([b'a'] * 100)],
    }[what]


@when('a caller sends {what} and no more')
def step_slow_caller(context, what):
    async def drip(writer):
        for piece in slow_pieces(what):
            writer.write(piece)
            await asyncio.sleep(0.1)

    async def work():
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', platform_asking.world(context).front_port()
        )
        started_s = time.monotonic()
        dripping = asyncio.ensure_future(drip(writer))
        try:
            async with asyncio.timeout(10):
                context.raw = await reader.read(-1)
        finally:
            dripping.cancel()
            writer.transport.abort()
        return time.monotonic() - started_s

    context.took_s = platform_asking.run(context, work())


@then('its connection ends after {low:g} to {high:g} seconds with {status:w}')
def step_cut(context, low, high, status):
    assert low <= context.took_s <= high, context.took_s
    platform_asking.check_first_line(context.raw, status)


@then('{count:d} calls on one connection are answered, {pause:d} ms apart')
def step_calls_apart(context, count, pause):
    request = (
        f'POST /look/x HTTP/1.1\r\nHost: {support.HOST}\r\n'
        f'Authorization: Bearer {support.KEY}\r\nX-Attempt-Id: %d\r\n'
        'Content-Length: 2\r\n\r\n{}'
    )

    async def work():
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', platform_asking.world(context).front_port()
        )
        for number in range(count):
            writer.write((request % number).encode())
            answer = await support.read_answer(reader)
            assert answer.status == 200 and answer.is_complete, answer
            await asyncio.sleep(pause / 1000)
        writer.transport.abort()

    platform_asking.run(context, work())
