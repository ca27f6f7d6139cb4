"""Tests of failed upstreams: evidence, failover, effects on callers."""

from __future__ import annotations

from jackdawpost.core.messages.caller import Begin
from jackdawpost.core.messages.caller import Statement
from jackdawpost.core.messages.control import LeaseRevoke
from jackdawpost.core.positions import LogPosition
from jackdawpost.testing.proxy_simulation import GROUP
from jackdawpost.testing.proxy_simulation import ProxySimulation
from jackdawpost.testing.proxy_simulation import ROUTE


def evidence(sim: ProxySimulation) -> dict[str, str]:
    reports = [m for m in sim.control_sent if m.kind == 'proxy_report']
    return reports[-1].evidence if reports else {}


def error(answer: object) -> tuple[str, str]:
    return answer.outcome, answer.error.code


def test_refused_reconnect_is_reported_at_once(sim: ProxySimulation) -> None:
    sim.fail_upstream('db-1')
    assert evidence(sim)['db-1'] == 'refused'
    assert evidence(sim)['db-2'] == 'up'


def test_one_lost_connection_is_not_a_failure(sim: ProxySimulation) -> None:
    sim.disconnect(sim.find_conn('db-1', 'monitor'))
    sim.advance(500)
    reports = [m for m in sim.control_sent if m.kind == 'proxy_report']
    assert {m.evidence['db-1'] for m in reports} == {'up'}


def test_silent_connection_is_not_a_failure_if_a_second_one_works(
    sim: ProxySimulation,
) -> None:
    silent = sim.find_conn('db-1', 'monitor')
    sim.upstreams['db-1'].answers_probes = False
    sim.advance(350)
    sim.upstreams['db-1'].answers_probes = True
    sim.advance(400)
    assert silent in sim.closed_conns
    assert sim.state.upstreams['db-1'].evidence == 'up'
    assert evidence(sim).get('db-1', 'up') == 'up'


def test_silent_upstream_is_reported_after_a_second_connection(
    sim: ProxySimulation,
) -> None:
    sim.fail_upstream('db-1', 'silent')
    sim.advance(299)
    assert sim.state.upstreams['db-1'].evidence == 'up'
    sim.advance(900)
    assert evidence(sim)['db-1'] == 'silent'


def test_recovered_upstream_is_up_with_a_slow_start(
    sim: ProxySimulation,
) -> None:
    sim.fail_upstream('db-2')
    sim.upstreams['db-2'].reachable = 'yes'
    sim.upstreams['db-2'].answers_probes = True
    sim.advance(300)
    up = sim.state.upstreams['db-2']
    assert evidence(sim)['db-2'] == 'up'
    assert up.recovered_ms > 0


def test_wiped_database_is_reported_as_refused(sim: ProxySimulation) -> None:
    sim.publish(data_id='data-before-the-wipe')
    sim.advance(300)
    assert evidence(sim)['db-1'] == 'refused'
    conn = sim.connect_caller()
    sim.write(conn)
    assert not sim.statements


def test_failover_only_delays_writes(sim: ProxySimulation) -> None:
    conn = sim.connect_caller()
    sim.write(conn, 1)
    sim.fail_upstream('db-1')
    sim.statements.clear()
    sim.write(conn, 2)
    sim.deliver_from_control(LeaseRevoke(group=GROUP, term=1))
    sim.publish(primary=None)
    sim.advance(700)
    assert not sim.answers[conn] and not sim.statements
    sim.promote('db-2')
    sim.advance(60)
    keys = set()
    position = LogPosition(2, 12)
    sim.report_position(position)
    for up_conn, message in sim.statements:
        assert sim.conn_upstreams[up_conn] == 'db-2'
        assert message.term == 2
        keys.add(message.request_key)
        sim.reply(up_conn, message, position=position)
    assert keys == {'key-1', 'key-2'}
    assert [a.outcome for a in sim.answers[conn]] == ['done', 'done']


def test_answer_of_the_replaced_primary_is_not_acknowledged(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    sim.write(conn)
    up_conn, message = sim.pop_statement()
    sim.promote('db-2')
    assert up_conn in sim.closed_conns
    sim.reply(up_conn, message, position=LogPosition(1, 11), term=1)
    assert not sim.answers[conn]
    sim.advance(60)
    up_conn, message = sim.pop_statement()
    assert sim.conn_upstreams[up_conn] == 'db-2'


def test_unconfirmed_write_is_retried_in_the_new_term(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    sim.write(conn)
    up_conn, message = sim.pop_statement()
    sim.reply(up_conn, message, position=LogPosition(1, 11))
    sim.promote('db-2')
    sim.report_position(LogPosition(1, 11), 'db-3')
    assert not sim.answers[conn]
    sim.advance(60)
    up_conn, message = sim.pop_statement()
    sim.refuse(up_conn, message, 'statement_failed')
    answer = sim.pop_answer(conn)
    assert error(answer) == ('not_run', 'statement_failed')


def test_reads_with_accepted_age_wait_for_a_sample_of_the_new_term(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    sim.control_answers = False
    sim.promote('db-2')
    sim.read(conn, max_age_ms=500)
    assert not sim.statements
    sim.control_answers = True
    sim.publish(primary='db-2')
    sim.advance(5)
    assert sim.conn_upstreams[sim.pop_statement()[0]] != 'db-2'


def test_transaction_is_lost_when_its_term_ends(sim: ProxySimulation) -> None:
    conn = sim.connect_caller()
    sim.send_requests(conn, Begin(id=1, route=ROUTE))
    up_conn, message = sim.pop_statement()
    sim.reply(up_conn, message)
    handle = sim.pop_answer(conn).txn
    sim.promote('db-2')
    assert up_conn in sim.closed_conns
    sim.send_requests(
        conn, Statement(id=2, sql='x', access='write', txn=handle)
    )
    assert error(sim.pop_answer(conn)) == ('not_run', 'transaction_lost')


def test_write_without_primary_expires_at_its_deadline(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    sim.publish(primary=None)
    sim.write(conn, deadline_ms=400)
    sim.advance(400)
    assert error(sim.pop_answer(conn)) == ('not_run', 'no_primary')


def test_leaving_upstream_gets_no_new_statements(sim: ProxySimulation) -> None:
    sim.upstreams['db-1'].leaving = True
    sim.upstreams['db-2'].leaving = True
    sim.report_position(LogPosition(1, 10))
    conn = sim.connect_caller()
    sim.write(conn, 1)
    assert not sim.statements
    sim.read(conn, 2, max_age_ms=500)
    assert sim.conn_upstreams[sim.pop_statement()[0]] == 'db-3'


def test_read_refused_by_a_leaving_replica_is_sent_to_another(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    sim.read(conn, max_age_ms=500)
    up_conn, message = sim.pop_statement()
    first = sim.conn_upstreams[up_conn]
    sim.refuse(up_conn, message, 'leaving')
    assert sim.conn_upstreams[sim.pop_statement()[0]] not in (first, 'db-1')


def test_simultaneous_faults_neither_lose_nor_repeat_a_write(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    sim.write(conn, 1, deadline_ms=5_000)
    up_conn, message = sim.pop_statement()
    sim.reply(up_conn, message, position=LogPosition(1, 11))
    sim.fail_upstream('db-1')
    sim.disconnect(1)
    sim.advance(500)
    sim.open_control(2)
    sim.promote('db-2')
    sim.advance(60)
    assert not sim.answers[conn]
    up_conn, message = sim.pop_statement()
    assert message.request_key == 'key-1'
    position = LogPosition(1, 11)
    sim.report_position(LogPosition(2, 12), 'db-2', 'db-3')
    sim.reply(up_conn, message, position=position, duplicate=True)
    assert sim.pop_answer(conn).duplicate
