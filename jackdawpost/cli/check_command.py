"""Subcommand ``check`` of ``jackdawpost-ctl``.

The check runs at the leader of the control processes, against the
configuration in force. Without a connection the same code runs here, on an
empty configuration.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import jsonc
import trio

from jackdawpost.cli.change_files import load_change_file
from jackdawpost.cli.common import EXIT_DONE
from jackdawpost.cli.common import EXIT_FAILED
from jackdawpost.cli.common import EXIT_USAGE
from jackdawpost.cli.operator_link import NoAnswerError
from jackdawpost.cli.operator_link import OpenLink
from jackdawpost.cli.operator_link import send_request
from jackdawpost.cli.tables import format_cell
from jackdawpost.core.control.config_check import answer_check
from jackdawpost.core.control.machine import new_machine
from jackdawpost.core.messages.operator import Check
from jackdawpost.core.messages.operator import Fault
from jackdawpost.core.messages.operator import Operation
from jackdawpost.core.messages.operator import OperatorAnswer
from jackdawpost.errors import ConfigError
from jackdawpost.errors import DocumentError
from jackdawpost.platform.documents import decode_config
from jackdawpost.settings.models import CtlSettings

REQUEST_ID = 1
_CHANGE_SIGNS = {'create': '+', 'amend': '~', 'delete': '-'}


@dataclasses.dataclass(slots=True, kw_only=True)
class CheckResult:
    """Result of a check, as ``--json`` prints it.

    Parameters
    ----------
    errors : list of Fault
        Reasons for which the configuration would be rejected.
    findings : list of dict
        Probable mistakes: kind, object, field and message.
    changes : list of dict, optional
        Changes to the configuration in force: change, object and fields; None
        if it is unknown.
    revision : int, optional
        Revision in force.
    note : str
        What was not checked, and why; empty if everything was.
    """

    file: str
    errors: list[Fault]
    findings: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    changes: list[dict[str, Any]] | None = None
    revision: int | None = None
    note: str = ''


def run_check(
    cfg: CtlSettings | None, args: argparse.Namespace, open_link: OpenLink
) -> int:
    """Check a file, print the result and return the exit code.

    Parameters
    ----------
    cfg : CtlSettings, optional
        Addresses of the control processes; None for a check without them.
    args : argparse.Namespace
        Parsed arguments.
    open_link : callable
        Opens a connection to a control process.

    Returns
    -------
    int
        0 without findings, 1 with findings, 2 with errors or if the file
        cannot be read.
    """
    try:
        check = _load_check(args)
    except DocumentError as exc:
        errors = [
            Fault(object='', field=path, message=text)
            for path, text in exc.problems
        ]
        note = 'the other checks need a document without these errors'
        result = CheckResult(file=args.file, errors=errors, note=note)
    except ConfigError as exc:
        print(f'error: {exc}', file=sys.stderr)
        return EXIT_USAGE
    else:
        result = _check(cfg, args.file, check, open_link)
    if args.json:
        print(json.dumps(dataclasses.asdict(result), indent=2))
    else:
        _print_result(result)
    if result.errors:
        return EXIT_USAGE
    return EXIT_FAILED if result.findings else EXIT_DONE


def _load_check(args: argparse.Namespace) -> Check:
    """Return the request for a change set or a configuration document.

    Raises
    ------
    ConfigError
        The file cannot be read or is not a valid change set.
    DocumentError
        The file is not a valid configuration document.
    """
    check = Check(
        id=REQUEST_ID, operations=[], proxies=args.proxies, slots=args.slots
    )
    try:
        body = Path(args.file).read_bytes()
    except OSError as exc:
        raise ConfigError(
            args.file, '', str(exc), 'expected a readable file'
        ) from exc
    if _is_change_file(args.file, body):
        check.operations = load_change_file(args.file)
        return check
    config = decode_config(body)
    check.complete = True
    check.version = config.version
    check.operations = [
        Operation(
            action='create', type=item.type, name=item.name, body=item.body
        )
        for item in config.objects
    ]
    return check


def _is_change_file(path: str, body: bytes) -> bool:
    """Return whether a file is a change set, which may contain comments."""
    try:
        value = jsonc.loads(body.decode())
    except (ValueError, RecursionError) as exc:
        # The text of a decoding error quotes bytes of the file.
        reason = 'not UTF-8' if isinstance(exc, UnicodeError) else str(exc)
        raise ConfigError(path, '', reason, 'expected JSON') from None
    return isinstance(value, dict) and 'operations' in value


def _check(
    cfg: CtlSettings | None, path: str, check: Check, open_link: OpenLink
) -> CheckResult:
    note = 'checked without a running system'
    if cfg is not None:
        try:
            answer = trio.run(send_request, cfg, check, open_link)
            return _build_result(path, answer)
        except NoAnswerError as exc:
            note += f' ({exc})'
    if not check.complete:
        note += '; the change set was applied to an empty configuration'
    answer = answer_check(new_machine(), check)
    result = _build_result(path, answer)
    return dataclasses.replace(result, changes=None, revision=None, note=note)


def _build_result(path: str, answer: OperatorAnswer) -> CheckResult:
    rows = {
        table.name: [
            dict(zip(table.columns, row, strict=True)) for row in table.rows
        ]
        for table in answer.tables
    }
    errors = list(answer.faults)
    if answer.status == 'refused':
        errors.append(Fault(object='', field='', message=answer.message))
    return CheckResult(
        file=path,
        errors=errors,
        findings=rows.get('findings', []),
        changes=rows.get('changes', []),
        revision=answer.revision,
    )


def _print_result(result: CheckResult) -> None:
    for line in _format_result(result):
        print(format_cell(line))


def _format_result(result: CheckResult) -> Iterator[str]:
    for error in result.errors:
        yield _format_line('error', error.object, error.field, error.message)
    for item in result.findings:
        yield _format_line(
            'finding', item['object'], item['field'], item['message']
        )
    if result.changes is not None:
        yield f'changes to revision {result.revision}:'
        for change in result.changes:
            sign = _CHANGE_SIGNS[change['change']]
            yield f'  {sign} {change["object"]} {change["fields"]}'.rstrip()
        if not result.changes:
            yield '  none'
    if result.note:
        yield f'note: {result.note}'
    yield (
        f'{result.file}: errors: {len(result.errors)}, '
        f'findings: {len(result.findings)}'
    )


def _format_line(kind: str, object_key: str, field: str, message: str) -> str:
    place = ' '.join(part for part in (object_key, field) if part)
    return f'{kind}: {place}: {message}' if place else f'{kind}: {message}'
