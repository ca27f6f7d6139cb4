"""Promises, checked from what callers and databases saw."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

from jackdawpost_standin.line_database import Commit
from jackdawpost_standin.line_database import ExecutedRead
from soak.callers import NOT_KEPT
from soak.callers import Operation
from soak.outside import STALENESS_MS

# The platform's `lossSlackMs`: a request sent so shortly before a connection
# ends may not have been read.
LOSS_SLACK_S = 0.2


@dataclass(slots=True, kw_only=True)
class Evidence:
    """What a run has left behind.

    Parameters
    ----------
    log : list of Commit
        Log of the last primary.
    rolled_back : list of Commit
        Commits that promotions have dropped.
    may_roll_back : bool
        No replica had to hold a commit before it was acknowledged.
    """

    operations: list[Operation]
    log: list[Commit]
    rolled_back: list[Commit]
    reads: list[ExecutedRead]
    may_roll_back: bool


def find_breaches(evidence: Evidence) -> list[str]:
    """Return what was promised and not kept, one text for each case."""
    return [
        *_twice(evidence),
        *_mixed(evidence),
        *_lost(evidence),
        *_kept_after_refusal(evidence),
        *_malformed(evidence),
        *_stale(evidence),
    ]


def _ids(commits: Iterable[Commit]) -> list[str]:
    return [write[0] for commit in commits for write in commit.writes]


def _twice(evidence: Evidence) -> list[str]:
    counts = Counter(_ids([*evidence.log, *evidence.rolled_back]))
    return [
        f'twice: write {request} was committed {number} times'
        for request, number in counts.items()
        if number > 1
    ]


def _mixed(evidence: Evidence) -> list[str]:
    """Find commits that hold statements of two operations."""
    owners = {
        request: id(operation)
        for operation in evidence.operations
        for request in operation.writes
    }
    return [
        f'mixed: commit {commit.position} holds {commit.writes}'
        for commit in [*evidence.log, *evidence.rolled_back]
        if len({owners.get(write[0]) for write in commit.writes}) > 1
    ]


def _lost(evidence: Evidence) -> list[str]:
    held = set(_ids(evidence.log))
    if evidence.may_roll_back:
        held |= set(_ids(evidence.rolled_back))
    return [
        f'lost: acknowledged {op}'
        for op in evidence.operations
        if op.outcome == 'done' and not held.issuperset(op.writes)
    ]


def _kept_after_refusal(evidence: Evidence) -> list[str]:
    kept = set(_ids([*evidence.log, *evidence.rolled_back]))
    return [
        f'kept: although refused: {operation}'
        for operation in evidence.operations
        if operation.outcome in NOT_KEPT | {'rolled back'}
        and kept.intersection(operation.writes)
    ]


def _malformed(evidence: Evidence) -> list[str]:
    return [
        f'malformed: {operation}'
        for operation in evidence.operations
        if operation.outcome.startswith('malformed')
    ]


def _stale(evidence: Evidence) -> list[str]:
    """Find reads of a log that lacks what they had to see."""
    ran: dict[str, list[ExecutedRead]] = defaultdict(list)
    for read in evidence.reads:
        ran[f'{read.database}.{read.request}'].append(read)
    position_of = {
        write[0]: commit.position
        for commit in evidence.log
        for write in commit.writes
    }
    acknowledged = sorted(
        (op.ended_s, op.session, position_of[op.writes[0]])
        for op in evidence.operations
        if op.outcome == 'done' and op.writes and op.writes[0] in position_of
    )
    breaches = []
    for operation in evidence.operations:
        for signature in operation.answered:
            runs = ran.get(signature)
            if not runs:
                continue
            seen = max(run.position for run in runs)
            needed = _needed(operation, acknowledged)
            if seen < needed:
                breaches.append(
                    f'stale: {signature} saw {seen}, not {needed}: {operation}'
                )
    return breaches


def _needed(
    operation: Operation,
    acknowledged: list[tuple[float, int, tuple[int, int]]],
) -> tuple[int, int]:
    """Return the newest position that a read of an operation must see."""
    needed = (0, 0)
    age_s = 0.0 if operation.database == 'orders' else STALENESS_MS / 1_000
    for ended_s, session, position in acknowledged:
        if ended_s >= operation.began_s:
            break
        is_own = session == operation.session
        if ended_s < operation.began_s - age_s or (
            is_own and operation.database == 'returns'
        ):
            needed = max(needed, position)
    return needed


def find_cut_answers(
    evidence: Evidence, drains: Mapping[str, list[tuple[float, float]]]
) -> list[str]:
    """Return the operations that a graceful stop has cut off.

    Parameters
    ----------
    drains : dict of str to list of tuple
        Time from the request to stop to the end of the process, for each
        edge whose run was not disturbed otherwise.
    """
    ran = {read.request for read in evidence.reads}
    ran |= set(_ids([*evidence.log, *evidence.rolled_back]))
    return [
        f'cut: by the stop of {op.edge}: {op}'
        for op in evidence.operations
        if op.outcome == 'lost' and op.kind == 'single'
        for began_s, ended_s in drains.get(op.edge, [])
        if began_s <= op.ended_s <= ended_s + LOSS_SLACK_S
        and (
            op.ended_s > op.began_s + LOSS_SLACK_S
            or ran.intersection([*op.reads, *op.writes])
        )
    ]


def find_unrecovered(operations: list[Operation], since_s: float) -> list[str]:
    """Return what did not succeed although every fault was long over."""
    late = [op for op in operations if op.began_s >= since_s and op.outcome]
    if not late:
        return ['unrecovered: no operation was tried after the faults']
    return [
        f'unrecovered: {operation}'
        for operation in late
        if operation.outcome not in ('done', 'rolled back')
    ]
