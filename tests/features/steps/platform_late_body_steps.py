"""Steps for endpoints that read request bodies late or never."""

import asyncio
import collections
import os
import time

from behave import given
from behave import then
from behave import when

from galenaquay_standins import engine_faults
from tests import platform_asking
from tests import platform_support as support

# Requests with bodies of this size on are long, in bytes.
LONG_BODY_BYTES = 100_000
SERVICES_BY_KIND = {'service': support.SERVICE, 'engine': support.POOL}


def endpoints(context, kind):
    """Returns the stand-ins of one kind, "service" or "engine"."""
    return [
        engine
        for engine in platform_asking.fixture(context).engines_by_name.values()
        if engine.service == SERVICES_BY_KIND[kind]
    ]


def make_body(size):
    """Returns a body in which no two places look the same."""
    numbers = b''.join(b'%08d' % number for number in range(size // 8 + 1))
    return numbers[:size]


@given(
    'endpoints with receive buffers of {size:d} bytes and segments of '
    '{segment:d}'
)
def step_small_buffers(context, size, segment):
    async def run_step():
        for kind in SERVICES_BY_KIND:
            for engine in endpoints(context, kind):
                engine.receive_buffer_bytes = size
                engine.segment_bytes = segment
                await engine.stop()
                await engine.start()

    platform_asking.run(context, run_step())


@given('bodies of up to {size:d} bytes')
def step_max_body(context, size):
    context.limits = {
        **support.configuration()['limits'],
        'maxBodyBytes': size,
    }
    platform_asking.publish_and_wait(context, limits=context.limits)


@given('the streams of "{prefix}" may pause for {seconds:g} seconds')
def step_long_pauses(context, prefix, seconds):
    routes = [
        {
            **route,
            'timeoutMs': 15000,
            # A stream is resumed elsewhere after six times this.
            'gapAimMs': seconds * 1000 / 5,
        }
        if route['prefix'] == prefix
        else route
        for route in support.configuration()['routes']
    ]
    platform_asking.publish_and_wait(
        context, limits=context.limits, routes=routes
    )


@given('each {kind} reads late bodies after {seconds:g} seconds')
def step_late_read(context, kind, seconds):
    for engine in endpoints(context, kind):
        engine.late_read_s = seconds


@given('each service responds after {seconds:g} seconds')
def step_late_response(context, seconds):
    for engine in endpoints(context, 'service'):
        engine.answer_delay_s = seconds


@given('each engine applies the fault "{fault}" to its next request')
def step_engine_fault(context, fault):
    for engine in endpoints(context, 'engine'):
        engine.faults = [engine_faults.Fault(fault)]


# Starts an entry process whose kernel seems not to report some states.
START_WITHOUT_REPORTS = """
from galenaquay.adapters import peer_liveness
from galenaquay_platform import __main__ as entry
if 'TCP_INFO' in {missing!r}:
    peer_liveness.read_ack_state = lambda sock: None
if 'SIOCOUTQ' in {missing!r}:
    peer_liveness.read_queued_bytes = lambda sock: None
entry.main()
"""


@given('the kernel does not report {missing} to the entry process')
def step_no_reports(context, missing):
    fixture = platform_asking.fixture(context)

    async def run_step():
        process = fixture.processes.pop(0)
        process.kill()
        await process.wait()
        program = START_WITHOUT_REPORTS.format(missing=missing)
        await fixture.start_vm(0, program=('-c', program))

    platform_asking.run(context, run_step())


def send_body(context, size, target, **headers):
    return platform_asking.send_post(
        context, target, make_body(size), **headers
    )


@when('a timed POST request with {size:d} bytes is sent to "{target}"')
def step_timed_body(context, size, target):
    start_s = context.loop.time()
    send_body(context, size, target)
    context.took_s = context.loop.time() - start_s


@when(
    'a POST request with {size:d} bytes and {time_ms:d} ms is sent to '
    '"{target}"'
)
def step_body_with_deadline(context, size, time_ms, target):
    send_body(context, size, target, X_Deadline_Ms=str(time_ms))


def send_bodies(context, count, size, target):
    """Sends requests that each service applies the same fault to."""
    for engine in endpoints(context, 'service'):
        engine.faults *= count
    return [send_body(context, size, target) for _ in range(count)]


@then(
    '{count:d} POST requests with {size:d} bytes to "{target}" get the whole '
    'response'
)
def step_many_bodies(context, count, size, target):
    for response in send_bodies(context, count, size, target):
        assert response.status == 200, response
        assert response.body == b'{"ok":true}', response
        assert response.is_complete


@then(
    '{count:d} POST requests with {size:d} bytes to "{target}" get status '
    '{status:d}'
)
def step_many_statuses(context, count, size, target, status):
    responses = send_bodies(context, count, size, target)
    statuses = collections.Counter(each.status for each in responses)
    assert set(statuses) == {status}, statuses


@then(
    'within {seconds:g} seconds the service has the whole body and nothing '
    'else'
)
def step_whole_body(context, seconds):
    fixture = platform_asking.fixture(context)
    (request,) = fixture.executed_requests(support.SERVICE)

    def has_body():
        return len(request.body) >= len(context.body)

    try:
        platform_asking.run(context, fixture.wait_until(has_body, seconds))
    except AssertionError:
        raise AssertionError(
            f'{len(request.body)} of {len(context.body)} bytes arrived'
        ) from None
    # The connection has ended, or ends soon.
    platform_asking.run(context, asyncio.sleep(0.3))
    assert request.body == context.body
    assert request.surplus == b'', request.surplus


@then('the entry process logs that a late body ended: "{outcome}"')
def step_late_body_logged(context, outcome):
    fixture = platform_asking.fixture(context)

    def is_logged():
        return any(
            '"late body ended"' in line
            and f'"outcome":"{outcome}"' in line
            and context.request_id in line
            for line in fixture.log().splitlines()
        )

    platform_asking.run(context, fixture.wait_until(is_logged, 5.0))


async def ask(connection, target, tokens, body):
    """Sends a request on an open connection; returns the response."""
    reader, writer = connection
    lines = [
        f'POST {target} HTTP/1.1',
        f'Host: {support.HOST}',
        f'Authorization: Bearer {support.KEY}',
        f'X-Attempt-Id: {os.urandom(8).hex()}',
        'X-Deadline-Ms: 15000',
        f'X-Token-Counts: {tokens},500',
        f'Content-Length: {len(body)}',
    ]
    writer.write('\r\n'.join([*lines, '', '']).encode() + body)
    return await support.read_response(reader)


@when(
    '{count:d} callers with open connections send requests of {size:d} bytes '
    'to "{target}", which each engine reads late'
)
def step_kept_connections(context, count, size, target):
    context.body = make_body(size)
    port = platform_asking.fixture(context).front_port()

    async def run_step():
        connections = [
            await asyncio.open_connection('127.0.0.1', port)
            for _ in range(count)
        ]
        short = await asyncio.gather(
            *(ask(each, target, 1460, b'{}') for each in connections)
        )
        for engine in endpoints(context, 'engine'):
            engine.faults = [engine_faults.Fault.LATE_BODY] * count
        long = await asyncio.gather(
            *(ask(each, target, 210_000, context.body) for each in connections)
        )
        for _, writer in connections:
            writer.transport.abort()
        return [*short, *long]

    context.responses = platform_asking.run(context, run_step())


@then('all callers received complete streams')
def step_complete_streams(context):
    events = endpoints(context, 'engine')[0].events
    outcomes = [
        (each.status, each.is_complete, each.body.count(b'id: '))
        for each in context.responses
    ]
    assert set(outcomes) == {(200, True, events)}, outcomes


@then('all engines received the whole bodies')
def step_all_bodies(context):
    bodies = [
        request.body
        for request in platform_asking.fixture(context).executed_requests(
            support.POOL
        )
        if int(request.headers['content-length']) > LONG_BODY_BYTES
    ]
    assert bodies == [context.body] * (len(context.responses) // 2), [
        len(body) for body in bodies
    ]


@when(
    'a caller of "{target}" with {size:d} bytes disconnects after '
    '{seconds:g} seconds'
)
def step_leaving_caller(context, target, size, seconds):
    platform_asking.run(
        context,
        support.send_request(
            platform_asking.fixture(context).front_port(),
            'POST',
            target,
            make_body(size),
            disconnect_after_s=seconds,
            X_Token_Counts='5000,500',
        ),
    )
    context.left_at_s = time.monotonic()


@then(
    'the {kind} sees the end of the connection within {seconds:g} seconds of '
    'that'
)
def step_hung_up(context, kind, seconds):
    fixture = platform_asking.fixture(context)
    (request,) = fixture.executed_requests(SERVICES_BY_KIND[kind])
    platform_asking.run(
        context,
        fixture.wait_until(lambda: request.hung_up_at_s, seconds + 0.5),
    )
    # The engine must not have ended before the caller left.
    took_s = request.hung_up_at_s - context.left_at_s
    assert 0 <= took_s <= seconds, took_s
