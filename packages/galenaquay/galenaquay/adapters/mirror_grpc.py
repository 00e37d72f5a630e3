"""gRPC server and client that copy the platform's documents between VMs."""

import asyncio
import math
from typing import Any, Final

from galenaquay_api import mirror_grpc
from galenaquay_api import mirror_pb2
import grpclib.client
import grpclib.exceptions
import grpclib.server

from .. import telemetry
from ..configuration import mirror as mirror_module
from ..membership import fleet as fleet_module
from ..ports import documents

# Timeout for a reply, in addition to the requested wait, in seconds.
REPLY_TIMEOUT_S: Final = 0.4
# Other VMs ignore the documents of a VM whose last check at the platform is
# older than this, in seconds.
MAX_CHECKED_AGE_S: Final = 1.5
_MS_PER_S: Final = 1000


class MirrorServer(mirror_grpc.MirrorBase):
    """Implements the gRPC service `Mirror`."""

    def __init__(
        self, copy: mirror_module.Mirror, metrics: telemetry.TextMetrics
    ) -> None:
        self._copy = copy
        self._metrics = metrics

    async def Follow(  # noqa: N802
        self, stream: 'grpclib.server.Stream[Any, Any]'
    ) -> None:
        """Replies with new documents, waiting for a change if there are none.

        The wait ends after the time in the request, or earlier when this VM's
        last check at the platform becomes too old.
        """
        request = await stream.recv_message()
        if request is None:
            return
        age_s = self._copy.checked_age_s()
        if age_s is not None:
            # A reply at this age tells the other VM early that this VM has
            # lost contact with the platform.
            wait_s = min(
                request.wait_ms / _MS_PER_S, MAX_CHECKED_AGE_S - age_s
            )
            await self._copy.wait_for_changes(
                request.revision, max(0.0, wait_s)
            )
        reply = self._reply(request.revision)
        self._metrics.count('document_bytes_sent', reply.ByteSize())
        await stream.send_message(reply)

    def _reply(self, revision: int) -> mirror_pb2.FollowReply:
        update = self._copy.changes_since(revision)
        age_s = self._copy.checked_age_s()
        return mirror_pb2.FollowReply(
            documents=map(_document_message, update.changes),
            whole=update.is_complete,
            revision=update.revision,
            checked_age_ms_plus_one=(
                0 if age_s is None else math.ceil(age_s * _MS_PER_S) + 1
            ),
        )


class MemberDocuments:
    """Requests documents from other VMs; keeps one open channel.

    The channel leads to the VM of the last request.
    """

    def __init__(self) -> None:
        self._address = ''
        self._channel: grpclib.client.Channel | None = None

    def close(self) -> None:
        """Closes the channel."""
        if self._channel is not None:
            self._channel.close()
            self._channel = None

    def _open_channel(self, address: str) -> grpclib.client.Channel:
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
    ) -> documents.Received:
        """Requests new documents from a VM once and applies them.

        Args:
            member: The VM to ask.
            copy: The copy of the documents that is updated.
            wait_s: How long the VM may wait for a change, in seconds.

        Returns:
            What the reply contained.

        Raises:
            SourceError: The VM did not reply, or has no usable documents.
        """
        asked_at_s = copy.now_s()
        stub = mirror_grpc.MirrorStub(self._open_channel(member.address))
        try:
            async with asyncio.timeout(wait_s + REPLY_TIMEOUT_S):
                reply = await stub.Follow(
                    mirror_pb2.FollowRequest(
                        revision=copy.revision, wait_ms=int(wait_s * _MS_PER_S)
                    )
                )
        except (
            OSError,
            TimeoutError,
            grpclib.exceptions.GRPCError,
            grpclib.exceptions.ProtocolError,
            grpclib.exceptions.StreamTerminatedError,
        ) as exc:
            # A channel whose peer stopped responding may never recover, so
            # the next request takes a new channel.
            self.close()
            raise documents.SourceError(
                str(exc) or type(exc).__name__
            ) from exc
        _apply_reply(reply, copy, asked_at_s)
        return documents.Received(len(reply.documents), reply.ByteSize())


def _apply_reply(
    reply: mirror_pb2.FollowReply,
    copy: mirror_module.Mirror,
    asked_at_s: float,
) -> None:
    if not reply.revision or not reply.checked_age_ms_plus_one:
        raise documents.SourceError('it knows nothing yet')
    age_s = (reply.checked_age_ms_plus_one - 1) / _MS_PER_S
    if age_s > MAX_CHECKED_AGE_S:
        raise documents.SourceError(f'it lost the platform {age_s} s ago')
    changes = [_change_from_message(message) for message in reply.documents]
    if reply.whole:
        copy.replace_all(
            [c.document for c in changes if c.document is not None],
            reply.revision,
        )
    else:
        copy.apply(changes, reply.revision)
    if reply.revision >= copy.revision:
        # The other VM computed the age after this VM had sent its request, so
        # subtracting the age from the time of sending can only make the check
        # look older than it is, never newer.
        copy.record_check(asked_at_s - age_s)


def _document_message(change: mirror_module.Change) -> mirror_pb2.Document:
    return mirror_pb2.Document(
        key=change.key,
        value=change.document.value if change.document is not None else b'',
        revision=change.revision,
        removed=change.document is None,
    )


def _change_from_message(message: mirror_pb2.Document) -> mirror_module.Change:
    document = None
    if not message.removed:
        document = mirror_module.Document(
            message.key, message.value, message.revision
        )
    return mirror_module.Change(message.key, message.revision, document)
