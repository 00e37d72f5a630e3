"""Routes to services, the accounts that may use them, and their lookup.

How an operator writes them down is left to whoever reads the documents.
"""

from collections.abc import Iterable, Mapping
import dataclasses
import enum
import functools
import itertools
import random

from .. import ids


class RequestKind(enum.Enum):
    """What may be done with the requests of a route."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


@dataclasses.dataclass(frozen=True)
class Backend:
    """A service that takes a share of a route's requests."""

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Where requests of one host and path prefix go, and how."""

    name: ids.RouteName
    host: str
    prefix: str
    kind: RequestKind
    # Longest time that a request may be kept, in seconds.
    timeout_s: float
    # Time to the answer, or to its first event, that callers expect.
    target_s: float
    backends: tuple[Backend, ...]
    # Endpoints that one request may be sent to.
    max_attempts: int
    is_public: bool
    is_resumable: bool
    # Longest pause between two events that callers accept, in seconds.
    max_gap_s: float
    # 0 is the most urgent.
    priority: int

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT

    def pick_service(self, rng: random.Random) -> ids.ServiceName:
        """Returns a service, drawn by the weights of the backends."""
        if len(self.backends) == 1:
            return self.backends[0].service
        weights = [backend.weight for backend in self.backends]
        return rng.choices(self.backends, weights)[0].service


@dataclasses.dataclass(frozen=True)
class EngineTimes:
    """How long an engine's steps take and what it can hold."""

    slots: int
    memory_tokens: int
    step_ms: float
    # Added to a step for each request that is writing.
    step_per_writer_ms: float
    # Added to a step for each 1,000 tokens of context.
    step_per_context_k_ms: float
    read_tokens_per_s: float
    # Reading time for a million pairs of a token and an earlier one.
    read_per_pairs_m_ms: float
    # Steps in one pass while anything is being written.
    steps_per_pass: int
    # Tokens of a usual answer.
    usual_answer_tokens: int


@dataclasses.dataclass(frozen=True)
class Service:
    """A plain service, or a pool of engines if it has step times."""

    name: ids.ServiceName
    # Requests a second that an endpoint in cold start bears; 0: no limit.
    cold_per_s: float
    engine: EngineTimes | None


@dataclasses.dataclass(frozen=True)
class RequestLimits:
    """What a caller's request and connection may take."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    # From the first byte of a request to the end of its headers.
    header_s: float = 10.0
    # Between two requests, or two pieces of a body.
    idle_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class RouteTable:
    """One version of everything that an operator has configured."""

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services_by_name: Mapping[ids.ServiceName, Service]
    accounts_by_key: Mapping[ids.ApiKey, ids.AccountId]
    limits: RequestLimits
    # Whether requests have to show a key at all.
    needs_keys: bool

    @functools.cached_property
    def longest_s(self) -> float:
        """The time that any route gives a request, in seconds."""
        every = itertools.chain.from_iterable(self.routes_by_host.values())
        return max((route.timeout_s for route in every), default=0.0)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins the path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def routes_by_host(
    routes: Iterable[Route],
) -> dict[str, tuple[Route, ...]]:
    """Groups routes by host, the longest prefixes first."""
    grouped: dict[str, list[Route]] = {}
    for route in routes:
        grouped.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(group, key=lambda route: -len(route.prefix)))
        for host, group in grouped.items()
    }
