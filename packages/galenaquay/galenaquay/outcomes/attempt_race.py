"""Lets one of several attempts that run at the same time answer the caller.

The module decides only who may write to the caller; `hedged_attempts` starts
the attempts and cancels those that have lost.
"""

import asyncio
from collections.abc import Callable

from ..ports import exchange


class LostRaceError(Exception):
    """Another attempt answers the caller."""


class Entrant:
    """An attempt that takes part in a race."""

    def __init__(self, race: 'AttemptRace') -> None:
        self._race = race
        # An error response that the attempt has got. The caller gets it only
        # if no other attempt has a better one.
        self.error_response: tuple[exchange.Head, bytes] | None = None
        # Whether the attempt waits for the others with its error response.
        self.is_holding = False

    def claim(self) -> None:
        """Lets this attempt alone write to the caller.

        The other attempts are cancelled. Has no effect on a second call.

        Raises:
            LostRaceError: Another attempt writes to the caller.
        """
        self._race.claim(self)

    def leave(self) -> None:
        """Removes an attempt that has ended."""
        self._race.remove(self)

    async def hold(self, head: exchange.Head, body: bytes) -> None:
        """Holds an error response back until no other attempt may be better.

        The last attempt to call this does not wait.
        """
        self.error_response = (head, body)
        self.is_holding = True
        while self._race.has_others(self):
            await self._race.wait_for_change()
        self.is_holding = False


class AttemptRace:
    """The attempts of one request that run at the same time."""

    # The attempt that writes to the caller; None until one does.
    winner: Entrant | None

    def __init__(
        self, on_claim: Callable[[Entrant], None] = lambda entrant: None
    ) -> None:
        """Starts without an attempt.

        Args:
            on_claim: Called with the attempt that claims the caller, before
                it writes anything. Has to cancel the other attempts.
        """
        self.winner = None
        self._on_claim = on_claim
        self._entrants: list[Entrant] = []
        self._waiting: list[asyncio.Future[None]] = []

    def enter(self) -> Entrant:
        """Adds an attempt."""
        entrant = Entrant(self)
        self._entrants.append(entrant)
        return entrant

    def claim(self, entrant: Entrant) -> None:
        """Lets an attempt alone write to the caller, see `Entrant.claim`."""
        if self.winner is entrant:
            return
        if self.winner is not None:
            raise LostRaceError
        self.winner = entrant
        self._on_claim(entrant)

    def remove(self, entrant: Entrant) -> None:
        """Removes an attempt that has ended."""
        if entrant in self._entrants:
            self._entrants.remove(entrant)
        for future in self._waiting:
            if not future.done():
                future.set_result(None)
        self._waiting = []

    def has_others(self, entrant: Entrant) -> bool:
        """Returns whether another attempt runs and holds no answer back."""
        return any(
            other is not entrant and not other.is_holding
            for other in self._entrants
        )

    async def wait_for_change(self) -> None:
        """Waits until an attempt has ended."""
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        await future
