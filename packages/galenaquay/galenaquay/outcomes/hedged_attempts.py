"""Runs an attempt of a request, and a hedge beside it if the first is slow.

`hedging` decides whether a hedge is sent, and `attempt_race` which of both
attempts answers the caller. The other one is cancelled as soon as one does.
"""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import logging
import math
from typing import Final

from .. import ids
from . import attempt_race
from . import dependencies as dependencies_module
from . import forwarding_attempt
from . import hedge_placement
from . import hedging
from ..ports import exchange
from ..routing import placement as placement_module

LOG: Final = logging.getLogger(__name__)

RecordFailure = Callable[
    [forwarding_attempt.ForwardingAttempt, exchange.SendError],
    Awaitable[None],
]


class HedgedAttempts:
    """Runs the attempts of one request, one after the other.

    The first of them may have a hedge.
    """

    def __init__(
        self,
        dependencies: dependencies_module.Dependencies,
        forwarded: forwarding_attempt.ForwardedRequest,
        record_failure: RecordFailure,
    ) -> None:
        """Prepares for the first attempt.

        Args:
            dependencies: The objects that all requests share.
            forwarded: The request.
            record_failure: Called once for each attempt that fails.
        """
        self._dependencies = dependencies
        self._forwarded = forwarded
        self._record_failure = record_failure
        self._has_hedged = False
        admitted = forwarded.admitted
        self._kind = hedging.Kind(
            admitted.service.name,
            admitted.route.name,
            hedging.prompt_band(admitted.request.prompt_tokens),
        )

    async def run(
        self,
        placement: placement_module.Placement,
        excluded: frozenset[ids.EndpointId],
    ) -> int:
        """Makes an attempt; returns the status that the caller received.

        Args:
            placement: The endpoints of the attempt, which was counted.
            excluded: Other endpoints that do not get the request.

        Raises:
            AttemptFailedError: The attempt and its hedge, if any, have failed.
        """
        delay = self._find_delay(placement)
        run = _AttemptRun(
            self._dependencies,
            self._forwarded,
            self._record_failure,
            self._kind,
            placement,
        )
        if isinstance(delay, hedging.LearntDelay):
            try:
                return await run.run_hedged(delay, excluded)
            finally:
                self._has_hedged |= run.has_hedge
        is_learning = delay is hedging.Decision.FEW_RESPONSES
        if is_learning:
            self._dependencies.metrics.count(
                'hedges_denied', reason=delay.value
            )
        return await run.run_alone(learns=is_learning)

    def _find_delay(
        self, placement: placement_module.Placement
    ) -> hedging.LearntDelay | hedging.Decision:
        route = self._forwarded.admitted.route
        delay = self._dependencies.hedging.find_delay(
            self._kind,
            may_repeat=route.may_repeat,
            attempts=self._forwarded.attempts,
            max_attempts=route.max_attempts,
            is_split=bool(placement.helpers),
        )
        if self._has_hedged and isinstance(delay, hedging.LearntDelay):
            return hedging.Decision.RETRIED
        return delay


@dataclasses.dataclass
class _Contender:
    """An attempt, its entrant in the race, and the task that runs it."""

    attempt: forwarding_attempt.ForwardingAttempt
    entrant: attempt_race.Entrant
    # On the event loop's clock.
    started_s: float
    # None while the attempt runs in the task of the request.
    task: asyncio.Task[int] | None = None
    has_failed: bool = False

    def is_running(self) -> bool:
        return self.task is not None and not self.task.done()


class _AttemptRun:
    """One attempt, which may have a hedge."""

    has_hedge: bool

    def __init__(
        self,
        dependencies: dependencies_module.Dependencies,
        forwarded: forwarding_attempt.ForwardedRequest,
        record_failure: RecordFailure,
        kind: hedging.Kind,
        placement: placement_module.Placement,
    ) -> None:
        self.has_hedge = False
        self._dependencies = dependencies
        self._forwarded = forwarded
        self._admitted = forwarded.admitted
        self._record_failure = record_failure
        self._kind = kind
        self._loop = asyncio.get_running_loop()
        self._race = attempt_race.AttemptRace(self._handle_claim)
        # Done once an attempt answers the caller.
        self._claimed: asyncio.Future[None] = self._loop.create_future()
        self._first = self._make_contender(placement)
        self._hedge: _Contender | None = None
        # Whether the time of the first attempt is to be recorded.
        self._learns = False
        self._is_hedge_ended = False

    async def run_alone(self, *, learns: bool) -> int:
        """Makes the attempt without a hedge."""
        self._learns = learns
        try:
            return await self._first.attempt.run()
        except forwarding_attempt.AttemptFailedError as exc:
            await self._handle_failure(self._first, exc.error)
            raise
        finally:
            if self._admitted.deadline_s <= self._loop.time():
                self._learn_duration()

    async def run_hedged(
        self,
        delay: hedging.LearntDelay,
        excluded: frozenset[ids.EndpointId],
    ) -> int:
        """Makes the attempt, with a hedge after the delay if it is allowed."""
        self._learns = True
        first_task = self._start(self._first)
        try:
            await asyncio.wait(
                (first_task, self._claimed),
                timeout=delay.delay_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if self._is_first_unanswered():
                await self._consider_hedge(delay, excluded)
            return await self._wait_for_answer()
        except asyncio.CancelledError:
            # The caller may disconnect as soon as its response is complete,
            # before this task has resumed.
            status = self._find_status()
            if status is None:
                self._keep_error_response()
                raise
            return status
        finally:
            await self._cancel_all()
            if self._took_s(self._first) >= delay.delay_s:
                # The caller disconnected, or the deadline passed: the attempt
                # would have taken at least this long.
                self._learn_duration()
            self._note_hedge_end('unfinished')

    def _make_contender(
        self, placement: placement_module.Placement
    ) -> _Contender:
        entrant = self._race.enter()
        return _Contender(
            forwarding_attempt.ForwardingAttempt(
                self._dependencies, self._forwarded, placement, entrant
            ),
            entrant,
            self._loop.time(),
        )

    def _start(self, contender: _Contender) -> asyncio.Task[int]:
        contender.task = asyncio.create_task(contender.attempt.run())
        contender.task.add_done_callback(lambda _: contender.entrant.leave())
        return contender.task

    def _contenders(self) -> list[_Contender]:
        return [c for c in (self._first, self._hedge) if c is not None]

    def _find_status(self) -> int | None:
        """Returns the status of a response that was sent; None without one."""
        for contender in self._contenders():
            task = contender.task
            if (
                task is not None
                and task.done()
                and not task.cancelled()
                and task.exception() is None
            ):
                return task.result()
        return None

    def _keep_error_response(self) -> None:
        """Keeps a response that was held back, for the end of the request."""
        for contender in self._contenders():
            if self._race.winner is None and contender.entrant.error_response:
                self._forwarded.error_response = (
                    contender.entrant.error_response
                )
                return

    def _took_s(self, contender: _Contender) -> float:
        return self._loop.time() - contender.started_s

    def _is_first_unanswered(self) -> bool:
        return self._first.is_running() and not self._claimed.done()

    async def _wait_for_answer(self) -> int:
        """Returns the status that the caller received.

        Raises:
            AttemptFailedError: All attempts have failed.
        """
        error: exchange.SendError | None = None
        waiting = self._contenders()
        while waiting:
            await asyncio.wait(
                [c.task for c in waiting if c.task is not None],
                return_when=asyncio.FIRST_COMPLETED,
            )
            status: int | None = None
            for contender in [c for c in waiting if not c.is_running()]:
                waiting.remove(contender)
                assert contender.task is not None
                if contender.task.cancelled():
                    continue
                try:
                    status = contender.task.result()
                except attempt_race.LostRaceError:
                    continue
                except forwarding_attempt.AttemptFailedError as exc:
                    await self._handle_failure(contender, exc.error)
                    error = _more_serious(error, exc.error)
            if status is not None:
                return status
        if error is None:
            raise asyncio.CancelledError
        raise forwarding_attempt.AttemptFailedError(error)

    async def _cancel_all(self) -> None:
        """Cancels the attempts that run, and waits until they have ended."""
        tasks = [c.task for c in self._contenders() if c.task is not None]
        running = [task for task in tasks if not task.done()]
        for task in running:
            task.cancel()
        if running:
            await asyncio.wait(running)
        for task in tasks:
            # The event loop logs exceptions that are never retrieved.
            if not task.cancelled():
                task.exception()

    def _handle_claim(self, entrant: attempt_race.Entrant) -> None:
        """Cancels the attempt that does not answer the caller."""
        for contender in self._contenders():
            if contender.entrant is not entrant and contender.task is not None:
                contender.task.cancel()
        if not self._claimed.done():
            self._claimed.set_result(None)
        if entrant.error_response is None:
            self._learn_duration()
        self._learns = False
        if self._hedge is None or self._hedge.has_failed:
            return
        is_won = entrant is self._hedge.entrant
        if is_won and self._first.is_running():
            self._record_slow_endpoint()
        self._note_hedge_end('won' if is_won else 'lost')

    async def _handle_failure(
        self, contender: _Contender, error: exchange.SendError
    ) -> None:
        if contender is self._first:
            if error.failure is exchange.Failure.TIMED_OUT:
                self._learn_duration()
            self._learns = False
        contender.has_failed = True
        if contender is self._hedge:
            self._note_hedge_end('failed', error)
        await self._record_failure(contender.attempt, error)
        for other in self._contenders():
            if other.is_running():
                other.attempt.update_timeout()

    def _learn_duration(self) -> None:
        """Records the time of the first attempt so far, once."""
        if self._learns:
            self._learns = False
            self._dependencies.hedging.record_response(
                self._kind, self._took_s(self._first)
            )

    def _record_slow_endpoint(self) -> None:
        """Records that the endpoint of the first attempt was slow.

        The attempt is cancelled, so its own response records nothing.
        """
        placement = self._first.attempt.placement
        expected_s = placement.first_event_s
        if self._admitted.service.engine is None:
            expected_s = self._dependencies.usual_times.usual_s(
                self._admitted.service.name
            )
        if expected_s > 0:
            self._dependencies.reliability.record_duration(
                placement.endpoint.id, self._took_s(self._first), expected_s
            )

    async def _consider_hedge(
        self,
        delay: hedging.LearntDelay,
        excluded: frozenset[ids.EndpointId],
    ) -> None:
        """Sends the hedge if it is allowed."""
        service = self._admitted.service
        if service.engine is not None:
            await self._dependencies.refresh_loads()
            if not self._is_first_unanswered():
                return
        placement = hedge_placement.place_hedge(
            self._dependencies,
            self._admitted,
            self._first.attempt.placement,
            excluded,
        )
        situation = self._situation(placement)
        limits = self._dependencies.hedging
        # Read before `decide` takes this hedge from the limits.
        inputs = {
            'request_id': self._admitted.request.id,
            'first_endpoint': self._first.attempt.placement.endpoint.id,
            'endpoint': None if placement is None else placement.endpoint.id,
            'delay_s': round(delay.delay_s, 4),
            'responses': delay.responses,
            'responses_age_s': round(delay.age_s, 1),
            'fleet_left': round(limits.fleet_left(), 3),
            'account_left': round(
                limits.account_left(self._admitted.account), 3
            ),
            'retries_left': round(situation.retries_left, 3),
            'expected_s': situation.expected_s,
            'time_left_s': round(situation.time_left_s, 3),
        }
        decision = limits.decide(situation)
        if decision is not hedging.Decision.SEND or placement is None:
            self._dependencies.metrics.count(
                'hedges_denied', reason=decision.value
            )
            LOG.info(
                'hedge denied', extra={**inputs, 'reason': decision.value}
            )
            return
        self._dependencies.budget.spend(service.name)
        self._dependencies.metrics.count('hedges_sent')
        LOG.info('hedge sent', extra=inputs)
        self.has_hedge = True
        self._forwarded.attempts += 1
        self._dependencies.placer.note_sent(service, placement)
        self._hedge = self._make_contender(placement)
        self._start(self._hedge)
        self._first.attempt.update_timeout()

    def _situation(
        self, placement: placement_module.Placement | None
    ) -> hedging.Situation:
        admitted = self._admitted
        dependencies = self._dependencies
        return hedging.Situation(
            admitted.service.name,
            admitted.priority_class,
            admitted.account,
            admitted.route.may_repeat,
            self._forwarded.attempts,
            admitted.route.max_attempts,
            dependencies.lifetime.ends_at_s != math.inf,
            any(
                waiting.requests
                for waiting in dependencies.waiting_sums.sums_excluding(
                    ()
                ).values()
            ),
            self._forwarded.quarantine_check.is_suspected(),
            admitted.deadline_s - self._loop.time(),
            None if placement is None else placement.first_event_s,
            dependencies.budget.left(admitted.service.name),
        )

    def _note_hedge_end(
        self, outcome: str, error: exchange.SendError | None = None
    ) -> None:
        """Counts and logs how the hedge ended, once.

        Args:
            outcome: 'won', 'lost' or 'failed'; 'unfinished' if the request
                ended before the hedge.
            error: Why the hedge has failed.
        """
        if self._hedge is None or self._is_hedge_ended:
            return
        self._is_hedge_ended = True
        took_s = self._took_s(self._hedge)
        wasted_s = took_s
        if outcome == 'won':
            is_wasted = not self._first.has_failed
            wasted_s = self._took_s(self._first) if is_wasted else 0.0
        self._dependencies.metrics.count('hedges_ended', outcome=outcome)
        self._dependencies.metrics.observe('hedge_wasted_seconds', wasted_s)
        LOG.info(
            'hedge ended',
            extra={
                'request_id': self._admitted.request.id,
                'endpoint': self._hedge.attempt.placement.endpoint.id,
                'outcome': outcome,
                'took_s': round(took_s, 4),
                'first_took_s': round(self._took_s(self._first), 4),
                'wasted_s': round(wasted_s, 4),
                'detail': '' if error is None else error.detail,
            },
        )


def _more_serious(
    known: exchange.SendError | None, new: exchange.SendError
) -> exchange.SendError:
    """Returns the error by which the next attempt is decided.

    An attempt that was not sent leaves the decision to the other one, whose
    repetition is charged to the retry budget.
    """
    if known is None or known.failure is exchange.Failure.NOT_SENT:
        return new
    if new.failure is exchange.Failure.NOT_SENT:
        return known
    return new
