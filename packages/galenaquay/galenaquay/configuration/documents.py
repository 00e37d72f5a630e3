"""The documents that the platform publishes, as validated types.

Each document is validated by itself. The module `versions` decides which
version is in force.
"""

from collections.abc import Mapping
import enum
import functools
from typing import Annotated, Any, Final, Self

import pydantic
import pydantic.dataclasses

from .. import ids
from . import selectors

# Size of the largest document that the platform can store, in bytes.
MAX_DOCUMENT_BYTES: Final = 1024 * 1024
# Label that every endpoint has. Operators can set it on zones and endpoints.
STATE_LABEL: Final = 'state'
IN_SERVICE: Final = 'in-service'
# Selects the endpoints that receive new requests, unless the document has
# another selector.
DEFAULT_SERVING: Final = 'state notin (withdrawn,leaving)'


def _check_selector(text: str) -> str:
    selectors.parse(text)
    return text


SelectorText = Annotated[str, pydantic.AfterValidator(_check_selector)]
Labels = dict[str, str]


class _StrictModel(pydantic.BaseModel):
    """An immutable model that rejects unknown keys."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class EndpointKind(enum.Enum):
    """What stands behind an endpoint's address."""

    ENGINE = 'engine'
    SERVICE = 'service'


class RouteKind(enum.Enum):
    """What a route leads to."""

    MODEL = 'model'
    SERVICE = 'service'


class LongPrompt(enum.Enum):
    """What a route does with prompts longer than one engine."""

    GROUP = 'group'
    SEGMENTED = 'segmented'
    REFUSE = 'refuse'


class Zone(_StrictModel):
    """An availability zone and the labels that its endpoints inherit."""

    name: str = pydantic.Field(min_length=1)
    region: str = pydantic.Field(min_length=1)
    labels: Labels = {}


# Endpoints and accounts are dataclasses with slots, because a document has
# thousands of them and slots reduce the memory of each.
_SLOTS_CONFIG: Final = pydantic.ConfigDict(extra='forbid')


@pydantic.dataclasses.dataclass(
    frozen=True, slots=True, kw_only=True, config=_SLOTS_CONFIG
)
class Endpoint:
    """A model engine or a plain service."""

    id: str = pydantic.Field(pattern=r'^[a-z0-9][a-z0-9-]*$')
    zone: str
    kind: EndpointKind
    url: str = pydantic.Field(pattern=r'^http://[0-9.]+:[0-9]+$')
    labels: Labels = pydantic.Field(default_factory=dict)
    # Engine memory, in tokens; unused for services.
    capacity_tokens: int = pydantic.Field(default=0, ge=0)
    # Prefill rate when warm, in tokens per second; unused for services.
    prefill_tokens_s: float = pydantic.Field(default=40_000.0, gt=0)
    # Maximum number of requests in flight.
    max_in_flight: int = pydantic.Field(default=256, gt=0)
    # Maximum number of requests in flight during a cold start of the engine.
    cold_in_flight: int = pydantic.Field(default=2, ge=0)
    # Maximum tokens of prompt and output in flight during a cold start of the
    # engine.
    cold_tokens: int = pydantic.Field(default=16_000, ge=0)

    @pydantic.model_validator(mode='after')
    def _engine_has_memory(self) -> Self:
        if self.kind is EndpointKind.ENGINE and self.capacity_tokens == 0:
            raise ValueError(f'engine {self.id} has no capacity_tokens')
        return self


class Pool(_StrictModel):
    """A named set of endpoints, chosen by labels."""

    name: str = pydantic.Field(min_length=1)
    selector: SelectorText


@pydantic.dataclasses.dataclass(
    frozen=True, slots=True, kw_only=True, config=_SLOTS_CONFIG
)
class Account:
    """A client account."""

    id: str = pydantic.Field(min_length=1)
    # SHA-256 of the credential, in hex.
    key_sha256: str = pydantic.Field(pattern=r'^[0-9a-f]{64}$')
    # Tokens of prompt and output per second, over the whole fleet; None means
    # no limit.
    tokens_s: float | None = pydantic.Field(default=None, gt=0)
    # Share of contended engines, relative to other accounts.
    weight: float = pydantic.Field(default=1.0, gt=0)


class Route(_StrictModel):
    """Which endpoints take a kind of request, and how."""

    name: str = pydantic.Field(pattern=r'^[A-Za-z0-9][A-Za-z0-9_.-]*$')
    kind: RouteKind
    pool: str
    # Selects among the endpoints of the pool.
    selector: SelectorText = ''
    idempotent: bool = True
    # Time limit of requests that set no deadline themselves, in seconds.
    deadline_s: float = pydantic.Field(default=60.0, gt=0, le=86_400)
    long_prompt: LongPrompt = LongPrompt.REFUSE
    max_output_tokens: int = pydantic.Field(default=4096, gt=0)


class Document(_StrictModel):
    """The whole configuration under one version."""

    version: int = pydantic.Field(ge=1)
    zones: tuple[Zone, ...]
    endpoints: tuple[Endpoint, ...]
    pools: tuple[Pool, ...]
    accounts: tuple[Account, ...]
    routes: tuple[Route, ...]
    # Endpoints that this selector does not match receive no new requests.
    serving: SelectorText = DEFAULT_SERVING

    @pydantic.model_validator(mode='after')
    def _is_consistent(self) -> Self:
        errors = list(_find_inconsistencies(self))
        if errors:
            raise ValueError('; '.join(errors))
        return self

    @functools.cached_property
    def zones_by_name(self) -> Mapping[ids.ZoneName, Zone]:
        """Zones by their name."""
        return {ids.ZoneName(z.name): z for z in self.zones}

    @functools.cached_property
    def endpoints_by_id(self) -> Mapping[ids.EndpointId, Endpoint]:
        """Endpoints by their id."""
        return {ids.EndpointId(e.id): e for e in self.endpoints}

    @functools.cached_property
    def routes_by_name(self) -> Mapping[ids.RouteName, Route]:
        """Routes by their name."""
        return {ids.RouteName(r.name): r for r in self.routes}

    @functools.cached_property
    def accounts_by_key_sha256(self) -> Mapping[str, Account]:
        """Client accounts by the hash of their credential."""
        return {a.key_sha256: a for a in self.accounts}

    @functools.cached_property
    def accounts_by_id(self) -> Mapping[ids.AccountId, Account]:
        """Client accounts by their id."""
        return {ids.AccountId(a.id): a for a in self.accounts}

    @functools.cached_property
    def selectors_by_text(self) -> dict[str, selectors.Selector]:
        """Parsed selectors by their text."""
        texts = {self.serving}
        texts.update(p.selector for p in self.pools)
        texts.update(r.selector for r in self.routes)
        return {text: selectors.parse(text) for text in texts}

    @functools.cached_property
    def labels_by_endpoint(self) -> Mapping[ids.EndpointId, Labels]:
        """Labels of each endpoint, those of its zone included."""
        return {ids.EndpointId(e.id): self._labels(e) for e in self.endpoints}

    def _labels(self, endpoint: Endpoint) -> Labels:
        zone = self.zones_by_name[ids.ZoneName(endpoint.zone)]
        labels = {STATE_LABEL: IN_SERVICE, **endpoint.labels}
        for key, value in zone.labels.items():
            # The state of a zone overrides the state of its endpoints, so a
            # withdrawn zone has no endpoint in service.
            if key == STATE_LABEL or key not in labels:
                labels[key] = value
        labels['zone'] = zone.name
        labels['region'] = zone.region
        return labels

    def serves(self, endpoint_id: ids.EndpointId) -> bool:
        """Tells whether an endpoint may receive new requests."""
        if endpoint_id not in self.labels_by_endpoint:
            return False
        serving = self.selectors_by_text[self.serving]
        return serving.matches(self.labels_by_endpoint[endpoint_id])

    @functools.cached_property
    def endpoints_by_route(
        self,
    ) -> Mapping[ids.RouteName, tuple[Endpoint, ...]]:
        """Endpoints in service that each route selects."""
        return {
            name: tuple(
                e for e in self.endpoints if self.is_eligible(route, e)
            )
            for name, route in self.routes_by_name.items()
        }

    @functools.cached_property
    def endpoints_by_route_and_zone(
        self,
    ) -> Mapping[tuple[ids.RouteName, ids.ZoneName], tuple[Endpoint, ...]]:
        """Endpoints in service that each route selects in each zone."""
        return {
            (route, zone): tuple(e for e in endpoints if e.zone == zone)
            for route, endpoints in self.endpoints_by_route.items()
            for zone in self.zones_by_name
        }

    @functools.cached_property
    def least_capacity_by_route(self) -> Mapping[ids.RouteName, int]:
        """Smallest memory of any endpoint of each route, in tokens."""
        return {
            route: min((e.capacity_tokens for e in endpoints), default=0)
            for route, endpoints in self.endpoints_by_route.items()
        }

    def is_eligible(self, route: Route, endpoint: Endpoint) -> bool:
        """Tells whether an endpoint may receive requests of a route."""
        return not self.ineligibility_reasons(route, endpoint)

    def ineligibility_reasons(
        self, route: Route, endpoint: Endpoint
    ) -> list[str]:
        """Returns why an endpoint may not receive requests of a route.

        The list is empty if the endpoint may receive them.
        """
        reasons = []
        if endpoint.kind.value != route_endpoint_kind(route).value:
            reasons.append(f'is a {endpoint.kind.value}')
        labels = self.labels_by_endpoint[ids.EndpointId(endpoint.id)]
        pool = next(p for p in self.pools if p.name == route.pool)
        for text in (self.serving, pool.selector, route.selector):
            unmet = self.selectors_by_text[text].unmet(labels)
            reasons.extend(f'does not meet {r}' for r in unmet)
        return reasons


class VmState(enum.Enum):
    """State of a VM in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Vm(_StrictModel):
    """A VM that receives callers' requests, as the platform lists the VM."""

    id: str = pydantic.Field(min_length=1)
    zone: str
    region: str
    state: VmState = VmState.LIVE
    # Address for callers and address for peers, `host:port`.
    callers: str = pydantic.Field(pattern=r'^[0-9.]+:[0-9]+$')
    peers: str = pydantic.Field(pattern=r'^[0-9.]+:[0-9]+$')


class VmList(_StrictModel):
    """The platform's list of live and leaving VMs."""

    version: int = pydantic.Field(ge=1)
    vms: tuple[Vm, ...]

    @pydantic.model_validator(mode='after')
    def _ids_differ(self) -> Self:
        duplicates = _duplicates([v.id for v in self.vms])
        if duplicates:
            raise ValueError(f'VM listed twice: {", ".join(duplicates)}')
        return self

    @functools.cached_property
    def vms_by_id(self) -> Mapping[ids.VmId, Vm]:
        """VMs by their id."""
        return {ids.VmId(v.id): v for v in self.vms}

    def live_in_zone(self, zone: ids.ZoneName) -> list[ids.VmId]:
        """Returns the ids of the live VMs of a zone, sorted."""
        return sorted(
            ids.VmId(v.id)
            for v in self.vms
            if v.zone == zone and v.state is VmState.LIVE
        )


def route_endpoint_kind(route: Route) -> EndpointKind:
    """Returns the kind of endpoint that a route leads to."""
    if route.kind is RouteKind.MODEL:
        return EndpointKind.ENGINE
    return EndpointKind.SERVICE


def schema() -> dict[str, Any]:
    """Returns the JSON schema of the configuration."""
    return Document.model_json_schema()


def _find_inconsistencies(document: Document) -> list[str]:
    errors: list[str] = []
    for item_kind, names in (
        ('zone', [z.name for z in document.zones]),
        ('endpoint', [e.id for e in document.endpoints]),
        ('pool', [p.name for p in document.pools]),
        ('account', [a.id for a in document.accounts]),
        ('credential', [a.key_sha256 for a in document.accounts]),
        ('route', [r.name for r in document.routes]),
    ):
        errors.extend(
            f'{item_kind} {n} is there twice' for n in _duplicates(names)
        )
    zones = {z.name for z in document.zones}
    for endpoint in document.endpoints:
        if endpoint.zone not in zones:
            errors.append(f'endpoint {endpoint.id}: no zone {endpoint.zone}')
    pools = {p.name for p in document.pools}
    for route in document.routes:
        if route.pool not in pools:
            errors.append(f'route {route.name}: no pool {route.pool}')
    return errors


def _duplicates(names: list[str]) -> list[str]:
    seen: set[str] = set()
    duplicates = []
    for name in names:
        if name in seen:
            duplicates.append(name)
        seen.add(name)
    return duplicates
