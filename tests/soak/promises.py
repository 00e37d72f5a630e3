"""What callers were told, and what must be true of it."""

import collections
import dataclasses

from tests import platform_support as support

REFUSALS = (408, 421, 429, 503)


@dataclasses.dataclass
class Sent:
    """One attempt of a client and what came of it."""

    id: str
    # Path prefix of its route.
    prefix: str
    target: str
    body: bytes
    key: str
    sent_at_s: float
    ended_at_s: float | None = None
    answer: support.Response | None = None
    # Entry that it was sent to, and whether that was left alone meanwhile.
    vm: int = 0


class Broken(AssertionError):
    """A promise that was not kept."""


def check_all(sent, engines, events, body, revoked_at_s, revoke_s):
    """Checks everything that can be told once nothing is under way."""
    runs = collections.Counter()
    sent_by_id = {one.id: one for one in sent}
    for engine in engines:
        for received in engine.executed_requests():
            request_id = received.headers['x-attempt-id']
            runs[request_id] += 1
            check_asked(received, sent_by_id.get(request_id))
            check_key(sent_by_id[request_id], revoked_at_s, revoke_s)
    for one in sent:
        check_told(one, runs[one.id])
        if one.answer is not None and one.answer.status == 200:
            check_whole(one, events, body)


def check_asked(received, one):
    """An engine runs only what a client has asked, unchanged."""
    if one is None:
        raise Broken(f'nobody asked {received}')
    if (received.target, received.body) != (one.target, one.body):
        raise Broken(f'{one.id} was changed: {received}')
    if 'authorization' in received.headers:
        raise Broken(f'{one.id} came with its key')
    if received.headers.get('x-tenant') != 'acme':
        raise Broken(f'{one.id} came for {received.headers}')


def check_key(one, revoked_at_s, revoke_s):
    """Nothing runs whose key was taken away long before it was sent."""
    taken_at_s = revoked_at_s.get(one.key)
    if taken_at_s is not None and one.sent_at_s > taken_at_s + revoke_s:
        late_s = one.sent_at_s - taken_at_s
        raise Broken(f'{one.id} ran {late_s:.2f} s after its key had gone')


def check_told(one, runs):
    """Calls that must not repeat run once; a refusal means: not run."""
    if one.prefix in ('/once/', '/tell/') and runs > 1:
        raise Broken(f'{one.id} ran {runs} times')
    if runs > 2:
        raise Broken(f'{one.id} ran {runs} times; two are allowed')
    if one.answer is not None and one.answer.status in REFUSALS and runs:
        raise Broken(f'{one.id} was refused {one.answer.status} and ran')


def check_whole(one, events, body):
    """A success that looks complete is whole and proved."""
    answer = one.answer
    if not answer.headers.get('x-response-seal'):
        raise Broken(f'{one.id}: nothing proves the answer')
    if answer.headers.get('x-attempt-id') != one.id:
        raise Broken(f'{one.id}: an answer to {answer.headers}')
    if one.prefix in ('/ask/', '/tell/'):
        check_events(one, events)
    elif answer.is_complete and answer.body != body:
        raise Broken(f'{one.id}: {answer.body!r}')


def check_events(one, events):
    """Events come in order, each once; the last one if it ends well."""
    text = one.answer.body.decode()
    numbers = [
        int(line.removeprefix('id: '))
        for line in text.splitlines()
        if line.startswith('id: ')
    ]
    if numbers != list(range(len(numbers))):
        raise Broken(f'{one.id}: events {numbers}')
    if one.answer.is_complete and len(numbers) != events:
        raise Broken(f'{one.id}: ended after {len(numbers)} of {events}')
