"""Write leases of the pooler where no database fences a replaced primary.

Every test plays a primary that goes on to answer after another has taken
over, or may have, as databases without fencing do.
"""

from __future__ import annotations

import pytest

from jackdawpost.core.messages.control import LeaseRevoke
from jackdawpost.core.messages.control import LeaseRevoked
from jackdawpost.core.messages.session import Done
from jackdawpost.core.messages.session import Failed
from jackdawpost.core.pooler.leases import MAX_REVOCATION_DELAY_MS
from jackdawpost.core.pooler.placement import LEASE_RETURN_MS
from jackdawpost.core.pooler.reducer import is_healthy
from jackdawpost.testing.pooler_simulation import CONTROL_CONN
from jackdawpost.testing.pooler_simulation import default_endpoints
from jackdawpost.testing.pooler_simulation import endpoint
from jackdawpost.testing.pooler_simulation import GROUP
from jackdawpost.testing.pooler_simulation import LEASE_MS
from jackdawpost.testing.pooler_simulation import PoolerSimulation

PATIENT = [endpoint('orders', 'primary', 0, timeout_ms=5_000)]
REVOKED = LeaseRevoked(group=GROUP, term=1)


def _simulate(**fields):
    sim = PoolerSimulation(needs_leases=True, **fields)
    sim.advance(200)
    return sim


def _codes(sim, conn):
    return [m.code for m in sim.pop_messages(conn) if isinstance(m, Failed)]


def _revoke(sim, term=1):
    sim.receive(CONTROL_CONN, LeaseRevoke(group=GROUP, term=term))


def _replace_primary(sim, name, term=2):
    """Let control record the promotion of a database, as a leader does."""
    _revoke(sim, term - 1)
    sim.take_over(name)
    sim.lease_term = term
    sim.publish(default_endpoints(), primary=name, term=term)
    sim.advance(300)


def _outlast_lease(sim):
    """Let the control leader fall silent until the lease has run out."""
    sim.grants_leases = False
    sim.advance(LEASE_MS)


def test_nothing_is_sent_to_a_primary_without_a_lease():
    sim = _simulate()
    _outlast_lease(sim)
    conn = sim.open('orders')
    sim.send_request(conn, 'WRITE 1 a')
    sim.advance(100)
    assert not sim.executed


def test_commit_answered_after_the_lease_ended_is_an_unknown_outcome():
    sim = _simulate(endpoints=PATIENT)
    conn = sim.open('orders')
    sim.databases['db-1'].statement_ms = LEASE_MS
    sim.send_request(conn, 'WRITE 1 a')
    sim.grants_leases = False
    sim.advance(LEASE_MS + 100)
    assert [executed.text for executed in sim.executed] == ['WRITE 1 a']
    assert _codes(sim, conn) == ['unknown_outcome']


def test_commit_answered_during_a_suspension_is_an_unknown_outcome():
    sim = _simulate(endpoints=PATIENT)
    conn = sim.open('orders')
    sim.call(conn, 'WRITE 1 a')
    sim.send_request(conn, 'WRITE 2 b')
    sim.advance(5)
    sim.now_ms += LEASE_MS
    sim.grants_leases = False
    sim.advance(100)
    assert [executed.text for executed in sim.executed][1:] == ['WRITE 2 b']
    assert _codes(sim, conn) == ['unknown_outcome']


def test_commit_sent_under_an_earlier_lease_is_an_unknown_outcome():
    # The primary may have been replaced and promoted again meanwhile.
    sim = _simulate()
    conn = sim.open('orders')
    sim.databases['db-1'].statement_ms = 400
    sim.send_request(conn, 'WRITE 1 a')
    sim.advance(20)
    _revoke(sim)
    sim.advance(MAX_REVOCATION_DELAY_MS)
    sim.lease_term = 2
    sim.publish(default_endpoints(), primary='db-1', term=2)
    sim.advance(600)
    assert _codes(sim, conn) == ['unknown_outcome']


def test_read_answered_without_the_lease_runs_again_on_the_new_primary():
    sim = _simulate(endpoints=PATIENT)
    conn = sim.open('orders')
    sim.databases['db-1'].statement_ms = 400
    sim.send_request(conn, 'READ 1')
    sim.advance(20)
    _replace_primary(sim, 'db-2')
    sim.advance(500)
    assert [e.database for e in sim.executed] == ['db-1', 'db-2']
    answers = [m for m in sim.pop_messages(conn) if isinstance(m, Done)]
    assert [answer.signature[:4] for answer in answers] == ['db-2']


def test_replaced_primary_that_goes_on_gets_no_statements():
    sim = _simulate()
    conn = sim.open('orders')
    sim.call(conn, 'WRITE 1 a')
    _replace_primary(sim, 'db-2')
    assert sim.databases['db-1'].leads
    assert isinstance(sim.call(conn, 'READ 1'), Done)
    assert isinstance(sim.call(conn, 'WRITE 2 b'), Done)
    assert [e.database for e in sim.executed] == ['db-1', 'db-2', 'db-2']


def test_bounded_read_ignores_positions_of_a_replaced_primary():
    # The old primary lacks the commits of the new one. Its positions must
    # not vouch for replicas that follow it.
    sim = _simulate()
    _revoke(sim)
    sim.take_over('db-2')
    sim.databases['db-2'].index = 40
    sim.advance(3_000)
    conn = sim.open('reports')
    sim.send_request(conn, 'READ 1')
    sim.advance(400)
    assert not sim.executed


def test_revocation_lets_statements_in_flight_end():
    sim = _simulate()
    conn = sim.open('orders')
    sim.databases['db-1'].statement_ms = 60
    sim.send_request(conn, 'WRITE 1 a')
    sim.advance(10)
    _revoke(sim)
    later = sim.open('orders')
    sim.send_request(later, 'WRITE 2 b')
    assert REVOKED not in sim.control_answers
    sim.advance(80)
    assert REVOKED in sim.control_answers
    assert [m for m in sim.pop_messages(conn) if isinstance(m, Done)]
    assert [executed.text for executed in sim.executed] == ['WRITE 1 a']


def test_revocation_waits_only_briefly_for_slow_statements():
    sim = _simulate()
    conn = sim.open('orders')
    sim.databases['db-1'].statement_ms = 600
    sim.send_request(conn, 'WRITE 1 a')
    sim.advance(10)
    _revoke(sim)
    sim.advance(MAX_REVOCATION_DELAY_MS)
    assert REVOKED in sim.control_answers
    sim.advance(600)
    assert _codes(sim, conn) == ['unknown_outcome']


@pytest.mark.parametrize('with_work', [False, True])
def test_revocation_for_a_lost_primary_is_confirmed_at_once(with_work):
    sim = _simulate()
    if with_work:
        conn = sim.open('orders')
        sim.databases['db-1'].statement_ms = 900
        sim.send_request(conn, 'WRITE 1 a')
    sim.silence('db-1')
    sim.advance(800)
    _revoke(sim)
    assert REVOKED in sim.control_answers


def test_transaction_with_writes_is_aborted_after_the_lease_ended():
    sim = _simulate()
    conn = sim.open('orders')
    sim.call(conn, 'BEGIN')
    sim.call(conn, 'WRITE 1 a')
    _replace_primary(sim, 'db-2')
    assert sim.call(conn, 'COMMIT').code == 'aborted'
    assert 'COMMIT' not in [executed.text for executed in sim.executed]
    assert isinstance(sim.call(conn, 'WRITE 2 b'), Done)


def test_transaction_without_writes_ends_without_the_lease():
    sim = _simulate()
    conn = sim.open('orders')
    sim.call(conn, 'BEGIN')
    sim.call(conn, 'READ 1')
    _replace_primary(sim, 'db-2')
    assert isinstance(sim.call(conn, 'COMMIT'), Done)


def test_begin_answered_after_the_lease_ended_starts_no_transaction():
    sim = _simulate()
    conn = sim.open('orders')
    sim.call(conn, 'READ 1')
    sim.call(conn, 'BEGIN')
    sim.send_request(conn, 'READ 2')
    _revoke(sim)
    sim.advance(MAX_REVOCATION_DELAY_MS + 200)
    sim.take_over('db-2')
    sim.lease_term = 2
    sim.publish(default_endpoints(), primary='db-2', term=2)
    sim.advance(300)
    databases = {e.database for e in sim.executed if e.text == 'READ 2'}
    assert databases <= {'db-1', 'db-2'}
    assert len([e for e in sim.executed if e.text == 'READ 2']) == 1


def test_pooler_without_control_refuses_at_once_and_is_not_healthy():
    # Pattern: two of four proxies are cut off from control for seconds while
    # they still reach the primaries. Callers must not wait for them.
    sim = _simulate()
    assert is_healthy(sim.state)
    _outlast_lease(sim)
    assert not is_healthy(sim.state)
    sim.advance(LEASE_RETURN_MS)
    conn = sim.open('orders')
    started_ms = sim.now_ms
    answer = sim.call(conn, 'WRITE 1 a')
    assert answer.code == 'overloaded'
    assert sim.now_ms - started_ms < 5
    assert not sim.executed
    sim.grants_leases = True
    sim.advance(700)
    assert is_healthy(sim.state)
    assert isinstance(sim.call(conn, 'WRITE 2 b'), Done)


def test_short_loss_of_control_is_not_noticed_by_callers():
    sim = _simulate()
    conn = sim.open('orders')
    sim.grants_leases = False
    sim.advance(800)
    assert isinstance(sim.call(conn, 'WRITE 1 a'), Done)
    sim.grants_leases = True
    sim.advance(1_000)
    assert isinstance(sim.call(conn, 'WRITE 2 b'), Done)


def test_primary_without_a_lease_is_not_probed_more_often():
    sim = _simulate()
    _outlast_lease(sim)
    opened_logs = len(sim.logs)
    before = sim.state.pools['db-1'].probe_sent_ms
    probes = set()
    for _ in range(100):
        sim.advance(10)
        probes.add(sim.state.pools['db-1'].probe_sent_ms)
    probes.discard(before)
    assert len(probes) <= 6
    assert len(sim.logs) - opened_logs < 20
