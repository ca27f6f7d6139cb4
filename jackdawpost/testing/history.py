"""History checker: what callers were told against what databases hold.

A workload writes rows ``(request_key, session, seq, part, parts)``. Each
session numbers its writes from 1 and has at most one write in flight, so
that a read of the highest number of each session shows which acknowledged
writes it includes. A transaction writes several parts under one key.
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
    """A write and what its caller was told last.

    Parameters
    ----------
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
    """A finished read of the highest number of each session.

    Parameters
    ----------
    session : str
        Session that read.
    seen : mapping of str to int
        Highest number of each session in the rows.
    max_age_ms : float, optional
        Accepted age; None for a fresh read.
    age_ms : float, optional
        Age that the proxy stated.
    nonce_sent, nonce_received : str
        Text that the request carries and its answer must return.
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
    """One row that the primary of a group holds after the run."""

    request_key: str
    session: str
    seq: int
    part: int
    parts: int


@dataclass(slots=True, kw_only=True)
class History:
    """Everything that callers did and were told."""

    writes: list[WriteRecord] = field(default_factory=list)
    reads: list[ReadRecord] = field(default_factory=list)


class Violation(NamedTuple):
    """One broken promise."""

    rule: str
    detail: str


def check_history(
    history: History, stored: Mapping[str, Iterable[StoredRow]]
) -> list[Violation]:
    """Return all violations found in a run.

    Parameters
    ----------
    history : History
        What callers did and were told.
    stored : mapping of str to iterable of StoredRow
        Rows of each group after the run.

    Returns
    -------
    list of Violation
        Rules: ``lost_write``, ``doubled_write``, ``not_run_but_ran``,
        ``partial_transaction``, ``foreign_row``, ``read_your_writes``,
        ``too_old``, ``age_not_kept``, ``foreign_answer``.
    """
    violations: list[Violation] = []
    rows = {group: list(found) for group, found in stored.items()}
    violations += _check_writes(history.writes, rows)
    violations += _check_foreign_rows(history.writes, rows)
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
        counts = [
            copies[(write.group, write.request_key, part)]
            for part in range(write.parts)
        ]
        violations += _judge_write(write, counts)
    return violations


def _judge_write(write: WriteRecord, counts: list[int]) -> list[Violation]:
    name = f'{write.group} {write.session}#{write.seq} {write.request_key}'
    found = []
    if max(counts) > 1:
        found.append(Violation('doubled_write', f'{name}: {counts}'))
    if min(counts) == 0 and max(counts) > 0:
        found.append(Violation('partial_transaction', f'{name}: {counts}'))
    if write.outcome == 'done' and min(counts) == 0:
        found.append(Violation('lost_write', name))
    if write.outcome == 'not_run' and max(counts) > 0:
        found.append(Violation('not_run_but_ran', f'{name}: {write.code}'))
    return found


def _check_foreign_rows(
    writes: list[WriteRecord], stored: Mapping[str, list[StoredRow]]
) -> list[Violation]:
    known = {(w.group, w.request_key): w for w in writes}
    violations = []
    for group, rows in stored.items():
        for row in rows:
            write = known.get((group, row.request_key))
            if write is None or write.session != row.session:
                violations.append(Violation('foreign_row', f'{group} {row}'))
    return violations


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
    name = f'{read.group} {read.session} at {read.started_ms:.1f} ms'
    found = []
    if read.nonce_sent != read.nonce_received:
        found.append(Violation('foreign_answer', name))
    if read.max_age_ms is not None and (
        read.age_ms is None or read.age_ms > read.max_age_ms
    ):
        found.append(
            Violation(
                'age_not_kept', f'{name}: {read.age_ms} > {read.max_age_ms}'
            )
        )
    for (group, session), entries in acknowledged.items():
        if group != read.group:
            continue
        own = session == read.session
        accepted_ms = 0.0 if own else read.max_age_ms or 0.0
        due = _newest_before(entries, read.started_ms - accepted_ms)
        if read.seen.get(session, 0) < due:
            rule = 'read_your_writes' if own else 'too_old'
            detail = f'{name}: {session}#{due} missing, {read.source}'
            found.append(Violation(rule, detail))
    return found


def _newest_before(entries: list[tuple[float, int]], limit_ms: float) -> int:
    return max((seq for ended, seq in entries if ended < limit_ms), default=0)
