"""Whether this VM reaches any endpoint.

A VM may lose its links to all endpoints while callers and other VMs still
reach it. A few endpoints that cannot be reached may have ended, many of them
without a connection in between say that it is this VM.
"""

import asyncio
from collections.abc import Callable
import logging
import time
from typing import Final

from .. import ids
from . import directory as directory_module

LOG: Final = logging.getLogger(__name__)
# Number of endpoints without a connection from which on this VM counts as cut
# off; all listed endpoints if there are fewer.
MIN_UNREACHABLE: Final = 10
# Time for which a failed attempt to connect counts, in seconds.
FAILURE_MEMORY_S: Final = 3.0


class Contact:
    """The attempts to connect to endpoints since the last one succeeded."""

    def __init__(
        self,
        directory: directory_module.Directory,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._failed_at_s_by_id: dict[ids.EndpointId, float] = {}
        self._cut_off_at_s: float | None = None
        self._suspected = asyncio.Event()

    def is_cut_off(self) -> bool:
        """Returns whether this VM seems to reach no endpoint."""
        return self._cut_off_at_s is not None

    async def wait_suspected(self) -> None:
        """Waits until there was a failed attempt since the last connection."""
        await self._suspected.wait()

    def untried(self) -> list[directory_module.Endpoint]:
        """Returns the listed endpoints without a recent failed attempt."""
        return [
            endpoint
            for endpoint in self._directory.endpoints_by_id.values()
            if endpoint.id not in self._failed_at_s_by_id
        ]

    def record_connected(self) -> None:
        """Records that an endpoint has accepted a connection."""
        if self._cut_off_at_s is not None:
            LOG.warning(
                'endpoints are reached again',
                extra={
                    'cut_off_s': round(self._clock() - self._cut_off_at_s, 3)
                },
            )
            self._cut_off_at_s = None
        self._failed_at_s_by_id.clear()
        self._suspected.clear()

    def record_unreachable(self, endpoint_id: ids.EndpointId) -> None:
        """Records that no connection to an endpoint could be opened."""
        now_s = self._clock()
        self._failed_at_s_by_id[endpoint_id] = now_s
        self._suspected.set()
        if self.is_cut_off():
            return
        self._failed_at_s_by_id = {
            known_id: at_s
            for known_id, at_s in self._failed_at_s_by_id.items()
            if now_s - at_s <= FAILURE_MEMORY_S
        }
        listed = len(self._directory.endpoints_by_id)
        if len(self._failed_at_s_by_id) >= min(MIN_UNREACHABLE, listed):
            self._cut_off_at_s = now_s
            LOG.warning(
                'no endpoint is reached',
                extra={
                    'unreachable': sorted(self._failed_at_s_by_id),
                    'listed': listed,
                },
            )
