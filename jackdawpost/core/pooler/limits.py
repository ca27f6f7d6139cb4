"""How much work a pooler gives to an upstream, and what it refuses early.

Upstreams are shared with other proxies, whose load is not known. What they
refuse for lack of a slot lowers the number of statements that run there at a
time; each success raises it a little (additive increase, multiplicative
decrease).
"""

from __future__ import annotations

from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import PoolGroup
from jackdawpost.core.pooler.state import StatementTask

MIN_CONCURRENCY = 1.0
DECREASE_FACTOR = 0.7
# A full round of statements raises the limit by this much.
INCREASE_PER_ROUND = 0.5
# Refusals of one burst lower the limit once.
DECREASE_COOLDOWN_MS = 50.0
# Weight of the newest gap in the mean time between two answers.
ANSWER_INTERVAL_WEIGHT = 0.2
# Longer gaps are pauses of the callers, not the pace of the upstreams.
MAX_ANSWER_INTERVAL_MS = 500.0
# A statement that has to wait for a larger part of its time is refused: the
# rest is for its run, and for another attempt of the caller.
MAX_QUEUE_TIME_SHARE = 0.5
# One that has waited for more than this is not started any more: it needs
# the rest to run.
LATEST_START_SHARE = 0.6


def count_running(state: PoolerState, pool: Pool) -> int:
    """Return how many statements outside transactions run at an upstream."""
    return sum(
        1
        for number in pool.conns
        if state.conns[number].pending_requests
        and not state.conns[number].txn_session
    )


def is_below_limit(state: PoolerState, pool: Pool) -> bool:
    """Tell whether another statement may run at an upstream."""
    return count_running(state, pool) < max(
        MIN_CONCURRENCY, int(pool.concurrency_limit)
    )


def raise_limit(pool: Pool) -> None:
    """Raise the limit after a success."""
    pool.concurrency_limit += INCREASE_PER_ROUND / max(
        MIN_CONCURRENCY, pool.concurrency_limit
    )


def lower_limit(state: PoolerState, pool: Pool) -> None:
    """Lower the limit after a refusal for lack of a slot."""
    if state.now_ms < pool.limit_lowered_ms + DECREASE_COOLDOWN_MS:
        return
    pool.limit_lowered_ms = state.now_ms
    at_most = max(MIN_CONCURRENCY, float(count_running(state, pool)))
    pool.concurrency_limit = max(
        MIN_CONCURRENCY, min(pool.concurrency_limit, at_most) * DECREASE_FACTOR
    )


def record_answer_interval(state: PoolerState, group: PoolGroup) -> None:
    """Take the time since the group's previous answer.

    It shows the pace of the upstreams only if statements waited all the
    while; otherwise it is that of the callers.
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


def is_too_late_to_start(
    state: PoolerState, group: PoolGroup, task: StatementTask
) -> bool:
    """Tell whether a statement should no longer be started.

    It would end too late and cost others their time. While no upstream
    leads, waiting costs nobody anything.
    """
    if group.primary is None:
        return False
    if task.attempts and not task.refusal_code:
        # It is here again because an upstream was lost, not for the load.
        return False
    waited_ms = state.now_ms - task.arrived_ms
    return waited_ms >= task.endpoint.timeout_ms * LATEST_START_SHARE


def would_wait_too_long(group: PoolGroup, task: StatementTask) -> bool:
    """Tell whether a statement would wait for most of its time."""
    ahead = sum(
        1
        for other in group.waiting
        if other.endpoint.priority <= task.endpoint.priority
    )
    return (
        ahead * group.mean_answer_interval_ms
        > task.endpoint.timeout_ms * MAX_QUEUE_TIME_SHARE
    )
