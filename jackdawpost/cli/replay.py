"""Entry point of ``jackdawpost-replay``, which replays recorded traces."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Sequence
from dataclasses import asdict

from jackdawpost.cli.common import EXIT_DONE
from jackdawpost.cli.common import EXIT_FAILED
from jackdawpost.cli.common import EXIT_USAGE
from jackdawpost.errors import TraceError
from jackdawpost.testing.traces import compare_outcome
from jackdawpost.testing.traces import read_outcome
from jackdawpost.testing.traces import replay_trace
from jackdawpost.version import __version__

PROGRAM = 'jackdawpost-replay'
EXAMPLE = f'{PROGRAM} lease-lost.jsonl --expect lease-lost.outcome.json'


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program and return its exit code."""
    args = _build_parser().parse_args(argv)
    try:
        steps = list(replay_trace(args.trace))
        outcome = read_outcome(args.expect) if args.expect else None
    except TraceError as exc:
        print(f'error: {exc}', file=sys.stderr)
        return EXIT_USAGE
    if args.check:
        print(f'{args.trace}: readable, {len(steps) - 1} events')
        return EXIT_DONE
    if args.effects:
        for step in steps:
            print(json.dumps(asdict(step), sort_keys=True, default=repr))
    difference = compare_outcome(steps, outcome) if outcome else None
    if difference is not None:
        print(f'{args.trace}: {difference}', file=sys.stderr)
        return EXIT_FAILED
    if not args.effects:
        effects = sum(len(step.effects) for step in steps)
        print(f'{args.trace}: {len(steps) - 1} events, {effects} effects')
    return EXIT_DONE


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog=PROGRAM,
        description='Replay a recorded trace through the reducer of its role.',
        epilog=f'example: {EXAMPLE}',
    )
    parser.add_argument(
        '--version', action='version', version=f'{PROGRAM} {__version__}'
    )
    parser.add_argument('trace', metavar='TRACE', help='recorded trace')
    parser.add_argument(
        '--expect', metavar='OUTCOME', help='file with the expected outcome'
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='only read the files; exit with 0 if valid, 2 if not',
    )
    parser.add_argument(
        '--effects',
        action='store_true',
        help='print each event with its effects as JSON lines',
    )
    return parser


if __name__ == '__main__':
    raise SystemExit(main())
