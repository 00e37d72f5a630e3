"""Plays one seed: client load, injected faults and checks of promises."""

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
# Share of requests with long bodies, and how much longer these are.
LONG_BODY_SHARE = 0.1
LONG_BODY_FACTOR = 400
# Shortest and longest time between the starts of two faults, in seconds.
FAULT_INTERVAL_S = (0.1, 0.9)
# Time that the requirements allow for recovery and for the release of engine
# memory, plus a margin for the test machine, in seconds.
RECOVERY_S = 12.0
MEMORY_RELEASE_S = 5.0
# Time within which a new configuration must be in force, in seconds.
APPLY_S = 3.0
# Time after the time limit of a request at which the soak fails because the
# request hangs, in seconds. Applies only while no fault affects the VM.
HANG_MARGIN_S = 1.5
TIME_LIMIT_S_BY_PREFIX = {
    '/once/': 4.0,
    '/look/': 4.0,
    '/ask/': 8.0,
    '/tell/': 8.0,
}


async def play(seed, seconds, folder, base_port):
    """Plays a seed.

    Returns:
        The number of faults by name, and the number of responses by status;
        status 0 stands for requests without a response.

    Raises:
        promises.PromiseError: the fleet broke a promise.
    """
    rng = random.Random(seed)
    world = worlds.SoakWorld(folder, base_port)
    sent, fault_counts, running, clients = [], collections.Counter(), set(), []
    try:
        await world.open()
        until_s = time.monotonic() + seconds
        clients = [
            asyncio.ensure_future(
                run_client(world, random.Random(i), sent, until_s)
            )
            for i in range(seed * CLIENTS, (seed + 1) * CLIENTS)
        ]
        while time.monotonic() < until_s:
            name = rng.choice(sorted(faults.FAULTS_BY_NAME))
            fault_counts[name] += 1
            fault_run = faults.FAULTS_BY_NAME[name](
                world, rng, rng.uniform(*faults.FAULT_DURATION_S)
            )
            running.add(asyncio.ensure_future(fault_run))
            await asyncio.sleep(rng.uniform(*FAULT_INTERVAL_S))
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
        promises.check_notices(
            sent,
            world.engines_by_name.values(),
            world.process_fault_times_s,
            world.engine_fault_times_s,
        )
        promises.check_late_bodies(
            sent,
            world.engines_by_name.values(),
            world.process_fault_times_s,
            world.engine_fault_times_s,
        )
        promises.check_new_keys(
            sent, world.published_at_s, world.revoked_at_s, APPLY_S
        )
        promises.check_withdrawals(
            sent,
            [
                engine
                for engine in world.engines_by_name.values()
                if engine.zone == worlds.WITHDRAWN_ZONE
            ],
            world.withdrawals,
            support.REVOKE_S,
        )
    finally:
        # A fault that is still running could start a process after `close`.
        for task in (*running, *clients):
            task.cancel()
        await asyncio.gather(*running, *clients, return_exceptions=True)
        await world.close()
    response_counts = collections.Counter(
        request.answer.status if request.answer else 0 for request in sent
    )
    return fault_counts, response_counts


async def run_client(world, rng, sent, until_s):
    """Sends random requests to random VMs, one at a time, until `until_s`."""
    while time.monotonic() < until_s:
        await send_request(world, rng, sent, rng.randrange(worlds.VMS))
        await asyncio.sleep(rng.uniform(0.0, 0.1))


async def send_request(world, rng, sent, vm):
    prefix = rng.choice(sorted(TIME_LIMIT_S_BY_PREFIX))
    body = bytes(rng.randrange(97, 123) for _ in range(rng.randrange(200)))
    if rng.random() < LONG_BODY_SHARE:
        body *= LONG_BODY_FACTOR
    request = promises.SentRequest(
        os.urandom(8).hex(),
        prefix,
        f'{prefix}x?n={len(sent)}',
        body,
        world.key,
        time.monotonic(),
        vm=vm,
    )
    sent.append(request)
    earlier_faults = world.fault_counts_by_vm[vm]
    tokens = rng.choice([1000, 1000, 40_000, 600_000])
    pending_response = support.send_request(
        world.front_port(vm),
        'POST',
        request.target,
        body,
        disconnect_after_s=0.3 if rng.random() < 0.05 else None,
        Authorization=f'Bearer {request.key}',
        X_Attempt_Id=request.id,
        X_Token_Counts=f'{tokens},500'
        if prefix in ('/ask/', '/tell/')
        else '',
    )
    try:
        async with asyncio.timeout(
            TIME_LIMIT_S_BY_PREFIX[prefix] + HANG_MARGIN_S
        ):
            request.answer = await pending_response
    except OSError as exc:
        if (
            isinstance(exc, TimeoutError)
            and earlier_faults == world.fault_counts_by_vm[vm]
        ):
            if vm not in world.vms_under_fault:
                raise promises.PromiseError(
                    f'{request.id} has no response in time from vm-{vm}'
                ) from exc
    request.ended_at_s = time.monotonic()
    return request


async def check_recovery(world, sent):
    """Checks that all VMs serve and no memory is reserved after the faults."""
    started_s = time.monotonic()
    world.store.is_compacted = False
    for engine in world.engines_by_name.values():
        engine.faults = []
        # While an engine loses its replies to orders, a late order may reserve
        # memory again.
        engine.drops_order_responses = False
    for vm in range(worlds.VMS):
        world.check_running(vm)
        await world.wait_until(lambda vm=vm: world.is_ready(vm), RECOVERY_S)
        await wait_until_served(world, sent, vm, started_s + RECOVERY_S)
    await world.wait_until(
        lambda: (
            not any(
                engine.reserved_tokens()
                for engine in world.engines_by_name.values()
            )
        ),
        MEMORY_RELEASE_S,
    )


async def wait_until_served(world, sent, vm, until_s):
    rng = random.Random(vm)
    while True:
        request = await send_request(world, rng, sent, vm)
        if request.answer is not None and request.answer.status == 200:
            return
        if time.monotonic() > until_s:
            raise promises.PromiseError(
                f'vm-{vm} does not recover in time; last request: {request}'
            )
        await asyncio.sleep(0.2)
