"""Steps for engines that name the rate that they take."""

import asyncio
import time

from behave import given
from behave import then
from behave import when

from tests import platform_asking
from tests import platform_support as support

WINDOW_S = 4.0


def engines_of(context):
    engines = platform_asking.fixture(context).engines_by_name.values()
    return [engine for engine in engines if engine.service == support.POOL]


def most_in_window(engine, since_s):
    """Returns the largest number of prompts within WINDOW_S."""
    times_s = [
        request.received_at_s
        for request in engine.received
        if request.received_at_s >= since_s
    ]
    return max(
        (sum(s <= t < s + WINDOW_S for t in times_s) for s in times_s),
        default=0,
    )


@given('{count:d} of the engines name a limit of {per_s:g} request per second')
def step_name_limit(context, count, per_s):
    context.limited = engines_of(context)[:count]
    for engine in context.limited:
        engine.limit_per_s = per_s


async def send_prompts(context, seconds, per_s, new_vm=None):
    fixture = platform_asking.fixture(context)
    context.sent_from_s = time.monotonic()
    sent = []
    starting = None
    for number in range(int(seconds * per_s)):
        if new_vm is not None and number == int(seconds * per_s / 3):
            starting = asyncio.ensure_future(fixture.start_vm(new_vm))
        vms = 3 if starting is None or not starting.done() else 4
        sent.append(
            asyncio.ensure_future(
                support.send_request(
                    fixture.front_port(number % vms),
                    'POST',
                    '/ask/x',
                    b'{}',
                    X_Token_Counts='5000,500',
                )
            )
        )
        await asyncio.sleep(1 / per_s)
    context.responses = await asyncio.gather(*sent)


@when(
    'prompts arrive at all VMs for {seconds:g} seconds, {per_s:g} each '
    'second, and a VM starts meanwhile'
)
def step_prompts_and_vm(context, seconds, per_s):
    platform_asking.run(context, send_prompts(context, seconds, per_s, 3))


@when(
    'prompts arrive at all VMs for {seconds:g} seconds, {per_s:g} each second'
)
def step_prompts(context, seconds, per_s):
    platform_asking.run(context, send_prompts(context, seconds, per_s))


@then('every prompt was answered')
def step_all_answered(context):
    failed = [r for r in context.responses if r.status != 200]
    assert not failed, (len(failed), failed[:2])
    assert all(r.is_complete for r in context.responses)


@then(
    'from {seconds:g} second after the first answer, no limited engine got '
    'over {most:d} prompts in 4 seconds'
)
def step_within_limit(context, seconds, most):
    counts = [
        most_in_window(engine, context.sent_from_s + seconds)
        for engine in context.limited
    ]
    assert max(counts) <= most, counts


@then('the limited engines were not left out')
def step_limited_used(context):
    # Each of two engines that short prompts prefer takes one per second.
    counts = [
        most_in_window(engine, context.sent_from_s + 1)
        for engine in context.limited
    ]
    assert sum(counts) >= 3, counts


@when('the engines no longer name a limit')
def step_end_limit(context):
    for engine in context.limited:
        engine.limit_per_s = None
    platform_asking.run(context, asyncio.sleep(3.0))


@then('some engine that named a limit got over {count:d} prompts in 4 seconds')
def step_used_again(context, count):
    counts = [
        most_in_window(engine, context.sent_from_s)
        for engine in context.limited
    ]
    assert max(counts) > count, counts
