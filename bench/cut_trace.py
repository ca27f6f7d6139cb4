"""Removes events from a trace as long as its replay has a given outcome.

Example: ``python -m bench.cut_trace long.jsonl outcome.json short.jsonl``
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from collections.abc import Callable
from collections.abc import Sequence
from pathlib import Path

from jackdawpost.errors import TraceError
from jackdawpost.testing.traces import compare_outcome
from jackdawpost.testing.traces import Outcome
from jackdawpost.testing.traces import read_outcome
from jackdawpost.testing.traces import replay_trace


def minimize_lines(
    lines: list[str], is_sufficient: Callable[[list[str]], bool]
) -> list[str]:
    """Remove unneeded lines in chunks of decreasing size.

    Parameters
    ----------
    lines : list of str
        Lines of a trace. The first one, the header, is kept.
    is_sufficient : callable
        Return whether a shortened list still has the wanted property.
    """
    minimized = list(lines)
    chunk_size = len(minimized) // 2
    while chunk_size:
        start = 1
        while start < len(minimized):
            candidate = minimized[:start] + minimized[start + chunk_size :]
            if is_sufficient(candidate):
                minimized = candidate
            else:
                start += chunk_size
        chunk_size //= 2
    return minimized


def has_outcome(lines: list[str], outcome: Outcome) -> bool:
    """Return whether the replay of a trace has the given outcome."""
    with tempfile.NamedTemporaryFile('w', suffix='.jsonl') as trace:
        trace.write('\n'.join(lines) + '\n')
        trace.flush()
        try:
            steps = list(replay_trace(trace.name))
        except (TraceError, LookupError, AttributeError, AssertionError):
            # A removed event may have created state that a later event needs.
            return False
        return compare_outcome(steps, outcome) is None


def main(argv: Sequence[str] | None = None) -> int:
    """Shorten a trace; return 1 if its replay lacks the given outcome."""
    parser = argparse.ArgumentParser(prog='python -m bench.cut_trace')
    parser.add_argument('trace', type=Path)
    parser.add_argument('outcome', type=Path)
    parser.add_argument('output', type=Path)
    args = parser.parse_args(argv)
    outcome = read_outcome(args.outcome)
    lines = args.trace.read_text().splitlines()
    if not has_outcome(lines, outcome):
        print(
            f'{args.trace}: replay does not have the given outcome',
            file=sys.stderr,
        )
        return 1
    minimized = minimize_lines(
        lines, lambda candidate: has_outcome(candidate, outcome)
    )
    args.output.write_text('\n'.join(minimized) + '\n')
    print(f'{args.trace}: {len(lines)} lines reduced to {len(minimized)}')
    return 0


if __name__ == '__main__':
    sys.exit(main())
