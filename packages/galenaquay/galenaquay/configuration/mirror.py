"""A local copy of the platform's documents, with a log of recent changes.

The copy is updated from the platform or from another VM, and never goes back
to an older state. Listeners interpret the documents.
"""

import asyncio
import collections
from collections.abc import Callable, Iterable
import contextlib
import dataclasses
from typing import Final, Protocol

from .. import clocks

# Number of recent changes that are kept for VMs that follow this copy. A VM
# that needs older changes receives all documents.
MAX_CHANGES: Final = 500


@dataclasses.dataclass(frozen=True)
class Document:
    """One item of the platform's store."""

    key: str
    value: bytes
    # Revision of the store at the last change of this item.
    revision: int


@dataclasses.dataclass(frozen=True)
class Change:
    """A document that was written or removed."""

    key: str
    revision: int
    # None if the document was removed.
    document: Document | None


@dataclasses.dataclass(frozen=True)
class Update:
    """The changes that a follower of the mirror has not received yet."""

    changes: tuple[Change, ...]
    # Whether the changes are the complete set of documents, which replaces
    # the copy of the follower.
    is_complete: bool
    revision: int


class Listener(Protocol):
    """Interprets the documents of a mirror."""

    def replace_all(self, documents: Iterable[Document]) -> None:
        """Processes the complete set of documents."""
        ...

    def apply_change(self, change: Change) -> None:
        """Processes one change."""
        ...


class Mirror:
    """A copy of the documents, and the time at which it was up to date."""

    # Revision of the store up to which the copy is complete; 0 before the
    # first update.
    revision: int
    documents_by_key: dict[str, Document]

    def __init__(
        self,
        listeners: Iterable[Listener] = (),
        on_checked: Callable[[float], None] = lambda _: None,
        clock: Callable[[], float] = clocks.boottime_s,
    ) -> None:
        self.revision = 0
        self.documents_by_key = {}
        self._listeners = list(listeners)
        # Called with each time at which the copy was known to be up to date.
        self._on_checked = on_checked
        self._clock = clock
        self._checked_at_s: float | None = None
        self._changes: collections.deque[Change] = collections.deque(
            maxlen=MAX_CHANGES
        )
        # The kept changes include all changes after this revision.
        self._complete_after = 0
        self._newest_revision = 0
        self._changed = asyncio.Event()

    def now_s(self) -> float:
        """Returns the current time on the clock for the age of checks."""
        return self._clock()

    def replace_all(
        self, documents: Iterable[Document], revision: int
    ) -> bool:
        """Replaces all documents, unless the copy has a newer revision.

        Returns:
            Whether the documents were replaced.
        """
        if revision < self.revision:
            return False
        self.documents_by_key = {d.key: d for d in documents}
        self._changes.clear()
        self._complete_after = revision
        self._newest_revision = revision
        self._advance(revision)
        for listener in self._listeners:
            listener.replace_all(self.documents_by_key.values())
        return True

    def apply(self, changes: Iterable[Change], revision: int) -> None:
        """Applies changes that follow the revision of the copy.

        Changes that the copy already contains are skipped.
        """
        for change in changes:
            current = self.documents_by_key.get(change.key)
            if current is None and change.document is None:
                continue
            if current is not None and current.revision >= change.revision:
                continue
            if change.document is None:
                self.documents_by_key.pop(change.key, None)
            else:
                self.documents_by_key[change.key] = change.document
            self._append_change(change)
            for listener in self._listeners:
                listener.apply_change(change)
        self._advance(revision)

    def _append_change(self, change: Change) -> None:
        if len(self._changes) == MAX_CHANGES:
            dropped_revision = self._changes[0].revision
            self._complete_after = max(self._complete_after, dropped_revision)
        self._changes.append(change)
        self._newest_revision = max(self._newest_revision, change.revision)

    def _advance(self, revision: int) -> None:
        self.revision = max(self.revision, revision)
        self._changed.set()
        self._changed = asyncio.Event()

    def record_check(self, asked_at_s: float) -> None:
        """Records that the copy was up to date.

        Args:
            asked_at_s: When the source was asked, on this VM's clock.
        """
        if self._checked_at_s is None or asked_at_s > self._checked_at_s:
            self._checked_at_s = asked_at_s
        self._on_checked(asked_at_s)

    def checked_age_s(self) -> float | None:
        """Returns the time since the copy was last known to be up to date.

        The time is in seconds; None if the copy has never been checked.
        """
        if self._checked_at_s is None:
            return None
        return self._clock() - self._checked_at_s

    def changes_since(self, revision: int) -> Update:
        """Returns the changes after a revision, or all documents.

        All documents are returned if the kept changes do not reach back to
        the revision.
        """
        if revision and revision >= self._complete_after:
            changes = tuple(c for c in self._changes if c.revision > revision)
            return Update(changes, False, self.revision)
        changes = tuple(
            Change(document.key, document.revision, document)
            for document in self.documents_by_key.values()
        )
        return Update(changes, True, self.revision)

    async def wait_for_changes(self, revision: int, timeout_s: float) -> None:
        """Waits until a change after a revision arrives, or for a timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while (
                    self._complete_after <= revision
                    and self._newest_revision <= revision
                ):
                    await self._changed.wait()
