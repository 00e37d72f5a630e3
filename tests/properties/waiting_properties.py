"""Properties of requests that wait for capacity, in simulated time."""

import asyncio
import math

from galenaquay.configuration import routes

from tests.properties import simulated_pool

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
    assert not any(
        vm.room.lengths() and any(vm.room.lengths().values())
        for vm in pool.vms
    )
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
