"""Formats the responses to callers of the product's own interface."""

from typing import Any

import orjson

from .. import codes
from ..outcomes import requests
from ..streams import events


def failure_body(failure: codes.Failure) -> dict[str, Any]:
    """Returns the JSON body of an error response."""
    return {
        'error': {
            'code': int(failure.code),
            'type': failure.code.name,
            'outcome': failure.certainty.value,
            'retry': failure.row.retry.value,
            'message': failure.reason,
        }
    }


def log_fields(failure: codes.Failure | None) -> dict[str, Any]:
    """Returns the fields of a log line on how a request ended."""
    if failure is None:
        return {'code': 0, 'result': codes.Code.OK.name}
    return {
        'code': int(failure.code),
        'result': failure.code.name,
        'detail': failure.detail,
    }


def event(body: dict[str, Any]) -> bytes:
    """Encodes a server-sent event with a JSON body."""
    return b'data: ' + orjson.dumps(body) + b'\n\n'


def ran_on_comment(completion: requests.Completion) -> bytes:
    """Encodes the comment of a stream that names the engines."""
    return f': ran on {",".join(completion.ran_on)}\n\n'.encode()


def completion_response(
    completion: requests.Completion, data: bytes
) -> dict[str, Any]:
    """Returns the JSON body of a completion that is no stream.

    Args:
        completion: The completion.
        data: The events that the engines have sent.
    """
    text = events.extract_text(data)
    choice: dict[str, Any] = {'index': 0, 'finish_reason': 'length'}
    if completion.is_chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    return {
        'id': completion.request_id,
        'object': (
            'chat.completion' if completion.is_chat else 'text_completion'
        ),
        'model': completion.route.name,
        'choices': [choice],
        'usage': events.extract_usage(data),
    }
