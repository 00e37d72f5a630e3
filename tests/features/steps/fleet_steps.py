"""Steps that send requests to a small fleet of processes and inject faults."""

import asyncio
import time

from behave import given
from behave import then
from behave import when
from galenaquayctl import clients

from tests import support


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
    support.publish_and_wait(context)


@when('endpoint "{endpoint_id}" is labelled "{label}"')
def label_endpoint(context, endpoint_id, label):
    fleet = support.fleet_of(context)
    key, value = label.split('=')
    for published in fleet.config['endpoints']:
        if published['id'] == endpoint_id:
            published['labels'][key] = value
    support.publish_and_wait(context)


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
