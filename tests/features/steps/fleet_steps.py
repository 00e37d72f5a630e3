"""Steps that send requests to a small fleet of processes and inject faults."""

import asyncio
import signal
import time

from behave import given
from behave import then
from behave import when
from galenaquay.limits import ledger
from galenaquay_standins import deployments
from galenaquayctl import clients

from tests import support


def publish_and_wait(context):
    fleet = support.fleet_of(context)
    version = support.run(context, fleet.publish_config())
    assert support.run(
        context,
        support.wait_until(lambda: support.is_config_in_force(fleet, version)),
    )


# Requests.


@given(
    'prompts are sent with account "{account}", which has its whole retry '
    'budget'
)
def choose_account(context, account):
    context.account = account


@when(
    '{count:d} prompts of {tokens:d} tokens are spread over all entry '
    'processes'
)
def send_everywhere(context, count, tokens):
    fleet = support.fleet_of(context)
    vms = fleet.options.deployment.vms

    async def send_all():
        return await asyncio.gather(
            *(
                support.send_prompt(
                    fleet, n % vms, support.make_prompt(context, tokens, 12)
                )
                for n in range(count)
            )
        )

    context.results = support.run(context, send_all())


@when('a prompt of {tokens:d} tokens is sent on route "{route}"')
def send_on_route(context, tokens, route):
    prompt = support.make_prompt(context, tokens, 12, route)
    context.results = [
        support.run(
            context, support.send_prompt(support.fleet_of(context), 0, prompt)
        )
    ]


@when('a prompt is sent with a deadline of {milliseconds:d} ms')
def send_with_deadline(context, milliseconds):
    prompt = support.make_prompt(context, 1000, 12, deadline=milliseconds)
    context.results = [
        support.run(
            context, support.send_prompt(support.fleet_of(context), 0, prompt)
        )
    ]


@when('a prompt of {tokens:d} tokens is sent and its caller disconnects')
def send_and_disconnect(context, tokens):
    fleet = support.fleet_of(context)
    prompt = support.make_prompt(context, tokens, 4000)

    async def disconnect():
        state = clients.StreamState()
        stream = clients.stream(fleet.session, fleet.vm_url(0), prompt, state)
        await anext(stream)
        await stream.aclose()

    support.run(context, disconnect())


@when('{count:d} long responses are started at entry process {vm:d}')
def begin_long(context, count, vm):
    fleet = support.fleet_of(context)

    async def begin():
        context.tasks = [
            asyncio.create_task(
                support.send_prompt(
                    fleet, vm, support.make_prompt(context, 1000, 600)
                )
            )
            for _ in range(count)
        ]

        async def all_run():
            status = await fleet.status(vm)
            return status['requests'] >= count

        return await support.wait_until(all_run)

    assert support.run(context, begin())


@when('a prompt of {tokens:d} tokens is started on route "{route}"')
def begin_on_route(context, tokens, route):
    fleet = support.fleet_of(context)
    prompt = support.make_prompt(context, tokens, 12, route)

    async def begin():
        context.tasks = [
            asyncio.create_task(support.send_prompt(fleet, 0, prompt))
        ]
        # Yields to the event loop so that the task starts sending the prompt.
        await asyncio.sleep(0)

    support.run(context, begin())


@when('{count:d} short prompts are sent while the long prompt runs')
def send_short_prompts(context, count):
    fleet = support.fleet_of(context)

    async def begin():
        for number in range(count):
            prompt = support.make_prompt(context, 1000, 8)
            vm = number % fleet.options.deployment.vms
            context.tasks.append(
                asyncio.create_task(support.send_prompt(fleet, vm, prompt))
            )

    support.run(context, begin())


@then('all started requests end')
def wait_for_requests(context):
    async def gather():
        return await asyncio.gather(*context.tasks)

    context.results = support.run(context, gather())


@then('every response has the expected text')
def check_correct(context):
    wrong = [
        a.state.error or a.text[:40]
        for a in context.results
        if not a.is_correct
    ]
    assert context.results and not wrong, wrong[:5]


@then('every response has the expected text or an error')
def check_correct_or_failed(context):
    for result in context.results:
        assert result.is_correct or result.state.error is not None
    assert any(result.is_correct for result in context.results)


@then('the prompt is refused with {code}')
def check_code(context, code):
    error = context.results[-1].state.error
    assert error is not None and error['type'] == code, error


# Engines.


@given('engines respond late and sometimes with the id of another request')
def set_late_and_crossed(context):
    fleet = support.fleet_of(context)
    for endpoint in fleet.endpoints('engine'):
        support.run(
            context,
            fleet.set_faults(endpoint['url'], late_s=0.05, crossed=0.05),
        )


@given('all engines are paused')
def pause_engines(context):
    fleet = support.fleet_of(context)
    for endpoint in fleet.endpoints('engine'):
        support.run(context, fleet.set_faults(endpoint['url'], action='pause'))


@given('engines lose every cancellation')
def lose_cancels(context):
    fleet = support.fleet_of(context)
    for endpoint in fleet.endpoints('engine'):
        support.run(
            context, fleet.set_faults(endpoint['url'], lose_cancels=True)
        )


@given('all engines are cold and every entry process knows it')
def set_cold(context):
    fleet = support.fleet_of(context)
    for endpoint in fleet.endpoints('engine'):
        support.run(
            context, fleet.set_faults(endpoint['url'], action='go_cold')
        )

    async def is_known_cold():
        for vm in range(fleet.options.deployment.vms):
            status = await fleet.status(vm)
            if not all(e['is_cold'] for e in status['engines']):
                return False
        return True

    assert support.run(context, support.wait_until(is_known_cold))
    context.before = support.run(context, support.engine_counters(fleet))


@when('engines process cancellations again')
def restore_cancels(context):
    fleet = support.fleet_of(context)
    for endpoint in fleet.endpoints('engine'):
        support.run(
            context, fleet.set_faults(endpoint['url'], lose_cancels=False)
        )


@when('an engine that runs a request dies')
def kill_running_engine(context):
    fleet = support.fleet_of(context)

    async def kill():
        for endpoint in fleet.endpoints('engine'):
            counted = await fleet.counters(endpoint['url'])
            if counted['held_tokens']:
                await fleet.set_faults(endpoint['url'], action='die')
                return True
        return False

    assert support.run(context, support.wait_until(kill))


@then('no engine exceeded its memory or its cold limit')
def check_limits(context):
    counted = support.run(
        context, support.engine_counters(support.fleet_of(context))
    )
    for name, counters in counted.items():
        assert counters['overruns'] == 0, (name, counters)
        before = context.before[name]['cold_over_limit']
        assert counters['cold_over_limit'] == before, (name, counters)


@then('eventually all memory is free at every engine and at its owner')
def check_memory_free(context):
    fleet = support.fleet_of(context)

    async def is_memory_free():
        counted = await support.engine_counters(fleet)
        if any(c['held_tokens'] for c in counted.values()):
            return False
        # Load reports received before the engines were empty are outdated.
        empty_at_s = time.monotonic()
        return await support.wait_until(lambda: owners_report_free(empty_at_s))

    async def owners_report_free(empty_at_s):
        for vm in support.running_vms(fleet):
            status = await fleet.status(vm)
            for load in status['engines']:
                if load['heard_at_s'] < empty_at_s:
                    return False
                if load['free_tokens'] != fleet.options.capacity_tokens:
                    return False
        return True

    assert support.run(context, support.wait_until(is_memory_free))


# Zones and endpoints.


@when('zone "{zone}" is labelled "{label}"')
def label_zone(context, zone, label):
    fleet = support.fleet_of(context)
    key, value = label.split('=')
    for published in fleet.config['zones']:
        if published['name'] == zone:
            published['labels'] = {key: value}
    publish_and_wait(context)


@when('endpoint "{endpoint_id}" is labelled "{label}"')
def label_endpoint(context, endpoint_id, label):
    fleet = support.fleet_of(context)
    key, value = label.split('=')
    for published in fleet.config['endpoints']:
        if published['id'] == endpoint_id:
            published['labels'][key] = value
    publish_and_wait(context)


@then('zone "{zone}" receives no new requests')
def check_zone_unused(context, zone):
    check_unused(context, lambda e: e['zone'] == zone)


@then('endpoint "{endpoint_id}" receives no new requests')
def check_endpoint_unused(context, endpoint_id):
    check_unused(context, lambda e: e['id'] == endpoint_id)


def check_unused(context, is_selected):
    fleet = support.fleet_of(context)
    names = [e['id'] for e in fleet.endpoints('engine') if is_selected(e)]
    before = support.run(context, support.engine_counters(fleet))
    send_everywhere(context, 40, 1000)
    after = support.run(context, support.engine_counters(fleet))
    check_correct(context)
    assert names
    for name in names:
        assert before[name]['started'] == after[name]['started'], name


@then('zone "{zone}" receives requests again')
def check_zone_used(context, zone):
    fleet = support.fleet_of(context)

    async def used():
        before = await support.engine_counters(fleet)
        for n in range(8):
            await support.send_prompt(
                fleet, n % 4, support.make_prompt(context, 1000, 4)
            )
        after = await support.engine_counters(fleet)
        return any(
            after[e['id']]['started'] > before[e['id']]['started']
            for e in fleet.endpoints('engine')
            if e['zone'] == zone
        )

    assert support.run(context, support.wait_until(used))


# Entry processes.


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
    publish_and_wait(context)
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
