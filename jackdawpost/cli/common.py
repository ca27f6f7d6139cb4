"""Arguments and exit codes that the programs share."""

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
    config_required : bool
        False if subcommands accept ``--config`` as well; the program then
        checks by itself that it was given.
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
        help='validate the settings and exit with 0 or 2',
    )
    return parser


def add_record_argument(parser: argparse.ArgumentParser) -> None:
    """Add ``--record``."""
    parser.add_argument(
        '--record',
        metavar='FILE',
        help='write all events that the process receives as JSON lines',
    )


def load_or_exit(args: argparse.Namespace, model: type[ModelT]) -> ModelT:
    """Load the settings; exit with 2 if invalid, with 0 after ``--check``."""
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
    """Raise `ConfigError` unless the certificates of settings load.

    Parameters
    ----------
    path : str
        Settings file, named by the error.
    tls : TlsSettings, optional
        TLS settings of that file.
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
    """Set up logs, run a daemon until it stops, and return its exit code."""
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
    """Return the exceptions of a group and of the groups in it."""
    found: list[Exception] = []
    for exc in group.exceptions:
        if isinstance(exc, BaseExceptionGroup):
            found += flatten_exception_group(exc)
        else:
            found.append(exc)
    return found
