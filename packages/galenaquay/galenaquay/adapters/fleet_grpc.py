"""Exchanges load reports between VMs over gRPC.

A load report contains the load that the requests of one VM put on each
endpoint. One task for each address sends a report after a change, and
periodically without one. In a large fleet a VM reports only to the hubs, a few
VMs of its zone that collect load reports. The replies of the hubs contain the
load of all other VMs, so the traffic of one VM does not grow with the fleet.
"""

import asyncio
import contextlib
import dataclasses
import functools
import logging
import math
from typing import Final

from galenaquay_api import fleet_grpc
from galenaquay_api import fleet_pb2
import grpclib.client
import grpclib.exceptions

from .. import ids
from .. import tasks
from ..configuration import current as current_module
from ..configuration import mirror as mirror_module
from ..configuration.store_revisions import StoreRevision
from ..engines import workload as workload_module
from . import fleet_messages
from ..limits import availability as availability_module
from ..limits import endpoint_rates
from ..limits import group_memory as group_memory_module
from ..limits import named_limits as named_limits_module
from ..limits import orphaned_memory
from ..limits import quarantine as quarantine_module
from . import member_lists
from ..membership import fleet as fleet_module
from ..membership import hedging
from ..membership import revisions as revisions_module
from . import reply_loads
from ..waiting import sums as waiting_sums

LOG: Final = logging.getLogger(__name__)
# Timeout for the reply to a report, in seconds.
REPLY_TIMEOUT_S: Final = 0.5
# Interval between reports to one member when nothing changes, in seconds.
IDLE_INTERVAL_S: Final = 1.0
# Number of report intervals without a report after which a member's loads
# expire.
EXPIRY_INTERVALS: Final = 2.0
# Minimum interval between reports to one member, in seconds. Only urgent
# changes are reported this soon; changes by short prompts and by calls to
# services wait for the longer interval of the mesh or of the hubs.
MIN_INTERVAL_S: Final = 0.05
# Reports per second from one VM to all members of a full mesh together, not
# counting reports of urgent changes.
MESH_REPORTS_PER_S: Final = 40.0
# Interval between reports to one hub, in seconds.
HUB_INTERVAL_S: Final = 0.5
# A VM asks the other hub of its zone for the loads if the preferred one has
# not replied for this time, in seconds.
HUB_SILENCE_S: Final = 0.75
# Age from which loads are refreshed before a prompt is placed, and longest
# time that the prompt waits for them, in seconds.
REFRESH_AGE_S: Final = 0.03
REFRESH_TIMEOUT_S: Final = 0.03
# Delay before the next report to an address that did not reply, in seconds.
RETRY_INTERVAL_S: Final = 0.5
# Interval between updates of the set of addresses, in seconds.
ADDRESSES_INTERVAL_S: Final = 0.3
_MS_PER_S: Final = 1000


@dataclasses.dataclass
class Progress:
    """How far this VM and one other have told each other their changes."""

    # The other VM's process that the revisions refer to.
    incarnation: ids.Incarnation = ids.Incarnation(0)
    # Revision of the other process up to which its changes are known here.
    seen_revision: int = 0
    # Own revision up to which the other process knows the changes, and the one
    # up to which the report under way contains them.
    sent_revision: int = 0
    pending_revision: int = 0
    # Whether the report under way asks for a reply without loads.
    has_omitted_loads: bool = False


class FleetReports:
    """Sends this VM's load reports and handles those of other VMs."""

    def __init__(
        self,
        fleet: fleet_module.Fleet,
        workload: workload_module.Workload,
        rates: endpoint_rates.EndpointRates,
        current: current_module.RouteTableInForce,
        documents: mirror_module.Mirror,
        hedge: hedging.DocumentHedge,
        group_memory: group_memory_module.GroupMemory,
        orphans: orphaned_memory.OrphanedMemory,
        revisions: revisions_module.Revisions,
        quarantine: quarantine_module.Quarantine,
        named_limits: named_limits_module.NamedLimits,
        availability: availability_module.Availability,
        waiting: waiting_sums.WaitingSums,
    ) -> None:
        self.is_leaving = False
        self._fleet = fleet
        self._workload = workload
        self._rates = rates
        self._current = current
        self._documents = documents
        self._hedge = hedge
        self._group_memory = group_memory
        self._orphans = orphans
        self._revisions = revisions
        self._quarantine = quarantine
        self._named_limits = named_limits
        self._availability = availability
        self._waiting = waiting
        self._report_number = 0
        self._last_number_by_process: dict[tuple[ids.VmId, int], int] = {}
        self._tasks_by_address: dict[str, asyncio.Task[None]] = {}
        self._reply_loads = reply_loads.ReplyLoads(workload, workload.now_s)
        self._member_lists = member_lists.MemberLists(fleet, workload.now_s)
        # When each VM has last replied, by its address.
        self._replied_at_s: dict[str, float] = {}
        # When a hub of this zone has last told the loads of other VMs.
        self._loads_at_s = float('-inf')
        self._loads_told = asyncio.Event()

    async def run(self) -> None:
        """Runs one reporting task for each address of the fleet."""
        try:
            while True:
                self._update_tasks()
                self._rates.update_members()
                await asyncio.sleep(ADDRESSES_INTERVAL_S)
        finally:
            for task in self._tasks_by_address.values():
                task.cancel()
            self._tasks_by_address.clear()

    async def refresh_loads(self) -> None:
        """Gets the present loads of other VMs from a hub, if it is quick.

        Between its regular replies, a hub has heard of long prompts that were
        placed meanwhile. In a full mesh the VMs tell each other at once.
        """
        if self._fleet.is_mesh() or self._fleet.is_hub():
            return
        if self._workload.now_s() - self._loads_at_s < REFRESH_AGE_S:
            return
        told = self._loads_told
        self._workload.note_urgent_change()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REFRESH_TIMEOUT_S):
                await told.wait()

    def _update_tasks(self) -> None:
        addresses = self._fleet.addresses()
        for address in addresses:
            if address not in self._tasks_by_address:
                self._tasks_by_address[address] = tasks.start_lasting(
                    functools.partial(self._send_reports, address),
                    f'reports to {address}',
                )
        for address in list(self._tasks_by_address):
            if address not in addresses:
                self._tasks_by_address.pop(address).cancel()

    def _interval_s(self) -> float:
        if self._fleet.is_mesh():
            return len(self._tasks_by_address) / MESH_REPORTS_PER_S
        return HUB_INTERVAL_S

    async def _send_reports(self, address: str) -> None:
        """Sends reports to one address until the task is cancelled."""
        host, _, port = address.rpartition(':')
        channel = grpclib.client.Channel(host, int(port))
        progress = Progress()
        try:
            while True:
                changes = self._workload.changes
                urgent = self._workload.urgent_changes
                if not await self._send_report(channel, address, progress):
                    # A channel whose peer stopped responding may never
                    # recover, so the next report takes a new channel.
                    channel.close()
                    channel = grpclib.client.Channel(host, int(port))
                    await asyncio.sleep(RETRY_INTERVAL_S)
                    continue
                await asyncio.sleep(MIN_INTERVAL_S)
                await self._wait_for_urgent(urgent, self._interval_s())
                # Reports to hubs do not wait for a change, since their
                # replies carry the load of the other VMs.
                if self._fleet.is_mesh() and (
                    self._workload.urgent_changes == urgent
                ):
                    await self._wait_for_change(changes)
        finally:
            channel.close()

    async def _wait_for_urgent(self, urgent: int, seconds: float) -> None:
        """Waits for the next urgent change, at most `seconds`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._workload.wait_for_urgent_change(urgent)

    async def _wait_for_change(self, changes: int) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                max(0.0, IDLE_INTERVAL_S - self._interval_s())
            ):
                await self._workload.wait_for_change(changes)

    async def _send_report(
        self, channel: grpclib.client.Channel, address: str, progress: Progress
    ) -> bool:
        asked_at_s = self._documents.now_s()
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                reply = await fleet_grpc.FleetStub(channel).Report(
                    self.own_report(progress, address)
                )
        except (
            OSError,
            TimeoutError,
            grpclib.exceptions.GRPCError,
            grpclib.exceptions.ProtocolError,
            grpclib.exceptions.StreamTerminatedError,
        ) as exc:
            LOG.debug('no reply to the load report: %s', exc)
            return False
        self.handle_reply(reply, asked_at_s, progress)
        return True

    def handle_reply(
        self,
        reply: fleet_pb2.LoadReply,
        asked_at_s: float,
        progress: Progress,
    ) -> None:
        """Applies the reply to a load report.

        Args:
            reply: The reply.
            asked_at_s: When the report was sent, on the clock of `Mirror`,
                in seconds.
            progress: The progress with the VM that replied; updated.
        """
        sender = fleet_messages.member_from_message(reply.sender)
        self._fleet.record_contact(sender)
        self._replied_at_s[sender.address] = self._workload.now_s()
        self._apply_changes(reply)
        has_omitted_loads = progress.has_omitted_loads
        is_same_process = progress.incarnation == sender.incarnation
        # A process that has started since the last reply knows nothing of what
        # the earlier process was told.
        progress.sent_revision = (
            progress.pending_revision if is_same_process else 0
        )
        progress.incarnation = sender.incarnation
        progress.seen_revision = reply.revision
        if not self._fleet.is_mesh() and not has_omitted_loads:
            self._apply_zone_loads(sender, reply)
        self._fleet.merge_gossip(
            map(fleet_messages.gossip_entry_from_message, reply.members)
        )
        checked_at_s = None
        if reply.confirmed_age_ms_plus_one:
            # The other VM computed the age after this VM had sent its report,
            # so subtracting the age from the time of sending can only make
            # the check look older than it is, never newer.
            age_ms = reply.confirmed_age_ms_plus_one - 1
            checked_at_s = asked_at_s - age_ms / _MS_PER_S
        documents_revision = StoreRevision(reply.documents_revision)
        self._documents.adopt_check(documents_revision, checked_at_s)
        self._hedge.note_newer(sender, documents_revision)

    def _apply_changes(
        self, message: fleet_pb2.LoadReport | fleet_pb2.LoadReply
    ) -> None:
        """Applies what another VM reports as changes."""
        self._quarantine.merge(
            map(fleet_messages.part_from_message, message.prompt_parts)
        )
        self._named_limits.merge(
            map(fleet_messages.limit_from_message, message.limits)
        )
        self._availability.merge(map(ids.EndpointRun, message.leaving_runs))

    def _apply_zone_loads(
        self, hub: fleet_module.Member, reply: fleet_pb2.LoadReply
    ) -> None:
        # A hub receives the reports of its own zone from the VMs themselves.
        if hub.zone == self._fleet.me.zone:
            if self._fleet.is_hub():
                return
            self._loads_at_s = self._workload.now_s()
            self._loads_told.set()
            self._loads_told = asyncio.Event()
        self._replace_peer(_zone_key(hub.zone), reply)

    def _replace_peer(
        self,
        peer: ids.VmId,
        message: fleet_pb2.LoadReport | fleet_pb2.LoadReply,
    ) -> None:
        """Replaces what a peer has reported of its requests."""
        self._workload.replace_peer_loads(
            peer,
            fleet_messages.loads_from_messages(message.loads),
            self._valid_s(),
        )
        self._waiting.replace_peer_sums(
            peer,
            fleet_messages.waiting_from_messages(message.waiting),
            self._valid_s(),
        )

    def _valid_s(self) -> float:
        """Returns how long a member's reported loads are valid, in seconds."""
        return EXPIRY_INTERVALS * max(IDLE_INTERVAL_S, self._interval_s())

    def _loads_for(
        self, member: fleet_module.Member, report: fleet_pb2.LoadReport
    ) -> list[fleet_pb2.EndpointLoad]:
        """Returns the loads that a reply contains; none in a full mesh.

        Args:
            member: The member that receives the reply.
            report: The report of the member.
        """
        if self._fleet.is_mesh() or report.omit_loads:
            return []
        return self._reply_loads.messages_for(
            member.vm_id, self._excluded_for(member)
        )

    def _waiting_for(
        self, member: fleet_module.Member, report: fleet_pb2.LoadReport
    ) -> list[fleet_pb2.WaitingSum]:
        """Returns the waiting requests that a reply contains."""
        if self._fleet.is_mesh() or report.omit_loads:
            return []
        return fleet_messages.waiting_messages(
            self._waiting.sums_excluding(
                {member.vm_id, *self._excluded_for(member)}
            )
        )

    def _excluded_for(
        self, member: fleet_module.Member
    ) -> frozenset[ids.VmId]:
        """Returns the peers that a reply to a member says nothing of."""
        excluded = {_zone_key(self._fleet.me.zone)}
        if member.zone != self._fleet.me.zone:
            # Hubs of other zones receive only the loads of this zone.
            excluded.update(map(_zone_key, self._fleet.zones()))
        return frozenset(excluded)

    def _omits_loads(self, address: str) -> bool:
        """Returns whether the reply of a hub need not contain the loads.

        A VM that is no hub gets the loads from one hub of its zone, as long as
        that hub replies.
        """
        if self._fleet.is_mesh() or self._fleet.is_hub():
            return False
        preferred = self._fleet.preferred_hub().address
        silent_s = self._workload.now_s() - self._replied_at_s.get(
            preferred, float('-inf')
        )
        return address != preferred and silent_s < HUB_SILENCE_S

    def own_report(
        self, progress: Progress, address: str
    ) -> fleet_pb2.LoadReport:
        """Returns the next load report of this VM to another one.

        Args:
            progress: The progress with the other VM; updated.
            address: The address of the other VM.
        """
        self._report_number += 1
        progress.pending_revision = self._revisions.newest
        progress.has_omitted_loads = self._omits_loads(address)
        return fleet_pb2.LoadReport(
            sender=fleet_messages.member_message(self._fleet.me),
            number=self._report_number,
            leaving=self.is_leaving,
            loads=[
                fleet_messages.load_message(endpoint_id, load)
                for endpoint_id, load in self._workload.own_loads().items()
            ],
            reservations=[
                fleet_pb2.Reservation(
                    endpoint_id=held.part.endpoint.id, id=held.id
                )
                for held in self._group_memory.active_reservations()
            ],
            prompt_parts=map(
                fleet_messages.part_message,
                self._quarantine.reports_after(progress.sent_revision),
            ),
            limits=map(
                fleet_messages.limit_message,
                self._named_limits.reports_after(progress.sent_revision),
            ),
            leaving_runs=self._availability.reports_after(
                progress.sent_revision
            ),
            seen_revision=progress.seen_revision,
            seen_incarnation=progress.incarnation,
            members_digest=self._fleet.members_digest(),
            omit_loads=progress.has_omitted_loads,
            waiting=fleet_messages.waiting_messages(self._waiting.own_sums()),
        )

    def handle_report(
        self, report: fleet_pb2.LoadReport
    ) -> fleet_pb2.LoadReply:
        """Applies a member's load report and returns the reply to it.

        Its loads are ignored unless its number is higher than that of every
        report applied before from the same process. Shared facts are applied
        from any report, since each has an age of its own.
        """
        sender = fleet_messages.member_from_message(report.sender)
        key = (sender.vm_id, sender.incarnation)
        if report.number > self._last_number_by_process.get(key, 0):
            self._last_number_by_process[key] = report.number
            if report.leaving:
                self._fleet.remove_leaving(sender)
            else:
                self._fleet.record_contact(sender)
            # In a large fleet the loads of other zones come from the replies
            # of their hubs.
            if self._fleet.is_mesh() or sender.zone == self._fleet.me.zone:
                self._replace_peer(sender.vm_id, report)
            self._orphans.record_report(
                sender.vm_id,
                sender.incarnation,
                map(
                    fleet_messages.reservation_from_message,
                    report.reservations,
                ),
                self._valid_s(),
            )
        newest_before = self._revisions.newest
        self._apply_changes(report)
        if self._revisions.newest != newest_before and self._fleet.is_hub():
            self._workload.note_urgent_change()
        seen_revision = 0
        if report.seen_incarnation == self._fleet.me.incarnation:
            seen_revision = report.seen_revision
        table = self._current.table
        age_s = self._documents.checked_age_s()
        return fleet_pb2.LoadReply(
            sender=fleet_messages.member_message(self._fleet.me),
            members=map(
                fleet_messages.gossip_entry_message,
                self._member_lists.list_for(sender, report.members_digest),
            ),
            loads=self._loads_for(sender, report),
            config_version=table.version if table is not None else 0,
            confirmed_age_ms_plus_one=(
                0 if age_s is None else math.ceil(age_s * _MS_PER_S) + 1
            ),
            documents_revision=self._documents.newest_revision,
            prompt_parts=map(
                fleet_messages.part_message,
                self._quarantine.reports_after(seen_revision),
            ),
            limits=map(
                fleet_messages.limit_message,
                self._named_limits.reports_after(seen_revision),
            ),
            leaving_runs=self._availability.reports_after(seen_revision),
            revision=self._revisions.newest,
            waiting=self._waiting_for(sender, report),
        )


def _zone_key(zone: ids.ZoneName) -> ids.VmId:
    """Returns the key in `Workload` of the total loads of a zone."""
    return ids.VmId(f'zone {zone}')
