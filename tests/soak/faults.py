"""Faults that the soak injects; each lasts some time, and faults overlap.

A seed picks faults by their position among the sorted names, so a new name
that changes the order changes the faults of every seed.
"""

import asyncio
import contextlib
import signal
import time

from galenaquay_standins import engine_faults

FAULTS_BY_NAME = {}
# Shortest and longest duration of a fault, in seconds.
FAULT_DURATION_S = (0.3, 2.5)
# A zone is withdrawn for this multiple of the duration, as VMs may take some
# time to follow.
WITHDRAWAL_FACTOR = 2.0
# Longest time for which the store is away before it is restored, in seconds.
RESTORE_AWAY_S = 0.5
# Longest time after a restore until lost items are written again, in seconds.
REWRITE_S = 1.0
# Complete answers of other kinds, which clients get as they are, crashes after
# which nothing would start the engine again, and answers of engines that do
# not read the request, which `promises` would take for a changed one.
UNUSED_FAULTS = (
    engine_faults.CRASH_FAULTS - {engine_faults.Fault.NO_LENGTH_RESTART}
) | {
    engine_faults.Fault.ENCODED,
    engine_faults.Fault.PLAIN_RESPONSE,
    engine_faults.Fault.UNREAD_CLOSE,
    engine_faults.Fault.UNREAD_RESET,
    engine_faults.Fault.UNREAD_HALF_RESET,
    engine_faults.Fault.UNREAD_SILENCE,
    engine_faults.Fault.UNREAD_DEATH,
    engine_faults.Fault.READ_DEATH,
}


def fault(function):
    """Registers a fault under its name."""
    FAULTS_BY_NAME[function.__name__] = function
    return function


def pick_engine(world, rng):
    """Returns the proxy of an engine whose connections a fault affects."""
    name = rng.choice(sorted(world.engines_by_name))
    world.engine_fault_times_s[name].append(time.monotonic())
    return world.proxies_by_engine[name]


@contextlib.contextmanager
def impair(proxy, **changes):
    """Sets fields of a proxy's impairment and resets the fields on exit."""
    for name, value in changes.items():
        setattr(proxy.impairment, name, value)
    try:
        yield
    finally:
        for name in changes:
            setattr(proxy.impairment, name, type(changes[name])())


@fault
async def delay_engine(world, rng, duration_s):
    with impair(pick_engine(world, rng), delay_s=rng.uniform(0.02, 0.4)):
        await asyncio.sleep(duration_s)


@fault
async def cut_engine(world, rng, duration_s):
    direction = rng.choice(['stalls_requests', 'stalls_responses'])
    with impair(pick_engine(world, rng), **{direction: True}):
        await asyncio.sleep(duration_s)


@fault
async def reset_engine(world, rng, duration_s):
    pick_engine(world, rng).reset_all()


@fault
async def silence_engine(world, rng, duration_s):
    pick_engine(world, rng).stall_all()


@fault
async def spoil_answers(world, rng, duration_s):
    engine = world.engines_by_name[rng.choice(sorted(world.engines_by_name))]
    kinds = [
        k
        for k in engine_faults.Fault
        if k not in UNUSED_FAULTS | engine_faults.ENDLESS_FAULTS
    ]
    engine.faults = [rng.choice(kinds) for _ in range(rng.randint(1, 4))]


@fault
async def shut_down_engine(world, rng, duration_s):
    """Has an engine say that it shuts down, and start again later.

    The platform lists it as ready until then.
    """
    name = rng.choice(sorted(world.engines_by_name))
    engine = world.engines_by_name[name]
    engine.is_leaving = True
    await asyncio.sleep(duration_s)
    engine.restart()
    world.store.put(f'servers/{name}', engine.store_entry())


@fault
async def turn_requests_away(world, rng, duration_s):
    engine = world.engines_by_name[rng.choice(sorted(world.engines_by_name))]
    engine.retry_after = f'{rng.uniform(0.5, 4.0):.2f}'
    await asyncio.sleep(duration_s)
    engine.retry_after = None


@fault
async def lose_orders(world, rng, duration_s):
    engine = world.engines_by_name[rng.choice(sorted(world.engines_by_name))]
    engine.drops_order_responses = True
    await asyncio.sleep(duration_s)
    engine.drops_order_responses = False


@fault
async def cut_store(world, rng, duration_s):
    vm = rng.choice(sorted(world.proxies_by_vm))
    world.record_fault(vm)
    direction = rng.choice(['stalls_requests', 'stalls_responses'])
    with impair(world.proxies_by_vm[vm], **{direction: True}):
        await asyncio.sleep(duration_s)


@fault
async def silence_store(world, rng, duration_s):
    world.proxies_by_vm[rng.choice(sorted(world.proxies_by_vm))].stall_all()


@fault
async def cut_members(world, rng, duration_s):
    """Stalls the calls of other VMs to a VM, or the replies to the calls."""
    vm = rng.choice(sorted(world.member_proxies_by_vm))
    direction = rng.choice(['stalls_requests', 'stalls_responses'])
    with impair(world.member_proxies_by_vm[vm], **{direction: True}):
        await asyncio.sleep(duration_s)


@fault
async def delay_members(world, rng, duration_s):
    vm = rng.choice(sorted(world.member_proxies_by_vm))
    delay_s = rng.uniform(0.05, 0.7)
    with impair(world.member_proxies_by_vm[vm], delay_s=delay_s):
        await asyncio.sleep(duration_s)


@fault
async def silence_members(world, rng, duration_s):
    vm = rng.choice(sorted(world.member_proxies_by_vm))
    world.member_proxies_by_vm[vm].stall_all()


@fault
async def throttle_store(world, rng, duration_s):
    """Makes the store refuse all reads and watches with status 503."""
    world.store.is_busy = True
    await asyncio.sleep(duration_s)
    world.store.is_busy = False


@fault
async def lose_history(world, rng, duration_s):
    world.store.is_compacted = True


@fault
async def restore_store(world, rng, duration_s):
    """Restores the store from a snapshot some time old.

    The store is away for a moment. What was written since the snapshot is
    written again some time later.
    """
    snapshot = world.store.take_snapshot()
    await asyncio.sleep(duration_s)
    world.store.is_busy = True
    await asyncio.sleep(rng.uniform(0.0, RESTORE_AWAY_S))
    lost = world.store.take_snapshot()
    world.store.restore(snapshot)
    world.store.is_busy = False
    await asyncio.sleep(rng.uniform(0.0, REWRITE_S))
    world.store.write_again(lost)


@fault
async def replace_key(world, rng, duration_s):
    world.revoked_at_s[world.key] = time.monotonic()
    world.key = f'key-{world.version}'
    world.published_at_s[world.key] = time.monotonic()
    world.publish(keys=[world.key])


@fault
async def withdraw_zone(world, rng, duration_s):
    world.withdraw_zone()
    await asyncio.sleep(duration_s * WITHDRAWAL_FACTOR)
    world.return_zone()


@fault
async def drain_engine(world, rng, duration_s):
    name = rng.choice(sorted(world.engines_by_name))
    engine = world.engines_by_name[name]
    world.store.put(f'servers/{name}', engine.store_entry('draining'))
    await asyncio.sleep(duration_s)
    world.store.put(f'servers/{name}', engine.store_entry())


@contextlib.asynccontextmanager
async def reserve_vm(world, rng):
    """Yields a VM that no other process fault uses; None if all are used."""
    free = sorted(set(world.processes) - world.vms_under_fault)
    vm = rng.choice(free) if free else None
    if vm is not None:
        world.vms_under_fault.add(vm)
        world.process_fault_times_s[vm].append(time.monotonic())
        world.record_fault(vm)
    try:
        yield vm
    finally:
        world.vms_under_fault.discard(vm)


@fault
async def pause_entry(world, rng, duration_s):
    async with reserve_vm(world, rng) as vm:
        if vm is not None:
            world.check_running(vm)
            world.processes[vm].send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            world.processes[vm].send_signal(signal.SIGCONT)
            world.record_fault(vm)


@fault
async def kill_entry(world, rng, duration_s):
    async with reserve_vm(world, rng) as vm:
        if vm is not None:
            await world.restart(vm, signal.SIGKILL)


@fault
async def stop_entry(world, rng, duration_s):
    async with reserve_vm(world, rng) as vm:
        if vm is not None:
            await world.restart(vm, signal.SIGTERM)


@fault
async def reload_entry(world, rng, duration_s):
    async with reserve_vm(world, rng) as vm:
        if vm is not None:
            world.check_running(vm)
            world.processes[vm].send_signal(signal.SIGHUP)
