"""Revisions of the platform's store that stay ordered after a restore.

The store counts its changes. When it is restored from a snapshot, the numbers
fall and are given out again, and a new epoch of the store begins. A
`StoreRevision` combines the epoch and the number in one integer, so that each
revision of an epoch is higher than all revisions of earlier epochs.
"""

from typing import Final, NewType

StoreRevision = NewType('StoreRevision', int)

# Revision of a copy that has no documents.
NONE: Final = StoreRevision(0)
_NUMBER_BITS: Final = 40
MAX_NUMBER: Final = 2**_NUMBER_BITS - 1
MAX_EPOCH: Final = 2**20 - 1


def make_revision(epoch: int, number: int) -> StoreRevision:
    """Combines an epoch and the number of a change within it.

    Raises:
        ValueError: The epoch or the number is out of range.
    """
    if not 0 <= epoch <= MAX_EPOCH or not 0 <= number <= MAX_NUMBER:
        raise ValueError(f'no revision: {number} of epoch {epoch}')
    return StoreRevision(epoch << _NUMBER_BITS | number)


def epoch_of(revision: int) -> int:
    """Returns the epoch of the store in which a revision was given out."""
    return revision >> _NUMBER_BITS


def number_of(revision: int) -> int:
    """Returns the number of a change within its epoch."""
    return revision & MAX_NUMBER
