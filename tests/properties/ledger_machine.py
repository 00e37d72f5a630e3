"""State machine: no interleaving of faults overfills an engine.

Processes hold ledgers of one engine. Messages between them are delayed or
lost, processes crash and restart empty, lists differ, run orders reach the
engine late. At every step, what the engine holds and what may still be
started on it must fit its memory.
"""

import dataclasses

from hypothesis import stateful
from hypothesis import strategies as st

from galenaquay import ids
from galenaquay.limits import ledger
from galenaquay.membership import ranks

CAPACITY = 1000
# For this engine the VM that joins ranks first, so that shares move.
ENGINE = ids.EndpointId('e3')
VMS = [ids.VmId(name) for name in ('a', 'b', 'c', 'd')]
# Seconds within which everything comes to rest.
QUIET_ROUNDS = 12
PICK = st.integers(min_value=0, max_value=5)
ENTRY = ledger.ProcessId(ids.VmId('z'), ids.Incarnation(9))


@dataclasses.dataclass(eq=False)
class Claim:
    """A claim that waits for answers."""

    vm: ids.VmId
    incarnation: int
    list_version: int
    keys: list
    to_ask: list
    answers: list


@dataclasses.dataclass(eq=False)
class Reply:
    """An answer to a heartbeat that is under way."""

    borrower: ledger.ProcessId
    lender: ledger.ProcessId
    number: int
    tokens: int
    asked_at_s: float


@dataclasses.dataclass(eq=False)
class Report:
    """What the engine showed as held, under way to an owner."""

    owner: ledger.ProcessId
    holdings: list
    asked_at_s: float


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Processes, one engine, and every fault between them."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.lists = {1: VMS[:3]}
        self.books = {}
        self.known = {}
        self.next_incarnation = 1
        self.orders = []
        self.running = []
        self.replies = []
        self.reports = []
        self.claims = []
        for vm in VMS[:3]:
            self.start_process(vm, 1)
        # Faults find more when they strike a zone that is at work.
        self.quiet_rounds()

    def start_process(self, vm, list_version):
        incarnation = ids.Incarnation(self.next_incarnation)
        self.next_incarnation += 1
        self.books[vm] = ledger.Ledger(ledger.ProcessId(vm, incarnation))
        self.known[vm] = list_version

    def live(self, number):
        vms = sorted(self.books)
        return vms[number % len(vms)] if vms else None

    def holder(self, vm):
        return self.books[vm].me

    def is_running_process(self, holder):
        return holder.vm_id in self.books and (
            self.books[holder.vm_id].me == holder
        )

    def wanted(self, vm):
        ranked = ranks.rank_vms('engine/e3', self.lists[self.known[vm]], 2)
        slots = ledger.wanted_slots(ranked, vm)
        return [ledger.ShareKey(ENGINE, slot) for slot in slots]

    # Time and the engine.

    @stateful.rule(dt=st.sampled_from([0.1, 0.5, 1.0, 2.0, 5.0]))
    def advance(self, dt):
        self.now += dt
        # A run order that is handed over later breaks the assumption on
        # pauses, which the design note names.
        self.orders = [
            g
            for g in self.orders
            if self.now < g.granted_at_s + ledger.GRANT_VISIBLE_S
        ]

    @stateful.rule(number=PICK, tokens=st.integers(1, CAPACITY))
    def grant(self, number, tokens):
        vm = self.live(number)
        if vm is not None:
            granted = self.books[vm].grant(ENGINE, tokens, ENTRY, self.now)
            if granted is not None:
                self.orders.append(granted)

    @stateful.rule(number=PICK)
    def grant_all(self, number):
        vm = self.live(number)
        if vm is not None:
            free = self.books[vm].free_tokens(ENGINE, self.now)
            self.grant(number, max(1, free))

    @stateful.rule(number=PICK)
    def fill(self, number):
        """Grants all that is free and starts it at once."""
        self.grant_all(number)
        while self.orders:
            self.running.append(self.orders.pop())

    @stateful.precondition(lambda self: self.orders)
    @stateful.rule(number=PICK, is_lost=st.booleans())
    def hand_over_order(self, number, is_lost):
        order = self.orders.pop(number % len(self.orders))
        if not is_lost:
            self.running.append(order)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(number=PICK, is_told=st.booleans())
    def end_request(self, number, is_told):
        ended = self.running.pop(number % len(self.running))
        if is_told and self.is_running_process(ended.owner):
            self.books[ended.owner.vm_id].release(ended.grant_id)

    @stateful.rule()
    def engine_restarts(self):
        self.running = []

    # Heartbeats and reports.

    @stateful.rule(first=PICK, second=PICK)
    def beat(self, first, second):
        borrower, lender = self.live(first), self.live(second)
        if borrower is None or borrower == lender:
            return
        lease = self.books[lender].lend(
            ENGINE, self.holder(borrower), self.now
        )
        if lease is not None:
            self.replies.append(
                Reply(
                    self.holder(borrower),
                    self.holder(lender),
                    lease.number,
                    lease.tokens,
                    self.now,
                )
            )

    @stateful.rule(first=PICK, second=PICK)
    def lend_at_once(self, first, second):
        under_way = list(self.replies)
        self.replies = []
        self.beat(first, second)
        while self.replies:
            self.deliver_reply(0, False)
        self.replies = under_way

    @stateful.rule(number=PICK)
    def settle_at_once(self, number):
        under_way = list(self.reports)
        self.reports = []
        self.ask_engine(number)
        while self.reports:
            self.deliver_report(0)
        self.reports = under_way

    @stateful.precondition(lambda self: self.replies)
    @stateful.rule(number=PICK, is_lost=st.booleans())
    def deliver_reply(self, number, is_lost):
        reply = self.replies.pop(number % len(self.replies))
        if not is_lost and self.is_running_process(reply.borrower):
            self.books[reply.borrower.vm_id].borrow(
                ENGINE,
                reply.lender,
                reply.number,
                reply.tokens,
                reply.asked_at_s,
            )

    @stateful.rule(number=PICK)
    def ask_engine(self, number):
        vm = self.live(number)
        if vm is not None:
            holdings = [
                ledger.parse_tag(ids.RequestId('r'), 1, g.tag())
                for g in self.running
            ]
            self.reports.append(Report(self.holder(vm), holdings, self.now))

    @stateful.precondition(lambda self: self.reports)
    @stateful.rule(number=PICK)
    def deliver_report(self, number):
        report = self.reports.pop(number % len(self.reports))
        if self.is_running_process(report.owner):
            self.books[report.owner.vm_id].reconcile(
                ENGINE, report.holdings, report.asked_at_s
            )

    # Claims.

    @stateful.rule(number=PICK)
    def begin_claim(self, number):
        vm = self.live(number)
        if vm is None:
            return
        books = self.books[vm]
        keys = [
            key
            for key in self.wanted(vm)
            if key not in books.shares_by_key and key not in books.claiming
        ]
        if not keys:
            return
        books.claiming.update(keys)
        peers = [p for p in self.lists[self.known[vm]] if p != vm]
        self.claims.append(
            Claim(vm, books.me.incarnation, self.known[vm], keys, peers, [])
        )

    @stateful.precondition(lambda self: self.claims)
    @stateful.rule(number=PICK, is_lost=st.sampled_from([0, 0, 0, 1]))
    def go_on_with_claim(self, number, is_lost):
        claim = self.claims[number % len(self.claims)]
        if not claim.to_ask:
            self.finish_claim(claim)
        elif is_lost:
            claim.to_ask.pop()
            claim.answers.extend(self.denials(claim))
        else:
            self.answer_claim(claim, claim.to_ask.pop())

    def denials(self, claim):
        denied = ledger.ClaimVerdict.DENIED
        return [ledger.ClaimAnswer(key, denied) for key in claim.keys]

    def answer_claim(self, claim, peer):
        if peer not in self.books:
            # The machine of a process that has ended refuses connections.
            verdict = ledger.ClaimVerdict.NOT_HELD
            claim.answers.extend(
                ledger.ClaimAnswer(key, verdict) for key in claim.keys
            )
        elif self.known[peer] != claim.list_version:
            claim.answers.extend(self.denials(claim))
        else:
            wanted = self.wanted(peer)
            claim.answers.extend(
                self.books[peer].answer_claim(
                    key, is_wanted=key in wanted, now_s=self.now
                )
                for key in claim.keys
            )

    def finish_claim(self, claim):
        self.claims.remove(claim)
        if claim.vm not in self.books:
            return
        books = self.books[claim.vm]
        if books.me.incarnation != claim.incarnation:
            return
        if self.known[claim.vm] != claim.list_version:
            claim.answers.extend(self.denials(claim))
        for key in claim.keys:
            answers = [a for a in claim.answers if a.key == key]
            size = ledger.share_tokens(CAPACITY, key.slot)
            books.take_over(key, size, answers, self.now)

    @stateful.rule(number=PICK)
    def claim_at_once(self, number):
        before = list(self.claims)
        self.begin_claim(number)
        for claim in [c for c in self.claims if c not in before]:
            while claim.to_ask:
                self.answer_claim(claim, claim.to_ask.pop())
            self.finish_claim(claim)

    # Processes and lists.

    @stateful.rule(number=PICK)
    def crash(self, number):
        vm = self.live(number)
        if vm is not None:
            del self.books[vm]
            del self.known[vm]

    @stateful.rule(number=PICK)
    def restart(self, number):
        listed = self.lists[max(self.lists)]
        vm = listed[number % len(listed)]
        if vm not in self.books:
            # Peers are asked for the list before the first claim.
            newest = max([*self.known.values(), 1])
            self.start_process(vm, max(newest, max(self.lists) - 1, 1))

    @stateful.rule(number=PICK)
    def learn(self, number):
        vm = self.live(number)
        if vm is not None:
            self.known[vm] = max(self.lists)

    @stateful.rule(number=PICK)
    def publish(self, number):
        newest = max(self.lists)
        listed = list(self.lists[newest])
        vm = VMS[number % len(VMS)]
        if vm not in listed:
            listed.append(vm)
        elif vm not in self.books and len(listed) > 1:
            # A VM leaves the list once it has been terminated.
            listed.remove(vm)
        else:
            return
        self.lists[newest + 1] = sorted(listed)

    # Sequences that single rules find too rarely.

    @stateful.rule(number=PICK, tokens=st.sampled_from([100, 300, 500]))
    def start_some(self, number, tokens):
        before = len(self.orders)
        self.grant(number, tokens)
        while len(self.orders) > before:
            self.running.append(self.orders.pop())

    @stateful.rule(number=PICK, tokens=st.sampled_from([600, 800]))
    def start_on_lease(self, number, tokens):
        """Starts a request that takes part of a fresh lease."""
        self.lend_all()
        self.start_some(number, tokens)

    @stateful.rule(number=PICK)
    def restart_at_once(self, number):
        vm = self.live(number)
        if vm is not None:
            self.crash(number)
            self.start_process(vm, max(self.lists))
            self.claim_all()

    @stateful.rule(number=PICK)
    def move_list(self, number):
        """Publishes another list, which all read, and shares move."""
        self.publish(number)
        for vm in self.books:
            self.known[vm] = max(self.lists)
        self.claim_all()

    @stateful.rule()
    def ask_then_fill(self):
        """Asks the engine, and fills it while the answers are under way."""
        for number in range(len(self.books)):
            self.ask_engine(number)
        for number in range(len(self.books)):
            self.fill(number)

    @stateful.rule(away=st.sampled_from([1.0, 2.5, 5.0]))
    def part_and_rejoin(self, away):
        """Nobody hears anybody for a while, then everything at once."""
        self.advance(away)
        for _ in range(2):
            for number in range(len(self.books)):
                self.settle_at_once(number)
            self.lend_all()

    def lend_all(self):
        """Lets whoever holds a first share borrow, as heartbeats do."""
        key = ledger.ShareKey(ENGINE, ledger.Slot.FIRST)
        for first, vm in enumerate(sorted(self.books)):
            if key in self.books[vm].shares_by_key:
                for second in range(len(self.books)):
                    self.lend_at_once(first, second)

    def claim_all(self):
        for number in range(len(self.books)):
            self.claim_at_once(number)

    # What must hold.

    @stateful.invariant()
    def engine_is_never_overfull(self):
        held = sum(g.tokens for g in self.running)
        may_come = sum(g.tokens for g in self.orders)
        # Whatever all processes would grant at this moment must fit too.
        free = {
            vm: books.free_tokens(ENGINE, self.now)
            for vm, books in self.books.items()
        }
        total = held + may_come + sum(free.values())
        assert total <= CAPACITY, (held, may_come, free)

    def teardown(self):
        """With faults over, everything is given back."""
        self.orders, self.running, self.reports = [], [], []
        self.replies = []
        for claim in list(self.claims):
            claim.to_ask.clear()
            claim.answers.extend(self.denials(claim))
            self.finish_claim(claim)
        for vm in self.lists[max(self.lists)]:
            if vm not in self.books:
                self.start_process(vm, max(self.lists))
        for vm in self.books:
            self.known[vm] = max(self.lists)
        self.quiet_rounds()
        free = {
            vm: books.free_tokens(ENGINE, self.now)
            for vm, books in self.books.items()
        }
        assert max(free.values()) == CAPACITY, free

    def quiet_rounds(self):
        for _ in range(QUIET_ROUNDS):
            self.now += 1.0
            for number in range(len(self.books)):
                self.claim_at_once(number)
                self.ask_engine(number)
                while self.reports:
                    self.deliver_report(0)
            for vm, books in self.books.items():
                for key in self.wanted(vm):
                    books.resume_lending(key)
                if ledger.ShareKey(ENGINE, ledger.Slot.FIRST) in (
                    books.shares_by_key
                ):
                    borrower = sorted(self.books).index(vm)
                    for lender in range(len(self.books)):
                        self.beat(borrower, lender)
            while self.replies:
                self.deliver_reply(0, False)
