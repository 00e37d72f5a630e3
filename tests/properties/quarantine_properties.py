"""Properties of the quarantine of prompt parts, in simulated time."""

import random

from galenaquay.engines import directory
from galenaquay import ids
from galenaquay.limits import quarantine
from galenaquay.membership import revisions

DEADLY = ids.PromptPartId('deadly')
FIRST = ids.PromptPartId('first')
WINDOW_S = 3.0
# Time in which what one VM knows reaches all others, in seconds.
SPREAD_S = 0.4
STEP_S = 0.02
# Time from sending a prompt to its first event and to its end, in seconds.
PREFILL_S = 0.06
ANSWER_S = 1.2
# Time from sending a prompt until its answer clears its parts, in seconds.
BEGUN_S = PREFILL_S + quarantine.BEGINNING_S


def make_engine(number):
    return directory.Endpoint(
        ids.EndpointId(f'e{number}'),
        ids.ServiceName('models'),
        'h',
        1,
        ids.ZoneName('ba'),
        8,
        directory.EndpointState.READY,
    )


class Prompt:
    """One request at one engine."""

    def __init__(self, vm, engine, parts, sent_at_s, retries):
        self.vm = vm
        self.engine = engine
        self.parts = parts
        self.sent_at_s = sent_at_s
        self.retries = retries
        self.is_answered = False


class SimulatedFleet:
    """VMs that place prompts on engines, and engines that end."""

    def __init__(self, seed, vms=8, engines=20):
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.vms = [
            quarantine.Quarantine(revisions.Revisions(), clock=self.clock)
            for _ in range(vms)
        ]
        self.engines = [make_engine(i) for i in range(engines)]
        self.next_engine = engines
        self.running = []
        # When prompts with the deadly part were sent, and their engines ended.
        self.deadly_sent_at_s = []
        self.deadly_ends_at_s = []
        self.shared_at_s = self.now_s

    def clock(self):
        return self.now_s

    def send(self, parts, retries=1):
        """Sends a prompt; returns whether its VM accepted the prompt."""
        vm = self.rng.choice(self.vms)
        return self.send_at(vm, parts, retries)

    def send_at(self, vm, parts, retries):
        if vm.find_blamed(parts):
            return False
        engine = self.rng.choice(self.engines)
        if DEADLY in parts:
            self.deadly_sent_at_s.append(self.now_s)
        self.running.append(Prompt(vm, engine, parts, self.now_s, retries))
        return True

    def end_engines(self, engines):
        """Ends engines by themselves, all at the same moment."""
        for engine in engines:
            self.engines.remove(engine)
            self.engines.append(make_engine(self.next_engine))
            self.next_engine += 1
        lost = [p for p in self.running if p.engine in engines]
        self.running = [p for p in self.running if p.engine not in engines]
        for prompt in lost:
            if not prompt.is_answered:
                prompt.vm.record_end(
                    prompt.engine, prompt.parts, prompt.sent_at_s
                )
        for prompt in lost:
            if prompt.retries:
                self.send_at(prompt.vm, prompt.parts, prompt.retries - 1)

    def step(self):
        """Lets STEP_S pass."""
        self.now_s += STEP_S
        deadly = [
            p
            for p in self.running
            if DEADLY in p.parts and self.now_s - p.sent_at_s >= PREFILL_S
        ]
        for prompt in deadly:
            if prompt in self.running:
                self.deadly_ends_at_s.append(self.now_s)
                self.end_engines([prompt.engine])
        for prompt in list(self.running):
            age_s = self.now_s - prompt.sent_at_s
            if not prompt.is_answered and age_s >= BEGUN_S:
                prompt.is_answered = True
                prompt.vm.record_answer(prompt.parts)
            if age_s >= ANSWER_S:
                self.running.remove(prompt)
        if self.now_s - self.shared_at_s >= SPREAD_S:
            self.shared_at_s = self.now_s
            reports = [vm.reports_after(0) for vm in self.vms]
            for vm in self.vms:
                for report in reports:
                    vm.merge(report)


def check_deadly_part_is_kept_out():
    """A part that crashes engines reaches at most three after the bound."""
    for seed in range(24):
        fleet = SimulatedFleet(seed)
        share = fleet.rng.choice([0.01, 0.03, 0.05, 0.2, 0.6])
        first_parts = [FIRST, *(f'p{i}' for i in range(20))]
        is_first_fixed = seed % 2
        refused_sound, sound = 0, 0
        for _ in range(int(30 / STEP_S)):
            fleet.step()
            if fleet.rng.random() > 25 * STEP_S:
                continue
            first = fleet.rng.choice(first_parts)
            if fleet.rng.random() < share:
                first = FIRST if is_first_fixed else first
                if not fleet.send((first, DEADLY)):
                    # The caller repeats a refused request once.
                    fleet.send((first, DEADLY))
            else:
                sound += 1
                refused_sound += not fleet.send((first,))
        assert refused_sound == 0, (seed, refused_sound, sound)
        ends_at_s = fleet.deadly_ends_at_s
        if len(ends_at_s) < 5:
            continue
        bound_s = ends_at_s[4] + WINDOW_S
        late = [s for s in fleet.deadly_sent_at_s if s > bound_s]
        assert len(late) <= 3, (seed, share, late)


def check_sound_parts_stay_free():
    """No sound part is blamed while engines end by themselves."""
    for seed in range(10):
        fleet = SimulatedFleet(seed)
        for _ in range(int(60 / STEP_S)):
            fleet.step()
            if fleet.rng.random() < 25 * STEP_S:
                # Of the parts, few are in many prompts, and most in few.
                parts = {int(fleet.rng.paretovariate(0.7)) % 40 for _ in '12'}
                assert fleet.send(tuple(sorted(map(str, parts)))), seed
            if fleet.rng.random() < 1.5 * STEP_S:
                fleet.end_engines([fleet.rng.choice(fleet.engines)])
            if fleet.rng.random() < 0.1 * STEP_S:
                # A zone ends, with a third of all engines.
                fleet.end_engines(fleet.engines[:7])


def check_indistinguishable_parts():
    """Parts that are always together are refused only together."""
    now_s = 100.0
    vm = quarantine.Quarantine(clock=lambda: now_s)
    for number in range(3):
        sent_at_s = now_s
        now_s += 0.5
        vm.record_end(make_engine(number), (FIRST, DEADLY), sent_at_s)
    assert vm.find_blamed((FIRST, DEADLY, 'other')) == {FIRST, DEADLY}
    assert not vm.find_blamed((FIRST, 'other'))
    vm.record_answer((FIRST, 'other'))
    assert vm.find_blamed(('other', DEADLY)) == {DEADLY}
    # The blame ends when the ends of engines no longer count.
    now_s += quarantine.END_VALID_S + quarantine.EXPIRY_INTERVAL_S
    assert not vm.find_blamed((DEADLY,))
    assert vm.reports_after(0) == []
