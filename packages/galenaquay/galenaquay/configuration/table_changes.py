"""Describes the differences between two route tables to an operator."""

from collections.abc import Callable, Iterator, Mapping
import dataclasses
from typing import Any, Final

from . import routes


@dataclasses.dataclass(frozen=True)
class _Field:
    """The name of a field in descriptions, and the text of its value."""

    name: str
    text: Callable[[Any], str] = str


def _seconds(value: float) -> str:
    return f'{value:g} s'


def _services(backends: tuple[routes.Backend, ...]) -> str:
    return ', '.join(
        f'{backend.service} (weight {backend.weight:g})'
        for backend in backends
    )


def _yes_no(value: bool) -> str:
    return 'yes' if value else 'no'


# How the fields of routes are described; a field that is missing here is
# described by its name in the code.
_ROUTE_FIELDS: Final = {
    'kind': _Field('kind', lambda kind: kind.value),
    'timeout_s': _Field('time limit', _seconds),
    'target_s': _Field('target', _seconds),
    'backends': _Field('services', _services),
    'max_attempts': _Field('attempts'),
    'is_public': _Field('public', _yes_no),
    'is_resumable': _Field('resumable', _yes_no),
    'max_gap_s': _Field('longest pause', _seconds),
}
_LIMIT_FIELDS: Final = {
    'header_bytes': _Field('size of request headers in bytes'),
    'body_bytes': _Field('size of request bodies in bytes'),
    'header_s': _Field('time for request headers', _seconds),
    'idle_s': _Field('idle time', _seconds),
}


def describe(old: routes.RouteTable, new: routes.RouteTable) -> list[str]:
    """Returns one line for each difference.

    API keys are secrets and are not part of the lines.
    """
    lines = []
    if new.version != old.version:
        lines.append(f'version: {old.version} becomes {new.version}')
    lines += _describe_routes(old, new)
    lines += _describe_services(old, new)
    lines += _describe_accounts(old, new)
    lines += _describe_fields('limits', old.limits, new.limits, _LIMIT_FIELDS)
    return lines


def _routes_by_match(
    table: routes.RouteTable,
) -> dict[tuple[str, str], routes.Route]:
    """Returns the routes that requests can match, by host and prefix."""
    by_match: dict[tuple[str, str], routes.Route] = {}
    for host, group in table.routes_by_host.items():
        for route in group:
            by_match.setdefault((host, route.prefix), route)
    return by_match


def _describe_routes(
    old: routes.RouteTable, new: routes.RouteTable
) -> Iterator[str]:
    before, after = _routes_by_match(old), _routes_by_match(new)
    for match, route in before.items():
        if match not in after:
            yield f'route {route.name} ({"".join(match)}) is removed'
    for match, route in after.items():
        previous = before.get(match)
        if previous is None:
            yield (
                f'route {route.name} ({"".join(match)}) is added, to '
                f'{_services(route.backends)}'
            )
            continue
        if previous.name != route.name:
            yield f'route {previous.name} is named {route.name}'
        yield from _describe_fields(
            f'route {route.name}', previous, route, _ROUTE_FIELDS
        )


def _describe_services(
    old: routes.RouteTable, new: routes.RouteTable
) -> Iterator[str]:
    before, after = old.services_by_name, new.services_by_name
    for name in before:
        if name not in after:
            yield f'service {name} is removed'
    for name, service in after.items():
        if name not in before:
            yield f'service {name} is added'
            continue
        previous = before[name]
        yield from _describe_fields(f'service {name}', previous, service, {})


def _describe_accounts(
    old: routes.RouteTable, new: routes.RouteTable
) -> Iterator[str]:
    if old.needs_keys != new.needs_keys:
        yield (
            'requests need a key from now on'
            if new.needs_keys
            else 'requests need no key any more'
        )
    accounts = {*old.accounts_by_key.values(), *new.accounts_by_key.values()}
    for account in sorted(accounts, key=str):
        before = _keys_of(old.accounts_by_key, account)
        after = _keys_of(new.accounts_by_key, account)
        if after - before:
            yield f'account {account}: {len(after - before)} keys are added'
        if before - after:
            yield f'account {account}: {len(before - after)} keys are removed'


def _keys_of(accounts_by_key: Mapping[Any, Any], account: Any) -> set[Any]:
    return {key for key, owner in accounts_by_key.items() if owner == account}


def _describe_fields(
    what: str, old: Any, new: Any, fields: Mapping[str, _Field]
) -> Iterator[str]:
    """Describes the fields of two dataclasses that differ.

    The name, the host and the prefix are described elsewhere.
    """
    for field in dataclasses.fields(new):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before == after or field.name in ('name', 'host', 'prefix'):
            continue
        if dataclasses.is_dataclass(before) and dataclasses.is_dataclass(
            after
        ):
            yield from _describe_fields(
                f'{what}, {field.name}', before, after, {}
            )
            continue
        words = fields.get(field.name, _Field(field.name.replace('_', ' ')))
        yield (
            f'{what}: {words.name} {words.text(before)} becomes '
            f'{words.text(after)}'
        )
