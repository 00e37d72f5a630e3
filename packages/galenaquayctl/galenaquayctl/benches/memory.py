"""`bench memory`: engines' memory under faults, and how much of it is used.

First in calm: more is asked than the engines hold, and what they hold is
compared with all that they could. Then faults by seed: entries are killed or
paused, engines die or pause, cancels are lost, callers leave. At the end all
must be given back and no engine may ever have been overfilled.
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
# Small engines, so that they are full with few streams.
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
# Requests under way that ask for more than all engines hold.
PRESSURE: Final = 1.6
# Time between two faults, in seconds.
FAULT_EVERY_S: Final = 1.0
# Longest time that a fault lasts, in seconds.
FAULT_LASTS_S: Final = 6.0
# Time within which everything must be given back, in seconds.
QUIET_S: Final = 40.0
SAMPLE_S: Final = 0.1
# Part of a request's time after which a caller may leave.
LEAVE_SHARE: Final = 0.2


@dataclasses.dataclass
class Pressure:
    """Keeps more requests under way than the engines hold."""

    fleet: fleets.Fleet
    source: random.Random
    is_over: bool = False
    sent: int = 0
    # Callers that go away in the middle, as a part of all.
    leaving: float = 0.0

    async def run(self) -> None:
        """Sends requests until told that it is over."""
        tokens = PROMPT_TOKENS + OUTPUT_TOKENS
        held = ZONE.engines * CAPACITY_TOKENS
        workers = int(PRESSURE * held / tokens)
        async with asyncio.TaskGroup() as group:
            for _ in range(workers):
                group.create_task(self._work())

    async def _work(self) -> None:
        while not self.is_over:
            self.sent += 1
            vm = self.source.randrange(ZONE.vms)
            with contextlib.suppress(clients.ClientError, TimeoutError):
                await self._ask(vm, self.sent)
            # A refused request comes again, but not at once.
            await asyncio.sleep(self.source.uniform(0.05, 0.2))

    async def _ask(self, vm: int, number: int) -> None:
        arrival = loads.Arrival(
            0.0, '', '', '', PROMPT_TOKENS, OUTPUT_TOKENS, number
        )
        prompt = clients.Prompt(
            'question',
            loads.prompt_text(arrival, number),
            OUTPUT_TOKENS,
            deployments.account_key(ZONE.accounts[number % 10]),
        )
        limit_s = None
        if self.source.random() < self.leaving:
            limit_s = self.source.uniform(0.1, 5.0)
        async with asyncio.timeout(limit_s):
            stream = clients.stream(
                self.fleet.session,
                self.fleet.vm_url(vm),
                prompt,
                clients.Stream(),
            )
            async for _ in stream:
                pass


class Faults:
    """Causes faults by a seed and takes them back."""

    def __init__(self, fleet: fleets.Fleet, source: random.Random) -> None:
        self._fleet = fleet
        self._source = source
        self.count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._dead: set[int] = set()

    async def run(self, duration_s: float) -> None:
        """Causes a fault a second, several at once."""
        until_s = time.monotonic() + duration_s
        while time.monotonic() < until_s:
            await asyncio.sleep(FAULT_EVERY_S)
            kind = self._source.choice(
                [self._entry, self._entry, self._engine]
            )
            task = asyncio.create_task(kind())
            self.count += 1
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _last(self) -> None:
        await asyncio.sleep(self._source.uniform(0.5, FAULT_LASTS_S))

    async def _entry(self) -> None:
        vm = self._source.randrange(ZONE.vms)
        name = deployments.vm_id(ZONE, vm)
        if vm in self._dead:
            return
        self._dead.add(vm)
        if self._source.random() < 0.5:
            self._fleet.kill(name)
            await self._last()
            self._fleet.start_vm(vm)
        else:
            self._fleet.send_signal(name, signal.SIGSTOP)
            await self._last()
            self._fleet.send_signal(name, signal.SIGCONT)
        self._dead.discard(vm)

    async def _engine(self) -> None:
        url = self._source.choice(self._fleet.endpoints('engine'))['url']
        fault = self._source.choice(['die', 'pause', 'cancels', 'cut'])
        if fault == 'die':
            await self._fleet.set_faults(url, action='die')
        elif fault == 'pause':
            await self._fleet.set_faults(url, action='pause')
            await self._last()
            await self._fleet.set_faults(url, action='unpause')
        elif fault == 'cancels':
            await self._fleet.set_faults(url, lose_cancels=True)
            await self._last()
            await self._fleet.set_faults(url, lose_cancels=False)
        else:
            await self._fleet.set_faults(url, cut=True)
            await self._last()
            await self._fleet.set_faults(url, cut=False)


async def _granted(fleet: fleets.Fleet) -> int:
    """Returns the tokens that owners have granted on all engines."""
    free_by_engine: dict[str, int] = {}
    for vm in range(ZONE.vms):
        status = await fleet.status(vm)
        for engine in status['engines']:
            free_by_engine[engine['endpoint_id']] = engine['free_tokens']
    return sum(CAPACITY_TOKENS - free for free in free_by_engine.values())


async def _calm_utilisation(fleet: fleets.Fleet, duration_s: float) -> float:
    """Returns the part of all memory that is granted under pressure."""
    samples: list[int] = []
    await asyncio.sleep(duration_s / 2)
    until_s = time.monotonic() + duration_s / 2
    while time.monotonic() < until_s:
        samples.append(await _granted(fleet))
        await asyncio.sleep(SAMPLE_S)
    # A ledger that knows everything packs whole requests into each engine.
    tokens = PROMPT_TOKENS + OUTPUT_TOKENS
    packed = CAPACITY_TOKENS // tokens * tokens * ZONE.engines
    return sum(samples) / len(samples) / packed


async def _leaked(fleet: fleets.Fleet) -> int:
    """Waits for quiet and returns the tokens that are not given back."""
    until_s = time.monotonic() + QUIET_S
    leaked = -1
    while time.monotonic() < until_s and leaked != 0:
        await asyncio.sleep(1.0)
        held = 0
        for endpoint in fleet.endpoints('engine'):
            counted = await fleet.counters(endpoint['url'])
            held += counted['held_tokens']
        leaked = held + await _granted(fleet)
    return leaked


async def _run(options: registry.Options) -> registry.Figures:
    source = random.Random(options.seed)
    with tempfile.TemporaryDirectory() as directory:
        fleet_options = fleets.FleetOptions(
            ZONE,
            pathlib.Path(directory),
            base_port=FIRST_PORT,
            time_scale=TIME_SCALE,
            capacity_tokens=CAPACITY_TOKENS,
        )
        async with fleets.Fleet(fleet_options) as fleet:
            pressure = Pressure(fleet, source)
            load = asyncio.create_task(pressure.run())
            utilisation = await _calm_utilisation(fleet, options.duration_s)
            pressure.leaving = LEAVE_SHARE
            faults = Faults(fleet, source)
            await faults.run(options.duration_s)
            pressure.is_over = True
            await load
            leaked = await _leaked(fleet)
            overruns = started = 0
            for endpoint in fleet.endpoints('engine'):
                counted = await fleet.counters(endpoint['url'])
                overruns += counted['overruns']
                started += counted['started']
    per_vm = CAPACITY_TOKENS / (ZONE.vms / len(ZONE.zones))
    tokens = PROMPT_TOKENS + OUTPUT_TOKENS
    whole = CAPACITY_TOKENS // tokens * tokens
    static = per_vm // tokens * tokens * (ZONE.vms / len(ZONE.zones)) / whole
    return {
        'engine_overruns': overruns,
        'leaked_tokens_after_quiet': leaked,
        'utilisation': round(utilisation, 3),
        # Shares of 1/N to each VM, all of them under full pressure.
        'utilisation_baseline': round(static, 3),
        'grants': started,
        'faults': faults.count,
        'requests': pressure.sent,
    }


@registry.bench(
    'memory',
    registry.Target('engine_overruns', '<=', 0),
    registry.Target('leaked_tokens_after_quiet', '<=', 0),
    registry.Target('utilisation', '>=', 0.9),
)
def run(options: registry.Options) -> registry.Figures:
    """Fills engines in calm and under faults, and looks for leaks."""
    return asyncio.run(_run(options))
