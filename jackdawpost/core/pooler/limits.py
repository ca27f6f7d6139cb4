"""Adaptive concurrency limit per upstream, and expiry of queued statements.

Upstreams are shared with other proxies whose load is unknown. Each refusal
for lack of a slot lowers the number of concurrent statements on an upstream,
and each success raises it a little (additive increase, multiplicative
decrease). Statements that have spent too much of their timeout in the queue
are not started.
"""

from __future__ import annotations

from jackdawpost.core.pooler.leases import is_covered
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import PoolGroup
from jackdawpost.core.pooler.state import StatementTask

MIN_CONCURRENCY = 1.0
DECREASE_FACTOR = 0.7
# Added to the limit by one full round of successful statements.
INCREASE_PER_ROUND = 0.5
# A burst of refusals lowers the limit only once.
DECREASE_COOLDOWN_MS = 50.0
# Weight of the latest interval in the moving average.
ANSWER_INTERVAL_WEIGHT = 0.2
# Longer intervals come from idle callers, not from slow upstreams.
MAX_ANSWER_INTERVAL_MS = 500.0
# A statement is not started after this share of its timeout has passed, since
# it needs the rest to run.
LATEST_START_SHARE = 0.6


def count_running(state: PoolerState, pool: Pool) -> int:
    """Return how many statement connections are busy outside transactions.

    A connection that is being opened or probed is busy, too.
    """
    return sum(
        1
        for number in pool.conns
        if state.conns[number].pending_requests
        and not state.conns[number].txn_session
    )


def is_below_limit(state: PoolerState, pool: Pool) -> bool:
    """Return whether an upstream may get another concurrent statement."""
    return count_running(state, pool) < max(
        MIN_CONCURRENCY, int(pool.concurrency_limit)
    )


def raise_limit(pool: Pool) -> None:
    """Raise the concurrency limit after a success."""
    pool.concurrency_limit += INCREASE_PER_ROUND / max(
        MIN_CONCURRENCY, pool.concurrency_limit
    )


def lower_limit(state: PoolerState, pool: Pool) -> None:
    """Lower the concurrency limit after a refusal for lack of a slot."""
    if state.now_ms < pool.limit_lowered_ms + DECREASE_COOLDOWN_MS:
        return
    pool.limit_lowered_ms = state.now_ms
    at_most = max(MIN_CONCURRENCY, float(count_running(state, pool)))
    pool.concurrency_limit = max(
        MIN_CONCURRENCY, min(pool.concurrency_limit, at_most) * DECREASE_FACTOR
    )


def record_answer_interval(state: PoolerState, group: PoolGroup) -> None:
    """Update the mean interval between answers of a group.

    The interval shows how fast the upstreams are only if statements were
    queued all the time. Otherwise it shows how fast callers send, and counts
    as 0.
    """
    interval_ms = state.now_ms - group.last_answer_ms
    if not group.had_backlog:
        interval_ms = 0.0
    group.last_answer_ms = state.now_ms
    group.had_backlog = bool(group.waiting)
    if interval_ms < MAX_ANSWER_INTERVAL_MS:
        group.mean_answer_interval_ms += ANSWER_INTERVAL_WEIGHT * (
            interval_ms - group.mean_answer_interval_ms
        )


def can_expire(state: PoolerState, group: PoolGroup) -> bool:
    """Return whether queued statements that are too late to start fail.

    While no primary can be used, they delay no others and are kept.
    """
    primary = state.pools.get(group.primary or '')
    return primary is not None and is_covered(state, primary)


def is_too_late_to_start(
    state: PoolerState, group: PoolGroup, task: StatementTask
) -> bool:
    """Return whether a queued statement is unlikely to finish in time.

    Starting it would delay other statements in vain.
    """
    if not can_expire(state, group):
        return False
    if task.attempts and not task.refusal_code:
        # Queued again because an upstream was lost, not because of load.
        return False
    return state.now_ms >= latest_start_ms(task)


def latest_start_ms(task: StatementTask) -> float:
    """Return the time from which a statement is not started any more."""
    return task.arrived_ms + task.endpoint.timeout_ms * LATEST_START_SHARE
