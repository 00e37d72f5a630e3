"""The read-only port to the platform."""

import enum
from typing import Protocol

from .. import codes


class Kind(enum.Enum):
    """A document that the platform publishes."""

    CONFIG = 'config'
    VMS = 'vms'


class Platform(Protocol):
    """The platform's configuration service and list of VMs."""

    async def read(
        self, kind: Kind, after: int, wait_s: float
    ) -> bytes | None | codes.Failure:
        """Reads a document.

        Args:
            kind: The document to read.
            after: The version that the document must exceed.
            wait_s: Time to wait for a newer version, in seconds.

        Returns:
            The document's bytes, None if no newer version exists, or a
            failure.
        """
        ...
