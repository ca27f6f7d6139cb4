"""Dispatch of queued requests to the primary, and answers of upstreams.

Reads with an accepted age are dispatched by `replica_reads`.
"""

from __future__ import annotations

from jackdawpost.core.messages.caller import Begin
from jackdawpost.core.messages.upstream import Executed
from jackdawpost.core.outbox import count
from jackdawpost.core.proxy.admission import FRESH_READ
from jackdawpost.core.proxy.admission import STALE_READ
from jackdawpost.core.proxy.admission import WRITE
from jackdawpost.core.proxy.answers import enqueue
from jackdawpost.core.proxy.answers import finish_error
from jackdawpost.core.proxy.answers import finish_refused
from jackdawpost.core.proxy.answers import on_statement_done
from jackdawpost.core.proxy.answers import redirect_to_primary
from jackdawpost.core.proxy.answers import retry_later
from jackdawpost.core.proxy.conns import abandon_request
from jackdawpost.core.proxy.conns import acquire_conn
from jackdawpost.core.proxy.conns import attempt_timeout_ms
from jackdawpost.core.proxy.conns import available_frames
from jackdawpost.core.proxy.conns import end_frame
from jackdawpost.core.proxy.conns import release_permit
from jackdawpost.core.proxy.conns import request_capacity
from jackdawpost.core.proxy.conns import set_answer_deadline
from jackdawpost.core.proxy.conns import start_frame
from jackdawpost.core.proxy.replica_reads import dispatch_to_replicas
from jackdawpost.core.proxy.sending import batch_size
from jackdawpost.core.proxy.sending import build_execute
from jackdawpost.core.proxy.sending import refuse_if_too_late
from jackdawpost.core.proxy.state import Group
from jackdawpost.core.proxy.state import holds_lease
from jackdawpost.core.proxy.state import ProxyState
from jackdawpost.core.proxy.state import Request
from jackdawpost.core.proxy.state import schedule_dispatch
from jackdawpost.core.proxy.state import Upstream
from jackdawpost.core.proxy.state import UpstreamConn
from jackdawpost.core.proxy.transactions import on_txn_executed
from jackdawpost.core.proxy.transactions import send_begin

UPSTREAM_COOLDOWN_MS = 10.0
# Weight of the latest answer in the moving average.
SERVICE_TIME_WEIGHT = 0.05


def dispatch(state: ProxyState, group: Group) -> None:
    """Send as many requests of a group's queue as capacity allows."""
    if group.queue.count(STALE_READ):
        dispatch_to_replicas(state, group)
    if group.queue.count(WRITE) or group.queue.count(FRESH_READ):
        _dispatch_to_primary(state, group)


def usable_primary(state: ProxyState, group: Group) -> Upstream | None:
    """Return the primary if this proxy may send statements to it."""
    up = state.upstreams.get(group.view.primary or '')
    if up is None or up.leaving or up.evidence != 'up':
        return None
    if not state.leases.is_valid(group.name, group.view.term, state.now_ms):
        return None
    return up


def _prewarm_primary(state: ProxyState, group: Group) -> None:
    """Request connections and permits while a new term's lease is awaited.

    Done only in the grace period of the term.
    """
    up = state.upstreams.get(group.view.primary or '')
    if up is None or up.leaving or up.evidence != 'up':
        return
    if state.now_ms >= group.new_term_grace_until_ms:
        return
    queue = group.queue
    waiting = queue.count(WRITE) + queue.count(FRESH_READ)
    request_capacity(state, up, waiting)


def _dispatch_to_primary(state: ProxyState, group: Group) -> None:
    up = usable_primary(state, group)
    if up is None:
        group.queue.reset_rate()
        _prewarm_primary(state, group)
        return
    queue = group.queue
    while True:
        waiting = queue.count(WRITE) + queue.count(FRESH_READ)
        if not waiting:
            return
        free = available_frames(state, up)
        conn = acquire_conn(state, up) if free else None
        if conn is None:
            request_capacity(state, up, waiting)
            return
        batch = _pop_for_primary(state, group, batch_size(waiting, free))
        if not batch:
            release_permit(state, conn)
            up.idle.append(conn.conn)
            return
        if isinstance(batch[0].message, Begin):
            send_begin(state, group, conn, batch[0])
            continue
        messages = [build_execute(state, group, req, True) for req in batch]
        timeout_ms = max(message.timeout_ms for message in messages)
        start_frame(state, conn, batch, messages, timeout_ms)


def _pop_for_primary(
    state: ProxyState, group: Group, size: int
) -> list[Request]:
    queue = group.queue
    batch: list[Request] = []
    while len(batch) < size:
        priority = WRITE if queue.count(WRITE) else FRESH_READ
        req = queue.peek(priority)
        if req is None:
            break
        if refuse_if_too_late(state, group, req):
            continue
        if isinstance(req.message, Begin):
            if not batch:
                queue.pop(priority, state.now_ms)
                return [req]
            break
        queue.pop(priority, state.now_ms)
        batch.append(req)
    return batch


def on_executed(
    state: ProxyState, conn: UpstreamConn, executed: Executed
) -> None:
    """Handle an upstream's answer to one request of a frame."""
    req = conn.running.pop(executed.id, None)
    if req is None:
        count(state, 'late_answers')
        return
    up = state.upstreams[conn.upstream]
    group = state.groups.get(req.group)
    if conn.txn is not None or isinstance(req.message, Begin):
        on_txn_executed(state, conn, req, executed)
        return
    if group is not None:
        deviation_ms = (
            state.now_ms - conn.last_activity_ms - group.mean_service_ms
        )
        group.mean_service_ms += SERVICE_TIME_WEIGHT * deviation_ms
        conn.last_activity_ms = state.now_ms
    if req.phase == 'running' and group is not None:
        if executed.status == 'done':
            on_statement_done(state, group, req, executed, up.name)
        else:
            _on_statement_refused(state, group, up, req, executed)
    if conn.running:
        timeout_ms = max(
            attempt_timeout_ms(state, other) for other in conn.running.values()
        )
        set_answer_deadline(state, conn, timeout_ms)
    else:
        end_frame(state, conn)


def _on_statement_refused(
    state: ProxyState,
    group: Group,
    up: Upstream,
    req: Request,
    executed: Executed,
) -> None:
    code = executed.code
    count(state, f'refused_{code}')
    if code in ('statement_failed', 'malformed', 'timeout'):
        from_current_primary = holds_lease(state, group, req.term)
        finish_refused(state, req, executed, from_current_primary)
        return
    if code == 'leaving':
        up.leaving = True
    if code in ('no_slot', 'stale_term', 'not_primary'):
        start_cooldown(state, up)
    if req.priority == STALE_READ:
        _on_replica_refused(state, up, req, executed)
    elif code == 'history_lost' and holds_lease(state, group, req.term):
        finish_refused(state, req, executed, True)
    else:
        retry_later(state, req)


def _on_replica_refused(
    state: ProxyState, up: Upstream, req: Request, executed: Executed
) -> None:
    if executed.code == 'history_lost':
        # Only the primary knows the group's history for certain.
        redirect_to_primary(state, req, was_executed=False)
        return
    if executed.code == 'no_slot':
        retry_later(state, req)
        return
    if req.excluded_upstreams is None:
        req.excluded_upstreams = set()
    req.excluded_upstreams.add(up.name)
    enqueue(state, req, at_front=True)


def start_cooldown(state: ProxyState, up: Upstream) -> None:
    """Send no statements to an upstream during a cool-down."""
    up.cooldown_until_ms = state.now_ms + UPSTREAM_COOLDOWN_MS
    schedule_dispatch(state, up.view.group, up.cooldown_until_ms)


def expire_request(state: ProxyState, serial: int) -> None:
    """Answer a request whose deadline has passed."""
    req = state.requests.get(serial)
    if req is None:
        return
    count(state, 'expired')
    if req.phase == 'running':
        abandon_request(state, req, 'deadline')
    elif req.phase == 'durable':
        finish_error(state, req, 'unknown', 'not_durable')
    else:
        if req.txn is not None and req in req.txn.pending:
            req.txn.pending.remove(req)
        group = state.groups.get(req.group)
        code = 'deadline'
        if group is not None and group.view.primary is None:
            code = 'no_primary'
        finish_error(state, req, 'not_run', code)
