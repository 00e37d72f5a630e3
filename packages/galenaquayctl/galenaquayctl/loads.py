"""Open-loop load generator for completions.

Requests arrive as a Poisson process, with prompts of mixed lengths and from
several client accounts. A load with the same parameters and the same seed
consists of the same requests. Each request is sent at its arrival time, even
if earlier requests have no response yet.
"""

import asyncio
from collections.abc import Callable, Iterator
import dataclasses
import math
import random
import time
from typing import Final

from galenaquay.routing import bands
from galenaquay_standins import answers

import aiohttp
from hdrh import histogram

from . import clients

# Largest latency that the histograms record, in microseconds.
MAX_LATENCY_US: Final = 3_600_000_000
# Precision of the histograms, in significant decimal digits.
SIGNIFICANT_DIGITS: Final = 3
MICROSECONDS_PER_SECOND: Final = 1e6


@dataclasses.dataclass(frozen=True)
class LengthRange:
    """A range of prompt lengths and its share of all prompts."""

    share: float
    low_tokens: int
    high_tokens: int


# The prompt lengths that the system is designed for: 1,000 to 1,000,000
# tokens, with one prompt in fifty longer than 100,000 tokens.
DESIGN_MIX: Final = (
    LengthRange(0.78, 1_000, 8_000),
    LengthRange(0.20, 8_001, 100_000),
    LengthRange(0.02, 100_001, 1_000_000),
)
SHORT_ONLY: Final = (LengthRange(1.0, 1_000, 8_000),)


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request of the load."""

    # Time from the start of the load to sending the request, in seconds.
    at_s: float
    # URL of the VM that receives the request.
    entry: str
    # API key of the client account.
    key: str
    route: str
    prompt_tokens: int
    max_tokens: int
    number: int


@dataclasses.dataclass(frozen=True)
class Plan:
    """The parameters of a load."""

    # URLs of the VMs that receive the requests.
    entries: tuple[str, ...]
    # API keys of the client accounts.
    keys: tuple[str, ...]
    # Mean number of requests per second.
    rate_s: float
    duration_s: float
    mix: tuple[LengthRange, ...]
    seed: int
    # Bounds of the requested output length, in tokens.
    min_output: int = 16
    max_output: int = 64
    # The route of short prompts and the route of all longer prompts. Routes
    # set deadlines, so longer prompts can have a later deadline.
    short_route: str = 'question'
    long_route: str = 'summary'


def draw_tokens(rng: random.Random, mix: tuple[LengthRange, ...]) -> int:
    """Draws the length of a prompt in tokens.

    The length is log-uniform within a range that is drawn by its share.
    """
    chosen = rng.choices(mix, [r.share for r in mix])[0]
    low, high = math.log(chosen.low_tokens), math.log(chosen.high_tokens)
    tokens = round(math.exp(rng.uniform(low, high)))
    return min(chosen.high_tokens, max(chosen.low_tokens, tokens))


def mean_tokens(mix: tuple[LengthRange, ...]) -> float:
    """Returns the mean prompt length of a mix, in tokens.

    The mean of a log-uniform distribution is (high - low) / ln(high / low).
    """
    return sum(
        r.share
        * (r.high_tokens - r.low_tokens)
        / math.log(r.high_tokens / r.low_tokens)
        for r in mix
    )


def arrivals(plan: Plan) -> Iterator[Arrival]:
    """Yields the requests of a load in the order of their arrival times."""
    rng = random.Random(plan.seed)
    at_s = 0.0
    number = 0
    while True:
        at_s += rng.expovariate(plan.rate_s)
        if at_s > plan.duration_s:
            return
        tokens = draw_tokens(rng, plan.mix)
        is_short = bands.band_of(tokens) is bands.Band.SHORT
        yield Arrival(
            at_s=at_s,
            entry=rng.choice(plan.entries),
            key=rng.choice(plan.keys),
            route=plan.short_route if is_short else plan.long_route,
            prompt_tokens=tokens,
            max_tokens=rng.randint(plan.min_output, plan.max_output),
            number=number,
        )
        number += 1


def prompt_text(arrival: Arrival, seed: int) -> str:
    """Returns the prompt of a request; prompts of a load all differ."""
    head = f'seed {seed} request {arrival.number}. '
    filler = 'The report is due on the last Friday of the month. '
    size = arrival.prompt_tokens * answers.TOKEN_BYTES
    return (head + filler * (size // len(filler) + 1))[:size]


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclasses.dataclass
class BandResult:
    """Counts and latencies of the requests of one band of prompt lengths."""

    ttft: histogram.HdrHistogram = dataclasses.field(
        default_factory=_new_histogram
    )
    completed: int = 0
    # Requests that failed without running at any endpoint (`NOT_RUN`).
    refused: int = 0
    # Requests that failed in any other way.
    failed: int = 0
    # Requests that exceeded their deadline. They also count as refused or as
    # failed.
    missed_time: int = 0
    # Completed requests whose text differed from the expected text.
    wrong: int = 0

    def ttft_s(self, percentile: float) -> float:
        """Returns a percentile of the time to first token, in seconds."""
        value = self.ttft.get_value_at_percentile(percentile)
        return float(value) / MICROSECONDS_PER_SECOND


@dataclasses.dataclass
class Result:
    """Counts and latencies of all requests of a load."""

    by_band: dict[bands.Band, BandResult] = dataclasses.field(
        default_factory=lambda: {band: BandResult() for band in bands.Band}
    )
    inter_token: histogram.HdrHistogram = dataclasses.field(
        default_factory=_new_histogram
    )
    # Number of requests that were not completed, by result code.
    codes: dict[str, int] = dataclasses.field(default_factory=dict)
    sent: int = 0
    ended: int = 0

    def inter_token_s(self, percentile: float) -> float:
        """Returns a percentile of the time between tokens, in seconds."""
        value = self.inter_token.get_value_at_percentile(percentile)
        return float(value) / MICROSECONDS_PER_SECOND

    def count(self, name: str) -> int:
        """Returns the sum of a counter of `BandResult` over all bands."""
        return sum(getattr(band, name) for band in self.by_band.values())


async def run(
    plan: Plan,
    progress: Callable[[Result], None] | None = None,
    on_response: Callable[[Arrival, clients.StreamState], None] | None = None,
) -> Result:
    """Sends a load and waits until every request has ended.

    Args:
        plan: The parameters of the load.
        progress: Called after each request that is sent.
        on_response: Called after each request that has ended.
    """
    result = Result()
    tasks: set[asyncio.Task[None]] = set()
    async with clients.session() as http_session:
        started_s = time.monotonic()
        for arrival in arrivals(plan):
            await asyncio.sleep(started_s + arrival.at_s - time.monotonic())
            result.sent += 1
            task = asyncio.create_task(
                _send(http_session, plan, arrival, result, on_response)
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            if progress is not None:
                progress(result)
        while tasks:
            await asyncio.wait(tasks)
    return result


async def _send(
    http_session: aiohttp.ClientSession,
    plan: Plan,
    arrival: Arrival,
    result: Result,
    on_response: Callable[[Arrival, clients.StreamState], None] | None,
) -> None:
    band = result.by_band[bands.band_of(arrival.prompt_tokens)]
    text = prompt_text(arrival, plan.seed)
    prompt = clients.Prompt(
        arrival.route, text, arrival.max_tokens, arrival.key
    )
    state = clients.StreamState()
    started_s = last_s = time.monotonic()
    texts: list[str] = []
    try:
        async for at_s, event_text in clients.stream(
            http_session, arrival.entry, prompt, state
        ):
            if not texts:
                state.ttft_s = at_s - started_s
                band.ttft.record_value(_to_microseconds(at_s - started_s))
            else:
                record_inter_token_time(result, at_s - last_s, event_text)
            last_s = at_s
            texts.append(event_text)
    except clients.ClientError as exc:
        state.error = {'type': 'CONNECTION', 'message': str(exc)}
    expected = answers.answer(text.encode(), arrival.max_tokens)
    _record_result(result, band, state, ''.join(texts) == expected)
    if on_response is not None:
        on_response(arrival, state)


def _to_microseconds(seconds: float) -> int:
    return max(1, round(seconds * MICROSECONDS_PER_SECOND))


def record_inter_token_time(
    result: Result, gap_s: float, event_text: str
) -> None:
    """Records the time between two stream events.

    The time is divided evenly over the tokens of the second event.
    """
    tokens = max(1, len(event_text) // answers.TOKEN_BYTES)
    for _ in range(tokens):
        result.inter_token.record_value(_to_microseconds(gap_s / tokens))


def _record_result(
    result: Result,
    band: BandResult,
    state: clients.StreamState,
    is_correct: bool,
) -> None:
    result.ended += 1
    if state.is_complete:
        band.completed += 1
        band.wrong += not is_correct
        return
    error = state.error or {'type': 'BROKEN'}
    name = str(error['type'])
    result.codes[name] = result.codes.get(name, 0) + 1
    if error.get('outcome') == 'NOT_RUN':
        band.refused += 1
    else:
        band.failed += 1
    band.missed_time += name == 'DEADLINE_EXCEEDED'
