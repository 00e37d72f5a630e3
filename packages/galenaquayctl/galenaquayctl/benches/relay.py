"""`bench relay`: tokens per second and core that a VM relays to clients.

The baseline is a relay without any features, the module `bare_relay`.
"""

import asyncio
import dataclasses
import pathlib
import tempfile
from typing import Any, Final

import aiohttp
from galenaquay_standins import deployments
from galenaquay_standins import fleet as fleets
import orjson
import psutil

from . import registry

STREAMS: Final = 200
# Number of measurements of each relay. Measurements of the two relays
# alternate.
ROUNDS: Final = 3
# How many times as fast as real time the engine stand-in runs. With this
# value, the VM relays about twice the load that a node is designed for.
TIME_SCALE: Final = 2.0
FIRST_PORT: Final = 23000
BARE_PORT: Final = 23900
# Tokens per second that one node is designed to relay: 2.2 million tokens per
# second, divided evenly among 390 nodes.
DESIGN_TOKENS_PER_NODE_S: Final = 2_200_000 / 390
# Tokens per second of one stream at these settings, from which the output
# length is computed.
STREAM_TOKENS_S: Final = 38
ONE_ENGINE: Final = dataclasses.replace(
    deployments.VAKALOLOMA, zones=('lautoka',), engines=1, services=0, vms=1
)


@dataclasses.dataclass(frozen=True)
class RelayMeasurement:
    """Events that a relay has sent, and the processor time that it used."""

    events: int
    cpu_s: float

    @property
    def events_per_core_s(self) -> float:
        """Events that one core relays per second."""
        return self.events / self.cpu_s


def _cpu_s(pid: int) -> float:
    times = psutil.Process(pid).cpu_times()
    return float(times.user + times.system)


def _sum_rounds(rounds: list[RelayMeasurement]) -> RelayMeasurement:
    return RelayMeasurement(
        sum(r.events for r in rounds), sum(r.cpu_s for r in rounds)
    )


async def _read_stream(
    session: aiohttp.ClientSession,
    url: str,
    body: dict[str, Any],
    headers: dict[str, str],
) -> int:
    """Reads a response; returns its number of events that carry a token."""
    events = 0
    async with session.post(
        url, data=orjson.dumps(body), headers=headers
    ) as response:
        response.raise_for_status()
        async for data in response.content.iter_any():
            events += data.count(b'"finish_reason":null')
    return events


async def _measure(
    session: aiohttp.ClientSession, pid: int, base_url: str, tokens: int
) -> RelayMeasurement:
    key = deployments.account_key(ONE_ENGINE.accounts[0])
    headers = {'Authorization': f'Bearer {key}'}
    before_s = _cpu_s(pid)
    counts = await asyncio.gather(
        *(
            _read_stream(
                session,
                f'{base_url}/v1/completions',
                _body(number, tokens),
                headers,
            )
            for number in range(STREAMS)
        )
    )
    return RelayMeasurement(sum(counts), _cpu_s(pid) - before_s)


def _body(number: int, tokens: int) -> dict[str, Any]:
    return {
        'model': 'question',
        'prompt': f'Question {number}: when is the next report due?',
        'max_tokens': tokens,
        'stream': True,
        # The VM replaces this object by its own; the bare relay forwards the
        # object to the engine.
        'galenaquay': {'request_id': f'r{number}', 'attempt': 1},
    }


async def _run(options: registry.Options) -> registry.Figures:
    tokens = int(options.duration_s / (2 * ROUNDS) * STREAM_TOKENS_S)
    with tempfile.TemporaryDirectory() as directory:
        fleet_options = fleets.FleetOptions(
            ONE_ENGINE,
            pathlib.Path(directory),
            base_port=FIRST_PORT,
            time_scale=TIME_SCALE,
        )
        async with fleets.Fleet(fleet_options) as fleet:
            engine = fleet.endpoints('engine')[0]['url']
            fleet.spawn(
                'bare',
                'galenaquayctl.benches.bare_relay',
                f'--engine={engine}',
                f'--port={BARE_PORT}',
            )
            # Gives the bare relay time to start listening.
            await asyncio.sleep(2)
            return await _compare(fleet, tokens)


async def _compare(fleet: fleets.Fleet, tokens: int) -> registry.Figures:
    pids = {n: p.pid for n, p in fleet.processes_by_name.items()}
    entry_pid = pids[deployments.vm_id(ONE_ENGINE, 0)]
    entry_url = fleet.vm_url(0)
    bare_url = f'http://127.0.0.1:{BARE_PORT}'
    warm_up_tokens = 10
    await _measure(fleet.session, entry_pid, entry_url, warm_up_tokens)
    await _measure(fleet.session, pids['bare'], bare_url, warm_up_tokens)
    entry_rounds: list[RelayMeasurement] = []
    bare_rounds: list[RelayMeasurement] = []
    for _ in range(ROUNDS):
        entry_rounds.append(
            await _measure(fleet.session, entry_pid, entry_url, tokens)
        )
        bare_rounds.append(
            await _measure(fleet.session, pids['bare'], bare_url, tokens)
        )
    entry_sum, bare_sum = _sum_rounds(entry_rounds), _sum_rounds(bare_rounds)
    return {
        'events_per_core_s': round(entry_sum.events_per_core_s),
        'bare_events_per_core_s': round(bare_sum.events_per_core_s),
        'ratio': round(
            entry_sum.events_per_core_s / bare_sum.events_per_core_s, 3
        ),
        'ratio_by_round': [
            round(e.events_per_core_s / b.events_per_core_s, 3)
            for e, b in zip(entry_rounds, bare_rounds)
        ],
        'core_share_at_design': round(
            DESIGN_TOKENS_PER_NODE_S / entry_sum.events_per_core_s, 3
        ),
        'events': entry_sum.events,
        'rss_bytes': psutil.Process(entry_pid).memory_info().rss,
    }


@registry.bench(
    'relay',
    registry.Target('ratio', '>=', 0.8),
    registry.Target('core_share_at_design', '<=', 0.25),
)
def run(options: registry.Options) -> registry.Figures:
    """Relays the same streams through a VM and through a bare relay."""
    return asyncio.run(_run(options))
