"""Has other VMs forward requests while this VM reaches no endpoint."""

import asyncio
import logging
import random
from typing import Final

from .. import telemetry
from ..engines import contact as contact_module
from ..membership import fleet as fleet_module
from ..ports import exchange
from ..ports import relays as relays_port

LOG: Final = logging.getLogger(__name__)
# Number of VMs that are asked for one request.
MAX_ASKED: Final = 4
# Time for which a VM is not asked after it could not forward, in seconds.
BACKOFF_S: Final = 1.0


class Relaying:
    """Chooses the VMs that are asked to forward requests."""

    def __init__(
        self,
        contact: contact_module.Contact,
        fleet: fleet_module.Fleet,
        relays: relays_port.Relays,
        metrics: telemetry.TextMetrics,
        rng: random.Random,
    ) -> None:
        self._contact = contact
        self._fleet = fleet
        self._relays = relays
        self._metrics = metrics
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        # When a VM may be asked again, by its address.
        self._retry_at_s_by_address: dict[str, float] = {}

    def is_needed(self) -> bool:
        """Returns whether this VM reaches no endpoint itself."""
        return self._contact.is_cut_off()

    async def relay(
        self,
        request: exchange.Request,
        deadline_s: float,
        attempts: int,
        writer: exchange.ResponseWriter,
    ) -> relays_port.Relayed:
        """Asks VMs one after the other until one forwards a request.

        Args:
            request: The request.
            deadline_s: When the caller stops waiting, on the clock of the
                event loop.
            attempts: Number of attempts so far that may have run.
            writer: Gets the response.
        """
        for member in self._choose():
            relayed = await self._relays.forward(
                member.address,
                request,
                deadline_s - self._loop.time(),
                attempts,
                writer,
            )
            self._metrics.count('relays', outcome=relayed.outcome.value)
            LOG.info(
                'request relayed',
                extra={
                    'request_id': request.id,
                    'member': member.vm_id,
                    'outcome': relayed.outcome.value,
                    'status': relayed.status,
                    'reason': relayed.reason,
                },
            )
            if relayed.outcome is not relays_port.Outcome.NOT_RUN:
                return relayed
            retry_at_s = self._loop.time() + BACKOFF_S
            self._retry_at_s_by_address[member.address] = retry_at_s
        return relays_port.Relayed(
            relays_port.Outcome.NOT_RUN, reason='no VM forwards it'
        )

    def _choose(self) -> list[fleet_module.Member]:
        """Returns VMs to ask in order, those of this zone first."""
        now_s = self._loop.time()
        self._retry_at_s_by_address = {
            address: at_s
            for address, at_s in self._retry_at_s_by_address.items()
            if at_s > now_s
        }
        members = [
            member
            for member in self._fleet.members()
            if member.address not in self._retry_at_s_by_address
        ]
        self._rng.shuffle(members)
        zone = self._fleet.me.zone
        members.sort(key=lambda member: member.zone != zone)
        return members[:MAX_ASKED]
