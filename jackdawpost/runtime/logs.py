"""JSON-line logs, bounded in volume and never waited for."""

from __future__ import annotations

import logging
import os
import sys
import time
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

# Lines that a process may write in a burst, and each second after it. One
# failed statement takes one line; a pooler serves some hundred a second.
BURST_LINES = 1_000.0
LINES_PER_S = 200.0


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor that it never waits for.

    Lines beyond the rate, and those that the reader of a pipe leaves no room
    for, are dropped; the next line that is written tells how many.

    Parameters
    ----------
    fd : int
        File descriptor; it is made non-blocking.
    """

    def __init__(self, fd: int) -> None:
        super().__init__()
        self.dropped = 0
        self._fd = fd
        self._rest = b''
        self._left = BURST_LINES
        self._filled_s = time.monotonic()
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or count it as dropped."""
        if not self._take_turn():
            self.dropped += 1
            return
        if self.dropped:
            record.dropped_lines = self.dropped
        try:
            line = self.format(record).encode(errors='replace') + b'\n'
        except Exception:  # noqa: BLE001 - a bad field must not end a process
            self.handleError(record)
            return
        if self._write(line):
            self.dropped = 0
        else:
            self.dropped += 1

    def _take_turn(self) -> bool:
        now_s = time.monotonic()
        gained = (now_s - self._filled_s) * LINES_PER_S
        self._left = min(BURST_LINES, self._left + gained)
        self._filled_s = now_s
        if self._left < 1:
            return False
        self._left -= 1
        return True

    def _write(self, line: bytes) -> bool:
        """Write a line; what a pipe takes in part is finished first."""
        try:
            if self._rest:
                written = os.write(self._fd, self._rest)
                self._rest = self._rest[written:]
            if self._rest:
                return False
            written = os.write(self._fd, line)
        except OSError:
            # A full pipe, or one that nobody reads: counted as dropped.
            return False
        self._rest = line[written:]
        return True


def configure_logging(
    process: str, level: str, stream: TextIO | None = None
) -> logging.Logger:
    """Send the logs of this process to a stream as JSON lines.

    Parameters
    ----------
    process : str
        Name of the process, added to each line.
    level : str
        Lowest level to write: debug, info, warning or error.
    stream : TextIO, optional
        Where to write, bounded in volume; without it, standard error
        without a bound.

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
