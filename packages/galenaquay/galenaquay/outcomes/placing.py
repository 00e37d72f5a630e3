"""Finds the endpoints of one request, and has it wait for them if needed.

A request waits only if its pool has priority classes, and only before the
caller has received a part of the response.
"""

import asyncio
import dataclasses
from typing import Final

from .. import ids
from . import admission
from ..configuration import priorities
from ..configuration import routes
from . import dependencies as dependencies_module
from ..routing import kept_engines
from ..routing import placement as placement_module
from ..routing import step_times
from ..waiting import decision
from ..waiting import order
from ..waiting import room as room_module

NO_ENDPOINT: Final = room_module.Rejection('no endpoint can take it')
# Time for which an engine that has refused memory is left out, in seconds. The
# loads that this VM knows may be that late.
FULL_S: Final = 0.5


class Placing:
    """Places the attempts of one request."""

    def __init__(
        self,
        dependencies: dependencies_module.Dependencies,
        admitted: admission.AdmittedRequest,
        started_s: float,
    ) -> None:
        self._dependencies = dependencies
        self._admitted = admitted
        self._started_s = started_s
        self._loop = asyncio.get_running_loop()
        # Until when engines that have refused memory are left out.
        self._full_until_s: dict[ids.EndpointId, float] = {}
        self._must_wait = False

    def can_return(self) -> bool:
        """Returns whether the request may go back to the queue."""
        return self._admitted.urgent_limits is not None

    def return_to_queue(self, full_engine: ids.EndpointId) -> None:
        """Has the next attempt wait, since an engine has refused memory."""
        self._full_until_s[full_engine] = self._loop.time() + FULL_S
        self._must_wait = True

    async def find(
        self, excluded: frozenset[ids.EndpointId], *, may_wait: bool
    ) -> placement_module.Placement | room_module.Rejection:
        """Returns a placement, or why there is none.

        Args:
            excluded: Endpoints that are left out.
            may_wait: Whether the request may wait for capacity.
        """
        must_wait, self._must_wait = self._must_wait, False
        admitted = self._admitted
        service, limits = admitted.service, admitted.urgent_limits
        priority_class = admitted.priority_class
        if service.engine is None:
            return self._check(
                self._dependencies.placer.place_call(service, excluded)
            )
        if limits is None or priority_class is None:
            return self._check(
                self._place(service.engine, excluded, admitted.route, None)
            )
        room = self._dependencies.room
        if not may_wait or (
            priority_class == 0
            and not must_wait
            and not room.has_waiting(service.name, priority_class)
        ):
            placed = self._check(
                self._place(
                    service.engine,
                    excluded,
                    admitted.route,
                    self._rule(limits, decision.Engines.ANY),
                )
            )
            if not may_wait or isinstance(placed, placement_module.Placement):
                return placed
        waiter = self._make_waiter(
            service.engine, limits, priority_class, excluded
        )
        if waiter is None:
            return NO_ENDPOINT
        if not must_wait:
            tried = room.decide(waiter, self._loop.time())
            if isinstance(tried, placement_module.Placement):
                return tried
            if tried.action is decision.Action.REJECT:
                return room_module.Rejection(tried.reason)
        return await room.wait(waiter)

    def _check(
        self, placement: placement_module.Placement | None
    ) -> placement_module.Placement | room_module.Rejection:
        if placement is None:
            return NO_ENDPOINT
        if placement.first_event_s > (
            self._admitted.deadline_s - self._loop.time()
        ):
            return room_module.Rejection(decision.TOO_LATE.reason)
        return placement

    def _place(
        self,
        times: routes.EngineTimes,
        excluded: frozenset[ids.EndpointId],
        route: routes.Route,
        keep: kept_engines.KeepRule | None,
    ) -> placement_module.Placement | None:
        return self._dependencies.placer.place_prompt(
            self._admitted.request,
            route,
            self._admitted.service,
            times,
            excluded,
            keep,
        )

    def _make_waiter(
        self,
        times: routes.EngineTimes,
        limits: priorities.UrgentLimits,
        priority_class: ids.PriorityClass,
        excluded: frozenset[ids.EndpointId],
    ) -> room_module.Waiter | None:
        """Returns the request for the queue; None if nothing can serve it."""
        admitted = self._admitted
        request, route = admitted.request, admitted.route
        idle = self._dependencies.placer.estimate_idle(
            request,
            route,
            admitted.service,
            times,
            excluded,
            self._rule(limits, decision.Engines.ANY),
        )
        if idle is None:
            return None
        need = order.Need(
            priority_class,
            self._started_s,
            self._started_s + route.target_s,
            admitted.deadline_s,
            idle.first_event_s,
            idle.fastest_s,
            idle.decode_s,
            step_times.prefill_s(times, request.prompt_tokens),
        )

        def place(
            engines: decision.Engines,
        ) -> placement_module.Placement | None:
            now_s = self._loop.time()
            target_left_s = need.target_at_s - now_s
            return self._place(
                times,
                excluded | self._full_engines(now_s),
                (
                    dataclasses.replace(route, target_s=target_left_s)
                    if target_left_s > need.idle_fastest_s
                    else route
                ),
                self._rule(limits, engines),
            )

        return room_module.Waiter(
            request.id,
            admitted.service.name,
            need,
            len(request.body),
            place,
        )

    def _rule(
        self, limits: priorities.UrgentLimits, engines: decision.Engines
    ) -> kept_engines.KeepRule:
        return kept_engines.make_rule(
            limits,
            is_kept_out=engines is not decision.Engines.ANY,
            spares_pauses=engines is decision.Engines.SPARING,
        )

    def _full_engines(self, now_s: float) -> frozenset[ids.EndpointId]:
        return frozenset(
            endpoint_id
            for endpoint_id, until_s in self._full_until_s.items()
            if until_s > now_s
        )
