"""Other entry processes over gRPC: the client's and the server's side."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeVar

import grpclib.client
import grpclib.exceptions
import grpclib.server
from galenaquay_api import peer_grpc
from galenaquay_api import peer_pb2

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

# Time for an answer to a control message, in seconds.
CONTROL_S: Final = 1.0

_Reply = TypeVar('_Reply')


class GrpcPeers:
    """Other entry processes, reached by their addresses `host:port`."""

    # Kept connections, by address.
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
        """Closes all connections."""
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
            CONTROL_S,
        )

    async def documents(
        self, address: str, request: peer_pb2.DocumentRequest
    ) -> peer_pb2.DocumentReply | codes.Failure:
        """Asks for documents newer than those in force here."""
        return await self._call(
            address,
            lambda channel: peer_grpc.PeerStub(channel).Documents(request),
            CONTROL_S,
        )

    async def claim(
        self, address: str, request: peer_pb2.ClaimRequest
    ) -> peer_pb2.ClaimReply | codes.Failure:
        """Asks for shares; CONNECT_FAILED proves that nothing runs there."""
        return await self._call(
            address,
            lambda channel: peer_grpc.PeerStub(channel).Claim(request),
            CONTROL_S,
        )

    async def grant(
        self,
        address: str,
        request: peer_pb2.GrantRequest,
        timeout_s: float,
    ) -> peer_pb2.GrantReply | codes.Failure:
        """Asks an engine's owner for a grant."""
        return await self._call(
            address,
            lambda channel: peer_grpc.OwnerStub(channel).Grant(request),
            timeout_s,
        )

    async def release(
        self, address: str, request: peer_pb2.ReleaseRequest
    ) -> peer_pb2.ReleaseReply | codes.Failure:
        """Gives a grant back to an engine's owner."""
        return await self._call(
            address,
            lambda channel: peer_grpc.OwnerStub(channel).Release(request),
            CONTROL_S,
        )

    async def observe(
        self, address: str, request: peer_pb2.ObserveRequest
    ) -> peer_pb2.ObserveReply | codes.Failure:
        """Tells an engine's owner of a first token."""
        return await self._call(
            address,
            lambda channel: peer_grpc.OwnerStub(channel).Observe(request),
            CONTROL_S,
        )

    async def spend(
        self, address: str, request: peer_pb2.SpendRequest
    ) -> peer_pb2.SpendReply | codes.Failure:
        """Asks an account's owner for tokens of its rate."""
        return await self._call(
            address,
            lambda channel: peer_grpc.AccountsStub(channel).Spend(request),
            CONTROL_S,
        )

    async def yield_account(
        self, address: str, request: peer_pb2.YieldRequest
    ) -> peer_pb2.YieldReply | codes.Failure:
        """Asks the former owner of an account to spend no more of it."""
        return await self._call(
            address,
            lambda channel: peer_grpc.AccountsStub(channel).Yield(request),
            CONTROL_S,
        )

    async def call_home(
        self,
        address: str,
        request: peer_pb2.ServiceCallRequest,
        timeout_s: float,
    ) -> peer_pb2.ServiceCallReply | codes.Failure:
        """Hands a call that must not repeat to its ticket's home."""
        return await self._call(
            address,
            lambda channel: peer_grpc.HomeStub(channel).Call(request),
            timeout_s,
        )


class PeerServer(peer_grpc.PeerBase):
    """Answers heartbeats, claims and questions for documents."""

    def __init__(
        self, beats: heartbeats.Heartbeats, claimer: claims.Claims
    ) -> None:
        self._beats = beats
        self._claims = claimer

    async def Heartbeat(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            peer_pb2.HeartbeatRequest, peer_pb2.HeartbeatReply
        ],
    ) -> None:
        """Answers a heartbeat."""
        request = await _received(stream)
        await stream.send_message(self._beats.handle_heartbeat(request))

    async def Documents(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            peer_pb2.DocumentRequest, peer_pb2.DocumentReply
        ],
    ) -> None:
        """Answers with the documents that the peer lacks."""
        request = await _received(stream)
        await stream.send_message(self._beats.handle_document_request(request))

    async def Claim(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            peer_pb2.ClaimRequest, peer_pb2.ClaimReply
        ],
    ) -> None:
        """Answers a claim for shares."""
        request = await _received(stream)
        await stream.send_message(self._claims.answer(request))


class OwnerServer(peer_grpc.OwnerBase):
    """Grants memory to other entries."""

    def __init__(
        self,
        owner: owners.Owner,
        grants: grants_module.Grants,
        endpoint_of: Callable[
            [ids.EndpointId], documents.Endpoint | None
        ],
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
        """Answers with a grant when there is room."""
        request = await _received(stream)
        granted = await self._owner.grant(_ask_of(request))
        await stream.send_message(_grant_reply(granted))

    async def Release(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            peer_pb2.ReleaseRequest, peer_pb2.ReleaseReply
        ],
    ) -> None:
        """Takes a grant back."""
        request = await _received(stream)
        self._grants.release_here(
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
        """Takes in how long a first token took."""
        request = await _received(stream)
        endpoint_id = ids.EndpointId(request.endpoint_id)
        endpoint = self._endpoint_of(endpoint_id)
        if endpoint is not None:
            self._grants.observe_here(
                endpoint_id,
                request.first_token_ms / 1000,
                request.prompt_tokens / endpoint.prefill_tokens_s,
            )
        await stream.send_message(peer_pb2.ObserveReply())


class AccountsServer(peer_grpc.AccountsBase):
    """Gives out the rates of accounts that are owned here."""

    def __init__(self, accounts: accounts_module.Accounts) -> None:
        self._accounts = accounts

    async def Spend(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            peer_pb2.SpendRequest, peer_pb2.SpendReply
        ],
    ) -> None:
        """Gives out tokens of an account's rate."""
        request = await _received(stream)
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
        """Gives an account up to its next owner."""
        request = await _received(stream)
        held_by = self._accounts.yield_to(
            ids.AccountId(request.account_id),
            claims.holder_of(request.sender),
        )
        await stream.send_message(
            peer_pb2.YieldReply(yielded_to=held_by or '')
        )


class HomeServer(peer_grpc.HomeBase):
    """Runs calls whose ticket was issued here."""

    def __init__(self, home: tickets.Home) -> None:
        self._home = home

    async def Call(  # noqa: N802
        self,
        stream: grpclib.server.Stream[
            peer_pb2.ServiceCallRequest, peer_pb2.ServiceCallReply
        ],
    ) -> None:
        """Runs a call once and answers with its outcome."""
        request = await _received(stream)
        outcome = await self._home.call(tickets.request_to_call(request))
        await stream.send_message(tickets.outcome_to_reply(outcome))


async def _received(stream: grpclib.server.Stream[Any, Any]) -> Any:
    request = await stream.recv_message()
    if request is None:
        raise grpclib.exceptions.StreamTerminatedError('no message came')
    return request


def _ask_of(request: peer_pb2.GrantRequest) -> owners.Ask:
    return owners.Ask(
        request_id=ids.RequestId(request.request_id),
        attempt=request.attempt,
        endpoint_id=ids.EndpointId(request.endpoint_id),
        entry=claims.holder_of(request.sender),
        tokens=request.tokens,
        prompt_tokens=request.prompt_tokens,
        remaining_s=request.remaining_ms / 1000,
        patience_s=request.patience_ms / 1000,
        is_flat=request.flat,
    )


def _grant_reply(
    granted: owners.Granted | codes.Failure,
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
