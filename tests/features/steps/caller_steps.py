"""Steps for callers and operators of a fleet."""

import asyncio
import pathlib
import tempfile

from behave import then
from behave import when
from click.testing import CliRunner
from galenaquay_standins import answers
from galenaquayctl.benches import slow_readers
from galenaquayctl import main as ctl
import orjson

from tests import support


@then('every request in case file "{name}" gets its result code')
def check_requests(context, name):
    fleet = support.fleet_of(context)

    async def send(case):
        headers = {**support.auth_headers(context), **case.get('headers', {})}
        body = case.get('body', 'x' * case.get('size', 0))
        async with fleet.session.post(
            fleet.vm_url(0) + case['path'], data=body, headers=headers
        ) as response:
            response_body = await response.json()
            assert response.headers['X-Result-Code'] == str(case['code'])
            return response_body['error']

    cases = support.read_cases(name)
    assert cases
    for case in cases:
        error = support.run(context, send(case))
        assert error['code'] == case['code'], (case, error)
        assert error['outcome'] == 'NOT_RUN', (case, error)


@when('a caller sends an incomplete body and disconnects')
def send_incomplete_body(context):
    fleet = support.fleet_of(context)

    async def send():
        _, writer = await asyncio.open_connection(
            '127.0.0.1', fleet.ports.callers(0)
        )
        key = support.account_key(context)
        head = (
            'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
            f'Authorization: Bearer {key}\r\nContent-Length: 1000\r\n\r\n'
        )
        writer.write(head.encode() + b'{"model"')
        await writer.drain()

        async def is_held():
            return (await fleet.status(0))['requests'] == 1

        assert await support.wait_until(is_held)
        writer.close()

    support.run(context, send())


@when('a caller requests a long response and stops reading')
def begin_slow_response(context):
    fleet = support.fleet_of(context)
    context.reader = support.run(
        context,
        slow_readers.start_slow_reader(
            fleet.ports.callers(0), 7, fleet.options.deployment.accounts[0]
        ),
    )


@then('the memory of the engine is released while the caller does not read')
def check_engine_released(context):
    fleet = support.fleet_of(context)

    async def is_paused():
        status = await fleet.status(0)
        counted = await support.engine_counters(fleet)
        held = sum(c['held_tokens'] for c in counted.values())
        return status['stream_bytes'] > 0 and held == 0

    assert support.run(context, support.wait_until(is_paused))
    status = support.run(context, fleet.status(0))
    assert status['stream_bytes'] <= slow_readers.MAX_HELD_BYTES, status


@then('the caller resumes reading and receives every token')
def resume_reading(context):
    text = support.run(context, context.reader.read_all())
    expected = answers.answer(
        context.reader.prompt.encode(), slow_readers.SLOW_TOKENS
    )
    assert text == expected, len(text)


@then('no entry process holds a request')
def check_holds_nothing(context):
    fleet = support.fleet_of(context)

    async def holds_nothing():
        for vm in support.running_vms(fleet):
            status = await fleet.status(vm)
            if status['requests'] or status['body_bytes']:
                return False
        return True

    assert support.run(context, support.wait_until(holds_nothing))


@then(
    'a completion that is not streamed has the expected text and token counts'
)
def check_completion(context):
    fleet = support.fleet_of(context)
    prompt = support.make_prompt(context, 500, 10)

    async def send():
        body = {
            'model': 'question',
            'prompt': prompt.text,
            'max_tokens': 10,
        }
        async with fleet.session.post(
            fleet.vm_url(1) + '/v1/completions',
            json=body,
            headers=support.auth_headers(context),
        ) as response:
            return await response.json()

    response_body = support.run(context, send())
    expected = answers.answer(prompt.text.encode(), 10)
    assert response_body['choices'][0]['text'] == expected
    assert response_body['usage'] == {
        'prompt_tokens': 500,
        'completion_tokens': 10,
        'total_tokens': 510,
    }


@then('a streamed chat completion has the expected text')
def check_chat(context):
    fleet = support.fleet_of(context)

    async def send():
        body = {
            'model': 'question',
            'messages': [
                {'role': 'system', 'content': 'Be brief.'},
                {'role': 'user', 'content': 'When is it due?'},
            ],
            'max_tokens': 7,
            'stream': True,
        }
        async with fleet.session.post(
            fleet.vm_url(2) + '/v1/chat/completions',
            json=body,
            headers=support.auth_headers(context),
        ) as response:
            return await response.read()

    data = support.run(context, send())
    texts = [
        orjson.loads(event[6:])['choices'][0]['delta']['content']
        for event in data.split(b'\n\n')
        if event.startswith(b'data: {')
    ]
    expected = answers.answer(b'Be brief.\nWhen is it due?', 7)
    assert ''.join(texts) == expected
    assert data.endswith(b'data: [DONE]\n\n')


def run_ctl(*arguments, text=None):
    result = CliRunner().invoke(ctl.main, arguments, input=text)
    return result.exit_code, result.output


@then('"status" shows every zone in service')
def check_status(context):
    fleet = support.fleet_of(context)
    entries = [f'--entry={fleet.vm_url(vm)}' for vm in range(4)]
    status, output = run_ctl('status', *entries)
    assert status == 0, output
    for zone in fleet.options.deployment.zones:
        assert f'zone {zone:12} 3 of 3 endpoints in service' in output
    assert output.count('vm ') == 4 and 'LAGS' not in output


@then('"explain" shows why a service accepts no prompt')
def check_explain(context):
    entry = f'--entry={support.fleet_of(context).vm_url(0)}'
    status, output = run_ctl('explain', 'question', '--tokens=900', entry)
    assert status == 0 and '  1.' in output, output
    assert 'lautoka-s1       is a service' in output, output
    status, output = run_ctl('explain', 'question', '--tokens=999999', entry)
    assert status == 1 and 'tokens at the most' in output, output


@then('"ask" prints the response')
def check_ask(context):
    fleet = support.fleet_of(context)
    status, output = run_ctl(
        'ask',
        '--route=question',
        f'--key={support.account_key(context)}',
        f'--entry={fleet.vm_url(3)}',
        '--max-tokens=5',
        text='When?',
    )
    assert status == 0, output
    assert answers.answer(b'When?', 5) in output, output


@then('"trace" shows the spans of a request')
def check_trace(context):
    fleet = support.fleet_of(context)
    result = support.run(
        context,
        support.send_prompt(fleet, 0, support.make_prompt(context, 300, 3)),
    )
    logs = sorted(str(path) for path in fleet.options.directory.glob('*.log'))

    async def is_written():
        # An entry process logs its own span after it has sent the response.
        _, output = run_ctl('trace', result.state.request_id, *logs)
        return 'entry at' in output

    assert support.run(context, support.wait_until(is_written))
    status, output = run_ctl('trace', result.state.request_id, *logs)
    assert status == 0, output
    assert output.startswith('entry at 0.0 ms'), output
    assert '\n  grant at' in output and '\n  engine at' in output, output
    with tempfile.TemporaryDirectory() as directory:
        empty = pathlib.Path(directory) / 'empty.log'
        empty.touch()
        assert run_ctl('trace', 'x', str(empty))[0] == 1
