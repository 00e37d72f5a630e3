"""Plain services over HTTP."""

import aiohttp

from .. import codes
from . import engine_http
from ..ports import services as services_port


class HttpServices:
    """Plain services, reached by their addresses."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    @property
    def session(self) -> aiohttp.ClientSession:
        """The connections to all services, opened at the first use."""
        if self._session is None:
            # A kept connection that the service has closed meanwhile cannot
            # be told from a call that broke, so each call takes a new one.
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True),
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=engine_http.CONNECT_S
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
        """Runs a call; the failure says whether it may have been run."""
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
                    await response.read(),
                    response.content_type,
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as exc:
            return codes.failure(codes.Code.CONNECT_FAILED, str(exc))
        except (aiohttp.ClientError, OSError) as exc:
            return codes.failure(codes.Code.CALL_BROKE, str(exc))
