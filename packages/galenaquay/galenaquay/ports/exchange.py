"""The port to endpoints for requests that pass through unchanged."""

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
    """A caller's request, decoded once at the edge."""

    # Names this try of the caller's; every answer has to repeat it.
    id: ids.RequestId
    method: str
    # Path and query as the caller wrote them.
    target: str
    host: str
    # Without those that concern only one connection or carry credentials.
    headers: Headers
    body: bytes
    key: ids.ApiKey | None
    # When the caller stops waiting, on the steady clock.
    deadline_s: float
    # Size of the prompt and of the longest answer; 0 if it is no prompt.
    prompt_tokens: int = 0
    answer_tokens: int = 0
    # Estimate of the answer's length; 0 if the caller gave none.
    answer_hint_tokens: int = 0
    # Last event that the caller already has.
    last_event_id: str | None = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]


@dataclasses.dataclass(frozen=True)
class Helper:
    """An engine that reads a part of the prompt."""

    endpoint: directory.Endpoint
    # Memory there that holds the part; None if the first engine holds it.
    reservation_id: reservations.ReservationId | None = None


@dataclasses.dataclass(frozen=True)
class Sending:
    """What one attempt adds to a request."""

    endpoint: directory.Endpoint
    account: ids.AccountId | None
    # Time that the caller will still wait, in seconds.
    time_left_s: float
    helpers: tuple[Helper, ...] = ()
    # Overrides what the caller sent when a stream is resumed.
    last_event_id: str | None = None


class Failure(enum.Enum):
    """Why an attempt brought no answer."""

    # Nothing was handed to the endpoint.
    NOT_SENT = 'not sent'
    # The endpoint says that it has not run the request.
    REJECTED = 'rejected'
    # Another endpoint has the address now.
    MISDIRECTED = 'misdirected'
    # The request was sent and may have run.
    BROKEN = 'broken'
    # The answer is not one to this request, or lacks what proves it.
    INVALID = 'invalid'
    # Nothing came in the time given.
    SILENT = 'silent'

    @property
    def is_not_run(self) -> bool:
        """Whether it is certain that the request did not run."""
        return self in (
            Failure.NOT_SENT,
            Failure.REJECTED,
            Failure.MISDIRECTED,
        )


@dataclasses.dataclass(frozen=True)
class SendError:
    """An attempt that failed, and why."""

    failure: Failure
    detail: str
    # The endpoint at fault, where it is not the one that was asked.
    culprit: str = ''


@dataclasses.dataclass(frozen=True)
class LoadHint:
    """What an endpoint says of its load in an answer."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True)
class Head:
    """The beginning of an endpoint's answer."""

    status: int
    # Without those that concern only one connection.
    headers: Headers
    # Whether the body is a series of events.
    is_stream: bool
    load: LoadHint | None = None

    @property
    def is_success(self) -> bool:
        """Whether the status says that the request succeeded."""
        return 200 <= self.status < 300


class ExchangeBrokenError(Exception):
    """The body of an answer ended before it was whole."""


class Answer(Protocol):
    """An answer that has begun."""

    head: Head

    def body(self) -> AsyncIterator[bytes]:
        """Yields the body; raises ExchangeBrokenError if it breaks off."""
        ...

    def close(self) -> None:
        """Closes the connection, which ends the request there."""
        ...


class Exchange(Protocol):
    """Sends requests to endpoints."""

    async def send(
        self, request: Request, sending: Sending
    ) -> Answer | SendError:
        """Sends a request once and returns the beginning of the answer."""
        ...


class Reply(Protocol):
    """What a caller receives."""

    # Whether anything of the answer was sent.
    is_started: bool

    async def start(self, head: Head) -> None:
        """Sends status and headers of an answer in pieces."""
        ...

    async def write(self, data: bytes) -> None:
        """Sends a piece; waits for a reader that is slow."""
        ...

    async def finish(self) -> None:
        """Ends the answer as complete."""
        ...

    def abort(self) -> None:
        """Breaks the answer off so that it cannot be taken for complete."""
        ...

    async def send_whole(self, head: Head, body: bytes) -> None:
        """Sends an answer with its whole body."""
        ...

    async def refuse(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        """Sends an answer of our own."""
        ...
