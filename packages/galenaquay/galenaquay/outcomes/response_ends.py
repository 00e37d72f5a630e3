"""Decides whether the close of a connection is the end of its response.

A response that has neither a length nor chunks ends with its connection. The
connections of a process that crashes may be closed like those of a process
that has sent its whole response. Such a response is complete if the run of the
endpoint that sent it answers afterwards. A run that is known to shut down
stops listening before it ends its last responses; its responses are complete
unless other responses show that it crashed.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import enum
import logging
import time
from typing import Final

from .. import ids
from .. import telemetry
from ..engines import departures
from ..engines import directory as directory_module
from ..limits import availability as availability_module
from ..ports import exchange

LOG: Final = logging.getLogger(__name__)
# Ends of the responses of one run within this time, in seconds, may have one
# cause, such as a crash. The kernel ends the connections of a process within
# milliseconds; the rest is for this process to read them.
SAME_MOMENT_S: Final = 0.02
# Time that the other responses of a run have to end as well, in seconds.
SETTLING_S: Final = 0.05
# A process that has sent its whole response closes the connection within this
# time, in seconds.
REGULAR_CLOSE_S: Final = 0.02
# Number of responses of a run that are closed at one moment, one of them later
# than REGULAR_CLOSE_S after its last data, that show a crash. Responses that
# are sent whole may also end together, but each directly after its data.
CLOSES_OF_CRASH: Final = 2
# A run that is no longer listed counts as shutting down if data of it arrived
# at least this long after its removal, in seconds. The data that a process
# reads at once after it was suspended is older than the removal.
SERVING_S: Final = 0.2
# Largest number of ends that are remembered.
MAX_ENDS: Final = 1024


class Shutdown(enum.Enum):
    """How it is known that a run shuts down."""

    NOT_KNOWN = 'not known'
    SAID = 'said by the endpoint'
    DRAINING = 'listed as draining'
    REMOVED = 'no longer listed'


@dataclasses.dataclass(frozen=True)
class _End:
    """The end of a response that may show a crash."""

    run: ids.EndpointRun
    at_s: float
    # Whether the response is certainly incomplete.
    is_broken: bool
    # Whether the connection was closed later than REGULAR_CLOSE_S after the
    # last data.
    is_late: bool = False


@dataclasses.dataclass(frozen=True)
class Verdict:
    """What is known of the end of a response."""

    is_complete: bool
    run_state: exchange.RunState


class ResponseEnds:
    """Judges the ends of responses without framing."""

    def __init__(
        self,
        exchange_: exchange.Exchange,
        directory: directory_module.Directory,
        availability: availability_module.Availability,
        metrics: telemetry.TextMetrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._exchange = exchange_
        self._directory = directory
        self._availability = availability
        self._metrics = metrics
        self._clock = clock
        self._ends: collections.deque[_End] = collections.deque(
            maxlen=MAX_ENDS
        )

    def now_s(self) -> float:
        """Returns the time on the clock that `judge` refers to."""
        return self._clock()

    def record_broken(self, endpoint: directory_module.Endpoint) -> None:
        """Records that a response of an endpoint ended incomplete."""
        self._ends.append(_End(endpoint.run, self._clock(), is_broken=True))

    async def judge(
        self,
        endpoint: directory_module.Endpoint,
        request_id: ids.RequestId,
        last_data_at_s: float,
    ) -> Verdict:
        """Judges a response whose connection was just closed in order.

        Args:
            endpoint: The endpoint that sent the response.
            request_id: The request, for the log.
            last_data_at_s: When its last data arrived, on the clock of
                `now_s`.
        """
        ended_at_s = self._clock()
        since_data_s = ended_at_s - last_data_at_s
        self._ends.append(
            _End(
                endpoint.run,
                ended_at_s,
                is_broken=False,
                is_late=since_data_s > REGULAR_CLOSE_S,
            )
        )
        state = await self._find_run(endpoint)
        shutdown = self._find_shutdown(endpoint, last_data_at_s)
        is_complete = state is exchange.RunState.SAME
        if not is_complete and shutdown is not Shutdown.NOT_KNOWN:
            await asyncio.sleep(SETTLING_S)
            is_complete = not self._shows_crash(endpoint.run, ended_at_s)
        self._metrics.count(
            'unframed_ends', run=state.value, complete=is_complete
        )
        LOG.info(
            'response without framing ended',
            extra={
                'request_id': request_id,
                'endpoint': endpoint.id,
                'started_at_ms': endpoint.started_at_ms,
                'run': state.value,
                'shutdown': shutdown.value,
                'since_data_s': round(since_data_s, 4),
                'checked_s': round(self._clock() - ended_at_s, 4),
                'complete': is_complete,
            },
        )
        return Verdict(is_complete, state)

    async def _find_run(
        self, endpoint: directory_module.Endpoint
    ) -> exchange.RunState:
        state = await self._exchange.find_run(endpoint)
        listed = self._directory.endpoints_by_id.get(endpoint.id)
        if listed is not None and listed.run != endpoint.run:
            # An endpoint without a report is known by its id alone.
            return exchange.RunState.ENDED
        return state

    def _find_shutdown(
        self, endpoint: directory_module.Endpoint, last_data_at_s: float
    ) -> Shutdown:
        if self._availability.is_leaving(endpoint):
            return Shutdown.SAID
        found = self._directory.departures.find(endpoint.run)
        if found is None:
            return Shutdown.NOT_KNOWN
        sign, since_s = found
        if sign is departures.Sign.DRAINING:
            return Shutdown.DRAINING
        served_s = last_data_at_s - (self._clock() - since_s)
        # All endpoints leave the list while the platform is unavailable.
        has_list = any(
            listed.service == endpoint.service
            for listed in self._directory.endpoints_by_id.values()
        )
        if has_list and served_s >= SERVING_S:
            return Shutdown.REMOVED
        return Shutdown.NOT_KNOWN

    def _shows_crash(self, run: ids.EndpointRun, at_s: float) -> bool:
        """Returns whether responses show that a run crashed at a time."""
        ends = [
            end
            for end in self._ends
            if end.run == run and abs(end.at_s - at_s) <= SAME_MOMENT_S
        ]
        return any(end.is_broken for end in ends) or (
            len(ends) >= CLOSES_OF_CRASH and any(end.is_late for end in ends)
        )
