"""`galenaquayctl bench`: runs one benchmark and checks its targets."""

import sys

import click
import orjson

from . import exits
from .benches import cold as _cold  # noqa: F401
from .benches import control as _control  # noqa: F401
from .benches import costs as _costs  # noqa: F401
from .benches import memory as _memory  # noqa: F401
from .benches import registry
from .benches import relay as _relay  # noqa: F401
from .benches import slow_readers as _slow_readers  # noqa: F401
from .benches import ttft as _ttft  # noqa: F401
from .benches import withdrawal as _withdrawal  # noqa: F401


@click.command(epilog='Example: galenaquayctl bench relay --seed 7 --json')
@click.argument('name', type=click.Choice(sorted(registry.BENCHES_BY_NAME)))
@click.option('--seed', type=int, default=1, show_default=True)
@click.option('--duration', type=click.FloatRange(1, 600), default=20.0)
@click.option('--deployment', default='vakaloloma', show_default=True)
@click.option('--json', 'as_json', is_flag=True, help='Print one JSON object.')
def bench(
    name: str, seed: int, duration: float, deployment: str, as_json: bool
) -> None:
    """Runs a bench; exits with 1 if a target is missed."""
    benchmark = registry.BENCHES_BY_NAME[name]
    figures = benchmark.run(registry.Options(seed, deployment, duration))
    figures = {**figures, 'seed': seed}
    missed = [t for t in benchmark.targets if not t.is_met(figures)]
    if as_json:
        click.echo(orjson.dumps(figures).decode())
    else:
        for key, value in figures.items():
            click.echo(f'{key:32} {value}')
    for target in missed:
        click.echo(
            f'missed: {target.key} {target.comparison} {target.bound}',
            err=True,
        )
    sys.exit(exits.Exit.NEGATIVE if missed else exits.Exit.OK)
