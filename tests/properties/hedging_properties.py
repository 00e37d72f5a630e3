"""Properties of the decision whether a slow request is hedged."""

import dataclasses
import math
import random

from galenaquay import ids
from galenaquay.outcomes import hedging
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from tests.properties import path_properties

RUNS = path_properties.RUNS
SERVICE = ids.ServiceName('ledger')
KIND = hedging.Kind(SERVICE, ids.RouteName('look'), 0)
# A situation in which a hedge may be sent as far as the shares allow it.
GOOD = hedging.Situation(
    service=SERVICE,
    priority_class=None,
    account=ids.AccountId('a0'),
    may_repeat=True,
    attempts=1,
    max_attempts=2,
    is_shutting_down=False,
    has_waiting_requests=False,
    is_suspected=False,
    time_left_s=1.0,
    expected_s=0.1,
    retries_left=5.0,
)
# For each reason, what is different from GOOD.
OBSTACLES = {
    hedging.Decision.NOT_REPEATABLE: {'may_repeat': False},
    hedging.Decision.RETRIED: {'attempts': 2, 'max_attempts': 3},
    hedging.Decision.NO_ATTEMPT_LEFT: {'max_attempts': 1},
    hedging.Decision.SHUTDOWN: {'is_shutting_down': True},
    hedging.Decision.REQUESTS_WAIT: {'has_waiting_requests': True},
    hedging.Decision.SUSPECTED_PROMPT: {'is_suspected': True},
    hedging.Decision.NO_ENDPOINT: {'expected_s': None},
    hedging.Decision.TOO_LATE: {'expected_s': 1.1},
    hedging.Decision.RETRY_BUDGET: {'retries_left': 3.4},
    hedging.Decision.FLEET_SHARE: {},
    hedging.Decision.ACCOUNT_SHARE: {'account': ids.AccountId('a1')},
    hedging.Decision.SHORTAGE: {
        'priority_class': ids.PriorityClass(1),
    },
}


def make_hedging(clock, fleet=0.1, account=0.1, requests=100):
    """Returns limits after some requests of one account."""
    limits = hedging.Hedging(hedging.Shares(fleet, account), clock)
    for _ in range(requests):
        limits.record_request(GOOD.account)
    return limits


def find_delay(limits, kind=KIND, **changes):
    params = {
        'may_repeat': True,
        'attempts': 1,
        'max_attempts': 2,
        'is_split': False,
        **changes,
    }
    return limits.find_delay(kind, **params)


@RUNS
@given(
    st.floats(0.001, hedging.MAX_FLEET_SHARE),
    st.floats(0.001, 1.0),
    st.integers(1, 8),
    st.lists(
        st.tuples(st.integers(0, 7), st.integers(0, 2), st.integers(0, 40)),
        max_size=60,
    ),
)
def check_hedges_within_share(fleet, account, vms, bursts):
    """The hedges of all VMs never exceed either share of their requests.

    The VMs know nothing of each other, as in a partition. Each burst is a
    number of requests of one account at one VM, after which that VM tries to
    hedge all of them. Guards against shares that start with a credit, are
    saved up without bound, or are counted for one limit only.
    """
    all_limits = [
        hedging.Hedging(hedging.Shares(fleet, account), lambda: 0.0)
        for _ in range(vms)
    ]
    requests_by_account = dict.fromkeys(range(3), 0)
    hedges_by_account = dict.fromkeys(range(3), 0)
    for vm, number, count in bursts:
        limits = all_limits[vm % vms]
        name = ids.AccountId(f'a{number}') if number else None
        for _ in range(count):
            limits.record_request(name)
        requests_by_account[number] += count
        situation = dataclasses.replace(GOOD, account=name)
        sent = [limits.decide(situation) for _ in range(count)].count(
            hedging.Decision.SEND
        )
        assert sent <= hedging.MAX_SAVED_HEDGES
        hedges_by_account[number] += sent
        total = sum(requests_by_account.values())
        rounding = 1e-6
        assert sum(hedges_by_account.values()) <= fleet * total + rounding
        for each, hedges in hedges_by_account.items():
            assert hedges <= account * requests_by_account[each] + rounding


def check_hedges_use_share():
    """The share is used if slow requests come one after the other.

    Guards against limits that never let a hedge through.
    """
    limits = make_hedging(lambda: 0.0, requests=0)
    sent = 0
    for _ in range(1000):
        limits.record_request(GOOD.account)
        sent += limits.decide(GOOD) is hedging.Decision.SEND
    assert 98 <= sent <= 100, sent
    assert 0.098 <= limits.used_share() <= 0.1


@RUNS
@given(st.sets(st.sampled_from(sorted(OBSTACLES, key=str)), max_size=3))
def check_hedge_obstacles(reasons):
    """No request is hedged while any reason is against it.

    Guards against a reason that counts only if no other does, and against
    hedges that use up shares without being sent.
    """
    is_without_share = hedging.Decision.FLEET_SHARE in reasons
    limits = make_hedging(lambda: 0.0, requests=9 if is_without_share else 50)
    limits.record_shortage(SERVICE, ids.PriorityClass(1))
    changes = {}
    for reason in reasons:
        changes.update(OBSTACLES[reason])
    decision = limits.decide(dataclasses.replace(GOOD, **changes))
    if not reasons:
        assert decision is hedging.Decision.SEND
        return
    assert decision is not hedging.Decision.SEND
    if len(reasons) == 1:
        assert decision in reasons, decision
    left = 0.9 if is_without_share else 5.0
    assert math.isclose(limits.fleet_left(), left)


def check_hedging_is_off():
    """Nothing is hedged, learnt or counted without both shares.

    Guards against deployments that are served differently although their
    settings name no limit.
    """
    limits = make_hedging(lambda: 0.0, 0.0, 0.0)
    for _ in range(1000):
        limits.record_response(KIND, 0.1)
    assert find_delay(limits) is hedging.Decision.OFF
    assert limits.decide(GOOD) is hedging.Decision.OFF
    assert limits.used_share() == 0.0
    for fleet, account in (
        (-0.1, 0.1),
        (0.16, 0.1),
        (math.nan, 0.1),
        (0.1, math.nan),
        (0.1, 1.1),
        (math.inf, 0.1),
        (0.1, 0.0),
        (0.0, 0.1),
    ):
        shares = hedging.Shares(fleet, account)
        assert shares.find_problem(), shares
    for fleet, account in ((0.0, 0.0), (0.15, 1.0), (0.02, 0.05)):
        shares = hedging.Shares(fleet, account)
        assert shares.find_problem() is None, shares


@settings(RUNS, max_examples=60)
@given(
    st.sampled_from([0.02, 0.05, 0.15]),
    st.one_of(st.integers(1, 65), st.integers(100, 400)),
    st.integers(0, 1 << 30),
)
def check_hedge_delay(fleet, responses, seed):
    """The delay is the quantile of the response times, once they suffice.

    Guards against fixed delays, against hedges before enough responses are
    known, and against units that are mixed up.
    """
    rng = random.Random(seed)
    times_s = [
        min(30.0, rng.lognormvariate(-2.0, 1.5)) for _ in range(responses)
    ]
    limits = make_hedging(lambda: 0.0, fleet)
    quantile = max(0.95, 1 - fleet)
    for count, took_s in enumerate(times_s, 1):
        limits.record_response(KIND, took_s)
        if count * (1 - quantile) < hedging.MIN_SLOWER_RESPONSES - 1e-6:
            delay = find_delay(limits)
            assert delay is hedging.Decision.FEW_RESPONSES, (count, delay)
    # Histograms round by at most 1%, and to whole ticks.
    delay = find_delay(limits)
    if isinstance(delay, hedging.Decision):
        assert len(times_s) * (1 - quantile) < (
            hedging.MIN_SLOWER_RESPONSES + 1e-6
        )
        return
    # The quantile was determined at the clock's only time, from the responses
    # known then; a fresh object determines it from all of them.
    limits = make_hedging(lambda: 0.0, fleet)
    for took_s in times_s:
        limits.record_response(KIND, took_s)
    delay = find_delay(limits)
    slower = sum(took_s > delay.delay_s for took_s in times_s)
    assert slower <= len(times_s) * (1 - quantile) + 1
    rounded_s = delay.delay_s * 0.985 - 2 / hedging.TICKS_PER_S
    not_faster = sum(took_s >= rounded_s for took_s in times_s)
    assert not_faster >= len(times_s) * (1 - quantile) - 1
    assert delay.responses == len(times_s)


def check_hedge_kinds():
    """Only requests of the same service, route and band share a delay.

    Guards against hedging long prompts after the delay of short ones, and
    against a number of kinds without bound.
    """
    limits = make_hedging(lambda: 0.0)
    bands = [hedging.prompt_band(tokens) for tokens in range(0, 700_000, 512)]
    assert bands == sorted(bands)
    assert 8 <= len(set(bands)) <= 12
    for band in set(bands):
        for _ in range(100):
            kind = dataclasses.replace(KIND, band=band)
            limits.record_response(kind, 0.1 * (band + 1))
    for band in set(bands):
        delay = find_delay(limits, dataclasses.replace(KIND, band=band))
        assert math.isclose(delay.delay_s, 0.1 * (band + 1), rel_tol=0.01)
    for change in ({'route': 'other'}, {'service': 'other'}):
        kind = dataclasses.replace(KIND, **change)
        assert find_delay(limits, kind) is hedging.Decision.FEW_RESPONSES
    for changes, reason in (
        ({'may_repeat': False}, hedging.Decision.NOT_REPEATABLE),
        ({'attempts': 2}, hedging.Decision.RETRIED),
        ({'max_attempts': 1}, hedging.Decision.NO_ATTEMPT_LEFT),
        ({'is_split': True}, hedging.Decision.SPLIT_PROMPT),
    ):
        assert find_delay(limits, **changes) is reason
    for i in range(hedging.MAX_KINDS + 5):
        limits.record_response(dataclasses.replace(KIND, route=f'r{i}'), 0.1)
    assert find_delay(limits) is hedging.Decision.FEW_RESPONSES


def check_hedge_delay_follows():
    """The delay follows response times that become longer or shorter.

    Guards against a delay that was learnt once and hedges most requests
    after the load has grown.
    """
    now_s = 0.0
    limits = make_hedging(lambda: now_s)

    def answer(took_s, seconds):
        nonlocal now_s
        for _ in range(seconds * 2):
            now_s += 0.5
            limits.record_response(KIND, took_s)

    answer(0.1, 400)
    assert math.isclose(find_delay(limits).delay_s, 0.1, rel_tol=0.01)
    answer(0.4, 400)
    assert math.isclose(find_delay(limits).delay_s, 0.4, rel_tol=0.01)
    answer(0.05, 400)
    delay = find_delay(limits)
    assert math.isclose(delay.delay_s, 0.05, rel_tol=0.01)
    assert hedging.MIN_WINDOW_S <= delay.age_s
    assert delay.age_s <= 2 * hedging.MIN_WINDOW_S + 1
    # A shortage ends.
    limits.record_shortage(SERVICE, None)
    assert limits.decide(GOOD) is hedging.Decision.SHORTAGE
    now_s += hedging.SHORTAGE_S + 0.1
    assert limits.decide(GOOD) is hedging.Decision.SEND
