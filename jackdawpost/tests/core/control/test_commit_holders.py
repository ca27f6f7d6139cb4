"""Promotions in groups whose commits need a copy on a replica.

No database may be promoted without a commit that callers know as done.
"""

from __future__ import annotations

import pytest

from jackdawpost.core.positions import LogPosition
from jackdawpost.tests.core.control.delegated import DelegatedSimulation
from jackdawpost.tests.core.control.delegated import registration


@pytest.fixture
def sim():
    return DelegatedSimulation(copies=2)


def _set_positions(sim, **positions):
    for proxy in sim.proxies:
        proxy.received_positions = {
            name: LogPosition(1, index) for name, index in positions.items()
        }


def _drain(sim, name):
    sim.send_request(registration(name, state='draining', sequence=2))


def test_newcomer_without_all_approvals_may_hold_the_last_commit(sim):
    # Guards against a planned release that loses commits: the primary has
    # acknowledged them with the copy of a database that is no member yet.
    sim.set_observations('u1', u2=12, u3=12)
    sim.proxies[2].approves = False
    sim.send_request(registration('u4'))
    assert 'u4' not in sim.machine.members
    _set_positions(sim, u2=14, u3=12)
    _drain(sim, 'u1')
    sim.cluster.run(2_000)
    assert not sim.orders()
    sim.proxies[2].approves = True
    sim.cluster.run(1_000)
    assert 'u4' in sim.machine.members
    assert not sim.orders()
    _set_positions(sim, u2=14, u3=12, u4=15)
    sim.cluster.run(1_000)
    assert not sim.orders()
    _set_positions(sim, u2=15, u3=12, u4=15)
    sim.cluster.run(500)
    assert sim.orders()[0].upstream == 'u2'


def test_newcomer_of_another_group_delays_no_promotion(sim):
    sim.set_observations('u1', u2=14, u3=12)
    sim.proxies[2].approves = False
    sim.send_request(registration('u4', group='elsewhere'))
    _set_positions(sim, u2=14, u3=12)
    _drain(sim, 'u1')
    sim.cluster.run(1_000)
    assert sim.orders()[0].upstream == 'u2'


def test_newcomer_delays_no_promotion_of_a_group_without_copies():
    # Databases that acknowledge alone need no answer of any other.
    sim = DelegatedSimulation(copies=1)
    sim.set_observations('u1', u2=14, u3=12)
    sim.proxies[2].approves = False
    sim.send_request(registration('u4'))
    _drain(sim, 'u1')
    sim.cluster.run(500)
    assert sim.orders()[0].upstream == 'u2'


def _report(sim, **evidence):
    for proxy in sim.proxies:
        proxy.evidence = {'u1': 'up', 'u2': 'up', 'u3': 'up', **evidence}


def _lose_replica(sim, **positions):
    """Let u3 refuse connections for longer than any database needs."""
    sim.set_observations('u1', u2=12, u3=12)
    _set_positions(sim, **positions)
    _report(sim, u3='refused')
    sim.cluster.run(3_000)


def _lose_primary(sim, **positions):
    sim.set_observations('', u2=12)
    _set_positions(sim, **positions)
    _report(sim, u1='refused', u3='refused')


def test_replica_lost_earlier_may_hold_what_the_other_did_not_receive(sim):
    # Guards against the promotion of a replica that has received nothing for
    # a while: u3 helped to acknowledge commits before it crashed.
    _lose_replica(sim, u1=20, u2=12)
    _lose_primary(sim, u2=12)
    sim.cluster.run(6_000)
    assert not sim.orders()
    _report(sim, u1='refused')
    _set_positions(sim, u2=12, u3=18)
    sim.set_observations('', u2=12, u3=18)
    sim.cluster.run(5_000)
    assert {order.upstream for order in sim.orders()} == {'u3'}


def test_replica_lost_earlier_is_not_needed_by_one_that_has_received_all(sim):
    _lose_replica(sim, u1=12, u2=12)
    _lose_primary(sim, u2=13)
    sim.cluster.run(1_500)
    assert sim.orders()[0].upstream == 'u2'


def test_replica_lost_together_with_the_primary_is_waited_for(sim):
    # The primary no longer answers what the replica may hold.
    sim.set_observations('u1', u2=12, u3=12)
    _lose_primary(sim, u2=12)
    sim.cluster.run(6_000)
    assert not sim.orders()


def test_replica_that_was_back_meanwhile_is_waited_for_again(sim):
    # What it may hold was limited before it received further commits.
    _lose_replica(sim, u1=12, u2=12)
    _report(sim)
    sim.cluster.run(1_000)
    _lose_primary(sim, u2=13)
    sim.cluster.run(6_000)
    assert not sim.orders()


def test_position_of_a_database_that_does_not_lead_limits_nothing(sim):
    sim.set_observations('', u2=12, u3=12)
    _set_positions(sim, u1=12, u2=12)
    _report(sim, u3='refused')
    sim.cluster.run(1_000)
    _lose_primary(sim, u2=13)
    sim.cluster.run(6_000)
    assert not sim.orders()


def test_new_leader_learns_what_an_absent_replica_may_hold(sim):
    _lose_replica(sim, u1=12, u2=12)
    sim.cluster.stop_process(sim.cluster.leader().cfg.name)
    sim.cluster.run(4_000)
    _lose_primary(sim, u2=13)
    sim.cluster.run(2_500)
    assert sim.orders()[0].upstream == 'u2'
