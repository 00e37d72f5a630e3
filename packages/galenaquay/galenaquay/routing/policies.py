"""Policies that rank engines for a request, in a registry by name.

The default policy is `estimate`. The other policies are baselines for
benchmarks. The module `candidates` selects the engines that are ranked.
"""

from collections.abc import Callable, Sequence
import dataclasses
import random
from typing import Final

from .. import ids
from . import bands
from ..configuration import documents
from ..engines import state as engine_states
from ..membership import view as views

# Engines whose scores exceed the best score by at most this are treated as
# equally good, in seconds.
TIE_TOLERANCE_S: Final = 0.01
# Added to the score of an engine in another zone, in seconds.
OTHER_ZONE_PENALTY_S: Final = 0.02
# Added to the score of an engine without a recent load report, in seconds.
UNKNOWN_LOAD_PENALTY_S: Final = 0.5
# Added to the score of an engine in cold start, in seconds.
COLD_PENALTY_S: Final = 5.0
# Added to the score of an engine that is unreachable, lacks free memory for
# the request or is reserved for prompts of another length, in seconds.
UNSUITABLE_PENALTY_S: Final = 10.0
# Share of the engines that are reserved for short prompts.
SHORT_RESERVED_SHARE: Final = 0.2
# Added to an engine's score for a medium or long prompt, in seconds, for each
# engine before it in the order of ids. Concentrates such prompts on few
# engines.
FILL_ORDER_PENALTY_S: Final = 0.02
# Prompt tokens that an engine prefills in one step. A short prompt may have to
# wait for one such step of a medium or long prompt.
PREFILL_CHUNK_TOKENS: Final = 2048
# Number of engines that are asked whether they are idle before the request is
# queued at one of them.
IDLE_PROBES: Final = 3
# Largest number of engines that are scored for one request.
MAX_SCORED: Final = 32
# Smallest number of scored engines that are sampled from all zones.
MIN_SCORED_FROM_ALL_ZONES: Final = 4
# Share of the engines that the policy `first-version` uses for medium and long
# prompts.
FIRST_VERSION_LONG_SHARE: Final = 0.25
# Added by the policy `first-version` to the score, for a short prompt, of an
# engine for medium and long prompts, in seconds.
FIRST_VERSION_LONG_ENGINE_PENALTY_S: Final = 0.1


@dataclasses.dataclass(frozen=True)
class RoutingRequest:
    """The properties of a request by which a policy ranks engines."""

    route: documents.Route
    prompt_tokens: int
    # Memory that the request needs for prompt and output, in tokens.
    tokens: int
    # The zone of the entry process.
    zone: ids.ZoneName


class PolicyState:
    """The state that policies use: loads, random numbers and counters."""

    def __init__(self, view: views.View, seed: int) -> None:
        self.view = view
        self.random = random.Random(seed)
        # Number of requests of this process in flight at each engine.
        self.in_flight_by_endpoint: dict[ids.EndpointId, int] = {}
        # Number of requests ranked so far by `round_robin`.
        self.round_robin_count = 0

    def request_started(self, endpoint_id: ids.EndpointId) -> None:
        """Counts a request that this process has sent to an engine."""
        count = self.in_flight_by_endpoint.get(endpoint_id, 0)
        self.in_flight_by_endpoint[endpoint_id] = count + 1

    def request_ended(self, endpoint_id: ids.EndpointId) -> None:
        """Removes a request that has ended from the engine's count."""
        count = self.in_flight_by_endpoint.get(endpoint_id, 0)
        self.in_flight_by_endpoint[endpoint_id] = max(0, count - 1)


RankingFunction = Callable[
    [PolicyState, RoutingRequest, Sequence[documents.Endpoint]],
    Sequence[documents.Endpoint],
]


@dataclasses.dataclass(frozen=True)
class Policy:
    """A ranking function, and how ranked engines are asked for a grant."""

    order: RankingFunction
    # Number of engines that are asked whether they are idle before the request
    # is queued at one of them.
    probes: int
    # Whether requests are queued in order of arrival, without priorities.
    is_fifo: bool


POLICIES_BY_NAME: Final[dict[str, Policy]] = {}


def policy(
    name: str, *, probes: int = 0, is_fifo: bool = False
) -> Callable[[RankingFunction], RankingFunction]:
    """Registers a policy under a name.

    The decorated function returns the candidates in order, the best first.
    """

    def register(function: RankingFunction) -> RankingFunction:
        POLICIES_BY_NAME[name] = Policy(function, probes, is_fifo)
        return function

    return register


@policy('round-robin', is_fifo=True)
def round_robin(
    state: PolicyState,
    request: RoutingRequest,
    candidates: Sequence[documents.Endpoint],
) -> Sequence[documents.Endpoint]:
    """Rotates through the candidates without regard to their load."""
    state.round_robin_count += 1
    start = state.round_robin_count % len(candidates)
    return [*candidates[start:], *candidates[:start]]


@policy('least-outstanding', is_fifo=True)
def least_outstanding(
    state: PolicyState,
    request: RoutingRequest,
    candidates: Sequence[documents.Endpoint],
) -> Sequence[documents.Endpoint]:
    """Ranks by the number of requests of this process in flight."""
    shuffled = state.random.sample(list(candidates), len(candidates))
    by_endpoint = state.in_flight_by_endpoint
    return sorted(
        shuffled, key=lambda e: by_endpoint.get(ids.EndpointId(e.id), 0)
    )


@policy('first-version')
def first_version(
    state: PolicyState,
    request: RoutingRequest,
    candidates: Sequence[documents.Endpoint],
) -> Sequence[documents.Endpoint]:
    """Uses a fixed share of the engines for medium and long prompts.

    This is the first version of the policy `estimate`.
    """
    count = max(1, round(len(candidates) * FIRST_VERSION_LONG_SHARE))
    long_ids = {e.id for e in sorted(candidates, key=_by_id)[:count]}

    def score_s(endpoint: documents.Endpoint) -> float:
        score = _base_s(state, request, endpoint)
        load = state.view.load_of(ids.EndpointId(endpoint.id))
        if load is not None:
            score += engine_states.prefill_s(endpoint, load.backlog_tokens)
        if _is_short(request):
            return score + FIRST_VERSION_LONG_ENGINE_PENALTY_S * (
                endpoint.id in long_ids
            )
        return score + UNSUITABLE_PENALTY_S * (endpoint.id not in long_ids)

    return _rank_by_score(state, candidates, score_s)


@policy('estimate', probes=IDLE_PROBES)
def estimate(
    state: PolicyState,
    request: RoutingRequest,
    candidates: Sequence[documents.Endpoint],
) -> Sequence[documents.Endpoint]:
    """Ranks by estimated time to first token.

    Medium and long prompts fill the engines in order of the engines' ids, so
    that they occupy as few engines as their load needs; the last engines in
    that order are reserved for short prompts. For a short prompt, the score of
    an engine that is prefilling a longer one includes one prefill step.
    """
    sampled = _sample(state, request, candidates)
    if _is_short(request):
        return _rank_by_score(
            state, sampled, lambda e: _short_s(state, request, e)
        )
    sorted_by_id = sorted(sampled, key=_by_id)
    unreserved = max(1, round(len(sorted_by_id) * (1 - SHORT_RESERVED_SHARE)))
    positions = {e.id: position for position, e in enumerate(sorted_by_id)}

    def score_s(endpoint: documents.Endpoint) -> float:
        score = _long_s(state, request, endpoint)
        score += FILL_ORDER_PENALTY_S * positions[endpoint.id]
        return score + UNSUITABLE_PENALTY_S * (
            positions[endpoint.id] >= unreserved
        )

    return _rank_by_score(state, sampled, score_s)


def _sample(
    state: PolicyState,
    request: RoutingRequest,
    candidates: Sequence[documents.Endpoint],
) -> Sequence[documents.Endpoint]:
    """Samples the engines to score, to bound the cost of one request.

    Most of the sampled engines are in the zone of this process, whose loads
    are known. A few are sampled from all zones, so that requests of a full
    zone can go to other zones.
    """
    document = state.view.configs.document
    if len(candidates) <= MAX_SCORED or document is None:
        return candidates
    name = (ids.RouteName(request.route.name), request.zone)
    in_zone = document.endpoints_by_route_and_zone.get(name, ())
    local_count = min(len(in_zone), MAX_SCORED - MIN_SCORED_FROM_ALL_ZONES)
    local = state.random.sample(in_zone, local_count)
    chosen = {e.id: e for e in local if e.capacity_tokens >= request.tokens}
    for endpoint in state.random.sample(candidates, MAX_SCORED - local_count):
        chosen[endpoint.id] = endpoint
    return list(chosen.values())


def _by_id(endpoint: documents.Endpoint) -> str:
    return endpoint.id


def _is_short(request: RoutingRequest) -> bool:
    return bands.band_of(request.prompt_tokens) is bands.Band.SHORT


def _rank_by_score(
    state: PolicyState,
    candidates: Sequence[documents.Endpoint],
    score_s: Callable[[documents.Endpoint], float],
) -> Sequence[documents.Endpoint]:
    """Sorts engines by score, lowest first, and shuffles those tied for best.

    Shuffling keeps entry processes with the same load data from choosing the
    same engine. Of the first two tied engines, the one with fewer requests of
    this process in flight is put first.
    """
    scored = [(score_s(endpoint), endpoint) for endpoint in candidates]
    best_s = min(score for score, _ in scored)
    tied = [e for score, e in scored if score <= best_s + TIE_TOLERANCE_S]
    state.random.shuffle(tied)
    others = sorted(
        (pair for pair in scored if pair[0] > best_s + TIE_TOLERANCE_S),
        key=lambda pair: pair[0],
    )
    return [*_order_first_two(state, tied), *(e for _, e in others)]


def _order_first_two(
    state: PolicyState, engines: list[documents.Endpoint]
) -> list[documents.Endpoint]:
    """Puts the engine with fewer requests in flight first of the first two."""
    by_endpoint = state.in_flight_by_endpoint
    if len(engines) > 1:
        first, second = (
            by_endpoint.get(ids.EndpointId(e.id), 0) for e in engines[:2]
        )
        if second < first:
            engines[0], engines[1] = engines[1], engines[0]
    return engines


def _base_s(
    state: PolicyState, request: RoutingRequest, endpoint: documents.Endpoint
) -> float:
    """Returns an engine's score for a request, without the backlog."""
    score = engine_states.prefill_s(endpoint, request.prompt_tokens)
    if endpoint.zone != request.zone:
        score += OTHER_ZONE_PENALTY_S
    load = state.view.load_of(ids.EndpointId(endpoint.id))
    if load is None:
        return score + UNKNOWN_LOAD_PENALTY_S
    if load.is_cold:
        score += COLD_PENALTY_S
    if not load.is_reachable or load.free_tokens < request.tokens:
        score += UNSUITABLE_PENALTY_S
    return score


def _short_s(
    state: PolicyState, request: RoutingRequest, endpoint: documents.Endpoint
) -> float:
    score = _base_s(state, request, endpoint)
    load = state.view.load_of(ids.EndpointId(endpoint.id))
    if load is None:
        return score
    short = load.short_backlog_tokens
    score += engine_states.prefill_s(endpoint, short)
    if load.backlog_tokens > short:
        score += engine_states.prefill_s(endpoint, PREFILL_CHUNK_TOKENS)
    return score


def _long_s(
    state: PolicyState, request: RoutingRequest, endpoint: documents.Endpoint
) -> float:
    score = _base_s(state, request, endpoint)
    load = state.view.load_of(ids.EndpointId(endpoint.id))
    if load is None:
        return score
    return score + engine_states.prefill_s(endpoint, load.backlog_tokens)
