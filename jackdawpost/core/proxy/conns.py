"""Statement connections to upstreams, and the permits to use them.

A frame of statements needs an idle connection and a permit, which control
grants so that all proxies together stay within the slots of an upstream.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Any

from jackdawpost.core.effects import Connect
from jackdawpost.core.events import ConnClosed
from jackdawpost.core.events import ConnOpened
from jackdawpost.core.messages.caller import Begin
from jackdawpost.core.messages.control import PermitDemand
from jackdawpost.core.messages.control import PermitReturn
from jackdawpost.core.outbox import count
from jackdawpost.core.proxy.answers import finish_error
from jackdawpost.core.proxy.answers import on_transaction_lost
from jackdawpost.core.proxy.answers import retry_or_fail
from jackdawpost.core.proxy.permit_holder import IDLE_CHECK_INTERVAL_MS
from jackdawpost.core.proxy.state import close
from jackdawpost.core.proxy.state import new_conn_id
from jackdawpost.core.proxy.state import ProxyState
from jackdawpost.core.proxy.state import Request
from jackdawpost.core.proxy.state import schedule
from jackdawpost.core.proxy.state import schedule_dispatch
from jackdawpost.core.proxy.state import send
from jackdawpost.core.proxy.state import Upstream
from jackdawpost.core.proxy.state import UpstreamConn
from jackdawpost.core.retry import backoff_ms
from jackdawpost.core.retry import slow_start_limit

MAX_OPENING_CONNECTIONS = 2
RESERVED_CONNECTIONS = 2
MAX_BATCH_STATEMENTS = 8
# Time for an answer to arrive after the timeout of its statement.
ANSWER_GRACE_MS = 500
# A retryable attempt gets less than the whole deadline: a silent connection
# is then detected while there is still time for another attempt.
RETRY_RESERVE_MS = 750
MIN_DEADLINE_FOR_RETRY_MS = 1_500


def connection_limit(state: ProxyState, up: Upstream) -> int:
    """Return how many statement connections this proxy may open.

    The proxies share the connections of an upstream equally, less a reserve
    and one monitor connection for each proxy.
    """
    proxy_count = state.proxy_count
    spare = up.view.connections - RESERVED_CONNECTIONS - proxy_count
    return max(1, spare // proxy_count)


def available_frames(state: ProxyState, up: Upstream) -> int:
    """Return how many frames can be sent to an upstream now.

    Zero during a cool-down; limited after a recovery (slow start).
    """
    if up.cooldown_until_ms > state.now_ms:
        return 0
    account = state.permits.account(up.name)
    free = min(len(up.idle), account.idle)
    if up.recovered_ms > -math.inf:
        since_ms = state.now_ms - up.recovered_ms
        limit = slow_start_limit(up.view.slots, since_ms)
        free = min(free, limit - up.outstanding)
    return max(0, free)


def is_capacity_requested(state: ProxyState, up: Upstream) -> bool:
    """Return whether permits or connections have been requested already."""
    account = state.permits.account(up.name)
    return up.opening > 0 or account.stated > account.in_use


def request_capacity(state: ProxyState, up: Upstream, waiting: int) -> None:
    """Request the permits and open the connections for waiting requests."""
    account = state.permits.account(up.name)
    limit = min(up.view.slots, connection_limit(state, up))
    wanted = min(limit, account.in_use + waiting)
    if wanted > account.stated and state.leader_conn:
        account.stated = wanted
        demand = PermitDemand(upstream=up.name, wanted=wanted)
        send(state, state.leader_conn, demand)
    busy = len(up.conns) - len(up.idle) - up.opening
    missing = min(limit, busy + waiting) - len(up.conns)
    for _ in range(min(missing, MAX_OPENING_CONNECTIONS - up.opening)):
        _open_conn(state, up)


def _open_conn(state: ProxyState, up: Upstream) -> None:
    if state.now_ms < up.next_open_ms:
        schedule_dispatch(state, up.view.group, up.next_open_ms)
        return
    conn_id = new_conn_id(state)
    up.opening += 1
    up.conns.add(conn_id)
    state.conns[conn_id] = UpstreamConn(conn_id, up.name)
    state.outbox.append(
        Connect(
            conn=conn_id,
            peer=up.name,
            host=up.view.host,
            port=up.view.port,
            purpose='statements',
            timeout_ms=state.cfg.upstream_open_timeout_ms,
        )
    )


def close_surplus_conns(state: ProxyState, up: Upstream) -> None:
    """Close idle connections above the limit, which falls as proxies join."""
    limit = connection_limit(state, up)
    while len(up.conns) > limit and up.idle:
        drop_conn(state, state.conns[up.idle[-1]], 'connection limit exceeded')


def on_conn_opened(state: ProxyState, event: ConnOpened) -> None:
    """Make a new statement connection available."""
    conn = state.conns.get(event.conn)
    if conn is None:
        close(state, event.conn, 'connection no longer needed')
        return
    up = state.upstreams[conn.upstream]
    if event.data_id != up.view.data_id:
        _record_open_failure(state, up)
        drop_conn(state, conn, 'data_id differs from the published one')
        return
    conn.opened = True
    up.opening -= 1
    up.open_failures = 0
    up.idle.append(conn.conn)
    state.groups_to_dispatch.add(up.view.group)


def on_conn_closed(state: ProxyState, event: ConnClosed) -> None:
    """Retry or fail the requests on a statement connection that has closed."""
    conn = state.conns.get(event.conn)
    if conn is None:
        return
    up = state.upstreams[conn.upstream]
    if not conn.opened:
        _record_open_failure(state, up)
    _remove_conn(state, conn, 'connection_lost')


def _record_open_failure(state: ProxyState, up: Upstream) -> None:
    up.open_failures += 1
    delay_ms = backoff_ms(up.open_failures, state.rng)
    up.next_open_ms = state.now_ms + delay_ms
    schedule_dispatch(state, up.view.group, up.next_open_ms)


def start_frame(
    state: ProxyState,
    conn: UpstreamConn,
    requests: Sequence[Request],
    messages: Sequence[Any],
    timeout_ms: float,
) -> None:
    """Send one frame and set the deadline for its first answer.

    Parameters
    ----------
    requests : sequence of Request
        Requests of the frame, with `exec_id` and `term` set.
    messages : sequence
        One message for each request.
    timeout_ms : float
        Longest timeout of the messages, in milliseconds.
    """
    up = state.upstreams[conn.upstream]
    up.outstanding += 1
    conn.frame_outstanding = True
    conn.last_activity_ms = state.now_ms
    for req in requests:
        req.phase = 'running'
        req.upstream_conn = conn.conn
        req.attempts += 1
        conn.running[req.exec_id] = req
    for message in messages:
        send(state, conn.conn, message)
    set_answer_deadline(state, conn, timeout_ms)


def set_answer_deadline(
    state: ProxyState, conn: UpstreamConn, timeout_ms: float
) -> None:
    """Set the time by which the next answer on a connection is due."""
    conn.answer_due_ms = state.now_ms + timeout_ms + ANSWER_GRACE_MS
    if conn.answer_due_ms < conn.check_due_ms:
        conn.check_due_ms = conn.answer_due_ms
        schedule(state, conn.answer_due_ms, 'frame', conn.conn)


def check_answer_deadline(state: ProxyState, conn_id: int) -> None:
    """Drop a connection whose answer is overdue."""
    conn = state.conns.get(conn_id)
    if conn is None or conn.check_due_ms > state.now_ms:
        return
    conn.check_due_ms = math.inf
    if not conn.running:
        return
    if conn.answer_due_ms > state.now_ms:
        conn.check_due_ms = conn.answer_due_ms
        schedule(state, conn.answer_due_ms, 'frame', conn_id)
        return
    count(state, 'silent_connections')
    drop_conn(state, conn, 'no answer')


def attempt_timeout_ms(state: ProxyState, req: Request) -> int:
    """Return how long an attempt may run, in milliseconds.

    An attempt outside a transaction, other than a begin, leaves
    `RETRY_RESERVE_MS` of a sufficiently long deadline for another attempt.
    """
    remaining_ms = req.due_ms - state.now_ms
    if remaining_ms >= MIN_DEADLINE_FOR_RETRY_MS and req.txn is None:
        if not isinstance(req.message, Begin):
            remaining_ms -= RETRY_RESERVE_MS
    return max(1, min(int(remaining_ms), state.cfg.max_statement_ms))


def acquire_conn(state: ProxyState, up: Upstream) -> UpstreamConn | None:
    """Acquire an idle connection and a permit; None if one is missing."""
    if not up.idle or not state.permits.try_acquire(up.name):
        return None
    conn = state.conns[up.idle.pop()]
    conn.holds_permit = True
    return conn


def end_frame(state: ProxyState, conn: UpstreamConn) -> None:
    """Make a connection idle once all its requests are answered."""
    if conn.running:
        return
    conn.answer_due_ms = math.inf
    up = state.upstreams[conn.upstream]
    _clear_outstanding_frame(up, conn)
    if conn.close_after_frame:
        drop_conn(state, conn, 'request abandoned on this connection')
        return
    if conn.txn is None:
        release_permit(state, conn)
        up.idle.append(conn.conn)
    state.groups_to_dispatch.add(up.view.group)


def _clear_outstanding_frame(up: Upstream, conn: UpstreamConn) -> None:
    if conn.frame_outstanding:
        conn.frame_outstanding = False
        up.outstanding -= 1


def release_permit(state: ProxyState, conn: UpstreamConn) -> None:
    """Release the permit of a connection."""
    if not conn.holds_permit:
        return
    conn.holds_permit = False
    up = state.upstreams[conn.upstream]
    state.permits.release(up.name)
    return_recalled_permits(state, up.name)
    schedule_idle_permit_check(state, up)


def _release_permit_once_slot_is_free(
    state: ProxyState, conn: UpstreamConn
) -> None:
    """Release a lost connection's permit once the upstream's slot is free.

    The upstream may run an abandoned statement until its timeout, and it
    rolls back a transaction only when it detects the loss. Another
    statement sent before that would exceed its slots.
    """
    if not conn.holds_permit:
        return
    due_ms = state.now_ms + ANSWER_GRACE_MS
    if conn.frame_outstanding:
        due_ms = conn.answer_due_ms
    if due_ms <= state.now_ms:
        release_permit(state, conn)
        return
    conn.holds_permit = False
    schedule(state, due_ms, 'lost_permit', conn.upstream)


def release_lost_permit(state: ProxyState, name: str) -> None:
    """Release a permit whose connection was lost earlier."""
    up = state.upstreams.get(name)
    if up is None or not state.permits.account(name).in_use:
        return
    state.permits.release(name)
    return_recalled_permits(state, name)
    schedule_idle_permit_check(state, up)
    state.groups_to_dispatch.add(up.view.group)


def return_recalled_permits(state: ProxyState, name: str) -> None:
    """Return recalled permits that are not in use."""
    if state.leader_conn and state.permits.account(name).recalled:
        return_permits(state, name, state.permits.return_recalled(name))


def return_permits(state: ProxyState, name: str, number: int) -> None:
    """Notify the control leader of returned permits."""
    if number:
        message = PermitReturn(upstream=name, count=number)
        send(state, state.leader_conn, message)


def schedule_idle_permit_check(state: ProxyState, up: Upstream) -> None:
    """Schedule a check for idle permits, unless one is scheduled."""
    if not up.permit_check_scheduled:
        up.permit_check_scheduled = True
        schedule(
            state, state.now_ms + IDLE_CHECK_INTERVAL_MS, 'permits', up.name
        )


def check_idle_permits(state: ProxyState, name: str) -> None:
    """Return permits that have been idle since the last check."""
    up = state.upstreams.get(name)
    if up is None:
        return
    up.permit_check_scheduled = False
    account = state.permits.account(name)
    if up.opening or not state.leader_conn:
        # Requests that wait for an opening connection need the permits, or
        # there is no leader to notify.
        schedule_idle_permit_check(state, up)
        return
    returned = state.permits.return_idle(name)
    if returned:
        return_permits(state, name, returned)
        account.stated = account.held
        demand = PermitDemand(upstream=name, wanted=account.held)
        send(state, state.leader_conn, demand)
    if account.idle > 0:
        schedule_idle_permit_check(state, up)


def abandon_request(state: ProxyState, req: Request, code: str) -> None:
    """Answer a running request as unknown, without its result.

    Its connection is not used for other requests: a late answer must never
    reach another request.
    """
    conn = state.conns.get(req.upstream_conn)
    finish_error(state, req, 'unknown', code)
    if conn is None or conn.running.get(req.exec_id) is not req:
        return
    del conn.running[req.exec_id]
    conn.close_after_frame = True
    if conn.txn is not None or not conn.running:
        drop_conn(state, conn, 'request abandoned on this connection')


def drop_conn(
    state: ProxyState,
    conn: UpstreamConn,
    reason: str,
    code: str = 'connection_lost',
) -> None:
    """Close a statement connection and retry or fail its requests.

    Parameters
    ----------
    reason : str
        Reason in the `Close` effect.
    code : str
        Error code for the requests on the connection.
    """
    close(state, conn.conn, reason, abort=True)
    _remove_conn(state, conn, code)


def _remove_conn(state: ProxyState, conn: UpstreamConn, code: str) -> None:
    up = state.upstreams[conn.upstream]
    del state.conns[conn.conn]
    up.conns.discard(conn.conn)
    if not conn.opened:
        up.opening -= 1
    if conn.conn in up.idle:
        up.idle.remove(conn.conn)
    running = list(conn.running.values())
    conn.running.clear()
    _release_permit_once_slot_is_free(state, conn)
    _clear_outstanding_frame(up, conn)
    for req in running:
        if req.phase == 'running':
            retry_or_fail(state, req, code)
    if conn.txn is not None:
        on_transaction_lost(state, conn.txn)
        conn.txn = None
    state.groups_to_dispatch.add(up.view.group)
