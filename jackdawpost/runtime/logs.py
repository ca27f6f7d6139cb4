"""Logging of JSON lines with a rate limit and without blocking."""

from __future__ import annotations

import logging
import os
import sys
import time
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

# Token bucket: maximum lines in a burst, and lines per second after it. Each
# failed statement logs one line, and a pooler serves some hundred statements
# per second.
BURST_LINES = 1_000.0
LINES_PER_S = 200.0
# A longer line has its texts cut. The ids and names in it come from callers,
# whose messages may be 1 MiB long.
MAX_LINE_BYTES = 8_192
MAX_TEXT_CHARS = 400


class BoundedHandler(logging.Handler):
    """Writes log lines to a file descriptor without blocking.

    Lines are dropped if they exceed the rate limit or do not fit into the
    pipe. The next line that is written contains the number of dropped lines.

    Parameters
    ----------
    fd : int
        File descriptor, which is set to non-blocking mode.
    """

    def __init__(self, fd: int) -> None:
        super().__init__()
        self.dropped = 0
        self._fd = fd
        self._unwritten = b''
        self._tokens = BURST_LINES
        self._refilled_s = time.monotonic()
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or count it as dropped."""
        if not self._acquire_token():
            self.dropped += 1
            return
        if self.dropped:
            record.dropped_lines = self.dropped
        try:
            line = self.format(record).encode(errors='replace') + b'\n'
            if len(line) > MAX_LINE_BYTES:
                _cut_texts(record)
                line = self.format(record).encode(errors='replace') + b'\n'
        except Exception:  # noqa: BLE001 - a bad field must not end a process
            self.handleError(record)
            return
        if self._write(line):
            self.dropped = 0
        else:
            self.dropped += 1

    def _acquire_token(self) -> bool:
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _write(self, line: bytes) -> bool:
        """Write the rest of a partial line, then this line.

        Returns
        -------
        bool
            False if the line was dropped.
        """
        try:
            if self._unwritten:
                written = os.write(self._fd, self._unwritten)
                self._unwritten = self._unwritten[written:]
            if self._unwritten:
                return False
            written = os.write(self._fd, line)
        except OSError:
            # The pipe is full or has no reader.
            return False
        self._unwritten = line[written:]
        return True


def _cut_texts(record: logging.LogRecord) -> None:
    for name, value in record.__dict__.items():
        if isinstance(value, str) and len(value) > MAX_TEXT_CHARS:
            record.__dict__[name] = value[:MAX_TEXT_CHARS] + '...'


def configure_logging(
    process: str, level: str, stream: TextIO | None = None
) -> logging.Logger:
    """Configure all loggers of this process to write JSON lines.

    Parameters
    ----------
    process : str
        Name of the process, added to each line.
    level : str
        Minimum level: debug, info, warning or error.
    stream : TextIO, optional
        Output stream, written with `BoundedHandler`. The default is standard
        error without a rate limit.

    Returns
    -------
    logging.Logger
        Logger of the package.
    """
    handler: logging.Handler = logging.StreamHandler(sys.stderr)
    if stream is not None:
        handler = BoundedHandler(stream.fileno())
    handler.setFormatter(
        JsonFormatter(
            '%(asctime)s %(levelname)s %(name)s %(message)s',
            rename_fields={
                'asctime': 'time',
                'levelname': 'level',
                'name': 'logger',
                'message': 'event',
            },
            static_fields={'process': process},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger('websockets').setLevel(logging.WARNING)
    return logging.getLogger('jackdawpost')
