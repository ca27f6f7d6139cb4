"""Connections to upstreams: how many, opening, session replay."""

from __future__ import annotations

from jackdawpost.core.effects import Connect
from jackdawpost.core.messages.session import Internal
from jackdawpost.core.outbox import count
from jackdawpost.core.outbox import send
from jackdawpost.core.pooler.state import close
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import schedule
from jackdawpost.core.pooler.state import Session
from jackdawpost.core.pooler.state import Step
from jackdawpost.core.pooler.state import StepKind
from jackdawpost.core.pooler.state import UpstreamConn
from jackdawpost.core.published import UpstreamView

# Connections left to control, to newcomers' checks and to members on their
# way in, out of those that an upstream allows.
RESERVED_CONNECTIONS = 3
DEFAULT_CONNECTIONS = 20
# Longer than any cut after which a proxy is expected back.
PROXY_MEMORY_MS = 60_000.0
MIN_CONNECTIONS = 1
RETRY_MIN_MS = 50.0
RETRY_MAX_MS = 500.0


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
    state.outbox.append(
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
    return open_count(pool) < connection_limit(state, pool)


def open_count(pool: Pool) -> int:
    """Return the connections that count against this process's share."""
    return len(pool.conns) + bool(pool.monitor)


def add_connection(state: PoolerState, pool: Pool) -> None:
    """Open one more statement connection."""
    conn = open_connection(state, pool.view, 'statements')
    pool.conns.add(conn.conn)
    count(state, 'upstream_opens')


def adopt_monitor(state: PoolerState, pool: Pool) -> UpstreamConn | None:
    """Give statements the idle connection that was opened for probes.

    Where this process may have one connection only, statements would wait
    for ever for another; probes use any that is idle.
    """
    conn = state.conns.get(pool.monitor)
    if conn is None or not conn.is_idle:
        return None
    if open_count(pool) < connection_limit(state, pool):
        return None
    conn.purpose = 'statements'
    pool.conns.add(conn.conn)
    pool.monitor = 0
    return conn


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


def send_rollback(
    state: PoolerState, conn: UpstreamConn, kind: StepKind = 'rollback'
) -> None:
    """End a transaction that this process has begun."""
    send_internal(state, conn, kind, Internal(action='rollback'))


def idle_connection(state: PoolerState, pool: Pool) -> UpstreamConn | None:
    numbers = [*sorted(pool.conns), pool.monitor]
    conns = [state.conns[n] for n in numbers if n in state.conns]
    return next((conn for conn in conns if conn.is_idle), None)
