"""Database set of a group: the databases its quorum is counted over.

Each acknowledged write is stored on enough databases of the set that every
quorum includes at least one of them.
"""

from __future__ import annotations

from jackdawpost.core.control.commands import AdmitDatabase
from jackdawpost.core.control.commands import LimitFormerHolder
from jackdawpost.core.control.commands import RecordFinalPosition
from jackdawpost.core.control.publication import publish_changes
from jackdawpost.core.control.state import Applied
from jackdawpost.core.control.state import CommandRefused
from jackdawpost.core.control.state import ControlMachine
from jackdawpost.core.control.state import FormerHolder
from jackdawpost.core.control.state import GroupState
from jackdawpost.core.control.state import Member
from jackdawpost.core.objects.model import object_key

# Bounds the state while replicas of a group are replaced without a promotion,
# which clears the list.
MAX_FORMER_HOLDERS = 100


def is_joined_upstream(
    machine: ControlMachine, group: str, name: str, data_id: str
) -> bool:
    """Return whether this identity is a joined upstream of the group."""
    member = machine.members.get(name)
    return (
        member is not None
        and member.role == 'upstream'
        and member.group == group
        and member.member_id == data_id
    )


def add_to_new_groups(machine: ControlMachine, member: Member) -> None:
    """Add a joined upstream to the set of its group if the term is 0.

    The term is 0 until the first promotion has finished. No write can have
    been acknowledged before, so the upstream does not have to catch up first.
    """
    group = machine.groups.get(member.group)
    if member.role == 'upstream' and group is not None and group.term == 0:
        group.database_set[member.name] = member.member_id


def record_former_holder(machine: ControlMachine, member: Member) -> None:
    """Record a removed database that may hold a commit.

    Its removal does not change what the other databases have received. Only
    databases that registered themselves are recorded: commits of the others
    are counted over the database set.
    """
    settings = machine.objects.groups.get(member.group)
    group = machine.groups.get(member.group)
    if not member.registered or settings is None or group is None:
        return
    if settings.write_copies == 1:
        return
    forget_former_holder(group, member.name, member.member_id)
    group.former_holders.append(
        FormerHolder(name=member.name, member_id=member.member_id)
    )
    del group.former_holders[:-MAX_FORMER_HOLDERS]


def forget_former_holder(group: GroupState, name: str, member_id: str) -> None:
    """Drop the record of a removed database, if there is one."""
    group.former_holders = [
        holder
        for holder in group.former_holders
        if (holder.name, holder.member_id) != (name, member_id)
    ]


def limit_former_holder(
    machine: ControlMachine, command: LimitFormerHolder
) -> Applied:
    """Record what a removed database may hold at most."""
    group = machine.groups.get(command.group)
    for holder in group.former_holders if group is not None else []:
        if (holder.name, holder.member_id) == (
            command.name,
            command.member_id,
        ):
            holder.limit = command.limit
    return Applied()


def record_final_position(
    machine: ControlMachine, command: RecordFinalPosition
) -> Applied:
    """Record the end of the log of a group that no upstream leads."""
    group = machine.groups.get(command.group)
    if group is not None and group.promotion is not None:
        group.final_position = command.position
    return Applied()


def admit_database(machine: ControlMachine, command: AdmitDatabase) -> Applied:
    """Add an upstream to the set of its group after it has caught up.

    An older data identity of the same name in the set is replaced.
    """
    refusal = _check_admission(machine, command)
    if refusal is not None:
        return Applied(answer=refusal)
    group = machine.groups[command.group]
    group.database_set[command.name] = command.data_id
    changed = publish_changes(machine, [object_key('group', command.group)])
    return Applied(changed=changed)


def check_set_removal(
    machine: ControlMachine, name: str, data_id: str
) -> CommandRefused | None:
    """Return why an operator must not remove a database now, or None."""
    for group_name in sorted(machine.groups):
        group = machine.groups[group_name]
        promotion = group.promotion
        if promotion is not None and (promotion.chosen, promotion.data_id) == (
            name,
            data_id,
        ):
            return CommandRefused(
                code='promotion_running',
                message=f'{name!r} is being promoted to primary of '
                f'{group_name!r}; retry after the promotion has ended',
            )
        if (group.primary, group.primary_id) == (name, data_id):
            return CommandRefused(
                code='is_primary',
                message=f'{name!r} is the primary of {group_name!r}; promote '
                'another database before its removal',
            )
    return None


def remove_from_sets(
    machine: ControlMachine, name: str, data_id: str
) -> list[str]:
    """Remove a database from all database sets.

    Returns
    -------
    list of str
        Groups whose set contained the database.
    """
    changed_groups = []
    for group_name, group in machine.groups.items():
        if group.database_set.get(name) == data_id:
            del group.database_set[name]
            changed_groups.append(group_name)
    return changed_groups


def _check_admission(
    machine: ControlMachine, command: AdmitDatabase
) -> CommandRefused | None:
    group: GroupState | None = machine.groups.get(command.group)
    if group is None:
        return CommandRefused(
            code='unknown_group',
            message=f'group {command.group!r} does not exist',
        )
    if not is_joined_upstream(
        machine, command.group, command.name, command.data_id
    ):
        return CommandRefused(
            code='not_joined',
            message=f'{command.name!r} with data identity '
            f'{command.data_id!r} is not a joined upstream of '
            f'{command.group!r}',
        )
    if group.database_set.get(command.name) == command.data_id:
        return CommandRefused(
            code='already_done',
            message=f'{command.name!r} is in the database set already',
        )
    if group.promotion is not None:
        # A promotion seals a quorum of the set, so that these databases
        # refuse earlier terms, and chooses the primary among them. The set
        # must not grow in between, since the quorum is counted over it.
        return CommandRefused(
            code='promotion_running',
            message=f'a promotion of group {command.group!r} is running; '
            'retry after it has ended',
        )
    return None
