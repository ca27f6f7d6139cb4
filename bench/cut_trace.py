"""Cuts a trace to a small one that still has its stated outcome.

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


def cut_lines(
    lines: list[str], holds: Callable[[list[str]], bool]
) -> list[str]:
    """Drop lines, ever smaller chunks of them, for as long as `holds`.

    Parameters
    ----------
    lines : list of str
        Lines of a trace; the first one, the header, stays.
    holds : callable
        Tells whether a shorter list still shows the point.
    """
    kept = list(lines)
    size = len(kept) // 2
    while size:
        start = 1
        while start < len(kept):
            shorter = kept[:start] + kept[start + size :]
            if holds(shorter):
                kept = shorter
            else:
                start += size
        size //= 2
    return kept


def has_outcome(lines: list[str], outcome: Outcome) -> bool:
    """Tell whether a trace can be replayed with a stated outcome."""
    with tempfile.NamedTemporaryFile('w', suffix='.jsonl') as trace:
        trace.write('\n'.join(lines) + '\n')
        trace.flush()
        try:
            steps = list(replay_trace(trace.name))
        except (TraceError, LookupError, AttributeError, AssertionError):
            # Without some event the reducer can lack what a later one needs.
            return False
        return compare_outcome(steps, outcome) is None


def main(argv: Sequence[str] | None = None) -> int:
    """Cut one trace; return 1 if it does not have its outcome at all."""
    parser = argparse.ArgumentParser(prog='python -m bench.cut_trace')
    parser.add_argument('trace', type=Path)
    parser.add_argument('outcome', type=Path)
    parser.add_argument('output', type=Path)
    args = parser.parse_args(argv)
    outcome = read_outcome(args.outcome)
    lines = args.trace.read_text().splitlines()
    if not has_outcome(lines, outcome):
        print(f'{args.trace}: outcome not found', file=sys.stderr)
        return 1
    kept = cut_lines(lines, lambda shorter: has_outcome(shorter, outcome))
    args.output.write_text('\n'.join(kept) + '\n')
    print(f'{args.trace}: {len(lines)} lines cut to {len(kept)}')
    return 0


if __name__ == '__main__':
    sys.exit(main())
