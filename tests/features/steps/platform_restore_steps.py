"""Steps for a store that is restored from an older copy."""

import asyncio
import signal

from behave import given
from behave import then
from behave import when

from tests import platform_asking
from tests import platform_support as support

NEW_KEY = 'new-key'
POLL_S = 0.1


def store_of(context):
    return platform_asking.fixture(context).store


def sleep(context, seconds):
    platform_asking.run(context, asyncio.sleep(seconds))


@when('the store is copied')
def step_copy(context):
    context.snapshot = store_of(context).take_snapshot()


@given('the store is copied without the services')
def step_copy_early(context):
    store = store_of(context)
    context.snapshot = store.take_snapshot()
    names = [f'servers/{engine.name}' for engine in services_of(context)]
    for name in names:
        del context.snapshot.items_by_key[name]
    context.snapshot.events = [
        event for event in context.snapshot.events if event.key not in names
    ]
    for engine in services_of(context):
        store.put(f'servers/{engine.name}', engine.store_entry())
    sleep(context, 0.5)


def services_of(context):
    engines = platform_asking.fixture(context).engines_by_name.values()
    return [engine for engine in engines if engine.service == support.SERVICE]


@when('the configuration is published {count:d} times')
def step_publish(context, count):
    for _ in range(count):
        platform_asking.fixture(context).publish()
    sleep(context, 0.7)


@when('the services write their records {count:d} times')
def step_write_records(context, count):
    for _ in range(count):
        for engine in services_of(context):
            store_of(context).put(
                f'servers/{engine.name}', engine.store_entry()
            )
    sleep(context, 0.7)


@when('the store comes back from the copy')
def step_restore(context):
    store_of(context).restore(context.snapshot)
    sleep(context, 0.1)


@when('the store comes back from the copy, and the operator writes nothing')
def step_restore_only(context):
    # The restore comes right after a confirmation.
    sleep(context, 0.5)
    store_of(context).restore(context.snapshot)
    context.restored_at_s = context.loop.time()


@when(
    'the store comes back from the copy, with another API key and {count:d} '
    'more records'
)
def step_restore_passed(context, count):
    store_of(context).restore(context.snapshot)
    platform_asking.fixture(context).publish(keys=(NEW_KEY,))
    for number in range(count):
        store_of(context).put(f'filler/{number}', {})


@when(
    'the store comes back from the copy while the entry process sleeps for '
    '{seconds:g} seconds'
)
def step_restore_asleep(context, seconds):
    process = platform_asking.fixture(context).processes[0]
    process.send_signal(signal.SIGSTOP)
    step_restore(context)
    sleep(context, seconds)
    process.send_signal(signal.SIGCONT)


@when('the operator writes the configuration again')
def step_rewrite(context):
    fixture = platform_asking.fixture(context)
    fixture.store.put('op/config', support.configuration(fixture.version))


@when('the record of the draining service is removed')
def step_remove_drained(context):
    store_of(context).remove('servers/s0')
    sleep(context, 0.3)


@then('a request with the new API key is served within {seconds:g} seconds')
def step_new_key_served(context, seconds):
    platform_asking.wait_for_status(context, NEW_KEY, 200, seconds)


@then('a request is served within {seconds:g} seconds')
def step_served_within(context, seconds):
    platform_asking.wait_for_status(context, support.KEY, 200, seconds)


@then('no service is known {seconds:g} seconds later')
def step_services_gone(context, seconds):
    sleep(context, seconds)
    before = sum(len(engine.received) for engine in services_of(context))
    status = platform_asking.get_status(context, support.KEY)
    assert status == 503, status
    received = sum(len(engine.received) for engine in services_of(context))
    assert received == before


@then('the old API key is refused for {seconds:g} seconds')
def step_old_key_refused(context, seconds):
    end_s = context.loop.time() + seconds
    while context.loop.time() < end_s:
        status = platform_asking.get_status(context, support.KEY)
        assert status in (401, 503), status
        sleep(context, POLL_S)


@then(
    'keys are not confirmed for {quiet_s:g} seconds and accepted within '
    '{seconds:g} seconds'
)
def step_keys_unconfirmed(context, quiet_s, seconds):
    # `revokeMs` binds also for a key whose removal the store has lost.
    sleep(context, context.restored_at_s + support.REVOKE_S - now_s(context))
    status = platform_asking.get_status(context, support.KEY)
    assert status == 503, status
    left_s = context.restored_at_s + seconds - now_s(context)
    platform_asking.wait_for_status(context, support.KEY, 200, left_s)


def now_s(context):
    return context.loop.time()


@when('the store sends "{text}" as its era')
def step_odd_era(context, text):
    store_of(context).odd_era = text


@then('the invalid header is logged once')
def step_logged_once(context):
    sleep(context, 1.0)
    log = platform_asking.fixture(context).log()
    assert log.count('"store sent an invalid era"') == 1
