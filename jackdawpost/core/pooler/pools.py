"""Creation and removal of connection pools as published upstreams change."""

from __future__ import annotations

from jackdawpost.core.outbox import log
from jackdawpost.core.pooler.connections import close_upstream_conn
from jackdawpost.core.pooler.connections import has_scarce_connections
from jackdawpost.core.pooler.connections import update_known_proxies
from jackdawpost.core.pooler.ejection import REPEATED_READS_PER_UPSTREAM
from jackdawpost.core.pooler.probes import on_probe_due
from jackdawpost.core.pooler.state import DEFAULT_MAX_CONNECTIONS
from jackdawpost.core.pooler.state import get_group
from jackdawpost.core.pooler.state import LONG_AGO_MS
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import schedule_probe
from jackdawpost.core.pooler.watching import update_watched_upstreams


def sync_pools(state: PoolerState) -> None:
    """Update the pools to match the published upstreams.

    A pool is replaced if the data identity of its upstream has changed, since
    that is another database under the same name.
    """
    update_known_proxies(state)
    _update_group_limits(state)
    known = state.watched_upstreams
    published = state.published.upstreams
    for name in [name for name in state.pools if name not in published]:
        _remove_pool(state, name)
    for name, view in published.items():
        pool = state.pools.get(name)
        if pool is not None and pool.view.data_id != view.data_id:
            _remove_pool(state, name)
            pool = None
        if pool is None:
            state.pools[name] = Pool(view=view)
            on_probe_due(state, name)
        else:
            pool.view = view
        pool = state.pools[name]
        if not view.leaving:
            pool.leaving_since_ms = None
        elif pool.leaving_since_ms is None:
            told_ms = state.leaving_ms.get((name, view.data_id), LONG_AGO_MS)
            pool.leaving_since_ms = max(told_ms, state.confirmed_ms)
            log(
                state,
                'info',
                'upstream_leaving',
                upstream=name,
                at_most_ms=round(state.now_ms - pool.leaving_since_ms),
                told=told_ms > LONG_AGO_MS,
                confirmed_ms=round(state.now_ms - state.confirmed_ms),
            )
        state.dirty.add(f'group/{view.group}')
    state.leaving_ms = {
        key: since_ms
        for key, since_ms in state.leaving_ms.items()
        if key[0] in state.pools and not published[key[0]].leaving
    }
    update_watched_upstreams(state)
    for name in state.watched_upstreams - known:
        schedule_probe(state, state.pools[name], state.now_ms)
    _follow_published_primaries(state)


def _follow_published_primaries(state: PoolerState) -> None:
    """Use the published primaries whose connections are scarce.

    Most poolers have no connection on which it could prove itself. A
    statement that needs the primary is refused by any other upstream.
    """
    for name, view in state.published.groups.items():
        pool = state.pools.get(view.primary or '')
        group = get_group(state, name)
        if pool is None or group.primary == pool.view.name:
            continue
        if has_scarce_connections(state, pool) and not pool.suspected:
            if pool.reachability in ('', 'up'):
                group.primary = pool.view.name


def _update_group_limits(state: PoolerState) -> None:
    """Derive the limits of each group from the endpoints that use it."""
    connections: dict[str, int] = {}
    ages_ms: dict[str, float] = {}
    for view in state.published.endpoints.values():
        name = view.group
        if view.max_connections:
            connections[name] = min(
                view.max_connections,
                connections.get(name, view.max_connections),
            )
        if view.max_age_ms:
            ages_ms[name] = min(
                view.max_age_ms, ages_ms.get(name, view.max_age_ms)
            )
    for name in state.published.groups:
        group = get_group(state, name)
        group.max_connections = connections.get(name, DEFAULT_MAX_CONNECTIONS)
        group.min_age_ms = ages_ms.get(name)
        upstreams = sum(
            1
            for view in state.published.upstreams.values()
            if view.group == name
        )
        group.repeated_reads.resize(upstreams * REPEATED_READS_PER_UPSTREAM)


def _remove_pool(state: PoolerState, name: str) -> None:
    pool = state.pools.pop(name)
    group = get_group(state, pool.view.group)
    if group.primary == name:
        group.primary = None
        group.search_from_ms = state.now_ms
    for number in [*pool.conns, pool.monitor]:
        conn = state.conns.get(number)
        # Statements in flight still get their answers.
        if (
            conn is not None
            and not conn.txn_session
            and not conn.pending_requests
        ):
            close_upstream_conn(state, conn, 'upstream removed')
