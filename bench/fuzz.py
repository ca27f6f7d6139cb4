"""Random search for caller input that a proxy does not stand.

Starts a small system in this process on loopback and sends random frames to
its proxy, as the test of the caller border does, but from a new seed each
time. Prints the seed first; exits with 1 if a promise was broken.
"""

from __future__ import annotations

import argparse
import random
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

import trio
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import seed
from hypothesis import settings

from jackdawpost.testing.caller_fuzz import check_frames
from jackdawpost.testing.caller_fuzz import Frame
from jackdawpost.testing.caller_fuzz import frames
from jackdawpost.tests.runtime.helpers import daemons
from jackdawpost.tests.runtime.helpers import serve_first_write
from jackdawpost.tests.runtime.helpers import start_system

DEFAULT_EXAMPLES = 500


def main(argv: Sequence[str] | None = None) -> int:
    """Run the search and return its exit code."""
    parser = argparse.ArgumentParser(
        prog='python -m bench.fuzz',
        description=__doc__,
        epilog='example: python -m bench.fuzz --seed 7 --examples 2000',
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument('--seed', type=int, help='a random one by default')
    parser.add_argument('--examples', type=int, default=DEFAULT_EXAMPLES)
    args = parser.parse_args(argv)
    number = args.seed
    if number is None:
        number = random.SystemRandom().randrange(2**32)
    print(f'seed {number}, {args.examples} examples', flush=True)
    trio.run(search, number, args.examples)
    print('no promise broken')
    return 0


async def search(number: int, examples: int) -> None:
    """Send random frames; raises what the first failure raised."""
    with tempfile.TemporaryDirectory(prefix='jackdawpost-') as folder:
        async with daemons() as nursery:
            port, _ = await start_system(nursery, Path(folder))
            await serve_first_write(port)

            @seed(number)
            @settings(
                max_examples=examples,
                deadline=None,
                database=None,
                suppress_health_check=list(HealthCheck),
            )
            @given(frames)
            def run(sent: list[Frame]) -> None:
                trio.from_thread.run(check_frames, port, sent)

            await trio.to_thread.run_sync(run)


if __name__ == '__main__':
    sys.exit(main())
