"""Which endpoints exist, and which of them may receive new requests."""

from collections.abc import Callable, Iterable
import dataclasses
import enum
import logging
import time
from typing import Final

from .. import ids

LOG: Final = logging.getLogger(__name__)
# Time for which an endpoint that has gone from the list is still used if its
# service has no other, in seconds. The whole list lapses while the platform
# is away; endpoints that live are listed again shortly after.
GRACE_S: Final = 1.2


class EndpointState(enum.Enum):
    """What an endpoint says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """One start of an engine or of a plain service."""

    id: ids.EndpointId
    service: ids.ServiceName
    host: str
    port: int
    zone: ids.ZoneName
    # Requests that run at once.
    slots: int
    state: EndpointState
    # When its cold start ends, on the steady clock.
    cold_until_s: float = 0.0
    # When it started, in Unix milliseconds; 0 if it does not say.
    born_ms: int = 0


class Directory:
    """All endpoints that the platform lists."""

    endpoints_by_id: dict[ids.EndpointId, Endpoint]
    withdrawn_zones: set[ids.ZoneName]

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.endpoints_by_id = {}
        self.withdrawn_zones = set()
        self._clock = clock
        self._gone_by_id: dict[ids.EndpointId, tuple[Endpoint, float]] = {}

    def replace_all(self, endpoints: Iterable[Endpoint]) -> None:
        """Takes a complete list over."""
        new_by_id = {endpoint.id: endpoint for endpoint in endpoints}
        for endpoint_id in list(self.endpoints_by_id):
            if endpoint_id not in new_by_id:
                self.remove(endpoint_id)
        for endpoint in new_by_id.values():
            self.put(endpoint)

    def put(self, endpoint: Endpoint) -> None:
        """Adds an endpoint or replaces what was known of it."""
        old = self.endpoints_by_id.get(endpoint.id)
        self.endpoints_by_id[endpoint.id] = endpoint
        self._gone_by_id.pop(endpoint.id, None)
        if old is None or old.state is not endpoint.state:
            LOG.info(
                'endpoint listed',
                extra={
                    'endpoint': endpoint.id,
                    'service': endpoint.service,
                    'zone': endpoint.zone,
                    'state': endpoint.state.value,
                    'address': f'{endpoint.host}:{endpoint.port}',
                },
            )

    def remove(self, endpoint_id: ids.EndpointId) -> None:
        """Takes an endpoint off the list."""
        gone = self.endpoints_by_id.pop(endpoint_id, None)
        if gone is None:
            return
        self._gone_by_id[endpoint_id] = (gone, self._clock())
        LOG.info('endpoint gone', extra={'endpoint': endpoint_id})

    def withdraw(self, zones: Iterable[ids.ZoneName]) -> None:
        """Says which zones must receive nothing new."""
        withdrawn = set(zones)
        if withdrawn != self.withdrawn_zones:
            LOG.info('withdrawn zones', extra={'withdrawn': sorted(withdrawn)})
        self.withdrawn_zones = withdrawn

    def usable(self, service: ids.ServiceName) -> list[Endpoint]:
        """Returns the endpoints of a service that may receive requests."""
        listed = [
            endpoint
            for endpoint in self.endpoints_by_id.values()
            if endpoint.service == service
        ]
        found = [e for e in listed if self._is_usable(e)]
        if found or listed:
            return found
        return self._just_gone(service)

    def _is_usable(self, endpoint: Endpoint) -> bool:
        return (
            endpoint.state is EndpointState.READY
            and endpoint.zone not in self.withdrawn_zones
        )

    def _just_gone(self, service: ids.ServiceName) -> list[Endpoint]:
        oldest_s = self._clock() - GRACE_S
        self._gone_by_id = {
            endpoint_id: (endpoint, gone_at_s)
            for endpoint_id, (endpoint, gone_at_s) in self._gone_by_id.items()
            if gone_at_s >= oldest_s
        }
        return [
            endpoint
            for endpoint, _ in self._gone_by_id.values()
            if endpoint.service == service and self._is_usable(endpoint)
        ]

    def is_cold(self, endpoint: Endpoint) -> bool:
        """Tells whether an endpoint is in its cold start."""
        return self._clock() < endpoint.cold_until_s
