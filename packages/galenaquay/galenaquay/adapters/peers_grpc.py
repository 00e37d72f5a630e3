"""gRPC client and servers for messages between the VMs' entry processes."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeVar

from galenaquay_api import peer_grpc
from galenaquay_api import peer_pb2
import grpclib.client
import grpclib.exceptions
import grpclib.server

from .. import codes
from .. import ids
from ..configuration import documents
from ..limits import accounts as accounts_module
from ..limits import claims
from ..limits import grants as grants_module
from ..limits import ledger
from ..limits import owner as owners
from ..membership import heartbeats
from ..outcomes import tickets

# Timeout for the reply to a control message, in seconds.
CONTROL_TIMEOUT_S: Final = 1.0

_Reply = TypeVar('_Reply')


class GrpcPeers:
    """gRPC client for other entry processes, by address `host:port`."""

    # Open channels, reused for later calls to the same address.
    channels_by_address: dict[str, grpclib.client.Channel]

    def __init__(self) -> None:
        self.channels_by_address = {}

    def _channel(self, address: str) -> grpclib.client.Channel:
        channel = self.channels_by_address.get(address)
        if channel is None:
            host, port = address.rsplit(':', 1)
            channel = grpclib.client.Channel(host, int(port))
            self.channels_by_address[address] = channel
        return channel

    def close(self) -> None:
        """Closes all channels."""
        for channel in self.channels_by_address.values():
            channel.close()
        self.channels_by_address.clear()

    async def _call(
        self,
        address: str,
        method: Callable[[grpclib.client.Channel], Awaitable[_Reply]],
        timeout_s: float,
    ) -> _Reply | codes.Failure:
        try:
            async with asyncio.timeout(timeout_s):
                return await method(self._channel(address))
        except ConnectionRefusedError as exc:
            return codes.failure(codes.Code.CONNECT_FAILED, str(exc))
        except TimeoutError:
            return codes.failure(codes.Code.OWNER_UNREACHABLE, 'no answer')
        except (
            OSError,
            grpclib.exceptions.GRPCError,
            grpclib.exceptions.StreamTerminatedError,
        ) as exc:
            return codes.failure(codes.Code.OWNER_UNREACHABLE, str(exc))

    async def heartbeat(
        self, address: str, request: peer_pb2.HeartbeatRequest
    ) -> peer_pb2.HeartbeatReply | codes.Failure:
        """Sends a heartbeat."""
        return await self._call(
            address,
            lambda channel: peer_grpc.PeerStub(channel).Heartbeat(request),
            CONTROL_TIMEOUT_S,
        )

    async def documents(
        self, address: str, request: peer_pb2.DocumentRequest
    ) -> peer_pb2.DocumentReply | codes.Failure:
        """Requests documents newer than those in force on this VM."""
        return await self._call(
            address,
            lambda channel: peer_grpc.PeerStub(channel).Documents(request),
            CONTROL_TIMEOUT_S,
        )

    async def claim(
        self, address: str, request: peer_pb2.ClaimRequest
    ) -> peer_pb2.ClaimReply | codes.Failure:
        """Claims shares of engine memory from a peer.

        A failure with CONNECT_FAILED proves that no process of the peer is
        running at the address.
        """
        return await self._call(
            address,
            lambda channel: peer_grpc.PeerStub(channel).Claim(request),
            CONTROL_TIMEOUT_S,
        )

    async def grant(
        self,
        address: str,
        request: peer_pb2.GrantRequest,
        timeout_s: float,
    ) -> peer_pb2.GrantReply | codes.Failure:
        """Requests a grant of engine memory from the engine's owner."""
        return await self._call(
            address,
            lambda channel: peer_grpc.OwnerStub(channel).Grant(request),
            timeout_s,
        )

    async def release(
        self, address: str, request: peer_pb2.ReleaseRequest
    ) -> peer_pb2.ReleaseReply | codes.Failure:
        """Releases a grant at the engine's owner."""
        return await self._call(
            address,
            lambda channel: peer_grpc.OwnerStub(channel).Release(request),
            CONTROL_TIMEOUT_S,
        )

    async def observe(
        self, address: str, request: peer_pb2.ObserveRequest
    ) -> peer_pb2.ObserveReply | codes.Failure:
        """Reports the time to a first token to the engine's owner."""
        return await self._call(
            address,
            lambda channel: peer_grpc.OwnerStub(channel).Observe(request),
            CONTROL_TIMEOUT_S,
        )

    async def spend(
        self, address: str, request: peer_pb2.SpendRequest
    ) -> peer_pb2.SpendReply | codes.Failure:
        """Requests tokens of an account's rate limit from its owner."""
        return await self._call(
            address,
            lambda channel: peer_grpc.AccountsStub(channel).Spend(request),
            CONTROL_TIMEOUT_S,
        )

    async def yield_account(
        self, address: str, request: peer_pb2.YieldRequest
    ) -> peer_pb2.YieldReply | codes.Failure:
        """Asks an account's former owner to hand out no more of its tokens."""
        return await self._call(
            address,
            lambda channel: peer_grpc.AccountsStub(channel).Yield(request),
            CONTROL_TIMEOUT_S,
        )

    async def call_home(
        self,
        address: str,
        request: peer_pb2.ServiceCallRequest,
        timeout_s: float,
    ) -> peer_pb2.ServiceCallReply | codes.Failure:
        """Forwards a non-idempotent call to the issuer of its ticket.

        Only the process that issued a ticket runs the ticket's call.
        """
        return await self._call(
            address,
            lambda channel: peer_grpc.HomeStub(channel).Call(request),
            timeout_s,
        )


class PeerServer(peer_grpc.PeerBase):
    """Implements the gRPC service `Peer`."""

    def __init__(
        self,
        heartbeat_handler: heartbeats.Heartbeats,
        claim_handler: claims.ShareClaimer,
    ) -> None:
        self._heartbeats = heartbeat_handler
        self._claims = claim_handler

    async def Heartbeat(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            peer_pb2.HeartbeatRequest, peer_pb2.HeartbeatReply
        ],
    ) -> None:
        """Replies to a heartbeat."""
        request = await _receive(stream)
        await stream.send_message(self._heartbeats.handle_heartbeat(request))

    async def Documents(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            peer_pb2.DocumentRequest, peer_pb2.DocumentReply
        ],
    ) -> None:
        """Replies with the documents that are newer than the peer's."""
        request = await _receive(stream)
        await stream.send_message(
            self._heartbeats.handle_document_request(request)
        )

    async def Claim(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            peer_pb2.ClaimRequest, peer_pb2.ClaimReply
        ],
    ) -> None:
        """Replies to a claim of shares."""
        request = await _receive(stream)
        await stream.send_message(self._claims.answer(request))


class OwnerServer(peer_grpc.OwnerBase):
    """Implements the gRPC service `Owner`: grants engine memory to peers."""

    def __init__(
        self,
        owner: owners.Owner,
        grants: grants_module.GrantClient,
        endpoint_of: Callable[[ids.EndpointId], documents.Endpoint | None],
    ) -> None:
        self._owner = owner
        self._grants = grants
        self._endpoint_of = endpoint_of

    async def Grant(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            peer_pb2.GrantRequest, peer_pb2.GrantReply
        ],
    ) -> None:
        """Replies with a grant once the engine has memory, or a failure."""
        request = await _receive(stream)
        granted = await self._owner.grant(_grant_request_from_message(request))
        await stream.send_message(_grant_reply(granted))

    async def Release(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            peer_pb2.ReleaseRequest, peer_pb2.ReleaseReply
        ],
    ) -> None:
        """Releases a grant."""
        request = await _receive(stream)
        self._grants.release_as_owner(
            ids.EndpointId(request.endpoint_id),
            ids.GrantId(request.grant_id),
            is_confirmed=request.confirmed,
        )
        await stream.send_message(peer_pb2.ReleaseReply())

    async def Observe(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            peer_pb2.ObserveRequest, peer_pb2.ObserveReply
        ],
    ) -> None:
        """Records the time to a first token that a peer measured."""
        request = await _receive(stream)
        endpoint_id = ids.EndpointId(request.endpoint_id)
        endpoint = self._endpoint_of(endpoint_id)
        if endpoint is not None:
            self._grants.record_first_token(
                endpoint_id,
                request.first_token_ms / 1000,
                request.prompt_tokens / endpoint.prefill_tokens_s,
            )
        await stream.send_message(peer_pb2.ObserveReply())


class AccountsServer(peer_grpc.AccountsBase):
    """Implements the gRPC service `Accounts` for accounts owned here."""

    def __init__(self, accounts: accounts_module.AccountLimiter) -> None:
        self._accounts = accounts

    async def Spend(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            peer_pb2.SpendRequest, peer_pb2.SpendReply
        ],
    ) -> None:
        """Debits tokens from an account's rate limit for a peer."""
        request = await _receive(stream)
        tokens, retry_after_s = await self._accounts.spend_as_owner(
            ids.AccountId(request.account_id), request.tokens
        )
        await stream.send_message(
            peer_pb2.SpendReply(
                tokens=tokens, retry_after_ms=int(retry_after_s * 1000)
            )
        )

    async def Yield(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            peer_pb2.YieldRequest, peer_pb2.YieldReply
        ],
    ) -> None:
        """Hands the ownership of an account to the peer that asks for it.

        If another VM already took the account, the reply names that VM.
        """
        request = await _receive(stream)
        yielded_to = self._accounts.yield_to(
            ids.AccountId(request.account_id),
            claims.process_id_of(request.sender),
        )
        await stream.send_message(
            peer_pb2.YieldReply(yielded_to=yielded_to or '')
        )


class HomeServer(peer_grpc.HomeBase):
    """Implements the gRPC service `Home`: runs calls of tickets issued here.

    Only the process that issued a ticket runs the ticket's call.
    """

    def __init__(self, home: tickets.Home) -> None:
        self._home = home

    async def Call(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            peer_pb2.ServiceCallRequest, peer_pb2.ServiceCallReply
        ],
    ) -> None:
        """Runs a call at most once and replies with its outcome."""
        request = await _receive(stream)
        outcome = await self._home.call(tickets.request_to_call(request))
        await stream.send_message(tickets.outcome_to_reply(outcome))


async def _receive(stream: grpclib.server.Stream[Any, Any]) -> Any:
    request = await stream.recv_message()
    if request is None:
        raise grpclib.exceptions.StreamTerminatedError(
            'the stream ended without a message'
        )
    return request


def _grant_request_from_message(
    request: peer_pb2.GrantRequest,
) -> owners.GrantRequest:
    return owners.GrantRequest(
        request_id=ids.RequestId(request.request_id),
        attempt=request.attempt,
        endpoint_id=ids.EndpointId(request.endpoint_id),
        entry=claims.process_id_of(request.sender),
        tokens=request.tokens,
        prompt_tokens=request.prompt_tokens,
        remaining_s=request.remaining_ms / 1000,
        max_queue_wait_s=request.patience_ms / 1000,
        is_fifo=request.flat,
    )


def _grant_reply(
    granted: owners.IssuedGrant | codes.Failure,
) -> peer_pb2.GrantReply:
    if isinstance(granted, codes.Failure):
        return peer_pb2.GrantReply(
            code=int(granted.code),
            reason=granted.detail,
            retry_after_ms=int(granted.retry_after_s * 1000),
        )
    return peer_pb2.GrantReply(
        grant_id=granted.grant.grant_id,
        tag=granted.grant.tag(),
        queued_ms=int(granted.queued_s * 1000),
        start_within_ms=int(ledger.START_WITHIN_S * 1000),
        priority=granted.priority,
    )
