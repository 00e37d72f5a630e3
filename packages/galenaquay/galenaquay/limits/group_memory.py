"""Reserves memory at several engines for one prompt, and releases the memory.

Each reservation is a short lease that this process renews, so that the engine
frees the memory by itself after this process has died. An engine may execute
an unanswered reserve order much later; the reservation is therefore released
repeatedly until the order can no longer take effect.
"""

import asyncio
from collections.abc import AsyncIterator, Sequence
import contextlib
import dataclasses
import logging
import secrets
from typing import Final

from .. import tasks
from ..engines import directory
from ..ports import reservations

LOG: Final = logging.getLogger(__name__)
# Time after which a reservation expires without a renewal, in seconds. If a
# process dies while a renewal is under way, the reservation lasts up to twice
# this time less one renewal interval; engines must have the memory back within
# 4 s.
LEASE_S: Final = 2.2
# Time between two renewals of a reservation, in seconds.
RENEW_INTERVAL_S: Final = 0.7
# Time after an unanswered renewal until the next one, in seconds. An engine
# that has ended refuses the connection for each of them at once.
RENEW_RETRY_S: Final = 0.1
# Time after which an engine can no longer execute an unanswered order, in
# seconds.
LATE_ORDER_S: Final = 13.0
# Time between two releases of a reservation that an unanswered order may
# still make, in seconds.
SWEEP_INTERVAL_S: Final = 0.8
# Random bytes in the id of a reservation.
ID_BYTES: Final = 8


@dataclasses.dataclass(frozen=True)
class Part:
    """Memory to reserve at one engine."""

    endpoint: directory.Endpoint
    tokens: int


@dataclasses.dataclass
class PartReservation:
    """A reservation that one engine has made, or may make."""

    part: Part
    id: reservations.ReservationId
    outcome: reservations.Outcome = reservations.Outcome.UNANSWERED
    # Whether any order for this reservation is unanswered.
    is_uncertain: bool = False


class GroupMemory:
    """Reserves, renews and releases memory at engines."""

    def __init__(self, engines: reservations.Reservations) -> None:
        self._engines = engines
        self._sweeps: set[asyncio.Task[None]] = set()
        self._reservations_by_id: dict[
            reservations.ReservationId, PartReservation
        ] = {}

    @contextlib.asynccontextmanager
    async def reserve_all(
        self, parts: Sequence[Part]
    ) -> AsyncIterator[list[PartReservation]]:
        """Reserves all parts for as long as the context lasts.

        No exception is raised for a part that cannot be reserved; the caller
        must check the `outcome` of each reservation. Reservations are renewed
        only if every part was reserved.
        """
        reserved = [
            PartReservation(
                part,
                reservations.ReservationId(secrets.token_hex(ID_BYTES)),
            )
            for part in parts
        ]
        self._reservations_by_id.update(
            (reservation.id, reservation) for reservation in reserved
        )
        renewing: list[asyncio.Task[None]] = []
        try:
            await asyncio.gather(*map(self._reserve, reserved))
            if all(r.outcome is reservations.Outcome.DONE for r in reserved):
                renewing = [
                    tasks.start(self._renew(reservation), 'renew memory')
                    for reservation in reserved
                ]
            yield reserved
        finally:
            for task in renewing:
                task.cancel()
            # Released in separate tasks, which continue even if the task of
            # the request has been cancelled.
            for reservation in reserved:
                sweep = tasks.start(
                    self._release_and_forget(reservation), 'release memory'
                )
                self._sweeps.add(sweep)
                sweep.add_done_callback(self._sweeps.discard)

    def active_reservations(self) -> list[PartReservation]:
        """Returns the reservations that engines have made, or may make."""
        return list(self._reservations_by_id.values())

    async def _reserve(self, reservation: PartReservation) -> None:
        reservation.is_uncertain = True
        reservation.outcome = await self._engines.reserve(
            reservation.part.endpoint,
            reservation.id,
            reservation.part.tokens,
            LEASE_S,
        )
        reservation.is_uncertain = (
            reservation.outcome is reservations.Outcome.UNANSWERED
        )

    async def _renew(self, reservation: PartReservation) -> None:
        await asyncio.sleep(RENEW_INTERVAL_S)
        while True:
            was_uncertain = reservation.is_uncertain
            reservation.is_uncertain = True
            outcome = await self._engines.reserve(
                reservation.part.endpoint,
                reservation.id,
                reservation.part.tokens,
                LEASE_S,
            )
            if outcome is reservations.Outcome.UNANSWERED:
                await asyncio.sleep(RENEW_RETRY_S)
                continue
            reservation.is_uncertain = was_uncertain
            await asyncio.sleep(RENEW_INTERVAL_S)

    async def _release_and_forget(self, reservation: PartReservation) -> None:
        try:
            await self._release(reservation)
        finally:
            self._reservations_by_id.pop(reservation.id, None)

    async def _release(self, reservation: PartReservation) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + LATE_ORDER_S
        while True:
            outcome = await self._engines.release(
                reservation.part.endpoint, reservation.id
            )
            is_answered = outcome is not reservations.Outcome.UNANSWERED
            if is_answered and not reservation.is_uncertain:
                return
            if loop.time() > until_s:
                LOG.info(
                    'stopped releasing a reservation',
                    extra={
                        'endpoint': reservation.part.endpoint.id,
                        'reservation': reservation.id,
                        'last': outcome.value,
                    },
                )
                return
            await asyncio.sleep(SWEEP_INTERVAL_S)
