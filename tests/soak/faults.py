"""Faults from outside, each for a while; they come in series and overlap."""

import asyncio
import contextlib
import signal
import time

from galenaquay_standins import sealed_engine

FAULTS_BY_NAME = {}
# How long a fault lasts, in seconds.
LASTS_S = (0.3, 2.5)


def fault(function):
    """Registers a fault under its name."""
    FAULTS_BY_NAME[function.__name__] = function
    return function


def pick_engine(world, rng):
    return world.proxies_by_engine[rng.choice(sorted(world.engines_by_name))]


@contextlib.contextmanager
def weather(proxy, **changes):
    """Changes what a proxy does, then clears it."""
    for name, value in changes.items():
        setattr(proxy.weather, name, value)
    try:
        yield
    finally:
        for name in changes:
            setattr(proxy.weather, name, type(changes[name])())


@fault
async def delay_engine(world, rng, lasts_s):
    with weather(pick_engine(world, rng), delay_s=rng.uniform(0.02, 0.4)):
        await asyncio.sleep(lasts_s)


@fault
async def cut_engine(world, rng, lasts_s):
    way = rng.choice(['holds_up', 'holds_down'])
    with weather(pick_engine(world, rng), **{way: True}):
        await asyncio.sleep(lasts_s)


@fault
async def reset_engine(world, rng, lasts_s):
    pick_engine(world, rng).reset_all()


@fault
async def silence_engine(world, rng, lasts_s):
    pick_engine(world, rng).silence_open()


@fault
async def spoil_answers(world, rng, lasts_s):
    engine = world.engines_by_name[rng.choice(sorted(world.engines_by_name))]
    kinds = [k for k in sealed_engine.Fault if k.name != 'ENCODED']
    engine.faults = [rng.choice(kinds) for _ in range(rng.randint(1, 4))]


@fault
async def lose_orders(world, rng, lasts_s):
    engine = world.engines_by_name[rng.choice(sorted(world.engines_by_name))]
    engine.drops_order_responses = True
    await asyncio.sleep(lasts_s)
    engine.drops_order_responses = False


@fault
async def cut_store(world, rng, lasts_s):
    vm = rng.choice(sorted(world.proxies_by_vm))
    world.harm(vm)
    way = rng.choice(['holds_up', 'holds_down'])
    with weather(world.proxies_by_vm[vm], **{way: True}):
        await asyncio.sleep(lasts_s)


@fault
async def silence_store(world, rng, lasts_s):
    world.proxies_by_vm[rng.choice(sorted(world.proxies_by_vm))].silence_open()


@fault
async def cut_members(world, rng, lasts_s):
    """What others tell an entry, or its replies, do not arrive."""
    vm = rng.choice(sorted(world.member_proxies_by_vm))
    way = rng.choice(['holds_up', 'holds_down'])
    with weather(world.member_proxies_by_vm[vm], **{way: True}):
        await asyncio.sleep(lasts_s)


@fault
async def delay_members(world, rng, lasts_s):
    vm = rng.choice(sorted(world.member_proxies_by_vm))
    delay_s = rng.uniform(0.05, 0.7)
    with weather(world.member_proxies_by_vm[vm], delay_s=delay_s):
        await asyncio.sleep(lasts_s)


@fault
async def silence_members(world, rng, lasts_s):
    vm = rng.choice(sorted(world.member_proxies_by_vm))
    world.member_proxies_by_vm[vm].silence_open()


@fault
async def turn_away(world, rng, lasts_s):
    world.store.is_busy = True
    await asyncio.sleep(lasts_s)
    world.store.is_busy = False


@fault
async def lose_history(world, rng, lasts_s):
    world.store.is_compacted = True


@fault
async def replace_key(world, rng, lasts_s):
    world.revoked_at_s[world.key] = time.monotonic()
    world.key = f'key-{world.version}'
    world.publish(keys=[world.key])


@fault
async def withdraw_zone(world, rng, lasts_s):
    world.store.put('op/evacuate/nadi', {})
    await asyncio.sleep(lasts_s)
    world.store.remove('op/evacuate/nadi')


@fault
async def drain_engine(world, rng, lasts_s):
    name = rng.choice(sorted(world.engines_by_name))
    engine = world.engines_by_name[name]
    world.store.put(f'servers/{name}', engine.store_entry('draining'))
    await asyncio.sleep(lasts_s)
    world.store.put(f'servers/{name}', engine.store_entry())


@contextlib.asynccontextmanager
async def hold(world, rng):
    """Takes hold of an entry that no other fault has; None if all are."""
    free = sorted(set(world.processes) - world.held_vms)
    vm = rng.choice(free) if free else None
    if vm is not None:
        world.held_vms.add(vm)
        world.harm(vm)
    try:
        yield vm
    finally:
        world.held_vms.discard(vm)


@fault
async def pause_entry(world, rng, lasts_s):
    async with hold(world, rng) as vm:
        if vm is not None:
            world.check_lives(vm)
            world.processes[vm].send_signal(signal.SIGSTOP)
            await asyncio.sleep(lasts_s)
            world.processes[vm].send_signal(signal.SIGCONT)
            world.harm(vm)


@fault
async def kill_entry(world, rng, lasts_s):
    async with hold(world, rng) as vm:
        if vm is not None:
            await world.restart(vm, signal.SIGKILL)


@fault
async def stop_entry(world, rng, lasts_s):
    async with hold(world, rng) as vm:
        if vm is not None:
            await world.restart(vm, signal.SIGTERM)


@fault
async def reload_entry(world, rng, lasts_s):
    async with hold(world, rng) as vm:
        if vm is not None:
            world.check_lives(vm)
            world.processes[vm].send_signal(signal.SIGHUP)
