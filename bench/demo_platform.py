"""Demo of the platform's programs with a crash of the primary under load.

It starts three control processes, three edge processes and stand-in databases
on loopback addresses, sends a mixed load and crashes the primary. It then
prints the outcomes of the operations and the violations of the invariants in
`soak.invariants`. The exit code is 1 if there are violations.
"""

from __future__ import annotations

import sys
import tempfile
from collections import Counter
from pathlib import Path

import trio

from soak.callers import Operation
from soak.plan import Fault
from soak.platform_standin import CONSISTENCY_BY_DATABASE
from soak.run import run_plan

SEED = 1
LENGTH_S = 8.0
CRASH = Fault(kind='database_crash', at_s=3.0, for_s=3.0, target=0, share=1.0)
MS_PER_SECOND = 1_000


def main() -> int:
    """Run the demo and return its exit code."""
    with tempfile.TemporaryDirectory() as folder:
        run = trio.run(run_plan, SEED, LENGTH_S, Path(folder), [CRASH])
    operations = run.recorder.operations
    print(f'{len(operations)} operations, primary crashed at {CRASH.at_s} s')
    for database, consistency in CONSISTENCY_BY_DATABASE.items():
        counts = Counter(
            op.outcome for op in operations if op.database == database
        )
        outcomes = ', '.join(f'{k} {n}' for k, n in counts.most_common() if k)
        print(f'  {database} ({consistency}): {outcomes}')
    print(
        'longest time between successful writes: '
        f'{longest_gap_ms(operations):.0f} ms'
    )
    for violation in run.violations:
        print(f'VIOLATION {violation}')
    return 1 if run.violations else 0


def longest_gap_ms(operations: list[Operation]) -> float:
    """Return the longest time between consecutive successful writes."""
    ends = sorted(
        op.ended_s for op in operations if op.writes and op.outcome == 'done'
    )
    gaps = (later - end for end, later in zip(ends, ends[1:], strict=False))
    return max(gaps, default=0.0) * MS_PER_SECOND


if __name__ == '__main__':
    sys.exit(main())
