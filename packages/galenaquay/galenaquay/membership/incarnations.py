"""Draws incarnations, the numbers that tell apart runs of a process."""

import secrets
from typing import Final

from .. import ids

# Leaves room in a 64-bit integer for the numbers that the ledger appends.
INCARNATION_BITS: Final = 40


def draw_incarnation() -> ids.Incarnation:
    """Returns a random nonzero number that identifies one process run."""
    return ids.Incarnation(secrets.randbits(INCARNATION_BITS) | 1)
