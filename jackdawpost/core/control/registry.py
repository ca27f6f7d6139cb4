"""Requests that reach a control process over HTTP, not over a control link.

Operators declare and read complete configurations. Upstreams register, report
their state and depart.
"""

from __future__ import annotations

import hashlib
from typing import Any

from jackdawpost.core.consensus import process as consensus
from jackdawpost.core.control.commands import Command
from jackdawpost.core.control.commands import DeclareObjects
from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.process import LeaderState
from jackdawpost.core.control.process import submit
from jackdawpost.core.control.registrations import find_departed
from jackdawpost.core.control.registrations import propose_removal
from jackdawpost.core.control.registrations import record_report
from jackdawpost.core.control.state import Applied
from jackdawpost.core.control.state import ChangeAnswer
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
    index = record_report(state, leader, report)
    if index is None:
        reply(state, request_id, 'done')
    else:
        _add_pending_request(leader, index, request_id)


def _handle_departure(
    state: ControlState,
    leader: LeaderState,
    request_id: int,
    request: Departure,
) -> None:
    member = find_departed(state, leader, request)
    if member is None:
        reply(state, request_id, 'done')
        return
    log(state, 'info', 'upstream_left', upstream=request.name)
    index = propose_removal(state, member, 'left')
    if index is None:
        reply(state, request_id, 'unavailable')
    else:
        _add_pending_request(leader, index, request_id)


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
