"""HTTP client for the completions API and the operators' API of a VM."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import time
from typing import Any, Final

import aiohttp
import orjson

DATA_PREFIX: Final = b'data: '
RAN_ON_PREFIX: Final = b': ran on '


class ClientError(Exception):
    """A VM could not be reached or responded with an error."""


@dataclasses.dataclass(frozen=True)
class Prompt:
    """A completion request."""

    route: str
    text: str
    max_tokens: int
    # API key of the client account.
    key: str
    # Time after which the request fails, in milliseconds; 0 sets no deadline.
    deadline_ms: int = 0


@dataclasses.dataclass
class StreamState:
    """The state of a streamed response, updated while it is read."""

    request_id: str = ''
    # Ids of the endpoints that ran the request; the VM sends them at the end.
    ran_on: str = ''
    # The error that ended the response, if any.
    error: dict[str, Any] | None = None
    usage: dict[str, int] = dataclasses.field(default_factory=dict)
    # Whether the response ended regularly and without an error.
    is_complete: bool = False
    # Time from sending the request to the first token, in seconds; None if no
    # token was received.
    ttft_s: float | None = None


@contextlib.asynccontextmanager
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    """Opens an HTTP session without a connection limit or a timeout."""
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as http_session:
        yield http_session


async def get_json(
    http_session: aiohttp.ClientSession, url: str, params: dict[str, str]
) -> Any:
    """Sends a GET request to the operators' API and returns the JSON body.

    Raises:
        ClientError: The VM did not respond or responded with an error.
    """
    try:
        async with http_session.get(url, params=params) as response:
            if response.status != 200:
                raise ClientError(f'{url}: {await response.text()}')
            return await response.json()
    except (aiohttp.ClientError, OSError) as exc:
        raise ClientError(f'{url}: {exc}') from exc


async def stream(
    http_session: aiohttp.ClientSession,
    entry: str,
    prompt: Prompt,
    state: StreamState,
) -> AsyncIterator[tuple[float, str]]:
    """Requests a completion; yields the arrival time and text of each event.

    Args:
        http_session: The HTTP session.
        entry: URL of the VM.
        prompt: The request.
        state: Updated with the fields of the response other than the text.

    Raises:
        ClientError: The connection failed.
    """
    headers = {'Authorization': f'Bearer {prompt.key}'}
    if prompt.deadline_ms:
        headers['X-Deadline-Ms'] = str(prompt.deadline_ms)
    body = {
        'model': prompt.route,
        'prompt': prompt.text,
        'max_tokens': prompt.max_tokens,
        'stream': True,
    }
    try:
        async with http_session.post(
            f'{entry}/v1/completions',
            data=orjson.dumps(body),
            headers={**headers, 'Content-Type': 'application/json'},
        ) as response:
            state.request_id = response.headers.get('X-Request-Id', '')
            if response.status != 200:
                state.error = orjson.loads(await response.read())['error']
                return
            async for line in response.content:
                text = _parse_line(line, state)
                if text:
                    yield time.monotonic(), text
    except (aiohttp.ClientError, OSError) as exc:
        raise ClientError(f'{entry}: {exc}') from exc


def _parse_line(line: bytes, state: StreamState) -> str:
    """Updates the state from a line of a response; returns the line's text."""
    if line.startswith(RAN_ON_PREFIX):
        state.ran_on = line.removeprefix(RAN_ON_PREFIX).decode().strip()
    if line.startswith(b'data: [DONE]'):
        state.is_complete = state.error is None
    if not line.startswith(b'data: {'):
        return ''
    event = orjson.loads(line.removeprefix(DATA_PREFIX))
    if 'error' in event:
        state.error = event['error']
        return ''
    state.usage = event.get('usage', state.usage)
    return str(event['choices'][0]['text'])
