"""Properties of what VMs tell each other as changes, in simulated time."""

import dataclasses

from galenaquay import ids
from galenaquay.limits import quarantine
from galenaquay.ports import exchange

from tests.properties import fleet_properties
from tests.properties import quarantine_properties

ZONES = ('ba', 'lautoka', 'nadi', 'suva')
ROUND_S = 0.33
PART = ids.PromptPartId('deadly')
ENDPOINT = ids.EndpointId('e0')


class SharingFleet:
    """Sixty VMs that report to each other in rounds."""

    def __init__(self):
        self.now_s = 100.0
        self.vms = []
        self.vm_by_address = {}
        for number in range(60):
            self.start_vm(number)
        self.run_rounds(20)

    def clock(self):
        return self.now_s

    def start_vm(self, number):
        """Starts a VM, or the process of a VM anew."""
        vm = fleet_properties.ReportingVm(
            number, ZONES[number % len(ZONES)], self.clock
        )
        self.vms = [v for v in self.vms if v.me.address != vm.me.address]
        self.vms.append(vm)
        self.vm_by_address[vm.me.address] = vm

    def contacts(self, vm):
        return [
            self.vm_by_address[address]
            for address in vm.fleet.addresses()
            if address in self.vm_by_address and address != vm.me.address
        ]

    def run_rounds(self, rounds):
        for _ in range(rounds):
            for vm in self.vms:
                for receiver in self.contacts(vm):
                    vm.report_to(receiver, self.now_s)
            self.now_s += ROUND_S

    def check_quiet(self):
        """Checks that nothing is reported to a VM that knows it."""
        for vm in self.vms:
            for receiver in self.contacts(vm):
                progress = vm.progress_by_address[receiver.me.address]
                report = vm.reports.own_report(progress, receiver.me.address)
                assert not report.prompt_parts
                assert not report.limits
                assert not report.leaving_runs


def check_quarantine_spreads():
    """Ends that three VMs saw bind sixty, new ones too, within a second."""
    fleet = SharingFleet()
    for number in range(3):
        sent_at_s = fleet.now_s
        fleet.now_s += 0.2
        fleet.vms[7 + 10 * number].quarantine.record_end(
            quarantine_properties.make_engine(number), (PART,), sent_at_s
        )
    fleet.run_rounds(3)
    assert all(vm.quarantine.find_blamed((PART,)) for vm in fleet.vms)
    fleet.check_quiet()
    fleet.start_vm(60)
    fleet.start_vm(7)
    fleet.run_rounds(3)
    assert all(vm.quarantine.find_blamed((PART,)) for vm in fleet.vms)


def check_named_limits_spread():
    """A limit that one VM heard binds sixty, new ones too, until it ends."""
    fleet = SharingFleet()
    fleet.vms[7].named_limits.record_answer(ENDPOINT, 1.5)
    fleet.run_rounds(3)
    assert all(vm.named_limits.per_s(ENDPOINT) == 1.5 for vm in fleet.vms)
    fleet.check_quiet()
    fleet.start_vm(60)
    fleet.start_vm(7)
    fleet.run_rounds(3)
    assert all(vm.named_limits.per_s(ENDPOINT) == 1.5 for vm in fleet.vms)
    # A VM that has heard the limit after another has heard its end.
    fleet.vms[20].named_limits.record_answer(ENDPOINT, None)
    fleet.now_s += 0.1
    fleet.vms[30].named_limits.record_answer(ENDPOINT, 1.5)
    fleet.run_rounds(4)
    assert all(vm.named_limits.per_s(ENDPOINT) == 1.5 for vm in fleet.vms)
    fleet.vms[40].named_limits.record_answer(ENDPOINT, None)
    fleet.run_rounds(3)
    assert all(vm.named_limits.per_s(ENDPOINT) is None for vm in fleet.vms)


def check_shutdowns_spread():
    """A shutdown that one VM heard of binds sixty, new ones too."""
    fleet = SharingFleet()
    engine = quarantine_properties.make_engine(0)
    fleet.vms[7].availability.record_answer(
        engine, exchange.Notice(is_leaving=True)
    )
    fleet.run_rounds(3)
    assert not any(vm.availability.is_available(engine) for vm in fleet.vms)
    fleet.check_quiet()
    fleet.start_vm(60)
    fleet.start_vm(7)
    fleet.run_rounds(3)
    assert not any(vm.availability.is_available(engine) for vm in fleet.vms)
    again = dataclasses.replace(engine, started_at_ms=1)
    assert all(vm.availability.is_available(again) for vm in fleet.vms)


def check_equal_ids():
    """A part and an endpoint with the same id are shared independently."""
    fleet = SharingFleet()
    fleet.vms[7].named_limits.record_answer(ids.EndpointId(PART), 1.5)
    fleet.run_rounds(3)
    first = fleet.vms[7].quarantine
    first.record_end(
        quarantine_properties.make_engine(0), (PART,), fleet.now_s
    )
    first.record_answer((PART,))
    fleet.run_rounds(3)
    # All VMs forget the part, and none the limit.
    fleet.now_s += quarantine.CLEARED_VALID_S + 2
    assert not any(vm.quarantine.find_blamed((PART,)) for vm in fleet.vms)
    fleet.start_vm(60)
    fleet.run_rounds(20)
    assert all(
        vm.named_limits.per_s(ids.EndpointId(PART)) == 1.5 for vm in fleet.vms
    )
