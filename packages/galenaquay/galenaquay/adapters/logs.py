"""Logs as JSON lines on standard output, bounded and never waited for."""

import contextlib
import logging
import os
import sys
from typing import Final

from pythonjsonlogger import orjson as json_logs

# Fields that every line has, and how they are called.
_FIELDS: Final = '%(asctime)s %(levelname)s %(name)s %(message)s'
_NAMES: Final = {'asctime': 'time', 'levelname': 'level', 'name': 'logger'}


class LineHandler(logging.Handler):
    """Writes lines to a file descriptor and drops what it does not take."""

    # Lines that were dropped.
    dropped: int

    def __init__(self, fd: int) -> None:
        super().__init__()
        self.dropped = 0
        self._fd = fd
        # The end of a line of which only the beginning was taken.
        self._rest = b''
        if not os.isatty(fd):
            # A reader that has stopped must not stop the process.
            with contextlib.suppress(OSError):
                os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one line, or counts it as dropped."""
        try:
            line = self.format(record).encode() + b'\n'
        except (TypeError, ValueError):
            self.handleError(record)
            return
        try:
            if self._rest:
                self._rest = self._rest[os.write(self._fd, self._rest) :]
            if self._rest:
                self.dropped += 1
                return
            self._rest = line[os.write(self._fd, line) :]
        except OSError:
            self.dropped += 1


def start_logging(level: str, vm_id: str, zone: str) -> LineHandler:
    """Sends every log to standard output, a JSON object a line."""
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
