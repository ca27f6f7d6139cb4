"""Entry point and arguments of ``jackdawpost-ctl``, used by operators."""

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
    """Return the parser of the program and its subcommands."""
    parser = build_parser(
        PROGRAM,
        'Operate a jackdawpost deployment.',
        f'{PROGRAM} --config ctl.json apply changes.json --dry-run',
        config_required=False,
    )
    parser.add_argument('--json', action='store_true', help='print JSON')
    # Both options may also follow the subcommand. Without SUPPRESS the
    # default of the subcommand's parser would overwrite a value given before
    # the subcommand.
    common_options = argparse.ArgumentParser(add_help=False)
    common_options.add_argument(
        '--config', metavar='FILE', default=argparse.SUPPRESS
    )
    common_options.add_argument(
        '--json', action='store_true', default=argparse.SUPPRESS
    )
    commands = parser.add_subparsers(dest='command', metavar='COMMAND')
    _add_change_commands(commands, common_options)
    _add_query_commands(commands, common_options)
    _add_member_commands(commands, common_options)
    return parser


def main(
    argv: Sequence[str] | None = None,
    open_link: OpenLink = open_operator_link,
) -> int:
    """Run the program and return its exit code.

    Parameters
    ----------
    argv : sequence of str, optional
        Command-line arguments; those of the process by default.
    open_link : callable
        Opens a connection to a control process.

    Returns
    -------
    int
        0 if done, 1 if refused or failed, 2 on wrong usage or invalid
        settings.
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
    common_options: argparse.ArgumentParser,
) -> None:
    parser = commands.add_parser(
        'apply', parents=[common_options], help='apply a change set'
    )
    parser.add_argument('file', metavar='FILE')
    parser.add_argument('--dry-run', action='store_true', help='only validate')
    parser.add_argument(
        '--change-id',
        metavar='ID',
        help='id that makes a resend safe (default: a new id)',
    )
    parser.add_argument(
        '--base-revision',
        metavar='N',
        type=int,
        help='revision on which the change set is based (default: the '
        'current one)',
    )
    parser = commands.add_parser(
        'diff',
        parents=[common_options],
        help='compare a change set with the objects in force',
    )
    parser.add_argument('file', metavar='FILE')


def _add_query_commands(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
    common_options: argparse.ArgumentParser,
) -> None:
    parser = commands.add_parser(
        'get', parents=[common_options], help='print configuration objects'
    )
    parser.add_argument(
        'type', metavar='TYPE', nargs='?', choices=OBJECT_TYPES
    )
    parser.add_argument('name', metavar='NAME', nargs='?', default='')
    for name, help_text in (
        ('history', 'print the accepted change sets'),
        ('status', 'print groups, newcomers and versions in force'),
        ('dump', 'print the replicated state'),
    ):
        commands.add_parser(name, parents=[common_options], help=help_text)


def _add_member_commands(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
    common_options: argparse.ArgumentParser,
) -> None:
    parser = commands.add_parser(
        'members', parents=[common_options], help='print or remove members'
    )
    actions = parser.add_subparsers(dest='action', metavar='ACTION')
    removal = actions.add_parser('remove', parents=[common_options])
    removal.add_argument('name', metavar='NAME')
    removal.add_argument(
        '--id',
        metavar='ID',
        help='identity to remove; required if the name has more than one',
    )
    for name, help_text in (
        ('approve', 'request the missing approvals of a newcomer again'),
        ('drain', 'send no new statements to an upstream'),
    ):
        parser = commands.add_parser(
            name, parents=[common_options], help=help_text
        )
        parser.add_argument('name', metavar='NAME')
        if name == 'drain':
            parser.add_argument('--undo', action='store_true')
            parser.add_argument('--change-id', metavar='ID')
    parser = commands.add_parser(
        'promote',
        parents=[common_options],
        help='replace the primary of a group',
    )
    parser.add_argument('group', metavar='GROUP')
    parser.add_argument(
        '--accept-loss',
        action='store_true',
        help='promote even if acknowledged writes may be lost',
    )


if __name__ == '__main__':
    sys.exit(main())
