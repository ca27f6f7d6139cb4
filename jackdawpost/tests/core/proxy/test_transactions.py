"""Tests of transactions under faults: isolation, loss and rollback."""

from __future__ import annotations

import pytest

from jackdawpost.core.messages.caller import Begin
from jackdawpost.core.messages.caller import Commit
from jackdawpost.core.messages.caller import Rollback
from jackdawpost.core.messages.caller import Statement
from jackdawpost.core.messages.control import LeaseRevoke
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.proxy.conns import ANSWER_GRACE_MS
from jackdawpost.testing.proxy_simulation import GROUP
from jackdawpost.testing.proxy_simulation import ProxySimulation
from jackdawpost.testing.proxy_simulation import ROUTE


def begin(sim: ProxySimulation, conn: int) -> tuple[int, int]:
    """Return the handle and upstream connection of a new transaction."""
    sim.send_requests(conn, Begin(id=900, route=ROUTE))
    up_conn, message = sim.pop_statement()
    sim.reply(up_conn, message)
    return sim.pop_answer(conn).txn, up_conn


def send_statement(
    sim: ProxySimulation, conn: int, handle: int, request_id: int
) -> None:
    sim.send_requests(
        conn, Statement(id=request_id, sql='x', access='write', txn=handle)
    )


def error(answer: object) -> tuple[str, str]:
    return answer.outcome, answer.error.code


def test_two_transactions_never_share_a_connection(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    first, first_conn = begin(sim, conn)
    second, second_conn = begin(sim, conn)
    assert first_conn != second_conn
    sim.write(conn, 5)
    assert sim.pop_statement()[0] not in (first_conn, second_conn)
    assert sim.state.permits.account('db-1').in_use == 3


def test_statement_with_foreign_handle_does_not_run(
    sim: ProxySimulation,
) -> None:
    owner, other_conn = sim.connect_caller(), sim.connect_caller()
    handle, _ = begin(sim, owner)
    for request_id, message in enumerate(
        [
            Statement(id=0, sql='x', access='write', txn=handle),
            Commit(id=0, txn=handle),
            Rollback(id=0, txn=handle),
        ]
    ):
        message.id = request_id
        sim.send_requests(other_conn, message)
        answer = sim.pop_answer(other_conn)
        assert error(answer) == ('not_run', 'unknown_transaction')
    assert not sim.statements


def test_statements_of_a_transaction_run_one_after_another(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    handle, up_conn = begin(sim, conn)
    send_statement(sim, conn, handle, 1)
    send_statement(sim, conn, handle, 2)
    sim.send_requests(conn, Commit(id=3, txn=handle))
    for kind in ('execute', 'execute'):
        message = sim.pop_statement()[1]
        assert message.kind == kind
        sim.reply(up_conn, message)
    assert sim.pop_statement()[1].kind == 'txn_commit'


def test_connection_lost_during_a_transaction_rolls_back(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    handle, up_conn = begin(sim, conn)
    send_statement(sim, conn, handle, 1)
    send_statement(sim, conn, handle, 2)
    sim.statements.clear()
    sim.disconnect(up_conn)
    answers = sim.answers[conn]
    assert [error(a) for a in answers] == [('not_run', 'transaction_lost')] * 2
    answers.clear()
    send_statement(sim, conn, handle, 3)
    assert error(sim.pop_answer(conn)) == ('not_run', 'transaction_lost')
    sim.send_requests(conn, Commit(id=4, txn=handle))
    assert error(sim.pop_answer(conn)) == ('not_run', 'transaction_lost')
    sim.send_requests(conn, Commit(id=5, txn=handle))
    assert error(sim.pop_answer(conn)) == ('not_run', 'unknown_transaction')
    assert not sim.statements


def test_connection_lost_during_commit_is_unknown(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    handle, up_conn = begin(sim, conn)
    sim.send_requests(conn, Commit(id=1, txn=handle, request_key='k'))
    sim.disconnect(up_conn)
    assert error(sim.pop_answer(conn)) == ('unknown', 'connection_lost')


def test_commit_without_lease_or_replication_is_not_acknowledged(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    handle, up_conn = begin(sim, conn)
    sim.send_requests(conn, Commit(id=1, txn=handle, deadline_ms=400))
    sim.reply(up_conn, sim.pop_statement()[1], position=LogPosition(1, 11))
    sim.advance(400)
    assert error(sim.pop_answer(conn)) == ('unknown', 'not_durable')
    handle, up_conn = begin(sim, conn)
    sim.send_requests(conn, Commit(id=2, txn=handle))
    sim.deliver_from_control(LeaseRevoke(group=GROUP, term=1))
    sim.reply(up_conn, sim.pop_statement()[1], position=LogPosition(1, 12))
    assert error(sim.pop_answer(conn)) == ('unknown', 'lease_lost')


def test_read_in_a_transaction_without_lease_is_not_answered(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    handle, up_conn = begin(sim, conn)
    send_statement(sim, conn, handle, 1)
    sim.deliver_from_control(LeaseRevoke(group=GROUP, term=1))
    sim.reply(up_conn, sim.pop_statement()[1], rows=[['old']])
    assert sim.pop_answer(conn).outcome == 'unknown'
    assert up_conn in sim.closed_conns


@pytest.mark.parametrize('cause', ['caller', 'idle', 'deadline'])
def test_abandoned_transaction_is_rolled_back(
    sim: ProxySimulation, cause: str
) -> None:
    conn = sim.connect_caller()
    handle, up_conn = begin(sim, conn)
    if cause == 'caller':
        sim.disconnect(conn)
    elif cause == 'idle':
        sim.advance(9_999)
        assert up_conn not in sim.closed_conns
        sim.advance(1)
        handle, up_conn = begin(sim, conn)
        sim.advance(6_000)
        send_statement(sim, conn, handle, 1)
        sim.reply(up_conn, sim.pop_statement()[1])
        assert sim.pop_answer(conn).outcome == 'done'
        sim.advance(9_999)
        assert up_conn not in sim.closed_conns
        sim.advance(1)
    else:
        send_statement(sim, conn, handle, 1)
        sim.advance(2_000)
        assert sim.pop_answer(conn).outcome == 'unknown'
    assert up_conn in sim.closed_conns
    assert not sim.state.txns
    sim.advance(ANSWER_GRACE_MS)
    assert sim.state.permits.account('db-1').in_use == 0


def test_caller_lost_while_its_transaction_opens(sim: ProxySimulation) -> None:
    conn = sim.connect_caller()
    sim.send_requests(conn, Begin(id=1, route=ROUTE))
    up_conn, message = sim.pop_statement()
    sim.disconnect(conn)
    sim.reply(up_conn, message)
    assert up_conn in sim.closed_conns
    assert not sim.state.txns


def test_begin_lost_with_its_connection_is_retried(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    sim.send_requests(conn, Begin(id=1, route=ROUTE))
    sim.disconnect(sim.pop_statement()[0])
    up_conn, message = sim.pop_statement()
    sim.reply(up_conn, message)
    assert sim.pop_answer(conn).txn


def test_failed_statement_keeps_the_transaction_open(
    sim: ProxySimulation,
) -> None:
    conn = sim.connect_caller()
    handle, up_conn = begin(sim, conn)
    send_statement(sim, conn, handle, 1)
    sim.refuse(up_conn, sim.pop_statement()[1], 'statement_failed')
    assert error(sim.pop_answer(conn)) == ('not_run', 'statement_failed')
    send_statement(sim, conn, handle, 2)
    sim.refuse(up_conn, sim.pop_statement()[1], 'stale_term')
    assert error(sim.pop_answer(conn)) == ('not_run', 'transaction_lost')
    assert up_conn in sim.closed_conns
