"""Metrics sent to statsd; docs/METRICS.md lists their names."""

from typing import Final

import statsd

from .. import codes
from .. import settings as settings_module

PREFIX: Final = 'galenaquay'
REQUESTS: Final = 'requests'
TTFT_MS: Final = 'ttft_ms'
DURATION_MS: Final = 'duration_ms'


class Metrics:
    """Sends metrics to a statsd server if an address is configured."""

    def __init__(self, address: settings_module.Address | None) -> None:
        self._client = None
        if address is not None:
            self._client = statsd.StatsClient(
                address.host, address.port, prefix=PREFIX
            )

    def count_request(self, code: codes.Code) -> None:
        """Counts a finished request under its result code."""
        if self._client is not None:
            self._client.incr(f'{REQUESTS}.{code.name.lower()}')

    def record_duration(self, name: str, milliseconds: float) -> None:
        """Sends a duration."""
        if self._client is not None:
            self._client.timing(name, milliseconds)
