"""Tests of the session pooler under more load than the databases can serve."""

from __future__ import annotations

import pytest

from jackdawpost.core.messages.session import Done
from jackdawpost.core.messages.session import Failed
from jackdawpost.core.messages.session import Ready
from jackdawpost.testing.pooler_simulation import endpoint
from jackdawpost.testing.pooler_simulation import PoolerSimulation

SLOTS = 3
STATEMENT_MS = 30.0
CAPACITY_PER_S = SLOTS * 1_000 / STATEMENT_MS


class Callers:
    """Open-loop load: statements are sent at a fixed rate on free sessions."""

    def __init__(self, sim, per_s, text='WRITE 1 a', sessions=400):
        self.sim = sim
        self.free = [sim.open('orders') for _ in range(sessions)]
        self.busy = {}
        self.text = text
        self.interval_ms = 1_000 / per_s
        self.done_ms = []
        self.refused_ms = []

    def run(self, duration_ms):
        end_ms = self.sim.now_ms + duration_ms
        while self.sim.now_ms < end_ms:
            if self.free:
                conn = self.free.pop()
                self.busy[conn] = self.sim.now_ms
                self.sim.pop_messages(conn)
                self.sim.send_request(conn, self.text)
            self.sim.advance(self.interval_ms)
            self._collect()

    def _collect(self):
        for conn, sent_ms in list(self.busy.items()):
            messages = self.sim.caller_messages[conn]
            if not any(isinstance(m, Ready) for m in messages):
                continue
            duration_ms = self.sim.now_ms - sent_ms
            if any(isinstance(m, Done) for m in messages):
                self.done_ms.append(duration_ms)
            else:
                self.refused_ms.append(duration_ms)
            del self.busy[conn]
            self.free.append(conn)


def _overloaded(queue, load_factor=2.0):
    sim = PoolerSimulation()
    database = sim.databases['db-1']
    database.statement_ms = STATEMENT_MS
    database.slots = SLOTS
    database.queue = queue
    callers = Callers(sim, CAPACITY_PER_S * load_factor)
    callers.run(2_000)
    callers.done_ms.clear()
    callers.refused_ms.clear()
    return sim, callers


def test_goodput_at_twice_the_capacity_stays_at_nine_tenths():
    # Guards against retry storms and against statements that are run after
    # their callers have timed out.
    _, callers = _overloaded(queue=4)
    callers.run(4_000)
    in_time = [taken for taken in callers.done_ms if taken <= 1_000]
    assert len(in_time) >= 0.9 * 4 * CAPACITY_PER_S


def test_statements_that_cannot_be_served_are_refused_early():
    # A statement that waits until its timeout and then fails helps neither
    # its caller nor the statements behind it in the queue.
    _, callers = _overloaded(queue=4, load_factor=3.0)
    callers.run(4_000)
    assert callers.refused_ms
    late = [taken for taken in callers.refused_ms if taken > 700]
    assert len(late) <= 0.1 * len(callers.refused_ms)


def test_few_statements_are_sent_only_to_be_refused():
    # Each refusal costs a round trip and load on the database.
    sim, callers = _overloaded(queue=4)
    sim.databases['db-1'].overload_refusals.clear()
    before = len(sim.executed)
    callers.run(4_000)
    executed = len(sim.executed) - before
    assert len(sim.databases['db-1'].overload_refusals) <= 0.3 * executed


def test_service_recovers_after_an_overload():
    # Guards against retries that sustain an overload after its cause is gone.
    sim, callers = _overloaded(queue=4, load_factor=4.0)
    callers.interval_ms = 1_000 / (0.5 * CAPACITY_PER_S)
    callers.run(1_500)
    callers.done_ms.clear()
    callers.refused_ms.clear()
    callers.run(2_000)
    assert not callers.refused_ms
    assert max(callers.done_ms) < 400


def test_refused_statement_in_a_transaction_is_retried_within_it():
    # The statement has not run. Failing it would waste the whole transaction.
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
    # No request was outstanding on the connection at that time, and its loss
    # was detected only when the statement timed out.
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
    sim.databases['db-1'].statement_ms = STATEMENT_MS
    for conn in [sim.open('orders') for _ in range(40)]:
        sim.send_request(conn, 'WRITE 1 a')
    urgent = sim.open('urgent')
    started_ms = sim.now_ms
    assert isinstance(sim.call(urgent, 'WRITE 2 b'), Done)
    # Only statements that already run precede it, not the 40 queued ones.
    assert sim.now_ms - started_ms < 350


def test_first_statement_of_a_transaction_gets_no_precedence():
    # The transaction holds no connection yet. With precedence under
    # overload, each transaction would displace several single statements.
    sim = PoolerSimulation()
    sim.databases['db-1'].statement_ms = STATEMENT_MS
    transaction = sim.open('orders')
    sim.call(transaction, 'BEGIN')
    conns = [sim.open('orders') for _ in range(40)]
    for conn in conns:
        sim.send_request(conn, 'WRITE 1 a')
    assert isinstance(sim.call(transaction, 'WRITE 2 b'), Done)
    replies = [sim.pop_messages(conn) for conn in conns]
    done = [r for r in replies if any(isinstance(m, Done) for m in r)]
    assert len(done) >= 35


def test_burst_after_an_idle_period_is_not_treated_as_an_overload():
    # The interval between two answers shows the speed of the upstream only
    # while statements are queued. Otherwise it shows how often callers send.
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
    # 30 proxies that share 56 connections have one each. It was opened for
    # probes and never used for statements, so no statement ever ran.
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
    # 24 proxies that share 56 connections have two each. With a third one
    # for probes, the upstream would reset others.
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


def _load_with_one_slot(text, database):
    """Load a pooler whose primary runs only one slow statement at a time."""
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
    # With first come, first served, every statement started just before its
    # timeout and ran in vain. Goodput fell to zero.
    callers = _load_with_one_slot(text, database)
    assert len(callers.done_ms) >= 0.8 * 8 * 1_000 / 180
