"""Routes to services, the client accounts that may use them, and lookup.

The package that reads the platform's documents parses the format in which
operators write routes and client accounts.
"""

from collections.abc import Iterable, Mapping
import dataclasses
import enum
import functools
import itertools
import random

from .. import ids


class RequestKind(enum.Enum):
    """Whether the requests of a route may be repeated or are streamed."""

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
    # Time limit of a request, in seconds.
    timeout_s: float
    # Target latency to the answer, or to its first event, in seconds.
    target_s: float
    backends: tuple[Backend, ...]
    # Maximum number of endpoints that one request is sent to.
    max_attempts: int
    is_public: bool
    is_resumable: bool
    # Longest gap between two events that callers accept, in seconds.
    max_gap_s: float
    # Priority of the requests; 0 is the most urgent.
    priority: int

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be executed more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT

    def pick_service(self, rng: random.Random) -> ids.ServiceName:
        """Returns a service, drawn at random by the backends' weights."""
        if len(self.backends) == 1:
            return self.backends[0].service
        weights = [backend.weight for backend in self.backends]
        return rng.choices(self.backends, weights)[0].service


@dataclasses.dataclass(frozen=True)
class EngineTimes:
    """Timing model and capacity of an engine."""

    # Requests that the engine runs at the same time.
    slots: int
    # Memory for the prompts and outputs of requests, in tokens.
    memory_tokens: int
    # Fixed part of the time of one decode step, in milliseconds.
    step_ms: float
    # Time added to a step for each request in decode, in milliseconds.
    step_ms_per_sequence: float
    # Time added to a step for each 1,000 tokens of context, in milliseconds.
    step_ms_per_k_context: float
    # Prefill rate.
    prefill_tokens_per_s: float
    # Attention cost of prefill: time for a million pairs of a token and an
    # earlier token, in milliseconds.
    prefill_ms_per_m_pairs: float
    # Decode steps in one pass of the engine while any request is in decode.
    steps_per_pass: int
    # Length of a typical answer, in tokens.
    typical_answer_tokens: int


@dataclasses.dataclass(frozen=True)
class Service:
    """A plain service, or a pool of engines if `engine` is set."""

    name: ids.ServiceName
    # Maximum requests per second to an endpoint in cold start; 0 means no
    # limit.
    cold_per_s: float
    engine: EngineTimes | None


@dataclasses.dataclass(frozen=True)
class RequestLimits:
    """Limits on the size and timing of a caller's request and connection."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    # Time from the first byte of a request to the end of its headers, in
    # seconds.
    header_s: float = 10.0
    # Time between two requests, or two parts of a body, in seconds.
    idle_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class RouteTable:
    """One version of the operator's configuration."""

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services_by_name: Mapping[ids.ServiceName, Service]
    accounts_by_key: Mapping[ids.ApiKey, ids.AccountId]
    limits: RequestLimits
    # Whether requests need an API key, except on public routes.
    needs_keys: bool
    # Priorities of the accounts that have one; 0 is the most urgent.
    priority_by_account: Mapping[ids.AccountId, int] = dataclasses.field(
        default_factory=dict
    )

    @functools.cached_property
    def max_timeout_s(self) -> float:
        """The longest time limit of any route, in seconds."""
        all_routes = itertools.chain.from_iterable(
            self.routes_by_host.values()
        )
        return max((route.timeout_s for route in all_routes), default=0.0)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route whose prefix is the longest match for the path."""
        for route in self.routes_by_host.get(host_name(host), ()):
            if path.startswith(route.prefix):
                return route
        return None


def host_name(host: str) -> str:
    """Returns the host name of a Host header, in lower case.

    A port is dropped (RFC 9110, section 4.2.3, and RFC 9112, section 3.2);
    other texts that are not part of a host name are kept.
    """
    name, colon, port = host.rpartition(':')
    # An IPv6 address without a port ends with a bracket.
    is_port = bool(colon) and (port.isdecimal() or not port)
    return (name if is_port else host).lower()


def routes_by_host(
    routes: Iterable[Route],
) -> dict[str, tuple[Route, ...]]:
    """Groups routes by host, in order of descending prefix length."""
    grouped: dict[str, list[Route]] = {}
    for route in routes:
        grouped.setdefault(host_name(route.host), []).append(route)
    return {
        host: tuple(sorted(group, key=lambda route: -len(route.prefix)))
        for host, group in grouped.items()
    }
