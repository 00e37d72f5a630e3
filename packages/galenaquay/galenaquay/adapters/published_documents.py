"""Asks one entry process for the documents that it has in force."""

import asyncio
from typing import Any, Final

from galenaquay_api import mirror_grpc
from galenaquay_api import mirror_pb2
from galenaquay_api import peer_grpc
from galenaquay_api import peer_pb2
import grpclib.client
import grpclib.exceptions

from ..configuration import findings

# Time within which an entry process must answer, in seconds.
TIMEOUT_S: Final = 5.0
_ERRORS: Final = (
    OSError,
    TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.ProtocolError,
    grpclib.exceptions.StreamTerminatedError,
)


async def fetch_mirrored(host: str, port: int) -> dict[str, bytes]:
    """Returns all documents that an entry process mirrors, by their key.

    Raises:
        NotPublishedError: The entry process did not answer.
    """
    # Asks for whole, uncompressed documents, since no earlier version of them
    # is known here.
    request = mirror_pb2.FollowRequest(wait_ms=0)
    reply = await _ask(
        host, port, lambda c: mirror_grpc.MirrorStub(c).Follow(request)
    )
    return {
        document.key: document.value
        for document in reply.documents
        if not document.removed
    }


async def fetch_document(host: str, port: int) -> bytes:
    """Returns the configuration document that an entry process has in force.

    Raises:
        NotPublishedError: The entry process did not answer, or has none.
    """
    request = peer_pb2.DocumentRequest()
    reply = await _ask(
        host, port, lambda c: peer_grpc.PeerStub(c).Documents(request)
    )
    if not reply.config:
        raise findings.NotPublishedError('it has no configuration')
    body: bytes = reply.config
    return body


async def _ask(host: str, port: int, call: Any) -> Any:
    channel = grpclib.client.Channel(host, port)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            return await call(channel)
    except _ERRORS as exc:
        raise findings.NotPublishedError(
            str(exc) or type(exc).__name__
        ) from exc
    finally:
        channel.close()
