"""Databases that count for the durability of a group."""

from __future__ import annotations

from jackdawpost.core.control.commands import AdmitDatabase
from jackdawpost.core.control.publication import publish_changes
from jackdawpost.core.control.state import Applied
from jackdawpost.core.control.state import CommandRefused
from jackdawpost.core.control.state import ControlMachine
from jackdawpost.core.control.state import GroupState
from jackdawpost.core.control.state import Member
from jackdawpost.core.objects.model import object_key


def is_joined_upstream(
    machine: ControlMachine, group: str, name: str, data_id: str
) -> bool:
    """Tell whether this identity is a joined upstream of the group."""
    member = machine.members.get(name)
    return (
        member is not None
        and member.role == 'upstream'
        and member.group == group
        and member.member_id == data_id
    )


def add_to_new_groups(machine: ControlMachine, member: Member) -> None:
    """Count a joined upstream at once while its group is at term 0.

    No write can have been acknowledged before the first term, so that there
    is nothing to catch up with.
    """
    group = machine.groups.get(member.group)
    if member.role == 'upstream' and group is not None and group.term == 0:
        group.database_set[member.name] = member.member_id


def admit_database(machine: ControlMachine, command: AdmitDatabase) -> Applied:
    """Count an upstream that has caught up.

    It takes the place of an older data identity under the same name.
    """
    refusal = _check_admission(machine, command)
    if refusal is not None:
        return Applied(answer=refusal)
    group = machine.groups[command.group]
    group.database_set[command.name] = command.data_id
    changed = publish_changes(machine, [object_key('group', command.group)])
    return Applied(changed=changed)


def refuse_leaving_sets(
    machine: ControlMachine, name: str, data_id: str
) -> CommandRefused | None:
    """Return why an operator may not remove a database now, or None."""
    for group_name in sorted(machine.groups):
        group = machine.groups[group_name]
        promotion = group.promotion
        if promotion is not None and (promotion.chosen, promotion.data_id) == (
            name,
            data_id,
        ):
            return CommandRefused(
                code='promotion_running',
                message=f'{name!r} is being promoted in {group_name!r}',
            )
        if (group.primary, group.primary_id) == (name, data_id):
            return CommandRefused(
                code='is_primary',
                message=f'{name!r} is the primary of {group_name!r}: promote '
                'another database first',
            )
    return None


def leave_sets(machine: ControlMachine, name: str, data_id: str) -> list[str]:
    """Stop counting a database; return the groups that counted it."""
    left = []
    for group_name, group in machine.groups.items():
        if group.database_set.get(name) == data_id:
            del group.database_set[name]
            left.append(group_name)
    return left


def _check_admission(
    machine: ControlMachine, command: AdmitDatabase
) -> CommandRefused | None:
    group: GroupState | None = machine.groups.get(command.group)
    if group is None:
        return CommandRefused(
            code='unknown_group', message=f'no group {command.group!r}'
        )
    if not is_joined_upstream(
        machine, command.group, command.name, command.data_id
    ):
        return CommandRefused(
            code='not_joined',
            message=f'{command.name!r} with data {command.data_id!r} is no '
            f'joined upstream of {command.group!r}',
        )
    if group.database_set.get(command.name) == command.data_id:
        return CommandRefused(
            code='already_done', message=f'{command.name!r} is admitted'
        )
    if group.promotion is not None:
        # The promotion has counted the set as it was when it started.
        return CommandRefused(
            code='promotion_running',
            message=f'{command.group!r} is being promoted',
        )
    return None
