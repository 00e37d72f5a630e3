"""Calls plain services: idempotent calls with retries, others at most once.

This process makes the idempotent calls itself. A non-idempotent call is made
by the home of the call's ticket, the process that issued the ticket.
"""

import asyncio
from collections.abc import Sequence
import itertools
import random
import time
from typing import Final

from .. import codes
from .. import ids
from ..configuration import documents
from ..limits import budgets
from ..membership import view as views
from ..ports import peers as peers_port
from ..ports import services as services_port
from ..routing import candidates
from . import tickets

# Delay before the first retry, in seconds. The delay doubles with each retry,
# and each sleep lasts a random 50 to 100 percent of the delay.
RETRY_DELAY_S: Final = 0.05
# HTTP methods that a service route accepts.
METHODS: Final = ('GET', 'PUT', 'POST', 'PATCH', 'DELETE')


class ServiceCalls:
    """Calls plain services on behalf of callers."""

    def __init__(
        self,
        view: views.View,
        services: services_port.Services,
        peers: peers_port.Peers,
        retry_budgets: budgets.RetryBudgets,
    ) -> None:
        self._view = view
        self._services = services
        self._peers = peers
        self._budgets = retry_budgets
        self._random = random.Random(view.me.incarnation)
        self._rotations = itertools.count()
        # Issues tickets and runs the calls of the tickets issued here.
        self.home = tickets.Home(view.me, self._run_once, view.clock)

    def _route(self, name: ids.RouteName) -> documents.Route | codes.Failure:
        document = self._view.configs.document
        if document is None:
            return codes.failure(codes.Code.NOT_READY)
        route = document.routes_by_name.get(name)
        if route is None or route.kind is not documents.RouteKind.SERVICE:
            return codes.failure(codes.Code.UNKNOWN_ROUTE, name)
        return route

    def _endpoints(
        self, route: documents.Route
    ) -> Sequence[documents.Endpoint] | codes.Failure:
        """Returns the route's endpoints in the order in which to try them.

        The endpoints of this zone come first. The starting point rotates with
        each call, so that calls are spread over the endpoints.
        """
        document = self._view.configs.document
        assert document is not None
        found = candidates.fitting(document, route, 0)
        if isinstance(found, codes.Failure):
            return found
        start = next(self._rotations) % len(found)
        rotated = [*found[start:], *found[:start]]
        return sorted(rotated, key=lambda e: e.zone != self._view.zone)

    async def call_idempotent(
        self, call: tickets.CallRequest
    ) -> tickets.Outcome:
        """Calls a service; retries transient failures until the deadline."""
        self._budgets.earn(call.account_id)
        deadline_s = time.monotonic() + call.remaining_s
        delay_s = RETRY_DELAY_S
        for attempt_index in itertools.count():
            outcome = await self._attempt(call, attempt_index, deadline_s)
            if isinstance(outcome, tickets.CallResult):
                return outcome
            if time.monotonic() + delay_s >= deadline_s:
                return outcome
            if not self._may_retry(call, outcome):
                return outcome
            await asyncio.sleep(delay_s * self._random.uniform(0.5, 1))
            delay_s *= 2
        raise AssertionError('unreachable')

    def _may_retry(
        self, call: tickets.CallRequest, failure: codes.Failure
    ) -> bool:
        is_transient = failure.code in (
            codes.Code.CONNECT_FAILED,
            codes.Code.CALL_BROKE,
        )
        return is_transient and self._budgets.spend(call.account_id)

    async def _attempt(
        self, call: tickets.CallRequest, attempt_index: int, deadline_s: float
    ) -> tickets.Outcome:
        route = self._route(call.route)
        if isinstance(route, codes.Failure):
            return route
        endpoints = self._endpoints(route)
        if isinstance(endpoints, codes.Failure):
            return endpoints
        endpoint = endpoints[attempt_index % len(endpoints)]
        remaining_s = deadline_s - time.monotonic()
        return await self._call(endpoint, call, remaining_s)

    async def _call(
        self,
        endpoint: documents.Endpoint,
        call: tickets.CallRequest,
        remaining_s: float,
    ) -> tickets.Outcome:
        if remaining_s <= 0:
            return codes.failure(codes.Code.DEADLINE_BEFORE_RUN)
        service_call = services_port.ServiceCall(
            method=call.method,
            path=call.path,
            body=call.body,
            content_type=call.content_type,
            call_key=str(call.ticket),
            traceparent=call.traceparent,
        )
        try:
            async with asyncio.timeout(remaining_s):
                response = await self._services.call(
                    endpoint.url, service_call
                )
        except TimeoutError:
            return codes.failure(codes.Code.CALL_TIMED_OUT, endpoint.id)
        if isinstance(response, codes.Failure):
            return response
        return tickets.CallResult(response)

    async def _run_once(self, call: tickets.CallRequest) -> tickets.Outcome:
        """Runs a non-idempotent call at most once.

        If the connection to an endpoint cannot be established, the endpoint
        has not run the call and the next endpoint is tried. After any other
        failure no other endpoint is tried, because the call may have run.
        """
        route = self._route(call.route)
        if isinstance(route, codes.Failure):
            return route
        endpoints = self._endpoints(route)
        if isinstance(endpoints, codes.Failure):
            return endpoints
        deadline_s = time.monotonic() + call.remaining_s
        outcome: tickets.Outcome = codes.failure(codes.Code.NO_ENDPOINT)
        for endpoint in endpoints:
            remaining_s = deadline_s - time.monotonic()
            outcome = await self._call(endpoint, call, remaining_s)
            if isinstance(outcome, tickets.CallResult):
                return outcome
            if outcome.code is not codes.Code.CONNECT_FAILED:
                return outcome
        return outcome

    async def call_once(self, call: tickets.CallRequest) -> tickets.Outcome:
        """Has a non-idempotent call run by the home of the call's ticket."""
        home = call.ticket.home
        if home.vm_id == self._view.me.vm_id:
            return await self.home.call(call)
        vm = self._view.listed_vms().get(home.vm_id)
        if vm is None:
            return codes.failure(codes.Code.HOME_GONE, 'it is not listed')
        reply = await self._peers.call_home(
            vm.peers,
            tickets.call_to_request(call, self._view.me),
            call.remaining_s,
        )
        if isinstance(reply, codes.Failure):
            return codes.failure(codes.Code.HOME_GONE, reply.detail)
        return tickets.reply_to_outcome(reply)
