"""The commands `galenaquayctl status` and `galenaquayctl explain`.

Both read the operators' API of VMs: `status` shows the state of the fleet as
the VMs know it; `explain` shows the endpoints that a VM would select for a
request, and why the VM would not select the others.
"""

import asyncio
import sys
import time
from typing import Any, Final

import click
import orjson

from . import clients
from . import exits

# Time between two updates of `status --watch`, in seconds.
WATCH_INTERVAL_S: Final = 1.0
_ENTRY_OPTION: Final = click.option(
    '--entry',
    'entries',
    multiple=True,
    default=['http://127.0.0.1:21010'],
    show_default=True,
    help='Address of an entry; may be given several times.',
)


@click.command(
    epilog='Example: galenaquayctl status --entry http://127.0.0.1:21010 '
    '--watch'
)
@_ENTRY_OPTION
@click.option('--watch', is_flag=True, help='Look again every second.')
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def status(entries: tuple[str, ...], watch: bool, as_json: bool) -> None:
    """Shows zones, engines and the versions in force.

    Exits with 3 if an entry does not answer.
    """
    while True:
        statuses = _run(_read_all(entries))
        if as_json:
            click.echo(orjson.dumps(statuses).decode())
        else:
            _show_statuses(statuses)
        if not watch:
            return
        time.sleep(WATCH_INTERVAL_S)


async def _read_all(entries: tuple[str, ...]) -> list[dict[str, Any]]:
    async with clients.session() as http_session:
        return [
            await clients.get_json(
                http_session, f'{entry}/operator/status', {}
            )
            for entry in entries
        ]


def _run(coroutine: Any) -> Any:
    try:
        return asyncio.run(coroutine)
    except clients.ClientError as exc:
        click.echo(str(exc), err=True)
        sys.exit(exits.Exit.FAILED)


def _show_statuses(statuses: list[dict[str, Any]]) -> None:
    newest = max(s['config_version'] for s in statuses)
    for vm_status in statuses:
        _show_vm(vm_status, newest)
    first_status = statuses[0]
    for zone in first_status['zones']:
        labels = ','.join(f'{k}={v}' for k, v in zone['labels'].items())
        click.echo(
            f'zone {zone["zone"]:12} {zone["in_service"]} of '
            f'{zone["endpoints"]} endpoints in service {labels}'
        )
    for engine in sorted(
        first_status['engines'], key=lambda e: e['endpoint_id']
    ):
        _show_engine(engine)


def _show_vm(vm_status: dict[str, Any], newest: int) -> None:
    lag = newest - vm_status['config_version']
    note = f' LAGS by {lag}' if lag else ''
    peers = ', '.join(f'{p["vm"]} {p["status"]}' for p in vm_status['peers'])
    click.echo(
        f'vm {vm_status["vm"]:14} config {vm_status["config_version"]} '
        f'list {vm_status["list_version"]}{note} '
        f'requests {vm_status["requests"]} peers: {peers}'
    )
    for reason in vm_status['refusals']:
        click.echo(f'  refused a document: {reason}')


def _show_engine(engine: dict[str, Any]) -> None:
    state = 'cold' if engine['is_cold'] else 'warm'
    if not engine['is_reachable']:
        state = 'unreachable'
    click.echo(
        f'engine {engine["endpoint_id"]:14} {state:11} '
        f'{engine["free_tokens"]} free, {engine["streams"]} streams, '
        f'{engine["waiting"]} waiting'
    )


@click.command(
    epilog='Example: galenaquayctl explain question --tokens 2000 '
    '--account trust-1'
)
@click.argument('route')
@click.option('--tokens', type=click.IntRange(min=1), default=1000)
@click.option('--account', default='')
@_ENTRY_OPTION
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def explain(
    route: str,
    tokens: int,
    account: str,
    entries: tuple[str, ...],
    as_json: bool,
) -> None:
    """Shows which endpoints would take a request, and why not the others.

    Exits with 1 if none would, and with 3 if the entry does not answer.
    """
    params = {'route': route, 'tokens': str(tokens), 'account': account}
    explanations = _run(_read_explanation(entries[0], params))
    if as_json:
        click.echo(orjson.dumps(explanations).decode())
    else:
        for explanation in sorted(explanations, key=_sort_key):
            place = (
                f'{explanation["place"]:3}.'
                if explanation['place']
                else '  no'
            )
            reasons = '; '.join(explanation['reasons']) or 'may take it'
            click.echo(f'{place} {explanation["endpoint_id"]:16} {reasons}')
    if not any(explanation['place'] for explanation in explanations):
        sys.exit(exits.Exit.NEGATIVE)


async def _read_explanation(entry: str, params: dict[str, str]) -> Any:
    async with clients.session() as http_session:
        url = f'{entry}/operator/explain'
        return await clients.get_json(http_session, url, params)


def _sort_key(explanation: dict[str, Any]) -> tuple[bool, int, str]:
    return (
        explanation['place'] == 0,
        explanation['place'],
        explanation['endpoint_id'],
    )
