"""Upstreams that register themselves by reports, which anyone can send.

A report names an upstream, but only the proxies verify that it is the one at
its address. What a report says has no effect on other members before that.
"""

from __future__ import annotations

from collections.abc import Iterator

from jackdawpost.core.control.commands import AnnounceMember
from jackdawpost.core.control.commands import MarkLeaving
from jackdawpost.core.control.commands import RemovalReason
from jackdawpost.core.control.commands import RemoveMember
from jackdawpost.core.control.members import record_announcement
from jackdawpost.core.control.members import request_approvals
from jackdawpost.core.control.membership import missing_approvals
from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.process import LeaderState
from jackdawpost.core.control.process import MemberKey
from jackdawpost.core.control.process import propose
from jackdawpost.core.control.process import RegisteredUpstream
from jackdawpost.core.control.state import Member
from jackdawpost.core.messages.registry import Departure
from jackdawpost.core.messages.registry import Registration
from jackdawpost.core.outbox import log

# Interval at which the missing steps of a join or a departure are repeated.
SWEEP_INTERVAL_MS = 500.0
# Share of the expiry time after which reports of an earlier incarnation are
# accepted again. They may have been delayed on their way.
RESTART_SILENCE_SHARE = 0.25
MAX_HELD_REPORTS = 2_000
# Time for which a report is held, as a multiple of the time after which an
# upstream counts as silent. A running one has sent another report by then.
HELD_SHARE = 2.0


def record_report(
    state: ControlState, leader: LeaderState, report: Registration
) -> int | None:
    """Record a report; one that names no upstream to use changes nothing.

    Returns
    -------
    int or None
        Index of the log entry that the answer waits for; None if it waits
        for none.
    """
    reason = _rejection_reason(state, leader, report)
    if reason:
        log(
            state,
            'info',
            'report_ignored',
            upstream=report.name,
            started_ms=report.started_ms,
            sequence=report.sequence,
            reason=reason,
        )
        return None
    reason = _holding_reason(state, leader, report)
    if reason:
        _hold_report(state, leader, report, reason)
        return None
    return _accept_report(state, leader, report)


def _accept_report(
    state: ControlState, leader: LeaderState, report: Registration
) -> int | None:
    """Record a report; return the log entry that its answer waits for."""
    _remove_other_incarnations(state, report)
    previous = leader.registered.get(report.name)
    if previous is None or previous.report.state != report.state:
        log(
            state,
            'info',
            'upstream_report',
            upstream=report.name,
            group=report.group,
            status=report.state,
            started_ms=report.started_ms,
            leads=report.leads,
        )
    member = state.machine.members.get(report.name)
    if member is None or _is_same_upstream(member, report):
        leader.registered[report.name] = RegisteredUpstream(
            report=report, last_contact_ms=state.now_ms
        )
    if previous is None or previous.report.started_ms != report.started_ms:
        # It may be a primary that returns while an order is under way.
        leader.dirty_groups.add(report.group)
    record_announcement(state, _announce_command(report))
    if report.state != 'draining':
        return None
    return _propose_leaving(state, leader, report)


def _holding_reason(
    state: ControlState, leader: LeaderState, report: Registration
) -> str:
    """Return why a report does not count yet; empty if it does.

    A newcomer counts as a holder of commits before it is verified, so a
    report must not make one where another upstream is known to run. A member
    may outlive its group in the configuration until it departs.
    """
    members = state.machine.members
    member = members.get(report.name)
    if member is not None and _is_same_upstream(member, report):
        if member.member_id == str(report.started_ms):
            return ''
    if report.group not in state.machine.objects.groups:
        return f'no group {report.group!r:.80} is declared'
    for member in members.values():
        if not member.registered or _is_same_upstream(member, report):
            continue
        has_same_address = (member.host, member.port) == (
            report.host,
            report.port,
        )
        if has_same_address or member.name == report.name:
            silence_ms = state.cfg.upstream_silence_ms
            if not _is_silent(state, leader, member, silence_ms):
                return f'{member.name!r} reports from {member.host}'
    return ''


def _hold_report(
    state: ControlState, leader: LeaderState, report: Registration, reason: str
) -> None:
    """Keep a report until it counts, or its sender reports no more."""
    previous = leader.held.pop(report.name, None)
    if previous is None or previous.report.started_ms != report.started_ms:
        log(
            state,
            'info',
            'report_held',
            upstream=report.name,
            group=report.group,
            started_ms=report.started_ms,
            reason=reason,
        )
    leader.held[report.name] = RegisteredUpstream(
        report=report, last_contact_ms=state.now_ms
    )
    if len(leader.held) > MAX_HELD_REPORTS:
        del leader.held[next(iter(leader.held))]


def _accept_held_reports(state: ControlState, leader: LeaderState) -> None:
    """Accept the held reports that count now."""
    oldest_ms = state.now_ms - HELD_SHARE * state.cfg.upstream_silence_ms
    for name, held in list(leader.held.items()):
        if held.last_contact_ms <= oldest_ms:
            del leader.held[name]
        elif not _holding_reason(state, leader, held.report):
            del leader.held[name]
            if not _rejection_reason(state, leader, held.report):
                _accept_report(state, leader, held.report)


def _announce_command(report: Registration) -> AnnounceMember:
    return AnnounceMember(
        role='upstream',
        name=report.name,
        member_id=str(report.started_ms),
        host=report.host,
        port=report.port,
        data_centre=report.data_centre,
        group=report.group,
        slots=report.slots,
        registered=True,
    )


def _rejection_reason(
    state: ControlState, leader: LeaderState, report: Registration
) -> str:
    """Return why a report is ignored; empty if it is not.

    Only what has been verified speaks against a report: the members, not
    newcomers that other reports have named. A newcomer does only if it has
    the name and the address of the report, so that it is the same upstream.
    """
    registered = leader.registered.get(report.name)
    previous = registered.report if registered is not None else None
    if previous is not None and previous.started_ms == report.started_ms:
        if report.sequence < previous.sequence:
            return 'a later report has been received'
    if _is_regular(state, report, previous):
        return ''
    departed = state.machine.departed.get(report.name)
    if departed is not None and report.started_ms <= int(departed):
        return 'this incarnation has departed'
    address = (report.host, report.port)
    restart_silence_ms = state.cfg.upstream_expiry_ms * RESTART_SILENCE_SHARE
    for known, is_member in _known_upstreams(state):
        has_same_address = (known.host, known.port) == address
        if known.name != report.name:
            if not (is_member and has_same_address):
                continue
            if int(known.member_id) > report.started_ms:
                return f'the address is now used by {known.name!r}'
        elif int(known.member_id) > report.started_ms:
            if has_same_address and _is_silent(
                state, leader, known, restart_silence_ms
            ):
                # It was never there, or has ended: this one goes on reporting.
                continue
            if is_member or has_same_address:
                return 'a later incarnation is registered'
        elif known.member_id == str(report.started_ms):
            if not _is_same_upstream(known, report):
                return (
                    f'this incarnation is registered in {known.group!r} at '
                    f'{known.host}:{known.port}'
                )
    return ''


def _is_regular(
    state: ControlState, report: Registration, previous: Registration | None
) -> bool:
    """Return whether a report is the next one of a member that has joined."""
    member = state.machine.members.get(report.name)
    return (
        member is not None
        and member.member_id == str(report.started_ms)
        and _is_same_upstream(member, report)
        and (previous is None or previous.started_ms == report.started_ms)
    )


def _known_upstreams(state: ControlState) -> Iterator[tuple[Member, bool]]:
    """Yield each registered upstream, and whether it has joined."""
    for member in state.machine.members.values():
        if member.registered:
            yield member, True
    for newcomer in state.machine.newcomers.values():
        if newcomer.member.registered:
            yield newcomer.member, False


def _find_incarnations(state: ControlState, name: str) -> list[Member]:
    """Return the registered member and newcomer of a name."""
    newcomer = state.machine.newcomers.get(name)
    known = [
        state.machine.members.get(name),
        newcomer.member if newcomer is not None else None,
    ]
    return [item for item in known if item is not None and item.registered]


def _is_same_upstream(known: Member, report: Registration) -> bool:
    """Return whether a report is of an upstream, maybe after a restart."""
    return (known.name, known.group, known.host, known.port) == (
        report.name,
        report.group,
        report.host,
        report.port,
    )


def _is_silent(
    state: ControlState,
    leader: LeaderState,
    upstream: Member,
    silence_ms: float,
) -> bool:
    """Return whether an upstream has not reported for a time."""
    key = (upstream.name, upstream.member_id)
    last_contact_ms = max(
        leader.last_contact_ms.get(key, 0), leader.contact_floor_ms
    )
    return state.now_ms >= last_contact_ms + silence_ms


def _remove_other_incarnations(
    state: ControlState, report: Registration
) -> None:
    """Remove the other incarnations of an upstream that has restarted.

    With the same name, group and address they are the same upstream, whose
    answers do not tell which incarnation runs. The latest report does.
    """
    for known in _find_incarnations(state, report.name):
        if _is_same_upstream(known, report) and (
            known.member_id != str(report.started_ms)
        ):
            propose_removal(state, known, 'expired')


def remove_superseded(state: ControlState) -> None:
    """Remove the members that verified upstreams have taken the place of.

    An upstream takes the address of an earlier one by joining. One that has
    an earlier member's name at another address joins once that has been
    removed, which waits for all other approvals.
    """
    machine = state.machine
    latest: dict[tuple[str, int], Member] = {}
    registered = [m for m in machine.members.values() if m.registered]
    for member in registered:
        address = (member.host, member.port)
        other = latest.get(address)
        if other is None or int(other.member_id) < int(member.member_id):
            latest[address] = member
    for member in registered:
        if latest[member.host, member.port].member_id != member.member_id:
            propose_removal(state, member, 'expired')
    for name, newcomer in machine.newcomers.items():
        earlier = machine.members.get(name)
        if earlier is None or not earlier.registered or not newcomer.approvals:
            continue
        if int(earlier.member_id) < int(newcomer.member.member_id):
            if missing_approvals(machine, name) == [name]:
                propose_removal(state, earlier, 'expired')


def propose_removal(
    state: ControlState, member: Member, reason: RemovalReason
) -> int | None:
    """Propose to remove a member or newcomer, unless that is proposed.

    Returns
    -------
    int or None
        Index of the log entry; None if nothing could be proposed.
    """
    key = f'remove/{member.name}/{member.member_id}'
    command = RemoveMember(
        name=member.name, member_id=member.member_id, reason=reason
    )
    if state.leader is not None and key in state.leader.proposed:
        return state.leader.proposed[key]
    return propose(state, key, command)


def _propose_leaving(
    state: ControlState, leader: LeaderState, report: Registration
) -> int | None:
    """Propose to mark an upstream as leaving.

    Returns
    -------
    int or None
        Index of the log entry; None if the upstream is not a member, is
        marked already, or nothing was proposed.
    """
    member_id = str(report.started_ms)
    member = state.machine.members.get(report.name)
    if member is None or member.member_id != member_id or member.leaving:
        return None
    key = f'leaving/{report.name}'
    if key in leader.proposed:
        return leader.proposed[key]
    command = MarkLeaving(name=report.name, member_id=member_id, leaving=True)
    return propose(state, key, command)


def find_departed(
    state: ControlState, leader: LeaderState, request: Departure
) -> Member | None:
    """Return the member or newcomer that departs, and forget its report."""
    started = request.started_ms
    registered = leader.registered.get(request.name)
    if registered is not None:
        if started in (None, registered.report.started_ms):
            del leader.registered[request.name]
    for known in _find_incarnations(state, request.name):
        if started is None or known.member_id == str(started):
            return known
    return None


def forget_report(leader: LeaderState, key: MemberKey) -> None:
    """Forget the latest report of an identity that has been removed."""
    registered = leader.registered.get(key[0])
    if registered is not None and (
        str(registered.report.started_ms) == key[1]
    ):
        del leader.registered[key[0]]


def sweep_registrations(state: ControlState, leader: LeaderState) -> None:
    """Repeat the missing steps of joins and departures.

    An upstream may have reported that it drains before it had joined.
    """
    if state.now_ms < leader.next_sweep_ms:
        return
    leader.next_sweep_ms = state.now_ms + SWEEP_INTERVAL_MS
    _accept_held_reports(state, leader)
    remove_superseded(state)
    for upstream in leader.registered.values():
        if upstream.report.state == 'draining':
            _propose_leaving(state, leader, upstream.report)
    # An approval request, or its answer, may be lost when a link is closed.
    for link in state.links.values():
        link.approvals_requested.clear()
    request_approvals(state)
