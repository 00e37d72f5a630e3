"""Asks an endpoint over HTTP which run of it listens at its address."""

import asyncio
from typing import Final, Protocol

import h11

from ..engines import directory
from ..ports import exchange

# Timeout for a whole check, in seconds. Engines answer within some
# milliseconds; a slower one is cut off or frozen.
CHECK_TIMEOUT_S: Final = 1.0
# Timeout for connecting, in seconds; lost connection requests are sent again.
CONNECT_TIMEOUT_S: Final = 0.25
# Pause after a connection that ended without an answer, in seconds. The
# listener of a process that is being killed may outlive its connections.
RETRY_PAUSE_S: Final = 0.02
# Largest size of the head and of the body of an answer, in bytes.
MAX_HEAD_BYTES: Final = 64 * 1024
MAX_BODY_BYTES: Final = 1024 * 1024
READ_BYTES: Final = 32 * 1024


class RunCodec(Protocol):
    """Encodes the check of an endpoint's run and decodes the answer."""

    def encode(
        self, endpoint: directory.Endpoint
    ) -> tuple[str, list[tuple[str, str]]]:
        """Returns the target and the headers of a GET request."""
        ...

    def decode(
        self,
        endpoint: directory.Endpoint,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> exchange.RunState:
        """Returns what an answer shows of an endpoint's run."""
        ...


class _NoAnswerError(Exception):
    """A connection ended without a whole answer."""


class RunChecker:
    """Checks whether the known run of an endpoint is still running."""

    def __init__(self, codec: RunCodec) -> None:
        self._codec = codec

    async def find_run(
        self, endpoint: directory.Endpoint
    ) -> exchange.RunState:
        """Returns whether an endpoint's own run answers at its address.

        A new connection proves nothing: a process that is being killed accepts
        connections until its listener closes, and another process may use the
        address. The state is unknown if nothing answers and no connection is
        refused within CHECK_TIMEOUT_S, as the endpoint may be cut off or
        frozen.
        """
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                while True:
                    try:
                        return await self._ask(endpoint)
                    except ConnectionRefusedError:
                        return exchange.RunState.ENDED
                    except (OSError, _NoAnswerError, h11.RemoteProtocolError):
                        await asyncio.sleep(RETRY_PAUSE_S)
        except TimeoutError:
            return exchange.RunState.UNKNOWN

    async def _ask(self, endpoint: directory.Endpoint) -> exchange.RunState:
        target, headers = self._codec.encode(endpoint)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                endpoint.host, endpoint.port
            )
        try:
            parser = h11.Connection(
                h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
            )
            data = parser.send(
                h11.Request(method='GET', target=target, headers=headers)
            )
            end = parser.send(h11.EndOfMessage())
            writer.write((data or b'') + (end or b''))
            return await self._read_answer(endpoint, parser, reader)
        finally:
            writer.transport.abort()

    async def _read_answer(
        self,
        endpoint: directory.Endpoint,
        parser: h11.Connection,
        reader: asyncio.StreamReader,
    ) -> exchange.RunState:
        response: h11.Response | None = None
        body = b''
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                response = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    return exchange.RunState.UNKNOWN
            elif isinstance(event, h11.EndOfMessage) and response is not None:
                return self._codec.decode(
                    endpoint,
                    response.status_code,
                    [
                        (name.decode('latin-1'), value.decode('latin-1'))
                        for name, value in response.headers.raw_items()
                    ],
                    body,
                )
            elif not isinstance(event, h11.InformationalResponse):
                raise _NoAnswerError
