"""Steps about the documents that entry processes pass on to each other."""

import asyncio
import hashlib

from behave import given
from behave import then
from behave import when
from galenaquay_api import fleet_grpc
from galenaquay_api import fleet_pb2
import grpclib.const
import grpclib.exceptions
import grpclib.server

from tests import platform_asking
from tests import platform_support as support
from tests.soak import proxy

PEER_PROXY_PORT_OFFSET = 70
STORE_PROXY_PORT_OFFSET = 80
BYTES_PER_KB = 1000


def added_name(number):
    return hashlib.blake2b(str(number).encode(), digest_size=4).hexdigest()


def added_route(number):
    name = added_name(number)
    return support.route(
        f'r-{name}',
        f'/{name}/',
        'idempotent',
        support.SERVICE,
        public=True,
    )


def publish_routes(context):
    fixture = platform_asking.fixture(context)
    routes = support.configuration()['routes']
    fixture.publish(
        routes=routes + [added_route(i) for i in range(context.added)]
    )


async def get(fixture, vm, target):
    return await support.send_request(fixture.front_port(vm), 'GET', target)


async def check_everywhere(fixture, seconds, check):
    """Waits until a check holds at each entry process."""
    await asyncio.gather(
        *(
            fixture.wait_until(lambda vm=vm: check(vm), seconds)
            for vm in fixture.processes
        )
    )


async def kill_vm(fixture):
    process = fixture.processes.pop(0)
    process.kill()
    await process.wait()


async def add_link(fixture, port, target_port, kb_per_s):
    link = proxy.Proxy(port, target_port)
    link.impairment.response_bytes_per_s = kb_per_s * BYTES_PER_KB
    await link.start()
    fixture.proxies.append(link)
    return link


async def add_store_link(fixture, vm, kb_per_s):
    port = fixture.port(STORE_PROXY_PORT_OFFSET + vm)
    link = await add_link(fixture, port, fixture.port(0), kb_per_s)
    fixture.store_ports_by_vm[vm] = port
    return link


async def start_vms_in(fixture, zones):
    """Starts entry processes; returns their links to the store and zones."""
    await kill_vm(fixture)
    links = []
    for vm, zone in enumerate(zones):
        links.append((zone, await add_store_link(fixture, vm, 0)))
        await fixture.start_vm(vm, zone=zone)
    # Waits until the entry processes know each other.
    await asyncio.sleep(3.0)
    return links


async def start_vms(fixture, vms, store_kb_per_s, peer_kb_per_s):
    """Starts entry processes behind links of limited rate."""
    await kill_vm(fixture)
    for vm in range(vms):
        await add_store_link(fixture, vm, store_kb_per_s)
        port = fixture.port(PEER_PROXY_PORT_OFFSET + vm)
        peer_port = fixture.front_port(vm) + 2
        await add_link(fixture, port, peer_port, peer_kb_per_s)
        fixture.peer_ports_by_vm[vm] = port
    await fixture.add_engine('s-nadi', support.SERVICE, 'nadi', 60)
    await asyncio.gather(*(fixture.start_vm(vm) for vm in range(vms)))
    # Waits until the entry processes know each other.
    await asyncio.sleep(3.0)


@given(
    '{vms:d} entry processes, each with {store_rate:d} KB per second from '
    'the store and {peer_rate:d} KB per second to the others'
)
def step_narrow_links(context, vms, store_rate, peer_rate):
    context.added = 0
    fixture = platform_asking.fixture(context)
    platform_asking.run(
        context, start_vms(fixture, vms, store_rate, peer_rate)
    )


@when('the configuration grows by {count:d} routes')
def step_grow(context, count):
    context.added += count
    publish_routes(context)


@when(
    '{count:d} versions with one more route each are published every '
    '{seconds:g} seconds'
)
def step_storm(context, count, seconds):
    for _ in range(count):
        platform_asking.run(context, asyncio.sleep(seconds))
        context.added += 1
        publish_routes(context)


@when('zone "{zone}" is withdrawn')
def step_withdraw(context, zone):
    context.changed_at_s = context.loop.time()
    platform_asking.fixture(context).store.put(f'op/evacuate/{zone}', {})


@then('each entry process serves the newest route within {seconds:g} seconds')
def step_newest_route(context, seconds):
    fixture = platform_asking.fixture(context)
    target = f'/{added_name(context.added - 1)}/x'
    left_s = context.changed_at_s + seconds - context.loop.time()

    async def is_served(vm):
        return (await get(fixture, vm, target)).status == 200

    platform_asking.run(context, check_everywhere(fixture, left_s, is_served))


@then(
    'each entry process leaves zone "{zone}" alone within {seconds:g} seconds'
)
def step_zone_left(context, zone, seconds):
    fixture = platform_asking.fixture(context)
    left_s = context.changed_at_s + seconds - context.loop.time()
    platform_asking.run(context, asyncio.sleep(max(0.0, left_s)))
    zone_services = [
        engine
        for engine in fixture.engines_by_name.values()
        if engine.zone == zone
    ]
    before = [len(engine.received) for engine in zone_services]

    async def ask_all():
        for vm in fixture.processes:
            for _ in range(6):
                await get(fixture, vm, '/look/x')

    platform_asking.run(context, ask_all())
    assert [len(engine.received) for engine in zone_services] == before


async def restart_vm(fixture, **settings):
    await kill_vm(fixture)
    await fixture.start_vm(0, **settings)


@given('an entry process with bounds.configApplyMs of {apply_ms:d}')
def step_apply_bound(context, apply_ms):
    platform_asking.run(
        context,
        restart_vm(
            platform_asking.fixture(context),
            bounds_configApplyMs=apply_ms,
            bounds_revokeMs=9000,
        ),
    )


@then(
    'an unknown path and an unknown API key get 503 after {seconds:g} second'
)
def step_refused_for_now(context, seconds):
    # The store may have been read just before it became unavailable.
    platform_asking.run(context, asyncio.sleep(seconds + 0.1))
    get_status = platform_asking.get_status
    assert get_status(context, support.KEY, '/nowhere/x') == 503
    assert get_status(context, 'unknown', '/look/x') == 503
    assert get_status(context, support.KEY, '/look/x') == 200


class VersionConfirmer(fleet_grpc.FleetBase):
    """VM that always confirms the newest version and knows nothing else."""

    def __init__(self, fixture, address):
        self._fixture = fixture
        self._address = address

    async def RequestTrial(self, stream):  # noqa: N802
        raise grpclib.exceptions.GRPCError(grpclib.const.Status.UNIMPLEMENTED)

    async def Report(self, stream):  # noqa: N802
        await stream.recv_message()
        sender = fleet_pb2.Member(
            vm_id='vm-9', incarnation=1, address=self._address, zone='ba'
        )
        await stream.send_message(
            fleet_pb2.LoadReply(
                sender=sender,
                config_version=self._fixture.version,
                confirmed_age_ms_plus_one=1,
            )
        )


@given('an entry process and another VM that only confirms the version')
def step_confirmer(context):
    fixture = platform_asking.fixture(context)
    port = fixture.port(PEER_PROXY_PORT_OFFSET)
    address = f'127.0.0.1:{port}'

    async def start():
        server = grpclib.server.Server([VersionConfirmer(fixture, address)])
        await server.start('127.0.0.1', port)
        return server

    context.add_cleanup(platform_asking.run(context, start()).close)
    platform_asking.run(context, restart_vm(fixture, seeds=address))
    # The report of the entry process is answered.
    platform_asking.run(context, asyncio.sleep(1.5))


@given('entry processes in the zones "{zones}"')
def step_zones(context, zones):
    context.store_links = platform_asking.run(
        context,
        start_vms_in(platform_asking.fixture(context), zones.split(', ')),
    )


@when('the store is silent towards zone "{zone}"')
def step_silent_store(context, zone):
    for vm_zone, link in context.store_links:
        if vm_zone == zone:
            link.impairment.stalls_responses = True
