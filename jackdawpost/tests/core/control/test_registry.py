"""Declared configurations, registered upstreams, delegated promotions."""

from __future__ import annotations

import pytest

from jackdawpost.core.control.commands import DeclareObject
from jackdawpost.core.effects import OrderPromotion
from jackdawpost.core.effects import Reply
from jackdawpost.core.events import DrainRequested
from jackdawpost.core.events import PromotionEnded
from jackdawpost.core.events import RequestReceived
from jackdawpost.core.messages.control import UpstreamReport
from jackdawpost.core.messages.registry import DeclareConfig
from jackdawpost.core.messages.registry import Departure
from jackdawpost.core.messages.registry import ReadConfig
from jackdawpost.core.messages.registry import Registration
from jackdawpost.core.positions import LogPosition
from jackdawpost.tests.core.control.fakes import FakeProxy
from jackdawpost.tests.core.control.fakes import SimulatedCluster

STARTED_MS = 1_700_000_000_000


def _declare(version, name='r-1', group='g', copies=1):
    objects = [
        DeclareObject(
            type='group',
            name='g',
            body={'databases': copies, 'write_copies': copies},
        ),
        DeclareObject(
            type='endpoint',
            name=name,
            body={'database': name, 'group': group, 'timeout_ms': 1_000},
        ),
    ]
    document = f'{version} {name} {group}'.encode()
    return DeclareConfig(version=version, document=document, objects=objects)


def _registration(name, **fields):
    number = int(name[1:])
    values = {
        'name': name,
        'group': 'g',
        'host': f'10.0.1.{number}',
        'port': 5432,
        'data_centre': 'dc',
        'slots': 3,
        'state': 'ready',
        'started_ms': STARTED_MS,
        'sequence': 1,
        'leads': name == 'u1',
    }
    return Registration(**{**values, **fields})


class DelegatedSimulation:
    """Simulated control processes at which upstreams register."""

    def __init__(self, controls=3, proxies=3, copies=1):
        self.cluster = SimulatedCluster(
            [f'c{n}' for n in range(1, controls + 1)],
            delegated=True,
            holder='holder',
            member_expiry_ms=2_500,
        )
        self.request_count = 0
        assert self.cluster.run(
            3_000, lambda: self.cluster.leader() is not None
        )
        self.proxies = [
            self.cluster.add(FakeProxy(f'p{n}')) for n in range(1, proxies + 1)
        ]
        self.cluster.run(500)
        assert self.send_request(_declare(1, copies=copies)).outcome == 'done'
        for name in ('u1', 'u2', 'u3'):
            assert self.send_request(_registration(name)).outcome == 'done'
        self.set_observations('u1')
        self.cluster.run(1_000)

    @property
    def machine(self):
        return self.cluster.leader().machine

    def set_observations(self, leader, **received):
        """Set the leading upstream and the positions that proxies report."""
        for proxy in self.proxies:
            proxy.upstream_reports = {
                name: UpstreamReport(
                    leads=name == leader,
                    term=1,
                    received=LogPosition(1, received.get(name, 10)),
                )
                for name in ('u1', 'u2', 'u3')
            }

    def report_evidence(self, upstream, evidence='silent', by=None):
        """Let all proxies, or the first `by`, report an upstream as failed."""
        for proxy in self.proxies if by is None else self.proxies[:by]:
            proxy.evidence = {'u2': 'up', 'u3': 'up', upstream: evidence}

    def send_request(self, request, at=None, for_ms=500):
        """Send a request and return its reply."""
        self.request_count += 1
        request_id = self.request_count
        name = at or self.cluster.leader().cfg.name
        self.cluster.feed(
            name,
            RequestReceived(
                now_ms=self.cluster.now_ms,
                request_id=request_id,
                request=request,
            ),
        )
        self.cluster.run(for_ms, lambda: self.reply(request_id) is not None)
        return self.reply(request_id)

    def reply(self, request_id):
        replies = [
            effect
            for _, _, effect in self.cluster.effects
            if isinstance(effect, Reply) and effect.request_id == request_id
        ]
        return replies[0] if replies else None

    def orders(self):
        return [
            effect
            for _, _, effect in self.cluster.effects
            if isinstance(effect, OrderPromotion)
        ]

    def answer_order(self, order, outcome):
        ended = PromotionEnded(
            now_ms=self.cluster.now_ms,
            group=order.group,
            token=order.token,
            outcome=outcome,
        )
        self.cluster.feed(self.cluster.leader().cfg.name, ended)

    def follower(self):
        leader = self.cluster.leader().cfg.name
        return next(n for n in self.cluster.controls if n != leader)


def test_upstreams_join_once_every_proxy_has_approved():
    sim = DelegatedSimulation()
    assert {'u1', 'u2', 'u3'} <= set(sim.machine.members)
    sim.proxies[1].approves = False
    sim.send_request(_registration('u4'))
    sim.cluster.run(1_000)
    assert 'u4' not in sim.machine.members
    sim.proxies[1].approves = True
    sim.cluster.run(1_500)
    assert 'u4' in sim.machine.members


def test_lost_approval_is_requested_again():
    # A request or its answer may be lost when its link is reset.
    sim = DelegatedSimulation()
    sim.proxies[1].approves = False
    sim.send_request(_registration('u4'))
    sim.cluster.run(300)
    sim.proxies[1].approves = True
    sim.cluster.run(1_000)
    assert 'u4' in sim.machine.members


def test_lost_proxy_delays_a_join_only_until_it_expires():
    # Guards against a rollout that waits 30 s for a lost machine.
    sim = DelegatedSimulation()
    sim.cluster.kill(sim.proxies[1])
    sim.send_request(_registration('u4'))
    sim.cluster.run(4_500)
    assert 'u4' in sim.machine.members


def test_only_the_leader_answers():
    sim = DelegatedSimulation()
    leader = sim.cluster.leader().cfg.name
    reply = sim.send_request(_declare(2), at=sim.follower())
    assert (reply.outcome, reply.leader) == ('moved', leader)
    sim.cluster.feed(leader, DrainRequested(now_ms=sim.cluster.now_ms))
    reply = sim.send_request(_declare(2), at=leader)
    assert reply.outcome in ('moved', 'unavailable')


def test_configuration_is_read_back_as_it_was_sent():
    sim = DelegatedSimulation()
    assert sim.send_request(_declare(5, 'r-2')).outcome == 'done'
    assert sim.send_request(ReadConfig()).document == b'5 r-2 g'
    # An older version, and other content under the current version.
    assert sim.send_request(_declare(4, 'r-3')).outcome == 'done'
    assert sim.send_request(_declare(5, 'r-4')).outcome == 'done'
    assert sim.send_request(ReadConfig()).document == b'5 r-2 g'


def test_invalid_configuration_is_refused_with_its_faults():
    sim = DelegatedSimulation()
    reply = sim.send_request(_declare(9, group='missing'))
    assert reply.outcome == 'invalid'
    assert 'missing' in reply.faults[0]
    assert sim.send_request(ReadConfig()).document == b'1 r-1 g'


def test_isolated_leader_neither_accepts_nor_shows_a_configuration():
    # Guards against reading an older configuration after a newer one was
    # accepted on the other side of a partition.
    sim = DelegatedSimulation()
    old = sim.cluster.leader().cfg.name
    sim.cluster.isolate(old)
    for request in (ReadConfig(), _declare(8)):
        reply = sim.send_request(request, at=old, for_ms=3_000)
        assert reply is None or reply.outcome == 'unavailable'


def test_accepted_configuration_survives_the_loss_of_the_leader():
    sim = DelegatedSimulation()
    old = sim.cluster.leader().cfg.name
    assert sim.send_request(_declare(5, 'r-2')).outcome == 'done'
    sim.cluster.stop_process(old)
    assert sim.cluster.run(
        5_000,
        lambda: (
            sim.cluster.leader() is not None
            and sim.cluster.leader().cfg.name != old
        ),
    )
    assert sim.send_request(ReadConfig(), for_ms=2_000).document == b'5 r-2 g'
    assert sim.send_request(_declare(5, 'r-2')).outcome == 'done'


def test_draining_is_recorded_before_it_is_acknowledged():
    sim = DelegatedSimulation()
    report = _registration('u2', state='draining', sequence=2)
    assert sim.send_request(report).outcome == 'done'
    assert sim.machine.members['u2'].leaving


def test_late_report_of_an_earlier_incarnation_changes_nothing():
    sim = DelegatedSimulation()
    newer = _registration('u2', started_ms=STARTED_MS + 5_000)
    sim.send_request(newer)
    sim.cluster.run(1_000)
    assert sim.machine.members['u2'].member_id == str(STARTED_MS + 5_000)
    sim.send_request(_registration('u2', sequence=9, state='draining'))
    sim.cluster.run(1_000)
    member = sim.machine.members['u2']
    assert member.member_id == str(STARTED_MS + 5_000)
    assert not member.leaving


def test_late_report_does_not_readmit_a_departed_upstream():
    sim = DelegatedSimulation()
    sim.send_request(Departure(name='u3', started_ms=STARTED_MS))
    sim.cluster.run(200)
    assert 'u3' not in sim.machine.members
    sim.send_request(_registration('u3', sequence=7))
    sim.cluster.run(1_000)
    assert 'u3' not in sim.machine.members


def test_reused_address_belongs_to_the_later_incarnation():
    sim = DelegatedSimulation()
    sim.send_request(
        _registration('u9', host='10.0.1.3', started_ms=STARTED_MS + 9)
    )
    sim.cluster.run(1_000)
    assert 'u3' not in sim.machine.members
    assert 'u9' in sim.machine.members
    sim.send_request(_registration('u3', sequence=8))
    sim.cluster.run(500)
    assert 'u3' not in sim.machine.members


def test_primary_reported_by_proxies_is_adopted():
    sim = DelegatedSimulation()
    assert sim.machine.groups['g'].primary == 'u1'
    assert not sim.orders()


def test_failed_primary_is_replaced_by_the_replica_that_received_most():
    sim = DelegatedSimulation()
    sim.set_observations('', u2=11, u3=14)
    sim.report_evidence('u1')
    sim.cluster.run(1_500)
    order = sim.orders()[0]
    assert order.upstream == 'u3'
    assert sim.machine.groups['g'].promotion.to_term == order.token
    sim.answer_order(order, 'done')
    sim.cluster.run(300)
    assert sim.machine.groups['g'].primary == 'u3'


def test_minority_that_cannot_reach_the_primary_causes_no_promotion():
    sim = DelegatedSimulation()
    sim.report_evidence('u1', by=1)
    sim.cluster.run(5_000)
    assert not sim.orders()


def test_unanswered_order_is_repeated_under_its_token():
    # The order may still be executed; another token would promote twice.
    sim = DelegatedSimulation()
    sim.report_evidence('u1')
    sim.cluster.run(1_500)
    sim.answer_order(sim.orders()[0], 'unknown')
    sim.cluster.run(1_500)
    orders = sim.orders()
    assert len(orders) >= 2
    assert {(o.token, o.upstream) for o in orders} == {
        (orders[0].token, orders[0].upstream)
    }


def test_refused_order_is_followed_by_one_under_a_higher_token():
    sim = DelegatedSimulation()
    sim.report_evidence('u1')
    sim.cluster.run(1_500)
    first = sim.orders()[0]
    sim.answer_order(first, 'refused')
    sim.cluster.run(1_500)
    last = sim.orders()[-1]
    assert last.token > first.token
    assert last.upstream != first.upstream


def test_new_leader_never_uses_the_token_of_the_old_one():
    sim = DelegatedSimulation()
    sim.report_evidence('u1')
    sim.cluster.run(1_500)
    first = sim.orders()[0]
    old = sim.cluster.leader().cfg.name
    sim.cluster.stop_process(old)
    sim.cluster.run(6_000)
    later_orders = [
        (name, effect)
        for _, name, effect in sim.cluster.effects
        if isinstance(effect, OrderPromotion) and name != old
    ]
    assert later_orders
    assert all(effect.token > first.token for _, effect in later_orders)


@pytest.mark.parametrize('received', [{'u2': 12}, {'u3': 12}])
def test_leaving_primary_is_replaced(received):
    sim = DelegatedSimulation()
    sim.set_observations('u1', **received)
    sim.cluster.run(300)
    sim.send_request(_registration('u1', state='draining', sequence=2))
    sim.cluster.run(500)
    assert sim.orders()[0].upstream == next(iter(received))


def test_reports_from_before_a_promotion_do_not_restore_the_old_primary():
    sim = DelegatedSimulation()
    sim.report_evidence('u1')
    sim.cluster.run(1_500)
    sim.answer_order(sim.orders()[0], 'done')
    sim.cluster.run(200)
    # The proxies still report that u1 leads.
    sim.cluster.run(400)
    assert sim.machine.groups['g'].primary != 'u1'


def test_replaced_primary_is_not_adopted_again_from_a_late_report():
    # A proxy that was suspended reports an observation from before: that the
    # old primary leads. The new one takes up to 1 s to lead.
    sim = DelegatedSimulation()
    sim.report_evidence('u1')
    sim.cluster.run(1_500)
    sim.answer_order(sim.orders()[0], 'done')
    for _ in range(6):
        sim.cluster.run(500)
        assert sim.machine.groups['g'].primary != 'u1'
    assert len({order.token for order in sim.orders()}) == 1


def test_proxies_partitioned_from_control_still_count_as_electorate():
    # They may still reach the primary. A promotion decided by the minority
    # whose reports arrive would take the primary from the majority.
    sim = DelegatedSimulation(proxies=4)
    for proxy in sim.proxies[1:]:
        for name in sim.cluster.controls:
            sim.cluster.cut_links.add(frozenset((name, proxy.name)))
    sim.report_evidence('u1', by=1)
    sim.cluster.run(7_000)
    assert not sim.orders()


def test_proxies_lost_past_the_retention_do_not_block_a_promotion():
    sim = DelegatedSimulation(proxies=4)
    for proxy in sim.proxies[1:]:
        sim.cluster.kill(proxy)
    sim.report_evidence('u1', by=1)
    sim.cluster.run(16_000)
    assert sim.orders()


def _set_positions(sim, **positions):
    for proxy in sim.proxies:
        proxy.received_positions = {
            name: LogPosition(1, index) for name, index in positions.items()
        }


def test_replicas_are_paused_before_the_promotion_of_a_group_with_copies():
    # Otherwise a commit that only the other replica holds could be lost.
    sim = DelegatedSimulation(copies=2)
    sim.set_observations('', u2=11, u3=14)
    sim.report_evidence('u1')
    sim.cluster.run(1_500)
    assert not sim.orders()
    actions = [a for proxy in sim.proxies for a in proxy.actions]
    assert {(a.upstream, a.action) for a in actions} == {
        ('u2', 'pause'),
        ('u3', 'status'),
    }
    assert all(a.term == 2 for a in actions)
    _set_positions(sim, u2=14, u3=14)
    sim.cluster.run(1_000)
    assert sim.orders()[0].upstream == 'u3'


def test_paused_replica_with_a_higher_position_replaces_the_chosen_one():
    sim = DelegatedSimulation(copies=2)
    sim.set_observations('', u2=11, u3=14)
    sim.report_evidence('u1')
    _set_positions(sim, u2=15, u3=14)
    sim.cluster.run(3_000)
    assert {order.upstream for order in sim.orders()} == {'u2'}


def test_no_promotion_while_a_silent_replica_may_hold_more_commits():
    # The unreachable replica may be the only one with the last commit.
    sim = DelegatedSimulation(copies=2)
    sim.set_observations('', u2=11, u3=14)
    sim.report_evidence('u1')
    _set_positions(sim, u3=14)
    sim.cluster.run(6_000)
    assert not sim.orders()


def test_chosen_upstream_catches_up_with_a_leaving_primary():
    sim = DelegatedSimulation(copies=2)
    sim.set_observations('u1', u2=12, u3=12)
    sim.cluster.run(300)
    _set_positions(sim, u2=13, u3=12)
    sim.send_request(_registration('u1', state='draining', sequence=2))
    sim.cluster.run(800)
    chosen = sim.machine.groups['g'].promotion.chosen
    other = 'u2' if chosen == 'u3' else 'u3'
    if chosen == 'u3':
        assert not sim.orders()
    _set_positions(sim, **{chosen: 15, other: 13})
    sim.cluster.run(600)
    assert sim.orders()[0].upstream == chosen
    sim.answer_order(sim.orders()[0], 'done')
    sim.cluster.run(500)
    resumed = {
        a.upstream
        for proxy in sim.proxies
        for a in proxy.actions
        if a.action == 'resume'
    }
    assert other in resumed


def test_replica_lost_before_does_not_delay_replacing_a_leaving_primary():
    # Guards against a rollout that waits for a crashed replica: the leaving
    # primary must receive no statements after some seconds.
    sim = DelegatedSimulation(copies=2)
    sim.set_observations('u1', u2=12, u3=12)
    sim.report_evidence('u3', evidence='refused')
    sim.cluster.run(3_000)
    _set_positions(sim, u2=12)
    sim.send_request(_registration('u1', state='draining', sequence=2))
    sim.cluster.run(1_500)
    assert sim.orders()[0].upstream == 'u2'


def test_replica_that_is_only_silent_may_still_hold_acknowledged_commits():
    sim = DelegatedSimulation(copies=2)
    sim.set_observations('u1', u2=12, u3=12)
    sim.report_evidence('u3', evidence='silent')
    sim.cluster.run(3_000)
    _set_positions(sim, u2=12)
    sim.send_request(_registration('u1', state='draining', sequence=2))
    sim.cluster.run(3_000)
    assert not sim.orders()
