"""What the stand-in of an engine records of its requests."""

import asyncio
from collections.abc import Mapping
import dataclasses
import time
from typing import Any


@dataclasses.dataclass
class ReceivedRequest:
    """One request as the engine received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    # Whether the engine executed the request.
    has_run: bool = False
    # Whether the client disconnected before the response was complete.
    client_disconnected: bool = False
    # On the monotonic clock, in seconds.
    received_at_s: float = dataclasses.field(default_factory=time.monotonic)
    # Reads the body while the engine already responds; None otherwise.
    late_body: 'asyncio.Future[bytes] | None' = None
    # First byte that followed a body which was read late.
    surplus: bytes = b''
    # When the client was seen to end the connection, on the monotonic clock,
    # by the faults that only wait for this.
    hung_up_at_s: float | None = None
    # Run of the engine, by its start in Unix milliseconds.
    run_started_at_ms: int = 0
    # What the engine says of itself in the response.
    says_leaving: bool = False
    retry_after: str | None = None

    @property
    def attempt_id(self) -> str:
        """The id of the client's attempt; empty if there is none."""
        return self.headers.get('x-attempt-id', '')


@dataclasses.dataclass
class Reservation:
    """Engine memory reserved for a request."""

    tokens: int
    # Expiry on the monotonic clock, in seconds.
    expires_at_s: float


def tickets(
    reservations_by_id: Mapping[str, Reservation],
) -> list[dict[str, Any]]:
    """Returns all unexpired reservations as the engine's report has them."""
    now_s = time.monotonic()
    return [
        {
            'id': reservation_id,
            'tokens': reservation.tokens,
            'state': 'held',
            'ageMs': 0,
        }
        for reservation_id, reservation in reservations_by_id.items()
        if reservation.expires_at_s > now_s
    ]
