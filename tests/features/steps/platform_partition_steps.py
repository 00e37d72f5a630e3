"""Steps for entry processes that are partitioned from all endpoints."""

import asyncio
import base64
import collections
import signal
import time

from behave import given
from behave import then
from behave import when
import orjson

from galenaquay_standins import kv_store
from tests import platform_asking
from tests import platform_support as support
from tests.soak import proxy

STORE_PORT_OFFSET = 5
LINK_PORT_OFFSET = 70
# Zone of the entry processes with links of their own. They read another store
# than the others, as each VM reads the store through one of its zone.
ZONE = 'nadi'


def fixture_of(context):
    return platform_asking.fixture(context)


async def add_links(fixture):
    """Starts a store whose records lead to the endpoints over links."""
    store = kv_store.KvStore()
    snapshot = fixture.store.take_snapshot()
    links = []
    for number, engine in enumerate(fixture.engines_by_name.values()):
        link = proxy.Proxy(
            fixture.port(LINK_PORT_OFFSET + number), engine.port
        )
        await link.start()
        links.append(link)
        item = dict(snapshot.items_by_key[f'servers/{engine.name}'])
        value = orjson.loads(base64.b64decode(item['value']))
        value['address'] = f'127.0.0.1:{link.port}'
        item['value'] = base64.b64encode(orjson.dumps(value)).decode()
        snapshot.items_by_key[item['key']] = item
    store.restore(snapshot)
    store.era = fixture.store.era
    await store.start(fixture.port(STORE_PORT_OFFSET))
    return store, links


@given('{count:d} entry processes with links of their own to the endpoints')
def step_links(context, count):
    fixture = fixture_of(context)

    async def start():
        store, context.links = await add_links(fixture)
        fixture.proxies += context.links
        for vm in range(1, count + 1):
            fixture.store_ports_by_vm[vm] = fixture.port(STORE_PORT_OFFSET)
            await fixture.start_vm(vm, zone=ZONE)
        # Waits until the entry processes know each other.
        await asyncio.sleep(2.0)
        return store

    store = platform_asking.run(context, start())
    context.add_cleanup(lambda: platform_asking.run(context, store.stop()))
    context.linked_vms = range(1, count + 1)


@when('the links to all endpoints do not answer')
def step_block(context):
    async def block():
        await asyncio.gather(*(link.block() for link in context.links))

    platform_asking.run(context, block())


@when('the links to all endpoints refuse connections')
def step_refuse(context):
    for link in context.links:
        link.refuse()


@when('the links to all endpoints answer again')
def step_reopen(context):
    async def reopen():
        await asyncio.gather(*(link.reopen() for link in context.links))

    platform_asking.run(context, reopen())


async def ask(fixture, vm, target, **headers):
    method = 'GET' if target.startswith(('/look', '/open')) else 'POST'
    body = b'' if method == 'GET' else b'{"a":1}'
    if target.startswith(('/ask', '/tell')):
        headers['X_Token_Counts'] = '5000,500'
    return await support.send_request(
        fixture.front_port(vm), method, target, body, **headers
    )


async def ask_often(fixture, vm, target, count, pause_s=0.0):
    """Sends requests one after the other; returns the statuses."""
    statuses = collections.Counter()
    for _ in range(count):
        response = await ask(fixture, vm, target)
        statuses[response.status, response.is_complete] += 1
        await asyncio.sleep(pause_s)
    return statuses


@then(
    'of {count:d} requests to "{target}" at each of these at least {least:d} '
    'are served'
)
def step_served(context, count, target, least):
    for vm in context.linked_vms:
        statuses = platform_asking.run(
            context, ask_often(fixture_of(context), vm, target, count)
        )
        assert statuses[200, True] >= least, statuses


@then(
    'each of {count:d} requests to "{target}" at each of these, one in '
    '{seconds:g} seconds, is served'
)
def step_all_served(context, count, target, seconds):
    fixture = fixture_of(context)

    async def ask_all():
        return await asyncio.gather(
            *(
                ask_often(fixture, vm, target, count, seconds)
                for vm in context.linked_vms
            )
        )

    for statuses in platform_asking.run(context, ask_all()):
        assert statuses == {(200, True): count}, statuses


@then('no request has run twice')
def step_run_once(context):
    runs = collections.Counter(
        request.attempt_id
        for engine in fixture_of(context).engines_by_name.values()
        for request in engine.executed_requests()
    )
    assert set(runs.values()) == {1}, runs


@then('requests to "{target}" pass over the links')
def step_direct(context, target):
    fixture = fixture_of(context)

    async def ask_others_down():
        # Without the other entry process, only the links are left.
        process = fixture.processes.pop(0)
        process.kill()
        await process.wait()
        return [await ask(fixture, 1, target) for _ in range(5)]

    responses = platform_asking.run(context, ask_others_down())
    assert [r.status for r in responses] == [200] * 5


@when('a caller of "{target}" there disconnects after {seconds:g} seconds')
def step_caller_leaves(context, target, seconds):
    fixture = fixture_of(context)
    platform_asking.run(
        context,
        support.send_request(
            fixture.front_port(1),
            'POST',
            target,
            b'{"a":1}',
            disconnect_after_s=seconds,
            X_Token_Counts='5000,500',
        ),
    )


@then('the engine cancels the request within {seconds:g} seconds')
def step_cancelled(context, seconds):
    fixture = fixture_of(context)
    received = fixture.received_requests(support.POOL)
    assert len(received) == 1, received
    platform_asking.run(
        context,
        fixture.wait_until(lambda: received[0].client_disconnected, seconds),
    )


@when('the other entry process is killed')
def step_other_killed(context):
    fixture = fixture_of(context)

    async def kill():
        process = fixture.processes.pop(0)
        process.kill()
        await process.wait()

    platform_asking.run(context, kill())


async def end_during_request(context, target, seconds, signal_number):
    fixture = fixture_of(context)
    pending = asyncio.ensure_future(ask(fixture, 1, target))
    await asyncio.sleep(seconds)
    fixture.processes[0].send_signal(signal_number)
    context.response = await pending


@when(
    'the other entry process is killed {seconds:g} seconds after a request to '
    '"{target}"'
)
def step_kill_other(context, seconds, target):
    platform_asking.run(
        context, end_during_request(context, target, seconds, signal.SIGKILL)
    )


@when(
    'the other entry process is paused {seconds:g} seconds after a request to '
    '"{target}"'
)
def step_pause_other(context, seconds, target):
    platform_asking.run(
        context, end_during_request(context, target, seconds, signal.SIGSTOP)
    )


@when(
    'the other entry process gets SIGTERM {seconds:g} seconds after a request '
    'to "{target}"'
)
def step_stop_other(context, seconds, target):
    platform_asking.run(
        context, end_during_request(context, target, seconds, signal.SIGTERM)
    )


@then('the response that has begun is incomplete')
def step_incomplete(context):
    assert context.response.status == 200, context.response
    assert not context.response.is_complete


@then('the caller receives the complete stream there')
def step_complete(context):
    assert context.response.status == 200, context.response
    assert context.response.is_complete


@then(
    'a request to "{target}" there gets {status:d} within {seconds:g} seconds'
)
def step_refused(context, target, status, seconds):
    start_s = time.monotonic()
    response = platform_asking.run(
        context, ask(fixture_of(context), 1, target)
    )
    assert response.status == status, response
    assert time.monotonic() - start_s < seconds
