"""Where statements run, and what callers are told when they cannot."""

from __future__ import annotations

from jackdawpost.core.messages.control import UpstreamAction
from jackdawpost.core.messages.session import Done
from jackdawpost.core.messages.session import Failed
from jackdawpost.core.messages.session import Ready
from jackdawpost.core.positions import LogPosition
from jackdawpost.testing.pooler_simulation import CONTROL_CONN
from jackdawpost.testing.pooler_simulation import default_endpoints
from jackdawpost.testing.pooler_simulation import PoolerSimulation


def _codes(sim, conn):
    return [m.code for m in sim.pop_messages(conn) if isinstance(m, Failed)]


def test_read_of_a_primary_endpoint_proves_leadership_first():
    # A plain read at a replaced primary succeeds without a sign of it.
    sim = PoolerSimulation()
    conn = sim.open('orders')
    sim.promote('db-2')
    assert isinstance(sim.call(conn, 'READ 1'), Done)
    assert {executed.database for executed in sim.executed} == {'db-2'}


def test_write_at_a_replaced_primary_moves_to_the_new_one():
    sim = PoolerSimulation()
    conn = sim.open('orders')
    sim.call(conn, 'WRITE 1 a')
    sim.promote('db-3')
    assert isinstance(sim.call(conn, 'WRITE 2 b'), Done)
    assert sim.executed[-1].database == 'db-3'
    assert len(sim.executed) == 2


def test_write_without_answer_is_never_repeated():
    sim = PoolerSimulation()
    conn = sim.open('orders')
    request_id = sim.send_request(conn, 'WRITE 1 a')
    sim.databases['db-1'].lost_answers.add(request_id)
    sim.advance(1_500)
    assert _codes(sim, conn) == ['unknown_outcome']
    assert [executed.id for executed in sim.executed] == [request_id]


def test_write_on_a_lost_connection_is_never_repeated():
    sim = PoolerSimulation()
    conn = sim.open('orders')
    sim.call(conn, 'WRITE 1 a')
    sim.send_request(conn, 'WRITE 2 b')
    sim.advance(5)
    sim.reset_connections('db-1')
    sim.advance(500)
    assert _codes(sim, conn) == ['unknown_outcome']


def test_read_without_answer_is_tried_elsewhere():
    sim = PoolerSimulation()
    conn = sim.open('reports')
    request_id = sim.send_request(conn, 'READ 1')
    for database in sim.databases.values():
        database.lost_answers.add(request_id)
    sim.advance(502)
    for database in sim.databases.values():
        database.lost_answers.clear()
    sim.advance(400)
    messages = sim.pop_messages(conn)
    assert any(isinstance(m, Done) for m in messages)
    assert len({executed.database for executed in sim.executed}) == 2


def test_answer_of_a_later_request_is_not_taken_for_a_lost_one():
    # The guard's rollback is pipelined behind the read: if the read's answer
    # is lost, the rollback's must not reach the caller.
    sim = PoolerSimulation()
    conn = sim.open('orders')
    request_id = sim.send_request(conn, 'READ 1')
    sim.databases['db-1'].lost_answers.add(request_id)
    sim.advance(300)
    assert not any(
        isinstance(m, Done) and m.signature == '-'
        for m in sim.caller_messages[conn]
    )


def test_statement_that_no_upstream_took_is_refused_as_not_run():
    sim = PoolerSimulation()
    conn = sim.open('orders')
    sim.crash('db-1')
    sim.advance(50)
    sim.send_request(conn, 'WRITE 1 a')
    sim.advance(1_100)
    assert _codes(sim, conn) == ['overloaded']
    assert not sim.executed


def test_reads_follow_the_sessions_own_commit():
    # Guards against a replica that lacks what the session has written.
    sim = PoolerSimulation()
    conn = sim.open('returns')
    for name in ('db-2', 'db-3'):
        sim.databases[name].lag = 5
    sim.call(conn, 'WRITE 1 a')
    written = sim.executed[-1].position
    for _ in range(6):
        assert isinstance(sim.call(conn, 'READ 1'), Done)
        assert sim.executed[-1].position >= written


def test_bounded_read_accepts_a_replica_within_its_age():
    sim = PoolerSimulation()
    writer, reader = sim.open('orders'), sim.open('reports')
    sim.advance(1_700)
    # The replicas of this world never receive it.
    sim.call(writer, 'WRITE 1 a')
    sim.databases['db-1'].statement_ms = 300
    for _ in range(4):
        assert isinstance(sim.call(reader, 'READ 1'), Done)
    # The first ones show that the primary is slow.
    assert {executed.database for executed in sim.executed[-2:]} <= {
        'db-2',
        'db-3',
    }


def test_bounded_read_refuses_a_replica_beyond_its_age():
    sim = PoolerSimulation()
    writer, reader = sim.open('orders'), sim.open('reports')
    for name in ('db-2', 'db-3'):
        sim.databases[name].lag = 1
    sim.databases['db-2'].index -= 5
    sim.databases['db-3'].index -= 5
    sim.call(writer, 'WRITE 1 a')
    sim.advance(1_600)
    sim.call(reader, 'READ 1')
    assert sim.executed[-1].database == 'db-1'


def test_position_rolled_back_by_a_promotion_does_not_block_a_session():
    # The log of the new primary never holds that position.
    sim = PoolerSimulation()
    conn = sim.open('returns')
    sim.call(conn, 'WRITE 1 a')
    session = sim.state.sessions[conn]
    session.position = LogPosition(1, 500)
    sim.promote('db-2')
    sim.advance(500)
    assert isinstance(sim.call(conn, 'READ 1'), Done)


def test_first_statement_of_a_transaction_moves_after_a_promotion():
    sim = PoolerSimulation()
    conn = sim.open('orders')
    sim.call(conn, 'BEGIN')
    sim.promote('db-2')
    assert isinstance(sim.call(conn, 'WRITE 1 a'), Done)
    assert isinstance(sim.call(conn, 'COMMIT'), Done)
    assert {executed.database for executed in sim.executed} == {'db-2'}


def test_later_statement_of_a_transaction_is_refused_after_a_promotion():
    sim = PoolerSimulation()
    conn = sim.open('orders')
    sim.call(conn, 'BEGIN')
    sim.call(conn, 'WRITE 1 a')
    sim.promote('db-2')
    sim.send_request(conn, 'WRITE 2 b')
    sim.advance(100)
    failed, ready = sim.pop_messages(conn)[-2:]
    assert failed.code == 'not_primary'
    assert ready.state == 'failed_txn'
    assert isinstance(ready, Ready)


def test_refused_slot_is_retried():
    sim = PoolerSimulation()
    conn = sim.open('orders')
    request_id = sim.send_request(conn, 'WRITE 1 a')
    sim.databases['db-1'].refused_requests.add(request_id)
    sim.advance(30)
    sim.databases['db-1'].refused_requests.clear()
    sim.advance(300)
    assert any(isinstance(m, Done) for m in sim.pop_messages(conn))


def test_connections_stay_within_the_share_of_one_proxy():
    # 21 connections an upstream, 3 reserved, 4 proxies: 4 each, one of them
    # the monitor's.
    sim = PoolerSimulation()
    sim.publish(default_endpoints(), proxies=4)
    conns = [sim.open('orders') for _ in range(30)]
    for conn in conns:
        sim.send_request(conn, 'WRITE 1 a')
    sim.advance(600)
    of_primary = [c for c in sim.conns.values() if c.database.leads]
    assert len(of_primary) <= 4
    assert all(
        any(isinstance(m, Done) for m in sim.pop_messages(conn))
        for conn in conns
    )


def test_share_of_connections_does_not_grow_when_a_proxy_is_removed():
    # A removed proxy may only be cut off from control and go on serving.
    sim = PoolerSimulation()
    sim.publish(default_endpoints(), proxies=4)
    sim.publish(default_endpoints(), proxies=1)
    for conn in [sim.open('orders') for _ in range(30)]:
        sim.send_request(conn, 'WRITE 1 a')
    sim.advance(600)
    of_primary = [c for c in sim.conns.values() if c.database.leads]
    assert len(of_primary) <= 4


def test_reset_connection_is_no_evidence_against_an_upstream():
    sim = PoolerSimulation()
    sim.reset_connections('db-1')
    assert sim.state.pools['db-1'].reachability == 'up'
    sim.crash('db-1')
    sim.advance(300)
    assert sim.state.pools['db-1'].reachability == 'refused'


def test_evidence_of_a_silent_primary_reaches_control():
    sim = PoolerSimulation()
    sim.silence('db-1')
    sim.advance(2_500)
    assert sim.reports[-1].evidence['db-1'] == 'silent'
    assert sim.reports[-1].evidence['db-2'] == 'up'


def test_silence_of_a_primary_is_reported_within_three_quarters_of_a_second():
    # The failover gap starts with it: a promotion by the platform takes up
    # to a second more.
    sim = PoolerSimulation()
    sim.silence('db-1')
    cut_ms = sim.now_ms
    sim.advance(750)
    report = sim.reports[-1]
    assert report.evidence['db-1'] == 'silent'
    assert sim.now_ms - cut_ms <= 750


def test_crash_of_a_primary_is_reported_at_once():
    sim = PoolerSimulation()
    sim.crash('db-1')
    sim.advance(50)
    assert sim.reports[-1].evidence['db-1'] == 'refused'


def test_reads_leave_an_upstream_that_has_gone_silent():
    # Guards against reads that wait until their time is over.
    sim = PoolerSimulation()
    conns = [sim.open('reports') for _ in range(12)]
    for conn in conns:
        sim.send_request(conn, 'READ 1')
    sim.advance(5)
    sim.silence('db-2')
    sim.advance(750)
    for conn in conns:
        assert any(isinstance(m, Done) for m in sim.pop_messages(conn))
    for _ in range(6):
        started_ms = sim.now_ms
        assert isinstance(sim.call(conns[0], 'READ 2'), Done)
        assert sim.now_ms - started_ms < 100


def test_few_connections_are_opened_at_a_time():
    # After a loss of power an upstream still holds the old connections: a
    # burst of new ones would only be refused, and delay the next attempt.
    sim = PoolerSimulation()
    opening = []
    for conn in [sim.open('orders') for _ in range(20)]:
        sim.send_request(conn, 'WRITE 1 a')
        opening.append(
            sum(
                not conn.opened
                for conn in sim.state.conns.values()
                if conn.purpose == 'statements' and conn.upstream == 'db-1'
            )
        )
    assert max(opening) <= 2


def test_full_primary_is_tried_again_soon():
    sim = PoolerSimulation()
    pool = sim.state.pools['db-1']
    monitor = sim.state.conns[pool.monitor]
    sim.crash('db-1')
    sim.advance(1)
    del monitor
    # The fake refuses like one that has no connection left.
    for conn in list(sim.state.conns.values()):
        if conn.upstream == 'db-1':
            conn.refusal_code = 'no_connections'
    sim.databases['db-1'].reachable = 'up'
    sim.advance(300)
    assert sim.state.groups['spares'].primary == 'db-1'


def test_request_of_control_is_passed_on_to_an_upstream():
    sim = PoolerSimulation()
    action = UpstreamAction(upstream='db-2', action='pause', term=2, token=7)
    sim.receive(CONTROL_CONN, action)
    sim.advance(300)
    assert [(t.upstream, t.token) for t in sim.action_answers] == [('db-2', 7)]
    assert sim.action_answers[0].received == LogPosition(1, 10)
    assert sim.databases['db-2'].paused


def test_leaving_primary_gets_no_work_after_a_few_seconds():
    # It may have no successor yet; it ends soon in any case.
    sim = PoolerSimulation()
    conn = sim.open('orders')
    sim.databases['db-1'].leaving = True
    sim.publish(default_endpoints())
    assert isinstance(sim.call(conn, 'WRITE 1 a'), Done)
    sim.advance(5_100)
    executed = len(sim.executed)
    assert sim.call(conn, 'WRITE 2 b').code == 'overloaded'
    assert sim.call(conn, 'READ 1').code == 'overloaded'
    assert len(sim.executed) == executed


def test_replica_that_caught_up_is_used_for_own_writes_soon():
    # What is known of a replica's position ages while no read goes there.
    # Taking it for the present position keeps all reads of sessions that
    # write on the primary, which was overloaded long after the lag had gone.
    sim = PoolerSimulation()
    conn = sim.open('returns')
    sim.call(conn, 'WRITE 1 a')
    for name in ('db-2', 'db-3'):
        sim.databases[name].index = sim.databases['db-1'].index
    sim.databases['db-1'].statement_ms = 300
    sim.advance(200)
    for _ in range(4):
        assert isinstance(sim.call(conn, 'READ 1'), Done)
    assert {executed.database for executed in sim.executed[-2:]} <= {
        'db-2',
        'db-3',
    }


def test_replica_seen_behind_is_not_asked_by_every_read():
    sim = PoolerSimulation()
    conn = sim.open('returns')
    sim.call(conn, 'WRITE 1 a')
    for _ in range(20):
        assert isinstance(sim.call(conn, 'READ 1'), Done)
    lag_refusals = sum(
        executed.database != 'db-1' for executed in sim.executed
    )
    assert lag_refusals == 0
    assert len(sim.lag_refusals) <= 6


def test_read_that_may_have_run_is_never_refused_as_not_run():
    # Its first answer was lost; what is told later must still be true.
    sim = PoolerSimulation()
    conn = sim.open('reports')
    request_id = sim.send_request(conn, 'READ 1')
    for database in sim.databases.values():
        database.lost_answers.add(request_id)
    sim.advance(501)
    for name in sim.databases:
        sim.crash(name)
    sim.advance(1_500)
    assert sim.executed
    assert _codes(sim, conn) == ['aborted']
