"""Runs one attempt of a completion on one model engine.

An attempt first acquires a grant, a reservation of engine memory, from the
engine's owner, the process that manages the engine's memory. The attempt then
sends the request to the engine and relays the response to the caller. When the
attempt ends, the grant is released at once if the engine holds nothing for the
request; otherwise the request is cancelled at the engine first. The module
`completions` decides whether another attempt follows.
"""

from collections.abc import Sequence
import time
from typing import Final

from .. import codes
from .. import ids
from ..adapters import tracing
from ..configuration import documents
from ..engines import state as engine_states
from ..limits import grants as grants_module
from ..ports import callers
from ..ports import engine as engine_port
from . import requests
from ..routing import bands
from ..routing import policies

# Number of engines, the best first, at which a request waits for a grant for a
# limited time.
MAX_ENGINES_ASKED: Final = 3
# Share of the remaining time of a request that the request waits in the queue
# of one engine's owner before the next engine is asked.
QUEUE_WAIT_SHARE: Final = 0.2

# Failures to acquire a grant after which the next engine is asked.
_ASK_NEXT_ENGINE: Final = frozenset(
    [
        codes.Code.NO_ROOM,
        codes.Code.TOO_LATE,
        codes.Code.OWNER_UNREACHABLE,
        codes.Code.ENDPOINT_WITHDRAWN,
    ]
)
# Failures that prove that the engine did not start the request.
_NOT_STARTED: Final = frozenset(
    [codes.Code.CONNECT_FAILED, codes.Code.BACK_END_REFUSED]
)


class Attempts:
    """Runs single attempts of completions on engines."""

    def __init__(
        self,
        grants: grants_module.GrantClient,
        engines: engine_port.Engines,
        policy_state: policies.PolicyState,
        policy_name: str,
        zone: ids.ZoneName,
    ) -> None:
        self.grants = grants
        self.engines = engines
        self._policy_state = policy_state
        self._policy = policies.POLICIES_BY_NAME[policy_name]
        self._grant_requests = _plan_grant_requests(self._policy)
        self._zone = zone

    def sort_engines(
        self,
        request: requests.Completion,
        candidates: Sequence[documents.Endpoint],
        tokens: int,
    ) -> Sequence[documents.Endpoint]:
        """Sorts engines by the routing policy, the best first."""
        routing_request = policies.RoutingRequest(
            request.route, request.prompt_tokens, tokens, self._zone
        )
        return self._policy.order(
            self._policy_state, routing_request, candidates
        )

    async def run(
        self,
        request: requests.Completion,
        sink: callers.Sink,
        candidates: Sequence[documents.Endpoint],
    ) -> requests.AttemptResult:
        """Runs a request on the first candidate that grants memory for it.

        If the policy probes for idle engines, the owners of the best engines
        are first asked for a grant without waiting, at the cost of one message
        each. The request then waits for a limited time at each of the best
        engines, and finally for all of the remaining time at the best engine.
        """
        ordered = self.sort_engines(request, candidates, request.tokens)
        failure = codes.failure(codes.Code.NO_ENDPOINT)
        for index, wait_share in self._grant_requests:
            if index >= len(ordered):
                continue
            result = await self._acquire(request, ordered[index], wait_share)
            if not isinstance(result, codes.Failure):
                return await self.run_with_grant(request, sink, result)
            failure = result
            if result.code not in _ASK_NEXT_ENGINE:
                break
        return failure

    async def _acquire(
        self,
        request: requests.Completion,
        endpoint: documents.Endpoint,
        wait_share: float,
    ) -> grants_module.HeldGrant | codes.Failure:
        remaining_s = request.remaining_s()
        params = grants_module.GrantParams(
            request_id=request.request_id,
            attempt=request.attempt + 1,
            tokens=request.tokens,
            prompt_tokens=request.prompt_tokens,
            remaining_s=remaining_s,
            max_queue_wait_s=remaining_s * wait_share,
            is_fifo=self._policy.is_fifo,
        )
        with tracing.span('grant', request, endpoint=endpoint.id):
            return await self.grants.acquire(endpoint, params)

    async def run_with_grant(
        self,
        request: requests.Completion,
        sink: callers.Sink,
        grant: grants_module.HeldGrant,
        part_tokens: int = 0,
    ) -> requests.AttemptResult:
        """Runs a request on the granted engine and relays the response.

        If the grant has expired, the request is not sent to the engine.

        Args:
            request: The completion to run.
            sink: Receives the events of the response.
            grant: The grant. However the attempt ends, this method releases
                the grant, or cancels the request at the engine to free the
                memory.
            part_tokens: Prompt tokens that the engine holds if a group of
                engines shares the prompt, otherwise 0.
        """
        if time.monotonic() >= grant.start_by_s:
            self.grants.release(grant)
            return codes.failure(codes.Code.GRANT_EXPIRED)
        request.attempt += 1
        attempt = request.attempt
        endpoint_id = ids.EndpointId(grant.endpoint.id)
        request.ran_on.append(endpoint_id)
        self._policy_state.request_started(endpoint_id)
        result: requests.AttemptResult | None = None
        try:
            with tracing.span('engine', request, endpoint=endpoint_id):
                result = await self._send_and_relay(
                    request, sink, grant, part_tokens
                )
        finally:
            self._policy_state.request_ended(endpoint_id)
            self._release(request, grant, attempt, result)
        return result

    def _release(
        self,
        request: requests.Completion,
        grant: grants_module.HeldGrant,
        attempt: int,
        result: requests.AttemptResult | None,
    ) -> None:
        """Releases the grant of an attempt that has ended.

        Cancels the request at the engine first, unless the response was
        complete or the engine did not start the request.
        """
        if isinstance(result, codes.Failure):
            self._report_failure(request, grant, result)
        is_done = result is requests.AttemptEnd.COMPLETE or (
            isinstance(result, codes.Failure) and result.code in _NOT_STARTED
        )
        if is_done:
            self.grants.release(grant)
        else:
            self.grants.cancel(grant, request.request_id, attempt)

    async def _send_and_relay(
        self,
        request: requests.Completion,
        sink: callers.Sink,
        grant: grants_module.HeldGrant,
        part_tokens: int,
    ) -> requests.AttemptResult:
        started_at_s = time.monotonic()
        response = await self.engines.run(
            build_run_request(request, grant, request.body, part_tokens)
        )
        if isinstance(response, codes.Failure):
            return response
        try:
            while True:
                chunk = await response.next_chunk()
                if isinstance(chunk, codes.Failure):
                    return chunk
                if request.offset == 0 and chunk.tokens:
                    self._record_first_token(request, grant, started_at_s)
                request.offset += chunk.tokens
                is_reading = await sink.write(chunk.data)
                if chunk.is_last:
                    return requests.AttemptEnd.COMPLETE
                if not is_reading:
                    return requests.AttemptEnd.PAUSED
        finally:
            await response.close()

    def _report_failure(
        self,
        request: requests.Completion,
        grant: grants_module.HeldGrant,
        failure: codes.Failure,
    ) -> None:
        """Reports an interrupted response to the engine's owner.

        The owner counts the response as very slow, because an engine whose
        responses break off may be in cold start.
        """
        is_broken = failure.code is codes.Code.ENGINE_BROKE
        if is_broken and not self._policy.is_fifo:
            self.grants.report_first_token(
                grant,
                request.prompt_tokens,
                engine_states.BROKEN_ANSWER_FIRST_TOKEN_S,
            )

    def _record_first_token(
        self,
        request: requests.Completion,
        grant: grants_module.HeldGrant,
        started_at_s: float,
    ) -> None:
        now_s = time.monotonic()
        if request.first_token_at_s is None:
            request.first_token_at_s = now_s
        is_short = request.prompt_tokens <= bands.SHORT_TOKENS
        if is_short and not self._policy.is_fifo:
            self.grants.report_first_token(
                grant, request.prompt_tokens, now_s - started_at_s
            )


def _plan_grant_requests(policy: policies.Policy) -> list[tuple[int, float]]:
    """Returns the sequence in which a request asks engines for a grant.

    Each item is the engine's index in the order of the policy and the share of
    the remaining time that the request waits for the grant.
    """
    probes = [(index, 0.0) for index in range(policy.probes)]
    waits = [(index, QUEUE_WAIT_SHARE) for index in range(MAX_ENGINES_ASKED)]
    return [*probes, *waits, (0, 1.0)]


def build_run_request(
    request: requests.Completion,
    grant: grants_module.HeldGrant,
    body: dict[str, object],
    part_tokens: int = 0,
) -> engine_port.RunRequest:
    """Builds the message that runs a request's current attempt."""
    return engine_port.RunRequest(
        request_id=request.request_id,
        attempt=request.attempt,
        url=grant.endpoint.url,
        body=body,
        is_chat=request.is_chat,
        priority=grant.priority,
        grant_tag=grant.tag,
        resume_offset=request.offset,
        part_tokens=part_tokens,
        traceparent=tracing.traceparent(request),
    )
