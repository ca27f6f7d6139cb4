"""Connections to upstreams: opening, probes, session replay, loss."""

from __future__ import annotations

from jackdawpost.core.effects import Connect
from jackdawpost.core.errors import ProtocolError
from jackdawpost.core.messages.control import AskUpstream
from jackdawpost.core.messages.control import UpstreamTold
from jackdawpost.core.messages.session import Internal
from jackdawpost.core.pooler.state import Answer
from jackdawpost.core.pooler.state import close
from jackdawpost.core.pooler.state import count
from jackdawpost.core.pooler.state import group_of
from jackdawpost.core.pooler.state import log
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import schedule
from jackdawpost.core.pooler.state import send
from jackdawpost.core.pooler.state import Session
from jackdawpost.core.pooler.state import Step
from jackdawpost.core.pooler.state import StepKind
from jackdawpost.core.pooler.state import UpstreamConn
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.published import UpstreamView

# Connections left to control, to newcomers' checks and to members on their
# way in, out of those that an upstream allows.
RESERVED_CONNECTIONS = 3
DEFAULT_CONNECTIONS = 20
# Longer than any cut after which a proxy is expected back.
PROXY_MEMORY_MS = 60_000.0
MIN_CONNECTIONS = 1
# With no more than these, probes share the statements' connections.
SCARCE_CONNECTIONS = 3
# Time without a probe after which a connection for probes is closed.
MONITOR_IDLE_MS = 5_000.0
PROBE_STEPS = frozenset({'open', 'status', 'probe_begin', 'probe_rollback'})
LATENCY_WEIGHT = 0.2  # of the newest statement in the moving average
RETRY_MIN_MS = 50.0
RETRY_MAX_MS = 500.0
# Age of the newest proved position at which the primary is asked for another.
SAMPLE_MS = 200.0
# Time without an answer after which a replica is asked whether it is there.
HEARD_MS = 1_000.0
# Pause before another attempt at an upstream without a free connection.
FULL_RETRY_MS = 150.0
# Refusals of a connection by an upstream that works.
FULL_CODES = frozenset({'no_connections', 'overloaded'})
# The same while it runs statements.
UNANSWERED_MS = 150.0
MIN_PROBE_PAUSE_MS = 20.0
# Pause between looks at a replica that is behind.
LAG_PROBE_MS = 250.0
# While no primary is known, every upstream is asked whether it leads.
SEARCH_INTERVAL_MS = 80.0


def sync_pools(state: PoolerState) -> None:
    """Follow the published upstreams."""
    note_proxies(state)
    published = state.published.upstreams
    for name in [name for name in state.pools if name not in published]:
        _drop_pool(state, name)
    for name, view in published.items():
        pool = state.pools.get(name)
        if pool is not None and pool.view.data_id != view.data_id:
            _drop_pool(state, name)
            pool = None
        if pool is None:
            state.pools[name] = Pool(view=view)
            _probe(state, state.pools[name])
        else:
            pool.view = view
        pool = state.pools[name]
        if not view.leaving:
            pool.leaving_ms = None
        elif pool.leaving_ms is None:
            pool.leaving_ms = state.now_ms
        state.dirty.add(f'group/{view.group}')


def takes_work(state: PoolerState, pool: Pool) -> bool:
    """Tell whether an upstream may get statements that it has to lead for.

    A leaving primary serves until its successor leads, but not for long.
    """
    since_ms = pool.leaving_ms
    return since_ms is None or (
        state.now_ms < since_ms + state.cfg.leaving_work_ms
    )


def _drop_pool(state: PoolerState, name: str) -> None:
    pool = state.pools.pop(name)
    group = group_of(state, pool.view.group)
    if group.primary == name:
        group.primary = None
    for number in [*pool.conns, pool.monitor]:
        conn = state.conns.get(number)
        # A statement in flight still gets its answer.
        if conn is not None and not conn.owner and not conn.steps:
            discard(state, conn, 'upstream has left')


def note_proxies(state: PoolerState) -> None:
    """Count the proxies that share the upstreams' connections.

    One that has been removed may only be cut off from control, and still
    hold its connections.
    """
    seen = state.proxies_seen_ms
    for member in state.published.members.values():
        if member.role == 'proxy':
            seen[member.name] = state.now_ms
    for name, last_ms in list(seen.items()):
        if state.now_ms >= last_ms + PROXY_MEMORY_MS:
            del seen[name]


def connection_limit(state: PoolerState, pool: Pool) -> int:
    """Return how many statement connections this process may have open."""
    stated = [
        view.max_connections
        for view in state.published.endpoints.values()
        if view.group == pool.view.group and view.max_connections
    ]
    allowed = min(stated, default=DEFAULT_CONNECTIONS)
    proxies = max(1, len(state.proxies_seen_ms))
    share = (allowed - RESERVED_CONNECTIONS) // proxies
    if share > SCARCE_CONNECTIONS:
        share -= 1  # for probes
    return max(MIN_CONNECTIONS, share)


def open_connection(
    state: PoolerState, view: UpstreamView, purpose: str
) -> UpstreamConn:
    """Start to open a connection to an upstream."""
    conn = UpstreamConn(
        conn=state.next_conn,
        upstream=view.name,
        purpose=purpose,  # type: ignore[arg-type]
    )
    state.next_conn -= 1
    state.conns[conn.conn] = conn
    conn.steps.append(Step(kind='open', sent_ms=state.now_ms))
    state.out.append(
        Connect(
            conn=conn.conn,
            peer=view.name,
            host=view.host,
            port=view.port,
            purpose=purpose,
            group=view.group,
            timeout_ms=int(state.cfg.open_timeout_ms),
        )
    )
    return conn


def may_open(state: PoolerState, pool: Pool) -> bool:
    """Tell whether another statement connection may be opened now."""
    if state.now_ms < pool.retry_at_ms or pool.reach in ('refused', 'silent'):
        return False
    return len(pool.conns) < connection_limit(state, pool)


def add_connection(state: PoolerState, pool: Pool) -> None:
    """Open one more statement connection."""
    conn = open_connection(state, pool.view, 'statements')
    pool.conns.add(conn.conn)
    count(state, 'upstream_opens')


def discard(state: PoolerState, conn: UpstreamConn, reason: str) -> None:
    """Close a connection and forget it."""
    close(state, conn.conn, reason, abort=True)
    state.conns.pop(conn.conn, None)
    pool = state.pools.get(conn.upstream)
    if pool is None:
        return
    pool.conns.discard(conn.conn)
    if pool.monitor == conn.conn:
        pool.monitor = 0


def note_open_failed(state: PoolerState, pool: Pool) -> None:
    """Delay the next attempt after a connection could not be opened."""
    pool.failures += 1
    ceiling = min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** min(pool.failures, 4))
    pause = ceiling * (0.5 + state.rng.random() / 2)
    pool.retry_at_ms = state.now_ms + pause
    schedule(state, f'group/{pool.view.group}', pool.retry_at_ms)


def replay_session(
    state: PoolerState, conn: UpstreamConn, session: Session
) -> list[Internal]:
    """Return what puts a session's values onto a connection."""
    if conn.session == session.conn and conn.epoch == session.epoch:
        return []
    messages = [Internal(action='reset')] if conn.session else []
    for name, value in session.values.items():
        messages.append(Internal(action='set', name=name, argument=value))
    for name, shape in session.prepared.items():
        messages.append(Internal(action='prepare', name=name, argument=shape))
    has_values = bool(session.values or session.prepared)
    conn.session = session.conn if has_values else 0
    conn.epoch = session.epoch
    for _ in messages:
        conn.steps.append(Step(kind='replay', sent_ms=state.now_ms))
    return messages


def send_internal(
    state: PoolerState, conn: UpstreamConn, kind: StepKind, message: Internal
) -> None:
    """Send a statement of this process's own."""
    conn.steps.append(Step(kind=kind, sent_ms=state.now_ms))
    send(state, conn.conn, message)


def ask_upstream(state: PoolerState, asker: int, asked: AskUpstream) -> None:
    """Pass a request of control on; it asks again if nothing comes back."""
    pool = state.pools.get(asked.upstream)
    if pool is None:
        return
    conn = _idle_connection(state, pool)
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
    told = UpstreamTold(
        upstream=asked.upstream,
        action=asked.action,
        token=asked.token,
        received=pool.received,
    )
    send(state, step.asker, told)


def note_applied(
    state: PoolerState, pool: Pool, position: LogPosition
) -> None:
    """Take the position that an upstream has applied by now."""
    pool.applied = position
    pool.applied_ms = state.now_ms


def note_latency(pool: Pool, taken_ms: float) -> None:
    """Take the time of one statement into the moving average."""
    pool.latency_ms += LATENCY_WEIGHT * (taken_ms - pool.latency_ms)


def note_leader(
    state: PoolerState, pool: Pool, sent_ms: float, position: LogPosition
) -> None:
    """Take an answer that proves that an upstream led when asked."""
    group = group_of(state, pool.view.group)
    pool.leads = True
    pool.term = max(pool.term, position.term)
    if group.primary != pool.view.name:
        log(
            state,
            'info',
            'primary_found',
            group=group.name,
            upstream=pool.view.name,
            before=group.primary,
            position=list(position),
        )
        group.primary = pool.view.name
        state.dirty.add(f'group/{group.name}')
    group.samples.add(sent_ms, position)


def note_not_leader(state: PoolerState, pool: Pool, why: str) -> None:
    """Take an answer that shows that an upstream does not lead."""
    pool.leads = False
    group = group_of(state, pool.view.group)
    if group.primary == pool.view.name:
        group.primary = None
        log(
            state,
            'warning',
            'primary_lost',
            group=group.name,
            upstream=pool.view.name,
            reason=why,
        )
        for other in state.pools.values():
            if other.view.group == group.name:
                schedule(state, f'probe/{other.view.name}', state.now_ms)


def on_probe_due(state: PoolerState, name: str) -> None:
    """Probe an upstream, or notice that it has not answered."""
    pool = state.pools.get(name)
    if pool is not None:
        _probe(state, pool)


def _probe(state: PoolerState, pool: Pool) -> None:
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
    pause_ms = _probe_pause(state, pool)
    schedule(state, f'probe/{pool.view.name}', state.now_ms + pause_ms)


def _awaits_probe(conn: UpstreamConn) -> bool:
    return bool(conn.steps) and conn.steps[0].kind in PROBE_STEPS


def _start_probe(state: PoolerState, pool: Pool) -> None:
    """Probe on an idle connection; without one, on one of its own."""
    conn = _idle_connection(state, pool)
    if conn is not None:
        _send_probe(state, pool, conn)
    elif pool.monitor:
        return
    else:
        conn = open_connection(state, pool.view, 'monitor')
        pool.monitor = conn.conn
        pool.probe_sent_ms = state.now_ms
    pool.probe_conn = conn.conn


def _idle_connection(state: PoolerState, pool: Pool) -> UpstreamConn | None:
    numbers = [*sorted(pool.conns), pool.monitor]
    conns = [state.conns[n] for n in numbers if n in state.conns]
    return next((conn for conn in conns if conn.is_idle), None)


def _drop_idle_monitor(state: PoolerState, pool: Pool) -> None:
    """Give up the connection for probes while statements show enough."""
    conn = state.conns.get(pool.monitor)
    if conn is None or not conn.is_idle or not pool.conns:
        return
    if state.now_ms >= pool.probe_sent_ms + MONITOR_IDLE_MS:
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
    if group_of(state, pool.view.group).primary is None:
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


def doubt(state: PoolerState, pool: Pool) -> None:
    """Probe an upstream at once: a connection to it has ended."""
    pool.doubted = True
    schedule(state, f'probe/{pool.view.name}', state.now_ms)


def note_reach(state: PoolerState, pool: Pool, reach: str) -> None:
    """Take what a probe shows of an upstream's reachability."""
    if reach == 'up':
        pool.heard_ms = state.now_ms
        pool.failures = 0
        pool.doubted = False
    if pool.reach == reach:
        return
    log(
        state,
        'info' if reach == 'up' else 'warning',
        'upstream_reach',
        upstream=pool.view.name,
        before=pool.reach,
        reach=reach,
        last_answer_ms=round(state.now_ms - pool.heard_ms),
    )
    pool.reach = reach  # type: ignore[assignment]
    state.dirty.add(f'group/{pool.view.group}')
    # Control decides on a promotion by what most proxies see.
    schedule(state, 'report', state.now_ms)
    if reach != 'up':
        note_not_leader(state, pool, reach)
        state.dirty.add(f'silent/{pool.view.name}')


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
    if step.kind == 'status':
        if answer.signature and answer.rows:
            _take_status(state, pool, answer)
        state.dirty.add(f'group/{pool.view.group}')
        return
    if step.kind == 'probe_begin':
        if answer.signature:
            undo = Internal(action='rollback')
            send_internal(state, conn, 'probe_rollback', undo)
        if answer.signature and answer.position is not None:
            note_leader(state, pool, step.sent_ms, answer.position)
        elif answer.code == 'not_primary':
            note_not_leader(state, pool, 'not_primary')
        # Reads that waited for this upstream to catch up may go on.
        state.dirty.add(f'group/{pool.view.group}')


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
