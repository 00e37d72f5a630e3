"""Ages of the copied documents at which a VM acts.

The ages follow from the time within which an acknowledged change must be in
force everywhere. Within that time a VM has to notice that its source has
failed, to find another one, and to receive the change.
"""

from typing import Final

# Shares of the time within which a change must be in force.
# Interval between checks at the platform.
CHECK_SHARE: Final = 0.2
# Age of the copy from which a VM also asks VMs other than its source.
HEDGE_SHARE: Final = 0.45
# Age from which the documents of another VM no longer count as up to date.
SOURCE_SHARE: Final = 0.5
# Age from which a VM does not rely on the absence of a route or key.
CERTAIN_SHARE: Final = 0.9


class Freshness:
    """The ages, computed from the bound in force."""

    def __init__(self, apply_s: float) -> None:
        self.set_apply_s(apply_s)

    def set_apply_s(self, apply_s: float) -> None:
        """Sets the time within which a change must be in force."""
        self._apply_s = apply_s

    @property
    def check_interval_s(self) -> float:
        """Time between two checks at the platform, in seconds."""
        return self._apply_s * CHECK_SHARE

    @property
    def hedge_age_s(self) -> float:
        """Age of the copy from which other VMs are asked, in seconds."""
        return self._apply_s * HEDGE_SHARE

    @property
    def max_source_age_s(self) -> float:
        """Age up to which a copy is a source for others, in seconds."""
        return self._apply_s * SOURCE_SHARE

    @property
    def max_certain_age_s(self) -> float:
        """Age up to which what is not in the copy is not there, in seconds."""
        return self._apply_s * CERTAIN_SHARE
