"""Steps for the ends of responses that have neither a length nor chunks."""

import asyncio
import signal

from behave import given
from behave import then
from behave import when

from galenaquay_standins import engine_faults
from tests import platform_asking
from tests import platform_support as support

EVENTS = 40
EVENT_INTERVAL_S = 0.05
# Time between the starts of two streams, in seconds; no multiple of the
# interval, so that the streams of a crashed engine end at different distances
# from their last events.
STAGGER_S = 0.07
# Time for which streams run before an engine leaves or crashes, in seconds.
RUNNING_S = 0.6
# Time between the sign that an engine leaves and its end, in seconds. All
# entry processes know the sign by then.
SIGN_S = 0.6


def engines_of(context):
    engines = platform_asking.fixture(context).engines_by_name.values()
    return [engine for engine in engines if engine.service == support.POOL]


async def send_streams(context, count):
    """Starts streams one after the other; returns their tasks."""
    tasks = []
    for _ in range(count):
        pending = support.send_request(
            platform_asking.fixture(context).front_port(),
            'POST',
            '/tell/x',
            b'{}',
            X_Token_Counts='5000,500',
        )
        tasks.append(asyncio.ensure_future(pending))
        await asyncio.sleep(STAGGER_S)
    return tasks


def busiest(context):
    return max(
        engines_of(context),
        key=lambda engine: len(engine.executed_requests()),
    )


def list_engine(context, engine, state='ready'):
    platform_asking.fixture(context).store.put(
        f'servers/{engine.name}', engine.store_entry(state)
    )


def unlist(context, engine):
    platform_asking.fixture(context).store.remove(f'servers/{engine.name}')


async def list_only(context, engine):
    """Has all streams go to one engine, with another one still listed."""
    for other in engines_of(context):
        if other is not engine:
            list_engine(context, other, 'draining')
    await asyncio.sleep(0.3)


async def give_sign(context, engine, sign):
    """Announces that an engine leaves."""
    if sign == 'an answer that says so':
        engine.is_leaving = True
        (last,) = await send_streams(context, 1)
        await asyncio.sleep(SIGN_S)
        return [last]
    if sign == 'its record was removed':
        unlist(context, engine)
    else:
        list_engine(context, engine, 'draining')
        if sign == 'its record said so, then went':
            await asyncio.sleep(0.3)
            unlist(context, engine)
    await asyncio.sleep(SIGN_S)
    return []


@given('all engines send streams {framing}')
def step_unframed(context, framing):
    for engine in engines_of(context):
        engine.events = EVENTS
        engine.event_interval_s = EVENT_INTERVAL_S
        engine.faults = [engine_faults.Fault.NO_LENGTH] * 20
        if framing != 'without a length':
            engine.faults[0] = None


@when("the entry process is frozen while a stream's engine crashes and {what}")
def step_frozen(context, what):
    async def run_step():
        process = platform_asking.fixture(context).processes[0]
        tasks = await send_streams(context, 1)
        await asyncio.sleep(RUNNING_S)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.2)
        engine = busiest(context)
        engine.end_connections()
        if what.startswith('starts again'):
            engine.restart()
            if 'listed' in what:
                list_engine(context, engine)
        elif what.startswith('another'):
            engine.name = 'another'
        else:
            await engine.stop()
            unlist(context, engine)
        await asyncio.sleep(0.8)
        process.send_signal(signal.SIGCONT)
        context.responses = await asyncio.gather(*tasks)

    platform_asking.run(context, run_step())


@when('an engine with {count:d} streams leaves in order after {sign}')
def step_leaves(context, count, sign):
    async def run_step():
        engine = engines_of(context)[0]
        await list_only(context, engine)
        tasks = await send_streams(context, count)
        await asyncio.sleep(RUNNING_S)
        tasks += await give_sign(context, engine, sign)
        await engine.stop()
        context.responses = await asyncio.gather(*tasks)
        assert engine.executed_requests()

    platform_asking.run(context, run_step())


@when('an engine with {count:d} streams crashes after {sign}')
def step_crashes(context, count, sign):
    async def run_step():
        engine = engines_of(context)[0]
        await list_only(context, engine)
        tasks = await send_streams(context, count)
        await asyncio.sleep(RUNNING_S)
        tasks += await give_sign(context, engine, sign)
        engine.end()
        context.responses = await asyncio.gather(*tasks)

    platform_asking.run(context, run_step())


@then('the stream is incomplete')
@then('no stream is complete')
def step_none_complete(context):
    for response in context.responses:
        assert response.status == 200, response
        assert not response.is_complete, response.body.count(b'id: ')


@then('all streams are complete')
def step_all_complete(context):
    for response in context.responses:
        assert response.status == 200, response
        assert response.body.count(b'id: ') == EVENTS, response
        assert response.is_complete, response


@given('the services offer no report')
def step_no_report(context):
    for engine in platform_asking.fixture(context).engines_by_name.values():
        if engine.service == support.SERVICE:
            engine.has_report = False


@given('the platform lists no start of the endpoints')
def step_no_start(context):
    fixture = platform_asking.fixture(context)
    for name, engine in fixture.engines_by_name.items():
        entry = engine.store_entry()
        del entry['born']
        fixture.store.put(f'servers/{name}', entry)
    platform_asking.run(context, asyncio.sleep(0.5))


def report_reads(context):
    engines = platform_asking.fixture(context).engines_by_name.values()
    return sum(engine.report_reads for engine in engines)


@then('no report was read')
def step_no_reads(context):
    assert report_reads(context) == 0, report_reads(context)


@then('{count:d} report was read')
def step_reads(context, count):
    assert report_reads(context) == count, report_reads(context)


@then(
    'the entry process records {count:d} ends of engines within {seconds:g} '
    'seconds'
)
def step_recorded_ends(context, count, seconds):
    fixture = platform_asking.fixture(context)

    def recorded():
        return fixture.log().count('"engine ended"')

    if count:
        platform_asking.run(
            context, fixture.wait_until(lambda: recorded() == count, seconds)
        )
    else:
        platform_asking.run(context, asyncio.sleep(seconds))
    assert recorded() == count, fixture.log()
