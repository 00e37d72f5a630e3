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
@click.option('--seed', default=1, help='The first seed.')
@click.option('--seeds', default=1, help='How many seeds, one by one.')
@click.option('--seconds', default=15.0, help='Time that faults come for.')
@click.option('--base-port', default=BASE_PORT, help='First port used.')
def main(seed: int, seeds: int, seconds: float, base_port: int) -> None:
    """Plays a soak; keeps the logs of a seed that fails."""
    failed = []
    for number in range(seed, seed + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{number}-'))
        try:
            counts, answered = asyncio.run(
                play.play(number, seconds, folder, base_port)
            )
        except (AssertionError, OSError) as exc:
            failed.append(number)
            click.echo(f'seed {number} failed: {exc!r}; logs in {folder}')
            continue
        click.echo(
            f'seed {number}: {counts.total()} faults of {len(counts)} kinds, '
            f'answers {dict(sorted(answered.items()))}'
        )
    click.echo(f'{seeds - len(failed)} passed, {len(failed)} failed')
    sys.exit(FAILED if failed else 0)


if __name__ == '__main__':
    main()
