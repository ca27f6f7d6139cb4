"""Upstream connections: limits, opening, closing and session replay."""

from __future__ import annotations

from jackdawpost.core.connection_shares import guaranteed_connections
from jackdawpost.core.connection_shares import is_scarce
from jackdawpost.core.effects import Connect
from jackdawpost.core.messages.session import Internal
from jackdawpost.core.outbox import count
from jackdawpost.core.outbox import send
from jackdawpost.core.pooler.state import close
from jackdawpost.core.pooler.state import get_group
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import RequestKind
from jackdawpost.core.pooler.state import Session
from jackdawpost.core.pooler.state import UpstreamConn
from jackdawpost.core.pooler.state import UpstreamRequest
from jackdawpost.core.published import UpstreamView

# Longer than any network partition after which a proxy is expected to
# return.
REMOVED_PROXY_RETENTION_MS = 60_000.0
# Connections to an upstream that a pooler may open on demand where there is no
# guaranteed share. The upstream refuses the ones that it has no room for.
SCARCE_CONNECTIONS = 2
# Delays before the next attempt after an upstream had no room for a
# connection. Other poolers keep theirs for a fraction of a second.
MIN_NO_ROOM_DELAY_MS = 15.0
MAX_NO_ROOM_DELAY_MS = 120.0
MIN_REOPEN_DELAY_MS = 50.0
MAX_REOPEN_DELAY_MS = 500.0


def update_known_proxies(state: PoolerState) -> None:
    """Update the set of proxies that share the upstreams' connections.

    A removed proxy counts for `REMOVED_PROXY_RETENTION_MS` more: it may only
    be partitioned from control and still hold its connections.
    """
    last_seen_ms = state.proxies_last_seen_ms
    for member in state.published.members.values():
        if member.role == 'proxy':
            last_seen_ms[member.name] = state.now_ms
    for name, seen_ms in list(last_seen_ms.items()):
        if state.now_ms >= seen_ms + REMOVED_PROXY_RETENTION_MS:
            del last_seen_ms[name]


def connection_limit(state: PoolerState, pool: Pool) -> int:
    """Return how many connections to an upstream this pooler may open.

    Each proxy gets an equal share of the connections that are not reserved.
    Where it is below 1, connections are opened on demand.
    """
    allowed = get_group(state, pool.view.group).max_connections
    share = guaranteed_connections(allowed, len(state.proxies_last_seen_ms))
    return share or SCARCE_CONNECTIONS


def has_scarce_connections(state: PoolerState, pool: Pool) -> bool:
    """Return whether an upstream accepts fewer connections than poolers."""
    allowed = get_group(state, pool.view.group).max_connections
    return is_scarce(allowed, len(state.proxies_last_seen_ms))


def open_connection(
    state: PoolerState, view: UpstreamView, purpose: str, tenant: str = ''
) -> UpstreamConn:
    """Start opening a connection to an upstream."""
    conn = UpstreamConn(
        conn=state.next_conn,
        upstream=view.name,
        purpose=purpose,  # type: ignore[arg-type]
        tenant=tenant,
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
    """Return whether another statement connection may be opened now."""
    return is_openable(state, pool) and count_connections(
        pool
    ) < connection_limit(state, pool)


def is_openable(state: PoolerState, pool: Pool) -> bool:
    """Return whether an attempt to open a connection may succeed now."""
    return state.now_ms >= pool.retry_at_ms and pool.reachability not in (
        'refused',
        'silent',
    )


def count_connections(pool: Pool) -> int:
    """Return the number of connections that count towards the limit."""
    return len(pool.conns) + bool(pool.monitor)


def open_statement_connection(
    state: PoolerState, pool: Pool, tenant: str
) -> None:
    """Open one more connection for the statements of a tenant."""
    conn = open_connection(state, pool.view, 'statements', tenant)
    pool.conns.add(conn.conn)
    count(state, 'upstream_opens')


def convert_idle_monitor(
    state: PoolerState, pool: Pool
) -> UpstreamConn | None:
    """Convert an idle monitor connection to a statement connection.

    The first statements of a pooler need not wait for another connection
    then. At the connection limit there can be no other: with a limit of one,
    statements would wait forever. Probes can use any idle connection.
    """
    conn = state.conns.get(pool.monitor)
    if conn is None or not conn.is_idle:
        return None
    if pool.conns and count_connections(pool) < connection_limit(state, pool):
        return None
    conn.purpose = 'statements'
    pool.conns.add(conn.conn)
    pool.monitor = 0
    return conn


def close_idle_connection(state: PoolerState, pool: Pool, tenant: str) -> bool:
    """Make room for a connection of a tenant at the connection limit.

    Closes the idle connection of other tenants that has been unused for the
    longest time.

    Returns
    -------
    bool
        False if every connection is in use or belongs to the tenant.
    """
    conns = [state.conns[number] for number in pool.conns]
    idle = [c for c in conns if c.is_idle and c.tenant != tenant]
    monitor = state.conns.get(pool.monitor)
    if not idle and tenant and monitor is not None and monitor.is_idle:
        idle = [monitor]
    if not idle:
        return False
    count(state, 'upstream_tenant_changes')
    close_upstream_conn(
        state,
        min(idle, key=lambda conn: conn.used_ms),
        'needed for another tenant',
    )
    return True


def close_upstream_conn(
    state: PoolerState, conn: UpstreamConn, reason: str
) -> None:
    """Close an upstream connection and remove it from the state."""
    close(state, conn.conn, reason, abort=True)
    state.conns.pop(conn.conn, None)
    pool = state.pools.get(conn.upstream)
    if pool is None:
        return
    pool.conns.discard(conn.conn)
    if pool.monitor == conn.conn:
        pool.monitor = 0


def on_open_failed(state: PoolerState, pool: Pool, has_no_room: bool) -> None:
    """Back off, with jitter, after a connection could not be opened."""
    pool.failures += 1
    if has_no_room and has_scarce_connections(state, pool):
        ceiling = min(
            MAX_NO_ROOM_DELAY_MS,
            MIN_NO_ROOM_DELAY_MS * 2 ** min(pool.failures, 4),
        )
        pool.retry_at_ms = state.now_ms + ceiling * (0.5 + state.rng.random())
        return
    ceiling = min(
        MAX_REOPEN_DELAY_MS, MIN_REOPEN_DELAY_MS * 2 ** min(pool.failures, 4)
    )
    delay = ceiling * (0.5 + state.rng.random() / 2)
    pool.retry_at_ms = state.now_ms + delay


def prepare_replay(
    state: PoolerState, conn: UpstreamConn, session: Session
) -> list[Internal]:
    """Return the messages that replay a session's values on a connection."""
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
    """Send a statement that is the pooler's own, not a caller's."""
    conn.pending_requests.append(
        UpstreamRequest(kind=kind, sent_ms=state.now_ms)
    )
    send(state, conn.conn, message)


def send_rollback(
    state: PoolerState, conn: UpstreamConn, kind: RequestKind = 'rollback'
) -> None:
    """Roll back the transaction that is open on a connection."""
    send_internal(state, conn, kind, Internal(action='rollback'))


def find_idle_connection(
    state: PoolerState, pool: Pool
) -> UpstreamConn | None:
    """Return an idle statement or monitor connection to an upstream."""
    numbers = [*sorted(pool.conns), pool.monitor]
    conns = [state.conns[n] for n in numbers if n in state.conns]
    return next((conn for conn in conns if conn.is_idle), None)
