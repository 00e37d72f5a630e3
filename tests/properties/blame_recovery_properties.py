"""Properties of the return of sound prompts after blame, in simulated time."""

import random

from galenaquay import ids
from galenaquay.limits import trials

from tests.properties import trial_properties

COMMON = trial_properties.COMMON
DEADLY = trial_properties.DEADLY
WINDOW_S = trial_properties.WINDOW_S
STEP_S = trial_properties.STEP_S
SPREAD_S = trial_properties.SPREAD_S
# Which engines end in turn: `s` by themselves under a sound prompt, `d` under
# a prompt with the part that crashes engines.
ORDERS = ('sdd', 'dsd', 'dds', 'ssd', 'sss')
# Smallest number of sound prompts that the users' rule judges.
MIN_JUDGED = 20


class Callers:
    """Sends sound and deadly prompts that share their first part."""

    def __init__(self, world):
        self._world = world
        self._count = 0
        # When each sound prompt was sent, and whether its VM accepted it.
        self.sound = []

    def send_sound(self):
        return self._send((COMMON,))

    def send_deadly(self):
        return self._send((COMMON, DEADLY))

    def _send(self, parts):
        self._count += 1
        return self._world.send(
            parts,
            ids.PromptPartId(f'last{self._count}'),
            f'prompt {self._count}'.encode(),
        )

    def run_for(self, seconds, sound_per_s, deadly_per_s):
        rng = self._world.rng
        for _ in range(round(seconds / STEP_S)):
            self._world.step()
            if rng.random() < sound_per_s * STEP_S:
                self.sound.append((self._world.now_s, self.send_sound()))
            if rng.random() < deadly_per_s * STEP_S:
                self.send_deadly()

    def crash_in_turn(self, order):
        """Has engines end until the first part is blamed."""
        world = self._world
        for kind in order:
            assert self.send_sound() if kind == 's' else self.send_deadly()
            prompt = world.running[-1]
            world.run_for(0.1)
            if prompt in world.running:
                world.crash(prompt)
            world.run_for(world.rng.uniform(SPREAD_S, 1.0))


def make_world(seed):
    rng = random.Random(seed)
    lost, late = rng.choice([(0, 0), (0.1, 0), (0.2, 0.2)])
    return trial_properties.World(seed, rng.choice([1, 2, 6]), lost, late)


def check_sound_prompts_return():
    """Sound prompts are sent again 6 s after the last crash.

    Guards against a first part that no engine has answered yet, which is
    blamed for the crashes of another part and then kept away for long.
    """
    for seed in range(80):
        world = make_world(seed)
        callers = Callers(world)
        if seed % 3 == 0:
            callers.run_for(3.0, 10, 0)
            world.run_for(1.0)
        callers.crash_in_turn(ORDERS[seed % len(ORDERS)])
        assert any(vm.quarantine.blamed_count() for vm in world.vms), seed
        pause_s = world.rng.choice([0.0, 3.0, 2 * WINDOW_S, 20.0])
        callers.run_for(pause_s, 0, world.rng.choice([0, 0.5]))
        callers.run_for(40.0, 2.0, 0.1)
        check_returned(seed, world, callers)


def check_returned(seed, world, callers):
    """Checks the users' bounds for sound and for deadly prompts."""
    judged = [
        is_accepted
        for sent_at_s, is_accepted in callers.sound
        if not any(
            ended_at_s < sent_at_s <= ended_at_s + 2 * WINDOW_S
            for ended_at_s in world.ends_at_s[:5]
        )
        and sent_at_s > world.ends_at_s[0]
    ]
    assert len(judged) >= MIN_JUDGED, seed
    assert 2 * sum(judged) >= len(judged), (seed, sum(judged), len(judged))
    assert trial_properties.late_deadly(world) <= 3, seed


def check_deadly_first_part():
    """A first part that crashes engines stays out though others seem guilty.

    Guards against trials without end: each second part of these prompts is
    another possible cause of the crashes.
    """
    for seed in range(24):
        world = make_world(seed)
        second_parts = [ids.PromptPartId(f's{i}') for i in range(1 + seed % 4)]
        for number in range(int(120 / STEP_S)):
            world.step()
            if world.rng.random() < 2.0 * STEP_S:
                parts = (DEADLY, world.rng.choice(second_parts))
                world.send(
                    parts, ids.PromptPartId(f'l{number}'), b'%d' % number
                )
        assert len(world.ends_at_s) >= 3, seed
        assert trial_properties.late_deadly(world) <= 3, (
            seed,
            world.deadly_sent_at_s,
        )


def check_lost_trial():
    """A VM that ends during a trial keeps no other VM from a trial.

    Guards against a lease that lasts as long as the request would have:
    half of the first sound prompts that the users' rule judges are sent.
    """
    for seed in range(12):
        world = trial_properties.World(seed, vms=3)
        callers = Callers(world)
        callers.crash_in_turn('sdd')
        callers.run_for(trials.ANSWERED_WAIT_S, 0, 0)
        while not callers.send_sound():
            world.run_for(0.1)
        (trial,) = world.running
        world.end_vm(trial.vm)
        callers.run_for(20.0, 8.0, 0)
        due_at_s = world.ends_at_s[-1] + 2 * WINDOW_S
        judged = [
            is_accepted
            for sent_at_s, is_accepted in callers.sound
            if sent_at_s > due_at_s
        ][:MIN_JUDGED]
        assert len(judged) == MIN_JUDGED, seed
        assert 2 * sum(judged) >= len(judged), (seed, judged)
