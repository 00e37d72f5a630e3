"""The route table in force on this VM, and the age of its confirmation.

Each answer of the platform confirms that the table is up to date. API keys are
accepted only for a limited time after the last confirmation, so that a removed
key stops working even on a VM that cannot reach the platform or that was
suspended.
"""

import asyncio
from collections.abc import Callable
import contextlib
import logging
from typing import Final

from .. import clocks
from . import freshness as freshness_module
from . import priorities
from . import routes as routes_module

LOG: Final = logging.getLogger(__name__)
# API keys are accepted while the last confirmation by the platform is younger
# than this fraction of the time within which a removed key must be refused.
KEY_LEASE_FRACTION: Final = 0.86


class RouteTableInForce:
    """Holds the route table in force and the time of its confirmation."""

    table: routes_module.RouteTable | None
    # Priority classes of the pools of `table`.
    priority_classes: priorities.PriorityClasses

    def __init__(
        self,
        revoke_s: float,
        freshness: freshness_module.Freshness,
        clock: Callable[[], float] = clocks.boottime_s,
    ) -> None:
        self.table = None
        self.priority_classes = priorities.PriorityClasses({}, {}, {})
        self.set_revoke_s(revoke_s)
        self._freshness = freshness
        self._clock = clock
        self._confirmed_at_s: float | None = None
        self._was_trusted = False
        self._changed = asyncio.Event()

    def set_revoke_s(self, revoke_s: float) -> None:
        """Sets the time within which a removed key must be refused."""
        self._key_lease_s = revoke_s * KEY_LEASE_FRACTION

    def now_s(self) -> float:
        """Returns the current time on the clock for confirmation ages."""
        return self._clock()

    def offer(self, table: routes_module.RouteTable) -> bool:
        """Puts a table in force if its version is newer.

        Returns:
            Whether the table is now in force.
        """
        old = self.table
        if old is not None and table.version <= old.version:
            return False
        self.table = table
        self.priority_classes = priorities.make_priority_classes(table)
        self._changed.set()
        self._changed = asyncio.Event()
        LOG.info(
            'configuration in force',
            extra={
                'version': table.version,
                'previous': old.version if old else None,
                'routes': sum(map(len, table.routes_by_host.values())),
                'keys': len(table.accounts_by_key),
                'pools_with_priorities': self.priority_classes.pools(),
            },
        )
        return True

    async def wait_for_version(self, version: int, timeout_s: float) -> bool:
        """Waits until a version or a newer one is in force.

        Returns:
            Whether it is in force.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self.table is None or self.table.version < version:
                    await self._changed.wait()
        return self.table is not None and self.table.version >= version

    def confirm(self, asked_at_s: float) -> None:
        """Records that the table was up to date.

        Args:
            asked_at_s: When the platform was asked, on this VM's clock.
        """
        if self._confirmed_at_s is None:
            self._confirmed_at_s = asked_at_s
        self._confirmed_at_s = max(self._confirmed_at_s, asked_at_s)

    def confirmation_age_s(self) -> float | None:
        """Returns the time since the last confirmation, in seconds.

        None if no table has been confirmed yet.
        """
        if self._confirmed_at_s is None:
            return None
        return self._clock() - self._confirmed_at_s

    def trusts_absence(self) -> bool:
        """Tells whether a route or key that is not in the table is unknown.

        A table that was not confirmed for some time may lack what a newer
        version has added.
        """
        age_s = self.confirmation_age_s()
        return age_s is not None and age_s < self._freshness.max_certain_age_s

    def trusts_keys(self) -> bool:
        """Tells whether the API keys in the table may still be accepted."""
        age_s = self.confirmation_age_s()
        is_trusted = age_s is not None and age_s < self._key_lease_s
        if is_trusted is not self._was_trusted:
            self._was_trusted = is_trusted
            LOG.warning(
                'keys are %s',
                'trusted' if is_trusted else 'no longer trusted',
                extra={'confirmation_age_s': age_s},
            )
        return is_trusted
