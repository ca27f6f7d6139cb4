"""Arguments and exit codes that the programs share."""

from __future__ import annotations

import argparse
import sys
from typing import TypeVar

from pydantic import BaseModel

from jackdawpost.core.errors import ConfigError
from jackdawpost.settings.loader import load_settings
from jackdawpost.version import __version__

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

ModelT = TypeVar('ModelT', bound=BaseModel)


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
    except ConfigError as exc:
        print(f'error: {exc}', file=sys.stderr)
        raise SystemExit(EXIT_USAGE) from exc
    if args.check:
        print(f'{args.config}: settings are valid')
        raise SystemExit(EXIT_DONE)
    return cfg
