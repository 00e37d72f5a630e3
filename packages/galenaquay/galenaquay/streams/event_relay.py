"""Passes a stream's events on to one caller, each once and in order."""

import asyncio

from . import event_cutter
from ..ports import exchange


class EventRelay:
    """What a caller has received of a stream, over all attempts."""

    # Last event that the caller has; None if it has none.
    last_event_id: str | None
    # Longest time between two events, in seconds.
    longest_gap_s: float

    def __init__(
        self, reply: exchange.Reply, last_event_id: str | None
    ) -> None:
        self.last_event_id = last_event_id
        self.longest_gap_s = 0.0
        self._reply = reply
        self._last_number: int | None = None
        self._event_at_s: float | None = None

    async def pass_on(
        self, head: exchange.Head, event: event_cutter.Event
    ) -> None:
        """Sends an event unless the caller already has it.

        Raises:
            exchange.ExchangeBrokenError: one before it is missing.
        """
        number = event.number
        if number is not None and self._last_number is not None:
            if number <= self._last_number:
                return
            if number > self._last_number + 1:
                raise exchange.ExchangeBrokenError('an event is missing')
        if not self._reply.is_started:
            await self._reply.start(head)
        await self._reply.write(event.data)
        self._note_time()
        if event.id is not None:
            self.last_event_id = event.id
            self._last_number = number

    def _note_time(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if self._event_at_s is not None:
            gap_s = now_s - self._event_at_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self._event_at_s = now_s
