"""The port to the peers, the galenaquay processes of the other VMs."""

from typing import Protocol

from galenaquay_api import peer_pb2

from .. import codes


class Peers(Protocol):
    """Client of the peers, each identified by its address `host:port`."""

    async def heartbeat(
        self, address: str, request: peer_pb2.HeartbeatRequest
    ) -> peer_pb2.HeartbeatReply | codes.Failure:
        """Sends a heartbeat."""
        ...

    async def documents(
        self, address: str, request: peer_pb2.DocumentRequest
    ) -> peer_pb2.DocumentReply | codes.Failure:
        """Requests documents newer than those in force in this process."""
        ...

    async def claim(
        self, address: str, request: peer_pb2.ClaimRequest
    ) -> peer_pb2.ClaimReply | codes.Failure:
        """Asks a peer to cede shares of engine memory to this process.

        CONNECT_FAILED means that no process runs at the address.
        """
        ...

    async def grant(
        self,
        address: str,
        request: peer_pb2.GrantRequest,
        timeout_s: float,
    ) -> peer_pb2.GrantReply | codes.Failure:
        """Requests a grant of engine memory from the engine's owner."""
        ...

    async def release(
        self, address: str, request: peer_pb2.ReleaseRequest
    ) -> peer_pb2.ReleaseReply | codes.Failure:
        """Releases a grant at the engine's owner."""
        ...

    async def observe(
        self, address: str, request: peer_pb2.ObserveRequest
    ) -> peer_pb2.ObserveReply | codes.Failure:
        """Reports the time to a first token to the engine's owner."""
        ...

    async def spend(
        self, address: str, request: peer_pb2.SpendRequest
    ) -> peer_pb2.SpendReply | codes.Failure:
        """Requests tokens of a client account's rate limit.

        The request goes to the account's owner, the process that enforces the
        rate limit of the account.
        """
        ...

    async def yield_account(
        self, address: str, request: peer_pb2.YieldRequest
    ) -> peer_pb2.YieldReply | codes.Failure:
        """Asks an account's former owner to stop granting the account tokens.

        CONNECT_FAILED means that no process runs at the address.
        """
        ...

    async def call_home(
        self,
        address: str,
        request: peer_pb2.ServiceCallRequest,
        timeout_s: float,
    ) -> peer_pb2.ServiceCallReply | codes.Failure:
        """Sends a non-idempotent call to the home of the call's ticket."""
        ...
