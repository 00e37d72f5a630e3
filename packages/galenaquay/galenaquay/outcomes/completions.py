"""Serves completions: runs attempts, retries and enforces the deadline."""

import asyncio
import random
from typing import Final

from .. import codes
from . import attempts as attempts_module
from ..configuration import documents
from ..limits import budgets
from ..membership import view as views
from ..ports import callers
from . import requests
from ..routing import candidates
from ..routing import long_prompts

# Delay before the first retry, in seconds. The delay doubles with each retry,
# and each sleep lasts a random 50 to 100 percent of the delay.
RETRY_DELAY_S: Final = 0.05
# Maximum delay before a retry, in seconds.
MAX_RETRY_DELAY_S: Final = 1.0

# Failures after which a request is retried if the retry budget of the client
# account permits.
_RETRYABLE: Final = frozenset(
    [
        codes.Code.GRANT_EXPIRED,
        codes.Code.CONNECT_FAILED,
        codes.Code.BACK_END_REFUSED,
        codes.Code.OWNER_UNREACHABLE,
        codes.Code.ENGINE_BROKE,
        codes.Code.WRONG_ANSWER,
    ]
)


class Completions:
    """Serves completions of all callers of this process."""

    def __init__(
        self,
        view: views.View,
        attempts: attempts_module.Attempts,
        retry_budgets: budgets.RetryBudgets,
    ) -> None:
        self._view = view
        self._attempts = attempts
        self._budgets = retry_budgets
        self._random = random.Random(view.me.incarnation)

    async def serve(
        self, request: requests.Completion, sink: callers.Sink
    ) -> codes.Failure | None:
        """Serves a request until its deadline.

        Returns:
            None if the caller received the complete response, otherwise the
            failure.
        """
        try:
            async with asyncio.timeout(max(0.0, request.remaining_s())):
                return await self._serve(request, sink)
        except TimeoutError:
            if request.attempt == 0 and not request.ran_on:
                return codes.failure(codes.Code.DEADLINE_BEFORE_RUN)
            return codes.failure(codes.Code.DEADLINE_EXCEEDED)
        except callers.CallerDisconnectedError:
            return codes.failure(codes.Code.CALLER_LEFT)

    async def _serve(
        self, request: requests.Completion, sink: callers.Sink
    ) -> codes.Failure | None:
        self._budgets.earn(request.account_id)
        delay_s = RETRY_DELAY_S
        while True:
            result = await self._attempt(request, sink)
            if result is requests.AttemptEnd.COMPLETE:
                return None
            if result is requests.AttemptEnd.PAUSED:
                await sink.drain()
                continue
            assert isinstance(result, codes.Failure)
            failure = self._check_retry(request, result)
            if failure is not None:
                return failure
            await asyncio.sleep(delay_s * self._random.uniform(0.5, 1))
            delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)

    def _check_retry(
        self, request: requests.Completion, failure: codes.Failure
    ) -> codes.Failure | None:
        """Returns the failure for the caller, or None if a retry follows."""
        has_run = bool(request.ran_on)
        may_wait = failure.row.retry is codes.Retry.LATER
        if has_run and failure.is_not_run and may_wait:
            # A request that was sent to an engine before is retried until the
            # deadline if this attempt ended before an engine ran the request.
            # Such a retry is not charged to the retry budget, because the
            # failed attempt caused no work for any engine.
            return None
        if failure.code is codes.Code.ENDPOINT_WITHDRAWN:
            # The request was only queued for the endpoint that was withdrawn.
            # The next attempt chooses among the remaining endpoints.
            return None
        if failure.code not in _RETRYABLE:
            return failure
        if self._budgets.spend(request.account_id):
            return None
        if has_run:
            return codes.failure(codes.Code.RETRIES_SPENT, failure.reason)
        return failure

    async def _attempt(
        self, request: requests.Completion, sink: callers.Sink
    ) -> requests.AttemptResult:
        document = self._view.configs.document
        if document is None:
            return codes.failure(codes.Code.NOT_READY)
        fitting = candidates.fitting(document, request.route, request.tokens)
        if isinstance(fitting, codes.Failure):
            return fitting
        if fitting:
            return await self._attempts.run(request, sink, fitting)
        selected = candidates.selected(document, request.route)
        serve_long = long_prompts.STRATEGIES_BY_NAME[
            documents.LongPrompt(request.route.long_prompt)
        ]
        return await serve_long(self._attempts, request, sink, selected)
