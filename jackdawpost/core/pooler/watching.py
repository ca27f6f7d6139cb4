"""Which upstreams a pooler watches: partial watching in large deployments.

In a small deployment every pooler keeps connections to all upstreams and
probes them. Connections and probes of an upstream then grow with the number of
poolers. In a large one a pooler watches the primaries, on whose failure the
majority of all poolers decides, the upstreams of its own region, which serve
its reads, and those that it has used lately. The poolers of the other regions
watch the rest. All upstreams of a group are watched while its primary is
unknown.
"""

from __future__ import annotations

from jackdawpost.core.pooler.state import get_group
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import PoolGroup

# Number of proxies up to which each watches all upstreams and probes them at
# the shortest intervals.
MAX_WATCHING_ALL = 16
# An upstream counts as used for this time after a statement has run there.
USE_MS = 5_000.0


def is_large(state: PoolerState) -> bool:
    """Return whether upstreams are watched by a part of the poolers."""
    return len(state.proxies_last_seen_ms) > MAX_WATCHING_ALL


def is_watched(state: PoolerState, pool: Pool) -> bool:
    """Return whether this pooler watches an upstream."""
    if not is_large(state) or pool.suspected or _is_near(state, pool):
        return True
    group = get_group(state, pool.view.group)
    if group.primary is None:
        expected = _expected_primary(state, group)
        return expected is None or expected is pool
    return group.primary == pool.view.name or was_used(state, pool, USE_MS)


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
