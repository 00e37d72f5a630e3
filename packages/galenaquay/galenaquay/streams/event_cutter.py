"""Splits a byte stream into server-sent events and reads the event ids."""

import dataclasses
import re
from typing import Final

# Maximum size of an event, in bytes. A stream with a larger event is aborted,
# also before the end of the event has arrived.
MAX_EVENT_BYTES: Final = 256 * 1024
# The blank line that ends an event.
_EVENT_END: Final = re.compile(rb'\n\n|\r\n\r\n')
# Length of the longest such line with the line end before it, in bytes.
_MAX_END_BYTES: Final = 4
_ID_FIELD: Final = b'id:'


class EventTooLongError(Exception):
    """An event is larger than MAX_EVENT_BYTES."""


@dataclasses.dataclass(frozen=True)
class Event:
    """One complete server-sent event."""

    # The bytes of the event as received, including the blank line at the end.
    data: bytes
    # Value of the event's `id` field; None if the event has no such field.
    id: str | None

    @property
    def number(self) -> int | None:
        """The id as an integer; None unless the id is a decimal number."""
        if self.id is None or not self.id.isdecimal():
            return None
        return int(self.id)


class EventCutter:
    """Splits received bytes into events; buffers an incomplete event."""

    def __init__(self) -> None:
        self._buffer = b''
        # Position in the buffer before which no event ends.
        self._searched = 0

    def feed(self, data: bytes) -> list[Event]:
        """Adds received bytes and returns the events that are complete.

        Raises:
            EventTooLongError: An event is too large, complete or not.
        """
        buffer = self._buffer + data
        events: list[Event] = []
        start = 0
        for end in _EVENT_END.finditer(buffer, self._searched):
            event = buffer[start : end.end()]
            start = end.end()
            if len(event) > MAX_EVENT_BYTES:
                raise EventTooLongError
            events.append(Event(event, _parse_id(event)))
        if len(buffer) - start > MAX_EVENT_BYTES:
            raise EventTooLongError
        self._buffer = buffer[start:]
        self._searched = max(0, len(self._buffer) - _MAX_END_BYTES + 1)
        return events

    def leftover(self) -> bytes:
        """Returns the buffered bytes of the incomplete event, if any."""
        return self._buffer


def _parse_id(event: bytes) -> str | None:
    for line in event.splitlines():
        if line.startswith(_ID_FIELD):
            value = line[len(_ID_FIELD) :].strip()
            return value.decode('utf-8', 'replace')
    return None
