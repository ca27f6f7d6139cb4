"""Requests that reach a control process over HTTP, not over a control link.

Operators declare and read complete configurations. Upstreams register, report
their state and depart.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from typing import Any

from jackdawpost.core.consensus import process as consensus
from jackdawpost.core.control.commands import AnnounceMember
from jackdawpost.core.control.commands import Command
from jackdawpost.core.control.commands import DeclareObjects
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
from jackdawpost.core.control.process import submit
from jackdawpost.core.control.state import Applied
from jackdawpost.core.control.state import ChangeAnswer
from jackdawpost.core.control.state import Member
from jackdawpost.core.effects import Reply
from jackdawpost.core.events import RequestReceived
from jackdawpost.core.messages.operator import Fault
from jackdawpost.core.messages.registry import DeclareConfig
from jackdawpost.core.messages.registry import Departure
from jackdawpost.core.messages.registry import ReadConfig
from jackdawpost.core.messages.registry import Registration
from jackdawpost.core.objects.declared import check_declared
from jackdawpost.core.outbox import log
from jackdawpost.errors import CommandError

MAX_REPORTED_FAULTS = 20
# Interval at which the missing steps of a join or a departure are repeated.
SWEEP_INTERVAL_MS = 500.0
# Share of the expiry time after which a registered upstream counts as silent,
# so that reports of another incarnation at its address are accepted.
SILENT_SHARE = 0.25
# Upstreams of undeclared groups whose latest report is kept.
MAX_UNDECLARED = 2_000


def receive_request(state: ControlState, event: RequestReceived) -> None:
    """Handle one request; a process that does not lead names the leader."""
    leader = state.leader
    if leader is None or state.draining:
        _redirect(state, event.request_id)
        return
    request = event.request
    if isinstance(request, DeclareConfig):
        _declare_config(state, leader, event.request_id, request)
    elif isinstance(request, ReadConfig):
        _read_config(state, leader, event.request_id)
    elif isinstance(request, Registration):
        _handle_registration(state, leader, event.request_id, request)
    elif isinstance(request, Departure):
        _handle_departure(state, leader, event.request_id, request)


def _redirect(state: ControlState, request_id: int) -> None:
    current = state.consensus.leader
    if current is None and state.group_leader:
        current = state.group_leader
    if current is None or current == state.cfg.name:
        reply(state, request_id, 'unavailable')
    else:
        reply(state, request_id, 'moved', leader=current)


def reply(
    state: ControlState, request_id: int, outcome: Any, **more: Any
) -> None:
    """Send the reply to a request."""
    state.outbox.append(Reply(request_id=request_id, outcome=outcome, **more))


def _add_pending_request(
    leader: LeaderState, index: int, request_id: int
) -> None:
    leader.pending_requests.setdefault(index, []).append(request_id)


def _declare_config(
    state: ControlState,
    leader: LeaderState,
    request_id: int,
    request: DeclareConfig,
) -> None:
    _, faults = check_declared(state.machine, request.objects)
    if faults:
        _refuse_declared(state, request_id, request.version, faults)
        return
    current = state.machine.declared
    if current is not None and request.version <= current.version:
        # The declared version never falls, so the answer stays right under
        # every later leader.
        log(
            state,
            'info',
            'config_overtaken',
            version=request.version,
            held=current.version,
        )
        reply(state, request_id, 'done')
        return
    digest = hashlib.sha256(request.document).hexdigest()[:16]
    key = f'declare/{request.version}/{digest}'
    index = leader.proposed.get(key)
    if index is None:
        command = DeclareObjects(
            version=request.version,
            document=request.document,
            objects=request.objects,
        )
        try:
            index = submit(state, key, command)
        except CommandError as exc:
            fault = Fault(object='', field='document', message=str(exc))
            _refuse_declared(state, request_id, request.version, [fault])
            return
    if index is None:
        reply(state, request_id, 'unavailable')
        return
    _add_pending_request(leader, index, request_id)


def _refuse_declared(
    state: ControlState, request_id: int, version: int, faults: list[Fault]
) -> None:
    messages = [
        f'{fault.object} {fault.field}: {fault.message}'
        for fault in faults[:MAX_REPORTED_FAULTS]
    ]
    log(state, 'info', 'config_refused', version=version, faults=messages[:3])
    reply(state, request_id, 'invalid', faults=messages)


def _read_config(
    state: ControlState, leader: LeaderState, request_id: int
) -> None:
    """Defer the answer until leadership is confirmed, to avoid stale reads."""
    token = leader.next_query_token
    leader.next_query_token -= 1
    leader.pending_reads[token] = request_id
    state.consensus_effects.extend(
        consensus.confirm_leadership(state.consensus, state.now_ms, token)
    )


def answer_confirmed_read(
    state: ControlState, leader: LeaderState, token: int
) -> bool:
    """Answer the read that waited for a confirmation; False without one."""
    request_id = leader.pending_reads.pop(token, None)
    if request_id is None:
        return False
    declared = state.machine.declared
    if declared is None:
        reply(state, request_id, 'unavailable')
    else:
        reply(state, request_id, 'done', document=declared.document)
    return True


def _handle_registration(
    state: ControlState,
    leader: LeaderState,
    request_id: int,
    report: Registration,
) -> None:
    """Handle a report; one that names no upstream to use changes nothing."""
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
        reply(state, request_id, 'done')
        return
    if not _is_admissible(state, report):
        _hold_report(state, leader, report)
        reply(state, request_id, 'done')
        return
    index = _accept_report(state, leader, report)
    if index is None:
        reply(state, request_id, 'done')
    else:
        _add_pending_request(leader, index, request_id)


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


def _is_admissible(state: ControlState, report: Registration) -> bool:
    """Return whether a report is of a member or of a declared group.

    A member may outlive its group in the configuration until it departs.
    """
    member = state.machine.members.get(report.name)
    is_of_member = member is not None and member.member_id == str(
        report.started_ms
    )
    return is_of_member or report.group in state.machine.objects.groups


def _hold_report(
    state: ControlState, leader: LeaderState, report: Registration
) -> None:
    """Keep a report of an undeclared group, in case that is declared later."""
    previous = leader.undeclared.pop(report.name, None)
    if previous is None or previous.report.group != report.group:
        log(
            state,
            'info',
            'report_held',
            upstream=report.name,
            group=report.group,
            reason='no such group is declared',
        )
    leader.undeclared[report.name] = RegisteredUpstream(
        report=report, last_contact_ms=state.now_ms
    )
    if len(leader.undeclared) > MAX_UNDECLARED:
        del leader.undeclared[next(iter(leader.undeclared))]


def _accept_held_reports(state: ControlState, leader: LeaderState) -> None:
    """Accept the held reports whose group has been declared."""
    oldest_ms = state.now_ms - state.cfg.upstream_expiry_ms
    for name, held in list(leader.undeclared.items()):
        if held.last_contact_ms <= oldest_ms:
            del leader.undeclared[name]
        elif _is_admissible(state, held.report):
            del leader.undeclared[name]
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
    for known, is_member in _known_upstreams(state):
        has_same_address = (known.host, known.port) == address
        if known.name != report.name:
            if not (is_member and has_same_address):
                continue
            if int(known.member_id) > report.started_ms:
                return f'the address is now used by {known.name!r}'
        elif int(known.member_id) > report.started_ms:
            if has_same_address and _is_silent(state, leader, known):
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


def _is_same_upstream(known: Member, report: Registration) -> bool:
    """Return whether a report is of an upstream, maybe after a restart."""
    return (known.name, known.group, known.host, known.port) == (
        report.name,
        report.group,
        report.host,
        report.port,
    )


def _is_silent(
    state: ControlState, leader: LeaderState, upstream: Member
) -> bool:
    """Return whether an upstream has missed several of its reports."""
    key = (upstream.name, upstream.member_id)
    last_contact_ms = max(
        leader.last_contact_ms.get(key, 0), leader.contact_floor_ms
    )
    silence_ms = state.cfg.upstream_expiry_ms * SILENT_SHARE
    return state.now_ms >= last_contact_ms + silence_ms


def _remove_other_incarnations(
    state: ControlState, report: Registration
) -> None:
    """Remove the other incarnations of an upstream that has restarted.

    With the same name, group and address they are the same upstream, whose
    answers do not tell which incarnation runs. The latest report does.
    """
    for known, _ in list(_known_upstreams(state)):
        if _is_same_upstream(known, report) and (
            known.member_id != str(report.started_ms)
        ):
            _propose_removal(state, known.name, known.member_id, 'expired')


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
            _propose_removal(state, member.name, member.member_id, 'expired')
    for name, newcomer in machine.newcomers.items():
        earlier = machine.members.get(name)
        if earlier is None or not earlier.registered or not newcomer.approvals:
            continue
        if int(earlier.member_id) < int(newcomer.member.member_id):
            if missing_approvals(machine, name) == [name]:
                _propose_removal(state, name, earlier.member_id, 'expired')


def _propose_removal(
    state: ControlState, name: str, member_id: str, reason: RemovalReason
) -> int | None:
    key = f'remove/{name}/{member_id}'
    command = RemoveMember(name=name, member_id=member_id, reason=reason)
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


def _handle_departure(
    state: ControlState,
    leader: LeaderState,
    request_id: int,
    request: Departure,
) -> None:
    started = request.started_ms
    registered = leader.registered.get(request.name)
    if registered is not None:
        if started in (None, registered.report.started_ms):
            del leader.registered[request.name]
    for member, _ in list(_known_upstreams(state)):
        if member.name != request.name:
            continue
        if started is not None and member.member_id != str(started):
            continue
        log(state, 'info', 'upstream_left', upstream=request.name)
        index = _propose_removal(state, member.name, member.member_id, 'left')
        if index is None:
            reply(state, request_id, 'unavailable')
        else:
            _add_pending_request(leader, index, request_id)
        return
    reply(state, request_id, 'done')


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


def answer_pending_requests(
    state: ControlState,
    leader: LeaderState,
    index: int,
    command: Command,
    applied: Applied,
) -> None:
    """Answer the requests that waited for a log entry to be applied."""
    answer = applied.answer
    if isinstance(command, DeclareObjects) and applied.changed:
        leader.next_sweep_ms = state.now_ms
        log(state, 'info', 'config_accepted', version=command.version)
    for request_id in leader.pending_requests.pop(index, []):
        if isinstance(answer, ChangeAnswer) and not answer.accepted:
            _refuse_declared(
                state,
                request_id,
                getattr(command, 'version', 0),
                answer.faults,
            )
        else:
            reply(state, request_id, 'done')


def abort_pending_requests(state: ControlState, leader: LeaderState) -> None:
    """Answer pending requests as unavailable at the end of a leadership."""
    waiting = [
        request_id
        for entry in leader.pending_requests.values()
        for request_id in entry
    ]
    for request_id in [*waiting, *leader.pending_reads.values()]:
        reply(state, request_id, 'unavailable')
