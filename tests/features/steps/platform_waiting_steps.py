"""Steps for requests that wait for capacity."""

import asyncio
import json

from behave import given
from behave import then
from behave import when

from tests import platform_asking
from tests import platform_support as support

TARGET = '/ask/x'
# A caller that leaves must be noticed within this time, in seconds.
NOTICED_S = 0.5


@given('the routes to the engines have different priorities')
def step_priorities(context):
    routes = support.configuration()['routes']
    for route in routes:
        if route['name'] == 'ask':
            route['priority'] = 0
    fixture = platform_asking.fixture(context)
    fixture.publish(routes=routes)
    platform_asking.run(context, asyncio.sleep(0.3))


async def send_prompt(context, disconnect_after_s=None):
    return await support.send_request(
        platform_asking.fixture(context).front_port(),
        'POST',
        TARGET,
        b'{}',
        disconnect_after_s,
        X_Token_Counts='5000,500',
    )


@when('{count:d} prompts are sent one after the other')
def step_send(context, count):
    context.responses = [
        platform_asking.run(context, send_prompt(context))
        for _ in range(count)
    ]


@when('a caller disconnects from a further prompt after {seconds:g} seconds')
def step_leave(context, seconds):
    platform_asking.run(context, send_prompt(context, seconds))


@then('each prompt got a whole response')
def step_whole(context):
    for response in context.responses:
        assert response.status == 200, response
        assert response.is_complete


def ended_waits(context):
    lines = platform_asking.fixture(context).log().splitlines()
    found = [json.loads(line) for line in lines if '"wait ended"' in line]
    return [line for line in found if line['message'] == 'wait ended']


@then('a prompt waited and was then placed')
def step_waited(context):
    ended = ended_waits(context)
    assert ended
    assert all(line['outcome'] == 'placed' for line in ended), ended
    assert max(line['waited_s'] for line in ended) > 0.2, ended


@then(
    'no engine receives more than {count:d} prompts within {seconds:g} seconds'
)
def step_not_sent(context, count, seconds):
    platform_asking.run(context, asyncio.sleep(seconds))
    received = platform_asking.fixture(context).received_requests(support.POOL)
    assert len(received) == count, len(received)


@then('the wait of the prompt ended when its caller left')
def step_left(context):
    (line,) = ended_waits(context)
    assert line['outcome'] == 'removed', line
    assert line['waited_s'] < 0.4 + NOTICED_S, line
