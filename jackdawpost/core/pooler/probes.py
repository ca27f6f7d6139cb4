"""Probes of upstreams, and requests that control has passed on."""

from __future__ import annotations

from jackdawpost.core.messages.control import UpstreamAction
from jackdawpost.core.messages.control import UpstreamActionAnswer
from jackdawpost.core.messages.session import Internal
from jackdawpost.core.outbox import log
from jackdawpost.core.outbox import send
from jackdawpost.core.pooler.connections import connection_limit
from jackdawpost.core.pooler.connections import discard
from jackdawpost.core.pooler.connections import idle_connection
from jackdawpost.core.pooler.connections import open_connection
from jackdawpost.core.pooler.connections import open_count
from jackdawpost.core.pooler.connections import send_internal
from jackdawpost.core.pooler.connections import send_rollback
from jackdawpost.core.pooler.stalls import look_for_stall
from jackdawpost.core.pooler.state import Answer
from jackdawpost.core.pooler.state import group_of
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import schedule
from jackdawpost.core.pooler.state import Step
from jackdawpost.core.pooler.state import UpstreamConn
from jackdawpost.core.pooler.upstreams import doubt
from jackdawpost.core.pooler.upstreams import note_applied
from jackdawpost.core.pooler.upstreams import note_leader
from jackdawpost.core.pooler.upstreams import note_not_leader
from jackdawpost.core.pooler.upstreams import note_reach
from jackdawpost.errors import ProtocolError

# Time without a probe after which a connection for probes is closed.
MONITOR_IDLE_MS = 5_000.0
# Time without an answer that is worth a connection beyond the share.
QUIET_MS = 400.0
PROBE_STEPS = frozenset({'open', 'status', 'probe_begin', 'probe_rollback'})
# Age of the newest proved position at which the primary is asked for another.
SAMPLE_MS = 200.0
# Time without an answer after which a replica is asked whether it is there.
HEARD_MS = 1_000.0
# The same while it runs statements.
UNANSWERED_MS = 150.0
# Refusals of a connection by an upstream that works.
FULL_CODES = frozenset({'no_connections', 'overloaded'})
# Pause before another attempt at an upstream without a free connection.
FULL_RETRY_MS = 150.0
# Keeps overdue probes from being looked at again at once.
MIN_PROBE_PAUSE_MS = 20.0
# Pause between looks at a replica that is behind.
LAG_PROBE_MS = 250.0
# While no primary is known, every upstream is asked whether it leads.
SEARCH_INTERVAL_MS = 80.0


def ask_upstream(
    state: PoolerState, asker: int, asked: UpstreamAction
) -> None:
    """Pass a request of control on; it asks again if nothing comes back."""
    pool = state.pools.get(asked.upstream)
    if pool is None:
        return
    conn = idle_connection(state, pool)
    if conn is None:
        doubt(state, pool)  # opens a connection
        return
    step = Step(kind='told', sent_ms=state.now_ms, asked=asked, asker=asker)
    conn.steps.append(step)
    argument = str(asked.term) if asked.action == 'pause' else ''
    send(state, conn.conn, Internal(action=asked.action, argument=argument))


def take_told(
    state: PoolerState, pool: Pool, step: Step, answer: Answer
) -> None:
    """Hand an upstream's answer to control."""
    asked = step.asked
    if asked is None or not answer.signature or not answer.rows:
        log(
            state,
            'warning',
            'request_of_control_failed',
            upstream=pool.view.name,
            action=asked.action if asked else None,
            code=answer.code,
        )
        return
    _take_status(state, pool, answer)
    if pool.received is None:
        return
    told = UpstreamActionAnswer(
        upstream=asked.upstream,
        action=asked.action,
        token=asked.token,
        received=pool.received,
    )
    send(state, step.asker, told)


def on_probe_due(state: PoolerState, name: str) -> None:
    """Probe an upstream, or notice that it has not answered."""
    pool = state.pools.get(name)
    if pool is None:
        return
    conn = state.conns.get(pool.probe_conn)
    if conn is not None and _awaits_probe(conn):
        waited_ms = state.now_ms - conn.steps[0].sent_ms
        if waited_ms >= state.cfg.probe_timeout_ms:
            note_reach(state, pool, 'silent')
            if conn.opened or waited_ms >= state.cfg.open_timeout_ms:
                discard(state, conn, 'no answer to a probe')
    elif _is_probe_needed(state, pool):
        _start_probe(state, pool)
    else:
        _drop_idle_monitor(state, pool)
    look_for_stall(state, pool)
    pause_ms = _probe_pause(state, pool)
    schedule(state, f'probe/{name}', state.now_ms + pause_ms)


def _awaits_probe(conn: UpstreamConn) -> bool:
    return bool(conn.steps) and conn.steps[0].kind in PROBE_STEPS


def _start_probe(state: PoolerState, pool: Pool) -> None:
    """Probe on an idle connection; without one, on one of its own."""
    conn = idle_connection(state, pool)
    if conn is not None:
        _send_probe(state, pool, conn)
    elif pool.monitor or _may_wait_for_idle(state, pool):
        return
    else:
        conn = open_connection(state, pool.view, 'monitor')
        pool.monitor = conn.conn
        pool.probe_sent_ms = state.now_ms
    pool.probe_conn = conn.conn


def _may_wait_for_idle(state: PoolerState, pool: Pool) -> bool:
    """Tell whether no connection may be opened just to probe.

    While statements are answered, the next idle one will do. An upstream in
    doubt is worth one more than the share.
    """
    if open_count(pool) < connection_limit(state, pool):
        return False
    is_heard = state.now_ms < pool.heard_ms + QUIET_MS
    return is_heard and not pool.doubted and pool.reach == 'up'


def _drop_idle_monitor(state: PoolerState, pool: Pool) -> None:
    """Give up the connection for probes while statements show enough."""
    conn = state.conns.get(pool.monitor)
    if conn is None or not conn.is_idle or not pool.conns:
        return
    is_over = open_count(pool) >= connection_limit(state, pool)
    if is_over or state.now_ms >= pool.probe_sent_ms + MONITOR_IDLE_MS:
        discard(state, conn, 'not needed')


def _is_probe_needed(state: PoolerState, pool: Pool) -> bool:
    """Tell whether the answers to statements show too little."""
    if pool.reach != 'up' or pool.doubted:
        return True
    group = group_of(state, pool.view.group)
    if group.primary is None:
        return True
    if group.primary == pool.view.name:
        newest = group.samples.newest_ms()
        return newest is None or state.now_ms >= newest + SAMPLE_MS
    quiet_ms = UNANSWERED_MS if _has_statements(state, pool) else HEARD_MS
    if state.now_ms >= pool.heard_ms + quiet_ms:
        return True
    is_due = state.now_ms >= pool.probe_sent_ms + LAG_PROBE_MS
    return is_due and _is_behind(state, pool)


def _has_statements(state: PoolerState, pool: Pool) -> bool:
    return any(
        step.work is not None
        for number in pool.conns
        for step in state.conns[number].steps
    )


def _is_behind(state: PoolerState, pool: Pool) -> bool:
    """Tell whether no read can use what is known of an upstream's log."""
    needed = group_of(state, pool.view.group).samples.oldest_position()
    return pool.applied is None or (
        needed is not None and pool.applied < needed
    )


def _send_probe(state: PoolerState, pool: Pool, conn: UpstreamConn) -> None:
    pool.probe_sent_ms = state.now_ms
    is_sought = group_of(state, pool.view.group).primary is None
    if is_sought and pool.reach != 'stalled':
        # A promotion is due: what each has received decides on it.
        send_internal(state, conn, 'status', Internal(action='status'))
    # A begin takes no slot, so that an overloaded upstream answers in time.
    # It succeeds only where it proves leadership.
    send_internal(state, conn, 'probe_begin', Internal(action='begin'))


def _probe_pause(state: PoolerState, pool: Pool) -> float:
    group = group_of(state, pool.view.group)
    conn = state.conns.get(pool.probe_conn)
    due_ms = state.now_ms + state.cfg.probe_interval_ms
    if conn is not None and _awaits_probe(conn):
        due_ms = conn.steps[0].sent_ms + state.cfg.probe_timeout_ms
    elif group.primary is None:
        due_ms = state.now_ms + SEARCH_INTERVAL_MS
    elif group.primary == pool.view.name:
        newest = group.samples.newest_ms()
        due_ms = (newest or state.now_ms) + SAMPLE_MS
    return max(MIN_PROBE_PAUSE_MS, due_ms - state.now_ms)


def take_probe_answer(
    state: PoolerState,
    pool: Pool,
    conn: UpstreamConn,
    step: Step,
    answer: Answer,
) -> None:
    """Handle the answer to one statement of a probe."""
    note_reach(state, pool, 'up')
    if answer.position is not None:
        note_applied(state, pool, answer.position)
    if step.kind not in ('status', 'probe_begin'):
        return
    # Reads that waited for this upstream to catch up may go on.
    state.dirty.add(f'group/{pool.view.group}')
    if step.kind == 'status':
        if answer.signature and answer.rows:
            _take_status(state, pool, answer)
    elif answer.signature:
        send_rollback(state, conn, 'probe_rollback')
        if answer.position is not None:
            note_leader(state, pool, step.sent_ms, answer.position)
    elif answer.code == 'not_primary':
        note_not_leader(state, pool, 'not_primary')


def _take_status(state: PoolerState, pool: Pool, answer: Answer) -> None:
    try:
        status = state.cfg.decode_status(answer.rows[0])
    except ProtocolError as exc:
        log(
            state,
            'warning',
            'status_unreadable',
            upstream=pool.view.name,
            detail=str(exc),
        )
        return
    pool.term = status.term
    pool.received = status.received


def lose_monitor(
    state: PoolerState, pool: Pool, conn: UpstreamConn, reason: str
) -> None:
    """Take the end of a monitor connection."""
    pool.monitor = 0
    name = pool.view.name
    if conn.opened:
        # A connection may be reset while its other end goes on: only an
        # attempt to open another one tells.
        doubt(state, pool)
        return
    if conn.refusal in FULL_CODES:
        note_reach(state, pool, 'up')
        pool.heard_ms = state.now_ms
        schedule(state, f'probe/{name}', state.now_ms + FULL_RETRY_MS)
        return
    note_reach(state, pool, 'silent' if reason == 'timeout' else 'refused')
    pause = min(SEARCH_INTERVAL_MS, state.cfg.probe_interval_ms)
    schedule(state, f'probe/{name}', state.now_ms + pause)
