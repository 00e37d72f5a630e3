"""Splits an engine's event stream and checks which request it belongs to.

Only the `id:` line that the engine puts before each server-sent event is
parsed. The data of the events is passed to the caller unchanged.
"""

from typing import Final

import orjson

from .. import codes
from .. import ids
from ..ports import engine as engine_port

_END_OF_EVENT: Final = b'\n\n'
# Maximum size of an engine's incomplete event, in bytes. More bytes without
# the end of the event are a failure.
MAX_EVENT_BYTES: Final = 64 * 1024


class EventSplitter:
    """Splits the stream of one attempt into chunks of complete events.

    Checks that each event belongs to the attempt and continues at the token
    offset at which the previous event ended.
    """

    # Token offset that the next event must have.
    next_offset: int
    # Whether the last event of the stream has been received.
    is_ended: bool

    def __init__(
        self, request_id: ids.RequestId, attempt: int, next_offset: int
    ) -> None:
        self.next_offset = next_offset
        self.is_ended = False
        self._prefix = f'id: {request_id}/{attempt}/'.encode()
        self._buffer = b''

    def feed(self, data: bytes) -> engine_port.Chunk | codes.Failure | None:
        """Adds received bytes and returns the events that are complete.

        Returns:
            The complete events, None if no event is complete yet, or a failure
            if an incomplete event is too large, or an event is out of order or
            of another attempt.
        """
        if self._buffer:
            data = self._buffer + data
            self._buffer = b''
        if not data.endswith(_END_OF_EVENT):
            split_at = data.rfind(_END_OF_EVENT) + len(_END_OF_EVENT)
            if split_at < len(_END_OF_EVENT):
                return self._buffer_incomplete(data)
            self._buffer = data[split_at:]
            data = data[:split_at]
        return self._split(data)

    def _buffer_incomplete(self, data: bytes) -> codes.Failure | None:
        """Buffers an incomplete event, or fails if the event is too large."""
        self._buffer = data
        if len(data) <= MAX_EVENT_BYTES:
            return None
        return codes.failure(codes.Code.ENGINE_BROKE, 'an event is too long')

    def _split(self, data: bytes) -> engine_port.Chunk | codes.Failure:
        start_offset = self.next_offset
        parts: list[bytes] = []
        prefix = self._prefix
        position = 0
        end = len(data)
        # Only the id lines are parsed and removed; the other bytes are copied.
        while position < end:
            if not data.startswith(prefix, position):
                return codes.failure(codes.Code.WRONG_ANSWER)
            end_of_id = data.find(b'\n', position)
            numbers = data[position + len(prefix) : end_of_id].split(b'/')
            offset, count = int(numbers[0]), int(numbers[1])
            if offset != self.next_offset:
                return codes.failure(
                    codes.Code.ENGINE_BROKE,
                    f'offset {offset} in place of {self.next_offset}',
                )
            self.next_offset = offset + count
            self.is_ended = count == 0
            position = data.find(_END_OF_EVENT, end_of_id) + 2
            parts.append(data[end_of_id + 1 : position])
        return engine_port.Chunk(
            parts[0] if len(parts) == 1 else b''.join(parts),
            self.next_offset - start_offset,
            self.is_ended,
        )


def extract_text(data: bytes) -> str:
    """Returns the text in the events of a text or chat completion."""
    texts: list[str] = []
    for event in data.split(_END_OF_EVENT):
        if not event.startswith(b'data: {'):
            continue
        choice = orjson.loads(event[len(b'data: ') :])['choices'][0]
        texts.append(choice.get('text') or _delta_text(choice))
    return ''.join(texts)


def _delta_text(choice: dict[str, dict[str, str]]) -> str:
    return choice.get('delta', {}).get('content', '')


def extract_usage(data: bytes) -> dict[str, int]:
    """Returns the usage in the last event that has one, or an empty dict."""
    for event in reversed(data.split(_END_OF_EVENT)):
        if event.startswith(b'data: {') and b'"usage"' in event:
            usage: dict[str, int] = orjson.loads(event[len(b'data: ') :])[
                'usage'
            ]
            return usage
    return {}
