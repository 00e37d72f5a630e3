"""Opens connections to endpoints while it is not known if any is reached.

A connection is closed at once and carries no request.
"""

import asyncio
import random
from typing import Final

from . import endpoint_connections
from ..engines import contact as contact_module
from ..engines import directory as directory_module

# Number of endpoints that are probed at the same time, and that number once
# none of these was reached.
PROBED_ENDPOINTS: Final = 3
PROBED_FURTHER: Final = 8
# Timeout for a connection, in seconds.
CONNECT_TIMEOUT_S: Final = 0.25
# Pause between two probes, in seconds.
PAUSE_S: Final = 0.25


class ContactProbe:
    """Probes endpoints drawn at random."""

    def __init__(
        self,
        contact: contact_module.Contact,
        directory: directory_module.Directory,
        rng: random.Random,
    ) -> None:
        self._contact = contact
        self._directory = directory
        self._rng = rng

    async def run(self) -> None:
        """Probes endpoints after each failed attempt, until one is reached."""
        while True:
            await self._contact.wait_suspected()
            reaches_one = await self._probe_some(PROBED_ENDPOINTS)
            if not reaches_one and not self._contact.is_cut_off():
                await self._probe_some(PROBED_FURTHER)
            await asyncio.sleep(PAUSE_S)

    async def _probe_some(self, most: int) -> bool:
        """Probes some endpoints, at first those that were not tried lately.

        Returns:
            Whether one of them was reached.
        """
        endpoints = self._contact.untried() or list(
            self._directory.endpoints_by_id.values()
        )
        drawn = self._rng.sample(endpoints, min(most, len(endpoints)))
        return any(await asyncio.gather(*map(self._probe, drawn)))

    async def _probe(self, endpoint: directory_module.Endpoint) -> bool:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = await endpoint_connections.connect(
                    endpoint.host, endpoint.port
                )
        except (OSError, TimeoutError):
            self._contact.record_unreachable(endpoint.id)
            return False
        connection.abort()
        self._contact.record_connected()
        return True
