"""Command line of ``jackdawpost-standin-database``.

The program runs one simulated database of a replicated group.
"""

from __future__ import annotations

import sys

import trio

from jackdawpost.cli.common import build_parser
from jackdawpost.cli.common import EXIT_FAILED
from jackdawpost.cli.common import flatten_exception_group
from jackdawpost.cli.common import load_or_exit
from jackdawpost.errors import JackdawpostError
from jackdawpost.runtime.logs import configure_logging
from jackdawpost_standin.process import StandinDatabase
from jackdawpost_standin.settings import StandinSettings

PROGRAM = 'jackdawpost-standin-database'


def main(argv: list[str] | None = None) -> int:
    """Run the program and return its exit code."""
    parser = build_parser(
        PROGRAM,
        'Simulated database of a replicated group, for tests.',
        f'{PROGRAM} --config spares-1.jsonc',
    )
    cfg = load_or_exit(parser.parse_args(argv), StandinSettings)
    configure_logging(cfg.name, cfg.log_level)
    exit_code = EXIT_FAILED
    try:
        exit_code = trio.run(_run, cfg)
    except* (JackdawpostError, OSError) as group:
        for exc in flatten_exception_group(group):
            print(f'error: {exc}', file=sys.stderr)
    return exit_code


async def _run(cfg: StandinSettings) -> int:
    standin = StandinDatabase(cfg)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(standin.watch_signals)
        exit_code = await standin.run()
        nursery.cancel_scope.cancel()
    return exit_code


if __name__ == '__main__':
    sys.exit(main())
