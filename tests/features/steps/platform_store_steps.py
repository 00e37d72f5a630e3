"""Steps that change the contents and the faults of the store."""

import asyncio
import json
import signal

from behave import then
from behave import when

from tests import platform_asking
from tests import platform_support as support


@when('the API key is replaced')
def step_replace_key(context):
    platform_asking.fixture(context).publish(keys=('new-key',))


@then('a request with the old API key gets 401 within 1.8 seconds')
def step_old_key(context):
    platform_asking.wait_for_status(context, support.KEY, 401, 1.8)


@then('a request with the new API key is served')
def step_new_key(context):
    assert platform_asking.get_status(context, 'new-key') == 200


@when('the store rejects every request')
def step_store_busy(context):
    platform_asking.fixture(context).store.is_busy = True


@then('a request with an API key gets 503 within bounds.revokeMs')
def step_keys_stale(context):
    platform_asking.wait_for_status(
        context, support.KEY, 503, support.REVOKE_S
    )


@then('a request to a public route is served')
def step_public(context):
    assert platform_asking.get_status(context, None, '/open/x') == 200


@then(
    'a request with an API key is served within 1 second of the store '
    'answering again'
)
def step_store_back(context):
    platform_asking.fixture(context).store.is_busy = False
    platform_asking.wait_for_status(context, support.KEY, 200, 1.0)


@when('the store compacts its history while the API key is replaced')
def step_compaction(context):
    platform_asking.fixture(context).store.is_compacted = True
    step_replace_key(context)


@when('invalid endpoint records are added to the store')
def step_invalid_records(context):
    store = platform_asking.fixture(context).store
    store.put('servers/odd', b'\xff not json')
    store.put('servers/odd2', {'service': support.SERVICE, 'state': 'what'})
    store.put('servers/odd3', [1])
    store.put('servers/odd4', {'address': 7})


def nested(levels):
    return b'[' * levels + b']' * levels


ODD_FIELDS = {
    'a state nested 900 levels': {'state': nested(900)},
    'a state nested 1000 levels': {'state': nested(1000)},
    'a service nested 900 levels': {'service': nested(900)},
    'an address nested 900 levels': {'address': nested(900)},
    'slots of 1e400': {'slots': b'1e400'},
    'slots of 400 digits': {'slots': b'9' * 400},
    'negative slots': {'slots': b'-8'},
    'a cold start of 1e308 ms': {'coldRemainingMs': b'1e308'},
    'a cold start of 400 digits': {'coldRemainingMs': b'9' * 400},
    'a start time of 400 digits': {'born': b'9' * 400},
    'a start time of 1e400': {'born': b'1e400'},
    'port 65536': {'address': b'"127.0.0.1:65536"'},
    'port -1': {'address': b'"127.0.0.1:-1"'},
    'port 0': {'address': b'"127.0.0.1:0"'},
    'port 1e9': {'address': b'"127.0.0.1:1000000000"'},
    'a host name': {'address': b'"nowhere.example:80"'},
    'numbers for all texts': {
        'service': b'1',
        'address': b'2',
        'zone': b'3',
        'state': b'4',
    },
}
ODD_IDS = {
    'an id outside ASCII': 'engine-\N{SNOWMAN}',
    'an id with a line break': 'engine\r\nX-Tenant: other',
    'an id of 150 spaces': ' ' * 150,
}


@when('the service "{service}" gets an endpoint record with {oddity}')
def step_odd_record(context, service, oddity):
    fixture = platform_asking.fixture(context)
    sound = fixture.engines_by_name['s0'].store_entry()
    assert sound['service'] == service
    fields = {
        name: json.dumps(value).encode() for name, value in sound.items()
    }
    fields.update(ODD_FIELDS.get(oddity, {}))
    value = b'{%s}' % b','.join(
        b'"%s":%s' % (name.encode(), text) for name, text in fields.items()
    )
    if oddity == 'an array nested 100000 levels':
        value = nested(100_000)
    fixture.store.put(f'servers/{ODD_IDS.get(oddity, "odd")}', value)
    platform_asking.run(context, asyncio.sleep(0.2))


@then('{count:d} requests to "{target}" are served')
def step_all_served(context, count, target):
    statuses = [
        platform_asking.get_status(context, support.KEY, target)
        for _ in range(count)
    ]
    assert set(statuses) == {200}, statuses


@then('the draining service gets none of {count:d} requests to "{target}"')
def step_draining_gets_none(context, count, target):
    draining = platform_asking.fixture(context).engines_by_name['s0']
    before = len(draining.received)
    step_all_served(context, count, target)
    assert len(draining.received) == before


@then('the entry process has logged no failed task')
def step_no_failed_task(context):
    log = platform_asking.fixture(context).log()
    failed = [
        line
        for line in log.splitlines()
        if 'failed' in line and '"attempt failed"' not in line
    ]
    assert not failed, failed[:3]
    assert platform_asking.fixture(context).processes[0].returncode is None


@then('"{target}" is still served')
def step_served(context, target):
    for _ in range(4):
        assert platform_asking.get_status(context, support.KEY, target) == 200


@then('"{target}" gets 404')
def step_not_found(context, target):
    assert platform_asking.get_status(context, support.KEY, target) == 404


@when('one service is marked as draining')
def step_drain(context):
    draining = platform_asking.fixture(context).engines_by_name['s0']
    platform_asking.fixture(context).store.put(
        'servers/s0', draining.store_entry('draining')
    )
    platform_asking.run(context, asyncio.sleep(0.2))


@when('a watch response is lost and one service is marked as draining')
def step_lost_watch(context):
    store = platform_asking.fixture(context).store

    async def lose_watch():
        store.drops_next_watch = True
        # The change completes the open watch; the response of the next watch
        # is then lost.
        store.put(
            'servers/s1',
            platform_asking.fixture(context)
            .engines_by_name['s1']
            .store_entry(),
        )
        await platform_asking.fixture(context).wait_until(
            lambda: not store.drops_next_watch, 5.0
        )

    platform_asking.run(context, lose_watch())
    draining = platform_asking.fixture(context).engines_by_name['s0']
    store.put('servers/s0', draining.store_entry('draining'))


@when(
    'the entry process that reads the store is paused, the next watch '
    'response is lost and one service is marked as draining'
)
def step_paused_reader(context):
    fixture = platform_asking.fixture(context)
    (context.paused_vm,) = readers_of_store(context)
    fixture.processes[context.paused_vm].send_signal(signal.SIGSTOP)
    fixture.store.drops_next_watch = True
    draining = fixture.engines_by_name['s0']
    fixture.store.put('servers/s0', draining.store_entry('draining'))


@then(
    'after {seconds:g} seconds no running entry process sends requests to '
    'the draining service'
)
def step_drained_everywhere(context, seconds):
    platform_asking.run(context, asyncio.sleep(seconds))
    received = platform_asking.fixture(context).engines_by_name['s0'].received
    before = len(received)
    paused = {getattr(context, 'paused_vm', None)}
    for vm in set(platform_asking.fixture(context).processes) - paused:
        for _ in range(6):
            request = support.send_request(
                platform_asking.fixture(context).front_port(vm),
                'GET',
                '/look/x',
            )
            assert platform_asking.run(context, request).status == 200
    assert len(received) == before


@then('only the other service receives requests')
def step_only_other(context):
    for _ in range(6):
        assert platform_asking.get_status(context, support.KEY) == 200
    engines = platform_asking.fixture(context).engines_by_name
    assert not engines['s0'].received
    assert len(engines['s1'].received) == 6


@when('the zone is withdrawn')
def step_withdraw(context):
    platform_asking.fixture(context).store.put('op/evacuate/ba', {})
    platform_asking.run(context, asyncio.sleep(0.2))


@then('a request gets 503 and no service receives it')
def step_zone_refused(context):
    before = len(
        platform_asking.fixture(context).received_requests(support.SERVICE)
    )
    assert platform_asking.get_status(context, support.KEY) == 503
    assert (
        len(
            platform_asking.fixture(context).received_requests(support.SERVICE)
        )
        == before
    )


@then('requests are served within 1 second of the zone returning to service')
def step_zone_returns(context):
    platform_asking.fixture(context).store.remove('op/evacuate/ba')
    platform_asking.wait_for_status(context, support.KEY, 200, 1.0)


@when('a second entry process starts')
def step_start_second(context):
    platform_asking.run(context, platform_asking.fixture(context).start_vm(1))


@when('two more entry processes start')
def step_start_two(context):
    for vm in (1, 2):
        platform_asking.run(
            context, platform_asking.fixture(context).start_vm(vm)
        )
    # Waits until each entry process has received heartbeats from the entry
    # processes that rank before it.
    platform_asking.run(context, asyncio.sleep(2.0))


@then('the store receives at most {calls:d} requests in {seconds:g} seconds')
def step_store_requests(context, calls, seconds):
    before = platform_asking.fixture(context).store.calls
    platform_asking.run(context, asyncio.sleep(seconds))
    assert platform_asking.fixture(context).store.calls - before <= calls


def source_of(context, vm):
    """Returns the source from which an entry process has its documents."""
    lines = platform_asking.fixture(context).log(vm).splitlines()
    sources = [
        json.loads(line)['source'] for line in lines if '"source":' in line
    ]
    return sources[-1]


def readers_of_store(context):
    return [
        vm
        for vm in platform_asking.fixture(context).processes
        if source_of(context, vm) == 'platform'
    ]


@when('the entry process that reads the store is killed')
def step_kill_reader(context):
    (reader,) = readers_of_store(context)
    process = platform_asking.fixture(context).processes.pop(reader)
    process.send_signal(signal.SIGKILL)
    platform_asking.run(context, process.wait())


@then('each entry process accepts a new API key within {seconds:g} second')
@then('each entry process accepts a new API key within {seconds:g} seconds')
def step_new_key_everywhere(context, seconds):
    key = f'key-{platform_asking.fixture(context).version}'
    platform_asking.fixture(context).publish(keys=[key])

    def accepts_key(vm):
        async def check():
            response = await support.send_request(
                platform_asking.fixture(context).front_port(vm),
                'GET',
                '/look/x',
                Authorization=f'Bearer {key}',
            )
            return response.status == 200

        return check

    async def wait():
        await asyncio.gather(
            *(
                platform_asking.fixture(context).wait_until(
                    accepts_key(vm), seconds
                )
                for vm in platform_asking.fixture(context).processes
            )
        )

    platform_asking.run(context, wait())
