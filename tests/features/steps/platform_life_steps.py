"""Steps about the lives of entries: members, reloads, ends, logs."""

import asyncio
import base64
import logging
import os
import pathlib
import signal

from behave import given
from behave import then
from behave import when
from click import testing

from galenaquay.adapters import logs
from galenaquayctl import traces
from tests import platform_asking
from tests import platform_support as support


@then('each entry hears the other')
def step_hear(context):
    def heard():
        return all(
            f'"member":"vm-{other}"' in platform_asking.world(context).log(vm)
            for vm, other in ((0, 1), (1, 0))
        )

    platform_asking.run(
        context, platform_asking.world(context).wait_until(heard, 3.0)
    )


@then('what one has placed keeps the other from that engine')
def step_apart(context):
    world_ = platform_asking.world(context)

    def prompt(vm):
        return asyncio.ensure_future(
            support.ask(
                world_.front_port(vm),
                'POST',
                '/ask/x',
                b'{}',
                X_Token_Counts='12000,500',
            )
        )

    async def work():
        entry = world_.store.items_by_key['servers/e1']
        world_.store.remove('servers/e1')
        await asyncio.sleep(0.2)
        asking = [prompt(0) for _ in range(12)]
        await asyncio.sleep(0.2)
        world_.store.put('servers/e1', base64.b64decode(entry['value']))
        await asyncio.sleep(0.4)
        asking += [prompt(1) for _ in range(4)]
        await asyncio.gather(*asking)

    platform_asking.run(context, work())
    engines = world_.engines_by_name
    counts = [len(engines[name].executed_requests()) for name in ('e0', 'e1')]
    assert counts == [12, 4], counts


@when('the entry is told to stop while a stream is written')
def step_stop(context):
    async def work():
        context.asking = asyncio.ensure_future(
            support.ask(
                platform_asking.world(context).front_port(),
                'POST',
                '/ask/x',
                b'{}',
                X_Token_Counts='5000,500',
            )
        )
        await platform_asking.world(context).wait_until(
            lambda: platform_asking.world(context).runs(support.POOL), 5.0
        )
        platform_asking.world(context).processes[0].send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)

    platform_asking.run(context, work())


@then('it calls itself not ready at once')
def step_not_ready(context):
    assert not platform_asking.run(
        context, platform_asking.world(context).is_ready()
    )


@then('a call that still arrives is served and the connection closed')
def step_still(context):
    answer = platform_asking.call(context, '/once/x')
    assert answer.status == 200, answer
    assert answer.headers['connection'] == 'close'


@then('the stream ends whole')
def step_stream_ends(context):
    answer = platform_asking.run(context, context.asking)
    assert answer.status == 200
    assert answer.is_complete


@then('the entry ends by itself')
def step_ends(context):
    async def work():
        async with asyncio.timeout(support.GRACE_S):
            return await platform_asking.world(context).processes[0].wait()

    assert platform_asking.run(context, work()) == 0


@when('an entry starts and is told to reload at every moment of it')
def step_reload_early(context):
    async def work():
        await platform_asking.world(context).start_vm(1, wait=False)
        process = platform_asking.world(context).processes[1]
        # Python itself has to be up before it can guard anything.
        await platform_asking.world(context).wait_until(
            lambda: ignores_reload(process), 5.0
        )
        assert platform_asking.world(context).log(1) == ''
        while '"started"' not in platform_asking.world(context).log(1):
            assert process.returncode is None, process.returncode
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.01)

    platform_asking.run(context, work())


def change_settings(context, vm=0, is_told=True, **changes):
    platform_asking.world(context).write_settings(vm, **changes)
    if is_told:
        platform_asking.world(context).processes[vm].send_signal(signal.SIGHUP)
        platform_asking.run(context, asyncio.sleep(0.2))


@given('a second entry whose seeds do not answer')
def step_alone(context):
    silent = f'127.0.0.1:{platform_asking.world(context).port(149)}'
    platform_asking.run(
        context, platform_asking.world(context).start_vm(1, seeds=silent)
    )
    platform_asking.run(context, asyncio.sleep(1.5))
    assert '"member":' not in platform_asking.world(context).log(1)


@when("its settings name the first entry's address and it reloads")
def step_new_seeds(context):
    change_settings(context, vm=1)


@given('the settings allow removed keys for {seconds:g} seconds, and a reload')
def step_new_revoke(context, seconds):
    change_settings(context, bounds_revokeMs=int(seconds * 1000))


@when('the way to the store is cut')
def step_cut_store(context):
    platform_asking.world(context).store.is_busy = True


@then('keys open nothing after {seconds:g} seconds')
def step_nothing_opens(context, seconds):
    # The store may have confirmed them just before.
    platform_asking.run(context, asyncio.sleep(seconds + 0.1))
    assert platform_asking.ask_key(context, support.KEY) == 503


@given('the settings lose a field, and a reload')
def step_lost_field(context):
    change_settings(context, zone=None)


@then('the entry logs "{message}" and serves on')
def step_logs_on(context, message):
    assert message in platform_asking.world(context).log()
    assert platform_asking.ask_key(context, support.KEY) == 200


@given('the settings allow a grace of {seconds:g} seconds, without a reload')
def step_new_grace(context, seconds):
    change_settings(context, is_told=False, bounds_graceS=seconds)


@then('the entry ends within {seconds:g} seconds of being told')
def step_ends_within(context, seconds):
    async def work():
        # A second more than the grace, for a machine that is busy.
        async with asyncio.timeout(seconds):
            return await platform_asking.world(context).processes[0].wait()

    assert platform_asking.run(context, work()) == 0


def ignores_reload(process):
    """Tells whether a process ignores SIGHUP, as the kernel has it."""
    status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
    mask = next(
        line.split()[1]
        for line in status.splitlines()
        if line.startswith('SigIgn')
    )
    return bool(int(mask, 16) >> (signal.SIGHUP - 1) & 1)


@then('it becomes ready all the same')
def step_ready_all_the_same(context):
    platform_asking.run(
        context,
        platform_asking.world(context).wait_until(
            lambda: platform_asking.world(context).is_ready(1), 5.0
        ),
    )


@when('an entry starts alone while the store turns everybody away')
def step_start_blind(context):
    platform_asking.world(context).store.is_busy = True
    # The other entry would pass on what it knows.
    other = platform_asking.world(context).processes.pop(0)
    other.send_signal(signal.SIGKILL)
    platform_asking.run(context, other.wait())
    platform_asking.run(
        context, platform_asking.world(context).start_vm(1, wait=False)
    )

    def has_started():
        return '"started"' in platform_asking.world(context).log(1)

    platform_asking.run(
        context, platform_asking.world(context).wait_until(has_started, 10.0)
    )


@then('it is not ready and refuses with 503')
def step_blind(context):
    readiness = platform_asking.run(
        context,
        support.ask(
            platform_asking.world(context).front_port(1) + 1,
            'GET',
            '/api/readyz',
        ),
    )
    assert readiness.status == 503
    answer = platform_asking.run(
        context,
        support.ask(
            platform_asking.world(context).front_port(1), 'GET', '/look/x'
        ),
    )
    assert answer.status == 503
    assert 'retry-after' in answer.headers


@then('it is ready soon after the store is back')
def step_ready_again(context):
    platform_asking.world(context).store.is_busy = False
    platform_asking.run(
        context,
        platform_asking.world(context).wait_until(
            lambda: platform_asking.world(context).is_ready(1), 2.0
        ),
    )


@then('the trace command tells that its connection was closed')
def step_trace(context):
    log = platform_asking.world(context).folder / 'vm0.log'
    result = testing.CliRunner().invoke(
        traces.trace, [context.request_id, str(log)]
    )
    assert result.exit_code == 0, result.output
    placed, failed, ended = result.output.splitlines()
    assert 'request placed' in placed
    assert 'failure=broken' in failed
    assert 'outcome=failed status=502' in ended


@then('a log to a full pipe drops lines and counts them')
def step_full_pipe(context):
    reader, writer = os.pipe()
    handler = logs.LineHandler(writer)
    handler.setFormatter(logging.Formatter('%(message)s'))
    line = logging.LogRecord('x', 20, '', 0, 'a' * 999, None, None)
    for _ in range(200):
        handler.emit(line)
    assert handler.dropped > 100
    # What was taken is whole lines, once the reader goes on.
    taken = os.read(reader, 1 << 20)
    handler.emit(line)
    taken += os.read(reader, 1 << 20)
    assert set(taken.split(b'\n')) == {b'a' * 999, b''}
    os.close(reader)
    os.close(writer)
