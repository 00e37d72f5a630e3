"""Properties of requests that a VM has another one forward."""

import asyncio
import collections
import dataclasses
import random
import socket
import types

from galenaquay.adapters import relay_grpc
from galenaquay.configuration import current as current_module
from galenaquay.configuration import freshness
from galenaquay.engines import contact as contact_module
from galenaquay.engines import directory as directory_module
from galenaquay import ids
from galenaquay.outcomes import forwarding
from galenaquay.ports import exchange
from galenaquay.ports import relays
from galenaquay import telemetry
import grpclib.server
from hypothesis import given
from hypothesis import strategies as st

from tests.properties import document_properties
from tests.properties import path_properties

RUNS = path_properties.RUNS
LARGE_BYTES = 4 * 1024 * 1024
CHUNK = bytes(64 * 1024)
# Largest part of a response that may be on its way to a caller who does not
# read, in bytes.
MAX_HELD_BYTES = 1024 * 1024
QUIET_S = 0.5
# Version of the configuration in force at both VMs.
VERSION = 5


class Writer:
    """Caller's side of a response."""

    def __init__(self, reads=True):
        self.is_started = False
        self.calls = []
        self._reads = reads

    async def start(self, head):
        self.is_started = True
        self.calls.append(('start', head))

    async def write(self, data):
        self.calls.append(('write', data))
        if not self._reads:
            await asyncio.Event().wait()

    async def finish(self):
        self.calls.append(('finish',))

    def abort(self):
        self.calls.append(('abort',))

    async def send_whole(self, head, body):
        self.is_started = True
        self.calls.append(('whole', head, body))

    async def refuse(self, status, reason, retry_after_s=None):
        self.calls.append(('refuse', status, reason, retry_after_s))


class Forwarder:
    """Forwarder of the other VM, whose answer is a function of a writer."""

    def __init__(self, answer):
        self._answer = answer
        self.requests = []
        self.is_cancelled = False

    async def serve(self, request, writer, *, is_relayed, attempts):
        assert is_relayed
        self.requests.append((request, attempts))
        try:
            await self._answer(writer)
        except asyncio.CancelledError:
            self.is_cancelled = True
            raise


def make_request(**changes):
    request = exchange.Request(
        ids.RequestId('caf\udce9'),
        'POST',
        '/x?\udcff=1',
        'shop.example',
        (('X-A', 'b\udce9'), ('x-a', '')),
        b'{}',
        ids.ApiKey('k\udcff'),
        float('inf'),
        prompt_tokens=5000,
        last_event_id='',
        shared_parts=(ids.PromptPartId('aa'),),
    )
    return dataclasses.replace(request, **changes)


def pass_on(request, attempts=0, version=VERSION):
    return relays.PassedRequest(request, attempts, version)


def make_current(version=VERSION):
    current = current_module.RouteTableInForce(5.0, freshness.Freshness(5.0))
    if version:
        current.offer(document_properties.make_table(version))
    return current


async def start_server(relay_server):
    """Starts a server; returns it and its port."""
    listener = socket.socket()
    listener.bind(('127.0.0.1', 0))
    server = grpclib.server.Server([relay_server])
    await server.start(sock=listener)
    return server, listener.getsockname()[1]


async def relay(answer, request=None, writer=None, accepts=lambda: True):
    """Has a server forward a request; returns all that can be seen of it."""
    forwarder = Forwarder(answer)
    relay_server = relay_grpc.RelayServer(forwarder, make_current(), accepts)
    server, port = await start_server(relay_server)
    writer = writer or Writer()
    try:
        relayed = await relay_grpc.GrpcRelays(ids.VmId('vm-0')).forward(
            f'127.0.0.1:{port}',
            pass_on(request or make_request(), attempts=1),
            3.0,
            writer,
        )
    finally:
        server.close()
        await server.wait_closed()
    return relayed, writer.calls, forwarder


def run(coroutine):
    loop = asyncio.new_event_loop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()


HEAD = exchange.Head(200, (('X-Seal', 's\udce9'),), is_stream=True)


def check_relayed_request():
    """A request and a whole response of any size arrive byte for byte."""
    request = make_request(body=bytes(LARGE_BYTES))
    whole = exchange.Head(404, (('A', 'b'),), is_stream=False)

    async def answer(writer):
        await writer.send_whole(whole, bytes(LARGE_BYTES))

    relayed, calls, forwarder = run(relay(answer, request))
    assert relayed == relays.Relayed(relays.Outcome.ANSWERED, 404)
    assert calls == [('whole', whole, bytes(LARGE_BYTES))]
    ((received, attempts),) = forwarder.requests
    assert attempts == 1
    assert received.deadline_s < float('inf')
    assert dataclasses.replace(received, deadline_s=float('inf')) == request


def check_relayed_ends():
    """A response that ends early, and a refusal, are known for what they are.

    A VM that reaches no endpoint either has not run the request; an answer
    that is not complete does not look so.
    """

    async def stream(writer):
        await writer.start(HEAD)
        await writer.write(b'data: 1\n\n')
        await writer.finish()

    async def broken(writer):
        await writer.start(HEAD)
        await writer.write(b'data: 1\n\n')
        writer.abort()

    async def failing(writer):
        raise RuntimeError('unexpected')

    async def failing_late(writer):
        await stream(writer)
        raise RuntimeError('unexpected')

    async def refusal(writer):
        await writer.refuse(503, 'full', 1.5)

    begun = [('start', HEAD), ('write', b'data: 1\n\n')]
    outcomes = relays.Outcome
    for answer, outcome, calls in (
        (stream, outcomes.ANSWERED, [*begun, ('finish',)]),
        (broken, outcomes.BROKEN, [*begun, ('abort',)]),
        (failing, outcomes.LOST, []),
        (failing_late, outcomes.ANSWERED, [*begun, ('finish',)]),
        (refusal, outcomes.REFUSED, [('refuse', 503, 'full', 1.5)]),
    ):
        relayed, seen, _ = run(relay(answer))
        assert (relayed.outcome, seen) == (outcome, calls), (answer, seen)
    accepting = iter((True, False))
    relayed, seen, _ = run(relay(refusal, accepts=lambda: next(accepting)))
    assert (relayed.outcome, seen) == (outcomes.NOT_RUN, [])
    relayed, seen, forwarder = run(relay(stream, accepts=lambda: False))
    assert (relayed.outcome, seen) == (outcomes.NOT_RUN, [])
    assert not forwarder.requests


def check_relayed_slow_caller():
    """Little is held for a caller that does not read; its end ends all."""
    sent = collections.Counter()

    async def endless(writer):
        await writer.start(HEAD)
        while True:
            await writer.write(CHUNK)
            sent['bytes'] += len(CHUNK)

    async def check():
        forwarder = Forwarder(endless)
        server, port = await start_server(
            relay_grpc.RelayServer(forwarder, make_current(), lambda: True)
        )
        pending = asyncio.ensure_future(
            relay_grpc.GrpcRelays(ids.VmId('vm-0')).forward(
                f'127.0.0.1:{port}',
                pass_on(make_request()),
                3.0,
                Writer(False),
            )
        )
        await asyncio.sleep(QUIET_S)
        assert 0 < sent['bytes'] <= MAX_HELD_BYTES, sent
        pending.cancel()
        await asyncio.wait([pending])
        await asyncio.sleep(QUIET_S)
        assert forwarder.is_cancelled
        server.close()
        await server.wait_closed()

    run(check())


def check_relayed_config():
    """A VM with an older configuration does not handle a request by it.

    It waits a short time for the newer one.
    """

    async def not_found(writer):
        await writer.refuse(404, 'no route')

    async def ask(current, newer_after_s=None):
        forwarder = Forwarder(not_found)
        server, port = await start_server(
            relay_grpc.RelayServer(forwarder, current, lambda: True)
        )
        if newer_after_s is not None:
            asyncio.get_running_loop().call_later(
                newer_after_s,
                current.offer,
                document_properties.make_table(VERSION),
            )
        try:
            relayed = await relay_grpc.GrpcRelays(ids.VmId('vm-0')).forward(
                f'127.0.0.1:{port}', pass_on(make_request()), 3.0, Writer()
            )
        finally:
            server.close()
            await server.wait_closed()
        return relayed.outcome, len(forwarder.requests)

    refused = (relays.Outcome.REFUSED, 1)
    declined = (relays.Outcome.NOT_RUN, 0)
    for version, newer_after_s, expected in (
        (VERSION, None, refused),
        (VERSION + 1, None, refused),
        (VERSION - 1, None, declined),
        (0, None, declined),
        (VERSION - 1, 0.1, refused),
        (0, 0.1, refused),
    ):
        seen = run(ask(make_current(version), newer_after_s))
        assert seen == expected, (version, newer_after_s, seen)


def check_relayed_admission():
    """A VM that cannot decide on a request leaves it to another VM.

    What it can decide on, it does.
    """

    async def ask(version, is_confirmed, accepts_until_s):
        current = make_current(version)
        if is_confirmed:
            current.confirm(current.now_s())
        dependencies = types.SimpleNamespace(
            current=current,
            lifetime=types.SimpleNamespace(accepts_until_s=accepts_until_s),
            metrics=telemetry.TextMetrics(),
            rng=random.Random(1),
        )
        server, port = await start_server(
            relay_grpc.RelayServer(
                forwarding.Forwarder(dependencies), current, lambda: True
            )
        )
        try:
            relayed = await relay_grpc.GrpcRelays(ids.VmId('vm-0')).forward(
                f'127.0.0.1:{port}',
                pass_on(make_request(), version=version),
                3.0,
                Writer(),
            )
        finally:
            server.close()
            await server.wait_closed()
        return relayed.outcome, relayed.status

    never_s = float('inf')
    declined = (relays.Outcome.NOT_RUN, 0)
    for arguments, expected in (
        ((VERSION, True, never_s), (relays.Outcome.REFUSED, 404)),
        ((VERSION, False, never_s), declined),
        ((0, False, never_s), declined),
        ((VERSION, True, 0.0), declined),
    ):
        seen = run(ask(*arguments))
        assert seen == expected, (arguments, seen)


def endpoint(number):
    return directory_module.Endpoint(
        ids.EndpointId(f'e{number}'),
        ids.ServiceName('s'),
        '127.0.0.1',
        9000 + number,
        ids.ZoneName('ba'),
        8,
        directory_module.EndpointState.READY,
    )


@RUNS
@given(
    st.integers(1, 14),
    st.lists(
        st.one_of(
            st.tuples(st.just('fail'), st.integers(0, 13)),
            st.tuples(st.just('connect'), st.just(0)),
            st.tuples(st.just('pass'), st.integers(1, 12)),
        ),
        max_size=40,
    ),
)
def check_contact(listed, steps):
    """A VM is cut off only after enough endpoints failed in a row.

    Those are ten, or all if fewer are listed, within the time for which a
    failure counts, with no connection in between; one connection ends it.
    """
    now_s = 100.0
    directory = directory_module.Directory(lambda: now_s)
    for number in range(listed):
        directory.put(endpoint(number))
    contact = contact_module.Contact(directory, lambda: now_s)
    failed_at_s_by_number = {}
    is_cut_off = False
    for step, number in steps:
        if step == 'pass':
            now_s += number / 10
        elif step == 'connect':
            contact.record_connected()
            failed_at_s_by_number.clear()
            is_cut_off = False
        elif number < listed:
            contact.record_unreachable(ids.EndpointId(f'e{number}'))
            failed_at_s_by_number[number] = now_s
            recent = [
                at_s
                for at_s in failed_at_s_by_number.values()
                if now_s - at_s <= contact_module.FAILURE_MEMORY_S
            ]
            is_cut_off = is_cut_off or len(recent) >= min(10, listed)
        assert contact.is_cut_off() == is_cut_off
