"""Steps for the memory that a long prompt reserves at several engines."""

import asyncio
import signal
import time

from behave import then
from behave import when

from galenaquay_standins import engine_records
from tests import platform_asking
from tests import platform_support as support


def reserved_tokens_sum(context):
    return sum(
        engine.reserved_tokens()
        for engine in platform_asking.fixture(context).engines_by_name.values()
    )


@then('memory was reserved at several engines and all of it is released')
def step_released(context):
    (ran,) = platform_asking.fixture(context).executed_requests(support.POOL)
    helpers = ran.headers['x-helpers'].split(',')
    assert helpers
    assert all('/' in helper for helper in helpers), helpers
    platform_asking.run(
        context,
        platform_asking.fixture(context).wait_until(
            lambda: not reserved_tokens_sum(context), 1.0
        ),
    )


@when(
    'the entry process is killed while an engine runs a prompt of '
    '{tokens:d} tokens'
)
def step_kill(context, tokens):
    kill_while_running(context, tokens, after_s=0.0)


@when(
    'the entry process is killed {after_s:g} seconds after an engine '
    'received a prompt of {tokens:d} tokens'
)
def step_kill_later(context, after_s, tokens):
    kill_while_running(context, tokens, after_s)


def kill_while_running(context, tokens, after_s):
    async def run_step():
        request = asyncio.ensure_future(
            support.send_request(
                platform_asking.fixture(context).front_port(),
                'POST',
                '/ask/x',
                b'{}',
                X_Token_Counts=f'{tokens},500',
            )
        )
        await platform_asking.fixture(context).wait_until(
            lambda: platform_asking.fixture(context).executed_requests(
                support.POOL
            ),
            5.0,
        )
        assert reserved_tokens_sum(context) > 0
        await asyncio.sleep(after_s)
        platform_asking.fixture(context).processes[0].send_signal(
            signal.SIGKILL
        )
        await request

    platform_asking.run(context, run_step())


@then('no engine has memory reserved {seconds:g} seconds later')
def step_no_memory(context, seconds):
    platform_asking.run(context, asyncio.sleep(seconds))
    assert reserved_tokens_sum(context) == 0


@when('engines execute orders without answering them')
def step_lose_orders(context):
    for engine in platform_asking.fixture(context).engines_by_name.values():
        engine.drops_order_responses = True


def repeat_reservations(context, hold_s):
    """Repeats the reservations at each engine, as late orders would."""
    for engine in platform_asking.fixture(context).engines_by_name.values():
        for order in list(engine.orders):
            if order['operation'] == 'reserve':
                engine.reservations_by_id[order['id']] = (
                    engine_records.Reservation(
                        order['tokens'], time.monotonic() + hold_s
                    )
                )
    assert reserved_tokens_sum(context) > 0


@then(
    'memory that late orders reserve for {hold_s:g} seconds is released '
    'within {seconds:g} seconds'
)
def step_late_reservations(context, hold_s, seconds):
    repeat_reservations(context, hold_s)
    platform_asking.run(
        context,
        platform_asking.fixture(context).wait_until(
            lambda: not reserved_tokens_sum(context), seconds
        ),
    )


@then('no engine has memory reserved once orders are answered again')
def step_released_after_recovery(context):
    for engine in platform_asking.fixture(context).engines_by_name.values():
        engine.drops_order_responses = False
    repeat_reservations(context, 60)
    platform_asking.run(
        context,
        platform_asking.fixture(context).wait_until(
            lambda: not reserved_tokens_sum(context), 2.0
        ),
    )
