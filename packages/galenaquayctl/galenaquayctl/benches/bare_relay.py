"""A minimal HTTP relay with aiohttp: the baseline of `bench relay`.

Forwards the bytes of an engine's response to the client without parsing them.
Runs as a separate process, so that its processor time can be measured
separately.
"""

import asyncio

import aiohttp
from aiohttp import web
import click
import uvloop


async def _relay(request: web.Request) -> web.StreamResponse:
    session: aiohttp.ClientSession = request.app['session']
    response = web.StreamResponse()
    response.content_type = 'text/event-stream'
    async with session.post(
        request.app['engine'] + request.path, data=await request.read()
    ) as engine_response:
        await response.prepare(request)
        async for data in engine_response.content.iter_any():
            await response.write(data)
    return response


async def _build(engine: str) -> web.Application:
    app = web.Application(client_max_size=1 << 24)
    app['engine'] = engine
    app['session'] = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    )
    app.router.add_post('/{path:.*}', _relay)
    return app


@click.command()
@click.option('--engine', required=True)
@click.option('--port', type=int, required=True)
def main(engine: str, port: int) -> None:
    """Relays every request to one engine."""
    asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
    web.run_app(
        _build(engine),
        host='127.0.0.1',
        port=port,
        print=None,
        access_log=None,
    )


if __name__ == '__main__':
    main()
