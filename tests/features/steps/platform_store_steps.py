"""Steps that change what the store holds, and how it answers."""

import asyncio
import json
import signal

from behave import then
from behave import when

from tests import platform_asking
from tests import platform_support as support


@when('the key is replaced')
def step_replace_key(context):
    platform_asking.world(context).publish(keys=('new-key',))


@then('a call with the old key soon gets 401')
def step_old_key(context):
    platform_asking.until_status(context, support.KEY, 401, 1.8)


@then('a call with the new key is served')
def step_new_key(context):
    assert platform_asking.ask_key(context, 'new-key') == 200


@when('the store turns everybody away')
def step_store_busy(context):
    platform_asking.world(context).store.is_busy = True


@then('within the time for keys a call with a key gets 503')
def step_keys_stale(context):
    platform_asking.until_status(context, support.KEY, 503, support.REVOKE_S)


@then('a call to a public route is served')
def step_public(context):
    assert platform_asking.ask_key(context, None, '/open/x') == 200


@then('a call with a key is served soon after the store is back')
def step_store_back(context):
    platform_asking.world(context).store.is_busy = False
    platform_asking.until_status(context, support.KEY, 200, 1.0)


@when('the store loses its history while the key is replaced')
def step_history(context):
    platform_asking.world(context).store.is_compacted = True
    step_replace_key(context)


@when('an entry that cannot be read is listed')
def step_unreadable(context):
    store = platform_asking.world(context).store
    store.put('servers/odd', b'\xff not json')
    store.put('servers/odd2', {'service': support.SERVICE, 'state': 'what'})
    store.put('servers/odd3', [1])
    store.put('servers/odd4', {'address': 7})


@then('"{target}" is still served')
def step_served(context, target):
    for _ in range(4):
        assert platform_asking.ask_key(context, support.KEY, target) == 200


@then('"{target}" gets 404')
def step_not_found(context, target):
    assert platform_asking.ask_key(context, support.KEY, target) == 404


@when('one service drains')
def step_drain(context):
    draining = platform_asking.world(context).engines_by_name['s0']
    platform_asking.world(context).store.put(
        'servers/s0', draining.store_entry('draining')
    )
    platform_asking.run(context, asyncio.sleep(0.2))


@when('the answer of a watch is lost and one service drains')
def step_lost_watch(context):
    store = platform_asking.world(context).store

    async def lose():
        store.drops_next_watch = True
        # Ends the watch that is open, so that the next one is lost.
        store.put(
            'servers/s1',
            platform_asking.world(context).engines_by_name['s1'].store_entry(),
        )
        await platform_asking.world(context).wait_until(
            lambda: not store.drops_next_watch, 5.0
        )

    platform_asking.run(context, lose())
    draining = platform_asking.world(context).engines_by_name['s0']
    store.put('servers/s0', draining.store_entry('draining'))


@when(
    'the entry that reads the store is paused, the next watch is lost and '
    'one service drains'
)
def step_silent_source(context):
    world = platform_asking.world(context)
    (context.paused_vm,) = readers_of_store(context)
    world.processes[context.paused_vm].send_signal(signal.SIGSTOP)
    world.store.drops_next_watch = True
    draining = world.engines_by_name['s0']
    world.store.put('servers/s0', draining.store_entry('draining'))


@then('after {seconds:g} seconds no entry sends calls to it')
def step_drained_everywhere(context, seconds):
    platform_asking.run(context, asyncio.sleep(seconds))
    received = platform_asking.world(context).engines_by_name['s0'].received
    before = len(received)
    paused = {getattr(context, 'paused_vm', None)}
    for vm in set(platform_asking.world(context).processes) - paused:
        for _ in range(6):
            asking = support.ask(
                platform_asking.world(context).front_port(vm), 'GET', '/look/x'
            )
            assert platform_asking.run(context, asking).status == 200
    assert len(received) == before


@then('only the other service gets calls')
def step_other(context):
    for _ in range(6):
        assert platform_asking.ask_key(context, support.KEY) == 200
    engines = platform_asking.world(context).engines_by_name
    assert not engines['s0'].received
    assert len(engines['s1'].received) == 6


@when('the zone is withdrawn')
def step_withdraw(context):
    platform_asking.world(context).store.put('op/evacuate/ba', {})
    platform_asking.run(context, asyncio.sleep(0.2))


@then('a call gets 503 and no service gets it')
def step_withdrawn(context):
    before = len(platform_asking.world(context).arrivals(support.SERVICE))
    assert platform_asking.ask_key(context, support.KEY) == 503
    assert (
        len(platform_asking.world(context).arrivals(support.SERVICE)) == before
    )


@then('calls are served again when the zone is taken back')
def step_take_back(context):
    platform_asking.world(context).store.remove('op/evacuate/ba')
    platform_asking.until_status(context, support.KEY, 200, 1.0)


@when('a second entry starts')
def step_second(context):
    platform_asking.run(context, platform_asking.world(context).start_vm(1))


@when('two more entries start')
def step_two_more(context):
    for vm in (1, 2):
        platform_asking.run(
            context, platform_asking.world(context).start_vm(vm)
        )
    # Until each has heard of those that go before it.
    platform_asking.run(context, asyncio.sleep(2.0))


@then('the store is called at most {calls:d} times in {seconds:g} seconds')
def step_calls(context, calls, seconds):
    before = platform_asking.world(context).store.calls
    platform_asking.run(context, asyncio.sleep(seconds))
    assert platform_asking.world(context).store.calls - before <= calls


def source_of(context, vm):
    """Returns where an entry has its documents from."""
    lines = platform_asking.world(context).log(vm).splitlines()
    sources = [
        json.loads(line)['source'] for line in lines if '"source":' in line
    ]
    return sources[-1]


def readers_of_store(context):
    return [
        vm
        for vm in platform_asking.world(context).processes
        if source_of(context, vm) == 'platform'
    ]


@when('the entry that reads the store is killed')
def step_kill_reader(context):
    (reader,) = readers_of_store(context)
    process = platform_asking.world(context).processes.pop(reader)
    process.send_signal(signal.SIGKILL)
    platform_asking.run(context, process.wait())


@then('a new key opens at each entry within {seconds:g} second')
@then('a new key opens at each entry within {seconds:g} seconds')
def step_new_key_everywhere(context, seconds):
    key = f'key-{platform_asking.world(context).version}'
    platform_asking.world(context).publish(keys=[key])

    def opens(vm):
        async def check():
            answer = await support.ask(
                platform_asking.world(context).front_port(vm),
                'GET',
                '/look/x',
                Authorization=f'Bearer {key}',
            )
            return answer.status == 200

        return check

    async def wait():
        await asyncio.gather(
            *(
                platform_asking.world(context).wait_until(opens(vm), seconds)
                for vm in platform_asking.world(context).processes
            )
        )

    platform_asking.run(context, wait())
