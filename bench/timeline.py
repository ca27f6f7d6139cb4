"""Splits failover gaps into their parts from the processes' logs."""

from __future__ import annotations

import json
from datetime import datetime
from pathlib import Path
from statistics import median
from typing import Any

MS_PER_SECOND = 1_000
PHASES = ('detection', 'fencing_and_choice', 'promotion', 'publication')


def read_log(path: Path) -> list[dict[str, Any]]:
    """Return the JSON lines of a log with ``at_ms``, wall-clock time."""
    lines = []
    for text in path.read_text(errors='replace').splitlines():
        try:
            line = json.loads(text)
        except ValueError:
            continue
        stamp = datetime.strptime(line['time'], '%Y-%m-%d %H:%M:%S,%f')
        line['at_ms'] = stamp.timestamp() * MS_PER_SECOND
        lines.append(line)
    return lines


def count_promotions(folder: Path) -> int:
    """Return the promotions that were not the first of their group."""
    return sum(
        line['event'] == 'start_promotion'
        and line.get('reason') != 'first primary'
        for path in folder.glob('control-*.log')
        for line in read_log(path)
    )


def split_gap_into_phases(
    folder: Path, group: str, failed_at_ms: float
) -> dict[str, float]:
    """Return the parts of the gap after a failure, in milliseconds.

    Parameters
    ----------
    folder : Path
        Folder with the logs of all processes.
    group : str
        Group whose primary failed.
    failed_at_ms : float
        Wall-clock time of the failure.

    Returns
    -------
    dict of str to float
        Duration of each part that the logs show.
    """
    marks = [failed_at_ms]
    for pattern, event in (
        ('control-*.log', 'start_promotion'),
        ('control-*.log', 'choose_primary'),
        ('control-*.log', 'finish_promotion'),
        ('proxy-*.log', 'new_term'),
    ):
        found = _find_first(folder, pattern, event, group, failed_at_ms)
        if found is None:
            break
        marks.append(found)
    return {
        part: later - earlier
        for part, earlier, later in zip(PHASES, marks, marks[1:], strict=False)
    }


def _find_first(
    folder: Path, pattern: str, event: str, group: str, after_ms: float
) -> float | None:
    times = [
        line['at_ms']
        for path in folder.glob(pattern)
        for line in read_log(path)
        if line['event'] == event
        and line.get('group') == group
        and line['at_ms'] >= after_ms
        # A proxy also logs that the group has no primary for now.
        and line.get('primary', '') is not None
    ]
    return min(times, default=None)


def summarize(values: list[float]) -> dict[str, float]:
    """Return count, median and maximum."""
    if not values:
        return {'runs': 0}
    return {
        'runs': len(values),
        'median': round(median(values), 1),
        'max': round(max(values), 1),
    }
