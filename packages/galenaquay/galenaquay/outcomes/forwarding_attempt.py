"""One attempt to have an endpoint answer a request.

The attempt reserves engine memory where the placement needs it, sends the
request, and relays the answer to the caller.
"""

import asyncio
from collections.abc import AsyncIterator
import dataclasses
import math
from typing import Final

from .. import ids
from . import admission
from . import attempt_race
from . import dependencies as dependencies_module
from ..engines import workload as workload_module
from ..limits import group_memory
from ..limits import quarantine as quarantine_module
from ..ports import exchange
from ..ports import reservations
from . import quarantine_check as quarantine_check_module
from . import response_body
from ..routing import placement as placement_module
from ..streams import event_cutter
from ..streams import event_relay

# Share of the remaining time that an attempt may wait for the first byte of
# the response, as long as another attempt is allowed.
FIRST_BYTE_TIMEOUT_SHARE: Final = 0.45
# Share of that time within which the endpoint must accept the connection.
CONNECT_TIMEOUT_SHARE: Final = 0.9
# A request to an engine may wait for the first event at least this multiple of
# the estimated time to the first event, plus a fixed time in seconds, before
# another engine is tried.
FIRST_EVENT_FACTOR: Final = 3.0
FIRST_EVENT_EXTRA_S: Final = 1.5
# Time without data after which a started stream is resumed on another
# endpoint: a multiple of the longest pause between events that the route's
# callers accept, but at least a minimum in seconds.
STALL_TIMEOUT_FACTOR: Final = 6.0
MIN_STALL_TIMEOUT_S: Final = 1.7
# Interval between checks whether a paused stream may be resumed, in seconds. A
# hedge that could not be sent no longer counts as an attempt, so that another
# attempt may be allowed again.
RECHECK_S: Final = 0.25


@dataclasses.dataclass
class ForwardedRequest:
    """What the attempts of one request share."""

    admitted: admission.AdmittedRequest
    writer: exchange.ResponseWriter
    relay: event_relay.EventRelay
    # When the request was admitted, on the event loop's clock.
    started_s: float
    quarantine_check: quarantine_check_module.QuarantineCheck
    # Number of attempts that were sent, or are being sent.
    attempts: int = 0
    # Latest response with a 5xx status. The caller receives this response
    # if no later attempt succeeds.
    error_response: tuple[exchange.Head, bytes] | None = None
    # Time from the admission to the first event, in seconds.
    first_event_s: float | None = None


class AttemptFailedError(Exception):
    """An attempt failed; `error` holds the cause."""

    def __init__(self, error: exchange.SendError) -> None:
        super().__init__(error.detail)
        self.error = error


async def _read_next(body: AsyncIterator[bytes]) -> bytes | None:
    return await anext(body, None)


class ForwardingAttempt:
    """Sends a request to the endpoints of one placement."""

    placement: placement_module.Placement
    # When the attempt began, on the clock of the quarantine.
    began_at_s: float
    # Whether the head of the response has arrived.
    has_head: bool

    def __init__(
        self,
        dependencies: dependencies_module.Dependencies,
        forwarded: ForwardedRequest,
        placement: placement_module.Placement,
        entrant: attempt_race.Entrant,
    ) -> None:
        self.placement = placement
        self._entrant = entrant
        self._dependencies = dependencies
        self._forwarded = forwarded
        self._admitted = forwarded.admitted
        self._request = forwarded.admitted.request
        self._route = forwarded.admitted.route
        self._writer = forwarded.writer
        self._placement = placement
        self._loop = asyncio.get_running_loop()
        # When the request was sent, on the event loop's clock.
        self._sent_s = 0.0
        # The timeout for the head, and when it expires if it is in effect.
        self._head_timeout: asyncio.Timeout | None = None
        self._head_timeout_at_s: float | None = None
        self.began_at_s = dependencies.quarantine.now_s()
        self.has_head = False
        self._body: response_body.ResponseBody | None = None
        # When the first event arrived.
        self._writing_since_s: float | None = None
        # Whether the attempt has shown that the prompt does not crash its
        # engine.
        self._is_answered = False

    def run_state(self) -> exchange.RunState | None:
        """Returns what a check at the end of the body has shown, if any."""
        return None if self._body is None else self._body.run_state

    def writing_s(self) -> float | None:
        """Returns the time since the first event; None before it."""
        if self._writing_since_s is None:
            return None
        return self._loop.time() - self._writing_since_s

    async def run(self) -> int:
        """Makes the attempt; returns the status that the caller received.

        Raises:
            AttemptFailedError: The caller has received no complete answer.
        """
        jobs = self._add_jobs()
        try:
            return await self._reserve_and_send(jobs)
        finally:
            for endpoint_id, job in jobs:
                self._dependencies.workload.remove(endpoint_id, job)

    def update_timeout(self) -> None:
        """Adapts the timeout to whether another attempt is allowed now."""
        timeout = self._head_timeout
        if timeout is not None and not timeout.expired():
            timeout.reschedule(
                self._head_timeout_at_s if self._has_more_attempts() else None
            )

    def _time_left_s(self) -> float:
        return self._admitted.deadline_s - self._loop.time()

    def _add_jobs(
        self,
    ) -> list[tuple[ids.EndpointId, workload_module.Job]]:
        request = self._request
        placement = self._placement
        now_s = self._dependencies.workload.now_s()
        value = placement_module.answer_value(request.prompt_tokens)
        jobs = []
        for endpoint in (placement.endpoint, *placement.helpers):
            is_helper_part = endpoint is not placement.endpoint
            tokens = placement.part_tokens
            if not is_helper_part and not tokens:
                tokens = request.prompt_tokens + request.max_output_tokens
            job = workload_module.Job(
                placement.prefill_s,
                tokens,
                self._route.max_gap_s,
                value,
                self._route.target_s,
                now_s,
                is_helper_part=is_helper_part,
            )
            self._dependencies.workload.add(endpoint.id, job)
            jobs.append((endpoint.id, job))
        return jobs

    async def _reserve_and_send(
        self, jobs: list[tuple[ids.EndpointId, workload_module.Job]]
    ) -> int:
        placement = self._placement
        if not placement.part_tokens:
            helpers = tuple(map(exchange.Helper, placement.helpers))
            return await self._send_and_relay(jobs, helpers)
        parts = [
            group_memory.Part(helper, placement.part_tokens)
            for helper in placement.helpers
        ]
        async with self._dependencies.group_memory.reserve_all(
            parts
        ) as memory:
            for reserved in memory:
                if reserved.outcome is not reservations.Outcome.DONE:
                    raise AttemptFailedError(
                        exchange.SendError(
                            exchange.Failure.NOT_SENT,
                            f'memory {reserved.outcome.value}',
                            reserved.part.endpoint.id,
                            is_full=(
                                reserved.outcome
                                is reservations.Outcome.REFUSED
                            ),
                        )
                    )
            helpers = tuple(
                exchange.Helper(reserved.part.endpoint, reserved.id)
                for reserved in memory
            )
            return await self._send_and_relay(jobs, helpers)

    async def _send_and_relay(
        self,
        jobs: list[tuple[ids.EndpointId, workload_module.Job]],
        helpers: tuple[exchange.Helper, ...],
    ) -> int:
        self._sent_s = self._loop.time()
        response = await self._open_response(helpers)
        try:
            head = response.head
            if head.is_success and head.is_stream:
                await self._relay_events(response, jobs)
            elif self._writer.is_started:
                raise AttemptFailedError(
                    exchange.SendError(
                        exchange.Failure.INVALID,
                        f'answered {head.status} instead of resuming',
                    )
                )
            else:
                await self._relay_whole(response)
            response.finish()
            return head.status
        except exchange.ExchangeBrokenError as exc:
            raise AttemptFailedError(
                exchange.SendError(exchange.Failure.BROKEN, str(exc))
            ) from exc
        finally:
            response.close()

    async def _open_response(
        self, helpers: tuple[exchange.Helper, ...]
    ) -> exchange.Response:
        self._check_available()
        timeout_s = self._first_byte_timeout_s()
        connect_timeout_s = None
        if timeout_s is not None:
            connect_timeout_s = timeout_s * CONNECT_TIMEOUT_SHARE
        params = exchange.AttemptParams(
            self._placement.endpoint,
            self._admitted.account,
            self._time_left_s(),
            helpers,
            self._forwarded.relay.last_event_id,
            self._admitted.priority_class,
            connect_timeout_s,
        )
        try:
            async with asyncio.timeout(timeout_s) as timeout:
                self._head_timeout_at_s = timeout.when()
                self._head_timeout = timeout
                response = await self._dependencies.exchange.send(
                    self._request, params
                )
        except TimeoutError:
            if self._time_left_s() <= 0:
                raise
            raise AttemptFailedError(
                exchange.SendError(exchange.Failure.TIMED_OUT, 'no answer')
            ) from None
        finally:
            self._head_timeout = None
        if isinstance(response, exchange.SendError):
            if response.notice is not None:
                self._record_notice(response.notice, is_rejection=True)
            raise AttemptFailedError(response)
        self.has_head = True
        self._record_notice(response.head.notice, is_rejection=False)
        return response

    def _check_available(self) -> None:
        """Checks that the endpoints still take requests.

        They were available when they were chosen, but memory may have been
        reserved since.

        Raises:
            AttemptFailedError: An endpoint has become unavailable.
        """
        for endpoint in (self._placement.endpoint, *self._placement.helpers):
            if not self._dependencies.availability.is_available(endpoint):
                raise AttemptFailedError(
                    exchange.SendError(
                        exchange.Failure.NOT_SENT,
                        'no longer available',
                        endpoint.id,
                    )
                )

    def _record_notice(
        self, notice: exchange.Notice, *, is_rejection: bool
    ) -> None:
        """Records what the endpoint says of itself in its answer.

        Args:
            notice: What the endpoint says.
            is_rejection: Whether the endpoint did not run the request. A
                rejection that names no limit does not end an earlier one.
        """
        endpoint = self._placement.endpoint
        self._dependencies.availability.record_answer(endpoint, notice)
        if notice.limit_per_s is not None or not is_rejection:
            self._dependencies.named_limits.record_answer(
                endpoint.id, notice.limit_per_s
            )
        if notice.load is not None and not is_rejection:
            self._dependencies.workload.record_reported_running(
                endpoint.id, notice.load.running
            )

    def _has_more_attempts(self) -> bool:
        # During a shutdown there may be no time for another attempt.
        return (
            self._route.may_repeat
            and self._dependencies.lifetime.ends_at_s == math.inf
            and self._forwarded.attempts < self._route.max_attempts
        )

    def _first_byte_timeout_s(self) -> float | None:
        """Returns the timeout for the first byte of the response, in seconds.

        None means no timeout other than the request's deadline, because no
        further attempt is allowed.
        """
        if not self._has_more_attempts():
            return None
        share_s = self._time_left_s() * FIRST_BYTE_TIMEOUT_SHARE
        if self._admitted.service.engine is None:
            return share_s
        expected_s = self._placement.first_event_s * FIRST_EVENT_FACTOR
        return max(share_s, expected_s + FIRST_EVENT_EXTRA_S)

    async def _relay_whole(self, response: exchange.Response) -> None:
        """Reads a non-streaming response and sends it to the caller.

        Raises:
            AttemptFailedError: The status is 5xx and the request may be sent
                again.
        """
        if response.head.status < 500:
            self._entrant.claim()
        body = await self._start_body(response).read_whole()
        took_s = self._loop.time() - self._sent_s
        if response.head.status >= 500:
            await self._entrant.hold(response.head, body)
            self._forwarded.error_response = (response.head, body)
            self._dependencies.reliability.record_success(
                self._placement.endpoint.id
            )
            if self._has_more_attempts() and self._dependencies.budget.spend(
                self._admitted.service.name
            ):
                raise AttemptFailedError(
                    exchange.SendError(
                        exchange.Failure.INVALID,
                        f'answered {response.head.status}',
                    )
                )
        else:
            self._record_success(took_s)
            if response.head.is_success:
                self._forwarded.quarantine_check.record_answer()
        self._entrant.claim()
        await self._writer.send_whole(response.head, body)

    def _start_body(
        self, response: exchange.Response
    ) -> response_body.ResponseBody:
        self._body = response_body.ResponseBody(
            response,
            self._placement.endpoint,
            self._request.id,
            self._dependencies.response_ends,
        )
        return self._body

    def _record_success(self, took_s: float) -> None:
        endpoint_id = self._placement.endpoint.id
        self._dependencies.reliability.record_success(endpoint_id)
        service = self._admitted.service.name
        expected_s = self._placement.first_event_s
        if self._admitted.service.engine is None:
            expected_s = self._dependencies.usual_times.usual_s(service)
            self._dependencies.usual_times.note(service, took_s)
        if expected_s > 0:
            self._dependencies.reliability.record_duration(
                endpoint_id, took_s, expected_s
            )

    async def _relay_events(
        self,
        response: exchange.Response,
        jobs: list[tuple[ids.EndpointId, workload_module.Job]],
    ) -> None:
        cutter = event_cutter.EventCutter()
        body = self._start_body(response)
        data_of_body = body.data()
        has_first_event = False
        event_at_s = self._loop.time()
        while True:
            data = await self._read_stream_data(
                data_of_body, has_first_event, event_at_s
            )
            if data is None:
                break
            try:
                events = cutter.feed(data)
            except event_cutter.EventTooLongError:
                raise exchange.ExchangeBrokenError('event too long') from None
            for event in events:
                event_at_s = self._loop.time()
                if not has_first_event:
                    has_first_event = True
                    self._entrant.claim()
                    self._record_first_event(jobs)
                else:
                    self._check_answered()
                await self._forwarded.relay.pass_on(response.head, event)
        await body.check_end(is_inside_event=bool(cutter.leftover()))
        self._entrant.claim()
        if not self._writer.is_started:
            await self._writer.start(response.head)
        await self._writer.finish()
        self._forwarded.quarantine_check.record_answer()

    def _check_answered(self) -> None:
        """Records that the engine writes an answer, once it has for a time."""
        writing_s = self.writing_s()
        assert writing_s is not None
        if not self._is_answered and (
            writing_s >= quarantine_module.BEGINNING_S
        ):
            self._is_answered = True
            self._forwarded.quarantine_check.record_answer()

    async def _read_stream_data(
        self,
        body: AsyncIterator[bytes],
        has_first_event: bool,
        event_at_s: float,
    ) -> bytes | None:
        """Returns the next data of a stream, None at the end of the body.

        Args:
            body: The body of the stream.
            has_first_event: Whether an event has arrived.
            event_at_s: When the last event arrived, on the clock of the event
                loop; before the first event, when the head arrived.

        Raises:
            AttemptFailedError: No event arrived within the timeout and
                another attempt is allowed.
        """
        timeout_s = None
        if self._has_more_attempts():
            timeout_s = max(
                MIN_STALL_TIMEOUT_S,
                self._route.max_gap_s * STALL_TIMEOUT_FACTOR,
            )
            if not has_first_event:
                timeout_s = self._first_byte_timeout_s()
        if timeout_s is not None:
            timeout_s = max(0.0, event_at_s + timeout_s - self._loop.time())
        read_task = asyncio.ensure_future(_read_next(body))
        try:
            await asyncio.wait([read_task], timeout=timeout_s)
            while not read_task.done() and not self._has_more_attempts():
                await asyncio.wait([read_task], timeout=RECHECK_S)
            if read_task.done():
                return read_task.result()
        finally:
            read_task.cancel()
        raise AttemptFailedError(
            exchange.SendError(exchange.Failure.TIMED_OUT, 'no event')
        )

    def _record_first_event(
        self, jobs: list[tuple[ids.EndpointId, workload_module.Job]]
    ) -> None:
        took_s = self._loop.time() - self._sent_s
        self._writing_since_s = self._loop.time()
        self._record_success(took_s)
        first_event_s = self._loop.time() - self._forwarded.started_s
        self._forwarded.first_event_s = first_event_s
        self._dependencies.metrics.observe(
            'first_event_seconds', first_event_s
        )
        for endpoint_id, job in jobs:
            self._dependencies.workload.note_prefilled(endpoint_id, job)
