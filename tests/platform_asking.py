"""Helpers of the platform steps: sending requests and waiting."""

import asyncio
import os

from tests import platform_support as support


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def fixture(context):
    return context.fixture


def publish_and_wait(context, **changes):
    """Publishes a configuration and waits until the first VM applies it."""

    async def run_step():
        fixture(context).publish(**changes)
        version = fixture(context).version

        def is_in_force():
            return f'"version":{version}' in fixture(context).log()

        await fixture(context).wait_until(is_in_force, 5.0)

    run(context, run_step())


def send_post(context, target, body=b'{"a":1}', **headers):
    context.body = body
    context.request_id = os.urandom(8).hex()
    headers.setdefault('X_Attempt_Id', context.request_id)
    context.response = run(
        context,
        support.send_request(
            fixture(context).front_port(), 'POST', target, body, **headers
        ),
    )
    return context.response


def get_status(context, key, target='/look/x'):
    return run(
        context,
        support.send_request(
            fixture(context).front_port(),
            'GET',
            target,
            Authorization=f'Bearer {key}' if key else '',
        ),
    ).status


def wait_for_status(context, key, status, seconds, target='/look/x'):
    deadline_s = context.loop.time() + seconds
    while (last_status := get_status(context, key, target)) != status:
        assert context.loop.time() < deadline_s, last_status
        run(context, asyncio.sleep(0.05))


def check_status_line(raw, status):
    """Checks the status in a raw response; `none` stands for no response."""
    status_line = raw.split(b'\r\n')[0]
    if status == 'none':
        assert status_line == b'', status_line
    else:
        assert f' {status} '.encode() in status_line, status_line
