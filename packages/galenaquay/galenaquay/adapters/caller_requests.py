"""Parses and validates the bodies and headers of callers' requests.

Each function raises `Refused`, which carries a result code, if the request is
invalid. `callers_http` handles the parsed requests.
"""

from typing import Any
from typing import Final

from aiohttp import web
import orjson

from .. import codes
from ..configuration import documents

DEADLINE_HEADER: Final = 'X-Deadline-Ms'
# Limit on output tokens where the request has no max_tokens.
DEFAULT_MAX_TOKENS: Final = 256


class Refused(Exception):
    """Refuses a request; carries the failure that the response reports."""

    def __init__(self, failure: codes.Failure) -> None:
        super().__init__(failure.reason)
        self.failure = failure


def _malformed(detail: str) -> Refused:
    return Refused(codes.failure(codes.Code.MALFORMED_REQUEST, detail))


def parse_object(raw: bytes) -> dict[str, Any]:
    """Parses a request body and removes its `galenaquay` extension.

    Raises:
        Refused: The body is not a JSON object.
    """
    try:
        body = orjson.loads(raw)
    except orjson.JSONDecodeError as exc:
        raise _malformed(str(exc)) from None
    if not isinstance(body, dict):
        raise _malformed('The body is not a JSON object.')
    body.pop('galenaquay', None)
    return body


def parse_model(body: dict[str, Any]) -> str:
    """Returns the value of `model`, which names a route.

    Raises:
        Refused: The value is missing or not a string.
    """
    model = body.get('model')
    if not isinstance(model, str):
        raise _malformed('model must be a string.')
    return model


def parse_prompt(body: dict[str, Any], is_chat: bool) -> str:
    """Returns the prompt; chat messages are joined by newlines.

    Raises:
        Refused: The prompt is missing, empty or not text.
    """
    if not is_chat:
        prompt = body.get('prompt')
        if not isinstance(prompt, str) or not prompt:
            raise _malformed('prompt must be a string with text.')
        return prompt
    messages = body.get('messages')
    if not isinstance(messages, list) or not messages:
        raise _malformed('messages must be a list with messages.')
    contents = [m.get('content') for m in messages if isinstance(m, dict)]
    texts = [c for c in contents if isinstance(c, str)]
    if len(texts) != len(messages):
        raise _malformed('every message must have a content of text.')
    return '\n'.join(texts)


def parse_max_tokens(body: dict[str, Any], route: documents.Route) -> int:
    """Returns the largest number of output tokens of a request.

    Raises:
        Refused: `max_tokens` is not an integer or is outside the limits of the
            route.
    """
    default = min(DEFAULT_MAX_TOKENS, route.max_output_tokens)
    value = body.get('max_tokens', default)
    if type(value) is not int or not 0 < value <= route.max_output_tokens:
        raise _malformed(
            f'max_tokens must be from 1 to {route.max_output_tokens}.'
        )
    return value


def parse_timeout_s(request: web.Request, route: documents.Route) -> float:
    """Returns the timeout of a request, in seconds.

    The route's deadline applies if the request has no deadline header or a
    longer one.

    Raises:
        Refused: The deadline header is not a positive integer.
    """
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return route.deadline_s
    if not text.isascii() or not text.isdigit() or int(text) == 0:
        raise _malformed(f'{DEADLINE_HEADER} must be milliseconds.')
    return min(int(text) / 1000, route.deadline_s)
