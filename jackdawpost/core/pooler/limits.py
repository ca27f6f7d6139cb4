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
from jackdawpost.core.pooler.state import Work

MIN_RUNNING = 1.0
DECREASE = 0.7
# A full round of statements raises the limit by this much.
INCREASE = 0.5
# Refusals of one burst lower the limit once.
DECREASE_PAUSE_MS = 50.0
# Weight of the newest gap in the mean time between two answers.
GAP_WEIGHT = 0.2
# Longer gaps are pauses of the callers, not the pace of the upstreams.
MAX_GAP_MS = 500.0
# A statement that has to wait for a larger part of its time is refused: the
# rest is for its run, and for another attempt of the caller.
MAX_WAIT_SHARE = 0.5
# One that has waited for more than this is not started any more: it needs
# the rest to run.
START_SHARE = 0.6


def running(state: PoolerState, pool: Pool) -> int:
    """Return how many statements outside transactions run at an upstream."""
    return sum(
        1
        for number in pool.conns
        if state.conns[number].steps and not state.conns[number].owner
    )


def has_room(state: PoolerState, pool: Pool) -> bool:
    """Tell whether another statement may run at an upstream."""
    return running(state, pool) < max(MIN_RUNNING, int(pool.limit))


def note_served(pool: Pool) -> None:
    """Raise the limit after a success."""
    pool.limit += INCREASE / max(MIN_RUNNING, pool.limit)


def note_shed(state: PoolerState, pool: Pool) -> None:
    """Lower the limit after a refusal for lack of a slot."""
    if state.now_ms < pool.shed_ms + DECREASE_PAUSE_MS:
        return
    pool.shed_ms = state.now_ms
    at_most = max(MIN_RUNNING, float(running(state, pool)))
    pool.limit = max(MIN_RUNNING, min(pool.limit, at_most) * DECREASE)


def note_pace(state: PoolerState, group: PoolGroup) -> None:
    """Take the time since the group's previous answer.

    It shows the pace of the upstreams only if statements waited all the
    while; otherwise it is that of the callers.
    """
    gap_ms = state.now_ms - group.answered_ms
    if not group.had_backlog:
        gap_ms = 0.0
    group.answered_ms = state.now_ms
    group.had_backlog = bool(group.waiting)
    if gap_ms < MAX_GAP_MS:
        group.gap_ms += GAP_WEIGHT * (gap_ms - group.gap_ms)


def has_waited_too_long(
    state: PoolerState, group: PoolGroup, work: Work
) -> bool:
    """Tell whether a statement should no longer be started.

    It would end too late and cost others their time. While no upstream
    leads, waiting costs nobody anything.
    """
    if group.primary is None:
        return False
    if work.attempts and not work.refusal:
        # It is here again because an upstream was lost, not for the load.
        return False
    waited_ms = state.now_ms - work.arrived_ms
    return waited_ms >= work.endpoint.timeout_ms * START_SHARE


def must_wait_too_long(group: PoolGroup, work: Work) -> bool:
    """Tell whether a statement would wait for most of its time."""
    ahead = sum(
        1
        for other in group.waiting
        if other.endpoint.priority <= work.endpoint.priority
    )
    return ahead * group.gap_ms > work.endpoint.timeout_ms * MAX_WAIT_SHARE
