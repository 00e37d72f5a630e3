"""Properties of two attempts of a request that run at the same time."""

import dataclasses
import random

from galenaquay.configuration import routes
from galenaquay.engines import workload as workload_module
from galenaquay import ids
from galenaquay.outcomes import hedging
from galenaquay.ports import exchange
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from tests.properties import path_properties
from tests.properties import simulated_attempts

RUNS = settings(path_properties.RUNS, max_examples=400)
Plan = simulated_attempts.Plan
play = simulated_attempts.play
SERVICE = simulated_attempts.SERVICE
DELAY_S = simulated_attempts.DELAY_S
PART = simulated_attempts.PART

PLANS = st.builds(
    Plan,
    head_s=st.sampled_from(
        [0.0, 0.05, 0.099, 0.1, 0.101, 0.103, 0.15, 0.2, 0.25, 0.3, 9.0]
    ),
    piece_s=st.sampled_from([0.0, 0.001, 0.05, 0.1, 0.101, 0.15, 0.2]),
    status=st.sampled_from([200, 200, 200, 200, 404, 500]),
    failure=st.sampled_from(
        [None, None, None, None, None, None, *exchange.Failure]
    ),
    break_after=st.sampled_from([None, None, None, 0, 1, 2]),
    ends=st.booleans(),
)


@RUNS
@given(
    st.lists(PLANS, min_size=2, max_size=4),
    st.booleans(),
    st.integers(2, 3),
    st.sampled_from(
        [
            None,
            None,
            simulated_attempts.AT_ONCE,
            simulated_attempts.AT_ONCE,
            0.05,
            0.1,
            0.12,
            0.2,
            0.25,
            0.3,
        ]
    ),
)
def check_hedge_one_run(plans, is_stream, max_attempts, leaves_after_s):
    """A caller gets bytes of one run of the two that run at the same time.

    Guards against mixed responses, losers that go on running, attempts beyond
    maxAttempts, engine load that is never removed, and complete responses
    that are counted as lost, for any interleaving of heads, events, failures
    and the caller's departure.
    """
    play(
        plans,
        is_stream=is_stream,
        max_attempts=max_attempts,
        leaves_after_s=leaves_after_s,
    )


def check_hedge_wins():
    """The second endpoint's response is given to the caller.

    The first run is closed at that moment, and its slowness is recorded.
    Guards against a hedge that is not sent or whose response is not used, and
    against a slow endpoint that keeps being chosen since it never responds.
    """
    for is_stream in (False, True):
        case = play([Plan(head_s=3.0), Plan(head_s=0.02)], is_stream=is_stream)
        slow, fast = case.exchange.runs
        assert case.writer.pieces[0][0] == 1
        assert case.writer.status == 200
        assert DELAY_S <= fast.started_s <= DELAY_S * 1.1
        assert slow.endpoint is not fast.endpoint
        first_piece_s = fast.started_s + 0.02 + 0.01 * is_stream
        assert slow.ended_s <= first_piece_s + 1e-6, slow.ended_s
        known = case.dependencies.reliability
        assert known.slowdown(slow.endpoint.id) > 1.0
        assert 'hedges_ended_total{outcome="won"} 1' in case.metrics.text()


def check_hedge_loses():
    """The first response wins if it arrives first, also after the hedge.

    Guards against a hedge that replaces the first attempt instead of racing
    it, and against losers that are not cancelled at once.
    """
    for is_stream in (False, True):
        case = play([Plan(head_s=0.2), Plan(head_s=3.0)], is_stream=is_stream)
        first, hedge = case.exchange.runs
        assert case.writer.pieces[0][0] == 0
        answered_s = first.started_s + 0.2 + 0.01 * is_stream
        assert hedge.ended_s <= answered_s + 1e-6
        assert 'hedges_ended_total{outcome="lost"} 1' in case.metrics.text()


def check_hedge_fails():
    """A hedge that fails changes nothing for the first attempt.

    Guards against a 5xx response or a broken connection of the hedge that
    the caller gets although the first endpoint answers later, and against a
    timeout of the first attempt that leaves no attempt at all.
    """
    failing = [Plan(failure=failure) for failure in exchange.Failure]
    failing.append(Plan(status=500))
    for plan in failing:
        for is_stream in (False, True):
            # Longer than the timeout for the head while an attempt is left.
            for head_s in (0.4, 3.0):
                case = play(
                    [Plan(head_s=head_s), plan, Plan(head_s=9.0)],
                    is_stream=is_stream,
                )
                if plan.failure is exchange.Failure.NOT_SENT:
                    # The attempt is still left, so the timeout applies.
                    assert len(case.exchange.runs) == 2 + (head_s == 3.0)
                    assert head_s == 3.0 or case.writer.status == 200
                    continue
                assert len(case.exchange.runs) == 2
                assert case.writer.status == 200, (plan, case.writer.status)
                assert {number for number, _ in case.writer.pieces} == {0}


def check_unsent_hedge():
    """A hedge that was not sent leaves the first attempt its timeout.

    The hedge runs while the time for the first event passes. Guards against a
    first attempt that then waits until the end of the request's time.
    """
    case = play(
        [
            Plan(piece_s=9.0),
            Plan(head_s=2.4, failure=exchange.Failure.NOT_SENT),
            Plan(),
        ],
        is_stream=True,
    )
    assert len(case.exchange.runs) == 3
    assert case.writer.status == 200
    assert {number for number, _ in case.writer.pieces} == {2}


def check_hedge_after_failure():
    """If the first attempt fails, the request waits for the hedge.

    Guards against a third attempt beside the hedge, and against engines that
    end under one of both attempts without being recorded.
    """
    broken = exchange.Failure.BROKEN
    for max_attempts in (2, 3):
        case = play(
            [
                Plan(head_s=0.2, failure=broken, ends=True),
                Plan(head_s=0.3),
                Plan(),
            ],
            is_stream=True,
            max_attempts=max_attempts,
        )
        assert len(case.exchange.runs) == 2
        assert {number for number, _ in case.writer.pieces} == {1}
    case = play(
        [
            Plan(head_s=0.2, failure=broken, ends=True),
            Plan(head_s=0.3, failure=broken, ends=True),
            Plan(),
        ],
        is_stream=True,
        max_attempts=3,
    )
    # A request that has ended two engines is not sent to a third.
    first, hedge = case.exchange.runs
    assert first.endpoint is not hedge.endpoint
    assert case.writer.status == 502
    (part,) = (
        report
        for report in case.quarantine.reports_after(0)
        if report.part_id == simulated_attempts.PART
    )
    assert len(part.ends) == 2
    assert case.counted('requests_lost_to_engine_ends') == 2


def check_hedge_error_responses():
    """An endpoint's error is given to the caller only if both have none.

    Guards against two attempts that wait for each other's better response,
    and against an error response that is lost when the time is over.
    """
    case = play([Plan(head_s=0.2, status=500), Plan(head_s=0.3, status=500)])
    assert case.writer.status == 500
    assert len(case.writer.pieces) == 1
    case = play([Plan(head_s=0.2, status=500), Plan(head_s=0.3)])
    assert case.writer.pieces[0][0] == 1
    assert case.writer.status == 200
    # The hedge does not respond within the request's time.
    case = play([Plan(head_s=0.2, status=500), Plan(head_s=9.0)])
    assert case.writer.status == 500


def check_no_hedge():
    """No request is hedged to an endpoint, or at a time, that forbids it.

    Guards against each of the conditions being left out of what the decision
    is given.
    """
    slow = [Plan(head_s=0.5), Plan()]
    decision = hedging.Decision

    def change_endpoints(**changes):
        def prepare(case):
            for endpoint in list(case.directory.endpoints_by_id.values()):
                case.directory.put(dataclasses.replace(endpoint, **changes))

        return prepare

    def name_limits(case):
        for endpoint_id in case.directory.endpoints_by_id:
            case.named_limits.record_answer(endpoint_id, 1000.0)

    def leave(case):
        for endpoint in list(case.directory.endpoints_by_id.values())[1:]:
            case.availability.record_answer(
                endpoint, exchange.Notice(is_leaving=True)
            )

    def fill(case):
        loads = {
            endpoint_id: workload_module.EndpointLoad(running=8)
            for endpoint_id in case.directory.endpoints_by_id
        }
        case.workload.replace_peer_loads(ids.VmId('other'), loads, 9.0)

    def record_end(case):
        case.quarantine.record_end(
            path_properties.make_engine(9), (PART,), 0.0
        )

    def shut_down(case):
        case.loop.call_later(0.05, setattr, case.lifetime, 'ends_at_s', 60.0)

    def wait(case):
        case.waiting_sums.add((ids.ServiceName('x'), 3), 0.1)

    def refuse(case):
        case.hedging.record_shortage(SERVICE, None)

    def spend(case):
        while case.budget.left(SERVICE) >= 3:
            case.budget.spend(SERVICE)

    for prepare, reason in (
        (name_limits, decision.NO_ENDPOINT),
        (leave, decision.NO_ENDPOINT),
        (fill, decision.NO_ENDPOINT),
        (change_endpoints(cold_until_s=60.0), decision.NO_ENDPOINT),
        (record_end, decision.SUSPECTED_PROMPT),
        (shut_down, decision.SHUTDOWN),
        (wait, decision.REQUESTS_WAIT),
        (refuse, decision.SHORTAGE),
        (spend, decision.RETRY_BUDGET),
    ):
        for is_stream in (False, True):
            case = play(slow, prepare, is_stream=is_stream)
            assert len(case.exchange.runs) == 1, reason
            assert case.writer.status == 200
            assert case.denied(reason), (reason, case.metrics.text())
    kind = routes.RequestKind.NON_IDEMPOTENT
    case = play(slow, kind=kind)
    assert len(case.exchange.runs) == 1
    case = play(slow, max_attempts=1)
    assert len(case.exchange.runs) == 1
    case = play(slow, shares=hedging.Shares())
    assert len(case.exchange.runs) == 1
    assert 'hedge' not in case.metrics.text()


def check_hedge_long_prompts():
    """A long prompt is hedged only to an engine without pending prefills.

    Guards against hedges that delay the requests of the second engine, and
    against hedges of prompts that several engines prefill.
    """

    def make_prepare(tokens, busy_s, later_busy_s):
        """Has the other engines prefill for some time, now and later."""

        def report(case, prefill_s):
            loads = {
                endpoint_id: workload_module.EndpointLoad(
                    running=1, prefill_s=prefill_s
                )
                for endpoint_id in list(case.directory.endpoints_by_id)[1:]
            }
            case.workload.replace_peer_loads(ids.VmId('other'), loads, 9.0)

        def prepare(case):
            case.tokens = tokens
            kind = hedging.Kind(
                SERVICE, case.route.name, hedging.prompt_band(tokens)
            )
            for _ in range(200):
                case.hedging.record_response(kind, DELAY_S)
            report(case, busy_s)
            case.loop.call_later(0.05, report, case, later_busy_s)

        return prepare

    slow = [Plan(head_s=0.5), Plan()]
    for tokens, busy_s, later_busy_s, runs in (
        (16_000, 1.0, 0.0, 2),
        (16_000, 1.0, 1.0, 1),
        (5_000, 1.0, 1.0, 2),
        # Split from the start.
        (200_000, 0.0, 0.0, 1),
    ):
        prepare = make_prepare(tokens, busy_s, later_busy_s)
        case = play(slow, prepare, is_stream=True)
        assert len(case.exchange.runs) == runs, (tokens, later_busy_s)
        assert case.writer.status == 200


def check_hedge_delay_keeps():
    """Requests that are hedged do not shorten the delay for later ones.

    Of many requests, the slowest take a long time at their first endpoint and
    a short one at their second. Guards against a quantile of the times of
    winners only, which falls with each hedge until most requests are hedged.
    """
    now_s = 0.0
    limits = hedging.Hedging(hedging.Shares(0.1, 0.1), lambda: now_s)
    rng = random.Random(3)
    kind = hedging.Kind(SERVICE, ids.RouteName('r'), 0)
    slow = 0
    for number in range(8000):
        now_s += 0.5
        took_s = rng.uniform(0.05, 0.15) if rng.random() < 0.9 else 2.0
        delay = limits.find_delay(
            kind, may_repeat=True, attempts=1, max_attempts=2, is_split=False
        )
        if isinstance(delay, hedging.LearntDelay) and took_s > delay.delay_s:
            slow += number >= 2000
            # The hedge wins shortly afterwards.
            took_s = min(took_s, delay.delay_s + 0.05)
        limits.record_response(kind, took_s)
    assert slow <= 6000 * 0.07, slow
