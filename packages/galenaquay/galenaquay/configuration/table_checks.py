"""Finds parts of a route table that have no effect or contradict each other.

The parser of the route table has accepted these parts, each by itself.
"""

from collections.abc import Iterator
import dataclasses

from .. import ids
from . import findings
from . import routes


@dataclasses.dataclass(frozen=True)
class ListedAccount:
    """An account with its place in the file."""

    place: str
    account_id: ids.AccountId
    keys: tuple[ids.ApiKey, ...]


@dataclasses.dataclass(frozen=True)
class ListedTable:
    """The entries of a route table in the order of the file."""

    # Routes and services by their place in the file.
    routes_by_place: dict[str, routes.Route]
    services_by_place: dict[str, routes.Service]
    accounts: tuple[ListedAccount, ...]
    # Whether requests need an API key, except on public routes.
    needs_keys: bool


def check(
    listed: ListedTable,
    max_retries: float,
    services_with_endpoints: frozenset[ids.ServiceName] | None = None,
) -> list[findings.Finding]:
    """Checks a route table.

    Args:
        listed: The entries of the table.
        max_retries: Number of retries that the retry budget of a service holds
            while no request adds to it.
        services_with_endpoints: Services that have endpoints; None if it is
            not known.
    """
    found = list(_find_wrong_types(listed))
    if found:
        # The other checks compare texts.
        return found
    found += _find_hidden_routes(listed.routes_by_place)
    for place, route in listed.routes_by_place.items():
        found += _check_route(place, route, listed, max_retries)
    found += _check_services(listed, services_with_endpoints)
    found += _check_accounts(listed)
    return found


def _find_wrong_types(listed: ListedTable) -> Iterator[findings.Finding]:
    """Finds values that must be texts but are not; requests fail on them."""
    for place, route in listed.routes_by_place.items():
        texts = {
            'name': route.name,
            'host': route.host,
            'prefix': route.prefix,
            **{'service': backend.service for backend in route.backends},
        }
        for what, text in texts.items():
            if not isinstance(text, str):
                yield findings.error(place, f'the {what} is no text')
    for place, service in listed.services_by_place.items():
        if not isinstance(service.name, str):
            yield findings.error(place, 'the name is no text')
    for account in listed.accounts:
        for text in (account.account_id, *account.keys):
            if not isinstance(text, str):
                yield findings.error(
                    account.place, 'the name or a key is no text'
                )


def _find_hidden_routes(
    routes_by_place: dict[str, routes.Route],
) -> Iterator[findings.Finding]:
    """Finds routes that no request can match."""
    first_by_match: dict[tuple[str, str], tuple[str, routes.Route]] = {}
    for place, route in routes_by_place.items():
        host = routes.host_name(route.host)
        if route.prefix and not route.prefix.startswith('/'):
            yield findings.warning(
                place,
                f'route {route.name} never matches: its prefix '
                f'{route.prefix!r} does not begin with a slash',
            )
        match = (host, route.prefix)
        if match in first_by_match:
            first_place, first = first_by_match[match]
            yield findings.warning(
                place,
                f'route {route.name} never matches: route {first.name} '
                f'({first_place}) has the same host and prefix',
            )
        else:
            first_by_match[match] = (place, route)


def _check_route(
    place: str,
    route: routes.Route,
    listed: ListedTable,
    max_retries: float,
) -> Iterator[findings.Finding]:
    name = f'route {route.name}'
    known = {service.name for service in listed.services_by_place.values()}
    for backend in route.backends:
        if backend.service not in known:
            yield findings.warning(
                place, f'{name}: there is no service {backend.service}'
            )
    if len(route.backends) > 1:
        weights = [backend.weight for backend in route.backends]
        if min(weights) < 0 or sum(weights) <= 0:
            yield findings.error(
                place, f'{name}: the weights of its services must be positive'
            )
    if route.timeout_s <= 0:
        yield findings.warning(
            place,
            f'{name}: every request is over its time limit of '
            f'{route.timeout_s:g} s',
        )
    if route.target_s > route.timeout_s:
        yield findings.warning(
            place,
            f'{name}: the target of {route.target_s:g} s is beyond the time '
            f'limit of {route.timeout_s:g} s',
        )
    if route.max_gap_s > route.timeout_s:
        yield findings.warning(
            place,
            f'{name}: the longest pause of {route.max_gap_s:g} s is beyond '
            f'the time limit of {route.timeout_s:g} s',
        )
    yield from _check_attempts(place, route, max_retries)


def _check_attempts(
    place: str, route: routes.Route, max_retries: float
) -> Iterator[findings.Finding]:
    name = f'route {route.name}'
    if route.max_attempts > 1 and not route.may_repeat:
        yield findings.warning(
            place,
            f'{name}: {route.max_attempts} attempts are allowed, but its '
            'requests are sent again only if an endpoint has not run them',
        )
    elif route.max_attempts - 1 > max_retries:
        yield findings.warning(
            place,
            f'{name}: {route.max_attempts} attempts are more than the retry '
            f'budget of a quiet service allows ({max_retries:g} retries)',
        )


def _check_services(
    listed: ListedTable,
    services_with_endpoints: frozenset[ids.ServiceName] | None,
) -> Iterator[findings.Finding]:
    used = {
        backend.service
        for route in listed.routes_by_place.values()
        for backend in route.backends
    }
    seen: dict[ids.ServiceName, str] = {}
    for place, service in listed.services_by_place.items():
        name = f'service {service.name}'
        if service.name in seen:
            # The parser takes the last one.
            yield findings.warning(
                seen[service.name],
                f'{name} is there again in {place} and has no effect here',
            )
        seen[service.name] = place
        if service.name not in used:
            yield findings.warning(place, f'{name}: no route leads to it')
        if (
            services_with_endpoints is not None
            and service.name not in services_with_endpoints
        ):
            yield findings.warning(place, f'{name} has no endpoints')
        if service.engine is not None:
            yield from _check_engine(place, name, service.engine)


def _check_engine(
    place: str, name: str, engine: routes.EngineTimes
) -> Iterator[findings.Finding]:
    if engine.slots <= 0 or engine.memory_tokens <= 0:
        yield findings.warning(
            place, f'{name}: no engine has room for any prompt'
        )
    elif engine.typical_answer_tokens > engine.memory_tokens:
        yield findings.warning(
            place,
            f'{name}: a typical answer of {engine.typical_answer_tokens} '
            'tokens can never have memory, an engine has '
            f'{engine.memory_tokens} tokens',
        )
    if engine.prefill_tokens_per_s <= 0:
        yield findings.error(
            place, f'{name}: the prefill rate must be positive'
        )


def _check_accounts(listed: ListedTable) -> Iterator[findings.Finding]:
    owners: dict[ids.ApiKey, ListedAccount] = {}
    names: set[ids.AccountId] = set()
    for account in listed.accounts:
        name = f'account {account.account_id}'
        if account.account_id in names:
            yield findings.warning(account.place, f'{name} is there twice')
        names.add(account.account_id)
        if not account.keys:
            yield findings.warning(account.place, f'{name} has no keys')
        for key in account.keys:
            if key in owners and owners[key].account_id != account.account_id:
                # Keys are secrets and are not printed.
                yield findings.warning(
                    account.place,
                    f'{name} takes a key from account '
                    f'{owners[key].account_id} ({owners[key].place})',
                )
            owners[key] = account
    has_private = any(
        not route.is_public for route in listed.routes_by_place.values()
    )
    if listed.needs_keys and not owners and has_private:
        yield findings.warning(
            '', 'no account has a key, so that only public routes are served'
        )
