"""Tests of requests under faults: outcomes, ids, ages and durability."""

from __future__ import annotations

import pytest

from jackdawpost.core.events import FrameRejected
from jackdawpost.core.events import Received
from jackdawpost.core.messages.caller import Statement
from jackdawpost.core.messages.control import LeaseRevoke
from jackdawpost.core.messages.control import PermitGrant
from jackdawpost.core.messages.upstream import Executed
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.proxy.conns import ANSWER_GRACE_MS
from jackdawpost.core.tokens import encode_token
from jackdawpost.core.tokens import SessionToken
from jackdawpost.testing.proxy_simulation import GROUP
from jackdawpost.testing.proxy_simulation import ProxySimulation
from jackdawpost.testing.proxy_simulation import ROUTE

NEXT_POSITION = LogPosition(1, 11)


def error(answer: object) -> tuple[str, str]:
    return answer.outcome, answer.error.code


def test_late_answer_to_an_abandoned_request_is_discarded(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    sim.read(conn, 1, deadline_ms=100)
    up_conn, message = sim.pop_statement()
    sim.advance(100)
    assert error(sim.pop_answer(conn)) == ('unknown', 'deadline')
    assert up_conn in sim.closed_conns
    sim.read(conn, 1)
    second_conn, _ = sim.pop_statement()
    assert second_conn != up_conn
    sim.reply(up_conn, message, rows=[['late']])
    assert not sim.answers[conn]


def test_answer_with_an_unknown_or_repeated_id_is_ignored(
    sim: ProxySimulation,
) -> None:
    first, second = sim.connect_caller(), sim.connect_caller()
    sim.read(first, 7)
    sim.read(second, 7)
    (conn_a, message_a), (conn_b, message_b) = sim.statements
    sim.reply(conn_a, message_b, rows=[['wrong connection']])
    assert not sim.answers[first] and not sim.answers[second]
    sim.reply(conn_b, message_b, rows=[['b']])
    sim.reply(conn_a, message_a, rows=[['a']])
    sim.reply(conn_a, message_a, rows=[['again']])
    assert sim.pop_answer(first).rows == [['a']]
    assert sim.pop_answer(second).rows == [['b']]


def test_request_id_in_use_is_refused(sim: ProxySimulation) -> None:
    conn = sim.connect_caller()
    sim.read(conn, 1)
    up_conn, message = sim.pop_statement()
    sim.read(conn, 1)
    assert error(sim.pop_answer(conn)) == ('not_run', 'duplicate_id')
    sim.feed(
        FrameRejected(now_ms=sim.now_ms, conn=conn, request_id=1, detail='')
    )
    assert sim.pop_answer(conn).id == 0
    sim.reply(up_conn, message)
    assert sim.pop_answer(conn).outcome == 'done'


def test_lease_lost_in_flight_makes_the_write_unknown(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    sim.send_requests(
        conn,
        Statement(id=1, route=ROUTE, sql='x', access='write', idempotent=True),
    )
    up_conn, message = sim.pop_statement()
    sim.deliver_from_control(LeaseRevoke(group=GROUP, term=1))
    assert sim.control_sent[-1].kind == 'lease_revoked'
    sim.report_position(NEXT_POSITION)
    sim.reply(up_conn, message, position=NEXT_POSITION)
    assert not sim.answers[conn]
    sim.advance(2_000)
    assert sim.pop_answer(conn).outcome == 'unknown'


def test_suspended_process_does_not_acknowledge_after_its_lease(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    sim.write(conn, deadline_ms=60_000)
    up_conn, message = sim.pop_statement()
    sim.report_position(NEXT_POSITION)
    sim.suspend_process(1_600)
    sim.reply(up_conn, message, position=NEXT_POSITION)
    assert error(sim.pop_answer(conn)) == ('unknown', 'lease_lost')


def test_suspended_process_sends_nothing_after_its_lease(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    sim.suspend_process(1_600)
    sim.write(conn)
    assert not sim.statements
    assert error(sim.pop_answer(conn)) == ('not_run', 'control_unreachable')


def test_nothing_is_sent_without_a_lease(sim: ProxySimulation) -> None:
    conn = sim.connect_caller()
    sim.deliver_from_control(LeaseRevoke(group=GROUP, term=1))
    sim.write(conn, 1)
    sim.read(conn, 2)
    assert not sim.statements


def test_replication_after_the_lease_acknowledges_nothing(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    sim.write(conn, deadline_ms=5_000)
    up_conn, message = sim.pop_statement()
    sim.reply(up_conn, message, position=NEXT_POSITION)
    sim.control_answers = False
    sim.advance(1_500)
    sim.report_position(NEXT_POSITION)
    assert not sim.answers[conn]
    sim.advance(3_500)
    assert error(sim.pop_answer(conn)) == ('unknown', 'not_durable')


def test_write_without_request_key_is_not_retried_after_a_loss(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    sim.write(conn)
    up_conn, _ = sim.pop_statement()
    (req,) = sim.state.requests.values()
    req.message.request_key = None
    sim.disconnect(up_conn)
    assert error(sim.pop_answer(conn)) == ('unknown', 'connection_lost')
    assert not sim.statements


def test_write_is_not_acknowledged_until_enough_databases_hold_it(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    sim.write(conn, deadline_ms=500)
    up_conn, message = sim.pop_statement()
    sim.report_position(NEXT_POSITION, 'db-1')
    sim.reply(up_conn, message, position=NEXT_POSITION)
    sim.upstreams['db-2'].term = 2
    sim.report_position(NEXT_POSITION, 'db-2')
    assert not sim.answers[conn]
    sim.advance(500)
    assert error(sim.pop_answer(conn)) == ('unknown', 'not_durable')


def test_database_outside_the_database_set_confirms_nothing(
    sim: ProxySimulation,
) -> None:
    """Guards against an acknowledged write that a promotion loses.

    A promotion counts its quorum over the published database set and can
    succeed without asking any other database.
    """
    sim.database_set = ('db-1', 'db-3')
    sim.publish()
    conn = sim.connect_caller()
    sim.write(conn)
    up_conn, message = sim.pop_statement()
    sim.reply(up_conn, message, position=NEXT_POSITION)
    sim.report_position(NEXT_POSITION, 'db-2')
    assert not sim.answers[conn]
    sim.report_position(NEXT_POSITION, 'db-3')
    assert sim.pop_answer(conn).outcome == 'done'


def test_statement_timeout_never_exceeds_the_limit(
    sim: ProxySimulation,
) -> None:
    """Guards against a statement of a lost proxy that outlasts its permit."""
    sim.write(sim.connect_caller(), deadline_ms=60_000)
    _, message = sim.pop_statement()
    assert message.timeout_ms <= sim.state.cfg.max_statement_ms


def test_writes_answered_out_of_order_are_acknowledged_once_replicated(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    for request_id in (1, 2, 3):
        sim.write(conn, request_id)
    for index, (up_conn, message) in enumerate(reversed(sim.statements)):
        sim.reply(up_conn, message, position=LogPosition(1, 11 + index))
    assert not sim.answers[conn]
    sim.report_position(LogPosition(1, 12), 'db-2')
    assert [a.id for a in sim.answers[conn]] == [3, 2]


def test_token_of_lost_history_has_its_own_error_code(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    token = encode_token(SessionToken(((GROUP, LogPosition(0, 99)),)))
    sim.read(conn, session=token, max_age_ms=900)
    up_conn, message = sim.pop_statement()
    assert sim.conn_upstreams[up_conn] != 'db-1'
    assert message.after == LogPosition(0, 99)
    sim.refuse(up_conn, message, 'history_lost')
    up_conn, message = sim.pop_statement()
    assert sim.conn_upstreams[up_conn] == 'db-1'
    sim.refuse(up_conn, message, 'history_lost')
    answer = sim.pop_answer(conn)
    assert error(answer) == ('not_run', 'session_history_lost')


def test_malformed_token_is_refused(sim: ProxySimulation) -> None:
    conn = sim.connect_caller()
    sim.read(conn, session='AQAA')
    assert error(sim.pop_answer(conn)) == ('not_run', 'invalid_token')


def test_read_refused_as_behind_goes_to_another_replica_then_the_primary(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    sim.read(conn, max_age_ms=400)
    names = []
    for _ in range(2):
        up_conn, message = sim.pop_statement()
        names.append(sim.conn_upstreams[up_conn])
        sim.refuse(up_conn, message, 'behind')
    up_conn, message = sim.pop_statement()
    names.append(sim.conn_upstreams[up_conn])
    assert names[2] == 'db-1' and set(names[:2]) == {'db-2', 'db-3'}
    assert message.must_lead
    sim.reply(up_conn, message)
    assert sim.pop_answer(conn).source == 'primary'


def test_replicas_too_far_behind_get_no_reads(sim: ProxySimulation) -> None:
    sim.report_position(LogPosition(1, 50), 'db-1')
    sim.advance(1_000)
    conn = sim.connect_caller()
    sim.read(conn, max_age_ms=400)
    up_conn, _ = sim.pop_statement()
    assert sim.conn_upstreams[up_conn] == 'db-1'


def test_read_too_old_on_arrival_goes_to_the_primary(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    sim.read(conn, max_age_ms=100, deadline_ms=1_000)
    up_conn, message = sim.pop_statement()
    sim.report_position(LogPosition(1, 20), 'db-1')
    sim.advance(320)
    sim.reply(up_conn, message, position=LogPosition(1, 10))
    assert not sim.answers[conn]
    second_conn, message = sim.pop_statement()
    assert sim.conn_upstreams[second_conn] == 'db-1'
    sim.reply(second_conn, message)
    assert sim.pop_answer(conn).source == 'primary'


def test_probes_of_a_replaced_primary_are_no_age_samples(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    sim.control_answers = False
    sim.advance(1_200)
    group = sim.state.groups[GROUP]
    age_before_ms = group.freshness.age_ms(LogPosition(1, 10), sim.now_ms)
    sim.deliver_from_control(LeaseRevoke(group=GROUP, term=1))
    sim.advance(200)
    age_ms = group.freshness.age_ms(LogPosition(1, 10), sim.now_ms)
    assert age_ms == pytest.approx(age_before_ms + 200)
    sim.read(conn, max_age_ms=150)
    assert not sim.statements


@pytest.mark.parametrize('position', [None, LogPosition(1, 2)])
def test_unknown_age_is_treated_as_too_old(
    sim: ProxySimulation, position: LogPosition | None
) -> None:
    conn = sim.connect_caller()
    sim.read(conn, max_age_ms=10_000)
    up_conn, message = sim.pop_statement()
    sim.reply(up_conn, message, position=position)
    assert not sim.answers[conn]
    assert sim.conn_upstreams[sim.pop_statement()[0]] == 'db-1'


@pytest.mark.parametrize(
    ('fields', 'code'),
    [
        ({'max_age_ms': -1}, 'malformed'),
        ({'max_age_ms': 5, 'allowance': 'relaxed'}, 'malformed'),
        ({'allowance': 'none'}, 'unknown_allowance'),
        ({'route': 'none'}, 'unknown_route'),
        ({'deadline_ms': 0}, 'malformed'),
        ({'deadline_ms': 60_001}, 'malformed'),
        ({'txn': 4}, 'unknown_transaction'),
        ({'access': 'write'}, 'request_key_missing'),
        ({'access': 'write', 'request_key': ''}, 'malformed'),
        ({'access': 'write', 'route': 'reports'}, 'read_only_route'),
    ],
)
def test_invalid_request_is_refused(
    sim: ProxySimulation, fields: dict[str, object], code: str
) -> None:
    conn = sim.connect_caller()
    fields = {'route': ROUTE, 'access': 'read', **fields}
    sim.send_requests(conn, Statement(id=1, sql='x', **fields))
    assert error(sim.pop_answer(conn)) == ('not_run', code)
    assert not sim.statements and not sim.state.requests


def test_refusal_after_a_lost_attempt_is_not_reported_as_not_run(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    sim.write(conn)
    up_conn, message = sim.pop_statement()
    sim.disconnect(up_conn)
    up_conn, message = sim.pop_statement()
    assert message.request_key == 'key-1'
    sim.refuse(up_conn, message, 'statement_failed')
    assert sim.pop_answer(conn).outcome == 'unknown'


def test_caller_that_retries_after_a_lost_answer_gets_the_stored_one(
    sim: ProxySimulation,
) -> None:
    first = sim.connect_caller()
    sim.write(first, request_key='order-7')
    up_conn, message = sim.pop_statement()
    sim.disconnect(first)
    sim.reply(up_conn, message, position=NEXT_POSITION)
    second = sim.connect_caller()
    sim.write(second, request_key='order-7')
    up_conn, message = sim.pop_statement()
    sim.report_position(NEXT_POSITION)
    sim.reply(up_conn, message, position=NEXT_POSITION, duplicate=True)
    answer = sim.pop_answer(second)
    assert answer.duplicate and answer.outcome == 'done'


def test_silent_connection_is_dropped_in_time_for_another_attempt(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    sim.write(conn, deadline_ms=2_000)
    up_conn, _ = sim.pop_statement()
    sim.advance(1_760)
    assert up_conn in sim.closed_conns
    second_conn, message = sim.pop_statement()
    assert second_conn != up_conn
    sim.report_position(NEXT_POSITION)
    sim.reply(second_conn, message, position=NEXT_POSITION)
    assert sim.pop_answer(conn).outcome == 'done'


def test_expiry_of_a_request_keeps_the_others_of_its_frame(
    sim: ProxySimulation,
) -> None:
    sim.grants_permits = False
    short_deadline, long_deadline = sim.connect_caller(), sim.connect_caller()
    sim.read(short_deadline, deadline_ms=200)
    sim.read(long_deadline, deadline_ms=1_000)
    sim.grants_permits = True
    sim.advance(10)
    sim.state.permits.add_granted('db-1', 1)
    sim.read(sim.connect_caller(), 1)
    up_conn = sim.statements[0][0]
    assert [conn for conn, _ in sim.statements] == [up_conn] * 3
    sim.advance(190)
    assert error(sim.pop_answer(short_deadline)) == ('unknown', 'deadline')
    sim.reply(up_conn, sim.statements[1][1], rows=[['kept']])
    assert sim.pop_answer(long_deadline).rows == [['kept']]
    sim.reply(up_conn, sim.statements[2][1])
    assert up_conn in sim.closed_conns


def test_queued_request_expires_at_its_deadline(sim: ProxySimulation) -> None:
    sim.grants_permits = False
    conn = sim.connect_caller()
    sim.write(conn, deadline_ms=300)
    sim.advance(299)
    assert not sim.answers[conn]
    sim.advance(1)
    assert error(sim.pop_answer(conn)) == ('not_run', 'deadline')


def test_request_without_time_to_run_does_not_occupy_a_slot(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    for request_id in range(60):
        sim.read(conn, request_id)
        up_conn, message = sim.pop_statement()
        sim.advance(100)
        sim.reply(up_conn, message)
    sim.answers[conn].clear()
    sim.advance(20)
    sim.grants_permits = False
    sim.read(conn, 98, deadline_ms=80)
    sim.read(conn, 99, max_age_ms=500, deadline_ms=80)
    sim.advance(60)
    for name in sim.upstreams:
        sim.deliver_from_control(PermitGrant(upstream=name, count=1))
    assert [error(a) for a in sim.answers[conn]] == [
        ('not_run', 'deadline')
    ] * 2
    assert not sim.statements
    sim.read(conn, 97, deadline_ms=80)
    assert sim.pop_statement()
    sim.advance(80 + ANSWER_GRACE_MS)
    assert sim.state.permits.account('db-1').in_use == 0


def test_overload_is_answered_with_a_retry_delay(
    sim: ProxySimulation,
) -> None:
    sim.grants_permits = False
    sim.state.groups[GROUP].queue.limit = 2
    conn = sim.connect_caller()
    for request_id in (1, 2, 3):
        sim.read(conn, request_id)
    answer = sim.pop_answer(conn)
    assert answer.id == 3 and answer.error.retry_after_ms > 0
    sim.write(conn, 4)
    assert sim.pop_answer(conn).id == 2


def test_statements_of_a_malformed_upstream_frame_are_lost(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    sim.read(conn)
    up_conn, _ = sim.pop_statement()
    sim.feed(
        FrameRejected(
            now_ms=sim.now_ms, conn=up_conn, request_id=0, detail='x'
        )
    )
    assert up_conn in sim.closed_conns
    assert sim.pop_statement()[0] != up_conn


def test_frame_of_a_closed_connection_is_ignored(sim: ProxySimulation) -> None:
    conn = sim.connect_caller()
    sim.read(conn)
    up_conn, message = sim.pop_statement()
    sim.disconnect(conn)
    executed = Executed(id=message.id, status='done')
    for other_conn in (conn, -999, 5_000):
        sim.feed(
            Received(now_ms=sim.now_ms, conn=other_conn, messages=[executed])
        )
    sim.reply(up_conn, message)
    assert not sim.answers[conn]
    assert not sim.state.requests
