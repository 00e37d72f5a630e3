"""Properties of requests that wait for capacity, in simulated time."""

import asyncio
import contextlib
import dataclasses
import itertools
import random

from galenaquay.configuration import routes
from galenaquay.engines import workload
from galenaquay import ids
from galenaquay.routing import placement
from galenaquay.routing import short_set
from galenaquay import telemetry
from galenaquay.waiting import decision
from galenaquay.waiting import order
from galenaquay.waiting import room as room_module
from galenaquay.waiting import sums
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from tests.properties import path_properties
from tests.properties import simulated_pool

RUNS = path_properties.RUNS

# The engines of the page's load.
TIMES = routes.EngineTimes(
    slots=6,
    memory_tokens=197_200,
    step_ms=1.02,
    step_ms_per_sequence=0.0,
    step_ms_per_k_context=0.0,
    prefill_tokens_per_s=206_000.0,
    prefill_ms_per_m_pairs=0.138,
    steps_per_pass=48,
    typical_answer_tokens=1_500,
)
ROUTES = (
    simulated_pool.make_route('short', 0, 0.25, 0.25),
    simulated_pool.make_route('medium', 1, 1.5, 0.6),
    simulated_pool.make_route('long', 2, 6.0, 1.0),
)
TOKENS = {'short': 4_960, 'medium': 45_000, 'long': 190_000}
ANSWER_TOKENS = {'short': 1_500, 'medium': 1_500, 'long': 1_500}
PER_S = {'short': 57.0, 'medium': 3.9, 'long': 2.4}
WAVE_FACTOR = 2.5
# One in so many long prompts is of the largest size.
LARGEST_TOKENS = 400_000
LARGEST_EVERY = 10
WARM_UP_S = 3.0
WAVE_S = 8.0


async def play(wave_factor, seed, *, has_class=True):
    """Plays the load; returns the callers whose requests arrived in the wave.

    Args:
        wave_factor: Factor of the rate of long prompts during the wave.
        seed: Seed of the arrivals.
        has_class: Whether requests have classes, so that they may wait.
    """
    pool = simulated_pool.Pool(79, 69, TIMES, ROUTES, seed)
    loop = asyncio.get_running_loop()
    requests = []

    async def arrive(name, seconds, factor):
        count = round(PER_S[name] * factor * seconds)
        start_s = loop.time()
        times_s = sorted(pool.rng.uniform(0, seconds) for _ in range(count))
        for number, at_s in enumerate(times_s, 1):
            await asyncio.sleep(max(0.0, start_s + at_s - loop.time()))
            tokens = TOKENS[name]
            if name == 'long' and number % LARGEST_EVERY == 0:
                tokens = LARGEST_TOKENS
            task, writer = pool.ask(
                pool.rng.choice(pool.vms),
                name,
                tokens,
                ANSWER_TOKENS[name],
                has_class=has_class,
            )
            requests.append((task, writer))

    await asyncio.gather(*(arrive(n, WARM_UP_S, 1.0) for n in PER_S))
    wave_at_s = loop.time()
    await asyncio.gather(
        *(
            arrive(n, WAVE_S, wave_factor if n == 'long' else 1.0)
            for n in PER_S
        )
    )
    await asyncio.gather(*(task for task, _ in requests))
    # The releases of reserved memory take a moment.
    await asyncio.sleep(1.0)
    assert not pool.used_tokens()
    for vm in pool.vms:
        assert not any(vm.room.lengths().values())
    for engine in pool.engines_by_id.values():
        assert engine.most_used_tokens <= TIMES.memory_tokens
    await pool.close()
    return [w for _, w in requests if w.arrived_at_s >= wave_at_s]


def good_shares(writers):
    """Returns the share of each kind that was served as its callers expect."""
    shares = {}
    for route in ROUTES:
        own = [w for w in writers if w.name == route.name]
        good = [
            w
            for w in own
            if w.is_complete
            and w.first_event_s <= route.target_s
            and w.longest_gap_s <= route.max_gap_s
        ]
        shares[route.name] = len(good) / len(own)
    return shares


# Largest share of short prompts that the wave may delay beyond what their
# callers accept, and smallest share of long prompts that must be in time.
MAX_SHORT_LOSS = 0.07
MIN_LONG_SHARE = 0.85


def check_wave_of_long_prompts(*, has_class=True):
    """A wave of long prompts delays few short ones, and is itself in time.

    Guards against long prompts on the engines that short prompts need: placed
    at once, the same wave delays about a fifth of the short prompts.
    """
    seed = 3
    usual = simulated_pool.run(lambda: play(1.0, seed, has_class=has_class))
    wave = simulated_pool.run(
        lambda: play(WAVE_FACTOR, seed, has_class=has_class)
    )
    usual_shares, wave_shares = good_shares(usual), good_shares(wave)
    lost = usual_shares['short'] - wave_shares['short']
    assert lost <= MAX_SHORT_LOSS, (usual_shares, wave_shares)
    assert wave_shares['long'] >= MIN_LONG_SHARE, wave_shares


SMALL_REQUESTS = st.lists(
    st.tuples(
        st.floats(0.0, 3.0),
        st.sampled_from(['short', 'medium', 'long']),
        st.integers(1, 12),
        st.one_of(st.none(), st.floats(0.0, 4.0)),
    ),
    min_size=1,
    max_size=25,
)


@settings(RUNS, max_examples=25)
@given(SMALL_REQUESTS, st.integers(0, 5), st.one_of(st.none(), st.just(2.0)))
def check_memory_and_outcomes(requests, seed, shutdown_at_s):
    """Every request has one outcome, and all engine memory is released.

    Guards against a request that both waits and is refused, against a refusal
    after a part of the response, and against memory that a request keeps after
    it went back to the queue or its caller left. Some callers leave, and one
    VM may reject what waits there.
    """

    async def simulate():
        pool = simulated_pool.Pool(3, 4, TIMES, ROUTES, seed)
        loop = asyncio.get_running_loop()
        asked = []

        async def ask(number, at_s, name, size, leaves_after_s):
            await asyncio.sleep(at_s)
            task, writer = pool.ask(
                pool.vms[number % 3], name, size * 20_000, 200
            )
            asked.append((task, writer, leaves_after_s))
            if leaves_after_s is not None:
                loop.call_later(leaves_after_s, task.cancel)
            await asyncio.wait([task])

        async def close_room():
            await asyncio.sleep(shutdown_at_s)
            pool.vms[0].room.close('this VM shuts down')
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert not any(pool.vms[0].room.lengths().values())

        jobs = [ask(n, *request) for n, request in enumerate(requests)]
        if shutdown_at_s is not None:
            jobs.append(close_room())
        await asyncio.gather(*jobs)
        await asyncio.sleep(1.0)
        assert not pool.used_tokens()
        for engine in pool.engines_by_id.values():
            assert engine.most_used_tokens <= TIMES.memory_tokens
            assert not engine.reserved_tokens_by_id
            assert not engine.running
        for vm in pool.vms:
            assert not any(vm.room.lengths().values())
            assert not vm.sums.own_sums()
            assert not vm.workload.own_loads()
        for task, writer, leaves_after_s in asked:
            if task.cancelled():
                assert leaves_after_s is not None
                continue
            assert task.exception() is None
            # A begun response is whole, and a refused one has not begun.
            assert writer.is_complete == writer.is_started
            assert writer.status in ((200,) if writer.is_started else (503,))
        await pool.close()

    simulated_pool.run(simulate)


def check_pool_of_one_engine():
    """A long prompt does not wait for other engines where there are none.

    Guards against a pool whose engines are all kept for short prompts.
    """

    async def simulate():
        pool = simulated_pool.Pool(1, 1, TIMES, ROUTES, 1)
        task, writer = pool.ask(pool.vms[0], 'long', 100_000, 200)
        await task
        assert writer.first_event_s < 1.5, writer.first_event_s
        await pool.close()

    simulated_pool.run(simulate)


def check_refused_memory():
    """Requests that choose the same memory at once are all served.

    Guards against a request that engines refuse memory several times and that
    is rejected although it can be served later, and against two requests that
    hold half of each other's memory.
    """

    async def simulate(seed):
        pool = simulated_pool.Pool(2, 4, TIMES, ROUTES, seed)
        asked = [pool.ask(vm, 'long', 400_000, 200) for vm in pool.vms]
        await asyncio.gather(*(task for task, _ in asked))
        assert all(writer.is_complete for _, writer in asked)
        await asyncio.sleep(1.0)
        assert not pool.used_tokens()
        await pool.close()
        return pool.refused_reservations

    refused = [
        simulated_pool.run(lambda seed=seed: simulate(seed))
        for seed in range(5)
    ]
    assert any(refused), refused


TIMES_S = st.floats(0.0, 20.0)
NEEDS = st.builds(
    order.Need,
    priority_class=st.integers(0, 3),
    arrived_at_s=TIMES_S,
    target_at_s=st.floats(0.0, 30.0),
    deadline_s=st.floats(0.0, 60.0),
    idle_first_event_s=st.floats(0.01, 4.0),
    idle_fastest_s=st.floats(0.01, 4.0),
    decode_s=st.floats(0.0, 5.0),
    prefill_s=st.floats(0.0, 30.0),
)


WAITS_S = st.integers(0, 20).map(lambda half_seconds: half_seconds / 2)


@settings(RUNS, max_examples=500)
@given(NEEDS, st.integers(0, 3), WAITS_S, WAITS_S)
def check_waiting_order(need, other_class, waited_s, other_waited_s):
    """A less urgent request goes first only as far as its wait explains.

    Guards against an order in which slack or size outweighs the class, and
    against ageing by more than one class for each interval.
    """
    now_s = 20.0
    need = dataclasses.replace(need, arrived_at_s=now_s - waited_s)
    arrived_at_s = now_s - other_waited_s
    other = dataclasses.replace(
        need,
        priority_class=ids.PriorityClass(other_class),
        arrived_at_s=arrived_at_s,
    )
    if order.sort_key(other, now_s) < order.sort_key(need, now_s):
        aged_by = (now_s - arrived_at_s) // order.AGEING_INTERVAL_S
        assert max(0, other_class - aged_by) < need.priority_class
    if other_class < need.priority_class and (
        now_s - need.arrived_at_s < order.AGEING_INTERVAL_S
    ):
        assert order.sort_key(other, now_s) < order.sort_key(need, now_s)
    # A request never waits for one of a less urgent class.
    if other_class > need.priority_class:
        assert not order.is_behind(need, [other], now_s)


@RUNS
@given(
    NEEDS,
    st.floats(0.0, 30.0),
    st.one_of(st.none(), st.floats(0.0, 20.0)),
    st.booleans(),
    st.booleans(),
)
def check_waiting_decision(
    need, waited_s, first_event_s, gives_way, is_behind
):
    """A request waits only while that can help, and gives way until it is due.

    Guards against a rejection of what could still be served, a placement that
    begins after the time limit, and a less urgent request on engines kept for
    short prompts while it can still meet its target elsewhere.
    """
    now_s = need.arrived_at_s + waited_s
    engines = decision.usable_engines(need, now_s)
    decided = decision.decide(
        need, now_s, first_event_s, gives_way=gives_way, is_behind=is_behind
    )
    is_placed = decided.action is decision.Action.PLACE
    can_be_served = need.idle_fastest_s <= need.deadline_s - now_s
    assert (decided.action is decision.Action.REJECT) == (not can_be_served)
    assert bool(decided.reason) == (not is_placed)
    if is_placed:
        assert first_event_s is not None
        assert first_event_s <= need.deadline_s - now_s
    is_due = need.priority_class > 0 and engines is decision.Engines.ANY
    if (gives_way or is_behind) and not is_due:
        assert not is_placed
    if need.priority_class and now_s < min(
        need.target_start_s, need.last_target_start_s
    ):
        bound_s = need.priority_class * order.AGEING_INTERVAL_S
        has_aged = waited_s >= bound_s - 1e-6
        assert engines is not decision.Engines.ANY or has_aged


ROOM_STEPS = st.lists(
    st.tuples(
        st.floats(0.0, 0.3),
        st.integers(0, 3),
        st.integers(0, 40_000_000),
        st.one_of(st.none(), st.floats(0.0, 1.0)),
        st.floats(0.0, 2.0),
    ),
    min_size=1,
    max_size=30,
)


class WaitingVm:
    """The queue of one VM, and requests that fit after some time."""

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.sums = sums.WaitingSums(clock=self.loop.time)
        self.room = room_module.Room(
            workload.Workload(self.loop.time),
            self.sums,
            self.refresh_loads,
            telemetry.TextMetrics(),
            random.Random(1),
        )
        self.placed_at_s = []
        self.tries = 0
        self._numbers = itertools.count()

    async def refresh_loads(self):
        pass

    def make_waiter(self, priority_class, body_bytes, fits_after_s):
        now_s = self.loop.time()

        def place(engines):
            self.tries += 1
            if self.loop.time() < now_s + fits_after_s:
                return None
            self.placed_at_s.append(self.loop.time())
            return placement.Placement(None, first_event_s=0.1)

        return room_module.Waiter(
            ids.RequestId(f'q{next(self._numbers)}'),
            path_properties.POOL,
            order.Need(
                priority_class,
                now_s,
                now_s + 3.0,
                now_s + 4.0,
                idle_first_event_s=0.1,
                idle_fastest_s=0.1,
                decode_s=0.1,
                prefill_s=0.1,
            ),
            body_bytes,
            place,
        )

    async def ask(self, at_s, priority_class, body_bytes, leaves_s, fits_s):
        """Returns the outcome of a request; None if its caller left."""
        await asyncio.sleep(at_s)
        waiter = self.make_waiter(priority_class, body_bytes, fits_s)
        task = asyncio.ensure_future(self.room.wait(waiter))
        if leaves_s is not None:
            self.loop.call_later(leaves_s, task.cancel)
        with contextlib.suppress(asyncio.CancelledError):
            return await task
        return None

    async def watch(self):
        """Checks that the reported sums are those of the queue."""
        while True:
            await asyncio.sleep(0.05)
            waiting = sum(self.room.lengths().values())
            known = self.sums.own_sums().values()
            assert waiting == sum(own.requests for own in known)


@settings(RUNS, max_examples=60)
@given(ROOM_STEPS)
def check_waiting_room(steps):
    """Each request leaves the queue once, and decisions are few.

    Guards against a request that stays in the queue after its caller left, a
    round that places several requests by the same loads, and decisions whose
    number grows with the queue.
    """

    async def simulate():
        vm = WaitingVm()
        watching = asyncio.ensure_future(vm.watch())
        began_at_s = vm.loop.time()
        outcomes = await asyncio.gather(*(vm.ask(*step) for step in steps))
        rounds = (vm.loop.time() - began_at_s) / (
            room_module.MIN_ROUND_S * room_module.MIN_RANDOM_FACTOR
        )
        assert vm.tries <= (rounds + 1) * room_module.MAX_TRIES
        assert not watching.done()
        watching.cancel()
        for outcome, step in zip(outcomes, steps, strict=True):
            assert outcome is not None or step[3] is not None
        assert not any(vm.room.lengths().values())
        assert not vm.sums.own_sums()
        assert len(set(vm.placed_at_s)) == len(vm.placed_at_s)

    simulated_pool.run(simulate)


def check_waiting_bounds():
    """Beyond the bounds, the least urgent and latest request is rejected.

    Guards against bodies that fill the memory of a VM, and against a rejection
    of urgent requests while less urgent ones wait.
    """

    async def simulate():
        vm = WaitingVm()
        half = room_module.MAX_BODY_BYTES // 2
        asked = [
            asyncio.ensure_future(vm.ask(at_s, kind, half, None, 2.0))
            for at_s, kind in ((0.0, 1), (0.01, 2), (0.02, 0), (0.03, 2))
        ]
        outcomes = await asyncio.gather(*asked)
        rejected = [isinstance(o, room_module.Rejection) for o in outcomes]
        assert rejected == [False, True, False, True], outcomes

    simulated_pool.run(simulate)


def check_short_set_of_classes():
    """Long answers of less urgent classes do not enlarge the short set.

    Guards against a wave that turns most engines into ones that are kept.
    """
    engines = [path_properties.make_engine(number) for number in range(60)]
    group = workload.DecodingGroup(max_gap_s=1.0, count=4, value=80.0)
    load = workload.EndpointLoad(running=4, decoding_groups=(group,))
    loads = {engine.id: load for engine in engines}
    sizes = [
        len(short_set.engines_for_short_prompts(engines, loads, 6, pause_s))
        for pause_s in (None, 1.0, 0.25)
    ]
    assert sizes[0] > 36 and sizes[1] > 36, sizes
    assert sizes[2] == 60 * short_set.MIN_SET_SHARE, sizes
