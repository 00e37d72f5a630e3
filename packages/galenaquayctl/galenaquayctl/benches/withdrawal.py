"""`bench withdrawal`: latency and failures while a zone is out of service.

Sends prompts of mixed lengths at a fixed share of the fleet's capacity. During
the load, a label withdraws one zone and later returns the zone to service. The
benchmark runs three variants: without any fault (`calm`), with the platform
down right after the withdrawal (`platform-down`) and with one VM of the zone
killed (`entry-killed`). A baseline runs `calm` with round-robin routing.
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
# Load, as a share of the prefill capacity of all engines in the fleet.
LOAD_SHARE: Final = 0.6
# Longest allowed time from the withdrawal of a zone to the last request that
# starts on the zone's engines, in seconds. The benchmark looks for new
# requests during this time after the withdrawal.
MAX_STOP_S: Final = 4.0
POLL_INTERVAL_S: Final = 0.05
VARIANTS: Final = ('calm', 'platform-down', 'entry-killed')
BASELINE: Final = 'round-robin'


@dataclasses.dataclass
class PhaseResult:
    """Counts of the requests that were sent within one phase of the run."""

    sent: int = 0
    completed: int = 0
    refused: int = 0
    failed: int = 0
    short_ttfts_s: list[float] = dataclasses.field(default_factory=list)

    def record(
        self, arrival: loads.Arrival, state: clients.StreamState
    ) -> None:
        """Counts a request by the result of its response."""
        self.sent += 1
        if state.is_complete:
            self.completed += 1
        elif state.error and state.error.get('outcome') == 'NOT_RUN':
            self.refused += 1
        else:
            self.failed += 1
        is_short = bands.band_of(arrival.prompt_tokens) is bands.Band.SHORT
        if is_short and state.ttft_s is not None:
            self.short_ttfts_s.append(state.ttft_s)

    def short_p95_s(self) -> float:
        """Returns the 95th percentile of the time to first token.

        Counts short prompts only. The unit is a second of the engine
        stand-ins' clock, which runs `TIME_SCALE` times as fast as real time.
        """
        ordered = sorted(self.short_ttfts_s)
        return ordered[int(0.95 * (len(ordered) - 1))] * TIME_SCALE

    def goodput(self) -> float:
        """Returns the share of the sent requests that were completed."""
        return self.completed / max(1, self.sent)


@dataclasses.dataclass
class VariantResult:
    """The results of one variant."""

    before: PhaseResult
    during: PhaseResult
    after: PhaseResult
    # Time from publishing the withdrawal to the last request that started on
    # an engine of the zone, in seconds.
    stop_s: float
    # Time from publishing the return to the first request that started on an
    # engine of the zone, in seconds.
    return_s: float
    wrong: int
    cold_over_limit: int


class WithdrawalRun:
    """One run of the load during which a zone is withdrawn and returned."""

    def __init__(
        self, fleet: fleets.Fleet, options: registry.Options, variant: str
    ) -> None:
        self._fleet = fleet
        self._options = options
        self._variant = variant
        self._zone = fleet.options.deployment.zones[1]
        self._withdraw_at_s = options.duration_s / 3
        self._return_at_s = 2 * options.duration_s / 3
        self._phases = (PhaseResult(), PhaseResult(), PhaseResult())

    async def measure(self) -> VariantResult:
        """Runs the load; meanwhile withdraws the zone and returns it."""
        load = asyncio.create_task(
            loads.run(self._plan(), None, self._record_response)
        )
        await asyncio.sleep(self._withdraw_at_s)
        stop_s = await self._withdraw()
        await asyncio.sleep(
            self._return_at_s - self._withdraw_at_s - MAX_STOP_S
        )
        return_s = await self._return()
        result = await load
        over_limit = 0
        for endpoint in self._fleet.endpoints('engine'):
            counted = await self._fleet.counters(endpoint['url'])
            over_limit += counted['cold_over_limit']
        return VariantResult(
            *self._phases, stop_s, return_s, result.count('wrong'), over_limit
        )

    def _plan(self) -> loads.Plan:
        deployment = self._fleet.options.deployment
        rate_s = (
            LOAD_SHARE
            * deployment.engines
            * deployments.EFFECTIVE_PREFILL_TOKENS_S
            * TIME_SCALE
            / loads.mean_tokens(loads.DESIGN_MIX)
        )
        # The load leaves out the killed VM, since in production a load
        # balancer directs clients to other VMs.
        vms = [vm for vm in range(deployment.vms) if vm != self._killed_vm()]
        return loads.Plan(
            entries=tuple(self._fleet.vm_url(vm) for vm in vms),
            keys=tuple(
                deployments.account_key(name) for name in deployment.accounts
            ),
            rate_s=rate_s,
            duration_s=self._options.duration_s,
            mix=loads.DESIGN_MIX,
            seed=self._options.seed,
        )

    def _killed_vm(self) -> int | None:
        return 1 if self._variant == 'entry-killed' else None

    def _record_response(
        self, arrival: loads.Arrival, state: clients.StreamState
    ) -> None:
        phase = 0
        if arrival.at_s >= self._withdraw_at_s:
            phase = 1
        if arrival.at_s >= self._return_at_s:
            phase = 2
        self._phases[phase].record(arrival, state)

    async def _publish_zone_state(self, state: str) -> None:
        for zone in self._fleet.config['zones']:
            if zone['name'] == self._zone:
                zone['labels'] = {'state': state}
        await self._fleet.publish_config()

    async def _count_started(self) -> int:
        started = 0
        for endpoint in self._fleet.endpoints('engine'):
            if endpoint['zone'] == self._zone:
                counted = await self._fleet.counters(endpoint['url'])
                started += counted['started']
        return started

    async def _withdraw(self) -> float:
        """Withdraws the zone and measures how long requests still start there.

        Returns:
            Time from publishing the withdrawal to the last request that
            started on an engine of the zone, in seconds.
        """
        published_s = time.monotonic()
        await self._publish_zone_state('withdrawn')
        killed_vm = self._killed_vm()
        if killed_vm is not None:
            name = deployments.vm_id(self._fleet.options.deployment, killed_vm)
            self._fleet.kill(name)
        if self._variant == 'platform-down':
            # The VMs that watch the platform read the withdrawal in this time.
            # The other VMs have to learn of the withdrawal from these VMs.
            await asyncio.sleep(POLL_INTERVAL_S)
            await self._fleet.set_faults(
                self._fleet.platform_url(''), down=True
            )
        last_s = published_s
        previous = await self._count_started()
        while time.monotonic() < published_s + MAX_STOP_S:
            await asyncio.sleep(POLL_INTERVAL_S)
            current = await self._count_started()
            if current != previous:
                last_s = time.monotonic()
            previous = current
        return last_s - published_s

    async def _return(self) -> float:
        """Returns the zone to service.

        Returns:
            Time from publishing the return to the first request that started
            on an engine of the zone, in seconds. If none started, the time
            waited, which is a third of the duration of the load.
        """
        await self._fleet.set_faults(self._fleet.platform_url(''), down=False)
        published_s = time.monotonic()
        before = await self._count_started()
        await self._publish_zone_state('in-service')
        while time.monotonic() < published_s + self._options.duration_s / 3:
            await asyncio.sleep(POLL_INTERVAL_S)
            if await self._count_started() != before:
                break
        return time.monotonic() - published_s


async def _measure(
    options: registry.Options, variant: str, policy: str
) -> VariantResult:
    with tempfile.TemporaryDirectory() as directory:
        fleet_options = fleets.FleetOptions(
            deployments.DEPLOYMENTS_BY_NAME[options.deployment],
            pathlib.Path(directory),
            base_port=FIRST_PORT,
            time_scale=TIME_SCALE,
            settings={'policy': policy},
        )
        async with fleets.Fleet(fleet_options) as fleet:
            return await WithdrawalRun(fleet, options, variant).measure()


def _figures(measured: VariantResult) -> dict[str, Any]:
    phases = (measured.before, measured.during, measured.after)
    return {
        'new_work_stop_s': round(measured.stop_s, 3),
        'return_to_first_s': round(measured.return_s, 3),
        'failed_admitted': sum(w.failed for w in phases),
        'refused': sum(w.refused for w in phases),
        'wrong': measured.wrong,
        'short_p95_s_before': round(measured.before.short_p95_s(), 3),
        'short_p95_s_during': round(measured.during.short_p95_s(), 3),
        'short_p95_ratio_during': round(
            measured.during.short_p95_s() / measured.before.short_p95_s(), 3
        ),
        'goodput_ratio_during': round(measured.during.goodput(), 4),
        'cold_over_limit': measured.cold_over_limit,
        'sent': sum(w.sent for w in phases),
    }


@registry.bench(
    'withdrawal',
    registry.Target('new_work_stop_s', '<=', MAX_STOP_S),
    registry.Target('failed_admitted', '<=', 0),
    registry.Target('goodput_ratio_during', '>=', 0.95),
    registry.Target('short_p95_ratio_during', '<=', 1.5),
    registry.Target('cold_over_limit', '<=', 0),
)
def run(options: registry.Options) -> registry.Figures:
    """Withdraws a zone and returns it under load, in every variant."""
    by_variant = {
        variant: _figures(asyncio.run(_measure(options, variant, 'estimate')))
        for variant in VARIANTS
    }
    baseline = _figures(asyncio.run(_measure(options, 'calm', BASELINE)))
    variants = by_variant.values()
    return {
        'new_work_stop_s': max(v['new_work_stop_s'] for v in variants),
        'return_to_first_s': max(v['return_to_first_s'] for v in variants),
        'failed_admitted': max(v['failed_admitted'] for v in variants),
        'short_p95_ratio_during': max(
            v['short_p95_ratio_during'] for v in variants
        ),
        'goodput_ratio_during': min(
            v['goodput_ratio_during'] for v in variants
        ),
        'cold_over_limit': max(v['cold_over_limit'] for v in variants),
        'baseline_goodput_ratio': baseline['goodput_ratio_during'],
        'baseline_short_p95_ratio': baseline['short_p95_ratio_during'],
        'by_variant': by_variant,
        'baseline': baseline,
    }
