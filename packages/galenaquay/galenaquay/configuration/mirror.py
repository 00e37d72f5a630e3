"""A local copy of the platform's documents, with the revisions of changes.

The copy is updated from the platform or from another VM. Within an epoch of
the platform's store, no document goes back to an older state. When a restore
of the store begins a new epoch, the copy takes over what the store lists.
Documents that the list lacks are kept for RESTORE_GRACE_S, within which the
operator and the endpoints write again what the store has lost. Listeners
interpret the documents.
"""

import asyncio
import collections
from collections.abc import Callable, Iterable
import contextlib
import dataclasses
import logging
from typing import Final, Protocol

from .. import clocks
from . import store_revisions
from .store_revisions import StoreRevision

LOG: Final = logging.getLogger(__name__)
# Number of latest removals that are kept for VMs that follow this copy. A VM
# that may have missed an earlier removal receives all documents.
MAX_REMOVALS: Final = 500
# Size from which earlier versions of a document are kept, in bytes, so that
# VMs that have one of these versions receive only the difference.
LARGE_DOCUMENT_BYTES: Final = 4096
# Total size of the earlier versions that are kept, in bytes.
MAX_EARLIER_BYTES: Final = 4 * 1024 * 1024
# Time after a restore of the store for which documents that the store no
# longer has are kept, in seconds. What is still valid is written again within
# about two seconds.
RESTORE_GRACE_S: Final = 3.0


@dataclasses.dataclass(frozen=True)
class Document:
    """One item of the platform's store."""

    key: str
    value: bytes
    # Revision of the store at the last change of this item.
    revision: StoreRevision


@dataclasses.dataclass(frozen=True)
class Change:
    """A document that was written or removed."""

    key: str
    revision: StoreRevision
    # None if the document was removed.
    document: Document | None


@dataclasses.dataclass(frozen=True)
class Update:
    """The changes that a follower of the mirror has not received yet."""

    # The latest change of each document.
    changes: tuple[Change, ...]
    # Whether the changes are the complete set of documents. A document of the
    # follower that is not among them was removed.
    is_complete: bool
    revision: StoreRevision


class Listener(Protocol):
    """Interprets the documents of a mirror."""

    def apply_change(self, change: Change) -> None:
        """Processes one change."""
        ...

    def mark_complete(self) -> None:
        """Processes that the mirror has had the complete set of documents."""
        ...

    def begin_restore(self) -> None:
        """Processes that the next changes come from a restored store.

        Until `end_restore`, they may be older than what was known before.
        """
        ...

    def end_restore(self) -> None:
        """Processes that what the store had lost has been written again."""
        ...


class Mirror:
    """A copy of the documents, and the time at which it was up to date."""

    # Revision of the store up to which the copy is complete; 0 before the
    # first update.
    revision: StoreRevision
    # Highest revision of any change in the copy.
    newest_revision: StoreRevision
    documents_by_key: dict[str, Document]

    def __init__(
        self,
        listeners: Iterable[Listener] = (),
        on_checked: Callable[[float], None] = lambda _: None,
        clock: Callable[[], float] = clocks.boottime_s,
    ) -> None:
        self.revision = store_revisions.NONE
        self.newest_revision = store_revisions.NONE
        # Number of restores of the store that this copy has followed.
        self.restores = 0
        self.documents_by_key = {}
        self._listeners = list(listeners)
        # Called with each time at which the copy was known to be up to date.
        self._on_checked = on_checked
        self._clock = clock
        self._checked_at_s: float | None = None
        # Revision of the removal of each document that was removed.
        self._removals_by_key: collections.OrderedDict[str, StoreRevision] = (
            collections.OrderedDict()
        )
        # The kept removals include all removals after this revision.
        self._complete_after = store_revisions.NONE
        # Earlier versions of large documents, from oldest to newest.
        self._earlier: collections.deque[Document] = collections.deque()
        self._earlier_bytes = 0
        self._changed = asyncio.Event()
        # Time from which on a check shows that documents of earlier epochs are
        # lost; None if there has been no restore since the last such check.
        self._settles_at_s: float | None = None

    def now_s(self) -> float:
        """Returns the current time on the clock for the age of checks."""
        return self._clock()

    def replace_all(
        self, documents: Iterable[Document], revision: StoreRevision
    ) -> None:
        """Applies a list of all documents.

        Args:
            documents: The documents.
            revision: Revision of the store from which changes may be missing.
        """
        is_first = not self.revision
        self._follow_epoch(revision)
        self.apply_listing('', documents, revision)
        # Removals of documents that this copy never had are not known.
        self._complete_after = max(self._complete_after, revision)
        self._advance(revision)
        if is_first and self._has_earlier_documents():
            # The source keeps documents that the store has lost.
            self._await_settling()
        for listener in self._listeners:
            listener.mark_complete()

    def apply_listing(
        self,
        prefix: str,
        documents: Iterable[Document],
        revision: StoreRevision,
    ) -> None:
        """Applies a list of all documents whose keys have a prefix.

        A document that is in the copy but not in the list counts as removed if
        its last change was before the list, in the same epoch of the store.

        Args:
            prefix: The prefix.
            documents: The documents.
            revision: Revision of the store at the start of the list.
        """
        listed = list(documents)
        keys = {document.key for document in listed}
        changes = [Change(d.key, d.revision, d) for d in listed]
        changes += [
            Change(known.key, revision, None)
            for known in self.documents_by_key.values()
            if known.key.startswith(prefix)
            and known.key not in keys
            and known.revision < revision
            and _epoch(known) == store_revisions.epoch_of(revision)
        ]
        self.apply(changes, self.revision)

    def apply(
        self, changes: Iterable[Change], revision: StoreRevision
    ) -> None:
        """Applies changes that follow the revision of the copy.

        Changes that the copy already contains are skipped, and so are those
        of an earlier epoch of the store.
        """
        self._follow_epoch(revision)
        epoch = store_revisions.epoch_of(self.revision)
        for change in changes:
            if store_revisions.epoch_of(change.revision) < epoch:
                continue
            if change.revision <= self._known_revision(change.key):
                continue
            self._apply_one(change)
        self._advance(revision)

    def _apply_one(self, change: Change) -> None:
        old = self.documents_by_key.get(change.key)
        self._store(change)
        self.newest_revision = max(self.newest_revision, change.revision)
        if change.document is None:
            if old is not None:
                self._notify(change)
        elif old is None or not _is_same_write(old, change.document):
            self._notify(change)

    def _follow_epoch(self, revision: StoreRevision) -> None:
        """Begins a restore if a revision is of a later epoch."""
        previous = self.revision
        epoch = store_revisions.epoch_of(revision)
        if not previous or epoch <= store_revisions.epoch_of(previous):
            return
        self.restores += 1
        LOG.warning(
            'store was restored from a snapshot',
            extra={
                'epoch': epoch,
                'previous_epoch': store_revisions.epoch_of(previous),
                'revision': store_revisions.number_of(revision),
                'previous_revision': store_revisions.number_of(previous),
                'grace_s': RESTORE_GRACE_S,
            },
        )
        for listener in self._listeners:
            listener.begin_restore()
        self.revision = store_revisions.make_revision(epoch, 0)
        self._settles_at_s = None
        self._await_settling()

    def _await_settling(self) -> None:
        if self._settles_at_s is None:
            self._settles_at_s = self._clock() + RESTORE_GRACE_S

    def _has_earlier_documents(self) -> bool:
        epoch = store_revisions.epoch_of(self.revision)
        return any(
            _epoch(document) < epoch
            for document in self.documents_by_key.values()
        )

    def _settle_if_due(self) -> None:
        """Drops what the store has lost, if a check shows it late enough."""
        if self._settles_at_s is None or self._checked_at_s is None:
            return
        if self._checked_at_s < self._settles_at_s:
            return
        self._settles_at_s = None
        epoch = store_revisions.epoch_of(self.revision)
        lost = [
            document
            for document in self.documents_by_key.values()
            if _epoch(document) < epoch
        ]
        for document in lost:
            LOG.info(
                'document dropped that the store has lost',
                extra={'key': document.key},
            )
            self._apply_one(Change(document.key, self.revision, None))
        for listener in self._listeners:
            listener.end_restore()

    def _notify(self, change: Change) -> None:
        """Has the listeners interpret a change.

        A document that a listener fails on is kept, and does not keep those
        after it from being applied.
        """
        for listener in self._listeners:
            try:
                listener.apply_change(change)
            except Exception:
                LOG.exception(
                    'document not applied',
                    extra={'key': change.key, 'revision': change.revision},
                )

    def _known_revision(self, key: str) -> StoreRevision:
        """Returns the revision of the last known change of a document."""
        document = self.documents_by_key.get(key)
        if document is not None:
            return document.revision
        return self._removals_by_key.get(key, store_revisions.NONE)

    def _store(self, change: Change) -> None:
        old = self.documents_by_key.pop(change.key, None)
        self._removals_by_key.pop(change.key, None)
        if old is not None:
            self._keep_earlier(old)
        if change.document is not None:
            self.documents_by_key[change.key] = change.document
            return
        self._removals_by_key[change.key] = change.revision
        if len(self._removals_by_key) > MAX_REMOVALS:
            _, dropped_revision = self._removals_by_key.popitem(last=False)
            self._complete_after = max(self._complete_after, dropped_revision)

    def _keep_earlier(self, document: Document) -> None:
        if len(document.value) < LARGE_DOCUMENT_BYTES:
            return
        self._earlier.append(document)
        self._earlier_bytes += len(document.value)
        while self._earlier_bytes > MAX_EARLIER_BYTES:
            self._earlier_bytes -= len(self._earlier.popleft().value)

    def _advance(self, revision: StoreRevision) -> None:
        self.revision = max(self.revision, revision)
        self.newest_revision = max(self.newest_revision, self.revision)
        self._changed.set()
        self._changed = asyncio.Event()

    def record_check(self, asked_at_s: float) -> None:
        """Records that the copy was up to date.

        Args:
            asked_at_s: When the source was asked, on this VM's clock.
        """
        if self._checked_at_s is None or asked_at_s > self._checked_at_s:
            self._checked_at_s = asked_at_s
        self._settle_if_due()
        self._on_checked(asked_at_s)

    def adopt_check(
        self, newest_revision: StoreRevision, checked_at_s: float | None
    ) -> None:
        """Adopts the check of another VM whose changes this copy contains.

        Args:
            newest_revision: Highest revision of any change that the other VM
                has; 0 if it is not known.
            checked_at_s: When the other VM's copy was up to date, on this VM's
                clock. An estimate must not be later than the actual time. None
                if the other copy was never checked.
        """
        if checked_at_s is not None and 0 < newest_revision <= self.revision:
            self.record_check(checked_at_s)

    def checked_age_s(self) -> float | None:
        """Returns the time since the copy was last known to be up to date.

        The time is in seconds; None if the copy has never been checked.
        """
        if self._checked_at_s is None:
            return None
        return self._clock() - self._checked_at_s

    def changes_since(self, revision: StoreRevision) -> Update:
        """Returns the changes after a revision, or all documents.

        All documents are returned if the kept removals do not reach back to
        the revision.
        """
        is_complete = not revision or revision < self._complete_after
        changes = [
            Change(document.key, document.revision, document)
            for document in self.documents_by_key.values()
            if is_complete or document.revision > revision
        ]
        if not is_complete:
            changes += [
                Change(key, removed_at, None)
                for key, removed_at in self._removals_by_key.items()
                if removed_at > revision
            ]
        return Update(tuple(changes), is_complete, self.revision)

    def version_of(self, key: str, revision: StoreRevision) -> Document | None:
        """Returns a version of a document, if the copy still has it."""
        current = self.documents_by_key.get(key)
        if current is not None and current.revision == revision:
            return current
        return next(
            (
                document
                for document in self._earlier
                if (document.key, document.revision) == (key, revision)
            ),
            None,
        )

    def large_documents(self) -> list[Document]:
        """Returns the documents whose differences can be applied."""
        return [
            document
            for document in self.documents_by_key.values()
            if len(document.value) >= LARGE_DOCUMENT_BYTES
        ]

    async def wait_for_changes(
        self, newest_revision: StoreRevision, timeout_s: float
    ) -> None:
        """Waits for a change after a revision, or for a timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self.newest_revision <= newest_revision:
                    await self._changed.wait()

    async def wait_for_revision(
        self, revision: StoreRevision, timeout_s: float
    ) -> None:
        """Waits until the copy is complete up to a revision."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self.revision < revision:
                    await self._changed.wait()


def _epoch(document: Document) -> int:
    return store_revisions.epoch_of(document.revision)


def _is_same_write(old: Document, new: Document) -> bool:
    """Returns whether a restored store lists a document as it was known."""
    return old.value == new.value and store_revisions.number_of(
        old.revision
    ) == store_revisions.number_of(new.revision)
