"""Steps for an owner's queue, with a fake clock and without a network."""

import asyncio

from behave import given
from behave import then
from behave import when
from galenaquay import codes
from galenaquay.configuration import documents
from galenaquay import ids
from galenaquay.limits import ledger
from galenaquay.limits import owner as owners
from galenaquay.limits import shares
from galenaquay.ports import engine as engine_port

CAPACITY = 1000
ENGINE = ids.EndpointId('e1')
OWN_PROCESS = shares.ProcessId(ids.VmId('a'), ids.Incarnation(1))
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
        entry=OWN_PROCESS,
        tokens=tokens,
        prompt_tokens=tokens // 2,
        remaining_s=remaining_s,
        max_queue_wait_s=remaining_s,
    )


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


@given('an owner that has granted the whole capacity of an engine')
def full_owner(context):
    context.now = 100.0
    context.is_serving = True
    owner_ledger = ledger.Ledger(OWN_PROCESS)
    for slot in shares.Slot:
        key = shares.ShareKey(ENGINE, slot)
        owner_ledger.take_over(key, CAPACITY // 2, [], 0.0)
    owner_ledger.reconcile(ENGINE, [], 50.0)
    context.owner = owners.Owner(
        owner_ledger,
        lambda endpoint_id: ENDPOINT,
        lambda endpoint_id: context.is_serving,
        lambda: context.now,
    )
    warm = engine_port.LoadReport(1, 0, 0, 0, False, 0.0)
    for _ in range(2):
        context.owner.state_of(ENGINE).note_report(warm, context.now)
    context.grants = [
        run(context, context.owner.grant(grant_request(tokens)))
        for tokens in (800, 200)
    ]
    assert all(isinstance(h, owners.IssuedGrant) for h in context.grants)
    # After 1 s the granted requests no longer wait in the engine's own queue.
    context.now += 1.0


def queue_requests(context, *tokens):
    async def wait():
        context.tasks = [
            asyncio.create_task(context.owner.grant(grant_request(n)))
            for n in tokens
        ]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert not any(task.done() for task in context.tasks)

    run(context, wait())


@when("a request waits in the owner's queue")
def queue_one(context):
    queue_requests(context, 500)


@when(
    'a request of {first:d} tokens waits and then a request of {second:d} '
    'tokens'
)
def queue_two(context, first, second):
    queue_requests(context, first, second)


@when('the engine is withdrawn')
def withdraw(context):
    async def grant_waiting():
        context.is_serving = False
        context.owner.grant_waiting(ENGINE)
        await asyncio.sleep(0)

    run(context, grant_waiting())


@when('the deadline of the first request is near')
def approach_deadline(context):
    context.now += 50.0


@when('a grant of {tokens:d} tokens is released')
def release(context, tokens):
    grant = next(h.grant for h in context.grants if h.grant.tokens == tokens)

    async def release_grant():
        context.owner.release(ENGINE, grant.grant_id)
        for _ in range(3):
            await asyncio.sleep(0)

    run(context, release_grant())


@then('the waiting request and a new one are refused with {code}')
def check_refused(context, code):
    async def result():
        async with asyncio.timeout(5):
            return await context.tasks[0]

    failure = run(context, result())
    assert isinstance(failure, codes.Failure), failure
    assert failure.code.name == code, failure
    refused = run(context, context.owner.grant(grant_request(1)))
    assert refused.code.name == code, refused


def cancel_tasks(context):
    async def cancel():
        for task in context.tasks:
            task.cancel()
        await asyncio.gather(*context.tasks, return_exceptions=True)

    run(context, cancel())


@then('only the request of 100 tokens is granted')
def check_second_granted(context):
    assert not context.tasks[0].done()
    assert context.tasks[1].done()
    assert context.tasks[1].result().grant.tokens == 100
    cancel_tasks(context)


@then('neither request is granted')
def check_none_granted(context):
    assert not any(task.done() for task in context.tasks)
    cancel_tasks(context)
