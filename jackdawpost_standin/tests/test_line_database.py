"""Lag, promotion and refusals of databases of the line protocol."""

from __future__ import annotations

import trio

from jackdawpost_standin.line_database import LineGroup
from jackdawpost_standin.line_database import LineSession


def _build_group(**fields):
    group = LineGroup('pool', **fields)
    for name in ('i-1', 'i-2'):
        group.add(name).receive_delay_s = 0.0
    return group, group.databases['i-1'], group.databases['i-2']


async def test_replica_receives_before_it_applies():
    _, first, second = _build_group()
    second.apply_delay_s = 60.0
    await first.handle_line(LineSession(), 'QUERY a WRITE 1 x')
    assert second.received() == (1, 11)
    assert second.applied() == (1, 10)
    answer = await second.handle_line(
        LineSession(), 'QUERY b AFTER 1.11 READ 1'
    )
    assert answer == ['ERROR LAGGING i-2', 'READY I 1.10']


async def test_applied_commit_stays_applied_when_the_delay_is_increased():
    _, first, second = _build_group()
    second.apply_delay_s = 0.0
    await first.handle_line(LineSession(), 'QUERY a WRITE 1 x')
    assert second.applied() == (1, 11)
    second.apply_delay_s = 60.0
    assert second.applied() == (1, 11)


async def test_promotion_rolls_back_commits_missing_on_the_new_primary():
    group, first, second = _build_group()
    second.receive_delay_s = 60.0
    await first.handle_line(LineSession(), 'QUERY a WRITE 1 x')
    assert group.promote('i-2', 1)
    assert [commit.writes for commit in group.rolled_back] == [
        (('a', '1', 'x'),)
    ]
    assert first.log == []
    answer = await first.handle_line(LineSession(), 'QUERY b WRITE 1 y')
    assert answer[0] == 'ERROR READONLY i-1'


async def test_promotion_with_an_old_fencing_token_changes_nothing():
    group, _, _ = _build_group()
    assert group.promote('i-2', 5)
    assert not group.promote('i-1', 4)
    assert group.primary == 'i-2'


async def test_demoted_primary_acknowledges_nothing_until_a_promotion():
    group, first, second = _build_group()
    await first.handle_line(LineSession(), 'QUERY - DEMOTE 1')
    assert first.leads
    answer = await first.handle_line(LineSession(), 'QUERY - DEMOTE 2')
    assert answer[0].startswith('DATAROW replica 1 ')
    answer = await first.handle_line(LineSession(), 'QUERY a WRITE 1 x')
    assert answer[0] == 'ERROR READONLY i-1'
    assert group.promote('i-1', 1)
    assert first.leads
    assert not second.leads


async def test_commit_waits_for_the_synchronous_replica(autojump_clock):
    _, first, second = _build_group(sync_replicas=1)
    second.paused_term = 9
    with trio.move_on_after(0.5) as scope:
        await first.handle_line(LineSession(), 'QUERY a WRITE 1 x')
    assert scope.cancelled_caught
    second.paused_term = 0
    answer = await first.handle_line(LineSession(), 'QUERY b WRITE 1 y')
    assert answer[0] == 'COMPLETE i-1.b'


async def test_transaction_fails_after_its_database_is_demoted():
    group, first, _ = _build_group()
    session = LineSession()
    await first.handle_line(session, 'QUERY a BEGIN')
    await first.handle_line(session, 'QUERY b WRITE 1 x')
    group.promote('i-2', 1)
    answer = await first.handle_line(session, 'QUERY c COMMIT')
    assert answer[0] == 'ERROR READONLY i-1'
    assert not group.rolled_back


async def test_database_with_a_full_queue_refuses_without_executing():
    _, first, _ = _build_group()
    first.max_queued = 0
    answer = await first.handle_line(LineSession(), 'QUERY a WRITE 1 x')
    assert answer[0] == 'ERROR BUSY i-1'
    assert first.executed == []
