"""Properties of the ends of responses without framing."""

import asyncio
import dataclasses

from galenaquay.engines import directory as directory_module
from galenaquay import ids
from galenaquay.limits import availability
from galenaquay.outcomes import response_ends
from galenaquay.ports import exchange
from galenaquay import telemetry
from galenaquay_platform import run_reports
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import orjson

from tests.properties import path_properties

# A judgement at an endpoint that shuts down takes SETTLING_S of real time.
RUNS = settings(
    max_examples=120, deadline=None, derandomize=True, database=None
)
STARTED_AT_MS = 1_700_000_000_000
REQUEST_ID = ids.RequestId('r')
SIGNS = ('none', 'said', 'draining', 'drained and removed', 'removed', 'lost')


class Checks:
    """An exchange whose checks of runs have one result."""

    def __init__(self, state):
        self.state = state

    async def find_run(self, endpoint):
        return self.state


def make_endpoint(i=0):
    return dataclasses.replace(
        path_properties.make_engine(i), started_at_ms=STARTED_AT_MS
    )


class Subject:
    """The ends of responses of one endpoint, with a clock of its own."""

    def __init__(self, state):
        self.now_s = 100.0
        self.endpoint = make_endpoint()
        self.directory = directory_module.Directory(lambda: self.now_s)
        self.directory.put(self.endpoint)
        self.directory.put(make_endpoint(1))
        self.availability = availability.Availability(
            self.directory, clock=lambda: self.now_s
        )
        self.ends = response_ends.ResponseEnds(
            Checks(state),
            self.directory,
            self.availability,
            telemetry.TextMetrics(),
            lambda: self.now_s,
        )

    def give_sign(self, sign):
        draining = dataclasses.replace(
            self.endpoint, state=directory_module.EndpointState.DRAINING
        )
        if sign == 'said':
            self.availability.record_answer(
                self.endpoint, exchange.Notice(is_leaving=True)
            )
        if sign.startswith('drain'):
            self.directory.put(draining)
        if sign.endswith('removed'):
            self.directory.remove(self.endpoint.id)
        if sign == 'lost':
            # The platform lists nothing any more.
            self.directory.replace_all([])

    def judge(self, since_data_s, others=0):
        """Judges the end of a response, and ends of others beside it."""

        async def run():
            return await asyncio.gather(
                *(
                    self.ends.judge(
                        self.endpoint, REQUEST_ID, self.now_s - since_data_s
                    )
                    for _ in range(others + 1)
                )
            )

        return asyncio.run(run())


STATES = st.sampled_from(exchange.RunState)


def is_sign_of_shutdown(sign, served_s):
    if sign == 'removed':
        return served_s >= response_ends.SERVING_S
    return sign not in ('none', 'lost')


@RUNS
@given(
    STATES,
    st.sampled_from(SIGNS),
    st.sampled_from((0.0, 0.1, 0.3, 5.0)),
    st.sampled_from((0.0, 0.01)),
    st.booleans(),
)
def check_unframed_ends(state, sign, served_s, since_data_s, is_other_broken):
    """Checks when an orderly close counts as the end of its response.

    Guards against half of a response that looks complete, and against whole
    responses of an endpoint that leaves in order which look incomplete.
    """
    subject = Subject(state)
    subject.give_sign(sign)
    subject.now_s += served_s + since_data_s
    if is_other_broken:
        subject.ends.record_broken(subject.endpoint)
    (verdict,) = subject.judge(since_data_s)
    is_leaving = is_sign_of_shutdown(sign, served_s)
    assert verdict.run_state is state
    assert verdict.is_complete is (
        state is exchange.RunState.SAME or (is_leaving and not is_other_broken)
    )


@RUNS
@given(
    st.sampled_from((exchange.RunState.ENDED, exchange.RunState.UNKNOWN)),
    st.sampled_from(('said', 'draining')),
    st.integers(0, 4),
    st.sampled_from((0.0, 0.01, 0.05, 0.4)),
)
def check_ends_at_one_moment(state, sign, others, since_data_s):
    """Checks ends of several responses at once as an endpoint leaves.

    Responses that are closed together, but not directly after their data, end
    with a crash; the close of a single one shows none.
    """
    subject = Subject(state)
    subject.give_sign(sign)
    verdicts = subject.judge(since_data_s, others)
    is_late = since_data_s > response_ends.REGULAR_CLOSE_S
    for verdict in verdicts:
        assert verdict.is_complete is not (is_late and others > 0)


@RUNS
@given(st.booleans(), st.integers(1, 2**40))
def check_runs_by_list(is_replaced, later_ms):
    """Checks an endpoint without a report whose id is listed anew.

    Guards against another run under the same id that is taken for the run
    that sent the response.
    """
    subject = Subject(exchange.RunState.SAME)
    if is_replaced:
        subject.directory.put(
            dataclasses.replace(
                subject.endpoint, started_at_ms=STARTED_AT_MS + later_ms
            )
        )
    (verdict,) = subject.judge(0.0)
    assert verdict.is_complete is not is_replaced


BODIES = st.one_of(
    st.binary(max_size=40),
    st.builds(
        lambda value: orjson.dumps({'born': value}),
        st.one_of(
            st.just(STARTED_AT_MS),
            st.integers(0, 2**50),
            st.booleans(),
            st.none(),
            st.text(max_size=5),
        ),
    ),
)


@RUNS
@given(
    st.integers(200, 599),
    BODIES,
    st.sampled_from((None, 'e0', 'another')),
    st.booleans(),
)
def check_run_reports(status, body, sender_id, is_start_listed):
    """Checks what answers to a read of the report show of a run.

    Guards against answers of another run or endpoint that are taken for those
    of the run, and against errors that are taken for its end.
    """
    endpoint = make_endpoint()
    if not is_start_listed:
        endpoint = dataclasses.replace(endpoint, started_at_ms=0)
    headers = [] if sender_id is None else [('x-instance-id', sender_id)]
    state = run_reports.ReportCodec().decode(endpoint, status, headers, body)
    try:
        report = orjson.loads(body)
        born = report.get('born') if isinstance(report, dict) else None
    except orjson.JSONDecodeError:
        born = None
    names_other_run = (
        type(born) is int and is_start_listed and born != STARTED_AT_MS
    )
    expected = exchange.RunState.SAME
    if status == 421 or sender_id == 'another' or names_other_run:
        expected = exchange.RunState.ENDED
    elif status in (408, 429) or (status >= 500 and status != 501):
        expected = exchange.RunState.UNKNOWN
    assert state is expected, (state, expected)
