"""Answers to operator queries, computed from the replicated state."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Any

from jackdawpost.core.control.database_sets import is_joined_upstream
from jackdawpost.core.control.membership import missing_approvals
from jackdawpost.core.control.state import ControlMachine
from jackdawpost.core.control.state import DeclaredConfig
from jackdawpost.core.control.state import Member
from jackdawpost.core.control.state import promotion_quorum
from jackdawpost.core.keys import fingerprint
from jackdawpost.core.messages.operator import OperatorAnswer
from jackdawpost.core.messages.operator import Query
from jackdawpost.core.messages.operator import Table
from jackdawpost.core.messages.operator import Topic
from jackdawpost.core.objects.change_sets import apply_operations
from jackdawpost.core.objects.model import field_names
from jackdawpost.core.objects.model import NamedObject
from jackdawpost.core.objects.model import object_body
from jackdawpost.core.objects.model import object_key
from jackdawpost.core.objects.model import OBJECT_TYPES
from jackdawpost.core.objects.model import ObjectSet
from jackdawpost.core.objects.model import TenantObject

_MEMBER_COLUMNS = [
    'name',
    'role',
    'state',
    'member_id',
    'group',
    'address',
    'data_centre',
]


def answer_query(
    machine: ControlMachine,
    query: Query,
    versions_in_force: Mapping[str, int] | None = None,
) -> OperatorAnswer:
    """Answer a query.

    Parameters
    ----------
    machine : ControlMachine
        State to read.
    query : Query
        Validated query.
    versions_in_force : mapping of str to int, optional
        Published version in force on each proxy, as reported to the leader.

    Returns
    -------
    OperatorAnswer
        ``'done'`` with tables; ``'refused'`` for an unknown type or name;
        ``'rejected'`` for a diff whose change set has faults.
    """
    answer = OperatorAnswer(
        id=query.id,
        status='done',
        revision=machine.revision,
        version=machine.version,
    )
    if query.what == 'get':
        _fill_get(machine, query, answer)
    elif query.what == 'diff':
        _fill_diff(machine, query, answer)
    elif query.what == 'dump':
        answer.data = _dump(machine)
    else:
        answer.tables = _build_tables(
            machine, query.what, versions_in_force or {}
        )
    return answer


def list_members(machine: ControlMachine) -> list[Table]:
    """Return tables of the members, newcomers and absent databases.

    Returns
    -------
    list of Table
        ``members``; ``newcomers`` with their missing approvals; ``absent``
        with the databases that count in the database set of a group but are
        not members.
    """
    members = Table(
        name='members',
        columns=_MEMBER_COLUMNS,
        rows=[
            _member_row(machine.members[name])
            for name in sorted(machine.members)
        ],
    )
    newcomers = Table(
        name='newcomers',
        columns=['name', 'role', 'member_id', 'address', 'missing'],
        rows=[_newcomer_row(machine, name) for name in machine.newcomers],
    )
    absent = Table(
        name='absent',
        columns=['name', 'member_id', 'group'],
        rows=_absent_rows(machine),
    )
    return [members, newcomers, absent]


def _build_tables(
    machine: ControlMachine, what: Topic, versions_in_force: Mapping[str, int]
) -> list[Table]:
    if what == 'status':
        return _build_status(machine, versions_in_force)
    if what == 'members':
        return list_members(machine)
    return [_list_history(machine)]


def _newcomer_row(machine: ControlMachine, name: str) -> list[Any]:
    member = machine.newcomers[name].member
    return [
        name,
        member.role,
        member.member_id,
        _address(member),
        ', '.join(missing_approvals(machine, name)),
    ]


def _absent_rows(machine: ControlMachine) -> list[list[Any]]:
    return [
        [name, data_id, group_name]
        for group_name in sorted(machine.groups)
        for name, data_id in sorted(
            machine.groups[group_name].database_set.items()
        )
        if not is_joined_upstream(machine, group_name, name, data_id)
    ]


def _member_row(member: Member) -> list[Any]:
    return [
        member.name,
        member.role,
        'leaving' if member.leaving else 'joined',
        member.member_id,
        member.group,
        _address(member),
        member.data_centre,
    ]


def _address(member: Member) -> str:
    host = f'[{member.host}]' if ':' in member.host else member.host
    return f'{host}:{member.port}'


def _build_status(
    machine: ControlMachine, versions_in_force: Mapping[str, int]
) -> list[Table]:
    proxies = [
        name
        for name in sorted(machine.members)
        if machine.members[name].role == 'proxy'
    ]
    return [
        Table(
            name='groups',
            columns=[
                'group',
                'term',
                'primary',
                'promotion',
                'database_set',
                'answers_needed',
            ],
            rows=[
                _group_row(machine, name) for name in sorted(machine.groups)
            ],
        ),
        Table(
            name='proxies',
            columns=['proxy', 'version', 'behind'],
            rows=[
                _proxy_row(machine, name, versions_in_force.get(name))
                for name in proxies
            ],
        ),
        *list_members(machine)[1:],
    ]


def _group_row(machine: ControlMachine, name: str) -> list[Any]:
    group = machine.groups[name]
    promotion = None
    if group.promotion is not None:
        promotion = f'{group.promotion.step} to term {group.promotion.to_term}'
    entry = machine.published[object_key('group', name)]
    return [
        name,
        group.term,
        entry.body['primary'],
        promotion,
        ', '.join(sorted(group.database_set)),
        promotion_quorum(machine, name),
    ]


def _proxy_row(
    machine: ControlMachine, name: str, version: int | None
) -> list[Any]:
    behind = None if version is None else machine.version - version
    return [name, version, behind]


def _list_history(machine: ControlMachine) -> Table:
    return Table(
        name='history',
        columns=['revision', 'change_id', 'operator', 'operations'],
        rows=[
            [
                entry.revision,
                entry.change_id,
                entry.operator,
                '; '.join(entry.summary),
            ]
            for entry in reversed(machine.history)
        ],
    )


def _dump(machine: ControlMachine) -> dict[str, Any]:
    # Stored answers and tombstones are left out: they can exceed the size of
    # a frame and only serve resends and deltas.
    data = {
        item.name: _plain(getattr(machine, item.name))
        for item in dataclasses.fields(machine)
        if item.name not in ('answers', 'published', 'tombstones')
    }
    data['kept_answers'] = len(machine.answers)
    data['kept_tombstones'] = len(machine.tombstones)
    return data


def _plain(value: Any) -> Any:
    if isinstance(value, DeclaredConfig):
        return value.describe()
    if isinstance(value, TenantObject):
        return {'name': value.name, **display_body(value)}
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            item.name: _plain(getattr(value, item.name))
            for item in dataclasses.fields(value)
        }
    if isinstance(value, dict):
        return {key: _plain(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_plain(item) for item in value]
    return value


def _fill_get(
    machine: ControlMachine, query: Query, answer: OperatorAnswer
) -> None:
    if query.type and query.type not in OBJECT_TYPES:
        _refuse(
            answer,
            f'type {query.type!r}: expected one of {", ".join(OBJECT_TYPES)}',
        )
        return
    types = [query.type] if query.type else OBJECT_TYPES
    answer.tables = [
        _list_objects(machine, item, query.name) for item in types
    ]
    if query.name and not any(table.rows for table in answer.tables):
        _refuse(
            answer,
            f'{object_key(query.type or "object", query.name)} does not exist',
        )


def _refuse(answer: OperatorAnswer, message: str) -> None:
    answer.status = 'refused'
    answer.message = message
    answer.tables = []


def _list_objects(
    machine: ControlMachine, object_type: str, name_filter: str
) -> Table:
    objects = machine.objects.table(object_type)
    if object_type == 'upstream':
        return _list_upstreams(machine, name_filter)
    columns = field_names(object_type)
    return Table(
        name=object_type,
        columns=columns,
        rows=[
            [name, *display_body(objects[name]).values()]
            for name in sorted(objects)
            if name_filter in ('', name)
        ],
    )


def display_body(item: NamedObject) -> dict[str, Any]:
    """Return the fields to show; keys are shown by their fingerprints."""
    body = object_body(item)
    if isinstance(item, TenantObject):
        body['keys'] = [fingerprint(key) for key in item.keys]
    return body


def _list_upstreams(machine: ControlMachine, name_filter: str) -> Table:
    settings = machine.objects.upstreams
    announced = _announced_upstreams(machine)
    rows: list[list[Any]] = []
    for name in sorted({*settings, *announced}):
        if name_filter not in ('', name):
            continue
        item = settings.get(name)
        state, group = announced.get(name, ('absent', None))
        rows.append(
            [
                name,
                item.group if item else None,
                item.drained if item else False,
                state,
                group,
            ]
        )
    return Table(
        name='upstream',
        columns=['name', 'group', 'drained', 'state', 'announced_group'],
        rows=rows,
    )


def _announced_upstreams(
    machine: ControlMachine,
) -> dict[str, tuple[str, str]]:
    found = {
        name: ('announced', newcomer.member.group)
        for name, newcomer in machine.newcomers.items()
        if newcomer.member.role == 'upstream'
    }
    for name, member in machine.members.items():
        if member.role == 'upstream':
            state = 'leaving' if member.leaving else 'joined'
            found[name] = (state, member.group)
    return found


def _fill_diff(
    machine: ControlMachine, query: Query, answer: OperatorAnswer
) -> None:
    candidate, answer.faults = apply_operations(machine, query.operations)
    answer.tables = [_diff_table(machine.objects, candidate.objects)]
    if answer.faults:
        answer.status = 'rejected'


def _diff_table(current: ObjectSet, proposed: ObjectSet) -> Table:
    rows: list[list[Any]] = []
    for object_type in OBJECT_TYPES:
        old, new = current.table(object_type), proposed.table(object_type)
        for name in sorted({*old, *new}):
            old_body = display_body(old[name]) if name in old else {}
            new_body = display_body(new[name]) if name in new else {}
            for field in new_body or old_body:
                old_value, new_value = old_body.get(field), new_body.get(field)
                if old_value != new_value:
                    key = object_key(object_type, name)
                    rows.append([key, field, old_value, new_value])
    return Table(
        name='diff',
        columns=['object', 'field', 'in_force', 'wanted'],
        rows=rows,
    )
