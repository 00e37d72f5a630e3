"""Entries, engines and a store with a proxy before each of the latter."""

import signal

from galenaquay_standins import sealed_engine
from tests import platform_support as support
from tests.soak import promises
from tests.soak import proxy

ENGINE_PROXIES = 300
STORE_PROXIES = 400
MEMBER_PROXIES = 410
VMS = 3
ENGINES = 4
SERVICES = 3
EVENTS = 10


class SoakWorld(support.PlatformFixture):
    """A small fleet whose every connection to back ends can be harmed."""

    def __init__(self, folder, base_port):
        super().__init__(folder, base_port)
        self.proxies_by_engine = {}
        self.proxies_by_vm = {}
        # What other entries' words to an entry pass through.
        self.member_proxies_by_vm = {}
        # VMs that a fault has hold of, and how often each was harmed.
        self.held_vms = set()
        self.harms_by_vm = dict.fromkeys(range(VMS), 0)
        self.key = support.KEY
        self.revoked_at_s = {}

    def store_port(self, vm):
        return self.port(STORE_PROXIES + vm)

    def peer_port(self, vm):
        return self.port(MEMBER_PROXIES + vm)

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
        zone = 'nadi' if offset % 2 else zone
        engine = sealed_engine.SealedEngine(
            name, service, zone, self.port(offset), events
        )
        engine.event_interval_s = 0.03
        engine.advertised_port = self.port(ENGINE_PROXIES + offset)
        await engine.start()
        before = proxy.Proxy(engine.advertised_port, engine.port)
        await before.start()
        self.proxies_by_engine[name] = before
        self.engines_by_name[name] = engine
        self.store.put(f'servers/{name}', engine.store_entry())
        return engine

    def harm(self, vm):
        """Notes that an entry is not what it would be by itself."""
        self.harms_by_vm[vm] += 1

    def check_lives(self, vm):
        """Raises promises.Broken if an entry has ended by itself."""
        status = self.processes[vm].returncode
        if status is not None:
            raise promises.Broken(f'vm-{vm} ended by itself: {status}')

    async def restart(self, vm, number):
        """Ends an entry by a signal and starts it again."""
        self.check_lives(vm)
        process = self.processes[vm]
        process.send_signal(number)
        await process.wait()
        await self.start_vm(vm, wait=False)

    async def close(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
        await self.stop()
        for one in (
            *self.proxies_by_engine.values(),
            *self.proxies_by_vm.values(),
            *self.member_proxies_by_vm.values(),
        ):
            await one.stop()
