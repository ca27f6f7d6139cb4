"""Failures of upstreams: evidence, failover and what callers see."""

from __future__ import annotations

from jackdawpost.core.messages.caller import Begin
from jackdawpost.core.messages.caller import Statement
from jackdawpost.core.messages.control import LeaseRevoke
from jackdawpost.core.positions import LogPosition
from jackdawpost.testing.fake_proxy_world import GROUP
from jackdawpost.testing.fake_proxy_world import ProxyWorld
from jackdawpost.testing.fake_proxy_world import ROUTE


def evidence(world: ProxyWorld) -> dict[str, str]:
    reports = [m for m in world.control_sent if m.kind == 'proxy_report']
    return reports[-1].evidence if reports else {}


def error(answer: object) -> tuple[str, str]:
    return answer.outcome, answer.error.code


def test_refused_reconnect_is_reported_at_once(world: ProxyWorld) -> None:
    world.fail('db-1')
    assert evidence(world)['db-1'] == 'refused'
    assert evidence(world)['db-2'] == 'up'


def test_one_lost_connection_is_no_evidence(world: ProxyWorld) -> None:
    world.cut(world.conn_of('db-1', 'monitor'))
    world.advance(500)
    reports = [m for m in world.control_sent if m.kind == 'proxy_report']
    assert {m.evidence['db-1'] for m in reports} == {'up'}


def test_silent_connection_with_a_working_second_is_no_evidence(
    world: ProxyWorld,
) -> None:
    silent = world.conn_of('db-1', 'monitor')
    world.upstreams['db-1'].answers_probes = False
    world.advance(350)
    world.upstreams['db-1'].answers_probes = True
    world.advance(400)
    assert silent in world.closed
    assert world.state.upstreams['db-1'].evidence == 'up'
    assert evidence(world).get('db-1', 'up') == 'up'


def test_silent_upstream_is_reported_after_a_second_connection(
    world: ProxyWorld,
) -> None:
    world.fail('db-1', 'silent')
    world.advance(299)
    assert world.state.upstreams['db-1'].evidence == 'up'
    world.advance(900)
    assert evidence(world)['db-1'] == 'silent'


def test_returning_upstream_is_up_again_with_a_slow_start(
    world: ProxyWorld,
) -> None:
    world.fail('db-2')
    world.upstreams['db-2'].reachable = 'yes'
    world.upstreams['db-2'].answers_probes = True
    world.advance(300)
    up = world.state.upstreams['db-2']
    assert evidence(world)['db-2'] == 'up'
    assert up.returned_ms > 0


def test_wiped_database_counts_as_gone(world: ProxyWorld) -> None:
    world.publish(data_id='data-before-the-wipe')
    world.advance(300)
    assert evidence(world)['db-1'] == 'refused'
    conn = world.caller()
    world.write(conn)
    assert not world.work


def test_failover_looks_like_a_pause(world: ProxyWorld) -> None:
    conn = world.caller()
    world.write(conn, 1)
    world.fail('db-1')
    world.work.clear()
    world.write(conn, 2)
    world.from_control(LeaseRevoke(group=GROUP, term=1))
    world.publish(primary=None)
    world.advance(700)
    assert not world.answers[conn] and not world.work
    world.promote('db-2')
    world.advance(60)
    keys = set()
    position = LogPosition(2, 12)
    world.move(position)
    for up_conn, message in world.work:
        assert world.conn_names[up_conn] == 'db-2'
        assert message.term == 2
        keys.add(message.request_key)
        world.reply(up_conn, message, position=position)
    assert keys == {'key-1', 'key-2'}
    assert [a.outcome for a in world.answers[conn]] == ['done', 'done']


def test_answer_of_the_replaced_primary_is_not_acknowledged(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    world.write(conn)
    up_conn, message = world.take()
    world.promote('db-2')
    assert up_conn in world.closed
    world.reply(up_conn, message, position=LogPosition(1, 11), term=1)
    assert not world.answers[conn]
    world.advance(60)
    up_conn, message = world.take()
    assert world.conn_names[up_conn] == 'db-2'


def test_unconfirmed_write_is_made_again_in_the_new_term(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    world.write(conn)
    up_conn, message = world.take()
    world.reply(up_conn, message, position=LogPosition(1, 11))
    world.promote('db-2')
    world.move(LogPosition(1, 11), 'db-3')
    assert not world.answers[conn]
    world.advance(60)
    up_conn, message = world.take()
    world.refuse(up_conn, message, 'statement_failed')
    answer = world.answer(conn)
    assert error(answer) == ('not_run', 'statement_failed')


def test_reads_with_accepted_age_wait_for_a_sample_of_the_new_term(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    world.control_answers = False
    world.promote('db-2')
    world.read(conn, max_age_ms=500)
    assert not world.work
    world.control_answers = True
    world.publish(primary='db-2')
    world.advance(5)
    assert world.conn_names[world.take()[0]] != 'db-2'


def test_transaction_ends_with_its_term(world: ProxyWorld) -> None:
    conn = world.caller()
    world.ask(conn, Begin(id=1, route=ROUTE))
    up_conn, message = world.take()
    world.reply(up_conn, message)
    handle = world.answer(conn).txn
    world.promote('db-2')
    assert up_conn in world.closed
    world.ask(conn, Statement(id=2, sql='x', access='write', txn=handle))
    assert error(world.answer(conn)) == ('not_run', 'transaction_lost')


def test_write_without_primary_expires_at_its_deadline(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    world.publish(primary=None)
    world.write(conn, deadline_ms=400)
    world.advance(400)
    assert error(world.answer(conn)) == ('not_run', 'no_primary')


def test_leaving_upstream_gets_no_new_work(world: ProxyWorld) -> None:
    world.upstreams['db-1'].leaving = True
    world.upstreams['db-2'].leaving = True
    world.move(LogPosition(1, 10))
    conn = world.caller()
    world.write(conn, 1)
    assert not world.work
    world.read(conn, 2, max_age_ms=500)
    assert world.conn_names[world.take()[0]] == 'db-3'


def test_refusal_as_leaving_sends_the_request_elsewhere(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    world.read(conn, max_age_ms=500)
    up_conn, message = world.take()
    first = world.conn_names[up_conn]
    world.refuse(up_conn, message, 'leaving')
    assert world.conn_names[world.take()[0]] not in (first, 'db-1')


def test_two_faults_at_once_lose_and_repeat_nothing(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    world.write(conn, 1, deadline_ms=5_000)
    up_conn, message = world.take()
    world.reply(up_conn, message, position=LogPosition(1, 11))
    world.fail('db-1')
    world.cut(1)
    world.advance(500)
    world.open_control(2)
    world.promote('db-2')
    world.advance(60)
    assert not world.answers[conn]
    up_conn, message = world.take()
    assert message.request_key == 'key-1'
    position = LogPosition(1, 11)
    world.move(LogPosition(2, 12), 'db-2', 'db-3')
    world.reply(up_conn, message, position=position, duplicate=True)
    assert world.answer(conn).duplicate
