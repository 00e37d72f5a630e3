"""`bench ttft`: how much long prompts delay the first token of short prompts.

Starts the deployment anew for each routing policy. Sends a load of short
prompts only, then a load that also has medium and long prompts, and compares
the times to first token of the short prompts. All times are in seconds of the
engine stand-ins' clock, which runs `TIME_SCALE` times as fast as real time.
"""

import asyncio
import dataclasses
import pathlib
import tempfile
from typing import Any, Final

from galenaquay.routing import bands
from galenaquay_standins import deployments
from galenaquay_standins import fleet as fleets

from .. import loads
from . import registry

TIME_SCALE: Final = 2.0
FIRST_PORT: Final = 24000
# Load with all prompt lengths, as a share of the fleet's prefill capacity.
LOAD_SHARE: Final = 0.7
DEFAULT_POLICY: Final = 'estimate'
BASELINES: Final = ('first-version', 'round-robin', 'least-outstanding')
# Pause between two loads, in which engines finish their work and their owners
# learn of it, in seconds.
SETTLE_S: Final = 3.0
PERCENTILE: Final = 95.0


@dataclasses.dataclass(frozen=True)
class PolicyResult:
    """The results of both loads with one policy."""

    alone: loads.Result
    mixed: loads.Result
    overruns: int

    @property
    def short_p95_alone_s(self) -> float:
        """95th percentile of the time to first token of short prompts.

        Measured in the load of short prompts only.
        """
        return _short_p95_s(self.alone)

    @property
    def short_p95_mixed_s(self) -> float:
        """95th percentile of the time to first token of short prompts.

        Measured in the load of all prompt lengths.
        """
        return _short_p95_s(self.mixed)

    @property
    def slowdown(self) -> float:
        """Ratio of `short_p95_mixed_s` to `short_p95_alone_s`."""
        return self.short_p95_mixed_s / self.short_p95_alone_s


def _short_p95_s(result: loads.Result) -> float:
    short = result.by_band[bands.Band.SHORT]
    return short.ttft_s(PERCENTILE) * TIME_SCALE


def _plans(
    fleet: fleets.Fleet, options: registry.Options
) -> tuple[loads.Plan, loads.Plan]:
    """Returns the load of short prompts only and the load of all lengths.

    Short prompts arrive at the same rate in both loads.
    """
    deployment = fleet.options.deployment
    capacity = (
        deployment.engines
        * deployments.EFFECTIVE_PREFILL_TOKENS_S
        * TIME_SCALE
    )
    rate_s = LOAD_SHARE * capacity / loads.mean_tokens(loads.DESIGN_MIX)
    mixed = loads.Plan(
        entries=tuple(fleet.vm_url(vm) for vm in range(deployment.vms)),
        keys=tuple(
            deployments.account_key(name) for name in deployment.accounts
        ),
        rate_s=rate_s,
        duration_s=options.duration_s,
        mix=loads.DESIGN_MIX,
        seed=options.seed,
    )
    alone = dataclasses.replace(
        mixed,
        rate_s=rate_s * loads.DESIGN_MIX[0].share,
        mix=loads.SHORT_ONLY,
    )
    return alone, mixed


async def _measure(policy: str, options: registry.Options) -> PolicyResult:
    with tempfile.TemporaryDirectory() as directory:
        fleet_options = fleets.FleetOptions(
            deployments.DEPLOYMENTS_BY_NAME[options.deployment],
            pathlib.Path(directory),
            base_port=FIRST_PORT,
            time_scale=TIME_SCALE,
            settings={'policy': policy},
        )
        async with fleets.Fleet(fleet_options) as fleet:
            plan_alone, plan_mixed = _plans(fleet, options)
            alone = await loads.run(plan_alone)
            await asyncio.sleep(SETTLE_S)
            mixed = await loads.run(plan_mixed)
            overruns = 0
            for endpoint in fleet.endpoints('engine'):
                counted = await fleet.counters(endpoint['url'])
                overruns += counted['overruns']
            return PolicyResult(alone, mixed, overruns)


def _band_figures(result: loads.Result) -> dict[str, Any]:
    return {
        band.name.lower(): {
            'p50_s': round(found.ttft_s(50) * TIME_SCALE, 3),
            'p95_s': round(found.ttft_s(95) * TIME_SCALE, 3),
            'p99_s': round(found.ttft_s(99) * TIME_SCALE, 3),
            'completed': found.completed,
            'refused': found.refused,
            'failed': found.failed,
            'missed_time': found.missed_time,
            'wrong': found.wrong,
        }
        for band, found in result.by_band.items()
    }


@registry.bench(
    'ttft',
    registry.Target('slowdown', '<=', 1.15),
    registry.Target('excess_to_round_robin', '<=', 0.1),
    registry.Target('short_p95_s_mixed', '<=', 0.88),
    registry.Target('inter_token_p95_s', '<=', 0.074),
    registry.Target('engine_overruns', '<=', 0),
    registry.Target('long_not_completed', '<=', 0),
    registry.Target('failed', '<=', 0),
)
def run(options: registry.Options) -> registry.Figures:
    """Measures how much long prompts delay short prompts, by policy."""
    default = asyncio.run(_measure(DEFAULT_POLICY, options))
    baselines = {
        name: asyncio.run(_measure(name, options)) for name in BASELINES
    }
    slowdowns = {
        name: measured.slowdown for name, measured in baselines.items()
    }
    long = default.mixed.by_band[bands.Band.LONG]
    return {
        'short_p95_s_alone': round(default.short_p95_alone_s, 3),
        'short_p95_s_mixed': round(default.short_p95_mixed_s, 3),
        'slowdown': round(default.slowdown, 3),
        'baseline_slowdown': {n: round(s, 3) for n, s in slowdowns.items()},
        'baseline_short_p95_s': {
            name: round(measured.short_p95_mixed_s, 3)
            for name, measured in baselines.items()
        },
        'excess_to_round_robin': round(
            (default.slowdown - 1) / (slowdowns['round-robin'] - 1), 3
        ),
        'inter_token_p95_s': round(
            default.mixed.inter_token_s(PERCENTILE) * TIME_SCALE, 4
        ),
        'engine_overruns': default.overruns,
        'baseline_overruns': {
            n: measured.overruns for n, measured in baselines.items()
        },
        'long_not_completed': long.refused + long.failed,
        'failed': default.mixed.count('failed') + default.mixed.count('wrong'),
        'codes': default.mixed.codes,
        'sent': default.mixed.sent,
        'bands': _band_figures(default.mixed),
        'baseline_bands': {
            name: _band_figures(measured.mixed)
            for name, measured in baselines.items()
        },
    }
