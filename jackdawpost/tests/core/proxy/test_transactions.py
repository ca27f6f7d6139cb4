"""Transactions under faults: isolation, loss and roll-back."""

from __future__ import annotations

import pytest

from jackdawpost.core.messages.caller import Begin
from jackdawpost.core.messages.caller import Commit
from jackdawpost.core.messages.caller import Rollback
from jackdawpost.core.messages.caller import Statement
from jackdawpost.core.messages.control import LeaseRevoke
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.proxy.conns import SILENT_MARGIN_MS
from jackdawpost.testing.fake_proxy_world import GROUP
from jackdawpost.testing.fake_proxy_world import ProxyWorld
from jackdawpost.testing.fake_proxy_world import ROUTE


def begin(world: ProxyWorld, conn: int) -> tuple[int, int]:
    """Return the handle and upstream connection of a new transaction."""
    world.ask(conn, Begin(id=900, route=ROUTE))
    up_conn, message = world.take()
    world.reply(up_conn, message)
    return world.answer(conn).txn, up_conn


def run(world: ProxyWorld, conn: int, handle: int, request_id: int) -> None:
    world.ask(
        conn, Statement(id=request_id, sql='x', access='write', txn=handle)
    )


def error(answer: object) -> tuple[str, str]:
    return answer.outcome, answer.error.code


def test_two_transactions_never_share_a_connection(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    first, first_conn = begin(world, conn)
    second, second_conn = begin(world, conn)
    assert first_conn != second_conn
    world.write(conn, 5)
    assert world.take()[0] not in (first_conn, second_conn)
    assert world.state.permits.account('db-1').in_use == 3


def test_statement_with_foreign_handle_does_not_run(
    world: ProxyWorld,
) -> None:
    owner, stranger = world.caller(), world.caller()
    handle, _ = begin(world, owner)
    for request_id, message in enumerate(
        [
            Statement(id=0, sql='x', access='write', txn=handle),
            Commit(id=0, txn=handle),
            Rollback(id=0, txn=handle),
        ]
    ):
        message.id = request_id
        world.ask(stranger, message)
        answer = world.answer(stranger)
        assert error(answer) == ('not_run', 'unknown_transaction')
    assert not world.work


def test_statements_of_a_transaction_run_one_after_another(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    handle, up_conn = begin(world, conn)
    run(world, conn, handle, 1)
    run(world, conn, handle, 2)
    world.ask(conn, Commit(id=3, txn=handle))
    for kind in ('execute', 'execute'):
        message = world.take()[1]
        assert message.kind == kind
        world.reply(up_conn, message)
    assert world.take()[1].kind == 'txn_commit'


def test_connection_lost_in_mid_transaction_rolls_back(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    handle, up_conn = begin(world, conn)
    run(world, conn, handle, 1)
    run(world, conn, handle, 2)
    world.work.clear()
    world.cut(up_conn)
    answers = world.answers[conn]
    assert [error(a) for a in answers] == [('not_run', 'transaction_lost')] * 2
    answers.clear()
    run(world, conn, handle, 3)
    assert error(world.answer(conn)) == ('not_run', 'transaction_lost')
    world.ask(conn, Commit(id=4, txn=handle))
    assert error(world.answer(conn)) == ('not_run', 'transaction_lost')
    world.ask(conn, Commit(id=5, txn=handle))
    assert error(world.answer(conn)) == ('not_run', 'unknown_transaction')
    assert not world.work


def test_connection_lost_during_commit_is_unknown(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    handle, up_conn = begin(world, conn)
    world.ask(conn, Commit(id=1, txn=handle, request_key='k'))
    world.cut(up_conn)
    assert error(world.answer(conn)) == ('unknown', 'connection_lost')


def test_commit_without_lease_or_copies_is_not_acknowledged(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    handle, up_conn = begin(world, conn)
    world.ask(conn, Commit(id=1, txn=handle, deadline_ms=400))
    world.reply(up_conn, world.take()[1], position=LogPosition(1, 11))
    world.advance(400)
    assert error(world.answer(conn)) == ('unknown', 'not_durable')
    handle, up_conn = begin(world, conn)
    world.ask(conn, Commit(id=2, txn=handle))
    world.from_control(LeaseRevoke(group=GROUP, term=1))
    world.reply(up_conn, world.take()[1], position=LogPosition(1, 12))
    assert error(world.answer(conn)) == ('unknown', 'lease_lost')


def test_read_in_a_transaction_without_lease_is_not_answered(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    handle, up_conn = begin(world, conn)
    run(world, conn, handle, 1)
    world.from_control(LeaseRevoke(group=GROUP, term=1))
    world.reply(up_conn, world.take()[1], rows=[['old']])
    assert world.answer(conn).outcome == 'unknown'
    assert up_conn in world.closed


@pytest.mark.parametrize('way', ['caller', 'idle', 'deadline'])
def test_abandoned_transaction_is_rolled_back(
    world: ProxyWorld, way: str
) -> None:
    conn = world.caller()
    handle, up_conn = begin(world, conn)
    if way == 'caller':
        world.cut(conn)
    elif way == 'idle':
        world.advance(9_999)
        assert up_conn not in world.closed
        world.advance(1)
        handle, up_conn = begin(world, conn)
        world.advance(6_000)
        run(world, conn, handle, 1)
        world.reply(up_conn, world.take()[1])
        assert world.answer(conn).outcome == 'done'
        world.advance(9_999)
        assert up_conn not in world.closed
        world.advance(1)
    else:
        run(world, conn, handle, 1)
        world.advance(2_000)
        assert world.answer(conn).outcome == 'unknown'
    assert up_conn in world.closed
    assert not world.state.txns
    world.advance(SILENT_MARGIN_MS)
    assert world.state.permits.account('db-1').in_use == 0


def test_caller_lost_while_its_transaction_opens(world: ProxyWorld) -> None:
    conn = world.caller()
    world.ask(conn, Begin(id=1, route=ROUTE))
    up_conn, message = world.take()
    world.cut(conn)
    world.reply(up_conn, message)
    assert up_conn in world.closed
    assert not world.state.txns


def test_begin_lost_with_its_connection_is_made_again(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    world.ask(conn, Begin(id=1, route=ROUTE))
    world.cut(world.take()[0])
    up_conn, message = world.take()
    world.reply(up_conn, message)
    assert world.answer(conn).txn


def test_failed_statement_keeps_the_transaction_open(
    world: ProxyWorld,
) -> None:
    conn = world.caller()
    handle, up_conn = begin(world, conn)
    run(world, conn, handle, 1)
    world.refuse(up_conn, world.take()[1], 'statement_failed')
    assert error(world.answer(conn)) == ('not_run', 'statement_failed')
    run(world, conn, handle, 2)
    world.refuse(up_conn, world.take()[1], 'stale_term')
    assert error(world.answer(conn)) == ('not_run', 'transaction_lost')
    assert up_conn in world.closed
