"""Tests of control links: leader changes, permits, approvals, shutdown."""

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
from jackdawpost.testing.proxy_simulation import FakeUpstream
from jackdawpost.testing.proxy_simulation import GROUP
from jackdawpost.testing.proxy_simulation import ProxySimulation
from jackdawpost.testing.proxy_simulation import ROUTE


def sent(sim: ProxySimulation, kind: str) -> list[object]:
    return [m for m in sim.control_sent if m.kind == kind]


def error(answer: object) -> tuple[str, str]:
    return answer.outcome, answer.error.code


def drain(sim: ProxySimulation) -> None:
    sim.feed(DrainRequested(now_ms=sim.now_ms))


def test_requests_are_refused_while_control_is_unreachable(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    sim.grants_permits = False
    sim.write(conn, 1, deadline_ms=10_000)
    sim.control_answers = False
    sim.advance(1_500)
    assert error(sim.pop_answer(conn)) == ('not_run', 'control_unreachable')
    assert not is_healthy(sim.state)
    sim.read(conn, 2, max_age_ms=60_000)
    assert error(sim.pop_answer(conn)) == ('not_run', 'control_unreachable')
    sim.control_answers = True
    sim.advance(200)
    assert is_healthy(sim.state)


def test_proxy_that_is_not_joined_refuses_requests(
    sim: ProxySimulation,
) -> None:
    sim.control_answers = False
    sim.advance(400)
    seq = sim.state.report_seq
    sim.deliver_from_control(
        LeaseGrant(
            seq=seq,
            leases=[],
            duration_ms=1_500,
            version=sim.version,
            member_state='announced',
        )
    )
    conn = sim.connect_caller()
    sim.read(conn)
    assert error(sim.pop_answer(conn)) == ('not_run', 'not_joined')
    assert not is_healthy(sim.state)


def test_silent_leader_is_replaced_by_the_next(sim: ProxySimulation) -> None:
    sim.open_control(2)
    sim.control_answers = False
    sim.advance(450)
    sim.control_answers = True
    before = len(sent(sim, 'proxy_report'))
    sim.advance(450)
    assert len(sent(sim, 'proxy_report')) - before >= 2
    assert is_healthy(sim.state)


def test_unanswered_report_just_before_the_next_is_not_silence(
    sim: ProxySimulation,
) -> None:
    sim.advance(sim.state.report_due_ms - sim.now_ms - 1)
    sim.control_answers = False
    sim.fail_upstream('db-3')
    before = len(sent(sim, 'proxy_report'))
    sim.advance(2)
    assert len(sent(sim, 'proxy_report')) == before + 1
    assert sim.state.leader_conn == 1


def test_demand_dropped_by_control_is_sent_again(
    sim: ProxySimulation,
) -> None:
    sim.grants_permits = False
    sim.write(sim.connect_caller(), deadline_ms=2_000)
    sim.advance(450)
    demands = sent(sim, 'permit_demand')
    assert [m.wanted for m in demands] == [1, 1]


def test_not_leader_redirects_the_proxy_to_the_named_leader(
    sim: ProxySimulation,
) -> None:
    sim.open_control(2)
    assert sim.state.leader_conn == 1
    sim.control_answers = False
    sim.deliver_from_control(NotLeader(leader='c2'), conn=1)
    assert sim.state.leader_conn == 0
    seq = sim.state.report_seq
    sim.deliver_from_control(
        LeaseGrant(seq=seq, leases=[], duration_ms=1_500, version=1), conn=2
    )
    assert sim.state.leader_conn == 2


def test_holdings_are_reported_to_a_new_leader(sim: ProxySimulation) -> None:
    conn = sim.connect_caller()
    sim.write(conn)
    sim.control_sent.clear()
    sim.disconnect(1)
    sim.open_control(2)
    report = sent(sim, 'proxy_report')[0]
    assert report.holdings == {'db-1': 1}


def test_update_with_a_gap_is_not_applied_but_reported(
    sim: ProxySimulation,
) -> None:
    version = sim.state.published.version
    sim.deliver_from_control(StateUpdate(from_version=8, version=9))
    assert sim.state.published.version == version
    assert sent(sim, 'proxy_report')[-1].version == version


def test_new_version_is_reported_at_once(sim: ProxySimulation) -> None:
    sim.publish()
    reports = sent(sim, 'proxy_report')
    assert reports[0].version == sim.version


def test_idle_permits_are_returned(sim: ProxySimulation) -> None:
    conn = sim.connect_caller()
    sim.write(conn)
    up_conn, message = sim.pop_statement()
    sim.reply(up_conn, message, position=LogPosition(1, 10))
    sim.advance(11)
    assert sent(sim, 'permit_return')[0].count == 1
    assert sent(sim, 'permit_demand')[-1].wanted == 0
    assert sim.state.permits.holdings() == {}


def test_recalled_permits_are_returned_when_the_statement_ends(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    sim.write(conn, 1)
    up_conn, message = sim.pop_statement()
    sim.write(conn, 2)
    sim.grants_permits = False
    sim.statements.clear()
    held = sim.state.permits.account('db-1').held
    sim.deliver_from_control(PermitRecall(upstream='db-1', count=held))
    assert not sent(sim, 'permit_return')
    sim.reply(up_conn, message, position=LogPosition(1, 10))
    assert sum(m.count for m in sent(sim, 'permit_return')) >= 1


def test_permits_expire_with_the_grant(
    sim: ProxySimulation,
) -> None:
    sim.deliver_from_control(PermitGrant(upstream='db-1', count=2))
    sim.state.upstreams['db-1'].opening = 1
    sim.control_answers = False
    sim.advance(1_500)
    assert sim.state.permits.account('db-1').idle == 0
    sim.deliver_from_control(PermitGrant(upstream='db-1', count=1))
    assert sim.state.permits.account('db-1').idle == 0
    assert sent(sim, 'permit_return')[-1].count == 1


def request_approval(sim: ProxySimulation, **fields: object) -> None:
    message = {
        'newcomer': 'db-4',
        'newcomer_id': 'data-db-4',
        'host': '127.0.0.1',
        'port': 7104,
        'role': 'upstream',
        **fields,
    }
    sim.deliver_from_control(ApprovalRequest(**message))


def test_newcomer_is_approved_only_once_reachable(
    sim: ProxySimulation,
) -> None:
    request_approval(sim)
    assert not sent(sim, 'approval')
    newcomer = FakeUpstream('db-4')
    sim.upstreams['db-4'] = newcomer
    sim.advance(600)
    (approval,) = sent(sim, 'approval')
    assert (approval.newcomer, approval.newcomer_id) == ('db-4', 'data-db-4')
    assert approval.version == sim.version


@pytest.mark.parametrize('data_id', ['data-db-1', 'another'])
def test_reachable_newcomer_must_hold_the_announced_data(
    sim: ProxySimulation, data_id: str
) -> None:
    request_approval(sim, newcomer='db-1', newcomer_id=data_id)
    approvals = sent(sim, 'approval')
    if data_id == 'data-db-1':
        assert approvals[0].newcomer_id == data_id
        assert 'opened' in approvals[0].checked
    else:
        assert not approvals


def test_proxy_with_the_address_of_another_is_not_approved(
    sim: ProxySimulation,
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
        from_version=sim.version,
        version=sim.version + 1,
        upserts=[PublishedObject(type='member', name='proxy-2', body=body)],
    )
    sim.deliver_from_control(update)
    request_approval(
        sim, newcomer='proxy-3', newcomer_id='id-3', role='proxy', port=7002
    )
    assert not sent(sim, 'approval')
    request_approval(
        sim, newcomer='proxy-3', newcomer_id='id-3', role='proxy', port=7003
    )
    assert sent(sim, 'approval')[0].member_id == 'proxy-id-1'


def test_drain_interrupts_no_request(sim: ProxySimulation) -> None:
    conn = sim.connect_caller()
    sim.send_requests(conn, Begin(id=1, route=ROUTE))
    txn_conn, message = sim.pop_statement()
    sim.reply(txn_conn, message)
    handle = sim.pop_answer(conn).txn
    drain(sim)
    assert sim.pop_answer(conn).serve_ms == 1_000
    assert sent(sim, 'proxy_report')[-1].draining
    assert not is_healthy(sim.state)
    sim.advance(500)
    sim.write(conn, 2, deadline_ms=5_000)
    up_conn, message = sim.pop_statement()
    sim.advance(500)
    sim.read(conn, 3)
    assert error(sim.pop_answer(conn)) == ('not_run', 'draining')
    late = sim.connect_caller()
    assert sim.pop_answer(late).serve_ms == 0
    sim.report_position(LogPosition(1, 11))
    sim.reply(up_conn, message, position=LogPosition(1, 11))
    assert sim.pop_answer(conn).outcome == 'done'
    assert not sim.stopped
    sim.send_requests(conn, Commit(id=4, txn=handle))
    up_conn, message = sim.pop_statement()
    sim.reply(up_conn, message, position=LogPosition(1, 11))
    assert sim.pop_answer(conn).outcome == 'done'
    assert sim.stopped
    assert sim.state.permits.holdings() == {}


def test_draining_proxy_keeps_its_leases(sim: ProxySimulation) -> None:
    # Guards against failing writes during a drain: the grants that renew the
    # leases of a draining proxy have the member state 'leaving'.
    conn = sim.connect_caller()
    sim.write(conn, 1, deadline_ms=5_000)
    up_conn, message = sim.pop_statement()
    drain(sim)
    sim.pop_answer(conn)
    assert sim.state.member_state == 'leaving'
    sim.report_position(LogPosition(1, 11))
    sim.reply(up_conn, message, position=LogPosition(1, 11))
    assert sim.pop_answer(conn).outcome == 'done'
    sim.write(conn, 2)
    up_conn, message = sim.pop_statement()
    sim.reply(up_conn, message, position=LogPosition(1, 11))
    assert sim.pop_answer(conn).outcome == 'done'


def test_drain_limit_rolls_back_open_transactions(
    sim: ProxySimulation,
) -> None:
    sim.state.cfg.idle_txn_ms = 60_000
    conn = sim.connect_caller()
    sim.send_requests(conn, Begin(id=1, route=ROUTE))
    txn_conn, message = sim.pop_statement()
    sim.reply(txn_conn, message)
    drain(sim)
    sim.advance(29_999)
    assert not sim.stopped
    sim.advance(1)
    assert txn_conn in sim.closed_conns and sim.stopped


def test_draining_proxy_waits_for_a_request_in_flight(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    sim.read(conn, deadline_ms=5_000)
    up_conn, message = sim.pop_statement()
    drain(sim)
    sim.advance(2_000)
    assert not sim.stopped
    sim.reply(up_conn, message)
    assert sim.answers[conn][-1].outcome == 'done'
    assert sim.stopped


def test_idle_draining_proxy_stops_at_the_end_of_its_window(
    sim: ProxySimulation,
) -> None:
    drain(sim)
    sim.advance(999)
    assert not sim.stopped
    sim.advance(1)
    assert sim.stopped


def test_removing_a_group_refuses_its_queued_requests(
    sim: ProxySimulation,
) -> None:
    sim.grants_permits = False
    conn = sim.connect_caller()
    sim.write(conn)
    sim.version += 1
    sim.deliver_from_control(
        StateUpdate(from_version=0, version=sim.version, full=True)
    )
    assert error(sim.pop_answer(conn)) == ('not_run', 'unknown_route')
    assert GROUP not in sim.state.groups
