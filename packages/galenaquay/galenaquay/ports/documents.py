"""The port to the sources of the platform's documents."""

import dataclasses
from typing import Protocol

from ..configuration import mirror
from ..membership import fleet


class SourceError(Exception):
    """A source has failed; documents received earlier remain valid."""


@dataclasses.dataclass(frozen=True)
class Received:
    """What one reply of a source contained."""

    documents: int
    # Size of the reply, in bytes.
    size_bytes: int


class Platform(Protocol):
    """The platform, which publishes the documents."""

    async def follow(self, copy: mirror.Mirror) -> None:
        """Keeps a copy up to date; raises SourceError when a call fails."""
        ...


class Members(Protocol):
    """Other VMs, which pass on the documents that they have received."""

    async def update(
        self, member: fleet.Member, copy: mirror.Mirror, wait_s: float
    ) -> Received:
        """Requests changes from a VM once and applies them to a copy.

        Args:
            member: The VM that is asked.
            copy: The copy to update.
            wait_s: Time that the VM waits for a change, in seconds.

        Raises:
            SourceError: The VM did not provide the changes, or its copy is
                not up to date.
        """
        ...

    def close(self) -> None:
        """Closes all connections."""
        ...
