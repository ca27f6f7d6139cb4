"""Admission of statements to the queue of a group."""

from __future__ import annotations

from jackdawpost.core.outbox import count
from jackdawpost.core.pooler.endpoint_peaks import has_place
from jackdawpost.core.pooler.fair_queue import FairTag
from jackdawpost.core.pooler.overload import exceeds_timeout
from jackdawpost.core.pooler.overload import misses_objective
from jackdawpost.core.pooler.overload import retry_after_ms
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import PoolGroup
from jackdawpost.core.pooler.state import StatementTask


def find_refusal(
    state: PoolerState, group: PoolGroup, task: StatementTask, tag: FairTag
) -> str:
    """Return why a new statement is refused; empty if it is queued.

    It is refused if the queue has no place for its endpoint, if its expected
    wait is too long for its timeout, or if its objective cannot be met and
    no statement of a lower priority is queued, which would yield first.
    """
    queue = group.waiting
    endpoint = task.endpoint
    if not has_place(queue.by_endpoint, endpoint.name):
        count(state, 'queue_refused_full')
        drain_ms = len(queue) * group.mean_answer_interval_ms
        text = f'too many statements are queued ({len(queue)})'
        return _with_retry_time(state, text, drain_ms)
    starts = queue.expected_starts(task, tag)
    wait_ms = starts * group.mean_answer_interval_ms
    if exceeds_timeout(wait_ms, endpoint.timeout_ms):
        count(state, 'queue_refused_timeout')
        text = (
            'too many statements are queued to run this one in time '
            f'(expected wait {wait_ms:.0f} ms, '
            f'timeout {endpoint.timeout_ms} ms)'
        )
        return _with_retry_time(state, text, wait_ms)
    slot_ms = queue.costs.expected_ms(endpoint.name, task.is_write)
    if misses_objective(
        wait_ms, slot_ms, endpoint.objective_ms
    ) and queue.is_lowest_priority(endpoint.priority):
        count(state, 'queue_refused_objective')
        text = (
            'too many statements are queued to meet the objective '
            f'(expected wait {wait_ms:.0f} ms, '
            f'objective {endpoint.objective_ms} ms)'
        )
        return _with_retry_time(state, text, wait_ms)
    return ''


def describe_expiry(state: PoolerState, group: PoolGroup) -> str:
    """Return the error text for a statement that has waited for too long."""
    count(state, 'queue_expired')
    drain_ms = len(group.waiting) * group.mean_answer_interval_ms
    text = 'queued for too long to finish in time'
    return _with_retry_time(state, text, drain_ms)


def _with_retry_time(state: PoolerState, text: str, drain_ms: float) -> str:
    return f'{text}; retry after {retry_after_ms(drain_ms, state.rng)} ms'
