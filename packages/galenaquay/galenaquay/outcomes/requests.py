"""The state of a completion in this process, and the results of attempts."""

import dataclasses
import enum
import time
from typing import Any

from .. import codes
from .. import ids
from ..configuration import documents


class AttemptEnd(enum.Enum):
    """How an attempt ended without a failure."""

    COMPLETE = 'whole'
    # The caller stopped reading, so the request is cancelled at the engine.
    # The next attempt resumes at the token offset of the completion.
    PAUSED = 'paused'


AttemptResult = AttemptEnd | codes.Failure


@dataclasses.dataclass
class Completion:
    """One admitted completion."""

    request_id: ids.RequestId
    account_id: ids.AccountId
    route: documents.Route
    # The parsed JSON body of the caller's request, including the prompt.
    body: dict[str, Any]
    is_chat: bool
    prompt: str
    prompt_tokens: int
    max_tokens: int
    # Deadline of the request, on this process's monotonic clock.
    deadline_s: float
    traceparent: str = ''
    # Number of attempts that have been sent to engines so far.
    attempt: int = 0
    # Output tokens that have been passed to the caller.
    offset: int = 0
    # Engines that the request was sent to, the earliest first.
    ran_on: list[ids.EndpointId] = dataclasses.field(default_factory=list)
    first_token_at_s: float | None = None

    @property
    def tokens(self) -> int:
        """Maximum engine memory that the request occupies, in tokens."""
        return self.prompt_tokens + self.max_tokens

    def remaining_s(self) -> float:
        """Returns the time until the deadline, in seconds."""
        return self.deadline_s - time.monotonic()
