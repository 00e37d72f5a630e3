"""State machine: no sequence of faults overcommits an engine's memory.

Several processes each keep a ledger of one engine. Messages between processes
are delayed or lost, processes crash and restart with an empty ledger, VM lists
differ between processes, and granted requests reach the engine late. After
every step, the tokens that the engine holds plus the tokens that may still be
started on the engine must not exceed the engine's memory.
"""

import dataclasses

from hypothesis import stateful
from hypothesis import strategies as st

from galenaquay import ids
from galenaquay.limits import ledger
from galenaquay.limits import shares
from galenaquay.membership import ranks

CAPACITY = 1000
# VM d, which is not in the first list, ranks first for this engine, so that
# shares move when VM d joins.
ENGINE = ids.EndpointId('e3')
VMS = [ids.VmId(name) for name in ('a', 'b', 'c', 'd')]
# Number of rounds of one second without faults after which all claims, leases
# and reconciliations must be complete.
FAULT_FREE_ROUNDS = 12
PICK = st.integers(min_value=0, max_value=5)
ENTRY = shares.ProcessId(ids.VmId('z'), ids.Incarnation(9))


@dataclasses.dataclass(eq=False)
class Claim:
    """A claim to shares that waits for the answers of other VMs."""

    vm: ids.VmId
    incarnation: int
    list_version: int
    keys: list
    unasked_vms: list
    answers: list


@dataclasses.dataclass(eq=False)
class Reply:
    """A reply to a heartbeat, in transit; it carries a lease."""

    borrower: shares.ProcessId
    lender: shares.ProcessId
    number: int
    tokens: int
    asked_at_s: float


@dataclasses.dataclass(eq=False)
class Report:
    """The engine's report of its held requests, in transit to an owner."""

    owner: shares.ProcessId
    holdings: list
    asked_at_s: float


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Processes, one engine, and the faults of messages and processes."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.vms_by_list_version = {1: VMS[:3]}
        self.ledgers_by_vm = {}
        self.list_version_by_vm = {}
        self.next_incarnation = 1
        self.unstarted_grants = []
        self.running_grants = []
        self.replies = []
        self.reports = []
        self.claims = []
        for vm in VMS[:3]:
            self.start_process(vm, 1)
        # Faults reach more states if shares and leases exist beforehand.
        self.run_fault_free_rounds()

    def start_process(self, vm, list_version):
        incarnation = ids.Incarnation(self.next_incarnation)
        self.next_incarnation += 1
        self.ledgers_by_vm[vm] = ledger.Ledger(
            shares.ProcessId(vm, incarnation)
        )
        self.list_version_by_vm[vm] = list_version

    def pick_running_vm(self, number):
        vms = sorted(self.ledgers_by_vm)
        return vms[number % len(vms)] if vms else None

    def process_id(self, vm):
        return self.ledgers_by_vm[vm].me

    def is_running_process(self, process_id):
        return process_id.vm_id in self.ledgers_by_vm and (
            self.ledgers_by_vm[process_id.vm_id].me == process_id
        )

    def wanted_keys(self, vm):
        ranked = ranks.rank_vms(
            'engine/e3',
            self.vms_by_list_version[self.list_version_by_vm[vm]],
            2,
        )
        slots = shares.wanted_slots(ranked, vm)
        return [shares.ShareKey(ENGINE, slot) for slot in slots]

    # Time and the engine.

    @stateful.rule(dt=st.sampled_from([0.1, 0.5, 1.0, 2.0, 5.0]))
    def advance(self, dt):
        self.now += dt
        # Drops the grants that are too old to be started. The design in
        # docs/design/memory.md assumes that a process pauses for at most
        # PAUSE_GRACE_S between its last check of the clock and its request to
        # the engine.
        self.unstarted_grants = [
            g
            for g in self.unstarted_grants
            if self.now < g.granted_at_s + ledger.GRANT_VISIBLE_S
        ]

    @stateful.rule(number=PICK, tokens=st.integers(1, CAPACITY))
    def grant(self, number, tokens):
        vm = self.pick_running_vm(number)
        if vm is not None:
            granted = self.ledgers_by_vm[vm].grant(
                ENGINE, tokens, ENTRY, self.now
            )
            if granted is not None:
                self.unstarted_grants.append(granted)

    @stateful.rule(number=PICK)
    def grant_all(self, number):
        vm = self.pick_running_vm(number)
        if vm is not None:
            free = self.ledgers_by_vm[vm].free_tokens(ENGINE, self.now)
            self.grant(number, max(1, free))

    @stateful.rule(number=PICK)
    def fill_engine(self, number):
        """Grants all free tokens and starts the granted requests at once."""
        self.grant_all(number)
        while self.unstarted_grants:
            self.running_grants.append(self.unstarted_grants.pop())

    @stateful.precondition(lambda self: self.unstarted_grants)
    @stateful.rule(number=PICK, is_lost=st.booleans())
    def hand_over_grant(self, number, is_lost):
        granted = self.unstarted_grants.pop(
            number % len(self.unstarted_grants)
        )
        if not is_lost:
            self.running_grants.append(granted)

    @stateful.precondition(lambda self: self.running_grants)
    @stateful.rule(number=PICK, is_released=st.booleans())
    def end_request(self, number, is_released):
        ended = self.running_grants.pop(number % len(self.running_grants))
        if is_released and self.is_running_process(ended.owner):
            self.ledgers_by_vm[ended.owner.vm_id].release(ended.grant_id)

    @stateful.rule()
    def engine_restarts(self):
        self.running_grants = []

    # Heartbeats and reports.

    @stateful.rule(first=PICK, second=PICK)
    def borrow_by_heartbeat(self, first, second):
        borrower, lender = (
            self.pick_running_vm(first),
            self.pick_running_vm(second),
        )
        if borrower is None or borrower == lender:
            return
        lease = self.ledgers_by_vm[lender].lend(
            ENGINE, self.process_id(borrower), self.now
        )
        if lease is not None:
            self.replies.append(
                Reply(
                    self.process_id(borrower),
                    self.process_id(lender),
                    lease.number,
                    lease.tokens,
                    self.now,
                )
            )

    @stateful.rule(first=PICK, second=PICK)
    def lend_at_once(self, first, second):
        in_transit = list(self.replies)
        self.replies = []
        self.borrow_by_heartbeat(first, second)
        while self.replies:
            self.deliver_reply(0, False)
        self.replies = in_transit

    @stateful.rule(number=PICK)
    def run_reconciliation(self, number):
        in_transit = list(self.reports)
        self.reports = []
        self.ask_engine(number)
        while self.reports:
            self.deliver_report(0)
        self.reports = in_transit

    @stateful.precondition(lambda self: self.replies)
    @stateful.rule(number=PICK, is_lost=st.booleans())
    def deliver_reply(self, number, is_lost):
        reply = self.replies.pop(number % len(self.replies))
        if not is_lost and self.is_running_process(reply.borrower):
            self.ledgers_by_vm[reply.borrower.vm_id].borrow(
                ENGINE,
                reply.lender,
                reply.number,
                reply.tokens,
                reply.asked_at_s,
            )

    @stateful.rule(number=PICK)
    def ask_engine(self, number):
        vm = self.pick_running_vm(number)
        if vm is not None:
            holdings = [
                shares.parse_tag(ids.RequestId('r'), 1, g.tag())
                for g in self.running_grants
            ]
            self.reports.append(
                Report(self.process_id(vm), holdings, self.now)
            )

    @stateful.precondition(lambda self: self.reports)
    @stateful.rule(number=PICK)
    def deliver_report(self, number):
        report = self.reports.pop(number % len(self.reports))
        if self.is_running_process(report.owner):
            self.ledgers_by_vm[report.owner.vm_id].reconcile(
                ENGINE, report.holdings, report.asked_at_s
            )

    # Claims.

    @stateful.rule(number=PICK)
    def begin_claim(self, number):
        vm = self.pick_running_vm(number)
        if vm is None:
            return
        process_ledger = self.ledgers_by_vm[vm]
        keys = [
            key
            for key in self.wanted_keys(vm)
            if key not in process_ledger.shares_by_key
            and key not in process_ledger.claiming
        ]
        if not keys:
            return
        process_ledger.claiming.update(keys)
        peers = [
            p
            for p in self.vms_by_list_version[self.list_version_by_vm[vm]]
            if p != vm
        ]
        self.claims.append(
            Claim(
                vm,
                process_ledger.me.incarnation,
                self.list_version_by_vm[vm],
                keys,
                peers,
                [],
            )
        )

    @stateful.precondition(lambda self: self.claims)
    @stateful.rule(number=PICK, is_lost=st.sampled_from([0, 0, 0, 1]))
    def go_on_with_claim(self, number, is_lost):
        claim = self.claims[number % len(self.claims)]
        if not claim.unasked_vms:
            self.finish_claim(claim)
        elif is_lost:
            claim.unasked_vms.pop()
            claim.answers.extend(self.denials(claim))
        else:
            self.answer_claim(claim, claim.unasked_vms.pop())

    def denials(self, claim):
        denied = shares.ClaimVerdict.DENIED
        return [shares.ClaimAnswer(key, denied) for key in claim.keys]

    def answer_claim(self, claim, peer):
        if peer not in self.ledgers_by_vm:
            # The VM of a process that has ended refuses connections, which
            # shows that the process holds no share.
            verdict = shares.ClaimVerdict.NOT_HELD
            claim.answers.extend(
                shares.ClaimAnswer(key, verdict) for key in claim.keys
            )
        elif self.list_version_by_vm[peer] != claim.list_version:
            claim.answers.extend(self.denials(claim))
        else:
            wanted = self.wanted_keys(peer)
            claim.answers.extend(
                self.ledgers_by_vm[peer].answer_claim(
                    key, is_wanted=key in wanted, now_s=self.now
                )
                for key in claim.keys
            )

    def finish_claim(self, claim):
        self.claims.remove(claim)
        if claim.vm not in self.ledgers_by_vm:
            return
        process_ledger = self.ledgers_by_vm[claim.vm]
        if process_ledger.me.incarnation != claim.incarnation:
            return
        if self.list_version_by_vm[claim.vm] != claim.list_version:
            claim.answers.extend(self.denials(claim))
        for key in claim.keys:
            answers = [a for a in claim.answers if a.key == key]
            size = shares.share_tokens(CAPACITY, key.slot)
            process_ledger.take_over(key, size, answers, self.now)

    @stateful.rule(number=PICK)
    def claim_at_once(self, number):
        before = list(self.claims)
        self.begin_claim(number)
        for claim in [c for c in self.claims if c not in before]:
            while claim.unasked_vms:
                self.answer_claim(claim, claim.unasked_vms.pop())
            self.finish_claim(claim)

    # Processes and VM lists.

    @stateful.rule(number=PICK)
    def crash(self, number):
        vm = self.pick_running_vm(number)
        if vm is not None:
            del self.ledgers_by_vm[vm]
            del self.list_version_by_vm[vm]

    @stateful.rule(number=PICK)
    def restart(self, number):
        listed = self.vms_by_list_version[max(self.vms_by_list_version)]
        vm = listed[number % len(listed)]
        if vm not in self.ledgers_by_vm:
            # A new process asks its peers for the VM list before its first
            # claim, so its list is at most one version old.
            newest = max([*self.list_version_by_vm.values(), 1])
            self.start_process(
                vm, max(newest, max(self.vms_by_list_version) - 1, 1)
            )

    @stateful.rule(number=PICK)
    def learn_newest_list(self, number):
        vm = self.pick_running_vm(number)
        if vm is not None:
            self.list_version_by_vm[vm] = max(self.vms_by_list_version)

    @stateful.rule(number=PICK)
    def publish(self, number):
        newest = max(self.vms_by_list_version)
        listed = list(self.vms_by_list_version[newest])
        vm = VMS[number % len(VMS)]
        if vm not in listed:
            listed.append(vm)
        elif vm not in self.ledgers_by_vm and len(listed) > 1:
            # A VM is removed from the list only after its termination.
            listed.remove(vm)
        else:
            return
        self.vms_by_list_version[newest + 1] = sorted(listed)

    # Sequences that single rules rarely produce.

    @stateful.rule(number=PICK, tokens=st.sampled_from([100, 300, 500]))
    def start_request(self, number, tokens):
        before = len(self.unstarted_grants)
        self.grant(number, tokens)
        while len(self.unstarted_grants) > before:
            self.running_grants.append(self.unstarted_grants.pop())

    @stateful.rule(number=PICK, tokens=st.sampled_from([600, 800]))
    def start_on_lease(self, number, tokens):
        """Starts a request that uses part of a new lease."""
        self.lend_all()
        self.start_request(number, tokens)

    @stateful.rule(number=PICK)
    def restart_at_once(self, number):
        vm = self.pick_running_vm(number)
        if vm is not None:
            self.crash(number)
            self.start_process(vm, max(self.vms_by_list_version))
            self.claim_all()

    @stateful.rule(number=PICK)
    def move_shares(self, number):
        """Publishes a new VM list to all processes, so that shares move."""
        self.publish(number)
        for vm in self.ledgers_by_vm:
            self.list_version_by_vm[vm] = max(self.vms_by_list_version)
        self.claim_all()

    @stateful.rule()
    def ask_then_fill(self):
        """Fills the engine while its reports are in transit to the owners."""
        for number in range(len(self.ledgers_by_vm)):
            self.ask_engine(number)
        for number in range(len(self.ledgers_by_vm)):
            self.fill_engine(number)

    @stateful.rule(partition_s=st.sampled_from([1.0, 2.5, 5.0]))
    def partition_and_heal(self, partition_s):
        """Delivers no messages for some seconds, then renews all leases."""
        self.advance(partition_s)
        for _ in range(2):
            for number in range(len(self.ledgers_by_vm)):
                self.run_reconciliation(number)
            self.lend_all()

    def lend_all(self):
        """Lets each holder of a first share borrow, as heartbeats do."""
        key = shares.ShareKey(ENGINE, shares.Slot.FIRST)
        for first, vm in enumerate(sorted(self.ledgers_by_vm)):
            if key in self.ledgers_by_vm[vm].shares_by_key:
                for second in range(len(self.ledgers_by_vm)):
                    self.lend_at_once(first, second)

    def claim_all(self):
        for number in range(len(self.ledgers_by_vm)):
            self.claim_at_once(number)

    # Invariants.

    @stateful.invariant()
    def engine_is_never_overcommitted(self):
        running = sum(g.tokens for g in self.running_grants)
        unstarted = sum(g.tokens for g in self.unstarted_grants)
        # The tokens that all processes together could grant now must also fit
        # into the engine's memory.
        free = {
            vm: process_ledger.free_tokens(ENGINE, self.now)
            for vm, process_ledger in self.ledgers_by_vm.items()
        }
        total = running + unstarted + sum(free.values())
        assert total <= CAPACITY, (running, unstarted, free)

    def teardown(self):
        """Checks that one process can grant all memory once faults end."""
        self.unstarted_grants, self.running_grants, self.reports = [], [], []
        self.replies = []
        for claim in list(self.claims):
            claim.unasked_vms.clear()
            claim.answers.extend(self.denials(claim))
            self.finish_claim(claim)
        for vm in self.vms_by_list_version[max(self.vms_by_list_version)]:
            if vm not in self.ledgers_by_vm:
                self.start_process(vm, max(self.vms_by_list_version))
        for vm in self.ledgers_by_vm:
            self.list_version_by_vm[vm] = max(self.vms_by_list_version)
        self.run_fault_free_rounds()
        free = {
            vm: process_ledger.free_tokens(ENGINE, self.now)
            for vm, process_ledger in self.ledgers_by_vm.items()
        }
        assert max(free.values()) == CAPACITY, free

    def run_fault_free_rounds(self):
        for _ in range(FAULT_FREE_ROUNDS):
            self.now += 1.0
            for number in range(len(self.ledgers_by_vm)):
                self.claim_at_once(number)
                self.ask_engine(number)
                while self.reports:
                    self.deliver_report(0)
            for vm, process_ledger in self.ledgers_by_vm.items():
                for key in self.wanted_keys(vm):
                    process_ledger.resume_lending(key)
                if shares.ShareKey(ENGINE, shares.Slot.FIRST) in (
                    process_ledger.shares_by_key
                ):
                    borrower = sorted(self.ledgers_by_vm).index(vm)
                    for lender in range(len(self.ledgers_by_vm)):
                        self.borrow_by_heartbeat(borrower, lender)
            while self.replies:
                self.deliver_reply(0, False)
