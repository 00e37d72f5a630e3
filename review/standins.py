"""Stand-ins of the platform's store and of engines, and helpers for the cases.

Only the standard library is used. Engines run as processes of their own
(`python3 standins.py engine ...`), so that a case can kill, stop and restart
them with signals. All addresses are loopback addresses.
"""

import argparse
import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'yard.example'
KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'hule930'
POOL = 'models'
APP = 'booking'
ZONE = 'esbjerg'
HEARTBEAT_S = 1.2
# Bodies from this size on are long.
LONG_BODY_BYTES = 100_000


# --- HTTP helpers ----------------------------------------------------------


async def read_head(reader):
    """Returns the start line and the headers, by name in lower case."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(':')
        if found:
            headers[name.lower()] = value.strip()
    return lines[0], headers


async def read_request(reader):
    method, target, headers = await read_request_head(reader)
    return method, target, headers, await read_body(reader, headers)


async def read_request_head(reader):
    start, headers = await read_head(reader)
    method, target, _ = start.split(' ', 2)
    return method, target, headers


async def read_body(reader, headers):
    body = b''
    if 'chunked' in headers.get('transfer-encoding', ''):
        while size := int((await reader.readline()).split(b';')[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b'\r\n')
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return body


def response(status, body=b'', *lines):
    head = [f'HTTP/1.1 {status}', f'Content-Length: {len(body)}', *lines]
    return '\r\n'.join([*head, '', '']).encode() + body


# --- the platform's store --------------------------------------------------


class Store:
    """The platform's store: linearizable reads and watches."""

    def __init__(self):
        self.revision = 10
        self.items = {}
        self.events = []
        self.changed = asyncio.Event()
        # Delay of each answer in seconds; status of all answers if set.
        self.delay_s = 0.004
        self.status = None

    async def start(self, host):
        self.server = await asyncio.start_server(self._serve, host, 0)
        self.address = '%s:%d' % self.server.sockets[0].getsockname()

    def put(self, key, value):
        """Writes an item and returns the time of the ack."""
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        old = self.items.get(key, {})
        item = {
            'key': key,
            'value': base64.b64encode(data).decode(),
            'revision': self.revision,
            'createdRev': old.get('createdRev', self.revision),
            'lease': 0,
        }
        self.items[key] = item
        self._add(item)
        return time.monotonic()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self._add({'key': key, 'revision': self.revision, 'removed': True})
        return time.monotonic()

    def _add(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                _, target, _, _ = await read_request(reader)
                await asyncio.sleep(self.delay_s)
                if self.status is not None:
                    writer.write(response(self.status))
                    continue
                path, _, query = target.partition('?')
                params = dict(urllib.parse.parse_qsl(query))
                body = await self._answer(path, params)
                writer.write(
                    response('404 Not Found')
                    if body is None
                    else response(
                        '200 OK',
                        json.dumps(body).encode(),
                        'Content-Type: application/json',
                    )
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, params):
        if path == '/api/kv-key':
            item = self.items.get(params['key'])
            return item and {**item, 'currentRev': self.revision}
        prefix = params.get('prefix', '')
        if path == '/api/kv-range':
            after = params.get('after', '')
            found = [
                self.items[key]
                for key in sorted(self.items)
                if key.startswith(prefix) and key > after
            ]
            return {
                'items': found[:500],
                'hasMore': len(found) > 500,
                'currentRev': self.revision,
            }
        if path == '/api/kv-watch':
            after = int(params['after'])
            deadline_s = time.monotonic() + int(params['waitMs']) / 1000
            while True:
                found = [
                    event
                    for event in self.events
                    if event['revision'] > after
                    and event['key'].startswith(prefix)
                ]
                left_s = deadline_s - time.monotonic()
                if found or left_s <= 0:
                    return {'events': found, 'currentRev': self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left_s)
                except TimeoutError:
                    pass
        return None


# --- an engine, as a process -----------------------------------------------


class Engine:
    """One run of an engine or of a plain service.

    The path of a request names how the answer is written:
    `/ROUTE/unframed` and `/ROUTE/chunked`, followed by
    `/PIECES/PAUSE_MS[/BYTES]` for streams, with the size of a piece, and by
    `/BYTES/PAUSE_MS` for other answers, which are written in two halves with
    the pause between them.
    """

    def __init__(self, options):
        self.options = options
        self.born = time.time_ns() // 1_000_000
        self.log = open(options.log, 'a', buffering=1)
        self.in_progress = 0

    def note(self, what, headers, **more):
        entry = {
            't': round(time.time(), 3),
            'engine': self.options.id,
            'what': what,
            'attempt': headers.get('x-attempt-id', ''),
            **more,
        }
        self.log.write(json.dumps(entry) + '\n')

    def crash(self):
        """Ends the process; its listener is gone before its channels are."""
        self.server.close()
        os.kill(os.getpid(), signal.SIGKILL)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_request_head(reader)
                self.in_progress += 1
                try:
                    if not await self.serve_request(reader, writer, *head):
                        # Ends the channel in order, after all bytes.
                        writer.close()
                        await writer.wait_closed()
                        return
                finally:
                    self.in_progress -= 1
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve_request(self, reader, writer, method, target, headers):
        body = b''
        if not self.reads_late(headers):
            body = await read_body(reader, headers)
        lines = [f'X-Instance-Id: {self.options.id}']
        expected = headers.get('x-expect-instance')
        attempt = headers.get('x-attempt-id')
        if attempt:
            lines.append(f'X-Attempt-Id: {attempt}')
        if expected not in (None, self.options.id):
            writer.write(response('421 Misdirected Request', b'', *lines))
            return True
        if target == '/healthz':
            writer.write(response('200 OK', b'', *lines))
            return True
        if target == '/api/report':
            report = {'busy': False, 'seq': 0, 'tickets': [], 'born': self.born}
            writer.write(response('200 OK', json.dumps(report).encode()))
            return True
        if target == '/api/order':
            writer.write(response('200 OK', b'{"free":450000}'))
            return True
        if not attempt:
            writer.write(response('400 Bad Request', b'', 'X-Not-Executed: 1'))
            return True
        lines.append('X-Response-Seal: seal-of-' + self.options.id)
        self.note(
            'run',
            headers,
            target=target,
            after=headers.get('last-event-id'),
            tenant=headers.get('x-tenant'),
            bytes=len(body),
        )
        _, _, framing, size, pause_ms, *filler = target.split('/')
        if self.options.deadly_part in shared_parts(headers):
            # The engine crashes as it begins to write.
            await asyncio.sleep(int(pause_ms) / 1000)
            self.note('crashes', headers)
            self.crash()
        answer = self.stream if self.options.stream else self.plain
        rest = asyncio.ensure_future(self.read_late(reader, headers))
        await answer(
            writer,
            rest,
            headers,
            lines,
            framing,
            int(size),
            int(pause_ms) / 1000,
            *map(int, filler),
        )
        self.note('answered', headers)
        await rest
        return framing == 'chunked'

    def is_long(self, headers):
        return int(headers.get('content-length', 0)) > LONG_BODY_BYTES

    def reads_late(self, headers):
        """Returns whether the engine answers before it has read a body."""
        reads_late = self.options.reads_late or self.options.answers_early
        return reads_late and self.is_long(headers)

    async def read_late(self, reader, headers):
        """Reads a long body after a pause, in which nothing is written.

        An engine that has read the body at once makes the same pause.
        """
        if self.is_long(headers):
            await asyncio.sleep(self.options.long_pause_s)
        if not self.reads_late(headers):
            return
        try:
            body = await read_body(reader, headers)
        except (OSError, asyncio.IncompleteReadError) as exc:
            got_bytes = len(getattr(exc, 'partial', b''))
            self.note(
                'body cut off', headers, bytes=got_bytes, error=str(exc)
            )
            raise
        self.note('body read', headers, bytes=len(body))

    async def stream(
        self, writer, rest, headers, lines, framing, pieces, pause_s, filler=0
    ):
        is_chunked = framing == 'chunked'
        head = ['HTTP/1.1 200 OK', *lines, 'Content-Type: text/event-stream']
        head.append(
            'Transfer-Encoding: chunked' if is_chunked else 'Connection: close'
        )
        writer.write('\r\n'.join([*head, '', '']).encode())
        first = int(headers.get('last-event-id') or 0) + 1
        for number in range(first, pieces + 1):
            await asyncio.sleep(pause_s)
            event = b'id: %d\ndata: piece %d of %d%s\n\n' % (
                number,
                number,
                pieces,
                b' x' * (filler // 2),
            )
            if is_chunked:
                event = b'%x\r\n%s\r\n' % (len(event), event)
            writer.write(event)
            await writer.drain()
            if number == first:
                await rest
        if is_chunked:
            writer.write(b'0\r\n\r\n')

    async def plain(
        self, writer, rest, headers, lines, framing, size, pause_s
    ):
        body = make_body(size)
        head = ['HTTP/1.1 200 OK', *lines, 'Content-Type: application/json']
        head.append(
            f'Content-Length: {size}'
            if framing == 'chunked'
            else 'Connection: close'
        )
        writer.write('\r\n'.join([*head, '', '']).encode() + body[: size // 2])
        await writer.drain()
        if not self.options.answers_early:
            await rest
        await asyncio.sleep(pause_s)
        writer.write(body[size // 2 :])
        await writer.drain()


def shared_parts(headers):
    """Returns the ids of all parts of a prompt but the last."""
    entries = headers.get('x-prompt-prefix', '').split(',')
    return [entry.partition(':')[0].strip() for entry in entries[:-1]]


def make_body(size):
    """Returns the whole body of a plain answer."""
    return (b'{"plots":"' + b'x' * max(0, size - 12) + b'"}')[:size]


async def run_engine(options):
    engine = Engine(options)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if options.window_bytes:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, options.window_bytes
        )
    if options.segment_bytes:
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, options.segment_bytes
        )
    sock.bind((options.host, options.port))
    server = await asyncio.start_server(engine.serve, sock=sock)
    engine.server = server
    leaves = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, leaves.set)
    loop.add_signal_handler(signal.SIGUSR1, engine.crash)
    print('listening', engine.born, flush=True)
    await leaves.wait()
    # Takes no new channels, ends what it has begun, and exits.
    server.close()
    while engine.in_progress:
        await asyncio.sleep(0.005)
    engine.note('exits', {})


# --- a client ---------------------------------------------------------------


class Answer:
    """What a client received."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        # Whether the body ended as its framing says.
        self.is_complete = False
        self.error = ''

    def pieces(self):
        return [
            int(line[4:])
            for line in self.body.decode('latin-1').split('\n')
            if line.startswith('id: ')
        ]

    def text(self):
        end = 'complete' if self.is_complete else f'cut off {self.error}'
        return f'status {self.status}, {len(self.body)} body bytes, {end}'


async def open_channel(address, receive_buffer=None):
    host, port = address.rsplit(':', 1)
    sock = socket.socket()
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return await asyncio.open_connection(sock=sock, limit=2**16)


def request_bytes(method, target, deadline_ms, attempt, body=b'', **headers):
    fields = {
        'Host': HOST,
        'X-Attempt-Id': attempt,
        'X-Deadline-Ms': str(deadline_ms),
        'Authorization': f'Bearer {KEY}',
    }
    if method == 'POST':
        fields['Content-Length'] = str(len(body))
    for name, value in headers.items():
        fields[name.replace('_', '-')] = value
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in fields.items()]
    return '\r\n'.join([*lines, '', '']).encode() + body


async def read_answer(reader, answer, on_data=lambda: None):
    """Reads one answer into `answer`; notes how it ended."""
    try:
        start, answer.headers = await read_head(reader)
        answer.status = int(start.split(' ')[1])
        if 'chunked' in answer.headers.get('transfer-encoding', ''):
            while size := int((await reader.readline()).split(b';')[0], 16):
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
                on_data()
            await reader.readexactly(2)
        else:
            left = int(answer.headers['content-length'])
            while left:
                data = await reader.read(min(left, 65536))
                if not data:
                    raise EOFError('closed')
                answer.body += data
                left -= len(data)
                on_data()
        answer.is_complete = True
    except (OSError, EOFError, ValueError) as exc:
        answer.error = f'({type(exc).__name__})'
    return answer


def new_attempt():
    return os.urandom(8).hex()


# --- a small deployment ------------------------------------------------------


def route(name, kind, service, **others):
    return {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': 10000,
        'targetLatencyMs': 1500,
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'public': False,
        **others,
    }


def configuration(version, more_routes=()):
    return {
        'version': version,
        'routes': [
            route('draft', 'streaming', POOL, sticky=True, resumable=True,
                  gapAimMs=500),
            route('once-draft', 'streaming', POOL, sticky=True, gapAimMs=500),
            route('look', 'idempotent', APP),
            route('book', 'non_idempotent', APP, maxAttempts=1),
            *more_routes,
        ],
        'services': [
            {
                'name': POOL,
                'healthPath': '/healthz',
                'maxConns': 304,
                'coldStartS': 0.0,
                'coldPerS': 0.0,
                'engine': {
                    'slots': 8, 'kvCapacity': 450000, 'stride': 46,
                    'step_ms': 0.925, 'per_seq_ms': 0.00966,
                    'context_per_k': 0.00254, 'read_per_s': 256000.0,
                    'pairs_per_m': 0.0917, 'chunk': 2048,
                    'usual': {'prompt': 13229, 'answer': 1541},
                },
            },
            {
                'name': APP,
                'healthPath': '/healthz',
                'maxConns': 110,
                'coldStartS': 0.0,
                'coldPerS': 0.0,
            },
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': TENANT, 'apiKeys': [KEY], 'priority': 1}],
    }


def free_port(host):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class EngineProcess:
    """An engine that may be killed and started again."""

    def __init__(self, world, name, service, index):
        self.world = world
        self.name = name
        self.service = service
        self.host = f'127.{world.net}.2.{index + 1}'
        self.port = free_port(self.host)
        self.runs = 0
        self.id = ''
        self.process = None
        # Further options of the engine's command.
        self.options = []

    async def start(self):
        """Starts a new run, with a new id, and lists it in the store."""
        self.runs += 1
        self.id = f'i-{self.name}-{self.runs}'
        command = [
            sys.executable, __file__, 'engine', '--host', self.host,
            '--port', str(self.port), '--id', self.id,
            '--log', str(self.world.folder / 'engines.log'),
        ]
        if self.service == POOL:
            command.append('--stream')
        command += self.options
        self.process = await asyncio.create_subprocess_exec(
            *command, stdout=subprocess.PIPE
        )
        words = (await self.process.stdout.readline()).split()
        self.world.note(f'engine {self.id} listens')
        self.world.store.put(
            f'servers/{self.id}',
            {
                'service': self.service,
                'address': f'{self.host}:{self.port}',
                'zone': ZONE,
                'version': 'v1',
                'slots': 8,
                'state': 'ready',
                'coldRemainingMs': 0,
                'stage': 'colocated',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'seq': 1,
                'born': int(words[1]),
            },
        )

    def drain(self):
        """Lists the run as draining; returns the time of the ack."""
        key = f'servers/{self.id}'
        entry = json.loads(base64.b64decode(self.world.store.items[key]['value']))
        self.world.note(f'engine {self.id} drains')
        entry.update(state='draining', seq=entry['seq'] + 1)
        return self.world.store.put(key, entry)

    async def leave(self):
        """Has the run take no more, end what it has begun, and exit."""
        self.process.terminate()
        self.world.note(f'engine {self.id} leaves')
        await self.process.wait()
        self.world.note(f'engine {self.id} has exited')
        self.world.store.remove(f'servers/{self.id}')

    async def kill(self):
        """Kills the run; its entry goes after three intervals of silence."""
        self.process.kill()
        await self.process.wait()
        self.world.note(f'engine {self.id} killed')
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, self.world.store.remove, f'servers/{self.id}'
        )


class World:
    """A store, engines and machines, all on loopback addresses."""

    def __init__(self, case_folder):
        self.case_folder = pathlib.Path(case_folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.record = (self.case_folder / 'record.txt').open('w', buffering=1)
        # Each run has a loopback network of its own.
        self.net = random.randrange(10, 250)
        self.start_s = time.time()
        self.version = 6
        # Further routes of the configuration.
        self.routes = []
        self.engines = []
        self.machines = []
        self.front_addresses = []
        self.ready_addresses = []

    def note(self, text):
        self.record.write(f'{time.time() - self.start_s:8.3f} {text}\n')

    async def start(
        self, machines=1, pool=2, app=2, engine_options=(), **settings
    ):
        self.store = Store()
        await self.store.start(f'127.{self.net}.3.1')
        self.publish()
        for index in range(pool):
            await self._add_engine(f'p{index}', POOL, engine_options)
        for index in range(app):
            await self._add_engine(f'a{index}', APP, engine_options)
        hosts = [f'127.{self.net}.1.{i + 1}' for i in range(machines)]
        ports = [[free_port(host) for _ in range(3)] for host in hosts]
        seeds = ','.join(
            f'{host}:{port[2]}' for host, port in zip(hosts, ports)
        )
        for index, (host, port) in enumerate(zip(hosts, ports)):
            self._write_settings(index, host, port, seeds, settings)
            self.front_addresses.append(f'{host}:{port[0]}')
            self.ready_addresses.append(f'{host}:{port[1]}')
            self.machines.append(await self._start_machine(index))
        for index in range(machines):
            await self.wait_ready(index)
        await asyncio.sleep(1.5)

    def publish(self):
        """Publishes the next configuration; returns the time of the ack."""
        self.version += 3
        return self.store.put(
            'op/config', configuration(self.version, self.routes)
        )

    async def _add_engine(self, name, service, options):
        engine = EngineProcess(self, name, service, len(self.engines))
        engine.options = list(options)
        self.engines.append(engine)
        await engine.start()

    def _write_settings(self, index, host, ports, seeds, changes):
        fields = {
            'node': f'edge-{ZONE}-{index + 1}', 'role': 'entry',
            'machineClass': 'edge', 'serves': 'edge,control_plane',
            'ip': host, 'zone': ZONE, 'region': 'dk-vest',
            f'zones.{ZONE}': 'dk-vest',
            'listen.front': f'{host}:{ports[0]}',
            'listen.readiness': f'{host}:{ports[1]}',
            'listen.control': f'{host}:{ports[2]}',
            'seeds': seeds, 'bootstrap': 'true', 'lossCounts': 'false',
            'limits.cpuShare': '0.537', 'limits.cores': '2',
            'limits.memoryMb': '300', 'limits.maxFds': '4100',
            'limits.linkMbps': '1000.0', 'limits.diskMb': '0',
            'discovery': 'platform', 'entry': 'vip', 'heartbeatMs': '1200',
            'bounds.stableWindowMs': '3000', 'bounds.ackMs': '4000',
            'bounds.drainMs': '2000', 'bounds.graceS': '8',
            'bounds.lossSlackMs': '200', 'bounds.configApplyMs': '2000',
            'bounds.rollbackSlackMs': '250', 'bounds.outerMs': '5000',
            'bounds.revokeStrict': 'true', 'bounds.revokeMs': '5000',
            'bounds.retryBudgetRatio': '0.2', 'bounds.budgetWindowS': '10',
            'bounds.budgetSlack': '104', 'bounds.evacuateMs': '5000',
            'bounds.recoveryS': '12', 'bounds.passMs': '120',
            'bounds.freeMs': '4000', 'bounds.idleMaxMs': '9000',
            'platform.address': self.store.address, 'platform.form': 'read',
            'platform.readsPerS': '2000', 'platform.historyS': '20',
            **changes,
        }
        (self.folder / f'machine-{index}.conf').write_text(
            ''.join(f'{name}={value}\n' for name, value in fields.items())
        )

    async def _start_machine(self, index):
        # The run command of deploy/system.toml.
        with (ROOT / 'deploy' / 'system.toml').open() as deploy:
            line = next(line for line in deploy if line.startswith('run'))
        command = line.split('"')[1].split(' ')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['GALENAQUAY_CONFIG'] = str(
            self.folder / f'machine-{index}.conf'
        )
        log = (self.folder / f'machine-{index}.log').open('ab')
        return await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )

    async def wait_ready(self, index, seconds=15.0):
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            try:
                reader, writer = await open_channel(
                    self.ready_addresses[index])
                writer.write(
                    b'GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n')
                start, _ = await read_head(reader)
                writer.close()
                if ' 200 ' in start:
                    return
            except (OSError, EOFError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun('a machine is not ready')

    def runs(self):
        """Returns what the engines ran, as they wrote it down."""
        path = self.folder / 'engines.log'
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines()]

    def machine_log(self, index=0):
        return (self.folder / f'machine-{index}.log').read_text()

    async def stop(self):
        for process in [*self.machines, *(e.process for e in self.engines)]:
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for entry in self.runs():
            self.record.write(json.dumps(entry) + '\n')
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be run."""


def run_case(folder, case):
    """Runs `case(world, has_trouble)`; exits with its result.

    The case returns the list of breaches that it saw.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'

    async def main():
        world = World(folder)
        world.note(f'trouble: {has_trouble}')
        try:
            async with asyncio.timeout(110):
                breaches = await case(world, has_trouble)
        except (CannotRun, TimeoutError, OSError) as exc:
            world.note(f'cannot run: {type(exc).__name__} {exc}')
            return 2
        finally:
            await world.stop()
        for breach in breaches:
            world.note(f'BROKEN {breach}')
            print('BROKEN', breach)
        world.note('the rule was broken' if breaches else 'the rule held')
        print('the rule was broken' if breaches else 'the rule held')
        return 1 if breaches else 0

    sys.exit(asyncio.run(main()))


if __name__ == '__main__':
    parser = argparse.ArgumentParser()
    parser.add_argument('what', choices=['engine'])
    parser.add_argument('--host')
    parser.add_argument('--port', type=int)
    parser.add_argument('--id')
    parser.add_argument('--log')
    parser.add_argument('--stream', action='store_true')
    parser.add_argument('--long-pause-s', type=float, default=0.0)
    parser.add_argument('--reads-late', action='store_true')
    parser.add_argument('--window-bytes', type=int, default=0)
    parser.add_argument('--segment-bytes', type=int, default=0)
    parser.add_argument('--answers-early', action='store_true')
    parser.add_argument('--deadly-part')
    asyncio.run(run_engine(parser.parse_args()))
