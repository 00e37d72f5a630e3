"""`galenaquayctl ask`: sends one prompt and prints the streamed response."""

import asyncio
import sys
import time
from typing import IO

import click

from . import clients
from . import exits


@click.command(
    epilog='Example: echo "When is the report due?" | galenaquayctl ask '
    '--route question --key key-of-trust-1'
)
@click.argument('file', type=click.File('r'), default='-')
@click.option('--route', required=True, help='Route, as a model name.')
@click.option('--key', required=True, envvar='GALENAQUAY_KEY')
@click.option('--entry', default='http://127.0.0.1:21010', show_default=True)
@click.option('--max-tokens', type=click.IntRange(min=1), default=256)
@click.option('--deadline-ms', type=click.IntRange(min=0), default=0)
def ask(
    file: IO[str],
    route: str,
    key: str,
    entry: str,
    max_tokens: int,
    deadline_ms: int,
) -> None:
    """Sends a prompt from a file or standard input.

    The answer goes to standard output as it comes; what it took goes to
    standard error. Exits with 3 if the request failed.
    """
    prompt = clients.Prompt(route, file.read(), max_tokens, key, deadline_ms)
    try:
        state, ttft_s = asyncio.run(_ask(entry, prompt))
    except clients.ClientError as exc:
        click.echo(str(exc), err=True)
        sys.exit(exits.Exit.FAILED)
    click.echo()
    if state.error is not None or not state.is_complete:
        click.echo(
            f'failed: {state.error or "the response ended early"}', err=True
        )
        sys.exit(exits.Exit.FAILED)
    click.echo(
        f'request {state.request_id} on {state.ran_on}, first token after '
        f'{ttft_s:.3f} s, {state.usage.get("total_tokens", 0)} tokens',
        err=True,
    )


async def _ask(
    entry: str, prompt: clients.Prompt
) -> tuple[clients.StreamState, float]:
    state = clients.StreamState()
    started_s = time.monotonic()
    ttft_s = 0.0
    async with clients.session() as http_session:
        async for at_s, text in clients.stream(
            http_session, entry, prompt, state
        ):
            ttft_s = ttft_s or at_s - started_s
            click.echo(text, nl=False)
    return state, ttft_s
