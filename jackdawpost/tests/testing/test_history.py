"""Tests that the history checker reports each kind of violation."""

from __future__ import annotations

from dataclasses import replace

import pytest

from jackdawpost.testing.history import check_history
from jackdawpost.testing.history import History
from jackdawpost.testing.history import ReadRecord
from jackdawpost.testing.history import StoredRow
from jackdawpost.testing.history import WriteRecord

WRITE = WriteRecord(
    group='g',
    session='s',
    seq=1,
    request_key='k1',
    outcome='done',
    started_ms=0,
    ended_ms=10,
)
ROW = StoredRow('k1', 's', 1, 0, 1)
READ = ReadRecord(
    group='g', session='s', seen={'s': 1}, started_ms=20, ended_ms=25
)


def _find_rules(writes=(), reads=(), rows=()):
    history = History(writes=list(writes), reads=list(reads))
    return {v.rule for v in check_history(history, {'g': list(rows)})}


def test_correct_history_has_no_violation():
    assert _find_rules([WRITE], [READ], [ROW]) == set()


@pytest.mark.parametrize('outcome', ['unknown'])
@pytest.mark.parametrize('rows', [[], [ROW]])
def test_write_of_unknown_outcome_may_be_present_or_absent(outcome, rows):
    assert _find_rules([replace(WRITE, outcome=outcome)], [], rows) == set()


@pytest.mark.parametrize(
    ('rule', 'write', 'rows'),
    [
        ('lost_write', WRITE, []),
        ('doubled_write', WRITE, [ROW, ROW]),
        ('not_run_but_ran', replace(WRITE, outcome='not_run'), [ROW]),
        ('partial_transaction', replace(WRITE, parts=2), [ROW]),
        ('foreign_row', WRITE, [ROW, ROW._replace(request_key='other')]),
        ('foreign_row', WRITE, [ROW._replace(session='other')]),
    ],
)
def test_wrong_write_violates_its_rule(rule, write, rows):
    assert rule in _find_rules([write], [], rows)


@pytest.mark.parametrize(
    ('rule', 'read'),
    [
        ('read_your_writes', replace(READ, seen={})),
        ('read_your_writes', replace(READ, seen={}, max_age_ms=500, age_ms=1)),
        ('too_old', replace(READ, session='reader', seen={})),
        (
            'too_old',
            replace(READ, session='r', seen={}, max_age_ms=5, age_ms=1),
        ),
        ('age_not_kept', replace(READ, max_age_ms=5, age_ms=6)),
        ('age_not_kept', replace(READ, max_age_ms=5)),
        ('foreign_answer', replace(READ, nonce_sent='a', nonce_received='b')),
    ],
)
def test_wrong_read_violates_its_rule(rule, read):
    assert rule in _find_rules([WRITE], [read], [ROW])


def test_accepted_age_allows_a_missing_recent_write():
    read = replace(READ, session='r', seen={}, max_age_ms=500, age_ms=100)
    assert _find_rules([WRITE], [read], [ROW]) == set()
