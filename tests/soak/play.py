"""Plays one seed: a load, faults, and the promises checked over both."""

import asyncio
import collections
import os
import random
import time

from tests import platform_support as support
from tests.soak import faults
from tests.soak import promises
from tests.soak import world as worlds

CLIENTS = 12
# Time between two faults, in seconds.
BETWEEN_FAULTS_S = (0.1, 0.9)
# What the users' pages allow for recovery and for memory to come back, with
# some time for this machine, in seconds.
RECOVERY_S = 12.0
MEMORY_S = 5.0
# Time past its limit after which a request at an unharmed entry hangs.
HANG_S = 1.5
LIMIT_S = {'/once/': 4.0, '/look/': 4.0, '/ask/': 8.0, '/tell/': 8.0}


async def play(seed, seconds, folder, base_port):
    """Plays a seed; returns what was done, raises promises.Broken."""
    rng = random.Random(seed)
    world = worlds.SoakWorld(folder, base_port)
    sent, counts, running = [], collections.Counter(), set()
    try:
        await world.open()
        until_s = time.monotonic() + seconds
        clients = [
            asyncio.ensure_future(
                ask_on(world, random.Random(i), sent, until_s)
            )
            for i in range(seed * CLIENTS, (seed + 1) * CLIENTS)
        ]
        while time.monotonic() < until_s:
            name = rng.choice(sorted(faults.FAULTS_BY_NAME))
            counts[name] += 1
            work = faults.FAULTS_BY_NAME[name](
                world, rng, rng.uniform(*faults.LASTS_S)
            )
            running.add(asyncio.ensure_future(work))
            await asyncio.sleep(rng.uniform(*BETWEEN_FAULTS_S))
        await asyncio.gather(*running, *clients)
        await check_recovery(world, sent)
        promises.check_all(
            sent,
            world.engines_by_name.values(),
            worlds.EVENTS,
            b'{"ok":true}',
            world.revoked_at_s,
            support.REVOKE_S,
        )
    finally:
        await world.close()
    answered = collections.Counter(
        one.answer.status if one.answer else 0 for one in sent
    )
    return counts, answered


async def ask_on(world, rng, sent, until_s):
    """One client: asks again and again, each time anything, anywhere."""
    while time.monotonic() < until_s:
        await ask_once(world, rng, sent, rng.randrange(worlds.VMS))
        await asyncio.sleep(rng.uniform(0.0, 0.1))


async def ask_once(world, rng, sent, vm):
    prefix = rng.choice(sorted(LIMIT_S))
    body = bytes(rng.randrange(97, 123) for _ in range(rng.randrange(200)))
    one = promises.Sent(
        os.urandom(8).hex(),
        prefix,
        f'{prefix}x?n={len(sent)}',
        body,
        world.key,
        time.monotonic(),
        vm=vm,
    )
    sent.append(one)
    harms = world.harms_by_vm[vm]
    tokens = rng.choice([1000, 1000, 40_000, 600_000])
    asking = support.send_request(
        world.front_port(vm),
        'POST',
        one.target,
        body,
        disconnect_after_s=0.3 if rng.random() < 0.05 else None,
        Authorization=f'Bearer {one.key}',
        X_Attempt_Id=one.id,
        X_Token_Counts=f'{tokens},500'
        if prefix in ('/ask/', '/tell/')
        else '',
    )
    try:
        async with asyncio.timeout(LIMIT_S[prefix] + HANG_S):
            one.answer = await asking
    except OSError as exc:
        if isinstance(exc, TimeoutError) and harms == world.harms_by_vm[vm]:
            if vm not in world.held_vms:
                raise promises.Broken(f'{one.id} hangs at vm-{vm}') from exc
    one.ended_at_s = time.monotonic()
    return one


async def check_recovery(world, sent):
    """With the faults over, every entry serves and no memory is held."""
    started_s = time.monotonic()
    world.store.is_compacted = False
    for engine in world.engines_by_name.values():
        engine.faults = []
        # Memory that a late order may have taken once more.
        engine.drops_order_responses = False
    for vm in range(worlds.VMS):
        world.check_lives(vm)
        await world.wait_until(lambda vm=vm: world.is_ready(vm), RECOVERY_S)
        await wait_served(world, sent, vm, started_s + RECOVERY_S)
    await world.wait_until(
        lambda: (
            not any(
                engine.reserved_tokens()
                for engine in world.engines_by_name.values()
            )
        ),
        MEMORY_S,
    )


async def wait_served(world, sent, vm, until_s):
    rng = random.Random(vm)
    while True:
        one = await ask_once(world, rng, sent, vm)
        if one.answer is not None and one.answer.status == 200:
            return
        if time.monotonic() > until_s:
            raise promises.Broken(f'vm-{vm} does not serve again: {one}')
        await asyncio.sleep(0.2)
