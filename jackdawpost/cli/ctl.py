"""``jackdawpost-ctl``: the operators' command line."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

import trio

from jackdawpost.cli.common import build_parser
from jackdawpost.cli.common import EXIT_FAILED
from jackdawpost.cli.common import EXIT_USAGE
from jackdawpost.cli.common import load_or_exit
from jackdawpost.cli.ctl_commands import run_command
from jackdawpost.cli.operator_link import NoAnswerError
from jackdawpost.cli.operator_link import open_operator_link
from jackdawpost.cli.operator_link import OpenLink
from jackdawpost.core.objects.model import OBJECT_TYPES
from jackdawpost.errors import ConfigError
from jackdawpost.settings.models import CtlSettings

PROGRAM = 'jackdawpost-ctl'


def build_ctl_parser() -> argparse.ArgumentParser:
    """Return the parser of all subcommands."""
    parser = build_parser(
        PROGRAM,
        'Operate a jackdawpost deployment.',
        f'{PROGRAM} --config ctl.json apply changes.json --dry-run',
        config_required=False,
    )
    parser.add_argument('--json', action='store_true', help='print JSON')
    # Both options are accepted after the subcommand too, where the default
    # must not overwrite what was given before it.
    shared = argparse.ArgumentParser(add_help=False)
    shared.add_argument('--config', metavar='FILE', default=argparse.SUPPRESS)
    shared.add_argument(
        '--json', action='store_true', default=argparse.SUPPRESS
    )
    commands = parser.add_subparsers(dest='command', metavar='COMMAND')
    _add_change_commands(commands, shared)
    _add_query_commands(commands, shared)
    _add_member_commands(commands, shared)
    return parser


def main(
    argv: Sequence[str] | None = None,
    open_link: OpenLink = open_operator_link,
) -> int:
    """Run the program.

    Parameters
    ----------
    argv : sequence of str, optional
        Arguments; those of the process by default.
    open_link : callable
        Opens a connection to a control process.

    Returns
    -------
    int
        0 done, 1 refused or failed, 2 wrong usage or settings.
    """
    parser = build_ctl_parser()
    args = parser.parse_args(argv)
    if args.config is None:
        parser.error('the following arguments are required: --config')
    cfg = load_or_exit(args, CtlSettings)
    if args.command is None:
        parser.error('the following arguments are required: COMMAND')
    try:
        return trio.run(run_command, cfg, args, open_link)
    except ConfigError as exc:
        print(f'error: {exc}', file=sys.stderr)
        return EXIT_USAGE
    except NoAnswerError as exc:
        print(f'error: {exc}', file=sys.stderr)
        return EXIT_FAILED


def _add_change_commands(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
    shared: argparse.ArgumentParser,
) -> None:
    parser = commands.add_parser(
        'apply', parents=[shared], help='apply a change set'
    )
    parser.add_argument('file', metavar='FILE')
    parser.add_argument('--dry-run', action='store_true', help='only validate')
    parser.add_argument(
        '--change-id',
        metavar='ID',
        help='identity across resends; a new one by default',
    )
    parser.add_argument(
        '--base-revision',
        metavar='N',
        type=int,
        help='revision that the file was written against; by default the '
        'current one',
    )
    parser = commands.add_parser(
        'diff', parents=[shared], help='compare a change set with the objects'
    )
    parser.add_argument('file', metavar='FILE')


def _add_query_commands(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
    shared: argparse.ArgumentParser,
) -> None:
    parser = commands.add_parser(
        'get', parents=[shared], help='print named objects'
    )
    parser.add_argument(
        'type', metavar='TYPE', nargs='?', choices=OBJECT_TYPES
    )
    parser.add_argument('name', metavar='NAME', nargs='?', default='')
    for name, text in (
        ('history', 'print the accepted change sets'),
        ('status', 'print groups, newcomers and versions in force'),
        ('dump', 'print the whole state'),
    ):
        commands.add_parser(name, parents=[shared], help=text)


def _add_member_commands(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
    shared: argparse.ArgumentParser,
) -> None:
    parser = commands.add_parser(
        'members', parents=[shared], help='print or remove members'
    )
    actions = parser.add_subparsers(dest='action', metavar='ACTION')
    removal = actions.add_parser('remove', parents=[shared])
    removal.add_argument('name', metavar='NAME')
    removal.add_argument(
        '--id',
        metavar='ID',
        help='identity to remove; needed if the name has more than one',
    )
    for name, text in (
        ('approve', 'ask again for the missing approvals of a newcomer'),
        ('drain', 'give an upstream no new work'),
    ):
        parser = commands.add_parser(name, parents=[shared], help=text)
        parser.add_argument('name', metavar='NAME')
        if name == 'drain':
            parser.add_argument('--undo', action='store_true')
            parser.add_argument('--change-id', metavar='ID')
    parser = commands.add_parser(
        'promote', parents=[shared], help='replace the primary of a group'
    )
    parser.add_argument('group', metavar='GROUP')
    parser.add_argument(
        '--accept-loss',
        action='store_true',
        help='promote even if acknowledged writes may be lost',
    )


if __name__ == '__main__':
    sys.exit(main())
