"""Reads the body of an endpoint's response and judges its end."""

from collections.abc import AsyncIterator
from typing import Final

from .. import ids
from ..engines import directory
from ..ports import exchange
from . import response_ends

# Maximum size of a response that is not a stream, in bytes. Such a response is
# kept in memory until it is complete.
MAX_WHOLE_RESPONSE_BYTES: Final = 4 * 1024 * 1024


class ResponseBody:
    """The body of the response to one attempt."""

    # What a check at the end has shown; None without a check.
    run_state: exchange.RunState | None

    def __init__(
        self,
        response: exchange.Response,
        endpoint: directory.Endpoint,
        request_id: ids.RequestId,
        ends: response_ends.ResponseEnds,
    ) -> None:
        self.run_state = None
        self._response = response
        self._endpoint = endpoint
        self._request_id = request_id
        self._ends = ends
        # When the last data arrived, on the clock of `ResponseEnds`.
        self._last_data_s = ends.now_s()

    async def data(self) -> AsyncIterator[bytes]:
        """Yields the body; raises ExchangeBrokenError if it is broken."""
        try:
            async for data in self._response.body():
                self._last_data_s = self._ends.now_s()
                yield data
        except exchange.ExchangeBrokenError:
            self._ends.record_broken(self._endpoint)
            raise

    async def read_whole(self) -> bytes:
        """Returns the whole body.

        Raises:
            exchange.ExchangeBrokenError: The body is too large or broken, or
                it is not shown to be complete.
        """
        body = bytearray()
        async for data in self.data():
            body += data
            if len(body) > MAX_WHOLE_RESPONSE_BYTES:
                raise exchange.ExchangeBrokenError('the body is too large')
        await self.check_end()
        return bytes(body)

    async def check_end(self, *, is_inside_event: bool = False) -> None:
        """Checks that a body which has ended is complete.

        A body without framing may have ended with its endpoint.

        Args:
            is_inside_event: Whether the body ended inside an event.

        Raises:
            exchange.ExchangeBrokenError: It is not shown that the endpoint
                has sent the whole body.
        """
        if is_inside_event:
            self._ends.record_broken(self._endpoint)
            raise exchange.ExchangeBrokenError('ended inside an event')
        if self._response.head.is_framed:
            return
        verdict = await self._ends.judge(
            self._endpoint, self._request_id, self._last_data_s
        )
        self.run_state = verdict.run_state
        if not verdict.is_complete:
            raise exchange.ExchangeBrokenError(
                f'closed without framing, run {verdict.run_state.value}'
            )
