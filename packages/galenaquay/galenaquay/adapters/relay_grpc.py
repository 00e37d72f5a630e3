"""Forwards requests for other VMs over gRPC, and has others forward them.

A call opens a connection of its own, as a request to an endpoint does: the end
of the call ends the request, and no slow caller delays another one.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import logging
import math
from typing import Any, Final

from galenaquay_api import relay_grpc
from galenaquay_api import relay_pb2
import grpclib.client
import grpclib.config
import grpclib.const
import grpclib.exceptions
import grpclib.server

from .. import ids
from ..configuration import current as current_module
from ..outcomes import forwarding
from ..ports import exchange
from ..ports import relays as relays_port
from . import raw_heads

LOG: Final = logging.getLogger(__name__)
# Timeout for the connection to a VM and its readiness, in seconds.
READY_TIMEOUT_S: Final = 0.4
# Time to wait for a configuration that another VM has already, in seconds.
CONFIG_TIMEOUT_S: Final = 0.3
# Part of a response that is held for a caller who reads slowly, in bytes.
WINDOW_BYTES: Final = 256 * 1024
_NOT_RUN_STATUS: Final = 503
# Largest time that a message can hold, in milliseconds.
_MAX_MS: Final = (1 << 32) - 1
_MS_PER_S: Final = 1000
_CONFIGURATION: Final = grpclib.config.Configuration(
    http2_connection_window_size=WINDOW_BYTES,
    http2_stream_window_size=WINDOW_BYTES,
)


class NotAcceptedError(Exception):
    """A VM cannot forward requests at the moment."""


class EndedEarlyError(Exception):
    """A VM has ended a call without a complete response."""


_CALL_ERRORS: Final = (
    OSError,
    TimeoutError,
    grpclib.exceptions.GRPCError,
    grpclib.exceptions.ProtocolError,
    grpclib.exceptions.StreamTerminatedError,
    NotAcceptedError,
    EndedEarlyError,
)


@dataclasses.dataclass
class _Progress:
    """How far a call has come, whatever ends it."""

    # Whether the other VM may have the request.
    is_sent: bool = False
    # The outcome, once the caller has the whole response.
    relayed: relays_port.Relayed | None = None


class GrpcRelays:
    """Implements the port `Relays` over gRPC."""

    def __init__(self, vm_id: ids.VmId) -> None:
        self._vm_id = vm_id

    async def forward(
        self,
        address: str,
        passed: relays_port.PassedRequest,
        time_left_s: float,
        writer: exchange.ResponseWriter,
    ) -> relays_port.Relayed:
        """Has a VM forward a request; see the port."""
        host, _, port = address.rpartition(':')
        channel = grpclib.client.Channel(
            host, int(port), config=_CONFIGURATION
        )
        message = self._message(passed, time_left_s)
        progress = _Progress()
        try:
            async with relay_grpc.RelayStub(channel).Forward.open() as stream:
                async with asyncio.timeout(READY_TIMEOUT_S):
                    await stream.send_request()
                    frame = await stream.recv_message()
                if frame is None or not frame.readiness.accepts:
                    raise NotAcceptedError('not accepted')
                progress.is_sent = True
                await stream.send_message(message, end=True)
                return await _pass_on(stream, writer, progress)
        except _CALL_ERRORS as exc:
            reason = str(exc) or type(exc).__name__
            if progress.relayed is not None:
                return progress.relayed
            if not progress.is_sent:
                return _not_run(reason)
            if writer.is_started:
                writer.abort()
                return relays_port.Relayed(
                    relays_port.Outcome.BROKEN, reason=reason
                )
            return relays_port.Relayed(relays_port.Outcome.LOST, reason=reason)
        finally:
            channel.close()

    def _message(
        self, passed: relays_port.PassedRequest, time_left_s: float
    ) -> relay_pb2.RelayedRequest:
        request = passed.request
        message = relay_pb2.RelayedRequest(
            vm_id=self._vm_id,
            id=raw_heads.encode(request.id),
            method=request.method,
            target=raw_heads.encode(request.target),
            host=raw_heads.encode(request.host),
            headers=_header_messages(request.headers),
            body=request.body,
            time_left_ms=_to_ms(time_left_s),
            prompt_tokens=request.prompt_tokens,
            max_output_tokens=request.max_output_tokens,
            expected_output_tokens=request.expected_output_tokens,
            shared_parts=request.shared_parts,
            last_part=request.last_part,
            attempts=passed.attempts,
            config_version=passed.config_version,
        )
        if request.key is not None:
            message.key = raw_heads.encode(request.key)
        if request.last_event_id is not None:
            message.last_event_id = raw_heads.encode(request.last_event_id)
        return message


async def _pass_on(
    stream: 'grpclib.client.Stream[Any, Any]',
    writer: exchange.ResponseWriter,
    progress: _Progress,
) -> relays_port.Relayed:
    """Passes the frames of a response on to the caller."""
    status = 0
    whole: exchange.Head | None = None
    while (frame := await stream.recv_message()) is not None:
        kind = frame.WhichOneof('frame')
        if kind == 'refusal':
            progress.relayed = await _refuse(frame.refusal, writer)
        elif kind == 'head':
            status = frame.head.status
            head = _head_from_message(frame.head)
            if frame.head.is_whole:
                whole = head
            else:
                await writer.start(head)
        elif kind == 'data' and whole is not None:
            await writer.send_whole(whole, frame.data)
            progress.relayed = _answered(status)
        elif kind == 'data':
            await writer.write(frame.data)
        elif kind == 'end':
            await writer.finish()
            progress.relayed = _answered(status)
    if progress.relayed is None:
        raise EndedEarlyError('the response ended early')
    return progress.relayed


def _answered(status: int) -> relays_port.Relayed:
    return relays_port.Relayed(relays_port.Outcome.ANSWERED, status)


async def _refuse(
    refusal: relay_pb2.Refusal, writer: exchange.ResponseWriter
) -> relays_port.Relayed:
    if refusal.is_declined:
        return _not_run(refusal.reason)
    retry_after_s = None
    if refusal.HasField('retry_after_ms'):
        retry_after_s = refusal.retry_after_ms / _MS_PER_S
    await writer.refuse(refusal.status, refusal.reason, retry_after_s)
    return relays_port.Relayed(
        relays_port.Outcome.REFUSED, refusal.status, refusal.reason
    )


def _not_run(reason: str) -> relays_port.Relayed:
    return relays_port.Relayed(relays_port.Outcome.NOT_RUN, reason=reason)


class RelayServer(relay_grpc.RelayBase):
    """Implements the gRPC service `Relay`."""

    # Number of requests that are being forwarded for other VMs.
    in_progress: int

    def __init__(
        self,
        forwarder: forwarding.Forwarder,
        current: current_module.RouteTableInForce,
        accepts: Callable[[], bool],
    ) -> None:
        """Creates the service.

        Args:
            forwarder: Serves the requests.
            current: The configuration by which they are served.
            accepts: Returns whether requests of other VMs are accepted at the
                moment.
        """
        self.in_progress = 0
        self._forwarder = forwarder
        self._current = current
        self._accepts = accepts

    async def Forward(  # noqa: N802
        self, stream: 'grpclib.server.Stream[Any, Any]'
    ) -> None:
        """Forwards one request."""
        accepts = self._accepts()
        readiness = relay_pb2.Readiness(accepts=accepts)
        await stream.send_message(relay_pb2.RelayFrame(readiness=readiness))
        if not accepts:
            return
        self.in_progress += 1
        try:
            message = await stream.recv_message()
            if message is not None:
                await self._forward(message, stream)
        finally:
            self.in_progress -= 1

    async def _forward(
        self,
        message: relay_pb2.RelayedRequest,
        stream: 'grpclib.server.Stream[Any, Any]',
    ) -> None:
        request = _request_from_message(message)
        LOG.info(
            'request of another member',
            extra={'request_id': request.id, 'member': message.vm_id},
        )
        writer = _FrameWriter(stream, self._accepts)
        if not await self._current.wait_for_version(
            message.config_version, CONFIG_TIMEOUT_S
        ):
            await writer.decline('older configuration')
            return
        try:
            await self._forwarder.serve(
                request, writer, is_relayed=True, attempts=message.attempts
            )
        except forwarding.NotAdmittedError as exc:
            await writer.decline(str(exc))
            return
        if writer.is_aborted:
            raise grpclib.exceptions.GRPCError(
                grpclib.const.Status.ABORTED, 'the response was broken off'
            )


class _FrameWriter:
    """Writes a response to another VM."""

    # Whether any part of the response was sent.
    is_started: bool
    is_aborted: bool

    def __init__(
        self,
        stream: 'grpclib.server.Stream[Any, Any]',
        accepts: Callable[[], bool],
    ) -> None:
        self.is_started = False
        self.is_aborted = False
        self._stream = stream
        self._accepts = accepts

    async def _send(self, **frame: Any) -> None:
        await self._stream.send_message(relay_pb2.RelayFrame(**frame))

    async def start(self, head: exchange.Head) -> None:
        """Sends status and headers of a response of unknown length."""
        self.is_started = True
        await self._send(head=_head_message(head, is_whole=False))

    async def write(self, data: bytes) -> None:
        """Sends a part of the body; waits while the other VM does not read."""
        await self._send(data=data)

    async def finish(self) -> None:
        """Marks the response as complete."""
        await self._send(end=relay_pb2.End())

    def abort(self) -> None:
        """Has the response counted as broken off."""
        self.is_aborted = True

    async def send_whole(self, head: exchange.Head, body: bytes) -> None:
        """Sends a complete response."""
        self.is_started = True
        await self._send(head=_head_message(head, is_whole=True))
        await self._send(data=body)

    async def refuse(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        """Sends an error response of this VM."""
        # Only a refusal with this status says that nothing has run.
        if status == _NOT_RUN_STATUS and not self._accepts():
            await self.decline(reason)
            return
        self.is_started = True
        refusal = relay_pb2.Refusal(status=status, reason=reason)
        if retry_after_s is not None:
            refusal.retry_after_ms = _to_ms(retry_after_s)
        await self._send(refusal=refusal)

    async def decline(self, reason: str) -> None:
        """Tells the other VM that the request has not run."""
        self.is_started = True
        refusal = relay_pb2.Refusal(
            status=_NOT_RUN_STATUS, reason=reason, is_declined=True
        )
        await self._send(refusal=refusal)


def _request_from_message(
    message: relay_pb2.RelayedRequest,
) -> exchange.Request:
    loop = asyncio.get_running_loop()
    key = None
    if message.HasField('key'):
        key = ids.ApiKey(raw_heads.decode(message.key))
    last_event_id = None
    if message.HasField('last_event_id'):
        last_event_id = raw_heads.decode(message.last_event_id)
    last_part = None
    if message.HasField('last_part'):
        last_part = ids.PromptPartId(message.last_part)
    return exchange.Request(
        id=ids.RequestId(raw_heads.decode(message.id)),
        method=message.method,
        target=raw_heads.decode(message.target),
        host=raw_heads.decode(message.host),
        headers=_headers_from_messages(message.headers),
        body=message.body,
        key=key,
        deadline_s=loop.time() + message.time_left_ms / _MS_PER_S,
        prompt_tokens=message.prompt_tokens,
        max_output_tokens=message.max_output_tokens,
        expected_output_tokens=message.expected_output_tokens,
        last_event_id=last_event_id,
        shared_parts=tuple(map(ids.PromptPartId, message.shared_parts)),
        last_part=last_part,
    )


def _header_messages(headers: exchange.Headers) -> list[relay_pb2.Header]:
    return [
        relay_pb2.Header(
            name=raw_heads.encode(name), value=raw_heads.encode(value)
        )
        for name, value in headers
    ]


def _headers_from_messages(messages: Any) -> exchange.Headers:
    return tuple(
        (raw_heads.decode(header.name), raw_heads.decode(header.value))
        for header in messages
    )


def _head_message(head: exchange.Head, *, is_whole: bool) -> relay_pb2.Head:
    return relay_pb2.Head(
        status=head.status,
        headers=_header_messages(head.headers),
        is_stream=head.is_stream,
        is_whole=is_whole,
    )


def _head_from_message(message: relay_pb2.Head) -> exchange.Head:
    return exchange.Head(
        message.status,
        _headers_from_messages(message.headers),
        is_stream=message.is_stream,
    )


def _to_ms(seconds: float) -> int:
    if seconds * _MS_PER_S >= _MAX_MS:
        return _MAX_MS
    return max(0, math.floor(seconds * _MS_PER_S))
