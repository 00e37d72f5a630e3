"""Claims the shares of engine memory that this VM owns by rank.

A claim asks every other VM listed in the zone, since any of these VMs may hold
the share. `ledger` decides from the answers whether the share changes hands.
"""

import asyncio
import logging
from typing import Final

from galenaquay_api import peer_pb2

from .. import codes
from .. import ids
from . import ledger
from ..membership import view as views
from ..ports import peers as peers_port
from . import shares

LOG: Final = logging.getLogger(__name__)
# Time between two checks for shares that this VM owns but does not hold, in
# seconds.
CLAIM_INTERVAL_S: Final = 0.5


class ShareClaimer:
    """Claims shares for this process and answers claims of other processes."""

    def __init__(
        self,
        view: views.View,
        memory_ledger: ledger.Ledger,
        peers: peers_port.Peers,
    ) -> None:
        self._view = view
        self._ledger = memory_ledger
        self._peers = peers

    async def run(self) -> None:
        """Claims missing shares until the task is cancelled."""
        while True:
            self._resume_lending()
            missing = [
                key
                for key in self._view.wanted_shares()
                if key not in self._ledger.shares_by_key
            ]
            if missing:
                await self._claim(missing)
            await asyncio.sleep(CLAIM_INTERVAL_S)

    def _resume_lending(self) -> None:
        for key in self._view.wanted_shares():
            self._ledger.resume_lending(key)

    async def _claim(self, keys: list[shares.ShareKey]) -> None:
        list_version = self._view.lists.version
        peers = self._view.zone_peers()
        self._ledger.claiming.update(keys)
        try:
            replies = await asyncio.gather(
                *(self._ask(vm.peers, keys) for vm in peers)
            )
        except BaseException:
            self._ledger.claiming.difference_update(keys)
            raise
        if list_version != self._view.lists.version:
            # VMs that joined the list during the claim were not asked.
            replies = [[_denied(key) for key in keys], *replies]
        self._finish(keys, replies)

    def _finish(
        self,
        keys: list[shares.ShareKey],
        replies: list[list[shares.ClaimAnswer]],
    ) -> None:
        document = self._view.configs.document
        now_s = self._view.clock()
        for key in keys:
            answers = [a for reply in replies for a in reply if a.key == key]
            endpoint = None
            if document is not None:
                endpoint = document.endpoints_by_id.get(key.endpoint_id)
            if endpoint is None:
                answers.append(_denied(key))
            capacity_tokens = (
                endpoint.capacity_tokens if endpoint is not None else 0
            )
            size_tokens = shares.share_tokens(capacity_tokens, key.slot)
            if self._ledger.take_over(key, size_tokens, answers, now_s):
                LOG.info(
                    'took over share %s of %s', key.slot.name, key.endpoint_id
                )

    async def _ask(
        self, address: str, keys: list[shares.ShareKey]
    ) -> list[shares.ClaimAnswer]:
        request = peer_pb2.ClaimRequest(
            sender=sender_message(self._ledger.me),
            list_version=self._view.lists.version,
            slots=[_slot_message(key) for key in keys],
        )
        reply = await self._peers.claim(address, request)
        if isinstance(reply, codes.Failure):
            verdict = shares.ClaimVerdict.DENIED
            if reply.code is codes.Code.CONNECT_FAILED:
                # The kernel of the VM refused the connection, so no process on
                # the VM holds the share.
                verdict = shares.ClaimVerdict.NOT_HELD
            return [shares.ClaimAnswer(key, verdict) for key in keys]
        return [_answer_of(answer) for answer in reply.answers]

    def answer(self, request: peer_pb2.ClaimRequest) -> peer_pb2.ClaimReply:
        """Answers a claim of another process.

        Claims made under a different version of the VM list are denied.
        """
        is_same_list = request.list_version == self._view.lists.version
        wanted = set(self._view.wanted_shares())
        answers = []
        for slot in request.slots:
            key = _key_of(slot)
            answer = _denied(key)
            if is_same_list:
                answer = self._ledger.answer_claim(
                    key, is_wanted=key in wanted, now_s=self._view.clock()
                )
            answers.append(_answer_message(answer))
        return peer_pb2.ClaimReply(
            sender=sender_message(self._ledger.me),
            answers=answers,
            list_version=self._view.lists.version,
        )


def _denied(key: shares.ShareKey) -> shares.ClaimAnswer:
    return shares.ClaimAnswer(key, shares.ClaimVerdict.DENIED)


def sender_message(process: shares.ProcessId) -> peer_pb2.Sender:
    """Returns the message that identifies a process to its peers."""
    return peer_pb2.Sender(
        vm_id=process.vm_id, incarnation=process.incarnation
    )


def process_id_of(sender: peer_pb2.Sender) -> shares.ProcessId:
    """Returns the process that a message identifies."""
    return shares.ProcessId(
        ids.VmId(sender.vm_id), ids.Incarnation(sender.incarnation)
    )


def _slot_message(key: shares.ShareKey) -> peer_pb2.ShareSlot:
    return peer_pb2.ShareSlot(endpoint_id=key.endpoint_id, slot=int(key.slot))


def _key_of(slot: peer_pb2.ShareSlot) -> shares.ShareKey:
    return shares.ShareKey(
        ids.EndpointId(slot.endpoint_id), shares.Slot(slot.slot)
    )


def _answer_message(answer: shares.ClaimAnswer) -> peer_pb2.ClaimAnswer:
    return peer_pb2.ClaimAnswer(
        slot=_slot_message(answer.key),
        verdict=peer_pb2.ClaimVerdict.ValueType(answer.verdict.value),
        granted_tokens=answer.granted_tokens,
    )


def _answer_of(message: peer_pb2.ClaimAnswer) -> shares.ClaimAnswer:
    return shares.ClaimAnswer(
        _key_of(message.slot),
        shares.ClaimVerdict(message.verdict),
        message.granted_tokens,
    )
