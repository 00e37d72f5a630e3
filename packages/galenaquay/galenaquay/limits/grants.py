"""Entry side of memory grants: requests and releases grants at the owners.

The entry process, which accepted the request from the caller, asks the first
owner of an engine and, if the first owner cannot be reached, the second.
`routing` chooses the engine.
"""

import asyncio
from collections.abc import Callable, Coroutine
import dataclasses
import time
from typing import Any, Final

from galenaquay_api import peer_pb2

from .. import codes
from .. import ids
from .. import tasks
from . import claims
from ..configuration import documents
from ..engines import state as engine_states
from ..engines import watch as engine_watch
from . import ledger
from ..membership import view as views
from . import owner as owners
from ..ports import engine as engine_port
from ..ports import peers as peers_port

# Time allowed for a call to an owner in addition to the wait in the owner's
# queue, in seconds.
NETWORK_S: Final = 0.5
# Attempts to cancel a request at its engine before the cancellation is left to
# the owner.
CANCEL_ATTEMPTS: Final = 3
# Time between two attempts to cancel, in seconds.
CANCEL_PAUSE_S: Final = 0.2


@dataclasses.dataclass(frozen=True)
class HeldGrant:
    """A grant as held by the entry process of the request."""

    grant_id: ids.GrantId
    endpoint: documents.Endpoint
    owner_id: ids.VmId
    tag: str
    priority: int
    # Latest time, on this process's clock, to send the engine the order to run
    # the request.
    start_by_s: float
    queued_s: float


@dataclasses.dataclass(frozen=True)
class GrantParams:
    """The memory, prompt length and time limits of a request for a grant."""

    request_id: ids.RequestId
    attempt: int
    tokens: int
    prompt_tokens: int
    remaining_s: float
    max_queue_wait_s: float
    is_fifo: bool = False


class GrantClient:
    """Acquires grants from the owners of engines and releases them."""

    def __init__(
        self,
        view: views.View,
        owner: owners.Owner,
        watch: engine_watch.EngineWatch,
        peers: peers_port.Peers,
        engines: engine_port.Engines,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._view = view
        self._owner = owner
        self._watch = watch
        self._peers = peers
        self._engines = engines
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()

    async def acquire(
        self, endpoint: documents.Endpoint, params: GrantParams
    ) -> HeldGrant | codes.Failure:
        """Requests a grant from an engine's owners in the order of their rank.

        Returns:
            The grant, or the reason why no owner made a grant; in that case
            the request has not run.
        """
        failure = codes.failure(codes.Code.OWNER_UNREACHABLE, endpoint.id)
        for vm_id in self._view.owners(endpoint):
            held = await self._request(vm_id, endpoint, params)
            if not isinstance(held, codes.Failure):
                return held
            failure = held
            if held.code is not codes.Code.OWNER_UNREACHABLE:
                return failure
        return failure

    async def _request(
        self,
        vm_id: ids.VmId,
        endpoint: documents.Endpoint,
        params: GrantParams,
    ) -> HeldGrant | codes.Failure:
        if vm_id == self._view.me.vm_id:
            return await self._request_locally(endpoint, params)
        return await self._request_from_peer(vm_id, endpoint, params)

    async def _request_locally(
        self, endpoint: documents.Endpoint, params: GrantParams
    ) -> HeldGrant | codes.Failure:
        request = owners.GrantRequest(
            request_id=params.request_id,
            attempt=params.attempt,
            endpoint_id=ids.EndpointId(endpoint.id),
            entry=self._view.me,
            tokens=params.tokens,
            prompt_tokens=params.prompt_tokens,
            remaining_s=params.remaining_s,
            max_queue_wait_s=params.max_queue_wait_s,
            is_fifo=params.is_fifo,
        )
        granted = await self._owner.grant(request)
        if isinstance(granted, codes.Failure):
            return granted
        return HeldGrant(
            grant_id=granted.grant.grant_id,
            endpoint=endpoint,
            owner_id=self._view.me.vm_id,
            tag=granted.grant.tag(),
            priority=granted.priority,
            start_by_s=granted.grant.granted_at_s + ledger.START_WITHIN_S,
            queued_s=granted.queued_s,
        )

    async def _request_from_peer(
        self,
        vm_id: ids.VmId,
        endpoint: documents.Endpoint,
        params: GrantParams,
    ) -> HeldGrant | codes.Failure:
        vm = self._view.listed_vms().get(vm_id)
        if vm is None:
            return codes.failure(codes.Code.OWNER_UNREACHABLE, vm_id)
        asked_at_s = self._clock()
        reply = await self._peers.grant(
            vm.peers,
            peer_pb2.GrantRequest(
                sender=claims.sender_message(self._view.me),
                request_id=params.request_id,
                attempt=params.attempt,
                endpoint_id=endpoint.id,
                tokens=params.tokens,
                prompt_tokens=params.prompt_tokens,
                remaining_ms=int(params.remaining_s * 1000),
                patience_ms=int(params.max_queue_wait_s * 1000),
                flat=params.is_fifo,
            ),
            params.max_queue_wait_s + NETWORK_S,
        )
        if isinstance(reply, codes.Failure):
            return codes.failure(codes.Code.OWNER_UNREACHABLE, vm_id)
        if reply.code:
            return codes.failure(
                codes.Code(reply.code),
                reply.reason,
                reply.retry_after_ms / 1000,
            )
        queued_s = reply.queued_ms / 1000
        return HeldGrant(
            grant_id=ids.GrantId(reply.grant_id),
            endpoint=endpoint,
            owner_id=vm_id,
            tag=reply.tag,
            priority=reply.priority,
            # Counted from when the request was sent: the reply may have been
            # delayed, and the owner's time limit began before the reply.
            start_by_s=asked_at_s + queued_s + reply.start_within_ms / 1000,
            queued_s=queued_s,
        )

    def release(self, held: HeldGrant) -> None:
        """Releases a grant whose request the engine does not hold."""
        self._spawn(self._send_release(held, is_confirmed=True))

    def cancel(
        self, held: HeldGrant, request_id: ids.RequestId, attempt: int
    ) -> None:
        """Cancels a request at its engine, then releases the grant."""
        self._spawn(self._cancel(held, request_id, attempt))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = tasks.start(coroutine, 'release')
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def drain(self) -> None:
        """Waits for all pending cancellations, releases and reports."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _cancel(
        self, held: HeldGrant, request_id: ids.RequestId, attempt: int
    ) -> None:
        is_confirmed = False
        for _ in range(CANCEL_ATTEMPTS):
            is_confirmed = await self._engines.cancel(
                held.endpoint.url, request_id, attempt
            )
            if is_confirmed:
                break
            await asyncio.sleep(CANCEL_PAUSE_S)
        await self._send_release(held, is_confirmed=is_confirmed)

    async def _send_release(
        self, held: HeldGrant, *, is_confirmed: bool
    ) -> None:
        endpoint_id = ids.EndpointId(held.endpoint.id)
        if held.owner_id == self._view.me.vm_id:
            self.release_as_owner(
                endpoint_id, held.grant_id, is_confirmed=is_confirmed
            )
            return
        vm = self._view.listed_vms().get(held.owner_id)
        if vm is None:
            return
        await self._peers.release(
            vm.peers,
            peer_pb2.ReleaseRequest(
                sender=claims.sender_message(self._view.me),
                endpoint_id=endpoint_id,
                grant_id=held.grant_id,
                confirmed=is_confirmed,
            ),
        )

    def release_as_owner(
        self,
        endpoint_id: ids.EndpointId,
        grant_id: ids.GrantId,
        *,
        is_confirmed: bool,
    ) -> None:
        """Releases a grant that this process made as owner.

        Args:
            endpoint_id: The engine.
            grant_id: The grant.
            is_confirmed: Whether the engine certainly does not run the
                request. If not, the request is cancelled until the engine no
                longer reports the request as held.
        """
        if is_confirmed:
            self._owner.release(endpoint_id, grant_id)
        else:
            self._watch.cancel_until_gone(grant_id)

    def record_first_token(
        self,
        endpoint_id: ids.EndpointId,
        first_token_s: float,
        expected_s: float,
    ) -> None:
        """Records the time to first token of a request, as the owner."""
        state = self._owner.state_of(endpoint_id)
        state.note_first_token(first_token_s, expected_s, self._clock())

    def report_first_token(
        self,
        held: HeldGrant,
        prompt_tokens: int,
        first_token_s: float,
    ) -> None:
        """Reports the time to first token of a request to the grant's owner.

        An owner in another process receives only slow times, which are rare.
        """
        endpoint_id = ids.EndpointId(held.endpoint.id)
        expected_s = engine_states.prefill_s(held.endpoint, prompt_tokens)
        if held.owner_id == self._view.me.vm_id:
            self.record_first_token(endpoint_id, first_token_s, expected_s)
        elif engine_states.is_slow(first_token_s, expected_s):
            self._spawn(
                self._send_observation(held, prompt_tokens, first_token_s)
            )

    async def _send_observation(
        self, held: HeldGrant, prompt_tokens: int, first_token_s: float
    ) -> None:
        vm = self._view.listed_vms().get(held.owner_id)
        if vm is None:
            return
        await self._peers.observe(
            vm.peers,
            peer_pb2.ObserveRequest(
                sender=claims.sender_message(self._view.me),
                endpoint_id=held.endpoint.id,
                prompt_tokens=prompt_tokens,
                first_token_ms=int(first_token_s * 1000),
            ),
        )
