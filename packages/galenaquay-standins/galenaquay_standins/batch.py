"""Simulated batch of the engine stand-in.

Models memory, chunked prefill, decode and cold start in steps, like an engine
with continuous batching. The module `engine` handles HTTP.
"""

import asyncio
import dataclasses
import enum
from typing import Final

# Maximum number of prompt tokens that one step prefills.
CHUNK_TOKENS: Final = 2048
# Duration of a step without any work, in engine seconds.
STEP_BASE_S: Final = 0.012
# Time added to a step for each decoding sequence, in engine seconds.
DECODE_STEP_S: Final = 0.0002
# Maximum number of concurrent sequences on a cold engine.
COLD_MAX_SEQUENCES: Final = 2
# Maximum sum of prompt tokens of concurrent sequences on a cold engine. A
# single sequence may exceed it.
COLD_MAX_PROMPT_TOKENS: Final = 16_000
# Factor by which a step takes longer on a cold engine.
COLD_SLOWDOWN: Final = 4.0
# Maximum number of prompts in the prefix cache.
MAX_CACHED_PROMPTS: Final = 256


class Phase(enum.Enum):
    """Phase of a sequence; HOLD keeps a prefilled part in memory."""

    PREFILL = 'prefill'
    DECODE = 'decode'
    HOLD = 'hold'
    ENDED = 'ended'


@dataclasses.dataclass(eq=False)
class Sequence:
    """One request in the batch."""

    request_id: str
    attempt: int
    # Length of the prompt or part, in tokens.
    prompt_tokens: int
    max_tokens: int
    priority: int
    grant: str
    # Offset of the first token to generate. An earlier attempt has already
    # sent the tokens before it.
    resume_offset: int = 0
    # Whether the sequence is one part of a prompt that is split over several
    # engines. A part keeps its memory after prefill and generates no tokens.
    is_part: bool = False
    # Number of prompt tokens in memory. Starts at the number of tokens that
    # were found in the prefix cache.
    prefilled: int = 0
    generated: int = 0
    phase: Phase = Phase.PREFILL
    # Offsets of generated tokens; for a part, 0 once its prefill is complete.
    # None ends the stream and False aborts it.
    output_queue: asyncio.Queue[int | None | bool] = dataclasses.field(
        default_factory=asyncio.Queue
    )

    @property
    def held_tokens(self) -> int:
        """Memory that the sequence occupies, in tokens."""
        return self.prefilled + self.generated


@dataclasses.dataclass
class Counters:
    """Counters that tests and benchmarks read after a run."""

    overruns: int = 0
    cold_over_limit: int = 0
    peak_held_tokens: int = 0
    started: int = 0
    completed: int = 0
    cancelled: int = 0
    generated_tokens: int = 0


class Batch:
    """Continuous batching in steps; the engine restarts if memory overruns."""

    # Memory, in tokens.
    capacity_tokens: int
    # Prefill rate, in tokens an engine second.
    prefill_tokens_s: float
    # Engine seconds that pass in one wall-clock second.
    time_scale: float
    # Number of starts of the engine, including the first.
    incarnation: int

    def __init__(
        self,
        capacity_tokens: int,
        prefill_tokens_s: float,
        time_scale: float,
        *,
        cold: bool = False,
        warm_up_s: float = 20.0,
    ) -> None:
        self.capacity_tokens = capacity_tokens
        self.prefill_tokens_s = prefill_tokens_s
        self.time_scale = time_scale
        self.incarnation = 1
        self.counters = Counters()
        self.sequences: list[Sequence] = []
        self.paused = False
        self.warm_up_remaining_s = warm_up_s if cold else 0.0
        self._warm_up_s = warm_up_s
        self._wake = asyncio.Event()
        self._prefixes: dict[int, int] = {}

    @property
    def is_cold(self) -> bool:
        """Whether the engine is still warming up."""
        return self.warm_up_remaining_s > 0

    @property
    def held_tokens(self) -> int:
        """Memory in use, in tokens."""
        return sum(s.held_tokens for s in self.sequences)

    @property
    def backlog_tokens(self) -> int:
        """Prompt tokens not yet prefilled."""
        return sum(
            s.prompt_tokens - s.prefilled
            for s in self.sequences
            if s.phase is Phase.PREFILL
        )

    def add(self, sequence: Sequence) -> None:
        """Adds a request; a cold engine restarts above its limits."""
        self.counters.started += 1
        self.sequences.append(sequence)
        if self.is_cold and self._is_over_cold_limit():
            self.counters.cold_over_limit += 1
            self.restart()
        self._wake.set()

    def _is_over_cold_limit(self) -> bool:
        if len(self.sequences) > COLD_MAX_SEQUENCES:
            return True
        prompt = sum(s.prompt_tokens for s in self.sequences)
        return len(self.sequences) > 1 and prompt > COLD_MAX_PROMPT_TOKENS

    def find(self, request_id: str, attempt: int) -> Sequence | None:
        """Returns the sequence of an attempt, or None if there is none."""
        for sequence in self.sequences:
            if (sequence.request_id, sequence.attempt) == (
                request_id,
                attempt,
            ):
                return sequence
        return None

    def remove(self, sequence: Sequence) -> None:
        """Frees a sequence's memory; does nothing if it has ended."""
        if sequence.phase is Phase.ENDED:
            return
        sequence.phase = Phase.ENDED
        self.sequences.remove(sequence)

    def cache_prompt(self, prefix_digest: int, tokens: int) -> int:
        """Caches a prompt; returns how many of its tokens were cached before.

        At least one token remains to be prefilled.
        """
        cached = min(self._prefixes.pop(prefix_digest, 0), tokens - 1)
        self._prefixes[prefix_digest] = tokens
        if len(self._prefixes) > MAX_CACHED_PROMPTS:
            self._prefixes.pop(next(iter(self._prefixes)))
        return max(0, cached)

    def go_cold(self) -> None:
        """Makes the engine cold without announcing it."""
        self.warm_up_remaining_s = self._warm_up_s

    def restart(self) -> None:
        """Aborts all sequences and restarts the engine, empty and cold."""
        for sequence in list(self.sequences):
            self.remove(sequence)
            sequence.output_queue.put_nowait(False)
        self._prefixes.clear()
        self.incarnation += 1
        self.go_cold()

    async def run(self) -> None:
        """Runs steps until the task is cancelled."""
        while True:
            if not self.sequences or self.paused:
                self._wake.clear()
                await self._wait_for_work()
                continue
            step_s = self._run_step()
            await asyncio.sleep(step_s / self.time_scale)

    async def _wait_for_work(self) -> None:
        idle_s = 0.05
        try:
            await asyncio.wait_for(self._wake.wait(), idle_s)
        except TimeoutError:
            self._advance_warm_up(idle_s * self.time_scale)
            if self.paused:
                await asyncio.sleep(idle_s)

    def _advance_warm_up(self, elapsed_s: float) -> None:
        if self.is_cold:
            self.warm_up_remaining_s = max(
                0.0, self.warm_up_remaining_s - elapsed_s
            )

    def _run_step(self) -> float:
        prefilled = self._run_prefill()
        decoded = self._run_decode()
        step_s = STEP_BASE_S + decoded * DECODE_STEP_S
        step_s += prefilled / self.prefill_tokens_s
        held_tokens = self.held_tokens
        self.counters.peak_held_tokens = max(
            self.counters.peak_held_tokens, held_tokens
        )
        if held_tokens > self.capacity_tokens:
            self.counters.overruns += 1
            self.restart()
        if self.is_cold:
            step_s *= COLD_SLOWDOWN
        self._advance_warm_up(step_s)
        return step_s

    def _run_prefill(self) -> int:
        budget = CHUNK_TOKENS
        queue = [s for s in self.sequences if s.phase is Phase.PREFILL]
        queue.sort(key=lambda s: s.priority)
        for sequence in queue:
            if budget <= 0:
                break
            chunk = min(budget, sequence.prompt_tokens - sequence.prefilled)
            sequence.prefilled += chunk
            budget -= chunk
            if sequence.prefilled >= sequence.prompt_tokens:
                self._end_prefill(sequence)
        return CHUNK_TOKENS - budget

    def _end_prefill(self, sequence: Sequence) -> None:
        if not sequence.is_part:
            sequence.phase = Phase.DECODE
            sequence.generated = sequence.resume_offset
            return
        sequence.phase = Phase.HOLD
        sequence.output_queue.put_nowait(0)

    def _run_decode(self) -> int:
        decoding = [s for s in self.sequences if s.phase is Phase.DECODE]
        for sequence in decoding:
            if sequence.generated < sequence.max_tokens:
                sequence.output_queue.put_nowait(sequence.generated)
                sequence.generated += 1
                self.counters.generated_tokens += 1
            if sequence.generated >= sequence.max_tokens:
                self.remove(sequence)
                self.counters.completed += 1
                sequence.output_queue.put_nowait(None)
        return len(decoding)
