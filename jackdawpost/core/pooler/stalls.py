"""Stall detection: circuit breaker for upstreams that complete no statements.

A health check and a begin need no execution slot. They succeed even on a
database whose executors hang or that fails every statement. Only the results
of statements reveal such a stall. Refusals for lack of a slot do not count
as failures, since a database that is merely full still completes other
statements.
"""

from __future__ import annotations

from jackdawpost.core.outbox import log
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.upstreams import set_reachability

# An upstream is stalled if no statement succeeds on it for this time, or for
# `STALL_TIMEOUT_LATENCIES` times its mean latency if that is longer. A
# statement on a full database of the deployed size takes about 500 ms (48
# queued, 6 slots, 55 ms per statement), which must not count as a stall.
MIN_STALL_TIMEOUT_MS = 800.0
STALL_TIMEOUT_LATENCIES = 3.0
# Minimum number of failed or unanswered statements for a stall. A single
# failure may be caused by the statement itself.
MIN_STALL_STATEMENTS = 3
# Failures of statements that were sent longer ago are discarded.
FAILURE_RETENTION_MS = 3_000.0
# Cool-down in which a stalled upstream receives no statements, doubled with
# each further stall. It leaves control enough time to collect the reports of
# most proxies and to replace a primary.
INITIAL_COOLDOWN_MS = 2_000.0
MAX_COOLDOWN_MS = 8_000.0


def record_success(state: PoolerState, pool: Pool) -> None:
    """Record a successful statement and end a cool-down."""
    pool.last_success_ms = state.now_ms
    _forget_failures(pool)
    pool.stalls = 0
    if state.now_ms < pool.stalled_until_ms:
        pool.stalled_until_ms = state.now_ms
        set_reachability(state, pool, 'up')


def record_failure(
    state: PoolerState, pool: Pool, sent_ms: float, session: int = 0
) -> None:
    """Record a failed or lost statement, which was sent at `sent_ms`.

    Parameters
    ----------
    session : int
        Session whose statement the upstream answered with an error; 0 if
        there was no answer.
    """
    if pool.reachability != 'up':
        return
    pool.failed_sent_ms.append(sent_ms)
    pool.failed_sessions.append(session)
    while pool.failed_sent_ms[0] < state.now_ms - FAILURE_RETENTION_MS:
        pool.failed_sent_ms.popleft()
        pool.failed_sessions.popleft()
        if not pool.failed_sent_ms:
            return
    if session and set(pool.failed_sessions) == {session}:
        # One caller that repeats a faulty statement proves nothing. It could
        # make every pooler report a healthy primary as stalled.
        return
    _mark_if_stalled(state, pool, min(pool.failed_sent_ms))


def detect_stall(state: PoolerState, pool: Pool) -> None:
    """Mark an upstream as stalled if it leaves statements unanswered."""
    outstanding = _outstanding_sent_ms(state, pool)
    if pool.reachability == 'up' and outstanding:
        _mark_if_stalled(state, pool, min(outstanding))


def _mark_if_stalled(
    state: PoolerState, pool: Pool, oldest_sent_ms: float
) -> None:
    timeout_ms = max(
        MIN_STALL_TIMEOUT_MS, pool.latency_ms * STALL_TIMEOUT_LATENCIES
    )
    without_success_ms = state.now_ms - max(
        oldest_sent_ms, pool.last_success_ms
    )
    if without_success_ms < timeout_ms:
        return
    statements = len(pool.failed_sent_ms) + len(
        _outstanding_sent_ms(state, pool)
    )
    if statements < MIN_STALL_STATEMENTS:
        return
    _forget_failures(pool)
    cooldown_ms = min(MAX_COOLDOWN_MS, INITIAL_COOLDOWN_MS * 2**pool.stalls)
    pool.stalls += 1
    pool.stalled_until_ms = state.now_ms + cooldown_ms
    log(
        state,
        'warning',
        'upstream_stalled',
        upstream=pool.view.name,
        statements=statements,
        without_success_ms=round(without_success_ms),
        limit_ms=round(timeout_ms),
        hold_ms=round(cooldown_ms),
    )
    set_reachability(state, pool, 'stalled')


def _forget_failures(pool: Pool) -> None:
    pool.failed_sent_ms.clear()
    pool.failed_sessions.clear()


def _outstanding_sent_ms(state: PoolerState, pool: Pool) -> list[float]:
    """Return the send times of all unanswered statements."""
    return [
        request.sent_ms
        for number in pool.conns
        for request in state.conns[number].pending_requests
        if request.kind == 'statement'
    ]
