"""Checks of the promises that hold for each response to a client."""

import collections
import dataclasses

from tests import platform_support as support

# Statuses that tell the client that the request did not run.
REFUSAL_STATUSES = (408, 421, 429, 503)
# Time after an engine's first answer that it shuts down from which a VM sends
# it no requests, in seconds.
SHUTDOWN_BOUND_S = 2.0
# Time after an engine has asked for time from which requests to it count, in
# seconds, and the largest number of them.
WAIT_SLACK_S = 0.5
MAX_REQUESTS_MEANWHILE = 2
# Longest time that a fault lasts, with the recovery, in seconds.
FAULT_LASTS_S = 4.0


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
    body = request.body
    if received.late_body is not None:
        # The connection may end before a late reader has the body, through a
        # fault or because the client has left; `check_late_bodies` says when
        # this must not happen.
        body = body[: len(received.body)]
    if (received.target, received.body) != (request.target, body):
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


def check_notices(sent, engines, process_faults_s, engine_faults_s):
    """Checks that requests keep away from engines that say so.

    Args:
        sent: the requests of all clients.
        engines: the engines and services that recorded their requests.
        process_faults_s: times of faults of each VM's process, by VM.
        engine_faults_s: times of faults of the connections to each engine, by
            its name.
    """
    sent_by_id = {request.id: request for request in sent}
    for engine in engines:
        received_by_run = collections.defaultdict(list)
        for received in engine.received:
            request = sent_by_id.get(received.attempt_id)
            if request is not None:
                run = (received.run_started_at_ms, request.vm)
                received_by_run[run].append((received, request))
        for (_, vm), pairs in received_by_run.items():
            check_shutdown(engine.name, pairs, process_faults_s[vm])
            check_waits(
                engine.name,
                pairs,
                [*process_faults_s[vm], *engine_faults_s[engine.name]],
            )


def check_late_bodies(sent, engines, process_faults_s, engine_faults_s):
    """Checks that late readers get the body of a request that succeeded.

    Args:
        sent: the requests of all clients.
        engines: the engines and services that recorded their requests.
        process_faults_s: times of faults of each VM's process, by VM.
        engine_faults_s: times of faults of the connections to each engine, by
            its name.
    """
    sent_by_id = {request.id: request for request in sent}
    for engine in engines:
        for received in engine.received:
            request = sent_by_id.get(received.attempt_id)
            if (
                received.late_body is None
                or not received.has_run
                or not received.late_body.done()
                or request is None
                or request.answer is None
                or request.answer.status != 200
                or not request.answer.is_complete
                or received.body == request.body
            ):
                continue
            faults_s = [
                *process_faults_s[request.vm],
                *engine_faults_s[engine.name],
            ]
            until_s = received.received_at_s + FAULT_LASTS_S
            if not has_fault(faults_s, received.received_at_s, until_s):
                raise PromiseError(
                    f'{request.id} succeeded, but {engine.name} got '
                    f'{len(received.body)} of {len(request.body)} bytes'
                )


def has_fault(faults_s, from_s, until_s):
    """Returns whether a fault was in progress between two times."""
    return any(from_s - FAULT_LASTS_S < s < until_s for s in faults_s)


def check_shutdown(name, pairs, process_faults_s):
    """Checks what a VM sends after it has passed on a farewell.

    Args:
        name: the engine.
        pairs: the requests that one run of it received from one VM, with
            those of the clients.
        process_faults_s: times of faults of the VM's process.
    """
    passed_on_at_s = min(
        (
            request.ended_at_s
            for received, request in pairs
            if received.says_leaving
            and request.answer is not None
            and request.answer.headers.get('server-leaving')
        ),
        default=float('inf'),
    )
    for received, request in pairs:
        if request.sent_at_s > passed_on_at_s + SHUTDOWN_BOUND_S and (
            not has_fault(
                process_faults_s, passed_on_at_s, received.received_at_s
            )
        ):
            late_s = request.sent_at_s - passed_on_at_s
            raise PromiseError(
                f'{request.id} reached {name} from vm-{request.vm}, sent '
                f'{late_s:.2f} s after its answer that it shuts down'
            )


def check_waits(name, pairs, faults_s):
    """Checks what a VM sends while an engine wants no requests from it."""
    for turned_away, request in pairs:
        if turned_away.retry_after is None:
            continue
        at_s = turned_away.received_at_s
        until_s = at_s + float(turned_away.retry_after)
        meanwhile = [
            received
            for received, _ in pairs
            if at_s + WAIT_SLACK_S < received.received_at_s < until_s
        ]
        if len(meanwhile) > MAX_REQUESTS_MEANWHILE and not has_fault(
            faults_s, at_s, until_s
        ):
            raise PromiseError(
                f'{name} turned away {request.id} from vm-{request.vm} for '
                f'{turned_away.retry_after} s and got {len(meanwhile)} '
                'requests from it meanwhile'
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
