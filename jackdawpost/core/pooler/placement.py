"""Where statements run: queue, choice of an upstream, sending."""

from __future__ import annotations

from jackdawpost.core.messages.session import Execute
from jackdawpost.core.messages.session import Internal
from jackdawpost.core.outbox import send
from jackdawpost.core.pooler.answers import forget
from jackdawpost.core.pooler.answers import refuse
from jackdawpost.core.pooler.answers import unserved_code
from jackdawpost.core.pooler.connections import add_connection
from jackdawpost.core.pooler.connections import adopt_monitor
from jackdawpost.core.pooler.connections import may_open
from jackdawpost.core.pooler.connections import replay_session
from jackdawpost.core.pooler.connections import send_rollback
from jackdawpost.core.pooler.limits import has_room
from jackdawpost.core.pooler.limits import has_waited_too_long
from jackdawpost.core.pooler.limits import must_wait_too_long
from jackdawpost.core.pooler.limits import START_SHARE
from jackdawpost.core.pooler.state import group_of
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import PoolGroup
from jackdawpost.core.pooler.state import schedule
from jackdawpost.core.pooler.state import Session
from jackdawpost.core.pooler.state import Step
from jackdawpost.core.pooler.state import UpstreamConn
from jackdawpost.core.pooler.state import Work
from jackdawpost.core.pooler.upstreams import takes_work
from jackdawpost.core.positions import LogPosition

# Statements that may wait for an upstream, for each group.
MAX_WAITING = 256
# Share of a read's time after which a lost answer is given up for another
# attempt.
READ_ATTEMPT_SHARE = 0.5
# The same in mean times that the upstream takes for a statement.
ATTEMPT_LATENCIES = 3.0
# What a trip to another region costs a read more than one in this region.
OTHER_REGION_MS = 30.0
# Connections to one upstream that may be on their way at a time.
MAX_OPENING = 2
# Time that a read must save for another connection to be opened for it.
OPENING_GAIN_MS = 20.0
# Time for which a replica seen behind is not asked for the same again.
BEHIND_MS = 150.0


def submit(state: PoolerState, work: Work) -> None:
    """Take a statement that an upstream has to run."""
    state.works[work.number] = work
    schedule(state, f'work/{work.number}', work.due_ms)
    group = group_of(state, work.endpoint.group)
    if len(group.waiting) >= MAX_WAITING:
        refuse(state, work, 'overloaded', 'too many statements wait')
        return
    if must_wait_too_long(group, work):
        refuse(state, work, 'overloaded', 'others wait that leave no time')
        return
    group.waiting.append(work)
    schedule(
        state,
        f'group/{group.name}',
        state.now_ms + work.endpoint.timeout_ms * START_SHARE,
    )
    state.dirty.add(f'group/{group.name}')


def dispatch(state: PoolerState, name: str) -> None:
    """Place the waiting statements of a group, the most urgent first."""
    group = group_of(state, name)
    if not group.waiting:
        return
    group.waiting.sort(key=_urgency)
    waiting = group.waiting
    group.waiting = []
    wanted: dict[str, int] = {}
    for work in waiting:
        if work.number not in state.works:
            continue
        if has_waited_too_long(state, group, work):
            code = unserved_code(work)
            refuse(state, work, code, 'waited for most of its time')
            continue
        if not _place(state, group, work, wanted):
            group.waiting.append(work)
    for upstream, number in wanted.items():
        _open_for(state, state.pools[upstream], number)


def _urgency(work: Work) -> tuple[int, float]:
    # A transaction waits here with its first statement only: it holds no
    # connection that others need.
    return work.endpoint.priority, work.arrived_ms


def _open_for(state: PoolerState, pool: Pool, wanted: int) -> None:
    opening = sum(1 for number in pool.conns if not state.conns[number].opened)
    for _ in range(min(wanted, MAX_OPENING) - opening):
        if not may_open(state, pool) or not has_room(state, pool):
            return
        add_connection(state, pool)


def _place(
    state: PoolerState, group: PoolGroup, work: Work, wanted: dict[str, int]
) -> bool:
    """Send a statement if an upstream has a connection for it."""
    if work.not_before_ms > state.now_ms:
        return False
    after = None
    if work.place == 'any':
        after = _needed_position(group, work)
        if after is not None:
            pools = _readers(state, group, work, after)
            for pool in pools:
                conn = _free_conn(state, pool, work.session)
                if conn is not None:
                    if _is_much_quicker(state, pools[0], pool):
                        _want(wanted, pools[0])
                    _start(state, pool, conn, work, after)
                    return True
            if pools:
                _want(wanted, pools[0])
                return False
    primary = state.pools.get(group.primary or '')
    if primary is None or not takes_work(state, primary):
        return False
    conn = _free_conn(state, primary, work.session)
    if conn is None:
        _want(wanted, primary)
        return False
    _start(state, primary, conn, work, None)
    return True


def _want(wanted: dict[str, int], pool: Pool) -> None:
    wanted[pool.view.name] = wanted.get(pool.view.name, 0) + 1


def _is_much_quicker(state: PoolerState, best: Pool, used: Pool) -> bool:
    """Tell whether a connection to `best` would soon pay for its opening."""
    gain_ms = _expected_ms(state, used) - _expected_ms(state, best)
    return best is not used and gain_ms > OPENING_GAIN_MS


def _needed_position(group: PoolGroup, work: Work) -> LogPosition | None:
    """Return the position that a read needs; None if only the primary can."""
    sample = group.samples.oldest_within(
        work.arrived_ms, work.endpoint.max_age_ms
    )
    if sample is None:
        return None
    session = work.session
    is_own = work.endpoint.consistency == 'read_your_writes'
    if is_own and session is not None and session.position is not None:
        return max(sample, session.position)
    return sample


def _readers(
    state: PoolerState, group: PoolGroup, work: Work, after: LogPosition
) -> list[Pool]:
    """Return the upstreams that can serve a read, the quickest first."""
    found = []
    for pool in state.pools.values():
        view = pool.view
        if view.group != group.name or view.leaving or pool.reach != 'up':
            continue
        if view.name in work.excluded:
            continue
        if _is_known_behind(state, pool, after):
            continue
        found.append(pool)
    return sorted(found, key=lambda pool: _expected_ms(state, pool))


def _is_known_behind(
    state: PoolerState, pool: Pool, after: LogPosition
) -> bool:
    """Tell whether a replica has just shown that it lacks a position.

    An older sight says little: it may have caught up since. One read finds
    out, and costs nothing but the way if it has not.
    """
    if pool.applied is None or pool.applied >= after:
        return False
    return state.now_ms < pool.applied_ms + BEHIND_MS


def _expected_ms(state: PoolerState, pool: Pool) -> float:
    busy = sum(1 for number in pool.conns if state.conns[number].steps)
    region = state.cfg.regions.get(pool.view.data_centre)
    distance_ms = 0.0 if region == state.cfg.region else OTHER_REGION_MS
    return pool.latency_ms * (1 + busy) + distance_ms


def _free_conn(
    state: PoolerState, pool: Pool, session: Session | None
) -> UpstreamConn | None:
    """Return an idle connection, best one that holds the session's values."""
    found = None
    if not has_room(state, pool):
        return None
    for number in pool.conns:
        conn = state.conns[number]
        if not conn.is_idle:
            continue
        if session is not None and conn.session == session.conn:
            return conn
        if found is None or not conn.session:
            found = conn
    return found or adopt_monitor(state, pool)


def _start(
    state: PoolerState,
    pool: Pool,
    conn: UpstreamConn,
    work: Work,
    after: LogPosition | None,
) -> None:
    """Send a statement, or the begin that it needs before it."""
    session = work.session
    assert session is not None
    work.attempts += 1
    work.conn = conn.conn
    work.after = after
    work.sent_ms = state.now_ms
    messages = replay_session(state, conn, session)
    if messages:
        send(state, conn.conn, *messages)
    _watch_attempt(state, pool, work)
    is_guarded = not work.is_write and after is None
    if work.in_txn or is_guarded:
        work.phase = 'beginning'
        conn.owner = session.conn if work.in_txn else 0
        begin = Internal(action='begin')
        if after is not None:
            begin = Internal(action='begin_read', after=after)
        conn.steps.append(Step(kind='begin', sent_ms=state.now_ms, work=work))
        send(state, conn.conn, begin)
        return
    run_statement(state, conn, work)


def _watch_attempt(state: PoolerState, pool: Pool, work: Work) -> None:
    if work.is_write or work.in_txn:
        return
    left_ms = work.due_ms - state.now_ms
    # A slow upstream has not lost the answer.
    wait_ms = max(
        left_ms * READ_ATTEMPT_SHARE, pool.latency_ms * ATTEMPT_LATENCIES
    )
    if wait_ms < left_ms:
        schedule(
            state,
            f'attempt/{work.number}/{work.attempts}',
            state.now_ms + wait_ms,
        )


def run_statement(state: PoolerState, conn: UpstreamConn, work: Work) -> None:
    """Send the caller's statement on a connection that is ready for it."""
    work.phase = 'running'
    work.conn = conn.conn
    work.sent_ms = state.now_ms
    # In a transaction the position was demanded by the begin.
    is_alone = not work.in_txn and not _is_guarded(work)
    conn.steps.append(Step(kind='statement', sent_ms=state.now_ms, work=work))
    execute = Execute(
        id=work.req.id,
        text=work.req.text,
        after=work.after if is_alone else None,
    )
    send(state, conn.conn, execute)
    if _is_guarded(work):
        send_rollback(state, conn)


def _is_guarded(work: Work) -> bool:
    return not work.is_write and not work.in_txn and work.after is None


def requeue(state: PoolerState, work: Work) -> None:
    """Let a statement of which nothing has run wait for an upstream."""
    if work.session is None:
        forget(state, work)
        return
    work.phase = 'waiting'
    work.conn = 0
    group = group_of(state, work.endpoint.group)
    group.waiting.append(work)
    state.dirty.add(f'group/{group.name}')
