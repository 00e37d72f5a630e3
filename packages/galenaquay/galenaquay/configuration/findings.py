"""What a check of a configuration finds, and what a format must provide.

A format is one form of the operator's configuration. The module of a format
has the constant `FORMAT`, and uses the parser of the entry processes that read
this form.
"""

from collections.abc import Sequence
import dataclasses
import enum
from typing import Any, Protocol

from .. import ids


class Severity(enum.Enum):
    """How serious a finding is."""

    # Entry processes refuse the configuration, or requests fail because of it.
    ERROR = 'error'
    # Entry processes accept the configuration; a part of it has no effect, or
    # contradicts another part.
    WARNING = 'warning'


@dataclasses.dataclass(frozen=True)
class Finding:
    """One result of a check."""

    severity: Severity
    # Place in the file, such as `routes[3]`; '' stands for the whole file.
    place: str
    text: str


@dataclasses.dataclass(frozen=True)
class Published:
    """What an entry process has in force."""

    # The configuration in the form of the file.
    body: bytes
    # Services that have at least one endpoint; None if it is not known.
    services_with_endpoints: frozenset[ids.ServiceName] | None = None


class NotPublishedError(Exception):
    """An entry process did not answer or has no configuration."""


class Format(Protocol):
    """One form of the operator's configuration."""

    def recognizes(self, value: Any) -> bool:
        """Returns whether a file has this form.

        Args:
            value: The content of the file, decoded.
        """
        ...

    def check(
        self, body: bytes, in_force: Published | None
    ) -> Sequence[Finding]:
        """Checks a configuration.

        Args:
            body: The configuration in JSON.
            in_force: The configuration in force, None if it is not known.
        """
        ...

    def changes(self, old: bytes, new: bytes) -> Sequence[str]:
        """Describes the differences between two valid configurations."""
        ...

    async def fetch(self, host: str, port: int) -> Published:
        """Asks an entry process for what it has in force.

        Args:
            host: Host of the entry's address for other entry processes.
            port: Port of that address.

        Raises:
            NotPublishedError: The entry process did not answer, or it has no
                configuration.
        """
        ...


def error(place: str, text: str) -> Finding:
    """Returns a finding that is an error."""
    return Finding(Severity.ERROR, place, text)


def warning(place: str, text: str) -> Finding:
    """Returns a finding that is a warning."""
    return Finding(Severity.WARNING, place, text)
