"""A proxy without faults: what callers and upstreams see."""

from __future__ import annotations

from jackdawpost.core.messages.caller import Begin
from jackdawpost.core.messages.caller import Commit
from jackdawpost.core.messages.caller import Statement
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.proxy.reducer import dump_proxy
from jackdawpost.core.proxy.reducer import is_healthy
from jackdawpost.core.tokens import decode_token
from jackdawpost.testing.fake_proxy_world import GROUP
from jackdawpost.testing.fake_proxy_world import ProxyWorld
from jackdawpost.testing.fake_proxy_world import ROUTE


def test_write_then_read_on_the_primary(world: ProxyWorld) -> None:
    conn = world.caller()
    world.write(conn)
    upstream_conn, message = world.take()
    assert world.conn_names[upstream_conn] == 'db-1'
    assert message.must_lead and message.request_key == 'key-1'
    position = LogPosition(1, 11)
    world.move(position, 'db-2')
    world.reply(upstream_conn, message, position=position, row_count=1)
    answer = world.answer(conn)
    assert answer.outcome == 'done'
    assert decode_token(answer.session).position(GROUP) == position

    world.read(conn, 2, session=answer.session)
    upstream_conn, message = world.take()
    assert world.conn_names[upstream_conn] == 'db-1'
    assert message.after == position
    world.reply(upstream_conn, message, position=position, rows=[[1]])
    answer = world.answer(conn)
    assert (answer.source, answer.age_ms) == ('primary', 0)
    assert is_healthy(world.state)


def test_read_with_accepted_age_on_a_replica(world: ProxyWorld) -> None:
    conn = world.caller()
    world.read(conn, max_age_ms=400)
    upstream_conn, message = world.take()
    assert world.conn_names[upstream_conn] != 'db-1'
    assert message.fresh_after == LogPosition(1, 10)
    assert not message.must_lead
    world.advance(20)
    world.reply(upstream_conn, message, position=LogPosition(1, 10))
    answer = world.answer(conn)
    assert answer.source == 'replica'
    assert 20 <= answer.age_ms <= 400


def test_transaction_from_begin_to_commit(world: ProxyWorld) -> None:
    conn = world.caller()
    world.ask(conn, Begin(id=1, route=ROUTE))
    upstream_conn, begin = world.take()
    world.reply(upstream_conn, begin)
    handle = world.answer(conn).txn
    world.ask(conn, Statement(id=2, sql='x', access='write', txn=handle))
    second_conn, statement = world.take()
    assert second_conn == upstream_conn and statement.in_txn
    world.reply(second_conn, statement, row_count=1)
    assert world.answer(conn).outcome == 'done'
    world.ask(conn, Commit(id=3, txn=handle, request_key='k'))
    third_conn, commit = world.take()
    assert third_conn == upstream_conn and commit.request_key == 'k'
    position = LogPosition(1, 12)
    world.reply(third_conn, commit, position=position)
    assert not world.answers[conn]
    world.move(position, 'db-3')
    answer = world.answer(conn)
    assert decode_token(answer.session).position(GROUP) == position
    assert not world.state.txns


def test_waiting_statements_share_a_frame(world: ProxyWorld) -> None:
    callers = [world.caller() for _ in range(30)]
    for conn in callers:
        world.read(conn)
    first = {c for c, _ in world.work}
    assert len(first) <= 3
    conn, message = world.work.pop(0)
    world.reply(conn, message)
    shared = [m for c, m in world.work if c == conn]
    assert 2 <= len(shared) <= 8


def test_dump_is_plain_data(world: ProxyWorld) -> None:
    import json

    conn = world.caller()
    world.write(conn)
    assert json.loads(json.dumps(dump_proxy(world.state)))['requests'] == 1
