"""Steps for entry processes of the shared fleet and for their platform."""

import asyncio
import signal
import time

from behave import given
from behave import then
from behave import when
from galenaquay.limits import ledger
from galenaquay_standins import deployments

from tests import support


@when('entry process {vm:d} gets SIGTERM')
def stop_entry(context, vm):
    fleet = support.fleet_of(context)
    name = deployments.vm_id(fleet.options.deployment, vm)
    fleet.send_signal(name, signal.SIGTERM)

    async def refuses():
        url = fleet.vm_url(vm) + '/readyz'
        async with fleet.session.get(url) as response:
            return response.status == 503

    assert support.run(context, support.wait_until(refuses))


@then('entry process {vm:d} exits with status 0')
def check_entry_exit(context, vm):
    fleet = support.fleet_of(context)
    name = deployments.vm_id(fleet.options.deployment, vm)
    status = support.run(context, fleet.wait_for_exit(name, support.WAIT_S))
    assert status == 0, status


@then('entry process {vm:d} refuses a new prompt with {code}')
def entry_refuses(context, vm, code):
    result = support.run(
        context,
        support.send_prompt(
            support.fleet_of(context),
            vm,
            support.make_prompt(context, 1000, 4),
        ),
    )
    assert result.state.error['type'] == code, result.state.error
    assert result.state.error['outcome'] == 'NOT_RUN'


@when(
    'entry process {vm:d} is paused past its leases while the others get '
    'prompts'
)
def pause_entry(context, vm):
    fleet = support.fleet_of(context)
    name = deployments.vm_id(fleet.options.deployment, vm)

    async def send_meanwhile():
        fleet.send_signal(name, signal.SIGSTOP)
        until_s = time.monotonic() + ledger.LENDER_LEASE_S + 1
        while time.monotonic() < until_s:
            # These prompts use up the memory that the other entry processes
            # may grant at this time.
            prompts = [support.make_prompt(context, 2000, 400)] * 8
            others = [v for v in support.running_vms(fleet) if v != vm]
            context.tasks.extend(
                asyncio.create_task(
                    support.send_prompt(fleet, others[n % 3], p)
                )
                for n, p in enumerate(prompts)
            )
            await asyncio.sleep(1)
        fleet.send_signal(name, signal.SIGCONT)

    support.run(context, send_meanwhile())


@when('entry process {vm:d} is killed')
@given('entry process {vm:d} is killed')
def kill_entry(context, vm):
    fleet = support.fleet_of(context)
    fleet.kill(deployments.vm_id(fleet.options.deployment, vm))


@when('entry process {vm:d} is removed from the VM list')
def remove_from_vm_list(context, vm):
    fleet = support.fleet_of(context)
    name = deployments.vm_id(fleet.options.deployment, vm)
    fleet.vms['vms'] = [v for v in fleet.vms['vms'] if v['id'] != name]
    support.run(context, fleet.publish_vms())


@when('entry process {vm:d} is restarted')
def start_entry(context, vm):
    fleet = support.fleet_of(context)
    fleet.start_vm(vm)

    async def serves():
        try:
            status = await fleet.status(vm)
        except OSError:
            return False
        return status['config_version'] > 0

    assert support.run(context, support.wait_until(serves))


@when('the platform becomes unavailable')
def make_platform_unavailable(context):
    fleet = support.fleet_of(context)
    support.run(context, fleet.set_faults(fleet.platform_url(''), down=True))


@when('the platform serves an older configuration than the one in force')
def serve_older_config(context):
    fleet = support.fleet_of(context)
    support.publish_and_wait(context)
    support.run(
        context, fleet.set_faults(fleet.platform_url(''), fall_back=True)
    )


@then('entry process {vm:d} is ready only with the newest configuration')
def check_ready_with_newest(context, vm):
    fleet = support.fleet_of(context)

    async def is_ready():
        try:
            url = fleet.vm_url(vm) + '/readyz'
            async with fleet.session.get(url) as response:
                return response.status == 200
        except OSError:
            return False

    assert support.run(context, support.wait_until(is_ready))
    status = support.run(context, fleet.status(vm))
    assert status['config_version'] == fleet.config['version'], status


@then('every entry process applies the newest configuration')
def newest_in_force(context):
    fleet = support.fleet_of(context)
    version = fleet.config['version']
    assert support.run(
        context,
        support.wait_until(lambda: support.is_config_in_force(fleet, version)),
    )


@when('a configuration whose routes name missing pools is published')
def publish_invalid_config(context):
    fleet = support.fleet_of(context)
    context.version = fleet.config['version']
    invalid = {**fleet.config, 'version': context.version + 1, 'pools': []}
    valid = fleet.config
    fleet.config = invalid
    support.run(context, fleet.publish_config())
    fleet.config = {**valid, 'version': invalid['version']}


@then(
    'every entry process keeps the previous configuration and the reason is '
    'shown'
)
def check_previous_kept(context):
    fleet = support.fleet_of(context)

    async def kept():
        reports = 0
        for vm in range(fleet.options.deployment.vms):
            status = await fleet.status(vm)
            if status['config_version'] != context.version:
                return False
            reports += any('no pool' in r for r in status['refusals'])
        return reports > 0

    assert support.run(context, support.wait_until(kept))
