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
from jackdawpost.core.pooler.upstreams import note_reach

# Longer than a statement waits and runs on a full database: a queue of 48
# before 6 slots and 55 ms a statement (the deployments' own sizes) take
# 500 ms.
STALL_MS = 800.0
# The same in mean times that the upstream takes for a statement.
STALL_LATENCIES = 3.0
# A single failure may be the statement's own.
MIN_UNSERVED = 3
# Older failures do not count any more.
UNSERVED_MEMORY_MS = 3_000.0
# Time for which a stalled upstream gets no statements; twice as long each
# time that it stalls again. Control needs a part of it to hear most proxies
# and replace a primary.
HOLD_MS = 2_000.0
MAX_HOLD_MS = 8_000.0


def note_success(state: PoolerState, pool: Pool) -> None:
    """Take a statement that an upstream has run to its end."""
    pool.served_ms = state.now_ms
    pool.unserved.clear()
    pool.stalls = 0
    if state.now_ms < pool.stalled_until_ms:
        pool.stalled_until_ms = state.now_ms
        note_reach(state, pool, 'up')


def note_unserved(state: PoolerState, pool: Pool, sent_ms: float) -> None:
    """Take a statement, accepted at `sent_ms`, that failed or was lost."""
    if pool.reach != 'up':
        return
    pool.unserved.append(sent_ms)
    while pool.unserved[0] < state.now_ms - UNSERVED_MEMORY_MS:
        pool.unserved.popleft()
        if not pool.unserved:
            return
    _judge(state, pool, min(pool.unserved))


def look_for_stall(state: PoolerState, pool: Pool) -> None:
    """Take an upstream for stalled that has answered nothing for too long."""
    outstanding = _outstanding_ms(state, pool)
    if pool.reach == 'up' and outstanding:
        _judge(state, pool, min(outstanding))


def _judge(state: PoolerState, pool: Pool, first_ms: float) -> None:
    limit_ms = max(STALL_MS, pool.latency_ms * STALL_LATENCIES)
    without_ms = state.now_ms - max(first_ms, pool.served_ms)
    if without_ms < limit_ms:
        return
    tried = len(pool.unserved) + len(_outstanding_ms(state, pool))
    if tried < MIN_UNSERVED:
        return
    pool.unserved.clear()
    hold_ms = min(MAX_HOLD_MS, HOLD_MS * 2**pool.stalls)
    pool.stalls += 1
    pool.stalled_until_ms = state.now_ms + hold_ms
    log(
        state,
        'warning',
        'upstream_stalled',
        upstream=pool.view.name,
        statements=tried,
        without_success_ms=round(without_ms),
        limit_ms=round(limit_ms),
        hold_ms=round(hold_ms),
    )
    note_reach(state, pool, 'stalled')


def _outstanding_ms(state: PoolerState, pool: Pool) -> list[float]:
    """Return when the statements were sent that have no answer yet."""
    return [
        step.sent_ms
        for number in pool.conns
        for step in state.conns[number].steps
        if step.kind == 'statement'
    ]
