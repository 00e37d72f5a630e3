"""Starts the fleet that features share, and a platform per scenario."""

import asyncio
import dataclasses
import itertools
import os
import pathlib
import sys

from galenaquay_standins import deployments
from galenaquay_standins import fleet as fleets

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))
from tests import platform_support  # noqa: E402

SMALL_DEPLOYMENT = dataclasses.replace(
    deployments.VAKALOLOMA,
    zones=('lautoka', 'nadi'),
    engines=4,
    services=2,
    vms=4,
)
TIME_SCALE = 10.0
# Runs of the tests at the same time on one machine need different sets of
# ports, 0 or 1.
PORT_SET = int(os.environ.get('GALENAQUAY_TEST_PORT_SET', '0'))
# Part of the scenarios that this run of behave plays beside other parts; empty
# if it plays alone.
PART = os.environ.get('GALENAQUAY_TEST_PART', '')
# First port of each scenario tagged `platform`. These ports are below those of
# the shared fleet. There are more scenarios than such ports; by the time that
# a port is used again, its first scenario has long ended.
FLEET_PORT = 25000 + 1000 * PORT_SET
FIRST_PORT = 7000 + 8900 * PORT_SET
PLATFORM_PORTS = itertools.cycle(
    {
        'platform': range(FIRST_PORT, FIRST_PORT + 6600, 150),
        'faults': range(FIRST_PORT + 6600, FIRST_PORT + 8800, 150),
    }.get(PART, range(FIRST_PORT, FIRST_PORT + 8800, 150))
)


def before_all(context):
    context.loop = asyncio.new_event_loop()
    context.shared = {}


def before_feature(context, feature):
    if 'fleet' in feature.tags and 'fleet' not in context.shared:
        options = fleets.FleetOptions(
            SMALL_DEPLOYMENT,
            ROOT / '.run' / 'tests',
            base_port=FLEET_PORT,
            time_scale=TIME_SCALE,
            settings={
                'telemetry': {'trace_share': 1.0},
                'platform': {
                    'url': f'http://127.0.0.1:{FLEET_PORT}',
                    'watch_s': 2.0,
                },
            },
        )
        fleet = fleets.Fleet(options)
        context.shared['fleet'] = fleet
        context.loop.run_until_complete(fleet.start())


def before_scenario(context, scenario):
    if 'platform' in scenario.effective_tags:
        port = next(PLATFORM_PORTS)
        fixture = platform_support.PlatformFixture(
            ROOT / '.run' / 'platform' / str(port), port
        )
        context.fixture = fixture
        context.loop.run_until_complete(fixture.start())


def after_scenario(context, scenario):
    if 'platform' in scenario.effective_tags:
        context.loop.run_until_complete(context.fixture.stop())
    fleet = context.shared.get('fleet')
    if fleet is not None:
        context.loop.run_until_complete(restore(fleet))


async def restore(fleet):
    """Clears the faults and labels of a scenario and restarts stopped VMs."""
    await fleet.set_faults(
        fleet.platform_url(''), down=False, stale=False, fall_back=False
    )
    for endpoint in fleet.endpoints('engine'):
        await fleet.set_faults(
            endpoint['url'],
            action='unpause',
            cut=False,
            late_s=0.0,
            crossed=0.0,
            lose_cancels=False,
        )
    for endpoint in fleet.endpoints('service'):
        await fleet.set_faults(
            endpoint['url'],
            late_s=0.0,
            drop_answers=False,
            drop_calls=False,
            hang=False,
        )
    for vm in range(SMALL_DEPLOYMENT.vms):
        name = deployments.vm_id(SMALL_DEPLOYMENT, vm)
        process = fleet.processes_by_name.get(name)
        if process is None or process.poll() is not None:
            fleet.start_vm(vm)
    listed = deployments.vm_list(SMALL_DEPLOYMENT, fleet.ports)['vms']
    if fleet.vms['vms'] != listed:
        fleet.vms['vms'] = listed
        await fleet.publish_vms()
    changed = False
    for zone in fleet.config['zones']:
        changed = bool(zone.pop('labels', None)) or changed
    for endpoint in fleet.config['endpoints']:
        changed = bool(endpoint['labels'].pop('state', None)) or changed
    if changed:
        await fleet.publish_config()
    await fleet.wait_ready()


def after_all(context):
    fleet = context.shared.get('fleet')
    if fleet is not None:
        context.loop.run_until_complete(fleet.stop())
    context.loop.run_until_complete(cancel_all())
    context.loop.close()


async def cancel_all():
    """Cancels what is still running.

    Requests that a stand-in never answers are.
    """
    pending = asyncio.all_tasks() - {asyncio.current_task()}
    for task in pending:
        task.cancel()
    await asyncio.gather(*pending, return_exceptions=True)
