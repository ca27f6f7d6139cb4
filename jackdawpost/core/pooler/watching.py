"""Which upstreams a pooler watches: partial watching in large deployments.

In a small deployment every pooler keeps connections to all upstreams and
probes them. Connections and probes of an upstream then grow with the number of
poolers. In a large one a pooler watches the primaries, on whose failure the
majority of all poolers decides, the upstreams of its own region, which serve
its reads, and those that it has used lately. The poolers of the other regions
watch the rest. All upstreams of a group are watched while its primary is
unknown. Where an upstream accepts fewer connections than there are poolers,
only a few of them watch it, see `jackdawpost.core.connection_shares`.
"""

from __future__ import annotations

from jackdawpost.core.connection_shares import is_watcher
from jackdawpost.core.pooler.connections import has_scarce_connections
from jackdawpost.core.pooler.state import get_group
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import PoolGroup

# Number of proxies up to which each watches all upstreams and probes them at
# the shortest intervals.
MAX_WATCHING_ALL = 16
# An upstream counts as used for this time after a statement has run there.
USE_MS = 5_000.0
# Control asks another pooler before this time has passed.
POSITION_REQUEST_TTL_MS = 400.0


def is_large(state: PoolerState) -> bool:
    """Return whether upstreams are watched by a part of the poolers."""
    return len(state.proxies_last_seen_ms) > MAX_WATCHING_ALL


def is_watched(state: PoolerState, pool: Pool) -> bool:
    """Return whether this pooler watches an upstream."""
    if has_scarce_connections(state, pool):
        return (
            pool.suspected
            or pool.view.name in state.watched_upstreams
            or _needs_proof(state, pool)
        )
    if not is_large(state) or pool.suspected or _is_near(state, pool):
        return True
    group = get_group(state, pool.view.group)
    if group.primary is None:
        expected = _expected_primary(state, group)
        return expected is None or expected is pool
    return group.primary == pool.view.name or was_used(state, pool, USE_MS)


def _needs_proof(state: PoolerState, pool: Pool) -> bool:
    """Return whether a primary with scarce connections has to be probed.

    Either this pooler has lost the primary and the published one may lead
    again, or control has asked for the position of the primary.
    """
    group = get_group(state, pool.view.group)
    if group.primary is None:
        view = state.published.groups.get(group.name)
        return view is not None and view.primary == pool.view.name
    demand = group.position_request
    return (
        demand is not None
        and group.primary == pool.view.name
        and state.now_ms < demand.arrived_ms + POSITION_REQUEST_TTL_MS
    )


def is_usable_unwatched(state: PoolerState, pool: Pool) -> bool:
    """Return whether connections to an upstream are opened only on demand.

    Nothing is known of it then, as long as no attempt has failed.
    """
    return (
        not pool.reachability
        and not pool.suspected
        and has_scarce_connections(state, pool)
    )


def update_watched_upstreams(state: PoolerState) -> None:
    """Update the upstreams with few connections that this pooler watches."""
    proxies = [*state.proxies_last_seen_ms]
    state.watched_upstreams = {
        name
        for name, pool in state.pools.items()
        if has_scarce_connections(state, pool)
        and is_watcher(
            state.cfg.name,
            name,
            proxies,
            get_group(state, pool.view.group).max_connections,
        )
    }


def was_used(state: PoolerState, pool: Pool, within_ms: float) -> bool:
    """Return whether a statement has succeeded on an upstream recently."""
    used_ms = pool.last_success_ms
    return used_ms > 0 and state.now_ms < used_ms + within_ms


def _is_near(state: PoolerState, pool: Pool) -> bool:
    region = state.cfg.regions.get(pool.view.data_centre)
    return region == state.cfg.region


def _expected_primary(state: PoolerState, group: PoolGroup) -> Pool | None:
    """Return the published primary if it has not been looked for in vain.

    After its start, a pooler need not search the whole group.
    """
    view = state.published.groups.get(group.name)
    if state.now_ms >= group.search_from_ms or view is None:
        return None
    pool = state.pools.get(view.primary or '')
    if pool is None or pool.reachability not in ('', 'up'):
        return None
    return pool
