"""Attempts of one request at simulated endpoints, in simulated time.

The caller is simulated as well. Everything between them is the product's own
code, from the forwarding of a request on.
"""

import asyncio
import dataclasses
import gc
import random

from galenaquay.configuration import routes
from galenaquay.engines import directory as directory_module
from galenaquay.engines import reliability
from galenaquay.engines import usual_times
from galenaquay.engines import workload as workload_module
from galenaquay import ids
from galenaquay.limits import attempt_budget
from galenaquay.limits import availability
from galenaquay.limits import endpoint_rates
from galenaquay.limits import group_memory
from galenaquay.limits import named_limits
from galenaquay.limits import quarantine
from galenaquay.limits import trial_grants
from galenaquay.membership import fleet as fleet_module
from galenaquay.outcomes import admission
from galenaquay.outcomes import dependencies
from galenaquay.outcomes import hedging
from galenaquay.outcomes import journeys
from galenaquay.outcomes import response_ends
from galenaquay.ports import exchange
from galenaquay.routing import placement
from galenaquay import telemetry
from galenaquay.waiting import room
from galenaquay.waiting import sums

from tests.properties import memory_properties
from tests.properties import path_properties

SERVICE = path_properties.POOL
ACCOUNT = ids.AccountId('acme')
# Time after which a request is slow, in seconds, as learnt from responses.
DELAY_S = 0.1
# Stands for the time at which the response is complete.
AT_ONCE = 0
PART = ids.PromptPartId('p1')


@dataclasses.dataclass
class Plan:
    """What an endpoint does with a request."""

    # Times to the head, and between two pieces of the body, in seconds.
    head_s: float = 0.0
    piece_s: float = 0.01
    # The status, or the failure instead of a head.
    status: int = 200
    failure: exchange.Failure | None = None
    # Number of pieces after which the connection breaks; None for no break.
    break_after: int | None = None
    pieces: int = 3
    # Whether the endpoint's process ends with the failure.
    ends: bool = False


class Run:
    """One request at one endpoint."""

    def __init__(self, loop, number, plan, endpoint, is_stream, after_id):
        self.loop = loop
        self.number = number
        self.plan = plan
        self.endpoint = endpoint
        self.started_s = loop.time()
        # When the connection ended or was closed; None while it is open.
        self.ended_s = None
        self.first = 0 if after_id is None else int(after_id) + 1
        self.head = exchange.Head(plan.status, (), is_stream)

    async def body(self):
        for piece in range(self.first, self.plan.pieces):
            await asyncio.sleep(self.plan.piece_s)
            if piece == self.plan.break_after:
                raise exchange.ExchangeBrokenError('broken')
            if self.head.is_stream:
                yield b'id: %d\ndata: %d\n\n' % (piece, self.number)
            else:
                yield b'%d,' % self.number

    def finish(self):
        pass

    def close(self):
        if self.ended_s is None:
            self.ended_s = self.loop.time()


class FakeExchange:
    """Endpoints that do what the plans say, in the order of the requests."""

    def __init__(self, loop, plans, is_stream):
        self._loop = loop
        self._plans = plans
        self._is_stream = is_stream
        self.runs = []

    async def send(self, request, params):
        plan = self._plans[len(self.runs) % len(self._plans)]
        run = Run(
            self._loop,
            len(self.runs),
            plan,
            params.endpoint,
            self._is_stream and plan.status < 400,
            params.last_event_id,
        )
        self.runs.append(run)
        try:
            await asyncio.sleep(plan.head_s)
        except asyncio.CancelledError:
            run.close()
            raise
        if plan.failure is not None:
            run.close()
            return exchange.SendError(plan.failure, 'planned')
        return run

    async def find_run(self, endpoint):
        await asyncio.sleep(0.02)
        if any(r.plan.ends and r.endpoint is endpoint for r in self.runs):
            return exchange.RunState.ENDED
        return exchange.RunState.SAME


class FakeWriter:
    """A caller that keeps from which runs it got bytes."""

    def __init__(self, loop):
        self._loop = loop
        self.is_started = False
        self.data = b''
        self.status = None
        self.is_complete = False
        self.is_aborted = False
        # Called when the response is complete.
        self.on_complete = lambda: None
        # Number of the run and time of each piece.
        self.pieces = []

    def _add(self, data):
        assert not self.is_complete
        assert not self.is_aborted
        self.data += data

    async def start(self, head):
        assert not self.is_started
        self.is_started = True
        self.status = head.status
        await asyncio.sleep(0)

    async def write(self, data):
        self._add(data)
        number = int(data.split(b'data: ')[1])
        self.pieces.append((number, self._loop.time()))
        await asyncio.sleep(0)

    async def finish(self):
        assert not self.is_complete
        self.is_complete = True
        self.on_complete()

    def abort(self):
        self.is_aborted = True

    async def send_whole(self, head, body):
        assert not self.is_started
        self.is_started = True
        self.status = head.status
        self._add(body)
        numbers = {int(text) for text in body.split(b',') if text}
        assert len(numbers) <= 1, body
        self.pieces += [(number, self._loop.time()) for number in numbers]
        await asyncio.sleep(0)
        self.is_complete = True
        self.on_complete()

    async def refuse(self, status, reason, retry_after_s=None):
        await self.send_whole(exchange.Head(status, (), False), b'')


class FakeCurrent:
    def confirmation_age_s(self):
        return 0.0


class Case:
    """One VM with five endpoints that has learnt when a request is slow."""

    def __init__(
        self,
        loop,
        plans,
        *,
        is_stream=False,
        kind=None,
        max_attempts=2,
        shares=hedging.Shares(0.15, 0.15),
    ):
        self.loop = loop
        clock = loop.time
        directory = directory_module.Directory(clock)
        for i in range(5):
            directory.put(path_properties.make_engine(i))
        self.directory = directory
        me = fleet_module.Member('vm-0', 1, 'h:0', ids.ZoneName('ba'))
        fleet = fleet_module.Fleet(me, [], clock)
        self.named_limits = named_limits.NamedLimits(clock=clock)
        self.availability = availability.Availability(directory, clock=clock)
        self.workload = workload_module.Workload(clock)
        self.quarantine = quarantine.Quarantine(clock=clock)
        self.waiting_sums = sums.WaitingSums(clock=clock)
        self.lifetime = dependencies.Lifetime()
        self.metrics = telemetry.TextMetrics()
        self.hedging = hedging.Hedging(shares, clock)
        self.budget = attempt_budget.AttemptBudget(clock)
        known = reliability.Reliability(clock)
        self.exchange = FakeExchange(loop, plans, is_stream)
        self.writer = FakeWriter(loop)
        self.service = routes.Service(
            SERVICE, 1.0, path_properties.TIMES if is_stream else None
        )
        if kind is None:
            kind = (
                routes.RequestKind.STREAMING
                if is_stream
                else routes.RequestKind.IDEMPOTENT
            )
        self.route = dataclasses.replace(
            path_properties.make_route(), kind=kind, max_attempts=max_attempts
        )
        rng = random.Random(7)
        self.dependencies = dependencies.Dependencies(
            current=FakeCurrent(),
            placer=placement.Placer(
                directory,
                self.availability,
                self.workload,
                known,
                endpoint_rates.EndpointRates(fleet, self.named_limits, clock),
                ids.ZoneName('ba'),
                rng,
            ),
            workload=self.workload,
            reliability=known,
            budget=self.budget,
            exchange=self.exchange,
            group_memory=group_memory.GroupMemory(None),
            metrics=self.metrics,
            rng=rng,
            usual_times=usual_times.UsualTimes(),
            lifetime=self.lifetime,
            quarantine=self.quarantine,
            trial_grants=trial_grants.TrialGrants(
                fleet, self.quarantine, None, self.metrics, clock
            ),
            named_limits=self.named_limits,
            availability=self.availability,
            response_ends=response_ends.ResponseEnds(
                self.exchange,
                directory,
                self.availability,
                self.metrics,
                clock,
            ),
            refresh_loads=self._refresh_loads,
            room=room.Room(
                self.workload,
                self.waiting_sums,
                self._refresh_loads,
                self.metrics,
                rng,
            ),
            waiting_sums=self.waiting_sums,
            hedging=self.hedging,
        )
        self.tokens = 5_000 if is_stream else 0
        learnt = hedging.Kind(
            SERVICE, self.route.name, hedging.prompt_band(self.tokens)
        )
        for _ in range(200):
            self.hedging.record_request(ACCOUNT)
            self.hedging.record_response(learnt, DELAY_S)

    async def _refresh_loads(self):
        await asyncio.sleep(0.003)

    def counted(self, name):
        """Returns the sum of a counter over its labels."""
        return sum(
            int(line.split()[-1])
            for line in self.metrics.text().splitlines()
            if line.startswith(f'galenaquay_{name}_total{{')
        )

    def denied(self, decision):
        text = f'hedges_denied_total{{reason="{decision.value}"}} 1'
        return text in self.metrics.text()

    async def serve(self, leaves_after_s=None):
        request = dataclasses.replace(
            path_properties.make_request(
                self.tokens, 500 if self.tokens else 0
            ),
            shared_parts=(PART,),
        )
        admitted = admission.AdmittedRequest(
            request,
            self.route,
            self.service,
            ACCOUNT,
            1,
            self.loop.time() + 5.0,
        )
        task = asyncio.ensure_future(
            journeys.RequestForwarding(
                self.dependencies, admitted, self.writer
            ).run()
        )
        if leaves_after_s == AT_ONCE:
            self.writer.on_complete = lambda: self.loop.call_soon(task.cancel)
        elif leaves_after_s is not None:
            self.loop.call_later(leaves_after_s, task.cancel)
        await asyncio.wait([task])
        if not task.cancelled():
            task.result()
        return task.cancelled()


def play(plans, prepare=lambda case: None, leaves_after_s=None, **options):
    """Serves one request in simulated time; returns the case."""
    loop = memory_properties.SimulatedTimeLoop()
    errors = []
    loop.set_exception_handler(lambda _, context: errors.append(context))
    try:
        case = Case(loop, plans, **options)
        prepare(case)
        case.has_left = loop.run_until_complete(case.serve(leaves_after_s))
        loop.run_until_complete(asyncio.sleep(0))
        assert not asyncio.all_tasks(loop)
        assert_rules(case)
        gc.collect(0)
        assert not errors, errors
        return case
    finally:
        loop.close()


def assert_rules(case):
    """Checks what holds however attempts interleave."""
    runs = case.exchange.runs
    assert all(run.ended_s is not None for run in runs)
    assert not case.workload.own_loads()
    sent = [r for r in runs if r.plan.failure is not exchange.Failure.NOT_SENT]
    assert len(sent) <= case.route.max_attempts, len(sent)
    # Nothing ran beside the run that the caller got bytes of, from its first
    # byte on.
    for number, at_s in case.writer.pieces:
        for run in runs:
            if run.number != number and run.started_s <= at_s:
                assert run.ended_s <= at_s, (number, at_s, run.number)
    # At most two runs at a time, and only hedges run beside another run.
    overlapping = sum(
        later.started_s < earlier.ended_s
        for i, earlier in enumerate(runs)
        for later in runs[i + 1 :]
    )
    assert overlapping <= case.counted('hedges_sent') <= 1
    assert case.counted('hedges_ended') == case.counted('hedges_sent')
    if case.writer.is_complete and case.writer.status == 200:
        count = len(case.writer.pieces)
        assert count == (3 if case.tokens else 1), case.writer.pieces
        # The caller may leave in the moment in which its response is complete.
        assert 'caller left' not in case.metrics.text()
    if not case.has_left:
        assert case.writer.is_complete or case.writer.is_aborted
