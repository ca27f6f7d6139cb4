"""JSON-line logs on standard error."""

from __future__ import annotations

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter


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
        Where to write; standard error if None.

    Returns
    -------
    logging.Logger
        Logger of the package.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
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
