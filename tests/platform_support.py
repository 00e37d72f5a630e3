"""Runs entry processes of galenaquay_platform with simulated endpoints.

The processes and the endpoints listen on the loopback interface.
"""

import asyncio
import contextlib
import dataclasses
import functools
import os
import pathlib
import signal
import sys

import h11

from galenaquay_standins import kv_store
from galenaquay_standins import sealed_engine

HOST = 'shop.example'
KEY = 'key-of-acme'
REVOKE_S = 2.0
GRACE_S = 6.0
SERVICE = 'ledger'
POOL = 'models'
ENGINE = {
    'slots': 8,
    'kvCapacity': 450000,
    'stride': 46,
    'step_ms': 0.925,
    'per_seq_ms': 0.00966,
    'context_per_k': 0.00254,
    'read_per_s': 256000.0,
    'pairs_per_m': 0.0917,
    'usual': {'prompt': 13000, 'answer': 1500},
}


def route(name, prefix, kind, service, **others):
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeoutMs': 4000,
        'targetLatencyMs': 300,
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'public': False,
        **others,
    }


def configuration(version=1, keys=(KEY,), **changes):
    return {
        'version': version,
        'routes': [
            route('once', '/once/', 'non_idempotent', SERVICE, maxAttempts=1),
            route('look', '/look/', 'idempotent', SERVICE),
            route('brief', '/brief/', 'idempotent', SERVICE, timeoutMs=300),
            route('open', '/open/', 'idempotent', SERVICE, public=True),
            route(
                'ask',
                '/ask/',
                'streaming',
                POOL,
                resumable=True,
                gapAimMs=200,
                timeoutMs=8000,
            ),
            route('tell', '/tell/', 'streaming', POOL, gapAimMs=200),
        ],
        'services': [
            {'name': SERVICE, 'healthPath': '/healthz', 'coldPerS': 0.0},
            {
                'name': POOL,
                'healthPath': '/healthz',
                'coldPerS': 28.0,
                'engine': ENGINE,
            },
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 100000,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': 'acme', 'apiKeys': list(keys)}],
        **changes,
    }


@dataclasses.dataclass
class Response:
    status: int
    headers: dict
    body: bytes
    is_complete: bool
    # All received bytes, with the head and the framing of the body.
    raw: bytes = b''


async def send_request(
    port, method, target, body=b'', disconnect_after_s=None, **headers
):
    """Sends one request and returns the response, which may be incomplete.

    Closes the connection after `disconnect_after_s` seconds, if that is set,
    and returns None.
    """
    fields = {
        'Host': HOST,
        'Authorization': f'Bearer {KEY}',
        'X-Attempt-Id': os.urandom(8).hex(),
        'X-Deadline-Ms': '8000',
    }
    for name, value in headers.items():
        fields[name.replace('_', '-')] = value
    if body or method == 'POST':
        fields['Content-Length'] = str(len(body))
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in fields.items() if value]
    data = '\r\n'.join([*lines, '', '']).encode() + body
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    try:
        writer.write(data)
        if disconnect_after_s is not None:
            await asyncio.sleep(disconnect_after_s)
            return None
        return await read_response(reader, method)
    finally:
        writer.transport.abort()


async def read_response(reader, method='POST'):
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method=method, target='/', headers=[('Host', '')]))
    parser.send(h11.EndOfMessage())
    response = Response(0, {}, b'', False)
    try:
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(65536)
                response.raw += data
                parser.receive_data(data)
            elif isinstance(event, h11.Response):
                response.status = event.status_code
                response.headers = {
                    name.decode(): value.decode()
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                response.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                response.is_complete = True
                return response
            else:
                return response
    except (OSError, h11.RemoteProtocolError):
        return response


async def send_raw(port, data):
    """Sends bytes and returns the first data received within 1 second."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(data)
    try:
        async with asyncio.timeout(1.0):
            return await reader.read(65536)
    except (TimeoutError, OSError):
        return b''
    finally:
        writer.transport.abort()


class PlatformFixture:
    """A simulated store, engines and services, and real entry processes."""

    def __init__(self, folder, base_port):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        # Log files are opened for appending; deletes those of earlier runs.
        for log in self.folder.glob('*.log'):
            log.unlink()
        self.base_port = base_port
        self.store = kv_store.KvStore()
        self.engines_by_name = {}
        self.processes = {}
        self.proxies = []
        self.version = 1
        # Port at which other entry processes reach a VM, where it is not the
        # port that the VM listens on.
        self.peer_ports_by_vm = {}
        # Port at which a VM finds the store, where it is not the store's own.
        self.store_ports_by_vm = {}

    def port(self, offset):
        return self.base_port + offset

    def front_port(self, vm=0):
        return self.port(100 + vm * 10)

    def store_port(self, vm):
        """Returns the port at which the process of a VM finds the store."""
        return self.store_ports_by_vm.get(vm, self.port(0))

    def peer_port(self, vm):
        """Returns the port at which other entry processes reach a VM."""
        return self.peer_ports_by_vm.get(vm, self.front_port(vm) + 2)

    async def start(self, engines=2, services=2, vms=1, events=8):
        await self.store.start(self.port(0))
        for i in range(engines):
            await self.add_engine(f'e{i}', POOL, 'ba', 10 + i, events)
        for i in range(services):
            await self.add_engine(f's{i}', SERVICE, 'ba', 40 + i)
        self.publish()
        for vm in range(vms):
            await self.start_vm(vm)

    async def add_engine(self, name, service, zone, offset, events=0):
        engine = sealed_engine.SealedEngine(
            name, service, zone, self.port(offset), events
        )
        await engine.start()
        self.engines_by_name[name] = engine
        self.store.put(f'servers/{name}', engine.store_entry())
        return engine

    def restart_ended_engines(self, seconds):
        """Has each engine that ends come back after some seconds.

        It comes back at the same address under another id.
        """
        loop = asyncio.get_running_loop()

        def restart(old):
            name = f'{old.name}-again'
            engine = sealed_engine.SealedEngine(
                name, old.service, old.zone, old.port, old.events
            )
            engine.deadly_part = old.deadly_part
            engine.deadly_last_part = old.deadly_last_part
            engine.deadly_body = old.deadly_body
            engine.event_interval_s = old.event_interval_s
            engine.on_end = functools.partial(plan_restart, engine)
            self.engines_by_name[name] = engine
            self.store.remove(f'servers/{old.name}')
            self.store.put(f'servers/{name}', engine.store_entry())
            return engine.start()

        def plan_restart(engine):
            loop.call_later(
                seconds, lambda: asyncio.ensure_future(restart(engine))
            )

        for engine in self.engines_by_name.values():
            engine.on_end = functools.partial(plan_restart, engine)

    def publish(self, **changes):
        self.version += 1
        self.store.put('op/config', configuration(self.version, **changes))

    def write_settings(self, vm=0, **changes):
        """Writes the settings file of a VM and returns its path."""
        front = self.front_port(vm)
        seeds = f'127.0.0.1:{self.peer_port(0)}'
        path = self.folder / f'vm{vm}.conf'
        fields = {
            'node': f'vm-{vm}',
            'zone': 'ba',
            'listen.front': f'127.0.0.1:{front}',
            'listen.readiness': f'127.0.0.1:{front + 1}',
            'listen.control': f'127.0.0.1:{front + 2}',
            'seeds': seeds,
            'platform.address': f'127.0.0.1:{self.store_port(vm)}',
            'bounds.revokeMs': int(REVOKE_S * 1000),
            'bounds.graceS': GRACE_S,
            **{
                name.replace('_', '.'): value
                for name, value in changes.items()
            },
        }
        lines = [
            f'{name}={value}'
            for name, value in fields.items()
            if value is not None
        ]
        path.write_text('\n'.join(lines) + '\n')
        return path

    async def start_vm(
        self, vm=0, wait=True, program=('-m', 'galenaquay_platform'), **changes
    ):
        path = self.write_settings(vm, **changes)
        with (self.folder / f'vm{vm}.log').open('ab') as log:
            self.processes[vm] = await asyncio.create_subprocess_exec(
                sys.executable,
                *program,
                f'--announce=127.0.0.1:{self.peer_port(vm)}',
                env={**os.environ, 'GALENAQUAY_CONFIG': str(path)},
                stdout=log,
                stderr=log,
            )
        if wait:
            await self.wait_until(lambda: self.is_ready(vm), 10.0)

    def log(self, vm=0):
        return (self.folder / f'vm{vm}.log').read_text()

    async def is_ready(self, vm=0):
        with contextlib.suppress(OSError):
            response = await send_request(
                self.front_port(vm) + 1, 'GET', '/api/readyz'
            )
            return response.status == 200
        return False

    async def wait_until(self, check, seconds):
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + seconds
        while True:
            found = check()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return
            assert loop.time() < deadline_s, 'condition not met in time'
            await asyncio.sleep(0.02)

    def received_requests(self, service):
        return [
            request
            for engine in self.engines_by_name.values()
            if engine.service == service
            for request in engine.received
        ]

    def executed_requests(self, service):
        return [r for r in self.received_requests(service) if r.has_run]

    def set_faults(self, service, *faults):
        for engine in self.engines_by_name.values():
            if engine.service == service:
                engine.faults = list(faults)

    async def stop(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()
        for engine in self.engines_by_name.values():
            await engine.stop()
        for each_proxy in self.proxies:
            await each_proxy.stop()
        await self.store.stop()
