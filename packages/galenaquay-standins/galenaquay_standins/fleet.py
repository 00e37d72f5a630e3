"""Runs a deployment on one machine for demos, benchmarks and tests.

Each VM's entry process and each stand-in runs as a separate process that
listens on loopback. The fleet signals only its own child processes, by their
process ids.
"""

import asyncio
import dataclasses
import pathlib
import signal
import subprocess
import sys
from types import TracebackType
from typing import Any, Final, Self

import aiohttp
import orjson
import yaml

from . import deployments

# Timeout of each step of the start, such as waiting until all stand-ins
# respond, in seconds.
START_S: Final = 60.0
# Time that a process has to exit after SIGTERM before SIGKILL, in seconds.
STOP_S: Final = 5.0
# Polling interval, in seconds.
POLL_S: Final = 0.05


class FleetError(Exception):
    """The fleet did not start in time."""


@dataclasses.dataclass(frozen=True)
class FleetOptions:
    """Options for running a deployment."""

    deployment: deployments.Deployment
    directory: pathlib.Path
    base_port: int = 21000
    # Engine seconds that pass in one wall-clock second.
    time_scale: float = 1.0
    # Memory of each engine, in tokens.
    capacity_tokens: int = deployments.CAPACITY_TOKENS
    # Settings that override the generated settings of every VM.
    settings: dict[str, Any] = dataclasses.field(default_factory=dict)
    # Ids of engines that start cold.
    cold_engines: frozenset[str] = frozenset()


class Fleet:
    """A running deployment."""

    # Processes by name: a VM's id, an endpoint's id or `platform`.
    processes_by_name: dict[str, subprocess.Popen[bytes]]
    # The configuration and the list of VMs that were published last.
    config: dict[str, Any]
    vms: dict[str, Any]

    def __init__(self, options: FleetOptions) -> None:
        self.options = options
        self.ports = deployments.Ports(options.base_port)
        self.processes_by_name = {}
        self.config = deployments.config(
            options.deployment,
            self.ports,
            time_scale=options.time_scale,
            capacity_tokens=options.capacity_tokens,
        )
        self.vms = deployments.vm_list(options.deployment, self.ports)
        self._session: aiohttp.ClientSession | None = None

    @property
    def session(self) -> aiohttp.ClientSession:
        """HTTP client session for the fleet's own requests."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0)
            )
        return self._session

    async def __aenter__(self) -> Self:
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.stop()

    # Processes.

    async def start(self) -> None:
        """Starts the stand-ins and the VMs and waits until they are ready."""
        self.options.directory.mkdir(parents=True, exist_ok=True)
        self._start_platform()
        for endpoint in self.config['endpoints']:
            self.start_endpoint(endpoint)
        await self.wait_listening()
        for vm in range(self.options.deployment.vms):
            self.start_vm(vm)
        await self.wait_ready()

    def spawn(self, name: str, module: str, *arguments: str) -> None:
        """Runs a Python module as a process that logs to `NAME.log`."""
        log = open(self.options.directory / f'{name}.log', 'wb')
        with log:
            self.processes_by_name[name] = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def _start_platform(self) -> None:
        directory = self.options.directory
        (directory / 'config.json').write_bytes(orjson.dumps(self.config))
        (directory / 'vms.json').write_bytes(orjson.dumps(self.vms))
        self.spawn(
            'platform',
            'galenaquay_standins.main',
            'platform',
            f'--port={self.ports.platform}',
            f'--config={directory / "config.json"}',
            f'--vms={directory / "vms.json"}',
        )

    def start_endpoint(self, endpoint: dict[str, Any]) -> None:
        """Starts the stand-in process of an endpoint."""
        port = endpoint['url'].rsplit(':', 1)[1]
        arguments = [f'--port={port}']
        if endpoint['kind'] == 'engine':
            arguments += [
                f'--capacity-tokens={endpoint["capacity_tokens"]}',
                f'--prefill-tokens-s={deployments.PREFILL_TOKENS_S}',
                f'--time-scale={self.options.time_scale}',
            ]
            if endpoint['id'] in self.options.cold_engines:
                arguments.append('--cold')
        self.spawn(
            endpoint['id'],
            'galenaquay_standins.main',
            endpoint['kind'],
            *arguments,
        )

    def start_vm(self, vm: int) -> None:
        """Starts the entry process of a VM."""
        settings = deployments.vm_settings(
            self.options.deployment, self.ports, vm
        )
        settings = {**settings, **self.options.settings}
        name = settings['vm_id']
        path = self.options.directory / f'{name}.yaml'
        path.write_text(yaml.safe_dump(settings))
        self.spawn(name, 'galenaquay.main', 'serve', f'--settings={path}')

    def kill(self, name: str) -> None:
        """Kills a process and waits until it has exited."""
        process = self.processes_by_name.pop(name)
        process.kill()
        process.wait()

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        self.processes_by_name[name].send_signal(number)

    async def wait_for_exit(self, name: str, timeout_s: float) -> int | None:
        """Waits for a process to exit; returns its status, None if running."""
        process = self.processes_by_name[name]
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while process.poll() is None and loop.time() < deadline_s:
            await asyncio.sleep(POLL_S)
        return process.poll()

    async def stop(self) -> None:
        """Stops all processes of the fleet.

        Each process gets SIGCONT first, because a suspended process does not
        handle SIGTERM. The second SIGTERM ends the grace period of an entry
        process.
        """
        for process in self.processes_by_name.values():
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGTERM)
        for process in self.processes_by_name.values():
            await asyncio.to_thread(_wait_or_kill, process)
        self.processes_by_name.clear()
        if self._session is not None:
            await self._session.close()

    # Readiness.

    def vm_url(self, vm: int) -> str:
        """Returns the URL at which a VM serves callers."""
        return f'http://{deployments.HOST}:{self.ports.callers(vm)}'

    async def wait_listening(self) -> None:
        """Waits until every stand-in responds."""
        urls = [e['url'] + '/standin/counters' for e in self.endpoints()]
        urls.append(self.platform_url('/standin/counters'))
        await self._wait_all(urls)

    async def wait_ready(self) -> None:
        """Waits until every VM is ready and its zone's engines are free."""
        vms = range(self.options.deployment.vms)
        await self._wait_all([self.vm_url(vm) + '/readyz' for vm in vms])
        await self._wait_engines_free()

    async def _wait_all(self, urls: list[str]) -> None:
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + START_S
        pending = list(urls)
        while pending:
            if loop.time() > deadline_s:
                raise FleetError(f'start timed out; waiting for {pending}')
            if await self._responds(pending[0]):
                pending.pop(0)
            else:
                await asyncio.sleep(POLL_S)

    async def _responds(self, url: str) -> bool:
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def _wait_engines_free(self) -> None:
        """Waits until every VM sees its zone's engines with all memory free.

        This takes as long as a lease, because a starting process does not know
        which leases earlier processes granted.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + START_S
        for vm in range(self.options.deployment.vms):
            while not await self._sees_engines_free(vm):
                if loop.time() > deadline_s:
                    raise FleetError(
                        'start timed out; some engines of the zone are not '
                        f'free in the status of VM {vm}'
                    )
                await asyncio.sleep(POLL_S)

    async def _sees_engines_free(self, vm: int) -> bool:
        status = await self.status(vm)
        zone = status['zone']
        free = {
            e['endpoint_id']
            for e in status['engines']
            if e['is_reachable']
            and e['free_tokens'] == self.options.capacity_tokens
        }
        listed = {
            e['id'] for e in self.endpoints('engine') if e['zone'] == zone
        }
        return listed <= free

    async def status(self, vm: int) -> dict[str, Any]:
        """Returns a VM's operator status."""
        url = self.vm_url(vm) + '/operator/status'
        async with self.session.get(url) as response:
            status: dict[str, Any] = await response.json()
            return status

    # Publishing documents and injecting faults.

    def endpoints(self, kind: str | None = None) -> list[dict[str, Any]]:
        """Returns the configured endpoints, all or those of one kind."""
        return [
            e for e in self.config['endpoints'] if kind in (None, e['kind'])
        ]

    def endpoint_url(self, endpoint_id: str) -> str:
        """Returns an endpoint's URL."""
        return next(
            str(e['url']) for e in self.endpoints() if e['id'] == endpoint_id
        )

    def platform_url(self, path: str) -> str:
        """Returns the URL of a path on the platform stand-in."""
        return f'http://{deployments.HOST}:{self.ports.platform}{path}'

    async def publish_config(self) -> int:
        """Publishes `config` under the next version."""
        self.config['version'] += 1
        await self._put('/standin/config', self.config)
        return int(self.config['version'])

    async def publish_vms(self) -> int:
        """Publishes `vms` under the next version."""
        self.vms['version'] += 1
        await self._put('/standin/vms', self.vms)
        return int(self.vms['version'])

    async def _put(self, path: str, body: dict[str, Any]) -> None:
        url = self.platform_url(path)
        async with self.session.put(url, data=orjson.dumps(body)) as response:
            response.raise_for_status()

    async def set_faults(self, url: str, **faults: Any) -> None:
        """Sets faults of the stand-in at a URL or triggers an action."""
        async with self.session.post(
            url + '/standin/fault', data=orjson.dumps(faults)
        ) as response:
            response.raise_for_status()

    async def counters(self, url: str) -> dict[str, Any]:
        """Returns the counters of the stand-in at a URL."""
        async with self.session.get(url + '/standin/counters') as response:
            counters: dict[str, Any] = await response.json()
            return counters


def _wait_or_kill(process: subprocess.Popen[bytes]) -> None:
    try:
        process.wait(STOP_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
