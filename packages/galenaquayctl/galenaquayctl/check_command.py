"""`galenaquayctl config check`: checks a configuration before it is published.

The form of the file decides which parser is used; it is the parser of the
entry processes that read this form.
"""

import asyncio
from collections.abc import Sequence
import pathlib
import sys
from typing import Any, Final
import urllib.parse

from galenaquay.configuration import findings

import click
import orjson
import yaml

from . import config_formats
from . import exits

# Files that begin with one of these bytes are taken as they are, so that the
# parser reads exactly what is going to be published.
_JSON_STARTS: Final = (b'{', b'[')


class InputError(Exception):
    """A file, or the configuration of an entry process, cannot be read."""


@click.command(
    epilog='Example: galenaquayctl config check next.json --entry '
    '10.0.1.5:8081'
)
@click.argument('path', type=click.Path(path_type=pathlib.Path, exists=True))
@click.option(
    '--against',
    '--in-force',
    'against',
    type=click.Path(path_type=pathlib.Path, exists=True),
    help='File with the version in force, to compare with.',
)
@click.option(
    '--entry',
    metavar='URL',
    help='Address of an entry for other entries, host:port, to compare with '
    'the version that it has in force.',
)
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def check(
    path: pathlib.Path,
    against: pathlib.Path | None,
    entry: str | None,
    as_json: bool,
) -> None:
    """Checks a configuration as the entries do, and more.

    Prints errors and warnings with their place in the file, and what changes.
    Exits with 0 if there is nothing to report, 1 if there are only warnings, 2
    if there are errors, and 3 if the entry does not answer.
    """
    if against is not None and entry is not None:
        raise click.UsageError('--against and --entry exclude each other')
    try:
        body = _read(path)
    except InputError as exc:
        _show([findings.error('', str(exc))], [], path, as_json)
        sys.exit(exits.Exit.INVALID)
    config_format = config_formats.find(orjson.loads(body))
    if config_format is None:
        text = 'has the form of no known configuration'
        _show([findings.error('', text)], [], path, as_json)
        sys.exit(exits.Exit.INVALID)
    in_force = _read_in_force(config_format, against, entry)
    found = list(config_format.check(body, in_force))
    changes: Sequence[str] = ()
    has_errors = any(f.severity is findings.Severity.ERROR for f in found)
    if in_force is not None:
        if any(
            f.severity is findings.Severity.ERROR
            for f in config_format.check(in_force.body, None)
        ):
            found.append(
                findings.warning('', 'the version in force has errors')
            )
        elif not has_errors:
            changes = config_format.changes(in_force.body, body)
    _show(found, changes, path, as_json)
    if has_errors:
        sys.exit(exits.Exit.INVALID)
    if found:
        sys.exit(exits.Exit.NEGATIVE)


def _read(path: pathlib.Path) -> bytes:
    """Returns the content of a JSON or YAML file as JSON.

    Raises:
        InputError: The file cannot be read.
    """
    try:
        data = path.read_bytes()
        if not data.lstrip().startswith(_JSON_STARTS):
            # Raises TypeError for YAML types that JSON does not have.
            data = orjson.dumps(yaml.safe_load(data.decode()))
        orjson.loads(data)
    except orjson.JSONDecodeError as exc:
        raise InputError(
            f'line {exc.lineno}, column {exc.colno}: {exc.msg}'
        ) from exc
    except (OSError, UnicodeDecodeError, yaml.YAMLError, TypeError) as exc:
        raise InputError(' '.join(str(exc).split())) from exc
    except (ValueError, RecursionError) as exc:
        raise InputError(f'{type(exc).__name__}: {exc}') from exc
    return data


def _read_in_force(
    config_format: findings.Format,
    against: pathlib.Path | None,
    entry: str | None,
) -> findings.Published | None:
    if against is not None:
        try:
            return findings.Published(_read(against))
        except InputError as exc:
            click.echo(f'{against}: {exc}', err=True)
            sys.exit(exits.Exit.INVALID)
    if entry is None:
        return None
    host, port = _address(entry)
    try:
        return asyncio.run(config_format.fetch(host, port))
    except findings.NotPublishedError as exc:
        click.echo(f'{entry}: {exc}', err=True)
        sys.exit(exits.Exit.FAILED)


def _address(text: str) -> tuple[str, int]:
    """Returns host and port of a URL, or of `host:port`."""
    try:
        url = urllib.parse.urlsplit(text if '//' in text else f'//{text}')
        host, port = url.hostname, url.port
    except ValueError as exc:
        raise click.UsageError(f'{text}: {exc}') from exc
    if not host or not port:
        raise click.UsageError(f'{text} is not of the form host:port')
    return host, port


def _show(
    found: Sequence[findings.Finding],
    changes: Sequence[str],
    path: pathlib.Path,
    as_json: bool,
) -> None:
    if as_json:
        result: dict[str, Any] = {
            'file': str(path),
            'findings': [
                {
                    'severity': finding.severity.value,
                    'place': finding.place,
                    'text': finding.text,
                }
                for finding in found
            ],
            'changes': list(changes),
        }
        click.echo(orjson.dumps(result, option=orjson.OPT_INDENT_2).decode())
        return
    for finding in found:
        place = f'{path}: {finding.place}' if finding.place else str(path)
        click.echo(f'{place}: {finding.severity.value}: {finding.text}')
    for line in changes:
        click.echo(f'change: {line}')
    if not found:
        click.echo(f'{path}: no errors or warnings')
