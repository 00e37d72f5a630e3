"""Numbers the changes to shared facts, so that peers get only newer ones.

A fact is what one VM has observed and all VMs use, such as the end of an
engine. A VM sends each peer the facts that changed after the revision that the
peer has confirmed.
"""

from collections.abc import Hashable


class Revisions:
    """The revision at which each fact known here has last changed."""

    # Revision of the latest change; 0 if there was none.
    newest: int

    def __init__(self) -> None:
        self.newest = 0
        self._revisions_by_fact: dict[Hashable, int] = {}

    def record_change(self, fact: Hashable) -> None:
        """Records that a fact is new or has changed."""
        self.newest += 1
        self._revisions_by_fact[fact] = self.newest

    def forget(self, fact: Hashable) -> None:
        """Removes a fact that is no longer known here."""
        self._revisions_by_fact.pop(fact, None)

    def is_newer(self, fact: Hashable, revision: int) -> bool:
        """Returns whether a fact has changed after a revision."""
        return self._revisions_by_fact.get(fact, 0) > revision
