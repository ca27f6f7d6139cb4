"""Runs the fault-injection soak test with the given seeds."""

from __future__ import annotations

import argparse
import multiprocessing
import shutil
import sys
import tempfile
import traceback
from functools import partial
from pathlib import Path

import trio

from soak.regressions import REGRESSIONS
from soak.run import run_plan

DEFAULT_LENGTH_S = 20.0


def run_seed(run: tuple[int, float], keep: Path) -> tuple[int, list[str]]:
    """Run a seed; keep the run's folder only if there are violations.

    Parameters
    ----------
    run : tuple
        Seed and length of the faults in seconds.
    keep : Path
        Parent of the folders that are kept.
    """
    seed, length_s = run
    folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    try:
        violations = trio.run(run_plan, seed, length_s, folder).violations
    except Exception:  # a run that cannot finish counts as a violation
        violations = [f'run failed: {traceback.format_exc()}']
    if violations:
        kept_folder = keep / f'seed-{seed}'
        shutil.rmtree(kept_folder, ignore_errors=True)
        shutil.copytree(folder, kept_folder)
        (kept_folder / 'breaches').write_text('\n'.join(violations))
    shutil.rmtree(folder)
    return seed, violations


def parse_seeds(text: str) -> list[int]:
    """Return the seeds of ``'7'`` or ``'1-50'``."""
    first, _, last = text.partition('-')
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    """Run the seeds and print the results; return 1 on any violation."""
    parser = argparse.ArgumentParser(
        prog='python -m soak', description=__doc__
    )
    parser.add_argument('--seeds', type=parse_seeds, default=[1])
    parser.add_argument('--jobs', type=int, default=2)
    parser.add_argument('--length', type=float, default=DEFAULT_LENGTH_S)
    parser.add_argument('--keep', type=Path, default=Path('soak-failures'))
    parser.add_argument(
        '--regressions',
        action='store_true',
        help='run the seeds that have failed before',
    )
    args = parser.parse_args()
    runs = [(seed, args.length) for seed in args.seeds]
    if args.regressions:
        runs = [(seed, length_s) for seed, length_s, _ in REGRESSIONS]
    run_one = partial(run_seed, keep=args.keep)
    failed_count = 0
    with multiprocessing.Pool(args.jobs, maxtasksperchild=1) as pool:
        for seed, violations in pool.imap_unordered(run_one, runs):
            failed_count += bool(violations)
            print(f'seed {seed}: {len(violations)} violations', flush=True)
            for violation in violations[:5]:
                print(f'  {violation[:300]}')
    print(f'{len(runs)} seeds, {failed_count} with violations')
    return 1 if failed_count else 0


if __name__ == '__main__':
    sys.exit(main())
