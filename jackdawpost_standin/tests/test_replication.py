"""Replication, promotion and diverged logs of simulated databases."""

from __future__ import annotations

import pytest
import trio

from jackdawpost.core.messages.upstream import Seal
from jackdawpost.core.messages.upstream import TxnBegin
from jackdawpost.core.messages.upstream import TxnCommit
from jackdawpost_standin.log import Result
from jackdawpost_standin.replication import MAX_UNACKED_RECORDS
from jackdawpost_standin.tests.helpers import connect
from jackdawpost_standin.tests.helpers import promote
from jackdawpost_standin.tests.helpers import send_admin_request
from jackdawpost_standin.tests.helpers import start
from jackdawpost_standin.tests.helpers import wait_for

CREATE = 'CREATE TABLE t (k TEXT PRIMARY KEY, v INTEGER)'
INSERT = 'INSERT INTO t VALUES (?, ?)'
LARGE_TEXT = 'x' * 700_000
BEGIN = {'term': 1, 'timeout_ms': 1_000}
SELECT = 'SELECT k, v FROM t ORDER BY k'


async def _read_rows(standin, term, **fields):
    async with connect(standin) as client:
        answer = await client.execute(
            SELECT, access='read', term=term, wait_ms=2_000, **fields
        )
    assert answer.status == 'done', answer
    return answer.rows


async def test_replica_read_waits_for_the_session_position(nursery):
    primary = await start(nursery, 'db-1')
    replica = await start(nursery, 'db-2', apply_lag_ms=50)
    await promote(primary, replica)
    async with connect(primary) as client:
        await client.execute(CREATE)
        written = await client.execute(INSERT, ['a', 1])
    assert written.position == (1, 3)
    rows = await _read_rows(replica, 1, after=written.position)
    assert rows == [['a', 1]]


async def test_duplicate_request_key_is_detected_after_a_promotion(nursery):
    first = await start(nursery, 'db-1')
    second = await start(nursery, 'db-2')
    await promote(first, second)
    async with connect(first) as client:
        await client.execute(CREATE)
        written = await client.execute(INSERT, ['a', 1], request_key='r-1')
    await wait_for(lambda: second.database.received == written.position)
    await send_admin_request(second, Seal, term=2)
    await promote(second, first, term=2)
    async with connect(second) as client:
        resent = await client.execute(
            INSERT, ['a', 1], request_key='r-1', term=2
        )
    assert (resent.status, resent.duplicate) == ('done', True)
    assert resent.position == written.position
    assert resent.row_count == 1
    assert await _read_rows(first, 2) == [['a', 1]]


async def test_diverged_tail_is_discarded_and_rows_rebuilt(nursery):
    old = await start(nursery, 'db-1')
    new = await start(nursery, 'db-2')
    await promote(old, new)
    async with connect(old) as client:
        kept = await client.execute(CREATE)
        await wait_for(lambda: new.database.received == kept.position)
        await send_admin_request(new, Seal, term=2)
        lost = await client.execute(INSERT, ['lost', 1])
    assert lost.status == 'done'
    await promote(new, old, term=2)
    async with connect(new) as client:
        await client.execute(INSERT, ['new', 2], term=2)
    await wait_for(lambda: old.database.received == new.database.received)
    await wait_for(lambda: old.database.applied == old.database.received)
    assert await _read_rows(old, 2) == [['new', 2]]
    counters = old.read_metrics()['counters']
    assert counters['discarded_records'] == 1
    async with connect(old) as client:
        answer = await client.execute(
            SELECT, access='read', term=2, after=lost.position
        )
    assert (answer.status, answer.code) == ('not_run', 'history_lost')


@pytest.mark.parametrize('latency_ms', [0.0, 5.0])
async def test_late_follower_catches_up_over_several_windows(
    nursery, latency_ms
):
    primary = await start(nursery, 'db-1')
    replica = await start(nursery, 'db-2', latency_ms=latency_ms)
    await promote(primary)
    async with connect(primary) as client:
        await client.execute(CREATE)
    records = 2 * MAX_UNACKED_RECORDS + 10
    for number in range(records):
        statement = (INSERT, [str(number), number])
        primary.database.append_committed([statement], None, Result())
    await promote(primary, replica)
    await wait_for(lambda: replica.database.applied.index == records + 2)
    count = replica.database.rows.read('SELECT count(*) FROM t', None, 0.0)
    assert count.rows == [[records]]


async def test_transaction_larger_than_a_frame_is_replicated(nursery):
    primary = await start(nursery, 'db-1')
    replica = await start(nursery, 'db-2')
    await promote(primary, replica)
    async with connect(primary) as client:
        await client.execute('CREATE TABLE large (v TEXT)')
        await client.request(TxnBegin, **BEGIN)
        for _ in range(4):
            done = await client.execute(
                'INSERT INTO large VALUES (?)', [LARGE_TEXT], in_txn=True
            )
            assert done.status == 'done'
        committed = await client.request(TxnCommit, **BEGIN)
    await wait_for(lambda: replica.database.applied == committed.position)
    assert replica.read_metrics()['counters']['apply_failures'] == 0
    size = replica.database.rows.read(
        'SELECT sum(length(v)) FROM large', None, 0.0
    )
    assert size.rows == [[4 * len(LARGE_TEXT)]]


async def test_result_larger_than_a_frame_fails_without_a_change(nursery):
    standin = await start(nursery)
    await promote(standin)
    async with connect(standin) as client:
        await client.execute('CREATE TABLE large (v TEXT)')
        for _ in range(2):
            await client.execute('INSERT INTO large VALUES (?)', [LARGE_TEXT])
        answer = await client.execute('SELECT v FROM large', access='read')
        assert (answer.status, answer.code) == ('not_run', 'statement_failed')
        before = standin.database.received
        answer = await client.execute('DELETE FROM large RETURNING v')
        assert (answer.status, answer.code) == ('not_run', 'statement_failed')
        assert standin.database.received == before
        count = await client.execute(
            'SELECT count(*) FROM large', access='read'
        )
    assert count.rows == [[2]]


async def test_sealed_replica_receives_no_records_from_the_old_primary(
    nursery,
):
    old = await start(nursery, 'db-1')
    replica = await start(nursery, 'db-2')
    await promote(old, replica)
    await wait_for(lambda: replica.database.received == (1, 1))
    sealed = await send_admin_request(replica, Seal, term=2)
    assert (sealed.ok, sealed.received) == (True, (1, 1))
    async with connect(old) as client:
        assert (await client.execute(CREATE)).status == 'done'
    await wait_for(lambda: not replica.follower.connected)
    assert replica.database.received == (1, 1)


async def test_restarted_replica_continues_from_its_log(nursery, tmp_path):
    primary = await start(nursery, 'db-1')
    replica = await start(nursery, 'db-2', data_dir=str(tmp_path))
    await promote(primary, replica)
    async with connect(primary) as client:
        written = await client.execute(CREATE)
        await wait_for(lambda: replica.database.received == written.position)
        replica.stop()
        await wait_for(lambda: replica._scope.cancelled_caught)
        written = await client.execute(INSERT, ['a', 1])
        replica = await start(nursery, 'db-2', data_dir=str(tmp_path))
        await wait_for(lambda: replica.database.applied == written.position)
    assert 'discarded_records' not in replica.read_metrics()['counters']


async def test_reconnect_stops_when_the_role_has_no_primary(nursery):
    # Guards against a process that crashes when a seal clears the primary in
    # the same scheduler step in which a reconnect is due.
    standin = await start(nursery, 'db-1')
    assert not standin.database.role.primary
    with trio.fail_after(1):
        await standin.follower._maintain_replication()
