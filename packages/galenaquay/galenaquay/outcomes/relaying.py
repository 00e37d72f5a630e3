"""Has other VMs forward requests while this VM reaches no endpoint.

VMs of the same zone are asked first, as bytes between zones cost more. They
may all have lost the endpoints with this VM, so one that cannot forward has
those of other zones asked before the rest of its zone.
"""

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
MAX_ASKED: Final = 8
# Time after which no further VM is asked for a request, in seconds.
MAX_ASKING_S: Final = 1.2
# Time for which a VM is not asked after it could not forward, in seconds.
BACKOFF_S: Final = 1.0
# Time for which a VM that has forwarded is asked before others of zones in
# which some VM could not, in seconds.
FORWARDED_MEMORY_S: Final = 3.0


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
        # When a VM forwarded a request, by its address.
        self._forwarded_at_s_by_address: dict[str, float] = {}

    def is_needed(self) -> bool:
        """Returns whether this VM reaches no endpoint itself."""
        return self._contact.is_cut_off()

    async def relay(
        self,
        passed: relays_port.PassedRequest,
        deadline_s: float,
        writer: exchange.ResponseWriter,
    ) -> relays_port.Relayed:
        """Asks VMs one after the other until one forwards a request.

        Args:
            passed: The request.
            deadline_s: When the caller stops waiting, on the clock of the
                event loop.
            writer: Gets the response.
        """
        ends_at_s = self._loop.time() + MAX_ASKING_S
        for _ in range(MAX_ASKED):
            member = self._choose()
            if member is None or self._loop.time() >= ends_at_s:
                break
            relayed = await self._relays.forward(
                member.address,
                passed,
                deadline_s - self._loop.time(),
                writer,
            )
            self._record(member, passed.request, relayed)
            if relayed.outcome is not relays_port.Outcome.NOT_RUN:
                return relayed
        return relays_port.Relayed(
            relays_port.Outcome.NOT_RUN, reason='no VM forwards it'
        )

    def _record(
        self,
        member: fleet_module.Member,
        request: exchange.Request,
        relayed: relays_port.Relayed,
    ) -> None:
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
        now_s = self._loop.time()
        if relayed.outcome is relays_port.Outcome.NOT_RUN:
            self._retry_at_s_by_address[member.address] = now_s + BACKOFF_S
            self._forwarded_at_s_by_address.pop(member.address, None)
        else:
            self._forwarded_at_s_by_address[member.address] = now_s

    def _choose(self) -> fleet_module.Member | None:
        """Returns the VM to ask next; None if none may be asked."""
        self._forget()
        members = self._fleet.members()
        doubtful_zones = {
            member.zone
            for member in members
            if member.address in self._retry_at_s_by_address
        }

        def rank(member: fleet_module.Member) -> tuple[bool, bool, float]:
            is_doubtful = member.zone in doubtful_zones and (
                member.address not in self._forwarded_at_s_by_address
            )
            return (
                is_doubtful,
                member.zone != self._fleet.me.zone,
                self._rng.random(),
            )

        return min(
            (
                member
                for member in members
                if member.address not in self._retry_at_s_by_address
            ),
            key=rank,
            default=None,
        )

    def _forget(self) -> None:
        """Drops what was learnt of VMs too long ago."""
        now_s = self._loop.time()
        self._retry_at_s_by_address = {
            address: at_s
            for address, at_s in self._retry_at_s_by_address.items()
            if at_s > now_s
        }
        self._forwarded_at_s_by_address = {
            address: at_s
            for address, at_s in self._forwarded_at_s_by_address.items()
            if at_s > now_s - FORWARDED_MEMORY_S
        }
