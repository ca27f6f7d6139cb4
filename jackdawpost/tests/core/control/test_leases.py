"""Write leases before promotions on a platform that does not fence.

No promotion may be ordered while a proxy may still acknowledge writes of the
old primary, and no lease may be granted before the promotion has ended.
"""

from __future__ import annotations

from jackdawpost.core.effects import OrderPromotion
from jackdawpost.core.messages.control import LeaseRevoke
from jackdawpost.core.positions import LogPosition
from jackdawpost.tests.core.control.delegated import DelegatedSimulation

LEASE_MS = 2_000
LONGEST_LEASE_MS = LEASE_MS * 1.02


def _simulate(**fields):
    sim = DelegatedSimulation(
        write_leases=True, lease_ms=LEASE_MS, report_ttl_ms=1_500, **fields
    )
    sim.cluster.run(500)
    return sim


def _holders(sim, term):
    now_ms = sim.cluster.now_ms
    return [p.name for p in sim.proxies if p.holds_lease(now_ms, 'g', term)]


def _order_times(sim):
    return [
        at_ms
        for at_ms, _, effect in sim.cluster.effects
        if isinstance(effect, OrderPromotion)
    ]


def _fail_primary(sim):
    sim.set_observations('', u2=11, u3=14)
    sim.report_evidence('u1')


def _cut_off(sim, proxy):
    for name in sim.cluster.controls:
        sim.cluster.cut_links.add(frozenset((name, proxy.name)))


def test_every_proxy_holds_a_lease_on_the_adopted_primary():
    sim = _simulate()
    assert sim.machine.groups['g'].primary == 'u1'
    assert sim.machine.groups['g'].term == 1
    assert _holders(sim, 1) == ['p1', 'p2', 'p3']


def test_no_lease_is_granted_where_the_platform_fences():
    sim = DelegatedSimulation()
    assert not sim.cluster.grants


def test_promotion_is_ordered_after_every_proxy_gave_up_its_lease():
    sim = _simulate()
    _fail_primary(sim)
    assert sim.cluster.run(2_000, lambda: bool(_order_times(sim)))
    assert _holders(sim, 1) == []
    # Reachable proxies answer within a round trip.
    assert not sim.cluster.run(300, lambda: bool(_holders(sim, 1)))


def test_new_primary_gets_leases_in_a_new_term():
    sim = _simulate()
    _fail_primary(sim)
    sim.cluster.run(1_500)
    order = sim.orders()[0]
    assert not sim.cluster.run(100, lambda: bool(_holders(sim, order.token)))
    sim.set_observations('u3', u2=11, u3=14)
    sim.answer_order(order, 'done')
    sim.cluster.run(300)
    assert sim.machine.groups['g'].term == order.token
    assert _holders(sim, order.token) == ['p1', 'p2', 'p3']


def test_lease_of_an_unreachable_proxy_is_waited_out():
    sim = _simulate()
    _cut_off(sim, sim.proxies[2])
    cut_ms = sim.cluster.now_ms
    _fail_primary(sim)
    sim.cluster.run(5_000, lambda: bool(_order_times(sim)))
    ordered_ms = _order_times(sim)[0]
    # Its last report was sent up to one interval before the cut.
    assert cut_ms + LONGEST_LEASE_MS - 110 <= ordered_ms
    assert ordered_ms <= cut_ms + LONGEST_LEASE_MS + 110
    assert sim.proxies[2].lease_until_ms[('g', 1)] <= ordered_ms


def test_lease_of_a_proxy_that_does_not_confirm_is_waited_out():
    sim = _simulate()
    sim.proxies[0].answers_revocations = False
    _fail_primary(sim)
    sim.cluster.run(5_000, lambda: bool(_order_times(sim)))
    assert _holders(sim, 1) == []
    revoked_ms = [
        message
        for message in sim.proxies[0].received
        if isinstance(message, LeaseRevoke)
    ]
    assert revoked_ms


def test_restarted_proxy_holds_no_lease_of_its_earlier_process():
    sim = _simulate()
    proxy = sim.proxies[2]
    _cut_off(sim, proxy)
    _fail_primary(sim)
    sim.cluster.run(600)
    assert not _order_times(sim)
    proxy.incarnation = 'p3-2'
    proxy.lease_until_ms = {}
    sim.cluster.cut_links.clear()
    for name in list(sim.cluster.controls):
        sim.cluster.disconnect(proxy, name)
        sim.cluster.connect(proxy, name)
    assert sim.cluster.run(400, lambda: bool(_order_times(sim)))


def test_new_leader_waits_for_leases_of_the_old_one():
    sim = _simulate()
    proxy = sim.proxies[2]
    _cut_off(sim, proxy)
    old = sim.cluster.leader().cfg.name
    sim.cluster.stop_process(old)
    _fail_primary(sim)
    sim.cluster.run(8_000, lambda: bool(_order_times(sim)))
    assert _order_times(sim)
    assert proxy.lease_until_ms[('g', 1)] <= _order_times(sim)[0]


def test_deposed_leader_orders_nothing():
    # The platform would carry out the order, although a new leader has
    # ordered another promotion since.
    sim = _simulate()
    leader = sim.cluster.leader()
    _fail_primary(sim)
    sim.cluster.run(1_500)
    first = sim.orders()[0]
    # The next leader demotes the upstream first, which may lead already.
    for proxy in sim.proxies:
        proxy.received_positions = {'u3': LogPosition(1, 14)}
    old = leader.cfg.name
    for other in sim.cluster.controls:
        if other != old:
            sim.cluster.cut_links.add(frozenset((old, other)))
    isolated_ms = sim.cluster.now_ms
    sim.cluster.run(6_000)
    late = [
        at_ms
        for at_ms, name, effect in sim.cluster.effects
        if isinstance(effect, OrderPromotion) and name == old
    ]
    assert max(late) <= isolated_ms + leader.cfg.election_min_ms
    assert sim.orders()[-1].token > first.token


def test_abandoned_promotion_returns_the_leases_in_a_new_term():
    sim = _simulate()
    sim.report_evidence('u1')
    sim.cluster.run(1_500)
    order = sim.orders()[0]
    sim.report_evidence('u1', 'up')
    sim.set_observations('u1')
    sim.cluster.run(100)
    sim.answer_order(order, 'refused')
    sim.cluster.run(500)
    assert sim.machine.groups['g'].promotion is None
    assert sim.machine.groups['g'].primary == 'u1'
    assert _holders(sim, order.token) == ['p1', 'p2', 'p3']


def test_leases_on_an_adopted_primary_wait_for_those_on_the_earlier_one():
    sim = _simulate()
    proxy = sim.proxies[2]
    _cut_off(sim, proxy)
    sim.cluster.run(10)
    sim.set_observations('u2')
    sim.cluster.run(4_000, lambda: bool(_holders(sim, 2)))
    adopted_ms = sim.cluster.now_ms
    assert sim.machine.groups['g'].primary == 'u2'
    sim.cluster.run(200)
    assert _holders(sim, 2) == ['p1', 'p2']
    assert proxy.lease_until_ms[('g', 1)] <= adopted_ms
