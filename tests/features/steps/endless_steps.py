"""Steps about servers whose responses have no end."""

import asyncio
import contextlib

from behave import given
from behave import then
from behave import when

from galenaquay.adapters import engine_http
from galenaquay.adapters import service_http
from galenaquay import codes
from galenaquay.engines import directory
from galenaquay.ports import reservations
from galenaquay.ports import services
from galenaquay_platform import orders
from tests import platform_asking

PORT_OFFSET = 90
BYTES_PER_MB = 1_000_000
FILLER = b'a' * 65536
HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n'


@given('a server whose responses have no end')
def step_endless_server(context):
    context.sent_bytes = 0

    async def serve(reader, writer):
        with contextlib.suppress(OSError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(HEAD)
            while True:
                context.sent_bytes += len(FILLER)
                writer.write(FILLER)
                await writer.drain()
                await asyncio.sleep(0)

    port = platform_asking.fixture(context).port(PORT_OFFSET)
    context.server_port = port
    server = platform_asking.run(
        context, asyncio.start_server(serve, '127.0.0.1', port)
    )
    context.add_cleanup(server.close)


async def call_reservations(port):
    client = orders.HttpReservations()
    endpoint = directory.Endpoint(
        'e', 's', '127.0.0.1', port, 'ba', 1, directory.EndpointState.READY
    )
    try:
        use = await client.find_use(endpoint, 'r')
    finally:
        await client.close()
    return use is reservations.Use.UNKNOWN


async def call_engine(port):
    client = engine_http.HttpEngines()
    try:
        report = await client.load(f'http://127.0.0.1:{port}')
    finally:
        await client.close()
    return isinstance(report, codes.Failure)


async def call_service(port):
    client = service_http.HttpServices()
    call = services.ServiceCall('GET', '/x', b'', 'text/plain', 'key', '')
    try:
        async with asyncio.timeout(3.0):
            response = await client.call(f'http://127.0.0.1:{port}', call)
    finally:
        await client.close()
    return isinstance(response, codes.Failure)


CALLS_BY_CLIENT = {
    'the client of reservations': call_reservations,
    'the client of engine reports': call_engine,
    'the client of services': call_service,
}


@when('{client} calls the server')
def step_call(context, client):
    call = CALLS_BY_CLIENT[client]
    context.has_failed = platform_asking.run(
        context, call(context.server_port)
    )


@then('the call fails and the server sent at most {megabytes:d} MB')
def step_given_up(context, megabytes):
    platform_asking.run(context, asyncio.sleep(0.2))
    assert context.has_failed
    assert context.sent_bytes <= megabytes * BYTES_PER_MB, context.sent_bytes
