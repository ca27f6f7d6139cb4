"""Statements and transactions on connections, their limits and refusals."""

from __future__ import annotations

import json

import pytest
import trio
import trio.testing

from jackdawpost.core.messages.upstream import Execute
from jackdawpost.core.messages.upstream import Probe
from jackdawpost.core.messages.upstream import Probed
from jackdawpost.core.messages.upstream import Progress
from jackdawpost.core.messages.upstream import TxnBegin
from jackdawpost.core.messages.upstream import TxnCommit
from jackdawpost.core.messages.upstream import TxnRollback
from jackdawpost.wire.codec import to_plain
from jackdawpost.wire.link import open_link
from jackdawpost.wire.stream import LinkClosedError
from jackdawpost_standin.limits import WriteLock
from jackdawpost_standin.tests.helpers import connect
from jackdawpost_standin.tests.helpers import HOST
from jackdawpost_standin.tests.helpers import promote
from jackdawpost_standin.tests.helpers import start
from jackdawpost_standin.tests.helpers import wait_for

CREATE = 'CREATE TABLE t (k TEXT PRIMARY KEY, v INTEGER)'
INSERT = 'INSERT INTO t VALUES (?, ?)'
COUNT = 'SELECT count(*) FROM t'
BEGIN = {'term': 1, 'timeout_ms': 1_000}


async def _start_primary(nursery, **options):
    standin = await start(nursery, **options)
    await promote(standin)
    async with connect(standin) as client:
        assert (await client.execute(CREATE)).status == 'done'
    return standin


async def _count(client, **fields):
    answer = await client.execute(COUNT, access='read', **fields)
    assert answer.status == 'done', answer
    return answer.rows[0][0]


def _build_insert(number, **fields):
    defaults = {'access': 'write', 'term': 1, 'must_lead': True}
    return Execute(
        id=number,
        sql=INSERT,
        params=[str(number), number],
        timeout_ms=1_000,
        **{**defaults, **fields},
    )


async def test_statements_of_one_frame_are_answered_one_by_one_in_order(
    nursery,
):
    standin = await _start_primary(nursery, service_ms=1)
    async with connect(standin) as client:
        client.post(*[_build_insert(number) for number in range(1, 9)])
        answers = [await client.receive() for _ in range(8)]
    assert [answer.id for answer in answers] == list(range(1, 9))
    assert [answer.position.index for answer in answers] == list(range(3, 11))
    assert standin.slots.max_in_use == 1


async def test_statements_beyond_the_slots_are_refused_and_counted(nursery):
    standin = await _start_primary(nursery, slots=1, service_ms=100)
    async with connect(standin) as first, connect(standin) as second:
        first.post(_build_insert(1))
        await wait_for(lambda: standin.slots.in_use == 1)
        refused = await second.execute(INSERT, ['x', 1])
        assert (refused.status, refused.code) == ('not_run', 'no_slot')
        assert (await first.receive()).status == 'done'
    counters = standin.read_metrics()['counters']
    assert counters['slot_refusals'] == 1
    assert counters['max_slots_in_use'] == 1


async def test_connections_beyond_the_limit_are_closed_and_counted(nursery):
    standin = await start(nursery, connections=1)
    async with connect(standin, 'monitor'):
        with pytest.raises(LinkClosedError):
            async with connect(standin):
                pass
    assert standin.read_metrics()['counters']['connection_refusals'] == 1
    await wait_for(lambda: standin.server.connections.in_use == 0)


async def test_transaction_is_isolated_and_commits_as_one_record(nursery):
    standin = await _start_primary(nursery)
    async with connect(standin) as txn, connect(standin) as other:
        await txn.request(TxnBegin, **BEGIN)
        await txn.execute(INSERT, ['a', 1], in_txn=True)
        await txn.execute(INSERT, ['b', 2], in_txn=True)
        assert await _count(txn, in_txn=True) == 2
        assert await _count(other) == 0
        done = await txn.request(TxnCommit, request_key='r-1', **BEGIN)
        assert (done.status, done.position) == ('done', (1, 3))
        assert await _count(other) == 2
        resent = await other.request(TxnCommit, request_key='r-1', **BEGIN)
    assert (resent.duplicate, resent.position) == (True, (1, 3))


async def test_write_waits_for_a_transaction_within_its_timeout(nursery):
    standin = await _start_primary(nursery)
    async with connect(standin) as txn, connect(standin) as other:
        await txn.request(TxnBegin, **BEGIN)
        late = await other.execute(INSERT, ['a', 1], timeout_ms=20)
        assert (late.status, late.code) == ('not_run', 'timeout')
        other.post(_build_insert(90))
        await wait_for(lambda: standin.slots.in_use == 2)
        await txn.request(TxnRollback)
        assert (await other.receive()).status == 'done'


async def test_statement_outside_the_open_transaction_is_refused(nursery):
    standin = await _start_primary(nursery)
    async with connect(standin) as txn:
        await txn.request(TxnBegin, **BEGIN)
        refused = await txn.execute(INSERT, ['a', 1])
        assert (refused.status, refused.code) == ('not_run', 'malformed')
        second_begin = await txn.request(TxnBegin, **BEGIN)
        assert second_begin.code == 'malformed'
        await txn.request(TxnCommit, **BEGIN)
        assert await _count(txn) == 0


async def test_write_lock_revoked_before_the_woken_task_runs_is_not_acquired(
    nursery,
):
    class Owner:
        def on_txn_revoked(self):
            pass

    write_lock = WriteLock()
    first, second = Owner(), Owner()
    assert await write_lock.acquire(first, float('inf'))
    acquired = []

    async def wait():
        acquired.append(await write_lock.acquire(second, float('inf')))

    nursery.start_soon(wait)
    await trio.testing.wait_all_tasks_blocked()
    write_lock.release(first)
    write_lock.revoke()
    await wait_for(lambda: acquired)
    assert (acquired, write_lock.is_free) == ([False], True)


async def test_closed_connection_rolls_back_and_releases_the_slot(nursery):
    standin = await _start_primary(nursery)
    async with connect(standin) as txn:
        await txn.request(TxnBegin, **BEGIN)
        await txn.execute(INSERT, ['a', 1], in_txn=True)
        assert standin.slots.in_use == 1
    await wait_for(lambda: standin.slots.in_use == 0)
    async with connect(standin) as client:
        assert await _count(client) == 0
        assert (await client.execute(INSERT, ['a', 1])).status == 'done'


async def test_failed_statement_does_not_abort_its_transaction(nursery):
    standin = await _start_primary(nursery)
    async with connect(standin) as txn:
        await txn.request(TxnBegin, **BEGIN)
        await txn.execute(INSERT, ['a', 1], in_txn=True)
        failed = await txn.execute(INSERT, ['a', 1], in_txn=True)
        assert (failed.status, failed.code) == ('not_run', 'statement_failed')
        await txn.execute(INSERT, ['b', 1], in_txn=True)
        await txn.request(TxnCommit, **BEGIN)
        assert await _count(txn) == 2


@pytest.mark.parametrize(
    ('fields', 'code'),
    [
        ({'term': 2}, 'stale_term'),
        ({'term': 0}, 'stale_term'),
        ({'after': (1, 99)}, 'history_lost'),
        ({'fresh_after': (1, 99)}, 'behind'),
        ({'sql': 'SELEC 1'}, 'statement_failed'),
        ({'sql': 'COMMIT'}, 'statement_failed'),
        ({'sql': 'INSERT INTO t VALUES (random(), 1)'}, 'statement_failed'),
        ({'sql': 'SELECT 1; SELECT 2'}, 'statement_failed'),
        ({'sql': 'DELETE FROM t', 'access': 'read'}, 'statement_failed'),
        ({'in_txn': True}, 'malformed'),
        ({'request_key': '\ud800'}, 'malformed'),
        (
            {
                'sql': 'WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL '
                'SELECT i + 1 FROM n) SELECT max(i) FROM n',
                'access': 'read',
                'params': None,
                'timeout_ms': 20,
            },
            'timeout',
        ),
    ],
)
async def test_refused_statement_runs_nothing(nursery, fields, code):
    standin = await _start_primary(nursery)
    if fields.get('access') != 'read' and 'sql' in fields:
        fields = {'params': None, **fields}
    before = standin.database.received
    async with connect(standin) as client:
        await _post_json(client, fields)
        answer = await client.receive()
    assert (answer.status, answer.code) == ('not_run', code)
    assert standin.database.received == before


async def _post_json(client, fields):
    # CBOR cannot encode a lone surrogate, so the message is sent as JSON.
    message = _build_insert(1)
    for name, value in fields.items():
        setattr(message, name, value)
    client.stream.post(json.dumps(to_plain(message)))


async def test_malformed_frame_is_answered_and_ends_the_connection(nursery):
    standin = await _start_primary(nursery)
    async with connect(standin) as client:
        client.stream.post('{"kind": "execute", "id": 7}')
        answer = await client.receive()
        assert (answer.id, answer.code) == (7, 'malformed')
        with pytest.raises(LinkClosedError):
            await client.receive()


async def test_replica_refuses_writes_and_waits_for_positions(nursery):
    primary = await _start_primary(nursery)
    replica = await start(nursery, 'db-2', apply_lag_ms=80)
    await promote(primary, replica)
    async with connect(primary) as client:
        written = await client.execute(INSERT, ['a', 1])
    await wait_for(lambda: replica.database.received == written.position)
    async with connect(replica) as client:
        refused = await client.execute(INSERT, ['b', 1])
        assert refused.code == 'not_primary'
        behind = await client.execute(
            COUNT, access='read', fresh_after=written.position, wait_ms=1
        )
        assert behind.code == 'behind'
        assert (
            await _count(client, fresh_after=written.position, wait_ms=1_000)
            == 1
        )


async def test_probe_uses_no_slot_and_progress_is_pushed(nursery):
    standin = await _start_primary(nursery, slots=1, service_ms=50)
    async with (
        connect(standin, 'monitor') as monitor,
        connect(standin) as client,
    ):
        assert isinstance(await monitor.receive(), Progress)
        client.post(_build_insert(1))
        await wait_for(lambda: standin.slots.in_use == 1)
        monitor.post(Probe(id=1))
        probed = await monitor.receive()
        assert isinstance(probed, Probed)
        progress = await monitor.receive()
        assert progress.applied == (1, 3)


async def test_progress_is_pushed_at_most_every_5_ms(nursery):
    standin = await _start_primary(nursery)
    async with connect(standin, 'monitor') as monitor:
        await monitor.receive()
        start_s = trio.current_time()
        async with connect(standin) as client:
            for number in range(60):
                await client.execute(INSERT, [str(number), number])
        reports = 0
        while (await monitor.receive()).received.index < 62:
            reports += 1
        elapsed_ms = (trio.current_time() - start_s) * 1_000
    assert reports <= elapsed_ms / 5 + 1


async def test_latency_and_opening_time_delay_the_answers(nursery):
    standin = await _start_primary(
        nursery, opening_ms=30, peer_latency_ms={'far': 20.0}
    )
    start_s = trio.current_time()
    async with connect(standin, 'monitor', 'far') as far:
        opened_s = trio.current_time()
        far.post(Probe(id=1))
        while not isinstance(await far.receive(), Probed):
            pass
        probed_s = trio.current_time()
    assert opened_s - start_s >= 0.07
    assert probed_s - opened_s >= 0.04


async def test_unknown_first_message_closes_the_connection(nursery):
    standin = await start(nursery)
    async with open_link(HOST, standin.port, '/v1/upstream') as stream:
        stream.post('{"kind": "probe", "id": 1}')
        with pytest.raises(LinkClosedError):
            await stream.receive()
