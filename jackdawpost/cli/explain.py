"""Program ``jackdawpost-explain``: the story of one request from logs."""

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
# Fields that every line has; the others are the inputs of a decision.
COMMON_FIELDS = ('time', 'level', 'logger', 'event', 'process', 'request')
# Events that change what a process believes of its surroundings.
BELIEFS = (
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
    """One line of a log."""

    at: datetime
    fields: dict[str, Any]

    @property
    def event(self) -> str:
        """Name of the event."""
        return str(self.fields.get('event', ''))


def read_lines(paths: Iterable[str]) -> Iterator[Line]:
    """Yield the lines of logs that are JSON objects with a time."""
    for path in paths:
        with open(path, encoding='utf-8', errors='replace') as file:
            for text in file:
                line = _parse(text)
                if line is not None:
                    yield line


def _parse(text: str) -> Line | None:
    # A collector may put its own fields before the object.
    start = text.find('{')
    try:
        fields = json.loads(text[start:])
        at = datetime.strptime(fields['time'], TIME_FORMAT)
    except (ValueError, KeyError, TypeError):
        return None
    return Line(at=at, fields=fields)


def tell_story(
    lines: Iterable[Line], request: str, before_s: float
) -> list[Line]:
    """Return what concerns a request, in order of time.

    Parameters
    ----------
    request : str
        Id of the request.
    before_s : float
        Time before its first line, in seconds, from which changes of what
        the processes believed are included.

    Returns
    -------
    list of Line
        Empty if no log names the request.
    """
    known = sorted(lines, key=lambda line: line.at)
    own = [line for line in known if line.fields.get('request') == request]
    if not own:
        return []
    since = own[0].at - timedelta(seconds=before_s)
    return [
        line
        for line in known
        if line.fields.get('request') == request
        or (since <= line.at <= own[-1].at and _is_belief(line))
    ]


def _is_belief(line: Line) -> bool:
    return line.event.startswith(BELIEFS)


def format_line(line: Line, request: str) -> str:
    """Return one line of text; ``>`` marks those of the request itself."""
    mark = '>' if line.fields.get('request') == request else ' '
    inputs = ' '.join(
        f'{name}={value}'
        for name, value in line.fields.items()
        if name not in COMMON_FIELDS
    )
    process = line.fields.get('process', '?')
    time = line.at.strftime(TIME_FORMAT)[:-3]
    return f'{mark} {time} {process} {line.event} {inputs}'


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program and return its exit code."""
    parser = argparse.ArgumentParser(
        prog='jackdawpost-explain',
        description='Print what the logs tell of one request.',
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
        help='time before the request to look back (default: %(default)s)',
    )
    parser.add_argument('request', help='id of the request')
    parser.add_argument('logs', nargs='+', metavar='LOG')
    args = parser.parse_args(argv)
    try:
        story = tell_story(read_lines(args.logs), args.request, args.before)
    except OSError as exc:
        print(f'error: {exc}', file=sys.stderr)
        return EXIT_FAILED
    if not story:
        print(f'no log names request {args.request!r}', file=sys.stderr)
        return EXIT_FAILED
    for line in story:
        print(format_line(line, args.request))
    return EXIT_DONE


if __name__ == '__main__':
    raise SystemExit(main())
