"""Keeps the endpoints that the platform lists."""

from collections.abc import Callable, Iterable
import dataclasses
import enum
import functools
import logging
import time
from typing import Final

from .. import ids
from . import departures as departures_module

LOG: Final = logging.getLogger(__name__)
# Time for which an endpoint that was removed from the list is still used if
# its service has no listed endpoint, in seconds. All entries expire while the
# platform is unavailable; live endpoints are listed again soon after.
UNLISTED_GRACE_S: Final = 1.2


class EndpointState(enum.Enum):
    """The state that an endpoint reports of itself."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """A running instance of an engine or of a plain service.

    An instance that is restarted becomes another endpoint.
    """

    id: ids.EndpointId
    service: ids.ServiceName
    host: str
    port: int
    zone: ids.ZoneName
    # Number of requests that the endpoint runs at once.
    slots: int
    state: EndpointState
    # When the endpoint's cold start ends, by this process's monotonic clock.
    cold_until_s: float = 0.0
    # When the instance started, in Unix milliseconds; 0 if not reported.
    started_at_ms: int = 0

    @functools.cached_property
    def run(self) -> ids.EndpointRun:
        """Distinguishes this run from others under the same id."""
        return ids.EndpointRun(f'{self.id}@{self.started_at_ms}')


class Directory:
    """The endpoints that the platform lists."""

    endpoints_by_id: dict[ids.EndpointId, Endpoint]
    withdrawn_zones: set[ids.ZoneName]
    # Runs that the list shows to shut down.
    departures: departures_module.Departures

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.endpoints_by_id = {}
        self.withdrawn_zones = set()
        self._clock = clock
        self.departures = departures_module.Departures(clock)
        # Endpoints that were removed from the list, with the time of removal.
        self._removed_by_id: dict[ids.EndpointId, tuple[Endpoint, float]] = {}

    def replace_all(self, endpoints: Iterable[Endpoint]) -> None:
        """Replaces the list of endpoints by another complete list."""
        new_by_id = {endpoint.id: endpoint for endpoint in endpoints}
        for endpoint_id in list(self.endpoints_by_id):
            if endpoint_id not in new_by_id:
                self.remove(endpoint_id)
        for endpoint in new_by_id.values():
            self.put(endpoint)

    def put(self, endpoint: Endpoint) -> None:
        """Adds an endpoint to the list or replaces its entry."""
        old = self.endpoints_by_id.get(endpoint.id)
        self.endpoints_by_id[endpoint.id] = endpoint
        self._removed_by_id.pop(endpoint.id, None)
        if endpoint.state is EndpointState.DRAINING:
            self.departures.record_draining(endpoint.run)
        else:
            self.departures.record_ready(endpoint.run)
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

    def is_outdated(self, endpoint: Endpoint) -> bool:
        """Returns whether an entry is older than what the list has shown.

        An entry is outdated if a later run of the endpoint is listed, or if
        its run was listed as draining and the entry is from before that.
        """
        known = self.endpoints_by_id.get(endpoint.id)
        if known is not None and endpoint.started_at_ms < known.started_at_ms:
            return True
        if endpoint.state is EndpointState.DRAINING:
            return False
        found = self.departures.find(endpoint.run)
        return (
            found is not None and found[0] is departures_module.Sign.DRAINING
        )

    def has_zone_besides(self, zones: Iterable[ids.ZoneName]) -> bool:
        """Returns whether an endpoint outside of some zones is listed."""
        excluded = set(zones)
        return any(
            endpoint.zone not in excluded
            for endpoint in self.endpoints_by_id.values()
        )

    def remove(self, endpoint_id: ids.EndpointId) -> None:
        """Removes an endpoint from the list."""
        removed = self.endpoints_by_id.pop(endpoint_id, None)
        if removed is None:
            return
        self._removed_by_id[endpoint_id] = (removed, self._clock())
        self.departures.record_removed(removed.run)
        LOG.info('endpoint gone', extra={'endpoint': endpoint_id})

    def set_withdrawn_zones(self, zones: Iterable[ids.ZoneName]) -> None:
        """Sets the zones whose endpoints receive no new requests."""
        withdrawn = set(zones)
        if withdrawn != self.withdrawn_zones:
            LOG.info('withdrawn zones', extra={'withdrawn': sorted(withdrawn)})
        self.withdrawn_zones = withdrawn

    def listed(self, service: ids.ServiceName) -> list[Endpoint]:
        """Returns the endpoints of a service, whatever their state.

        If no endpoint of the service is listed, these are the endpoints that
        were removed from the list within the last UNLISTED_GRACE_S seconds.
        """
        listed = [
            endpoint
            for endpoint in self.endpoints_by_id.values()
            if endpoint.service == service
        ]
        return listed or self._recently_removed(service)

    def is_usable(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint is ready and its zone in service."""
        return (
            endpoint.state is EndpointState.READY
            and endpoint.zone not in self.withdrawn_zones
        )

    def _recently_removed(self, service: ids.ServiceName) -> list[Endpoint]:
        oldest_s = self._clock() - UNLISTED_GRACE_S
        self._removed_by_id = {
            endpoint_id: (endpoint, removed_at_s)
            for endpoint_id, (endpoint, removed_at_s) in (
                self._removed_by_id.items()
            )
            if removed_at_s >= oldest_s
        }
        return [
            endpoint
            for endpoint, _ in self._removed_by_id.values()
            if endpoint.service == service
        ]

    def is_cold(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint is in cold start."""
        return self._clock() < endpoint.cold_until_s
