"""Forwards one admitted request to endpoints until the caller has a response.

A request runs at most once unless its route allows repeated execution. The
caller gets a refusal (status 503) only while it is certain that no endpoint
has run the request.
"""

import asyncio
from collections.abc import AsyncIterator
import dataclasses
import logging
import math
import random
from typing import Final

from .. import ids
from .. import telemetry
from . import admission
from ..configuration import current as current_module
from ..engines import directory as directory_module
from ..engines import reliability as reliability_module
from ..engines import usual_times as usual_times_module
from ..engines import workload as workload_module
from ..limits import attempt_budget
from ..limits import group_memory
from ..limits import named_limits as named_limits_module
from ..limits import quarantine as quarantine_module
from ..ports import exchange
from ..ports import reservations
from . import refusals
from ..routing import placement as placement_module
from ..streams import event_cutter
from ..streams import event_relay

LOG: Final = logging.getLogger(__name__)

# Share of the remaining time that an attempt may wait for the first byte of
# the response, as long as another attempt is allowed.
FIRST_BYTE_TIMEOUT_SHARE: Final = 0.45
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
# A process that is shutting down starts an attempt only if the time until the
# process stops is at least this multiple of the response's estimated duration.
SHUTDOWN_TIME_FACTOR: Final = 1.5
# Number of attempts that failed before the request was sent, for example
# because no connection could be established, after which the caller gets an
# error.
MAX_UNSENT_ATTEMPTS: Final = 4
# Maximum size of a response that is not a stream, in bytes. Such a response is
# kept in memory until it is complete.
MAX_WHOLE_RESPONSE_BYTES: Final = 4 * 1024 * 1024
# Weight of a rejected request in the endpoint's failure statistics; other
# failures have weight 1.
REJECTION_WEIGHT: Final = 0.5


@dataclasses.dataclass
class Lifetime:
    """The time at which this process stops serving requests."""

    # On the event loop's clock; infinite until a shutdown begins.
    ends_at_s: float = math.inf


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Objects that the forwarding of all requests shares."""

    current: current_module.RouteTableInForce
    placer: placement_module.Placer
    workload: workload_module.Workload
    reliability: reliability_module.Reliability
    budget: attempt_budget.AttemptBudget
    exchange: exchange.Exchange
    group_memory: group_memory.GroupMemory
    metrics: telemetry.TextMetrics
    rng: random.Random
    usual_times: usual_times_module.UsualTimes
    lifetime: Lifetime
    quarantine: quarantine_module.Quarantine
    named_limits: named_limits_module.NamedLimits


async def _read_next(body: AsyncIterator[bytes]) -> bytes | None:
    return await anext(body, None)


async def _read_whole(response: exchange.Response) -> bytes:
    """Returns the body; raises ExchangeBrokenError if it is too large."""
    parts: list[bytes] = []
    size = 0
    async for data in response.body():
        size += len(data)
        if size > MAX_WHOLE_RESPONSE_BYTES:
            raise exchange.ExchangeBrokenError('the body is too large')
        parts.append(data)
    return b''.join(parts)


class _AttemptFailedError(Exception):
    """An attempt failed; `error` holds the cause."""

    def __init__(self, error: exchange.SendError) -> None:
        super().__init__(error.detail)
        self.error = error


class RequestForwarding:
    """Runs the attempts of one admitted request.

    Chooses endpoints, sends the request, relays the response, and decides
    after each failed attempt whether the request may be sent again.
    """

    def __init__(
        self,
        dependencies: Dependencies,
        admitted: admission.AdmittedRequest,
        writer: exchange.ResponseWriter,
    ) -> None:
        self._dependencies = dependencies
        self._admitted = admitted
        self._request = admitted.request
        self._route = admitted.route
        self._writer = writer
        self._loop = asyncio.get_running_loop()
        self._started_s = self._loop.time()
        self._attempts = 0
        self._unsent_attempts = 0
        self._excluded: set[ids.EndpointId] = set()
        self._may_have_run = False
        # Latest response with a 5xx status. The caller receives this response
        # if no later attempt succeeds.
        self._error_response: tuple[exchange.Head, bytes] | None = None
        self._relay = event_relay.EventRelay(
            writer, admitted.request.last_event_id
        )
        self._first_event_s: float | None = None
        # When the first event of the current attempt arrived.
        self._writing_since_s: float | None = None
        # Whether the current attempt has shown that the prompt does not crash
        # its engine.
        self._is_answered = False
        # When the current attempt was sent, on the clock of the quarantine.
        self._sent_at_s = 0.0

    def _time_left_s(self) -> float:
        return self._admitted.deadline_s - self._loop.time()

    async def run(self) -> None:
        """Makes attempts until the caller has a response or an error."""
        try:
            async with asyncio.timeout_at(self._admitted.deadline_s):
                while not await self._attempt():
                    pass
        except TimeoutError:
            if self._attempts:
                self._may_have_run = True
            await self._give_up('out of time', 504)
        except asyncio.CancelledError:
            self._log_end('caller left')
            raise

    async def _attempt(self) -> bool:
        """Makes one attempt.

        Returns:
            Whether the request has ended; False if another attempt follows.
        """
        blamed = self._dependencies.quarantine.find_blamed(
            self._request.shared_parts
        )
        if blamed:
            await self._refuse_quarantined(blamed)
            return True
        placement = self._place()
        if placement is None:
            await self._give_up('no endpoint can take it', 502)
            return True
        if placement.first_event_s > self._time_left_s():
            await self._give_up('cannot be served in time', 502)
            return True
        if not self._writer.is_started and self._ends_after_shutdown(
            placement
        ):
            await self._give_up('this VM shuts down before its end', 502)
            return True
        jobs = self._add_jobs(placement)
        try:
            await self._reserve_and_send(placement, jobs)
        except _AttemptFailedError as exc:
            self._record_failure(placement, exc.error)
            await self._check_ended(placement.endpoint, exc.error)
            return not await self._check_retry(exc.error)
        finally:
            for endpoint_id, job in jobs:
                self._dependencies.workload.remove(endpoint_id, job)
        return True

    async def _refuse_quarantined(
        self, blamed: frozenset[ids.PromptPartId]
    ) -> None:
        self._dependencies.metrics.count('quarantined')
        LOG.info(
            'prompt quarantined',
            extra={
                'request_id': self._request.id,
                'attempts': self._attempts,
                'blamed_parts': sorted(blamed),
            },
        )
        await self._give_up(
            'the prompt crashes engines',
            502,
            refusals.QUARANTINE_RETRY_AFTER_S,
        )

    def _ends_after_shutdown(
        self, placement: placement_module.Placement
    ) -> bool:
        """Returns whether this process may stop before the response ends."""
        expected_s = placement.first_event_s + placement.decode_s
        ends_at_s = self._loop.time() + expected_s * SHUTDOWN_TIME_FACTOR
        return ends_at_s > self._dependencies.lifetime.ends_at_s

    def _place(self) -> placement_module.Placement | None:
        placer = self._dependencies.placer
        service = self._admitted.service
        excluded = frozenset(self._excluded)
        if service.engine is None:
            return placer.place_call(service, excluded)
        return placer.place_prompt(
            self._request, self._route, service, service.engine, excluded
        )

    def _add_jobs(
        self, placement: placement_module.Placement
    ) -> list[tuple[ids.EndpointId, workload_module.Job]]:
        request = self._request
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
        self,
        placement: placement_module.Placement,
        jobs: list[tuple[ids.EndpointId, workload_module.Job]],
    ) -> None:
        self._attempts += 1
        self._writing_since_s = None
        self._is_answered = False
        self._sent_at_s = self._dependencies.quarantine.now_s()
        self._dependencies.placer.note_sent(self._admitted.service, placement)
        self._log_placement(placement)
        if not placement.part_tokens:
            helpers = tuple(map(exchange.Helper, placement.helpers))
            await self._send_and_relay(placement, jobs, helpers)
            return
        parts = [
            group_memory.Part(helper, placement.part_tokens)
            for helper in placement.helpers
        ]
        async with self._dependencies.group_memory.reserve_all(
            parts
        ) as memory:
            for reserved in memory:
                if reserved.outcome is not reservations.Outcome.DONE:
                    raise _AttemptFailedError(
                        exchange.SendError(
                            exchange.Failure.NOT_SENT,
                            f'memory {reserved.outcome.value}',
                            reserved.part.endpoint.id,
                        )
                    )
            helpers = tuple(
                exchange.Helper(reserved.part.endpoint, reserved.id)
                for reserved in memory
            )
            await self._send_and_relay(placement, jobs, helpers)

    async def _send_and_relay(
        self,
        placement: placement_module.Placement,
        jobs: list[tuple[ids.EndpointId, workload_module.Job]],
        helpers: tuple[exchange.Helper, ...],
    ) -> None:
        sent_s = self._loop.time()
        response = await self._open_response(placement, helpers)
        try:
            head = response.head
            if head.load is not None:
                self._dependencies.workload.record_reported_running(
                    placement.endpoint.id, head.load.running
                )
            if head.is_success and head.is_stream:
                await self._relay_events(response, placement, jobs, sent_s)
            elif self._writer.is_started:
                raise _AttemptFailedError(
                    exchange.SendError(
                        exchange.Failure.INVALID,
                        f'answered {head.status} instead of resuming',
                    )
                )
            else:
                await self._relay_whole(response, placement, sent_s)
        except exchange.ExchangeBrokenError as exc:
            raise _AttemptFailedError(
                exchange.SendError(exchange.Failure.BROKEN, str(exc))
            ) from exc
        finally:
            response.close()

    async def _open_response(
        self,
        placement: placement_module.Placement,
        helpers: tuple[exchange.Helper, ...],
    ) -> exchange.Response:
        params = exchange.AttemptParams(
            placement.endpoint,
            self._admitted.account,
            self._time_left_s(),
            helpers,
            self._relay.last_event_id,
        )
        timeout_s = self._first_byte_timeout_s(placement)
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._dependencies.exchange.send(
                    self._request, params
                )
        except TimeoutError:
            if self._time_left_s() <= 0:
                raise
            raise _AttemptFailedError(
                exchange.SendError(exchange.Failure.TIMED_OUT, 'no answer')
            ) from None
        limits = self._dependencies.named_limits
        if isinstance(response, exchange.SendError):
            if response.limit_per_s is not None:
                limits.record_answer(
                    placement.endpoint.id, response.limit_per_s
                )
            raise _AttemptFailedError(response)
        limits.record_answer(placement.endpoint.id, response.head.limit_per_s)
        return response

    def _has_more_attempts(self) -> bool:
        # During a shutdown there may be no time for another attempt.
        return (
            self._route.may_repeat
            and self._dependencies.lifetime.ends_at_s == math.inf
            and self._attempts < self._route.max_attempts
        )

    def _first_byte_timeout_s(
        self, placement: placement_module.Placement
    ) -> float | None:
        """Returns the timeout for the first byte of the response, in seconds.

        None means no timeout other than the request's deadline, because no
        further attempt is allowed.
        """
        if not self._has_more_attempts():
            return None
        share_s = self._time_left_s() * FIRST_BYTE_TIMEOUT_SHARE
        if self._admitted.service.engine is None:
            return share_s
        expected_s = placement.first_event_s * FIRST_EVENT_FACTOR
        return max(share_s, expected_s + FIRST_EVENT_EXTRA_S)

    async def _relay_whole(
        self,
        response: exchange.Response,
        placement: placement_module.Placement,
        sent_s: float,
    ) -> None:
        """Reads a non-streaming response and sends it to the caller.

        Raises:
            _AttemptFailedError: The status is 5xx and the request may be sent
                again.
        """
        body = await _read_whole(response)
        took_s = self._loop.time() - sent_s
        if response.head.status >= 500:
            self._error_response = (response.head, body)
            self._may_have_run = True
            self._dependencies.reliability.record_success(
                placement.endpoint.id
            )
            if self._has_more_attempts() and self._dependencies.budget.spend(
                self._admitted.service.name
            ):
                raise _AttemptFailedError(
                    exchange.SendError(
                        exchange.Failure.INVALID,
                        f'answered {response.head.status}',
                    )
                )
        else:
            self._record_success(placement, took_s)
        await self._writer.send_whole(response.head, body)
        self._log_end('answered', status=response.head.status)

    def _record_success(
        self, placement: placement_module.Placement, took_s: float
    ) -> None:
        endpoint_id = placement.endpoint.id
        self._dependencies.reliability.record_success(endpoint_id)
        service = self._admitted.service.name
        expected_s = placement.first_event_s
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
        placement: placement_module.Placement,
        jobs: list[tuple[ids.EndpointId, workload_module.Job]],
        sent_s: float,
    ) -> None:
        cutter = event_cutter.EventCutter()
        body = response.body()
        has_first_event = False
        event_at_s = self._loop.time()
        while True:
            data = await self._read_stream_data(
                body, placement, has_first_event, event_at_s
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
                    self._record_first_event(placement, jobs, sent_s)
                else:
                    self._check_answered()
                await self._relay.pass_on(response.head, event)
        if cutter.leftover():
            raise exchange.ExchangeBrokenError('ended inside an event')
        if not self._writer.is_started:
            await self._writer.start(response.head)
        await self._writer.finish()
        self._dependencies.quarantine.record_answer(self._request.shared_parts)
        self._log_end('answered', status=response.head.status)

    def _check_answered(self) -> None:
        """Records that the engine writes an answer, once it has for a time."""
        assert self._writing_since_s is not None
        writing_s = self._loop.time() - self._writing_since_s
        if not self._is_answered and (
            writing_s >= quarantine_module.BEGINNING_S
        ):
            self._is_answered = True
            self._dependencies.quarantine.record_answer(
                self._request.shared_parts
            )

    async def _read_stream_data(
        self,
        body: AsyncIterator[bytes],
        placement: placement_module.Placement,
        has_first_event: bool,
        event_at_s: float,
    ) -> bytes | None:
        """Returns the next data of a stream, None at the end of the body.

        Args:
            body: The body of the stream.
            placement: The endpoints of this attempt.
            has_first_event: Whether an event has arrived.
            event_at_s: When the last event arrived, on the clock of the event
                loop; before the first event, when the head arrived.

        Raises:
            _AttemptFailedError: No event arrived within the timeout and
                another attempt is allowed.
        """
        timeout_s = None
        if self._has_more_attempts():
            timeout_s = max(
                MIN_STALL_TIMEOUT_S,
                self._route.max_gap_s * STALL_TIMEOUT_FACTOR,
            )
            if not has_first_event:
                timeout_s = self._first_byte_timeout_s(placement)
        if timeout_s is not None:
            timeout_s = max(0.0, event_at_s + timeout_s - self._loop.time())
        read_task = asyncio.ensure_future(_read_next(body))
        try:
            await asyncio.wait([read_task], timeout=timeout_s)
            if not read_task.done() and not self._has_more_attempts():
                await asyncio.wait([read_task])
            if read_task.done():
                return read_task.result()
        finally:
            read_task.cancel()
        raise _AttemptFailedError(
            exchange.SendError(exchange.Failure.TIMED_OUT, 'no event')
        )

    def _record_first_event(
        self,
        placement: placement_module.Placement,
        jobs: list[tuple[ids.EndpointId, workload_module.Job]],
        sent_s: float,
    ) -> None:
        took_s = self._loop.time() - sent_s
        self._writing_since_s = self._loop.time()
        self._record_success(placement, took_s)
        self._first_event_s = self._loop.time() - self._started_s
        self._dependencies.metrics.observe(
            'first_event_seconds', self._first_event_s
        )
        for endpoint_id, job in jobs:
            self._dependencies.workload.note_prefilled(endpoint_id, job)

    def _record_failure(
        self,
        placement: placement_module.Placement,
        error: exchange.SendError,
    ) -> None:
        endpoint = placement.endpoint
        is_not_sent = error.failure is exchange.Failure.NOT_SENT
        if not (is_not_sent and error.culprit):
            self._excluded.add(endpoint.id)
        if not error.failure.is_not_run:
            self._may_have_run = True
        if is_not_sent:
            self._attempts -= 1
            self._unsent_attempts += 1
        faulty_endpoint = endpoint
        for helper in placement.helpers:
            if error.culprit and error.culprit in (
                helper.id,
                f'{helper.host}:{helper.port}',
            ):
                faulty_endpoint = helper
                self._excluded.add(helper.id)
        is_rejected = error.failure is exchange.Failure.REJECTED
        if self._error_response is None:
            self._dependencies.reliability.record_failure(
                faulty_endpoint.id, REJECTION_WEIGHT if is_rejected else 1.0
            )
        self._dependencies.metrics.count(
            'attempts_failed', failure=error.failure.value
        )
        LOG.info(
            'attempt failed',
            extra={
                'request_id': self._request.id,
                'endpoint': endpoint.id,
                'attempt': self._attempts,
                'failure': error.failure.value,
                'detail': error.detail,
                'culprit': error.culprit,
            },
        )

    async def _check_ended(
        self, endpoint: directory_module.Endpoint, error: exchange.SendError
    ) -> None:
        """Records that the engine ended, if it did, while it had the request.

        A prompt whose answer had begun for some time did not cause the end.
        """
        if (
            error.failure is not exchange.Failure.BROKEN
            or self._admitted.service.engine is None
            or not await self._dependencies.exchange.has_ended(endpoint)
        ):
            return
        writing_s = None
        if self._writing_since_s is not None:
            writing_s = round(self._loop.time() - self._writing_since_s, 4)
        self._dependencies.metrics.count(
            'requests_lost_to_engine_ends', writing=writing_s is not None
        )
        LOG.info(
            'engine ended',
            extra={
                'request_id': self._request.id,
                'endpoint': endpoint.id,
                'started_at_ms': endpoint.started_at_ms,
                'attempt': self._attempts,
                'shared_parts': self._request.shared_parts,
                'writing_s': writing_s,
            },
        )
        if writing_s is None or writing_s < quarantine_module.BEGINNING_S:
            self._dependencies.quarantine.record_end(
                endpoint, self._request.shared_parts, self._sent_at_s
            )

    async def _check_retry(self, error: exchange.SendError) -> bool:
        """Decides whether a failed attempt is followed by another one.

        Returns:
            Whether another attempt follows. If False, the caller has already
            received a response or an error.
        """
        if error.failure is exchange.Failure.NOT_SENT:
            if self._unsent_attempts < MAX_UNSENT_ATTEMPTS:
                return True
            await self._give_up('no connection', 502)
            return False
        is_allowed = self._attempts < self._route.max_attempts and (
            self._route.may_repeat or error.failure.is_not_run
        )
        if self._error_response is not None and is_allowed:
            # After a 5xx response, the retry budget is charged only for 5xx
            # responses, each time one arrives.
            return True
        if is_allowed and self._dependencies.budget.spend(
            self._admitted.service.name
        ):
            return True
        await self._give_up(f'{error.failure.value}: {error.detail}', 502)
        return False

    async def _give_up(
        self, reason: str, status: int, retry_after_s: float | None = None
    ) -> None:
        """Ends a request for which no further attempt is made.

        Aborts a response that the caller has already begun to receive.
        Otherwise sends the latest 5xx response of an endpoint. If no endpoint
        sent one, sends an error: `status` if the request may have run, 503
        with a Retry-After time if the request certainly did not run.

        Args:
            reason: The reason, for the log and the caller.
            status: The status if the request may have run.
            retry_after_s: The Retry-After time, in seconds; None draws one.
        """
        if self._writer.is_started:
            self._writer.abort()
            self._log_end('broken off', reason=reason)
            return
        if self._error_response is not None:
            head, body = self._error_response
            await self._writer.send_whole(head, body)
            self._log_end('answered', status=head.status, reason=reason)
            return
        if self._may_have_run:
            await self._writer.refuse(status, reason)
            self._log_end('failed', status=status, reason=reason)
            return
        if retry_after_s is None:
            retry_after_s = refusals.draw_retry_after_s(self._dependencies.rng)
        await self._writer.refuse(503, reason, retry_after_s)
        self._log_end('refused', status=503, reason=reason)

    def _log_placement(self, placement: placement_module.Placement) -> None:
        LOG.info(
            'request placed',
            extra={
                'request_id': self._request.id,
                'route': self._route.name,
                'version': self._admitted.version,
                'version_age_s': (
                    self._dependencies.current.confirmation_age_s()
                ),
                'attempt': self._attempts,
                'endpoint': placement.endpoint.id,
                'helpers': [helper.id for helper in placement.helpers],
                'prompt_tokens': self._request.prompt_tokens,
                'shared_parts': self._request.shared_parts,
                'expected_s': round(placement.first_event_s, 4),
                'loss': round(placement.loss, 3),
                'time_left_s': round(self._time_left_s(), 3),
            },
        )

    def _log_end(
        self, outcome: str, status: int = 0, reason: str = ''
    ) -> None:
        took_s = self._loop.time() - self._started_s
        self._dependencies.metrics.count(
            'requests', outcome=outcome, status=status
        )
        self._dependencies.metrics.observe('request_seconds', took_s)
        LOG.info(
            'request ended',
            extra={
                'request_id': self._request.id,
                'outcome': outcome,
                'status': status,
                'reason': reason,
                'attempts': self._attempts,
                'first_event_s': self._first_event_s,
                'longest_gap_s': round(self._relay.longest_gap_s, 4),
                'took_s': round(took_s, 4),
            },
        )
