"""Records the events of a reducer in a trace file of JSON lines."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any

from jackdawpost.core.consensus.state import RestoredState
from jackdawpost.core.events import Event
from jackdawpost.runtime.shell import ignore_event
from jackdawpost.wire.codec import encode_json

TRACE_FORMAT = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class TraceHeader:
    """First line of a trace: values that the initial state was built from.

    Parameters
    ----------
    role : str
        ``'proxy'`` or ``'control'``.
    settings : dict
        Settings of the process.
    incarnation : str
        Unique id of this run of a proxy; empty for a control process.
    now_ms : float
        Time at which the state was created, in milliseconds.
    restored : dict
        Durable state that the control process read at startup, with bytes
        in hexadecimal. Empty for a proxy.
    """

    role: str
    settings: dict[str, Any]
    incarnation: str = ''
    now_ms: float = 0.0
    restored: dict[str, Any] = field(default_factory=dict)
    format: int = field(default=TRACE_FORMAT)


def describe_restored(restored: RestoredState) -> dict[str, Any]:
    """Return durable state in the form of `TraceHeader.restored`."""
    return {
        'node_id': restored.node_id,
        'hard_state': _to_hex(restored.hard_state),
        'snapshot': _to_hex(restored.snapshot),
        'entries': [entry.hex() for entry in restored.entries],
    }


def read_restored(described: dict[str, Any]) -> RestoredState:
    """Return the durable state from `TraceHeader.restored`.

    Raises
    ------
    ValueError
        A value is not valid hexadecimal text.
    KeyError
        A value is missing.
    """
    return RestoredState(
        node_id=described['node_id'],
        hard_state=_from_hex(described['hard_state']),
        snapshot=_from_hex(described['snapshot']),
        entries=[bytes.fromhex(entry) for entry in described['entries']],
    )


def _to_hex(value: bytes | None) -> str | None:
    return None if value is None else value.hex()


def _from_hex(value: str | None) -> bytes | None:
    return None if value is None else bytes.fromhex(value)


def build_recorder(
    path: str | Path | None, header: TraceHeader
) -> Callable[[Event], None]:
    """Start a trace and return the function that appends an event to it.

    Parameters
    ----------
    path : str or Path, optional
        Trace file, overwritten if it exists. None disables recording.
    header : TraceHeader
        First line of the trace.
    """
    if path is None:
        return ignore_event
    # Line buffering: after a crash the trace is complete up to the last event.
    trace = open(path, 'w', encoding='utf-8', buffering=1)  # noqa: SIM115
    trace.write(json.dumps(asdict(header), sort_keys=True) + '\n')

    def record(event: Event) -> None:
        trace.write(encode_json([event]) + '\n')

    return record
