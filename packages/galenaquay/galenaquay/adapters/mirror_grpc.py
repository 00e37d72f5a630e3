"""Passes the platform's documents on to other VMs over gRPC, and asks them."""

import asyncio
import math
from typing import Any, Final

from galenaquay_api import mirror_grpc
from galenaquay_api import mirror_pb2
import grpclib.client
import grpclib.exceptions
import grpclib.server

from ..configuration import mirror as mirror_module
from ..membership import fleet as fleet_module
from ..ports import documents

# Time for an answer beside the waiting, in seconds.
ANSWER_S: Final = 0.4
# Age of the last check at the platform above which a VM's documents are not
# relied on by others, in seconds.
MAX_CHECKED_AGE_S: Final = 1.5
_MS: Final = 1000


class MirrorServer(mirror_grpc.MirrorBase):
    """Answers other VMs."""

    def __init__(self, copy: mirror_module.Mirror) -> None:
        self._copy = copy

    async def Follow(  # noqa: N802
        self, stream: 'grpclib.server.Stream[Any, Any]'
    ) -> None:
        """Answers with what is new, at once or as soon as something is."""
        request = await stream.recv_message()
        if request is None:
            return
        age_s = self._copy.checked_age_s()
        if age_s is not None:
            # Whoever asks should learn soon that the platform is lost here.
            wait_s = min(request.wait_ms / _MS, MAX_CHECKED_AGE_S - age_s)
            await self._copy.wait_beyond(request.revision, max(0.0, wait_s))
        await stream.send_message(self._reply(request.revision))

    def _reply(self, revision: int) -> mirror_pb2.FollowReply:
        update = self._copy.since(revision)
        age_s = self._copy.checked_age_s()
        return mirror_pb2.FollowReply(
            documents=map(_message_of, update.changes),
            whole=update.is_whole,
            revision=update.revision,
            checked_age_ms_plus_one=(
                0 if age_s is None else math.ceil(age_s * _MS) + 1
            ),
        )


class MemberDocuments:
    """Other VMs, one channel kept to the last that was asked."""

    def __init__(self) -> None:
        self._address = ''
        self._channel: grpclib.client.Channel | None = None

    def close(self) -> None:
        """Closes the channel."""
        if self._channel is not None:
            self._channel.close()
            self._channel = None

    def _open(self, address: str) -> grpclib.client.Channel:
        if self._channel is None or address != self._address:
            self.close()
            host, _, port = address.rpartition(':')
            self._channel = grpclib.client.Channel(host, int(port))
            self._address = address
        return self._channel

    async def update(
        self,
        member: fleet_module.Member,
        copy: mirror_module.Mirror,
        wait_s: float,
    ) -> None:
        """Asks a VM once for what is new; raises SourceError."""
        asked_at_s = copy.now_s()
        stub = mirror_grpc.MirrorStub(self._open(member.address))
        try:
            async with asyncio.timeout(wait_s + ANSWER_S):
                reply = await stub.Follow(
                    mirror_pb2.FollowRequest(
                        revision=copy.revision, wait_ms=int(wait_s * _MS)
                    )
                )
        except (
            OSError,
            TimeoutError,
            grpclib.exceptions.GRPCError,
            grpclib.exceptions.ProtocolError,
            grpclib.exceptions.StreamTerminatedError,
        ) as exc:
            # A channel that fell silent may stay so for good.
            self.close()
            raise documents.SourceError(
                str(exc) or type(exc).__name__
            ) from exc
        _take(reply, copy, asked_at_s)


def _take(
    reply: mirror_pb2.FollowReply,
    copy: mirror_module.Mirror,
    asked_at_s: float,
) -> None:
    if not reply.revision or not reply.checked_age_ms_plus_one:
        raise documents.SourceError('it knows nothing yet')
    age_s = (reply.checked_age_ms_plus_one - 1) / _MS
    if age_s > MAX_CHECKED_AGE_S:
        raise documents.SourceError(f'it lost the platform {age_s} s ago')
    changes = [_change_of(message) for message in reply.documents]
    if reply.whole:
        copy.replace_all(
            [c.document for c in changes if c.document is not None],
            reply.revision,
        )
    else:
        copy.apply(changes, reply.revision)
    if reply.revision >= copy.revision:
        # The age was told after the question, so the time that the reply
        # took makes the check older, never newer.
        copy.note_checked(asked_at_s - age_s)


def _message_of(change: mirror_module.Change) -> mirror_pb2.Document:
    return mirror_pb2.Document(
        key=change.key,
        value=change.document.value if change.document is not None else b'',
        revision=change.revision,
        removed=change.document is None,
    )


def _change_of(message: mirror_pb2.Document) -> mirror_module.Change:
    document = None
    if not message.removed:
        document = mirror_module.Document(
            message.key, message.value, message.revision
        )
    return mirror_module.Change(message.key, message.revision, document)
