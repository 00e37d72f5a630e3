"""The port to VMs that forward requests for this VM."""

import dataclasses
import enum
from typing import Protocol

from . import exchange


class Outcome(enum.Enum):
    """What has become of a request that another VM was asked to forward."""

    # The caller has the whole response.
    ANSWERED = 'answered'
    # The other VM refused for a reason of its own; the caller has a refusal.
    REFUSED = 'refused'
    # It is certain that the request has not run, and the caller has nothing.
    NOT_RUN = 'not run'
    # The request may have run, and the caller has nothing.
    LOST = 'lost'
    # The caller has a part of the response.
    BROKEN = 'broken'


@dataclasses.dataclass(frozen=True)
class PassedRequest:
    """A request that is passed on to another VM."""

    request: exchange.Request
    # Number of attempts so far that may have run.
    attempts: int
    # Version of the configuration by which this VM has admitted the request.
    config_version: int


@dataclasses.dataclass(frozen=True)
class Relayed:
    """The outcome, and the status of the response if there is one."""

    outcome: Outcome
    status: int = 0
    reason: str = ''


class Relays(Protocol):
    """Has other VMs forward requests."""

    async def forward(
        self,
        address: str,
        passed: PassedRequest,
        time_left_s: float,
        writer: exchange.ResponseWriter,
    ) -> Relayed:
        """Has a VM forward a request, and passes its response on.

        Args:
            address: The address of the VM.
            passed: The request.
            time_left_s: Time until the caller stops waiting, in seconds.
            writer: Gets the response.
        """
        ...
