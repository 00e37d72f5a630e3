"""Tells other VMs over gRPC what this one has placed where, and hears them.

There is one task for each address; it speaks when something has changed and
else now and then. In a large fleet a VM speaks with the hubs of its zone only
and learns from their replies what all others have placed, so that what one VM
sends does not grow with the fleet.
"""

import asyncio
from collections.abc import Iterable
import contextlib
import logging
import math
from typing import Any, Final

from galenaquay_api import fleet_grpc
from galenaquay_api import fleet_pb2
import grpclib.client
import grpclib.exceptions
import grpclib.server

from .. import ids
from .. import tasks
from ..configuration import current as current_module
from ..engines import workload as workload_module
from ..limits import cold_starts as cold_starts_module
from ..limits import group_memory as group_memory_module
from ..limits import orphaned_memory
from ..membership import fleet as fleet_module
from ..ports import reservations

LOG: Final = logging.getLogger(__name__)
# Time for an answer, in seconds.
ANSWER_S: Final = 0.5
# Time between two reports to one member when nothing changes, in seconds.
IDLE_INTERVAL_S: Final = 1.0
# Reports that may be missed before what the last one told is forgotten.
MISSED_REPORTS: Final = 2.0
# Time between two reports to one member, at least, in seconds; the longer one
# where nothing has changed but short prompts and plain calls.
MIN_INTERVAL_S: Final = 0.05
# Reports that one VM sends in a second, to all members together, beside those
# on large changes, where everybody speaks with everybody.
MESH_REPORTS_PER_S: Final = 40.0
# Time between two reports to a hub, in seconds.
HUB_INTERVAL_S: Final = 0.33
# Of so many reports in a row, the replies of hubs to the first ones name the
# members that there are; a VM numbers its reports to all hubs together.
NAMING_REPLIES: Final = 8
NAMING_RUN: Final = 3
# Time before speaking again to an address that has not answered, in seconds.
RETRY_INTERVAL_S: Final = 0.5
# Time between two looks at which addresses there are, in seconds.
ADDRESSES_INTERVAL_S: Final = 0.3
_MS: Final = 1000


class FleetReports:
    """Sends this VM's load to all members and takes theirs in."""

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        workload: workload_module.Workload,
        cold_starts: cold_starts_module.ColdStarts,
        current: current_module.Current,
        group_memory: group_memory_module.GroupMemory,
        orphans: orphaned_memory.OrphanedMemory,
    ) -> None:
        self.is_leaving = False
        self._fleet = fleet
        self._workload = workload
        self._cold_starts = cold_starts
        self._current = current
        self._group_memory = group_memory
        self._orphans = orphans
        self._number = 0
        self._last_numbers: dict[tuple[ids.VmId, int], int] = {}
        self._tasks_by_address: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Keeps one task for each address that may answer."""
        try:
            while True:
                self._keep_tasks()
                self._cold_starts.vms = self._fleet.vms()
                await asyncio.sleep(ADDRESSES_INTERVAL_S)
        finally:
            for task in self._tasks_by_address.values():
                task.cancel()

    def _keep_tasks(self) -> None:
        addresses = self._fleet.addresses()
        for address in addresses:
            if address not in self._tasks_by_address:
                self._tasks_by_address[address] = tasks.start(
                    self._speak(address), f'reports to {address}'
                )
        for address in list(self._tasks_by_address):
            if address not in addresses:
                self._tasks_by_address.pop(address).cancel()

    def _interval_s(self) -> float:
        if self._fleet.is_mesh():
            return len(self._tasks_by_address) / MESH_REPORTS_PER_S
        return HUB_INTERVAL_S

    async def _speak(self, address: str) -> None:
        """Sends reports to one address for as long as it is known."""
        host, _, port = address.rpartition(':')
        channel = grpclib.client.Channel(host, int(port))
        try:
            while True:
                changes = self._workload.changes
                urgent = self._workload.urgent_changes
                if not await self._report(channel):
                    # A channel that fell silent may stay so for good.
                    channel.close()
                    channel = grpclib.client.Channel(host, int(port))
                    await asyncio.sleep(RETRY_INTERVAL_S)
                    continue
                await asyncio.sleep(MIN_INTERVAL_S)
                await self._wait_for_urgent(urgent, self._interval_s())
                # A hub is asked also when there is nothing to tell it.
                if self._fleet.is_mesh() and (
                    self._workload.urgent_changes == urgent
                ):
                    await self._wait_for_change(changes)
        finally:
            channel.close()

    async def _wait_for_urgent(self, urgent: int, seconds: float) -> None:
        """Waits for some time, less if something large changes."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._workload.wait_for_urgent_change(urgent)

    async def _wait_for_change(self, changes: int) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                max(0.0, IDLE_INTERVAL_S - self._interval_s())
            ):
                await self._workload.wait_for_change(changes)

    async def _report(self, channel: grpclib.client.Channel) -> bool:
        asked_at_s = self._current.now_s()
        try:
            async with asyncio.timeout(ANSWER_S):
                reply = await fleet_grpc.FleetStub(channel).Report(
                    self.own_report()
                )
        except (
            OSError,
            TimeoutError,
            grpclib.exceptions.GRPCError,
            grpclib.exceptions.ProtocolError,
            grpclib.exceptions.StreamTerminatedError,
        ) as exc:
            LOG.debug('member did not answer: %s', exc)
            return False
        self.take_reply(reply, asked_at_s)
        return True

    def take_reply(
        self, reply: fleet_pb2.LoadReply, asked_at_s: float
    ) -> None:
        """Takes over what one who was told has answered."""
        sender = _member_of(reply.sender)
        self._fleet.hear(sender)
        if not self._fleet.is_mesh():
            self._take_zone_loads(sender, reply)
        self._fleet.name(map(_named_of, reply.members))
        confirmed_at_s = None
        if reply.confirmed_age_ms_plus_one:
            # The age was told after this VM had asked, so the time that the
            # reply took makes the confirmation older, never newer.
            age_ms = reply.confirmed_age_ms_plus_one - 1
            confirmed_at_s = asked_at_s - age_ms / _MS
        self._current.hear(reply.config_version, confirmed_at_s)

    def _take_zone_loads(
        self, hub: fleet_module.Member, reply: fleet_pb2.LoadReply
    ) -> None:
        # A hub has heard its own zone from each VM itself.
        if hub.zone == self._fleet.me.zone and self._fleet.is_hub():
            return
        self._workload.hear(
            _key_of_zone(hub.zone), _loads_of(reply.loads), self._valid_s()
        )

    def _valid_s(self) -> float:
        """Returns for how long what was told counts, in seconds."""
        return MISSED_REPORTS * max(IDLE_INTERVAL_S, self._interval_s())

    def _loads_for(
        self, member: fleet_module.Member
    ) -> dict[ids.EndpointId, workload_module.EndpointLoad]:
        """Returns what a hub tells one who asks."""
        if self._fleet.is_mesh():
            return {}
        left_out = {member.vm_id, _key_of_zone(self._fleet.me.zone)}
        if member.zone != self._fleet.me.zone:
            # Hubs of other zones are told of this zone alone.
            left_out.update(map(_key_of_zone, self._fleet.zones()))
        return self._workload.loads_but_of(left_out)

    def own_report(self) -> fleet_pb2.LoadReport:
        """Returns what this VM tells others."""
        self._number += 1
        return fleet_pb2.LoadReport(
            sender=_message_of(self._fleet.me),
            number=self._number,
            leaving=self.is_leaving,
            loads=[
                _load_message(endpoint_id, load)
                for endpoint_id, load in self._workload.own_loads().items()
            ],
            reservations=[
                fleet_pb2.Reservation(
                    endpoint_id=held.part.endpoint.id, id=held.id
                )
                for held in self._group_memory.kept()
            ],
        )

    def take(self, report: fleet_pb2.LoadReport) -> fleet_pb2.LoadReply:
        """Takes a member's report in and answers with who else is there."""
        sender = _member_of(report.sender)
        key = (sender.vm_id, sender.incarnation)
        if report.number > self._last_numbers.get(key, 0):
            self._last_numbers[key] = report.number
            if report.leaving:
                self._fleet.leave(sender)
            else:
                self._fleet.hear(sender)
            # What other zones have placed is told by their hubs' replies.
            if self._fleet.is_mesh() or sender.zone == self._fleet.me.zone:
                self._workload.hear(
                    sender.vm_id, _loads_of(report.loads), self._valid_s()
                )
            self._orphans.hear(
                sender.vm_id,
                sender.incarnation,
                map(_claim_of, report.reservations),
                self._valid_s(),
            )
        table = self._current.table
        age_s = self._current.age_s()
        return fleet_pb2.LoadReply(
            sender=_message_of(self._fleet.me),
            members=map(_naming_of, self._named_in(report.number)),
            loads=[
                _load_message(endpoint_id, load)
                for endpoint_id, load in self._loads_for(sender).items()
            ],
            config_version=table.version if table is not None else 0,
            confirmed_age_ms_plus_one=(
                0 if age_s is None else math.ceil(age_s * _MS) + 1
            ),
        )


    def _named_in(self, number: int) -> list[fleet_module.Named]:
        """Returns the members that the reply to a report names."""
        if self._fleet.is_mesh() or number % NAMING_REPLIES < NAMING_RUN:
            return self._fleet.named()
        return []


class FleetServer(fleet_grpc.FleetBase):
    """Answers other VMs."""

    def __init__(self, reports: FleetReports) -> None:
        self._reports = reports

    async def Report(  # noqa: N802
        self, stream: 'grpclib.server.Stream[Any, Any]'
    ) -> None:
        """Takes one report in."""
        report = await stream.recv_message()
        if report is not None:
            await stream.send_message(self._reports.take(report))


def _key_of_zone(zone: ids.ZoneName) -> ids.VmId:
    """Returns the name under which a zone's sums are kept."""
    return ids.VmId(f'zone {zone}')


def _loads_of(
    messages: Iterable[fleet_pb2.EndpointLoad],
) -> dict[ids.EndpointId, workload_module.EndpointLoad]:
    return {
        ids.EndpointId(message.endpoint_id): _load_of(message)
        for message in messages
    }


def _claim_of(message: fleet_pb2.Reservation) -> orphaned_memory.Claim:
    return orphaned_memory.Claim(
        ids.EndpointId(message.endpoint_id),
        reservations.ReservationId(message.id),
    )


def _member_of(message: fleet_pb2.Member) -> fleet_module.Member:
    return fleet_module.Member(
        ids.VmId(message.vm_id),
        ids.Incarnation(message.incarnation),
        message.address,
        ids.ZoneName(message.zone),
    )


def _message_of(member: fleet_module.Member) -> fleet_pb2.Member:
    return fleet_pb2.Member(
        vm_id=member.vm_id,
        incarnation=member.incarnation,
        address=member.address,
        zone=member.zone,
    )


def _named_of(message: fleet_pb2.Member) -> fleet_module.Named:
    return fleet_module.Named(_member_of(message), message.silent_ms / _MS)


def _naming_of(named: fleet_module.Named) -> fleet_pb2.Member:
    message = _message_of(named.member)
    message.silent_ms = int(named.silent_s * _MS)
    return message


def _load_message(
    endpoint_id: ids.EndpointId, load: workload_module.EndpointLoad
) -> fleet_pb2.EndpointLoad:
    return fleet_pb2.EndpointLoad(
        endpoint_id=endpoint_id,
        running=load.running,
        read_ms=int(load.read_s * _MS),
        memory_tokens=load.memory_tokens,
        writers=[
            fleet_pb2.Writers(
                max_gap_ms=int(group.max_gap_s * _MS),
                count=group.count,
                value=group.value,
            )
            for group in load.writers
        ],
        helping=load.helping,
        read_urgency=load.read_urgency,
    )


def _load_of(message: fleet_pb2.EndpointLoad) -> workload_module.EndpointLoad:
    return workload_module.EndpointLoad(
        message.running,
        message.read_ms / _MS,
        message.memory_tokens,
        tuple(
            workload_module.Writers(
                group.max_gap_ms / _MS, group.count, group.value
            )
            for group in message.writers
        ),
        message.helping,
        message.read_urgency,
    )
