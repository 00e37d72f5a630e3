"""Releases memory that engines still reserve for processes that have died.

VMs report their reservations to each other. When a VM stops reporting or its
process restarts, another VM releases the reservations of the old process,
repeatedly until no engine can execute an order of that process any more. A VM
that stops reporting may only be cut off from the network, so a reservation
that a request uses is not released.
"""

import asyncio
from collections.abc import Callable, Iterable
import dataclasses
import logging
import time
from typing import Final

from .. import ids
from .. import tasks
from ..engines import directory as directory_module
from . import group_memory
from ..membership import ranks
from ..ports import reservations

LOG: Final = logging.getLogger(__name__)
# Time between two checks for VMs that have stopped reporting, in seconds.
CHECK_INTERVAL_S: Final = 0.2


@dataclasses.dataclass(frozen=True)
class ReportedReservation:
    """A reservation that a VM reports as made, or as possibly made."""

    endpoint_id: ids.EndpointId
    id: reservations.ReservationId


@dataclasses.dataclass(frozen=True)
class _Report:
    """The last report of one process."""

    vm_id: ids.VmId
    incarnation: ids.Incarnation
    reported: frozenset[ReportedReservation]
    heard_at_s: float
    # Time without a report after which the process is taken for dead, in
    # seconds.
    valid_s: float


class OrphanedMemory:
    """Tracks the reservations of other VMs and releases the orphaned ones."""

    def __init__(
        self,
        me: ids.VmId,
        engines: reservations.Reservations,
        directory: directory_module.Directory,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._me = me
        self._engines = engines
        self._directory = directory
        self._clock = clock
        self._reports_by_vm: dict[ids.VmId, _Report] = {}
        self._sweeps: set[asyncio.Task[None]] = set()

    def record_report(
        self,
        vm_id: ids.VmId,
        incarnation: ids.Incarnation,
        reported: Iterable[ReportedReservation],
        valid_s: float,
    ) -> None:
        """Records the reservations that a process reports.

        The report replaces the VM's previous report. If the previous report
        came from another incarnation, that process has died, and its
        reservations are released.

        Args:
            vm_id: The VM of the process.
            incarnation: The incarnation of the process.
            reported: All reservations of the process.
            valid_s: Time without a further report after which the process is
                taken for dead, in seconds.
        """
        old = self._reports_by_vm.get(vm_id)
        if old is not None and old.incarnation != incarnation:
            self._sweep(old)
        self._reports_by_vm[vm_id] = _Report(
            vm_id, incarnation, frozenset(reported), self._clock(), valid_s
        )

    def is_silent(self, vm_id: ids.VmId, incarnation: ids.Incarnation) -> bool:
        """Returns whether the last report of a process has expired.

        Also true for a process that is unknown or has been replaced by another
        incarnation.
        """
        report = self._reports_by_vm.get(vm_id)
        if report is None or report.incarnation != incarnation:
            return True
        return self._clock() - report.heard_at_s > report.valid_s

    def _is_responsible(self, reservation: ReportedReservation) -> bool:
        """Returns whether this VM is to release an orphaned reservation.

        Of this VM and the VMs that still report, the VM that ranks first for
        the reservation releases it.
        """
        alive = [
            report.vm_id
            for report in self._reports_by_vm.values()
            if not self.is_silent(report.vm_id, report.incarnation)
        ]
        first = ranks.rank_vms(reservation.id, [*alive, self._me], 1)
        return first[0] == self._me

    async def run(self) -> None:
        """Releases the reservations of VMs that stop reporting."""
        try:
            while True:
                for report in list(self._reports_by_vm.values()):
                    if self.is_silent(report.vm_id, report.incarnation):
                        del self._reports_by_vm[report.vm_id]
                        self._sweep(report)
                await asyncio.sleep(CHECK_INTERVAL_S)
        finally:
            for sweep in self._sweeps:
                sweep.cancel()

    def _sweep(self, report: _Report) -> None:
        for reservation in report.reported:
            endpoint = self._directory.endpoints_by_id.get(
                reservation.endpoint_id
            )
            if endpoint is None:
                continue
            if not self._is_responsible(reservation):
                continue
            LOG.info(
                'releasing a reservation of a silent member',
                extra={
                    'member': report.vm_id,
                    'endpoint': reservation.endpoint_id,
                    'reservation': reservation.id,
                    'heard_age_s': round(self._clock() - report.heard_at_s, 3),
                },
            )
            sweep = tasks.start(
                self._release(report, reservation, endpoint), 'release orphan'
            )
            self._sweeps.add(sweep)
            sweep.add_done_callback(self._sweeps.discard)

    async def _release(
        self,
        report: _Report,
        reservation: ReportedReservation,
        endpoint: directory_module.Endpoint,
    ) -> None:
        """Releases a reservation whenever no request uses it.

        Continues until the engine can no longer execute an order of the dead
        process, and stops early if the process reports again.
        """
        until_s = self._clock() + group_memory.LATE_ORDER_S
        while self._clock() < until_s:
            if not self.is_silent(report.vm_id, report.incarnation):
                return
            use = await self._engines.find_use(endpoint, reservation.id)
            if use is reservations.Use.IDLE:
                await self._engines.release(endpoint, reservation.id)
            await asyncio.sleep(group_memory.SWEEP_INTERVAL_S)
