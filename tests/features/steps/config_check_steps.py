"""Steps for `galenaquayctl config check`."""

import asyncio
import copy
import json
import pathlib
import tempfile

from behave import given
from behave import then
from behave import when
from click import testing
from galenaquay_standins import deployments
from galenaquayctl import main as ctl
import yaml

from tests import platform_asking
from tests import platform_support as support


def run_check(context, text, *options):
    """Runs the check on a file with a text; keeps what it prints."""
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / 'next'
        path.write_text(text)
        arguments = ['config', 'check', str(path), *options]
        context.plain = testing.CliRunner().invoke(ctl.main, arguments)
        result = testing.CliRunner().invoke(ctl.main, [*arguments, '--json'])
    assert result.exit_code == context.plain.exit_code, result.output
    context.status = result.exit_code
    context.output = result.output
    context.result = {}
    if result.exit_code != 3:
        context.result = json.loads(result.output)


def check_against(context, new, old):
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / 'old.json'
        path.write_text(json.dumps(old))
        run_check(context, json.dumps(new), '--against', str(path))


def sound():
    # The parts of the configuration are shared with other scenarios.
    body = copy.deepcopy(support.configuration())
    # A route whose requests are not repeated needs one attempt.
    body['routes'][5]['maxAttempts'] = 1
    return body


def edited(edit):
    body = sound()
    edit(body)
    return json.dumps(body)


def set_in(*path_and_value):
    *path, last, value = path_and_value

    def edit(body):
        for part in path:
            body = body[part]
        body[last] = value

    return edit


def remove(*path_and_last):
    *path, last = path_and_last

    def edit(body):
        for part in path:
            body = body[part]
        del body[last]

    return edit


def append(name, value):
    return lambda body: body[name].append(value)


FAULTS = {
    'a route without a host': remove('routes', 1, 'host'),
    'an unknown kind of route': set_in('routes', 2, 'kind', 'odd'),
    'an engine without memory': remove('services', 1, 'engine', 'kvCapacity'),
    'a limit that is a text': set_in('limits', 'maxBodyBytes', 'maxBodyBytes'),
    'a version that is a text': set_in('version', 'two'),
    'keys that are a text': set_in('tenants', 0, 'apiKeys', 'secret'),
    'a text as public': set_in('routes', 0, 'public', 'false'),
    'a prefix that is a list': set_in('routes', 0, 'prefix', ['/a']),
    'weights of zero': set_in(
        'routes',
        0,
        'backends',
        [{'service': support.SERVICE, 'weight': 0}] * 2,
    ),
    'a route twice': append(
        'routes',
        support.route('again', '/once/', 'idempotent', support.SERVICE),
    ),
    'a route twice in capitals': append(
        'routes',
        support.route(
            'again',
            '/once/',
            'idempotent',
            support.SERVICE,
            host='SHOP.example:80',
        ),
    ),
    'a prefix without a slash': set_in('routes', 1, 'prefix', 'look'),
    'a route to an unknown service': set_in('routes', 1, 'service', 'nowhere'),
    'a service without a route': append('services', {'name': 'idle'}),
    'a service twice': append('services', {'name': support.SERVICE}),
    'an account without keys': append(
        'tenants', {'name': 'mute', 'apiKeys': []}
    ),
    'one key of two accounts': append(
        'tenants', {'name': 'twin', 'apiKeys': [support.KEY]}
    ),
    'a target over the time limit': set_in(
        'routes', 0, 'targetLatencyMs', 5000
    ),
    'a pause over the time limit': set_in('routes', 4, 'gapAimMs', 9000),
    'attempts that are never made': set_in('routes', 0, 'maxAttempts', 2),
    'attempts over the retry budget': set_in('routes', 1, 'maxAttempts', 7),
    'answers larger than an engine': set_in(
        'services', 1, 'engine', 'kvCapacity', 1000
    ),
    'engines without slots': set_in('services', 1, 'engine', 'slots', 0),
}


@when('a sound configuration is checked')
def step_sound(context):
    run_check(context, json.dumps(sound()))


@when('a configuration with {fault} is checked')
def step_fault(context, fault):
    if fault == 'no closing brace':
        run_check(context, json.dumps(sound())[:-1])
    else:
        run_check(context, edited(FAULTS[fault]))


@then('the check exits with {status:d}')
def step_status(context, status):
    assert context.status == status, (context.status, context.output)


@then('the check reports nothing')
def step_nothing(context):
    assert context.result['findings'] == [], context.output


@then('the check reports {article:w} {severity:w} at "{place}" with "{text}"')
def step_reports(context, article, severity, place, text):
    findings = context.result['findings']
    matching = [
        finding
        for finding in findings
        if finding['severity'] == severity
        and finding['place'] == place
        and text in finding['text']
    ]
    assert matching, findings
    for finding in matching:
        assert finding['text'] in context.plain.output, context.plain.output


@then('the check reports {article:w} {severity:w} at "" with "{text}"')
def step_reports_whole(context, article, severity, text):
    step_reports(context, article, severity, '', text)


@when('a configuration is checked against the version in force')
def step_against(context):
    old = sound()
    new = sound()
    new['version'] = 2
    del new['routes'][1]
    new['routes'][0]['timeoutMs'] = 3000
    new['routes'].append(
        support.route('extra', '/extra/', 'idempotent', support.SERVICE)
    )
    new['services'][1] = {
        **new['services'][1],
        'engine': {**support.ENGINE, 'slots': 4},
    }
    context.secrets = [support.KEY, 'next-key']
    new['tenants'][0]['apiKeys'] = ['next-key']
    check_against(context, new, old)


@then('the check reports the changes')
def step_changes(context):
    expected = [row['change'] for row in context.table]
    assert sorted(context.result['changes']) == sorted(expected), (
        context.result
    )
    for line in expected:
        assert f'change: {line}' in context.plain.output


@then('the check prints no API key')
def step_no_key(context):
    for secret in context.secrets:
        assert secret not in context.output + context.plain.output


@when('the version in force is checked against itself')
def step_itself(context):
    check_against(context, sound(), sound())


def document_with(fault):
    body = deployments.config(deployments.VAKALOLOMA, deployments.Ports(21000))
    if fault == 'an unknown key':
        body['routes'][0]['nokey'] = 1
    elif fault == 'a route to a missing pool':
        body['routes'][0]['pool'] = 'missing'
    elif fault == 'a selector without an endpoint':
        body['pools'][0]['selector'] = 'zone=nowhere'
    elif fault == 'an output beyond all engines':
        body['routes'][0]['max_output_tokens'] = 10**9
    elif fault == 'a zone without endpoints':
        body['zones'].append({'name': 'empty', 'region': 'viti-west'})
    return body


@when('a document with {fault} is checked')
def step_document(context, fault):
    run_check(context, yaml.safe_dump(document_with(fault)))


@when('a file of another form is checked')
def step_other_form(context):
    run_check(context, '[1, 2]')


def entry_address(context):
    return f'127.0.0.1:{platform_asking.fixture(context).peer_port(0)}'


def run_check_beside(context, text, *options):
    """Runs the check in a thread, as the stand-ins need the event loop."""
    platform_asking.run(
        context,
        context.loop.run_in_executor(None, run_check, context, text, *options),
    )


@given('the store lists no endpoint of "{service}"')
def step_no_endpoints(context, service):
    fixture = platform_asking.fixture(context)
    for engine in fixture.engines_by_name.values():
        if engine.service == service:
            fixture.store.remove(f'servers/{engine.name}')
    platform_asking.run(context, asyncio.sleep(0.5))


@when(
    'the configuration in force with another time limit is checked at the '
    'entry'
)
def step_at_entry(context):
    body = support.configuration(platform_asking.fixture(context).version + 1)
    body['routes'][5]['maxAttempts'] = 1
    body['routes'][0]['timeoutMs'] = 3000
    run_check_beside(
        context, json.dumps(body), '--entry', entry_address(context)
    )


@when('a configuration is checked at an entry that does not run')
def step_at_no_entry(context):
    port = platform_asking.fixture(context).port(149)
    run_check_beside(
        context, json.dumps(sound()), '--entry', f'127.0.0.1:{port}'
    )
