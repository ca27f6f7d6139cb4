"""Fuzzes the caller connections of a proxy with random frames.

It starts a small system on loopback in this process, sends random frames to
the proxy and checks the answers. A test does the same with a fixed seed; this
program uses a new seed each time and prints it first. The exit code is 1 if a
check fails.
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
from jackdawpost.tests.runtime.helpers import start_system
from jackdawpost.tests.runtime.helpers import wait_for_first_write

DEFAULT_EXAMPLES = 500


def main(argv: Sequence[str] | None = None) -> int:
    """Run the fuzzer and return the exit code."""
    parser = argparse.ArgumentParser(
        prog='python -m bench.fuzz',
        description=__doc__,
        epilog='example: python -m bench.fuzz --seed 7 --examples 2000',
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--seed', type=int, help='seed of the frames, random by default'
    )
    parser.add_argument('--examples', type=int, default=DEFAULT_EXAMPLES)
    args = parser.parse_args(argv)
    seed_value = args.seed
    if seed_value is None:
        seed_value = random.SystemRandom().randrange(2**32)
    print(f'seed {seed_value}, {args.examples} examples', flush=True)
    trio.run(fuzz_proxy, seed_value, args.examples)
    print('no check failed')
    return 0


async def fuzz_proxy(seed_value: int, examples: int) -> None:
    """Send random frames and raise the exception of the first failure."""
    with tempfile.TemporaryDirectory(prefix='jackdawpost-') as folder:
        async with daemons() as nursery:
            port, _ = await start_system(nursery, Path(folder))
            await wait_for_first_write(port)

            @seed(seed_value)
            @settings(
                max_examples=examples,
                deadline=None,
                database=None,
                suppress_health_check=list(HealthCheck),
            )
            @given(frames)
            def check_example(sent_frames: list[Frame]) -> None:
                trio.from_thread.run(check_frames, port, sent_frames)

            await trio.to_thread.run_sync(check_example)


if __name__ == '__main__':
    sys.exit(main())
