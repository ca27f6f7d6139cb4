"""Entry point and arguments of ``jackdawpost-ctl``, used by operators."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence

import trio

from jackdawpost.cli.check_command import run_check
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
MAX_COUNT = 1_000_000


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
        settings. ``check`` returns 1 for findings and 2 for errors.
    """
    parser = build_ctl_parser()
    args = parser.parse_args(argv)
    if args.command == 'check' and (args.offline or args.config is None):
        return run_check(None, args, open_link)
    if args.config is None:
        parser.error('the following arguments are required: --config')
    cfg = load_or_exit(args, CtlSettings)
    if args.command is None:
        parser.error('the following arguments are required: COMMAND')
    if args.command == 'check':
        return run_check(cfg, args, open_link)
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
    _add_check_command(commands, common_options)


def _add_check_command(
    commands: argparse._SubParsersAction[argparse.ArgumentParser],
    common_options: argparse.ArgumentParser,
) -> None:
    parser = commands.add_parser(
        'check',
        parents=[common_options],
        help='look for mistakes in a configuration',
        description='Print errors, probable mistakes (findings), and the '
        'changes to the version in force if --config is given. FILE is a '
        "change set or the platform's configuration document. Exit codes: 0 "
        'no findings, 1 findings, 2 errors or an unreadable file.',
    )
    parser.add_argument('file', metavar='FILE')
    parser.add_argument(
        '--offline',
        action='store_true',
        help='do not connect to a control process',
    )
    parser.add_argument(
        '--proxies',
        metavar='N',
        type=_parse_count,
        default=0,
        help='number of proxies (default: those that have joined)',
    )
    parser.add_argument(
        '--slots',
        metavar='N',
        type=_parse_count,
        default=0,
        help='slots of all databases of a group (default: those of the '
        'databases that have joined)',
    )


def _parse_count(text: str) -> int:
    try:
        count = int(text)
    except ValueError:
        count = 0
    if not 1 <= count <= MAX_COUNT:
        raise argparse.ArgumentTypeError(
            f'{text!r}: expected 1 to {MAX_COUNT}'
        )
    return count


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
