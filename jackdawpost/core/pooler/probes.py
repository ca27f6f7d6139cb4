"""Probes of upstreams, and requests of control forwarded to upstreams.

A probe shows whether an upstream is reachable and whether it is the primary.
An upstream is probed only when answers to statements do not show this.
"""

from __future__ import annotations

from jackdawpost.core.messages.control import UpstreamAction
from jackdawpost.core.messages.control import UpstreamActionAnswer
from jackdawpost.core.messages.session import Internal
from jackdawpost.core.outbox import log
from jackdawpost.core.outbox import send
from jackdawpost.core.pooler.connections import close_upstream_conn
from jackdawpost.core.pooler.connections import connection_limit
from jackdawpost.core.pooler.connections import count_connections
from jackdawpost.core.pooler.connections import find_idle_connection
from jackdawpost.core.pooler.connections import open_connection
from jackdawpost.core.pooler.connections import send_internal
from jackdawpost.core.pooler.connections import send_rollback
from jackdawpost.core.pooler.leases import is_covered
from jackdawpost.core.pooler.stalls import detect_stall
from jackdawpost.core.pooler.state import Answer
from jackdawpost.core.pooler.state import get_group
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import schedule
from jackdawpost.core.pooler.state import UpstreamConn
from jackdawpost.core.pooler.state import UpstreamRequest
from jackdawpost.core.pooler.upstreams import clear_leadership
from jackdawpost.core.pooler.upstreams import record_applied
from jackdawpost.core.pooler.upstreams import record_leadership
from jackdawpost.core.pooler.upstreams import set_reachability
from jackdawpost.core.pooler.upstreams import suspect
from jackdawpost.errors import ProtocolError

# An idle monitor connection is closed after this time without a probe.
MONITOR_IDLE_TIMEOUT_MS = 5_000.0
# After this time without an answer, a probe may open a connection beyond the
# connection limit.
EXTRA_CONNECTION_SILENCE_MS = 400.0
# Kinds of the requests that belong to a probe.
PROBE_KINDS = frozenset({'open', 'status', 'probe_begin', 'probe_rollback'})
# The primary is probed when its latest position sample reaches this age.
MAX_SAMPLE_AGE_MS = 200.0
# An idle replica is probed after this time without an answer.
IDLE_PROBE_SILENCE_MS = 1_000.0
# A replica with outstanding statements is probed after this time without an
# answer.
BUSY_PROBE_SILENCE_MS = 150.0
# Error codes of an upstream that is up but accepts no more connections.
NO_CAPACITY_CODES = frozenset({'no_connections', 'overloaded'})
# Delay before the next probe of an upstream that accepts no connections.
NO_CAPACITY_RETRY_MS = 150.0
# Prevents a busy loop while a probe is overdue.
MIN_PROBE_DELAY_MS = 20.0
# Interval between probes of a replica that lags behind.
LAGGING_PROBE_INTERVAL_MS = 250.0
# Interval at which all upstreams are probed while the primary is unknown.
PRIMARY_SEARCH_INTERVAL_MS = 80.0


def forward_control_action(
    state: PoolerState, control_conn: int, action: UpstreamAction
) -> None:
    """Forward a request of control to an upstream.

    Without an idle connection the request is dropped and a probe started,
    which opens one. Control repeats a request that is not answered.
    """
    pool = state.pools.get(action.upstream)
    if pool is None:
        return
    conn = find_idle_connection(state, pool)
    if conn is None:
        suspect(state, pool)
        return
    request = UpstreamRequest(
        kind='control_action',
        sent_ms=state.now_ms,
        control_action=action,
        control_conn=control_conn,
    )
    conn.pending_requests.append(request)
    argument = str(action.term) if action.action == 'pause' else ''
    send(state, conn.conn, Internal(action=action.action, argument=argument))


def handle_action_answer(
    state: PoolerState, pool: Pool, request: UpstreamRequest, answer: Answer
) -> None:
    """Return an upstream's answer to the control process that asked.

    A failed request, whose answer has no signature, is only logged.
    """
    action = request.control_action
    if action is None or not answer.signature or not answer.rows:
        log(
            state,
            'warning',
            'request_of_control_failed',
            upstream=pool.view.name,
            action=action.action if action else None,
            code=answer.code,
        )
        return
    _update_from_status(state, pool, answer)
    if pool.received is None:
        return
    action_answer = UpstreamActionAnswer(
        upstream=action.upstream,
        action=action.action,
        token=action.token,
        received=pool.received,
    )
    send(state, request.control_conn, action_answer)


def on_probe_due(state: PoolerState, name: str) -> None:
    """Probe an upstream if needed, and time out an unanswered probe."""
    pool = state.pools.get(name)
    if pool is None:
        return
    conn = state.conns.get(pool.probe_conn)
    if conn is not None and _is_probe_outstanding(conn):
        waited_ms = state.now_ms - conn.pending_requests[0].sent_ms
        if waited_ms >= state.cfg.probe_timeout_ms:
            set_reachability(state, pool, 'silent')
            if conn.opened or waited_ms >= state.cfg.open_timeout_ms:
                close_upstream_conn(state, conn, 'probe timed out')
    elif _is_probe_needed(state, pool):
        _start_probe(state, pool)
    else:
        _close_idle_monitor(state, pool)
    detect_stall(state, pool)
    delay_ms = _probe_delay_ms(state, pool)
    schedule(state, f'probe/{name}', state.now_ms + delay_ms)


def _is_probe_outstanding(conn: UpstreamConn) -> bool:
    """Return whether the next answer on a connection is to a probe."""
    return (
        bool(conn.pending_requests)
        and conn.pending_requests[0].kind in PROBE_KINDS
    )


def _start_probe(state: PoolerState, pool: Pool) -> None:
    """Probe on an idle connection, or open a monitor connection."""
    conn = find_idle_connection(state, pool)
    if conn is not None:
        _send_probe(state, pool, conn)
    elif pool.monitor or _can_wait_for_idle_connection(state, pool):
        return
    else:
        conn = open_connection(state, pool.view, 'monitor')
        pool.monitor = conn.conn
        pool.probe_sent_ms = state.now_ms
    pool.probe_conn = conn.conn


def _can_wait_for_idle_connection(state: PoolerState, pool: Pool) -> bool:
    """Return whether a probe should wait until a connection is idle.

    This is the case at the connection limit while statements are being
    answered. One connection beyond the limit is opened to probe an upstream
    that is suspected, is not ``'up'``, or has not answered for
    `EXTRA_CONNECTION_SILENCE_MS`.
    """
    if count_connections(pool) < connection_limit(state, pool):
        return False
    has_recent_contact = (
        state.now_ms < pool.last_contact_ms + EXTRA_CONNECTION_SILENCE_MS
    )
    return (
        has_recent_contact and not pool.suspected and pool.reachability == 'up'
    )


def _close_idle_monitor(state: PoolerState, pool: Pool) -> None:
    """Close the monitor connection when statement connections suffice."""
    conn = state.conns.get(pool.monitor)
    if conn is None or not conn.is_idle or not pool.conns:
        return
    is_at_limit = count_connections(pool) >= connection_limit(state, pool)
    if (
        is_at_limit
        or state.now_ms >= pool.probe_sent_ms + MONITOR_IDLE_TIMEOUT_MS
    ):
        close_upstream_conn(state, conn, 'connection no longer needed')


def _is_probe_needed(state: PoolerState, pool: Pool) -> bool:
    """Return whether recent answers leave the upstream's state unclear.

    The state consists of its reachability, its role and its log position.
    """
    if pool.reachability != 'up' or pool.suspected:
        return True
    group = get_group(state, pool.view.group)
    if group.primary is None:
        return True
    if group.primary == pool.view.name:
        proven_ms = _last_proof_ms(state, pool)
        return (
            proven_ms is None or state.now_ms >= proven_ms + MAX_SAMPLE_AGE_MS
        )
    probe_silence_ms = (
        BUSY_PROBE_SILENCE_MS
        if _has_outstanding_statements(state, pool)
        else IDLE_PROBE_SILENCE_MS
    )
    if state.now_ms >= pool.last_contact_ms + probe_silence_ms:
        return True
    is_due = state.now_ms >= pool.probe_sent_ms + LAGGING_PROBE_INTERVAL_MS
    return is_due and _is_lagging(state, pool)


def _last_proof_ms(state: PoolerState, pool: Pool) -> float | None:
    """Return when the primary was last proved to lead.

    Without a lease no answer proves it, so the latest probe counts.
    """
    newest_ms = get_group(state, pool.view.group).samples.newest_ms()
    if is_covered(state, pool) or newest_ms is None:
        return newest_ms
    return max(newest_ms, pool.probe_sent_ms)


def _has_outstanding_statements(state: PoolerState, pool: Pool) -> bool:
    return any(
        request.task is not None
        for number in pool.conns
        for request in state.conns[number].pending_requests
    )


def _is_lagging(state: PoolerState, pool: Pool) -> bool:
    """Return whether an upstream's known position is too old for any read."""
    required = get_group(state, pool.view.group).samples.oldest_position()
    return pool.applied is None or (
        required is not None and pool.applied < required
    )


def _send_probe(state: PoolerState, pool: Pool, conn: UpstreamConn) -> None:
    pool.probe_sent_ms = state.now_ms
    is_primary_unknown = get_group(state, pool.view.group).primary is None
    if is_primary_unknown and pool.reachability != 'stalled':
        # A promotion is likely, and control chooses the new primary by the
        # log positions that the upstreams have received.
        send_internal(state, conn, 'status', Internal(action='status'))
    # A begin needs no slot, hence an overloaded upstream still answers it in
    # time. It succeeds only on an upstream that proves that it leads.
    send_internal(state, conn, 'probe_begin', Internal(action='begin'))


def _probe_delay_ms(state: PoolerState, pool: Pool) -> float:
    group = get_group(state, pool.view.group)
    conn = state.conns.get(pool.probe_conn)
    due_ms = state.now_ms + state.cfg.probe_interval_ms
    if conn is not None and _is_probe_outstanding(conn):
        due_ms = conn.pending_requests[0].sent_ms + state.cfg.probe_timeout_ms
    elif group.primary is None:
        due_ms = state.now_ms + PRIMARY_SEARCH_INTERVAL_MS
    elif group.primary == pool.view.name:
        proven_ms = _last_proof_ms(state, pool)
        due_ms = (proven_ms or state.now_ms) + MAX_SAMPLE_AGE_MS
    return max(MIN_PROBE_DELAY_MS, due_ms - state.now_ms)


def handle_probe_answer(
    state: PoolerState,
    pool: Pool,
    conn: UpstreamConn,
    request: UpstreamRequest,
    answer: Answer,
) -> None:
    """Record the reachability, position and role that a probe has shown."""
    set_reachability(state, pool, 'up')
    if answer.position is not None:
        record_applied(state, pool, answer.position)
    if request.kind not in ('status', 'probe_begin'):
        return
    # The upstream may have caught up, and queued reads may now run on it.
    state.dirty.add(f'group/{pool.view.group}')
    if request.kind == 'status':
        if answer.signature and answer.rows:
            _update_from_status(state, pool, answer)
    elif answer.signature:
        send_rollback(state, conn, 'probe_rollback')
        if answer.position is not None:
            record_leadership(state, pool, request.sent_ms, answer.position)
    elif answer.code == 'not_primary':
        clear_leadership(state, pool, 'not_primary')


def _update_from_status(
    state: PoolerState, pool: Pool, answer: Answer
) -> None:
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


def on_monitor_closed(
    state: PoolerState, pool: Pool, conn: UpstreamConn, reason: str
) -> None:
    """Update reachability after the monitor connection was closed.

    A connection that was never opened was refused or timed out.
    """
    pool.monitor = 0
    name = pool.view.name
    if conn.opened:
        # A reset does not prove that the upstream is down. Only an attempt
        # to open another connection shows whether it is.
        suspect(state, pool)
        return
    if conn.refusal_code in NO_CAPACITY_CODES:
        set_reachability(state, pool, 'up')
        pool.last_contact_ms = state.now_ms
        schedule(state, f'probe/{name}', state.now_ms + NO_CAPACITY_RETRY_MS)
        return
    set_reachability(
        state, pool, 'silent' if reason == 'timeout' else 'refused'
    )
    delay = min(PRIMARY_SEARCH_INTERVAL_MS, state.cfg.probe_interval_ms)
    schedule(state, f'probe/{name}', state.now_ms + delay)
