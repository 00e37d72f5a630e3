"""Header values whose bytes are not ASCII, as HTTP/1.1 permits them.

Header values are texts in this program. Bytes that are not valid UTF-8 are
represented by lone surrogates, as aiohttp's parser does it, so that each value
can be encoded byte for byte again.
"""

from typing import Final

from aiohttp import http
import multidict

_CODEC: Final = 'utf-8'
_ERRORS: Final = 'surrogateescape'


def encode(text: str) -> bytes:
    """Returns the bytes of a header value or a request target."""
    return text.encode(_CODEC, _ERRORS)


def decode(data: bytes) -> str:
    """Returns the text for the bytes of a header value."""
    return data.decode(_CODEC, _ERRORS)


class RawHeadWriter(http.StreamWriter):
    """Writes header values byte for byte; aiohttp writes valid UTF-8 only."""

    async def write_headers(
        self, status_line: str, headers: 'multidict.CIMultiDict[str]'
    ) -> None:
        """Prepares the head of a response.

        Raises:
            ValueError: The head has a forbidden control character.
        """
        if all(value.isascii() for value in headers.values()):
            await super().write_headers(status_line, headers)
            return
        # Has aiohttp check the names and the ASCII part of the values.
        checked = multidict.CIMultiDict(
            (name, value.encode('ascii', 'replace').decode())
            for name, value in headers.items()
        )
        await super().write_headers(status_line, checked)
        lines = [status_line.encode()]
        lines += [
            name.encode() + b': ' + encode(value)
            for name, value in headers.items()
        ]
        self._headers_buf = b'\r\n'.join([*lines, b'', b''])
