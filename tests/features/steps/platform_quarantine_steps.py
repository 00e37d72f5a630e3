"""Steps for prompts with parts that crash engines."""

import asyncio
import itertools

from behave import given
from behave import then
from behave import when

from galenaquay_standins import engine_records
from tests import platform_asking
from tests import platform_support as support

DEADLY = 'dead01'
FIRST = 'aa01'
NEW_FIRST = 'bb01'
CRASHES = 5
DEADLY_LAST = 'dead02'
DEADLY_BODY = b'{"prompt":"deadly"}'
# Route whose requests are sent once, as streams there cannot be resumed.
ONCE = '/tell/x'


def engines_of(context):
    engines = platform_asking.fixture(context).engines_by_name.values()
    return [engine for engine in engines if engine.service == support.POOL]


def crashes(context):
    return sum(engine.has_ended for engine in engines_of(context))


def prompts_received(context, part):
    return [
        request
        for engine in engines_of(context)
        for request in engine.received
        if part in request.headers.get('x-prompt-prefix', '')
    ]


async def send_prompt(
    context, vm, *shared_parts, target='/ask/x', last_part=None, body=b'{}'
):
    last_part = last_part or f'e{next(context.prompt_numbers):04x}'
    return await send_parts(
        context, vm, [*shared_parts, last_part], target, body
    )


async def send_parts(context, vm, parts, target='/ask/x', body=b'{}'):
    return await support.send_request(
        platform_asking.fixture(context).front_port(vm),
        'POST',
        target,
        body,
        X_Token_Counts='5000,500',
        X_Prompt_Prefix=','.join(f'{part}:40' for part in parts),
    )


@given(
    '{count:d} additional engines that come back {seconds:g} seconds '
    'after a crash'
)
def step_engines_come_back(context, count, seconds):
    fixture = platform_asking.fixture(context)
    context.prompt_numbers = itertools.count()
    context.first_part = FIRST

    async def run_step():
        for i in range(count):
            await fixture.add_engine(f'more{i}', support.POOL, 'ba', 20 + i, 8)
        fixture.restart_ended_engines(seconds)
        await asyncio.sleep(0.3)

    platform_asking.run(context, run_step())


@given('a part of prompts that crashes each engine that begins to answer it')
def step_deadly_part(context):
    for engine in engines_of(context):
        engine.deadly_part = DEADLY


@when(
    'prompts with the part are sent to all VMs until five engines have '
    'crashed or {count:d} prompts were sent'
)
def step_crash_engines(context, count):
    async def run_step():
        for number in range(count):
            if crashes(context) >= CRASHES:
                return
            await send_prompt(context, number % 3, context.first_part, DEADLY)
            await send_prompt(context, (number + 1) % 3, context.first_part)

    platform_asking.run(context, run_step())


@when('a VM starts and {seconds:g} seconds pass')
def step_new_vm(context, seconds):
    fixture = platform_asking.fixture(context)
    platform_asking.run(context, fixture.start_vm(3))
    platform_asking.run(context, asyncio.sleep(seconds))


@then(
    'of {count:d} prompts with the part, sent to all VMs, at most {most:d} '
    'reach an engine'
)
def step_few_reach(context, count, most):
    before = len(prompts_received(context, DEADLY))
    last_parts = [f'e{next(context.prompt_numbers):04x}' for _ in range(count)]
    vms = sorted(platform_asking.fixture(context).processes)

    async def run_step():
        return [
            await send_prompt(
                context,
                vms[number % len(vms)],
                context.first_part,
                DEADLY,
                last_part=last_part,
            )
            for number, last_part in enumerate(last_parts)
        ]

    responses = platform_asking.run(context, run_step())
    received = prompts_received(context, DEADLY)
    assert len(received) - before <= most, (len(received), crashes(context))
    reached = {engine_records.part_ids(request)[-1] for request in received}
    # A prompt that was tried at an engine may have run.
    context.refusals = [
        response
        for last_part, response in zip(last_parts, responses, strict=True)
        if last_part not in reached
    ]
    assert len(context.refusals) >= count - most


@then('prompts with the part get 503 and are told to return much later')
def step_refused(context):
    for response in context.refusals:
        assert response.status == 503, response
        assert float(response.headers['retry-after']) >= 10, response


@then('prompts that share the key and the first part are answered')
def step_sound_answered(context):
    check_answered(context, context.first_part)


def check_answered(context, *parts):
    vms = sorted(platform_asking.fixture(context).processes)
    for vm in vms * 4:
        response = platform_asking.run(
            context, send_prompt(context, vm, *parts)
        )
        assert response.status == 200, response
        assert response.is_complete, response


@when('each of three engines crashes while it has prompts with the same part')
def step_crash_by_themselves(context):
    async def crash_one():
        for engine in engines_of(context):
            engine.event_delay_s = 1.0
        sent = [
            asyncio.ensure_future(send_prompt(context, 0, context.first_part))
            for _ in range(4)
        ]
        await asyncio.sleep(0.2)
        busy = next(
            engine
            for engine in engines_of(context)
            if not engine.has_ended and engine.executed_requests()
        )
        for engine in engines_of(context):
            engine.event_delay_s = 0.0
        busy.end()
        return await asyncio.gather(*sent)

    for _ in range(3):
        for response in platform_asking.run(context, crash_one()):
            assert response.status == 200, response
            assert response.is_complete


@then('prompts with the part are answered')
def step_part_answered(context):
    check_answered(context, context.first_part)


@when('prompts that share the first part have been answered')
def step_answered_before(context):
    check_answered(context, context.first_part)
    for vm in range(3):
        response = platform_asking.run(
            context, send_prompt(context, vm, context.first_part, target=ONCE)
        )
        assert response.status == 200, response


@when('the callers change the first part of their prompts')
def step_change_first_part(context):
    context.first_part = NEW_FIRST


@when(
    'an engine crashes by itself under a prompt with the first part, and two '
    'under prompts with the part'
)
def step_blame_first_part(context):
    async def crash_by_itself():
        for engine in engines_of(context):
            engine.event_delay_s = 1.0
        sent = asyncio.ensure_future(
            send_prompt(
                context, 0, context.first_part, target=ONCE, last_part='e999'
            )
        )
        await asyncio.sleep(0.3)
        for engine in engines_of(context):
            engine.event_delay_s = 0.0
        (busy,) = [
            engine
            for engine in engines_of(context)
            if any(
                'e999' in request.headers.get('x-prompt-prefix', '')
                for request in engine.received
            )
        ]
        busy.end()
        return await sent

    async def run_step():
        broken = [await crash_by_itself()]
        for vm in (1, 0):
            await asyncio.sleep(0.3)
            broken.append(
                await send_prompt(
                    context, vm, context.first_part, DEADLY, target=ONCE
                )
            )
        return broken

    for response in platform_asking.run(context, run_step()):
        assert response.status != 200 or not response.is_complete, response


@when('{seconds:g} seconds pass without a prompt')
def step_no_prompts(context, seconds):
    platform_asking.run(context, asyncio.sleep(seconds))


@then(
    'of {count:d} prompts that share the first part, one each {seconds:g} '
    'seconds, at least {least:d} are answered'
)
def step_answered_again(context, count, seconds, least):
    async def run_step():
        sent = []
        for number in range(count):
            sent.append(
                asyncio.ensure_future(
                    send_prompt(context, number % 3, context.first_part)
                )
            )
            await asyncio.sleep(seconds)
        return await asyncio.gather(*sent)

    responses = platform_asking.run(context, run_step())
    answered = [r for r in responses if r.status == 200 and r.is_complete]
    assert len(answered) >= least, [r.status for r in responses]


@given('a last part that crashes each engine that begins to answer it')
def step_deadly_last_part(context):
    for engine in engines_of(context):
        engine.deadly_last_part = DEADLY_LAST


@given('a body that crashes each engine that begins to answer it')
def step_deadly_body(context):
    for engine in engines_of(context):
        engine.deadly_body = DEADLY_BODY


@when('requests with this {content} are sent {count:d} times to all VMs')
def step_repeat_request(context, content, count):
    contents = {
        'last part': {'last_part': DEADLY_LAST},
        'body': {'body': DEADLY_BODY},
    }

    async def run_step():
        for number in range(count):
            await send_prompt(
                context, number % 3, context.first_part, **contents[content]
            )
            # The fleet knows of an end within this time.
            await asyncio.sleep(0.2)

    platform_asking.run(context, run_step())


@then('at most {count:d} engines have crashed')
def step_few_crashed(context, count):
    # An engine that comes back has a suffix for each crash.
    names = platform_asking.fixture(context).engines_by_name
    again = sum(name.endswith('-again') for name in names)
    ended = sum(
        engine.has_ended and f'{engine.name}-again' not in names
        for engine in engines_of(context)
    )
    assert again + ended <= count, (again, ended, sorted(names))


@when('each of three engines crashes while it has identical requests')
def step_crash_under_identical(context):
    async def crash_one():
        for engine in engines_of(context):
            engine.event_delay_s = 1.0
        sent = [
            asyncio.ensure_future(send_parts(context, 0, ['e1']))
            # The retry budget allows for these to be sent again.
            for _ in range(2)
        ]
        await asyncio.sleep(0.2)
        busy = next(
            engine
            for engine in engines_of(context)
            if not engine.has_ended and engine.executed_requests()
        )
        for engine in engines_of(context):
            engine.event_delay_s = 0.0
        busy.end()
        return await asyncio.gather(*sent)

    for _ in range(3):
        for response in platform_asking.run(context, crash_one()):
            assert response.status == 200, response
            assert response.is_complete


@then('identical requests are answered')
def step_identical_answered(context):
    for _ in range(12):
        response = platform_asking.run(context, send_parts(context, 0, ['e1']))
        assert response.status == 200, response
        assert response.is_complete, response
