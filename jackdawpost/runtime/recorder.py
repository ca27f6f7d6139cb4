"""Writes the events that a reducer receives as a trace of JSON lines."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

from jackdawpost.core.events import Event
from jackdawpost.wire.codec import encode_json

TRACE_FORMAT = 1


def open_recorder(
    path: str | Path, role: str, settings: dict[str, Any]
) -> Callable[[Event], None]:
    """Start a trace and return the function that adds an event to it.

    Parameters
    ----------
    path : str or Path
        Trace file; replaced if it exists.
    role : str
        ``'proxy'`` or ``'control'``.
    settings : dict
        Settings of the process, needed for a replay.
    """
    # Line buffering keeps the trace whole up to the last event on a crash.
    trace = open(path, 'w', encoding='utf-8', buffering=1)  # noqa: SIM115
    header = {'format': TRACE_FORMAT, 'role': role, 'settings': settings}
    trace.write(json.dumps(header, sort_keys=True) + '\n')

    def record(event: Event) -> None:
        trace.write(encode_json([event]) + '\n')

    return record
