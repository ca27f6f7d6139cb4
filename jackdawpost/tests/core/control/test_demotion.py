"""Former primaries on a platform that does not fence.

A primary that was replaced while it was cut off goes on to lead in its old
term. No lease may be granted on it before it leads in a new one.
"""

from __future__ import annotations

import pytest

from jackdawpost.core.positions import LogPosition
from jackdawpost.tests.core.control.delegated import DelegatedSimulation


@pytest.fixture
def sim():
    sim = DelegatedSimulation(
        write_leases=True, lease_ms=2_000, report_ttl_ms=1_500
    )
    sim.cluster.run(500)
    return sim


def _set_answers(sim, leads=False, **positions):
    for proxy in sim.proxies:
        proxy.action_leads = leads
        proxy.received_positions = {
            name: LogPosition(1, index) for name, index in positions.items()
        }


def _demotions(sim):
    return [
        action
        for proxy in sim.proxies
        for action in proxy.actions
        if action.action == 'demote'
    ]


def _replace_first_primary(sim):
    """Promote u3, then let it fail while u1 leads on in term 1."""
    sim.set_observations('', u2=11, u3=14)
    sim.report_evidence('u1')
    sim.cluster.run(1_500)
    sim.answer_order(sim.orders()[0], 'done')
    sim.cluster.run(300)
    assert sim.machine.groups['g'].primary == 'u3'
    sim.set_observations('u1', u1=30, u2=11, u3=14)
    sim.report_evidence('u3')


def _holders(sim):
    term = sim.machine.groups['g'].term
    now_ms = sim.cluster.now_ms
    return [p.name for p in sim.proxies if p.holds_lease(now_ms, 'g', term)]


def test_first_promotion_needs_no_demotion(sim):
    _set_answers(sim, u2=11, u3=14)
    sim.set_observations('', u2=11, u3=14)
    sim.report_evidence('u1')
    sim.cluster.run(1_500)
    assert sim.orders()
    assert not _demotions(sim)


def test_former_primary_is_demoted_before_it_is_promoted_again(sim):
    _replace_first_primary(sim)
    sim.cluster.run(2_000)
    assert len(sim.orders()) == 1
    demotions = _demotions(sim)
    assert {action.upstream for action in demotions} == {'u1'}
    # A primary in term 1 gives way to the next term only.
    assert {action.term for action in demotions} == {2}
    _set_answers(sim, u1=30)
    sim.cluster.run(500)
    assert sim.orders()[-1].upstream == 'u1'


def test_database_that_leads_on_is_not_promoted(sim):
    _replace_first_primary(sim)
    _set_answers(sim, leads=True, u1=30)
    sim.cluster.run(2_000)
    assert len(_demotions(sim)) > 3
    assert len(sim.orders()) == 1


def test_chosen_upstream_that_fails_undemoted_is_given_up(sim):
    _replace_first_primary(sim)
    sim.cluster.run(1_000)
    assert sim.machine.groups['g'].promotion.chosen == 'u1'
    sim.set_observations('', u2=11, u3=14)
    for proxy in sim.proxies:
        proxy.evidence = {'u2': 'up', 'u3': 'silent', 'u1': 'silent'}
    _set_answers(sim, u2=11)
    sim.cluster.run(2_000)
    assert sim.orders()[-1].upstream == 'u2'


def test_primary_of_a_superseded_term_is_not_adopted(sim):
    _replace_first_primary(sim)
    # Longer than a replaced primary is kept from adoption after a promotion.
    sim.cluster.run(8_000)
    assert sim.machine.groups['g'].primary != 'u1'
    assert _holders(sim) == []


def test_abandoned_order_that_may_take_effect_leaves_no_primary(sim):
    # The platform may have carried out the order although it did not answer.
    sim.set_observations('', u2=11, u3=14)
    sim.report_evidence('u1')
    sim.cluster.run(1_500)
    sim.answer_order(sim.orders()[0], 'unknown')
    sim.set_observations('u1', u1=30, u2=11)
    for proxy in sim.proxies:
        proxy.evidence = {'u1': 'up', 'u2': 'up', 'u3': 'silent'}
    assert sim.cluster.run(
        4_000, lambda: sim.machine.groups['g'].promotion is None
    )
    assert sim.machine.groups['g'].primary is None
    sim.cluster.run(1_000)
    assert _holders(sim) == []


def test_unanswered_order_ends_when_the_upstream_leads_in_a_new_term(sim):
    # A repetition could be carried out after the next promotion.
    _set_answers(sim, u3=14)
    sim.set_observations('', u2=11, u3=14)
    sim.report_evidence('u1')
    sim.cluster.run(1_500)
    orders = len(sim.orders())
    sim.set_observations('u3', u2=11, u3=14)
    sim.cluster.run(300)
    assert sim.machine.groups['g'].primary == 'u1'
    for proxy in sim.proxies:
        proxy.upstream_reports['u3'].term = 2
    sim.cluster.run(300)
    assert sim.machine.groups['g'].primary == 'u3'
    sim.cluster.run(3_000)
    assert len(sim.orders()) == orders
