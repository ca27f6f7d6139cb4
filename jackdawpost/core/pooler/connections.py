"""Connections to upstreams: how many, opening, session replay."""

from __future__ import annotations

from jackdawpost.core.effects import Connect
from jackdawpost.core.messages.session import Internal
from jackdawpost.core.outbox import count
from jackdawpost.core.outbox import send
from jackdawpost.core.pooler.state import close
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import RequestKind
from jackdawpost.core.pooler.state import schedule
from jackdawpost.core.pooler.state import Session
from jackdawpost.core.pooler.state import UpstreamConn
from jackdawpost.core.pooler.state import UpstreamRequest
from jackdawpost.core.published import UpstreamView

# Connections left to control, to newcomers' checks and to members on their
# way in, out of those that an upstream allows.
RESERVED_CONNECTIONS = 3
DEFAULT_MAX_CONNECTIONS = 20
# Longer than any cut after which a proxy is expected back.
REMOVED_PROXY_RETENTION_MS = 60_000.0
MIN_CONNECTIONS = 1
MIN_REOPEN_DELAY_MS = 50.0
MAX_REOPEN_DELAY_MS = 500.0


def update_known_proxies(state: PoolerState) -> None:
    """Count the proxies that share the upstreams' connections.

    One that has been removed may only be cut off from control, and still
    hold its connections.
    """
    last_seen_ms = state.proxies_last_seen_ms
    for member in state.published.members.values():
        if member.role == 'proxy':
            last_seen_ms[member.name] = state.now_ms
    for name, seen_ms in list(last_seen_ms.items()):
        if state.now_ms >= seen_ms + REMOVED_PROXY_RETENTION_MS:
            del last_seen_ms[name]


def connection_limit(state: PoolerState, pool: Pool) -> int:
    """Return how many statement connections this process may have open."""
    declared = [
        view.max_connections
        for view in state.published.endpoints.values()
        if view.group == pool.view.group and view.max_connections
    ]
    allowed = min(declared, default=DEFAULT_MAX_CONNECTIONS)
    proxies = max(1, len(state.proxies_last_seen_ms))
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
    conn.pending_requests.append(
        UpstreamRequest(kind='open', sent_ms=state.now_ms)
    )
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


def can_open_connection(state: PoolerState, pool: Pool) -> bool:
    """Tell whether another statement connection may be opened now."""
    if state.now_ms < pool.retry_at_ms or pool.reachability in (
        'refused',
        'silent',
    ):
        return False
    return count_connections(pool) < connection_limit(state, pool)


def count_connections(pool: Pool) -> int:
    """Return the connections that count against this process's share."""
    return len(pool.conns) + bool(pool.monitor)


def open_statement_connection(state: PoolerState, pool: Pool) -> None:
    """Open one more statement connection."""
    conn = open_connection(state, pool.view, 'statements')
    pool.conns.add(conn.conn)
    count(state, 'upstream_opens')


def convert_idle_monitor(
    state: PoolerState, pool: Pool
) -> UpstreamConn | None:
    """Give statements the idle connection that was opened for probes.

    Where this process may have one connection only, statements would wait
    for ever for another; probes use any that is idle.
    """
    conn = state.conns.get(pool.monitor)
    if conn is None or not conn.is_idle:
        return None
    if count_connections(pool) < connection_limit(state, pool):
        return None
    conn.purpose = 'statements'
    pool.conns.add(conn.conn)
    pool.monitor = 0
    return conn


def close_upstream_conn(
    state: PoolerState, conn: UpstreamConn, reason: str
) -> None:
    """Close a connection and forget it."""
    close(state, conn.conn, reason, abort=True)
    state.conns.pop(conn.conn, None)
    pool = state.pools.get(conn.upstream)
    if pool is None:
        return
    pool.conns.discard(conn.conn)
    if pool.monitor == conn.conn:
        pool.monitor = 0


def on_open_failed(state: PoolerState, pool: Pool) -> None:
    """Delay the next attempt after a connection could not be opened."""
    pool.failures += 1
    ceiling = min(
        MAX_REOPEN_DELAY_MS, MIN_REOPEN_DELAY_MS * 2 ** min(pool.failures, 4)
    )
    delay = ceiling * (0.5 + state.rng.random() / 2)
    pool.retry_at_ms = state.now_ms + delay
    schedule(state, f'group/{pool.view.group}', pool.retry_at_ms)


def prepare_replay(
    state: PoolerState, conn: UpstreamConn, session: Session
) -> list[Internal]:
    """Return what puts a session's values onto a connection."""
    if (
        conn.replayed_session == session.conn
        and conn.replayed_epoch == session.epoch
    ):
        return []
    messages = [Internal(action='reset')] if conn.replayed_session else []
    for name, value in session.values.items():
        messages.append(Internal(action='set', name=name, argument=value))
    for name, shape in session.prepared.items():
        messages.append(Internal(action='prepare', name=name, argument=shape))
    has_values = bool(session.values or session.prepared)
    conn.replayed_session = session.conn if has_values else 0
    conn.replayed_epoch = session.epoch
    for _ in messages:
        conn.pending_requests.append(
            UpstreamRequest(kind='replay', sent_ms=state.now_ms)
        )
    return messages


def send_internal(
    state: PoolerState,
    conn: UpstreamConn,
    kind: RequestKind,
    message: Internal,
) -> None:
    """Send a statement of this process's own."""
    conn.pending_requests.append(
        UpstreamRequest(kind=kind, sent_ms=state.now_ms)
    )
    send(state, conn.conn, message)


def send_rollback(
    state: PoolerState, conn: UpstreamConn, kind: RequestKind = 'rollback'
) -> None:
    """End a transaction that this process has begun."""
    send_internal(state, conn, kind, Internal(action='rollback'))


def find_idle_connection(
    state: PoolerState, pool: Pool
) -> UpstreamConn | None:
    numbers = [*sorted(pool.conns), pool.monitor]
    conns = [state.conns[n] for n in numbers if n in state.conns]
    return next((conn for conn in conns if conn.is_idle), None)
