"""State machine: a ticket's call runs at most once, and NOT_RUN is true.

Homes issue tickets, calls arrive at once and again, services answer, break,
hang or cannot be reached, homes crash and restart empty, records expire.
"""

import asyncio
import collections
import dataclasses

from galenaquay import codes
from galenaquay import ids
from galenaquay.limits import ledger
from galenaquay.outcomes import tickets
from galenaquay.ports import services
from hypothesis import stateful
from hypothesis import strategies as st

PICK = st.integers(0, 1000)
ACCOUNTS = [ids.AccountId('a'), ids.AccountId('b')]
ANSWER = services.ServiceResponse(200, b'done', 'text/plain')
ENDS = {
    'answered': tickets.CallResult(ANSWER),
    'broken': codes.failure(codes.Code.CALL_BROKE),
    'timed out': codes.failure(codes.Code.CALL_TIMED_OUT),
}


@dataclasses.dataclass(eq=False)
class Run:
    """One run of a call at a service that has not ended."""

    ticket: str
    ended: asyncio.Future


@dataclasses.dataclass(eq=False)
class Made:
    """One call of a caller that has not been answered."""

    call: tickets.CallRequest
    # Whether the ticket was issued to the caller's account.
    is_own: bool
    task: asyncio.Task


class TicketMachine(stateful.RuleBasedStateMachine):
    """Homes, callers and a service that counts what it runs."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.now = 0.0
        self.incarnations = 0
        self.runs_by_ticket = collections.Counter()
        self.running = []
        # Calls that reached the service.
        self.started = []
        self.issued = []
        self.calls = []
        self.reachable = True
        self.outcomes_by_ticket = collections.defaultdict(list)
        self.homes = [self.start_home(0), self.start_home(1)]

    def start_home(self, number):
        self.incarnations += 1
        me = ledger.ProcessId(
            ids.VmId(f'vm{number}'), ids.Incarnation(self.incarnations)
        )
        return tickets.Home(me, self.run_call, lambda: self.now)

    async def run_call(self, call):
        if not self.reachable:
            return codes.failure(codes.Code.CONNECT_FAILED)
        ticket = str(call.ticket)
        self.runs_by_ticket[ticket] += 1
        self.started.append(call)
        run = Run(ticket, self.loop.create_future())
        self.running.append(run)
        return await run.ended

    def turn(self):
        """Lets every task go on as far as it can."""
        for _ in range(6):
            self.loop.run_until_complete(asyncio.sleep(0))
        for made in [made for made in self.calls if made.task.done()]:
            self.calls.remove(made)
            self.check_told(made, made.task.result())

    def check_told(self, made, outcome):
        ticket = str(made.call.ticket)
        runs = self.runs_by_ticket[ticket]
        if not made.is_own:
            # Nobody learns of another account's call, nor causes its run.
            assert isinstance(outcome, codes.Failure), (ticket, outcome)
            assert not any(made.call is call for call in self.started)
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
            self.issued.append((ticket, ACCOUNTS[account]))

    @stateful.precondition(lambda self: self.issued)
    @stateful.rule(
        number=PICK, home=st.integers(0, 1), is_own=st.sampled_from([1, 1, 0])
    )
    def call(self, number, home, is_own):
        """A call reaches a home, rightly or by a stale list."""
        ticket, account = self.issued[number % len(self.issued)]
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
        self.calls.append(Made(call, bool(is_own), task))
        self.turn()

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(number=PICK, end=st.sampled_from(sorted(ENDS)))
    def end_run(self, number, end):
        run = self.running.pop(number % len(self.running))
        if not run.ended.done():
            run.ended.set_result(ENDS[end])
        self.turn()

    @stateful.rule(reachable=st.booleans())
    def services_change(self, reachable):
        self.reachable = reachable

    @stateful.rule(home=st.integers(0, 1))
    def crash(self, home):
        """The process dies; what it ran goes on, its answers are lost."""
        dead = self.homes[home]
        self.homes[home] = self.start_home(home)
        for made in list(self.calls):
            if made.call.ticket.home == dead.me:
                made.task.cancel()
                self.calls.remove(made)
        self.turn()

    @stateful.rule(home=st.integers(0, 1))
    def close(self, home):
        self.homes[home].close()

    @stateful.rule(passed=st.sampled_from([1.0, 100.0, 700.0]))
    def time_passes(self, passed):
        self.now += passed

    @stateful.invariant()
    def runs_at_most_once(self):
        assert all(n <= 1 for n in self.runs_by_ticket.values())

    def teardown(self):
        for run in self.running:
            if not run.ended.done():
                run.ended.set_result(ENDS['broken'])
        self.turn()
        for made in self.calls:
            made.task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()
