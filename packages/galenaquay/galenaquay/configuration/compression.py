"""Compresses documents, also as the difference to an earlier version."""

import collections
from typing import Final

import zstandard

from . import mirror

# Level of zstd.
LEVEL: Final = 3
# Maximum size of a document after decompression, in bytes.
MAX_DOCUMENT_BYTES: Final = 16 * 1024 * 1024
# Number of compressed documents that are kept. Most followers of a copy need
# the same ones.
MAX_CACHED: Final = 16


class CompressionError(Exception):
    """Compressed data is invalid, or the document is too large."""


def compress(value: bytes, base: bytes = b'') -> bytes:
    """Compresses a document.

    Args:
        value: The document.
        base: An earlier version that the receiver has.
    """
    parameters = zstandard.ZstdCompressionParameters.from_level(
        LEVEL,
        source_size=len(value),
        dict_size=len(base),
        window_log=_window_log(len(value) + len(base)),
        write_checksum=True,
    )
    compressor = zstandard.ZstdCompressor(
        dict_data=_dictionary(base), compression_params=parameters
    )
    return compressor.compress(value)


def decompress(data: bytes, base: bytes = b'') -> bytes:
    """Restores a document; raises CompressionError if that fails.

    Args:
        data: The compressed document.
        base: The version that the document was compressed with.
    """
    try:
        if zstandard.frame_content_size(data) > MAX_DOCUMENT_BYTES:
            raise CompressionError('the document is too large')
        return zstandard.ZstdDecompressor(
            dict_data=_dictionary(base),
            max_window_size=2 * MAX_DOCUMENT_BYTES,
        ).decompress(data, max_output_size=MAX_DOCUMENT_BYTES)
    except zstandard.ZstdError as exc:
        raise CompressionError(str(exc)) from exc


def _dictionary(base: bytes) -> zstandard.ZstdCompressionDict | None:
    if not base:
        return None
    return zstandard.ZstdCompressionDict(
        base, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )


def _window_log(size: int) -> int:
    return max(zstandard.WINDOWLOG_MIN, size.bit_length())


class CompressionCache:
    """Compresses documents and keeps the latest results."""

    def __init__(self) -> None:
        self._cached: collections.OrderedDict[tuple[str, int, int], bytes] = (
            collections.OrderedDict()
        )

    def compress(
        self, document: mirror.Document, base: mirror.Document | None
    ) -> bytes:
        """Compresses a document, as the difference to `base` if given."""
        key = (
            document.key,
            document.revision,
            base.revision if base is not None else 0,
        )
        if key not in self._cached:
            self._cached[key] = compress(
                document.value, base.value if base is not None else b''
            )
        self._cached.move_to_end(key)
        if len(self._cached) > MAX_CACHED:
            self._cached.popitem(last=False)
        return self._cached[key]
