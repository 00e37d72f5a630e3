"""HTTP client for services; implements the port `ports.services`."""

from email import message
from typing import Final
from urllib import parse

import h11

from .. import codes
from . import engine_http
from . import http_calls
from ..ports import exchange
from ..ports import services as services_port

# Largest size of a service's response, in bytes. The response is kept in
# memory until it is complete.
MAX_RESPONSE_BYTES: Final = 4 * 1024 * 1024
# Longest time for which a service that reads slowly is sent a call, in
# seconds. The caller of `HttpServices.call` ends it earlier.
MAX_SEND_S: Final = 600.0
DEFAULT_CONTENT_TYPE: Final = 'application/octet-stream'
# Characters of a path that are sent as they are.
_SAFE: Final = "/%:@!$&'()*+,;=~"


class HttpServices:
    """HTTP client for services, by URL.

    Each call takes a new connection: on a reused one, a close by the service
    while the connection was idle cannot be told from a failure during the
    call.
    """

    async def call(
        self, url: str, call: services_port.ServiceCall
    ) -> services_port.ServiceResponse | codes.Failure:
        """Sends a call to a service.

        Returns:
            The response, or a failure whose code tells whether the service
            may have run the call.
        """
        parts = parse.urlsplit(url)
        address = http_calls.Address(
            parts.hostname or '',
            parts.port or engine_http.DEFAULT_PORT,
            engine_http.CONNECT_TIMEOUT_S,
        )
        headers = [
            ('Content-Type', call.content_type),
            ('X-Call-Key', call.call_key),
        ]
        if call.traceparent:
            headers.append(('traceparent', call.traceparent))
        path = parse.quote(parts.path + call.path, _SAFE)
        request = http_calls.Call(call.method, path, headers, call.body)
        try:
            answer = await http_calls.call_at(
                address, request, MAX_RESPONSE_BYTES, MAX_SEND_S
            )
        except (OSError, h11.LocalProtocolError) as exc:
            detail = str(exc) or 'no connection in time'
            return codes.failure(codes.Code.CONNECT_FAILED, detail)
        except exchange.ExchangeBrokenError as exc:
            return codes.failure(codes.Code.CALL_BROKE, str(exc))
        fields = message.Message()
        fields['Content-Type'] = answer.headers_by_name().get(
            'content-type', DEFAULT_CONTENT_TYPE
        )
        return services_port.ServiceResponse(
            answer.status, answer.body, fields.get_content_type()
        )
