"""Reads the platform's documents and puts them in force.

To limit the load on the platform, only a few VMs of each zone, its watchers,
keep a watch open. The other VMs receive documents from their peers. They read
from the platform only when they start, while they have no document, and when
no peer has sent a heartbeat for some time.
"""

import asyncio
from collections.abc import Callable
import logging
import random
from typing import Final

from .. import codes
from ..membership import view as views
from ..ports import platform as platform_port
from . import versions

LOG: Final = logging.getLogger(__name__)
# Initial and maximum delay before a failed read is repeated, in seconds. The
# delay doubles with each failed read, and each sleep lasts a random 50 to 100
# percent of the delay.
RETRY_MIN_S: Final = 0.5
RETRY_MAX_S: Final = 8.0
# Time before reading again after a document was read but not put in force, in
# seconds.
REFUSED_PAUSE_S: Final = 1.0
# Time without a heartbeat from any peer after which a VM that is not a
# watcher reads from the platform, in seconds.
PEER_SILENCE_S: Final = 5.0
# Time between checks whether this process has become a watcher, in seconds.
WATCHER_CHECK_INTERVAL_S: Final = 1.0


class DocumentWatch:
    """Reads and watches the platform's document of one kind."""

    def __init__(
        self,
        kind: platform_port.Kind,
        view: views.View,
        platform: platform_port.Platform,
        watch_s: float,
        on_change: Callable[[], None],
    ) -> None:
        self._kind = kind
        self._view = view
        self._platform = platform
        self._watch_s = watch_s
        self._on_change = on_change
        self._random = random.Random(view.me.incarnation)
        self._retry_delay_s = RETRY_MIN_S

    def _version(self) -> int:
        if self._kind is platform_port.Kind.CONFIG:
            return self._view.configs.version
        return self._view.lists.version

    async def run(self) -> None:
        """Reads and watches the document until cancelled."""
        await self.read_once(0.0)
        while True:
            if self._should_read():
                await self.read_once(self._watch_s)
            else:
                await asyncio.sleep(WATCHER_CHECK_INTERVAL_S)

    def _should_read(self) -> bool:
        if self._version() == 0 or self._view.is_watcher():
            return True
        return not self._has_heard_peer()

    def _has_heard_peer(self) -> bool:
        now_s = self._view.clock()
        return any(
            now_s - peer.heard_at_s < PEER_SILENCE_S
            for peer in self._view.peers_by_id.values()
        )

    async def read_once(self, wait_s: float) -> None:
        """Reads the document once and offers it.

        After a failed read, this method sleeps with exponential backoff and
        jitter.

        Args:
            wait_s: Time that the platform may wait for a change, in seconds.
        """
        body = await self._platform.read(self._kind, self._version(), wait_s)
        if isinstance(body, codes.Failure):
            await asyncio.sleep(
                self._retry_delay_s * self._random.uniform(0.5, 1)
            )
            self._retry_delay_s = min(RETRY_MAX_S, self._retry_delay_s * 2)
            return
        self._retry_delay_s = RETRY_MIN_S
        if body is not None and not self._offer(body):
            # The next read may return the same document at once, so without a
            # pause this would be a busy loop.
            await asyncio.sleep(REFUSED_PAUSE_S)

    def _offer(self, body: bytes) -> bool:
        offer = self._view.lists.offer
        if self._kind is platform_port.Kind.CONFIG:
            offer = self._view.configs.offer
        verdict, reason = offer(body)
        if verdict is versions.Verdict.REFUSED:
            LOG.warning('refused %s: %s', self._kind.value, reason)
        if verdict is versions.Verdict.ACCEPTED:
            LOG.info('%s %d in force', self._kind.value, self._version())
            self._on_change()
        return verdict is versions.Verdict.ACCEPTED
