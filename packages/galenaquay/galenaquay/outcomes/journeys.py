"""Forwards one admitted request to endpoints until the caller has a response.

A request runs at most once unless its route allows repeated execution. The
caller gets a refusal (status 503) only while it is certain that no endpoint
has run the request.
"""

import asyncio
import logging
from typing import Final

from .. import ids
from .. import tasks
from . import admission
from . import dependencies as dependencies_module
from ..engines import directory as directory_module
from . import forwarding_attempt
from . import hedged_attempts
from ..limits import quarantine as quarantine_module
from . import placing
from ..ports import exchange
from ..ports import relays
from . import quarantine_check
from . import refusals
from ..routing import placement as placement_module
from ..streams import event_relay
from ..waiting import room as room_module

LOG: Final = logging.getLogger(__name__)

# A process that is shutting down starts an attempt only if the time until the
# process stops is at least this multiple of the response's estimated duration.
SHUTDOWN_TIME_FACTOR: Final = 1.5
# Number of attempts that failed before the request was sent, for example
# because no connection could be established, after which the caller gets an
# error.
MAX_UNSENT_ATTEMPTS: Final = 4
# Weight of a rejected request in the endpoint's failure statistics; other
# failures have weight 1.
REJECTION_WEIGHT: Final = 0.5
# Longest time for which the next attempt waits to learn whether the engine of
# the failed one has ended, in seconds.
END_CHECK_WAIT_S: Final = 0.25
# Checks for ended engines that are in progress.
_END_CHECKS: Final[set[asyncio.Task[None]]] = set()


class RequestForwarding:
    """Runs the attempts of one admitted request.

    Chooses endpoints, sends the request, relays the response, and decides
    after each failed attempt whether the request may be sent again.
    """

    def __init__(
        self,
        dependencies: dependencies_module.Dependencies,
        admitted: admission.AdmittedRequest,
        writer: exchange.ResponseWriter,
        *,
        is_relayed: bool = False,
        attempts: int = 0,
    ) -> None:
        """Prepares the forwarding of a request; see `Forwarder.serve`."""
        self._dependencies = dependencies
        self._admitted = admitted
        self._request = admitted.request
        self._route = admitted.route
        self._writer = writer
        self._loop = asyncio.get_running_loop()
        self._unsent_attempts = 0
        self._excluded: set[ids.EndpointId] = set()
        self._may_have_run = attempts > 0
        self._is_relayed = is_relayed
        # Whether other VMs were asked to forward the request, and none did.
        self._has_asked = False
        self._quarantine_check = quarantine_check.QuarantineCheck(
            dependencies, admitted
        )
        self._forwarded = forwarding_attempt.ForwardedRequest(
            admitted,
            writer,
            event_relay.EventRelay(writer, admitted.request.last_event_id),
            self._loop.time(),
            self._quarantine_check,
            attempts,
        )
        self._placing = placing.Placing(
            dependencies, admitted, self._forwarded.started_s
        )
        self._attempts = hedged_attempts.HedgedAttempts(
            dependencies, self._forwarded, self._handle_failure
        )

    def _time_left_s(self) -> float:
        return self._admitted.deadline_s - self._loop.time()

    async def run(self) -> None:
        """Makes attempts until the caller has a response or an error."""
        try:
            async with self._dependencies.lifetime.request(
                self._admitted.deadline_s
            ):
                while not await self._attempt():
                    pass
        except TimeoutError:
            if self._forwarded.attempts:
                self._may_have_run = True
            await self._give_up('out of time', 504)
        except asyncio.CancelledError:
            self._log_end('caller left')
            raise
        finally:
            self._quarantine_check.close()

    async def _attempt(self) -> bool:
        """Makes one attempt.

        Returns:
            Whether the request has ended; False if another attempt follows.
        """
        if self._needs_relay():
            if await self._relay():
                return True
            if self._unsent_attempts >= MAX_UNSENT_ATTEMPTS:
                await self._give_up('no connection', 502)
                return True
        blamed = await self._quarantine_check.find_blamed(self._time_left_s())
        if blamed:
            await self._refuse_quarantined(blamed)
            return True
        if self._admitted.service.engine is not None:
            await self._dependencies.refresh_loads()
        placement = await self._placing.find(
            frozenset(self._excluded), may_wait=not self._writer.is_started
        )
        if isinstance(placement, room_module.Rejection):
            await self._give_up(placement.reason, 502)
            return True
        if not self._writer.is_started and self._ends_after_shutdown(
            placement
        ):
            await self._give_up('this VM shuts down before its end', 502)
            return True
        self._forwarded.attempts += 1
        self._dependencies.placer.note_sent(self._admitted.service, placement)
        self._log_placement(placement)
        try:
            status = await self._attempts.run(
                placement, frozenset(self._excluded)
            )
        except forwarding_attempt.AttemptFailedError as exc:
            return not await self._check_retry(exc.error)
        self._log_end('answered', status=status)
        return True

    def _needs_relay(self) -> bool:
        """Returns whether another VM should forward the request."""
        relaying = self._dependencies.relaying
        if relaying is None or self._is_relayed or self._writer.is_started:
            return False
        if self._unsent_attempts >= MAX_UNSENT_ATTEMPTS:
            return True
        return relaying.is_needed() and not self._has_asked

    async def _relay(self) -> bool:
        """Has other VMs forward the request.

        Returns:
            Whether the request has ended.
        """
        assert self._dependencies.relaying is not None
        had_run = self._may_have_run
        # Holds if the time ends while another VM has the request.
        self._may_have_run = True
        relayed = await self._dependencies.relaying.relay(
            relays.PassedRequest(
                self._request,
                self._forwarded.attempts,
                self._admitted.version,
            ),
            self._admitted.deadline_s,
            self._writer,
        )
        if relayed.outcome is relays.Outcome.NOT_RUN:
            self._may_have_run = had_run
            self._has_asked = True
            return False
        if relayed.outcome is relays.Outcome.LOST:
            await self._give_up(f'the other VM: {relayed.reason}', 502)
        else:
            is_broken = relayed.outcome is relays.Outcome.BROKEN
            self._log_end(
                'broken off' if is_broken else 'relayed',
                relayed.status,
                relayed.reason,
            )
        return True

    async def _handle_failure(
        self,
        attempt: forwarding_attempt.ForwardingAttempt,
        error: exchange.SendError,
    ) -> None:
        """Records the failure of an attempt, and the end of its engine."""
        self._record_failure(attempt.placement, error)
        await self._start_end_check(attempt, attempt.placement.endpoint, error)

    async def _refuse_quarantined(
        self, blamed: frozenset[ids.PromptPartId]
    ) -> None:
        self._dependencies.metrics.count('quarantined')
        LOG.info(
            'prompt quarantined',
            extra={
                'request_id': self._request.id,
                'attempts': self._forwarded.attempts,
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

    def _record_failure(
        self,
        placement: placement_module.Placement,
        error: exchange.SendError,
    ) -> None:
        endpoint = placement.endpoint
        self._log_failure(endpoint, error)
        if self._returns_to_queue(error):
            self._forwarded.attempts -= 1
            self._placing.return_to_queue(ids.EndpointId(error.culprit))
            return
        is_not_sent = error.failure is exchange.Failure.NOT_SENT
        if not (is_not_sent and error.culprit):
            self._excluded.add(endpoint.id)
        if not error.failure.is_not_run:
            self._may_have_run = True
            self._quarantine_check.record_sent()
        if is_not_sent:
            self._forwarded.attempts -= 1
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
        if is_rejected:
            self._record_shortage()
        # An endpoint that asks for time is left out meanwhile, and no worse
        # than others afterwards.
        asks_for_time = error.notice is not None and error.notice.wait_s > 0
        if self._forwarded.error_response is None and not asks_for_time:
            self._dependencies.reliability.record_failure(
                faulty_endpoint.id, REJECTION_WEIGHT if is_rejected else 1.0
            )

    def _returns_to_queue(self, error: exchange.SendError) -> bool:
        """Returns whether the request goes back to the queue after a failure.

        It does so if the attempt failed only because an engine had too little
        free memory.
        """
        return (
            error.is_full
            and self._placing.can_return()
            and not self._writer.is_started
        )

    def _log_failure(
        self, endpoint: directory_module.Endpoint, error: exchange.SendError
    ) -> None:
        self._dependencies.metrics.count(
            'attempts_failed', failure=error.failure.value
        )
        LOG.info(
            'attempt failed',
            extra={
                'request_id': self._request.id,
                'endpoint': endpoint.id,
                'attempt': self._forwarded.attempts,
                'failure': error.failure.value,
                'detail': error.detail,
                'culprit': error.culprit,
            },
        )

    async def _start_end_check(
        self,
        attempt: forwarding_attempt.ForwardingAttempt,
        endpoint: directory_module.Endpoint,
        error: exchange.SendError,
    ) -> None:
        """Starts the check for an ended engine and waits a short time.

        The next attempt uses the result if it comes in time. The caller does
        not wait longer for an engine that is cut off or frozen.
        """
        check = tasks.start(
            self._check_ended(attempt, endpoint, error), 'end of an engine'
        )
        _END_CHECKS.add(check)
        check.add_done_callback(_END_CHECKS.discard)
        await asyncio.wait([check], timeout=END_CHECK_WAIT_S)

    def _record_shortage(self) -> None:
        self._dependencies.hedging.record_shortage(
            self._admitted.service.name, self._admitted.priority_class
        )

    async def _check_ended(
        self,
        attempt: forwarding_attempt.ForwardingAttempt,
        endpoint: directory_module.Endpoint,
        error: exchange.SendError,
    ) -> None:
        """Records that the engine ended, if it did, while it had the request.

        A prompt whose answer had begun for some time did not cause the end.
        """
        if (
            error.failure is not exchange.Failure.BROKEN
            or self._admitted.service.engine is None
        ):
            return
        state = attempt.run_state()
        if state is None:
            state = await self._dependencies.exchange.find_run(endpoint)
        if state is not exchange.RunState.ENDED:
            return
        writing_s = attempt.writing_s()
        self._dependencies.metrics.count(
            'requests_lost_to_engine_ends', writing=writing_s is not None
        )
        LOG.info(
            'engine ended',
            extra={
                'request_id': self._request.id,
                'endpoint': endpoint.id,
                'started_at_ms': endpoint.started_at_ms,
                'attempt': self._forwarded.attempts,
                'shared_parts': self._request.shared_parts,
                'identities': self._quarantine_check.identities,
                'has_head': attempt.has_head,
                'writing_s': (
                    None if writing_s is None else round(writing_s, 4)
                ),
            },
        )
        if writing_s is None or writing_s < quarantine_module.BEGINNING_S:
            self._quarantine_check.record_end(
                endpoint,
                attempt.began_at_s,
                is_before_head=not attempt.has_head,
            )

    async def _check_retry(self, error: exchange.SendError) -> bool:
        """Decides whether a failed attempt is followed by another one.

        Returns:
            Whether another attempt follows. If False, the caller has already
            received a response or an error.
        """
        if self._returns_to_queue(error):
            return True
        if error.failure is exchange.Failure.NOT_SENT:
            if self._unsent_attempts < MAX_UNSENT_ATTEMPTS:
                return True
            if self._needs_relay():
                return True
            await self._give_up('no connection', 502)
            return False
        is_allowed = self._forwarded.attempts < self._route.max_attempts and (
            self._route.may_repeat or error.failure.is_not_run
        )
        if self._forwarded.error_response is not None and is_allowed:
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
        if self._forwarded.error_response is not None:
            head, body = self._forwarded.error_response
            await self._writer.send_whole(head, body)
            self._log_end('answered', status=head.status, reason=reason)
            return
        if self._may_have_run:
            await self._writer.refuse(status, reason)
            self._log_end('failed', status=status, reason=reason)
            return
        if retry_after_s is None:
            self._record_shortage()
            retry_after_s = refusals.draw_retry_after_s(
                self._dependencies.rng,
                self._dependencies.availability.wait_s(
                    self._admitted.service.name
                ),
            )
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
                'attempt': self._forwarded.attempts,
                'endpoint': placement.endpoint.id,
                'helpers': [helper.id for helper in placement.helpers],
                'prompt_tokens': self._request.prompt_tokens,
                'priority_class': self._admitted.priority_class,
                'shared_parts': self._request.shared_parts,
                'expected_s': round(placement.first_event_s, 4),
                'loss': round(placement.loss, 3),
                'time_left_s': round(self._time_left_s(), 3),
            },
        )

    def _log_end(
        self, outcome: str, status: int = 0, reason: str = ''
    ) -> None:
        took_s = self._loop.time() - self._forwarded.started_s
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
                'attempts': self._forwarded.attempts,
                'first_event_s': self._forwarded.first_event_s,
                'longest_gap_s': round(self._forwarded.relay.longest_gap_s, 4),
                'took_s': round(took_s, 4),
            },
        )
