"""Plays seeds: `python -m tests.soak --seed 1 --seeds 50 --seconds 20`."""

import asyncio
import pathlib
import sys
import tempfile

import click

from tests.soak import play

BASE_PORT = 30000
FAILED = 1


@click.command()
@click.option('--seed', default=1, help='First seed.')
@click.option(
    '--seeds', default=1, help='Number of seeds, played one after another.'
)
@click.option(
    '--seconds',
    default=15.0,
    help='Duration of the faults of each seed, in seconds.',
)
@click.option(
    '--base-port', default=BASE_PORT, help='First of the ports that are used.'
)
def main(seed: int, seeds: int, seconds: float, base_port: int) -> None:
    """Plays soak seeds and prints the log folder of each seed that fails."""
    failed = []
    for number in range(seed, seed + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{number}-'))
        try:
            fault_counts, response_counts = asyncio.run(
                play.play(number, seconds, folder, base_port)
            )
        except (AssertionError, OSError) as exc:
            failed.append(number)
            click.echo(f'seed {number} failed: {exc!r}; logs in {folder}')
            continue
        click.echo(
            f'seed {number}: {fault_counts.total()} faults '
            f'of {len(fault_counts)} kinds, '
            f'answers {dict(sorted(response_counts.items()))}'
        )
    click.echo(f'{seeds - len(failed)} passed, {len(failed)} failed')
    sys.exit(FAILED if failed else 0)


if __name__ == '__main__':
    main()
