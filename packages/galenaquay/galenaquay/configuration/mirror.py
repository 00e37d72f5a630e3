"""A copy of the platform's documents, and the changes that made it.

Whatever the documents come from, the platform or another VM, the copy never
goes back to an older state. What the documents say is left to listeners.
"""

import asyncio
import collections
from collections.abc import Callable, Iterable
import contextlib
import dataclasses
from typing import Final, Protocol

from .. import clocks

# Changes that are kept for those who know all before them.
MAX_CHANGES: Final = 500


@dataclasses.dataclass(frozen=True)
class Document:
    """One item as the platform has it."""

    key: str
    value: bytes
    # The platform's count of changes at its last one.
    revision: int


@dataclasses.dataclass(frozen=True)
class Change:
    """A document that was written or removed."""

    key: str
    revision: int
    # None if it was removed.
    document: Document | None


@dataclasses.dataclass(frozen=True)
class Update:
    """What one who follows does not know yet."""

    changes: tuple[Change, ...]
    # Whether the changes are all documents there are.
    is_whole: bool
    revision: int


class Listener(Protocol):
    """Reads what documents say."""

    def take_all(self, documents: Iterable[Document]) -> None:
        """Takes over all documents there are."""
        ...

    def take(self, change: Change) -> None:
        """Takes one change over."""
        ...


class Mirror:
    """The documents, as new as their source."""

    # The platform's count of changes up to which all is known; 0: nothing is.
    revision: int
    documents_by_key: dict[str, Document]

    def __init__(
        self,
        listeners: Iterable[Listener] = (),
        on_checked: Callable[[float], None] = lambda _: None,
        clock: Callable[[], float] = clocks.boot_s,
    ) -> None:
        self.revision = 0
        self.documents_by_key = {}
        self._listeners = list(listeners)
        # Takes the time at which nothing newer existed.
        self._on_checked = on_checked
        self._clock = clock
        self._checked_at_s: float | None = None
        self._changes: collections.deque[Change] = collections.deque(
            maxlen=MAX_CHANGES
        )
        # Revision from which on the kept changes are complete.
        self._complete_from = 0
        self._newest_change = 0
        self._changed = asyncio.Event()

    def now_s(self) -> float:
        """Returns the time on the clock that checks are held to."""
        return self._clock()

    def replace_all(
        self, documents: Iterable[Document], revision: int
    ) -> bool:
        """Takes over all documents, unless more is known already."""
        if revision < self.revision:
            return False
        self.documents_by_key = {d.key: d for d in documents}
        self._changes.clear()
        self._complete_from = revision
        self._newest_change = revision
        self._advance(revision)
        for listener in self._listeners:
            listener.take_all(self.documents_by_key.values())
        return True

    def apply(self, changes: Iterable[Change], revision: int) -> None:
        """Takes over changes that follow on what is known."""
        for change in changes:
            old = self.documents_by_key.get(change.key)
            if old is None and change.document is None:
                continue
            if old is not None and old.revision >= change.revision:
                continue
            if change.document is None:
                self.documents_by_key.pop(change.key, None)
            else:
                self.documents_by_key[change.key] = change.document
            self._keep(change)
            for listener in self._listeners:
                listener.take(change)
        self._advance(revision)

    def _keep(self, change: Change) -> None:
        if len(self._changes) == MAX_CHANGES:
            forgotten = self._changes[0].revision
            self._complete_from = max(self._complete_from, forgotten)
        self._changes.append(change)
        self._newest_change = max(self._newest_change, change.revision)

    def _advance(self, revision: int) -> None:
        self.revision = max(self.revision, revision)
        self._changed.set()
        self._changed = asyncio.Event()

    def note_checked(self, asked_at_s: float) -> None:
        """Notes that nothing newer existed at a time, on this clock."""
        if self._checked_at_s is None or asked_at_s > self._checked_at_s:
            self._checked_at_s = asked_at_s
        self._on_checked(asked_at_s)

    def checked_age_s(self) -> float | None:
        """Returns the time since the last check; None if there was none."""
        if self._checked_at_s is None:
            return None
        return self._clock() - self._checked_at_s

    def since(self, revision: int) -> Update:
        """Returns what one who knows all up to a revision does not know."""
        if revision and revision >= self._complete_from:
            changes = tuple(c for c in self._changes if c.revision > revision)
            return Update(changes, False, self.revision)
        changes = tuple(
            Change(document.key, document.revision, document)
            for document in self.documents_by_key.values()
        )
        return Update(changes, True, self.revision)

    async def wait_beyond(self, revision: int, seconds: float) -> None:
        """Returns when there is something new to tell, or in time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while (
                    self._complete_from <= revision
                    and self._newest_change <= revision
                ):
                    await self._changed.wait()
