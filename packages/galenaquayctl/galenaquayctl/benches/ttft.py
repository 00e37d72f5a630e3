"""`bench ttft`: time to first token by length, short prompts beside long.

Starts the deployment anew for each policy, sends the same short prompts
alone and then within the letter's mix, and compares. Times are in the
engines' own seconds.
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
# Part of the fleet's prefill that is offered.
OFFERED: Final = 0.7
OWN_POLICY: Final = 'estimate'
BASELINES: Final = ('first-version', 'round-robin', 'least-outstanding')
# Seconds in which engines and owners come to rest between two loads.
REST_S: Final = 3.0
PERCENTILE: Final = 95.0


@dataclasses.dataclass(frozen=True)
class Measured:
    """What one policy showed."""

    alone: loads.Result
    mixed: loads.Result
    overruns: int

    @property
    def alone_s(self) -> float:
        """Short prompts' p95 without long ones, in engine seconds."""
        return _short_s(self.alone)

    @property
    def mixed_s(self) -> float:
        """Short prompts' p95 within the mix, in engine seconds."""
        return _short_s(self.mixed)

    @property
    def slowdown(self) -> float:
        """How much the long prompts slow the short ones."""
        return self.mixed_s / self.alone_s


def _short_s(result: loads.Result) -> float:
    short = result.by_band[bands.Band.SHORT]
    return short.ttft_s(PERCENTILE) * TIME_SCALE


def _plans(
    fleet: fleets.Fleet, options: registry.Options
) -> tuple[loads.Plan, loads.Plan]:
    """Returns the load of short prompts alone and the whole mix."""
    deployment = fleet.options.deployment
    capacity = (
        deployment.engines
        * deployments.EFFECTIVE_PREFILL_TOKENS_S
        * TIME_SCALE
    )
    rate_s = OFFERED * capacity / loads.mean_tokens(loads.LETTER_MIX)
    mixed = loads.Plan(
        entries=tuple(fleet.vm_url(vm) for vm in range(deployment.vms)),
        keys=tuple(
            deployments.account_key(name) for name in deployment.accounts
        ),
        rate_s=rate_s,
        duration_s=options.duration_s,
        mix=loads.LETTER_MIX,
        seed=options.seed,
    )
    alone = dataclasses.replace(
        mixed,
        rate_s=rate_s * loads.LETTER_MIX[0].share,
        mix=loads.SHORT_ONLY,
    )
    return alone, mixed


async def _measure(policy: str, options: registry.Options) -> Measured:
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
            await asyncio.sleep(REST_S)
            mixed = await loads.run(plan_mixed)
            overruns = 0
            for endpoint in fleet.endpoints('engine'):
                counted = await fleet.counters(endpoint['url'])
                overruns += counted['overruns']
            return Measured(alone, mixed, overruns)


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
    """Compares short prompts alone and beside long ones, by policy."""
    own = asyncio.run(_measure(OWN_POLICY, options))
    others = {name: asyncio.run(_measure(name, options)) for name in BASELINES}
    slowdowns = {name: m.slowdown for name, m in others.items()}
    long = own.mixed.by_band[bands.Band.LONG]
    return {
        'short_p95_s_alone': round(own.alone_s, 3),
        'short_p95_s_mixed': round(own.mixed_s, 3),
        'slowdown': round(own.slowdown, 3),
        'baseline_slowdown': {n: round(s, 3) for n, s in slowdowns.items()},
        'baseline_short_p95_s': {
            name: round(m.mixed_s, 3) for name, m in others.items()
        },
        'excess_to_round_robin': round(
            (own.slowdown - 1) / (slowdowns['round-robin'] - 1), 3
        ),
        'inter_token_p95_s': round(
            own.mixed.inter_token_s(PERCENTILE) * TIME_SCALE, 4
        ),
        'engine_overruns': own.overruns,
        'baseline_overruns': {n: m.overruns for n, m in others.items()},
        'long_not_completed': long.refused + long.failed,
        'failed': own.mixed.count('failed') + own.mixed.count('wrong'),
        'codes': own.mixed.codes,
        'sent': own.mixed.sent,
        'bands': _band_figures(own.mixed),
        'baseline_bands': {
            name: _band_figures(m.mixed) for name, m in others.items()
        },
    }
