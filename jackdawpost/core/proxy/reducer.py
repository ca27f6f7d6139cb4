"""Reducer of a proxy: handles events and returns their effects."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from collections.abc import Mapping
from random import Random
from typing import Any

from jackdawpost.core.effects import Effect
from jackdawpost.core.effects import SetTimer
from jackdawpost.core.events import ConnClosed
from jackdawpost.core.events import ConnOpened
from jackdawpost.core.events import DrainRequested
from jackdawpost.core.events import Event
from jackdawpost.core.events import FrameRejected
from jackdawpost.core.events import Received
from jackdawpost.core.messages.control import ApprovalRequest
from jackdawpost.core.messages.control import LeaseGrant
from jackdawpost.core.messages.control import LeaseRevoke
from jackdawpost.core.messages.control import NotLeader
from jackdawpost.core.messages.control import PermitGrant
from jackdawpost.core.messages.control import PermitRecall
from jackdawpost.core.messages.control import StateUpdate
from jackdawpost.core.messages.upstream import Executed
from jackdawpost.core.messages.upstream import Probed
from jackdawpost.core.messages.upstream import Progress
from jackdawpost.core.outbox import log
from jackdawpost.core.outbox import pop_effects
from jackdawpost.core.proxy.answers import requeue_delayed
from jackdawpost.core.proxy.callers import on_caller_closed
from jackdawpost.core.proxy.callers import on_caller_frame_rejected
from jackdawpost.core.proxy.callers import on_caller_opened
from jackdawpost.core.proxy.callers import on_caller_request
from jackdawpost.core.proxy.conns import check_answer_deadline
from jackdawpost.core.proxy.conns import check_idle_permits
from jackdawpost.core.proxy.conns import drop_conn
from jackdawpost.core.proxy.conns import on_conn_closed
from jackdawpost.core.proxy.conns import on_conn_opened
from jackdawpost.core.proxy.conns import release_lost_permit
from jackdawpost.core.proxy.control import check_validity
from jackdawpost.core.proxy.control import on_approval_conn_closed
from jackdawpost.core.proxy.control import on_approval_conn_opened
from jackdawpost.core.proxy.control import on_approval_request
from jackdawpost.core.proxy.control import on_control_closed
from jackdawpost.core.proxy.control import on_control_opened
from jackdawpost.core.proxy.control import on_lease_grant
from jackdawpost.core.proxy.control import on_lease_revoke
from jackdawpost.core.proxy.control import on_not_leader
from jackdawpost.core.proxy.control import on_permit_grant
from jackdawpost.core.proxy.control import on_permit_recall
from jackdawpost.core.proxy.control import on_report_due
from jackdawpost.core.proxy.control import retry_approval
from jackdawpost.core.proxy.control import schedule_report
from jackdawpost.core.proxy.drain import on_drain_requested
from jackdawpost.core.proxy.drain import roll_back_all
from jackdawpost.core.proxy.drain import stop_when_drained
from jackdawpost.core.proxy.dump import dump_proxy
from jackdawpost.core.proxy.monitors import on_monitor_closed
from jackdawpost.core.proxy.monitors import on_monitor_message
from jackdawpost.core.proxy.monitors import on_monitor_opened
from jackdawpost.core.proxy.monitors import on_probe_due
from jackdawpost.core.proxy.monitors import probe_for_sample
from jackdawpost.core.proxy.monitors import reopen_monitor
from jackdawpost.core.proxy.published import on_state_update
from jackdawpost.core.proxy.requests import dispatch
from jackdawpost.core.proxy.requests import expire_request
from jackdawpost.core.proxy.requests import on_executed
from jackdawpost.core.proxy.state import close
from jackdawpost.core.proxy.state import ProxyConfig
from jackdawpost.core.proxy.state import ProxyState
from jackdawpost.core.proxy.state import TIMER_KEY
from jackdawpost.core.proxy.transactions import check_idle_transaction

__all__ = [
    'ProxyConfig',
    'ProxyState',
    'dump_proxy',
    'is_healthy',
    'new_proxy',
    'reduce_proxy',
]

MAX_DISPATCH_ROUNDS = 16
# Deadlines of answered requests stay on the agenda until they are due. They
# are removed earlier when the agenda has this many entries per open request.
MAX_AGENDA_RATIO = 4
MIN_AGENDA_CLEANUP_SIZE = 4_096


def new_proxy(
    cfg: ProxyConfig, rng: Random, now_ms: float
) -> tuple[ProxyState, list[Effect]]:
    """Return the initial state of a proxy and its first effects.

    Parameters
    ----------
    cfg : ProxyConfig
        Configuration of the proxy.
    rng : Random
        Source of jitter and random choices.
    now_ms : float
        Current time, in milliseconds.
    """
    state = ProxyState(cfg=cfg, rng=rng, now_ms=now_ms)
    schedule_report(state)
    return state, _complete_event(state)


def reduce_proxy(state: ProxyState, event: Event) -> list[Effect]:
    """Handle one event: update the state in place and return the effects.

    Actions that are due run first, even if their timer has not fired yet: a
    process that was suspended must not handle events as if its deadlines
    and leases had not expired.

    Parameters
    ----------
    state : ProxyState
        State, changed in place.
    event : Event
        Event with the current time.
    """
    if event.now_ms > state.now_ms:
        state.now_ms = event.now_ms
    _run_due_actions(state)
    if isinstance(event, Received):
        _on_received(state, event)
    elif isinstance(event, ConnOpened):
        _on_conn_opened(state, event)
    elif isinstance(event, ConnClosed):
        _on_conn_closed(state, event)
    elif isinstance(event, FrameRejected):
        _on_frame_rejected(state, event)
    elif isinstance(event, DrainRequested):
        on_drain_requested(state)
    return _complete_event(state)


def is_healthy(state: ProxyState) -> bool:
    """Return whether callers should use this proxy."""
    return (
        state.drain_started_ms is None
        and state.member_state == 'joined'
        and state.now_ms < state.leases.config_until_ms
    )


def _run_due_actions(state: ProxyState) -> None:
    agenda = state.agenda
    now_ms = state.now_ms
    while agenda and agenda[0][0] <= now_ms:
        _, _, action, subject = heapq.heappop(agenda)
        _ACTIONS[action](state, subject)
    if state.timer_due_ms <= now_ms:
        state.timer_due_ms = math.inf


def _complete_event(state: ProxyState) -> list[Effect]:
    rounds = 0
    while state.groups_to_dispatch and rounds < MAX_DISPATCH_ROUNDS:
        rounds += 1
        names = list(state.groups_to_dispatch)
        state.groups_to_dispatch.clear()
        if len(names) > 1:
            # The order of a set of strings differs between processes.
            names.sort()
        for name in names:
            group = state.groups.get(name)
            if group is not None and len(group.queue):
                dispatch(state, group)
    if state.drain_started_ms is not None:
        stop_when_drained(state)
    _clean_agenda(state)
    if state.agenda and state.agenda[0][0] < state.timer_due_ms:
        state.timer_due_ms = state.agenda[0][0]
        state.outbox.append(SetTimer(key=TIMER_KEY, due_ms=state.timer_due_ms))
    state.open_frames.clear()
    return pop_effects(state)


def _clean_agenda(state: ProxyState) -> None:
    size = len(state.agenda)
    if size < MIN_AGENDA_CLEANUP_SIZE:
        return
    if size < MAX_AGENDA_RATIO * len(state.requests):
        return
    requests = state.requests
    state.agenda = [
        entry
        for entry in state.agenda
        if entry[2] != 'request' or entry[3] in requests
    ]
    heapq.heapify(state.agenda)


def _dispatch_again(state: ProxyState, name: str) -> None:
    state.groups_to_dispatch.add(name)


def _no_action(state: ProxyState, subject: object) -> None:
    """Do nothing: the end of the event checks whether to stop."""


_ACTIONS: Mapping[str, Callable[[ProxyState, Any], None]] = {
    'request': expire_request,
    'requeue': requeue_delayed,
    'frame': check_answer_deadline,
    'permits': check_idle_permits,
    'lost_permit': release_lost_permit,
    'dispatch': _dispatch_again,
    'probe': on_probe_due,
    'monitor': reopen_monitor,
    'sample': probe_for_sample,
    'report': on_report_due,
    'validity': check_validity,
    'approval': retry_approval,
    'txn_idle': check_idle_transaction,
    'drain_window_end': _no_action,
    'drain_limit': roll_back_all,
}

_CONTROL_HANDLERS: Mapping[type, Callable[[ProxyState, int, Any], None]] = {
    NotLeader: on_not_leader,
    LeaseGrant: on_lease_grant,
    LeaseRevoke: on_lease_revoke,
    StateUpdate: lambda state, conn, message: on_state_update(state, message),
    PermitGrant: on_permit_grant,
    PermitRecall: on_permit_recall,
    ApprovalRequest: on_approval_request,
}


def _on_received(state: ProxyState, event: Received) -> None:
    conn_id = event.conn
    caller = state.callers.get(conn_id)
    if caller is not None:
        size_bytes = event.size_bytes // (len(event.messages) or 1)
        for message in event.messages:
            on_caller_request(state, caller, message, size_bytes)
        return
    conn = state.conns.get(conn_id)
    if conn is not None:
        for message in event.messages:
            # An earlier answer may have closed the connection.
            if isinstance(message, Executed) and conn_id in state.conns:
                on_executed(state, conn, message)
        return
    for message in event.messages:
        if isinstance(message, (Probed, Progress)):
            on_monitor_message(state, conn_id, message)
        elif conn_id in state.control_conns:
            handler = _CONTROL_HANDLERS.get(type(message))
            if handler is not None:
                handler(state, conn_id, message)


def _on_conn_opened(state: ProxyState, event: ConnOpened) -> None:
    if event.link == 'caller':
        on_caller_opened(state, event)
    elif event.link == 'proxy':
        on_control_opened(state, event)
    elif event.conn in state.approval_conns:
        on_approval_conn_opened(state, event)
    elif event.purpose == 'monitor':
        on_monitor_opened(state, event)
    else:
        on_conn_opened(state, event)


def _on_conn_closed(state: ProxyState, event: ConnClosed) -> None:
    conn_id = event.conn
    if conn_id in state.callers:
        on_caller_closed(state, conn_id)
    elif conn_id in state.control_conns:
        on_control_closed(state, conn_id)
    elif conn_id in state.approval_conns:
        on_approval_conn_closed(state, conn_id)
    elif conn_id in state.monitor_conns:
        on_monitor_closed(state, event)
    else:
        on_conn_closed(state, event)


def _on_frame_rejected(state: ProxyState, event: FrameRejected) -> None:
    caller = state.callers.get(event.conn)
    if caller is not None:
        on_caller_frame_rejected(state, caller, event)
        return
    log(
        state,
        'warning',
        'frame_rejected',
        conn=event.conn,
        detail=event.detail,
    )
    conn = state.conns.get(event.conn)
    if conn is not None:
        drop_conn(state, conn, 'malformed frame')
    elif event.conn in state.monitor_conns:
        close(state, event.conn, 'malformed frame', abort=True)
        closed = ConnClosed(
            now_ms=event.now_ms, conn=event.conn, reason='malformed'
        )
        on_monitor_closed(state, closed)
