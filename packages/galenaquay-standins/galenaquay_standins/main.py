"""Command line that runs one stand-in in a process."""

import asyncio
import pathlib
from typing import Final

from aiohttp import web
import click
import orjson
import uvloop

from . import engine as engines
from . import platform as platforms
from . import service as services

# Time that open connections have to finish during shutdown, in seconds.
STOP_S: Final = 0.2


def _serve(app: web.Application, host: str, port: int) -> None:
    asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
    web.run_app(
        app,
        host=host,
        port=port,
        print=None,
        access_log=None,
        shutdown_timeout=STOP_S,
        handler_cancellation=True,
    )


@click.group()
def main() -> None:
    """Runs a stand-in for a system that galenaquay connects to."""


@main.command()
@click.option('--host', default='127.0.0.1')
@click.option('--port', type=int, required=True)
@click.option('--capacity-tokens', type=int, default=450_000)
@click.option('--prefill-tokens-s', type=float, default=40_000.0)
@click.option('--time-scale', type=float, default=1.0)
@click.option('--cold', is_flag=True)
@click.option('--ignore-fencing', is_flag=True)
@click.option('--seed', type=int, default=0)
def engine(
    host: str,
    port: int,
    capacity_tokens: int,
    prefill_tokens_s: float,
    time_scale: float,
    cold: bool,
    ignore_fencing: bool,
    seed: int,
) -> None:
    """Runs a model engine."""
    stand_in = engines.create_engine(
        capacity_tokens,
        prefill_tokens_s,
        time_scale,
        cold=cold,
        honours_fencing=not ignore_fencing,
        seed=seed,
    )
    _serve(stand_in.app(), host, port)


@main.command()
@click.option('--host', default='127.0.0.1')
@click.option('--port', type=int, required=True)
def service(host: str, port: int) -> None:
    """Runs a plain service."""
    _serve(services.Service().app(), host, port)


@main.command()
@click.option('--host', default='127.0.0.1')
@click.option('--port', type=int, required=True)
@click.option('--config', type=click.Path(path_type=pathlib.Path))
@click.option('--vms', type=click.Path(path_type=pathlib.Path))
@click.option('--reads-s', type=float, default=2000.0)
def platform(
    host: str,
    port: int,
    config: pathlib.Path,
    vms: pathlib.Path,
    reads_s: float,
) -> None:
    """Runs the platform: the configuration and the list of VMs."""
    stand_in = platforms.Platform(
        orjson.loads(config.read_bytes()),
        orjson.loads(vms.read_bytes()),
        reads_s,
    )
    _serve(stand_in.app(), host, port)


if __name__ == '__main__':
    main()
