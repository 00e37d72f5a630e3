"""Checks of the promises that hold for each response to a client."""

import collections
import dataclasses

from tests import platform_support as support

# Statuses that tell the client that the request did not run.
REFUSAL_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass
class SentRequest:
    """A request that a client sent, and the response."""

    id: str
    # Path prefix of the route.
    prefix: str
    target: str
    body: bytes
    key: str
    sent_at_s: float
    ended_at_s: float | None = None
    answer: support.Response | None = None
    # Number of the VM that the request was sent to.
    vm: int = 0


class PromiseError(AssertionError):
    """The fleet broke a promise to its clients."""


def check_all(sent, engines, events, body, revoked_at_s, revoke_s):
    """Checks all requests after the last request has ended.

    Args:
        sent: the requests of all clients.
        engines: the engines and services that recorded their requests.
        events: number of events in a complete event stream.
        body: the body of a complete response without events.
        revoked_at_s: time at which each key was revoked, by key.
        revoke_s: time within which a revoked key must stop working.
    """
    runs = collections.Counter()
    sent_by_id = {request.id: request for request in sent}
    for engine in engines:
        for received in engine.executed_requests():
            request_id = received.headers['x-attempt-id']
            runs[request_id] += 1
            check_forwarded(received, sent_by_id.get(request_id))
            check_key(sent_by_id[request_id], revoked_at_s, revoke_s)
    for request in sent:
        check_run_count(request, runs[request.id])
        if request.answer is not None and request.answer.status == 200:
            check_response(request, events, body)


def check_forwarded(received, request):
    """Checks that a back end ran an unchanged request of a client."""
    if request is None:
        raise PromiseError(f'no client sent the request {received}')
    if (received.target, received.body) != (request.target, request.body):
        raise PromiseError(f'{request.id} was changed on its way: {received}')
    if 'authorization' in received.headers:
        raise PromiseError(
            f'{request.id} reached the back end with its API key'
        )
    if received.headers.get('x-tenant') != 'acme':
        raise PromiseError(
            f'{request.id} has a wrong x-tenant header: {received.headers}'
        )


def check_key(request, revoked_at_s, revoke_s):
    """Checks that a request ran only if its key was valid when it was sent.

    A key may still work for `revoke_s` seconds after its revocation.
    """
    key_revoked_at_s = revoked_at_s.get(request.key)
    if (
        key_revoked_at_s is not None
        and request.sent_at_s > key_revoked_at_s + revoke_s
    ):
        late_s = request.sent_at_s - key_revoked_at_s
        raise PromiseError(
            f'{request.id} ran, sent {late_s:.2f} s after its key was revoked'
        )


def check_new_keys(sent, published_at_s, revoked_at_s, apply_s):
    """Checks that no VM refuses a key for good that it must know.

    Holds for each VM: one that may lack the newest configuration must not
    answer 401.
    """
    for request in sent:
        if request.answer is None or request.answer.status != 401:
            continue
        age_s = request.sent_at_s - published_at_s[request.key]
        is_revoked = revoked_at_s.get(request.key, request.ended_at_s) < (
            request.ended_at_s
        )
        if age_s > apply_s and not is_revoked:
            raise PromiseError(
                f'{request.id} got 401 from vm-{request.vm} for a key that '
                f'was published {age_s:.2f} s before'
            )


def check_withdrawals(sent, engines, withdrawals, bound_s):
    """Checks that requests keep away from a withdrawn zone after a bound.

    Holds for each VM: one that may not know of the withdrawal no longer
    accepts API keys.

    Args:
        sent: the requests of all clients.
        engines: the engines and services of the zone.
        withdrawals: start and end of each withdrawal of the zone.
        bound_s: time within which the zone must be left alone.
    """
    sent_by_id = {request.id: request for request in sent}
    for engine in engines:
        for received in engine.executed_requests():
            request = sent_by_id[received.headers['x-attempt-id']]
            for start_s, end_s in withdrawals:
                if (
                    request.sent_at_s > start_s + bound_s
                    and received.received_at_s < end_s
                ):
                    raise PromiseError(
                        f'{request.id} from vm-{request.vm} ran in a zone '
                        f'that was withdrawn '
                        f'{request.sent_at_s - start_s:.2f} s before'
                    )


def check_run_count(request, runs):
    """Checks how often a request ran.

    Requests of non-idempotent routes run at most once, requests of other
    routes at most twice.
    A refused request does not run.
    """
    if request.prefix in ('/once/', '/tell/') and runs > 1:
        raise PromiseError(
            f'{request.id} is not idempotent and ran {runs} times'
        )
    if runs > 2:
        raise PromiseError(
            f'{request.id} ran {runs} times; at most 2 are allowed'
        )
    if (
        request.answer is not None
        and request.answer.status in REFUSAL_STATUSES
        and runs
    ):
        raise PromiseError(
            f'{request.id} ran, but got status {request.answer.status}'
        )


def check_response(request, events, body):
    """Checks the seal, request ID and body of a successful response."""
    answer = request.answer
    if not answer.headers.get('x-response-seal'):
        raise PromiseError(f'{request.id}: response without x-response-seal')
    if answer.headers.get('x-attempt-id') != request.id:
        raise PromiseError(
            f'{request.id}: response to another request: {answer.headers}'
        )
    if request.prefix in ('/ask/', '/tell/'):
        check_events(request, events)
    elif answer.is_complete and answer.body != body:
        raise PromiseError(
            f'{request.id}: wrong response body {answer.body!r}'
        )


def check_events(request, events):
    """Checks the order of events, and their number in a complete response."""
    text = request.answer.body.decode()
    numbers = [
        int(line.removeprefix('id: '))
        for line in text.splitlines()
        if line.startswith('id: ')
    ]
    if numbers != list(range(len(numbers))):
        raise PromiseError(
            f'{request.id}: event numbers {numbers} are not consecutive'
        )
    if request.answer.is_complete and len(numbers) != events:
        raise PromiseError(
            f'{request.id}: complete after {len(numbers)} of {events} events'
        )
