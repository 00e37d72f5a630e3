"""The port to model engines, independent of the engines' wire format."""

import dataclasses
from typing import NamedTuple, Protocol

from .. import codes
from .. import ids
from ..limits import shares


@dataclasses.dataclass(frozen=True)
class RunRequest:
    """A request to an engine to run one attempt of a completion."""

    request_id: ids.RequestId
    attempt: int
    url: str
    # The parsed JSON body of the caller's request, including the prompt.
    body: dict[str, object]
    is_chat: bool
    priority: int
    grant_tag: str
    resume_offset: int = 0
    # Prompt tokens that this engine holds, if a group of engines shares the
    # prompt; otherwise 0.
    part_tokens: int = 0
    traceparent: str = ''


class Chunk(NamedTuple):
    """Complete events of a response, without the engine's own id lines.

    A named tuple is cheaper to create than a dataclass, and a chunk is created
    for nearly every token that is relayed.
    """

    # Server-sent events in the form that the caller receives.
    data: bytes
    # Number of output tokens in the events.
    tokens: int
    # Whether the events include the last event of the response.
    is_last: bool = False


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """An engine's load, `age_s` seconds before the engine sent the report."""

    # Changes whenever the engine restarts.
    incarnation: int
    held_tokens: int
    backlog_tokens: int
    running: int
    is_cold: bool
    age_s: float


@dataclasses.dataclass(frozen=True)
class HoldingsReport:
    """The memory that an engine holds for requests.

    The report shows the state of the engine at a time after the engine was
    asked for the report.
    """

    # Changes whenever the engine restarts.
    incarnation: int
    holdings: tuple[shares.Holding, ...]


class ResponseStream(Protocol):
    """A streamed response of an engine."""

    async def next_chunk(self) -> Chunk | codes.Failure:
        """Returns the next events, or the failure that ended the response."""
        ...

    async def close(self) -> None:
        """Closes the connection without cancelling the request."""
        ...


class Engines(Protocol):
    """Client of model engines, each identified by its base URL."""

    async def run(self, request: RunRequest) -> ResponseStream | codes.Failure:
        """Sends a request to an engine and waits for the response headers."""
        ...

    async def hold_part(
        self, request: RunRequest
    ) -> 'PartHold | codes.Failure':
        """Has an engine prefill and hold a part of a prompt for a group."""
        ...

    async def cancel(
        self, url: str, request_id: ids.RequestId, attempt: int
    ) -> bool:
        """Cancels a request; returns whether the engine confirmed this."""
        ...

    async def load(self, url: str) -> LoadReport | codes.Failure:
        """Requests an engine's load report."""
        ...

    async def holdings(self, url: str) -> HoldingsReport | codes.Failure:
        """Requests a report of the memory that an engine holds."""
        ...


class PartHold(Protocol):
    """A part of a prompt that an engine holds for a group of engines."""

    async def wait_until_lost(self) -> None:
        """Waits until the engine no longer holds the part."""
        ...

    async def close(self) -> None:
        """Closes the connection without cancelling the request."""
        ...
