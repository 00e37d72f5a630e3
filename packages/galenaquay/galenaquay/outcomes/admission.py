"""Checks requests against the routes and the API keys of client accounts."""

import asyncio
import dataclasses
import random

from .. import ids
from ..configuration import current as current_module
from ..configuration import priorities
from ..configuration import routes
from ..ports import exchange


@dataclasses.dataclass(frozen=True)
class AdmittedRequest:
    """An admitted request with its route, service and client account."""

    request: exchange.Request
    route: routes.Route
    service: routes.Service
    # None if the request needs no API key.
    account: ids.AccountId | None
    # Version of the configuration under which the request was admitted.
    version: int
    # Time at which the request is given up, on the event loop's clock.
    deadline_s: float
    # None if the requests of the pool have no classes.
    priority_class: ids.PriorityClass | None = None
    # What callers of more urgent classes accept; None without classes.
    urgent_limits: priorities.UrgentLimits | None = None


@dataclasses.dataclass(frozen=True)
class Refusal:
    """The HTTP status and the reason for a request that is not admitted."""

    status: int
    reason: str


class Admission:
    """Admits or refuses requests by the configuration in force."""

    def __init__(
        self, current: current_module.RouteTableInForce, rng: random.Random
    ) -> None:
        self._current = current
        self._rng = rng

    def decide(self, request: exchange.Request) -> AdmittedRequest | Refusal:
        """Returns the admitted request, or the refusal."""
        table = self._current.table
        if table is None:
            return Refusal(503, 'no configuration yet')
        route = table.find(request.host, request.path)
        if route is None:
            return self._refuse_unknown(404, 'no such route')
        account = None
        if table.needs_keys and not route.is_public:
            account_or_refusal = self._find_account(table, request.key)
            if isinstance(account_or_refusal, Refusal):
                return account_or_refusal
            account = account_or_refusal
        service = table.services_by_name.get(route.pick_service(self._rng))
        if service is None:
            return Refusal(503, 'no such service')
        classes = self._current.priority_classes
        priority_class = classes.find(service.name, route, account)
        now_s = asyncio.get_running_loop().time()
        return AdmittedRequest(
            request,
            route,
            service,
            account,
            table.version,
            min(request.deadline_s, now_s + route.timeout_s),
            priority_class,
            (
                None
                if priority_class is None
                else classes.urgent_limits(service.name, priority_class)
            ),
        )

    def _refuse_unknown(self, status: int, reason: str) -> Refusal:
        """Refuses what the configuration does not contain.

        A newer configuration may contain it, so the caller is told to return
        unless the configuration in force is certain to be the newest.
        """
        if not self._current.trusts_absence():
            return Refusal(503, 'stale configuration')
        return Refusal(status, reason)

    def _find_account(
        self, table: routes.RouteTable, key: ids.ApiKey | None
    ) -> ids.AccountId | Refusal:
        if not self._current.trusts_keys():
            return Refusal(503, 'keys are stale')
        if key is None or key not in table.accounts_by_key:
            return self._refuse_unknown(401, 'unknown key')
        return table.accounts_by_key[key]
