"""Load beyond what the databases can serve."""

from __future__ import annotations

import pytest

from jackdawpost.core.messages.session import Done
from jackdawpost.core.messages.session import Failed
from jackdawpost.core.messages.session import Ready
from jackdawpost.testing.pooler_simulation import endpoint
from jackdawpost.testing.pooler_simulation import PoolerSimulation

SLOTS = 3
WORK_MS = 30.0
CAPACITY_PER_S = SLOTS * 1_000 / WORK_MS


class Callers:
    """Open-loop callers: each statement comes at its time, on any session."""

    def __init__(self, sim, per_s, text='WRITE 1 a', sessions=400):
        self.sim = sim
        self.free = [sim.open('orders') for _ in range(sessions)]
        self.busy = {}
        self.text = text
        self.gap_ms = 1_000 / per_s
        self.done_ms = []
        self.refused_ms = []

    def run(self, for_ms):
        end_ms = self.sim.now_ms + for_ms
        while self.sim.now_ms < end_ms:
            if self.free:
                conn = self.free.pop()
                self.busy[conn] = self.sim.now_ms
                self.sim.pop_messages(conn)
                self.sim.send_request(conn, self.text)
            self.sim.advance(self.gap_ms)
            self._collect()

    def _collect(self):
        for conn, sent_ms in list(self.busy.items()):
            messages = self.sim.caller_messages[conn]
            if not any(isinstance(m, Ready) for m in messages):
                continue
            taken_ms = self.sim.now_ms - sent_ms
            if any(isinstance(m, Done) for m in messages):
                self.done_ms.append(taken_ms)
            else:
                self.refused_ms.append(taken_ms)
            del self.busy[conn]
            self.free.append(conn)


def _overloaded(queue, times=2.0):
    sim = PoolerSimulation()
    database = sim.databases['db-1']
    database.statement_ms = WORK_MS
    database.slots = SLOTS
    database.queue = queue
    callers = Callers(sim, CAPACITY_PER_S * times)
    callers.run(2_000)
    callers.done_ms.clear()
    callers.refused_ms.clear()
    return sim, callers


def test_goodput_at_twice_the_capacity_stays_at_nine_tenths():
    # A retry storm, or work for callers whose time is over, would eat it.
    _, callers = _overloaded(queue=4)
    callers.run(4_000)
    in_time = [taken for taken in callers.done_ms if taken <= 1_000]
    assert len(in_time) >= 0.9 * 4 * CAPACITY_PER_S


def test_statements_that_cannot_be_served_are_refused_early():
    # Waiting to the end of its time helps neither the caller nor those that
    # could have been served.
    _, callers = _overloaded(queue=4, times=3.0)
    callers.run(4_000)
    assert callers.refused_ms
    late = [taken for taken in callers.refused_ms if taken > 700]
    assert len(late) <= 0.1 * len(callers.refused_ms)


def test_few_statements_are_sent_only_to_be_refused():
    # Each refusal costs the database and the way there and back.
    sim, callers = _overloaded(queue=4)
    sim.databases['db-1'].overload_refusals.clear()
    before = len(sim.executed)
    callers.run(4_000)
    executed = len(sim.executed) - before
    assert len(sim.databases['db-1'].overload_refusals) <= 0.3 * executed


def test_load_leaves_no_trace_once_it_has_gone():
    # Guards against an overload that keeps itself alive by its retries.
    sim, callers = _overloaded(queue=4, times=4.0)
    callers.gap_ms = 1_000 / (0.5 * CAPACITY_PER_S)
    callers.run(1_500)
    callers.done_ms.clear()
    callers.refused_ms.clear()
    callers.run(2_000)
    assert not callers.refused_ms
    assert max(callers.done_ms) < 400


def test_refused_statement_inside_a_transaction_is_tried_again_in_place():
    # Nothing of it has run: failing it would waste the whole transaction.
    sim = PoolerSimulation()
    conn = sim.open('orders')
    sim.call(conn, 'BEGIN')
    sim.call(conn, 'WRITE 1 a')
    request_id = sim.send_request(conn, 'WRITE 2 b')
    sim.databases['db-1'].refused_requests.add(request_id)
    sim.advance(30)
    sim.databases['db-1'].refused_requests.clear()
    sim.advance(200)
    messages = sim.pop_messages(conn)
    assert any(isinstance(m, Done) for m in messages)
    assert not any(isinstance(m, Failed) for m in messages)
    assert isinstance(sim.call(conn, 'COMMIT'), Done)


@pytest.mark.parametrize('text', ['WRITE 2 b', 'COMMIT'])
def test_transaction_that_waits_for_a_slot_ends_with_its_connection(text):
    # Nothing was outstanding on the connection then, so that its loss was
    # noticed only at the end of the statement's time.
    sim = PoolerSimulation()
    conn = sim.open('orders')
    sim.call(conn, 'BEGIN')
    sim.call(conn, 'WRITE 1 a')
    request_id = sim.send_request(conn, text)
    sim.databases['db-1'].refused_requests.add(request_id)
    sim.advance(12)
    sim.reset_connections('db-1')
    sim.advance(150)
    messages = sim.pop_messages(conn)
    [failed] = [m for m in messages if isinstance(m, Failed)]
    assert failed.code == 'aborted'
    assert not [
        executed for executed in sim.executed if executed.text == 'COMMIT'
    ]


def test_urgent_statements_go_first():
    sim = PoolerSimulation(
        [
            endpoint('orders', 'primary', 0, priority=2),
            endpoint('urgent', 'primary', 0, priority=1),
        ]
    )
    sim.databases['db-1'].statement_ms = WORK_MS
    for conn in [sim.open('orders') for _ in range(40)]:
        sim.send_request(conn, 'WRITE 1 a')
    urgent = sim.open('urgent')
    started_ms = sim.now_ms
    assert isinstance(sim.call(urgent, 'WRITE 2 b'), Done)
    # Those that run already come before it, the 40 that wait do not.
    assert sim.now_ms - started_ms < 350


def test_first_statement_of_a_transaction_waits_its_turn():
    # It holds no connection yet. Going first, transactions would take the
    # place of several single statements each while there is too little.
    sim = PoolerSimulation()
    sim.databases['db-1'].statement_ms = WORK_MS
    transaction = sim.open('orders')
    sim.call(transaction, 'BEGIN')
    conns = [sim.open('orders') for _ in range(40)]
    for conn in conns:
        sim.send_request(conn, 'WRITE 1 a')
    assert isinstance(sim.call(transaction, 'WRITE 2 b'), Done)
    replies = [sim.pop_messages(conn) for conn in conns]
    done = [r for r in replies if any(isinstance(m, Done) for m in r)]
    assert len(done) >= 35


def test_a_burst_after_a_quiet_time_is_not_taken_for_an_overload():
    # The time between two answers says something of the upstream's pace only
    # while statements wait; otherwise it is that of the callers.
    sim = PoolerSimulation()
    conns = [sim.open('orders') for _ in range(8)]
    for _ in range(40):
        sim.call(conns[0], 'WRITE 1 a')
        sim.advance(200)
    for conn in conns:
        sim.pop_messages(conn)
        sim.send_request(conn, 'WRITE 1 a')
    sim.advance(400)
    for conn in conns:
        assert any(isinstance(m, Done) for m in sim.pop_messages(conn))


@pytest.mark.parametrize('max_connections', [3, 4, 5])
def test_single_connection_serves_probes_and_statements(max_connections):
    # 30 proxies before 56 connections have one each. A connection that was
    # opened for probes kept it, and no statement ever ran.
    sim = PoolerSimulation(
        [
            endpoint('orders', 'primary', 0, max_connections=max_connections),
            endpoint('reports', 'bounded_staleness', 1_500),
        ]
    )
    sim.advance(1_000)
    for database in ('orders', 'reports', 'orders'):
        assert isinstance(sim.call(sim.open(database), 'READ 1'), Done)
    sim.crash('db-1')
    sim.advance(500)
    sim.promote('db-2')
    sim.advance(2_000)
    assert isinstance(sim.call(sim.open('orders'), 'READ 1'), Done)


def test_scarce_connections_are_not_exceeded_by_probes():
    # 24 proxies before 56 connections have two each: a third for probes
    # would have the upstream reset others.
    sim = PoolerSimulation()
    sim.publish(
        [endpoint('orders', 'primary', 0, max_connections=56)], proxies=24
    )
    sim.advance(7_000)
    for conn in [sim.open('orders') for _ in range(20)]:
        sim.send_request(conn, 'WRITE 1 a')
    most = 0
    for _ in range(100):
        sim.advance(20)
        open_now = [c for c in sim.conns.values() if c.database.leads]
        most = max(most, len(open_now))
    assert most <= 2


def _share_of_one_proxy(text, database):
    """A pooler whose share of a primary is one slow statement at a time."""
    sim = PoolerSimulation()
    primary = sim.databases['db-1']
    primary.statement_ms = 180
    primary.slots = 1
    primary.queue = 1
    for name in ('db-2', 'db-3'):
        sim.databases[name].lag = 50
    callers = Callers(sim, 13, text)
    callers.free = [sim.open(database) for _ in range(200)]
    callers.run(2_000)
    callers.done_ms.clear()
    callers.refused_ms.clear()
    callers.run(8_000)
    return callers


@pytest.mark.parametrize(
    'text, database',
    [('READ 1', 'orders'), ('READ 1', 'returns'), ('WRITE 1 a', 'orders')],
)
def test_statements_are_not_started_when_their_time_is_nearly_over(
    text, database
):
    # First come, first served lets every statement start just before its
    # end, so that each runs in vain: goodput fell to nothing.
    callers = _share_of_one_proxy(text, database)
    assert len(callers.done_ms) >= 0.8 * 8 * 1_000 / 180
