"""Sessions of the pooler: values, transactions, ends."""

from __future__ import annotations

from jackdawpost.core.messages.session import Done
from jackdawpost.core.messages.session import Failed
from jackdawpost.core.messages.session import Ready
from jackdawpost.testing.fake_pooler_world import endpoint
from jackdawpost.testing.fake_pooler_world import PoolerWorld


def test_unknown_database_is_refused_and_closed():
    world = PoolerWorld()
    conn = world.open('nowhere')
    assert [m.code for m in world.answer(conn)] == ['no_database']
    assert conn in world.closed


def test_session_opens_idle_without_a_position():
    world = PoolerWorld()
    conn = world.open('orders')
    assert world.answer(conn) == [Ready(state='idle', position=None)]


def test_session_values_are_on_the_connection_of_each_statement():
    # Guards against a pooled connection that keeps another session's values.
    world = PoolerWorld()
    first, second = world.open('returns'), world.open('returns')
    world.call(first, 'SET zone a')
    world.call(second, 'SET zone b')
    for conn, value in ((first, 'a'), (second, 'b'), (first, 'a')) * 4:
        assert isinstance(world.call(conn, 'READ 1'), Done)
        assert world.ran[-1].values == {'zone': value}


def test_session_without_values_gets_a_clean_connection():
    world = PoolerWorld()
    first, second = world.open('orders'), world.open('orders')
    world.call(first, 'SET zone a')
    world.call(first, 'READ 1')
    for _ in range(4):
        world.call(second, 'READ 1')
        assert world.ran[-1].values == {}


def test_prepared_names_of_two_sessions_do_not_mix():
    world = PoolerWorld()
    first, second = world.open('orders'), world.open('orders')
    world.call(first, 'PREPARE s1 READ q1')
    world.call(second, 'PREPARE s1 WRITE q2')
    before = world.databases['db-1'].index
    assert isinstance(world.call(first, 'EXECUTE s1 7'), Done)
    assert world.databases['db-1'].index == before
    assert isinstance(world.call(second, 'EXECUTE s1 7 x'), Done)
    assert world.databases['db-1'].index == before + 1


def test_unknown_prepared_name_is_refused_without_running():
    world = PoolerWorld()
    conn = world.open('orders')
    failed = world.call(conn, 'EXECUTE s9 7')
    assert failed.code == 'no_statement'
    assert not world.ran


def test_transaction_stays_on_one_connection_and_excludes_others():
    world = PoolerWorld()
    conn, other = world.open('orders'), world.open('orders')
    world.call(conn, 'BEGIN')
    world.call(conn, 'WRITE 1 a')
    world.call(other, 'WRITE 2 b')
    world.call(conn, 'WRITE 3 c')
    assert isinstance(world.call(conn, 'COMMIT'), Done)
    inside = [ran for ran in world.ran if ran.in_txn]
    assert [ran.text for ran in inside] == ['WRITE 1 a', 'WRITE 3 c', 'COMMIT']
    assert len({ran.conn for ran in inside}) == 1


def test_values_set_inside_a_transaction_reach_its_connection():
    world = PoolerWorld()
    conn = world.open('orders')
    world.call(conn, 'BEGIN')
    world.call(conn, 'READ 1')
    world.call(conn, 'SET zone a')
    world.call(conn, 'READ 2')
    assert world.ran[-1].values == {'zone': 'a'}


def test_caller_that_leaves_a_transaction_rolls_it_back():
    world = PoolerWorld()
    conn = world.open('orders')
    world.call(conn, 'BEGIN')
    world.call(conn, 'WRITE 1 a')
    world.leave(conn)
    world.run(100)
    assert not any(fake.txn for fake in world.conns.values())


def test_idle_transaction_is_ended_and_its_connection_returned():
    # Guards against callers that rest inside transactions and hold the few
    # connections that an upstream allows.
    world = PoolerWorld()
    conn = world.open('orders')
    world.call(conn, 'BEGIN')
    world.call(conn, 'WRITE 1 a')
    world.run(3_100)
    assert not any(fake.txn for fake in world.conns.values())
    failed = world.call(conn, 'WRITE 2 b')
    assert failed.code == 'malformed'
    assert isinstance(world.call(conn, 'ROLLBACK'), Done)
    assert isinstance(world.call(conn, 'WRITE 3 c'), Done)


def test_running_statement_keeps_a_transaction_from_being_idle():
    # Guards against a timer that was due at once, again and again, while a
    # statement of an old transaction ran: the process span for seconds.
    world = PoolerWorld()
    conn = world.open('orders')
    world.call(conn, 'BEGIN')
    world.call(conn, 'WRITE 1 a')
    world.run(2_950)
    world.databases['db-1'].work_ms = 400
    events = 0
    dispatch = world.dispatch

    def count(event):
        nonlocal events
        events += 1
        dispatch(event)

    world.dispatch = count
    assert isinstance(world.call(conn, 'WRITE 2 b'), Done)
    assert events < 100


def test_commit_without_answer_is_reported_as_unknown():
    world = PoolerWorld()
    conn = world.open('orders')
    world.call(conn, 'BEGIN')
    world.call(conn, 'WRITE 1 a')
    world.ask(conn, 'COMMIT')
    world.reset('db-1')
    failed = [m for m in world.answer(conn) if isinstance(m, Failed)]
    assert [m.code for m in failed] == ['unknown_outcome']


def test_lost_transaction_is_aborted_and_can_be_ended():
    world = PoolerWorld()
    conn = world.open('orders')
    world.call(conn, 'BEGIN')
    world.call(conn, 'WRITE 1 a')
    world.reset('db-1')
    assert world.call(conn, 'WRITE 2 b').code == 'malformed'
    assert isinstance(world.call(conn, 'ROLLBACK'), Done)
    assert world.answer(conn) == []


def test_dropped_endpoint_refuses_the_next_statement():
    world = PoolerWorld()
    conn = world.open('orders')
    world.publish([])
    assert world.call(conn, 'READ 1').code == 'no_database'


def test_endpoint_dropped_inside_a_transaction_lets_it_end():
    world = PoolerWorld()
    conn = world.open('orders')
    world.call(conn, 'BEGIN')
    world.call(conn, 'WRITE 1 a')
    world.publish([])
    assert isinstance(world.call(conn, 'COMMIT'), Done)


def test_statement_without_answer_gets_its_final_answer_before_the_end():
    # Its connection would end without a word.
    slow = endpoint('orders', 'primary', 0, timeout_ms=20_000)
    world = PoolerWorld([slow])
    writer, reader = world.open('orders'), world.open('orders')
    world.databases['db-1'].slots = 0
    world.ask(writer, 'WRITE 1 a')
    world.ask(reader, 'READ 1')
    world.run(200)
    world.drain()
    world.run(5_500)
    assert world.stopped
    codes = [
        message.code
        for conn in (writer, reader)
        for message in world.answer(conn)
        if isinstance(message, Failed)
    ]
    assert codes == ['unknown_outcome', 'aborted']


def test_drain_closes_idle_sessions_and_lets_transactions_end():
    # Guards against a shutdown that cuts statements in flight.
    world = PoolerWorld()
    idle, busy = world.open('orders'), world.open('orders')
    world.call(busy, 'BEGIN')
    world.call(busy, 'WRITE 1 a')
    world.drain()
    world.run(2_400)
    assert idle in world.closed
    assert busy not in world.closed
    assert isinstance(world.call(busy, 'COMMIT'), Done)
    world.run(500)
    assert busy in world.closed
    assert world.stopped


def test_statement_of_a_caller_that_left_is_not_placed_again():
    # A begin was on its way when the caller left and the connection was
    # reset: the process ended on the statement without a session.
    world = PoolerWorld()
    conn = world.open('orders')
    world.ask(conn, 'READ 1')
    world.run(20)
    world.call(conn, 'READ 2')
    world.ask(conn, 'READ 3')
    world.leave(conn)
    world.reset('db-1')
    world.run(500)
    assert not world.state.works
    assert [ran.text for ran in world.ran] == ['READ 1', 'READ 2']
