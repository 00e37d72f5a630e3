"""The port to the caller of a completion."""

from typing import Protocol


class CallerDisconnectedError(Exception):
    """The caller has closed the connection."""


class Sink(Protocol):
    """Receives the events of one completion."""

    async def write(self, data: bytes) -> bool:
        """Passes events on to the caller.

        Returns:
            Whether the caller is reading; False if the caller has stopped.

        Raises:
            CallerDisconnectedError: The caller has closed the connection.
        """
        ...

    async def drain(self) -> None:
        """Waits until a caller that has stopped reading reads again.

        Raises:
            CallerDisconnectedError: The caller has closed the connection.
        """
        ...
