"""Cuts a stream of server-sent events into whole events, with their ids."""

import dataclasses
from typing import Final

# An event longer than this is not passed on, in bytes.
MAX_EVENT_BYTES: Final = 256 * 1024
_ENDS: Final = (b'\n\n', b'\r\n\r\n')
_ID_FIELD: Final = b'id:'


class EventTooLongError(Exception):
    """An event has not ended within the bytes that one may have."""


@dataclasses.dataclass(frozen=True)
class Event:
    """One whole event as it came."""

    data: bytes
    # None if it has no id.
    id: str | None

    @property
    def number(self) -> int | None:
        """The id as a number, None if it is none."""
        if self.id is None or not self.id.isdecimal():
            return None
        return int(self.id)


class EventCutter:
    """Holds the beginning of an event until the rest has come."""

    def __init__(self) -> None:
        self._rest = b''

    def feed(self, data: bytes) -> list[Event]:
        """Takes bytes in and returns the events that are whole by now."""
        rest = self._rest + data
        events: list[Event] = []
        while (end := _end_of_event(rest)) > 0:
            events.append(Event(rest[:end], _id_of(rest[:end])))
            rest = rest[end:]
        if len(rest) > MAX_EVENT_BYTES:
            raise EventTooLongError
        self._rest = rest
        return events

    def leftover(self) -> bytes:
        """Returns bytes that end no event."""
        return self._rest


def _end_of_event(data: bytes) -> int:
    ends = [
        position + len(end)
        for end in _ENDS
        if (position := data.find(end)) >= 0
    ]
    return min(ends, default=0)


def _id_of(event: bytes) -> str | None:
    for line in event.splitlines():
        if line.startswith(_ID_FIELD):
            value = line[len(_ID_FIELD) :].strip()
            return value.decode('utf-8', 'replace')
    return None
