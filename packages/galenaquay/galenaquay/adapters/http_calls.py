"""HTTP/1.1 calls, each on a connection of its own.

The peer may be faulty: a call holds a bounded amount of memory, a reset never
looks like the end of a response, and nothing is sent twice.
"""

import asyncio
from collections.abc import Sequence
import dataclasses

import h11

from . import endpoint_connections
from . import http_responses


@dataclasses.dataclass(frozen=True)
class Address:
    """Where a call goes, and how long opening the connection may take."""

    host: str
    port: int
    connect_timeout_s: float


@dataclasses.dataclass(frozen=True)
class Call:
    """A request with its whole body."""

    method: str
    target: str
    headers: Sequence[tuple[str, str]]
    body: bytes = b''


@dataclasses.dataclass(frozen=True)
class Answer:
    """A whole response."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    def headers_by_name(self) -> dict[str, str]:
        """Returns the headers by name in lower case."""
        return {name.lower(): value for name, value in self.headers}


class OpenResponse:
    """A response whose head has arrived."""

    status: int
    headers: list[tuple[str, str]]

    def __init__(
        self,
        response: h11.Response,
        parser: h11.Connection,
        connection: endpoint_connections.EndpointConnection,
    ) -> None:
        self.status = response.status_code
        self.headers = [
            (name.decode('latin-1'), value.decode('latin-1'))
            for name, value in response.headers.raw_items()
        ]
        self._parser = parser
        self._connection = connection

    async def read_answer(self, max_bytes: int) -> Answer:
        """Returns the response with its body.

        Args:
            max_bytes: Largest size of the body, in bytes.

        Raises:
            exchange.ExchangeBrokenError: The body is larger or truncated.
        """
        body = await http_responses.read_body(
            self._parser, self._connection.reader, max_bytes
        )
        return Answer(self.status, self.headers, body)

    def close(self) -> None:
        """Closes the connection, whatever is still to come."""
        self._connection.abort()


async def start(
    address: Address, call: Call, timeout_s: float
) -> OpenResponse:
    """Sends a call and reads the head of the response.

    Args:
        address: Where the call goes.
        call: The call.
        timeout_s: Time for which a peer that reads slowly is sent the call,
            in seconds. The caller ends a call that takes too long.

    Returns:
        The response, which the caller closes.

    Raises:
        OSError: The connection cannot be opened in time.
        h11.LocalProtocolError: The call is no request in the protocol.
        exchange.ExchangeBrokenError: No response arrived.
    """
    async with asyncio.timeout(address.connect_timeout_s):
        connection = await endpoint_connections.connect(
            address.host, address.port
        )
    try:
        parser = http_responses.make_parser()
        head = _format_head(parser, address, call)
        connection.send(head, call.body, timeout_s)
        response = await http_responses.read_head(parser, connection.reader)
    except BaseException:
        connection.abort()
        raise
    return OpenResponse(response, parser, connection)


def _format_head(
    parser: h11.Connection, address: Address, call: Call
) -> bytes:
    headers = [
        ('Host', f'{address.host}:{address.port}'),
        *call.headers,
        ('Connection', 'close'),
    ]
    if call.body or call.method != 'GET':
        headers.append(('Content-Length', str(len(call.body))))
    head = parser.send(
        h11.Request(method=call.method, target=call.target, headers=headers)
    )
    if call.body:
        parser.send_with_data_passthrough(h11.Data(data=call.body))
    parser.send(h11.EndOfMessage())
    return head or b''


async def call_at(
    address: Address, call: Call, max_bytes: int, timeout_s: float
) -> Answer:
    """Makes a call and reads the whole response.

    Args:
        address: Where the call goes.
        call: The call.
        max_bytes: Largest size of the body of the response, in bytes.
        timeout_s: As in `start`, which also lists the errors.
    """
    response = await start(address, call, timeout_s)
    try:
        return await response.read_answer(max_bytes)
    finally:
        response.close()
