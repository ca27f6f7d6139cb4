"""Seal, promote and follow are idempotent and refuse lower terms."""

from __future__ import annotations

import pytest

from jackdawpost.core.messages.upstream import TxnBegin
from jackdawpost.core.positions import LogPosition
from jackdawpost_standin.database import Database
from jackdawpost_standin.database import RoleError
from jackdawpost_standin.disk import DataFolder
from jackdawpost_standin.faults import FaultInjector
from jackdawpost_standin.limits import Limit
from jackdawpost_standin.log import Result
from jackdawpost_standin.session import ExecutionContext
from jackdawpost_standin.session import Session


def _open_database(path=None):
    return Database('db-1', DataFolder(path, sync_log=False))


def _append_insert(db, key):
    statement = ('INSERT INTO t VALUES (?)', [key])
    db.append_committed([statement], key, Result(row_count=1))


async def test_new_database_is_not_the_primary():
    db = _open_database()
    assert (db.role.term, db.role.leads, db.role.primary) == (0, False, '')


async def test_repeated_promotion_appends_no_record():
    db = _open_database()
    await db.promote(1)
    await db.promote(1)
    assert db.received == (1, 1)


async def test_lower_terms_are_refused_after_a_seal():
    db = _open_database()
    await db.promote(1)
    db.seal(3)
    db.seal(3)
    assert not db.role.leads
    with pytest.raises(RoleError):
        db.seal(2)
    with pytest.raises(RoleError):
        await db.promote(2)
    with pytest.raises(RoleError):
        db.follow(2, 'db-2', '127.0.0.1', 1)
    assert (db.role.term, db.role.sealed_term) == (3, 3)


async def test_seal_of_the_current_term_does_not_demote_the_primary():
    # A control leader that resumes a promotion may send the seal again.
    db = _open_database()
    db.seal(1)
    await db.promote(1)
    db.seal(1)
    assert db.role.leads


async def test_second_primary_in_a_term_is_refused():
    db = _open_database()
    db.follow(2, 'db-2', '127.0.0.1', 1)
    db.follow(2, 'db-2', '127.0.0.1', 1)
    with pytest.raises(RoleError):
        await db.promote(2)
    with pytest.raises(RoleError):
        db.follow(2, 'db-3', '127.0.0.1', 1)
    await db.promote(3)
    with pytest.raises(RoleError):
        db.follow(3, 'db-2', '127.0.0.1', 1)


async def test_role_log_and_keys_survive_a_restart(tmp_path):
    db = _open_database(tmp_path)
    await db.promote(4)
    create = ('CREATE TABLE t (k TEXT)', None)
    db.append_committed([create], None, Result())
    _append_insert(db, 'r-1')
    db.seal(6)
    data_id = db.role.data_id
    db._folder.close()
    db = _open_database(tmp_path)
    assert (db.role.term, db.role.sealed_term) == (6, 6)
    assert (db.role.leads, db.role.data_id) == (False, data_id)
    assert db.received == db.applied == LogPosition(4, 3)
    assert db.request_keys == {'r-1': 3}
    assert db.rows.read('SELECT k FROM t', None, 0.0).rows == [['r-1']]
    db._folder.close()


async def test_torn_last_record_is_removed_at_start(tmp_path):
    db = _open_database(tmp_path)
    await db.promote(1)
    db.append_committed([('CREATE TABLE t (k TEXT)', None)], None, Result())
    db._folder.close()
    path = tmp_path / 'log'
    path.write_bytes(path.read_bytes()[:-3])
    db = _open_database(tmp_path)
    assert db.received == (1, 1)
    db._folder.close()


async def test_discarded_records_are_removed_from_disk(tmp_path):
    db = _open_database(tmp_path)
    await db.promote(1)
    db.append_committed([('CREATE TABLE t (k TEXT)', None)], None, Result())
    for key in ('a', 'b'):
        _append_insert(db, key)
    db.flush()
    db.seal(2)
    db.discard_after(3)
    db._folder.close()
    db = _open_database(tmp_path)
    assert db.received == (1, 3)
    assert db.request_keys == {'a': 3}
    db._folder.close()


async def test_wipe_creates_a_new_identity_and_resets_the_term(tmp_path):
    db = _open_database(tmp_path)
    await db.promote(5)
    data_id = db.role.data_id
    db.wipe()
    assert db.role.data_id != data_id
    assert (db.role.term, db.received) == (0, (0, 0))
    db._folder.close()


async def test_seal_rolls_back_the_open_transaction_and_releases_its_slot():
    db = _open_database()
    await db.promote(1)
    slots = Limit(1)
    session = Session(ExecutionContext(db, slots, FaultInjector(), 0))
    assert session.acquire_slot()
    begun = await session.run(TxnBegin(id=1, term=1, timeout_ms=100))
    session.end_frame()
    assert (begun.status, slots.in_use) == ('done', 1)
    db.seal(2)
    assert (db.write_lock.is_free, slots.in_use) == (True, 0)
