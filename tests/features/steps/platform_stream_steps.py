"""Steps for streams that break off, and for answers without a length."""

import asyncio
import itertools

from behave import given
from behave import then
from behave import when

from galenaquay_standins import engine_faults
from tests import platform_asking
from tests import platform_support as support


def event_bytes(numbers):
    return b''.join(b'id: %d\ndata: piece %d\n\n' % (i, i) for i in numbers)


@given(
    'the engines that run a request apply the faults "{first}", then "{then}"'
)
def step_engine_faults(context, first, then):
    shared_faults = [engine_faults.Fault(first), engine_faults.Fault(then)]
    for engine in platform_asking.fixture(context).engines_by_name.values():
        if engine.service == support.POOL:
            engine.faults = shared_faults
            context.events_before_break = engine.events_before_reset


@given('requests may be sent to {count:d} endpoints')
def step_max_attempts(context, count):
    fixture = platform_asking.fixture(context)
    routes = support.configuration()['routes']
    for each_route in routes:
        each_route['maxAttempts'] = count
    fixture.publish(routes=routes)
    platform_asking.run(context, asyncio.sleep(0.5))


@then('the caller receives the events before the break and nothing else')
def step_events_before_break(context):
    expected = event_bytes(range(context.events_before_break))
    assert context.response.body == expected, context.response
    # Nothing follows the chunk of the last event, not even invalid bytes.
    assert context.response.raw.endswith(b'\n\n\r\n'), context.response.raw


@when('a resumable stream is requested')
def step_resumable_stream(context):
    platform_asking.send_post(
        context, '/ask/x', b'{}', X_Token_Counts='5000,500'
    )


@then('the caller receives every event once and in order')
def step_events(context):
    assert context.response.body == event_bytes(range(8)), context.response


@then('the caller receives {count:d} events')
def step_event_count(context, count):
    assert context.response.body == event_bytes(range(count)), context.response


@then('an answer to "{target}" whose head is cut at any byte gives 502')
def step_cut_head(context, target):
    fixture = platform_asking.fixture(context)
    service = support.POOL if target.startswith('/tell') else support.SERVICE
    for count in itertools.count():
        for engine in fixture.engines_by_name.values():
            engine.head_bytes = count
        fixture.set_faults(service, engine_faults.Fault.PARTIAL_HEAD)
        try:
            response = platform_asking.send_post(
                context, target, b'{}', X_Token_Counts='5000,500'
            )
        finally:
            fixture.set_faults(service)
        assert response.status == 502, (count, response)
        assert response.is_complete
        received = fixture.executed_requests(service)
        assert len(received) == count + 1, (len(received), count)
        head_bytes = max(
            engine.full_head_bytes
            for engine in fixture.engines_by_name.values()
        )
        if count + 1 == head_bytes:
            return
