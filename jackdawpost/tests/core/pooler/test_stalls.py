"""Databases that answer probes, but get no statement done."""

from __future__ import annotations

from jackdawpost.core.messages.session import Done
from jackdawpost.core.messages.session import Failed
from jackdawpost.testing.fake_pooler_world import PoolerWorld


def _hang(world, name):
    world.databases[name].slots = 0


def _ask_some(world, database, text, number=6):
    conns = [world.open(database) for _ in range(number)]
    for conn in conns:
        world.ask(conn, text)
    return conns


def _evidence(world, name):
    return world.reports[-1].evidence[name]


def test_primary_that_only_answers_probes_is_reported_as_stalled():
    # It keeps its health check and takes every begin, so that nobody would
    # ever replace it.
    world = PoolerWorld()
    _hang(world, 'db-1')
    _ask_some(world, 'orders', 'WRITE 1 a')
    world.run(1_200)
    assert _evidence(world, 'db-1') == 'stalled'
    assert _evidence(world, 'db-2') == 'up'
    [line] = [log for log in world.logs if log.event == 'upstream_stalled']
    assert line.fields['upstream'] == 'db-1'


def test_statements_wait_for_the_successor_of_a_stalled_primary():
    world = PoolerWorld()
    _hang(world, 'db-1')
    _ask_some(world, 'orders', 'WRITE 1 a')
    world.run(1_100)
    conn = world.open('orders')
    world.ask(conn, 'WRITE 2 b')
    world.run(300)
    world.promote('db-2')
    world.run(300)
    assert any(isinstance(m, Done) for m in world.answer(conn))


def test_reads_leave_a_replica_that_hangs():
    world = PoolerWorld()
    _hang(world, 'db-2')
    _hang(world, 'db-3')
    for _ in range(20):
        _ask_some(world, 'reports', 'READ 1', number=1)
        world.run(60)
    world.run(500)
    asked = world.now_ms
    conn = world.open('reports')
    assert isinstance(world.call(conn, 'READ 2'), Done)
    assert world.now_ms - asked < 100


def test_database_that_fails_everything_is_reported_as_stalled():
    world = PoolerWorld()
    world.databases['db-1'].fails_all = True
    for _ in range(12):
        _ask_some(world, 'orders', 'WRITE 1 a', number=1)
        world.run(100)
    assert _evidence(world, 'db-1') == 'stalled'


def test_failures_of_a_few_statements_are_their_own():
    world = PoolerWorld()
    database = world.databases['db-1']
    for _ in range(10):
        database.fails_all = True
        _ask_some(world, 'orders', 'WRITE 1 a', number=4)
        world.run(100)
        database.fails_all = False
        assert isinstance(world.call(world.open('orders'), 'WRITE 1 a'), Done)
        world.run(100)
    assert _evidence(world, 'db-1') == 'up'


def test_old_failures_do_not_add_up():
    world = PoolerWorld()
    world.databases['db-1'].fails_all = True
    for _ in range(6):
        conn = world.open('orders')
        assert isinstance(world.call(conn, 'WRITE 1 a'), Failed)
        world.run(2_000)
    assert _evidence(world, 'db-1') == 'up'


def test_full_primary_is_not_taken_for_a_stalled_one():
    # Replacing it would only move the load, again and again.
    world = PoolerWorld()
    database = world.databases['db-1']
    database.slots = 1
    database.queue = 8
    database.work_ms = 55.0
    for _ in range(60):
        _ask_some(world, 'orders', 'WRITE 1 a', number=10)
        world.run(50)
    assert database.shed
    assert not [log for log in world.logs if log.event == 'upstream_stalled']


def test_stalled_upstream_is_tried_again_after_a_while():
    world = PoolerWorld()
    database = world.databases['db-1']
    _hang(world, 'db-1')
    _ask_some(world, 'orders', 'WRITE 1 a')
    world.run(1_200)
    assert _evidence(world, 'db-1') == 'stalled'
    database.slots = 3
    world.run(2_500)
    assert _evidence(world, 'db-1') == 'up'
    assert isinstance(world.call(world.open('orders'), 'WRITE 2 b'), Done)
