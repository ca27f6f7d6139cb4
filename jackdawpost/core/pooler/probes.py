"""Probes of upstreams, and requests of control forwarded to upstreams.

A probe shows whether an upstream is reachable and whether it is the primary.
An upstream is probed only when answers to statements do not show this.
"""

from __future__ import annotations

import math
from typing import Literal

from jackdawpost.core.messages.control import PositionAnswer
from jackdawpost.core.messages.control import PositionRequest
from jackdawpost.core.messages.control import UpstreamAction
from jackdawpost.core.messages.control import UpstreamActionAnswer
from jackdawpost.core.messages.session import Internal
from jackdawpost.core.messages.session import UpstreamStatus
from jackdawpost.core.outbox import log
from jackdawpost.core.outbox import send
from jackdawpost.core.pooler.connections import close_upstream_conn
from jackdawpost.core.pooler.connections import connection_limit
from jackdawpost.core.pooler.connections import count_connections
from jackdawpost.core.pooler.connections import find_idle_connection
from jackdawpost.core.pooler.connections import has_scarce_connections
from jackdawpost.core.pooler.connections import open_connection
from jackdawpost.core.pooler.connections import send_internal
from jackdawpost.core.pooler.connections import send_rollback
from jackdawpost.core.pooler.leases import is_covered
from jackdawpost.core.pooler.stalls import detect_stall
from jackdawpost.core.pooler.state import Answer
from jackdawpost.core.pooler.state import get_group
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import PoolGroup
from jackdawpost.core.pooler.state import PositionDemand
from jackdawpost.core.pooler.state import RequestKind
from jackdawpost.core.pooler.state import schedule_probe
from jackdawpost.core.pooler.state import UpstreamConn
from jackdawpost.core.pooler.state import UpstreamRequest
from jackdawpost.core.pooler.upstreams import clear_leadership
from jackdawpost.core.pooler.upstreams import record_applied
from jackdawpost.core.pooler.upstreams import record_leadership
from jackdawpost.core.pooler.upstreams import set_reachability
from jackdawpost.core.pooler.upstreams import suspect
from jackdawpost.core.pooler.watching import is_large
from jackdawpost.core.pooler.watching import is_watched
from jackdawpost.core.pooler.watching import MAX_WATCHING_ALL
from jackdawpost.core.pooler.watching import was_used
from jackdawpost.core.positions import LogPosition
from jackdawpost.errors import ProtocolError

# An idle monitor connection is closed after this time without a probe.
MONITOR_IDLE_TIMEOUT_MS = 5_000.0
# After this time without an answer, a probe may open a connection beyond the
# connection limit.
EXTRA_CONNECTION_SILENCE_MS = 400.0
# Kinds of the requests that belong to a probe.
PROBE_KINDS = frozenset({'open', 'status', 'probe_begin', 'probe_rollback'})
# The primary is probed when its latest position sample reaches this age, or
# a longer one in a large deployment.
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
# Reads of this pooler have run on a replica within this time, so that the next
# ones are likely to run there, too.
REPLICA_USE_MS = 2_000.0
# Limits how much later a failure is noticed in a large deployment.
MAX_PROBE_SCALE = 5.0
# Regular probes are due at multiples of this time, of the longer one if the
# intervals are longer, too.
PROBE_ALIGNMENT_MS = 50.0
MAX_PROBE_ALIGNMENT_MS = 100.0
# Interval at which an upstream that is not watched is considered.
UNWATCHED_INTERVAL_MS = 1_000.0
# Idle connections are closed at this interval where connections are scarce, so
# that other poolers can use them.
SCARCE_IDLE_MS = 150.0
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
    takes_term = action.action in ('pause', 'demote')
    argument = str(action.term) if takes_term else ''
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
    status = _update_from_status(state, pool, answer)
    if status is None:
        return
    if pool.leads and not status.leads:
        clear_leadership(state, pool, 'demoted')
    action_answer = UpstreamActionAnswer(
        upstream=action.upstream,
        action=action.action,
        token=action.token,
        received=status.received,
        leads=status.leads,
        term=status.term,
        requested_term=action.term,
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
    elif not is_watched(state, pool):
        _close_idle_connections(state, pool)
    elif _is_probe_needed(state, pool):
        _start_probe(state, pool)
    else:
        _close_idle_monitor(state, pool)
    detect_stall(state, pool)
    schedule_probe(state, pool, _next_probe_ms(state, pool))


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


def _close_idle_connections(state: PoolerState, pool: Pool) -> None:
    """Close the connections to an upstream that is not watched."""
    for number in [*pool.conns, pool.monitor]:
        conn = state.conns.get(number)
        if conn is not None and conn.is_idle:
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
    if group.primary == pool.view.name and group.position_request is not None:
        return True
    silence_ms = state.now_ms - pool.last_contact_ms
    if silence_ms >= BUSY_PROBE_SILENCE_MS and _has_outstanding_statements(
        state, pool
    ):
        return True
    scale = _probe_scale(state)
    if group.primary == pool.view.name:
        proven_ms = _last_proof_ms(state, pool)
        interval_ms = _sample_interval_ms(state, group)
        return proven_ms is None or state.now_ms >= proven_ms + interval_ms
    if silence_ms >= IDLE_PROBE_SILENCE_MS * scale:
        return True
    interval_ms = LAGGING_PROBE_INTERVAL_MS * scale
    is_due = state.now_ms >= pool.probe_sent_ms + interval_ms
    is_in_use = was_used(state, pool, REPLICA_USE_MS)
    return is_due and is_in_use and _is_lagging(state, pool)


def _probe_scale(state: PoolerState) -> float:
    """Return the factor by which the intervals of probes are longer.

    Many proxies probe the same upstreams. Beyond `MAX_WATCHING_ALL` each of
    them probes less often, so that an upstream gets no more probes. Probes of
    an upstream that is in doubt keep their interval.
    """
    proxies = len(state.proxies_last_seen_ms)
    return min(MAX_PROBE_SCALE, max(1.0, proxies / MAX_WATCHING_ALL))


def _sample_interval_ms(state: PoolerState, group: PoolGroup) -> float:
    """Return the interval of position samples of the primary.

    Reads of a bounded age need a sample within that age. Half of it leaves
    one that a replica has had time to reach.
    """
    interval_ms = MAX_SAMPLE_AGE_MS * _probe_scale(state)
    if group.min_age_ms is not None:
        interval_ms = min(interval_ms, group.min_age_ms / 2)
    return max(interval_ms, MAX_SAMPLE_AGE_MS)


def watch_statement(state: PoolerState, pool: Pool) -> None:
    """Consider a probe soon, if a statement just sent gets no answer."""
    due_ms = state.now_ms + BUSY_PROBE_SILENCE_MS
    if is_large(state):
        due_ms = _align(state, due_ms)
    if due_ms < pool.probe_due_ms:
        schedule_probe(state, pool, due_ms)


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
    group = get_group(state, pool.view.group)
    if group.primary is None and pool.reachability != 'stalled':
        # A promotion is likely, and control chooses the new primary by the
        # log positions that the upstreams have received.
        send_internal(state, conn, 'status', Internal(action='status'))
    # A begin needs no slot, hence an overloaded upstream still answers it in
    # time. It succeeds only on an upstream that proves that it leads.
    requests = [_add_probe_request(state, conn, 'probe_begin', 'begin')]
    if group.primary == pool.view.name:
        # The begin will probably succeed.
        requests.append(
            _add_probe_request(state, conn, 'probe_rollback', 'rollback')
        )
    send(state, conn.conn, *requests)


def _add_probe_request(
    state: PoolerState,
    conn: UpstreamConn,
    kind: RequestKind,
    action: Literal['begin', 'rollback'],
) -> Internal:
    conn.pending_requests.append(
        UpstreamRequest(kind=kind, sent_ms=state.now_ms)
    )
    return Internal(action=action)


def _next_probe_ms(state: PoolerState, pool: Pool) -> float:
    """Return when to consider the next probe of an upstream."""
    now_ms = state.now_ms
    group = get_group(state, pool.view.group)
    conn = state.conns.get(pool.probe_conn)
    if conn is not None and _is_probe_outstanding(conn):
        sent_ms = conn.pending_requests[0].sent_ms
        due_ms = sent_ms + state.cfg.probe_timeout_ms
        return max(now_ms + MIN_PROBE_DELAY_MS, due_ms)
    if not is_watched(state, pool):
        if has_scarce_connections(state, pool) and pool.conns:
            return now_ms + SCARCE_IDLE_MS
        return _align(state, now_ms + UNWATCHED_INTERVAL_MS)
    if group.primary is None:
        return now_ms + PRIMARY_SEARCH_INTERVAL_MS
    if _needs_close_watch(state, pool):
        return now_ms + state.cfg.probe_interval_ms
    if group.primary == pool.view.name:
        proven_ms = _last_proof_ms(state, pool) or now_ms
        due_ms = proven_ms + _sample_interval_ms(state, group)
    else:
        due_ms = now_ms + state.cfg.probe_interval_ms * _probe_scale(state)
    return _align(state, max(now_ms + MIN_PROBE_DELAY_MS, due_ms))


def _needs_close_watch(state: PoolerState, pool: Pool) -> bool:
    """Return whether an upstream may be about to fail or to stall."""
    return (
        pool.reachability != 'up'
        or pool.suspected
        or bool(pool.failed_sent_ms)
        or _has_outstanding_statements(state, pool)
    )


def _align(state: PoolerState, due_ms: float) -> float:
    """Return the next common time of regular probes.

    One wake-up of the process then serves the probes of several upstreams.
    """
    step_ms = PROBE_ALIGNMENT_MS
    if is_large(state):
        step_ms = MAX_PROBE_ALIGNMENT_MS
    steps = math.ceil((due_ms - state.probe_phase_ms) / step_ms)
    return steps * step_ms + state.probe_phase_ms


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
        if not _is_probe_outstanding(conn):
            send_rollback(state, conn, 'probe_rollback')
        if answer.position is not None:
            record_leadership(state, pool, request.sent_ms, answer.position)
            _answer_position_request(state, pool, request, answer.position)
    elif answer.code == 'not_primary':
        clear_leadership(state, pool, 'not_primary')


def on_position_request(
    state: PoolerState, conn: int, message: PositionRequest
) -> None:
    """Probe the primary of a group to tell control its position.

    Without a usable primary the request gets no answer; control asks another
    pooler next.
    """
    group = get_group(state, message.group)
    pool = state.pools.get(group.primary or '')
    if pool is None or pool.reachability != 'up':
        return
    group.position_request = PositionDemand(
        number=message.number, control_conn=conn, arrived_ms=state.now_ms
    )
    on_probe_due(state, pool.view.name)


def _answer_position_request(
    state: PoolerState,
    pool: Pool,
    request: UpstreamRequest,
    position: LogPosition,
) -> None:
    group = get_group(state, pool.view.group)
    demand = group.position_request
    if demand is None or request.sent_ms < demand.arrived_ms:
        return
    group.position_request = None
    message = PositionAnswer(
        group=group.name, number=demand.number, position=position
    )
    send(state, demand.control_conn, message)


def _update_from_status(
    state: PoolerState, pool: Pool, answer: Answer
) -> UpstreamStatus | None:
    """Record the status of an upstream; None if it cannot be read."""
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
        return None
    pool.term = status.term
    pool.received = status.received
    return status


def on_monitor_closed(
    state: PoolerState, pool: Pool, conn: UpstreamConn, reason: str
) -> None:
    """Update reachability after the monitor connection was closed.

    A connection that was never opened was refused or timed out.
    """
    pool.monitor = 0
    if conn.opened:
        # A reset does not prove that the upstream is down. Only an attempt
        # to open another connection shows whether it is.
        suspect(state, pool)
        return
    if conn.refusal_code in NO_CAPACITY_CODES:
        set_reachability(state, pool, 'up')
        pool.last_contact_ms = state.now_ms
        schedule_probe(state, pool, state.now_ms + NO_CAPACITY_RETRY_MS)
        return
    set_reachability(
        state, pool, 'silent' if reason == 'timeout' else 'refused'
    )
    delay = min(PRIMARY_SEARCH_INTERVAL_MS, state.cfg.probe_interval_ms)
    schedule_probe(state, pool, state.now_ms + delay)
