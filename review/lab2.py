"""Stand-ins and helpers for the scripts of the second review.

Uses only the standard library. The store, the clients and the platform run in
the process of a script; engines and services (`engine2.py`) and the entries
are processes of their own. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import pathlib
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
# The deploy file fixes the port of an entry's metrics, so that scripts that
# run at the same time need addresses of their own.
NET = f'127.{20 + os.getpid() % 200}'
STORE_IP = f'{NET}.40.1'
ENGINE_IP = f'{NET}.41.'
ENTRY_IP = f'{NET}.42.'
PAGE_ITEMS = 50
HISTORY_S = 20.0
# Time that an engine goes on serving after the store has its `draining`.
DRAIN_S = 2.0


def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / 'record.txt', 'w')
        self._start_s = time.monotonic()

    def __call__(self, text):
        line = f'{time.monotonic() - self._start_s:8.3f} {text}'
        print(line, file=self._file, flush=True)

    def close(self):
        self._file.close()


async def read_head(reader):
    """Returns the first line and the headers by lower-case name."""
    data = await reader.readuntil(b'\r\n\r\n')
    lines = data.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(':')
        if found:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Returns the body of a request or a framed response."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return body
    return await reader.readexactly(int(headers.get('content-length', 0)))


class Store:
    """The platform's store, read by the entries over HTTP."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.history = []
        self.changed = asyncio.Event()
        self.address = ''
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, STORE_IP, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{STORE_IP}:{port}'

    def put(self, key, value):
        self.revision += 1
        created = self.items.get(key, {}).get('createdRev', self.revision)
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item = {
            'key': key,
            'value': text,
            'revision': self.revision,
            'createdRev': created,
            'lease': 0,
        }
        self.items[key] = item
        self._note(item)

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self._note({'key': key, 'revision': self.revision, 'removed': True})

    def _note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                await read_body(reader, headers)
                target = urllib.parse.urlsplit(first.split(' ')[1])
                query = dict(urllib.parse.parse_qsl(target.query))
                status, body = await self._answer(target.path, query)
                data = json.dumps(body).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json'
                    f'\r\nContent-Length: {len(data)}\r\n\r\n'.encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, query):
        if path == '/api/kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {'currentRev': self.revision}
            return 200, {**item, 'currentRev': self.revision}
        if path == '/api/kv-range':
            prefix, after = query.get('prefix', ''), query.get('after', '')
            keys = sorted(
                k for k in self.items if k.startswith(prefix) and k > after
            )
            page = [self.items[k] for k in keys[:PAGE_ITEMS]]
            return 200, {
                'items': page,
                'hasMore': len(keys) > PAGE_ITEMS,
                'currentRev': self.revision,
            }
        if path == '/api/kv-watch':
            return 200, await self._watch(query)
        return 404, {}

    async def _watch(self, query):
        prefix, after = query.get('prefix', ''), int(query['after'])
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query.get('waitMs', 0)) / 1000
        while True:
            changed = self.changed
            events = [
                e
                for e in self.history
                if e['revision'] > after and e['key'].startswith(prefix)
            ]
            left_s = end_s - loop.time()
            if events or left_s <= 0:
                return {'events': events, 'currentRev': self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass


class Engine:
    """An engine or service in a process of its own (`engine2.py`)."""

    def __init__(self, lab, name, service, number, options=()):
        self.lab = lab
        self.id = name
        self.service = service
        self.ip = f'{ENGINE_IP}{number}'
        self.options = list(options)
        self.process = None
        self.port = free_port(self.ip)
        self.born = 0
        self.seq = 0
        self.state = 'ready'
        self._reading = None

    async def start(self, lists=True):
        self.born = int(time.time() * 1000)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / 'review' / 'engine2.py'),
            self.id,
            self.ip,
            str(self.port),
            str(self.born),
            *self.options,
            stdout=asyncio.subprocess.PIPE,
        )
        self.lab.processes.append(self.process)
        await self.process.stdout.readline()
        self._reading = asyncio.create_task(self._read())
        if lists:
            self.list()

    async def _read(self):
        while line := await self.process.stdout.readline():
            event = json.loads(line)
            event['engine'] = self.id
            self.lab.events.append(event)
            self.lab.record(f'engine {self.id}: {line.decode().strip()}')

    def list(self, state='ready'):
        self.seq += 1
        self.state = state
        self.lab.store.put(
            f'servers/{self.id}',
            {
                'service': self.service,
                'address': f'{self.ip}:{self.port}',
                'zone': 'a',
                'version': 'v1',
                'slots': 8,
                'state': state,
                'coldRemainingMs': 0,
                'stage': 'colocated',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'seq': self.seq,
                'born': self.born,
            },
        )
        self.lab.record(f'store: {self.id} is {state}')

    def unlist(self):
        self.lab.store.remove(f'servers/{self.id}')
        self.lab.record(f'store: {self.id} is removed')

    async def kill(self):
        self.lab.record(f'engine {self.id}: killed')
        self.process.kill()
        await self.process.wait()


class Entry:
    """An entry, started with the run command of the deploy file."""

    def __init__(self, lab, number, zone='a'):
        self.lab = lab
        self.name = f'edge-{zone}-{number}'
        self.zone = zone
        self.ip = f'{ENTRY_IP}{number}'
        self.front = free_port(self.ip)
        self.readiness = free_port(self.ip)
        self.control = free_port(self.ip)
        self.process = None
        self.log = lab.folder / f'{self.name}.log'

    def settings(self):
        seeds = ','.join(f'{e.ip}:{e.control}' for e in self.lab.entries[:3])
        return f"""node={self.name}
role=entry
machineClass=edge
serves=edge,control_plane
ip={self.ip}
zone={self.zone}
region=r
zones.a=r
zones.b=r
listen.front={self.ip}:{self.front}
listen.readiness={self.ip}:{self.readiness}
listen.control={self.ip}:{self.control}
portRange=7340,7355
seeds={seeds}
bootstrap=true
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb=300
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1200
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.stableWindowMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.outerMs=5000
bounds.revokeStrict=true
bounds.revokeMs=5000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetSlack=104
bounds.evacuateMs=5000
bounds.recoveryS=12
bounds.passMs=120
bounds.stall_ms=1500
bounds.holdMaxMs=20000
bounds.freeMs=4000
bounds.idleMaxMs=9000
platform.address={self.lab.store.address}
platform.form=read
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
"""

    async def start(self):
        path = self.lab.folder / f'{self.name}.conf'
        path.write_text(self.settings())
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['entry']['run'])
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['GALENAQUAY_CONFIG'] = str(path)
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.lab.processes.append(self.process)
        self.lab.record(f'entry {self.name}: started')

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.readiness), 1
            )
        except (OSError, TimeoutError):
            return False
        try:
            writer.write(b'GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n')
            first, _ = await asyncio.wait_for(read_head(reader), 1)
            return ' 200 ' in first
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, timeout_s=20):
        end_s = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > end_s or not self.is_running():
                raise CannotRun(f'{self.name} does not become ready')
            await asyncio.sleep(0.1)

    def rss_mb(self):
        text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        for line in text.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / 1024
        return 0.0


class CannotRun(Exception):
    """The case could not run."""


class Answer:
    """What a client has received."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        # Whether the answer came whole, as its framing says.
        self.is_whole = False
        self.end = ''

    def __str__(self):
        return (
            f'status {self.status}, {len(self.body)} bytes, '
            f'{"whole" if self.is_whole else "not whole"}, '
            f'seal {self.headers.get("x-response-seal")}, {self.end}'
        )


def request_bytes(request_id, method, path, deadline_ms, headers=(), body=b''):
    lines = [
        f'{method} {path} HTTP/1.1',
        'Host: h.example',
        f'X-Attempt-Id: {request_id}',
        f'X-Deadline-Ms: {deadline_ms}',
        *(f'{name}: {value}' for name, value in headers),
    ]
    if method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


async def read_answer(reader):
    """Reads an answer to its end or its time-out."""
    answer = Answer()
    try:
        while True:
            first, headers = await read_head(reader)
            answer.status = int(first.split(' ')[1])
            answer.headers = headers
            if answer.status >= 200:
                break
        if headers.get('transfer-encoding', '').lower() == 'chunked':
            while True:
                size = int((await reader.readuntil(b'\n')).split(b';')[0], 16)
                chunk = await reader.readexactly(size + 2)
                answer.body += chunk[:-2]
                if not size:
                    break
            answer.is_whole = True
        elif 'content-length' in headers:
            length = int(headers['content-length'])
            while len(answer.body) < length:
                data = await reader.read(length - len(answer.body))
                if not data:
                    raise asyncio.IncompleteReadError(b'', length)
                answer.body += data
            answer.is_whole = True
        else:
            answer.body = await reader.read()
            answer.is_whole = True
        answer.end = 'ended in order'
    except asyncio.IncompleteReadError:
        answer.end = 'channel closed early'
    except OSError as exc:
        answer.end = f'channel failed: {exc}'
    return answer


async def ask(
    lab,
    entry,
    request_id,
    method,
    path,
    deadline_ms=10000,
    headers=(),
    body=b'',
):
    """Sends one request on a channel of its own; returns the answer."""
    lab.record(f'client: {request_id} {method} {path} to {entry.name}')
    answer = Answer()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(entry.ip, entry.front), 1
        )
        writer.write(
            request_bytes(request_id, method, path, deadline_ms, headers, body)
        )
        await writer.drain()
        answer = await asyncio.wait_for(
            read_answer(reader), deadline_ms / 1000 + 1
        )
    except TimeoutError:
        answer.end = 'no answer in time'
    except OSError as exc:
        answer.end = f'channel failed: {exc}'
    finally:
        if writer is not None:
            writer.close()
    lab.record(f'client: {request_id} gets {answer}')
    return answer


class Lab:
    """A small deployment on loopback addresses."""

    def __init__(self, folder):
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.store = Store()
        self.entries = []
        self.engines = []
        self.processes = []
        self.events = []

    async def start(self, entries, engines, config):
        """Starts the store, the engines and the entries.

        Args:
            entries: Number of entries.
            engines: Tuples of id, service and options of `engine2.py`.
            config: The configuration.
        """
        await self.store.start()
        self.store.put('op/config', config)
        for number, (name, service, options) in enumerate(engines, 1):
            engine = Engine(self, name, service, number, options)
            self.engines.append(engine)
            await engine.start()
        for number in range(1, entries + 1):
            self.entries.append(Entry(self, number))
        for entry in self.entries:
            await entry.start()
        for entry in self.entries:
            await entry.wait_ready()

    async def stop(self):
        for process in self.processes:
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.processes:
            await process.wait()
        self.record.close()
        self._temporary.cleanup()

    def runs(self, request_id):
        return [
            e
            for e in self.events
            if e['event'] == 'runs' and e['id'] == request_id
        ]

    def log_lines(self, *texts):
        """Copies the entries' log lines that contain a text to the record."""
        for entry in self.entries:
            if entry.log.exists():
                for line in entry.log.read_text().splitlines():
                    if any(text in line for text in texts):
                        self.record(f'log {entry.name}: {line}')


def configuration(version=7, routes=(), services=(), tenants=None):
    config = {
        'version': version,
        'routes': list(routes),
        'services': list(services),
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
    }
    if tenants is not None:
        config['tenants'] = tenants
    return config


def model_service(name):
    return {
        'name': name,
        'healthPath': '/healthz',
        'maxConns': 304,
        'protocol': 'h1',
        'tls': False,
        'coldStartS': 3.0,
        'coldPerS': 28.0,
        'engine': {
            'slots': 8,
            'kvCapacity': 450000,
            'tokenKvBytes': 327680,
            'linkMbps': 400000.0,
            'stride': 46,
            'models': [{'name': 'm'}],
            'step_ms': 0.925,
            'per_seq_ms': 0.00966,
            'context_per_k': 0.00254,
            'read_per_s': 256000.0,
            'pairs_per_m': 0.0917,
            'chunk': 2048,
            'report_lag_ms': 200.0,
            'loadsPerS': 0.0,
            'loads_at_once': 8,
            'delays': [],
            'usual': {'prompt': 13229, 'answer': 1541},
            'hopMs': 0.1,
        },
    }


def plain_service(name):
    return {
        'name': name,
        'healthPath': '/healthz',
        'maxConns': 110,
        'protocol': 'h1',
        'tls': False,
        'coldStartS': 0.0,
        'coldPerS': 0.0,
    }


def route(name, prefix, kind, service, timeout_ms=10000, attempts=2, **more):
    return {
        'name': name,
        'host': 'h.example',
        'prefix': prefix,
        'kind': kind,
        'timeoutMs': timeout_ms,
        'targetLatencyMs': 300,
        'priority': 1,
        'service': service,
        'maxAttempts': attempts,
        'public': False,
        **more,
    }


def main(folder, case):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held.

    Args:
        folder: The folder of the case.
        case: Coroutine function of the lab and of whether the disruption
            happens; returns whether the rule was broken.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run():
        lab = Lab(folder)
        try:
            async with asyncio.timeout(110):
                is_broken = await case(lab, has_trouble)
                lab.record('BROKEN' if is_broken else 'the rule held')
                print('BROKEN' if is_broken else 'the rule held')
                return 1 if is_broken else 0
        except Exception as exc:
            # An error of the script must not look like a broken rule.
            lab.record(f'cannot run: {exc!r}')
            print(f'cannot run: {exc!r}')
            return 2
        finally:
            await lab.stop()

    sys.exit(asyncio.run(run()))
