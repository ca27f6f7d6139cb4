"""Invariants of a run, checked on the records of callers and databases."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

from jackdawpost_standin.line_database import Commit
from jackdawpost_standin.line_database import ExecutedRead
from soak.callers import NO_COMMIT_CODES
from soak.callers import Operation
from soak.foreign_reports import FOREIGN_REQUEST
from soak.platform_standin import MAX_STALENESS_MS

# A request sent less than this before its connection ends may not have been
# read (the platform's `lossSlackMs`).
UNREAD_REQUEST_WINDOW_S = 0.2


@dataclass(slots=True, kw_only=True)
class Evidence:
    """Records of a run, from callers and databases.

    Parameters
    ----------
    operations : list of Operation
        Operations of all callers.
    log : list of Commit
        Log of the last primary.
    rolled_back : list of Commit
        Commits removed by promotions.
    reads : list of ExecutedRead
        Reads executed by all databases.
    is_async : bool
        True if commits were acknowledged without waiting for a replica. A
        promotion may then roll back acknowledged commits.
    """

    operations: list[Operation]
    log: list[Commit]
    rolled_back: list[Commit]
    reads: list[ExecutedRead]
    is_async: bool


def find_violations(evidence: Evidence) -> list[str]:
    """Return a description of each violation of an invariant."""
    return [
        *_find_duplicate_commits(evidence),
        *_find_mixed_commits(evidence),
        *_find_foreign_commits(evidence),
        *_find_lost_writes(evidence),
        *_find_committed_failures(evidence),
        *_find_malformed_answers(evidence),
        *_find_stale_reads(evidence),
    ]


def _request_ids(commits: Iterable[Commit]) -> list[str]:
    return [write[0] for commit in commits for write in commit.writes]


def _find_duplicate_commits(evidence: Evidence) -> list[str]:
    counts = Counter(_request_ids([*evidence.log, *evidence.rolled_back]))
    return [
        f'duplicate: write {request_id} was committed {count} times'
        for request_id, count in counts.items()
        if count > 1
    ]


def _find_mixed_commits(evidence: Evidence) -> list[str]:
    """Find commits that contain writes of more than one operation."""
    owners = {
        request_id: id(operation)
        for operation in evidence.operations
        for request_id in operation.writes
    }
    return [
        f'mixed: commit {commit.position} contains writes of several '
        f'operations: {commit.writes}'
        for commit in [*evidence.log, *evidence.rolled_back]
        if len({owners.get(write[0]) for write in commit.writes}) > 1
    ]


def _find_foreign_commits(evidence: Evidence) -> list[str]:
    """Find writes that a status report has smuggled to a database."""
    return [
        f'unasked: commit {commit.position} contains {commit.writes}'
        for commit in [*evidence.log, *evidence.rolled_back]
        if any(write[0] == FOREIGN_REQUEST for write in commit.writes)
    ]


def _find_lost_writes(evidence: Evidence) -> list[str]:
    committed = set(_request_ids(evidence.log))
    if evidence.is_async:
        committed |= set(_request_ids(evidence.rolled_back))
    return [
        f'lost: acknowledged writes are missing in the log: {op}'
        for op in evidence.operations
        if op.outcome == 'done' and not committed.issuperset(op.writes)
    ]


def _find_committed_failures(evidence: Evidence) -> list[str]:
    committed = set(_request_ids([*evidence.log, *evidence.rolled_back]))
    return [
        f'committed: writes of a failed or rolled back operation: {operation}'
        for operation in evidence.operations
        if operation.outcome in NO_COMMIT_CODES | {'rolled back'}
        and committed.intersection(operation.writes)
    ]


def _find_malformed_answers(evidence: Evidence) -> list[str]:
    return [
        f'malformed: {operation}'
        for operation in evidence.operations
        if operation.outcome.startswith('malformed')
    ]


def _find_stale_reads(evidence: Evidence) -> list[str]:
    """Find reads that missed commits needed by the route's consistency."""
    reads_by_signature: dict[str, list[ExecutedRead]] = defaultdict(list)
    for read in evidence.reads:
        reads_by_signature[f'{read.database}.{read.request}'].append(read)
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
    violations = []
    for operation in evidence.operations:
        for signature in operation.answered:
            reads = reads_by_signature.get(signature)
            if not reads:
                continue
            # A read that was retried may have been executed several times.
            seen = max(execution.position for execution in reads)
            needed = _needed_position(operation, acknowledged)
            if seen < needed:
                violations.append(
                    f'stale: {signature} was executed at position {seen}, '
                    f'expected at least {needed}: {operation}'
                )
    return violations


def _needed_position(
    operation: Operation,
    acknowledged: list[tuple[float, int, tuple[int, int]]],
) -> tuple[int, int]:
    """Return the lowest position at which a read may be executed.

    ``orders`` reads from the primary and needs all writes acknowledged before
    the operation began. The other databases need those older than the maximum
    staleness, ``returns`` also those of its own session.

    Parameters
    ----------
    acknowledged : list of tuple
        End, session and position of each acknowledged write, sorted.
    """
    needed = (0, 0)
    staleness_s = (
        0.0 if operation.database == 'orders' else MAX_STALENESS_MS / 1_000
    )
    for ended_s, session, position in acknowledged:
        if ended_s >= operation.began_s:
            break
        is_own = session == operation.session
        if ended_s < operation.began_s - staleness_s or (
            is_own and operation.database == 'returns'
        ):
            needed = max(needed, position)
    return needed


def find_unanswered_statements(
    evidence: Evidence, shutdowns: Mapping[str, list[tuple[float, float]]]
) -> list[str]:
    """Return the single statements that a graceful shutdown left unanswered.

    A statement counts if a database executed it, or if it was sent more than
    `UNREAD_REQUEST_WINDOW_S` before its connection ended.

    Parameters
    ----------
    shutdowns : dict of str to list of tuple
        Start and end of each graceful shutdown, by edge. Shutdowns of
        processes that were also killed or paused are not included.
    """
    executed = {read.request for read in evidence.reads}
    executed |= set(_request_ids([*evidence.log, *evidence.rolled_back]))
    return [
        f'unanswered: statement interrupted by the shutdown of {op.edge}: {op}'
        for op in evidence.operations
        if op.outcome == 'lost' and op.kind == 'single'
        for stop_s, exit_s in shutdowns.get(op.edge, [])
        if stop_s <= op.ended_s <= exit_s + UNREAD_REQUEST_WINDOW_S
        and (
            op.ended_s > op.began_s + UNREAD_REQUEST_WINDOW_S
            or executed.intersection([*op.reads, *op.writes])
        )
    ]


def find_failures_after_recovery(
    operations: list[Operation], recovered_s: float
) -> list[str]:
    """Return the failed operations among those begun after the recovery."""
    completed = [
        op for op in operations if op.began_s >= recovered_s and op.outcome
    ]
    if not completed:
        return ['unrecovered: no operation completed after the recovery time']
    return [
        f'unrecovered: {operation}'
        for operation in completed
        if operation.outcome not in ('done', 'rolled back')
    ]
