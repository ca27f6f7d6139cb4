"""Replication, promotion and divergence between stand-ins."""

from __future__ import annotations

from jackdawpost.core.messages.upstream import Seal
from jackdawpost_standin.tests.helpers import administer
from jackdawpost_standin.tests.helpers import connect
from jackdawpost_standin.tests.helpers import lead
from jackdawpost_standin.tests.helpers import start
from jackdawpost_standin.tests.helpers import wait_for

CREATE = 'CREATE TABLE t (k TEXT PRIMARY KEY, v INTEGER)'
INSERT = 'INSERT INTO t VALUES (?, ?)'
SELECT = 'SELECT k, v FROM t ORDER BY k'


async def _rows(standin, term, **fields):
    async with connect(standin) as client:
        answer = await client.execute(
            SELECT, access='read', term=term, wait_ms=2_000, **fields
        )
    assert answer.status == 'done', answer
    return answer.rows


async def test_replica_shows_rows_after_the_session_position(nursery):
    primary = await start(nursery, 'db-1')
    replica = await start(nursery, 'db-2', apply_lag_ms=50)
    await lead(primary, replica)
    async with connect(primary) as client:
        await client.execute(CREATE)
        written = await client.execute(INSERT, ['a', 1])
    assert written.position == (1, 3)
    rows = await _rows(replica, 1, after=written.position)
    assert rows == [['a', 1]]


async def test_duplicate_is_recognised_after_a_promotion(nursery):
    first = await start(nursery, 'db-1')
    second = await start(nursery, 'db-2')
    await lead(first, second)
    async with connect(first) as client:
        await client.execute(CREATE)
        written = await client.execute(INSERT, ['a', 1], request_key='r-1')
    await wait_for(lambda: second.database.received == written.position)
    await administer(second, Seal, term=2)
    await lead(second, first, term=2)
    async with connect(second) as client:
        resent = await client.execute(
            INSERT, ['a', 1], request_key='r-1', term=2
        )
    assert (resent.status, resent.duplicate) == ('done', True)
    assert resent.position == written.position
    assert resent.row_count == 1
    assert await _rows(first, 2) == [['a', 1]]


async def test_diverged_tail_is_discarded_and_rows_rebuilt(nursery):
    old = await start(nursery, 'db-1')
    new = await start(nursery, 'db-2')
    await lead(old, new)
    async with connect(old) as client:
        kept = await client.execute(CREATE)
        await wait_for(lambda: new.database.received == kept.position)
        await administer(new, Seal, term=2)
        lost = await client.execute(INSERT, ['lost', 1])
    assert lost.status == 'done'
    await lead(new, old, term=2)
    async with connect(new) as client:
        await client.execute(INSERT, ['new', 2], term=2)
    await wait_for(lambda: old.database.received == new.database.received)
    await wait_for(lambda: old.database.applied == old.database.received)
    assert await _rows(old, 2) == [['new', 2]]
    counters = old.read_metrics()['counters']
    assert counters['discarded_records'] == 1
    async with connect(old) as client:
        answer = await client.execute(
            SELECT, access='read', term=2, after=lost.position
        )
    assert (answer.status, answer.code) == ('not_run', 'history_lost')
