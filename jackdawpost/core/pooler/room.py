"""Whether upstreams have room for more statements.

If they have none, queued statements need not be looked at. The answer is the
same for the statements of all callers and may be true in vain, e.g. if the
only idle connection belongs to another tenant.
"""

from __future__ import annotations

from jackdawpost.core.pooler.connections import can_open_connection
from jackdawpost.core.pooler.leases import may_start
from jackdawpost.core.pooler.limits import is_below_limit
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import PoolGroup
from jackdawpost.core.pooler.upstreams import accepts_statements

# Statement connections to an upstream that may be opening at the same time.
MAX_OPENING_CONNECTIONS = 2


def has_room(state: PoolerState, group: PoolGroup, target: str) -> bool:
    """Return whether statements with a target might start in a group.

    Parameters
    ----------
    target : {'primary', 'any'}
        Upstreams that may run the statements.
    """
    primary = state.pools.get(group.primary or '')
    if (
        primary is not None
        and accepts_statements(state, primary)
        and may_start(state, primary)
        and _has_connection(state, primary)
    ):
        return True
    if target == 'primary':
        return False
    return any(
        pool.view.group == group.name
        and not pool.view.leaving
        and pool.reachability in ('', 'up')
        and _has_connection(state, pool)
        for pool in state.pools.values()
    )


def _has_connection(state: PoolerState, pool: Pool) -> bool:
    """Return whether a connection is idle or may be opened."""
    if not is_below_limit(state, pool):
        return False
    numbers = [*pool.conns, pool.monitor] if pool.monitor else pool.conns
    if any(state.conns[n].is_idle for n in numbers if n in state.conns):
        return True
    return (
        can_open_connection(state, pool)
        and count_opening(state, pool) < MAX_OPENING_CONNECTIONS
    )


def count_opening(state: PoolerState, pool: Pool) -> int:
    """Return how many statement connections are being opened."""
    return sum(1 for number in pool.conns if not state.conns[number].opened)
