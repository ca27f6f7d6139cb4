"""Upstreams that answer probes, but do not get statements done.

A health check and a begin take no slot, so they succeed on a database whose
executors hang, or that fails whatever it runs. Only the outcomes of
statements show that. Refusals for lack of a slot are no evidence: a
database that is merely full serves others meanwhile.
"""

from __future__ import annotations

from jackdawpost.core.outbox import log
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.upstreams import set_reachability

# Longer than a statement waits and runs on a full database: a queue of 48
# before 6 slots and 55 ms a statement (the deployments' own sizes) take
# 500 ms.
MIN_STALL_TIMEOUT_MS = 800.0
# The same in mean times that the upstream takes for a statement.
STALL_TIMEOUT_LATENCIES = 3.0
# A single failure may be the statement's own.
MIN_STALL_STATEMENTS = 3
# Older failures do not count any more.
FAILURE_RETENTION_MS = 3_000.0
# Time for which a stalled upstream gets no statements; twice as long each
# time that it stalls again. Control needs a part of it to hear most proxies
# and replace a primary.
MIN_SUSPENSION_MS = 2_000.0
MAX_SUSPENSION_MS = 8_000.0


def record_success(state: PoolerState, pool: Pool) -> None:
    """Take a statement that an upstream has run to its end."""
    pool.last_success_ms = state.now_ms
    pool.failed_sent_ms.clear()
    pool.stalls = 0
    if state.now_ms < pool.stalled_until_ms:
        pool.stalled_until_ms = state.now_ms
        set_reachability(state, pool, 'up')


def record_failure(state: PoolerState, pool: Pool, sent_ms: float) -> None:
    """Take a statement, accepted at `sent_ms`, that failed or was lost."""
    if pool.reachability != 'up':
        return
    pool.failed_sent_ms.append(sent_ms)
    while pool.failed_sent_ms[0] < state.now_ms - FAILURE_RETENTION_MS:
        pool.failed_sent_ms.popleft()
        if not pool.failed_sent_ms:
            return
    _mark_if_stalled(state, pool, min(pool.failed_sent_ms))


def detect_stall(state: PoolerState, pool: Pool) -> None:
    """Take an upstream for stalled that has answered nothing for too long."""
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
    pool.failed_sent_ms.clear()
    suspension_ms = min(MAX_SUSPENSION_MS, MIN_SUSPENSION_MS * 2**pool.stalls)
    pool.stalls += 1
    pool.stalled_until_ms = state.now_ms + suspension_ms
    log(
        state,
        'warning',
        'upstream_stalled',
        upstream=pool.view.name,
        statements=statements,
        without_success_ms=round(without_success_ms),
        limit_ms=round(timeout_ms),
        hold_ms=round(suspension_ms),
    )
    set_reachability(state, pool, 'stalled')


def _outstanding_sent_ms(state: PoolerState, pool: Pool) -> list[float]:
    """Return when the statements were sent that have no answer yet."""
    return [
        request.sent_ms
        for number in pool.conns
        for request in state.conns[number].pending_requests
        if request.kind == 'statement'
    ]
