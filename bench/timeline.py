"""Splits failover gaps into phases by the log events of the processes."""

from __future__ import annotations

import json
from datetime import datetime
from pathlib import Path
from statistics import median
from typing import Any

MS_PER_SECOND = 1_000
PHASES = ('detection', 'fencing_and_choice', 'promotion', 'publication')


def read_log(path: Path) -> list[dict[str, Any]]:
    """Parse the JSON lines of a log and add ``at_ms``, the wall-clock time."""
    entries = []
    for text in path.read_text(errors='replace').splitlines():
        try:
            entry = json.loads(text)
        except ValueError:
            continue
        timestamp = datetime.strptime(entry['time'], '%Y-%m-%d %H:%M:%S,%f')
        entry['at_ms'] = timestamp.timestamp() * MS_PER_SECOND
        entries.append(entry)
    return entries


def count_promotions(folder: Path) -> int:
    """Count promotions, except the first one of each group."""
    return sum(
        entry['event'] == 'start_promotion'
        and entry.get('reason') != 'first primary'
        for path in folder.glob('control-*.log')
        for entry in read_log(path)
    )


def split_gap_into_phases(
    folder: Path, group: str, failed_at_ms: float
) -> dict[str, float]:
    """Return the durations of the phases of a failover, in milliseconds.

    Parameters
    ----------
    folder : Path
        Folder with the logs of all processes.
    group : str
        Group whose primary failed.
    failed_at_ms : float
        Wall-clock time of the failure, in milliseconds.

    Returns
    -------
    dict of str to float
        Durations by the names in `PHASES`, up to the first phase whose end
        is not in the logs.
    """
    phase_bounds_ms = [failed_at_ms]
    for pattern, event in (
        ('control-*.log', 'start_promotion'),
        ('control-*.log', 'choose_primary'),
        ('control-*.log', 'finish_promotion'),
        ('proxy-*.log', 'new_term'),
    ):
        event_ms = _find_first(folder, pattern, event, group, failed_at_ms)
        if event_ms is None:
            break
        phase_bounds_ms.append(event_ms)
    return {
        phase: later - earlier
        for phase, earlier, later in zip(
            PHASES, phase_bounds_ms, phase_bounds_ms[1:], strict=False
        )
    }


def _find_first(
    folder: Path, pattern: str, event: str, group: str, after_ms: float
) -> float | None:
    times = [
        entry['at_ms']
        for path in folder.glob(pattern)
        for entry in read_log(path)
        if entry['event'] == event
        and entry.get('group') == group
        and entry['at_ms'] >= after_ms
        # Excludes events in which a proxy reports a group without primary.
        and entry.get('primary', '') is not None
    ]
    return min(times, default=None)


def summarize(values: list[float]) -> dict[str, float]:
    """Return the count, median and maximum of the values."""
    if not values:
        return {'runs': 0}
    return {
        'runs': len(values),
        'median': round(median(values), 1),
        'max': round(max(values), 1),
    }
