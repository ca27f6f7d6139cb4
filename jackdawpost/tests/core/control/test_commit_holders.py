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
