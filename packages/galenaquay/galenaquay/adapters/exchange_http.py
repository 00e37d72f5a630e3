"""HTTP/1.1 client for endpoints that opens a new connection per request.

Connections are not reused: a reused connection may still deliver the rest of
an earlier response, and the endpoint may close it just as the next request is
sent.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
import functools
import logging
import socket
from typing import Any, Final, Protocol

import h11

from . import body_transfers
from . import endpoint_connections
from ..engines import contact as contact_module
from ..engines import directory
from . import http_responses
from . import peer_liveness
from ..ports import exchange
from . import raw_heads
from . import run_checks

LOG: Final = logging.getLogger(__name__)
# Timeout for connecting to an endpoint, in seconds.
CONNECT_TIMEOUT_S: Final = 0.25


class Codec(Protocol):
    """Encodes and decodes the headers that endpoints use."""

    def encode(
        self, request: exchange.Request, params: exchange.AttemptParams
    ) -> list[tuple[str, str]]:
        """Returns the headers of one attempt of a request."""
        ...

    def decode(
        self,
        request: exchange.Request,
        status: int,
        headers: list[tuple[str, str]],
    ) -> exchange.Head | exchange.SendError:
        """Decodes the status and headers of a response.

        Returns:
            The decoded head, or an error if the endpoint did not run the
            request or the response does not belong to the request.
        """
        ...


def open_socket(info: Any) -> socket.socket:
    """Creates a socket for aiohttp connectors that detects dead peers.

    Args:
        info: An entry of the list that `socket.getaddrinfo` returns.
    """
    family, kind, protocol, _, _ = info
    sock = socket.socket(family, kind, protocol)
    peer_liveness.detect_dead_peer(sock)
    return sock


class HttpResponse:
    """A response whose body is being read."""

    def __init__(
        self,
        head: exchange.Head,
        parser: h11.Connection,
        connection: endpoint_connections.EndpointConnection,
        hand_over: Callable[[], None],
    ) -> None:
        """Creates a response.

        Args:
            head: The status and headers.
            parser: Has parsed the head.
            connection: Delivers the body.
            hand_over: Leaves the connection to the keeper of transfers.
        """
        self.head = head
        self._parser = parser
        self._connection = connection
        self._hand_over = hand_over
        self._is_finished = False

    async def body(self) -> AsyncIterator[bytes]:
        """Yields the body; raises ExchangeBrokenError if it is truncated."""
        while True:
            event = await http_responses.next_event(
                self._parser, self._connection.reader
            )
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise exchange.ExchangeBrokenError('the body ended early')
            yield bytes(event.data)

    def finish(self) -> None:
        """Ends a complete response; the request is still sent to its end."""
        if not self._is_finished:
            self._is_finished = True
            self._hand_over()

    def close(self) -> None:
        """Aborts the connection, which cancels the request at the endpoint.

        Does nothing after `finish`.
        """
        if not self._is_finished:
            self._is_finished = True
            self._connection.abort()


class HttpExchange:
    """Sends requests to endpoints, one connection per request."""

    def __init__(
        self,
        codec: Codec,
        run_codec: run_checks.RunCodec,
        transfers: body_transfers.BodyTransfers,
        contact: contact_module.Contact | None = None,
    ) -> None:
        """Creates a client.

        Args:
            codec: Encodes and decodes the headers.
            run_codec: Decodes the reports of endpoints.
            transfers: Keeps the connections of bodies that are still sent.
            contact: Is told which endpoints accept connections.
        """
        self._codec = codec
        self._contact = contact
        self._run_checker = run_checks.RunChecker(run_codec)
        self._transfers = transfers

    async def send(
        self, request: exchange.Request, params: exchange.AttemptParams
    ) -> HttpResponse | exchange.SendError:
        """Sends a request once; returns the response without its body."""
        endpoint = params.endpoint
        try:
            async with asyncio.timeout(_connect_timeout_s(params)):
                connection = await endpoint_connections.connect(
                    endpoint.host, endpoint.port
                )
        except (OSError, TimeoutError) as exc:
            if self._contact is not None:
                self._contact.record_unreachable(endpoint.id)
            return exchange.SendError(
                exchange.Failure.NOT_SENT, str(exc) or 'no connection in time'
            )
        if self._contact is not None:
            self._contact.record_connected()
        try:
            response = await self._exchange(request, params, connection)
        except BaseException:
            connection.abort()
            raise
        if isinstance(response, exchange.SendError):
            connection.abort()
        return response

    async def find_run(
        self, endpoint: directory.Endpoint
    ) -> exchange.RunState:
        """Returns whether an endpoint's own run answers at its address."""
        return await self._run_checker.find_run(endpoint)

    async def _exchange(
        self,
        request: exchange.Request,
        params: exchange.AttemptParams,
        connection: endpoint_connections.EndpointConnection,
    ) -> HttpResponse | exchange.SendError:
        parser = http_responses.make_parser()
        try:
            request_head = self._format_head(parser, request, params)
        except h11.LocalProtocolError as exc:
            return exchange.SendError(exchange.Failure.NOT_SENT, str(exc))
        deadline_s = asyncio.get_running_loop().time() + params.time_left_s
        connection.send(request_head, request.body, params.time_left_s)
        try:
            event = await http_responses.read_head(parser, connection.reader)
        except exchange.ExchangeBrokenError as exc:
            return exchange.SendError(exchange.Failure.BROKEN, str(exc))
        headers = [
            (name.decode('latin-1'), raw_heads.decode(value))
            for name, value in event.headers.raw_items()
        ]
        head = self._codec.decode(request, event.status_code, headers)
        if isinstance(head, exchange.SendError):
            return head
        return HttpResponse(
            head,
            parser,
            connection,
            functools.partial(
                self._transfers.add,
                request.id,
                params.endpoint.id,
                connection,
                deadline_s,
            ),
        )

    def _format_head(
        self,
        parser: h11.Connection,
        request: exchange.Request,
        params: exchange.AttemptParams,
    ) -> bytes:
        headers = self._codec.encode(request, params)
        if request.body or request.method not in ('GET', 'HEAD'):
            headers.append(('Content-Length', str(len(request.body))))
        head = parser.send(
            h11.Request(
                method=request.method.encode('latin-1'),
                target=raw_heads.encode(request.target),
                headers=[
                    (name.encode('latin-1'), raw_heads.encode(value))
                    for name, value in headers
                ],
            )
        )
        # The parser gets the body as well, so that its state is that of a
        # request which has been sent, but does not copy the body.
        if request.body:
            parser.send_with_data_passthrough(h11.Data(data=request.body))
        parser.send(h11.EndOfMessage())
        return head or b''


def _connect_timeout_s(params: exchange.AttemptParams) -> float:
    if params.connect_timeout_s is None:
        return CONNECT_TIMEOUT_S
    return min(CONNECT_TIMEOUT_S, params.connect_timeout_s)
