"""Steps for calls of plain services."""

import asyncio

from behave import given
from behave import then
from behave import when

from tests import support


async def take_ticket(fleet, vm, headers):
    async with fleet.session.post(
        fleet.vm_url(vm) + '/v1/tickets', headers=headers
    ) as response:
        assert response.status == 201, await response.text()
        return (await response.json())['ticket']


async def call(fleet, vm, route, headers):
    url = f'{fleet.vm_url(vm)}/v1/services/{route}/release'
    async with fleet.session.post(url, json={}, headers=headers) as response:
        body = await response.json()
        return response.status, body


async def count_runs(fleet, ticket):
    runs = 0
    for endpoint in fleet.endpoints('service'):
        runs += (await fleet.counters(endpoint['url'])).get(ticket, 0)
    return runs


@given('services {fault}')
@when('services {fault}')
def break_services(context, fault):
    faults = {
        'drop their answers': {'drop_answers': True},
        'drop calls unread': {'drop_calls': True},
        'never answer': {'hang': True},
        'answer again': {'drop_answers': False, 'hang': False},
    }[fault]
    fleet = support.fleet_of(context)
    for endpoint in fleet.endpoints('service'):
        support.run(context, fleet.set_faults(endpoint['url'], **faults))


@given('no service listens')
def no_service(context):
    fleet = support.fleet_of(context)
    for endpoint in fleet.endpoints('service'):
        fleet.kill(endpoint['id'])


@given('a ticket from entry {vm:d}')
def take(context, vm):
    fleet = support.fleet_of(context)
    context.ticket = support.run(
        context, take_ticket(fleet, vm, support.headers_of(context))
    )
    context.outcomes = []


@when('the call is sent {count:d} times at once over all entries')
def send_many(context, count):
    fleet = support.fleet_of(context)
    headers = {
        **support.headers_of(context),
        'Idempotency-Key': context.ticket,
    }
    route = fleet.options.deployment.service_route
    vms = fleet.options.deployment.vms

    async def send():
        return await asyncio.gather(
            *(call(fleet, n % vms, route, headers) for n in range(count))
        )

    context.outcomes = support.run(context, send())


@when('the call is sent to entry {vm:d}')
def send_one(context, vm):
    fleet = support.fleet_of(context)
    headers = {
        **support.headers_of(context),
        'Idempotency-Key': context.ticket,
    }
    route = fleet.options.deployment.service_route
    context.outcomes.append(
        support.run(context, call(fleet, vm, route, headers))
    )


@when('the call is sent to entry {vm:d} with {milliseconds:d} ms left')
def send_one_late(context, vm, milliseconds):
    fleet = support.fleet_of(context)
    headers = {
        **support.headers_of(context),
        'Idempotency-Key': context.ticket,
        'X-Deadline-Ms': str(milliseconds),
    }
    route = fleet.options.deployment.service_route
    context.outcomes.append(
        support.run(context, call(fleet, vm, route, headers))
    )


@when('a lookup is sent to entry {vm:d}')
def send_lookup(context, vm):
    fleet = support.fleet_of(context)
    context.outcomes = [
        support.run(
            context, call(fleet, vm, 'lookup', support.headers_of(context))
        )
    ]


@then('it ran {count:d} time')
@then('it ran {count:d} times')
def check_runs(context, count):
    runs = support.run(
        context, count_runs(support.fleet_of(context), context.ticket)
    )
    assert runs == count, runs


@then('every caller got the answer')
def all_answered(context):
    assert context.outcomes
    for status, body in context.outcomes:
        assert status == 200 and body['key'] == context.ticket, body


@then('the last caller is told {code}')
def told(context, code):
    _, body = context.outcomes[-1]
    assert body['error']['type'] == code, body


@then('the outcome told is {outcome}')
def told_outcome(context, outcome):
    _, body = context.outcomes[-1]
    assert body['error']['outcome'] == outcome, body


@then('services listen again')
def services_again(context):
    fleet = support.fleet_of(context)
    for endpoint in fleet.endpoints('service'):
        fleet.start_endpoint(endpoint)
    support.run(context, fleet.wait_listening())
