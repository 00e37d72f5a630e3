"""Properties of which endpoints take requests, in simulated time."""

import dataclasses
import random

from galenaquay.engines import directory as directory_module
from galenaquay import ids
from galenaquay.limits import availability
from galenaquay.membership import revisions
from galenaquay.ports import exchange

SERVICE = ids.ServiceName('models')
STEP_S = 0.1
# Time between two reports of a VM to the others, in seconds.
REPORT_S = 0.4
# Chances for each endpoint and step.
LEAVE_CHANCE = 0.01
TURN_AWAY_CHANCE = 0.02
RESTART_CHANCE = 0.02


class SimulatedEndpoint:
    """An endpoint that shuts down, asks for time and starts again."""

    def __init__(self, number):
        self.entry = directory_module.Endpoint(
            ids.EndpointId(f'e{number}'),
            SERVICE,
            'h',
            number,
            ids.ZoneName('ba'),
            8,
            directory_module.EndpointState.READY,
        )
        self.is_leaving = False

    def start_again(self):
        self.entry = dataclasses.replace(
            self.entry, started_at_ms=self.entry.started_at_ms + 1
        )
        self.is_leaving = False


class SimulatedVm:
    """A VM, and what endpoints have told it."""

    def __init__(self, clock):
        self.clock = clock
        self.directory = directory_module.Directory(clock)
        self.availability = availability.Availability(
            self.directory, revisions.Revisions(), clock=clock
        )
        self.is_cut_off = False
        # Runs that have told this VM that they shut down.
        self.told_leaving = set()
        # When each run that asked this VM for time takes requests again.
        self.closed_until_s_by_run = {}

    def send(self, endpoint, rng):
        """Sends a request and records the answer."""
        entry = endpoint.entry
        assert entry.run not in self.told_leaving
        until_s = self.closed_until_s_by_run.get(entry.run, 0.0)
        assert self.clock() >= until_s - 1e-6, (self.clock(), until_s)
        wait_s = 0.0
        if rng.random() < TURN_AWAY_CHANCE:
            wait_s = rng.choice([0.25, 1.0, 7.5, 1e9, float('inf')])
            bounded_s = min(wait_s, availability.MAX_WAIT_S)
            self.closed_until_s_by_run[entry.run] = self.clock() + bounded_s
        if endpoint.is_leaving:
            self.told_leaving.add(entry.run)
        self.availability.record_answer(
            entry,
            exchange.Notice(is_leaving=endpoint.is_leaving, wait_s=wait_s),
        )


def check_random_histories(seeds=40, steps=400):
    """No VM sends to an endpoint that told it not to, whatever happens."""
    for seed in range(seeds):
        simulate(random.Random(seed), steps)


def simulate(rng, steps):
    now_s = 100.0

    def clock():
        return now_s

    endpoints = [SimulatedEndpoint(number) for number in range(6)]
    vms = [SimulatedVm(clock) for _ in range(4)]
    is_store_silent = False
    for step in range(steps):
        now_s += STEP_S
        if rng.random() < 0.02:
            is_store_silent = not is_store_silent
        for endpoint in endpoints:
            change_endpoint(endpoint, rng)
        for number, vm in enumerate(vms):
            if rng.random() < 0.01:
                vms[number] = vm = SimulatedVm(clock)
            if rng.random() < 0.02:
                vm.is_cut_off = not vm.is_cut_off
            # A VM that has just started has no list while the store is silent.
            if not is_store_silent:
                vm.directory.replace_all(e.entry for e in endpoints)
            send_one(vm, endpoints, rng)
        if step % round(REPORT_S / STEP_S) == 0:
            share([vm for vm in vms if not vm.is_cut_off])
    check_all_return(endpoints, vms)


def change_endpoint(endpoint, rng):
    if rng.random() < LEAVE_CHANCE:
        endpoint.is_leaving = True
    if rng.random() < RESTART_CHANCE:
        endpoint.start_again()


def send_one(vm, endpoints, rng):
    available = vm.availability.available(SERVICE)
    if not available:
        return
    entry = rng.choice(available)
    endpoint = next(e for e in endpoints if e.entry.id == entry.id)
    # The list may be older than the last restart; another run answers then,
    # and what it says is recorded for the run that the list names.
    listed = SimulatedEndpoint(0)
    listed.entry = entry
    listed.is_leaving = endpoint.is_leaving
    vm.send(listed, rng)


def share(vms):
    reports = [vm.availability.reports_after(0) for vm in vms]
    for vm in vms:
        for report in reports:
            vm.availability.merge(report)
    # After a round of reports, all VMs leave out the same shutdowns.
    known = {frozenset(vm.availability.reports_after(0)) for vm in vms}
    assert len(known) <= 1, known


def check_all_return(endpoints, vms):
    """Each endpoint is available everywhere once it has started again."""
    for endpoint in endpoints:
        endpoint.start_again()
    for vm in vms:
        vm.directory.replace_all(e.entry for e in endpoints)
        available = vm.availability.available(SERVICE)
        assert len(available) == len(endpoints), available


def check_forgetting():
    """A shutdown is forgotten only when the run is not listed any more."""
    now_s = 100.0
    directory = directory_module.Directory(lambda: now_s)
    subject = availability.Availability(directory, clock=lambda: now_s)
    endpoints = [SimulatedEndpoint(number).entry for number in range(2)]
    directory.replace_all(endpoints)
    for entry in endpoints:
        subject.record_answer(entry, exchange.Notice(is_leaving=True))
    now_s += availability.UNLISTED_VALID_S * 10
    assert subject.leaving_count() == 2
    assert not subject.available(SERVICE)
    directory.remove(endpoints[0].id)
    now_s += availability.UNLISTED_VALID_S - 1
    assert subject.leaving_count() == 2
    now_s += 2
    assert subject.leaving_count() == 1
    assert not subject.available(SERVICE)


def check_bounded_records():
    """The records stay bounded, whatever other VMs report."""
    subject = availability.Availability(directory_module.Directory())
    most = availability.MAX_LEAVING_RUNS
    subject.merge(ids.EndpointRun(f'e{i}@0') for i in range(most + 100))
    assert subject.leaving_count() == most
    assert len(subject.reports_after(0)) == most


def check_wait_of_service():
    """Callers wait until the first endpoint is available, not longer."""
    now_s = 100.0
    directory = directory_module.Directory(lambda: now_s)
    subject = availability.Availability(directory, clock=lambda: now_s)
    entries = [SimulatedEndpoint(number).entry for number in range(3)]
    directory.replace_all(entries)
    assert subject.wait_s(SERVICE) == 0
    for entry, wait_s in zip(entries, (9.0, 4.0, 1.0), strict=True):
        subject.record_answer(entry, exchange.Notice(wait_s=wait_s))
    # A shorter time does not replace a longer one.
    subject.record_answer(entries[1], exchange.Notice(wait_s=0.5))
    subject.record_answer(entries[2], exchange.Notice(is_leaving=True))
    assert subject.wait_s(SERVICE) == 4.0
    now_s += 4.0
    assert subject.wait_s(SERVICE) == 0
    assert subject.available(SERVICE) == [entries[1]]
