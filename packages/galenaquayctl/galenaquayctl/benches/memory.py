"""`bench memory`: utilisation and leaks of engine memory, also under faults.

Requests always ask for more memory than the engines have. The first phase has
no faults and measures how much of the engines' memory is granted. The second
phase injects faults by a seeded random generator: VMs are killed or paused,
engines die or pause, cancellations of requests are lost, streams are cut and
clients disconnect. At the end all memory must be released, and no engine may
have exceeded its capacity at any time.
"""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import signal
import tempfile
import time
from typing import Final

from galenaquay_standins import deployments
from galenaquay_standins import fleet as fleets

from .. import clients
from .. import loads
from . import registry

FIRST_PORT: Final = 28000
TIME_SCALE: Final = 4.0
# Memory of each engine, in tokens. The value is small, so that a few streams
# fill an engine.
CAPACITY_TOKENS: Final = 60_000
ZONE: Final = dataclasses.replace(
    deployments.VAKALOLOMA,
    zones=('lautoka', 'nadi'),
    engines=6,
    services=0,
    vms=6,
)
PROMPT_TOKENS: Final = 2_000
OUTPUT_TOKENS: Final = 1_500
# Memory that the requests in flight ask for, as a multiple of the memory of
# all engines.
OVERCOMMIT_FACTOR: Final = 1.6
# Time between the starts of two faults, in seconds.
FAULT_INTERVAL_S: Final = 1.0
# Longest duration of a fault, in seconds.
MAX_FAULT_DURATION_S: Final = 6.0
# Longest time from the end of the load until all memory must be released, in
# seconds.
RELEASE_TIMEOUT_S: Final = 40.0
SAMPLE_INTERVAL_S: Final = 0.1
# Share of the requests whose client disconnects early in the second phase.
ABANDON_SHARE: Final = 0.2


@dataclasses.dataclass
class Overload:
    """Keeps more requests in flight than fit into the engines' memory."""

    fleet: fleets.Fleet
    rng: random.Random
    is_stopped: bool = False
    sent: int = 0
    # Share of the requests whose client disconnects before the end.
    abandon_share: float = 0.0

    async def run(self) -> None:
        """Sends requests until `is_stopped` is set."""
        tokens = PROMPT_TOKENS + OUTPUT_TOKENS
        capacity = ZONE.engines * CAPACITY_TOKENS
        workers = int(OVERCOMMIT_FACTOR * capacity / tokens)
        async with asyncio.TaskGroup() as group:
            for _ in range(workers):
                group.create_task(self._run_worker())

    async def _run_worker(self) -> None:
        while not self.is_stopped:
            self.sent += 1
            vm = self.rng.randrange(ZONE.vms)
            with contextlib.suppress(clients.ClientError, TimeoutError):
                await self._send_request(vm, self.sent)
            # Waits a little, so that rejected requests are not resent at
            # once.
            await asyncio.sleep(self.rng.uniform(0.05, 0.2))

    async def _send_request(self, vm: int, number: int) -> None:
        arrival = loads.Arrival(
            0.0, '', '', '', PROMPT_TOKENS, OUTPUT_TOKENS, number
        )
        prompt = clients.Prompt(
            'question',
            loads.prompt_text(arrival, number),
            OUTPUT_TOKENS,
            deployments.account_key(ZONE.accounts[number % 10]),
        )
        abandon_after_s = None
        if self.rng.random() < self.abandon_share:
            abandon_after_s = self.rng.uniform(0.1, 5.0)
        async with asyncio.timeout(abandon_after_s):
            stream = clients.stream(
                self.fleet.session,
                self.fleet.vm_url(vm),
                prompt,
                clients.StreamState(),
            )
            async for _ in stream:
                pass


class FaultInjector:
    """Injects random faults by a seed.

    Faults that last, such as paused processes, end after a random time.
    """

    def __init__(self, fleet: fleets.Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self.count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._faulty_vms: set[int] = set()

    async def run(self, duration_s: float) -> None:
        """Injects a fault every `FAULT_INTERVAL_S`; faults may overlap."""
        until_s = time.monotonic() + duration_s
        while time.monotonic() < until_s:
            await asyncio.sleep(FAULT_INTERVAL_S)
            inject = self._rng.choice(
                [
                    self._inject_vm_fault,
                    self._inject_vm_fault,
                    self._inject_engine_fault,
                ]
            )
            task = asyncio.create_task(inject())
            self.count += 1
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _wait_fault_duration(self) -> None:
        await asyncio.sleep(self._rng.uniform(0.5, MAX_FAULT_DURATION_S))

    async def _inject_vm_fault(self) -> None:
        vm = self._rng.randrange(ZONE.vms)
        name = deployments.vm_id(ZONE, vm)
        if vm in self._faulty_vms:
            return
        self._faulty_vms.add(vm)
        if self._rng.random() < 0.5:
            self._fleet.kill(name)
            await self._wait_fault_duration()
            self._fleet.start_vm(vm)
        else:
            self._fleet.send_signal(name, signal.SIGSTOP)
            await self._wait_fault_duration()
            self._fleet.send_signal(name, signal.SIGCONT)
        self._faulty_vms.discard(vm)

    async def _inject_engine_fault(self) -> None:
        url = self._rng.choice(self._fleet.endpoints('engine'))['url']
        fault = self._rng.choice(['die', 'pause', 'cancels', 'cut'])
        if fault == 'die':
            await self._fleet.set_faults(url, action='die')
        elif fault == 'pause':
            await self._fleet.set_faults(url, action='pause')
            await self._wait_fault_duration()
            await self._fleet.set_faults(url, action='unpause')
        elif fault == 'cancels':
            await self._fleet.set_faults(url, lose_cancels=True)
            await self._wait_fault_duration()
            await self._fleet.set_faults(url, lose_cancels=False)
        else:
            await self._fleet.set_faults(url, cut=True)
            await self._wait_fault_duration()
            await self._fleet.set_faults(url, cut=False)


async def _granted_tokens(fleet: fleets.Fleet) -> int:
    """Returns the memory granted by owners on all engines, in tokens."""
    free_by_engine: dict[str, int] = {}
    for vm in range(ZONE.vms):
        status = await fleet.status(vm)
        for engine in status['engines']:
            free_by_engine[engine['endpoint_id']] = engine['free_tokens']
    return sum(CAPACITY_TOKENS - free for free in free_by_engine.values())


async def _measure_utilisation(
    fleet: fleets.Fleet, duration_s: float
) -> float:
    """Returns the granted share of the memory that requests can use.

    The share is the mean of samples from the second half of `duration_s`.
    """
    samples: list[int] = []
    await asyncio.sleep(duration_s / 2)
    until_s = time.monotonic() + duration_s / 2
    while time.monotonic() < until_s:
        samples.append(await _granted_tokens(fleet))
        await asyncio.sleep(SAMPLE_INTERVAL_S)
    # An ideal allocator fills each engine with as many requests as fit. The
    # memory that is left is too small for another request.
    tokens = PROMPT_TOKENS + OUTPUT_TOKENS
    usable_tokens = CAPACITY_TOKENS // tokens * tokens * ZONE.engines
    return sum(samples) / len(samples) / usable_tokens


async def _wait_for_release(fleet: fleets.Fleet) -> int:
    """Waits until all memory is released or `RELEASE_TIMEOUT_S` is over.

    Returns:
        Memory that is still not released, in tokens: the memory that engines
        hold plus the memory that is granted.
    """
    until_s = time.monotonic() + RELEASE_TIMEOUT_S
    leaked = -1
    while time.monotonic() < until_s and leaked != 0:
        await asyncio.sleep(1.0)
        held_tokens = 0
        for endpoint in fleet.endpoints('engine'):
            counted = await fleet.counters(endpoint['url'])
            held_tokens += counted['held_tokens']
        leaked = held_tokens + await _granted_tokens(fleet)
    return leaked


async def _run(options: registry.Options) -> registry.Figures:
    rng = random.Random(options.seed)
    with tempfile.TemporaryDirectory() as directory:
        fleet_options = fleets.FleetOptions(
            ZONE,
            pathlib.Path(directory),
            base_port=FIRST_PORT,
            time_scale=TIME_SCALE,
            capacity_tokens=CAPACITY_TOKENS,
        )
        async with fleets.Fleet(fleet_options) as fleet:
            overload = Overload(fleet, rng)
            load = asyncio.create_task(overload.run())
            utilisation = await _measure_utilisation(fleet, options.duration_s)
            overload.abandon_share = ABANDON_SHARE
            injector = FaultInjector(fleet, rng)
            await injector.run(options.duration_s)
            overload.is_stopped = True
            await load
            leaked = await _wait_for_release(fleet)
            overruns = started = 0
            for endpoint in fleet.endpoints('engine'):
                counted = await fleet.counters(endpoint['url'])
                overruns += counted['overruns']
                started += counted['started']
    per_vm = CAPACITY_TOKENS / (ZONE.vms / len(ZONE.zones))
    tokens = PROMPT_TOKENS + OUTPUT_TOKENS
    usable_tokens = CAPACITY_TOKENS // tokens * tokens
    static_utilisation = (
        per_vm
        // tokens
        * tokens
        * (ZONE.vms / len(ZONE.zones))
        / usable_tokens
    )
    return {
        'engine_overruns': overruns,
        'leaked_tokens_after_quiet': leaked,
        'utilisation': round(utilisation, 3),
        # Computed for a fixed share of 1/N of each engine for each of the N
        # VMs of a zone, all of them under overload.
        'utilisation_baseline': round(static_utilisation, 3),
        'grants': started,
        'faults': injector.count,
        'requests': overload.sent,
    }


@registry.bench(
    'memory',
    registry.Target('engine_overruns', '<=', 0),
    registry.Target('leaked_tokens_after_quiet', '<=', 0),
    registry.Target('utilisation', '>=', 0.9),
)
def run(options: registry.Options) -> registry.Figures:
    """Overloads engines, without and with faults, and looks for leaks."""
    return asyncio.run(_run(options))
