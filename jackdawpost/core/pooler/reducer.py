"""Reducer of the session pooler.

`reduce_pooler` routes each event to the module that handles it, then
processes what the event has marked as dirty, and returns the effects.
"""

from __future__ import annotations

import dataclasses
import random
from typing import Any

from jackdawpost.core.effects import Effect
from jackdawpost.core.effects import Stop
from jackdawpost.core.events import ConnClosed
from jackdawpost.core.events import ConnOpened
from jackdawpost.core.events import DrainRequested
from jackdawpost.core.events import Event
from jackdawpost.core.events import FrameRejected
from jackdawpost.core.events import Received
from jackdawpost.core.events import SeedsChanged
from jackdawpost.core.events import TimerFired
from jackdawpost.core.messages.session import Done
from jackdawpost.core.messages.session import EndSession
from jackdawpost.core.messages.session import Failed
from jackdawpost.core.messages.session import OpenUpstream
from jackdawpost.core.messages.session import Ready
from jackdawpost.core.messages.session import Request
from jackdawpost.core.messages.session import Row
from jackdawpost.core.messages.session import StartSession
from jackdawpost.core.outbox import count
from jackdawpost.core.outbox import log
from jackdawpost.core.outbox import pop_effects
from jackdawpost.core.outbox import send
from jackdawpost.core.pooler.connections import close_upstream_conn
from jackdawpost.core.pooler.connections import on_open_failed
from jackdawpost.core.pooler.control_links import connect_to_seeds
from jackdawpost.core.pooler.control_links import on_control_closed
from jackdawpost.core.pooler.control_links import on_control_message
from jackdawpost.core.pooler.control_links import on_control_opened
from jackdawpost.core.pooler.control_links import on_newcomer_due
from jackdawpost.core.pooler.control_links import on_newcomer_failed
from jackdawpost.core.pooler.control_links import on_newcomer_opened
from jackdawpost.core.pooler.control_links import on_report_due
from jackdawpost.core.pooler.control_links import send_approvals
from jackdawpost.core.pooler.ejection import on_return_due
from jackdawpost.core.pooler.leases import advance_revocation
from jackdawpost.core.pooler.leases import has_lost_control
from jackdawpost.core.pooler.placement import dispatch_group
from jackdawpost.core.pooler.probes import handle_action_answer
from jackdawpost.core.pooler.probes import handle_probe_answer
from jackdawpost.core.pooler.probes import MAX_PROBE_ALIGNMENT_MS
from jackdawpost.core.pooler.probes import NO_CAPACITY_CODES
from jackdawpost.core.pooler.probes import on_monitor_closed
from jackdawpost.core.pooler.probes import on_probe_due
from jackdawpost.core.pooler.rates import dump_rates
from jackdawpost.core.pooler.rates import on_rates_due
from jackdawpost.core.pooler.reports import send_report
from jackdawpost.core.pooler.serving import expire_all
from jackdawpost.core.pooler.serving import handle_answer
from jackdawpost.core.pooler.serving import handle_lost_conn
from jackdawpost.core.pooler.serving import on_attempt_timeout
from jackdawpost.core.pooler.serving import on_deadline
from jackdawpost.core.pooler.serving import on_retry_due
from jackdawpost.core.pooler.serving import release_if_idle
from jackdawpost.core.pooler.serving import retry_reads_elsewhere
from jackdawpost.core.pooler.sessions import abort_idle_txn
from jackdawpost.core.pooler.sessions import end_session
from jackdawpost.core.pooler.sessions import on_config_wait_expired
from jackdawpost.core.pooler.sessions import on_removed_key_due
from jackdawpost.core.pooler.sessions import on_request
from jackdawpost.core.pooler.sessions import on_txn_idle_timeout
from jackdawpost.core.pooler.sessions import open_session
from jackdawpost.core.pooler.sessions import process_backlog
from jackdawpost.core.pooler.state import Answer
from jackdawpost.core.pooler.state import close
from jackdawpost.core.pooler.state import PoolerConfig
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import schedule
from jackdawpost.core.pooler.state import Session
from jackdawpost.core.pooler.state import UpstreamConn
from jackdawpost.core.pooler.upstreams import suspect
from jackdawpost.core.pooler.watching import is_usable_unwatched

DRAIN_CHECK_INTERVAL_MS = 100.0
MAX_LOGGED_REQUESTS = 3
# Keys in the dump of the fields of `Pool` that are dumped under another name.
_DUMP_NAMES = {
    'reachability': 'reach',
    'concurrency_limit': 'limit',
    'limit_lowered_ms': 'shed_ms',
    'leaving_since_ms': 'leaving_ms',
    'suspected': 'doubted',
    'last_contact_ms': 'heard_ms',
    'last_success_ms': 'served_ms',
    'failed_sent_ms': 'unserved',
}


def new_pooler(
    cfg: PoolerConfig, rng: random.Random, now_ms: float
) -> tuple[PoolerState, list[Effect]]:
    """Return the initial state of a pooler and its first effects."""
    state = PoolerState(cfg=cfg, rng=rng, now_ms=now_ms)
    state.probe_phase_ms = rng.random() * MAX_PROBE_ALIGNMENT_MS
    connect_to_seeds(state)
    return state, pop_effects(state)


def reduce_pooler(state: PoolerState, event: Event) -> list[Effect]:
    """Handle one event: update the state in place and return the effects."""
    state.now_ms = max(state.now_ms, event.now_ms)
    if state.stopped:
        return []
    if isinstance(event, Received):
        _on_received(state, event)
    elif isinstance(event, TimerFired):
        _on_timer(state, event.key)
    elif isinstance(event, ConnOpened):
        _on_conn_opened(state, event)
    elif isinstance(event, ConnClosed):
        _on_conn_closed(state, event)
    elif isinstance(event, FrameRejected):
        _on_frame_rejected(state, event)
    elif isinstance(event, SeedsChanged):
        state.cfg = dataclasses.replace(state.cfg, seeds=event.seeds)
        connect_to_seeds(state)
    elif isinstance(event, DrainRequested):
        _on_drain_requested(state)
    _process_dirty(state)
    if state.unsent_approvals:
        send_approvals(state)
    return pop_effects(state)


def is_healthy(state: PoolerState) -> bool:
    """Return whether the load balancer should route new sessions here.

    A pooler that loses its control connections stays healthy. Its view of
    the primary may be outdated then, but an upstream that is not the primary
    refuses statements that need the primary. Where it does not refuse, the
    pooler is healthy only until its leases have run out.
    """
    has_upstream = any(
        pool.reachability in ('up', 'stalled')
        or is_usable_unwatched(state, pool)
        for pool in state.pools.values()
    )
    return (
        state.drain_started_ms is None
        and bool(state.endpoints)
        and has_upstream
        and not has_lost_control(state)
    )


def dump_pooler(state: PoolerState) -> dict[str, Any]:
    """Return a snapshot of the state as plain data for the state page."""
    return {
        'now_ms': state.now_ms,
        'name': state.cfg.name,
        'version': state.published.version,
        'member_state': state.member_state,
        'leader': state.control_conns.get(state.leader_conn),
        'controls': sorted(state.control_conns.values()),
        'granted_age_ms': state.now_ms - state.last_grant_ms,
        'leases': state.leases.dump(),
        'revocations': sorted(state.revocations),
        'rates': dump_rates(state),
        'draining': state.drain_started_ms is not None,
        'sessions': len(state.sessions),
        'endpoints': sorted(state.endpoints),
        'statements': [
            {
                'request': task.req.id,
                'verb': task.req.verb,
                'phase': task.phase,
                'age_ms': state.now_ms - task.arrived_ms,
            }
            for task in state.tasks.values()
        ],
        'groups': {
            group.name: {
                'primary': group.primary,
                'waiting': len(group.waiting),
                'repeated_reads': group.repeated_reads.available,
            }
            for group in state.groups.values()
        },
        'pools': {
            name: {
                _DUMP_NAMES.get(key, key): value
                for key, value in dataclasses.asdict(pool).items()
            }
            for name, pool in state.pools.items()
        },
    }


def _process_dirty(state: PoolerState) -> None:
    """Process all groups, sessions and upstreams that are marked as dirty."""
    while state.dirty:
        dirty = sorted(state.dirty)
        state.dirty = set()
        for name in dirty:
            kind, _, subject = name.partition('/')
            if kind == 'group':
                dispatch_group(state, subject)
            elif kind == 'unreachable':
                retry_reads_elsewhere(state, subject)
            elif int(subject) in state.sessions:
                process_backlog(state, state.sessions[int(subject)])


def _on_conn_opened(state: PoolerState, event: ConnOpened) -> None:
    if event.link == 'session':
        state.unidentified.add(event.conn)
    elif event.link == 'proxy':
        on_control_opened(state, event.conn, event.peer)
    elif event.link == 'upstream':
        conn = state.conns.get(event.conn)
        if conn is None:
            close(state, event.conn, 'connection no longer needed', abort=True)
            return
        # The first pending request is the opening of the connection.
        conn.pending_requests[0].sent_ms = state.now_ms
        open_message = OpenUpstream(
            group=_group_name(state, conn),
            peer=conn.tenant or state.cfg.name,
            upstream=conn.upstream,
        )
        send(state, event.conn, open_message)


def _group_name(state: PoolerState, conn: UpstreamConn) -> str:
    if conn.purpose == 'check':
        newcomer = state.newcomers.get(conn.upstream)
        return newcomer.group if newcomer is not None else ''
    pool = state.pools.get(conn.upstream)
    return pool.view.group if pool is not None else ''


def _on_conn_closed(state: PoolerState, event: ConnClosed) -> None:
    if event.conn in state.control_conns:
        on_control_closed(state, event.conn)
        return
    conn = state.conns.pop(event.conn, None)
    if conn is None:
        state.closing.discard(event.conn)
        end_session(state, event.conn)
        return
    reason = event.reason
    if conn.purpose == 'check':
        on_newcomer_failed(state, conn)
        return
    pool = state.pools.get(conn.upstream)
    if conn.purpose == 'monitor':
        if pool is not None and pool.monitor == conn.conn:
            on_monitor_closed(state, pool, conn, reason)
        return
    if pool is not None:
        pool.conns.discard(conn.conn)
        if not conn.opened:
            has_no_room = conn.refusal_code in NO_CAPACITY_CODES
            on_open_failed(state, pool, has_no_room)
        if conn.refusal_code not in NO_CAPACITY_CODES:
            suspect(state, pool)
        state.dirty.add(f'group/{pool.view.group}')
    handle_lost_conn(state, conn, event.detail or reason)


def _on_frame_rejected(state: PoolerState, event: FrameRejected) -> None:
    """Refuse a malformed request and close only the session that sent it."""
    if event.conn in state.closing:
        return
    log(state, 'info', 'request_malformed', detail=event.detail)
    failed = Failed(code='malformed', text=event.detail)
    send(state, event.conn, failed)
    close(state, event.conn, 'malformed request', abort=False)
    end_session(state, event.conn)


def _on_received(state: PoolerState, event: Received) -> None:
    if event.conn in state.control_conns:
        for message in event.messages:
            on_control_message(state, event.conn, message)
        return
    conn = state.conns.get(event.conn)
    for number, message in enumerate(event.messages):
        if event.conn in state.closing:
            _ignore_messages(state, event.conn, event.messages[number:])
            return
        if conn is not None:
            _on_upstream_message(state, conn, message)
        elif isinstance(message, StartSession):
            _on_start_session(state, event.conn, message)
        elif isinstance(message, Request):
            on_request(state, event.conn, message)
        elif isinstance(message, EndSession):
            close(state, event.conn, 'session ended', abort=False)
            end_session(state, event.conn)


def _ignore_messages(
    state: PoolerState, session: int, messages: list[Any]
) -> None:
    """Log what crosses the end of its session, and do not answer it."""
    requests = [m.id for m in messages if isinstance(m, Request)]
    count(state, 'messages_after_close', len(messages))
    log(
        state,
        'info',
        'messages_after_close',
        session=session,
        requests=requests[:MAX_LOGGED_REQUESTS],
    )


def _on_start_session(
    state: PoolerState, conn: int, message: StartSession
) -> None:
    if conn not in state.unidentified:
        close(state, conn, 'session started twice', abort=True)
        end_session(state, conn)
        return
    open_session(state, conn, message)


def _on_upstream_message(
    state: PoolerState, conn: UpstreamConn, message: Any
) -> None:
    answer = conn.answer
    if isinstance(message, Row):
        answer.rows.append(message.text)
    elif isinstance(message, Done):
        answer.signature = message.signature
    elif isinstance(message, Failed):
        answer.code = message.code
        answer.text = message.text
        if not conn.opened:
            # The upstream closes the connection after this message.
            _on_open_refused(state, conn, answer)
    elif isinstance(message, Ready):
        answer.state = message.state
        answer.position = message.position
        conn.answer = Answer()
        _on_answer_complete(state, conn, answer)


def _on_open_refused(
    state: PoolerState, conn: UpstreamConn, answer: Answer
) -> None:
    conn.refusal_code = answer.code
    log(
        state,
        'warning',
        'upstream_refused',
        upstream=conn.upstream,
        purpose=conn.purpose,
        code=answer.code,
        detail=answer.text,
    )


def _on_answer_complete(
    state: PoolerState, conn: UpstreamConn, answer: Answer
) -> None:
    if not conn.pending_requests or conn.conn not in state.conns:
        log(state, 'warning', 'answer_unasked', upstream=conn.upstream)
        close_upstream_conn(state, conn, 'answer without a request')
        return
    request = conn.pending_requests.popleft()
    if request.kind == 'open':
        conn.opened = True
        if conn.purpose == 'check':
            on_newcomer_opened(state, conn)
        elif conn.purpose == 'statements':
            release_if_idle(state, conn)
        else:
            on_probe_due(state, conn.upstream)
        return
    if conn.purpose == 'monitor':
        pool = state.pools.get(conn.upstream)
        if pool is not None:
            if request.kind == 'control_action':
                handle_action_answer(state, pool, request, answer)
            else:
                handle_probe_answer(state, pool, conn, request, answer)
            if conn.is_idle:
                # This may be the only connection that statements can use.
                state.dirty.add(f'group/{pool.view.group}')
        return
    handle_answer(state, conn, request, answer)


def _on_timer(state: PoolerState, key: str) -> None:
    kind, _, subject = key.partition('/')
    if kind == 'work':
        on_deadline(state, int(subject))
    elif kind == 'attempt':
        on_attempt_timeout(state, int(subject))
    elif kind == 'again':
        on_retry_due(state, int(subject))
    elif kind == 'probe':
        on_probe_due(state, subject)
    elif kind == 'report':
        on_report_due(state)
    elif kind == 'group':
        state.dirty.add(key)
    elif kind == 'txn':
        on_txn_idle_timeout(state, int(subject))
    elif kind == 'open':
        on_config_wait_expired(state, int(subject))
    elif kind == 'lease':
        advance_revocation(state, subject)
    elif kind == 'newcomer':
        on_newcomer_due(state, subject)
    elif kind == 'key':
        on_removed_key_due(state, int(subject))
    elif kind == 'return':
        on_return_due(state, subject)
    elif kind == 'rates':
        on_rates_due(state)
    elif kind == 'drain':
        _advance_drain(state)


def _on_drain_requested(state: PoolerState) -> None:
    if state.drain_started_ms is not None:
        return
    state.drain_started_ms = state.now_ms
    log(
        state,
        'info',
        'draining',
        sessions=len(state.sessions),
        statements=len(state.tasks),
    )
    send_report(state)
    _advance_drain(state)


def _advance_drain(state: PoolerState) -> None:
    """Close idle sessions after the notice period, then stop.

    Idle transactions are aborted after `drain_txn_ms`; their sessions are
    closed once the caller has been told and has ended them. The process stops
    when no session is left, at the latest after `drain_limit_ms`.
    """
    assert state.drain_started_ms is not None
    elapsed_ms = state.now_ms - state.drain_started_ms
    cfg = state.cfg
    if elapsed_ms >= cfg.drain_notice_ms:
        for session in list(state.sessions.values()):
            is_idle = session.task is None and not session.backlog
            if is_idle and session.state == 'idle':
                _close_session(state, session, 'draining')
            elif (
                is_idle
                and session.state == 'in_txn'
                and elapsed_ms >= cfg.drain_txn_ms
            ):
                abort_idle_txn(state, session, 'the proxy is stopping')
    if elapsed_ms >= cfg.drain_limit_ms or (
        elapsed_ms >= cfg.drain_notice_ms and not state.sessions
    ):
        expire_all(state)
        log(state, 'info', 'stopping', sessions=len(state.sessions))
        state.stopped = True
        state.outbox.append(Stop())
        return
    schedule(state, 'drain', state.now_ms + DRAIN_CHECK_INTERVAL_MS)


def _close_session(state: PoolerState, session: Session, reason: str) -> None:
    close(state, session.conn, reason, abort=False)
    end_session(state, session.conn)
