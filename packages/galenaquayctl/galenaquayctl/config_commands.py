"""`galenaquayctl config`: checks and compares configuration documents.

Also prints the JSON schema of a configuration document.
"""

import difflib
import pathlib
import sys
from typing import Any

from galenaquay.configuration import documents
from galenaquay.configuration import versions

import click
import orjson
import yaml

from . import check_command
from . import exits


@click.group()
def config() -> None:
    """Checks, describes and compares configurations."""


config.add_command(check_command.check)


@config.command(epilog='Example: galenaquayctl config schema > schema.json')
def schema() -> None:
    """Prints the JSON schema of the configuration."""
    options = orjson.OPT_INDENT_2
    click.echo(orjson.dumps(documents.schema(), option=options).decode())


@config.command(epilog='Example: galenaquayctl config diff now.yaml next.yaml')
@click.argument('old', type=click.Path(path_type=pathlib.Path, exists=True))
@click.argument('new', type=click.Path(path_type=pathlib.Path, exists=True))
def diff(old: pathlib.Path, new: pathlib.Path) -> None:
    """Compares documents and shows which endpoints change routes.

    Exits with 0 if nothing differs and 1 if something does.
    """
    before, after = _load(old), _load(new)
    lines = list(
        difflib.unified_diff(
            _lines(before), _lines(after), str(old), str(new), lineterm='', n=2
        )
    )
    for line in lines:
        click.echo(line)
    for line in _describe_route_changes(before, after):
        click.echo(line)
    sys.exit(exits.Exit.NEGATIVE if lines else exits.Exit.OK)


def _read(path: pathlib.Path) -> Any:
    try:
        return yaml.safe_load(path.read_text())
    except (UnicodeDecodeError, yaml.YAMLError) as exc:
        click.echo(f'{path}: {" ".join(str(exc).split())}', err=True)
        sys.exit(exits.Exit.INVALID)


def _read_as_json(path: pathlib.Path) -> bytes:
    return orjson.dumps(_read(path))


def _load(path: pathlib.Path) -> documents.Document:
    parsed = versions.parse_document(documents.Document, _read_as_json(path))
    if isinstance(parsed, str):
        for error in parsed.split('; '):
            click.echo(f'{path}: {error}', err=True)
        sys.exit(exits.Exit.INVALID)
    return parsed


def _lines(document: documents.Document) -> list[str]:
    body = document.model_dump(mode='json')
    return yaml.safe_dump(body, sort_keys=True).splitlines()


def _describe_route_changes(
    before: documents.Document, after: documents.Document
) -> list[str]:
    """Returns one line for each route whose set of endpoints changes."""
    lines = []
    names = sorted({*before.routes_by_name, *after.routes_by_name})
    for name in names:
        old = {e.id for e in before.endpoints_by_route.get(name, ())}
        new = {e.id for e in after.endpoints_by_route.get(name, ())}
        if old != new:
            gained = ', '.join(sorted(new - old)) or 'none'
            lost = ', '.join(sorted(old - new)) or 'none'
            lines.append(f'route {name}: gains {gained}; loses {lost}')
    return lines
