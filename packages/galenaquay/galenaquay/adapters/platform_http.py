"""HTTP client that reads the configuration and VM list of the platform."""

import asyncio
from typing import Final

import aiohttp

from .. import codes
from ..ports import platform as platform_port

# Timeout for a response, in addition to the requested wait, in seconds.
RESPONSE_TIMEOUT_S: Final = 2.0


class HttpPlatform:
    """Reads the documents that the platform publishes, by long polling."""

    def __init__(self, url: str) -> None:
        self._url = url
        self._session: aiohttp.ClientSession | None = None

    @property
    def session(self) -> aiohttp.ClientSession:
        """The client session for the platform, created on first use."""
        if self._session is None:
            self._session = aiohttp.ClientSession()
        return self._session

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def read(
        self, kind: platform_port.Kind, after: int, wait_s: float
    ) -> bytes | None | codes.Failure:
        """Reads a document, waiting until a newer version exists.

        Args:
            kind: The kind of document.
            after: The version that this VM already has.
            wait_s: How long the platform may wait for a newer version, in
                seconds.

        Returns:
            The document, None if no version is newer than `after`, or a
            failure.
        """
        params = {'after': str(after), 'wait': str(wait_s)}
        url = f'{self._url}/v1/{kind.value}'
        try:
            async with (
                asyncio.timeout(wait_s + RESPONSE_TIMEOUT_S),
                self.session.get(url, params=params) as response,
            ):
                if response.status == 304:
                    return None
                if response.status == 200:
                    return await response.read()
                detail = f'platform answered {response.status}'
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            detail = str(exc) or type(exc).__name__
        return codes.failure(codes.Code.NOT_READY, detail)
