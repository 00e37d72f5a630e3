"""Ranks the requests of each pool by the priorities of accounts and routes.

The priority of the client account comes first, and the priority of the route
decides between accounts of the same priority. A pool whose requests all have
the same priorities has no classes, and its requests are served in the order of
their arrival.
"""

from collections.abc import Iterable, Mapping
from typing import Final

from .. import ids
from . import routes

# Number of classes. Less urgent ranks share the last one.
MAX_CLASSES: Final = 10
# Priority of accounts and routes that have none of their own.
DEFAULT_PRIORITY: Final = 0

# Priorities of an account and of a route; 0 is the most urgent.
Priorities = tuple[int, int]


class PriorityClasses:
    """The priority classes of all pools in one configuration."""

    def __init__(
        self,
        class_by_priorities: Mapping[
            ids.ServiceName, Mapping[Priorities, ids.PriorityClass]
        ],
        priority_by_account: Mapping[ids.AccountId, int],
    ) -> None:
        self._class_by_priorities = class_by_priorities
        self._priority_by_account = priority_by_account

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
    allowed: dict[ids.ServiceName, set[Priorities]] = {}
    for route in _all_routes(table):
        needs_key = table.needs_keys and not route.is_public
        own = account_priorities if needs_key else {DEFAULT_PRIORITY}
        for backend in route.backends:
            service = table.services_by_name.get(backend.service)
            if service is not None and service.engine is not None:
                allowed.setdefault(service.name, set()).update(
                    (account_priority, route.priority)
                    for account_priority in own
                )
    return PriorityClasses(
        {
            service: _rank(priorities)
            for service, priorities in allowed.items()
            if len(priorities) > 1
        },
        table.priority_by_account,
    )


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
