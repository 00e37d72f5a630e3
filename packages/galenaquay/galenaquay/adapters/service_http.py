"""HTTP client for services; implements the port `ports.services`."""

from typing import Final

import aiohttp

from .. import codes
from . import engine_http
from . import limited_bodies
from ..ports import services as services_port

# Largest size of a service's response, in bytes. The response is kept in
# memory until it is complete.
MAX_RESPONSE_BYTES: Final = 4 * 1024 * 1024


class HttpServices:
    """HTTP client for services, by URL."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    @property
    def session(self) -> aiohttp.ClientSession:
        """The client session for all services, created on first use."""
        if self._session is None:
            # Each call takes a new connection: on a reused one, a close by
            # the service while the connection was idle cannot be told from a
            # failure during the call.
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True),
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=engine_http.CONNECT_TIMEOUT_S
                ),
            )
        return self._session

    async def close(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    async def call(
        self, url: str, call: services_port.ServiceCall
    ) -> services_port.ServiceResponse | codes.Failure:
        """Sends a call to a service.

        Returns:
            The response, or a failure whose code tells whether the service
            may have run the call.
        """
        headers = {'Content-Type': call.content_type}
        headers['X-Call-Key'] = call.call_key
        if call.traceparent:
            headers['traceparent'] = call.traceparent
        try:
            async with self.session.request(
                call.method, url + call.path, data=call.body, headers=headers
            ) as response:
                return services_port.ServiceResponse(
                    response.status,
                    await limited_bodies.read(response, MAX_RESPONSE_BYTES),
                    response.content_type,
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as exc:
            return codes.failure(codes.Code.CONNECT_FAILED, str(exc))
        except (aiohttp.ClientError, OSError) as exc:
            return codes.failure(codes.Code.CALL_BROKE, str(exc))
