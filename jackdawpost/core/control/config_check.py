"""Checks of a configuration before it is submitted.

The faults are those of the check at acceptance. Without a running system the
same check runs on an empty machine.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

from jackdawpost.core.control.commands import DeclareObject
from jackdawpost.core.control.operator_queries import display_body
from jackdawpost.core.control.state import ControlMachine
from jackdawpost.core.control.state import Member
from jackdawpost.core.messages.operator import Check
from jackdawpost.core.messages.operator import Fault
from jackdawpost.core.messages.operator import OperatorAnswer
from jackdawpost.core.messages.operator import Table
from jackdawpost.core.objects.change_sets import apply_operations
from jackdawpost.core.objects.checks import Candidate
from jackdawpost.core.objects.declared import check_declared
from jackdawpost.core.objects.findings import DeploymentSize
from jackdawpost.core.objects.findings import find_mistakes
from jackdawpost.core.objects.findings import Finding
from jackdawpost.core.objects.model import object_key
from jackdawpost.core.objects.model import OBJECT_TYPES
from jackdawpost.core.objects.model import ObjectSet

FINDING_COLUMNS = ['kind', 'object', 'field', 'message']
CHANGE_COLUMNS = ['change', 'object', 'fields']


def answer_check(machine: ControlMachine, check: Check) -> OperatorAnswer:
    """Check a configuration; the machine is not changed.

    Returns
    -------
    OperatorAnswer
        ``'done'``, or ``'rejected'`` with the faults. The tables are
        ``findings`` and ``changes``, the differences from the objects in
        force.
    """
    candidate, faults = _validate(machine, check)
    findings = find_mistakes(
        candidate.objects,
        _deployment_size(machine, candidate, check),
        candidate.broken,
    )
    findings += _find_stale_version(machine, check)
    return OperatorAnswer(
        id=check.id,
        status='rejected' if faults else 'done',
        revision=machine.revision,
        version=machine.version,
        faults=faults,
        tables=[
            Table(
                name='findings',
                columns=FINDING_COLUMNS,
                rows=[
                    [item.kind, item.object, item.field, item.message]
                    for item in findings
                ],
            ),
            Table(
                name='changes',
                columns=CHANGE_COLUMNS,
                rows=list(_list_changes(machine.objects, candidate)),
            ),
        ],
    )


def _validate(
    machine: ControlMachine, check: Check
) -> tuple[Candidate, list[Fault]]:
    if not check.complete:
        return apply_operations(machine, check.operations)
    objects = [
        DeclareObject(type=item.type, name=item.name, body=item.body)
        for item in check.operations
    ]
    return check_declared(machine, objects)


def _deployment_size(
    machine: ControlMachine, candidate: Candidate, check: Check
) -> DeploymentSize:
    """Return the size that the check states, else that of the members."""
    members = machine.members.values()
    proxies = sum(member.role == 'proxy' for member in members)
    if check.slots:
        slots = dict.fromkeys(candidate.objects.groups, check.slots)
    else:
        slots = _sum_slots(member for member in members if member.group)
    return DeploymentSize(proxies=check.proxies or proxies, slots=slots)


def _sum_slots(upstreams: Iterable[Member]) -> dict[str, int]:
    """Return the slots by group, without groups whose slots are unknown."""
    slots: dict[str, int] = defaultdict(int)
    unknown = set()
    for member in upstreams:
        slots[member.group] += member.slots
        if not member.slots:
            unknown.add(member.group)
    return {name: n for name, n in slots.items() if name not in unknown}


def _find_stale_version(
    machine: ControlMachine, check: Check
) -> list[Finding]:
    declared = machine.declared
    if check.version is None or declared is None:
        return []
    if check.version > declared.version:
        return []
    return [
        Finding(
            kind='contradiction',
            object='',
            field='version',
            message=f'{check.version}: is not above the version in force, '
            f'{declared.version}, so the configuration would be accepted '
            'without effect',
        )
    ]


def _list_changes(
    current: ObjectSet, candidate: Candidate
) -> Iterator[list[Any]]:
    """Yield one row for each object that differs; keys are fingerprints.

    Objects with faults are left out, since they may lack fields.
    """
    for object_type in OBJECT_TYPES:
        old = current.table(object_type)
        new = candidate.objects.table(object_type)
        for name in sorted({*old, *new}):
            key = object_key(object_type, name)
            if key in candidate.broken:
                continue
            if name not in new:
                yield ['delete', key, '']
            elif name not in old:
                fields = [
                    f'{field} {_format_value(value)}'
                    for field, value in display_body(new[name]).items()
                ]
                yield ['create', key, ', '.join(fields)]
            elif old[name] != new[name]:
                old_body = display_body(old[name])
                fields = [
                    f'{field} {_format_value(old_body[field])} -> '
                    f'{_format_value(value)}'
                    for field, value in display_body(new[name]).items()
                    if value != old_body[field]
                ]
                yield ['amend', key, ', '.join(fields)]


def _format_value(value: Any) -> str:
    if isinstance(value, list):
        return f'[{", ".join(str(item) for item in value)}]'
    return '-' if value is None or value == '' else str(value)
