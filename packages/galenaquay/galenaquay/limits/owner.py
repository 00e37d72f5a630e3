"""Owner side of memory grants: one queue of requests for each engine.

Requests wait in the owner's queue, which can be reordered by deadline, and the
queue inside the engine is kept short. `ledger` decides how many tokens may be
granted.
"""

import asyncio
import bisect
from collections.abc import Callable
import dataclasses
import time
from typing import Final

from .. import codes
from .. import ids
from ..configuration import documents
from ..engines import state as engine_states
from . import ledger as ledgers
from ..routing import bands
from . import shares

# Longest prefill backlog inside an engine with which the engine still receives
# another request, in seconds.
ENGINE_QUEUE_S: Final = 0.1
# Longest prefill backlog inside an engine that counts as idle, in seconds.
IDLE_QUEUE_S: Final = 0.01
# A waiting request may not be overtaken once the time until its latest start
# is less than this fraction of the time that the request had on arrival.
STARVATION_SHARE: Final = 0.25
# Retry time for a request that is too large for the usable shares, in seconds;
# by then the owner may have borrowed the second share.
LEASE_WAIT_S: Final = ledgers.LEASE_S
# Retry time for a request that got no grant within its wait, in seconds.
RETRY_AFTER_S: Final = 1.0


@dataclasses.dataclass(frozen=True)
class GrantRequest:
    """An entry process's request for a grant."""

    request_id: ids.RequestId
    attempt: int
    endpoint_id: ids.EndpointId
    entry: shares.ProcessId
    tokens: int
    prompt_tokens: int
    # Time until the deadline of the request, in seconds.
    remaining_s: float
    # Longest wait in this queue before the entry process asks for another
    # engine, in seconds; with 0 the request is granted only if the engine is
    # idle for prompts of the same length band.
    max_queue_wait_s: float
    # Whether the request is queued in order of arrival and without a
    # priority, as the baseline policies require.
    is_fifo: bool = False


@dataclasses.dataclass(frozen=True)
class IssuedGrant:
    """A grant with its queueing time and its priority at the engine."""

    grant: shares.Grant
    queued_s: float
    priority: int


@dataclasses.dataclass(eq=False)
class _Waiter:
    """A request that waits in the owner's queue."""

    request: GrantRequest
    arrived_s: float
    # Position in the queue: the latest start for which the prefill ends before
    # the deadline, or the arrival time if `request.is_fifo` is set.
    latest_start_s: float
    reply: asyncio.Future[IssuedGrant | codes.Failure]


@dataclasses.dataclass
class _EngineQueue:
    """The queue for one engine and the requests granted on the engine."""

    state: engine_states.EngineState
    # Waiting requests, sorted by `latest_start_s`.
    waiting: list[_Waiter] = dataclasses.field(default_factory=list)
    # Requests with a grant that has not been released, by grant.
    requests_by_grant: dict[ids.GrantId, GrantRequest] = dataclasses.field(
        default_factory=dict
    )
    # Requests that the engine last reported under grants of other owners, and
    # the tokens of those grants.
    other_owners_in_flight: int = 0
    other_owners_tokens: int = 0


class Owner:
    """Grants memory of the engines of which this process holds a share."""

    ledger: ledgers.Ledger

    def __init__(
        self,
        ledger: ledgers.Ledger,
        endpoint_of: Callable[[ids.EndpointId], documents.Endpoint | None],
        is_serving: Callable[[ids.EndpointId], bool],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.ledger = ledger
        self._endpoint_of = endpoint_of
        self._is_serving = is_serving
        self._clock = clock
        self._queues_by_endpoint: dict[ids.EndpointId, _EngineQueue] = {}

    def state_of(
        self, endpoint_id: ids.EndpointId
    ) -> engine_states.EngineState:
        """Returns the state of an engine as known to this owner."""
        return self._queue(endpoint_id).state

    def _queue(self, endpoint_id: ids.EndpointId) -> _EngineQueue:
        queue = self._queues_by_endpoint.get(endpoint_id)
        if queue is None:
            queue = _EngineQueue(engine_states.EngineState(endpoint_id))
            self._queues_by_endpoint[endpoint_id] = queue
        return queue

    def waiting_count(self, endpoint_id: ids.EndpointId) -> int:
        """Returns the number of requests in the queue for an engine."""
        return len(self._queue(endpoint_id).waiting)

    def backlog_tokens(
        self, endpoint_id: ids.EndpointId, *, only_short: bool
    ) -> int:
        """Estimates the prompt tokens not yet prefilled for an engine.

        Counts the requests in this queue and the backlog inside the engine.

        Args:
            endpoint_id: The engine.
            only_short: Whether to count only prompts of the short band.
        """
        endpoint = self._endpoint_of(endpoint_id)
        if endpoint is None:
            return 0
        queue = self._queue(endpoint_id)
        waiting_tokens = sum(
            w.request.prompt_tokens
            for w in queue.waiting
            if not only_short or _is_short(w.request)
        )
        engine_backlog_s = queue.state.backlog_s(
            self._clock(), is_short=only_short
        )
        return waiting_tokens + int(
            engine_backlog_s * endpoint.prefill_tokens_s
        )

    async def grant(
        self, request: GrantRequest
    ) -> IssuedGrant | codes.Failure:
        """Grants memory to a request, if need be after a wait in the queue.

        Returns:
            The grant, or the reason why the request was refused.
        """
        endpoint = self._endpoint_of(request.endpoint_id)
        now_s = self._clock()
        if endpoint is None:
            return codes.failure(codes.Code.OWNER_UNREACHABLE, 'no such one')
        refusal = self._immediate_refusal(request, endpoint, now_s)
        if refusal is not None:
            return refusal
        waiter = self._enqueue(request, endpoint, now_s)
        self.grant_waiting(request.endpoint_id)
        return await self._wait(waiter)

    def _immediate_refusal(
        self, request: GrantRequest, endpoint: documents.Endpoint, now_s: float
    ) -> codes.Failure | None:
        if not self._is_serving(request.endpoint_id):
            return _withdrawn_failure(request)
        usable = self.ledger.usable_tokens(request.endpoint_id, now_s)
        if usable == 0:
            return codes.failure(codes.Code.OWNER_UNREACHABLE, 'not the owner')
        if request.tokens > usable:
            return codes.failure(
                codes.Code.NO_ROOM, f'{usable} tokens are usable', LEASE_WAIT_S
            )
        expected_s = self._expected_start_s(request, endpoint, now_s)
        prefill_s = engine_states.prefill_s(endpoint, request.prompt_tokens)
        if expected_s + prefill_s > request.remaining_s:
            return codes.failure(
                codes.Code.TOO_LATE, 'by the queue', expected_s
            )
        return None

    def _expected_start_s(
        self, request: GrantRequest, endpoint: documents.Endpoint, now_s: float
    ) -> float:
        queue = self._queue(request.endpoint_id)
        prefill_s = engine_states.prefill_s(endpoint, request.prompt_tokens)
        latest_start_s = now_s + request.remaining_s - prefill_s
        position = bisect.bisect_right(
            queue.waiting, latest_start_s, key=lambda w: w.latest_start_s
        )
        ahead_tokens = sum(
            w.request.prompt_tokens for w in queue.waiting[:position]
        )
        backlog_s = queue.state.backlog_s(now_s, is_short=_is_short(request))
        return backlog_s + engine_states.prefill_s(endpoint, ahead_tokens)

    def _enqueue(
        self, request: GrantRequest, endpoint: documents.Endpoint, now_s: float
    ) -> _Waiter:
        prefill_s = engine_states.prefill_s(endpoint, request.prompt_tokens)
        latest_start_s = now_s + request.remaining_s - prefill_s
        waiter = _Waiter(
            request,
            now_s,
            now_s if request.is_fifo else latest_start_s,
            asyncio.get_running_loop().create_future(),
        )
        queue = self._queue(request.endpoint_id)
        bisect.insort(queue.waiting, waiter, key=lambda w: w.latest_start_s)
        return waiter

    async def _wait(self, waiter: _Waiter) -> IssuedGrant | codes.Failure:
        now_s = self._clock()
        slack_s = waiter.latest_start_s - now_s
        if waiter.request.is_fifo:
            slack_s = waiter.request.remaining_s
        wait_s = max(0.0, min(slack_s, waiter.request.max_queue_wait_s))
        if waiter.reply.done():
            return waiter.reply.result()
        if wait_s == 0:
            self._abandon(waiter)
            return codes.failure(codes.Code.NO_ROOM, 'at once')
        try:
            async with asyncio.timeout(wait_s):
                # Shielded from the timeout, so that a reply that arrives at
                # the same time is still read below.
                await asyncio.shield(waiter.reply)
        except TimeoutError:
            pass
        except asyncio.CancelledError:
            self._abandon(waiter)
            raise
        if waiter.reply.done():
            return waiter.reply.result()
        self._abandon(waiter)
        code = codes.Code.NO_ROOM
        if slack_s <= waiter.request.max_queue_wait_s:
            code = codes.Code.TOO_LATE
        return codes.failure(code, 'after waiting', RETRY_AFTER_S)

    def _abandon(self, waiter: _Waiter) -> None:
        """Removes a request from the queue, or releases its unused grant."""
        if waiter.reply.done():
            granted = waiter.reply.result()
            if isinstance(granted, IssuedGrant):
                self.release(
                    waiter.request.endpoint_id, granted.grant.grant_id
                )
            return
        self._queue(waiter.request.endpoint_id).waiting.remove(waiter)

    def release(
        self, endpoint_id: ids.EndpointId, grant_id: ids.GrantId
    ) -> None:
        """Releases a grant whose request has ended or was never started."""
        self.ledger.release(grant_id)
        self._queue(endpoint_id).requests_by_grant.pop(grant_id, None)
        self.grant_waiting(endpoint_id)

    def reconcile(
        self,
        endpoint_id: ids.EndpointId,
        holdings: tuple[shares.Holding, ...],
        asked_at_s: float,
    ) -> list[shares.Grant]:
        """Reconciles the ledger with the requests that an engine holds.

        Args:
            endpoint_id: The engine.
            holdings: All requests that the engine held at one moment after
                `asked_at_s`.
            asked_at_s: When the engine was asked for its held requests.

        Returns:
            The grants that were released because the engine does not hold
            their requests.
        """
        queue = self._queue(endpoint_id)
        others = [h for h in holdings if h.owner != self.ledger.me]
        queue.other_owners_in_flight = len(others)
        queue.other_owners_tokens = sum(
            h.first_share_tokens + h.second_share_tokens for h in others
        )
        missing = self.ledger.reconcile(endpoint_id, holdings, asked_at_s)
        for grant in missing:
            queue.requests_by_grant.pop(grant.grant_id, None)
        self.grant_waiting(endpoint_id)
        return missing

    def grant_waiting(self, endpoint_id: ids.EndpointId) -> None:
        """Grants all waiting requests that can start now, in queue order."""
        endpoint = self._endpoint_of(endpoint_id)
        queue = self._queue(endpoint_id)
        if endpoint is None:
            return
        if not self._is_serving(endpoint_id):
            self._refuse_all(queue)
            return
        now_s = self._clock()
        for waiter in list(queue.waiting):
            if not self._has_capacity(queue, endpoint, now_s):
                # The engine accepts no further request, whatever its length,
                # so the rest of the queue need not be checked.
                return
            if self._may_start(queue, endpoint, waiter.request, now_s):
                if self._start(queue, endpoint, waiter, now_s):
                    continue
            if _is_starving(waiter, now_s):
                # A later request must not overtake a request that is close
                # to its latest start.
                return

    def _refuse_all(self, queue: _EngineQueue) -> None:
        """Refuses all requests that wait for a withdrawn engine."""
        for waiter in queue.waiting:
            if not waiter.reply.done():
                waiter.reply.set_result(_withdrawn_failure(waiter.request))
        queue.waiting.clear()

    def _may_start(
        self,
        queue: _EngineQueue,
        endpoint: documents.Endpoint,
        request: GrantRequest,
        now_s: float,
    ) -> bool:
        backlog_s = queue.state.backlog_s(now_s, is_short=_is_short(request))
        limit_s = ENGINE_QUEUE_S if request.max_queue_wait_s else IDLE_QUEUE_S
        if backlog_s > limit_s and not request.is_fifo:
            return False
        return not queue.state.is_cold or self._fits_cold_limit(
            queue, endpoint, request, now_s
        )

    def _has_capacity(
        self, queue: _EngineQueue, endpoint: documents.Endpoint, now_s: float
    ) -> bool:
        """Returns whether an engine may receive one more request.

        Compares the number of requests in flight with the engine's limits and
        ignores the length of the request.
        """
        if not queue.state.is_reachable:
            return False
        own_in_flight = len(queue.requests_by_grant)
        in_flight = own_in_flight + queue.other_owners_in_flight
        if queue.state.is_cold:
            fraction = self._owned_fraction(endpoint, now_s)
            return (
                own_in_flight < int(endpoint.cold_in_flight * fraction)
                and in_flight < endpoint.cold_in_flight
            )
        return in_flight < endpoint.max_in_flight

    def _owned_fraction(
        self, endpoint: documents.Endpoint, now_s: float
    ) -> float:
        """Returns the fraction of an engine's memory usable by this owner now.

        The limits of a cold engine are split between its two owners in
        proportion to their memory, so that the owners together stay within
        the limits even if they cannot reach each other.
        """
        usable = self.ledger.usable_tokens(ids.EndpointId(endpoint.id), now_s)
        return usable / endpoint.capacity_tokens

    def _fits_cold_limit(
        self,
        queue: _EngineQueue,
        endpoint: documents.Endpoint,
        request: GrantRequest,
        now_s: float,
    ) -> bool:
        """Returns whether a request fits the token limit of a cold engine."""
        fraction = self._owned_fraction(endpoint, now_s)
        held_tokens = sum(r.tokens for r in queue.requests_by_grant.values())
        held_tokens += queue.other_owners_tokens
        if held_tokens == 0:
            # A cold engine without requests accepts a request of any length.
            return True
        return held_tokens + request.tokens <= endpoint.cold_tokens * fraction

    def _start(
        self,
        queue: _EngineQueue,
        endpoint: documents.Endpoint,
        waiter: _Waiter,
        now_s: float,
    ) -> bool:
        request = waiter.request
        grant = self.ledger.grant(
            request.endpoint_id, request.tokens, request.entry, now_s
        )
        if grant is None:
            return False
        queue.waiting.remove(waiter)
        queue.requests_by_grant[grant.grant_id] = request
        queue.state.add_prefill(
            engine_states.prefill_s(endpoint, request.prompt_tokens),
            now_s,
            is_short=_is_short(request),
        )
        queued_s = now_s - waiter.arrived_s
        waiter.reply.set_result(
            IssuedGrant(grant, queued_s, _priority(waiter, now_s))
        )
        return True


def _withdrawn_failure(request: GrantRequest) -> codes.Failure:
    return codes.failure(codes.Code.ENDPOINT_WITHDRAWN, request.endpoint_id)


def _is_short(request: GrantRequest) -> bool:
    return bands.band_of(request.prompt_tokens) is bands.Band.SHORT


def _is_starving(waiter: _Waiter, now_s: float) -> bool:
    """Returns whether later requests may no longer overtake a request.

    This holds for every FIFO request, since its `latest_start_s` is the time
    of its arrival.
    """
    slack_s = waiter.latest_start_s - now_s
    return slack_s < STARVATION_SHARE * waiter.request.remaining_s


def _priority(waiter: _Waiter, now_s: float) -> int:
    """Returns the priority of a request at the engine.

    The priority is the number of the prompt's length band; FIFO and starving
    requests get the priority of the short band.
    """
    if waiter.request.is_fifo or _is_starving(waiter, now_s):
        return int(bands.Band.SHORT)
    return int(bands.band_of(waiter.request.prompt_tokens))
