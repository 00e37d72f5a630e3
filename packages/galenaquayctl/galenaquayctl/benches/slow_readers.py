"""`bench slow-readers`: memory that a VM uses for clients that do not read.

A thousand slow clients request long responses from one VM and read nothing.
The time between tokens of fifty fast clients is measured before and meanwhile.
Afterwards the slow clients read their responses to the end, and every token is
checked.
"""

import asyncio
import dataclasses
import pathlib
import socket
import tempfile
import time
from typing import Any, Final

from galenaquay_standins import answers
from galenaquay_standins import deployments
from galenaquay_standins import fleet as fleets
import orjson
import psutil

from .. import clients
from .. import loads
from . import registry

FIRST_PORT: Final = 29000
TIME_SCALE: Final = 10.0
SLOW_READERS: Final = 1000
FAST_READERS: Final = 50
# Output length of a slow reader, in tokens. The response is several times as
# large as the part that the VM may buffer (`MAX_HELD_BYTES`).
SLOW_TOKENS: Final = 3000
FAST_TOKENS: Final = 150
# Receive buffer of a slow reader's socket, in bytes.
RECEIVE_BUFFER_BYTES: Final = 4096
# Longest time until the streams of all slow readers are paused, in seconds.
PAUSE_TIMEOUT_S: Final = 240.0
POLL_INTERVAL_S: Final = 0.25
PERCENTILE: Final = 95.0
# Largest mean number of response bytes that a VM may hold for a slow reader.
MAX_HELD_BYTES: Final = 64 * 1024
# Largest number of response bytes that a VM may hold for all slow readers.
MAX_TOTAL_HELD_BYTES: Final = 32 * 1024 * 1024
ONE_ENGINE: Final = dataclasses.replace(
    deployments.VAKALOLOMA, zones=('lautoka',), engines=1, services=0, vms=1
)


@dataclasses.dataclass
class SlowReader:
    """A client that reads its response only when `read_all` is called."""

    prompt: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    # Size of the response in bytes, set after `read_all`.
    response_bytes: int = 0

    async def read_all(self) -> str:
        """Reads the response to its end and returns its text."""
        data = bytearray()
        while chunk := await self.reader.read(65536):
            data += chunk
            if b'data: [DONE]' in data[-64:]:
                break
        self.writer.close()
        self.response_bytes = len(data)
        return _parse_text(bytes(data))


def _parse_text(data: bytes) -> str:
    """Returns the text of the events of a complete response."""
    texts: list[str] = []
    for line in data.split(b'\n'):
        if line.startswith(b'data: {'):
            event = orjson.loads(line.removeprefix(b'data: '))
            if 'choices' in event:
                texts.append(event['choices'][0]['text'])
    return ''.join(texts)


async def start_slow_reader(
    port: int, number: int, account: str
) -> SlowReader:
    """Sends a request without reading the response."""
    prompt = f'Slow reader {number}: read me the whole archive.'
    body = orjson.dumps(
        {
            'model': 'archive',
            'prompt': prompt,
            'max_tokens': SLOW_TOKENS,
            'stream': True,
        }
    )
    key = deployments.account_key(account)
    head = (
        'POST /v1/completions HTTP/1.0\r\nHost: entry\r\n'
        f'Authorization: Bearer {key}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    client_socket = socket.socket()
    client_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    client_socket.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(client_socket, (deployments.HOST, port))
    # With a small limit, the stream reader stops reading from the socket once
    # its own buffer is full.
    reader, writer = await asyncio.open_connection(
        sock=client_socket, limit=RECEIVE_BUFFER_BYTES
    )
    writer.write(head.encode() + body)
    return SlowReader(prompt, reader, writer)


async def _measure_fast_readers(fleet: fleets.Fleet, seed: int) -> float:
    """Returns the 95th percentile of the time between tokens, in seconds.

    Sends the requests of all fast readers at once.
    """
    result = loads.Result()
    async with asyncio.TaskGroup() as group:
        for number in range(FAST_READERS):
            group.create_task(_read_fast(fleet, seed + number, result))
    return result.inter_token_s(PERCENTILE)


async def _read_fast(
    fleet: fleets.Fleet, number: int, result: loads.Result
) -> None:
    prompt = clients.Prompt(
        'question',
        f'Fast reader {number}: when is it due?',
        FAST_TOKENS,
        deployments.account_key(ONE_ENGINE.accounts[0]),
    )
    last_s = 0.0
    stream = clients.stream(
        fleet.session, fleet.vm_url(0), prompt, clients.StreamState()
    )
    async for at_s, text in stream:
        if last_s:
            loads.record_inter_token_time(result, at_s - last_s, text)
        last_s = at_s


async def _wait_paused(fleet: fleets.Fleet) -> int:
    """Waits until the streams of all slow readers are paused.

    The engine holds no memory for a paused stream.

    Returns:
        The largest number of response bytes that the VM held.
    """
    engine = fleet.endpoints('engine')[0]['url']
    peak = 0
    until_s = time.monotonic() + PAUSE_TIMEOUT_S
    while time.monotonic() < until_s:
        status = await fleet.status(0)
        peak = max(peak, int(status['stream_bytes']))
        counted = await fleet.counters(engine)
        if counted['started'] >= SLOW_READERS and counted['held_tokens'] == 0:
            return peak
        await asyncio.sleep(POLL_INTERVAL_S)
    raise fleets.FleetError(
        'timed out waiting for the streams of all slow readers to pause'
    )


async def _drain_slow_readers(slow: list[SlowReader]) -> tuple[int, int, int]:
    """Reads the responses of the slow readers to their ends.

    Returns:
        The numbers of lost and of duplicated tokens, and the size of all
        responses in bytes.
    """
    lost = duplicated = total_bytes = 0
    texts = await asyncio.gather(*(reader.read_all() for reader in slow))
    for reader, text in zip(slow, texts):
        expected = answers.answer(reader.prompt.encode(), SLOW_TOKENS)
        total_bytes += reader.response_bytes
        if text == expected:
            continue
        received = len(text) // answers.TOKEN_BYTES
        lost += (
            max(1, SLOW_TOKENS - received) if received <= SLOW_TOKENS else 0
        )
        duplicated += max(0, received - SLOW_TOKENS)
    return lost, duplicated, total_bytes


async def _run(options: registry.Options) -> registry.Figures:
    with tempfile.TemporaryDirectory() as directory:
        fleet_options = fleets.FleetOptions(
            ONE_ENGINE,
            pathlib.Path(directory),
            base_port=FIRST_PORT,
            time_scale=TIME_SCALE,
            capacity_tokens=100_000_000,
        )
        fleet = fleets.Fleet(fleet_options)
        for endpoint in fleet.endpoints('engine'):
            endpoint['max_in_flight'] = 2 * (SLOW_READERS + FAST_READERS)
        async with fleet:
            return await _compare(fleet, options)


async def _compare(
    fleet: fleets.Fleet, options: registry.Options
) -> registry.Figures:
    pid = fleet.processes_by_name[deployments.vm_id(ONE_ENGINE, 0)].pid
    await _measure_fast_readers(fleet, options.seed)
    p95_alone_s = await _measure_fast_readers(fleet, options.seed)
    before = psutil.Process(pid).memory_info().rss
    port = fleet.ports.callers(0)
    slow = [
        await start_slow_reader(
            port, n, ONE_ENGINE.accounts[n % len(ONE_ENGINE.accounts)]
        )
        for n in range(SLOW_READERS)
    ]
    peak = await _wait_paused(fleet)
    grown = psutil.Process(pid).memory_info().rss - before
    p95_beside_s = await _measure_fast_readers(fleet, options.seed)
    lost, duplicated, total_bytes = await _drain_slow_readers(slow)
    figures: dict[str, Any] = {
        'readers': SLOW_READERS,
        'held_bytes_peak': peak,
        'held_bytes_per_reader': round(peak / SLOW_READERS),
        'rss_growth_bytes': grown,
        # The size of all responses: what a VM would hold if it read from
        # engines without a limit.
        'unbounded_baseline_bytes': total_bytes,
        'fast_p95_s_alone': round(p95_alone_s, 4),
        'fast_p95_s_beside': round(p95_beside_s, 4),
        'fast_p95_ratio': round(p95_beside_s / p95_alone_s, 3),
        'tokens_lost': lost,
        'tokens_twice': duplicated,
    }
    return figures


@registry.bench(
    'slow-readers',
    registry.Target('held_bytes_per_reader', '<=', MAX_HELD_BYTES),
    registry.Target('held_bytes_peak', '<=', MAX_TOTAL_HELD_BYTES),
    registry.Target('fast_p95_ratio', '<=', 1.1),
    registry.Target('tokens_lost', '<=', 0),
    registry.Target('tokens_twice', '<=', 0),
)
def run(options: registry.Options) -> registry.Figures:
    """Measures the memory that a VM uses for clients that read nothing."""
    return asyncio.run(_run(options))
