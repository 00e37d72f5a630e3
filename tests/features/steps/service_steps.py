"""Steps for calls to plain services."""

import asyncio

from behave import given
from behave import then
from behave import when

from tests import support


async def request_ticket(fleet, vm, headers):
    async with fleet.session.post(
        fleet.vm_url(vm) + '/v1/tickets', headers=headers
    ) as response:
        assert response.status == 201, await response.text()
        return (await response.json())['ticket']


async def call_service(fleet, vm, route, headers):
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
def set_service_faults(context, fault):
    faults = {
        'close connections without responding': {'drop_answers': True},
        'close connections without executing calls': {'drop_calls': True},
        'never respond': {'hang': True},
        'respond again': {'drop_answers': False, 'hang': False},
    }[fault]
    fleet = support.fleet_of(context)
    for endpoint in fleet.endpoints('service'):
        support.run(context, fleet.set_faults(endpoint['url'], **faults))


@given('all services are stopped')
def stop_services(context):
    fleet = support.fleet_of(context)
    for endpoint in fleet.endpoints('service'):
        fleet.kill(endpoint['id'])


@given('a ticket from entry process {vm:d}')
def create_ticket(context, vm):
    fleet = support.fleet_of(context)
    context.ticket = support.run(
        context, request_ticket(fleet, vm, support.auth_headers(context))
    )
    context.outcomes = []


@when('the call is sent {count:d} times concurrently over all entry processes')
def send_concurrently(context, count):
    fleet = support.fleet_of(context)
    headers = {
        **support.auth_headers(context),
        'Idempotency-Key': context.ticket,
    }
    route = fleet.options.deployment.service_route
    vms = fleet.options.deployment.vms

    async def send():
        return await asyncio.gather(
            *(
                call_service(fleet, n % vms, route, headers)
                for n in range(count)
            )
        )

    context.outcomes = support.run(context, send())


@when('the call is sent to entry process {vm:d}')
def send_one(context, vm):
    fleet = support.fleet_of(context)
    headers = {
        **support.auth_headers(context),
        'Idempotency-Key': context.ticket,
    }
    route = fleet.options.deployment.service_route
    context.outcomes.append(
        support.run(context, call_service(fleet, vm, route, headers))
    )


@when(
    'the call is sent to entry process {vm:d} with a deadline of '
    '{milliseconds:d} ms'
)
def send_one_with_deadline(context, vm, milliseconds):
    fleet = support.fleet_of(context)
    headers = {
        **support.auth_headers(context),
        'Idempotency-Key': context.ticket,
        'X-Deadline-Ms': str(milliseconds),
    }
    route = fleet.options.deployment.service_route
    context.outcomes.append(
        support.run(context, call_service(fleet, vm, route, headers))
    )


@then('the call was executed {count:d} time')
@then('the call was executed {count:d} times')
def check_runs(context, count):
    runs = support.run(
        context, count_runs(support.fleet_of(context), context.ticket)
    )
    assert runs == count, runs


@then('every caller received the response')
def check_responses(context):
    assert context.outcomes
    for status, body in context.outcomes:
        assert status == 200 and body['key'] == context.ticket, body


@then('the last caller received the error {code}')
def check_error(context, code):
    _, body = context.outcomes[-1]
    assert body['error']['type'] == code, body


@then('the last caller received the outcome {outcome}')
def check_outcome(context, outcome):
    _, body = context.outcomes[-1]
    assert body['error']['outcome'] == outcome, body


@then('all services are started again')
def restart_services(context):
    fleet = support.fleet_of(context)
    for endpoint in fleet.endpoints('service'):
        fleet.start_endpoint(endpoint)
    support.run(context, fleet.wait_listening())
