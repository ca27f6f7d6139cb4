"""Subcommands of ``jackdawpost-ctl``."""

from __future__ import annotations

import argparse
import dataclasses
import json
import sys
import uuid
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from jackdawpost.cli.change_files import load_change_file
from jackdawpost.cli.common import EXIT_DONE
from jackdawpost.cli.common import EXIT_FAILED
from jackdawpost.cli.operator_link import NoAnswerError
from jackdawpost.cli.operator_link import OpenLink
from jackdawpost.cli.operator_link import send_request
from jackdawpost.cli.tables import build_fault_table
from jackdawpost.cli.tables import format_table
from jackdawpost.core.messages.operator import Apply
from jackdawpost.core.messages.operator import Approve
from jackdawpost.core.messages.operator import Drain
from jackdawpost.core.messages.operator import Members
from jackdawpost.core.messages.operator import OperatorAnswer
from jackdawpost.core.messages.operator import OperatorRequest
from jackdawpost.core.messages.operator import PromoteGroup
from jackdawpost.core.messages.operator import Query
from jackdawpost.core.messages.operator import Table
from jackdawpost.settings.models import CtlSettings

REQUEST_ID = 1

SendRequest = Callable[[OperatorRequest], Awaitable[OperatorAnswer]]


async def run_command(
    cfg: CtlSettings, args: argparse.Namespace, open_link: OpenLink
) -> int:
    """Run a subcommand and print its answer.

    Parameters
    ----------
    cfg : CtlSettings
        Settings of the program.
    args : argparse.Namespace
        Parsed arguments.
    open_link : callable
        Opens a connection to a control process.

    Returns
    -------
    int
        `EXIT_DONE` if the request was accepted or done, else `EXIT_FAILED`.
    """

    async def send(request: OperatorRequest) -> OperatorAnswer:
        return await send_request(cfg, request, open_link)

    answer = await _COMMANDS[args.command](cfg, args, send)
    if args.json:
        print(json.dumps(dataclasses.asdict(answer), indent=2))
    else:
        _print_answer(answer)
    done = answer.status in ('accepted', 'done')
    return EXIT_DONE if done else EXIT_FAILED


async def _apply(
    cfg: CtlSettings, args: argparse.Namespace, send: SendRequest
) -> OperatorAnswer:
    operations = load_change_file(args.file)
    base_revision = args.base_revision
    if base_revision is None:
        status = await send(Query(id=REQUEST_ID, what='status'))
        base_revision = status.revision
    request = Apply(
        id=REQUEST_ID,
        change_id=args.change_id or _make_change_id(),
        base_revision=base_revision,
        operations=operations,
        operator=cfg.operator,
        dry_run=args.dry_run,
    )
    return await _send_change(request, send)


async def _drain(
    cfg: CtlSettings, args: argparse.Namespace, send: SendRequest
) -> OperatorAnswer:
    request = Drain(
        id=REQUEST_ID,
        change_id=args.change_id or _make_change_id(),
        name=args.name,
        operator=cfg.operator,
        drained=not args.undo,
    )
    return await _send_change(request, send)


async def _send_change(
    request: Apply | Drain, send: SendRequest
) -> OperatorAnswer:
    try:
        return await send(request)
    except NoAnswerError as exc:
        if not exc.sent:
            raise
        raise NoAnswerError(
            f'{exc}; the change may be in force: run the command again with '
            f'--change-id {request.change_id} to get its answer',
            sent=True,
        ) from exc


async def _query(
    cfg: CtlSettings, args: argparse.Namespace, send: SendRequest
) -> OperatorAnswer:
    return await send(Query(id=REQUEST_ID, what=args.command))


async def _get(
    cfg: CtlSettings, args: argparse.Namespace, send: SendRequest
) -> OperatorAnswer:
    query = Query(
        id=REQUEST_ID, what='get', type=args.type or '', name=args.name
    )
    return await send(query)


async def _diff(
    cfg: CtlSettings, args: argparse.Namespace, send: SendRequest
) -> OperatorAnswer:
    operations = load_change_file(args.file)
    return await send(Query(id=REQUEST_ID, what='diff', operations=operations))


async def _members(
    cfg: CtlSettings, args: argparse.Namespace, send: SendRequest
) -> OperatorAnswer:
    answer = await send(Query(id=REQUEST_ID, what='members'))
    if args.action is None:
        return answer
    known_ids = _find_member_ids(answer.tables, args.name)
    member_id = args.id or (known_ids[0] if len(known_ids) == 1 else None)
    if not known_ids:
        return _build_refusal(
            answer,
            f'member {args.name!r} is not known, expected a name that '
            '"members" prints',
        )
    if member_id not in known_ids:
        return _build_refusal(
            answer,
            f'member {args.name!r}: --id must select one identity, expected '
            f'one of {", ".join(known_ids)}',
        )
    return await send(
        Members(
            id=REQUEST_ID,
            action='remove',
            name=args.name,
            member_id=member_id,
            operator=cfg.operator,
        )
    )


async def _approve(
    cfg: CtlSettings, args: argparse.Namespace, send: SendRequest
) -> OperatorAnswer:
    return await send(
        Approve(id=REQUEST_ID, name=args.name, operator=cfg.operator)
    )


async def _promote(
    cfg: CtlSettings, args: argparse.Namespace, send: SendRequest
) -> OperatorAnswer:
    answer = await send(Query(id=REQUEST_ID, what='status'))
    term = _find_cell(answer.tables, 'groups', args.group, 'term')
    if term is None:
        return _build_refusal(
            answer,
            f'group {args.group!r} is not known, expected a group that '
            '"status" prints',
        )
    return await send(
        PromoteGroup(
            id=REQUEST_ID,
            group=args.group,
            from_term=term,
            operator=cfg.operator,
            accept_loss=args.accept_loss,
        )
    )


_COMMANDS: dict[
    str,
    Callable[
        [CtlSettings, argparse.Namespace, SendRequest],
        Awaitable[OperatorAnswer],
    ],
] = {
    'apply': _apply,
    'diff': _diff,
    'get': _get,
    'history': _query,
    'status': _query,
    'dump': _query,
    'members': _members,
    'approve': _approve,
    'drain': _drain,
    'promote': _promote,
}


def _make_change_id() -> str:
    return uuid.uuid4().hex


def _build_refusal(answer: OperatorAnswer, message: str) -> OperatorAnswer:
    return OperatorAnswer(
        id=answer.id,
        status='refused',
        revision=answer.revision,
        version=answer.version,
        message=message,
    )


def _find_member_ids(tables: list[Table], name: str) -> list[str]:
    """Return the identities known under a name; one name can have several."""
    member_ids = []
    for table in ('members', 'newcomers', 'absent'):
        member_id = _find_cell(tables, table, name, 'member_id')
        if member_id is not None and member_id not in member_ids:
            member_ids.append(member_id)
    return member_ids


def _find_cell(
    tables: list[Table], table_name: str, row_name: str, column: str
) -> Any:
    """Return a cell of the row whose first cell is `row_name`, or None."""
    for table in tables:
        if table.name != table_name:
            continue
        column_index = table.columns.index(column)
        for row in table.rows:
            if row[0] == row_name:
                return row[column_index]
    return None


def _print_answer(answer: OperatorAnswer) -> None:
    for table in answer.tables:
        print(format_table(table))
        print()
    if answer.data is not None:
        print(json.dumps(answer.data, indent=2))
    if answer.faults:
        print(format_table(build_fault_table(answer.faults)))
        print()
    repeated_note = ' (repeated answer)' if answer.duplicate else ''
    detail = f': {answer.message}' if answer.message else ''
    print(
        f'{answer.status}{repeated_note}, revision {answer.revision}{detail}',
        file=sys.stderr if answer.data is not None else sys.stdout,
    )
