"""`galenaquayctl trace`: shows how VMs processed one request.

Shows the spans of the request as a tree. If the logs have no spans of the
request, shows its other log lines, sorted by time.
"""

from collections.abc import Iterable
import dataclasses
import sys
from typing import IO, Any

import click
import orjson

from . import exits


@dataclasses.dataclass
class Span:
    """One span: an operation that a VM carried out for a request."""

    span_id: str
    parent_id: str
    trace_id: str
    name: str
    vm: str
    start_ms: float
    took_ms: float
    fields: dict[str, Any]


# Fields of log lines that are not shown as `name=value`.
_COMMON_FIELDS = frozenset(
    [
        'time',
        'level',
        'logger',
        'message',
        'vm',
        'zone',
        'span',
        'span_id',
        'parent_id',
        'trace_id',
        'start_ms',
        'took_ms',
    ]
)


@click.command(
    epilog='Example: galenaquayctl trace REQUEST_ID .run/vakaloloma/*.log'
)
@click.argument('request_id')
@click.argument('logs', nargs=-1, type=click.File('rb'), required=True)
def trace(request_id: str, logs: tuple[IO[bytes], ...]) -> None:
    """Shows the spans of one request, or its lines, from entries' logs.

    Exits with 1 if the logs have none.
    """
    lines = [line for log in logs for line in log]
    spans = list(_read_spans(lines))
    trace_ids = {
        s.trace_id for s in spans if s.fields.get('request_id') == request_id
    }
    chosen = [s for s in spans if s.trace_id in trace_ids]
    if not chosen:
        if not _show_lines(request_id, lines):
            click.echo(f'no lines of request {request_id}', err=True)
            sys.exit(exits.Exit.NEGATIVE)
        return
    span_ids = {s.span_id for s in chosen}
    roots = [s for s in chosen if s.parent_id not in span_ids]
    start_ms = min(s.start_ms for s in chosen)
    for root in roots:
        _show(root, chosen, start_ms, 0)


def _show_lines(request_id: str, lines: Iterable[bytes]) -> bool:
    """Shows the log lines of a request; returns whether any exist."""
    pattern = f'"request_id":"{request_id}"'.encode()
    matches = [orjson.loads(line) for line in lines if pattern in line]
    for fields in sorted(matches, key=lambda fields: str(fields['time'])):
        shown = ' '.join(
            f'{k}={v}'
            for k, v in fields.items()
            if k not in _COMMON_FIELDS and k != 'request_id'
        )
        click.echo(
            f'{fields["time"]} {fields["vm"]} {fields["message"]}: {shown}'
        )
    return bool(matches)


def _read_spans(lines: Iterable[bytes]) -> Iterable[Span]:
    for line in lines:
        if b'"span_id"' not in line:
            continue
        fields = orjson.loads(line)
        yield Span(
            fields['span_id'],
            fields['parent_id'],
            fields['trace_id'],
            fields['span'],
            fields['vm'],
            fields['start_ms'],
            fields['took_ms'],
            {k: v for k, v in fields.items() if k not in _COMMON_FIELDS},
        )


def _show(span: Span, spans: list[Span], start_ms: float, depth: int) -> None:
    fields = ' '.join(f'{k}={v}' for k, v in span.fields.items())
    click.echo(
        f'{"  " * depth}{span.name} at {span.start_ms - start_ms:.1f} ms '
        f'for {span.took_ms:.1f} ms on {span.vm} {fields}'
    )
    children = [s for s in spans if s.parent_id == span.span_id]
    for child in sorted(children, key=lambda s: s.start_ms):
        _show(child, spans, start_ms, depth + 1)
