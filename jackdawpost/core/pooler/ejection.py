"""Use of the evidence on failing upstreams, and repetition of failed reads.

Only standalone reads that accept a replica are considered: they can be
repeated on another upstream, which tells a failing upstream from a failing
statement.
"""

from __future__ import annotations

from jackdawpost.core.outbox import count
from jackdawpost.core.outbox import log
from jackdawpost.core.pooler.failing_upstreams import add_answer
from jackdawpost.core.pooler.failing_upstreams import add_failure
from jackdawpost.core.pooler.failing_upstreams import admits
from jackdawpost.core.pooler.failing_upstreams import eject
from jackdawpost.core.pooler.failing_upstreams import failures_and_total
from jackdawpost.core.pooler.failing_upstreams import must_eject
from jackdawpost.core.pooler.stalls import record_failure
from jackdawpost.core.pooler.state import FailedAttempt
from jackdawpost.core.pooler.state import get_group
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import schedule
from jackdawpost.core.pooler.state import StatementTask
from jackdawpost.core.retry import SLOW_START_MS

# Reads that may be repeated in addition to a share of all reads, for each
# upstream of the group.
REPEATED_READS_PER_UPSTREAM = 10


def without_ejected(
    pools: list[Pool], task: StatementTask, now_ms: float
) -> list[Pool]:
    """Return the upstreams that may get a read; all if none may."""
    admitting = [
        pool for pool in pools if admits(pool.evidence, task.number, now_ms)
    ]
    return admitting or pools


def try_spend_repeat(state: PoolerState, task: StatementTask) -> bool:
    """Use the retry budget of a group to repeat a read, if it allows it."""
    budget = get_group(state, task.endpoint.group).repeated_reads
    if budget.try_spend():
        count(state, 'reads_repeated')
        return True
    count(state, 'reads_unrepeated')
    return False


def has_repeats(state: PoolerState, task: StatementTask) -> bool:
    """Return whether the retry budget allows to repeat a read."""
    if get_group(state, task.endpoint.group).repeated_reads.available >= 1:
        return True
    count(state, 'reads_unrepeated')
    return False


def has_other_upstream(
    state: PoolerState, pool: Pool, task: StatementTask
) -> bool:
    """Return whether another upstream may run a read that has failed.

    A read that has run without a required position needs the primary.
    """
    return task.required_position is not None and any(
        other.view.name not in task.excluded_upstreams
        for other in _others(state, pool)
    )


def is_comparable(task: StatementTask) -> bool:
    """Return whether the failure of a statement may be compared."""
    return task.target == 'any' and not task.is_write and not task.in_txn


def may_be_compared(
    state: PoolerState, pool: Pool, task: StatementTask
) -> bool:
    """Return whether another upstream shows if a failure is its fault.

    Until then, the failure is no sign of a stall either. A caller whose reads
    always failed made all upstreams of the group count as stalled.
    """
    return is_comparable(task) and (
        task.error is not None or has_other_upstream(state, pool, task)
    )


def note_failed_read(
    pool: Pool, task: StatementTask, is_answered: bool
) -> None:
    """Remember on which upstream a read has failed or stayed unanswered."""
    if is_comparable(task) and pool.reachability == 'up':
        attempt = FailedAttempt(
            upstream=pool.view.name,
            sent_ms=task.sent_ms,
            is_answered=is_answered,
        )
        task.failed_attempts.append(attempt)


def record_read(state: PoolerState, pool: Pool, task: StatementTask) -> None:
    """Record a successful read, and its earlier failures on others."""
    if not is_comparable(task):
        return
    add_answer(pool.evidence, state.now_ms)
    for attempt in task.failed_attempts:
        failed = state.pools.get(attempt.upstream)
        if failed is None or failed is pool:
            continue
        if attempt.is_answered:
            # Lost statements have been recorded already.
            record_failure(state, failed, attempt.sent_ms)
        _record_failed_read(state, failed)


def on_return_due(state: PoolerState, name: str) -> None:
    """Log the end of an ejection and start queued reads."""
    pool = state.pools.get(name)
    if pool is None or state.now_ms < pool.evidence.ejected_until_ms:
        return
    log(
        state,
        'info',
        'upstream_readmitted',
        upstream=name,
        ejections=pool.evidence.ejections,
        reach=pool.reachability,
    )
    state.dirty.add(f'group/{pool.view.group}')


def _record_failed_read(state: PoolerState, pool: Pool) -> None:
    evidence = pool.evidence
    if state.now_ms < evidence.ejected_until_ms:
        # The read was sent before the ejection.
        return
    add_failure(evidence, state.now_ms)
    others = [other.evidence for other in _others(state, pool)]
    if not must_eject(evidence, others, state.now_ms):
        return
    failures, total = failures_and_total(evidence, state.now_ms)
    duration_ms = eject(evidence, state.now_ms)
    group = get_group(state, pool.view.group)
    group.ejections_end_ms = max(
        group.ejections_end_ms, evidence.ejected_until_ms + SLOW_START_MS
    )
    count(state, 'upstream_ejections')
    log(
        state,
        'warning',
        'upstream_ejected',
        upstream=pool.view.name,
        failed_reads=failures,
        reads=total,
        others=len(others),
        ejections=evidence.ejections,
        hold_ms=round(duration_ms),
    )
    schedule(state, f'return/{pool.view.name}', evidence.ejected_until_ms)


def _others(state: PoolerState, pool: Pool) -> list[Pool]:
    """Return the other upstreams of a group that reads can use."""
    return [
        other
        for other in state.pools.values()
        if other is not pool
        and other.view.group == pool.view.group
        and not other.view.leaving
        and other.reachability == 'up'
        and state.now_ms >= other.evidence.ejected_until_ms
    ]
