"""Strategies for prompts that do not fit into the memory of one engine.

Each route names its strategy. A request that the strategy cannot serve is
refused before it is run, with a failure that states the exceeded limit.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
import dataclasses
from typing import Final

from .. import codes
from .. import ids
from .. import tasks
from ..adapters import tracing
from . import bands
from ..configuration import documents
from ..limits import grants as grants_module
from ..outcomes import attempts as attempts_module
from ..outcomes import requests
from ..ports import callers
from ..ports import engine as engine_port
from ..streams import events
from ..streams import sinks

# Largest number of engines that one prompt is spread over.
MAX_GROUP_SIZE: Final = 8
# Label of engines that support context parallelism: such an engine can hold a
# part of a prompt for another engine.
PARALLEL_LABEL: Final = 'context-parallel'
# Output tokens that are generated for each segment of a segmented prompt.
SEGMENT_OUTPUT_TOKENS: Final = 64
# Length of a segment, as a share of the memory of the smallest engine.
SEGMENT_SHARE: Final = 0.5

Strategy = Callable[
    [
        attempts_module.Attempts,
        requests.Completion,
        callers.Sink,
        Sequence[documents.Endpoint],
    ],
    Awaitable[requests.AttemptResult],
]

STRATEGIES_BY_NAME: Final[dict[documents.LongPrompt, Strategy]] = {}


def strategy(
    name: documents.LongPrompt,
) -> Callable[[Strategy], Strategy]:
    """Registers a strategy under its name in the routes' configuration."""

    def register(function: Strategy) -> Strategy:
        STRATEGIES_BY_NAME[name] = function
        return function

    return register


def _too_long(
    request: requests.Completion, limit_tokens: int
) -> codes.Failure:
    return codes.failure(
        codes.Code.PROMPT_TOO_LONG,
        f'{request.tokens} tokens; the limit is {limit_tokens}',
    )


@strategy(documents.LongPrompt.REFUSE)
async def refuse(
    attempts: attempts_module.Attempts,
    request: requests.Completion,
    sink: callers.Sink,
    selected: Sequence[documents.Endpoint],
) -> requests.AttemptResult:
    """Refuses prompts that no single engine can hold."""
    return _too_long(request, max(e.capacity_tokens for e in selected))


@dataclasses.dataclass(eq=False)
class _Part:
    """A part of the prompt that one engine of a group holds."""

    held: grants_module.HeldGrant
    # Task that ends when the engine no longer holds the part.
    task: asyncio.Task[None]
    ready: asyncio.Event


@strategy(documents.LongPrompt.GROUP)
async def run_on_group(
    attempts: attempts_module.Attempts,
    request: requests.Completion,
    sink: callers.Sink,
    selected: Sequence[documents.Endpoint],
) -> requests.AttemptResult:
    """Spreads a prompt over engines that support context parallelism.

    Grants are acquired in order of the engines' ids, so that two groups cannot
    deadlock by waiting for each other's grants. If a grant is refused, the
    grants acquired for the group so far are released.
    """
    group = _choose_group(attempts, request, selected)
    if isinstance(group, codes.Failure):
        return group
    part_tokens = -(-request.prompt_tokens // len(group))
    attempt = request.attempt + 1
    parts: list[_Part] = []
    try:
        for endpoint in group[:-1]:
            held = await _acquire(
                attempts, request, endpoint, part_tokens, part_tokens
            )
            if isinstance(held, codes.Failure):
                return held
            parts.append(_start_part(attempts, request, held, part_tokens))
        held = await _acquire(
            attempts,
            request,
            group[-1],
            part_tokens + request.max_tokens,
            part_tokens,
        )
        if isinstance(held, codes.Failure):
            return held
        return await _run_leader(
            attempts, request, sink, held, part_tokens, parts
        )
    finally:
        for part in parts:
            part.task.cancel()
            attempts.grants.cancel(part.held, request.request_id, attempt)


def _choose_group(
    attempts: attempts_module.Attempts,
    request: requests.Completion,
    selected: Sequence[documents.Endpoint],
) -> list[documents.Endpoint] | codes.Failure:
    """Returns the smallest group that holds the prompt, sorted by id."""
    parallel = [e for e in selected if e.labels.get(PARALLEL_LABEL) == 'true']
    for size in range(2, min(MAX_GROUP_SIZE, len(parallel)) + 1):
        # The leader, the last engine of the sorted group, also holds the
        # output. Any engine may become the leader.
        needed_tokens = -(-request.prompt_tokens // size) + request.max_tokens
        large_enough = [
            e for e in parallel if e.capacity_tokens >= needed_tokens
        ]
        if len(large_enough) >= size:
            ordered = attempts.sort_engines(
                request, large_enough, needed_tokens
            )
            return sorted(ordered[:size], key=lambda e: e.id)
    limit = sum(e.capacity_tokens for e in parallel[:MAX_GROUP_SIZE])
    return _too_long(request, limit)


async def _acquire(
    attempts: attempts_module.Attempts,
    request: requests.Completion,
    endpoint: documents.Endpoint,
    tokens: int,
    prompt_tokens: int,
) -> grants_module.HeldGrant | codes.Failure:
    remaining_s = request.remaining_s()
    params = grants_module.GrantParams(
        request_id=request.request_id,
        attempt=request.attempt + 1,
        tokens=tokens,
        prompt_tokens=prompt_tokens,
        remaining_s=remaining_s,
        max_queue_wait_s=remaining_s * attempts_module.QUEUE_WAIT_SHARE,
    )
    with tracing.span('grant', request, endpoint=endpoint.id):
        return await attempts.grants.acquire(endpoint, params)


def _start_part(
    attempts: attempts_module.Attempts,
    request: requests.Completion,
    held: grants_module.HeldGrant,
    part_tokens: int,
) -> _Part:
    ready = asyncio.Event()
    run_request = attempts_module.build_run_request(
        request, held, {}, part_tokens
    )
    run_request = dataclasses.replace(run_request, attempt=request.attempt + 1)
    request.ran_on.append(ids.EndpointId(held.endpoint.id))
    task = tasks.start(
        _hold_part(attempts.engines, run_request, ready), 'part'
    )
    return _Part(held, task, ready)


async def _hold_part(
    engines: engine_port.Engines,
    run_request: engine_port.RunRequest,
    ready: asyncio.Event,
) -> None:
    hold = await engines.hold_part(run_request)
    if isinstance(hold, codes.Failure):
        return
    ready.set()
    try:
        await hold.wait_until_lost()
    finally:
        await hold.close()


class _PartsReadySink:
    """Delays the leader's output until every engine holds its part."""

    def __init__(self, sink: callers.Sink, parts: list[_Part]) -> None:
        self._sink = sink
        self._parts = parts

    async def write(self, data: bytes) -> bool:
        for part in self._parts:
            await part.ready.wait()
        return await self._sink.write(data)

    async def drain(self) -> None:
        await self._sink.drain()


async def _run_leader(
    attempts: attempts_module.Attempts,
    request: requests.Completion,
    sink: callers.Sink,
    held: grants_module.HeldGrant,
    part_tokens: int,
    parts: list[_Part],
) -> requests.AttemptResult:
    leader = asyncio.create_task(
        attempts.run_with_grant(
            request, _PartsReadySink(sink, parts), held, part_tokens
        )
    )
    try:
        await asyncio.wait(
            [leader, *(part.task for part in parts)],
            return_when=asyncio.FIRST_COMPLETED,
        )
        if leader.done():
            return leader.result()
        return codes.failure(codes.Code.ENGINE_BROKE, 'a part was lost')
    finally:
        if not leader.done():
            leader.cancel()
            await asyncio.wait([leader])


@strategy(documents.LongPrompt.SEGMENTED)
async def run_in_segments(
    attempts: attempts_module.Attempts,
    request: requests.Completion,
    sink: callers.Sink,
    selected: Sequence[documents.Endpoint],
) -> requests.AttemptResult:
    """Runs each segment of a prompt by itself, then their joined outputs.

    Each segment fits on one engine. The outputs of the segments are the prompt
    of a final run, whose output is the answer.
    """
    smallest_capacity = min(e.capacity_tokens for e in selected)
    segment_tokens = int(smallest_capacity * SEGMENT_SHARE)
    segments = split_prompt(request, segment_tokens)
    output_tokens = len(segments) * SEGMENT_OUTPUT_TOKENS
    if output_tokens + request.max_tokens > smallest_capacity:
        return _too_long(
            request,
            smallest_capacity * segment_tokens // SEGMENT_OUTPUT_TOKENS,
        )
    outputs = await asyncio.gather(
        *(
            _run_segment(attempts, request, selected, number, segment)
            for number, segment in enumerate(segments)
        )
    )
    texts: list[str] = []
    for output in outputs:
        if isinstance(output, codes.Failure):
            return output
        texts.append(output)
    return await _run_merged(attempts, request, sink, selected, ''.join(texts))


def split_prompt(
    request: requests.Completion, segment_tokens: int
) -> list[str]:
    """Splits a prompt into segments of about `segment_tokens` tokens.

    The length of a segment in characters is computed with the average number
    of characters per token of the whole prompt.
    """
    chars_per_token = len(request.prompt) / request.prompt_tokens
    size = max(1, int(segment_tokens * chars_per_token))
    text = request.prompt
    return [text[i : i + size] for i in range(0, len(text), size)]


async def _run_segment(
    attempts: attempts_module.Attempts,
    request: requests.Completion,
    selected: Sequence[documents.Endpoint],
    number: int,
    segment: str,
) -> str | codes.Failure:
    segment_request = _derived_request(
        request, f'segment{number}', segment, SEGMENT_OUTPUT_TOKENS
    )
    sink = sinks.CollectSink()
    result = await attempts.run(segment_request, sink, selected)
    request.ran_on.extend(segment_request.ran_on)
    if isinstance(result, codes.Failure):
        return result
    return events.extract_text(bytes(sink.data))


def _derived_request(
    request: requests.Completion, name: str, prompt: str, max_tokens: int
) -> requests.Completion:
    body = {k: v for k, v in request.body.items() if k != 'messages'}
    body['prompt'] = prompt
    body['max_tokens'] = max_tokens
    return dataclasses.replace(
        request,
        request_id=ids.RequestId(f'{request.request_id}-{name}'),
        body=body,
        is_chat=False,
        prompt=prompt,
        prompt_tokens=bands.estimate_tokens(len(prompt.encode())),
        max_tokens=max_tokens,
        attempt=0,
        offset=0,
        ran_on=[],
    )


async def _run_merged(
    attempts: attempts_module.Attempts,
    request: requests.Completion,
    sink: callers.Sink,
    selected: Sequence[documents.Endpoint],
    outputs: str,
) -> requests.AttemptResult:
    merged = _derived_request(request, 'merge', outputs, request.max_tokens)
    if request.is_chat:
        merged.is_chat = True
        message = {'role': 'user', 'content': outputs}
        merged.body = {**request.body, 'messages': [message]}
    merged.offset = request.offset
    try:
        return await attempts.run(merged, sink, selected)
    finally:
        request.offset = merged.offset
        request.attempt += merged.attempt
        request.ran_on.extend(merged.ran_on)
        request.first_token_at_s = merged.first_token_at_s
