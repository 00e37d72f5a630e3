"""Asks an endpoint over HTTP which run of it listens at its address."""

import asyncio
from typing import Final, Protocol

from ..engines import directory
from . import http_calls
from . import http_responses
from ..ports import exchange

# Timeout for a whole check, in seconds. Engines answer within some
# milliseconds; a slower one is cut off or frozen.
CHECK_TIMEOUT_S: Final = 1.0
# Timeout for connecting, in seconds; lost connection requests are sent again.
CONNECT_TIMEOUT_S: Final = 0.25
# Pause after a connection that ended without an answer, in seconds. The
# listener of a process that is being killed may outlive its connections.
RETRY_PAUSE_S: Final = 0.02
# Largest size of the body of an answer, in bytes.
MAX_BODY_BYTES: Final = 1024 * 1024


class RunCodec(Protocol):
    """Encodes the check of an endpoint's run and decodes the answer."""

    def encode(
        self, endpoint: directory.Endpoint
    ) -> tuple[str, list[tuple[str, str]]]:
        """Returns the target and the headers of a GET request."""
        ...

    def decode(
        self,
        endpoint: directory.Endpoint,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> exchange.RunState:
        """Returns what an answer shows of an endpoint's run."""
        ...


class RunChecker:
    """Checks whether the known run of an endpoint is still running."""

    def __init__(self, codec: RunCodec) -> None:
        self._codec = codec

    async def find_run(
        self, endpoint: directory.Endpoint
    ) -> exchange.RunState:
        """Returns whether an endpoint's own run answers at its address.

        A new connection proves nothing: a process that is being killed accepts
        connections until its listener closes, and another process may use the
        address. The state is unknown if nothing answers and no connection is
        refused within CHECK_TIMEOUT_S, as the endpoint may be cut off or
        frozen.
        """
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                while True:
                    try:
                        return await self._ask(endpoint)
                    except ConnectionRefusedError:
                        return exchange.RunState.ENDED
                    except http_responses.BodyTooLargeError:
                        return exchange.RunState.UNKNOWN
                    except (OSError, exchange.ExchangeBrokenError):
                        await asyncio.sleep(RETRY_PAUSE_S)
        except TimeoutError:
            return exchange.RunState.UNKNOWN

    async def _ask(self, endpoint: directory.Endpoint) -> exchange.RunState:
        target, headers = self._codec.encode(endpoint)
        address = http_calls.Address(
            endpoint.host, endpoint.port, CONNECT_TIMEOUT_S
        )
        answer = await http_calls.call_at(
            address,
            http_calls.Call('GET', target, headers),
            MAX_BODY_BYTES,
            CHECK_TIMEOUT_S,
        )
        return self._codec.decode(
            endpoint, answer.status, answer.headers, answer.body
        )
