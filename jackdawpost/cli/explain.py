"""Entry point of ``jackdawpost-explain``, which filters logs for one request.

It merges the logs of several processes by time and prints the lines that name
the request, together with the other lines of its session and the state changes
shortly before and during it.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import datetime
from datetime import timedelta
from typing import Any

from jackdawpost.cli.common import EXIT_DONE
from jackdawpost.cli.common import EXIT_FAILED
from jackdawpost.version import __version__

TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'
DEFAULT_BEFORE_S = 5.0
# Fields that do not depend on the event; the others are the inputs of the
# logged decision.
COMMON_FIELDS = ('time', 'level', 'logger', 'event', 'process', 'request')
# Prefixes of events that change the view a process has of the cluster: its
# leader, members, primaries, upstreams and configuration.
STATE_EVENT_PREFIXES = (
    'upstream_',
    'primary_',
    'promotion_',
    'leader',
    'control_',
    'member_',
    'config_',
    'voters_',
    'draining',
    'stopping',
    'reloaded',
    'pooler starts',
    'control starts',
)


@dataclass(slots=True)
class Line:
    """One line of a log.

    Parameters
    ----------
    timestamp : datetime
        Time of the line, from its field ``time``.
    fields : dict
        All fields of the line.
    """

    timestamp: datetime
    fields: dict[str, Any]

    @property
    def event(self) -> str:
        """Name of the event."""
        return str(self.fields.get('event', ''))


def read_lines(paths: Iterable[str]) -> Iterator[Line]:
    """Yield the lines of log files; skip lines without a JSON object or time.

    Raises
    ------
    OSError
        A file cannot be read.
    """
    for path in paths:
        with open(path, encoding='utf-8', errors='replace') as file:
            for text in file:
                line = _parse_line(text)
                if line is not None:
                    yield line


def _parse_line(text: str) -> Line | None:
    # Log collectors may prefix the JSON object with their own fields.
    start = text.find('{')
    try:
        fields = json.loads(text[start:])
        timestamp = datetime.strptime(fields['time'], TIME_FORMAT)
    except (ValueError, KeyError, TypeError):
        return None
    return Line(timestamp=timestamp, fields=fields)


def select_lines(
    lines: Iterable[Line], request: str, before_s: float
) -> list[Line]:
    """Return the lines of a request, of its session and of state changes.

    Parameters
    ----------
    lines : iterable of Line
        Lines of all logs, in any order.
    request : str
        Id of the request.
    before_s : float
        State changes and other lines of the session are included from this
        many seconds before the first line of the request until its last line.

    Returns
    -------
    list of Line
        Lines in order of time; empty if no line has the id of the request.
    """
    ordered = sorted(lines, key=lambda line: line.timestamp)
    request_lines = [
        line for line in ordered if line.fields.get('request') == request
    ]
    if not request_lines:
        return []
    sessions = {_session_of(line) for line in request_lines} - {None}
    start_time = request_lines[0].timestamp - timedelta(seconds=before_s)
    return [
        line
        for line in ordered
        if line.fields.get('request') == request
        or (
            start_time <= line.timestamp <= request_lines[-1].timestamp
            and (_is_state_event(line) or _session_of(line) in sessions)
        )
    ]


def _session_of(line: Line) -> tuple[str, int] | None:
    """Return the process and number of the session that a line names."""
    session = line.fields.get('session')
    if session is None:
        return None
    return str(line.fields.get('process')), session


def _is_state_event(line: Line) -> bool:
    return line.event.startswith(STATE_EVENT_PREFIXES)


def format_line(line: Line, request: str) -> str:
    """Return a line as text; ``>`` marks lines of the request itself."""
    marker = '>' if line.fields.get('request') == request else ' '
    details = ' '.join(
        f'{name}={value}'
        for name, value in line.fields.items()
        if name not in COMMON_FIELDS
    )
    process = line.fields.get('process', '?')
    time = line.timestamp.strftime(TIME_FORMAT)[:-3]
    return f'{marker} {time} {process} {line.event} {details}'


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program and return its exit code."""
    parser = argparse.ArgumentParser(
        prog='jackdawpost-explain',
        description='Print the log lines of one request and the state changes '
        'around it, in order of time.',
        epilog='example: jackdawpost-explain 3f2a logs/*',
    )
    parser.add_argument(
        '--version',
        action='version',
        version=f'jackdawpost-explain {__version__}',
    )
    parser.add_argument(
        '--before',
        type=float,
        default=DEFAULT_BEFORE_S,
        metavar='SECONDS',
        help='include state changes from this long before the first line of '
        'the request (default: %(default)s)',
    )
    parser.add_argument('request', help='id of the request')
    parser.add_argument('logs', nargs='+', metavar='LOG')
    args = parser.parse_args(argv)
    try:
        selected = select_lines(
            read_lines(args.logs), args.request, args.before
        )
    except OSError as exc:
        print(f'error: {exc}', file=sys.stderr)
        return EXIT_FAILED
    if not selected:
        print(
            f'request {args.request!r} is not named in any of the logs',
            file=sys.stderr,
        )
        return EXIT_FAILED
    for line in selected:
        print(format_line(line, args.request))
    return EXIT_DONE


if __name__ == '__main__':
    raise SystemExit(main())
