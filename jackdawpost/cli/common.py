"""Arguments, settings loading and exit codes shared by the programs."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable
from typing import TypeVar

from pydantic import BaseModel

from jackdawpost.errors import ConfigError
from jackdawpost.errors import JackdawpostError
from jackdawpost.runtime.logs import configure_logging
from jackdawpost.settings.loader import load_settings
from jackdawpost.settings.models import ProcessSettings
from jackdawpost.settings.models import TlsSettings
from jackdawpost.version import __version__
from jackdawpost.wire.tls import build_client_context

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

ModelT = TypeVar('ModelT', bound=BaseModel)
DaemonT = TypeVar('DaemonT', bound=ProcessSettings)


def build_parser(
    program: str,
    description: str,
    example: str,
    config_required: bool = True,
) -> argparse.ArgumentParser:
    """Return a parser with ``--version``, ``--config`` and ``--check``.

    Parameters
    ----------
    program : str
        Name of the program.
    description : str
        What the program does, for ``--help``.
    example : str
        Example of a command line, for ``--help``.
    config_required : bool
        True if the parser rejects a command line without ``--config``. Pass
        False if subcommands accept ``--config`` too; the program then has to
        check that the option was given.
    """
    parser = argparse.ArgumentParser(
        prog=program,
        description=description,
        epilog=f'example: {example}',
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--version', action='version', version=f'{program} {__version__}'
    )
    parser.add_argument(
        '--config',
        metavar='FILE',
        required=config_required,
        help='settings file',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='only validate the settings; exit with 0 if valid, 2 if not',
    )
    return parser


def add_record_argument(parser: argparse.ArgumentParser) -> None:
    """Add the option ``--record``, which writes a trace for replay."""
    parser.add_argument(
        '--record',
        metavar='FILE',
        help='write the events that the process handles as JSON lines',
    )


def load_or_exit(args: argparse.Namespace, model: type[ModelT]) -> ModelT:
    """Load the settings; exit with 2 if invalid, or with 0 on ``--check``."""
    try:
        cfg = load_settings(args.config, model)
        check_tls_files(args.config, getattr(cfg, 'tls', None))
    except ConfigError as exc:
        print(f'error: {exc}', file=sys.stderr)
        raise SystemExit(EXIT_USAGE) from exc
    if args.check:
        print(f'{args.config}: settings are valid')
        raise SystemExit(EXIT_DONE)
    return cfg


def check_tls_files(path: str, tls: TlsSettings | None) -> None:
    """Raise `ConfigError` if the TLS files of the settings cannot be loaded.

    Parameters
    ----------
    path : str
        Settings file, quoted in the error.
    tls : TlsSettings, optional
        TLS settings of that file; None if TLS is off.
    """
    if tls is None:
        return
    try:
        build_client_context(tls)
    except ConfigError as exc:
        raise ConfigError(
            path, exc.key, f'{exc.path}: {exc.value}', exc.valid
        ) from exc


def run_daemon(
    settings: DaemonT,
    record_path: str | None,
    start: Callable[[DaemonT, str | None], int],
) -> int:
    """Configure logging, run a daemon until it stops, return its exit code.

    Parameters
    ----------
    settings : ProcessSettings
        Settings of the process.
    record_path : str, optional
        File to which a trace of all events is written.
    start : callable
        Receives the settings and `record_path`, runs the daemon and returns
        the exit code.
    """
    log = configure_logging(settings.name, settings.log_level)
    try:
        return start(settings, record_path)
    except* (JackdawpostError, OSError) as group:
        for exc in flatten_exception_group(group):
            log.error('cannot run', extra={'detail': str(exc)})
    return EXIT_FAILED


def flatten_exception_group(
    group: BaseExceptionGroup[Exception],
) -> list[Exception]:
    """Return the exceptions of a group, including those of nested groups."""
    exceptions: list[Exception] = []
    for exc in group.exceptions:
        if isinstance(exc, BaseExceptionGroup):
            exceptions += flatten_exception_group(exc)
        else:
            exceptions.append(exc)
    return exceptions
