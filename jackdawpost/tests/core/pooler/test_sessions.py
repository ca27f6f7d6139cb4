"""Tests of the pooler's sessions: session values, transactions, drain, end."""

from __future__ import annotations

from jackdawpost.core.messages.session import Done
from jackdawpost.core.messages.session import EndSession
from jackdawpost.core.messages.session import Failed
from jackdawpost.core.messages.session import Ready
from jackdawpost.testing.pooler_simulation import build_request
from jackdawpost.testing.pooler_simulation import endpoint
from jackdawpost.testing.pooler_simulation import PoolerSimulation


def test_unknown_database_is_refused_and_closed():
    sim = PoolerSimulation()
    conn = sim.open('nowhere')
    assert [m.code for m in sim.pop_messages(conn)] == ['no_database']
    assert conn in sim.closed


def test_session_opens_idle_without_a_position():
    sim = PoolerSimulation()
    conn = sim.open('orders')
    assert sim.pop_messages(conn) == [Ready(state='idle', position=None)]


def test_session_values_are_on_the_connection_of_each_statement():
    # Guards against a pooled connection that still has the values of another
    # session.
    sim = PoolerSimulation()
    first, second = sim.open('returns'), sim.open('returns')
    sim.call(first, 'SET zone a')
    sim.call(second, 'SET zone b')
    for conn, value in ((first, 'a'), (second, 'b'), (first, 'a')) * 4:
        assert isinstance(sim.call(conn, 'READ 1'), Done)
        assert sim.executed[-1].values == {'zone': value}


def test_session_without_values_gets_a_reset_connection():
    sim = PoolerSimulation()
    first, second = sim.open('orders'), sim.open('orders')
    sim.call(first, 'SET zone a')
    sim.call(first, 'READ 1')
    for _ in range(4):
        sim.call(second, 'READ 1')
        assert sim.executed[-1].values == {}


def test_prepared_names_of_two_sessions_do_not_mix():
    sim = PoolerSimulation()
    first, second = sim.open('orders'), sim.open('orders')
    sim.call(first, 'PREPARE s1 READ q1')
    sim.call(second, 'PREPARE s1 WRITE q2')
    before = sim.databases['db-1'].index
    assert isinstance(sim.call(first, 'EXECUTE s1 7'), Done)
    assert sim.databases['db-1'].index == before
    assert isinstance(sim.call(second, 'EXECUTE s1 7 x'), Done)
    assert sim.databases['db-1'].index == before + 1


def test_unknown_prepared_name_is_refused_without_running():
    sim = PoolerSimulation()
    conn = sim.open('orders')
    failed = sim.call(conn, 'EXECUTE s9 7')
    assert failed.code == 'no_statement'
    assert not sim.executed


def test_transaction_stays_on_one_connection_and_excludes_others():
    sim = PoolerSimulation()
    conn, other = sim.open('orders'), sim.open('orders')
    sim.call(conn, 'BEGIN')
    sim.call(conn, 'WRITE 1 a')
    sim.call(other, 'WRITE 2 b')
    sim.call(conn, 'WRITE 3 c')
    assert isinstance(sim.call(conn, 'COMMIT'), Done)
    inside = [executed for executed in sim.executed if executed.in_txn]
    assert [executed.text for executed in inside] == [
        'WRITE 1 a',
        'WRITE 3 c',
        'COMMIT',
    ]
    assert len({executed.conn for executed in inside}) == 1


def test_values_set_inside_a_transaction_reach_its_connection():
    sim = PoolerSimulation()
    conn = sim.open('orders')
    sim.call(conn, 'BEGIN')
    sim.call(conn, 'READ 1')
    sim.call(conn, 'SET zone a')
    sim.call(conn, 'READ 2')
    assert sim.executed[-1].values == {'zone': 'a'}


def test_disconnect_rolls_back_an_open_transaction():
    sim = PoolerSimulation()
    conn = sim.open('orders')
    sim.call(conn, 'BEGIN')
    sim.call(conn, 'WRITE 1 a')
    sim.disconnect(conn)
    sim.advance(100)
    assert not any(fake.txn for fake in sim.conns.values())


def test_idle_transaction_is_ended_and_its_connection_returned():
    # Guards against idle transactions that occupy the few connections that an
    # upstream allows.
    sim = PoolerSimulation()
    conn = sim.open('orders')
    sim.call(conn, 'BEGIN')
    sim.call(conn, 'WRITE 1 a')
    sim.advance(3_100)
    assert not any(fake.txn for fake in sim.conns.values())
    failed = sim.call(conn, 'WRITE 2 b')
    assert failed.code == 'failed_txn'
    assert isinstance(sim.call(conn, 'ROLLBACK'), Done)
    assert isinstance(sim.call(conn, 'WRITE 3 c'), Done)


def test_running_statement_keeps_a_transaction_from_being_idle():
    # Guards against a busy loop of several seconds: while a statement of an
    # old transaction ran, the idle timer was set again to a time already past.
    sim = PoolerSimulation()
    conn = sim.open('orders')
    sim.call(conn, 'BEGIN')
    sim.call(conn, 'WRITE 1 a')
    sim.advance(2_950)
    sim.databases['db-1'].statement_ms = 400
    events = 0
    dispatch = sim.dispatch

    def count(event):
        nonlocal events
        events += 1
        dispatch(event)

    sim.dispatch = count
    assert isinstance(sim.call(conn, 'WRITE 2 b'), Done)
    assert events < 100


def test_commit_without_answer_is_reported_as_unknown():
    sim = PoolerSimulation()
    conn = sim.open('orders')
    sim.call(conn, 'BEGIN')
    sim.call(conn, 'WRITE 1 a')
    sim.send_request(conn, 'COMMIT')
    sim.reset_connections('db-1')
    failed = [m for m in sim.pop_messages(conn) if isinstance(m, Failed)]
    assert [m.code for m in failed] == ['unknown_outcome']


def test_lost_transaction_is_aborted_and_can_be_ended():
    sim = PoolerSimulation()
    conn = sim.open('orders')
    sim.call(conn, 'BEGIN')
    sim.call(conn, 'WRITE 1 a')
    sim.reset_connections('db-1')
    # The failed transaction is the state of the session. The statement itself
    # is well-formed.
    assert sim.call(conn, 'WRITE 2 b').code == 'failed_txn'
    assert isinstance(sim.call(conn, 'ROLLBACK'), Done)
    assert sim.pop_messages(conn) == []


def test_refusal_of_a_request_is_logged_with_its_id():
    # Operators start from the id of a failed request.
    sim = PoolerSimulation()
    conn = sim.open('orders')
    request_id = sim.send_request(conn, 'COMMIT')
    [line] = [line for line in sim.logs if line.event == 'request_refused']
    assert line.fields['request'] == request_id
    assert line.fields['session'] == conn


def test_dropped_endpoint_refuses_the_next_statement():
    sim = PoolerSimulation()
    conn = sim.open('orders')
    sim.publish([])
    assert sim.call(conn, 'READ 1').code == 'no_database'


def test_endpoint_dropped_inside_a_transaction_lets_it_end():
    sim = PoolerSimulation()
    conn = sim.open('orders')
    sim.call(conn, 'BEGIN')
    sim.call(conn, 'WRITE 1 a')
    sim.publish([])
    assert isinstance(sim.call(conn, 'COMMIT'), Done)


def test_unanswered_statement_gets_its_final_answer_before_the_exit():
    # Guards against a shutdown that closes the connection without an answer.
    slow = endpoint('orders', 'primary', 0, timeout_ms=20_000)
    sim = PoolerSimulation([slow])
    writer, reader = sim.open('orders'), sim.open('orders')
    sim.databases['db-1'].slots = 0
    sim.send_request(writer, 'WRITE 1 a')
    sim.send_request(reader, 'READ 1')
    sim.advance(200)
    sim.drain()
    sim.advance(5_500)
    assert sim.stopped
    codes = [
        message.code
        for conn in (writer, reader)
        for message in sim.pop_messages(conn)
        if isinstance(message, Failed)
    ]
    assert codes == ['unknown_outcome', 'aborted']


def test_drain_closes_idle_sessions_and_lets_transactions_end():
    # Guards against a shutdown that aborts statements in flight.
    sim = PoolerSimulation()
    idle, busy = sim.open('orders'), sim.open('orders')
    sim.call(busy, 'BEGIN')
    sim.call(busy, 'WRITE 1 a')
    sim.drain()
    sim.advance(2_400)
    assert idle in sim.closed
    assert busy not in sim.closed
    assert isinstance(sim.call(busy, 'COMMIT'), Done)
    sim.advance(500)
    assert busy in sim.closed
    assert sim.stopped


def _drain_idle_transaction():
    sim = PoolerSimulation()
    conn = sim.open('orders')
    sim.call(conn, 'BEGIN')
    sim.call(conn, 'WRITE 1 a')
    sim.pop_messages(conn)
    sim.drain()
    sim.advance(3_500)
    return sim, conn


def test_transaction_aborted_by_a_drain_sends_nothing_out_of_turn():
    # Guards against an error that crosses the caller's next request and is
    # taken for the answer to it.
    sim, conn = _drain_idle_transaction()
    assert sim.pop_messages(conn) == []
    assert conn not in sim.closed
    sim.send_request(conn, 'WRITE 1 b')
    [failed, ready] = sim.pop_messages(conn)
    assert (failed.code, ready.state) == ('aborted', 'failed_txn')
    assert isinstance(sim.call(conn, 'ROLLBACK'), Done)
    sim.advance(200)
    assert conn in sim.closed
    assert sim.stopped
    assert 'WRITE 1 b' not in [e.text for e in sim.executed]


def test_commit_after_an_abort_by_a_drain_is_refused():
    sim, conn = _drain_idle_transaction()
    assert sim.call(conn, 'COMMIT').code == 'aborted'
    assert 'COMMIT' not in [executed.text for executed in sim.executed]


def test_request_that_crosses_the_end_of_its_session_gets_no_answer():
    # Guards against an answer out of turn on a connection that is closing.
    sim = PoolerSimulation()
    conn, busy = sim.open('orders'), sim.open('orders')
    sim.call(busy, 'BEGIN')
    sim.drain()
    sim.advance(2_400)
    assert conn in sim.closed
    assert not sim.stopped
    sim.pop_messages(conn)
    sim.send_request(conn, 'READ 1')
    sim.receive(conn, EndSession())
    assert sim.pop_messages(conn) == []
    sim.disconnect(conn)
    assert not sim.state.closing


def test_requests_after_the_end_in_one_frame_get_no_answer():
    sim = PoolerSimulation()
    conn = sim.open('orders')
    sim.pop_messages(conn)
    sim.receive(conn, EndSession(), build_request('late', 'READ 1'))
    assert sim.pop_messages(conn) == []


def test_statement_of_a_disconnected_caller_is_not_retried():
    # Guards against a crash: a begin was outstanding when the caller
    # disconnected and the upstream connection was reset, and the statement was
    # queued again although it had no session any more.
    sim = PoolerSimulation()
    conn = sim.open('orders')
    sim.send_request(conn, 'READ 1')
    sim.advance(20)
    sim.call(conn, 'READ 2')
    sim.send_request(conn, 'READ 3')
    sim.disconnect(conn)
    sim.reset_connections('db-1')
    sim.advance(500)
    assert not sim.state.tasks
    assert [executed.text for executed in sim.executed] == ['READ 1', 'READ 2']
