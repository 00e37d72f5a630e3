"""Ranks the requests of each pool by the priorities of accounts and routes.

The priority of the client account comes first, and the priority of the route
decides between accounts of the same priority. A pool whose routes all have the
same priority has no classes, and its requests are served in the order of their
arrival: accounts alone do not say which kinds of requests may wait.
"""

from collections.abc import Iterable, Mapping
import dataclasses
from typing import Final

from .. import ids
from . import routes

# Number of classes. Less urgent ranks share the last one.
MAX_CLASSES: Final = 10
# Priority of accounts and routes that have none of their own.
DEFAULT_PRIORITY: Final = 0

# Priorities of an account and of a route; 0 is the most urgent.
Priorities = tuple[int, int]


@dataclasses.dataclass(frozen=True)
class UrgentLimits:
    """What the callers of a pool's more urgent requests accept."""

    # Longest pause between two events that callers of the most urgent class
    # accept, in seconds.
    first_class_pause_s: float
    # Shortest pause or target time that callers of a more urgent class accept,
    # in seconds; None for the most urgent class.
    tightest_s: float | None


class PriorityClasses:
    """The priority classes of all pools in one configuration."""

    def __init__(
        self,
        class_by_priorities: Mapping[
            ids.ServiceName, Mapping[Priorities, ids.PriorityClass]
        ],
        priority_by_account: Mapping[ids.AccountId, int],
        limits_by_class: Mapping[
            tuple[ids.ServiceName, ids.PriorityClass], UrgentLimits
        ],
    ) -> None:
        self._class_by_priorities = class_by_priorities
        self._priority_by_account = priority_by_account
        self._limits_by_class = limits_by_class

    def find(
        self,
        service: ids.ServiceName,
        route: routes.Route,
        account: ids.AccountId | None,
    ) -> ids.PriorityClass | None:
        """Returns the class of a request; None if its pool has no classes."""
        classes = self._class_by_priorities.get(service)
        if classes is None:
            return None
        account_priority = DEFAULT_PRIORITY
        if account is not None:
            account_priority = self._priority_by_account.get(
                account, DEFAULT_PRIORITY
            )
        return classes.get((account_priority, route.priority))

    def urgent_limits(
        self, service: ids.ServiceName, priority_class: ids.PriorityClass
    ) -> UrgentLimits:
        """Returns the limits of the classes before a class of a pool."""
        return self._limits_by_class[service, priority_class]

    def pools(self) -> list[ids.ServiceName]:
        """Returns the pools that have classes."""
        return sorted(self._class_by_priorities)


def make_priority_classes(table: routes.RouteTable) -> PriorityClasses:
    """Ranks the priorities that the configuration allows for each pool."""
    # Priorities of all requests with a key.
    account_priorities = {
        table.priority_by_account.get(account, DEFAULT_PRIORITY)
        for account in table.accounts_by_key.values()
    }
    allowed: dict[ids.ServiceName, dict[Priorities, list[routes.Route]]] = {}
    for route in _all_routes(table):
        needs_key = table.needs_keys and not route.is_public
        own = account_priorities if needs_key else {DEFAULT_PRIORITY}
        for backend in route.backends:
            service = table.services_by_name.get(backend.service)
            if service is not None and service.engine is not None:
                by_priorities = allowed.setdefault(service.name, {})
                for account_priority in own:
                    by_priorities.setdefault(
                        (account_priority, route.priority), []
                    ).append(route)
    classes_by_service = {
        service: _rank(by_priorities)
        for service, by_priorities in allowed.items()
        if len({priority for _, priority in by_priorities}) > 1
    }
    return PriorityClasses(
        classes_by_service,
        table.priority_by_account,
        {
            (service, priority_class): _limits_before(
                priority_class, classes, allowed[service]
            )
            for service, classes in classes_by_service.items()
            for priority_class in classes.values()
        },
    )


def _limits_before(
    priority_class: ids.PriorityClass,
    class_by_priorities: Mapping[Priorities, ids.PriorityClass],
    routes_by_priorities: Mapping[Priorities, list[routes.Route]],
) -> UrgentLimits:
    first_pause_s = 0.0
    tightest_s: float | None = None
    for pair, pair_routes in routes_by_priorities.items():
        pair_class = class_by_priorities[pair]
        for route in pair_routes:
            if not pair_class:
                first_pause_s = max(first_pause_s, route.max_gap_s)
            if pair_class < priority_class:
                accepted_s = min(route.max_gap_s, route.target_s)
                tightest_s = min(tightest_s or accepted_s, accepted_s)
    return UrgentLimits(first_pause_s, tightest_s)


def _all_routes(table: routes.RouteTable) -> Iterable[routes.Route]:
    for host_routes in table.routes_by_host.values():
        yield from host_routes


def _rank(
    priorities: Iterable[Priorities],
) -> dict[Priorities, ids.PriorityClass]:
    """Numbers the priorities from the most urgent one on."""
    return {
        pair: ids.PriorityClass(min(rank, MAX_CLASSES - 1))
        for rank, pair in enumerate(sorted(priorities))
    }
