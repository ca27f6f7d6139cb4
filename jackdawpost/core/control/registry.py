"""Requests without a link: declared configurations, registered upstreams."""

from __future__ import annotations

import hashlib
from typing import Any

from jackdawpost.core.consensus import process as consensus
from jackdawpost.core.control.commands import AnnounceMember
from jackdawpost.core.control.commands import Command
from jackdawpost.core.control.commands import DeclareObjects
from jackdawpost.core.control.commands import MarkLeaving
from jackdawpost.core.control.commands import RemoveMember
from jackdawpost.core.control.members import ask_approvals
from jackdawpost.core.control.members import note_member
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

MAX_SHOWN_FAULTS = 20
# Pause between looks at what is still missing for a join or a departure.
SWEEP_MS = 500.0


def receive_request(state: ControlState, event: RequestReceived) -> None:
    """Handle one request; only the leader answers, others say who leads."""
    leader = state.leader
    if leader is None or state.draining:
        _send_on(state, event.request_id)
        return
    request = event.request
    if isinstance(request, DeclareConfig):
        _declare(state, leader, event.request_id, request)
    elif isinstance(request, ReadConfig):
        _read(state, leader, event.request_id)
    elif isinstance(request, Registration):
        _register(state, leader, event.request_id, request)
    elif isinstance(request, Departure):
        _depart(state, leader, event.request_id, request)


def _send_on(state: ControlState, request_id: int) -> None:
    known = state.consensus.leader
    if known is None and state.group_leader:
        known = state.group_leader
    if known is None or known == state.cfg.name:
        reply(state, request_id, 'unavailable')
    else:
        reply(state, request_id, 'moved', leader=known)


def reply(
    state: ControlState, request_id: int, outcome: Any, **more: Any
) -> None:
    """Answer a request."""
    state.outbox.append(Reply(request_id=request_id, outcome=outcome, **more))


def _wait_for(leader: LeaderState, index: int, request_id: int) -> None:
    leader.pending_requests.setdefault(index, []).append(request_id)


def _declare(
    state: ControlState,
    leader: LeaderState,
    request_id: int,
    request: DeclareConfig,
) -> None:
    _, faults = check_declared(state.machine, request.objects)
    if faults:
        _refuse_declared(state, request_id, request.version, faults)
        return
    held = state.machine.declared
    if held is not None and request.version <= held.version:
        # A version only rises, so that this stays true under any leader.
        log(
            state,
            'info',
            'config_overtaken',
            version=request.version,
            held=held.version,
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
    _wait_for(leader, index, request_id)


def _refuse_declared(
    state: ControlState, request_id: int, version: int, faults: list[Fault]
) -> None:
    texts = [
        f'{fault.object} {fault.field}: {fault.message}'
        for fault in faults[:MAX_SHOWN_FAULTS]
    ]
    log(state, 'info', 'config_refused', version=version, faults=texts[:3])
    reply(state, request_id, 'invalid', faults=texts)


def _read(state: ControlState, leader: LeaderState, request_id: int) -> None:
    """Answer once leadership is confirmed, so that nothing stale is shown."""
    token = leader.next_query_token
    leader.next_query_token -= 1
    leader.pending_reads[token] = request_id
    state.queue.extend(
        consensus.confirm_leadership(state.consensus, state.now_ms, token)
    )


def answer_confirmed_read(
    state: ControlState, leader: LeaderState, token: int
) -> bool:
    """Answer the read that a confirmation was for; False if it was none."""
    request_id = leader.pending_reads.pop(token, None)
    if request_id is None:
        return False
    declared = state.machine.declared
    if declared is None:
        reply(state, request_id, 'unavailable')
    else:
        reply(state, request_id, 'done', document=declared.document)
    return True


def _register(
    state: ControlState,
    leader: LeaderState,
    request_id: int,
    report: Registration,
) -> None:
    """Take a report; late ones of an earlier incarnation change nothing."""
    stale = _why_stale(state, leader, report)
    if stale:
        log(
            state,
            'info',
            'report_ignored',
            upstream=report.name,
            started_ms=report.started_ms,
            sequence=report.sequence,
            reason=stale,
        )
        reply(state, request_id, 'done')
        return
    _remove_replaced(state, report)
    known = leader.registered.get(report.name)
    if known is None or known.report.state != report.state:
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
    note_member(state, _announcement(report))
    if report.state != 'draining':
        reply(state, request_id, 'done')
        return
    index = _mark_leaving(state, leader, report)
    if index is None:
        reply(state, request_id, 'done')
    else:
        _wait_for(leader, index, request_id)


def _announcement(report: Registration) -> AnnounceMember:
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


def _why_stale(
    state: ControlState, leader: LeaderState, report: Registration
) -> str:
    if state.machine.departed.get(report.name) == str(report.started_ms):
        return 'has left'
    known = leader.registered.get(report.name)
    if known is not None:
        before = known.report
        if report.started_ms < before.started_ms:
            return 'earlier incarnation'
        if report.started_ms == before.started_ms:
            if report.sequence < before.sequence:
                return 'overtaken by a later report'
    for member in _known(state):
        if not member.registered or int(member.member_id) <= report.started_ms:
            continue
        if member.name == report.name:
            return 'earlier incarnation'
        if (member.host, member.port) == (report.host, report.port):
            return f'address is used by {member.name!r} since'
    return ''


def _known(state: ControlState) -> list[Member]:
    """Return members and newcomers: all that hold a name or an address."""
    newcomers = [item.member for item in state.machine.newcomers.values()]
    return [*state.machine.members.values(), *newcomers]


def _remove_replaced(state: ControlState, report: Registration) -> None:
    """Remove earlier incarnations under the report's name or address."""
    for member in _known(state):
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


def _mark_leaving(
    state: ControlState, leader: LeaderState, report: Registration
) -> int | None:
    """Have it recorded that an upstream leaves; None if it is already."""
    member_id = str(report.started_ms)
    member = state.machine.members.get(report.name)
    if member is None or member.member_id != member_id or member.leaving:
        return None
    key = f'leaving/{report.name}'
    if key in leader.proposed:
        return leader.proposed[key]
    command = MarkLeaving(name=report.name, member_id=member_id, leaving=True)
    return propose(state, key, command)


def _depart(
    state: ControlState,
    leader: LeaderState,
    request_id: int,
    request: Departure,
) -> None:
    leader.registered.pop(request.name, None)
    for member in _known(state):
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
            _wait_for(leader, index, request_id)
        return
    reply(state, request_id, 'done')


def sweep_registered(state: ControlState, leader: LeaderState) -> None:
    """Record what upstreams reported before they had joined."""
    if state.now_ms < leader.next_sweep_ms:
        return
    leader.next_sweep_ms = state.now_ms + SWEEP_MS
    for known in leader.registered.values():
        if known.report.state == 'draining':
            _mark_leaving(state, leader, known.report)
    # A request for an approval, or its answer, may be lost with a link.
    for link in state.links.values():
        link.approvals_requested.clear()
    ask_approvals(state)


def answer_asked(
    state: ControlState,
    leader: LeaderState,
    index: int,
    command: Command,
    applied: Applied,
) -> None:
    """Answer the requests that waited for a log entry."""
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


def release_asked(state: ControlState, leader: LeaderState) -> None:
    """Tell those that wait that this process leads no longer."""
    waiting = [
        request_id
        for entry in leader.pending_requests.values()
        for request_id in entry
    ]
    for request_id in [*waiting, *leader.pending_reads.values()]:
        reply(state, request_id, 'unavailable')
