"""Steps for endpoints that shut down or want no request for a time."""

import asyncio
import signal
import time

from behave import given
from behave import then
from behave import when

from tests import platform_asking
from tests import platform_support as support

# Time within which what one VM knows reaches the others, in seconds.
SPREAD_S = 1.0
# Time in which a request is refused that is not placed, in seconds.
AT_ONCE_S = 0.3
# Time between two bursts, in seconds, and number of bursts at once that need
# all engines.
BURST_INTERVAL_S = 0.2
MANY_BURSTS = 6
# Prompt tokens of the requests of a burst. Engines that hold back for short
# prompts get the short ones, the others the long ones.
BURST_TOKENS = (5000, 5000, 40_000, 40_000)


def endpoint_named(context, name):
    return platform_asking.fixture(context).engines_by_name[name]


async def send(context, target, vm=0, tokens=5000):
    response = await support.send_request(
        platform_asking.fixture(context).front_port(vm),
        'POST',
        target,
        b'{}',
        X_Token_Counts=f'{tokens},500' if target.startswith('/ask') else '',
    )
    if 'responses' in context:
        context.responses.append(response)
    return response


async def send_burst(context, target):
    """Sends short and long requests to each VM at once."""
    vms = sorted(platform_asking.fixture(context).processes)
    await asyncio.gather(
        *(
            send(context, target, vm, tokens)
            for vm in vms
            for tokens in BURST_TOKENS
        )
    )


@given('two more entry processes that know all engines')
def step_more_vms(context):
    fixture = platform_asking.fixture(context)

    async def run_step():
        await asyncio.gather(*(fixture.start_vm(vm) for vm in (1, 2)))
        await asyncio.sleep(SPREAD_S)

    platform_asking.run(context, run_step())


@given('the store lists no engine but "{name}"')
def step_only_engine(context, name):
    fixture = platform_asking.fixture(context)
    for engine in fixture.engines_by_name.values():
        if engine.service == support.POOL and engine.name != name:
            fixture.store.remove(f'servers/{engine.name}')
    platform_asking.run(context, asyncio.sleep(0.3))


@when('"{name}" says in its answers that it shuts down')
def step_says_leaving(context, name):
    context.responses = []
    context.named = endpoint_named(context, name)
    context.named.is_leaving = True


@when('nothing else happens')
def step_nothing(context):
    pass


@when('the store is silent')
def step_store_silent(context):
    platform_asking.fixture(context).store.is_busy = True


@when('it turns requests away')
def step_rejects(context):
    context.named.faults = [support.sealed_engine.engine_faults.Fault.REJECT]


@when('its entry is renewed as ready')
def step_renewed(context):
    engine = context.named
    platform_asking.fixture(context).store.put(
        f'servers/{engine.name}', engine.store_entry()
    )


@when('its next answer belongs to another request')
def step_other_answer(context):
    context.named.faults = [
        support.sealed_engine.engine_faults.Fault.WRONG_ATTEMPT_ID
    ]


@when(
    'up to {count:d} bursts of requests to "{target}" arrive until "{name}" '
    'has answered'
)
def step_until_answered(context, count, target, name):
    engine = endpoint_named(context, name)
    before = len(engine.received)
    faults = len(engine.faults)

    def has_answered():
        # The first requests meet the faults.
        return len(engine.received) - before > faults

    async def run_step():
        for _ in range(count):
            await send_burst(context, target)
            if has_answered():
                break
        assert has_answered(), 'the endpoint got no request'
        context.answered_at_s = time.monotonic()

    platform_asking.run(context, run_step())


@when(
    'up to {count:d} bursts of requests to "{target}" arrive until all '
    'engines have answered'
)
def step_until_all_answered(context, count, target):
    fixture = platform_asking.fixture(context)
    engines = [
        engine
        for engine in fixture.engines_by_name.values()
        if engine.service == support.POOL
    ]

    async def run_step():
        for _ in range(count):
            if all(engine.received for engine in engines):
                return
            await send_burst(context, target)
        raise AssertionError('an engine got no request')

    platform_asking.run(context, run_step())


@when('1 request to "{target}" arrives')
def step_one_request(context, target):
    platform_asking.run(context, send(context, target))


@then(
    '"{name}" gets nothing of {count:d} further bursts of requests to '
    '"{target}"'
)
def step_gets_none(context, name, count, target):
    engine = endpoint_named(context, name)

    async def run_step():
        await asyncio.sleep(SPREAD_S)
        before = len(engine.received)
        for _ in range(count):
            await send_burst(context, target)
        assert len(engine.received) == before, len(engine.received) - before

    platform_asking.run(context, run_step())


@then('every request was answered')
def step_every_answered(context):
    statuses = [response.status for response in context.responses]
    assert set(statuses) == {200}, statuses
    assert all(response.is_complete for response in context.responses)


@then('a request to "{target}" gets 503 at once')
def step_refused_at_once(context, target):
    started_at_s = time.monotonic()
    response = platform_asking.run(context, send(context, target))
    took_s = time.monotonic() - started_at_s
    assert response.status == 503, response
    assert 'retry-after' in response.headers, response.headers
    assert took_s < AT_ONCE_S, took_s


@when('the settings are reloaded and the configuration changes')
def step_reload(context):
    fixture = platform_asking.fixture(context)
    fixture.publish()
    fixture.processes[0].send_signal(signal.SIGHUP)
    platform_asking.run(context, asyncio.sleep(0.5))


@when('"{name}" starts again under the same id')
def step_restart(context, name):
    engine = endpoint_named(context, name)
    engine.restart()
    platform_asking.fixture(context).store.put(
        f'servers/{name}', engine.store_entry()
    )


@then('a request to "{target}" is answered within {seconds:g} seconds')
def step_answered_within(context, target, seconds):
    async def run_step():
        until_s = time.monotonic() + seconds
        while (response := await send(context, target)).status != 200:
            assert time.monotonic() < until_s, response
            await asyncio.sleep(0.05)

    platform_asking.run(context, run_step())


@then('"{name}" has got {count:d} requests')
def step_has_got(context, name, count):
    received = endpoint_named(context, name).received
    assert len(received) == count, len(received)


def engines_used(context, name):
    """Returns whether a prompt is at an engine, or a part of it."""
    engine = endpoint_named(context, name)
    orders = [o for o in engine.orders if o['operation'] == 'reserve']
    return len(engine.received) + len(orders)


@when('a prompt of {tokens:d} tokens is answered on engines with "{name}"')
def step_big_prompt_with(context, tokens, name):
    async def run_step():
        for _ in range(20):
            response = await send(context, '/ask/x', tokens=tokens)
            assert response.status == 200, response
            if engines_used(context, name):
                return
        raise AssertionError('the engine got no part of a prompt')

    platform_asking.run(context, run_step())


@then('{count:d} prompts of {tokens:d} tokens are answered without "{name}"')
def step_big_prompts_without(context, count, tokens, name):
    async def run_step():
        # The reservations of the last prompt are released.
        await asyncio.sleep(SPREAD_S)
        before = engines_used(context, name)
        for _ in range(count):
            response = await send(context, '/ask/x', tokens=tokens)
            assert response.status == 200, response
        assert engines_used(context, name) == before

    platform_asking.run(context, run_step())


@when('"{name}" is another endpoint that says that it shuts down')
def step_another(context, name):
    context.responses = []
    engine = endpoint_named(context, name)
    engine.is_leaving = True
    engine.name = 'another'


@when('"{name}" is itself again')
def step_itself(context, name):
    engine = endpoint_named(context, name)
    engine.is_leaving = False
    engine.name = name


@when('"{name}" turns requests away with Retry-After "{text}"')
def step_turns_away(context, name, text):
    context.responses = []
    endpoint_named(context, name).retry_after = text


@when('all engines turn requests away with Retry-After "{text}"')
def step_all_turn_away(context, text):
    context.responses = []
    for engine in platform_asking.fixture(context).engines_by_name.values():
        engine.retry_after = text


@then('"{name}" gets no request for {seconds:g} seconds while requests arrive')
def step_gets_no_request(context, name, seconds):
    engine = endpoint_named(context, name)
    target = '/look/x' if engine.service == support.SERVICE else '/ask/x'

    async def run_step():
        engine.retry_after = None
        before = len(engine.received)
        context.closed_until_s = context.answered_at_s + seconds
        sent = []
        while time.monotonic() < context.closed_until_s:
            sent.append(asyncio.ensure_future(send_burst(context, target)))
            await asyncio.sleep(BURST_INTERVAL_S)
        got = [
            request.received_at_s - context.answered_at_s
            for request in engine.received[before:]
            if request.received_at_s < context.closed_until_s
        ]
        assert not got, got
        await asyncio.gather(*sent)

    platform_asking.run(context, run_step())


@then('"{name}" gets a request within {seconds:g} seconds of many more')
def step_gets_request_again(context, name, seconds):
    engine = endpoint_named(context, name)
    target = '/look/x' if engine.service == support.SERVICE else '/ask/x'

    async def run_step():
        before = len(engine.received)
        until_s = time.monotonic() + seconds
        sent = []
        while len(engine.received) == before:
            assert time.monotonic() < until_s, 'the endpoint got no request'
            sent += [
                asyncio.ensure_future(send_burst(context, target))
                for _ in range(MANY_BURSTS)
            ]
            await asyncio.sleep(BURST_INTERVAL_S)
        await asyncio.gather(*sent)

    platform_asking.run(context, run_step())


@then(
    '{count:d} requests to "{target}" get 503 at once and Retry-After times '
    'from {least_s:g} to {most_s:g} seconds that differ'
)
def step_told_when(context, count, target, least_s, most_s):
    async def run_step():
        fixture = platform_asking.fixture(context)
        context.received_before = len(fixture.received_requests(support.POOL))
        times_s = []
        for _ in range(count):
            started_at_s = time.monotonic()
            response = await send(context, target)
            assert response.status == 503, response
            took_s = time.monotonic() - started_at_s
            assert took_s < AT_ONCE_S, took_s
            times_s.append(float(response.headers['retry-after']))
        assert least_s <= min(times_s) <= max(times_s) <= most_s, times_s
        assert max(times_s) - min(times_s) > 0.3, times_s

    platform_asking.run(context, run_step())


@then('no engine got one of them')
def step_no_engine_got(context):
    received = platform_asking.fixture(context).received_requests(support.POOL)
    assert len(received) == context.received_before, len(received)
