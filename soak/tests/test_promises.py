"""The checks must find what they are for."""

from __future__ import annotations

import pytest

from jackdawpost_standin.line_database import Commit
from jackdawpost_standin.line_database import ExecutedRead
from soak.callers import Operation
from soak.promises import Evidence
from soak.promises import find_breaches
from soak.promises import find_cut_answers
from soak.promises import find_unrecovered


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


def _evidence(operations, log, rolled_back=(), saw=None, loss=True):
    return Evidence(
        operations=list(operations),
        log=list(log),
        rolled_back=list(rolled_back),
        reads=[ExecutedRead('r', 'i-2', (1, saw))] if saw else [],
        may_roll_back=loss,
    )


def _kinds(evidence):
    return [breach.split(':')[0] for breach in find_breaches(evidence)]


def test_clean_run_has_no_breach():
    operations = [_write('a'), _read('orders', 1.0)]
    assert not _kinds(_evidence(operations, [_commit(11, 'a')], saw=11))


def test_write_that_is_committed_twice():
    log = [_commit(11, 'a'), _commit(12, 'a')]
    assert _kinds(_evidence([_write('a')], log)) == ['twice']


def test_write_that_is_committed_again_after_a_promotion():
    rolled_back = [_commit(11, 'a')]
    log = [_commit(11, 'a', term=2)]
    found = _kinds(_evidence([_write('a')], log, rolled_back))
    assert found == ['twice']


def test_two_transactions_in_one_commit():
    operations = [_write('a'), _write('b')]
    found = _kinds(_evidence(operations, [_commit(11, 'a', 'b')]))
    assert found == ['mixed']


def test_acknowledged_write_that_is_gone():
    assert _kinds(_evidence([_write('a')], [])) == ['lost']


@pytest.mark.parametrize(('loss', 'found'), [(True, []), (False, ['lost'])])
def test_roll_back_is_a_loss_only_where_copies_were_promised(loss, found):
    evidence = _evidence([_write('a')], [], [_commit(11, 'a')], loss=loss)
    assert _kinds(evidence) == found


@pytest.mark.parametrize('code', ['BUSY', 'ABORTED', 'rolled back'])
def test_refused_write_that_was_kept(code):
    operations = [_write('a', outcome=code)]
    assert _kinds(_evidence(operations, [_commit(11, 'a')])) == ['kept']


def test_write_of_unknown_outcome_may_be_kept_or_not():
    operations = [_write('a', outcome='INDOUBT'), _write('b', outcome='lost')]
    assert not _kinds(_evidence(operations, [_commit(11, 'a')]))


@pytest.mark.parametrize(
    ('database', 'at_s', 'session', 'found'),
    [
        ('orders', 0.2, 2, ['stale']),
        ('returns', 0.2, 1, ['stale']),
        ('returns', 0.2, 2, []),
        ('reports', 0.2, 1, []),
        ('reports', 1.5, 1, []),
        ('reports', 1.7, 2, ['stale']),
    ],
)
def test_read_that_lacks_an_acknowledged_write(database, at_s, session, found):
    operations = [_write('a'), _read(database, at_s, session)]
    assert _kinds(_evidence(operations, [_commit(11, 'a')], saw=10)) == found


def test_stop_that_cuts_a_request_off():
    cut = _write('a', outcome='lost')
    cut.ended_s = 1.0
    drains = {'edge-1': [(0.5, 1.0)]}
    assert find_cut_answers(_evidence([cut], []), drains)
    assert not find_cut_answers(_evidence([cut], []), {'edge-2': [(0.5, 1)]})


def test_stop_that_closes_while_a_request_is_on_its_way():
    # Only what was read, or had the time to be, counts.
    late = _write('a', outcome='lost', at_s=0.9)
    drains = {'edge-1': [(0.5, 1.0)]}
    assert not find_cut_answers(_evidence([late], []), drains)
    ran = _evidence([late], [_commit(11, 'a')])
    assert find_cut_answers(ran, drains)


def test_failure_after_the_faults():
    assert find_unrecovered([_write('a', outcome='BUSY', at_s=5.0)], 4.0)
    assert not find_unrecovered([_write('a', at_s=5.0)], 4.0)
    assert find_unrecovered([], 4.0)
