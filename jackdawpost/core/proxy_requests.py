"""Sending of queued requests to upstreams, and their answers."""

from __future__ import annotations

from jackdawpost.core.admission import FRESH_READ
from jackdawpost.core.admission import STALE_READ
from jackdawpost.core.admission import WRITE
from jackdawpost.core.messages.caller import Begin
from jackdawpost.core.messages.caller import Statement
from jackdawpost.core.messages.upstream import Execute
from jackdawpost.core.messages.upstream import Executed
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.positions import ZERO_POSITION
from jackdawpost.core.proxy_answers import delay
from jackdawpost.core.proxy_answers import enqueue
from jackdawpost.core.proxy_answers import finish_error
from jackdawpost.core.proxy_answers import redirect_read
from jackdawpost.core.proxy_answers import refuse_attempt
from jackdawpost.core.proxy_answers import settle_done
from jackdawpost.core.proxy_conns import abandon
from jackdawpost.core.proxy_conns import attempt_timeout_ms
from jackdawpost.core.proxy_conns import capacity
from jackdawpost.core.proxy_conns import end_frame
from jackdawpost.core.proxy_conns import is_asked
from jackdawpost.core.proxy_conns import MAX_BATCH
from jackdawpost.core.proxy_conns import release_permit
from jackdawpost.core.proxy_conns import request_capacity
from jackdawpost.core.proxy_conns import start_frame
from jackdawpost.core.proxy_conns import take_conn
from jackdawpost.core.proxy_conns import watch_frame
from jackdawpost.core.proxy_state import count
from jackdawpost.core.proxy_state import Group
from jackdawpost.core.proxy_state import holds_lease
from jackdawpost.core.proxy_state import new_serial
from jackdawpost.core.proxy_state import ProxyState
from jackdawpost.core.proxy_state import Request
from jackdawpost.core.proxy_state import schedule_pump
from jackdawpost.core.proxy_state import Upstream
from jackdawpost.core.proxy_state import UpstreamConn
from jackdawpost.core.proxy_transactions import on_txn_executed
from jackdawpost.core.proxy_transactions import send_begin
from jackdawpost.core.replica_choice import CHOOSERS
from jackdawpost.core.replica_choice import split_by_freshness

# Way to the replica and back: a read that is only just fresh enough when it
# is sent would be too old when its answer arrives.
AGE_MARGIN_MS = 20.0
PAUSE_MS = 10.0
# Each permit asked for in vain costs control three messages.
ASK_ALL_MS = 10.0
SERVICE_WEIGHT = 0.05


def pump(state: ProxyState, group: Group) -> None:
    """Send what can be sent of a group's queue."""
    if group.queue.count(STALE_READ):
        _pump_replicas(state, group)
    if group.queue.count(WRITE) or group.queue.count(FRESH_READ):
        _pump_primary(state, group)


def ready_primary(state: ProxyState, group: Group) -> Upstream | None:
    """Return the primary if it may get work from this proxy."""
    up = state.upstreams.get(group.view.primary or '')
    if up is None or up.leaving or up.evidence != 'up':
        return None
    if not state.leases.is_valid(group.name, group.view.term, state.now_ms):
        return None
    return up


def _prepare_primary(state: ProxyState, group: Group) -> None:
    """Get connections and permits while the lease of a new term comes."""
    up = state.upstreams.get(group.view.primary or '')
    if up is None or up.leaving or up.evidence != 'up':
        return
    if state.now_ms >= group.hold_until_ms:
        return
    queue = group.queue
    waiting = queue.count(WRITE) + queue.count(FRESH_READ)
    request_capacity(state, up, waiting)


def _pump_primary(state: ProxyState, group: Group) -> None:
    up = ready_primary(state, group)
    if up is None:
        group.queue.forget_rate()
        _prepare_primary(state, group)
        return
    queue = group.queue
    while True:
        waiting = queue.count(WRITE) + queue.count(FRESH_READ)
        if not waiting:
            return
        free = capacity(state, up)
        conn = take_conn(state, up) if free else None
        if conn is None:
            request_capacity(state, up, waiting)
            return
        batch = _pop_for_primary(state, group, _batch_size(waiting, free))
        if not batch:
            release_permit(state, conn)
            up.idle.append(conn.conn)
            return
        if isinstance(batch[0].message, Begin):
            send_begin(state, group, conn, batch[0])
            continue
        messages = [_to_execute(state, group, req, True) for req in batch]
        timeout_ms = max(message.timeout_ms for message in messages)
        start_frame(state, conn, batch, messages, timeout_ms)


def refuse_late(state: ProxyState, group: Group, req: Request) -> bool:
    """Refuse a request that waited until too little time is left to run.

    Under overload it would occupy a slot for an answer that comes too late,
    and cost its connection. One that has not waited for long is always
    tried, or an estimate that is too high would never be corrected.
    """
    left_ms = req.due_ms - state.now_ms
    if left_ms > group.service_ms or left_ms > state.now_ms - req.arrived_ms:
        return False
    group.queue.remove(req)
    finish_error(state, req, 'not_run', 'deadline')
    return True


def _batch_size(waiting: int, free: int) -> int:
    return min(MAX_BATCH, -(-waiting // max(1, free)))


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
        if refuse_late(state, group, req):
            continue
        if isinstance(req.message, Begin):
            if not batch:
                queue.pop(priority, state.now_ms)
                return [req]
            break
        queue.pop(priority, state.now_ms)
        batch.append(req)
    return batch


def _pump_replicas(state: ProxyState, group: Group) -> None:
    if state.now_ms < group.hold_until_ms and not _knows_replicas(group):
        schedule_pump(state, group.name, group.hold_until_ms)
        return
    queue = group.queue
    choose = CHOOSERS[state.cfg.replica_choice]
    while True:
        req = queue.peek(STALE_READ)
        if req is None:
            return
        if refuse_late(state, group, req):
            continue
        fresh_after = _fresh_after(state, group, req)
        servers = _servers(state, group, req, fresh_after)
        if not servers:
            queue.remove(req)
            req.priority = FRESH_READ
            queue.push(req)
            count(state, 'reads_without_replica')
            continue
        free = [up for up in servers if capacity(state, up)]
        if not free:
            _ask_replicas(state, group, servers, req)
            return
        group.turn += 1
        chosen = choose(free, state.rng, group.turn)
        _send_to_replica(state, group, chosen, free, fresh_after)


def _ask_replicas(
    state: ProxyState, group: Group, servers: list[Upstream], first: Request
) -> None:
    """Ask for capacity: for one read at one replica, soon at all."""
    waiting = group.queue.count(STALE_READ)
    ask_all_ms = first.arrived_ms + ASK_ALL_MS
    if waiting < len(servers) and state.now_ms < ask_all_ms:
        schedule_pump(state, group.name, ask_all_ms)
        asked = [up for up in servers if is_asked(state, up)]
        if not asked:
            group.turn += 1
            choose = CHOOSERS[state.cfg.replica_choice]
            asked = [choose(servers, state.rng, group.turn)]
        servers = asked
    share = -(-waiting // len(servers))
    for up in servers:
        request_capacity(state, up, share)


def _knows_replicas(group: Group) -> bool:
    """Tell whether sample and replicas of the current term are known."""
    term = group.view.term
    return len(group.freshness) > 0 and any(
        up.term == term and up.name != group.view.primary
        for up in group.upstreams
    )


def _send_to_replica(
    state: ProxyState,
    group: Group,
    up: Upstream,
    free: list[Upstream],
    fresh_after: LogPosition | None,
) -> None:
    queue = group.queue
    waiting = queue.count(STALE_READ)
    size = 1
    if waiting > 1:
        frames = sum(capacity(state, other) for other in free)
        size = _batch_size(waiting, frames)
    conn = take_conn(state, up)
    if conn is None:
        raise RuntimeError(f'{up.name!r} has capacity but no connection')
    batch: list[Request] = []
    messages = []
    while len(batch) < size:
        req = queue.peek(STALE_READ)
        if req is None:
            break
        if batch:
            fresh_after = _fresh_after(state, group, req)
            if up not in _servers(state, group, req, fresh_after):
                break
        queue.pop(STALE_READ, state.now_ms)
        batch.append(req)
        messages.append(_to_execute(state, group, req, False, fresh_after))
    timeout_ms = max(message.timeout_ms for message in messages)
    start_frame(state, conn, batch, messages, timeout_ms)


def _fresh_after(
    state: ProxyState, group: Group, req: Request
) -> LogPosition | None:
    max_age_ms = req.max_age_ms or 0
    margin_ms = min(AGE_MARGIN_MS, max_age_ms / 4)
    return group.freshness.required_position(
        max_age_ms - margin_ms, state.now_ms
    )


def _servers(
    state: ProxyState,
    group: Group,
    req: Request,
    fresh_after: LogPosition | None,
) -> list[Upstream]:
    if fresh_after is None:
        return []
    primary = group.view.primary
    replicas = [
        up
        for up in group.upstreams
        if up.name != primary
        and (req.avoided is None or up.name not in req.avoided)
    ]
    max_lag_ms = _longest_lag_to_wait_for(state, group, req, fresh_after)
    ready, soon = split_by_freshness(
        replicas, group.view.term, req.after, fresh_after, max_lag_ms
    )
    return ready or soon


def _longest_lag_to_wait_for(
    state: ProxyState, group: Group, req: Request, fresh_after: LogPosition
) -> float:
    """Return the lag up to which a replica gets there in `wait_ms`."""
    wait_ms = group.view.replica_wait_ms
    if not wait_ms:
        return -1.0
    needed = max(req.after or ZERO_POSITION, fresh_after)
    reached_ms = group.freshness.reached_ms(needed)
    since_ms = 0.0 if reached_ms is None else state.now_ms - reached_ms
    return min((req.max_age_ms or 0) - AGE_MARGIN_MS, since_ms + wait_ms)


def _to_execute(
    state: ProxyState,
    group: Group,
    req: Request,
    must_lead: bool,
    fresh_after: LogPosition | None = None,
) -> Execute:
    message = req.message
    assert isinstance(message, Statement)
    req.exec_id = new_serial(state)
    req.term = group.view.term
    return Execute(
        id=req.exec_id,
        sql=message.sql,
        access=message.access,
        term=req.term,
        must_lead=must_lead,
        timeout_ms=attempt_timeout_ms(state, req),
        params=message.params,
        after=req.after,
        fresh_after=None if fresh_after == ZERO_POSITION else fresh_after,
        wait_ms=0 if must_lead else group.view.replica_wait_ms,
        request_key=message.request_key,
    )


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
        change = state.now_ms - conn.turn_ms - group.service_ms
        group.service_ms += SERVICE_WEIGHT * change
        conn.turn_ms = state.now_ms
    if req.phase == 'running' and group is not None:
        if executed.status == 'done':
            settle_done(state, group, req, executed, up.name)
        else:
            _settle_refused(state, group, up, req, executed)
    if conn.running:
        timeout_ms = max(
            attempt_timeout_ms(state, other) for other in conn.running.values()
        )
        watch_frame(state, conn, timeout_ms)
    else:
        end_frame(state, conn)


def _settle_refused(
    state: ProxyState,
    group: Group,
    up: Upstream,
    req: Request,
    executed: Executed,
) -> None:
    code = executed.code
    count(state, f'refused_{code}')
    if code in ('statement_failed', 'malformed', 'timeout'):
        current = holds_lease(state, group, req.term)
        refuse_attempt(state, req, executed, current)
        return
    if code == 'leaving':
        up.leaving = True
    if code in ('no_slot', 'stale_term', 'not_primary'):
        pause_upstream(state, up)
    if req.priority == STALE_READ:
        _refused_by_replica(state, up, req, executed)
    elif code == 'history_lost' and holds_lease(state, group, req.term):
        refuse_attempt(state, req, executed, True)
    else:
        delay(state, req)


def _refused_by_replica(
    state: ProxyState, up: Upstream, req: Request, executed: Executed
) -> None:
    if executed.code == 'history_lost':
        # Only the primary knows for certain what the group's history is.
        redirect_read(state, req, ran=False)
        return
    if executed.code == 'no_slot':
        delay(state, req)
        return
    if req.avoided is None:
        req.avoided = set()
    req.avoided.add(up.name)
    enqueue(state, req, first=True)


def pause_upstream(state: ProxyState, up: Upstream) -> None:
    """Send nothing to an upstream for a moment."""
    up.paused_until_ms = state.now_ms + PAUSE_MS
    schedule_pump(state, up.view.group, up.paused_until_ms)


def expire(state: ProxyState, serial: int) -> None:
    """Answer a request whose deadline has come."""
    req = state.requests.get(serial)
    if req is None:
        return
    count(state, 'expired')
    if req.phase == 'running':
        abandon(state, req, 'deadline')
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
