"""`bench control`: cost of the control traffic per node, by zone size.

Starts zones of several sizes as processes, publishes a configuration of the
size that the fleet is designed for and measures the nodes (VMs) while no
client sends requests. An idle node only exchanges heartbeats and leases, reads
the load reports of engines and watches the platform for new documents.
"""

import asyncio
import dataclasses
import pathlib
import tempfile
from typing import Any, Final

from galenaquay_standins import deployments
from galenaquay_standins import fleet as fleets
import psutil

from . import registry

FIRST_PORT: Final = 26000
# The size that the whole fleet is designed for.
DESIGN_ENDPOINTS: Final = 1300
DESIGN_ACCOUNTS: Final = 4200
DESIGN_NODES: Final = 390
DESIGN_ZONES: Final = 11
DESIGN_ENGINES_PER_NODE: Final = DESIGN_ENDPOINTS / DESIGN_NODES
# Limits for one idle node at the design size: share of one core, resident
# memory in bytes, and bytes per second sent and received.
MAX_CPU_CORE_SHARE: Final = 0.017
MAX_RSS_BYTES: Final = 64e6
MAX_BYTES_S: Final = 7000.0
# Number of nodes and number of engines of each measured zone.
ZONE_SIZES: Final = ((5, 5), (5, 15), (10, 10), (20, 20), (36, 18))
# Time between publishing the configuration and the measurement, in which the
# additional control traffic after the start of a zone ends, in seconds.
SETTLE_S: Final = 6.0


@dataclasses.dataclass(frozen=True)
class Sample:
    """Mean cost of one idle node of a zone."""

    peers: int
    engines_per_node: float
    cpu_core_share: float
    rss_bytes: float
    bytes_s: float


def _zone_of_size(vms: int, engines: int) -> deployments.Deployment:
    return dataclasses.replace(
        deployments.VAKALOLOMA,
        zones=('z1',),
        vms=vms,
        engines=engines,
        services=0,
    )


def _fill_to_design_size(config: dict[str, Any]) -> None:
    """Adds endpoints of another zone and accounts up to the design size."""
    config['zones'].append({'name': 'far', 'region': 'far'})
    template = config['endpoints'][0]
    for number in range(DESIGN_ENDPOINTS - len(config['endpoints'])):
        config['endpoints'].append(
            {**template, 'id': f'far-e{number}', 'zone': 'far'}
        )
    for number in range(DESIGN_ACCOUNTS - len(config['accounts'])):
        config['accounts'].append(
            {'id': f'a{number}', 'key_sha256': f'{number:064x}'}
        )


def _cpu_s(pids: list[int]) -> float:
    total = 0.0
    for pid in pids:
        times = psutil.Process(pid).cpu_times()
        total += times.user + times.system
    return total


def _loopback_bytes() -> int:
    counted = psutil.net_io_counters(pernic=True)
    return int(counted['lo'].bytes_sent)


async def _measure(vms: int, engines: int, duration_s: float) -> Sample:
    with tempfile.TemporaryDirectory() as directory:
        options = fleets.FleetOptions(
            _zone_of_size(vms, engines),
            pathlib.Path(directory),
            base_port=FIRST_PORT,
        )
        async with fleets.Fleet(options) as fleet:
            _fill_to_design_size(fleet.config)
            await fleet.publish_config()
            await asyncio.sleep(SETTLE_S)
            pids = [
                fleet.processes_by_name[
                    deployments.vm_id(options.deployment, vm)
                ].pid
                for vm in range(vms)
            ]
            cpu_s, sent = _cpu_s(pids), _loopback_bytes()
            await asyncio.sleep(duration_s)
            cpu_s = _cpu_s(pids) - cpu_s
            sent = _loopback_bytes() - sent
            rss = [psutil.Process(p).memory_info().rss for p in pids]
            # A byte between two nodes counts for both nodes, so the sum is
            # doubled. This overstates the bytes between nodes and engines,
            # which count for one node only.
            return Sample(
                vms - 1,
                engines / vms,
                cpu_s / vms / duration_s,
                sum(rss) / vms,
                2 * sent / vms / duration_s,
            )


def _extrapolate(samples: list[Sample], name: str) -> dict[str, float]:
    """Extrapolates one cost from the measured zones to the design size.

    The largest measured zone has as many nodes as a zone of the design size,
    but fewer engines per node. The cost of the missing engines is added: the
    number missing per node times the cost of one engine per node, which the
    two smallest zones show.

    Returns:
        The cost of one engine per node, the cost in the largest measured zone
        and the cost at the design size.
    """
    few, many, largest = samples[0], samples[1], samples[-1]
    by_engine = (getattr(many, name) - getattr(few, name)) / (
        many.engines_per_node - few.engines_per_node
    )
    missing_engines_per_node = (
        DESIGN_ENGINES_PER_NODE - largest.engines_per_node
    )
    return {
        'by_engine': by_engine,
        'at_largest_zone': getattr(largest, name),
        'at_design_size': getattr(largest, name)
        + by_engine * missing_engines_per_node,
    }


@registry.bench(
    'control',
    registry.Target('cpu_at_design', '<=', MAX_CPU_CORE_SHARE),
    registry.Target('rss_at_design', '<=', MAX_RSS_BYTES),
    registry.Target('bytes_s_at_design', '<=', MAX_BYTES_S),
)
def run(options: registry.Options) -> registry.Figures:
    """Measures idle nodes in zones of several sizes."""
    samples = [
        asyncio.run(_measure(vms, engines, options.duration_s))
        for vms, engines in ZONE_SIZES
    ]
    slopes = {
        name: _extrapolate(samples, name)
        for name in ('cpu_core_share', 'rss_bytes', 'bytes_s')
    }
    largest = samples[-1]
    return {
        'cpu_core_share': round(largest.cpu_core_share, 5),
        'rss_bytes': round(largest.rss_bytes),
        'bytes_s': round(largest.bytes_s),
        'samples': [dataclasses.asdict(s) for s in samples],
        'slopes': slopes,
        'cpu_at_design': round(slopes['cpu_core_share']['at_design_size'], 5),
        'rss_at_design': round(slopes['rss_bytes']['at_design_size']),
        'bytes_s_at_design': round(slopes['bytes_s']['at_design_size']),
    }
