"""Connections of a stand-in that reads request bodies late or never."""

import asyncio
import ctypes
import select
import socket
import struct
from typing import Final

# Linux's number of the socket option that attaches a packet filter.
_SO_ATTACH_FILTER: Final = 26
# A packet filter of one instruction, which drops each packet.
_DROP_ALL: Final = struct.pack('HBBI', 6, 0, 0, 0)
# Interval between checks whether the client has ended the connection, in
# seconds.
_CHECK_INTERVAL_S: Final = 0.02


def open_listener(
    port: int, receive_buffer_bytes: int, segment_bytes: int
) -> socket.socket:
    """Returns a socket for a server on the loopback interface.

    Args:
        port: The port.
        receive_buffer_bytes: Size of the connections' receive buffers; 0 for
            the size that the system chooses.
        segment_bytes: Largest size of a segment; 0 as above.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if receive_buffer_bytes:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
        )
    if segment_bytes:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes)
    sock.bind(('127.0.0.1', port))
    return sock


def drop_packets(writer: asyncio.StreamWriter) -> None:
    """Drops each packet to a connection, like a machine without power."""
    program = ctypes.create_string_buffer(_DROP_ALL)
    writer.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET,
        _SO_ATTACH_FILTER,
        struct.pack('HP', 1, ctypes.addressof(program)),
    )


async def read_body(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    size: int,
    pause_s: float,
) -> bytes:
    """Reads a body after a pause; returns less if the connection ends."""
    transport = writer.transport
    assert isinstance(transport, asyncio.ReadTransport)
    transport.pause_reading()
    await asyncio.sleep(pause_s)
    transport.resume_reading()
    try:
        return await reader.readexactly(size)
    except asyncio.IncompleteReadError as exc:
        return exc.partial
    except OSError:
        return b''


async def wait_hang_up(writer: asyncio.StreamWriter) -> None:
    """Waits until the client ends the connection, without reading."""
    transport = writer.transport
    assert isinstance(transport, asyncio.ReadTransport)
    transport.pause_reading()
    poll = select.poll()
    sock = writer.get_extra_info('socket')
    poll.register(sock.fileno(), select.POLLRDHUP)
    while not poll.poll(0):
        await asyncio.sleep(_CHECK_INTERVAL_S)


async def fall_silent(
    writer: asyncio.StreamWriter, dies_after_s: float | None
) -> None:
    """Sends nothing until the client ends the connection.

    Args:
        writer: The connection.
        dies_after_s: Time after which nothing is acknowledged either, in
            seconds; None if the engine goes on acknowledging.
    """
    if dies_after_s is not None:
        await asyncio.sleep(dies_after_s)
        drop_packets(writer)
    await wait_hang_up(writer)
