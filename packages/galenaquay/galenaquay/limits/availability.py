"""Selects the endpoints that may receive new requests.

An endpoint may be unavailable by its listed state, because its zone is
withdrawn, or by what it says of itself in its answers: that it shuts down, or
that it wants no requests from this VM for a time. What it says holds for one
run of the endpoint, and also while the platform lists it as ready.

All VMs use what one of them has heard of a shutdown. The time for which an
endpoint wants no requests concerns only the VM that was told.
"""

from collections.abc import Callable, Iterable
import logging
import time
from typing import Final

from .. import ids
from .. import telemetry
from ..engines import directory as directory_module
from ..membership import revisions as revisions_module
from ..ports import exchange

LOG: Final = logging.getLogger(__name__)
# Longest time for which an endpoint is left out at its own request, in
# seconds.
MAX_WAIT_S: Final = 300.0
# Time after which a run that shuts down is forgotten, if the platform does not
# list it, in seconds.
UNLISTED_VALID_S: Final = 120.0
# Largest number of runs that shut down of which records are kept.
MAX_LEAVING_RUNS: Final = 4096


class Availability:
    """Which endpoints take new requests from this VM."""

    def __init__(
        self,
        directory: directory_module.Directory,
        revisions: revisions_module.Revisions | None = None,
        report_soon: Callable[[], None] = lambda: None,
        metrics: telemetry.TextMetrics | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._directory = directory
        self._revisions = revisions or revisions_module.Revisions()
        # Has what this VM was told sent to other VMs at once.
        self._report_soon = report_soon
        self._metrics = metrics or telemetry.TextMetrics()
        self._clock = clock
        # When each run that shuts down was last known to be listed, or was
        # first heard of; in the order in which this VM has heard of them.
        self._known_at_s_by_leaving_run: dict[ids.EndpointRun, float] = {}
        # When a run takes requests from this VM again.
        self._closed_until_s_by_run: dict[ids.EndpointRun, float] = {}

    def record_answer(
        self, endpoint: directory_module.Endpoint, notice: exchange.Notice
    ) -> None:
        """Records what an endpoint says of itself in an answer."""
        if notice.is_leaving and self._add_leaving(endpoint.run, 'endpoint'):
            self._report_soon()
        if notice.wait_s > 0:
            self._close(endpoint, min(notice.wait_s, MAX_WAIT_S))

    def is_available(self, endpoint: directory_module.Endpoint) -> bool:
        """Returns whether an endpoint may receive new requests.

        These are attempts of requests, parts of prompts and reservations of
        memory, but not orders for what the endpoint already holds.
        """
        return self._takes_requests(endpoint) and not self._wait_s(endpoint)

    def available(
        self, service: ids.ServiceName
    ) -> list[directory_module.Endpoint]:
        """Returns the endpoints of a service that may receive requests."""
        return [
            endpoint
            for endpoint in self._directory.listed(service)
            if self.is_available(endpoint)
        ]

    def wait_s(self, service: ids.ServiceName) -> float:
        """Returns the time until some endpoint of a service is available.

        Returns 0 if one is available, or if no endpoint has asked for time.
        """
        return min(
            (
                self._wait_s(endpoint)
                for endpoint in self._directory.listed(service)
                if self._takes_requests(endpoint)
            ),
            default=0.0,
        )

    def is_leaving(self, endpoint: directory_module.Endpoint) -> bool:
        """Returns whether a run has said that it shuts down."""
        return endpoint.run in self._known_at_s_by_leaving_run

    def leaving_count(self) -> int:
        """Returns the number of runs that are known to shut down."""
        self._forget_unlisted()
        return len(self._known_at_s_by_leaving_run)

    def closed_count(self) -> int:
        """Returns the number of endpoints that want no requests for a time."""
        self._remove_ended_waits()
        return len(self._closed_until_s_by_run)

    def reports_after(self, revision: int) -> list[ids.EndpointRun]:
        """Returns the runs that shut down, for another VM.

        Args:
            revision: The revision up to which the other VM knows them.
        """
        return [
            run
            for run in self._known_at_s_by_leaving_run
            if self._revisions.is_newer(_fact(run), revision)
        ]

    def merge(self, runs: Iterable[ids.EndpointRun]) -> None:
        """Adds runs of which another VM reports that they shut down."""
        for run in runs:
            self._add_leaving(run, 'member')

    def _takes_requests(self, endpoint: directory_module.Endpoint) -> bool:
        return (
            self._directory.is_usable(endpoint)
            and endpoint.run not in self._known_at_s_by_leaving_run
        )

    def _wait_s(self, endpoint: directory_module.Endpoint) -> float:
        until_s = self._closed_until_s_by_run.get(endpoint.run)
        if until_s is None:
            return 0.0
        return max(0.0, until_s - self._clock())

    def _add_leaving(self, run: ids.EndpointRun, heard_from: str) -> bool:
        """Adds a run that shuts down; returns whether it is new."""
        if run in self._known_at_s_by_leaving_run:
            return False
        self._forget_unlisted()
        self._known_at_s_by_leaving_run[run] = self._clock()
        while len(self._known_at_s_by_leaving_run) > MAX_LEAVING_RUNS:
            self._forget(next(iter(self._known_at_s_by_leaving_run)))
        self._revisions.record_change(_fact(run))
        self._metrics.count('endpoints_leaving', heard_from=heard_from)
        LOG.info(
            'endpoint shuts down',
            extra={'endpoint_run': run, 'heard_from': heard_from},
        )
        return True

    def _close(
        self, endpoint: directory_module.Endpoint, wait_s: float
    ) -> None:
        until_s = self._clock() + wait_s
        if until_s <= self._closed_until_s_by_run.get(endpoint.run, 0.0):
            return
        self._remove_ended_waits()
        self._closed_until_s_by_run[endpoint.run] = until_s
        self._metrics.count('endpoint_waits')
        LOG.info(
            'endpoint wants no requests for a time',
            extra={'endpoint': endpoint.id, 'wait_s': round(wait_s, 3)},
        )

    def _remove_ended_waits(self) -> None:
        now_s = self._clock()
        self._closed_until_s_by_run = {
            run: until_s
            for run, until_s in self._closed_until_s_by_run.items()
            if until_s > now_s
        }

    def _forget_unlisted(self) -> None:
        now_s = self._clock()
        listed = {
            endpoint.run
            for endpoint in self._directory.endpoints_by_id.values()
        }
        for run, known_at_s in list(self._known_at_s_by_leaving_run.items()):
            if run in listed:
                self._known_at_s_by_leaving_run[run] = now_s
            elif known_at_s < now_s - UNLISTED_VALID_S:
                self._forget(run)

    def _forget(self, run: ids.EndpointRun) -> None:
        del self._known_at_s_by_leaving_run[run]
        self._revisions.forget(_fact(run))


def _fact(run: ids.EndpointRun) -> tuple[str, ids.EndpointRun]:
    """Returns the key of a shutdown among all shared facts."""
    return ('leaving', run)
