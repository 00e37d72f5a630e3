"""`bench withdrawal`: service while a zone leaves and returns.

Sends the letter's mix at a part of the fleet's capacity, withdraws a zone by
its label in the middle and returns it, in several variants: in calm, with the
platform down right after, and with an entry of the zone killed. A baseline
does the same with round robin.
"""

import asyncio
import dataclasses
import pathlib
import tempfile
import time
from typing import Any, Final

from galenaquay.routing import bands
from galenaquay_standins import deployments
from galenaquay_standins import fleet as fleets

from .. import clients
from .. import loads
from . import registry

FIRST_PORT: Final = 30000
TIME_SCALE: Final = 2.0
# Part of the whole fleet's prefill that is offered.
OFFERED: Final = 0.6
# Time within which new work must have stopped, in seconds.
STOP_S: Final = 4.0
POLL_S: Final = 0.05
VARIANTS: Final = ('calm', 'platform-down', 'entry-killed')
BASELINE: Final = 'round-robin'


@dataclasses.dataclass
class Window:
    """Requests that arrived within a part of the run."""

    sent: int = 0
    completed: int = 0
    refused: int = 0
    failed: int = 0
    short_ttfts_s: list[float] = dataclasses.field(default_factory=list)

    def note(self, arrival: loads.Arrival, state: clients.Stream) -> None:
        """Counts an answer."""
        self.sent += 1
        if state.is_whole:
            self.completed += 1
        elif state.error and state.error.get('outcome') == 'NOT_RUN':
            self.refused += 1
        else:
            self.failed += 1
        is_short = bands.band_of(arrival.prompt_tokens) is bands.Band.SHORT
        if is_short and state.ttft_s is not None:
            self.short_ttfts_s.append(state.ttft_s)

    def short_p95_s(self) -> float:
        """Returns the p95 of short prompts, in engine seconds."""
        ordered = sorted(self.short_ttfts_s)
        return ordered[int(0.95 * (len(ordered) - 1))] * TIME_SCALE

    def goodput(self) -> float:
        """Returns the part of what was sent that was answered whole."""
        return self.completed / max(1, self.sent)


@dataclasses.dataclass
class Measured:
    """What one variant showed."""

    before: Window
    during: Window
    after: Window
    # From the publishing to the last new work in the zone, in seconds.
    stop_s: float
    # From the return to the first new work in the zone, in seconds.
    return_s: float
    wrong: int
    cold_over_limit: int


class Run:
    """One run of the load with a zone that leaves and returns."""

    def __init__(
        self, fleet: fleets.Fleet, options: registry.Options, variant: str
    ) -> None:
        self._fleet = fleet
        self._options = options
        self._variant = variant
        self._zone = fleet.options.deployment.zones[1]
        self._leaves_s = options.duration_s / 3
        self._returns_s = 2 * options.duration_s / 3
        self._windows = (Window(), Window(), Window())

    async def measure(self) -> Measured:
        """Runs the load and the operators' changes beside it."""
        load = asyncio.create_task(
            loads.run(self._plan(), None, self._note_answer)
        )
        await asyncio.sleep(self._leaves_s)
        stop_s = await self._withdraw()
        await asyncio.sleep(self._returns_s - self._leaves_s - STOP_S)
        return_s = await self._return()
        result = await load
        over = 0
        for endpoint in self._fleet.endpoints('engine'):
            counted = await self._fleet.counters(endpoint['url'])
            over += counted['cold_over_limit']
        return Measured(
            *self._windows, stop_s, return_s, result.count('wrong'), over
        )

    def _plan(self) -> loads.Plan:
        deployment = self._fleet.options.deployment
        rate_s = (
            OFFERED
            * deployment.engines
            * deployments.EFFECTIVE_PREFILL_TOKENS_S
            * TIME_SCALE
            / loads.mean_tokens(loads.LETTER_MIX)
        )
        # The killed entry's callers are the balancer's affair.
        vms = [vm for vm in range(deployment.vms) if vm != self._victim()]
        return loads.Plan(
            entries=tuple(self._fleet.vm_url(vm) for vm in vms),
            keys=tuple(
                deployments.account_key(name) for name in deployment.accounts
            ),
            rate_s=rate_s,
            duration_s=self._options.duration_s,
            mix=loads.LETTER_MIX,
            seed=self._options.seed,
        )

    def _victim(self) -> int | None:
        return 1 if self._variant == 'entry-killed' else None

    def _note_answer(
        self, arrival: loads.Arrival, state: clients.Stream
    ) -> None:
        number = 0
        if arrival.at_s >= self._leaves_s:
            number = 1
        if arrival.at_s >= self._returns_s:
            number = 2
        self._windows[number].note(arrival, state)

    async def _label(self, state: str) -> None:
        for zone in self._fleet.config['zones']:
            if zone['name'] == self._zone:
                zone['labels'] = {'state': state}
        await self._fleet.publish_config()

    async def _started(self) -> int:
        started = 0
        for endpoint in self._fleet.endpoints('engine'):
            if endpoint['zone'] == self._zone:
                counted = await self._fleet.counters(endpoint['url'])
                started += counted['started']
        return started

    async def _withdraw(self) -> float:
        """Withdraws the zone; returns when its last new work came."""
        published_s = time.monotonic()
        await self._label('withdrawn')
        victim = self._victim()
        if victim is not None:
            name = deployments.vm_id(self._fleet.options.deployment, victim)
            self._fleet.kill(name)
        if self._variant == 'platform-down':
            # Long enough that the watchers have read it, and nobody else.
            await asyncio.sleep(POLL_S)
            await self._fleet.set_faults(
                self._fleet.platform_url(''), down=True
            )
        last_s = published_s
        before = await self._started()
        while time.monotonic() < published_s + STOP_S:
            await asyncio.sleep(POLL_S)
            now = await self._started()
            if now != before:
                last_s = time.monotonic()
            before = now
        return last_s - published_s

    async def _return(self) -> float:
        await self._fleet.set_faults(self._fleet.platform_url(''), down=False)
        published_s = time.monotonic()
        before = await self._started()
        await self._label('in-service')
        while time.monotonic() < published_s + self._options.duration_s / 3:
            await asyncio.sleep(POLL_S)
            if await self._started() != before:
                break
        return time.monotonic() - published_s


async def _measure(
    options: registry.Options, variant: str, policy: str
) -> Measured:
    with tempfile.TemporaryDirectory() as directory:
        fleet_options = fleets.FleetOptions(
            deployments.DEPLOYMENTS_BY_NAME[options.deployment],
            pathlib.Path(directory),
            base_port=FIRST_PORT,
            time_scale=TIME_SCALE,
            settings={'policy': policy},
        )
        async with fleets.Fleet(fleet_options) as fleet:
            return await Run(fleet, options, variant).measure()


def _figures(measured: Measured) -> dict[str, Any]:
    windows = (measured.before, measured.during, measured.after)
    return {
        'new_work_stop_s': round(measured.stop_s, 3),
        'return_to_first_s': round(measured.return_s, 3),
        'failed_admitted': sum(w.failed for w in windows),
        'refused': sum(w.refused for w in windows),
        'wrong': measured.wrong,
        'short_p95_s_before': round(measured.before.short_p95_s(), 3),
        'short_p95_s_during': round(measured.during.short_p95_s(), 3),
        'short_p95_ratio_during': round(
            measured.during.short_p95_s() / measured.before.short_p95_s(), 3
        ),
        'goodput_ratio_during': round(measured.during.goodput(), 4),
        'cold_over_limit': measured.cold_over_limit,
        'sent': sum(w.sent for w in windows),
    }


@registry.bench(
    'withdrawal',
    registry.Target('new_work_stop_s', '<=', STOP_S),
    registry.Target('failed_admitted', '<=', 0),
    registry.Target('goodput_ratio_during', '>=', 0.95),
    registry.Target('short_p95_ratio_during', '<=', 1.5),
    registry.Target('cold_over_limit', '<=', 0),
)
def run(options: registry.Options) -> registry.Figures:
    """Withdraws and returns a zone under load, in every variant."""
    by_variant = {
        variant: _figures(asyncio.run(_measure(options, variant, 'estimate')))
        for variant in VARIANTS
    }
    baseline = _figures(asyncio.run(_measure(options, 'calm', BASELINE)))
    worst = by_variant.values()
    return {
        'new_work_stop_s': max(v['new_work_stop_s'] for v in worst),
        'return_to_first_s': max(v['return_to_first_s'] for v in worst),
        'failed_admitted': max(v['failed_admitted'] for v in worst),
        'short_p95_ratio_during': max(
            v['short_p95_ratio_during'] for v in worst
        ),
        'goodput_ratio_during': min(v['goodput_ratio_during'] for v in worst),
        'cold_over_limit': max(v['cold_over_limit'] for v in worst),
        'baseline_goodput_ratio': baseline['goodput_ratio_during'],
        'baseline_short_p95_ratio': baseline['short_p95_ratio_during'],
        'by_variant': by_variant,
        'baseline': baseline,
    }
