"""`galenaquayctl capacity`: prints the capacity table of docs/CAPACITY.md.

Computes the load of one node (VM) at the size that the fleet is designed for,
from the JSON output of the benchmarks `control`, `relay` and `costs`. The
explanations of the figures in docs/CAPACITY.md are written by hand.
"""

import dataclasses
import pathlib
from typing import Any, Final

import click
import orjson

from .benches import control

# Requests per second, tokens per second and configuration changes per day that
# the whole fleet is designed for.
REQUESTS_S: Final = 8500
TOKENS_S: Final = 2_200_000
CONFIG_CHANGES_PER_DAY: Final = 1400
SECONDS_PER_DAY: Final = 86_400
# Calls to owners of engine memory for one completion: probes, a grant and its
# release.
OWNER_CALLS_PER_REQUEST: Final = 5
# Number of documents that the platform publishes.
DOCUMENTS: Final = 2
# Number of VMs in each zone that watch the platform for changed documents.
WATCHERS_PER_ZONE: Final = 2
# Time after which a watch of an unchanged document is renewed, in seconds.
WATCH_INTERVAL_S: Final = 20
# Largest number of reads per second that the platform can serve.
MAX_READS_S: Final = 2000
MAX_DOCUMENT_BYTES: Final = 1_048_576
# Largest share of a core that a node may use for relaying tokens.
MAX_RELAY_CORE_SHARE: Final = 0.25
# Microseconds per second and bytes per megabyte.
MILLION: Final = 1e6
# Milliseconds per second and bytes per kilobyte.
THOUSAND: Final = 1e3


@dataclasses.dataclass(frozen=True)
class TableRow:
    """One row of the table."""

    role: str
    quantity: str
    value: float
    unit: str
    # The largest allowed value, if the requirements set one.
    limit: float | None = None

    def cells(self) -> list[str]:
        """Returns the formatted cells of the row."""
        value = f'{self.value:.4g} {self.unit}'.strip()
        if self.limit is None:
            return [self.role, self.quantity, value, '', '']
        margin = 1 - self.value / self.limit
        verdict = (
            f'{margin:.0%}' if margin >= 0 else f'MISSED by {-margin:.0%}'
        )
        limit = f'{self.limit:.4g} {self.unit}'.strip()
        return [self.role, self.quantity, value, limit, verdict]


def table_rows(
    control_results: dict[str, Any],
    relay_results: dict[str, Any],
    cost_results: dict[str, Any],
) -> list[TableRow]:
    """Computes the load of one node at the designed size of the fleet."""
    requests = REQUESTS_S / control.DESIGN_NODES
    tokens = TOKENS_S / control.DESIGN_NODES
    routing_us = cost_results['routing_us']['1300']
    grant_us = cost_results['grant_us']['400']
    accept_ms = cost_results['acceptance_ms']['1300x4200']
    changes = CONFIG_CHANGES_PER_DAY / SECONDS_PER_DAY
    watches = control.DESIGN_ZONES * WATCHERS_PER_ZONE * DOCUMENTS
    reads = watches / WATCH_INTERVAL_S + watches * changes
    return [
        TableRow(
            'entry',
            'relaying tokens',
            tokens / relay_results['events_per_core_s'],
            'core',
            MAX_RELAY_CORE_SHARE,
        ),
        TableRow(
            'entry',
            'choosing engines',
            requests * routing_us / MILLION,
            'core',
        ),
        TableRow(
            'owner',
            'the ledger, five calls a request',
            requests * OWNER_CALLS_PER_REQUEST * grant_us / MILLION,
            'core',
        ),
        TableRow(
            'every node',
            'control: processor',
            control_results['cpu_at_design'],
            'core',
            control.MAX_CPU_CORE_SHARE,
        ),
        TableRow(
            'every node',
            'control: memory (RSS)',
            control_results['rss_at_design'] / MILLION,
            'MB',
            control.MAX_RSS_BYTES / MILLION,
        ),
        TableRow(
            'every node',
            'control: bytes, both ways',
            control_results['bytes_s_at_design'] / THOUSAND,
            'KB/s',
            control.MAX_BYTES_S / THOUSAND,
        ),
        TableRow(
            'every node',
            'accepting configurations',
            accept_ms / THOUSAND * changes,
            'core',
        ),
        TableRow(
            'every node', 'longest stop while accepting one', accept_ms, 'ms'
        ),
        TableRow(
            'watchers', 'reads of the platform', reads, '/s', MAX_READS_S
        ),
        TableRow(
            'platform',
            'size of the configuration',
            cost_results['document_bytes']['1300x4200'],
            'bytes',
            MAX_DOCUMENT_BYTES,
        ),
    ]


def _plot(control_results: dict[str, Any], path: pathlib.Path) -> None:
    # matplotlib is large and only the plot needs it, so the import is local.
    from matplotlib import pyplot

    samples = [
        s for s in control_results['samples'] if s['engines_per_node'] <= 1
    ]
    peers = [s['peers'] for s in samples]
    figure, axes = pyplot.subplots(1, 3, figsize=(11, 3.2))
    for axis, name, limit in zip(
        axes,
        ('cpu_core_share', 'rss_bytes', 'bytes_s'),
        (
            control.MAX_CPU_CORE_SHARE,
            control.MAX_RSS_BYTES,
            control.MAX_BYTES_S,
        ),
    ):
        axis.plot(peers, [s[name] for s in samples], marker='o')
        axis.axhline(limit, linestyle='--', color='grey')
        axis.set_title(name)
        axis.set_xlabel('peers')
        axis.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(path, dpi=100)


@click.command(
    epilog='Example: galenaquayctl capacity control.json relay.json '
    'costs.json --plot control.png'
)
@click.argument('control_json', type=click.File('rb'))
@click.argument('relay_json', type=click.File('rb'))
@click.argument('costs_json', type=click.File('rb'))
@click.option('--plot', type=click.Path(path_type=pathlib.Path))
def capacity(
    control_json: Any,
    relay_json: Any,
    costs_json: Any,
    plot: pathlib.Path | None,
) -> None:
    """Prints the table of docs/CAPACITY.md from what benches have printed."""
    control_results = orjson.loads(control_json.read())
    relay_results = orjson.loads(relay_json.read())
    cost_results = orjson.loads(costs_json.read())
    click.echo("| role | what | at the letter's size | limit | margin |")
    click.echo('|---|---|---|---|---|')
    for row in table_rows(control_results, relay_results, cost_results):
        click.echo(f'| {" | ".join(row.cells())} |')
    if plot is not None:
        _plot(control_results, plot)
