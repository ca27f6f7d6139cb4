"""Start-up of the programs on the platform: settings, log and exit code."""

from __future__ import annotations

import sys
from collections.abc import Callable

from jackdawpost.cli.common import EXIT_FAILED
from jackdawpost.cli.common import EXIT_USAGE
from jackdawpost.cli.common import flatten_exception_group
from jackdawpost.errors import ConfigError
from jackdawpost.errors import JackdawpostError
from jackdawpost.platform.settings import PlatformSettings
from jackdawpost.runtime.logs import configure_logging


def run_program(
    load: Callable[[], PlatformSettings],
    run: Callable[[PlatformSettings], int],
) -> int:
    """Load the settings and run a daemon until it stops.

    Parameters
    ----------
    load : callable
        Loads the settings; may raise `ConfigError`.
    run : callable
        Runs the daemon and returns its exit code.

    Returns
    -------
    int
        Exit code of the daemon; `EXIT_USAGE` if the settings are invalid,
        `EXIT_FAILED` if the daemon failed.
    """
    try:
        settings = load()
    except ConfigError as error:
        print(f'error: {error}', file=sys.stderr)
        return EXIT_USAGE
    log = configure_logging(settings.node, 'info', sys.stdout)
    try:
        return run(settings)
    except* (JackdawpostError, OSError) as group:
        for exc in flatten_exception_group(group):
            log.error('cannot run', extra={'detail': str(exc)})
    return EXIT_FAILED
