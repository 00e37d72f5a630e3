"""Sets a label of a zone or an endpoint at the platform stand-in.

With a real platform, operators use the tool of the platform instead. This
script reads the published configuration, changes one label and publishes the
configuration with the next version.
"""

import asyncio
from typing import Any

import aiohttp
import click
import orjson


async def publish(
    platform: str, kind: str, name: str, key: str, value: str
) -> int:
    """Changes a label; returns the version of the published configuration."""
    async with aiohttp.ClientSession() as session:
        async with session.get(f'{platform}/v1/config') as response:
            config: dict[str, Any] = orjson.loads(await response.read())
        section, field = ('zones', 'name')
        if kind == 'endpoint':
            section, field = ('endpoints', 'id')
        matches = [item for item in config[section] if item[field] == name]
        if not matches:
            raise click.ClickException(
                f'the configuration has no {kind} {name}'
            )
        labels = matches[0].setdefault('labels', {})
        labels[key] = value
        if not value:
            del labels[key]
        config['version'] += 1
        async with session.put(
            f'{platform}/standin/config', data=orjson.dumps(config)
        ) as response:
            response.raise_for_status()
        return int(config['version'])


@click.command(epilog='Example: tools/label.py zone nadi state=withdrawn')
@click.argument('kind', type=click.Choice(['zone', 'endpoint']))
@click.argument('name')
@click.argument('label')
@click.option('--platform', default='http://127.0.0.1:21000')
def main(kind: str, name: str, label: str, platform: str) -> None:
    """Sets a label; `key=` without a value removes the label."""
    key, _, value = label.partition('=')
    version = asyncio.run(publish(platform, kind, name, key, value))
    click.echo(f'published version {version}')


if __name__ == '__main__':
    main()
