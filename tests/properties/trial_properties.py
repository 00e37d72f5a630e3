"""Properties of trials of blamed parts, in simulated time."""

import asyncio
import math
import random
import socket

from galenaquay.adapters import fleet_server
from galenaquay.adapters import trial_grpc
from galenaquay import ids
from galenaquay.limits import quarantine
from galenaquay.limits import request_identities
from galenaquay.limits import trial_grants
from galenaquay.limits import trials
from galenaquay.membership import fleet as fleet_module
from galenaquay.membership import revisions
from galenaquay.ports import trials as trials_port
from galenaquay import telemetry
import grpclib.server

from tests.properties import quarantine_properties

DEADLY = quarantine_properties.DEADLY
COMMON = ids.PromptPartId('common')
SOUND = ids.PromptPartId('sound')
WINDOW_S = quarantine_properties.WINDOW_S
STEP_S = quarantine_properties.STEP_S
SPREAD_S = quarantine_properties.SPREAD_S
BEGUN_S = quarantine_properties.BEGUN_S
PREFILL_S = quarantine_properties.PREFILL_S
# Time limit of a request, in seconds.
LIMIT_S = 8.0
# Latest delay of a message that is late, in seconds.
LATE_S = 2.0


class Prompt:
    """One request at one engine."""

    def __init__(self, vm, engine, parts, identities, granted, now_s):
        self.vm = vm
        self.engine = engine
        self.parts = parts
        self.identities = identities
        self.granted = granted
        self.sent_at_s = now_s
        self.is_answered = False


class TrialVm:
    """VM with a quarantine, trials, and a list of the members."""

    def __init__(self, world, number):
        self.me = fleet_module.Member(
            ids.VmId(f'vm-{number}'), number + 1, f'h:{number}', 'ba'
        )
        self.fleet = fleet_module.Fleet(self.me, [], world.clock)
        self.quarantine = quarantine.Quarantine(
            revisions.Revisions(), clock=world.clock
        )
        self.grants = trial_grants.TrialGrants(
            self.fleet,
            self.quarantine,
            Messages(world),
            telemetry.TextMetrics(),
            world.clock,
        )


class Messages:
    """Carries the messages of trials, and loses or delays some of them."""

    def __init__(self, world):
        self._world = world

    def _deliver(self, address, message):
        """Delivers a message, or delays or loses it; returns whether now."""
        if self._world.rng.random() < self._world.lost:
            return False
        if self._world.rng.random() < self._world.late:
            delay_s = self._world.rng.uniform(0.0, LATE_S)
            self._world.late_messages.append(
                (self._world.now_s + delay_s, address, message)
            )
            return False
        return address in self._world.vm_by_address

    async def request_trial(self, address, trial):
        if not self._deliver(address, lambda vm: vm.handle_request(trial)):
            return None
        wait_s = self._world.vm_by_address[address].grants.handle_request(
            trial
        )
        return None if self._world.rng.random() < self._world.lost else wait_s

    async def give_back(self, address, trial_id):
        if self._deliver(address, lambda vm: vm.handle_return(trial_id)):
            self._world.vm_by_address[address].grants.handle_return(trial_id)


class World:
    """VMs that send prompts to engines, of which some crash."""

    def __init__(self, seed, vms=6, lost=0.0, late=0.0):
        self.rng = random.Random(seed)
        self.lost = lost
        self.late = late
        self.now_s = 100.0
        self.loop = asyncio.new_event_loop()
        self.late_messages = []
        self.vm_by_address = {}
        self.vms = []
        self.next_vm = 0
        for _ in range(vms):
            self.start_vm()
        self.next_engine = 0
        self.running = []
        self.deadly_sent_at_s = []
        self.ends_at_s = []
        self.most_trials = 0
        self.shared_at_s = self.now_s

    def clock(self):
        return self.now_s

    def start_vm(self):
        vm = TrialVm(self, self.next_vm)
        self.next_vm += 1
        self.vms.append(vm)
        self.vm_by_address[vm.me.address] = vm

    def end_vm(self, vm):
        """Ends a VM with its requests; engines stop running these."""
        self.vms.remove(vm)
        del self.vm_by_address[vm.me.address]
        self.running = [p for p in self.running if p.vm is not vm]

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def new_engine(self):
        self.next_engine += 1
        return quarantine_properties.make_engine(self.next_engine)

    def send(self, parts, last_part=None, body=b'{}'):
        """Sends a prompt; returns whether its VM accepted the prompt."""
        vm = self.rng.choice(self.vms)
        identities = request_identities.identify(last_part, body, 'ask', None)
        prompt = vm.quarantine.assess(parts, identities)
        granted = None
        if prompt is not None:
            granted = self.run(vm.grants.request(prompt, LIMIT_S))
            if granted is None:
                return False
        if DEADLY in parts:
            self.deadly_sent_at_s.append(self.now_s)
        self.running.append(
            Prompt(
                vm, self.new_engine(), parts, identities, granted, self.now_s
            )
        )
        self.most_trials = max(
            self.most_trials,
            sum(p.granted is not None for p in self.running),
        )
        return True

    def crash(self, prompt):
        """Ends the engine of a prompt, which it has not answered."""
        self.running.remove(prompt)
        self.ends_at_s.append(self.now_s)
        prompt.vm.quarantine.record_end(
            prompt.engine,
            prompt.parts,
            prompt.sent_at_s,
            prompt.identities,
            is_trial=prompt.granted is not None,
        )

    def answer(self, prompt):
        prompt.vm.quarantine.record_answer(prompt.parts, prompt.identities)
        self.running.remove(prompt)
        if prompt.granted is not None:

            async def give_back():
                prompt.vm.grants.give_back(prompt.granted)
                await asyncio.sleep(0)

            self.run(give_back())

    def run_for(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def step(self):
        self.now_s += STEP_S
        for prompt in list(self.running):
            age_s = self.now_s - prompt.sent_at_s
            if DEADLY in prompt.parts and age_s >= PREFILL_S:
                self.crash(prompt)
            elif age_s >= BEGUN_S:
                self.answer(prompt)
        due = [m for m in self.late_messages if m[0] <= self.now_s]
        self.late_messages = [
            m for m in self.late_messages if m[0] > self.now_s
        ]
        for _, address, handle in due:
            if address in self.vm_by_address:
                handle(self.vm_by_address[address].grants)
        if self.now_s - self.shared_at_s >= SPREAD_S:
            self.share()

    def share(self):
        """Has the VMs report to each other; some reports are lost."""
        self.shared_at_s = self.now_s
        reports = [(vm.me, vm.quarantine.reports_after(0)) for vm in self.vms]
        for vm in self.vms:
            for sender, report in reports:
                if self.rng.random() >= self.lost:
                    vm.fleet.record_contact(sender)
                    vm.quarantine.merge(report)

    def blame_common(self):
        """Has the common part blamed though another part crashes engines."""
        for _ in range(30):
            self.send((COMMON, SOUND))
            self.run_for(0.1)
        self.run_for(1.0)
        assert self.send((COMMON, SOUND), ids.PromptPartId('first-lost'))
        self.run_for(0.1)
        self.crash(self.running[-1])
        for _ in range(2):
            self.run_for(SPREAD_S)
            assert self.send((COMMON, DEADLY))
            self.run_for(0.1)
        self.run_for(2 * SPREAD_S)


def late_deadly(world):
    """Returns how many deadly prompts were sent after the bound."""
    if len(world.ends_at_s) < 5:
        return 0
    bound_s = world.ends_at_s[4] + WINDOW_S
    return sum(sent_s > bound_s for sent_s in world.deadly_sent_at_s)


def check_blame_ends_by_trial():
    """A common part that was blamed serves harmless prompts again in time.

    Guards against a part that stays blamed because no prompt with the part is
    sent any more, and against trials that crash too many engines.
    """
    for seed in range(40):
        rng = random.Random(seed)
        lost, late = rng.choice([(0, 0), (0.1, 0), (0.2, 0.2)])
        world = World(seed, rng.choice([1, 2, 6]), lost, late)
        world.blame_common()
        assert any(vm.quarantine.blamed_count() for vm in world.vms)
        # Harmless prompts also come just after the crashes in some worlds.
        if seed % 2:
            world.run_for(2 * WINDOW_S)
        sent, accepted = 0, 0
        for step in range(int(40 / STEP_S)):
            world.step()
            if seed % 3 == 0 and step == int(3 / STEP_S):
                # A VM ends, and another one starts.
                if len(world.vms) > 1:
                    world.end_vm(world.vms[0])
                world.start_vm()
            if world.rng.random() < 1.0 * STEP_S:
                is_accepted = world.send((COMMON, SOUND))
                if world.now_s > world.ends_at_s[-1] + 2 * WINDOW_S:
                    sent += 1
                    accepted += is_accepted
            if world.rng.random() < 0.3 * STEP_S:
                world.send((COMMON, DEADLY))
        assert accepted * 2 >= sent > 0, (seed, accepted, sent)
        assert late_deadly(world) <= 3, (seed, world.deadly_sent_at_s)
        assert world.most_trials <= trial_grants.GRANTERS, seed
        if not lost and seed % 3:
            assert world.most_trials <= 1, seed


def check_trials_spare_engines():
    """At most two trials of a part that crashes engines end an engine."""
    for seed in range(6):
        world = World(seed, 6, lost=0.1 * (seed % 3), late=0.1 * (seed % 2))
        for _ in range(3):
            for _ in range(10):
                world.send((COMMON,))
                world.run_for(0.1)
            world.run_for(1.0)
            while not all(
                vm.quarantine.find_blamed((DEADLY,)) for vm in world.vms
            ):
                world.send((COMMON, DEADLY))
                world.run_for(0.5)
            before = len(world.ends_at_s)
            # The ends still count at the end of this time.
            ends_s = world.now_s + quarantine.END_VALID_S - 60.0
            while world.now_s < ends_s:
                world.send((COMMON, DEADLY))
                world.send((COMMON,))
                world.run_for(0.4)
                world.now_s += world.rng.choice([0.0, 2.0, 7.0])
            failed = len(world.ends_at_s) - before
            assert failed <= 3, (seed, failed)
            world.now_s += 2 * quarantine.END_VALID_S


def check_identical_requests_stay_free():
    """Requests with the same body are sent although engines crash."""
    for seed in range(6):
        world = World(seed)
        for number in range(int(60 / STEP_S)):
            world.step()
            if world.rng.random() < 20 * STEP_S:
                is_accepted = world.send((), ids.PromptPartId(f'l{number}'))
                assert is_accepted or number * STEP_S < 3.0, seed
            if world.running and world.rng.random() < 1.0 * STEP_S:
                world.crash(world.rng.choice(world.running))


def check_unknown_body_is_tried():
    """A body that no engine has answered before is free after a trial."""
    world = World(1)
    for number in range(2):
        assert world.send((), ids.PromptPartId(f'lost{number}'))
        world.run_for(0.1)
        world.crash(world.running[-1])
        world.run_for(SPREAD_S * 2)
    assert not world.send((), ids.PromptPartId('early'))
    # The request that was lost is likely to be what crashes engines.
    world.run_for(trials.OTHER_REQUEST_WAIT_S)
    assert not world.send((), ids.PromptPartId('lost1'))
    assert world.send((), ids.PromptPartId('tried'))
    assert not world.send((), ids.PromptPartId('during the trial'))
    world.run_for(2 * SPREAD_S)
    assert world.send((), ids.PromptPartId('after the trial'))


def check_identities_leave_room():
    """Identities of many requests displace no record of a shared part."""
    now_s = 100.0
    vm = quarantine.Quarantine(clock=lambda: now_s)
    vm.record_end(quarantine_properties.make_engine(0), (DEADLY,), now_s - 0.1)
    for number in range(3 * quarantine.MAX_IDENTITIES):
        now_s += 0.01
        vm.record_end(
            quarantine_properties.make_engine(number + 1),
            (),
            now_s - 0.1,
            request_identities.identify(
                ids.PromptPartId(f'l{number}'), b'', 'ask', None
            ),
        )
    now_s += quarantine.EXPIRY_INTERVAL_S
    assert not vm.find_blamed(())
    reported = [part.part_id for part in vm.reports_after(0)]
    assert DEADLY in reported
    assert len(reported) <= quarantine.MAX_IDENTITIES + 1, len(reported)


def check_trial_times():
    """The times of trials keep to the bounds of the users' rules."""
    for failed in range(4):
        for suspicion in range(6):
            for was_answered in (False, True):
                evidence = trials.Evidence(0.0, failed, was_answered, False)
                wait_s = trials.time_until_due_s(evidence, suspicion, False)
                assert (wait_s == math.inf) == (failed >= trials.MAX_FAILED)
                if was_answered and not failed:
                    # A trial also needs time for its answer and the reports.
                    assert wait_s <= 2 * WINDOW_S - 1.5
                if not was_answered and not failed and suspicion < 2:
                    assert wait_s <= 2 * WINDOW_S - 1.5
                if failed == 1 and not suspicion:
                    assert wait_s <= 2 * WINDOW_S - 1.5
    leases = trials.TrialLeases(lambda: 100.0)
    due = trials.Evidence(1000.0, 0, True, False)
    failed = trials.Evidence(1000.0, 1, True, False)

    def make_trial(name, *parts):
        return trials_port.Trial(
            trials_port.TrialId(name), frozenset(parts), 0, False, LIMIT_S
        )

    assert leases.grant(make_trial('a', COMMON), due) == 0
    assert leases.grant(make_trial('b', COMMON, SOUND), due) > 0
    assert leases.grant(make_trial('c', SOUND), due) == 0
    # The failure of a trial is known before the VM gives it back.
    assert leases.grant(make_trial('d', COMMON), failed) == 0
    leases.release(trials_port.TrialId('c'))
    assert leases.grant(make_trial('e', SOUND), due) == 0
    assert leases.grant(make_trial('f', SOUND), None) > 0


def check_trial_calls():
    """VMs grant, refuse and take back trials over gRPC.

    Guards against a prompt that waits long for a VM that does not reply.
    """
    world = World(1, vms=1)
    world.blame_common()
    world.now_s += trials.SUSPICION_FACTORS[-1] * trials.ANSWERED_WAIT_S
    blamed = world.vms[0].quarantine.assess((COMMON, SOUND))
    assert blamed is not None

    def make_trial(name, parts):
        return trials_port.Trial(
            trials_port.TrialId(name), parts, 2, False, LIMIT_S
        )

    async def check():
        peers = trial_grpc.GrpcTrialPeers()
        with socket.socket() as listener:
            listener.bind(('127.0.0.1', 0))
            address = f'127.0.0.1:{listener.getsockname()[1]}'
            # Connections are accepted only after listen() below.
            first = make_trial('a', blamed.parts)
            assert await peers.request_trial(address, first) is None
            listener.listen()
            started_s = asyncio.get_running_loop().time()
            assert await peers.request_trial(address, first) is None
            took_s = asyncio.get_running_loop().time() - started_s
            assert took_s < trial_grpc.REPLY_TIMEOUT_S + 0.5, took_s
        server = grpclib.server.Server(
            [fleet_server.FleetServer(None, world.vms[0].grants)]
        )
        await server.start('127.0.0.1', int(address.partition(':')[2]))
        try:
            assert await peers.request_trial(address, first) == 0
            second = make_trial('b', blamed.parts)
            assert await peers.request_trial(address, second) > 0
            await peers.give_back(address, first.id)
            assert await peers.request_trial(address, second) == 0
            other = make_trial('c', frozenset((SOUND,)))
            assert await peers.request_trial(address, other) > 0
        finally:
            server.close()
            await server.wait_closed()

    asyncio.run(check())
