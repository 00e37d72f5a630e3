"""Reads HTTP/1.1 responses within limits, whatever bytes arrive."""

import asyncio
from typing import Final

import h11

from ..ports import exchange

# Largest number of bytes per read from a connection.
READ_BYTES: Final = 32 * 1024
# Limit on the status line and headers of a response, in bytes; a response
# beyond it is treated as broken.
MAX_HEAD_BYTES: Final = 64 * 1024
# Maximum number of informational responses (status 1xx) before a response.
MAX_INFORMATIONAL: Final = 16
# Largest status code that HTTP defines a class for.
MAX_STATUS: Final = 599


class BodyTooLargeError(exchange.ExchangeBrokenError):
    """The body of a response is larger than accepted."""


def make_parser() -> h11.Connection:
    """Creates the state of one request and its response."""
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


async def next_event(
    parser: h11.Connection, reader: asyncio.StreamReader
) -> object:
    """Reads the next event; raises ExchangeBrokenError if there is none."""
    try:
        while True:
            event = parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            parser.receive_data(await reader.read(READ_BYTES))
    except (h11.RemoteProtocolError, OSError) as exc:
        raise exchange.ExchangeBrokenError(
            str(exc) or type(exc).__name__
        ) from exc


async def read_head(
    parser: h11.Connection, reader: asyncio.StreamReader
) -> h11.Response:
    """Reads the status and headers of a response.

    Raises:
        exchange.ExchangeBrokenError: What arrives is no response in the
            protocol.
    """
    for _ in range(MAX_INFORMATIONAL + 1):
        event = await next_event(parser, reader)
        if isinstance(event, h11.InformationalResponse):
            continue
        if not isinstance(event, h11.Response):
            raise exchange.ExchangeBrokenError('closed without an answer')
        if event.status_code > MAX_STATUS:
            raise exchange.ExchangeBrokenError(
                f'status {event.status_code} is not defined'
            )
        return event
    raise exchange.ExchangeBrokenError('too many informational responses')


async def read_body(
    parser: h11.Connection, reader: asyncio.StreamReader, max_bytes: int
) -> bytes:
    """Reads the rest of a response whose head has been read.

    Args:
        parser: Has parsed the head.
        reader: Delivers the body.
        max_bytes: Largest size of the body, in bytes.

    Raises:
        BodyTooLargeError: The body is larger.
        exchange.ExchangeBrokenError: The body is truncated.
    """
    body = bytearray()
    while True:
        event = await next_event(parser, reader)
        if isinstance(event, h11.EndOfMessage):
            return bytes(body)
        if not isinstance(event, h11.Data):
            raise exchange.ExchangeBrokenError('the body ended early')
        body += event.data
        if len(body) > max_bytes:
            raise BodyTooLargeError('the body is too large')
