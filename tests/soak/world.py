"""Fleet of VM processes, engines and a store, connected by proxies."""

import collections
import signal
import time

from galenaquay_standins import sealed_engine
from tests import platform_support as support
from tests.soak import promises
from tests.soak import proxy

# Offsets of the ports of the proxies from the first port of the soak test.
ENGINE_PROXY_PORT_OFFSET = 300
STORE_PROXY_PORT_OFFSET = 400
MEMBER_PROXY_PORT_OFFSET = 410
WITHDRAWN_ZONE = 'nadi'
VMS = 3
ENGINES = 4
SERVICES = 3
EVENTS = 10


class SoakWorld(support.PlatformFixture):
    """Fleet whose VMs reach back ends and other VMs through proxies."""

    def __init__(self, folder, base_port):
        super().__init__(folder, base_port)
        self.proxies_by_engine = {}
        self.proxies_by_vm = {}
        # Proxies before the port on which each VM receives calls of other VMs.
        self.member_proxies_by_vm = {}
        # VMs whose process a fault currently pauses, restarts or reloads. No
        # two such faults may affect one VM at the same time.
        self.vms_under_fault = set()
        # Number of faults so far that affected each VM.
        self.fault_counts_by_vm = dict.fromkeys(range(VMS), 0)
        # Times at which faults that affect the process of each VM began.
        self.process_fault_times_s = {vm: [] for vm in range(VMS)}
        # Times at which faults of the connections to each engine began.
        self.engine_fault_times_s = collections.defaultdict(list)
        self.key = support.KEY
        self.revoked_at_s = {}
        # Time at which each key was published, by key.
        self.published_at_s = {support.KEY: time.monotonic()}
        # Start and end of each withdrawal of the zone WITHDRAWN_ZONE.
        self.withdrawals = []
        self._withdrawn_at_s = None

    def store_port(self, vm):
        return self.port(STORE_PROXY_PORT_OFFSET + vm)

    def peer_port(self, vm):
        return self.port(MEMBER_PROXY_PORT_OFFSET + vm)

    async def open(self):
        for vm in range(VMS):
            self.member_proxies_by_vm[vm] = proxy.Proxy(
                self.peer_port(vm), self.front_port(vm) + 2
            )
            await self.member_proxies_by_vm[vm].start()
            self.proxies_by_vm[vm] = proxy.Proxy(
                self.store_port(vm), self.port(0)
            )
            await self.proxies_by_vm[vm].start()
        await self.start(ENGINES, SERVICES, VMS, EVENTS)

    async def add_engine(self, name, service, zone, offset, events=0):
        zone = WITHDRAWN_ZONE if offset % 2 else zone
        engine = sealed_engine.SealedEngine(
            name, service, zone, self.port(offset), events
        )
        engine.event_interval_s = 0.03
        engine.on_end = lambda: self.store.put(
            f'servers/{name}', engine.store_entry()
        )
        engine.advertised_port = self.port(ENGINE_PROXY_PORT_OFFSET + offset)
        await engine.start()
        engine_proxy = proxy.Proxy(engine.advertised_port, engine.port)
        await engine_proxy.start()
        self.proxies_by_engine[name] = engine_proxy
        self.engines_by_name[name] = engine
        self.store.put(f'servers/{name}', engine.store_entry())
        return engine

    def record_fault(self, vm):
        """Counts a fault that affects a VM."""
        self.fault_counts_by_vm[vm] += 1

    def withdraw_zone(self):
        self.store.put(f'op/evacuate/{WITHDRAWN_ZONE}', {})
        if self._withdrawn_at_s is None:
            self._withdrawn_at_s = time.monotonic()

    def return_zone(self):
        if self._withdrawn_at_s is not None:
            self.withdrawals.append((self._withdrawn_at_s, time.monotonic()))
            self._withdrawn_at_s = None
        self.store.remove(f'op/evacuate/{WITHDRAWN_ZONE}')

    def check_running(self, vm):
        """Raises promises.PromiseError if a VM process has exited."""
        status = self.processes[vm].returncode
        if status is not None:
            raise promises.PromiseError(
                f'vm-{vm} exited unexpectedly: {status}'
            )

    async def restart(self, vm, signal_number):
        """Stops a VM process by a signal and starts a new one."""
        self.check_running(vm)
        process = self.processes[vm]
        process.send_signal(signal_number)
        await process.wait()
        await self.start_vm(vm, wait=False)

    async def close(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
        await self.stop()
        for each_proxy in (
            *self.proxies_by_engine.values(),
            *self.proxies_by_vm.values(),
            *self.member_proxies_by_vm.values(),
        ):
            await each_proxy.stop()
