"""Statement connections to upstreams: opening, frames, loss."""

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
ANSWER_GRACE_MS = 500
# An attempt that can be made again gets less than the whole deadline, so
# that a silent connection is found while there is time for another one.
RETRY_RESERVE_MS = 750
MIN_DEADLINE_FOR_RETRY_MS = 1_500


def connection_limit(state: ProxyState, up: Upstream) -> int:
    """Return how many statement connections this proxy may open."""
    proxy_count = state.proxy_count
    spare = up.view.connections - RESERVED_CONNECTIONS - proxy_count
    return max(1, spare // proxy_count)


def available_frames(state: ProxyState, up: Upstream) -> int:
    """Return how many frames can be sent to an upstream now."""
    if up.cool_down_until_ms > state.now_ms:
        return 0
    account = state.permits.account(up.name)
    free = min(len(up.idle), account.idle)
    if up.recovered_ms > -math.inf:
        since_ms = state.now_ms - up.recovered_ms
        limit = slow_start_limit(up.view.slots, since_ms)
        free = min(free, limit - up.outstanding)
    return max(0, free)


def is_capacity_requested(state: ProxyState, up: Upstream) -> bool:
    """Tell whether permits or connections of an upstream are on the way."""
    account = state.permits.account(up.name)
    return up.opening > 0 or account.stated > account.in_use


def request_capacity(state: ProxyState, up: Upstream, waiting: int) -> None:
    """Ask for the permits and connections that waiting requests need."""
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
    """Close idle connections above the limit, as proxies have joined."""
    limit = connection_limit(state, up)
    while len(up.conns) > limit and up.idle:
        drop_conn(state, state.conns[up.idle[-1]], 'limit lowered')


def on_conn_opened(state: ProxyState, event: ConnOpened) -> None:
    """Take a statement connection into use."""
    conn = state.conns.get(event.conn)
    if conn is None:
        close(state, event.conn, 'not wanted any more')
        return
    up = state.upstreams[conn.upstream]
    if event.data_id != up.view.data_id:
        _record_open_failure(state, up)
        drop_conn(state, conn, 'other data than published')
        return
    conn.opened = True
    up.opening -= 1
    up.open_failures = 0
    up.idle.append(conn.conn)
    state.groups_to_dispatch.add(up.view.group)


def on_conn_closed(state: ProxyState, event: ConnClosed) -> None:
    """Handle the end of a statement connection."""
    conn = state.conns.get(event.conn)
    if conn is None:
        return
    up = state.upstreams[conn.upstream]
    if not conn.opened:
        _record_open_failure(state, up)
    _remove_conn(state, conn, 'connection_lost')


def _record_open_failure(state: ProxyState, up: Upstream) -> None:
    up.open_failures += 1
    pause = backoff_ms(up.open_failures, state.rng)
    up.next_open_ms = state.now_ms + pause
    schedule_dispatch(state, up.view.group, up.next_open_ms)


def start_frame(
    state: ProxyState,
    conn: UpstreamConn,
    requests: Sequence[Request],
    messages: Sequence[Any],
    timeout_ms: float,
) -> None:
    """Send one frame and watch for its answers.

    Parameters
    ----------
    requests : sequence of Request
        Requests of the frame, their `exec_id` and `term` already set.
    messages : sequence
        One message for each request.
    timeout_ms : float
        Longest timeout stated in the messages, in milliseconds.
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
    """Call a connection silent if no answer comes in time."""
    conn.deadline_ms = state.now_ms + timeout_ms + ANSWER_GRACE_MS
    if conn.deadline_ms < conn.check_due_ms:
        conn.check_due_ms = conn.deadline_ms
        schedule(state, conn.deadline_ms, 'frame', conn.conn)


def check_answer_deadline(state: ProxyState, conn_id: int) -> None:
    """Drop a connection whose answer is overdue."""
    conn = state.conns.get(conn_id)
    if conn is None or conn.check_due_ms > state.now_ms:
        return
    conn.check_due_ms = math.inf
    if not conn.running:
        return
    if conn.deadline_ms > state.now_ms:
        conn.check_due_ms = conn.deadline_ms
        schedule(state, conn.deadline_ms, 'frame', conn_id)
        return
    count(state, 'silent_connections')
    drop_conn(state, conn, 'silent')


def attempt_timeout_ms(state: ProxyState, req: Request) -> int:
    """Return how long an attempt may run."""
    left = req.due_ms - state.now_ms
    if left >= MIN_DEADLINE_FOR_RETRY_MS and req.txn is None:
        if not isinstance(req.message, Begin):
            left -= RETRY_RESERVE_MS
    return max(1, min(int(left), state.cfg.max_statement_ms))


def acquire_conn(state: ProxyState, up: Upstream) -> UpstreamConn | None:
    """Take a free connection together with a permit."""
    if not up.idle or not state.permits.try_acquire(up.name):
        return None
    conn = state.conns[up.idle.pop()]
    conn.holds_permit = True
    return conn


def end_frame(state: ProxyState, conn: UpstreamConn) -> None:
    """Free a connection whose frame is complete."""
    if conn.running:
        return
    conn.deadline_ms = math.inf
    up = state.upstreams[conn.upstream]
    _clear_outstanding_frame(up, conn)
    if conn.close_after_frame:
        drop_conn(state, conn, 'a request was abandoned on it')
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
    """End the use of a connection's permit."""
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
    """End the use of a lost connection's permit once its slot is free.

    The upstream may run an abandoned statement up to its timeout, and it
    rolls back a transaction only when it notices the loss. Another
    statement sent before that would exceed its slots.
    """
    if not conn.holds_permit:
        return
    due_ms = state.now_ms + ANSWER_GRACE_MS
    if conn.frame_outstanding:
        due_ms = conn.deadline_ms
    if due_ms <= state.now_ms:
        release_permit(state, conn)
        return
    conn.holds_permit = False
    schedule(state, due_ms, 'lost_permit', conn.upstream)


def release_lost_permit(state: ProxyState, name: str) -> None:
    """End the use of a permit whose connection was lost earlier."""
    up = state.upstreams.get(name)
    if up is None or not state.permits.account(name).in_use:
        return
    state.permits.release(name)
    return_recalled_permits(state, name)
    schedule_idle_permit_check(state, up)
    state.groups_to_dispatch.add(up.view.group)


def return_recalled_permits(state: ProxyState, name: str) -> None:
    """Give recalled permits back once they are not in use."""
    if state.leader_conn and state.permits.account(name).recalled:
        return_permits(state, name, state.permits.return_recalled(name))


def return_permits(state: ProxyState, name: str, number: int) -> None:
    """Tell the control leader of permits given back."""
    if number:
        message = PermitReturn(upstream=name, count=number)
        send(state, state.leader_conn, message)


def schedule_idle_permit_check(state: ProxyState, up: Upstream) -> None:
    """Check soon whether permits stay idle."""
    if not up.permit_check_scheduled:
        up.permit_check_scheduled = True
        schedule(
            state, state.now_ms + IDLE_CHECK_INTERVAL_MS, 'permits', up.name
        )


def check_idle_permits(state: ProxyState, name: str) -> None:
    """Give back permits that were idle since the last check."""
    up = state.upstreams.get(name)
    if up is None:
        return
    up.permit_check_scheduled = False
    account = state.permits.account(name)
    if up.opening or not state.leader_conn:
        # They are about to be used by requests that wait for a connection,
        # or there is no leader to be told.
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
    """Answer a running request without its result.

    Its connection takes no other work: a late answer must never meet a
    request of somebody else.
    """
    conn = state.conns.get(req.upstream_conn)
    finish_error(state, req, 'unknown', code)
    if conn is None or conn.running.get(req.exec_id) is not req:
        return
    del conn.running[req.exec_id]
    conn.close_after_frame = True
    if conn.txn is not None or not conn.running:
        drop_conn(state, conn, 'a request was abandoned on it')


def drop_conn(
    state: ProxyState,
    conn: UpstreamConn,
    reason: str,
    code: str = 'connection_lost',
) -> None:
    """Close a statement connection and handle what ran on it."""
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
