"""Links to control: leader changes, permits, approvals, shutdown."""

from __future__ import annotations

import pytest

from jackdawpost.core.events import DrainRequested
from jackdawpost.core.messages.caller import Begin
from jackdawpost.core.messages.caller import Commit
from jackdawpost.core.messages.control import ApprovalRequest
from jackdawpost.core.messages.control import LeaseGrant
from jackdawpost.core.messages.control import NotLeader
from jackdawpost.core.messages.control import PermitGrant
from jackdawpost.core.messages.control import PermitRecall
from jackdawpost.core.messages.control import PublishedObject
from jackdawpost.core.messages.control import StateUpdate
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.proxy.reducer import is_healthy
from jackdawpost.testing.fake_proxy_world import FakeUpstream
from jackdawpost.testing.fake_proxy_world import GROUP
from jackdawpost.testing.fake_proxy_world import ProxyWorld
from jackdawpost.testing.fake_proxy_world import ROUTE


def sent(world: ProxyWorld, kind: str) -> list[object]:
    return [m for m in world.control_sent if m.kind == kind]


def error(answer: object) -> tuple[str, str]:
    return answer.outcome, answer.error.code


def drain(world: ProxyWorld) -> None:
    world.feed(DrainRequested(now_ms=world.now_ms))


def test_unreachable_control_ends_service(world: ProxyWorld) -> None:
    conn = world.caller()
    world.lends = False
    world.write(conn, 1, deadline_ms=10_000)
    world.control_answers = False
    world.advance(1_500)
    assert error(world.answer(conn)) == ('not_run', 'control_unreachable')
    assert not is_healthy(world.state)
    world.read(conn, 2, max_age_ms=60_000)
    assert error(world.answer(conn)) == ('not_run', 'control_unreachable')
    world.control_answers = True
    world.advance(200)
    assert is_healthy(world.state)


def test_proxy_that_is_not_joined_serves_nothing(world: ProxyWorld) -> None:
    world.control_answers = False
    world.advance(400)
    seq = world.state.report_seq
    world.from_control(
        LeaseGrant(
            seq=seq,
            leases=[],
            duration_ms=1_500,
            version=world.version,
            member_state='announced',
        )
    )
    conn = world.caller()
    world.read(conn)
    assert error(world.answer(conn)) == ('not_run', 'not_joined')
    assert not is_healthy(world.state)


def test_silent_leader_is_left_for_the_next(world: ProxyWorld) -> None:
    world.open_control(2)
    world.control_answers = False
    world.advance(450)
    world.control_answers = True
    before = len(sent(world, 'proxy_report'))
    world.advance(450)
    assert len(sent(world, 'proxy_report')) - before >= 2
    assert is_healthy(world.state)


def test_report_just_before_the_next_is_no_sign_of_silence(
    world: ProxyWorld,
) -> None:
    world.advance(world.state.report_due_ms - world.now_ms - 1)
    world.control_answers = False
    world.fail('db-3')
    before = len(sent(world, 'proxy_report'))
    world.advance(2)
    assert len(sent(world, 'proxy_report')) == before + 1
    assert world.state.leader == 1


def test_demand_dropped_by_control_is_stated_again(
    world: ProxyWorld,
) -> None:
    world.lends = False
    world.write(world.caller(), deadline_ms=2_000)
    world.advance(450)
    demands = sent(world, 'permit_demand')
    assert [m.wanted for m in demands] == [1, 1]


def test_not_leader_sends_the_proxy_to_the_named_one(
    world: ProxyWorld,
) -> None:
    world.open_control(2)
    assert world.state.leader == 1
    world.control_answers = False
    world.from_control(NotLeader(leader='c2'), conn=1)
    assert world.state.leader == 0
    seq = world.state.report_seq
    world.from_control(
        LeaseGrant(seq=seq, leases=[], duration_ms=1_500, version=1), conn=2
    )
    assert world.state.leader == 2


def test_holdings_are_stated_to_a_new_leader(world: ProxyWorld) -> None:
    conn = world.caller()
    world.write(conn)
    world.control_sent.clear()
    world.cut(1)
    world.open_control(2)
    report = sent(world, 'proxy_report')[0]
    assert report.holdings == {'db-1': 1}


def test_update_with_a_gap_is_not_applied_but_reported(
    world: ProxyWorld,
) -> None:
    version = world.state.published.version
    world.from_control(StateUpdate(from_version=8, version=9))
    assert world.state.published.version == version
    assert sent(world, 'proxy_report')[-1].version == version


def test_new_version_is_reported_at_once(world: ProxyWorld) -> None:
    world.publish()
    reports = sent(world, 'proxy_report')
    assert reports[0].version == world.version


def test_idle_permits_are_returned(world: ProxyWorld) -> None:
    conn = world.caller()
    world.write(conn)
    up_conn, message = world.take()
    world.reply(up_conn, message, position=LogPosition(1, 10))
    world.advance(11)
    assert sent(world, 'permit_return')[0].count == 1
    assert sent(world, 'permit_demand')[-1].wanted == 0
    assert world.state.permits.holdings() == {}


def test_recall_is_honoured_when_the_statement_ends(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    world.write(conn, 1)
    up_conn, message = world.take()
    world.write(conn, 2)
    world.lends = False
    world.work.clear()
    held = world.state.permits.account('db-1').held
    world.from_control(PermitRecall(upstream='db-1', count=held))
    assert not sent(world, 'permit_return')
    world.reply(up_conn, message, position=LogPosition(1, 10))
    assert sum(m.count for m in sent(world, 'permit_return')) >= 1


def test_permits_end_with_the_validity_of_the_grant(
    world: ProxyWorld,
) -> None:
    world.from_control(PermitGrant(upstream='db-1', count=2))
    world.state.upstreams['db-1'].opening = 1
    world.control_answers = False
    world.advance(1_500)
    assert world.state.permits.account('db-1').idle == 0
    world.from_control(PermitGrant(upstream='db-1', count=1))
    assert world.state.permits.account('db-1').idle == 0
    assert sent(world, 'permit_return')[-1].count == 1


def request_approval(world: ProxyWorld, **fields: object) -> None:
    message = {
        'newcomer': 'db-4',
        'newcomer_id': 'data-db-4',
        'host': '127.0.0.1',
        'port': 7104,
        'role': 'upstream',
        **fields,
    }
    world.from_control(ApprovalRequest(**message))


def test_newcomer_is_approved_only_once_reached(world: ProxyWorld) -> None:
    request_approval(world)
    assert not sent(world, 'approval')
    newcomer = FakeUpstream('db-4')
    world.upstreams['db-4'] = newcomer
    world.advance(600)
    (approval,) = sent(world, 'approval')
    assert (approval.newcomer, approval.newcomer_id) == ('db-4', 'data-db-4')
    assert approval.version == world.version


@pytest.mark.parametrize('data_id', ['data-db-1', 'another'])
def test_reached_newcomer_must_hold_the_announced_data(
    world: ProxyWorld, data_id: str
) -> None:
    request_approval(world, newcomer='db-1', newcomer_id=data_id)
    approvals = sent(world, 'approval')
    if data_id == 'data-db-1':
        assert approvals[0].newcomer_id == data_id
        assert 'opened' in approvals[0].checked
    else:
        assert not approvals


def test_proxy_with_the_address_of_another_is_not_approved(
    world: ProxyWorld,
) -> None:
    body = {
        'name': 'proxy-2',
        'member_id': 'id-2',
        'role': 'proxy',
        'host': '127.0.0.1',
        'port': 7002,
        'state': 'joined',
    }
    update = StateUpdate(
        from_version=world.version,
        version=world.version + 1,
        upserts=[PublishedObject(type='member', name='proxy-2', body=body)],
    )
    world.from_control(update)
    request_approval(
        world, newcomer='proxy-3', newcomer_id='id-3', role='proxy', port=7002
    )
    assert not sent(world, 'approval')
    request_approval(
        world, newcomer='proxy-3', newcomer_id='id-3', role='proxy', port=7003
    )
    assert sent(world, 'approval')[0].member_id == 'proxy-id-1'


def test_drain_interrupts_no_request(world: ProxyWorld) -> None:
    conn = world.caller()
    world.ask(conn, Begin(id=1, route=ROUTE))
    txn_conn, message = world.take()
    world.reply(txn_conn, message)
    handle = world.answer(conn).txn
    drain(world)
    assert world.answer(conn).serve_ms == 1_000
    assert sent(world, 'proxy_report')[-1].draining
    assert not is_healthy(world.state)
    world.advance(500)
    world.write(conn, 2, deadline_ms=5_000)
    up_conn, message = world.take()
    world.advance(500)
    world.read(conn, 3)
    assert error(world.answer(conn)) == ('not_run', 'draining')
    late = world.caller()
    assert world.answer(late).serve_ms == 0
    world.move(LogPosition(1, 11))
    world.reply(up_conn, message, position=LogPosition(1, 11))
    assert world.answer(conn).outcome == 'done'
    assert not world.stopped
    world.ask(conn, Commit(id=4, txn=handle))
    up_conn, message = world.take()
    world.reply(up_conn, message, position=LogPosition(1, 11))
    assert world.answer(conn).outcome == 'done'
    assert world.stopped
    assert world.state.permits.holdings() == {}


def test_draining_proxy_keeps_its_leases(world: ProxyWorld) -> None:
    # Guards against cutting writes off because control calls a draining
    # proxy leaving in the grants that renew its leases.
    conn = world.caller()
    world.write(conn, 1, deadline_ms=5_000)
    up_conn, message = world.take()
    drain(world)
    world.answer(conn)
    assert world.state.member_state == 'leaving'
    world.move(LogPosition(1, 11))
    world.reply(up_conn, message, position=LogPosition(1, 11))
    assert world.answer(conn).outcome == 'done'
    world.write(conn, 2)
    up_conn, message = world.take()
    world.reply(up_conn, message, position=LogPosition(1, 11))
    assert world.answer(conn).outcome == 'done'


def test_drain_limit_rolls_back_open_transactions(
    world: ProxyWorld,
) -> None:
    world.state.cfg.idle_txn_ms = 60_000
    conn = world.caller()
    world.ask(conn, Begin(id=1, route=ROUTE))
    txn_conn, message = world.take()
    world.reply(txn_conn, message)
    drain(world)
    world.advance(29_999)
    assert not world.stopped
    world.advance(1)
    assert txn_conn in world.closed and world.stopped


def test_draining_proxy_waits_for_a_request_in_flight(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    world.read(conn, deadline_ms=5_000)
    up_conn, message = world.take()
    drain(world)
    world.advance(2_000)
    assert not world.stopped
    world.reply(up_conn, message)
    assert world.answers[conn][-1].outcome == 'done'
    assert world.stopped


def test_drained_proxy_serves_until_the_end_of_its_window(
    world: ProxyWorld,
) -> None:
    drain(world)
    world.advance(999)
    assert not world.stopped
    world.advance(1)
    assert world.stopped


def test_removed_group_answers_what_waits(world: ProxyWorld) -> None:
    world.lends = False
    conn = world.caller()
    world.write(conn)
    world.version += 1
    world.from_control(
        StateUpdate(from_version=0, version=world.version, full=True)
    )
    assert error(world.answer(conn)) == ('not_run', 'unknown_route')
    assert GROUP not in world.state.groups
