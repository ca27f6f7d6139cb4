"""Tests that each check of an invariant finds its violation."""

from __future__ import annotations

import pytest

from jackdawpost_standin.line_database import Commit
from jackdawpost_standin.line_database import ExecutedRead
from soak.callers import Operation
from soak.invariants import Evidence
from soak.invariants import find_failures_after_recovery
from soak.invariants import find_unanswered_statements
from soak.invariants import find_violations


def _commit(index, *ids, term=1):
    writes = tuple((request, '1', request) for request in ids)
    return Commit((term, index), float(index), writes)


def _write(*ids, outcome='done', at_s=0.0, **fields):
    return Operation(
        database='orders',
        session=1,
        edge='edge-1',
        began_s=at_s,
        ended_s=at_s + 0.1,
        writes=list(ids),
        outcome=outcome,
        **fields,
    )


def _read(database, at_s, session=1):
    return Operation(
        database=database,
        session=session,
        edge='edge-1',
        began_s=at_s,
        ended_s=at_s + 0.1,
        reads=['r'],
        answered=['i-2.r'],
        outcome='done',
    )


def _evidence(operations, log, rolled_back=(), read_index=None, is_async=True):
    return Evidence(
        operations=list(operations),
        log=list(log),
        rolled_back=list(rolled_back),
        reads=[ExecutedRead('r', 'i-2', (1, read_index))]
        if read_index
        else [],
        is_async=is_async,
    )


def _violation_kinds(evidence):
    return [violation.split(':')[0] for violation in find_violations(evidence)]


def test_run_without_faults_has_no_violation():
    operations = [_write('a'), _read('orders', 1.0)]
    assert not _violation_kinds(
        _evidence(operations, [_commit(11, 'a')], read_index=11)
    )


def test_write_committed_twice():
    log = [_commit(11, 'a'), _commit(12, 'a')]
    assert _violation_kinds(_evidence([_write('a')], log)) == ['duplicate']


def test_write_committed_again_after_a_promotion():
    rolled_back = [_commit(11, 'a')]
    log = [_commit(11, 'a', term=2)]
    found = _violation_kinds(_evidence([_write('a')], log, rolled_back))
    assert found == ['duplicate']


def test_two_transactions_in_one_commit():
    operations = [_write('a'), _write('b')]
    found = _violation_kinds(_evidence(operations, [_commit(11, 'a', 'b')]))
    assert found == ['mixed']


def test_acknowledged_write_missing_in_the_log():
    assert _violation_kinds(_evidence([_write('a')], [])) == ['lost']


@pytest.mark.parametrize(
    ('is_async', 'expected'), [(True, []), (False, ['lost'])]
)
def test_rolled_back_write_is_lost_only_with_synchronous_replication(
    is_async, expected
):
    evidence = _evidence(
        [_write('a')], [], [_commit(11, 'a')], is_async=is_async
    )
    assert _violation_kinds(evidence) == expected


@pytest.mark.parametrize('code', ['BUSY', 'ABORTED', 'rolled back'])
def test_committed_write_of_a_failed_operation(code):
    operations = [_write('a', outcome=code)]
    assert _violation_kinds(_evidence(operations, [_commit(11, 'a')])) == [
        'committed'
    ]


def test_write_of_unknown_outcome_may_be_committed_or_not():
    operations = [_write('a', outcome='INDOUBT'), _write('b', outcome='lost')]
    assert not _violation_kinds(_evidence(operations, [_commit(11, 'a')]))


@pytest.mark.parametrize(
    ('database', 'at_s', 'session', 'expected'),
    [
        ('orders', 0.2, 2, ['stale']),
        ('returns', 0.2, 1, ['stale']),
        ('returns', 0.2, 2, []),
        ('reports', 0.2, 1, []),
        ('reports', 1.5, 1, []),
        ('reports', 1.7, 2, ['stale']),
    ],
)
def test_read_that_misses_an_acknowledged_write(
    database, at_s, session, expected
):
    operations = [_write('a'), _read(database, at_s, session)]
    assert (
        _violation_kinds(
            _evidence(operations, [_commit(11, 'a')], read_index=10)
        )
        == expected
    )


def test_request_interrupted_by_a_shutdown():
    interrupted = _write('a', outcome='lost')
    interrupted.ended_s = 1.0
    shutdowns = {'edge-1': [(0.5, 1.0)]}
    assert find_unanswered_statements(_evidence([interrupted], []), shutdowns)
    assert not find_unanswered_statements(
        _evidence([interrupted], []), {'edge-2': [(0.5, 1)]}
    )


def test_request_in_transit_during_a_shutdown():
    # Counts only if it was executed or sent long enough before the end.
    late = _write('a', outcome='lost', at_s=0.9)
    shutdowns = {'edge-1': [(0.5, 1.0)]}
    assert not find_unanswered_statements(_evidence([late], []), shutdowns)
    executed = _evidence([late], [_commit(11, 'a')])
    assert find_unanswered_statements(executed, shutdowns)


def test_failure_after_the_recovery():
    assert find_failures_after_recovery(
        [_write('a', outcome='BUSY', at_s=5.0)], 4.0
    )
    assert not find_failures_after_recovery([_write('a', at_s=5.0)], 4.0)
    assert find_failures_after_recovery([], 4.0)
