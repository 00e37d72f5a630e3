"""The port for reserving engine memory for the parts of a prompt."""

import enum
from typing import NewType, Protocol

from ..engines import directory

# Identifies a reservation of memory at one engine.
ReservationId = NewType('ReservationId', str)


class Outcome(enum.Enum):
    """The outcome of a request to reserve or release memory."""

    DONE = 'done'
    # The engine refused: not enough memory is free, or the id is unknown.
    REFUSED = 'refused'
    # No response arrived; the engine may still carry out the request, possibly
    # much later.
    UNANSWERED = 'unanswered'


class Use(enum.Enum):
    """The use of a reservation, as the engine reports it."""

    # The engine has no such reservation.
    NONE = 'none'
    # The memory is reserved, or the reservation is queued, and no request uses
    # the memory.
    IDLE = 'idle'
    USED = 'used'
    # The engine did not report the use.
    UNKNOWN = 'unknown'


class Reservations(Protocol):
    """Client for reservations of engine memory."""

    async def reserve(
        self,
        endpoint: directory.Endpoint,
        reservation_id: ReservationId,
        tokens: int,
        hold_s: float,
    ) -> Outcome:
        """Reserves memory, or renews a reservation that has the same id.

        Args:
            endpoint: The engine whose memory is reserved.
            reservation_id: The id that the caller of this method has chosen.
            tokens: Size of the memory, in tokens.
            hold_s: Duration of the reservation, in seconds.
        """
        ...

    async def release(
        self, endpoint: directory.Endpoint, reservation_id: ReservationId
    ) -> Outcome:
        """Releases a reservation."""
        ...

    async def find_use(
        self, endpoint: directory.Endpoint, reservation_id: ReservationId
    ) -> Use:
        """Returns whether a reservation exists and is in use."""
        ...
