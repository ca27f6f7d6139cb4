"""Choice among the upstreams that can serve a read, and its counters."""

from __future__ import annotations

from jackdawpost.core.outbox import count
from jackdawpost.core.pooler.balancing import Candidate
from jackdawpost.core.pooler.balancing import rank
from jackdawpost.core.pooler.state import get_group
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState

# Additional latency of a read in another region.
CROSS_REGION_PENALTY_MS = 30.0


def order_for_read(state: PoolerState, pools: list[Pool]) -> list[Pool]:
    """Return the pools in the order in which to try them.

    The order is kept until a statement starts or time passes. Otherwise a
    long queue would be ranked anew, statement by statement, without anything
    that could start.
    """
    if len(pools) < 2:
        return pools
    group = get_group(state, pools[0].view.group)
    busy = [_count_busy(state, pool) for pool in pools]
    names = [pool.view.name for pool in pools]
    key = (state.now_ms, tuple(names), tuple(busy))
    if group.read_order_key != key:
        candidates = [
            Candidate(
                name=pool.view.name,
                outstanding=outstanding,
                load=pool.load,
                slots=pool.view.slots,
                distance_ms=_distance_ms(state, pool),
            )
            for pool, outstanding in zip(pools, busy, strict=True)
        ]
        ranked = rank(candidates, state.rng, state.now_ms)
        group.read_order_key = key
        group.read_order = [item.name for item in ranked]
    return [state.pools[name] for name in group.read_order]


def count_read(state: PoolerState, ranked: list[Pool], used: Pool) -> None:
    """Count how a read was placed.

    Parameters
    ----------
    ranked : list of Pool
        Upstreams that could serve the read, in the order of the choice.
    used : Pool
        Upstream that it is sent to.
    """
    if len(ranked) < 2:
        return
    count(state, 'reads_balanced')
    if used is not ranked[0]:
        # The first choice had no idle connection.
        count(state, 'reads_second_choice')
    fastest = min(ranked, key=lambda pool: expected_latency_ms(state, pool))
    if ranked[0] is not fastest:
        count(state, 'reads_not_to_fastest')
    if _distance_ms(state, used):
        count(state, 'reads_in_other_region')


def expected_latency_ms(state: PoolerState, pool: Pool) -> float:
    """Return the latency that a read on an upstream is expected to have."""
    busy = _count_busy(state, pool)
    return pool.latency_ms * (1 + busy) + _distance_ms(state, pool)


def _count_busy(state: PoolerState, pool: Pool) -> int:
    return sum(
        1 for number in pool.conns if state.conns[number].pending_requests
    )


def _distance_ms(state: PoolerState, pool: Pool) -> float:
    region = state.cfg.regions.get(pool.view.data_centre)
    return 0.0 if region == state.cfg.region else CROSS_REGION_PENALTY_MS
