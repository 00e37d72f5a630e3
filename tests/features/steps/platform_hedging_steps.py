"""Steps for requests that are sent to a second endpoint as well."""

import asyncio
import json
import os
import subprocess
import sys

from behave import given
from behave import then
from behave import when

from galenaquay_standins import engine_faults
from tests import platform_asking
from tests import platform_support as support

VM = 1
# Number of requests at the same time while response times are learnt.
PARALLEL = 4
# Number of the first responses, which hedges wait for, and their delay in
# seconds. The later ones come at once, so that learning hardly sends hedges
# and leaves their limits for the request of the test.
LEARNT_RESPONSES = 60
LEARNT_DELAY_S = 0.1


def send(context, target, request_id):
    return support.send_request(
        platform_asking.fixture(context).front_port(VM),
        'POST',
        target,
        b'{}',
        X_Attempt_Id=request_id,
        X_Token_Counts='5000,500' if is_prompt(target) else '',
    )


def is_prompt(target):
    return target.startswith(('/ask', '/tell'))


def endpoints_of(context, target):
    service = support.POOL if is_prompt(target) else support.SERVICE
    engines = platform_asking.fixture(context).engines_by_name.values()
    return [engine for engine in engines if engine.service == service]


def delay_responses(context, target, seconds):
    for engine in endpoints_of(context, target):
        engine.answer_delay_s = engine.event_delay_s = seconds


def received(context):
    """Returns the request as the endpoints got it, in order of time."""
    engines = platform_asking.fixture(context).engines_by_name.values()
    found = [
        request
        for engine in engines
        for request in engine.received
        if request.attempt_id == context.request_id
    ]
    return sorted(found, key=lambda request: request.received_at_s)


def hedge_lines(context):
    """Returns the log lines about hedges of the request."""
    lines = platform_asking.fixture(context).log(VM).splitlines()
    found = [json.loads(line) for line in lines if '"hedge ' in line]
    return [
        line for line in found if line.get('request_id') == context.request_id
    ]


def send_timed(context, target):
    context.request_id = os.urandom(8).hex()
    start_s = context.loop.time()
    context.response = platform_asking.run(
        context, send(context, target, context.request_id)
    )
    context.took_s = context.loop.time() - start_s


@given('a second entry process with the options "{options}"')
def step_options(context, options):
    program = ('-m', 'galenaquay_platform', *options.split())
    platform_asking.run(
        context,
        platform_asking.fixture(context).start_vm(VM, program=program),
    )


@given('{count:d} requests to "{target}" were answered by it')
def step_answered(context, count, target):
    async def send_all():
        delay_responses(context, target, LEARNT_DELAY_S)
        for sent in range(0, count, PARALLEL):
            if sent >= LEARNT_RESPONSES:
                delay_responses(context, target, 0.0)
            responses = await asyncio.gather(
                *(
                    send(context, target, os.urandom(8).hex())
                    for _ in range(PARALLEL)
                )
            )
            assert all(r.status == 200 for r in responses), responses

    platform_asking.run(context, send_all())


@when(
    'the next endpoint that a request to "{target}" reaches does not respond'
)
def step_no_response(context, target):
    shared_faults = [engine_faults.Fault.NO_RESPONSE]
    for engine in endpoints_of(context, target):
        engine.faults = shared_faults
    send_timed(context, target)


@when(
    'a request to "{target}" reaches endpoints that respond after '
    '{seconds:g} second'
)
def step_slow(context, target, seconds):
    delay_responses(context, target, seconds)
    send_timed(context, target)
    assert context.took_s >= seconds


@then('the caller gets a complete answer within {seconds:g} second')
@then('the caller gets a complete answer within {seconds:g} seconds')
def step_complete(context, seconds):
    assert context.response.status == 200, context.response
    assert context.response.is_complete
    assert context.took_s <= seconds, (context.took_s, hedge_lines(context))


@then('the endpoint that did not respond sees its connection closed by then')
def step_closed(context):
    first, second = received(context)
    platform_asking.run(
        context,
        platform_asking.fixture(context).wait_until(
            lambda: first.client_disconnected, 0.2
        ),
    )
    assert not second.client_disconnected


@then('two endpoints got the request')
def step_two(context):
    first, second = received(context)
    assert (
        first.headers['x-expect-instance']
        != second.headers['x-expect-instance']
    )


@then('one endpoint got the request')
def step_one(context):
    assert len(received(context)) == 1, received(context)


@then('the second entry process logs the hedge as "{outcome}"')
def step_log(context, outcome):
    sent, ended = hedge_lines(context)
    assert sent['message'] == 'hedge sent', sent
    assert sent['responses'] >= 60, sent
    assert ended['message'] == 'hedge ended', ended
    assert ended['outcome'] == outcome, ended


@then('the second entry process logs no hedge')
def step_no_log(context):
    assert '"hedge ' not in platform_asking.fixture(context).log(VM)


@then('the program refuses the options "{options}" and says "{text}"')
def step_refused(context, options, text):
    path = platform_asking.fixture(context).write_settings(VM)
    done = subprocess.run(
        [
            sys.executable,
            '-m',
            'galenaquay_platform',
            '--check',
            *options.split(),
        ],
        env={**os.environ, 'GALENAQUAY_CONFIG': str(path)},
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
    assert done.returncode == 2, done
    assert text in done.stderr, done.stderr
