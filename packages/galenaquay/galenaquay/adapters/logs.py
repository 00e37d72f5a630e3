"""Writes logs as JSON lines to standard output without blocking."""

import contextlib
import logging
import os
import sys
from typing import Final

from pythonjsonlogger import orjson as json_logs

# Fields of every line, and the output names of those that are renamed.
_FIELDS: Final = '%(asctime)s %(levelname)s %(name)s %(message)s'
_NAMES: Final = {'asctime': 'time', 'levelname': 'level', 'name': 'logger'}


class LineHandler(logging.Handler):
    """Writes lines to a file descriptor; drops lines rather than block."""

    # Number of dropped lines.
    dropped: int

    def __init__(self, fd: int) -> None:
        super().__init__()
        self.dropped = 0
        self._fd = fd
        # The unwritten end of a line after a partial write.
        self._unwritten = b''
        if not os.isatty(fd):
            # A stalled reader of the log must not block the process.
            with contextlib.suppress(OSError):
                os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record as a line, or counts the line as dropped."""
        try:
            line = self._format_line(record)
        except (TypeError, ValueError):
            # The default handling would write to the standard error output,
            # which may block.
            self.dropped += 1
            return
        try:
            if self._unwritten:
                self._unwritten = self._unwritten[
                    os.write(self._fd, self._unwritten) :
                ]
            if self._unwritten:
                self.dropped += 1
                return
            self._unwritten = line[os.write(self._fd, line) :]
        except OSError:
            self.dropped += 1

    def _format_line(self, record: logging.LogRecord) -> bytes:
        try:
            return self.format(record).encode() + b'\n'
        except (TypeError, ValueError):
            # Texts of callers and endpoints may have bytes that are not UTF-8.
            escaped = logging.makeLogRecord(
                {
                    name: _escape(value)
                    for name, value in record.__dict__.items()
                }
            )
            return self.format(escaped).encode() + b'\n'


def _escape(value: object) -> object:
    """Escapes bytes that are not UTF-8 in texts and in lists of texts."""
    if isinstance(value, str):
        return value.encode('utf-8', 'backslashreplace').decode()
    if isinstance(value, list):
        return [_escape(item) for item in value]
    if isinstance(value, tuple):
        return tuple(_escape(item) for item in value)
    return value


def start_logging(level: str, vm_id: str, zone: str) -> LineHandler:
    """Sends all logs to standard output, one JSON object per line."""
    handler = LineHandler(sys.stdout.fileno())
    handler.setFormatter(
        json_logs.OrjsonFormatter(
            _FIELDS,
            rename_fields=_NAMES,
            static_fields={'vm': vm_id, 'zone': zone},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger('aiohttp.access').setLevel(logging.WARNING)
    return handler
