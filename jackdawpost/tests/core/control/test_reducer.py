"""Failures of the control process as a whole, with fakes around it."""

from __future__ import annotations

import cbor2
import pytest

from jackdawpost.core.control import lease_ledger
from jackdawpost.core.control.reducer import dump_control
from jackdawpost.core.control.reducer import is_healthy
from jackdawpost.core.control.reducer import reduce_control
from jackdawpost.core.effects import Close
from jackdawpost.core.effects import LogLine
from jackdawpost.core.effects import Stop
from jackdawpost.core.events import ConnClosed
from jackdawpost.core.events import ConnOpened
from jackdawpost.core.events import DrainRequested
from jackdawpost.core.events import PersistFailed
from jackdawpost.core.events import Received
from jackdawpost.core.events import TimerFired
from jackdawpost.core.messages.control import Announce
from jackdawpost.core.messages.control import LeaseGrant
from jackdawpost.core.messages.control import LeaseRevoked
from jackdawpost.core.messages.control import NotLeader
from jackdawpost.core.messages.control import PermitDemand
from jackdawpost.core.messages.control import PermitGrant
from jackdawpost.core.messages.operator import Apply
from jackdawpost.core.messages.operator import Members
from jackdawpost.core.messages.operator import Operation
from jackdawpost.core.messages.operator import PromoteGroup
from jackdawpost.core.messages.operator import Query
from jackdawpost.core.positions import LogPosition
from jackdawpost.tests.core.control.fakes import FakeProxy
from jackdawpost.tests.core.control.fakes import FakeUpstream
from jackdawpost.tests.core.control.fakes import has_leases
from jackdawpost.tests.core.control.fakes import start


def group_of(net):
    return net.leader().machine.groups['g']


def proxies_of(net):
    return [f for f in net.fakes.values() if isinstance(f, FakeProxy)]


def fail_primary(net, state='refused', witnesses=None):
    """Kill the primary and let proxies report it."""
    primary = net.fakes[group_of(net).primary]
    net.kill(primary)
    for proxy in witnesses or proxies_of(net):
        proxy.evidence = {primary.name: state}
    return primary


def finished(net, term):
    """Return a condition that also watches the fence of `term`.

    No proxy may hold a lease of `term` once any process has applied the
    choice of a primary in a later one.
    """

    def check():
        for state in net.controls.values():
            group = state.machine.groups.get('g')
            if group is None:
                continue
            running = group.promotion
            is_chosen = running is not None and running.chosen is not None
            if group.term > term or is_chosen:
                for proxy in proxies_of(net):
                    assert not proxy.holds(net.now, 'g', term)
        leader = net.leader()
        return leader is not None and group_of(net).term > term

    return check


def start_of_next(net, command):
    """Return a condition: the leader has applied this step."""

    def check():
        leader = net.leader()
        if leader is None:
            return False
        running = leader.machine.groups['g'].promotion
        if command == 'finished':
            return leader.machine.groups['g'].term == 2
        if running is None:
            return False
        return command == 'started' or running.chosen is not None

    return check


def test_deposed_leader_grants_nothing():
    # Guards against a lease granted by a leader that has been replaced.
    net = start(controls=3)
    old = net.leader().cfg.name
    for name in net.controls:
        net.cut.add(frozenset((old, name)))
    cut_ms = net.now
    net.run(3_000)
    assert net.leader().cfg.name != old
    grants = [g for g in net.grants if g[1] == old and g[0] > cut_ms + 10]
    assert grants == []
    for proxy in proxies_of(net):
        assert proxy.holds(net.now, 'g', 1)


def test_promotion_waits_for_a_silent_proxy_with_the_primary():
    # Guards against a promotion while a proxy that is cut off together
    # with the primary still acknowledges writes.
    net = start(proxies=3)
    lost = proxies_of(net)[0]
    net.cut.add(frozenset(('c1', lost.name)))
    begun_ms = net.now
    fail_primary(net, 'silent', proxies_of(net)[1:])
    assert net.run(4_000, finished(net, 1))
    assert net.now - begun_ms > 1_200
    assert lost.lease_until[('g', 1)] <= net.now


def test_primary_and_control_leader_fail_together():
    # Guards against a new leader that promotes while a proxy, cut off at
    # the same time, holds a lease of the earlier leader.
    net = start(controls=3, proxies=3)
    old = net.leader().cfg.name
    lost, *others = proxies_of(net)
    for name in net.controls:
        net.cut.add(frozenset((name, lost.name)))
    fail_primary(net, witnesses=others)
    net.isolate(old)
    assert net.run(6_000, finished(net, 1))
    assert net.leader().cfg.name != old
    assert group_of(net).primary in ('u2', 'u3')


def test_proxies_that_answer_no_revocation_are_waited_out():
    # Guards against a fence that trusts the message instead of the answer.
    net = start()
    for proxy in proxies_of(net):
        proxy.answers_revocations = False
    begun_ms = net.now
    fail_primary(net)
    assert net.run(6_000, finished(net, 1))
    assert net.now - begun_ms > 1_500


@pytest.mark.parametrize('step', ['started', 'chosen', 'finished'])
def test_promotion_survives_the_leader_at_each_step(step):
    # Guards against a promotion that stops, or chooses twice, when the
    # leader dies in the middle.
    net = start(controls=3)
    net.fakes['u2'].received = LogPosition(1, 7)
    net.fakes['u3'].received = LogPosition(1, 5)
    primary = fail_primary(net)
    assert primary.name == 'u1'
    assert net.run(3_000, start_of_next(net, step))
    net.isolate(net.leader().cfg.name)
    assert net.run(8_000, lambda: finished(net, 1)() and has_leases(net, 2))
    assert group_of(net).primary == 'u2'
    assert net.fakes['u2'].leads
    assert not net.fakes['u3'].leads
    assert net.run(2_000, lambda: net.fakes['u3'].primary == 'u2')


def test_chosen_database_dies_before_it_leads():
    # Guards against a promotion that waits for a dead database, and against
    # a choice without every acknowledged write once it is gone.
    net = start()
    net.fakes['u2'].received = LogPosition(1, 7)
    net.fakes['u2'].promotes = False
    fail_primary(net)
    assert net.run(3_000, start_of_next(net, 'chosen'))
    net.kill(net.fakes['u2'])
    net.run(5_000, finished(net, 1))
    assert group_of(net).term == 1
    net.fakes['u2'].is_up = True
    net.fakes['u2'].promotes = True
    net.connect(net.fakes['u2'], 'c1')
    assert net.run(3_000, finished(net, 1))
    assert group_of(net).primary == 'u2'


def test_choice_has_every_acknowledged_write():
    # Guards against promoting the replica that answers first.
    net = start()
    net.fakes['u2'].received = LogPosition(1, 5)
    net.fakes['u3'].received = LogPosition(1, 6)
    fail_primary(net)
    assert net.run(3_000, finished(net, 1))
    assert group_of(net).primary == 'u3'


def test_blocked_promotion_names_who_is_missing():
    # Guards against a silent standstill when two databases are gone.
    net = start()
    net.kill(net.fakes['u3'])
    fail_primary(net)
    assert not net.run(4_000, finished(net, 1))
    net.ask(Query(id=9, what='status'))
    net.run(20)
    table = next(t for t in net.answers[-1].tables if t.name == 'promotions')
    assert table.rows == [['g', 2, None, '', 'u1, u3']]
    request = PromoteGroup(
        id=10, group='g', from_term=1, operator='o', accept_loss=True
    )
    net.ask(request)
    assert net.run(3_000, finished(net, 1))
    assert group_of(net).primary == 'u2'
    assert [a.status for a in net.answers if a.id == 10] == ['done']


def test_one_proxy_alone_causes_no_promotion():
    # Guards against a promotion because one proxy is cut off.
    net = start(proxies=3)
    proxies_of(net)[0].evidence = {'u1': 'silent'}
    net.run(5_000)
    assert (group_of(net).term, group_of(net).primary) == (1, 'u1')


def test_leaving_primary_is_replaced_at_once():
    # Guards against new work for an upstream that is leaving.
    net = start()
    net.fakes['u1'].leaving = True
    begun_ms = net.now
    assert net.run(2_000, finished(net, 1))
    assert net.now - begun_ms < 500
    assert group_of(net).primary != 'u1'


def test_primary_that_expires_as_a_member_is_replaced():
    # Guards against a group without a published primary when only control
    # does not hear the primary and no proxy objects.
    net = start()
    net.cut.add(frozenset(('c1', 'u1')))
    assert net.run(34_000, finished(net, 1))
    assert group_of(net).primary in ('u2', 'u3')


def test_returning_old_primary_is_told_to_follow():
    # Guards against two databases that both believe that they lead.
    net = start()
    old = fail_primary(net)
    assert net.run(3_000, finished(net, 1))
    old.is_up = True
    net.connect(old, 'c1')
    assert net.run(1_000, lambda: old.primary == group_of(net).primary)
    assert (old.term, old.leads) == (2, False)


def test_join_is_held_up_by_one_missing_approval():
    # Guards against H10: a newcomer served before everyone has agreed.
    net = start()
    blocker = proxies_of(net)[1]
    blocker.approves = False
    newcomer = net.add(FakeProxy('p9'))
    net.run(2_000)
    leader = net.leader()
    assert 'p9' not in leader.machine.members
    assert {type(m) for m in newcomer.received} == {LeaseGrant}
    assert not any(m.leases or m.duration_ms for m in newcomer.received)
    assert {m.member_state for m in newcomer.received} == {'announced'}
    blocker.approves = True
    net.disconnect(blocker, 'c1')
    net.connect(blocker, 'c1')
    assert net.run(1_000, lambda: newcomer.holds(net.now, 'g', 1))
    assert newcomer.published.groups['g'].primary == 'u1'


def test_approval_counts_only_from_the_member_itself():
    # Guards against a proxy that approves in the name of another.
    net = start()
    proxies_of(net)[0].approves = False
    net.add(FakeProxy('p9'))
    net.run(300)
    leader = net.leader()
    forged = net.fakes['u2'].answer(
        next(iter_requests(net.fakes['p2'], 'p9'))
    )[0]
    forged.member, forged.member_id = 'p1', 'id-p1'
    effects = reduce_control(
        leader,
        Received(
            now_ms=net.now, conn=net.links[('p2', 'c1')], messages=[forged]
        ),
    )
    assert any(isinstance(e, Close) for e in effects)
    net.run(500)
    assert 'p9' not in leader.machine.members


def iter_requests(fake, newcomer):
    for message in fake.received:
        if getattr(message, 'newcomer', '') == newcomer:
            yield message


def test_silent_member_expires_and_returns_as_newcomer():
    # Guards against a dead member that holds up joins for ever.
    net = start()
    gone = proxies_of(net)[1]
    net.kill(gone)
    net.run(29_000)
    assert gone.name in net.leader().machine.members
    net.run(3_000)
    assert gone.name not in net.leader().machine.members
    gone.is_up = True
    net.connect(gone, 'c1')
    assert net.run(2_000, lambda: gone.holds(net.now, 'g', 1))


def test_sleeping_leader_expires_nobody():
    # Guards against removing every member after a pause of the process.
    net = start()
    net.now += 40_000
    net.feed('c1', TimerFired(now_ms=net.now, key='control'))
    net.run(2_000)
    removals = [
        e
        for _, _, e in net.logs
        if getattr(e, 'event', '') == 'member_expired'
    ]
    assert removals == []
    assert len(net.leader().machine.members) == 5


def test_removed_proxy_is_waited_for():
    # Guards against a later leader that does not know of a lease which a
    # removed proxy still holds.
    net = start()
    proxy = proxies_of(net)[0]
    proxy.approves = False
    removal = Members(
        id=5, action='remove', name='p1', member_id='id-p1', operator='o'
    )
    net.ask(removal)
    gone = net.run(3_000, lambda: 'p1' not in net.leader().machine.members)
    assert gone
    assert not proxy.holds(net.now, 'g', 1)


def test_update_precedes_a_grant_of_its_version():
    # Guards against a lease that confirms a configuration which the proxy
    # has not received.
    net = start()
    create = Operation(
        action='create', type='rule', name='r', body={'groups': ['g']}
    )
    net.ask(
        Apply(
            id=2,
            change_id='second',
            base_revision=1,
            operations=[create],
            operator='o',
        )
    )
    net.run(5)
    assert net.answers[-1].status == 'accepted'
    assert all('r' in proxy.published.rules for proxy in proxies_of(net))
    net.run(1_000)
    for proxy in proxies_of(net):
        version = 0
        for message in proxy.received:
            if message.kind == 'state_update':
                version = message.version
            elif message.kind == 'lease_grant' and message.duration_ms:
                assert message.version <= version


def test_lost_operator_answer_is_repeated():
    # Guards against a change that is applied twice after a resend.
    net = start()
    create = Operation(
        action='create', type='rule', name='r', body={'groups': ['g']}
    )
    change = Apply(
        id=2,
        change_id='second',
        base_revision=1,
        operations=[create],
        operator='o',
    )
    for _ in range(2):
        net.ask(change)
        net.run(50)
    first, second = (a for a in net.answers if a.id == 2)
    assert (first.status, first.revision) == ('accepted', 2)
    assert (second.status, second.revision, second.duplicate) == (
        'accepted',
        2,
        True,
    )


def test_follower_names_the_leader():
    # Guards against proxies that stay with a process that cannot serve.
    net = start(controls=3)
    leader = net.leader().cfg.name
    for proxy in proxies_of(net):
        told = [m for m in proxy.received if isinstance(m, NotLeader)]
        assert told[-1].leader == leader


def test_permits_wait_for_the_holdings_after_an_election():
    # Guards against a new leader that lends permits in use elsewhere.
    net = start(controls=3)
    one, two = proxies_of(net)
    one.holdings = {'u1': 3}
    old = net.leader().cfg.name
    net.isolate(old)
    net.cut.add(frozenset((one.name, 'c1')))
    net.cut.add(frozenset((one.name, 'c2')))
    net.cut.add(frozenset((one.name, 'c3')))
    assert net.run(2_000, lambda: net.leader().cfg.name != old)
    net.run(200)
    new = net.leader().cfg.name
    elected_ms = net.leader().leader.elected_ms
    demand = PermitDemand(upstream='u1', wanted=1)
    net.receive(new, net.links[(two.name, new)], [demand])
    assert net.run(
        3_000, lambda: any(isinstance(m, PermitGrant) for m in two.received)
    )
    assert net.now >= elected_ms + 1_530


def test_demand_before_the_join_is_kept():
    # Guards against a proxy that waits for ever for its first permit.
    net = start()
    blocker = proxies_of(net)[0]
    blocker.approves = False
    late = net.add(FakeProxy('p9'))
    net.run(300)
    demand = PermitDemand(upstream='u1', wanted=1)
    net.receive('c1', net.links[('p9', 'c1')], [demand])
    blocker.approves = True
    net.disconnect(blocker, 'c1')
    net.connect(blocker, 'c1')
    assert net.run(
        1_000, lambda: any(isinstance(m, PermitGrant) for m in late.received)
    )


@pytest.mark.parametrize(
    'link,message',
    [
        ('proxy', LeaseRevoked(group='g', term=1)),
        ('peer', LeaseRevoked(group='g', term=1)),
        ('announce', NotLeader()),
        ('operator', NotLeader()),
    ],
)
def test_message_of_an_unknown_peer_is_refused(link, message):
    # Guards against a connection that acts without saying who it is.
    net = start()
    state = net.leader()
    opened = ConnOpened(now_ms=net.now, conn=999, link=link)
    effects = reduce_control(state, opened)
    received = Received(now_ms=net.now, conn=999, messages=[message])
    effects += reduce_control(state, received)
    assert any(isinstance(e, Close) and e.conn == 999 for e in effects)
    assert any(
        isinstance(e, LogLine) and e.event == 'message_refused'
        for e in effects
    )


def test_peer_certificate_must_match_the_name():
    # Guards against an upstream that announces itself as another one.
    net = start()
    state = net.leader()
    reduce_control(
        state,
        ConnOpened(now_ms=net.now, conn=999, link='announce', peer='u3'),
    )
    announce: Announce = FakeUpstream('u2').announce()
    received = Received(now_ms=net.now, conn=999, messages=[announce])
    effects = reduce_control(state, received)
    assert any(isinstance(e, Close) and e.conn == 999 for e in effects)


def test_drain_hands_leadership_over_before_the_stop():
    # Guards against an election gap on every planned restart.
    net = start(controls=3)
    old = net.leader().cfg.name
    begun_ms = net.now
    net.feed(old, DrainRequested(now_ms=net.now))
    net.run(
        2_000,
        lambda: any(isinstance(e, Stop) for _, _, e in net.logs),
    )
    net.stopped.add(old)
    assert net.run(1_000, lambda: net.leader() is not None)
    assert net.now - begun_ms < 250
    assert not is_healthy(net.controls[old])


def test_failed_write_is_reported_and_steps_down():
    # Guards against a leader whose disk is full and that goes on granting.
    net = start()
    state = net.leader()
    token = state.consensus.next_token - 1
    effects = reduce_control(
        state, PersistFailed(now_ms=net.now, token=token, detail='full')
    )
    assert not is_healthy(state)
    assert any(getattr(e, 'event', '') == 'persist_failed' for e in effects)


def test_leader_services_do_not_outlive_the_term():
    # Guards against leases and permits that a returning leader remembers.
    net = start(controls=3)
    old = net.leader()
    net.isolate(old.cfg.name)
    net.run(3_000)
    assert old.leader is None
    assert not any(link.is_served for link in old.links.values())


def test_refused_admin_connection_is_retried():
    # Guards against a promotion that gives up on a restarting database.
    net = start()
    net.cut.add(frozenset(('c1', 'u3')))
    fail_primary(net)
    net.run(1_500)
    assert group_of(net).term == 1
    net.cut.clear()
    assert net.run(1_000, finished(net, 1))


def test_late_frame_of_a_closed_connection_is_ignored():
    # Guards against a report that arrives after its connection ended.
    net = start()
    state = net.leader()
    proxy = proxies_of(net)[0]
    conn = net.links[(proxy.name, 'c1')]
    reduce_control(state, ConnClosed(now_ms=net.now, conn=conn))
    late = Received(
        now_ms=net.now, conn=conn, messages=[proxy.report(net.now)]
    )
    effects = reduce_control(state, late)
    assert not any(getattr(e, 'conn', 0) == conn for e in effects)
    assert lease_ledger.start_confirmation(state.leader.leases) is None


def test_dump_is_plain_data():
    # Guards against a dump that the HTTP endpoint cannot encode.
    dump = dump_control(start(controls=3).leader())
    assert cbor2.loads(cbor2.dumps(dump)) == dump
