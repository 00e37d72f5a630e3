"""Exchanges heartbeats with the other VMs of the zone, one task per peer.

A heartbeat carries the versions of the documents in force, the loads of the
engines that this process owns, and requests to borrow the second shares of
engines' memory. The reply carries the leases on these shares.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import logging
import random
from typing import Final

from galenaquay_api import peer_pb2

from .. import codes
from .. import ids
from .. import tasks
from ..configuration import documents
from ..limits import claims
from ..limits import ledger
from ..limits import shares
from ..ports import peers as peers_port
from . import view as views

LOG: Final = logging.getLogger(__name__)
# Minimum interval between two heartbeats to one peer, in seconds.
MIN_INTERVAL_S: Final = 0.5
# Maximum interval between heartbeats to a peer that lends memory to this
# process, in seconds. A lease outlasts two such intervals, so that a single
# lost heartbeat does not end the lease.
MAX_BORROW_INTERVAL_S: Final = ledger.LEASE_S / 2.5
# Maximum interval between heartbeats to any other peer, in seconds.
MAX_INTERVAL_S: Final = 10.0
# Largest number of peers for which the minimum interval is used.
PEERS_AT_MIN_INTERVAL: Final = 8
# Fraction by which each interval varies at random, in both directions, so
# that the heartbeats of different peers do not synchronize.
JITTER_FRACTION: Final = 0.1


def interval_s(peer_count: int) -> float:
    """Returns the interval between heartbeats to one peer, in seconds.

    Above PEERS_AT_MIN_INTERVAL peers, the interval grows with the square of
    the number of peers, up to MAX_INTERVAL_S. While it grows, the number of
    heartbeats that one process sends per second falls as peers are added.
    """
    scaled_s = MIN_INTERVAL_S * (peer_count / PEERS_AT_MIN_INTERVAL) ** 2
    return min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, scaled_s))


class Heartbeats:
    """Sends heartbeats to peers and answers the heartbeats of peers."""

    def __init__(
        self,
        view: views.View,
        share_ledger: ledger.Ledger,
        peers: peers_port.Peers,
        published_loads: Callable[[], list[views.Load]],
        known_peers: Sequence[str],
    ) -> None:
        self._view = view
        self._ledger = share_ledger
        self._peers = peers
        self._published_loads = published_loads
        self._known_peers = known_peers
        self._catch_up_task: asyncio.Task[None] | None = None
        self._random = random.Random(view.me.incarnation)
        self._wakeup = asyncio.Event()

    def send_now(self) -> None:
        """Sends the next heartbeat to every peer without delay."""
        self._wakeup.set()
        self._wakeup = asyncio.Event()

    async def run(self) -> None:
        """Keeps one heartbeat task running for each peer of the zone.

        Starts and cancels tasks when the published list of VMs changes.
        """
        tasks_by_vm: dict[ids.VmId, asyncio.Task[None]] = {}
        try:
            while True:
                self._sync_tasks(tasks_by_vm)
                await self._view.lists.wait_changed()
        finally:
            for task in tasks_by_vm.values():
                task.cancel()

    def _sync_tasks(
        self, tasks_by_vm: dict[ids.VmId, asyncio.Task[None]]
    ) -> None:
        peers_by_id = {ids.VmId(v.id): v for v in self._view.zone_peers()}
        self._view.interval_s = interval_s(len(peers_by_id))
        for vm_id in set(tasks_by_vm) - set(peers_by_id):
            tasks_by_vm.pop(vm_id).cancel()
            self._view.peers_by_id.pop(vm_id, None)
        for vm_id, vm in peers_by_id.items():
            if vm_id not in tasks_by_vm:
                tasks_by_vm[vm_id] = tasks.start(
                    self._run_heartbeats(vm), name=f'peer {vm_id}'
                )

    async def _run_heartbeats(self, vm: documents.Vm) -> None:
        while True:
            await self._send_heartbeat(vm)
            await self._wait_interval(ids.VmId(vm.id))

    async def _wait_interval(self, vm_id: ids.VmId) -> None:
        jitter = 1 + JITTER_FRACTION * (2 * self._random.random() - 1)
        interval_to_peer_s = self._view.interval_s
        if self._engines_to_borrow(vm_id):
            interval_to_peer_s = min(interval_to_peer_s, MAX_BORROW_INTERVAL_S)
        wakeup = self._wakeup
        try:
            async with asyncio.timeout(interval_to_peer_s * jitter):
                await wakeup.wait()
        except TimeoutError:
            pass

    async def _send_heartbeat(self, vm: documents.Vm) -> None:
        sent_at_s = self._view.clock()
        request = self._request(ids.VmId(vm.id))
        reply = await self._peers.heartbeat(vm.peers, request)
        if isinstance(reply, codes.Failure):
            return
        lender = claims.process_id_of(reply.sender)
        for lease in reply.leases:
            self._ledger.borrow(
                ids.EndpointId(lease.endpoint_id),
                lender,
                lease.lease_number,
                lease.tokens,
                sent_at_s,
            )
        if self._is_behind(reply.config_version, reply.list_version):
            await self.catch_up(vm.peers)

    def _request(self, vm_id: ids.VmId) -> peer_pb2.HeartbeatRequest:
        return peer_pb2.HeartbeatRequest(
            sender=claims.sender_message(self._view.me),
            config_version=self._view.configs.version,
            list_version=self._view.lists.version,
            leaving=self._view.is_leaving,
            borrow_endpoint_ids=self._engines_to_borrow(vm_id),
            loads=[
                views.load_message(load) for load in self._published_loads()
            ],
        )

    def _engines_to_borrow(self, lender: ids.VmId) -> list[ids.EndpointId]:
        """Returns the engines whose second share to borrow from a peer.

        For each of these engines, this process holds the first share, and the
        peer is an owner of the engine's memory.
        """
        document = self._view.configs.document
        if document is None or self._view.is_leaving:
            return []
        first = [
            key.endpoint_id
            for key in self._ledger.shares_by_key
            if key.slot is shares.Slot.FIRST
            and key.endpoint_id in document.endpoints_by_id
        ]
        return [
            endpoint_id
            for endpoint_id in first
            if lender
            in self._view.owners(document.endpoints_by_id[endpoint_id])
        ]

    def _is_behind(self, config_version: int, list_version: int) -> bool:
        return (
            config_version > self._view.configs.version
            or list_version > self._view.lists.version
        )

    async def catch_up_with_known(self) -> None:
        """Asks all peers in the settings for newer documents."""
        await self._catch_up_with(self._known_peers)

    async def _catch_up_with(self, addresses: Sequence[str]) -> None:
        await asyncio.gather(
            *(self.catch_up(address) for address in addresses)
        )

    def _catch_up_if_behind(self, request: peer_pb2.HeartbeatRequest) -> None:
        """Starts to fetch documents if the sender has newer ones."""
        if not self._is_behind(request.config_version, request.list_version):
            return
        if self._catch_up_task is not None and not self._catch_up_task.done():
            return
        vm = self._view.listed_vms().get(ids.VmId(request.sender.vm_id))
        # Until the first VM list is in force, only the settings contain
        # addresses of peers.
        known = self._known_peers if vm is None else [vm.peers]
        self._catch_up_task = tasks.start(
            self._catch_up_with(known), 'catch up'
        )

    async def catch_up(self, address: str) -> None:
        """Fetches documents newer than those in force from a peer."""
        request = peer_pb2.DocumentRequest(
            sender=claims.sender_message(self._view.me),
            config_version=self._view.configs.version,
            list_version=self._view.lists.version,
        )
        reply = await self._peers.documents(address, request)
        if isinstance(reply, codes.Failure):
            return
        if reply.list:
            self._view.lists.offer(reply.list)
        if reply.config:
            self._view.configs.offer(reply.config)

    def handle_heartbeat(
        self, request: peer_pb2.HeartbeatRequest
    ) -> peer_pb2.HeartbeatReply:
        """Processes a peer's heartbeat.

        Returns:
            The versions in force in this process, and the leases on the
            shares that the peer asked to borrow.
        """
        sender = claims.process_id_of(request.sender)
        self._view.record_heartbeat(sender, request)
        self._catch_up_if_behind(request)
        return peer_pb2.HeartbeatReply(
            sender=claims.sender_message(self._view.me),
            config_version=self._view.configs.version,
            list_version=self._view.lists.version,
            leaving=self._view.is_leaving,
            leases=self._lend_shares(sender, request.borrow_endpoint_ids),
        )

    def _lend_shares(
        self, borrower: shares.ProcessId, endpoint_ids: Iterable[str]
    ) -> list[peer_pb2.ShareLease]:
        leases = []
        for name in endpoint_ids:
            endpoint_id = ids.EndpointId(name)
            lease = self._ledger.lend(
                endpoint_id, borrower, self._view.clock()
            )
            if lease is not None:
                leases.append(
                    peer_pb2.ShareLease(
                        endpoint_id=endpoint_id,
                        tokens=lease.tokens,
                        lease_number=lease.number,
                    )
                )
        return leases

    def handle_document_request(
        self, request: peer_pb2.DocumentRequest
    ) -> peer_pb2.DocumentReply:
        """Returns the documents that are newer than those of the peer."""
        configs = self._view.configs
        lists = self._view.lists
        reply = peer_pb2.DocumentReply(
            config_version=configs.version, list_version=lists.version
        )
        if configs.version > request.config_version:
            reply.config = configs.body
        if lists.version > request.list_version:
            reply.list = lists.body
        return reply
