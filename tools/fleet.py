"""Starts a deployment and keeps it running until it is interrupted."""

import asyncio
import contextlib
import pathlib
import signal

import click
from galenaquay_standins import deployments
from galenaquay_standins import fleet as fleets


async def run(options: fleets.FleetOptions) -> None:
    """Starts the fleet and stops it after SIGINT or SIGTERM."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    async with fleets.Fleet(options) as fleet:
        for vm in range(options.deployment.vms):
            name = deployments.vm_id(options.deployment, vm)
            click.echo(f'{name:14} {fleet.vm_url(vm)}')
        click.echo('running; press Ctrl-C to stop')
        await stop.wait()


@click.command()
@click.option(
    '--deployment',
    type=click.Choice(sorted(deployments.DEPLOYMENTS_BY_NAME)),
    default='vakaloloma',
)
@click.option('--time-scale', type=float, default=1.0)
def main(deployment: str, time_scale: float) -> None:
    """Starts a deployment as processes on the loopback interface."""
    options = fleets.FleetOptions(
        deployments.DEPLOYMENTS_BY_NAME[deployment],
        pathlib.Path('.run/fleet'),
        time_scale=time_scale,
        settings={'telemetry': {'trace_share': 1.0}},
    )
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run(options))


if __name__ == '__main__':
    main()
