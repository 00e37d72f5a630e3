"""Splits a byte stream into server-sent events and reads the event ids."""

import dataclasses
from typing import Final

# Maximum size of an incomplete event, in bytes. A stream is aborted if more
# bytes arrive without the end of the event.
MAX_EVENT_BYTES: Final = 256 * 1024
_EVENT_ENDS: Final = (b'\n\n', b'\r\n\r\n')
_ID_FIELD: Final = b'id:'


class EventTooLongError(Exception):
    """An incomplete event is larger than MAX_EVENT_BYTES."""


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

    def feed(self, data: bytes) -> list[Event]:
        """Adds received bytes and returns the events that are complete.

        Raises:
            EventTooLongError: The incomplete event at the end is too large.
        """
        buffer = self._buffer + data
        events: list[Event] = []
        while (end := _find_event_end(buffer)) > 0:
            events.append(Event(buffer[:end], _parse_id(buffer[:end])))
            buffer = buffer[end:]
        if len(buffer) > MAX_EVENT_BYTES:
            raise EventTooLongError
        self._buffer = buffer
        return events

    def leftover(self) -> bytes:
        """Returns the buffered bytes of the incomplete event, if any."""
        return self._buffer


def _find_event_end(data: bytes) -> int:
    ends = [
        position + len(end)
        for end in _EVENT_ENDS
        if (position := data.find(end)) >= 0
    ]
    return min(ends, default=0)


def _parse_id(event: bytes) -> str | None:
    for line in event.splitlines():
        if line.startswith(_ID_FIELD):
            value = line[len(_ID_FIELD) :].strip()
            return value.decode('utf-8', 'replace')
    return None
