"""Opens connections to endpoints while it is not known if any is reached.

A connection is closed at once and carries no request.
"""

import asyncio
import random
from typing import Final

from . import endpoint_connections
from ..engines import contact as contact_module
from ..engines import directory as directory_module

# Number of endpoints that are probed at the same time.
PROBED_ENDPOINTS: Final = 3
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
            endpoints = list(self._directory.endpoints_by_id.values())
            count = min(PROBED_ENDPOINTS, len(endpoints))
            await asyncio.gather(
                *map(self._probe, self._rng.sample(endpoints, count))
            )
            await asyncio.sleep(PAUSE_S)

    async def _probe(self, endpoint: directory_module.Endpoint) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = await endpoint_connections.connect(
                    endpoint.host, endpoint.port
                )
        except (OSError, TimeoutError):
            self._contact.record_unreachable(endpoint.id)
            return
        connection.abort()
        self._contact.record_connected()
