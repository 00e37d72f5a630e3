"""Steps for an owner's queue, with a fake clock and no network."""

import asyncio

from behave import given
from behave import then
from behave import when
from galenaquay import codes
from galenaquay.configuration import documents
from galenaquay import ids
from galenaquay.limits import ledger
from galenaquay.limits import owner as owners
from galenaquay.ports import engine as engine_port

CAPACITY = 1000
ENGINE = ids.EndpointId('e1')
ME = ledger.ProcessId(ids.VmId('a'), ids.Incarnation(1))
ENDPOINT = documents.Endpoint(
    id='e1',
    zone='z',
    kind=documents.EndpointKind.ENGINE,
    url='http://127.0.0.1:1',
    capacity_tokens=CAPACITY,
)


def grant_request(tokens, remaining_s=60.0):
    return owners.GrantRequest(
        request_id=ids.RequestId('r'),
        attempt=1,
        endpoint_id=ENGINE,
        entry=ME,
        tokens=tokens,
        prompt_tokens=tokens // 2,
        remaining_s=remaining_s,
        max_queue_wait_s=remaining_s,
    )


def run(context, work):
    return context.loop.run_until_complete(work)


@given('an owner of an engine that is full')
def full_owner(context):
    context.now = 100.0
    context.is_serving = True
    books = ledger.Ledger(ME)
    for slot in ledger.Slot:
        key = ledger.ShareKey(ENGINE, slot)
        books.take_over(key, CAPACITY // 2, [], 0.0)
    books.reconcile(ENGINE, [], 50.0)
    context.owner = owners.Owner(
        books,
        lambda endpoint_id: ENDPOINT,
        lambda endpoint_id: context.is_serving,
        lambda: context.now,
    )
    warm = engine_port.LoadReport(1, 0, 0, 0, False, 0.0)
    for _ in range(2):
        context.owner.state_of(ENGINE).note_report(warm, context.now)
    context.held = [
        run(context, context.owner.grant(grant_request(tokens)))
        for tokens in (800, 200)
    ]
    assert all(isinstance(h, owners.IssuedGrant) for h in context.held)
    # The engine's own short queue is over by now.
    context.now += 1.0


def wait_for(context, *tokens):
    async def wait():
        context.tasks = [
            asyncio.create_task(context.owner.grant(grant_request(n)))
            for n in tokens
        ]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert not any(task.done() for task in context.tasks)

    run(context, wait())


@when('a request waits before the engine')
def one_waits(context):
    wait_for(context, 500)


@when('a request of {first:d} tokens waits and then one of {second:d}')
def two_wait(context, first, second):
    wait_for(context, first, second)


@when('the engine is withdrawn')
def withdraw(context):
    async def grant_waiting():
        context.is_serving = False
        context.owner.grant_waiting(ENGINE)
        await asyncio.sleep(0)

    run(context, grant_waiting())


@when("the first one's time is nearly over")
def nearly_over(context):
    context.now += 50.0


@when('{tokens:d} tokens are given back')
def release(context, tokens):
    grant = next(h.grant for h in context.held if h.grant.tokens == tokens)

    async def release_grant():
        context.owner.release(ENGINE, grant.grant_id)
        for _ in range(3):
            await asyncio.sleep(0)

    run(context, release_grant())


@then('the request is sent elsewhere with {code}')
def sent_elsewhere(context, code):
    async def result():
        async with asyncio.timeout(5):
            return await context.tasks[0]

    failure = run(context, result())
    assert isinstance(failure, codes.Failure), failure
    assert failure.code.name == code, failure
    refused = run(context, context.owner.grant(grant_request(1)))
    assert refused.code.name == code, refused


def stop(context):
    async def cancel():
        for task in context.tasks:
            task.cancel()
        await asyncio.gather(*context.tasks, return_exceptions=True)

    run(context, cancel())


@then('only the one of 100 tokens is granted')
def second_granted(context):
    assert not context.tasks[0].done()
    assert context.tasks[1].done()
    assert context.tasks[1].result().grant.tokens == 100
    stop(context)


@then('neither is granted')
def none_granted(context):
    assert not any(task.done() for task in context.tasks)
    stop(context)
