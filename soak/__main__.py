"""Command line of the soak."""

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
from soak.run import play

DEFAULT_LENGTH_S = 20.0


def play_seed(run: tuple[int, float], keep: Path) -> tuple[int, list[str]]:
    """Play a seed of a length; keep its logs only if something broke."""
    seed, length_s = run
    folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    try:
        breaches = trio.run(play, seed, length_s, folder).breaches
    except Exception:  # a run that cannot be played is a finding, too
        breaches = [f'not played: {traceback.format_exc()}']
    if breaches:
        place = keep / f'seed-{seed}'
        shutil.rmtree(place, ignore_errors=True)
        shutil.copytree(folder, place)
        (place / 'breaches').write_text('\n'.join(breaches))
    shutil.rmtree(folder)
    return seed, breaches


def parse_seeds(text: str) -> list[int]:
    """Return the seeds of ``'7'`` or ``'1-50'``."""
    first, _, last = text.partition('-')
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    """Play the seeds and report; 1 if a promise was broken."""
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
        help='play the seeds that have failed once',
    )
    args = parser.parse_args()
    runs = [(seed, args.length) for seed in args.seeds]
    if args.regressions:
        runs = [(seed, length_s) for seed, length_s, _ in REGRESSIONS]
    play_one = partial(play_seed, keep=args.keep)
    broken = 0
    with multiprocessing.Pool(args.jobs, maxtasksperchild=1) as pool:
        for seed, breaches in pool.imap_unordered(play_one, runs):
            broken += bool(breaches)
            print(f'seed {seed}: {len(breaches)} breaches', flush=True)
            for breach in breaches[:5]:
                print(f'  {breach[:300]}')
    print(f'{len(runs)} seeds, {broken} with breaches')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
