"""The port to where the platform's documents can be had."""

from typing import Protocol

from ..configuration import mirror
from ..membership import fleet


class SourceError(Exception):
    """A source has failed; what it told before still holds."""


class Platform(Protocol):
    """The platform itself."""

    async def follow(self, copy: mirror.Mirror) -> None:
        """Keeps a copy up to date until a call fails, with SourceError."""
        ...


class Members(Protocol):
    """Other VMs, which pass on what they know."""

    async def update(
        self, member: fleet.Member, copy: mirror.Mirror, wait_s: float
    ) -> None:
        """Asks a VM once for what is new; raises SourceError.

        Args:
            member: The VM that is asked.
            copy: What is brought up to date.
            wait_s: Time to wait for a change, in seconds.
        """
        ...
