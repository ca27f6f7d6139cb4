"""Tests of a proxy without faults: writes, reads and transactions."""

from __future__ import annotations

from jackdawpost.core.messages.caller import Begin
from jackdawpost.core.messages.caller import Commit
from jackdawpost.core.messages.caller import Statement
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.proxy.reducer import dump_proxy
from jackdawpost.core.proxy.reducer import is_healthy
from jackdawpost.core.tokens import decode_token
from jackdawpost.testing.proxy_simulation import GROUP
from jackdawpost.testing.proxy_simulation import ProxySimulation
from jackdawpost.testing.proxy_simulation import ROUTE


def test_write_then_read_on_the_primary(sim: ProxySimulation) -> None:
    conn = sim.connect_caller()
    sim.write(conn)
    up_conn, message = sim.pop_statement()
    assert sim.conn_upstreams[up_conn] == 'db-1'
    assert message.must_lead and message.request_key == 'key-1'
    position = LogPosition(1, 11)
    sim.report_position(position, 'db-2')
    sim.reply(up_conn, message, position=position, row_count=1)
    answer = sim.pop_answer(conn)
    assert answer.outcome == 'done'
    assert decode_token(answer.session).position(GROUP) == position

    sim.read(conn, 2, session=answer.session)
    up_conn, message = sim.pop_statement()
    assert sim.conn_upstreams[up_conn] == 'db-1'
    assert message.after == position
    sim.reply(up_conn, message, position=position, rows=[[1]])
    answer = sim.pop_answer(conn)
    assert (answer.source, answer.age_ms) == ('primary', 0)
    assert is_healthy(sim.state)


def test_read_with_accepted_age_on_a_replica(sim: ProxySimulation) -> None:
    conn = sim.connect_caller()
    sim.read(conn, max_age_ms=400)
    up_conn, message = sim.pop_statement()
    assert sim.conn_upstreams[up_conn] != 'db-1'
    assert message.fresh_after == LogPosition(1, 10)
    assert not message.must_lead
    sim.advance(20)
    sim.reply(up_conn, message, position=LogPosition(1, 10))
    answer = sim.pop_answer(conn)
    assert answer.source == 'replica'
    assert 20 <= answer.age_ms <= 400


def test_transaction_from_begin_to_commit(sim: ProxySimulation) -> None:
    conn = sim.connect_caller()
    sim.send_requests(conn, Begin(id=1, route=ROUTE))
    up_conn, begin = sim.pop_statement()
    sim.reply(up_conn, begin)
    handle = sim.pop_answer(conn).txn
    sim.send_requests(
        conn, Statement(id=2, sql='x', access='write', txn=handle)
    )
    second_conn, statement = sim.pop_statement()
    assert second_conn == up_conn and statement.in_txn
    sim.reply(second_conn, statement, row_count=1)
    assert sim.pop_answer(conn).outcome == 'done'
    sim.send_requests(conn, Commit(id=3, txn=handle, request_key='k'))
    third_conn, commit = sim.pop_statement()
    assert third_conn == up_conn and commit.request_key == 'k'
    position = LogPosition(1, 12)
    sim.reply(third_conn, commit, position=position)
    assert not sim.answers[conn]
    sim.report_position(position, 'db-3')
    answer = sim.pop_answer(conn)
    assert decode_token(answer.session).position(GROUP) == position
    assert not sim.state.txns


def test_waiting_statements_share_a_frame(sim: ProxySimulation) -> None:
    callers = [sim.connect_caller() for _ in range(30)]
    for conn in callers:
        sim.read(conn)
    first = {c for c, _ in sim.statements}
    assert len(first) <= 3
    conn, message = sim.statements.pop(0)
    sim.reply(conn, message)
    shared = [m for c, m in sim.statements if c == conn]
    assert 2 <= len(shared) <= 8


def test_dump_is_plain_data(sim: ProxySimulation) -> None:
    import json

    conn = sim.connect_caller()
    sim.write(conn)
    assert json.loads(json.dumps(dump_proxy(sim.state)))['requests'] == 1
