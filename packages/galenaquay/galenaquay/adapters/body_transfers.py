"""Keeps the transfers of request bodies that go on after the response.

An endpoint may respond before it has read a long body, and read the rest
later. The caller already has its response; the transfer goes on until the
endpoint has the whole body or ends the connection, within bounds of time and
memory.
"""

import asyncio
import dataclasses
import enum
import logging
import math
from typing import Final

from .. import ids
from .. import telemetry
from . import endpoint_connections

LOG: Final = logging.getLogger(__name__)
# Most memory of bodies whose transfer goes on after the response, in bytes;
# eight bodies of the platform's usual limit of 4 MiB.
MAX_HELD_BYTES: Final = 32 * 1024 * 1024
# Most transfers that go on after the response; each has a connection open.
MAX_TRANSFERS: Final = 256


class Outcome(enum.Enum):
    """How a transfer ended."""

    SENT = 'sent'
    # The endpoint ended the connection before it had the whole body.
    ENDPOINT_ENDED = 'endpoint ended'
    # The request's deadline passed.
    OUT_OF_TIME = 'out of time'
    # Newer transfers needed the memory.
    EVICTED = 'evicted'
    # This process is shutting down.
    SHUTDOWN = 'shutdown'


@dataclasses.dataclass(eq=False)
class Transfer:
    """A body that is still being sent."""

    request_id: ids.RequestId
    endpoint_id: ids.EndpointId
    connection: endpoint_connections.EndpointConnection
    # When the request ends, on the event loop's clock.
    deadline_s: float
    started_s: float


class BodyTransfers:
    """The pending transfers of one process."""

    def __init__(
        self,
        metrics: telemetry.TextMetrics,
        max_held_bytes: int = MAX_HELD_BYTES,
        max_transfers: int = MAX_TRANSFERS,
    ) -> None:
        self._metrics = metrics
        self._max_held_bytes = max_held_bytes
        self._max_transfers = max_transfers
        # The oldest first.
        self._tasks_by_transfer: dict[Transfer, asyncio.Task[None]] = {}

    def count(self) -> int:
        """Returns the number of pending transfers."""
        return len(self._tasks_by_transfer)

    def held_bytes(self) -> int:
        """Returns the memory of the bodies that are kept, in bytes."""
        return sum(
            transfer.connection.held_bytes()
            for transfer in self._tasks_by_transfer
        )

    def add(
        self,
        request_id: ids.RequestId,
        endpoint_id: ids.EndpointId,
        connection: endpoint_connections.EndpointConnection,
        deadline_s: float,
    ) -> None:
        """Takes over a connection whose response is complete.

        Args:
            request_id: The request.
            endpoint_id: The endpoint.
            connection: The connection, closed by this object.
            deadline_s: When the request ends, on the event loop's clock.
        """
        if not connection.has_unsent():
            connection.close()
            return
        loop = asyncio.get_running_loop()
        transfer = Transfer(
            request_id, endpoint_id, connection, deadline_s, loop.time()
        )
        self._tasks_by_transfer[transfer] = loop.create_task(
            self._run(transfer)
        )
        self._evict()

    def end_all(self) -> None:
        """Ends all transfers, for a shutdown."""
        for transfer in list(self._tasks_by_transfer):
            self._end(transfer, Outcome.SHUTDOWN)

    def _evict(self) -> None:
        """Ends the oldest transfers while there are too many."""
        while len(self._tasks_by_transfer) > self._max_transfers:
            self._end(next(iter(self._tasks_by_transfer)), Outcome.EVICTED)
        while self.held_bytes() > self._max_held_bytes:
            oldest = next(
                transfer
                for transfer in self._tasks_by_transfer
                if transfer.connection.held_bytes()
            )
            self._end(oldest, Outcome.EVICTED)

    async def _run(self, transfer: Transfer) -> None:
        loop = asyncio.get_running_loop()
        taken = loop.create_task(transfer.connection.wait_taken())
        ended = loop.create_task(transfer.connection.wait_ended())
        timeout_s = None
        if transfer.deadline_s != math.inf:
            timeout_s = max(0.0, transfer.deadline_s - loop.time())
        try:
            await asyncio.wait(
                [taken, ended],
                timeout=timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not transfer.connection.has_unsent():
                outcome = Outcome.SENT
            elif ended.done():
                outcome = Outcome.ENDPOINT_ENDED
            else:
                outcome = Outcome.OUT_OF_TIME
            self._end(transfer, outcome)
        finally:
            taken.cancel()
            ended.cancel()

    def _end(self, transfer: Transfer, outcome: Outcome) -> None:
        task = self._tasks_by_transfer.pop(transfer, None)
        if task is None:
            return
        loop = asyncio.get_running_loop()
        held_bytes = transfer.connection.held_bytes()
        if outcome is Outcome.SENT:
            transfer.connection.close()
        else:
            transfer.connection.abort()
            task.cancel()
        self._metrics.count('late_bodies', outcome=outcome.value)
        LOG.info(
            'late body ended',
            extra={
                'request_id': transfer.request_id,
                'endpoint': transfer.endpoint_id,
                'outcome': outcome.value,
                'held_bytes': held_bytes,
                'pending': self.count(),
                'time_left_s': round(transfer.deadline_s - loop.time(), 3),
                'took_s': round(loop.time() - transfer.started_s, 3),
            },
        )
