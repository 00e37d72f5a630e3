"""VMs and engines of one pool in simulated time.

The VMs run the real code of attempts, placement, reservations and waiting, and
hear of each other's loads late. The engines prefill one part after the other,
the most urgent class first, with a decode pass in between.
"""

import asyncio
import collections
import heapq
import itertools
import math
import random

from galenaquay.configuration import priorities
from galenaquay.configuration import routes
from galenaquay.engines import directory as directory_module
from galenaquay.engines import reliability
from galenaquay.engines import usual_times
from galenaquay.engines import workload as workload_module
from galenaquay import ids
from galenaquay.limits import attempt_budget
from galenaquay.limits import availability
from galenaquay.limits import group_memory
from galenaquay.limits import named_limits
from galenaquay.limits import quarantine
from galenaquay.limits import trial_grants
from galenaquay.membership import fleet as fleet_module
from galenaquay.membership import revisions
from galenaquay.outcomes import admission
from galenaquay.outcomes import dependencies
from galenaquay.outcomes import hedging
from galenaquay.outcomes import journeys
from galenaquay.outcomes import response_ends
from galenaquay.ports import exchange
from galenaquay.ports import reservations
from galenaquay.routing import placement
from galenaquay.routing import step_times
from galenaquay import telemetry
from galenaquay.waiting import room
from galenaquay.waiting import sums

from tests.properties import document_properties
from tests.properties import memory_properties
from tests.properties import path_properties

POOL = ids.ServiceName('models')
# A VM reports changes after this time, in seconds, and long prompts sooner.
REPORT_INTERVAL_S = 0.4
URGENT_REPORT_S = 0.05
# Time until a report has passed the hubs, in seconds.
REPORT_LATE_S = 0.04
REPORT_VALID_S = 2.0
ORDER_S = 0.002
REFRESH_S = 0.003
EVENT = b'id: %d\ndata: x\n\n'


def make_route(name, priority, target_s, max_gap_s, timeout_s=15.0):
    return routes.Route(
        ids.RouteName(name),
        'h',
        f'/{name}/',
        routes.RequestKind.STREAMING,
        timeout_s,
        target_s,
        (routes.Backend(POOL, 1.0),),
        2,
        True,
        True,
        max_gap_s,
        priority,
    )


class Part:
    """A part of a prompt that an engine prefills."""

    def __init__(self, seconds):
        self.seconds = seconds
        self.is_cancelled = False
        self.done = asyncio.Event()


class Engine:
    """An engine with slots, memory, and one prefill at a time."""

    def __init__(self, endpoint, times):
        self.endpoint = endpoint
        self.times = times
        self.running = 0
        self.used_tokens = 0
        self.most_used_tokens = 0
        self.reserved_tokens_by_id = {}
        # Requests that wait for a slot or for memory, and parts to prefill.
        self._queued = []
        self._parts = []
        self._numbers = itertools.count()
        # Number of events left of each answer, by its queue of events.
        self._left_by_answer = {}
        self._work = asyncio.Event()

    def _use(self, tokens):
        self.used_tokens += tokens
        self.most_used_tokens = max(self.most_used_tokens, self.used_tokens)
        if tokens < 0:
            self._admit()

    def reserve(self, reservation_id, tokens):
        if reservation_id not in self.reserved_tokens_by_id:
            if self.used_tokens + tokens > self.times.memory_tokens:
                return reservations.Outcome.REFUSED
            self.reserved_tokens_by_id[reservation_id] = tokens
            self._use(tokens)
        return reservations.Outcome.DONE

    def release(self, reservation_id):
        self._use(-self.reserved_tokens_by_id.pop(reservation_id, 0))
        return reservations.Outcome.DONE

    async def admitted(self, priority_class, tokens):
        """Waits until a request has a slot and memory."""
        turn = asyncio.Event()
        entry = (priority_class, next(self._numbers), tokens, turn)
        heapq.heappush(self._queued, entry)
        self._admit()
        try:
            await turn.wait()
        except asyncio.CancelledError:
            if turn.is_set():
                self.leave(tokens)
            else:
                self._queued.remove(entry)
                heapq.heapify(self._queued)
            raise

    def _admit(self):
        while self._queued and self.running < self.times.slots:
            _, _, tokens, turn = self._queued[0]
            if self.used_tokens + tokens > self.times.memory_tokens:
                return
            heapq.heappop(self._queued)
            self.running += 1
            self._use(tokens)
            turn.set()

    def leave(self, tokens):
        self.running -= 1
        self._use(-tokens)

    def prefill(self, priority_class, seconds):
        part = Part(seconds)
        heapq.heappush(
            self._parts, (priority_class, next(self._numbers), part)
        )
        self._work.set()
        return part

    def write(self, answer, events):
        self._left_by_answer[answer] = events
        self._work.set()

    def stop_writing(self, answer):
        self._left_by_answer.pop(answer, None)

    async def run(self):
        pass_s = step_times.decode_pass_s(
            self.times, workload_module.EndpointLoad()
        )
        while True:
            if not self._parts and not self._left_by_answer:
                self._work.clear()
                await self._work.wait()
            if self._parts:
                part = heapq.heappop(self._parts)[2]
                if not part.is_cancelled:
                    await asyncio.sleep(part.seconds)
                    part.done.set()
                    await asyncio.sleep(0)
            if self._left_by_answer:
                writing = list(self._left_by_answer)
                await asyncio.sleep(pass_s)
                for answer in writing:
                    if answer in self._left_by_answer:
                        self._left_by_answer[answer] -= 1
                        answer.put_nowait(self._left_by_answer[answer])
                        if not self._left_by_answer[answer]:
                            del self._left_by_answer[answer]


class Response:
    """The stream of one request."""

    head = exchange.Head(200, (), is_stream=True)

    def __init__(self, pool, request, params):
        self._pool = pool
        self._request = request
        self._params = params
        self._answer = asyncio.Queue()
        self._parts = []
        self._held_tokens = 0

    async def body(self):
        times = self._pool.times
        params = self._params
        engines = [
            self._pool.engines_by_id[endpoint.id]
            for endpoint in (
                params.endpoint,
                *(helper.endpoint for helper in params.helpers),
            )
        ]
        tokens = self._request.prompt_tokens + self._request.max_output_tokens
        if any(helper.reservation_id for helper in params.helpers):
            tokens = tokens // len(engines) + 1
        await engines[0].admitted(params.priority_class, tokens)
        self._held_tokens = tokens
        seconds = step_times.prefill_s(
            times, self._request.prompt_tokens, len(engines)
        )
        # Without a class, engines serve in the order of arrival.
        priority_class = params.priority_class or 0
        self._parts = [e.prefill(priority_class, seconds) for e in engines]
        for part in self._parts:
            await part.done.wait()
        events = step_times.decode_passes(
            times, self._request.expected_output_tokens
        )
        engines[0].write(self._answer, events)
        for number in range(events):
            await self._answer.get()
            yield EVENT % number

    def finish(self):
        pass

    def close(self):
        engine = self._pool.engines_by_id[self._params.endpoint.id]
        for part in self._parts:
            part.is_cancelled = True
        engine.stop_writing(self._answer)
        if self._held_tokens:
            engine.leave(self._held_tokens)
            self._held_tokens = 0


class Writer:
    """A caller; notes when the events of its stream arrive."""

    def __init__(self, name):
        self.name = name
        self.arrived_at_s = asyncio.get_running_loop().time()
        self.is_started = False
        self.is_complete = False
        self.status = 0
        self.first_event_s = math.inf
        self.longest_gap_s = 0.0
        self._event_at_s = 0.0

    async def start(self, head):
        self.is_started = True
        self.status = head.status

    async def write(self, data):
        now_s = asyncio.get_running_loop().time()
        if math.isinf(self.first_event_s):
            self.first_event_s = now_s - self.arrived_at_s
        else:
            gap_s = now_s - self._event_at_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self._event_at_s = now_s

    async def finish(self):
        self.is_complete = True

    def abort(self):
        pass

    async def refuse(self, status, reason, retry_after_s=None):
        assert not self.is_started
        assert not self.status
        self.status = status


class Pool:
    """Engines, and the VMs that place requests on them."""

    def __init__(self, vms, engines, times, made_routes, seed):
        self.loop = asyncio.get_running_loop()
        self.times = times
        self.refused_reservations = 0
        self.rng = random.Random(seed)
        self.service = routes.Service(POOL, 0.0, times)
        self.routes_by_name = {r.name: r for r in made_routes}
        self.classes = priorities.make_priority_classes(
            routes.RouteTable(
                1,
                routes.routes_by_host(made_routes),
                {POOL: self.service},
                {},
                routes.RequestLimits(),
                False,
            )
        )
        self.directory = directory_module.Directory(self.loop.time)
        zones = ('ba', 'lautoka', 'nadi')
        for number in range(engines):
            self.directory.put(
                directory_module.Endpoint(
                    ids.EndpointId(f'e{number}'),
                    POOL,
                    '127.0.0.1',
                    number,
                    ids.ZoneName(zones[number % len(zones)]),
                    times.slots,
                    directory_module.EndpointState.READY,
                )
            )
        self.engines_by_id = {
            endpoint.id: Engine(endpoint, times)
            for endpoint in self.directory.endpoints_by_id.values()
        }
        self.vms = [
            Vm(self, number, ids.ZoneName(zones[number % len(zones)]))
            for number in range(vms)
        ]
        # The loads and sums that the hubs have heard of each VM.
        self.heard_by_vm = {}
        self.writers_by_name = collections.defaultdict(list)
        self.tasks = [
            asyncio.ensure_future(engine.run())
            for engine in self.engines_by_id.values()
        ]
        self.tasks += [asyncio.ensure_future(vm.report()) for vm in self.vms]

    async def reserve(self, endpoint, reservation_id, tokens, hold_s):
        await asyncio.sleep(ORDER_S)
        outcome = self.engines_by_id[endpoint.id].reserve(
            reservation_id, tokens
        )
        if outcome is reservations.Outcome.REFUSED:
            self.refused_reservations += 1
        return outcome

    async def release(self, endpoint, reservation_id):
        await asyncio.sleep(ORDER_S)
        return self.engines_by_id[endpoint.id].release(reservation_id)

    async def send(self, request, params):
        await asyncio.sleep(ORDER_S)
        return Response(self, request, params)

    async def find_run(self, endpoint):
        return exchange.RunState.SAME

    def ask(self, vm, name, tokens, answer, *, has_class=True):
        """Has a VM serve a request; returns the task and the caller."""
        route = self.routes_by_name[name]
        request = exchange.Request(
            ids.RequestId(f'{name} {self.rng.random()}'),
            'POST',
            route.prefix,
            'h',
            (),
            b'{}',
            None,
            math.inf,
            tokens,
            answer,
            answer,
        )
        priority_class = limits = None
        if has_class:
            priority_class = self.classes.find(POOL, route, None)
        if priority_class is not None:
            limits = self.classes.urgent_limits(POOL, priority_class)
        admitted = admission.AdmittedRequest(
            request,
            route,
            self.service,
            None,
            1,
            self.loop.time() + route.timeout_s,
            priority_class,
            limits,
        )
        writer = Writer(name)
        self.writers_by_name[name].append(writer)
        task = asyncio.ensure_future(
            journeys.RequestForwarding(vm.dependencies, admitted, writer).run()
        )
        return task, writer

    def used_tokens(self):
        return sum(e.used_tokens for e in self.engines_by_id.values())

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Vm:
    """One entry process."""

    def __init__(self, pool, number, zone):
        self._pool = pool
        self.id = ids.VmId(f'vm-{number}')
        clock = pool.loop.time
        rng = random.Random(pool.rng.random())
        self.workload = workload_module.Workload(clock)
        self.sums = sums.WaitingSums(self.workload.note_urgent_change, clock)
        known = revisions.Revisions()
        available = availability.Availability(
            pool.directory, known, clock=clock
        )
        reliable = reliability.Reliability(clock)
        metrics = telemetry.TextMetrics()
        self.room = room.Room(
            self.workload, self.sums, self.refresh_loads, metrics, rng
        )
        self.lifetime = dependencies.Lifetime()
        blame = quarantine.Quarantine(known, clock=clock)
        self.dependencies = dependencies.Dependencies(
            current=document_properties.make_current(clock),
            placer=placement.Placer(
                pool.directory,
                available,
                self.workload,
                reliable,
                path_properties.make_rates(1, clock)[0],
                zone,
                rng,
            ),
            workload=self.workload,
            reliability=reliable,
            budget=attempt_budget.AttemptBudget(clock),
            exchange=pool,
            group_memory=group_memory.GroupMemory(pool),
            metrics=metrics,
            rng=rng,
            usual_times=usual_times.UsualTimes(),
            lifetime=self.lifetime,
            quarantine=blame,
            trial_grants=trial_grants.TrialGrants(
                fleet_module.Fleet(
                    fleet_module.Member(self.id, 1, 'h:0', zone), [], clock
                ),
                blame,
                None,
                metrics,
                clock,
            ),
            named_limits=named_limits.NamedLimits(known, clock=clock),
            availability=available,
            response_ends=response_ends.ResponseEnds(
                pool, pool.directory, available, metrics, clock
            ),
            refresh_loads=self.refresh_loads,
            room=self.room,
            waiting_sums=self.sums,
            hedging=hedging.Hedging(hedging.Shares(0.0, 0.0), clock),
        )

    async def refresh_loads(self):
        """Gets what the hubs have heard of the other VMs."""
        await asyncio.sleep(REFRESH_S)
        for vm_id, (loads, waiting) in self._pool.heard_by_vm.items():
            if vm_id != self.id:
                self.workload.replace_peer_loads(vm_id, loads, REPORT_VALID_S)
                self.sums.replace_peer_sums(vm_id, waiting, REPORT_VALID_S)

    async def report(self):
        """Reports loads and sums to the hubs."""
        loop = self._pool.loop
        await asyncio.sleep(self._pool.rng.random() * REPORT_INTERVAL_S)
        while True:
            urgent = self.workload.urgent_changes
            report = (self.workload.own_loads(), self.sums.own_sums())
            loop.call_later(
                REPORT_LATE_S,
                self._pool.heard_by_vm.__setitem__,
                self.id,
                report,
            )
            await asyncio.sleep(URGENT_REPORT_S)
            try:
                async with asyncio.timeout(
                    REPORT_INTERVAL_S - URGENT_REPORT_S
                ):
                    await self.workload.wait_for_urgent_change(urgent)
            except TimeoutError:
                pass


def run(simulate):
    """Runs a coroutine function in simulated time; returns its result."""

    async def run_and_end():
        try:
            return await simulate()
        finally:
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)

    loop = memory_properties.SimulatedTimeLoop()
    try:
        return loop.run_until_complete(run_and_end())
    finally:
        loop.close()
