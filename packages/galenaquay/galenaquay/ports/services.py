"""The port to plain services."""

import dataclasses
from typing import Protocol

from .. import codes


@dataclasses.dataclass(frozen=True)
class ServiceCall:
    """One call of a plain service."""

    method: str
    path: str
    body: bytes
    content_type: str
    # Identifies a non-idempotent call to the service.
    call_key: str
    traceparent: str = ''


@dataclasses.dataclass(frozen=True)
class ServiceResponse:
    """The response of a plain service."""

    status: int
    body: bytes
    content_type: str


class Services(Protocol):
    """Client of plain services, each identified by its base URL."""

    async def call(
        self, url: str, call: ServiceCall
    ) -> ServiceResponse | codes.Failure:
        """Sends a call to a service and waits for the response.

        The code of a failure tells whether the service may have run the call.
        """
        ...
