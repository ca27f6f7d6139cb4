"""Placement of statements: the queue, and the choice of an upstream.

Writes and strongly consistent reads go to the primary. Reads that accept a
replica go to an eligible upstream in the order of `balancing.rank`.
"""

from __future__ import annotations

import math

from jackdawpost.core.messages.session import Execute
from jackdawpost.core.messages.session import Internal
from jackdawpost.core.outbox import send
from jackdawpost.core.pooler.admission import describe_expiry
from jackdawpost.core.pooler.admission import find_refusal
from jackdawpost.core.pooler.answers import drop_task
from jackdawpost.core.pooler.answers import expiry_code
from jackdawpost.core.pooler.answers import fail_statement
from jackdawpost.core.pooler.connections import can_open_connection
from jackdawpost.core.pooler.connections import close_idle_connection
from jackdawpost.core.pooler.connections import convert_idle_monitor
from jackdawpost.core.pooler.connections import has_scarce_connections
from jackdawpost.core.pooler.connections import is_openable
from jackdawpost.core.pooler.connections import open_statement_connection
from jackdawpost.core.pooler.connections import prepare_replay
from jackdawpost.core.pooler.connections import send_rollback
from jackdawpost.core.pooler.ejection import without_ejected
from jackdawpost.core.pooler.leases import has_lost_control
from jackdawpost.core.pooler.leases import lease_term
from jackdawpost.core.pooler.leases import may_start
from jackdawpost.core.pooler.limits import can_expire
from jackdawpost.core.pooler.limits import is_below_limit
from jackdawpost.core.pooler.limits import is_too_late_to_start
from jackdawpost.core.pooler.limits import latest_start_ms
from jackdawpost.core.pooler.probes import watch_statement
from jackdawpost.core.pooler.read_choice import count_read
from jackdawpost.core.pooler.read_choice import expected_latency_ms
from jackdawpost.core.pooler.read_choice import order_for_read
from jackdawpost.core.pooler.room import count_opening
from jackdawpost.core.pooler.room import has_room
from jackdawpost.core.pooler.room import MAX_OPENING_CONNECTIONS
from jackdawpost.core.pooler.state import get_group
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import PoolGroup
from jackdawpost.core.pooler.state import RequestKind
from jackdawpost.core.pooler.state import schedule
from jackdawpost.core.pooler.state import Session
from jackdawpost.core.pooler.state import StatementTask
from jackdawpost.core.pooler.state import UpstreamConn
from jackdawpost.core.pooler.state import UpstreamRequest
from jackdawpost.core.pooler.tenant_changes import allows_change
from jackdawpost.core.pooler.tenant_changes import OPENING_MS
from jackdawpost.core.pooler.tenants import caller_weight
from jackdawpost.core.pooler.upstreams import accepts_statements
from jackdawpost.core.positions import LogPosition

# An unanswered read is retried elsewhere after the longer of this share of
# its remaining time and this multiple of the upstream's mean latency.
READ_ATTEMPT_TIMEOUT_SHARE = 0.5
READ_ATTEMPT_TIMEOUT_LATENCIES = 3.0
# Statements of a lane that are tried in vain, by target, before the others of
# the lane are left out. Those for the primary need the same connections, so
# that more of them would not cause more connections to be opened. Reads may
# also differ in the log position that they require.
MAX_MISSES = {'primary': MAX_OPENING_CONNECTIONS, 'any': 32}
# After its leases have run out, a pooler keeps statements for this time, in
# which an election may end. Later it refuses them, so that callers try others.
LEASE_RETURN_MS = 1_000.0
# After this time in the queue, a statement that needs a connection of its
# tenant gets it before later statements may use idle ones of other tenants.
# Otherwise a tenant at its peak kept all connections, and with them the
# slots. See also `tenant_changes`.
TENANT_CHANGE_DELAY_MS = 40.0
# Latency that a read must save to justify opening another connection.
MIN_OPEN_GAIN_MS = 20.0
# Time for which a replica that reported a lower position than required is
# not tried.
LAG_EXCLUSION_MS = 150.0


def submit(state: PoolerState, task: StatementTask) -> None:
    """Queue a new statement, or refuse it, see `find_refusal`."""
    state.tasks[task.number] = task
    schedule(state, f'work/{task.number}', task.deadline_ms)
    group = get_group(state, task.endpoint.group)
    if not task.is_write and not task.in_txn:
        group.repeated_reads.record_request()
    tag = group.waiting.build_tag(task, caller_weight(state, task))
    refusal = find_refusal(state, group, task, tag)
    if refusal:
        fail_statement(state, task, 'overloaded', refusal)
        return
    group.waiting.add_new(task, tag, latest_start_ms(task))
    state.dirty.add(f'group/{group.name}')


def dispatch_group(state: PoolerState, name: str) -> None:
    """Start the queued statements of a group in their order.

    Statements that can no longer finish in time fail. Those for which no
    suitable connection is idle stay queued. If nothing can start and nothing
    has expired, no queued statement is looked at.
    """
    group = get_group(state, name)
    queue = group.waiting
    if not queue:
        return
    _fail_expired(state, group)
    queue.end_back_off(state.now_ms)
    has_lost_leases = has_lost_control(state, LEASE_RETURN_MS)
    connections_needed: dict[str, list[str]] = {}

    def try_start(task: StatementTask) -> bool:
        if _try_start(state, group, task, connections_needed):
            return True
        if _tenant(task) and (
            state.now_ms >= task.arrived_ms + TENANT_CHANGE_DELAY_MS
        ):
            _change_tenants(state, connections_needed)
        return False

    queue.start_in_order(
        try_start,
        lambda target: has_room(state, group, target),
        # Before all others fail, each is tried.
        dict.fromkeys(MAX_MISSES, len(queue))
        if has_lost_leases
        else MAX_MISSES,
    )
    if has_lost_leases:
        _fail_without_lease(state, group)
    for upstream, tenants in connections_needed.items():
        _open_connections(state, state.pools[upstream], tenants)
    _schedule_next_dispatch(state, group)


def _change_tenants(
    state: PoolerState, connections_needed: dict[str, list[str]]
) -> None:
    """Open connections before later statements use idle ones."""
    for upstream, tenants in connections_needed.items():
        pool = state.pools[upstream]
        if not allows_change(pool.change_credit_ms):
            continue
        opening = count_opening(state, pool)
        _open_connections(state, pool, tenants)
        opened = count_opening(state, pool) - opening
        pool.change_credit_ms -= opened * OPENING_MS


def _fail_expired(state: PoolerState, group: PoolGroup) -> None:
    if not can_expire(state, group):
        return
    for task in group.waiting.pop_expired(state.now_ms):
        if is_too_late_to_start(state, group, task):
            fail_statement(
                state,
                task,
                expiry_code(task),
                describe_expiry(state, group),
            )


def _fail_without_lease(state: PoolerState, group: PoolGroup) -> None:
    for task in group.waiting.tasks():
        fail_statement(
            state,
            task,
            expiry_code(task),
            'no write lease: control is not reachable',
        )


def _schedule_next_dispatch(state: PoolerState, group: PoolGroup) -> None:
    """Schedule the time at which a queued statement may start or expire."""
    if not group.waiting:
        return
    due_times_ms = [
        pool.retry_at_ms
        for pool in state.pools.values()
        if pool.view.group == group.name
    ]
    due_times_ms.append(group.waiting.next_due_ms(state.now_ms))
    if state.cfg.needs_leases:
        # All statements fail then, see `has_lost_control`.
        due_times_ms.append(state.leases.grant_until_ms + LEASE_RETURN_MS)
    next_ms = min(
        (due_ms for due_ms in due_times_ms if due_ms > state.now_ms),
        default=math.inf,
    )
    if next_ms < math.inf:
        schedule(state, f'group/{group.name}', next_ms)


def _open_connections(
    state: PoolerState, pool: Pool, tenants: list[str]
) -> None:
    """Open the connections that queued statements need.

    Parameters
    ----------
    tenants : list of str
        Tenant of each statement, in the order of the queue.
    """
    opening = [
        state.conns[number].tenant
        for number in pool.conns
        if not state.conns[number].opened
    ]
    for tenant in tenants:
        if tenant in opening:
            # One that is being opened serves one of the statements.
            opening.remove(tenant)
            continue
        if count_opening(state, pool) >= MAX_OPENING_CONNECTIONS:
            return
        if not is_openable(state, pool) or not is_below_limit(state, pool):
            return
        if not can_open_connection(state, pool) and not close_idle_connection(
            state, pool, tenant
        ):
            continue
        open_statement_connection(state, pool, tenant)


def _try_start(
    state: PoolerState,
    group: PoolGroup,
    task: StatementTask,
    connections_needed: dict[str, list[str]],
) -> bool:
    """Start a statement if a suitable upstream has an idle connection.

    If no connection is idle, count one to open on the preferred upstream.
    """
    required_position = None
    if task.target == 'any':
        required_position = _required_position(group, task)
        if required_position is not None:
            pools = _eligible_upstreams(state, group, task, required_position)
            if state.now_ms < group.ejections_end_ms:
                pools = without_ejected(pools, task, state.now_ms)
            for pool in pools:
                conn = _pick_connection(state, pool, task.session)
                if conn is None and _is_worth_opening(state, pool, task):
                    _count_needed_connection(connections_needed, pool, task)
                    return False
                if conn is not None:
                    if _is_much_faster(state, pools[0], pool):
                        _count_needed_connection(
                            connections_needed, pools[0], task
                        )
                    count_read(state, pools, pool)
                    _start_attempt(state, pool, conn, task, required_position)
                    return True
            if pools:
                _count_needed_connection(connections_needed, pools[0], task)
                return False
    primary = state.pools.get(group.primary or '')
    if primary is None or not accepts_statements(state, primary):
        return False
    if not may_start(state, primary):
        return False
    conn = _pick_connection(state, primary, task.session)
    if conn is None:
        _count_needed_connection(connections_needed, primary, task)
        return False
    _start_attempt(state, primary, conn, task, None)
    return True


def _is_worth_opening(
    state: PoolerState, pool: Pool, task: StatementTask
) -> bool:
    """Return whether a read waits for a new connection to an upstream.

    Where each tenant needs its own connections, or connections are scarce,
    opening one is a part of most statements, and it costs less than a read
    that runs in another data centre.
    """
    if not _tenant(task) and not has_scarce_connections(state, pool):
        return False
    return can_open_connection(state, pool) and is_below_limit(state, pool)


def _count_needed_connection(
    connections_needed: dict[str, list[str]], pool: Pool, task: StatementTask
) -> None:
    tenants = connections_needed.setdefault(pool.view.name, [])
    tenants.append(_tenant(task))


def _tenant(task: StatementTask) -> str:
    return task.session.tenant if task.session is not None else ''


def _is_much_faster(state: PoolerState, best: Pool, used: Pool) -> bool:
    """Return whether `best` saves enough latency for a new connection."""
    gain_ms = expected_latency_ms(state, used) - expected_latency_ms(
        state, best
    )
    return best is not used and gain_ms > MIN_OPEN_GAIN_MS


def _required_position(
    group: PoolGroup, task: StatementTask
) -> LogPosition | None:
    """Return the log position that an upstream must have to serve a read.

    None if the primary alone can serve it, since no known position of the
    primary is recent enough for the accepted staleness.
    """
    sample = group.samples.oldest_within(
        task.arrived_ms, task.endpoint.max_age_ms
    )
    if sample is None:
        return None
    session = task.session
    reads_own_writes = task.endpoint.consistency == 'read_your_writes'
    if (
        reads_own_writes
        and session is not None
        and session.position is not None
    ):
        return max(sample, session.position)
    return sample


def _eligible_upstreams(
    state: PoolerState,
    group: PoolGroup,
    task: StatementTask,
    required_position: LogPosition,
) -> list[Pool]:
    """Return the upstreams that can serve a read, in the order to try."""
    found = []
    for pool in state.pools.values():
        view = pool.view
        if (
            view.group != group.name
            or view.leaving
            or pool.reachability not in ('', 'up')
        ):
            continue
        if view.name in task.excluded_upstreams:
            continue
        if _is_known_to_lag(state, pool, required_position):
            continue
        found.append(pool)
    return order_for_read(state, found)


def _is_known_to_lag(
    state: PoolerState, pool: Pool, required_position: LogPosition
) -> bool:
    """Return whether a replica has recently reported a lower position.

    An older report is ignored, since the replica may have caught up. If it
    has not, it refuses the read, which costs only a round trip.
    """
    if pool.applied is None or pool.applied >= required_position:
        return False
    return state.now_ms < pool.applied_ms + LAG_EXCLUSION_MS


def _pick_connection(
    state: PoolerState, pool: Pool, session: Session | None
) -> UpstreamConn | None:
    """Return an idle connection, if the concurrency limit allows to use one.

    A connection on which the session's values have been replayed is
    preferred, then one without values of any session, which needs no reset.
    """
    found = None
    tenant = session.tenant if session is not None else ''
    if not is_below_limit(state, pool):
        return None
    for number in pool.conns:
        conn = state.conns[number]
        if not conn.is_idle or conn.tenant != tenant:
            continue
        if session is not None and conn.replayed_session == session.conn:
            return conn
        if found is None or not conn.replayed_session:
            found = conn
    if found is not None or tenant:
        return found
    return convert_idle_monitor(state, pool)


def _start_attempt(
    state: PoolerState,
    pool: Pool,
    conn: UpstreamConn,
    task: StatementTask,
    required_position: LogPosition | None,
) -> None:
    """Send a statement, preceded by a begin if it needs one.

    The begin opens the caller's transaction or, for a read on the primary,
    proves that the upstream leads. The statement is then sent when the begin
    has succeeded.
    """
    session = task.session
    assert session is not None
    task.attempts += 1
    task.conn = conn.conn
    task.required_position = required_position
    task.sent_ms = state.now_ms
    conn.used_ms = state.now_ms
    messages = prepare_replay(state, conn, session)
    if messages:
        send(state, conn.conn, *messages)
    _schedule_attempt_timeout(state, pool, task)
    watch_statement(state, pool)
    needs_leadership_check = not task.is_write and required_position is None
    if task.in_txn or needs_leadership_check:
        task.phase = 'beginning'
        conn.txn_session = session.conn if task.in_txn else 0
        begin = Internal(action='begin')
        if required_position is not None:
            begin = Internal(action='begin_read', after=required_position)
        conn.pending_requests.append(
            _build_upstream_request(state, conn, task, 'begin')
        )
        send(state, conn.conn, begin)
        return
    send_statement(state, conn, task)


def _schedule_attempt_timeout(
    state: PoolerState, pool: Pool, task: StatementTask
) -> None:
    task.attempt_due_ms = None
    if task.is_write or task.in_txn:
        return
    remaining_ms = task.deadline_ms - state.now_ms
    # The latency term keeps a slow answer from being treated as lost.
    wait_ms = max(
        remaining_ms * READ_ATTEMPT_TIMEOUT_SHARE,
        pool.latency_ms * READ_ATTEMPT_TIMEOUT_LATENCIES,
    )
    if wait_ms < remaining_ms:
        task.attempt_due_ms = state.now_ms + wait_ms
        schedule(state, f'attempt/{task.number}', task.attempt_due_ms)


def send_statement(
    state: PoolerState, conn: UpstreamConn, task: StatementTask
) -> None:
    """Send a caller's statement on a connection, after any begin it needs."""
    task.phase = 'running'
    task.conn = conn.conn
    task.sent_ms = state.now_ms
    # In a transaction, the begin has carried the required position.
    is_standalone = not task.in_txn and not _needs_leadership_check(task)
    conn.pending_requests.append(
        _build_upstream_request(state, conn, task, 'statement')
    )
    txn = task.session.txn if task.session is not None else None
    if task.in_txn and task.is_write and txn is not None:
        txn.has_written = True
    execute = Execute(
        id=task.req.id,
        text=task.req.text,
        after=task.required_position if is_standalone else None,
    )
    send(state, conn.conn, execute)
    if _needs_leadership_check(task):
        # Ends the transaction that was begun for the check.
        send_rollback(state, conn)


def _build_upstream_request(
    state: PoolerState,
    conn: UpstreamConn,
    task: StatementTask,
    kind: RequestKind,
) -> UpstreamRequest:
    return UpstreamRequest(
        kind=kind,
        sent_ms=state.now_ms,
        task=task,
        lease_term=lease_term(state, conn.upstream, task.endpoint.group),
    )


def _needs_leadership_check(task: StatementTask) -> bool:
    """Return whether a read must follow a begin that proves leadership.

    A begin succeeds only on an upstream that proves that it leads. A plain
    read would also succeed on a primary that has been replaced.
    """
    return (
        not task.is_write
        and not task.in_txn
        and task.required_position is None
    )


def requeue(state: PoolerState, task: StatementTask) -> None:
    """Queue a statement again; drop it if its caller has disconnected."""
    if task.session is None:
        drop_task(state, task)
        return
    task.phase = 'waiting'
    task.conn = 0
    group = get_group(state, task.endpoint.group)
    group.waiting.add(task, latest_start_ms(task), state.now_ms)
    state.dirty.add(f'group/{group.name}')
