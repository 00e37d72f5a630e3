"""State machine: a ticket's call runs at most once, and NOT_RUN is correct.

Homes issue tickets, and callers send calls concurrently and repeatedly.
Services answer, break the connection, hang or cannot be reached. Homes crash
and restart without their records, and records expire.
"""

import asyncio
import collections
import dataclasses

from galenaquay import codes
from galenaquay import ids
from galenaquay.limits import shares
from galenaquay.outcomes import tickets
from galenaquay.ports import services
from hypothesis import stateful
from hypothesis import strategies as st

PICK = st.integers(0, 1000)
ACCOUNTS = [ids.AccountId('a'), ids.AccountId('b')]
ANSWER = services.ServiceResponse(200, b'done', 'text/plain')
OUTCOMES_BY_NAME = {
    'answered': tickets.CallResult(ANSWER),
    'broken': codes.failure(codes.Code.CALL_BROKE),
    'timed out': codes.failure(codes.Code.CALL_TIMED_OUT),
}


@dataclasses.dataclass(eq=False)
class Run:
    """A run of a call at a service that has not ended."""

    ticket: str
    ended: asyncio.Future


@dataclasses.dataclass(eq=False)
class PendingCall:
    """A call that a caller has sent and that has no outcome yet."""

    call: tickets.CallRequest
    # Whether the ticket was issued to the account that sends the call.
    is_own: bool
    task: asyncio.Task


class TicketMachine(stateful.RuleBasedStateMachine):
    """Homes, callers and a service that counts the runs of each ticket."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.now_s = 0.0
        self.incarnations = 0
        self.runs_by_ticket = collections.Counter()
        self.active_runs = []
        # Calls that reached the service.
        self.started_calls = []
        self.issued_tickets = []
        self.pending_calls = []
        self.is_service_reachable = True
        self.outcomes_by_ticket = collections.defaultdict(list)
        self.homes = [self.start_home(0), self.start_home(1)]

    def start_home(self, number):
        self.incarnations += 1
        me = shares.ProcessId(
            ids.VmId(f'vm{number}'), ids.Incarnation(self.incarnations)
        )
        return tickets.Home(me, self.run_call, lambda: self.now_s)

    async def run_call(self, call):
        if not self.is_service_reachable:
            return codes.failure(codes.Code.CONNECT_FAILED)
        ticket = str(call.ticket)
        self.runs_by_ticket[ticket] += 1
        self.started_calls.append(call)
        run = Run(ticket, self.loop.create_future())
        self.active_runs.append(run)
        return await run.ended

    def run_tasks(self):
        """Runs all tasks until they wait, then checks the calls that ended."""
        for _ in range(6):
            self.loop.run_until_complete(asyncio.sleep(0))
        for pending in [
            pending for pending in self.pending_calls if pending.task.done()
        ]:
            self.pending_calls.remove(pending)
            self.check_outcome(pending, pending.task.result())

    def check_outcome(self, pending, outcome):
        ticket = str(pending.call.ticket)
        runs = self.runs_by_ticket[ticket]
        if not pending.is_own:
            # A call with another account's ticket gets no result and never
            # reaches the service.
            assert isinstance(outcome, codes.Failure), (ticket, outcome)
            assert not any(pending.call is call for call in self.started_calls)
        elif isinstance(outcome, tickets.CallResult):
            assert runs == 1, (ticket, runs)
        elif outcome.is_not_run:
            assert runs == 0, (ticket, outcome, runs)
        self.outcomes_by_ticket[ticket].append(outcome)

    @stateful.rule(home=st.integers(0, 1), account=st.integers(0, 1))
    def issue(self, home, account):
        ticket = self.homes[home].issue(ACCOUNTS[account])
        if isinstance(ticket, tickets.Ticket):
            assert str(ticket) not in self.runs_by_ticket
            self.issued_tickets.append((ticket, ACCOUNTS[account]))

    @stateful.precondition(lambda self: self.issued_tickets)
    @stateful.rule(
        number=PICK, home=st.integers(0, 1), is_own=st.sampled_from([1, 1, 0])
    )
    def call(self, number, home, is_own):
        """Sends a call to either home; a wrong home stands for an old list."""
        ticket, account = self.issued_tickets[
            number % len(self.issued_tickets)
        ]
        if not is_own:
            account = ids.AccountId('stranger')
        call = tickets.CallRequest(
            ticket=ticket,
            account_id=account,
            route=ids.RouteName('r'),
            method='POST',
            path='/',
            body=b'',
            content_type='',
            remaining_s=1000.0,
            traceparent='',
        )
        task = self.loop.create_task(self.homes[home].call(call))
        self.pending_calls.append(PendingCall(call, bool(is_own), task))
        self.run_tasks()

    @stateful.precondition(lambda self: self.active_runs)
    @stateful.rule(number=PICK, end=st.sampled_from(sorted(OUTCOMES_BY_NAME)))
    def end_run(self, number, end):
        run = self.active_runs.pop(number % len(self.active_runs))
        if not run.ended.done():
            run.ended.set_result(OUTCOMES_BY_NAME[end])
        self.run_tasks()

    @stateful.rule(reachable=st.booleans())
    def services_change(self, reachable):
        self.is_service_reachable = reachable

    @stateful.rule(home=st.integers(0, 1))
    def crash(self, home):
        """Crashes a home.

        The service continues the runs of the home, and the results are lost.
        """
        crashed = self.homes[home]
        self.homes[home] = self.start_home(home)
        for pending in list(self.pending_calls):
            if pending.call.ticket.home == crashed.me:
                pending.task.cancel()
                self.pending_calls.remove(pending)
        self.run_tasks()

    @stateful.rule(home=st.integers(0, 1))
    def close(self, home):
        self.homes[home].close()

    @stateful.rule(passed=st.sampled_from([1.0, 100.0, 700.0]))
    def time_passes(self, passed):
        self.now_s += passed

    @stateful.invariant()
    def runs_at_most_once(self):
        assert all(n <= 1 for n in self.runs_by_ticket.values())

    def teardown(self):
        for run in self.active_runs:
            if not run.ended.done():
                run.ended.set_result(OUTCOMES_BY_NAME['broken'])
        self.run_tasks()
        for pending in self.pending_calls:
            pending.task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()
