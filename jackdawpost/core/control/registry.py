"""Requests that reach a control process over HTTP, not over a control link.

Operators declare and read complete configurations. Upstreams register, report
their state and depart.
"""

from __future__ import annotations

import hashlib
from typing import Any

from jackdawpost.core.consensus import process as consensus
from jackdawpost.core.control.commands import AnnounceMember
from jackdawpost.core.control.commands import Command
from jackdawpost.core.control.commands import DeclareObjects
from jackdawpost.core.control.commands import MarkLeaving
from jackdawpost.core.control.commands import RemoveMember
from jackdawpost.core.control.members import record_announcement
from jackdawpost.core.control.members import request_approvals
from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.process import LeaderState
from jackdawpost.core.control.process import propose
from jackdawpost.core.control.process import RegisteredUpstream
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

MAX_REPORTED_FAULTS = 20
# Interval at which the missing steps of a join or a departure are repeated.
SWEEP_INTERVAL_MS = 500.0


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
            index = propose(state, key, command)
        except ValueError as exc:
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
    """Handle a report; late reports of an earlier incarnation are ignored."""
    reason = _staleness_reason(state, leader, report)
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
    _remove_superseded(state, report)
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
    leader.registered[report.name] = RegisteredUpstream(
        report=report, last_contact_ms=state.now_ms
    )
    if previous is None or previous.report.started_ms != report.started_ms:
        # It may be a primary that returns while an order is under way.
        leader.dirty_groups.add(report.group)
    record_announcement(state, _announce_command(report))
    if report.state != 'draining':
        reply(state, request_id, 'done')
        return
    index = _propose_leaving(state, leader, report)
    if index is None:
        reply(state, request_id, 'done')
    else:
        _add_pending_request(leader, index, request_id)


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


def _staleness_reason(
    state: ControlState, leader: LeaderState, report: Registration
) -> str:
    if state.machine.departed.get(report.name) == str(report.started_ms):
        return 'this incarnation has departed'
    previous = leader.registered.get(report.name)
    if previous is not None:
        latest = previous.report
        if report.started_ms < latest.started_ms:
            return 'a later incarnation has reported'
        if report.started_ms == latest.started_ms:
            if report.sequence < latest.sequence:
                return 'a later report has been received'
    for member in _members_and_newcomers(state):
        if not member.registered or int(member.member_id) <= report.started_ms:
            continue
        if member.name == report.name:
            return 'a later incarnation is registered'
        if (member.host, member.port) == (report.host, report.port):
            return f'the address is now used by {member.name!r}'
    return ''


def _members_and_newcomers(state: ControlState) -> list[Member]:
    """Return all instances that occupy a name or an address."""
    newcomers = [item.member for item in state.machine.newcomers.values()]
    return [*state.machine.members.values(), *newcomers]


def _remove_superseded(state: ControlState, report: Registration) -> None:
    """Remove earlier incarnations that used the same name or address."""
    for member in _members_and_newcomers(state):
        if not member.registered or member.member_id == str(report.started_ms):
            continue
        same_address = (member.host, member.port) == (report.host, report.port)
        if member.name != report.name and not same_address:
            continue
        if int(member.member_id) < report.started_ms:
            _propose_removal(state, member.name, member.member_id)


def _propose_removal(
    state: ControlState, name: str, member_id: str
) -> int | None:
    key = f'remove/{name}/{member_id}'
    command = RemoveMember(name=name, member_id=member_id, reason='left')
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
    leader.registered.pop(request.name, None)
    for member in _members_and_newcomers(state):
        if member.name != request.name or not member.registered:
            continue
        started = request.started_ms
        if started is not None and member.member_id != str(started):
            continue
        log(state, 'info', 'upstream_left', upstream=request.name)
        index = _propose_removal(state, member.name, member.member_id)
        if index is None:
            reply(state, request_id, 'unavailable')
        else:
            _add_pending_request(leader, index, request_id)
        return
    reply(state, request_id, 'done')


def sweep_registrations(state: ControlState, leader: LeaderState) -> None:
    """Repeat the missing steps of joins and departures.

    An upstream may have reported that it drains before it had joined.
    """
    if state.now_ms < leader.next_sweep_ms:
        return
    leader.next_sweep_ms = state.now_ms + SWEEP_INTERVAL_MS
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
