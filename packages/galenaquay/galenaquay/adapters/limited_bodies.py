"""Reads the bodies of HTTP responses up to a limit."""

import aiohttp


async def read(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Reads the whole body of a response.

    Args:
        response: The response.
        max_bytes: Largest size of the body, in bytes.

    Raises:
        aiohttp.ClientPayloadError: The body is larger, or it is incomplete.
    """
    parts: list[bytes] = []
    size = 0
    async for data in response.content.iter_any():
        size += len(data)
        if size > max_bytes:
            response.close()
            raise aiohttp.ClientPayloadError('the body is too large')
        parts.append(data)
    return b''.join(parts)
