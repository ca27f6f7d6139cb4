"""Check of a workload's history for violations of consistency.

It compares the outcomes that callers received with the rows that the databases
hold after the run. The workload writes rows ``(request_key, session, seq,
part, parts)``. Each session numbers its writes from 1 and has at most one
write in flight. Therefore the highest number of a session in the rows of a
read shows which acknowledged writes the read includes. A transaction writes
several parts under one request key.
"""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import NamedTuple

from jackdawpost.core.messages.caller import Outcome


@dataclass(slots=True, kw_only=True)
class WriteRecord:
    """A write and the last outcome that its caller received.

    Parameters
    ----------
    seq : int
        Number of the write within its session, counted from 1.
    parts : int
        Rows that the write inserts; more than 1 for a transaction.
    started_ms, ended_ms : float
        Times on the clock of the load generator, in milliseconds.
    """

    group: str
    session: str
    seq: int
    request_key: str
    outcome: Outcome
    started_ms: float
    ended_ms: float
    parts: int = 1
    code: str = ''


@dataclass(slots=True, kw_only=True)
class ReadRecord:
    """A completed read of the highest write number of each session.

    Parameters
    ----------
    session : str
        Session that ran the read.
    seen : mapping of str to int
        Highest write number of each session in the rows.
    max_age_ms : float, optional
        Accepted age of the rows; None for a read of current rows.
    age_ms : float, optional
        Age of the rows that the proxy reported.
    nonce_sent, nonce_received : str
        Text sent with the request, and the text in its answer. They are
        equal unless the answer belongs to another request.
    """

    group: str
    session: str
    seen: Mapping[str, int]
    started_ms: float
    ended_ms: float
    max_age_ms: float | None = None
    age_ms: float | None = None
    source: str = ''
    nonce_sent: str = ''
    nonce_received: str = ''


class StoredRow(NamedTuple):
    """One row in the primary of a group after the run."""

    request_key: str
    session: str
    seq: int
    part: int
    parts: int


@dataclass(slots=True, kw_only=True)
class History:
    """All writes and reads of the callers, with their outcomes."""

    writes: list[WriteRecord] = field(default_factory=list)
    reads: list[ReadRecord] = field(default_factory=list)


class Violation(NamedTuple):
    """One violation of a consistency rule."""

    rule: str
    detail: str


def check_history(
    history: History, stored: Mapping[str, Iterable[StoredRow]]
) -> list[Violation]:
    """Return all violations of the consistency rules in a run.

    Parameters
    ----------
    history : History
        Writes and reads of the callers.
    stored : mapping of str to iterable of StoredRow
        Rows of each group after the run.

    Returns
    -------
    list of Violation
        One for each violation of these rules.

        ``lost_write``
            A row of an acknowledged write is missing.
        ``doubled_write``
            A row of a write is stored more than once.
        ``not_run_but_ran``
            A row of a write with the outcome ``'not_run'`` is stored.
        ``partial_transaction``
            Only some rows of a write are stored.
        ``foreign_row``
            A stored row does not belong to a write of its session.
        ``read_your_writes``
            A read misses an acknowledged write of its own session.
        ``too_old``
            A read misses a write of another session that was acknowledged
            longer than the accepted age before the read started.
        ``age_not_kept``
            The reported age is missing or exceeds the accepted age.
        ``foreign_answer``
            The answer belongs to another request.
    """
    violations: list[Violation] = []
    rows_by_group = {group: list(rows) for group, rows in stored.items()}
    violations += _check_writes(history.writes, rows_by_group)
    violations += _check_foreign_rows(history.writes, rows_by_group)
    acknowledged = _index_acknowledged(history.writes)
    for read in history.reads:
        violations += _check_read(read, acknowledged)
    return violations


def _check_writes(
    writes: list[WriteRecord], stored: Mapping[str, list[StoredRow]]
) -> list[Violation]:
    copies: Counter[tuple[str, str, int]] = Counter(
        (group, row.request_key, row.part)
        for group, rows in stored.items()
        for row in rows
    )
    violations = []
    for write in writes:
        copy_counts = [
            copies[(write.group, write.request_key, part)]
            for part in range(write.parts)
        ]
        violations += _check_write_copies(write, copy_counts)
    return violations


def _check_write_copies(
    write: WriteRecord, copy_counts: list[int]
) -> list[Violation]:
    label = f'{write.group} {write.session}#{write.seq} {write.request_key}'
    violations = []
    if max(copy_counts) > 1:
        violations.append(
            Violation(
                'doubled_write', f'{label}: copies per part {copy_counts}'
            )
        )
    if min(copy_counts) == 0 and max(copy_counts) > 0:
        violations.append(
            Violation(
                'partial_transaction',
                f'{label}: copies per part {copy_counts}',
            )
        )
    if write.outcome == 'done' and min(copy_counts) == 0:
        violations.append(Violation('lost_write', label))
    if write.outcome == 'not_run' and max(copy_counts) > 0:
        violations.append(
            Violation('not_run_but_ran', f'{label}: error code {write.code}')
        )
    return violations


def _check_foreign_rows(
    writes: list[WriteRecord], stored: Mapping[str, list[StoredRow]]
) -> list[Violation]:
    writes_by_key = {(w.group, w.request_key): w for w in writes}
    violations = []
    for group, rows in stored.items():
        for row in rows:
            write = writes_by_key.get((group, row.request_key))
            if write is None or write.session != row.session:
                violations.append(Violation('foreign_row', f'{group} {row}'))
    return violations


# End time in ms and number of each acknowledged write, by group and session.
Acknowledged = Mapping[tuple[str, str], list[tuple[float, int]]]


def _index_acknowledged(writes: list[WriteRecord]) -> Acknowledged:
    index: dict[tuple[str, str], list[tuple[float, int]]] = defaultdict(list)
    for write in writes:
        if write.outcome == 'done':
            key = (write.group, write.session)
            index[key].append((write.ended_ms, write.seq))
    return index


def _check_read(
    read: ReadRecord, acknowledged: Acknowledged
) -> list[Violation]:
    """Check an answer, its age, and the acknowledged writes that it includes.

    A read must include the writes of its own session that were acknowledged
    before it started. It may lack writes of another session that were
    acknowledged within the accepted age before its start.
    """
    label = f'{read.group} {read.session} at {read.started_ms:.1f} ms'
    violations = []
    if read.nonce_sent != read.nonce_received:
        violations.append(Violation('foreign_answer', label))
    if read.max_age_ms is not None and (
        read.age_ms is None or read.age_ms > read.max_age_ms
    ):
        violations.append(
            Violation(
                'age_not_kept',
                f'{label}: age_ms {read.age_ms}, expected at most '
                f'{read.max_age_ms}',
            )
        )
    for (group, session), entries in acknowledged.items():
        if group != read.group:
            continue
        is_own_session = session == read.session
        allowed_age_ms = 0.0 if is_own_session else read.max_age_ms or 0.0
        required_seq = _find_latest_seq_before(
            entries, read.started_ms - allowed_age_ms
        )
        if read.seen.get(session, 0) < required_seq:
            rule = 'read_your_writes' if is_own_session else 'too_old'
            detail = (
                f'{label}: {session}#{required_seq} missing, {read.source}'
            )
            violations.append(Violation(rule, detail))
    return violations


def _find_latest_seq_before(
    entries: list[tuple[float, int]], limit_ms: float
) -> int:
    return max(
        (seq for ended_ms, seq in entries if ended_ms < limit_ms), default=0
    )
