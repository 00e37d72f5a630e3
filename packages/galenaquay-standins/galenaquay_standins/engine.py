"""HTTP server of the engine stand-in, as specified in docs/ENGINE-API.md.

Parses requests, adds them to the batch and streams the generated tokens. Tests
can make the engine restart, pause, turn cold, abort connections, delay its
responses or label them with a wrong request id.
"""

import asyncio
import dataclasses
import random
from typing import Any, Final

from aiohttp import web
import orjson

from . import answers
from . import batch as batches

# Age of the load report that `/engine/v1/load` returns, in engine seconds.
REPORT_LAG_S: Final = 1.0
# Length of the prompt prefix whose digest cache events carry, in bytes.
PREFIX_BYTES: Final = 256
# One in this many cache events is dropped, as on an engine that loses events.
CACHE_EVENT_DROP_PERIOD: Final = 10
# The largest request body, in bytes.
MAX_BODY_BYTES: Final = 64 * 1024 * 1024


@dataclasses.dataclass
class Faults:
    """Faults that the engine stand-in injects."""

    # Aborts the connection of each request except those to `/standin/`.
    cut: bool = False
    # Delay before a completion starts, in wall-clock seconds.
    late_s: float = 0.0
    # Share of completions labelled with a wrong request id, 0 to 1.
    crossed: float = 0.0
    # Delays cancel requests by an hour, as if they were lost.
    lose_cancels: bool = False
    # Restarts the engine after this many more streamed tokens; 0 disables it.
    die_after_events: int = 0


class Engine:
    """Engine stand-in: HTTP handlers in front of a simulated batch."""

    faults: Faults
    # Highest fencing number received. If `honours_fencing` is set, requests
    # with a lower number are rejected, except requests without a number. If
    # it is not set, fencing numbers are ignored.
    fencing_number: int
    honours_fencing: bool

    def __init__(
        self, batch: batches.Batch, *, honours_fencing: bool, seed: int
    ) -> None:
        self.batch = batch
        self.faults = Faults()
        self.fencing_number = 0
        self.honours_fencing = honours_fencing
        self.orders: list[dict[str, Any]] = []
        self._random = random.Random(seed)
        self._cache_events: list[dict[str, Any]] = []
        self._cache_sequence = 0
        self._exports: dict[str, dict[str, Any]] = {}
        self._reports: list[tuple[float, dict[str, Any]]] = []

    def app(self) -> web.Application:
        """Builds the engine's HTTP application."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES,
            middlewares=[self._abort_connections],
        )
        app.add_routes(
            [
                web.post('/v1/completions', self.complete),
                web.post('/v1/chat/completions', self.complete),
                web.post('/engine/v1/parts', self.hold_part),
                web.post('/engine/v1/cancel', self.cancel),
                web.get('/engine/v1/load', self.load),
                web.get('/engine/v1/holdings', self.holdings),
                web.get('/engine/v1/cache-events', self.cache_events),
                web.post('/engine/v1/kv/export', self.kv_export),
                web.post('/engine/v1/kv/import', self.kv_import),
                web.post('/engine/v1/orders', self.order),
                web.post('/standin/fault', self.set_fault),
                web.get('/standin/counters', self.counters),
            ]
        )
        app.cleanup_ctx.append(self._run_batch)
        return app

    async def _run_batch(self, app: web.Application) -> Any:
        tasks = [
            asyncio.create_task(self.batch.run()),
            asyncio.create_task(self._sample_reports()),
        ]
        yield
        for task in tasks:
            task.cancel()

    @web.middleware
    async def _abort_connections(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        if self.faults.cut and not request.path.startswith('/standin/'):
            if request.transport is not None:
                request.transport.abort()
            raise web.HTTPServiceUnavailable()
        response: web.StreamResponse = await handler(request)
        return response

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Serves one completion as server-sent events."""
        body = orjson.loads(await request.read())
        chat = request.path.startswith('/v1/chat')
        prompt = _prompt_text(body, chat).encode()
        extension = body.get('galenaquay', {})
        rejection = self._reject_stale(extension)
        if rejection is not None:
            return rejection
        sequence = self._create_sequence(body, extension, prompt)
        await asyncio.sleep(self.faults.late_s)
        self.batch.add(sequence)
        writer = _EventWriter(request, sequence, prompt, chat)
        if self._random.random() < self.faults.crossed:
            writer.label = f'{sequence.request_id}-crossed'
        # A client that disconnects does not free the memory of its request.
        # Only a cancel request or the end of generation does, as on many
        # engines.
        await self._stream(writer, sequence)
        return writer.response

    def _reject_stale(self, extension: dict[str, Any]) -> web.Response | None:
        number = int(extension.get('fencing_number', 0))
        if not self.honours_fencing or number == 0:
            return None
        if number < self.fencing_number:
            return web.json_response(
                {'error': {'code': 'stale_fencing_number'}}, status=409
            )
        self.fencing_number = number
        return None

    def _create_sequence(
        self, body: dict[str, Any], extension: dict[str, Any], prompt: bytes
    ) -> batches.Sequence:
        tokens = int(
            extension.get('part_tokens') or answers.count_tokens(prompt)
        )
        cached = 0
        if 'part_tokens' not in extension:
            cached = self._look_up_cache(prompt, tokens)
        return batches.Sequence(
            request_id=str(extension.get('request_id', '')),
            attempt=int(extension.get('attempt', 1)),
            prompt_tokens=tokens,
            prefilled=cached,
            max_tokens=int(body.get('max_tokens', 16)),
            priority=int(extension.get('priority', 0)),
            grant=str(extension.get('grant', '')),
            resume_offset=int(extension.get('resume_offset', 0)),
        )

    def _look_up_cache(self, prompt: bytes, tokens: int) -> int:
        prefix_digest = answers.digest(prompt[:PREFIX_BYTES])
        prompt_digest = answers.digest(prompt)
        cached = self.batch.cache_prompt(prompt_digest, tokens)
        self._cache_sequence += 1
        if self._cache_sequence % CACHE_EVENT_DROP_PERIOD:
            self._cache_events.append(
                {
                    'sequence': self._cache_sequence,
                    'prefix': f'{prefix_digest:016x}',
                    'tokens': tokens,
                }
            )
            del self._cache_events[: -batches.MAX_CACHED_PROMPTS]
        return cached

    async def _stream(
        self, writer: '_EventWriter', sequence: batches.Sequence
    ) -> None:
        await writer.start()
        while True:
            offsets, end = await _dequeue_output(sequence.output_queue)
            if offsets:
                await writer.tokens(offsets)
                self._restart_if_due(len(offsets))
            if end is False:
                writer.abort()
                return
            if end is None:
                await writer.end()
                return

    def _restart_if_due(self, events: int) -> None:
        if self.faults.die_after_events:
            self.faults.die_after_events -= events
            if self.faults.die_after_events <= 0:
                self.faults.die_after_events = 0
                self.batch.restart()

    async def hold_part(self, request: web.Request) -> web.StreamResponse:
        """Prefills one part of a prompt that is split over several engines.

        The part's KV cache stays in memory until the part is cancelled.
        """
        body = orjson.loads(await request.read())
        rejection = self._reject_stale(body)
        if rejection is not None:
            return rejection
        sequence = batches.Sequence(
            request_id=str(body['request_id']),
            attempt=int(body['attempt']),
            prompt_tokens=int(body['part_tokens']),
            max_tokens=0,
            priority=int(body.get('priority', 0)),
            grant=str(body.get('grant', '')),
            is_part=True,
        )
        self.batch.add(sequence)
        response = web.StreamResponse()
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        state = await sequence.output_queue.get()
        if state is not False:
            await response.write(b'data: {"state":"ready"}\n\n')
            state = await sequence.output_queue.get()
        if state is False and request.transport is not None:
            request.transport.abort()
        return response

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancels a request and frees its memory; idempotent."""
        body = orjson.loads(await request.read())
        if self.faults.lose_cancels:
            await asyncio.sleep(3600)
        sequence = self.batch.find(
            str(body['request_id']), int(body['attempt'])
        )
        if sequence is not None:
            self.batch.remove(sequence)
            self.batch.counters.cancelled += 1
            sequence.output_queue.put_nowait(None)
        return web.json_response(
            {
                'cancelled': sequence is not None,
                'incarnation': self.batch.incarnation,
            }
        )

    async def _sample_reports(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._reports.append((loop.time(), self._report()))
            del self._reports[:-200]
            await asyncio.sleep(0.1)

    def _report(self) -> dict[str, Any]:
        return {
            'incarnation': self.batch.incarnation,
            'held_tokens': self.batch.held_tokens,
            'backlog_tokens': self.batch.backlog_tokens,
            'running': len(self.batch.sequences),
            'cold': self.batch.is_cold,
            'orders': self.orders[-8:],
        }

    async def load(self, request: web.Request) -> web.Response:
        """Returns a load report that is `REPORT_LAG_S` old."""
        now = asyncio.get_running_loop().time()
        lag_s = REPORT_LAG_S / self.batch.time_scale
        chosen = self._reports[0] if self._reports else (now, self._report())
        for sampled in self._reports:
            if sampled[0] <= now - lag_s:
                chosen = sampled
        age_ms = int((now - chosen[0]) * 1000)
        return web.json_response({**chosen[1], 'age_ms': age_ms})

    async def holdings(self, request: web.Request) -> web.Response:
        """Lists the requests in the batch and each one's memory in tokens."""
        held = [
            {
                'request_id': s.request_id,
                'attempt': s.attempt,
                'tokens': s.held_tokens,
                'grant': s.grant,
            }
            for s in self.batch.sequences
        ]
        return web.json_response(
            {'incarnation': self.batch.incarnation, 'holdings': held}
        )

    async def cache_events(self, request: web.Request) -> web.Response:
        """Lists cache events after a sequence number.

        Dropped events leave gaps in the sequence numbers.
        """
        after = int(request.query.get('after', '0'))
        events = [e for e in self._cache_events if e['sequence'] > after]
        return web.json_response({'events': events})

    async def kv_export(self, request: web.Request) -> web.Response:
        """Records an export of a request's KV cache, its owner and expiry."""
        body = orjson.loads(await request.read())
        sequence = self.batch.find(
            str(body['request_id']), int(body['attempt'])
        )
        if sequence is None:
            raise web.HTTPNotFound()
        export_id = f'{sequence.request_id}.{sequence.attempt}'
        self._exports[export_id] = {
            'export_id': export_id,
            'tokens': sequence.held_tokens,
            'owner': body.get('owner', ''),
            'expiry_s': float(body.get('expiry_s', 30)),
        }
        return web.json_response(self._exports[export_id])

    async def kv_import(self, request: web.Request) -> web.Response:
        """Adds exported tokens to the prefix cache for a later request."""
        body = orjson.loads(await request.read())
        tokens = int(body['tokens'])
        self.batch.cache_prompt(int(body['digest']), tokens)
        return web.json_response({'imported_tokens': tokens})

    async def order(self, request: web.Request) -> web.Response:
        """Records an order to load a model or adapter or change the role."""
        body = orjson.loads(await request.read())
        rejection = self._reject_stale(body)
        if rejection is not None:
            return rejection
        self.orders.append(body)
        return web.json_response({'accepted': True})

    async def set_fault(self, request: web.Request) -> web.Response:
        """Carries out the given action and updates the injected faults."""
        body = orjson.loads(await request.read())
        action = body.pop('action', None)
        if action == 'die':
            self.batch.restart()
        elif action == 'go_cold':
            self.batch.go_cold()
        elif action in ('pause', 'unpause'):
            self.batch.paused = action == 'pause'
        self.faults = dataclasses.replace(self.faults, **body)
        return web.json_response(dataclasses.asdict(self.faults))

    async def counters(self, request: web.Request) -> web.Response:
        """Returns the batch's counters and its memory in use, in tokens."""
        counted = dataclasses.asdict(self.batch.counters)
        held = {'held_tokens': self.batch.held_tokens}
        return web.json_response({**counted, **held})


class _EventWriter:
    """Writes one completion as server-sent events."""

    # Request id in the events; a wrong id if `Faults.crossed` applies.
    label: str

    def __init__(
        self,
        request: web.Request,
        sequence: batches.Sequence,
        prompt: bytes,
        chat: bool,
    ) -> None:
        self.response = web.StreamResponse()
        self.label = sequence.request_id
        self._request = request
        self._sequence = sequence
        self._digest = answers.digest(prompt)
        self._chat = chat

    async def start(self) -> None:
        self.response.content_type = 'text/event-stream'
        await self.response.prepare(self._request)

    async def tokens(self, offsets: list[int]) -> None:
        text = ''.join(answers.token(self._digest, i) for i in offsets)
        await self._write(offsets[0], len(offsets), self._choice(text, None))

    async def end(self) -> None:
        sequence = self._sequence
        body = self._choice('', 'length')
        body['usage'] = {
            'prompt_tokens': sequence.prompt_tokens,
            'completion_tokens': sequence.generated,
            'total_tokens': sequence.prompt_tokens + sequence.generated,
        }
        await self._write(sequence.generated, 0, body)

    def abort(self) -> None:
        if self._request.transport is not None:
            self._request.transport.abort()

    def _choice(self, text: str, reason: str | None) -> dict[str, Any]:
        choice: dict[str, Any] = {'index': 0, 'finish_reason': reason}
        if self._chat:
            choice['delta'] = {'content': text}
        else:
            choice['text'] = text
        kind = 'chat.completion.chunk' if self._chat else 'text_completion'
        return {'id': self.label, 'object': kind, 'choices': [choice]}

    async def _write(
        self, offset: int, count: int, body: dict[str, Any]
    ) -> None:
        head = f'id: {self.label}/{self._sequence.attempt}/{offset}/{count}\n'
        data = b'data: ' + orjson.dumps(body) + b'\n\n'
        try:
            await self.response.write(head.encode() + data)
        except ConnectionError:
            # The client disconnected. The sequence stays in the batch until
            # it ends or is cancelled.
            return


def _prompt_text(body: dict[str, Any], chat: bool) -> str:
    if not chat:
        return str(body['prompt'])
    return '\n'.join(str(m['content']) for m in body['messages'])


async def _dequeue_output(
    output_queue: asyncio.Queue[int | None | bool],
) -> tuple[list[int], int | None | bool]:
    """Waits for output; returns the queued token offsets and the end marker.

    The end marker is 0 while the sequence is still generating, None after its
    normal end and False after a restart of the engine.
    """
    offsets: list[int] = []
    item = await output_queue.get()
    while True:
        if item is None or item is False:
            return offsets, item
        offsets.append(item)
        if output_queue.empty():
            return offsets, 0
        item = output_queue.get_nowait()


def create_engine(
    capacity_tokens: int,
    prefill_tokens_s: float,
    time_scale: float,
    *,
    cold: bool = False,
    honours_fencing: bool = True,
    seed: int = 0,
) -> Engine:
    """Creates an engine stand-in of the given memory and prefill rate."""
    batch = batches.Batch(
        capacity_tokens, prefill_tokens_s, time_scale, cold=cold
    )
    return Engine(batch, honours_fencing=honours_fencing, seed=seed)
