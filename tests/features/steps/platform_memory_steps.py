"""Steps about the memory that prompts take on several engines."""

import asyncio
import signal
import time

from behave import then
from behave import when

from galenaquay_standins import sealed_engine
from tests import platform_asking
from tests import platform_support as support


def held_tokens(context):
    return sum(
        engine.reserved_tokens()
        for engine in platform_asking.world(context).engines_by_name.values()
    )


@then('memory was set aside at several engines and all of it given back')
def step_given_back(context):
    (ran,) = platform_asking.world(context).runs(support.POOL)
    helpers = ran.headers['x-helpers'].split(',')
    assert helpers
    assert all('/' in helper for helper in helpers), helpers
    platform_asking.run(
        context,
        platform_asking.world(context).wait_until(
            lambda: not held_tokens(context), 1.0
        ),
    )


@when('the entry is killed while a prompt of {tokens:d} tokens is written')
def step_kill(context, tokens):
    kill_writing(context, tokens, after_s=0.0)


@when(
    'the entry is killed {after_s:g} seconds after '
    'a prompt of {tokens:d} tokens was sent on'
)
def step_kill_later(context, after_s, tokens):
    kill_writing(context, tokens, after_s)


def kill_writing(context, tokens, after_s):
    async def work():
        asking = asyncio.ensure_future(
            support.ask(
                platform_asking.world(context).front_port(),
                'POST',
                '/ask/x',
                b'{}',
                X_Token_Counts=f'{tokens},500',
            )
        )
        await platform_asking.world(context).wait_until(
            lambda: platform_asking.world(context).runs(support.POOL), 5.0
        )
        assert held_tokens(context) > 0
        await asyncio.sleep(after_s)
        platform_asking.world(context).processes[0].send_signal(signal.SIGKILL)
        await asking

    platform_asking.run(context, work())


@then('no engine holds memory {seconds:g} seconds later')
def step_no_memory(context, seconds):
    platform_asking.run(context, asyncio.sleep(seconds))
    assert held_tokens(context) == 0


@when('orders are carried out and not answered')
def step_lose_orders(context):
    for engine in platform_asking.world(context).engines_by_name.values():
        engine.drops_order_responses = True


def carry_out_late(context, hold_s):
    """Has all that was ordered carried out once more."""
    for engine in platform_asking.world(context).engines_by_name.values():
        for order in list(engine.orders):
            if order['operation'] == 'reserve':
                engine.reservations_by_id[order['id']] = (
                    sealed_engine.Reservation(
                        order['tokens'], time.monotonic() + hold_s
                    )
                )
    assert held_tokens(context) > 0


@then(
    'what its late orders take for {hold_s:g} seconds '
    'is free {seconds:g} seconds later'
)
def step_late_of_dead(context, hold_s, seconds):
    carry_out_late(context, hold_s)
    platform_asking.run(
        context,
        platform_asking.world(context).wait_until(
            lambda: not held_tokens(context), seconds
        ),
    )


@then('no engine holds memory once orders are answered again')
def step_swept(context):
    for engine in platform_asking.world(context).engines_by_name.values():
        engine.drops_order_responses = False
    carry_out_late(context, 60)
    platform_asking.run(
        context,
        platform_asking.world(context).wait_until(
            lambda: not held_tokens(context), 2.0
        ),
    )
