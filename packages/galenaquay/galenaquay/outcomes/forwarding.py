"""Admits callers' HTTP requests and forwards them to endpoints."""

import asyncio
import logging
from typing import Final

from . import admission
from . import dependencies as dependencies_module
from . import journeys
from ..ports import exchange
from . import refusals

LOG: Final = logging.getLogger(__name__)
# Status of refusals that another VM, or this one later, may not repeat.
NOT_DECIDED_STATUS: Final = 503


class NotAdmittedError(Exception):
    """This VM cannot decide on a request of another VM at the moment."""


class Forwarder:
    """Forwards callers' requests, or refuses them."""

    def __init__(self, dependencies: dependencies_module.Dependencies) -> None:
        self._dependencies = dependencies
        self._admission = admission.Admission(
            dependencies.current, dependencies.rng
        )

    async def serve(
        self,
        request: exchange.Request,
        writer: exchange.ResponseWriter,
        *,
        is_relayed: bool = False,
        attempts: int = 0,
    ) -> None:
        """Serves one request and sends the response to the caller.

        Args:
            request: The request.
            writer: Gets the response.
            is_relayed: Whether another VM has passed the request on. It is
                not passed on again.
            attempts: Number of attempts of the other VM that may have run.

        Raises:
            NotAdmittedError: Another VM may admit the relayed request.
        """
        decision = self._decide(request)
        if isinstance(decision, admission.Refusal):
            if is_relayed and decision.status == NOT_DECIDED_STATUS:
                raise NotAdmittedError(decision.reason)
            await self._refuse(request, writer, decision)
            return
        self._dependencies.budget.earn(decision.service.name)
        self._dependencies.hedging.record_request(decision.account)
        await journeys.RequestForwarding(
            self._dependencies,
            decision,
            writer,
            is_relayed=is_relayed,
            attempts=attempts,
        ).run()

    def _decide(
        self, request: exchange.Request
    ) -> admission.AdmittedRequest | admission.Refusal:
        now_s = asyncio.get_running_loop().time()
        if now_s >= self._dependencies.lifetime.accepts_until_s:
            return admission.Refusal(503, 'this VM shuts down')
        return self._admission.decide(request)

    async def _refuse(
        self,
        request: exchange.Request,
        writer: exchange.ResponseWriter,
        refusal: admission.Refusal,
    ) -> None:
        current = self._dependencies.current
        LOG.info(
            'request refused',
            extra={
                'request_id': request.id,
                'status': refusal.status,
                'reason': refusal.reason,
                'version': current.table.version if current.table else None,
                'version_age_s': current.confirmation_age_s(),
            },
        )
        self._dependencies.metrics.count(
            'refused', status=refusal.status, reason=refusal.reason
        )
        await writer.refuse(
            refusal.status,
            refusal.reason,
            refusals.draw_retry_after_s(self._dependencies.rng)
            if refusal.status == NOT_DECIDED_STATUS
            else None,
        )
