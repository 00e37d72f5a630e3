"""Carries a caller's request to an endpoint and the answer back."""

import logging
from typing import Final

from . import admission
from . import journeys
from ..ports import exchange
from . import refusals

LOG: Final = logging.getLogger(__name__)


class Forwarder:
    """Serves callers' requests."""

    def __init__(self, parts: journeys.Parts) -> None:
        self._parts = parts
        self._admission = admission.Admission(parts.current, parts.rng)

    async def serve(
        self, request: exchange.Request, reply: exchange.Reply
    ) -> None:
        """Answers one request."""
        decided = self._admission.decide(request)
        if isinstance(decided, admission.Refusal):
            await self._refuse(request, reply, decided)
            return
        self._parts.budget.earn(decided.service.name)
        await journeys.Journey(self._parts, decided, reply).run()

    async def _refuse(
        self,
        request: exchange.Request,
        reply: exchange.Reply,
        refusal: admission.Refusal,
    ) -> None:
        current = self._parts.current
        LOG.info(
            'request refused',
            extra={
                'request_id': request.id,
                'status': refusal.status,
                'reason': refusal.reason,
                'version': current.table.version if current.table else None,
                'version_age_s': current.age_s(),
            },
        )
        self._parts.metrics.count(
            'refused', status=refusal.status, reason=refusal.reason
        )
        await reply.refuse(
            refusal.status,
            refusal.reason,
            refusals.draw_retry_after_s(self._parts.rng)
            if refusal.status == 503
            else None,
        )
