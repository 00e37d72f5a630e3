"""One admitted request, from its first attempt to its end.

A request runs at most once unless its route says that it may run again. A
refusal is sent only while it is certain that the request has not run.
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
from ..engines import reliability as reliability_module
from ..engines import usual_times as usual_times_module
from ..engines import workload as workload_module
from ..limits import attempt_budget
from ..limits import group_memory
from ..ports import exchange
from ..ports import reservations
from . import refusals
from ..routing import placement as placement_module
from ..streams import event_cutter
from ..streams import event_relay

LOG: Final = logging.getLogger(__name__)

# Share of the time left that the first of two attempts may take.
FIRST_ATTEMPT_SHARE: Final = 0.45
# Silence before the first event after which another engine is tried: a
# multiple of the estimate and some time besides, in seconds.
FIRST_EVENT_FACTOR: Final = 3.0
FIRST_EVENT_EXTRA_S: Final = 1.5
# Silence between events after which a stream is resumed elsewhere, as a
# multiple of the longest pause that the caller accepts and at least, seconds.
GAP_FACTOR: Final = 6.0
GAP_MIN_S: Final = 1.7
# Multiple of an answer's estimated time that a process which is shutting down
# must still have.
SHUTDOWN_FACTOR: Final = 1.5
# Connections that may fail before a request is given up.
MAX_UNSENT: Final = 4
# Weight of a rejection among an endpoint's failures.
REJECTION_WEIGHT: Final = 0.5


@dataclasses.dataclass
class Lifetime:
    """Until when this process serves."""

    # When it ends, on the loop's clock.
    ends_at_s: float = math.inf


@dataclasses.dataclass(frozen=True)
class Parts:
    """What forwarding works with."""

    current: current_module.Current
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


async def _read_next(body: AsyncIterator[bytes]) -> bytes | None:
    return await anext(body, None)


class _Retry(Exception):
    """An attempt has failed; `error` says how."""

    def __init__(self, error: exchange.SendError) -> None:
        super().__init__(error.detail)
        self.error = error


class Journey:
    """One admitted request, from its first attempt to its end."""

    def __init__(
        self,
        parts: Parts,
        admitted: admission.Admitted,
        reply: exchange.Reply,
    ) -> None:
        self._parts = parts
        self._admitted = admitted
        self._request = admitted.request
        self._route = admitted.route
        self._reply = reply
        self._loop = asyncio.get_running_loop()
        self._started_s = self._loop.time()
        self._attempts = 0
        self._unsent = 0
        self._excluded: set[ids.EndpointId] = set()
        self._may_have_run = False
        # An endpoint's own failure, passed on if nothing better comes.
        self._failure: tuple[exchange.Head, bytes] | None = None
        self._relay = event_relay.EventRelay(
            reply, admitted.request.last_event_id
        )
        self._first_event_s: float | None = None

    def _time_left_s(self) -> float:
        return self._admitted.deadline_s - self._loop.time()

    async def run(self) -> None:
        """Makes attempts until the caller has an answer."""
        try:
            async with asyncio.timeout_at(self._admitted.deadline_s):
                while not await self._attempt():
                    pass
        except TimeoutError:
            if self._attempts:
                self._may_have_run = True
            await self._give_up('out of time', 504)
        except asyncio.CancelledError:
            self._log('caller left')
            raise

    async def _attempt(self) -> bool:
        """Makes one attempt; returns whether the request has ended."""
        placement = self._place()
        if placement is None:
            await self._give_up('no endpoint can take it', 502)
            return True
        if placement.first_event_s > self._time_left_s():
            await self._give_up('cannot be served in time', 502)
            return True
        if not self._reply.is_started and self._ends_too_late(placement):
            await self._give_up('this VM shuts down before its end', 502)
            return True
        jobs = self._take_jobs(placement)
        try:
            await self._send(placement, jobs)
        except _Retry as retry:
            self._note_failure(placement, retry.error)
            return not await self._may_try_again(retry.error)
        finally:
            for endpoint_id, job in jobs:
                self._parts.workload.remove(endpoint_id, job)
        return True

    def _ends_too_late(self, placement: placement_module.Placement) -> bool:
        """Tells whether this process will have ended before the answer."""
        expected_s = placement.first_event_s + placement.write_s
        ends_at_s = self._loop.time() + expected_s * SHUTDOWN_FACTOR
        return ends_at_s > self._parts.lifetime.ends_at_s

    def _place(self) -> placement_module.Placement | None:
        placer = self._parts.placer
        service = self._admitted.service
        excluded = frozenset(self._excluded)
        if service.engine is None:
            return placer.place_call(service, excluded)
        return placer.place_prompt(
            self._request, self._route, service, service.engine, excluded
        )

    def _take_jobs(
        self, placement: placement_module.Placement
    ) -> list[tuple[ids.EndpointId, workload_module.Job]]:
        request = self._request
        now_s = self._parts.workload.now_s()
        value = placement_module.value_of(request.prompt_tokens)
        jobs = []
        for endpoint in (placement.endpoint, *placement.helpers):
            is_help = endpoint is not placement.endpoint
            tokens = placement.part_tokens
            if not is_help and not tokens:
                tokens = request.prompt_tokens + request.answer_tokens
            job = workload_module.Job(
                placement.read_s,
                tokens,
                self._route.max_gap_s,
                value,
                self._route.target_s,
                now_s,
                is_help=is_help,
            )
            self._parts.workload.add(endpoint.id, job)
            jobs.append((endpoint.id, job))
        return jobs

    async def _send(
        self,
        placement: placement_module.Placement,
        jobs: list[tuple[ids.EndpointId, workload_module.Job]],
    ) -> None:
        self._attempts += 1
        self._parts.placer.note_sent(self._admitted.service, placement)
        self._log_placement(placement)
        if not placement.part_tokens:
            helpers = tuple(map(exchange.Helper, placement.helpers))
            await self._exchange(placement, jobs, helpers)
            return
        parts = [
            group_memory.Part(helper, placement.part_tokens)
            for helper in placement.helpers
        ]
        async with self._parts.group_memory.held(parts) as held:
            for one in held:
                if one.outcome is not reservations.Outcome.DONE:
                    raise _Retry(
                        exchange.SendError(
                            exchange.Failure.NOT_SENT,
                            f'memory {one.outcome.value}',
                            one.part.endpoint.id,
                        )
                    )
            helpers = tuple(
                exchange.Helper(one.part.endpoint, one.id) for one in held
            )
            await self._exchange(placement, jobs, helpers)

    async def _exchange(
        self,
        placement: placement_module.Placement,
        jobs: list[tuple[ids.EndpointId, workload_module.Job]],
        helpers: tuple[exchange.Helper, ...],
    ) -> None:
        sent_s = self._loop.time()
        answer = await self._begin(placement, helpers)
        try:
            head = answer.head
            if head.load is not None:
                self._parts.workload.hint(
                    placement.endpoint.id, head.load.running
                )
            if head.is_success and head.is_stream:
                await self._pass_events(answer, placement, jobs, sent_s)
            else:
                await self._pass_on(answer, placement, sent_s)
        except exchange.ExchangeBrokenError as exc:
            raise _Retry(
                exchange.SendError(exchange.Failure.BROKEN, str(exc))
            ) from exc
        finally:
            answer.close()

    async def _begin(
        self,
        placement: placement_module.Placement,
        helpers: tuple[exchange.Helper, ...],
    ) -> exchange.Answer:
        sending = exchange.Sending(
            placement.endpoint,
            self._admitted.account,
            self._time_left_s(),
            helpers,
            self._relay.last_event_id,
        )
        patience_s = self._first_patience_s(placement)
        try:
            async with asyncio.timeout(patience_s):
                answer = await self._parts.exchange.send(
                    self._request, sending
                )
        except TimeoutError:
            if self._time_left_s() <= 0:
                raise
            raise _Retry(
                exchange.SendError(exchange.Failure.SILENT, 'no answer')
            ) from None
        if isinstance(answer, exchange.SendError):
            raise _Retry(answer)
        return answer

    def _has_more_attempts(self) -> bool:
        # A process that shuts down may not have the time for another.
        return (
            self._route.may_repeat
            and self._parts.lifetime.ends_at_s == math.inf
            and self._attempts < self._route.max_attempts
        )

    def _first_patience_s(
        self, placement: placement_module.Placement
    ) -> float | None:
        """Returns how long the first byte is waited for; None: no limit."""
        if not self._has_more_attempts():
            return None
        share_s = self._time_left_s() * FIRST_ATTEMPT_SHARE
        if self._admitted.service.engine is None:
            return share_s
        expected_s = placement.first_event_s * FIRST_EVENT_FACTOR
        return max(share_s, expected_s + FIRST_EVENT_EXTRA_S)

    async def _pass_on(
        self,
        answer: exchange.Answer,
        placement: placement_module.Placement,
        sent_s: float,
    ) -> None:
        """Passes a whole answer on, or tries again if it is a failure."""
        parts = [data async for data in answer.body()]
        body = b''.join(parts)
        took_s = self._loop.time() - sent_s
        if answer.head.status >= 500:
            self._failure = (answer.head, body)
            self._may_have_run = True
            self._parts.reliability.succeeded(placement.endpoint.id)
            if self._has_more_attempts() and self._parts.budget.spend(
                self._admitted.service.name
            ):
                raise _Retry(
                    exchange.SendError(
                        exchange.Failure.INVALID,
                        f'answered {answer.head.status}',
                    )
                )
        else:
            self._note_success(placement, took_s)
        await self._reply.send_whole(answer.head, body)
        self._log('answered', status=answer.head.status)

    def _note_success(
        self, placement: placement_module.Placement, took_s: float
    ) -> None:
        endpoint_id = placement.endpoint.id
        self._parts.reliability.succeeded(endpoint_id)
        service = self._admitted.service.name
        expected_s = placement.first_event_s
        if self._admitted.service.engine is None:
            expected_s = self._parts.usual_times.usual_s(service)
            self._parts.usual_times.note(service, took_s)
        if expected_s > 0:
            self._parts.reliability.took(endpoint_id, took_s, expected_s)

    async def _pass_events(
        self,
        answer: exchange.Answer,
        placement: placement_module.Placement,
        jobs: list[tuple[ids.EndpointId, workload_module.Job]],
        sent_s: float,
    ) -> None:
        cutter = event_cutter.EventCutter()
        body = answer.body()
        has_begun = False
        while True:
            data = await self._next_data(body, placement, has_begun)
            if data is None:
                break
            try:
                events = cutter.feed(data)
            except event_cutter.EventTooLongError:
                raise exchange.ExchangeBrokenError('event too long') from None
            for event in events:
                if not has_begun:
                    has_begun = True
                    self._note_first_event(placement, jobs, sent_s)
                await self._relay.pass_on(answer.head, event)
        if cutter.leftover():
            raise exchange.ExchangeBrokenError('ended inside an event')
        if not self._reply.is_started:
            await self._reply.start(answer.head)
        await self._reply.finish()
        self._log('answered', status=answer.head.status)

    async def _next_data(
        self,
        body: AsyncIterator[bytes],
        placement: placement_module.Placement,
        has_begun: bool,
    ) -> bytes | None:
        """Returns what has come, None at the end of the answer."""
        patience_s = None
        if self._has_more_attempts():
            patience_s = max(GAP_MIN_S, self._route.max_gap_s * GAP_FACTOR)
            if not has_begun:
                patience_s = self._first_patience_s(placement)
        reading = asyncio.ensure_future(_read_next(body))
        try:
            await asyncio.wait([reading], timeout=patience_s)
            if not reading.done() and not self._has_more_attempts():
                await asyncio.wait([reading])
            if reading.done():
                return reading.result()
        finally:
            reading.cancel()
        raise _Retry(exchange.SendError(exchange.Failure.SILENT, 'no event'))

    def _note_first_event(
        self,
        placement: placement_module.Placement,
        jobs: list[tuple[ids.EndpointId, workload_module.Job]],
        sent_s: float,
    ) -> None:
        took_s = self._loop.time() - sent_s
        self._note_success(placement, took_s)
        self._first_event_s = self._loop.time() - self._started_s
        self._parts.metrics.observe('first_event_seconds', self._first_event_s)
        for endpoint_id, job in jobs:
            self._parts.workload.note_read(endpoint_id, job)

    def _note_failure(
        self,
        placement: placement_module.Placement,
        error: exchange.SendError,
    ) -> None:
        endpoint = placement.endpoint
        is_unsent = error.failure is exchange.Failure.NOT_SENT
        if not (is_unsent and error.culprit):
            self._excluded.add(endpoint.id)
        if not error.failure.is_not_run:
            self._may_have_run = True
        if is_unsent:
            self._attempts -= 1
            self._unsent += 1
        at_fault = endpoint
        for helper in placement.helpers:
            if error.culprit and error.culprit in (
                helper.id,
                f'{helper.host}:{helper.port}',
            ):
                at_fault = helper
                self._excluded.add(helper.id)
        is_rejected = error.failure is exchange.Failure.REJECTED
        if self._failure is None:
            self._parts.reliability.failed(
                at_fault.id, REJECTION_WEIGHT if is_rejected else 1.0
            )
        self._parts.metrics.count(
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

    async def _may_try_again(self, error: exchange.SendError) -> bool:
        """Tells whether to go on; otherwise answers the caller."""
        if error.failure is exchange.Failure.NOT_SENT:
            if self._unsent < MAX_UNSENT:
                return True
            await self._give_up('no connection', 502)
            return False
        is_allowed = self._attempts < self._route.max_attempts and (
            self._route.may_repeat or error.failure.is_not_run
        )
        if self._failure is not None and is_allowed:
            # Taken from the budget when the failure came.
            return True
        if is_allowed and self._parts.budget.spend(
            self._admitted.service.name
        ):
            return True
        await self._give_up(f'{error.failure.value}: {error.detail}', 502)
        return False

    async def _give_up(self, reason: str, status: int) -> None:
        """Ends the request without an answer of an endpoint, or with none."""
        if self._reply.is_started:
            self._reply.abort()
            self._log('broken off', reason=reason)
            return
        if self._failure is not None:
            head, body = self._failure
            await self._reply.send_whole(head, body)
            self._log('answered', status=head.status, reason=reason)
            return
        if self._may_have_run:
            await self._reply.refuse(status, reason)
            self._log('failed', status=status, reason=reason)
            return
        retry_after_s = refusals.draw_retry_after_s(self._parts.rng)
        await self._reply.refuse(503, reason, retry_after_s)
        self._log('refused', status=503, reason=reason)

    def _log_placement(self, placement: placement_module.Placement) -> None:
        LOG.info(
            'request placed',
            extra={
                'request_id': self._request.id,
                'route': self._route.name,
                'version': self._admitted.version,
                'version_age_s': self._parts.current.age_s(),
                'attempt': self._attempts,
                'endpoint': placement.endpoint.id,
                'helpers': [helper.id for helper in placement.helpers],
                'prompt_tokens': self._request.prompt_tokens,
                'expected_s': round(placement.first_event_s, 4),
                'loss': round(placement.loss, 3),
                'time_left_s': round(self._time_left_s(), 3),
            },
        )

    def _log(self, outcome: str, status: int = 0, reason: str = '') -> None:
        took_s = self._loop.time() - self._started_s
        self._parts.metrics.count('requests', outcome=outcome, status=status)
        self._parts.metrics.observe('request_seconds', took_s)
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
