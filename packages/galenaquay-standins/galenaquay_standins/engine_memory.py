"""Memory that the stand-in of the users' engines has reserved."""

from collections.abc import Mapping
import dataclasses
import time
from typing import Any


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
