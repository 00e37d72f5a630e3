"""What the stand-in of an engine records of its requests."""

import asyncio
from collections.abc import Mapping, MutableMapping
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
    # When the client ended the connection, on the monotonic clock; recorded by
    # `engine_faults.SILENT_FAULTS`.
    hung_up_at_s: float | None = None
    # Run of the engine, by its start in Unix milliseconds.
    run_started_at_ms: int = 0
    # The notices of shutdown and of a wait that the response contains.
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


def apply_order(
    reservations_by_id: MutableMapping[str, Reservation], order: dict[str, Any]
) -> int:
    """Reserves or releases memory; returns the status of the response."""
    if order['operation'] == 'reserve':
        reservations_by_id[order['id']] = Reservation(
            order['tokens'], time.monotonic() + order['holdMs'] / 1000
        )
        return 200
    return 409 if reservations_by_id.pop(order['id'], None) is None else 200


def part_ids(request: ReceivedRequest) -> list[str]:
    """Returns the ids of the parts of a request's prompt, in order."""
    entries = request.headers.get('x-prompt-prefix', '').split(',')
    return [entry.partition(':')[0].strip() for entry in entries]


async def read_surplus(
    request: ReceivedRequest, reader: asyncio.StreamReader
) -> bytes:
    """Returns the first byte after a request; empty at the end."""
    if request.late_body is not None:
        request.body = await request.late_body
    return await reader.read(1)
