"""What the steps of the users' platform share: calls and waits."""

import asyncio
import os

from tests import platform_support as support


def run(context, work):
    return context.loop.run_until_complete(work)


def world(context):
    return context.world


def call(context, target, body=b'{"a":1}', **headers):
    context.body = body
    context.request_id = os.urandom(8).hex()
    headers.setdefault('X_Attempt_Id', context.request_id)
    context.answer = run(
        context,
        support.ask(
            world(context).front_port(), 'POST', target, body, **headers
        ),
    )
    return context.answer


def ask_key(context, key, target='/look/x'):
    return run(
        context,
        support.ask(
            world(context).front_port(),
            'GET',
            target,
            Authorization=f'Bearer {key}' if key else '',
        ),
    ).status


def until_status(context, key, status, seconds, target='/look/x'):
    until_s = context.loop.time() + seconds
    while (found := ask_key(context, key, target)) != status:
        assert context.loop.time() < until_s, found
        run(context, asyncio.sleep(0.05))


def check_first_line(raw, status):
    """Checks what came as bytes: a status, or nothing if it is `none`."""
    first = raw.split(b'\r\n')[0]
    if status == 'none':
        assert first == b'', first
    else:
        assert f' {status} '.encode() in first, first
