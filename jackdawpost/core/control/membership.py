"""Membership of proxies and upstreams: announce, approve, join, leave.

A newcomer joins once all present members have approved it, except upstreams
that registered themselves by HTTP requests: they have no link on which to be
asked. Such an upstream itself joins only if at least one proxy has found it at
its address, since anyone can send its report.

The functions that change the state run only while a command of the replicated
log is applied. Hence the members whose approval is needed are those at that
position in the log, the same in every control process.
"""

from __future__ import annotations

from jackdawpost.core.control.commands import AnnounceMember
from jackdawpost.core.control.commands import ApproveMember
from jackdawpost.core.control.commands import ApproveMembers
from jackdawpost.core.control.commands import MarkLeaving
from jackdawpost.core.control.commands import RemovalReason
from jackdawpost.core.control.commands import RemoveMember
from jackdawpost.core.control.database_sets import add_to_new_groups
from jackdawpost.core.control.database_sets import check_set_removal
from jackdawpost.core.control.database_sets import forget_former_holder
from jackdawpost.core.control.database_sets import record_former_holder
from jackdawpost.core.control.database_sets import remove_from_sets
from jackdawpost.core.control.publication import member_keys
from jackdawpost.core.control.publication import publish_changes
from jackdawpost.core.control.state import Applied
from jackdawpost.core.control.state import CommandRefused
from jackdawpost.core.control.state import ControlMachine
from jackdawpost.core.control.state import Member
from jackdawpost.core.control.state import MemberApproval
from jackdawpost.core.control.state import Newcomer

# Departed upstreams whose identities are retained to ignore late reports.
MAX_DEPARTED = 1_000


def announce_member(
    machine: ControlMachine, command: AnnounceMember
) -> Applied:
    """Record a newcomer, or the new address or capacity of a member."""
    refusal = _check_announcement(machine, command)
    if refusal is not None:
        return Applied(answer=refusal)
    member = machine.members.get(command.name)
    if member is not None and member.member_id == command.member_id:
        return _update_member(machine, member, command)
    newcomer = machine.newcomers.get(command.name)
    if newcomer is None or newcomer.member.member_id != command.member_id:
        if newcomer is not None:
            record_former_holder(machine, newcomer.member)
        group = machine.groups.get(command.group)
        if group is not None:
            forget_former_holder(group, command.name, command.member_id)
        machine.newcomers.pop(command.name, None)
        machine.newcomers[command.name] = Newcomer(
            member=_build_member(command)
        )
    else:
        newcomer.member = _build_member(command)
    return _join_approved_newcomers(machine)


def approve_member(machine: ControlMachine, command: ApproveMember) -> Applied:
    """Record an approval. The last missing one makes the newcomer join."""
    refusal = _record_approval(machine, command)
    if refusal is not None:
        return Applied(answer=refusal)
    return _join_approved_newcomers(machine)


def approve_members(
    machine: ControlMachine, command: ApproveMembers
) -> Applied:
    """Record approvals; those of unknown identities are ignored."""
    for approval in command.approvals:
        _record_approval(machine, approval)
    return _join_approved_newcomers(machine)


def _record_approval(
    machine: ControlMachine, command: ApproveMember
) -> CommandRefused | None:
    """Record the approval of a newcomer by a member or another newcomer.

    A newcomer's approval counts from the moment at which it is a member
    itself, so that many newcomers can approve each other at the same time.
    """
    approver = (command.member, command.member_id)
    is_itself = approver == (command.newcomer, command.newcomer_id)
    if is_itself or not _is_known(machine, *approver):
        return _unknown_member(command.member, command.member_id)
    newcomer = machine.newcomers.get(command.newcomer)
    if newcomer is None or newcomer.member.member_id != command.newcomer_id:
        return _unknown_member(command.newcomer, command.newcomer_id)
    newcomer.approvals[command.member] = MemberApproval(
        member_id=command.member_id,
        checked=command.checked,
        version=command.version,
    )
    return None


def _is_known(machine: ControlMachine, name: str, member_id: str) -> bool:
    """Return whether an identity is a member or a newcomer."""
    known = [machine.members.get(name)]
    newcomer = machine.newcomers.get(name)
    if newcomer is not None:
        known.append(newcomer.member)
    return any(
        item is not None and item.member_id == member_id for item in known
    )


def mark_leaving(machine: ControlMachine, command: MarkLeaving) -> Applied:
    """Set or clear the leaving state of a member."""
    member = machine.members.get(command.name)
    if member is None or member.member_id != command.member_id:
        return _refuse_unknown_member(command.name, command.member_id)
    member.leaving = command.leaving
    return Applied(changed=publish_changes(machine, member_keys(command.name)))


def remove_member(machine: ControlMachine, command: RemoveMember) -> Applied:
    """Remove a member or newcomer.

    Newcomers that lacked only the approval of the removed member join. A
    removal by an operator also removes the database from the database set
    of its group, even if its membership has expired before.
    """
    name = command.name
    found = False
    changed_groups: list[str] = []
    if command.reason == 'operator':
        refusal = check_set_removal(machine, name, command.member_id)
        if refusal is not None:
            return Applied(answer=refusal)
        changed_groups = remove_from_sets(machine, name, command.member_id)
        found = bool(changed_groups)
    newcomer = machine.newcomers.get(name)
    if newcomer is not None and newcomer.member.member_id == command.member_id:
        _record_removal(machine, newcomer.member, command.reason)
        del machine.newcomers[name]
        _drop_approvals(machine, name)
        found = True
    member = machine.members.get(name)
    if member is not None and member.member_id == command.member_id:
        _record_removal(machine, member, command.reason)
        _drop_member(machine, name)
        found = True
    if not found:
        return _refuse_unknown_member(name, command.member_id)
    keys = _published_keys(machine, name, member)
    keys += [f'group/{group}' for group in changed_groups]
    return _join_approved_newcomers(machine, keys)


def _record_removal(
    machine: ControlMachine, member: Member, reason: RemovalReason
) -> None:
    if reason != 'operator':
        record_former_holder(machine, member)
    if not member.registered or reason != 'left':
        return
    machine.departed.pop(member.name, None)
    machine.departed[member.name] = member.member_id
    while len(machine.departed) > MAX_DEPARTED:
        del machine.departed[next(iter(machine.departed))]


def missing_approvals(machine: ControlMachine, newcomer: str) -> list[str]:
    """Return the members whose approval a newcomer still needs.

    Parameters
    ----------
    machine : ControlMachine
        State to read.
    newcomer : str
        Name of an announced instance.

    Returns
    -------
    list of str
        Names of members, sorted; empty if every approval is present. If a
        member of the newcomer's own name has another identity, that member
        is in the list too: it must be removed before the newcomer can join.
    """
    approvals = machine.newcomers[newcomer].approvals
    missing = []
    for name in sorted(machine.members):
        if machine.members[name].registered and name != newcomer:
            continue
        approval = approvals.get(name)
        if (
            approval is None
            or approval.member_id != machine.members[name].member_id
        ):
            missing.append(name)
    return missing


def _check_announcement(
    machine: ControlMachine, command: AnnounceMember
) -> CommandRefused | None:
    if not command.name or not command.member_id:
        return CommandRefused(
            code='malformed',
            message='name or member_id is empty: expected both',
        )
    if (command.role == 'upstream') != bool(command.group):
        return CommandRefused(
            code='malformed',
            message=f'role {command.role!r} with group {command.group!r}: '
            'expected a group for an upstream, none for a proxy',
        )
    settings = machine.objects.upstreams.get(command.name)
    if command.role == 'upstream' and settings and settings.group:
        if settings.group != command.group:
            return CommandRefused(
                code='wrong_group',
                message=f'announced group {command.group!r}, but upstream '
                f'{command.name!r} is configured for {settings.group!r}',
            )
    member = machine.members.get(command.name)
    if member is None or member.member_id != command.member_id:
        return None
    if (member.role, member.group) != (command.role, command.group):
        return CommandRefused(
            code='wrong_group',
            message=f'{command.name!r} is a member with role {member.role!r} '
            f'and group {member.group!r}; remove it before it joins with '
            'another role or group',
        )
    return None


def _update_member(
    machine: ControlMachine, member: Member, command: AnnounceMember
) -> Applied:
    replacement = _build_member(command)
    replacement.leaving = member.leaving
    machine.members[command.name] = replacement
    return Applied(changed=publish_changes(machine, member_keys(command.name)))


def _build_member(command: AnnounceMember) -> Member:
    return Member(
        role=command.role,
        name=command.name,
        member_id=command.member_id,
        host=command.host,
        port=command.port,
        data_centre=command.data_centre,
        group=command.group,
        slots=command.slots,
        connections=command.connections,
        registered=command.registered,
    )


def _drop_member(machine: ControlMachine, name: str) -> None:
    del machine.members[name]
    _drop_approvals(machine, name)


def _drop_approvals(machine: ControlMachine, name: str) -> None:
    for newcomer in machine.newcomers.values():
        newcomer.approvals.pop(name, None)


def _published_keys(
    machine: ControlMachine, name: str, member: Member | None
) -> list[str]:
    keys = member_keys(name)
    if member is not None and member.group in machine.groups:
        keys.append(f'group/{member.group}')
    return keys


def _join_approved_newcomers(
    machine: ControlMachine, keys: list[str] | None = None
) -> Applied:
    # The remaining newcomers also need the approval of each member that joins
    # here, so they are checked one by one against the updated members.
    changed_keys = list(keys or [])
    joined = []
    approvers = sum(1 for m in machine.members.values() if not m.registered)
    for name, newcomer in list(machine.newcomers.items()):
        # Comparing the count first avoids checking every member while many
        # approvals are missing.
        if len(newcomer.approvals) < approvers:
            continue
        if newcomer.member.registered and not newcomer.approvals:
            continue
        if missing_approvals(machine, name):
            continue
        del machine.newcomers[name]
        member = newcomer.member
        machine.members[name] = member
        approvers += not member.registered
        add_to_new_groups(machine, member)
        changed_keys.extend(_published_keys(machine, name, member))
        joined.append(name)
    changed = publish_changes(machine, changed_keys)
    return Applied(changed=changed, joined=joined)


def _refuse_unknown_member(name: str, member_id: str) -> Applied:
    return Applied(answer=_unknown_member(name, member_id))


def _unknown_member(name: str, member_id: str) -> CommandRefused:
    return CommandRefused(
        code='unknown_member',
        message=f'{name!r} with identity {member_id!r} is neither a '
        'member nor a newcomer',
    )
