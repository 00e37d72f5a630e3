"""`galenaquayctl load`: sends an open-loop load and prints latencies."""

import asyncio
import sys
from typing import Any, Final

import click
import orjson

from . import exits
from . import loads

MIXES_BY_NAME: Final = {
    'letter': loads.DESIGN_MIX,
    'short': loads.SHORT_ONLY,
}


@click.command(
    epilog='Example: galenaquayctl load --rate 20 --duration 30 --seed 7 '
    '--key key-of-trust-1 --entry http://127.0.0.1:21010'
)
@click.option('--rate', type=click.FloatRange(min=0.01), default=10.0)
@click.option('--duration', type=click.FloatRange(1, 3600), default=30.0)
@click.option('--seed', type=int, default=1)
@click.option(
    '--mix', type=click.Choice(sorted(MIXES_BY_NAME)), default='letter'
)
@click.option(
    '--entry',
    'entries',
    multiple=True,
    default=['http://127.0.0.1:21010'],
    help='Address of an entry; may be given several times.',
)
@click.option(
    '--key',
    'keys',
    multiple=True,
    required=True,
    help='Credential of an account; may be given several times.',
)
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def load(
    rate: float,
    duration: float,
    seed: int,
    mix: str,
    entries: tuple[str, ...],
    keys: tuple[str, ...],
    as_json: bool,
) -> None:
    """Sends an open-loop load with Poisson arrivals.

    Exits with 1 if an answer was wrong or an admitted request failed.
    """
    plan = loads.Plan(entries, keys, rate, duration, MIXES_BY_NAME[mix], seed)
    result = asyncio.run(loads.run(plan, _show_progress))
    click.echo(err=True)
    summary = summarise(result, seed)
    if as_json:
        click.echo(orjson.dumps(summary).decode())
    else:
        _show_table(summary)
    if result.count('wrong') or result.count('failed'):
        sys.exit(exits.Exit.NEGATIVE)


def _show_progress(result: loads.Result) -> None:
    click.echo(
        f'\rsent {result.sent}, ended {result.ended}', nl=False, err=True
    )


def summarise(result: loads.Result, seed: int) -> dict[str, Any]:
    """Returns counts and latencies of a load, by band of prompt lengths."""
    return {
        'seed': seed,
        'sent': result.sent,
        'inter_token_p95_s': result.inter_token_s(95),
        'codes': result.codes,
        'bands': {
            band.name.lower(): {
                'p50_s': band_result.ttft_s(50),
                'p95_s': band_result.ttft_s(95),
                'p99_s': band_result.ttft_s(99),
                'completed': band_result.completed,
                'refused': band_result.refused,
                'failed': band_result.failed,
                'missed_time': band_result.missed_time,
                'wrong': band_result.wrong,
            }
            for band, band_result in result.by_band.items()
        },
    }


def _show_table(summary: dict[str, Any]) -> None:
    click.echo('band    TTFT p50   p95      p99      completed refused failed')
    for name, band in summary['bands'].items():
        click.echo(
            f'{name:7} {band["p50_s"]:7.3f} s {band["p95_s"]:7.3f} s '
            f'{band["p99_s"]:7.3f} s {band["completed"]:8} '
            f'{band["refused"]:7} {band["failed"]:6}'
        )
    click.echo(f'between tokens p95 {summary["inter_token_p95_s"]:.3f} s')
    for name, count in summary['codes'].items():
        click.echo(f'{name}: {count}')
