"""Properties of which VMs are asked to forward a request."""

import asyncio
import dataclasses
import random

from galenaquay.adapters import relay_grpc
from galenaquay.engines import contact as contact_module
from galenaquay.engines import directory as directory_module
from galenaquay import ids
from galenaquay.membership import fleet as fleet_module
from galenaquay.outcomes import relaying
from galenaquay.ports import exchange
from galenaquay.ports import relays
from galenaquay import telemetry
from hypothesis import given
from hypothesis import strategies as st

from tests.properties import memory_properties
from tests.properties import path_properties
from tests.properties import relay_properties
from tests.properties import simulated_attempts

RUNS = path_properties.RUNS
# Largest number of VMs that may be asked for one request, and the longest time
# that asking may take if none can forward it, in seconds.
MAX_ASKED = 8
MAX_ASKING_S = 2.0
MAX_ROUNDS = 2


class SomeCutOff:
    """Other VMs, of which some do not reach endpoints or are not reached.

    Args:
        cut_off: the addresses of VMs that decline.
        unreachable: the addresses of VMs that are not reached.
    """

    def __init__(self, cut_off, unreachable=()):
        self._cut_off = cut_off
        self._unreachable = unreachable
        self.asked = []

    async def forward(self, address, passed, time_left_s, writer):
        self.asked.append(address)
        if address in self._unreachable:
            await asyncio.sleep(relay_grpc.READY_TIMEOUT_S)
        if address in self._cut_off or address in self._unreachable:
            return relays.Relayed(relays.Outcome.NOT_RUN)
        return relays.Relayed(relays.Outcome.ANSWERED, 200)


def members_of(zone_sizes):
    """Returns the VMs of zones, the first of which is this VM."""
    return [
        fleet_module.Member(
            ids.VmId(f'vm-{zone}-{number}'),
            ids.Incarnation(1),
            f'127.0.{zone}.{number}:1',
            ids.ZoneName(f'z{zone}'),
        )
        for zone, size in enumerate(zone_sizes)
        for number in range(size)
    ]


def relay_some(members, others, interval_s, seed, count=40):
    """Has the first VM relay requests; returns outcomes and times.

    Args:
        members: the VMs.
        others: the port to the other VMs.
        interval_s: time between two requests, in seconds.
        seed: seed of the random choices.
        count: number of requests.
    """
    loop = memory_properties.SimulatedTimeLoop()

    async def relay_all():
        fleet = fleet_module.Fleet(members[0], (), loop.time)
        for member in members[1:]:
            fleet.record_contact(member)
        chosen = relaying.Relaying(
            contact_module.Contact(directory_module.Directory(loop.time)),
            fleet,
            others,
            telemetry.TextMetrics(),
            random.Random(seed),
        )
        passed = relay_properties.pass_on(relay_properties.make_request())
        outcomes = []
        for _ in range(count):
            for member in members[1:]:
                fleet.record_contact(member)
            start_s = loop.time()
            relayed = await chosen.relay(
                passed, loop.time() + 8.0, relay_properties.Writer()
            )
            outcomes.append((relayed.outcome, loop.time() - start_s))
            await asyncio.sleep(interval_s)
        return outcomes

    try:
        return loop.run_until_complete(relay_all())
    finally:
        loop.close()


@RUNS
@given(
    st.lists(st.integers(2, 40), min_size=2, max_size=5),
    st.floats(0.02, 2.0),
    st.integers(0, 1000),
)
def check_relay_past_zone(zone_sizes, interval_s, seed):
    """Each request is forwarded although all VMs of the zone are cut off."""
    members = members_of(zone_sizes)
    others = SomeCutOff({m.address for m in members if m.zone == 'z0'})
    outcomes = relay_some(members, others, interval_s, seed)
    assert {o for o, _ in outcomes} == {relays.Outcome.ANSWERED}, outcomes


@RUNS
@given(
    st.lists(st.integers(2, 40), min_size=2, max_size=5),
    st.floats(0.2, 0.75),
    st.floats(0.02, 2.0),
    st.integers(0, 1000),
)
def check_relay_past_many(zone_sizes, share, interval_s, seed):
    """Nearly each is forwarded although most VMs of all zones are cut off."""
    members = members_of(zone_sizes)
    cut_off = random.Random(seed).sample(
        members[1:], int(share * (len(members) - 1))
    )
    others = SomeCutOff({m.address for m in cut_off})
    outcomes = relay_some(members, others, interval_s, seed)
    served = sum(o is relays.Outcome.ANSWERED for o, _ in outcomes)
    assert served * 20 >= len(outcomes) * 19, outcomes


@RUNS
@given(st.integers(2, 60), st.floats(0.02, 2.0), st.integers(0, 1000))
def check_relay_to_none(size, interval_s, seed):
    """Few VMs are asked, and not for long, while no VM can forward."""
    members = members_of([size, size])
    addresses = [m.address for m in members]
    declining = SomeCutOff(addresses)
    outcomes = relay_some(members, declining, interval_s, seed)
    assert {o for o, _ in outcomes} == {relays.Outcome.NOT_RUN}
    assert len(declining.asked) <= MAX_ASKED * len(outcomes)
    silent = SomeCutOff((), addresses)
    outcomes = relay_some(members, silent, interval_s, seed)
    assert {o for o, _ in outcomes} == {relays.Outcome.NOT_RUN}
    assert max(took_s for _, took_s in outcomes) <= MAX_ASKING_S, outcomes


class NoneForwards:
    """A VM that is cut off, and others of which none forwards a request."""

    def __init__(self):
        self.rounds = 0

    def is_needed(self):
        return True

    async def relay(self, passed, deadline_s, writer):
        self.rounds += 1
        return relays.Relayed(relays.Outcome.NOT_RUN)


def check_relay_rounds():
    """A request that none forwards has others asked twice at most.

    At the end it is refused as not run.
    """
    plan = simulated_attempts.Plan(0.25, failure=exchange.Failure.NOT_SENT)
    for is_stream in (False, True):
        others = NoneForwards()

        def prepare(case, others=others):
            case.dependencies = dataclasses.replace(
                case.dependencies, relaying=others
            )

        case = simulated_attempts.play([plan], prepare, is_stream=is_stream)
        assert case.writer.status == 503
        assert 1 <= others.rounds <= MAX_ROUNDS, others.rounds
