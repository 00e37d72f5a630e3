"""Relays the events of one stream to a caller, each event once, in order."""

import asyncio

from . import event_cutter
from ..ports import exchange


class EventRelay:
    """Sends a stream to a caller across several attempts.

    After a failed attempt, another endpoint may repeat events that the caller
    has already received. The relay drops such duplicates if the event ids are
    decimal numbers; events with other ids, or without any, are all sent.
    """

    # Id of the last event that the caller has received; None if the caller has
    # received no event with an id.
    last_event_id: str | None
    # Longest time between two consecutive events, in seconds.
    longest_gap_s: float

    def __init__(
        self, writer: exchange.ResponseWriter, last_event_id: str | None
    ) -> None:
        self.last_event_id = last_event_id
        self.longest_gap_s = 0.0
        self._writer = writer
        self._last_number: int | None = None
        self._event_at_s: float | None = None

    async def pass_on(
        self, head: exchange.Head, event: event_cutter.Event
    ) -> None:
        """Sends an event unless the caller has already received the event.

        Raises:
            exchange.ExchangeBrokenError: The event's number does not follow
                the number of the previous event, so an event is missing.
        """
        number = event.number
        if number is not None and self._last_number is not None:
            if number <= self._last_number:
                return
            if number > self._last_number + 1:
                raise exchange.ExchangeBrokenError('an event is missing')
        if not self._writer.is_started:
            await self._writer.start(head)
        await self._writer.write(event.data)
        self._update_longest_gap()
        if event.id is not None:
            self.last_event_id = event.id
            self._last_number = number

    def _update_longest_gap(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if self._event_at_s is not None:
            gap_s = now_s - self._event_at_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self._event_at_s = now_s
