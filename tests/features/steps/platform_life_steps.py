"""Steps for entry processes: start, heartbeats, reload, shutdown and logs."""

import asyncio
import base64
import itertools
import logging
import os
import pathlib
import signal

from behave import given
from behave import then
from behave import when
from click import testing

from galenaquay.adapters import logs
from galenaquay_standins import engine_faults
from galenaquayctl import traces
from tests import platform_asking
from tests import platform_support as support


@then("each entry process receives the other one's heartbeats")
def step_heartbeats(context):
    def heard():
        return all(
            f'"member":"vm-{other}"'
            in platform_asking.fixture(context).log(vm)
            for vm, other in ((0, 1), (1, 0))
        )

    platform_asking.run(
        context, platform_asking.fixture(context).wait_until(heard, 3.0)
    )


@then('an entry process avoids an engine on which another has placed prompts')
def step_avoid_loaded_engine(context):
    fixture = platform_asking.fixture(context)

    def prompt(vm):
        return asyncio.ensure_future(
            support.send_request(
                fixture.front_port(vm),
                'POST',
                '/ask/x',
                b'{}',
                X_Token_Counts='12000,500',
            )
        )

    async def run_step():
        entry = fixture.store.items_by_key['servers/e1']
        fixture.store.remove('servers/e1')
        await asyncio.sleep(0.2)
        requests = [prompt(0) for _ in range(12)]
        await asyncio.sleep(0.2)
        fixture.store.put('servers/e1', base64.b64decode(entry['value']))
        await asyncio.sleep(0.4)
        requests += [prompt(1) for _ in range(4)]
        await asyncio.gather(*requests)

    platform_asking.run(context, run_step())
    engines = fixture.engines_by_name
    counts = [len(engines[name].executed_requests()) for name in ('e0', 'e1')]
    assert counts == [12, 4], counts


@when('the entry process gets SIGTERM while it relays a stream')
def step_stop(context):
    async def run_step():
        context.stream_task = asyncio.ensure_future(
            support.send_request(
                platform_asking.fixture(context).front_port(),
                'POST',
                '/ask/x',
                b'{}',
                X_Token_Counts='5000,500',
            )
        )
        await platform_asking.fixture(context).wait_until(
            lambda: platform_asking.fixture(context).executed_requests(
                support.POOL
            ),
            5.0,
        )
        platform_asking.fixture(context).processes[0].send_signal(
            signal.SIGTERM
        )
        await asyncio.sleep(0.1)

    platform_asking.run(context, run_step())


@then('the readiness check of the entry process fails at once')
def step_not_ready(context):
    assert not platform_asking.run(
        context, platform_asking.fixture(context).is_ready()
    )


@then(
    'a request that arrives during the shutdown is served and its '
    'connection closed'
)
def step_request_during_shutdown(context):
    response = platform_asking.send_post(context, '/once/x')
    assert response.status == 200, response
    assert response.headers['connection'] == 'close'


@then('the caller receives the complete stream')
def step_stream_ends(context):
    response = platform_asking.run(context, context.stream_task)
    assert response.status == 200
    assert response.is_complete


@then('the entry process exits with status 0')
def step_ends(context):
    async def run_step():
        async with asyncio.timeout(support.GRACE_S):
            return await platform_asking.fixture(context).processes[0].wait()

    assert platform_asking.run(context, run_step()) == 0


@when('{seconds:g} seconds pass')
def step_pass(context, seconds):
    platform_asking.run(context, asyncio.sleep(seconds))


@given('the services never respond')
def step_services_silent(context):
    platform_asking.fixture(context).set_faults(
        support.SERVICE, *[engine_faults.Fault.NO_RESPONSE] * 10
    )


@when('the engines never respond')
def step_engines_silent(context):
    platform_asking.fixture(context).set_faults(
        support.POOL, *[engine_faults.Fault.NO_RESPONSE] * 10
    )


@then(
    'a request to "{target}" that arrives {seconds:g} second later gets '
    '{status:d}'
)
def step_late_request(context, target, seconds, status):
    async def run_step():
        await asyncio.sleep(seconds)
        return await support.send_request(
            platform_asking.fixture(context).front_port(),
            'POST',
            target,
            b'{}',
            X_Token_Counts='5000,500',
        )

    response = platform_asking.run(context, run_step())
    assert response.status == status, response
    assert response.is_complete


async def keep_sending(context, caller):
    """Sends requests on open connections until the process has ended."""
    port = platform_asking.fixture(context).front_port()
    while True:
        try:
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
        except OSError:
            return
        try:
            while True:
                target = ('/look/x', '/once/x')[next(caller) % 2]
                request_id = os.urandom(8).hex()
                head = (
                    f'POST {target} HTTP/1.1\r\nHost: {support.HOST}\r\n'
                    f'Authorization: Bearer {support.KEY}\r\n'
                    f'X-Attempt-Id: {request_id}\r\n'
                    'X-Deadline-Ms: 4000\r\nContent-Length: 2\r\n\r\n{}'
                )
                context.outcomes_by_id[request_id] = None
                writer.write(head.encode())
                response = await support.read_response(reader)
                if not response.is_complete:
                    break
                context.outcomes_by_id[request_id] = response.status
                if response.headers.get('connection') == 'close':
                    break
        except OSError:
            pass
        finally:
            writer.transport.abort()


@when('{count:d} callers send one request after the other on open connections')
def step_callers(context, count):
    context.outcomes_by_id = {}
    for engine in platform_asking.fixture(context).engines_by_name.values():
        engine.answer_delay_s = 0.05

    async def run_step():
        context.callers = [
            asyncio.ensure_future(keep_sending(context, itertools.count(i)))
            for i in range(count)
        ]
        await asyncio.sleep(1.0)

    platform_asking.run(context, run_step())


@when('the entry process gets SIGTERM')
def step_sigterm(context):
    platform_asking.fixture(context).processes[0].send_signal(signal.SIGTERM)


@then('each request is answered or reached no endpoint')
def step_no_request_lost(context):
    async def run_step():
        async with asyncio.timeout(support.GRACE_S + 1):
            await asyncio.gather(*context.callers)

    platform_asking.run(context, run_step())
    outcomes = context.outcomes_by_id
    assert len(outcomes) > 200, len(outcomes)
    received = {
        request.attempt_id
        for request in platform_asking.fixture(context).received_requests(
            support.SERVICE
        )
    }
    lost = [i for i, status in outcomes.items() if status is None]
    assert not received.intersection(lost), received.intersection(lost)
    assert set(outcomes.values()) <= {200, 503, None}, outcomes.values()


@when('an entry process gets SIGHUP repeatedly during its start')
def step_reload_early(context):
    async def run_step():
        await platform_asking.fixture(context).start_vm(1, wait=False)
        process = platform_asking.fixture(context).processes[1]
        # SIGHUP ends the process until its Python code blocks the signal.
        await platform_asking.fixture(context).wait_until(
            lambda: blocks_reload(process), 5.0
        )
        assert platform_asking.fixture(context).log(1) == ''
        while '"started"' not in platform_asking.fixture(context).log(1):
            assert process.returncode is None, process.returncode
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.01)

    platform_asking.run(context, run_step())


# Starts an entry process that gets SIGHUP right after reading its settings.
START_WITH_RELOAD = """
import os, signal
from galenaquay_platform import __main__ as entry, settings
read_settings = settings.load_settings
def read_and_signal(*args, **kwargs):
    settings.load_settings = read_settings
    found = read_settings(*args, **kwargs)
    os.kill(os.getpid(), signal.SIGHUP)
    return found
settings.load_settings = read_and_signal
entry.main()
"""


@when('an entry process gets SIGHUP right after it has read its settings')
def step_reload_after_reading(context):
    fixture = platform_asking.fixture(context)
    platform_asking.run(
        context, fixture.start_vm(1, program=('-c', START_WITH_RELOAD))
    )


@then('the second entry process logs "{message}"')
def step_second_logs(context, message):
    fixture = platform_asking.fixture(context)
    platform_asking.run(
        context, fixture.wait_until(lambda: message in fixture.log(1), 2.0)
    )


def change_settings(context, vm=0, is_signalled=True, **changes):
    platform_asking.fixture(context).write_settings(vm, **changes)
    if is_signalled:
        platform_asking.fixture(context).processes[vm].send_signal(
            signal.SIGHUP
        )
        platform_asking.run(context, asyncio.sleep(0.2))


@given('a second entry process whose seeds do not answer')
def step_unreachable_seeds(context):
    unreachable_seed = (
        f'127.0.0.1:{platform_asking.fixture(context).port(149)}'
    )
    platform_asking.run(
        context,
        platform_asking.fixture(context).start_vm(1, seeds=unreachable_seed),
    )
    platform_asking.run(context, asyncio.sleep(1.5))
    assert '"member":' not in platform_asking.fixture(context).log(1)


@when(
    'the second entry process reloads settings with the first one as its seed'
)
def step_new_seeds(context):
    change_settings(context, vm=1)


@given(
    'bounds.revokeMs is set to {seconds:g} seconds and the settings are '
    'reloaded'
)
def step_new_revoke(context, seconds):
    change_settings(context, bounds_revokeMs=int(seconds * 1000))


@when('the store is unavailable')
def step_store_unavailable(context):
    platform_asking.fixture(context).store.is_busy = True


@then('no API key is accepted after {seconds:g} seconds')
def step_no_key_accepted(context, seconds):
    # The store may have confirmed the keys just before it became
    # unavailable, so the bound counts from here.
    platform_asking.run(context, asyncio.sleep(seconds + 0.1))
    assert platform_asking.get_status(context, support.KEY) == 503


@given('a required setting is removed and the settings are reloaded')
def step_missing_setting(context):
    change_settings(context, zone=None)


@then('the entry process logs "{message}" and keeps serving')
def step_keeps_serving(context, message):
    assert message in platform_asking.fixture(context).log()
    assert platform_asking.get_status(context, support.KEY) == 200


@given('bounds.graceS is set to {seconds:g} seconds without a reload')
def step_new_grace(context, seconds):
    change_settings(context, is_signalled=False, bounds_graceS=seconds)


@then('the entry process exits within {seconds:g} seconds of the signal')
def step_ends_within(context, seconds):
    async def run_step():
        # The bound in the scenario is 1 s above graceS, for a busy machine.
        async with asyncio.timeout(seconds):
            return await platform_asking.fixture(context).processes[0].wait()

    assert platform_asking.run(context, run_step()) == 0


def blocks_reload(process):
    """Returns whether the kernel reports SIGHUP as blocked by a process."""
    status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
    mask = next(
        line.split()[1]
        for line in status.splitlines()
        if line.startswith('SigBlk')
    )
    return bool(int(mask, 16) >> (signal.SIGHUP - 1) & 1)


@then('the entry process becomes ready within 5 seconds of the last SIGHUP')
def step_becomes_ready(context):
    platform_asking.run(
        context,
        platform_asking.fixture(context).wait_until(
            lambda: platform_asking.fixture(context).is_ready(1), 5.0
        ),
    )


@when('an entry process starts alone while the store rejects every request')
def step_start_without_documents(context):
    platform_asking.fixture(context).store.is_busy = True
    # The other entry process would send its documents to the new entry
    # process, which would then become ready.
    other = platform_asking.fixture(context).processes.pop(0)
    other.send_signal(signal.SIGKILL)
    platform_asking.run(context, other.wait())
    platform_asking.run(
        context, platform_asking.fixture(context).start_vm(1, wait=False)
    )

    def has_started():
        return '"started"' in platform_asking.fixture(context).log(1)

    platform_asking.run(
        context, platform_asking.fixture(context).wait_until(has_started, 10.0)
    )


@then('the entry process is not ready and refuses requests with 503')
def step_refuses_requests(context):
    readiness = platform_asking.run(
        context,
        support.send_request(
            platform_asking.fixture(context).front_port(1) + 1,
            'GET',
            '/api/readyz',
        ),
    )
    assert readiness.status == 503
    response = platform_asking.run(
        context,
        support.send_request(
            platform_asking.fixture(context).front_port(1), 'GET', '/look/x'
        ),
    )
    assert response.status == 503
    assert 'retry-after' in response.headers


@then(
    'the entry process is ready within 2 seconds of the store answering again'
)
def step_ready_again(context):
    platform_asking.fixture(context).store.is_busy = False
    platform_asking.run(
        context,
        platform_asking.fixture(context).wait_until(
            lambda: platform_asking.fixture(context).is_ready(1), 2.0
        ),
    )


@then('the trace command shows that the connection to the service was closed')
def step_trace(context):
    log = platform_asking.fixture(context).folder / 'vm0.log'
    result = testing.CliRunner().invoke(
        traces.trace, [context.request_id, str(log)]
    )
    assert result.exit_code == 0, result.output
    placed, failed, ended = result.output.splitlines()
    assert 'request placed' in placed
    assert 'failure=broken' in failed
    assert 'outcome=failed status=502' in ended


@then('a log handler with a full pipe drops lines and counts them')
def step_full_pipe(context):
    reader, writer = os.pipe()
    handler = logs.LineHandler(writer)
    handler.setFormatter(logging.Formatter('%(message)s'))
    line = logging.LogRecord('x', 20, '', 0, 'a' * 999, None, None)
    for _ in range(200):
        handler.emit(line)
    assert handler.dropped > 100
    # Only complete lines are written, also after the reader continues.
    read_bytes = os.read(reader, 1 << 20)
    handler.emit(line)
    read_bytes += os.read(reader, 1 << 20)
    assert set(read_bytes.split(b'\n')) == {b'a' * 999, b''}
    os.close(reader)
    os.close(writer)
