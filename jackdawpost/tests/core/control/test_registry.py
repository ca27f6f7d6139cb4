"""Declared configurations, registered upstreams, ordered promotions."""

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
from jackdawpost.tests.core.control.fakes import Group

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


class World:
    """A control group that upstreams register at."""

    def __init__(self, controls=3, proxies=3, copies=1):
        self.group = Group(
            [f'c{n}' for n in range(1, controls + 1)],
            delegated=True,
            holder='holder',
            member_expiry_ms=2_500,
        )
        self.asked = 0
        assert self.group.run(3_000, lambda: self.group.leader() is not None)
        self.proxies = [
            self.group.add(FakeProxy(f'p{n}')) for n in range(1, proxies + 1)
        ]
        self.group.run(500)
        assert self.ask(_declare(1, copies=copies)).outcome == 'done'
        for name in ('u1', 'u2', 'u3'):
            assert self.ask(_registration(name)).outcome == 'done'
        self.see('u1')
        self.group.run(1_000)

    @property
    def machine(self):
        return self.group.leader().machine

    def see(self, leader, **received):
        """Let every proxy see who leads and what each has received."""
        for proxy in self.proxies:
            proxy.sightings = {
                name: UpstreamReport(
                    leads=name == leader,
                    term=1,
                    received=LogPosition(1, received.get(name, 10)),
                )
                for name in ('u1', 'u2', 'u3')
            }

    def object_to(self, upstream, evidence='silent', by=None):
        for proxy in self.proxies if by is None else self.proxies[:by]:
            proxy.evidence = {'u2': 'up', 'u3': 'up', upstream: evidence}

    def ask(self, request, at=None, for_ms=500):
        """Send a request and return its reply."""
        self.asked += 1
        number = self.asked
        name = at or self.group.leader().cfg.name
        self.group.feed(
            name,
            RequestReceived(
                now_ms=self.group.now, request_id=number, request=request
            ),
        )
        self.group.run(for_ms, lambda: self.reply(number) is not None)
        return self.reply(number)

    def reply(self, number):
        found = [
            effect
            for _, _, effect in self.group.logs
            if isinstance(effect, Reply) and effect.request_id == number
        ]
        return found[0] if found else None

    def orders(self):
        return [
            effect
            for _, _, effect in self.group.logs
            if isinstance(effect, OrderPromotion)
        ]

    def answer(self, order, outcome):
        ended = PromotionEnded(
            now_ms=self.group.now,
            group=order.group,
            token=order.token,
            outcome=outcome,
        )
        self.group.feed(self.group.leader().cfg.name, ended)

    def follower(self):
        leader = self.group.leader().cfg.name
        return next(n for n in self.group.controls if n != leader)


def test_upstreams_join_once_every_proxy_has_approved():
    world = World()
    assert {'u1', 'u2', 'u3'} <= set(world.machine.members)
    world.proxies[1].approves = False
    world.ask(_registration('u4'))
    world.group.run(1_000)
    assert 'u4' not in world.machine.members
    world.proxies[1].approves = True
    world.group.run(1_500)
    assert 'u4' in world.machine.members


def test_lost_approval_is_asked_for_again():
    # A request or its answer is lost when its link is reset.
    world = World()
    world.proxies[1].approves = False
    world.ask(_registration('u4'))
    world.group.run(300)
    world.proxies[1].approves = True
    world.group.run(1_000)
    assert 'u4' in world.machine.members


def test_dead_proxy_delays_a_join_by_its_expiry_only():
    # Guards against a release that waits half a minute for a lost machine.
    world = World()
    world.group.kill(world.proxies[1])
    world.ask(_registration('u4'))
    world.group.run(4_500)
    assert 'u4' in world.machine.members


def test_only_the_leader_answers():
    world = World()
    leader = world.group.leader().cfg.name
    reply = world.ask(_declare(2), at=world.follower())
    assert (reply.outcome, reply.leader) == ('moved', leader)
    world.group.feed(leader, DrainRequested(now_ms=world.group.now))
    reply = world.ask(_declare(2), at=leader)
    assert reply.outcome in ('moved', 'unavailable')


def test_configuration_is_read_back_as_it_was_sent():
    world = World()
    assert world.ask(_declare(5, 'r-2')).outcome == 'done'
    assert world.ask(ReadConfig()).document == b'5 r-2 g'
    # An older one, and other content under the version that is held.
    assert world.ask(_declare(4, 'r-3')).outcome == 'done'
    assert world.ask(_declare(5, 'r-4')).outcome == 'done'
    assert world.ask(ReadConfig()).document == b'5 r-2 g'


def test_invalid_configuration_is_refused_with_its_faults():
    world = World()
    reply = world.ask(_declare(9, group='missing'))
    assert reply.outcome == 'invalid'
    assert 'missing' in reply.faults[0]
    assert world.ask(ReadConfig()).document == b'1 r-1 g'


def test_isolated_leader_neither_accepts_nor_shows_a_configuration():
    # Guards against a read of an older configuration after a newer one was
    # accepted on the other side.
    world = World()
    old = world.group.leader().cfg.name
    world.group.isolate(old)
    for request in (ReadConfig(), _declare(8)):
        reply = world.ask(request, at=old, for_ms=3_000)
        assert reply is None or reply.outcome == 'unavailable'


def test_accepted_configuration_survives_the_loss_of_the_leader():
    world = World()
    old = world.group.leader().cfg.name
    assert world.ask(_declare(5, 'r-2')).outcome == 'done'
    world.group.stop_process(old)
    assert world.group.run(
        5_000,
        lambda: (
            world.group.leader() is not None
            and world.group.leader().cfg.name != old
        ),
    )
    assert world.ask(ReadConfig(), for_ms=2_000).document == b'5 r-2 g'
    assert world.ask(_declare(5, 'r-2')).outcome == 'done'


def test_draining_is_recorded_before_it_is_acknowledged():
    world = World()
    report = _registration('u2', state='draining', sequence=2)
    assert world.ask(report).outcome == 'done'
    assert world.machine.members['u2'].leaving


def test_late_report_of_an_earlier_incarnation_changes_nothing():
    world = World()
    newer = _registration('u2', started_ms=STARTED_MS + 5_000)
    world.ask(newer)
    world.group.run(1_000)
    assert world.machine.members['u2'].member_id == str(STARTED_MS + 5_000)
    world.ask(_registration('u2', sequence=9, state='draining'))
    world.group.run(1_000)
    member = world.machine.members['u2']
    assert member.member_id == str(STARTED_MS + 5_000)
    assert not member.leaving


def test_late_report_does_not_bring_a_departed_upstream_back():
    world = World()
    world.ask(Departure(name='u3', started_ms=STARTED_MS))
    world.group.run(200)
    assert 'u3' not in world.machine.members
    world.ask(_registration('u3', sequence=7))
    world.group.run(1_000)
    assert 'u3' not in world.machine.members


def test_address_in_use_again_belongs_to_the_later_one():
    world = World()
    world.ask(_registration('u9', host='10.0.1.3', started_ms=STARTED_MS + 9))
    world.group.run(1_000)
    assert 'u3' not in world.machine.members
    assert 'u9' in world.machine.members
    world.ask(_registration('u3', sequence=8))
    world.group.run(500)
    assert 'u3' not in world.machine.members


def test_the_primary_that_proxies_see_is_adopted():
    world = World()
    assert world.machine.groups['g'].primary == 'u1'
    assert not world.orders()


def test_failed_primary_is_replaced_by_the_replica_that_received_most():
    world = World()
    world.see('', u2=11, u3=14)
    world.object_to('u1')
    world.group.run(1_500)
    order = world.orders()[0]
    assert order.upstream == 'u3'
    assert world.machine.groups['g'].promotion.to_term == order.token
    world.answer(order, 'done')
    world.group.run(300)
    assert world.machine.groups['g'].primary == 'u3'


def test_minority_that_cannot_reach_the_primary_causes_no_promotion():
    world = World()
    world.object_to('u1', by=1)
    world.group.run(5_000)
    assert not world.orders()


def test_unanswered_order_is_repeated_under_its_token():
    # It may still be carried out: another token would promote twice.
    world = World()
    world.object_to('u1')
    world.group.run(1_500)
    world.answer(world.orders()[0], 'unknown')
    world.group.run(1_500)
    orders = world.orders()
    assert len(orders) >= 2
    assert {(o.token, o.upstream) for o in orders} == {
        (orders[0].token, orders[0].upstream)
    }


def test_refused_order_is_followed_by_one_under_a_higher_token():
    world = World()
    world.object_to('u1')
    world.group.run(1_500)
    first = world.orders()[0]
    world.answer(first, 'refused')
    world.group.run(1_500)
    last = world.orders()[-1]
    assert last.token > first.token
    assert last.upstream != first.upstream


def test_new_leader_never_uses_the_token_of_the_old_one():
    world = World()
    world.object_to('u1')
    world.group.run(1_500)
    first = world.orders()[0]
    old = world.group.leader().cfg.name
    world.group.stop_process(old)
    world.group.run(6_000)
    later = [
        (name, effect)
        for _, name, effect in world.group.logs
        if isinstance(effect, OrderPromotion) and name != old
    ]
    assert later
    assert all(effect.token > first.token for _, effect in later)


@pytest.mark.parametrize('received', [{'u2': 12}, {'u3': 12}])
def test_leaving_primary_is_replaced(received):
    world = World()
    world.see('u1', **received)
    world.group.run(300)
    world.ask(_registration('u1', state='draining', sequence=2))
    world.group.run(500)
    assert world.orders()[0].upstream == next(iter(received))


def test_reports_sent_before_a_promotion_do_not_bring_the_old_primary_back():
    world = World()
    world.object_to('u1')
    world.group.run(1_500)
    world.answer(world.orders()[0], 'done')
    world.group.run(200)
    # The proxies still say that u1 leads.
    world.group.run(400)
    assert world.machine.groups['g'].primary != 'u1'


def test_replaced_primary_is_not_adopted_back_from_a_late_report():
    # A proxy that was frozen reports what it saw before: that the old one
    # leads. The new one takes up to a second to lead.
    world = World()
    world.object_to('u1')
    world.group.run(1_500)
    world.answer(world.orders()[0], 'done')
    for _ in range(6):
        world.group.run(500)
        assert world.machine.groups['g'].primary != 'u1'
    assert len({order.token for order in world.orders()}) == 1


def test_proxies_cut_off_from_control_still_count_as_witnesses():
    # They may reach the primary well: a promotion on the word of the few
    # that control hears would take it from the many.
    world = World(proxies=4)
    for proxy in world.proxies[1:]:
        for name in world.group.controls:
            world.group.cut.add(frozenset((name, proxy.name)))
    world.object_to('u1', by=1)
    world.group.run(7_000)
    assert not world.orders()


def test_proxies_lost_for_long_no_longer_hold_up_a_promotion():
    world = World(proxies=4)
    for proxy in world.proxies[1:]:
        world.group.kill(proxy)
    world.object_to('u1', by=1)
    world.group.run(16_000)
    assert world.orders()


def _tell(world, **positions):
    for proxy in world.proxies:
        proxy.told = {
            name: LogPosition(1, index) for name, index in positions.items()
        }


def test_copies_are_stopped_before_a_group_that_promises_them_is_promoted():
    # A commit that only the other replica holds would be lost.
    world = World(copies=2)
    world.see('', u2=11, u3=14)
    world.object_to('u1')
    world.group.run(1_500)
    assert not world.orders()
    asked = [a for proxy in world.proxies for a in proxy.asked]
    assert {(a.upstream, a.action) for a in asked} == {
        ('u2', 'pause'),
        ('u3', 'status'),
    }
    assert all(a.term == 2 for a in asked)
    _tell(world, u2=14, u3=14)
    world.group.run(1_000)
    assert world.orders()[0].upstream == 'u3'


def test_stopped_replica_that_holds_more_is_promoted_in_place_of_the_choice():
    world = World(copies=2)
    world.see('', u2=11, u3=14)
    world.object_to('u1')
    _tell(world, u2=15, u3=14)
    world.group.run(3_000)
    assert {order.upstream for order in world.orders()} == {'u2'}


def test_no_promotion_while_a_copy_may_hold_more():
    # The unreachable replica may be the only one with the last commit.
    world = World(copies=2)
    world.see('', u2=11, u3=14)
    world.object_to('u1')
    _tell(world, u3=14)
    world.group.run(6_000)
    assert not world.orders()


def test_chosen_one_catches_up_with_a_leaving_primary():
    world = World(copies=2)
    world.see('u1', u2=12, u3=12)
    world.group.run(300)
    _tell(world, u2=13, u3=12)
    world.ask(_registration('u1', state='draining', sequence=2))
    world.group.run(800)
    chosen = world.machine.groups['g'].promotion.chosen
    other = 'u2' if chosen == 'u3' else 'u3'
    if chosen == 'u3':
        assert not world.orders()
    _tell(world, **{chosen: 15, other: 13})
    world.group.run(600)
    assert world.orders()[0].upstream == chosen
    world.answer(world.orders()[0], 'done')
    world.group.run(500)
    resumed = {
        a.upstream
        for proxy in world.proxies
        for a in proxy.asked
        if a.action == 'resume'
    }
    assert other in resumed


def test_copy_that_was_gone_before_does_not_hold_up_a_leaving_primary():
    # Guards against a release that waits for a crashed replica: the leaving
    # primary must get no work after some seconds.
    world = World(copies=2)
    world.see('u1', u2=12, u3=12)
    world.object_to('u3', evidence='refused')
    world.group.run(3_000)
    _tell(world, u2=12)
    world.ask(_registration('u1', state='draining', sequence=2))
    world.group.run(1_500)
    assert world.orders()[0].upstream == 'u2'


def test_copy_that_only_went_silent_may_still_hold_acknowledged_commits():
    world = World(copies=2)
    world.see('u1', u2=12, u3=12)
    world.object_to('u3', evidence='silent')
    world.group.run(3_000)
    _tell(world, u2=12)
    world.ask(_registration('u1', state='draining', sequence=2))
    world.group.run(3_000)
    assert not world.orders()
