"""Membership: how the leader admits, expires and removes members."""

from __future__ import annotations

from jackdawpost.core.control.commands import AnnounceMember
from jackdawpost.core.control.commands import ApproveMember
from jackdawpost.core.control.commands import ApproveMembers
from jackdawpost.core.control.commands import MarkLeaving
from jackdawpost.core.control.commands import RemoveMember
from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.process import LeaderState
from jackdawpost.core.control.process import LinkState
from jackdawpost.core.control.process import MemberKey
from jackdawpost.core.control.process import propose
from jackdawpost.core.control.process import refuse
from jackdawpost.core.control.process import WaitingOperator
from jackdawpost.core.control.state import Member
from jackdawpost.core.leases import ledger as lease_ledger
from jackdawpost.core.messages.control import Approval
from jackdawpost.core.messages.control import ApprovalRequest
from jackdawpost.core.outbox import log
from jackdawpost.core.outbox import send

# Minimum time between two proposals of an announcement. Limits the growth of
# the log while the command is refused again and again.
ANNOUNCE_BACKOFF_MS = 1_000.0
# Key of the proposal that records approvals.
APPROVALS_KEY = 'approvals'
# Bounds an entry well below the longest command.
MAX_APPROVAL_CHARS_PER_ENTRY = 128 * 1024
# Encoded size of an approval besides its texts.
FIXED_APPROVAL_CHARS = 80


def record_announcement(state: ControlState, command: AnnounceMember) -> None:
    """Record contact with a member or newcomer and what it announces.

    The command is proposed only if the replicated state differs from the
    announcement.
    """
    leader = state.leader
    if leader is None:
        return
    key = (command.name, command.member_id)
    leader.last_contact_ms[key] = state.now_ms
    if key in leader.removing or _is_recorded(state, command):
        return
    if state.now_ms < leader.next_announce_ms.get(key, 0):
        return
    proposal = f'announce/{command.name}/{command.member_id}'
    propose(state, proposal, command)
    leader.next_announce_ms[key] = state.now_ms + ANNOUNCE_BACKOFF_MS


def _is_recorded(state: ControlState, command: AnnounceMember) -> bool:
    member = state.machine.members.get(command.name)
    if member is None or member.member_id != command.member_id:
        newcomer = state.machine.newcomers.get(command.name)
        if newcomer is None:
            return False
        member = newcomer.member
    announced = (
        command.role,
        command.member_id,
        command.host,
        command.port,
        command.data_centre,
        command.group,
        command.slots,
        command.connections,
    )
    return announced == (
        member.role,
        member.member_id,
        member.host,
        member.port,
        member.data_centre,
        member.group,
        member.slots,
        member.connections,
    )


def propose_leaving(
    state: ControlState, key: MemberKey, leaving: bool
) -> None:
    """Propose to mark a member as leaving, or as no longer leaving."""
    member = state.machine.members.get(key[0])
    if member is None or member.member_id != key[1]:
        return
    if member.leaving != leaving:
        propose(
            state,
            f'leaving/{key[0]}',
            MarkLeaving(name=key[0], member_id=key[1], leaving=leaving),
        )


def handle_approval(
    state: ControlState, link: LinkState, approval: Approval
) -> None:
    """Queue an approval of a newcomer.

    An approval counts only if it arrives on the connection of the member
    that it names, or of the newcomer that will be one.
    """
    leader = state.leader
    if leader is None:
        return
    if (approval.member, approval.member_id) != (link.name, link.member_id):
        refuse(
            state,
            link,
            f'approval by {approval.member!r} sent by another instance',
        )
        return
    newcomer = state.machine.newcomers.get(approval.newcomer)
    if newcomer is None or newcomer.member.member_id != approval.newcomer_id:
        return
    leader.waiting_approvals.append(
        ApproveMember(
            member=approval.member,
            member_id=approval.member_id,
            newcomer=approval.newcomer,
            newcomer_id=approval.newcomer_id,
            checked=approval.checked,
            version=approval.version,
        )
    )


def propose_approvals(state: ControlState, leader: LeaderState) -> None:
    """Propose all queued approvals in one entry of the log.

    One such entry is outstanding at a time; the approvals that arrive
    meanwhile go into the next one.
    """
    waiting = leader.waiting_approvals
    if not waiting or APPROVALS_KEY in leader.proposed:
        return
    size = _count_approvals(waiting, MAX_APPROVAL_CHARS_PER_ENTRY)
    command = ApproveMembers(approvals=waiting[:size])
    if propose(state, APPROVALS_KEY, command) is not None:
        leader.waiting_approvals = waiting[size:]


def _count_approvals(approvals: list[ApproveMember], max_chars: int) -> int:
    """Return how many approvals fit into one entry, at least one."""
    chars = 0
    for count, approval in enumerate(approvals):
        chars += FIXED_APPROVAL_CHARS + sum(
            len(value)
            for value in (
                approval.member,
                approval.member_id,
                approval.newcomer,
                approval.newcomer_id,
                approval.checked,
            )
        )
        if count and chars > max_chars:
            return count
    return len(approvals)


def request_approvals(state: ControlState) -> None:
    """Request the missing approvals from connected members and newcomers.

    One request is sent on each connection for each newcomer identity.
    Newcomers are asked as well: each would otherwise wait for the approval of
    every other one that joins before it.
    """
    if state.leader is None or not state.machine.newcomers:
        return
    approvers = _connected_approvers(state)
    requests: dict[int, list[ApprovalRequest]] = {}
    for name, newcomer in state.machine.newcomers.items():
        member_id = newcomer.member.member_id
        key = (name, member_id)
        approvals = newcomer.approvals
        request = None
        for approver, link in approvers:
            if key in link.approvals_requested:
                continue
            if (approver, link.member_id) == key:
                continue
            approval = approvals.get(approver)
            if approval is not None and approval.member_id == link.member_id:
                continue
            link.approvals_requested.add(key)
            request = request or _approval_request(newcomer.member)
            requests.setdefault(link.conn, []).append(request)
    for conn, messages in requests.items():
        send(state, conn, *messages)


def _approval_request(member: Member) -> ApprovalRequest:
    return ApprovalRequest(
        newcomer=member.name,
        newcomer_id=member.member_id,
        host=member.host,
        port=member.port,
        role=member.role,
        group=member.group,
    )


def _connected_approvers(state: ControlState) -> list[tuple[str, LinkState]]:
    """Return the members and newcomers with a link on which to ask them."""
    machine = state.machine
    known = [
        *machine.members.values(),
        *(newcomer.member for newcomer in machine.newcomers.values()),
    ]
    found = []
    for member in known:
        link = _member_link(state, member)
        if link is not None:
            found.append((member.name, link))
    return found


def _member_link(state: ControlState, member: Member) -> LinkState | None:
    """Return the link of a member or newcomer; None if not connected."""
    if member.role == 'proxy':
        link = state.links.get(state.proxies.get(member.name, 0))
    else:
        announced = state.upstreams.get((member.name, member.member_id))
        link = state.links.get(announced.conn) if announced else None
    if link is None or link.member_id != member.member_id:
        return None
    return link


def repeat_approval_requests(state: ControlState, newcomer: str) -> None:
    """Repeat the requests for missing approvals of a newcomer."""
    for link in state.links.values():
        link.approvals_requested = {
            key for key in link.approvals_requested if key[0] != newcomer
        }
    request_approvals(state)


def discard_approval_requests(state: ControlState, key: MemberKey) -> None:
    """Discard the record of requests for the approval of an identity.

    If it announces itself again, approvals are requested again.
    """
    for link in state.links.values():
        link.approvals_requested.discard(key)


def expire_members(state: ControlState) -> None:
    """Remove members and newcomers whose silence exceeds the expiry time."""
    leader = state.leader
    if leader is None or state.now_ms < leader.expiry_check_ms:
        return
    due_times_ms = []
    for key in _identities(state):
        last_contact_ms = max(
            leader.last_contact_ms.get(key, 0), leader.contact_floor_ms
        )
        due_ms = last_contact_ms + _expiry_ms(state, key)
        if state.now_ms < due_ms:
            due_times_ms.append(due_ms)
            continue
        if key not in leader.removing:
            log(state, 'warning', 'member_expired', member=key[0])
            begin_removal(state, key, 'expired', None)
    next_ms = min(
        due_times_ms, default=state.now_ms + state.cfg.member_expiry_ms
    )
    leader.expiry_check_ms = max(next_ms, state.now_ms + 1)


def _expiry_ms(state: ControlState, key: MemberKey) -> float:
    member = state.machine.members.get(key[0])
    newcomer = state.machine.newcomers.get(key[0])
    if newcomer is not None and newcomer.member.member_id == key[1]:
        member = newcomer.member
    if member is not None and member.registered:
        return state.cfg.upstream_expiry_ms
    return state.cfg.member_expiry_ms


def _identities(state: ControlState) -> list[MemberKey]:
    members = [
        (member.name, member.member_id)
        for member in state.machine.members.values()
    ]
    return members + [
        (newcomer.member.name, newcomer.member.member_id)
        for newcomer in state.machine.newcomers.values()
    ]


def begin_removal(
    state: ControlState,
    key: MemberKey,
    reason: str,
    waiting: WaitingOperator | None,
) -> None:
    """Start the removal of a member, which waits for its lease to expire.

    A later leader does not know of removed members, so before a promotion it
    could not wait for their leases.
    """
    leader = state.leader
    assert leader is not None
    operators = leader.removing.setdefault(key, [])
    if waiting is not None:
        operators.append(waiting)
    if reason == 'operator' or key not in leader.removal_reasons:
        leader.removal_reasons[key] = reason
    finish_removals(state)


def finish_removals(state: ControlState) -> None:
    """Propose the removal of members whose last lease has expired."""
    leader = state.leader
    if leader is None:
        return
    for key, operators in list(leader.removing.items()):
        if removal_due_ms(state, leader, key) > state.now_ms:
            continue
        reason = leader.removal_reasons[key]
        index = propose(
            state,
            f'remove/{key[0]}/{key[1]}',
            RemoveMember(
                name=key[0],
                member_id=key[1],
                reason='operator' if reason == 'operator' else 'expired',
            ),
        )
        if index is not None:
            leader.pending_operators.setdefault(index, []).extend(operators)
            operators.clear()


def removal_due_ms(
    state: ControlState, leader: LeaderState, key: MemberKey
) -> float:
    """Return the time at which a member to be removed holds no lease."""
    member = state.machine.members.get(key[0])
    if member is None or member.member_id != key[1]:
        return state.now_ms
    if member.role != 'proxy':
        return state.now_ms
    return lease_ledger.lease_end_ms(leader.leases, state.now_ms, key[0])
