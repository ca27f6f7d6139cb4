"""Observed state of upstreams: role, position, latency and reachability."""

from __future__ import annotations

from jackdawpost.core.outbox import log
from jackdawpost.core.pooler.leases import is_covered
from jackdawpost.core.pooler.state import get_group
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import schedule
from jackdawpost.core.pooler.state import schedule_probe
from jackdawpost.core.positions import LogPosition

LATENCY_WEIGHT = 0.2  # of the latest statement in the moving average


def accepts_statements(state: PoolerState, pool: Pool) -> bool:
    """Return whether a primary may receive new statements.

    A leaving primary receives statements until its successor leads, but for
    no longer than `PoolerConfig.leaving_work_ms`.
    """
    leaving_since_ms = pool.leaving_since_ms
    return leaving_since_ms is None or (
        state.now_ms < leaving_since_ms + state.cfg.leaving_work_ms
    )


def record_applied(
    state: PoolerState, pool: Pool, position: LogPosition
) -> None:
    """Record the log position that an upstream has applied."""
    pool.applied = position
    pool.applied_ms = state.now_ms


def record_latency(pool: Pool, duration_ms: float) -> None:
    """Update the moving average of the latency of statements."""
    pool.latency_ms += LATENCY_WEIGHT * (duration_ms - pool.latency_ms)


def record_leadership(
    state: PoolerState, pool: Pool, sent_ms: float, position: LogPosition
) -> None:
    """Record proof that an upstream was the primary at `sent_ms`.

    Without a lease, the answer proves only that the upstream believes to be
    the primary. Control is told of it, but nothing else depends on it.
    """
    group = get_group(state, pool.view.group)
    if not pool.leads:
        # Control may wait for this to end a promotion.
        schedule(state, 'report', state.now_ms)
    pool.leads = True
    pool.term = max(pool.term, position.term)
    if not is_covered(state, pool):
        return
    if group.primary != pool.view.name and pool.reachability != 'stalled':
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


def clear_leadership(state: PoolerState, pool: Pool, reason: str) -> None:
    """Record that an upstream is not the primary, or is out of service."""
    pool.leads = False
    group = get_group(state, pool.view.group)
    if group.primary == pool.view.name:
        group.primary = None
        group.search_from_ms = state.now_ms
        log(
            state,
            'warning',
            'primary_lost',
            group=group.name,
            upstream=pool.view.name,
            reason=reason,
        )
        for other in state.pools.values():
            if other.view.group == group.name:
                schedule_probe(state, other, state.now_ms)


def drop_replaced_primaries(state: PoolerState) -> None:
    """Stop using primaries that control has replaced, if leases are needed.

    Such a primary does not refuse statements by itself.
    """
    if not state.cfg.needs_leases:
        return
    for group in state.groups.values():
        view = state.published.groups.get(group.name)
        pool = state.pools.get(group.primary or '')
        if view is None or pool is None or view.primary == group.primary:
            continue
        clear_leadership(state, pool, 'replaced')


def suspect(state: PoolerState, pool: Pool) -> None:
    """Probe an upstream at once, e.g. because a connection has ended."""
    pool.suspected = True
    schedule_probe(state, pool, state.now_ms)


def set_reachability(
    state: PoolerState, pool: Pool, reachability: str
) -> None:
    """Set the reachability of an upstream, and report changes to control."""
    if reachability == 'up':
        pool.last_contact_ms = state.now_ms
        pool.failures = 0
        pool.suspected = False
        if state.now_ms < pool.stalled_until_ms:
            # An answer to a probe does not end a stall.
            reachability = 'stalled'
    if pool.reachability == reachability:
        return
    log(
        state,
        'info' if reachability == 'up' else 'warning',
        'upstream_reach',
        upstream=pool.view.name,
        before=pool.reachability,
        reach=reachability,
        last_answer_ms=round(state.now_ms - pool.last_contact_ms),
    )
    pool.reachability = reachability  # type: ignore[assignment]
    state.dirty.add(f'group/{pool.view.group}')
    # Control bases promotions on the reports of a majority of proxies.
    schedule(state, 'report', state.now_ms)
    if reachability != 'up':
        clear_leadership(state, pool, reachability)
        state.dirty.add(f'unreachable/{pool.view.name}')
