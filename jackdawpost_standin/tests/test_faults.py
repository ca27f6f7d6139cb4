"""Injected faults take effect only where they are requested."""

from __future__ import annotations

import pytest
import trio

from jackdawpost.core.messages.upstream import Execute
from jackdawpost.wire.codec import encode_cbor
from jackdawpost.wire.codec import FrameCodec
from jackdawpost.wire.link import open_link
from jackdawpost.wire.stream import LinkClosedError
from jackdawpost_standin.faults import FaultsDone
from jackdawpost_standin.faults import FaultState
from jackdawpost_standin.faults import SetFaults
from jackdawpost_standin.faults import SilenceConnections
from jackdawpost_standin.faults import WipeDisk
from jackdawpost_standin.tests.helpers import connect
from jackdawpost_standin.tests.helpers import HOST
from jackdawpost_standin.tests.helpers import promote
from jackdawpost_standin.tests.helpers import start
from jackdawpost_standin.tests.helpers import wait_for

CREATE = 'CREATE TABLE t (k INTEGER)'
SILENCE_S = 0.1


async def _send_fault_request(standin, message_type, **fields):
    codec = FrameCodec(FaultsDone)
    async with open_link(HOST, standin.port, '/v1/faults') as stream:
        stream.post(encode_cbor([message_type(id=1, **fields)]))
        return codec.decode(await stream.receive())[0]


async def _set_faults(standin, **faults):
    return await _send_fault_request(
        standin, SetFaults, state=FaultState(**faults)
    )


def _build_read(number):
    return Execute(
        id=number,
        sql='SELECT 1',
        access='read',
        term=1,
        must_lead=True,
        timeout_ms=1_000,
    )


async def _is_silent(client):
    with trio.move_on_after(SILENCE_S):
        await client.receive()
        return False
    return True


async def test_isolated_primary_keeps_connections_but_does_not_answer(nursery):
    primary = await start(nursery, 'db-1')
    replica = await start(nursery, 'db-2')
    await promote(primary, replica)
    await wait_for(lambda: replica.follower.connected)
    async with connect(primary) as client:
        await _set_faults(primary, isolated=['*'])
        client.post(_build_read(1))
        assert await _is_silent(client)
        async with open_link(HOST, primary.port, '/v1/upstream') as stream:
            stream.post('{"kind": "open", "peer": "p", "purpose": "admin"}')
            with trio.move_on_after(SILENCE_S):
                pytest.fail(f'answered {await stream.receive()!r}')
        assert primary.database.role.leads
        await _set_faults(primary)
        client.post(_build_read(2))
        assert (await client.receive()).id == 2
    await wait_for(lambda: replica.follower.connected)


async def test_isolation_from_one_peer_does_not_affect_the_others(nursery):
    standin = await start(nursery)
    await promote(standin)
    await _set_faults(standin, isolated=['proxy-2'])
    async with connect(standin, peer='proxy-1') as client:
        assert (await client.execute(CREATE)).status == 'done'
    with trio.move_on_after(SILENCE_S):
        async with connect(standin, peer='proxy-2'):
            pytest.fail('an isolated peer got an answer')


async def test_replication_resumes_without_a_gap_after_dropped_frames(nursery):
    primary = await start(nursery, 'db-1')
    replica = await start(nursery, 'db-2')
    await promote(primary, replica)
    await wait_for(lambda: replica.follower.connected)
    await _set_faults(replica, isolated=['db-1'])
    async with connect(primary) as client:
        await client.execute(CREATE)
        await trio.sleep(0.02)
        assert replica.database.received < primary.database.received
        await _set_faults(replica)
        await client.execute('INSERT INTO t VALUES (1)')
    await wait_for(
        lambda: replica.database.applied == primary.database.received
    )


async def test_held_apply_still_receives_records(nursery):
    primary = await start(nursery, 'db-1')
    replica = await start(nursery, 'db-2')
    await promote(primary, replica)
    await wait_for(lambda: replica.database.applied.index == 1)
    await _set_faults(replica, hold_apply=True)
    async with connect(primary) as client:
        written = await client.execute(CREATE)
    await wait_for(lambda: replica.database.received == written.position)
    await trio.sleep(0.02)
    assert replica.database.applied.index == 1
    await _set_faults(replica)
    await wait_for(lambda: replica.database.applied == written.position)


async def test_silenced_connection_does_not_affect_new_ones(nursery):
    standin = await start(nursery)
    await promote(standin)
    async with connect(standin) as old:
        done = await _send_fault_request(
            standin, SilenceConnections, purpose='statements'
        )
        assert done.affected == 1
        old.post(_build_read(1))
        assert await _is_silent(old)
        async with connect(standin) as new:
            assert (await new.execute(CREATE)).status == 'done'


async def test_answers_out_of_order_between_connections(nursery):
    standin = await start(nursery, seed=1)
    await promote(standin)
    order = []

    async def request(number):
        async with connect(standin) as client:
            client.post(_build_read(number))
            order.append((await client.receive()).id)

    await _set_faults(standin, answer_jitter_ms=100)
    async with trio.open_nursery() as callers:
        for number in range(1, 11):
            callers.start_soon(request, number)
            await trio.sleep(0.002)
    assert sorted(order) == list(range(1, 11))
    assert order != sorted(order)


async def test_late_answer_arrives_after_the_timeout_and_in_order(nursery):
    standin = await start(nursery)
    await promote(standin)
    async with connect(standin) as client:
        await _set_faults(standin, late_share=1.0, late_ms=150)
        client.post(_build_read(1))
        assert await _is_silent(client)
        await _set_faults(standin)
        client.post(_build_read(2))
        assert [(await client.receive()).id for _ in range(2)] == [1, 2]


async def test_slow_statement_times_out_without_running(nursery):
    standin = await start(nursery)
    await promote(standin)
    await _set_faults(standin, slow_ms=200)
    async with connect(standin) as client:
        answer = await client.execute(CREATE, timeout_ms=20)
    assert (answer.status, answer.code) == ('not_run', 'timeout')
    assert standin.database.received == (1, 1)


async def test_wiped_disk_returns_empty_with_a_new_identity(nursery):
    primary = await start(nursery, 'db-1')
    replica = await start(nursery, 'db-2')
    await promote(primary, replica)
    async with connect(replica, 'monitor') as monitor:
        await _send_fault_request(replica, WipeDisk)
        with pytest.raises(LinkClosedError):
            while True:
                await monitor.receive()
    async with connect(replica, 'monitor') as reconnected:
        assert reconnected.opened.data_id != monitor.opened.data_id
    assert replica.database.received == (0, 0)
    await promote(primary, replica)
    await wait_for(lambda: replica.database.received.index == 1)


async def test_malformed_fault_request_does_not_stop_the_process(nursery):
    standin = await start(nursery)
    async with open_link(HOST, standin.port, '/v1/faults') as stream:
        stream.post(b'\x00')
        with pytest.raises(LinkClosedError):
            await stream.receive()
    async with connect(standin, 'monitor'):
        pass
