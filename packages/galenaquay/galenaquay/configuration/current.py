"""What is in force on this VM, and how fresh that knowledge is.

Knowledge is confirmed whenever the platform has answered. Keys are trusted
only for a while after that: one that was taken away must not open anything,
also on a VM that the platform cannot reach or that was suspended.
"""

from collections.abc import Callable
import logging
from typing import Final

from .. import clocks
from . import routes as routes_module

LOG: Final = logging.getLogger(__name__)
# Share of the time within which a removed key must be refused that may pass
# since the platform last confirmed the keys.
KEY_LEASE_SHARE: Final = 0.86


class Current:
    """The route table in force and the age of its confirmation."""

    table: routes_module.RouteTable | None

    def __init__(
        self,
        revoke_s: float,
        clock: Callable[[], float] = clocks.boot_s,
    ) -> None:
        self.table = None
        self.set_revoke_s(revoke_s)
        self._clock = clock
        self._confirmed_at_s: float | None = None
        self._was_trusted = False

    def set_revoke_s(self, revoke_s: float) -> None:
        """Sets the time within which a removed key must be refused."""
        self._lease_s = revoke_s * KEY_LEASE_SHARE

    def now_s(self) -> float:
        """Returns the time on the clock that confirmations are held to."""
        return self._clock()

    def offer(self, table: routes_module.RouteTable) -> bool:
        """Puts a table in force unless a newer one already is."""
        old = self.table
        if old is not None and table.version <= old.version:
            return False
        self.table = table
        LOG.info(
            'configuration in force',
            extra={
                'version': table.version,
                'previous': old.version if old else None,
                'routes': sum(map(len, table.routes_by_host.values())),
                'keys': len(table.accounts_by_key),
            },
        )
        return True

    def confirm(self, asked_at_s: float) -> None:
        """Notes that nothing newer existed when the platform was asked."""
        if self._confirmed_at_s is None:
            self._confirmed_at_s = asked_at_s
        self._confirmed_at_s = max(self._confirmed_at_s, asked_at_s)

    def hear(self, version: int, confirmed_at_s: float | None) -> None:
        """Takes over what another VM knew for certain at some time.

        Args:
            version: The version that the other has in force.
            confirmed_at_s: When it was known to be the newest, on this VM's
                clock and no later than it really was; None if never.
        """
        is_same = self.table is not None and self.table.version == version
        if is_same and confirmed_at_s is not None:
            self.confirm(confirmed_at_s)

    def age_s(self) -> float | None:
        """Returns the time since the last confirmation, in seconds."""
        if self._confirmed_at_s is None:
            return None
        return self._clock() - self._confirmed_at_s

    def trusts_keys(self) -> bool:
        """Tells whether a key that is listed may still open anything."""
        age_s = self.age_s()
        is_trusted = age_s is not None and age_s < self._lease_s
        if is_trusted is not self._was_trusted:
            self._was_trusted = is_trusted
            LOG.warning(
                'keys are %s',
                'trusted' if is_trusted else 'no longer trusted',
                extra={'confirmation_age_s': age_s},
            )
        return is_trusted
