"""Pools of connections follow the published upstreams."""

from __future__ import annotations

from jackdawpost.core.pooler.connections import discard
from jackdawpost.core.pooler.connections import note_proxies
from jackdawpost.core.pooler.probes import on_probe_due
from jackdawpost.core.pooler.state import group_of
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState


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
            on_probe_due(state, name)
        else:
            pool.view = view
        pool = state.pools[name]
        if not view.leaving:
            pool.leaving_ms = None
        elif pool.leaving_ms is None:
            pool.leaving_ms = state.now_ms
        state.dirty.add(f'group/{view.group}')


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
