"""What is known of upstreams: who leads, how far, how quick, in reach."""

from __future__ import annotations

from jackdawpost.core.outbox import log
from jackdawpost.core.pooler.state import group_of
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import schedule
from jackdawpost.core.positions import LogPosition

LATENCY_WEIGHT = 0.2  # of the newest statement in the moving average


def takes_work(state: PoolerState, pool: Pool) -> bool:
    """Tell whether an upstream may get statements that it has to lead for.

    A leaving primary serves until its successor leads, but not for long.
    """
    since_ms = pool.leaving_ms
    return since_ms is None or (
        state.now_ms < since_ms + state.cfg.leaving_work_ms
    )


def note_applied(
    state: PoolerState, pool: Pool, position: LogPosition
) -> None:
    """Take the position that an upstream has applied by now."""
    pool.applied = position
    pool.applied_ms = state.now_ms


def note_latency(pool: Pool, taken_ms: float) -> None:
    """Take the time of one statement into the moving average."""
    pool.latency_ms += LATENCY_WEIGHT * (taken_ms - pool.latency_ms)


def note_leader(
    state: PoolerState, pool: Pool, sent_ms: float, position: LogPosition
) -> None:
    """Take an answer that proves that an upstream led when asked."""
    group = group_of(state, pool.view.group)
    pool.leads = True
    pool.term = max(pool.term, position.term)
    if group.primary != pool.view.name and pool.reach != 'stalled':
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


def note_not_leader(state: PoolerState, pool: Pool, why: str) -> None:
    """Take an answer that shows that an upstream does not lead."""
    pool.leads = False
    group = group_of(state, pool.view.group)
    if group.primary == pool.view.name:
        group.primary = None
        log(
            state,
            'warning',
            'primary_lost',
            group=group.name,
            upstream=pool.view.name,
            reason=why,
        )
        for other in state.pools.values():
            if other.view.group == group.name:
                schedule(state, f'probe/{other.view.name}', state.now_ms)


def doubt(state: PoolerState, pool: Pool) -> None:
    """Probe an upstream at once: a connection to it has ended."""
    pool.doubted = True
    schedule(state, f'probe/{pool.view.name}', state.now_ms)


def note_reach(state: PoolerState, pool: Pool, reach: str) -> None:
    """Take what a probe shows of an upstream's reachability."""
    if reach == 'up':
        pool.heard_ms = state.now_ms
        pool.failures = 0
        pool.doubted = False
        if state.now_ms < pool.stalled_until_ms:
            # The answer to a probe says nothing of its statements.
            reach = 'stalled'
    if pool.reach == reach:
        return
    log(
        state,
        'info' if reach == 'up' else 'warning',
        'upstream_reach',
        upstream=pool.view.name,
        before=pool.reach,
        reach=reach,
        last_answer_ms=round(state.now_ms - pool.heard_ms),
    )
    pool.reach = reach  # type: ignore[assignment]
    state.dirty.add(f'group/{pool.view.group}')
    # Control decides on a promotion by what most proxies see.
    schedule(state, 'report', state.now_ms)
    if reach != 'up':
        note_not_leader(state, pool, reach)
        state.dirty.add(f'silent/{pool.view.name}')
