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
from ..configuration import compression
from ..configuration import freshness as freshness_module
from ..configuration import mirror as mirror_module
from ..configuration import store_revisions
from ..configuration.store_revisions import StoreRevision
from ..membership import fleet as fleet_module
from ..ports import documents

# Timeout for a reply, in addition to the requested wait, in seconds.
REPLY_TIMEOUT_S: Final = 0.5
_MS_PER_S: Final = 1000


class MirrorServer(mirror_grpc.MirrorBase):
    """Implements the gRPC service `Mirror`."""

    def __init__(
        self,
        copy: mirror_module.Mirror,
        freshness: freshness_module.Freshness,
        metrics: telemetry.TextMetrics,
    ) -> None:
        self._copy = copy
        self._freshness = freshness
        self._metrics = metrics
        self._compressed = compression.CompressionCache()

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
                request.wait_ms / _MS_PER_S,
                self._freshness.max_source_age_s - age_s,
            )
            await self._copy.wait_for_changes(
                StoreRevision(max(request.revision, request.newest_revision)),
                max(0.0, wait_s),
            )
        reply = self._reply(request)
        self._metrics.count('document_bytes_sent', reply.ByteSize())
        await stream.send_message(reply)

    def _reply(
        self, request: mirror_pb2.FollowRequest
    ) -> mirror_pb2.FollowReply:
        update = self._copy.changes_since(StoreRevision(request.revision))
        age_s = self._copy.checked_age_s()
        held_by_key = {
            held.key: StoreRevision(held.revision) for held in request.held
        }
        return mirror_pb2.FollowReply(
            documents=[
                self._document_message(change, request, held_by_key)
                for change in update.changes
            ],
            whole=update.is_complete,
            revision=update.revision,
            checked_age_ms_plus_one=(
                0 if age_s is None else math.ceil(age_s * _MS_PER_S) + 1
            ),
        )

    def _document_message(
        self,
        change: mirror_module.Change,
        request: mirror_pb2.FollowRequest,
        held_by_key: dict[str, StoreRevision],
    ) -> mirror_pb2.Document:
        document = change.document
        if document is None:
            return mirror_pb2.Document(
                key=change.key, revision=change.revision, removed=True
            )
        message = mirror_pb2.Document(
            key=change.key, revision=change.revision, value=document.value
        )
        is_large = len(document.value) >= mirror_module.LARGE_DOCUMENT_BYTES
        if is_large and request.accepts_compressed:
            base = self._copy.version_of(
                change.key,
                held_by_key.get(change.key, store_revisions.NONE),
            )
            message.value = self._compressed.compress(document, base)
            message.compressed = True
            message.base_revision = base.revision if base is not None else 0
        return message


class MemberDocuments:
    """Requests documents from other VMs; keeps one open channel.

    The channel leads to the VM of the last request.
    """

    def __init__(self, freshness: freshness_module.Freshness) -> None:
        self._freshness = freshness
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
                reply = await stub.Follow(_request(copy, wait_s))
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
        age_s = _apply_reply(reply, copy, asked_at_s)
        if age_s > self._freshness.max_source_age_s:
            raise documents.SourceError(f'it lost the platform {age_s} s ago')
        return documents.Received(len(reply.documents), reply.ByteSize())


def _request(
    copy: mirror_module.Mirror, wait_s: float
) -> mirror_pb2.FollowRequest:
    return mirror_pb2.FollowRequest(
        revision=copy.revision,
        wait_ms=int(wait_s * _MS_PER_S),
        newest_revision=copy.newest_revision,
        held=[
            mirror_pb2.DocumentVersion(
                key=document.key, revision=document.revision
            )
            for document in copy.large_documents()
        ],
        accepts_compressed=True,
    )


def _apply_reply(
    reply: mirror_pb2.FollowReply,
    copy: mirror_module.Mirror,
    asked_at_s: float,
) -> float:
    """Applies a reply; returns the age of the other VM's last check.

    Raises:
        SourceError: The other VM has no documents, or a document cannot be
            restored.
    """
    if not reply.revision or not reply.checked_age_ms_plus_one:
        raise documents.SourceError('it knows nothing yet')
    revision = StoreRevision(reply.revision)
    if _is_of_earlier_epoch(revision, copy):
        raise documents.SourceError('it has not noticed a restore yet')
    age_s = (reply.checked_age_ms_plus_one - 1) / _MS_PER_S
    try:
        changes = [_change_from_message(m, copy) for m in reply.documents]
    except compression.CompressionError as exc:
        raise documents.SourceError(f'invalid document: {exc}') from exc
    if reply.whole:
        copy.replace_all(
            [c.document for c in changes if c.document is not None],
            revision,
        )
    else:
        copy.apply(changes, revision)
    # The other VM computed the age after this VM had sent its request, so
    # subtracting the age from the time of sending can only make the check
    # look older than it is, never newer. The copy now contains all that the
    # other VM has.
    copy.record_check(asked_at_s - age_s)
    return age_s


def _is_of_earlier_epoch(
    revision: StoreRevision, copy: mirror_module.Mirror
) -> bool:
    return store_revisions.epoch_of(revision) < store_revisions.epoch_of(
        copy.revision
    )


def _change_from_message(
    message: mirror_pb2.Document, copy: mirror_module.Mirror
) -> mirror_module.Change:
    document = None
    revision = StoreRevision(message.revision)
    if not message.removed:
        document = mirror_module.Document(
            message.key, _value_of(message, copy), revision
        )
    return mirror_module.Change(message.key, revision, document)


def _value_of(
    message: mirror_pb2.Document, copy: mirror_module.Mirror
) -> bytes:
    value: bytes = message.value
    if not message.compressed:
        return value
    if not message.base_revision:
        return compression.decompress(value)
    base = copy.version_of(message.key, StoreRevision(message.base_revision))
    if base is None:
        raise compression.CompressionError('the base is not known')
    return compression.decompress(value, base.value)
