"""Reducer of a session pooler: every event in, effects out."""

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
from jackdawpost.core.outbox import log
from jackdawpost.core.outbox import pop_effects
from jackdawpost.core.outbox import send
from jackdawpost.core.pooler.connections import discard
from jackdawpost.core.pooler.connections import note_open_failed
from jackdawpost.core.pooler.control_links import on_control_closed
from jackdawpost.core.pooler.control_links import on_control_opened
from jackdawpost.core.pooler.control_links import on_newcomer_due
from jackdawpost.core.pooler.control_links import on_newcomer_failed
from jackdawpost.core.pooler.control_links import on_newcomer_opened
from jackdawpost.core.pooler.control_links import on_report_due
from jackdawpost.core.pooler.control_links import receive_from_control
from jackdawpost.core.pooler.control_links import send_report
from jackdawpost.core.pooler.control_links import start_links
from jackdawpost.core.pooler.placement import dispatch
from jackdawpost.core.pooler.probes import FULL_CODES
from jackdawpost.core.pooler.probes import lose_monitor
from jackdawpost.core.pooler.probes import on_probe_due
from jackdawpost.core.pooler.probes import take_probe_answer
from jackdawpost.core.pooler.probes import take_told
from jackdawpost.core.pooler.serving import give_up_all
from jackdawpost.core.pooler.serving import lose_statement_conn
from jackdawpost.core.pooler.serving import move_reads
from jackdawpost.core.pooler.serving import on_again_due
from jackdawpost.core.pooler.serving import on_attempt_due
from jackdawpost.core.pooler.serving import on_work_due
from jackdawpost.core.pooler.serving import release
from jackdawpost.core.pooler.serving import take_answer
from jackdawpost.core.pooler.sessions import advance_session
from jackdawpost.core.pooler.sessions import end_session
from jackdawpost.core.pooler.sessions import on_open_due
from jackdawpost.core.pooler.sessions import on_txn_idle
from jackdawpost.core.pooler.sessions import open_session
from jackdawpost.core.pooler.sessions import receive_request
from jackdawpost.core.pooler.state import Answer
from jackdawpost.core.pooler.state import close
from jackdawpost.core.pooler.state import PoolerConfig
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import schedule
from jackdawpost.core.pooler.state import Session
from jackdawpost.core.pooler.state import UpstreamConn
from jackdawpost.core.pooler.upstreams import doubt

DRAIN_STEP_MS = 100.0  # between looks at what a draining process still has


def new_pooler(
    cfg: PoolerConfig, rng: random.Random, now_ms: float
) -> tuple[PoolerState, list[Effect]]:
    """Return the state of a starting pooler and its first effects."""
    state = PoolerState(cfg=cfg, rng=rng, now_ms=now_ms)
    start_links(state)
    return state, pop_effects(state)


def reduce_pooler(state: PoolerState, event: Event) -> list[Effect]:
    """Handle one event: change the state in place and return effects."""
    state.now_ms = max(state.now_ms, event.now_ms)
    if state.stopped:
        return []
    if isinstance(event, Received):
        _on_received(state, event)
    elif isinstance(event, TimerFired):
        _on_timer(state, event.key)
    elif isinstance(event, ConnOpened):
        _on_opened(state, event)
    elif isinstance(event, ConnClosed):
        _on_closed(state, event)
    elif isinstance(event, FrameRejected):
        _on_rejected(state, event)
    elif isinstance(event, SeedsChanged):
        state.cfg = dataclasses.replace(state.cfg, seeds=event.seeds)
        start_links(state)
    elif isinstance(event, DrainRequested):
        _on_drain(state)
    _settle(state)
    return pop_effects(state)


def is_healthy(state: PoolerState) -> bool:
    """Tell whether the balancer should send new sessions here.

    Losing control later does not end the service: upstreams refuse what a
    pooler with an old view of the primary sends them.
    """
    has_upstream = any(
        pool.reach in ('up', 'stalled') for pool in state.pools.values()
    )
    return state.drain_ms is None and bool(state.endpoints) and has_upstream


def dump_pooler(state: PoolerState) -> dict[str, Any]:
    """Return a snapshot of the state as plain data."""
    return {
        'now_ms': state.now_ms,
        'name': state.cfg.name,
        'version': state.published.version,
        'member_state': state.member_state,
        'leader': state.controls.get(state.leader),
        'controls': sorted(state.controls.values()),
        'granted_age_ms': state.now_ms - state.granted_ms,
        'draining': state.drain_ms is not None,
        'sessions': len(state.sessions),
        'endpoints': sorted(state.endpoints),
        'statements': [
            {
                'request': work.req.id,
                'verb': work.req.verb,
                'phase': work.phase,
                'age_ms': state.now_ms - work.arrived_ms,
            }
            for work in state.works.values()
        ],
        'groups': {
            group.name: {
                'primary': group.primary,
                'waiting': len(group.waiting),
            }
            for group in state.groups.values()
        },
        'pools': {
            name: dataclasses.asdict(pool)
            for name, pool in state.pools.items()
        },
    }


def _settle(state: PoolerState) -> None:
    """Go on with all that the event has made possible."""
    while state.dirty:
        dirty = sorted(state.dirty)
        state.dirty = set()
        for name in dirty:
            kind, _, subject = name.partition('/')
            if kind == 'group':
                dispatch(state, subject)
            elif kind == 'silent':
                move_reads(state, subject)
            elif int(subject) in state.sessions:
                advance_session(state, state.sessions[int(subject)])


def _on_opened(state: PoolerState, event: ConnOpened) -> None:
    if event.link == 'session':
        state.strangers.add(event.conn)
    elif event.link == 'proxy':
        on_control_opened(state, event.conn, event.peer)
    elif event.link == 'upstream':
        conn = state.conns.get(event.conn)
        if conn is None:
            close(state, event.conn, 'not needed', abort=True)
            return
        conn.steps[0].sent_ms = state.now_ms
        hello = OpenUpstream(
            group=_group_name(state, conn),
            peer=state.cfg.name,
            upstream=conn.upstream,
        )
        send(state, event.conn, hello)


def _group_name(state: PoolerState, conn: UpstreamConn) -> str:
    if conn.purpose == 'check':
        newcomer = state.newcomers.get(conn.upstream)
        return newcomer.group if newcomer is not None else ''
    pool = state.pools.get(conn.upstream)
    return pool.view.group if pool is not None else ''


def _on_closed(state: PoolerState, event: ConnClosed) -> None:
    if event.conn in state.controls:
        on_control_closed(state, event.conn)
        return
    conn = state.conns.pop(event.conn, None)
    if conn is None:
        end_session(state, event.conn)
        return
    reason = event.reason
    if conn.purpose == 'check':
        on_newcomer_failed(state, conn)
        return
    pool = state.pools.get(conn.upstream)
    if conn.purpose == 'monitor':
        if pool is not None and pool.monitor == conn.conn:
            lose_monitor(state, pool, conn, reason)
        return
    if pool is not None:
        pool.conns.discard(conn.conn)
        if not conn.opened:
            note_open_failed(state, pool)
        if conn.refusal not in FULL_CODES:
            doubt(state, pool)
        state.dirty.add(f'group/{pool.view.group}')
    lose_statement_conn(state, conn, event.detail or reason)


def _on_rejected(state: PoolerState, event: FrameRejected) -> None:
    """Answer bytes that are no request; other sessions are not affected."""
    log(state, 'info', 'request_malformed', detail=event.detail)
    failed = Failed(code='malformed', text=event.detail)
    send(state, event.conn, failed)
    close(state, event.conn, 'malformed request', abort=False)
    end_session(state, event.conn)


def _on_received(state: PoolerState, event: Received) -> None:
    if event.conn in state.controls:
        for message in event.messages:
            receive_from_control(state, event.conn, message)
        return
    conn = state.conns.get(event.conn)
    for message in event.messages:
        if conn is not None:
            _receive_upstream(state, conn, message)
        elif isinstance(message, StartSession):
            _start_session(state, event.conn, message)
        elif isinstance(message, Request):
            receive_request(state, event.conn, message)
        elif isinstance(message, EndSession):
            close(state, event.conn, 'session ended', abort=False)
            end_session(state, event.conn)


def _start_session(
    state: PoolerState, conn: int, message: StartSession
) -> None:
    if conn not in state.strangers:
        close(state, conn, 'second start', abort=True)
        end_session(state, conn)
        return
    open_session(state, conn, message.database)


def _receive_upstream(
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
            # The upstream closes after a refused start.
            _refused_at_open(state, conn, answer)
    elif isinstance(message, Ready):
        answer.state = message.state
        answer.position = message.position
        conn.answer = Answer()
        _complete(state, conn, answer)


def _refused_at_open(
    state: PoolerState, conn: UpstreamConn, answer: Answer
) -> None:
    conn.refusal = answer.code
    log(
        state,
        'warning',
        'upstream_refused',
        upstream=conn.upstream,
        purpose=conn.purpose,
        code=answer.code,
        detail=answer.text,
    )


def _complete(state: PoolerState, conn: UpstreamConn, answer: Answer) -> None:
    if not conn.steps or conn.conn not in state.conns:
        log(state, 'warning', 'answer_unasked', upstream=conn.upstream)
        discard(state, conn, 'answer to nothing')
        return
    step = conn.steps.popleft()
    if step.kind == 'open':
        conn.opened = True
        if conn.purpose == 'check':
            on_newcomer_opened(state, conn)
        elif conn.purpose == 'statements':
            release(state, conn)
        else:
            on_probe_due(state, conn.upstream)
        return
    if conn.purpose == 'monitor':
        pool = state.pools.get(conn.upstream)
        if pool is not None:
            if step.kind == 'told':
                take_told(state, pool, step, answer)
            else:
                take_probe_answer(state, pool, conn, step, answer)
            if conn.is_idle:
                # It may be the only one that statements can have.
                state.dirty.add(f'group/{pool.view.group}')
        return
    take_answer(state, conn, step, answer)


def _on_timer(state: PoolerState, key: str) -> None:
    kind, _, subject = key.partition('/')
    if kind == 'work':
        on_work_due(state, int(subject))
    elif kind == 'attempt':
        number, _, attempt = subject.partition('/')
        on_attempt_due(state, int(number), int(attempt))
    elif kind == 'again':
        on_again_due(state, int(subject))
    elif kind == 'probe':
        on_probe_due(state, subject)
    elif kind == 'report':
        on_report_due(state)
    elif kind == 'group':
        state.dirty.add(key)
    elif kind == 'txn':
        on_txn_idle(state, int(subject))
    elif kind == 'open':
        on_open_due(state, int(subject))
    elif kind == 'newcomer':
        on_newcomer_due(state, subject)
    elif kind == 'drain':
        _drain(state)


def _on_drain(state: PoolerState) -> None:
    if state.drain_ms is not None:
        return
    state.drain_ms = state.now_ms
    log(
        state,
        'info',
        'draining',
        sessions=len(state.sessions),
        statements=len(state.works),
    )
    send_report(state)
    _drain(state)


def _drain(state: PoolerState) -> None:
    """Close what has ended, and end the process when nothing is left."""
    assert state.drain_ms is not None
    since_ms = state.now_ms - state.drain_ms
    cfg = state.cfg
    if since_ms >= cfg.drain_notice_ms:
        for session in list(state.sessions.values()):
            is_idle = session.work is None and not session.backlog
            if is_idle and session.state == 'idle':
                _end(state, session, 'draining')
            elif is_idle and since_ms >= cfg.drain_txn_ms:
                failed = Failed(code='aborted', text='the proxy is stopping')
                send(state, session.conn, failed)
                _end(state, session, 'draining with an open transaction')
    if since_ms >= cfg.drain_limit_ms or (
        since_ms >= cfg.drain_notice_ms and not state.sessions
    ):
        give_up_all(state)
        log(state, 'info', 'stopping', sessions=len(state.sessions))
        state.stopped = True
        state.outbox.append(Stop())
        return
    schedule(state, 'drain', state.now_ms + DRAIN_STEP_MS)


def _end(state: PoolerState, session: Session, reason: str) -> None:
    close(state, session.conn, reason, abort=False)
    end_session(state, session.conn)
