"""Checks configuration documents of the product's own form."""

from collections.abc import Iterator
from typing import Any, Final

import pydantic

from . import ids
from .adapters import published_documents
from .configuration import documents
from .configuration import findings
from .configuration import versions

# Field of accounts that is not printed.
_SECRET_FIELD: Final = 'key_sha256'


def _parse(body: bytes) -> documents.Document | list[findings.Finding]:
    if len(body) > documents.MAX_DOCUMENT_BYTES:
        reason = versions.parse_document(documents.Document, body)
        return [findings.error('', f'the document {reason}')]
    try:
        return documents.Document.model_validate_json(body)
    except pydantic.ValidationError as exc:
        return [
            findings.error(_place(each['loc']), text)
            for each in exc.errors()
            for text in each['msg'].split('; ')
        ]


def _place(parts: tuple[int | str, ...]) -> str:
    """Returns a place in the form `routes[3].pool`."""
    place = ''
    for part in parts:
        if isinstance(part, int):
            place += f'[{part}]'
        else:
            place += f'.{part}' if place else part
    return place


def _find_unused(document: documents.Document) -> Iterator[findings.Finding]:
    """Finds entries without effect, and outputs that no engine can hold."""
    for index, route in enumerate(document.routes):
        place = f'routes[{index}]'
        endpoints = document.endpoints_by_route[ids.RouteName(route.name)]
        if not endpoints:
            yield findings.warning(
                place, f'route {route.name} has no endpoints in service'
            )
        elif route.kind is documents.RouteKind.MODEL:
            largest = max(e.capacity_tokens for e in endpoints)
            if route.max_output_tokens > largest:
                yield findings.warning(
                    place,
                    f'route {route.name}: an output of '
                    f'{route.max_output_tokens} tokens can never have memory, '
                    f'its largest engine has {largest} tokens',
                )
    used_pools = {route.pool for route in document.routes}
    for index, pool in enumerate(document.pools):
        place = f'pools[{index}]'
        selector = document.selectors_by_text[pool.selector]
        if not any(
            selector.matches(labels)
            for labels in document.labels_by_endpoint.values()
        ):
            yield findings.warning(
                place, f'pool {pool.name}: its selector matches no endpoint'
            )
        if pool.name not in used_pools:
            yield findings.warning(
                place, f'pool {pool.name}: no route leads to it'
            )
    used_zones = {endpoint.zone for endpoint in document.endpoints}
    for index, zone in enumerate(document.zones):
        if zone.name not in used_zones:
            yield findings.warning(
                f'zones[{index}]', f'zone {zone.name} has no endpoints'
            )


class DocumentFormat:
    """The form of `documents.Document`."""

    def recognizes(self, value: Any) -> bool:
        """Returns whether a file lists endpoints and pools."""
        return isinstance(value, dict) and 'pools' in value

    def check(
        self, body: bytes, in_force: findings.Published | None
    ) -> list[findings.Finding]:
        """Checks a document with the parser of the entry processes."""
        parsed = _parse(body)
        if not isinstance(parsed, documents.Document):
            return parsed
        found = list(_find_unused(parsed))
        if in_force is not None:
            current = versions.parse_document(
                documents.Document, in_force.body
            )
            if isinstance(current, documents.Document):
                found += _check_version(parsed, current, in_force.body, body)
        return found

    def changes(self, old: bytes, new: bytes) -> list[str]:
        """Describes the differences between two valid documents."""
        before = documents.Document.model_validate_json(old)
        after = documents.Document.model_validate_json(new)
        return [*_item_changes(before, after), *_route_changes(before, after)]

    async def fetch(self, host: str, port: int) -> findings.Published:
        """Asks an entry process for the document that it has in force."""
        body = await published_documents.fetch_document(host, port)
        return findings.Published(body)


def _check_version(
    candidate: documents.Document,
    current: documents.Document,
    current_body: bytes,
    body: bytes,
) -> Iterator[findings.Finding]:
    decision = versions.decide(documents.Document, current, current_body, body)
    reason = f'{decision.verdict.value} {decision.reason}'.rstrip()
    text = f'version {candidate.version} is {reason}'
    if decision.verdict is versions.Verdict.REFUSED:
        yield findings.error('version', text)
    elif decision.verdict is not versions.Verdict.ACCEPTED:
        yield findings.warning('version', f'{text}: it changes nothing')


def _item_changes(
    before: documents.Document, after: documents.Document
) -> Iterator[str]:
    old, new = before.model_dump(mode='json'), after.model_dump(mode='json')
    for name in new:
        if not isinstance(new[name], list):
            if old[name] != new[name]:
                yield f'{name}: {old[name]} becomes {new[name]}'
            continue
        what = name.removesuffix('s')
        old_items = {
            item.get('id', item.get('name')): item for item in old[name]
        }
        new_items = {
            item.get('id', item.get('name')): item for item in new[name]
        }
        for key in old_items:
            if key not in new_items:
                yield f'{what} {key} is removed'
        for key, item in new_items.items():
            if key not in old_items:
                yield f'{what} {key} is added'
                continue
            for field in item:
                if item[field] == old_items[key][field]:
                    continue
                if field == _SECRET_FIELD:
                    yield f'{what} {key}: its credential changes'
                    continue
                yield (
                    f'{what} {key}: {field.replace("_", " ")} '
                    f'{old_items[key][field]} becomes {item[field]}'
                )


def _route_changes(
    before: documents.Document, after: documents.Document
) -> Iterator[str]:
    """Describes the routes whose set of endpoints changes."""
    for name in sorted({*before.routes_by_name, *after.routes_by_name}):
        old = {e.id for e in before.endpoints_by_route.get(name, ())}
        new = {e.id for e in after.endpoints_by_route.get(name, ())}
        if old != new:
            gained = ', '.join(sorted(new - old)) or 'none'
            lost = ', '.join(sorted(old - new)) or 'none'
            yield f'route {name}: gains {gained}; loses {lost}'


FORMAT: Final = DocumentFormat()
