"""Properties of fleets whose VMs report to each other."""

import asyncio
import collections
import random

from galenaquay.adapters import fleet_grpc
from galenaquay.configuration import freshness as freshness_module
from galenaquay.configuration import mirror as mirror_module
from galenaquay.engines import directory as directory_module
from galenaquay.engines import workload as workload_module
from galenaquay import ids
from galenaquay.limits import availability
from galenaquay.limits import endpoint_rates
from galenaquay.limits import group_memory
from galenaquay.limits import named_limits
from galenaquay.limits import orphaned_memory
from galenaquay.limits import quarantine
from galenaquay.membership import fleet as fleet_module
from galenaquay.membership import hedging
from galenaquay.membership import revisions
from galenaquay import telemetry
from galenaquay.waiting import sums as waiting_sums

from tests.properties import document_properties
from tests.properties import memory_properties


class ReportingVm:
    """VM that reports its loads to other VMs without a network."""

    def __init__(self, number, zone, clock, capacity=0):
        self.me = fleet_module.Member(
            ids.VmId(f'vm-{number:02}'),
            number + 1,
            f'h:{number}',
            zone,
            capacity,
        )
        self.fleet = fleet_module.Fleet(self.me, ['h:0', 'h:1'], clock)
        self.workload = workload_module.Workload(clock)
        engines = memory_properties.LossyEngines(None, [])
        self.directory = directory_module.Directory(clock)
        copy = mirror_module.Mirror(clock=clock)
        self.revisions = revisions.Revisions()
        self.quarantine = quarantine.Quarantine(self.revisions, clock=clock)
        self.availability = availability.Availability(
            self.directory, self.revisions, clock=clock
        )
        self.named_limits = named_limits.NamedLimits(
            self.revisions, clock=clock
        )
        self.waiting = waiting_sums.WaitingSums(clock=clock)
        # What this VM and another have told each other, by its address.
        self.progress_by_address = collections.defaultdict(fleet_grpc.Progress)
        self.reports = fleet_grpc.FleetReports(
            self.fleet,
            self.workload,
            endpoint_rates.EndpointRates(self.fleet, self.named_limits, clock),
            document_properties.make_current(clock),
            copy,
            hedging.DocumentHedge(
                copy,
                None,
                self.fleet,
                freshness_module.Freshness(document_properties.APPLY_S),
                telemetry.TextMetrics(),
            ),
            group_memory.GroupMemory(engines),
            orphaned_memory.OrphanedMemory(
                self.me.vm_id, engines, self.directory, clock
            ),
            self.revisions,
            self.quarantine,
            self.named_limits,
            self.availability,
            self.waiting,
        )

    def report_to(self, receiver, now_s):
        """Sends one report to another VM and handles its reply."""
        progress = self.progress_by_address[receiver.me.address]
        report = self.reports.own_report(progress, receiver.me.address)
        reply = receiver.reports.handle_report(report)
        self.reports.handle_reply(reply, now_s, progress)
        return report, reply


def check_zone_sums():
    """Each VM of a large fleet counts every placed job exactly once."""
    now_s = 100.0
    zones = ['ba', 'lautoka', 'nadi', 'suva']
    vms = [ReportingVm(i, zones[i % 4], lambda: now_s) for i in range(60)]
    vm_by_address = {vm.me.address: vm for vm in vms}
    rng = random.Random(7)
    expected = {}

    def run_rounds(rounds):
        nonlocal now_s
        for _ in range(rounds):
            for vm in rng.sample(vms, len(vms)):
                for address in vm.fleet.addresses():
                    receiver = vm_by_address.get(address)
                    if receiver is not None and receiver is not vm:
                        vm.report_to(receiver, now_s)
            now_s += 0.33

    run_rounds(20)
    for vm in vms:
        for _ in range(rng.randrange(4)):
            endpoint_id = f'e{rng.randrange(20)}'
            job = workload_module.Job(
                0.1, 1000, 0.2, 1.0, 0.3, now_s, is_prefilling=False
            )
            vm.workload.add(endpoint_id, job)
            expected[endpoint_id] = expected.get(endpoint_id, 0) + 1
    # A report passes from a VM to the hub of its zone, to the hub of another
    # zone, and to the VMs of that zone.
    run_rounds(4)
    for vm in vms:
        assert vm.fleet.vm_count() == 60
        assert len(vm.fleet.addresses()) <= 2 * len(zones)
        found = {k: load.running for k, load in vm.workload.loads().items()}
        assert found == expected, (vm.me.vm_id, found)
    # Both hubs of a zone fail. Other VMs become hubs, and no job is counted
    # twice.
    failed_hubs = [
        vm_by_address[hub.address] for hub in vms[0].fleet.hubs('ba')
    ]
    for vm in failed_hubs:
        vms.remove(vm)
        del vm_by_address[vm.me.address]
        for endpoint_id, load in vm.workload.own_loads().items():
            expected[endpoint_id] -= load.running
    run_rounds(80)
    expected = {k: count for k, count in expected.items() if count}
    for vm in vms:
        assert vm.fleet.vm_count() == 58, vm.fleet.vm_count()
        found = {k: load.running for k, load in vm.workload.loads().items()}
        assert found == expected, (vm.me.vm_id, found, expected)


# Largest growth of what a VM exchanges from 30 to 300 VMs.
MAX_GROWTH = 1.25


class LargeFleet:
    """VMs of five zones, three large ones in each, and their reports."""

    def __init__(self, vms, engines):
        self.now_s = 100.0
        self.vms = [
            ReportingVm(
                number,
                f'zone-{number % 5}',
                lambda: self.now_s,
                capacity=20 if number % 13 == 0 else 4,
            )
            for number in range(vms)
        ]
        self.vm_by_address = {vm.me.address: vm for vm in self.vms}
        self.rng = random.Random(vms)
        self.engines = engines

    def add_jobs(self):
        """Adds a job to each engine."""
        for number in range(self.engines):
            self.rng.choice(self.vms).workload.add(
                ids.EndpointId(f'i-{number:010x}'),
                workload_module.Job(0.02, 5000, 0.25, 1.5, 0.3, self.now_s),
            )

    def run_rounds(self, rounds):
        """Has all VMs report; returns the exchanged messages by receiver."""
        messages_by_receiver = collections.defaultdict(list)
        for _ in range(rounds):
            for vm in self.vms:
                for address in vm.fleet.addresses():
                    receiver = self.vm_by_address.get(address)
                    if receiver not in (None, vm):
                        pair = vm.report_to(receiver, self.now_s)
                        messages_by_receiver[address].append((vm, pair))
            self.now_s += fleet_grpc.HUB_INTERVAL_S
        return messages_by_receiver


def size_of(pair):
    return sum(message.ByteSize() for message in pair)


def check_hubs_by_capacity():
    """The VMs that can do most collect the reports of their zone."""
    fleet = LargeFleet(195, 150)
    fleet.run_rounds(15)
    for vm in fleet.vms:
        for zone in vm.fleet.zones():
            hubs = vm.fleet.hubs(zone)
            assert [hub.capacity for hub in hubs] == [20, 20], hubs
        assert vm.fleet.vm_count() == 195
    # Both hubs of a zone share the work.
    counts = collections.Counter(
        vm.fleet.preferred_hub().vm_id
        for vm in fleet.vms
        if vm.me.zone == 'zone-0'
    )
    assert min(counts.values()) >= 10, counts


def check_messages_of_large_fleet():
    """What a VM exchanges grows with the engines, not with the VMs."""
    bytes_per_s = {}
    for vms in (30, 300):
        fleet = LargeFleet(vms, 150)
        fleet.run_rounds(15)
        fleet.add_jobs()
        fleet.run_rounds(3)
        rounds = 15
        messages_by_receiver = fleet.run_rounds(rounds)
        seconds = rounds * fleet_grpc.HUB_INTERVAL_S
        by_sender = collections.Counter()
        for messages in messages_by_receiver.values():
            for vm, pair in messages:
                if not vm.fleet.is_hub():
                    by_sender[vm.me.vm_id] += size_of(pair)
        bytes_per_s[vms] = max(by_sender.values()) / seconds
        hub_bytes_per_s = max(
            sum(size_of(pair) for _, pair in messages) / seconds
            for messages in messages_by_receiver.values()
        )
        # A fifth of the links of large VMs.
        assert hub_bytes_per_s < 100e6 / 8 / 5, hub_bytes_per_s
    # A tenth of a link of 10 Mbit/s.
    assert bytes_per_s[300] < 10e6 / 8 / 10, bytes_per_s
    assert bytes_per_s[300] < MAX_GROWTH * bytes_per_s[30], bytes_per_s


def check_silent_hub():
    """A VM gets the loads from the other hub when one falls silent."""
    fleet = LargeFleet(60, 30)
    fleet.run_rounds(15)
    fleet.add_jobs()
    fleet.run_rounds(4)
    vm = next(vm for vm in fleet.vms if not vm.fleet.is_hub())
    assert len(vm.workload.loads()) == 30
    hub = fleet.vm_by_address.pop(vm.fleet.preferred_hub().address)
    # Only the jobs of the hub itself may be missing.
    expected = 30 - len(hub.workload.own_loads())
    for _ in range(12):
        fleet.run_rounds(1)
        assert len(vm.workload.loads()) >= expected, fleet.now_s


def check_cached_replies():
    """A hub's reply contains the loads of all others, and never one's own."""
    fleet = LargeFleet(60, 30)
    fleet.run_rounds(15)
    zone = fleet.vms[0].me.zone
    asker = next(
        vm for vm in fleet.vms if vm.me.zone == zone and not vm.fleet.is_hub()
    )
    hub = fleet.vm_by_address[asker.fleet.preferred_hub().address]
    others = [
        vm for vm in fleet.vms if vm.me.zone == zone and vm not in (asker, hub)
    ]
    jobs = [
        workload_module.Job(0.0, 10, 0.25, 1.0, 0.3, 0.0) for _ in range(3)
    ]
    first, second = ids.EndpointId('first'), ids.EndpointId('second')
    asker.workload.add(first, jobs[0])
    others[0].workload.add(first, jobs[1])
    others[0].workload.add(second, jobs[2])
    others[0].report_to(hub, fleet.now_s)
    for other in others:
        other.report_to(hub, fleet.now_s)
    # The hub's sums contain the asker's job while it is sent and has ended.
    asker.report_to(hub, fleet.now_s)
    others[1].report_to(hub, fleet.now_s)
    for expected in ({first: 2, second: 1}, {first: 1, second: 1}):
        asker.report_to(hub, fleet.now_s)
        found = {k: v.running for k, v in asker.workload.loads().items()}
        assert found == expected, found
        if expected[first] == 2:
            asker.workload.remove(first, jobs[0])


def check_refresh():
    """Loads are refreshed before a prompt is placed, within a bound."""
    loop = asyncio.new_event_loop()
    try:
        loop.run_until_complete(refresh_twice(loop))
    finally:
        loop.close()


async def refresh_twice(loop):
    fleet = LargeFleet(60, 30)
    fleet.run_rounds(15)
    zone = fleet.vms[0].me.zone
    asker, other = [
        vm for vm in fleet.vms if vm.me.zone == zone and not vm.fleet.is_hub()
    ][:2]
    hub = fleet.vm_by_address[asker.fleet.preferred_hub().address]
    engine = ids.EndpointId('engine')
    # Another VM has placed a long prompt, which its hubs hear at once.
    other.workload.add(
        engine,
        workload_module.Job(2.0, 200_000, 1.0, 20.0, 4.0, fleet.now_s),
    )
    other.report_to(hub, fleet.now_s)
    assert engine not in asker.workload.loads()
    urgent = asker.workload.urgent_changes
    refresh = asyncio.ensure_future(asker.reports.refresh_loads())
    await asyncio.sleep(0)
    assert asker.workload.urgent_changes == urgent + 1
    asker.report_to(hub, fleet.now_s)
    await refresh
    assert engine in asker.workload.loads()
    # These loads are new enough for the next prompt.
    await asker.reports.refresh_loads()
    assert asker.workload.urgent_changes == urgent + 1
    # A silent hub delays no prompt for longer than the bound.
    fleet.now_s += 1.0
    started_s = loop.time()
    await asker.reports.refresh_loads()
    took_s = loop.time() - started_s
    assert took_s < fleet_grpc.REFRESH_TIMEOUT_S + 0.1, took_s


def check_leaving_stays_gone():
    """A VM that has left stays removed although gossip still names the VM."""
    me = fleet_module.Member('vm-0', 1, 'h:0', 'ba')
    other = fleet_module.Member('vm-1', 2, 'h:1', 'ba')
    fleet = fleet_module.Fleet(me, [], lambda: 100.0)
    fleet.record_contact(other)
    assert fleet.live_members() == [other]
    fleet.remove_leaving(other)
    fleet.merge_gossip([fleet_module.GossipEntry(other, 0.0)])
    fleet.record_contact(other)
    assert fleet.live_members() == []
    assert fleet.vm_count() == 1
    restarted = fleet_module.Member('vm-1', 3, 'h:1', 'ba')
    fleet.record_contact(restarted)
    assert fleet.live_members() == [restarted]
