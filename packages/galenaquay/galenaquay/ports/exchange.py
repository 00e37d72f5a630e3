"""The port to endpoints for HTTP requests that are forwarded unchanged."""

from collections.abc import AsyncIterator
import dataclasses
import enum
from typing import Protocol

from .. import ids
from ..engines import directory
from . import reservations

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True)
class Request:
    """A caller's request, decoded from HTTP when it arrives."""

    # Identifies this attempt by the caller; an endpoint repeats the id in its
    # response.
    id: ids.RequestId
    method: str
    # Path and query as the caller sent them.
    target: str
    host: str
    # Without hop-by-hop headers and credentials.
    headers: Headers
    body: bytes
    key: ids.ApiKey | None
    # Time at which the caller stops waiting, on the event loop's clock;
    # infinite if the caller set no deadline.
    deadline_s: float
    # Number of prompt tokens and maximum number of output tokens; both are 0
    # if the request has no prompt.
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    # The caller's estimate of the output tokens; 0 if the caller gave none.
    expected_output_tokens: int = 0
    # Id of the last event that the caller has received of the stream; None if
    # the request starts a new stream.
    last_event_id: str | None = None
    # Parts of the prompt that other prompts may share, in order; without the
    # last part, which belongs to this request or its session.
    shared_parts: tuple[ids.PromptPartId, ...] = ()
    # The last part; None if the request names no parts.
    last_part: ids.PromptPartId | None = None

    @property
    def path(self) -> str:
        """The target without the query."""
        return self.target.partition('?')[0]


@dataclasses.dataclass(frozen=True)
class Helper:
    """An engine that prefills a part of the prompt for another engine."""

    endpoint: directory.Endpoint
    # The reservation of the helper's memory that holds the part; None if the
    # engine that runs the request holds the whole prompt.
    reservation_id: reservations.ReservationId | None = None


@dataclasses.dataclass(frozen=True)
class AttemptParams:
    """Parameters of one attempt to send a request."""

    endpoint: directory.Endpoint
    account: ids.AccountId | None
    # Time until the caller stops waiting, in seconds.
    time_left_s: float
    helpers: tuple[Helper, ...] = ()
    # Id of the event after which a stream is resumed; replaces the id in the
    # caller's request. None if the caller has received no event with an id.
    last_event_id: str | None = None
    # Class by which engines order requests; None leaves the order to them.
    priority_class: ids.PriorityClass | None = None
    # Timeout for the connection, in seconds; None leaves it to the adapter.
    # It ends before a timeout for the whole attempt, after which it would not
    # be known whether the request was sent.
    connect_timeout_s: float | None = None


class Failure(enum.Enum):
    """Why an attempt yielded no usable response."""

    # The request was not sent to the endpoint.
    NOT_SENT = 'not sent'
    # The endpoint reported that it has not run the request.
    REJECTED = 'rejected'
    # Another endpoint now uses the address (status 421).
    MISDIRECTED = 'misdirected'
    # The connection failed after the request was sent, so that the request
    # may have run.
    BROKEN = 'broken'
    # The response is a server error, belongs to another request, or lacks the
    # header that proves that the endpoint sent the response.
    INVALID = 'invalid'
    # No data arrived within the timeout.
    TIMED_OUT = 'silent'

    @property
    def is_not_run(self) -> bool:
        """Whether it is certain that the request did not run."""
        return self in (
            Failure.NOT_SENT,
            Failure.REJECTED,
            Failure.MISDIRECTED,
        )


@dataclasses.dataclass(frozen=True)
class LoadHint:
    """The load that an endpoint reports in the headers of a response."""

    # Requests that are running, requests that are queued, and requests that
    # can run at the same time.
    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True)
class Notice:
    """What an endpoint says of itself in the headers of a response."""

    load: LoadHint | None = None
    # Requests per second that the endpoint takes from all VMs together; None
    # if it names no limit.
    limit_per_s: float | None = None
    # Whether the endpoint shuts down and wants no new requests.
    is_leaving: bool = False
    # Time for which the endpoint wants no requests from this VM, in seconds;
    # 0 if it does not ask for any.
    wait_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class SendError:
    """The cause of a failed attempt."""

    failure: Failure
    detail: str
    # Id or address of the endpoint that caused the failure, if known; empty if
    # the endpoint that received the request caused the failure.
    culprit: str = ''
    # What the endpoint says of itself; None if there was no valid response.
    notice: Notice | None = None
    # Whether the culprit had too little free memory for a reservation.
    is_full: bool = False


@dataclasses.dataclass(frozen=True)
class Head:
    """Status and headers of an endpoint's response."""

    status: int
    # Without hop-by-hop headers.
    headers: Headers
    # Whether the body is a stream of server-sent events.
    is_stream: bool
    notice: Notice = Notice()
    # Whether the end of the body is marked, by a length or by chunks. Any
    # other body ends with its connection.
    is_framed: bool = True

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


class ExchangeBrokenError(Exception):
    """The body of a response ended early or is invalid."""


class RunState(enum.Enum):
    """Whether the known run of an endpoint is still running."""

    # The endpoint answers as the same run.
    SAME = 'same'
    # The connection is refused, or another run or endpoint answers.
    ENDED = 'ended'
    # Nothing answers in time; the endpoint may be cut off or frozen.
    UNKNOWN = 'unknown'


class Response(Protocol):
    """A response whose status and headers have arrived."""

    head: Head

    def body(self) -> AsyncIterator[bytes]:
        """Yields the body; raises ExchangeBrokenError if it ends early."""
        ...

    def finish(self) -> None:
        """Ends a response whose whole body was read.

        An endpoint that keeps the connection open still receives the rest of
        the request's body; `close` does nothing afterwards.
        """
        ...

    def close(self) -> None:
        """Aborts the connection, so that the endpoint cancels the request."""
        ...


class Exchange(Protocol):
    """Sends requests to endpoints."""

    async def send(
        self, request: Request, params: AttemptParams
    ) -> Response | SendError:
        """Sends a request once and waits for the response headers."""
        ...

    async def find_run(self, endpoint: directory.Endpoint) -> RunState:
        """Returns whether an endpoint's own run answers at its address."""
        ...


class ResponseWriter(Protocol):
    """Writes the response to a caller."""

    # Whether the sending of the response has begun.
    is_started: bool

    async def start(self, head: Head) -> None:
        """Sends status and headers of a response with a chunked body."""
        ...

    async def write(self, data: bytes) -> None:
        """Sends a chunk of the body; waits while the caller reads slowly."""
        ...

    async def finish(self) -> None:
        """Sends the end of a complete response."""
        ...

    def abort(self) -> None:
        """Aborts the connection, so that the response counts as incomplete."""
        ...

    async def send_whole(self, head: Head, body: bytes) -> None:
        """Sends a response whose whole body is known."""
        ...

    async def refuse(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        """Sends an error response that this process generates."""
        ...
