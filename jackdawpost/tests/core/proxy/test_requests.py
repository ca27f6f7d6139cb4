"""Requests under faults: outcomes, matching, ages and durability."""

from __future__ import annotations

import pytest

from jackdawpost.core.events import FrameRejected
from jackdawpost.core.events import Received
from jackdawpost.core.messages.caller import Statement
from jackdawpost.core.messages.control import LeaseRevoke
from jackdawpost.core.messages.control import PermitGrant
from jackdawpost.core.messages.upstream import Executed
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.proxy.conns import SILENT_MARGIN_MS
from jackdawpost.core.tokens import encode_token
from jackdawpost.core.tokens import SessionToken
from jackdawpost.testing.fake_proxy_world import GROUP
from jackdawpost.testing.fake_proxy_world import ProxyWorld
from jackdawpost.testing.fake_proxy_world import ROUTE

NEXT = LogPosition(1, 11)


def error(answer: object) -> tuple[str, str]:
    return answer.outcome, answer.error.code


def test_late_answer_after_abandonment_reaches_nobody(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    world.read(conn, 1, deadline_ms=100)
    up_conn, message = world.take()
    world.advance(100)
    assert error(world.answer(conn)) == ('unknown', 'deadline')
    assert up_conn in world.closed
    world.read(conn, 1)
    second_conn, _ = world.take()
    assert second_conn != up_conn
    world.reply(up_conn, message, rows=[['late']])
    assert not world.answers[conn]


def test_answer_with_a_foreign_or_repeated_id_is_ignored(
    world: ProxyWorld,
) -> None:
    first, second = world.caller(), world.caller()
    world.read(first, 7)
    world.read(second, 7)
    (conn_a, ask_a), (conn_b, ask_b) = world.work
    world.reply(conn_a, ask_b, rows=[['wrong connection']])
    assert not world.answers[first] and not world.answers[second]
    world.reply(conn_b, ask_b, rows=[['b']])
    world.reply(conn_a, ask_a, rows=[['a']])
    world.reply(conn_a, ask_a, rows=[['again']])
    assert world.answer(first).rows == [['a']]
    assert world.answer(second).rows == [['b']]


def test_request_id_in_use_is_refused(world: ProxyWorld) -> None:
    conn = world.caller()
    world.read(conn, 1)
    up_conn, message = world.take()
    world.read(conn, 1)
    assert error(world.answer(conn)) == ('not_run', 'duplicate_id')
    world.feed(
        FrameRejected(now_ms=world.now_ms, conn=conn, request_id=1, detail='')
    )
    assert world.answer(conn).id == 0
    world.reply(up_conn, message)
    assert world.answer(conn).outcome == 'done'


def test_lease_lost_in_flight_makes_the_write_unknown(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    world.ask(
        conn,
        Statement(id=1, route=ROUTE, sql='x', access='write', idempotent=True),
    )
    up_conn, message = world.take()
    world.from_control(LeaseRevoke(group=GROUP, term=1))
    assert world.control_sent[-1].kind == 'lease_revoked'
    world.move(NEXT)
    world.reply(up_conn, message, position=NEXT)
    assert not world.answers[conn]
    world.advance(2_000)
    assert world.answer(conn).outcome == 'unknown'


def test_frozen_process_does_not_acknowledge_after_its_lease(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    world.write(conn, deadline_ms=60_000)
    up_conn, message = world.take()
    world.move(NEXT)
    world.freeze(1_600)
    world.reply(up_conn, message, position=NEXT)
    assert error(world.answer(conn)) == ('unknown', 'lease_lost')


def test_frozen_process_sends_nothing_after_its_lease(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    world.freeze(1_600)
    world.write(conn)
    assert not world.work
    assert error(world.answer(conn)) == ('not_run', 'control_unreachable')


def test_nothing_is_sent_without_a_lease(world: ProxyWorld) -> None:
    conn = world.caller()
    world.from_control(LeaseRevoke(group=GROUP, term=1))
    world.write(conn, 1)
    world.read(conn, 2)
    assert not world.work


def test_copies_that_arrive_after_the_lease_acknowledge_nothing(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    world.write(conn, deadline_ms=5_000)
    up_conn, message = world.take()
    world.reply(up_conn, message, position=NEXT)
    world.control_answers = False
    world.advance(1_500)
    world.move(NEXT)
    assert not world.answers[conn]
    world.advance(3_500)
    assert error(world.answer(conn)) == ('unknown', 'not_durable')


def test_write_without_key_is_not_made_again_after_a_loss(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    world.write(conn)
    up_conn, _ = world.take()
    (req,) = world.state.requests.values()
    req.message.request_key = None
    world.cut(up_conn)
    assert error(world.answer(conn)) == ('unknown', 'connection_lost')
    assert not world.work


def test_write_is_unknown_until_enough_databases_hold_it(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    world.write(conn, deadline_ms=500)
    up_conn, message = world.take()
    world.move(NEXT, 'db-1')
    world.reply(up_conn, message, position=NEXT)
    world.upstreams['db-2'].term = 2
    world.move(NEXT, 'db-2')
    assert not world.answers[conn]
    world.advance(500)
    assert error(world.answer(conn)) == ('unknown', 'not_durable')


def test_database_that_no_promotion_counts_on_confirms_nothing(
    world: ProxyWorld,
) -> None:
    """Guards against an acknowledged write that a promotion misses."""
    world.counted = ('db-1', 'db-3')
    world.publish()
    conn = world.caller()
    world.write(conn)
    up_conn, message = world.take()
    world.reply(up_conn, message, position=NEXT)
    world.move(NEXT, 'db-2')
    assert not world.answers[conn]
    world.move(NEXT, 'db-3')
    assert world.answer(conn).outcome == 'done'


def test_statement_never_runs_longer_than_its_slot_is_kept(
    world: ProxyWorld,
) -> None:
    """Guards against a lost proxy's statement that outlasts its permit."""
    world.write(world.caller(), deadline_ms=60_000)
    _, message = world.take()
    assert message.timeout_ms <= world.state.cfg.max_statement_ms


def test_write_is_acknowledged_once_copied_also_when_asked_late(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    for request_id in (1, 2, 3):
        world.write(conn, request_id)
    for index, (up_conn, message) in enumerate(reversed(world.work)):
        world.reply(up_conn, message, position=LogPosition(1, 11 + index))
    assert not world.answers[conn]
    world.move(LogPosition(1, 12), 'db-2')
    assert [a.id for a in world.answers[conn]] == [3, 2]


def test_token_of_lost_history_gets_its_own_error(world: ProxyWorld) -> None:
    conn = world.caller()
    token = encode_token(SessionToken(((GROUP, LogPosition(0, 99)),)))
    world.read(conn, session=token, max_age_ms=900)
    up_conn, message = world.take()
    assert world.conn_names[up_conn] != 'db-1'
    assert message.after == LogPosition(0, 99)
    world.refuse(up_conn, message, 'history_lost')
    up_conn, message = world.take()
    assert world.conn_names[up_conn] == 'db-1'
    world.refuse(up_conn, message, 'history_lost')
    answer = world.answer(conn)
    assert error(answer) == ('not_run', 'session_history_lost')


def test_malformed_token_is_refused(world: ProxyWorld) -> None:
    conn = world.caller()
    world.read(conn, session='AQAA')
    assert error(world.answer(conn)) == ('not_run', 'invalid_token')


def test_replica_behind_is_left_for_another_and_then_the_primary(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    world.read(conn, max_age_ms=400)
    names = []
    for _ in range(2):
        up_conn, message = world.take()
        names.append(world.conn_names[up_conn])
        world.refuse(up_conn, message, 'behind')
    up_conn, message = world.take()
    names.append(world.conn_names[up_conn])
    assert names[2] == 'db-1' and set(names[:2]) == {'db-2', 'db-3'}
    assert message.must_lead
    world.reply(up_conn, message)
    assert world.answer(conn).source == 'primary'


def test_replicas_too_far_behind_are_not_asked(world: ProxyWorld) -> None:
    world.move(LogPosition(1, 50), 'db-1')
    world.advance(1_000)
    conn = world.caller()
    world.read(conn, max_age_ms=400)
    up_conn, _ = world.take()
    assert world.conn_names[up_conn] == 'db-1'


def test_read_too_old_on_arrival_goes_to_the_primary(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    world.read(conn, max_age_ms=100, deadline_ms=1_000)
    up_conn, message = world.take()
    world.move(LogPosition(1, 20), 'db-1')
    world.advance(320)
    world.reply(up_conn, message, position=LogPosition(1, 10))
    assert not world.answers[conn]
    second_conn, message = world.take()
    assert world.conn_names[second_conn] == 'db-1'
    world.reply(second_conn, message)
    assert world.answer(conn).source == 'primary'


def test_replaced_primary_gives_no_age_samples(world: ProxyWorld) -> None:
    conn = world.caller()
    world.control_answers = False
    world.advance(1_200)
    group = world.state.groups[GROUP]
    samples_end = group.freshness.age_ms(LogPosition(1, 10), world.now_ms)
    world.from_control(LeaseRevoke(group=GROUP, term=1))
    world.advance(200)
    age_ms = group.freshness.age_ms(LogPosition(1, 10), world.now_ms)
    assert age_ms == pytest.approx(samples_end + 200)
    world.read(conn, max_age_ms=150)
    assert not world.work


@pytest.mark.parametrize('position', [None, LogPosition(1, 2)])
def test_unknown_age_counts_as_too_old(
    world: ProxyWorld, position: LogPosition | None
) -> None:
    conn = world.caller()
    world.read(conn, max_age_ms=10_000)
    up_conn, message = world.take()
    world.reply(up_conn, message, position=position)
    assert not world.answers[conn]
    assert world.conn_names[world.take()[0]] == 'db-1'


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
def test_faulty_request_is_not_run(
    world: ProxyWorld, fields: dict[str, object], code: str
) -> None:
    conn = world.caller()
    fields = {'route': ROUTE, 'access': 'read', **fields}
    world.ask(conn, Statement(id=1, sql='x', **fields))
    assert error(world.answer(conn)) == ('not_run', code)
    assert not world.work and not world.state.requests


def test_refusal_after_a_lost_attempt_is_not_reported_as_not_run(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    world.write(conn)
    up_conn, message = world.take()
    world.cut(up_conn)
    up_conn, message = world.take()
    assert message.request_key == 'key-1'
    world.refuse(up_conn, message, 'statement_failed')
    assert world.answer(conn).outcome == 'unknown'


def test_caller_resending_after_a_lost_answer_gets_the_stored_one(
    world: ProxyWorld,
) -> None:
    first = world.caller()
    world.write(first, request_key='order-7')
    up_conn, message = world.take()
    world.cut(first)
    world.reply(up_conn, message, position=NEXT)
    second = world.caller()
    world.write(second, request_key='order-7')
    up_conn, message = world.take()
    world.move(NEXT)
    world.reply(up_conn, message, position=NEXT, duplicate=True)
    answer = world.answer(second)
    assert answer.duplicate and answer.outcome == 'done'


def test_silent_connection_is_left_while_there_is_time_for_another(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    world.write(conn, deadline_ms=2_000)
    up_conn, _ = world.take()
    world.advance(1_760)
    assert up_conn in world.closed
    second_conn, message = world.take()
    assert second_conn != up_conn
    world.move(NEXT)
    world.reply(second_conn, message, position=NEXT)
    assert world.answer(conn).outcome == 'done'


def test_expiry_in_a_frame_spares_the_others_in_it(
    world: ProxyWorld,
) -> None:
    world.lends = False
    hasty, patient = world.caller(), world.caller()
    world.read(hasty, deadline_ms=200)
    world.read(patient, deadline_ms=1_000)
    world.lends = True
    world.advance(10)
    world.state.permits.add_granted('db-1', 1)
    world.read(world.caller(), 1)
    up_conn = world.work[0][0]
    assert [conn for conn, _ in world.work] == [up_conn] * 3
    world.advance(190)
    assert error(world.answer(hasty)) == ('unknown', 'deadline')
    world.reply(up_conn, world.work[1][1], rows=[['kept']])
    assert world.answer(patient).rows == [['kept']]
    world.reply(up_conn, world.work[2][1])
    assert up_conn in world.closed


def test_queued_request_expires_at_its_deadline(world: ProxyWorld) -> None:
    world.lends = False
    conn = world.caller()
    world.write(conn, deadline_ms=300)
    world.advance(299)
    assert not world.answers[conn]
    world.advance(1)
    assert error(world.answer(conn)) == ('not_run', 'deadline')


def test_request_without_time_to_run_does_not_occupy_a_slot(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    for request_id in range(60):
        world.read(conn, request_id)
        up_conn, message = world.take()
        world.advance(100)
        world.reply(up_conn, message)
    world.answers[conn].clear()
    world.advance(20)
    world.lends = False
    world.read(conn, 98, deadline_ms=80)
    world.read(conn, 99, max_age_ms=500, deadline_ms=80)
    world.advance(60)
    for name in world.upstreams:
        world.from_control(PermitGrant(upstream=name, count=1))
    assert [error(a) for a in world.answers[conn]] == [
        ('not_run', 'deadline')
    ] * 2
    assert not world.work
    world.read(conn, 97, deadline_ms=80)
    assert world.take()
    world.advance(80 + SILENT_MARGIN_MS)
    assert world.state.permits.account('db-1').in_use == 0


def test_overload_is_answered_with_a_time_to_retry(
    world: ProxyWorld,
) -> None:
    world.lends = False
    world.state.groups[GROUP].queue.limit = 2
    conn = world.caller()
    for request_id in (1, 2, 3):
        world.read(conn, request_id)
    answer = world.answer(conn)
    assert answer.id == 3 and answer.error.retry_after_ms > 0
    world.write(conn, 4)
    assert world.answer(conn).id == 2


def test_statements_of_a_malformed_upstream_frame_are_lost(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    world.read(conn)
    up_conn, _ = world.take()
    world.feed(
        FrameRejected(
            now_ms=world.now_ms, conn=up_conn, request_id=0, detail='x'
        )
    )
    assert up_conn in world.closed
    assert world.take()[0] != up_conn


def test_frame_of_a_closed_connection_is_ignored(world: ProxyWorld) -> None:
    conn = world.caller()
    world.read(conn)
    up_conn, message = world.take()
    world.cut(conn)
    executed = Executed(id=message.id, status='done')
    for stranger in (conn, -999, 5_000):
        world.feed(
            Received(now_ms=world.now_ms, conn=stranger, messages=[executed])
        )
    world.reply(up_conn, message)
    assert not world.answers[conn]
    assert not world.state.requests
