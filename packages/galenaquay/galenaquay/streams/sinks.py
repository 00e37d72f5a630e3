"""Sinks for the events of a completion: a caller's stream, or a buffer."""

import asyncio
from typing import Final

from aiohttp import web

from ..ports import callers

# High-water mark of a response's write buffer, in bytes. While the buffer
# holds more, this process does not read from the engine.
WRITE_BUFFER_BYTES: Final = 16 * 1024


class StreamSink:
    """Streams events to a caller through a bounded write buffer."""

    # Whether the response headers have been sent, which fixes the status.
    is_started: bool

    def __init__(
        self,
        request: web.Request,
        headers: dict[str, str],
        pause_s: float,
    ) -> None:
        self.is_started = False
        # Task that waits until a caller that has stopped reading reads again.
        self._drain_task: asyncio.Task[None] | None = None
        self.response = web.StreamResponse(headers=headers)
        self.response.content_type = 'text/event-stream'
        self._request = request
        self._protocol = request.protocol
        self._pause_s = pause_s

    def held_bytes(self) -> int:
        """Returns the size of the write buffer's content, in bytes."""
        transport = self._request.transport
        if not self.is_started or transport is None:
            return 0
        return transport.get_write_buffer_size()

    async def _start(self) -> None:
        self.is_started = True
        await self.response.prepare(self._request)
        if self._request.transport is not None:
            self._request.transport.set_write_buffer_limits(
                high=WRITE_BUFFER_BYTES
            )

    async def write(self, data: bytes) -> bool:
        """Sends events.

        Returns:
            Whether the caller is reading. False if the write buffer exceeds
            the high-water mark and is not drained within `pause_s` seconds.

        Raises:
            callers.CallerDisconnectedError: The caller disconnected.
        """
        try:
            if not self.is_started:
                await self._start()
            await self.response.write(data)
            if not self._protocol.writing_paused:
                return True
        except ConnectionError as exc:
            raise callers.CallerDisconnectedError from exc
        # The drain task is never cancelled: the connection has only one future
        # for waiting until the buffer drains, and a cancelled future would end
        # the next wait as well.
        self._drain_task = asyncio.create_task(self.response.drain())
        # The task's exception may stay unread, because the request handler
        # detects by itself that the caller has disconnected.
        self._drain_task.add_done_callback(_consume_exception)
        await asyncio.wait([self._drain_task], timeout=self._pause_s)
        if not self._drain_task.done():
            return False
        await self.drain()
        return True

    async def drain(self) -> None:
        """Waits until the caller reads again.

        Raises:
            callers.CallerDisconnectedError: The caller disconnected.
        """
        if self._drain_task is None:
            return
        try:
            await asyncio.shield(self._drain_task)
        except ConnectionError as exc:
            raise callers.CallerDisconnectedError from exc
        self._drain_task = None

    async def end(self, data: bytes) -> None:
        """Sends the last bytes and ends the response.

        Raises:
            callers.CallerDisconnectedError: The caller disconnected.
        """
        await self.write(data)
        try:
            await self.response.write_eof()
        except ConnectionError as exc:
            raise callers.CallerDisconnectedError from exc


def _consume_exception(task: asyncio.Task[None]) -> None:
    if not task.cancelled():
        task.exception()


class CollectSink:
    """Buffers a completion for a caller that did not request a stream."""

    def __init__(self) -> None:
        self.data = bytearray()

    async def write(self, data: bytes) -> bool:
        """Adds events to the buffer."""
        self.data += data
        return True

    async def drain(self) -> None:
        """Returns at once, since the buffer always accepts events."""
        return
