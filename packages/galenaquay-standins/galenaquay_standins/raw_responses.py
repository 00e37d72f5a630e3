"""Raw bytes that the stand-in of the users' engines writes."""

import asyncio
from collections.abc import Iterable
import socket
import struct
from typing import Final

from . import engine_faults

HEAD_END: Final = b'\r\n\r\n'
# Pause between two bytes of `Fault.SLOW_ENDLESS_EVENT`, in seconds.
SLOW_BYTE_INTERVAL_S: Final = 0.1
# Pause of `send_unread`, in seconds.
UNREAD_PAUSE_S: Final = 0.02


def rejection(status: str, attempt_id: str, *extra: str) -> bytes:
    """Returns a response that says that a request was not executed.

    Args:
        status: The status code and its text.
        attempt_id: The id that the response repeats; empty for none.
        extra: Further header lines.
    """
    lines = [f'HTTP/1.1 {status}', 'X-Not-Executed: 1', 'Content-Length: 0']
    lines += extra
    if attempt_id:
        lines.append(f'X-Attempt-Id: {attempt_id}')
    return '\r\n'.join(lines).encode() + HEAD_END


STALE_RESPONSES: Final = {
    engine_faults.Fault.STALE_REJECTION: rejection('503 Busy', 'earlier'),
    engine_faults.Fault.STALE_MISDIRECTION: rejection(
        '421 Misdirected', 'earlier'
    ),
    engine_faults.Fault.ANONYMOUS_REJECTION: rejection('503 Busy', ''),
}


def endless_parts(
    fault: engine_faults.Fault, head: bytes, stream_head: bytes
) -> tuple[bytes, bytes]:
    """Returns the start of a response without end and what follows it.

    Args:
        fault: One of `engine_faults.ENDLESS_FAULTS`.
        head: The head of a response that is no stream.
        stream_head: The head of a stream.

    Returns:
        The first bytes, and the bytes that are sent again and again.
    """
    return {
        engine_faults.Fault.ENDLESS_HEADER: (
            b'HTTP/1.1 200 OK\r\nX: ',
            b'a' * 4096,
        ),
        engine_faults.Fault.ENDLESS_INFORMATIONAL: (
            b'',
            b'HTTP/1.1 103 Early Hints\r\n\r\n' * 100,
        ),
        engine_faults.Fault.ENDLESS_BODY: (head, b'a' * 4096),
        engine_faults.Fault.ENDLESS_EVENT: (stream_head, b'a' * 4096),
        engine_faults.Fault.SLOW_ENDLESS_EVENT: (stream_head, b'a'),
    }[fault]


def json_response(status: int, body: bytes, lines: Iterable[str]) -> bytes:
    """Returns a response with a JSON body and further header lines."""
    head = [
        f'HTTP/1.1 {status} OK',
        'Content-Type: application/json',
        f'Content-Length: {len(body)}',
        *lines,
    ]
    return '\r\n'.join(head).encode() + HEAD_END + body


def chunk(data: bytes) -> bytes:
    """Returns data as one chunk of a chunked body."""
    return b'%x\r\n%s\r\n' % (len(data), data)


async def send_unread(writer: asyncio.StreamWriter, data: bytes) -> bool:
    """Sends data, then reads nothing until the peer's buffers are full.

    Returns:
        False, as the connection is not kept.
    """
    transport = writer.transport
    assert isinstance(transport, asyncio.Transport)
    transport.pause_reading()
    writer.write(data)
    await asyncio.sleep(UNREAD_PAUSE_S)
    return False


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset.

    A linger time of 0 makes the kernel send RST instead of FIN.
    """
    sock = writer.get_extra_info('socket')
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()
