"""The voter set follows the control processes that run."""

from __future__ import annotations

import pytest

from jackdawpost.core.effects import SetPeers
from jackdawpost.core.events import ConnClosed
from jackdawpost.core.events import DrainRequested
from jackdawpost.tests.core.control.fakes import Group

NAMES = ['c1', 'c2', 'c3']


def _start(target=3):
    group = Group([], voter_target=target, delegated=True, seeds=('c1',))
    for number, name in enumerate(NAMES):
        group.start_process(name, NAMES, 100 + number, f'disk-{name}')
    for left, right in (('c1', 'c2'), ('c1', 'c3'), ('c2', 'c3')):
        group.link_processes(left, right)
    assert group.run(5_000, lambda: group.leader() is not None)
    group.run(1_000)
    return group


def _join(group, name, node_id):
    """Start a process with an empty disk that finds the others."""
    group.start_process(name, [], hash(name) % 1_000, node_id)
    for other in list(group.controls):
        if other != name and other not in group.stopped:
            group.link_processes(name, other)


def _voters(group):
    return group.leader().consensus.voters


def test_first_voters_are_written_to_the_log():
    # A process that starts later must not need the settings to know them.
    group = _start()
    for state in group.controls.values():
        assert state.consensus.configs[-1][0] > 0


def test_voter_that_lost_its_disk_votes_again():
    group = _start()
    follower = next(n for n in NAMES if n != group.leader().cfg.name)
    group.stop_process(follower)
    group.run(500)
    _join(group, follower, 'disk-new')
    group.run(2_000)
    assert sorted(_voters(group)) == NAMES
    core = group.controls[follower].consensus
    assert core.hard.admitted_as == follower
    other = next(
        n for n in NAMES if n not in (follower, group.leader().cfg.name)
    )
    group.stop_process(other)
    group.run(1_500)
    assert group.leader() is not None


def test_lost_voter_is_replaced_by_a_new_process():
    group = _start()
    lost = next(n for n in NAMES if n != group.leader().cfg.name)
    group.stop_process(lost)
    _join(group, 'c4', 'disk-c4')
    group.run(4_000)
    assert lost not in _voters(group)
    assert len(_voters(group)) == 3 and 'c4' in _voters(group)


def test_lost_leader_is_replaced_by_a_new_process():
    group = _start()
    lost = group.leader().cfg.name
    group.stop_process(lost)
    _join(group, 'c4', 'disk-c4')
    group.run(6_000)
    assert group.leader().cfg.name != lost
    assert lost not in _voters(group) and 'c4' in _voters(group)


def test_lost_voter_without_a_replacement_stays_a_voter():
    # Otherwise two more losses, one after another, would leave one voter.
    group = _start()
    lost = next(n for n in NAMES if n != group.leader().cfg.name)
    group.stop_process(lost)
    group.run(6_000)
    assert sorted(_voters(group)) == NAMES


def test_voter_that_stops_gives_its_place_to_a_waiting_process():
    # The others would otherwise have no margin until it counts as lost.
    group = _start()
    _join(group, 'c4', 'disk-c4')
    group.run(1_000)
    assert sorted(_voters(group)) == NAMES
    leaving = next(n for n in NAMES if n != group.leader().cfg.name)
    group.feed(leaving, DrainRequested(now_ms=group.now))
    group.run(900)
    assert 'c4' in _voters(group)
    assert leaving not in _voters(group)


def test_process_outside_the_group_learns_who_leads():
    group = _start()
    _join(group, 'c4', 'disk-c4')
    group.run(1_500)
    state = group.controls['c4']
    assert state.group_leader == group.leader().cfg.name
    assert state.group_voters == NAMES


def test_processes_follow_the_voters_and_the_seeds():
    group = _start()
    follows = [
        effect
        for _, name, effect in group.logs
        if isinstance(effect, SetPeers) and name == 'c1'
    ]
    assert follows[-1].peers == ['c2', 'c3']
    _join(group, 'c4', 'disk-c4')
    group.run(1_500)
    follows = [
        effect
        for _, name, effect in group.logs
        if isinstance(effect, SetPeers) and name == 'c4'
    ]
    assert set(follows[-1].peers) >= set(NAMES)


class FollowingGroup(Group):
    """Control processes that are linked only as they themselves ask."""

    def __init__(self, **cfg_fields):
        self.wanted = {}
        self.open = {}
        super().__init__([], **cfg_fields)

    def perform(self, name, effects):
        super().perform(name, effects)
        for effect in effects:
            if isinstance(effect, SetPeers):
                self.wanted[name] = set(effect.peers)
                self.later(5, lambda: self._follow(name))

    def stop_process(self, name):
        super().stop_process(name)
        self.wanted.pop(name, None)
        for pair in [pair for pair in self.open if name in pair]:
            del self.open[pair]
            self.later(5, lambda pair=pair: self._follow(pair[0]))

    def _follow(self, name):
        wanted = self.wanted.get(name, set())
        for pair in [p for p in self.open if p[0] == name]:
            if pair[1] not in wanted:
                one, two = self.open.pop(pair)
                for own, conn in zip(pair, (one, two), strict=True):
                    self.ends.pop((own, conn), None)
                    closed = ConnClosed(now_ms=self.now, conn=conn)
                    self.feed(own, closed)
        for peer in wanted:
            if (name, peer) in self.open:
                continue
            if peer not in self.controls or peer in self.stopped:
                self.later(100, lambda: self._follow(name))
                continue
            before = next(self.conns)
            self.link_processes(name, peer)
            self.open[name, peer] = (before + 1, before + 2)


def _start_following():
    # Seeds are linked in any case; not every voter is one.
    seeds = ('c1', 'c2')
    group = FollowingGroup(voter_target=3, delegated=True, seeds=seeds)
    for number, name in enumerate(NAMES):
        group.start_process(name, NAMES, 100 + number, f'disk-{name}')
    assert group.run(5_000, lambda: group.leader() is not None)
    group.run(1_000)
    return group


@pytest.mark.parametrize('lost', NAMES)
@pytest.mark.parametrize('down_ms', [50, 500, 5_000])
@pytest.mark.parametrize('wait_ms', [0, 300])
def test_voter_with_an_empty_disk_finds_the_group_by_itself(
    lost, down_ms, wait_ms
):
    # Once it had been sent the voters of before, it took itself for one and
    # waited for links from those whose names sort first. They had removed it.
    group = _start_following()
    group.stop_process(lost)
    group.run(down_ms)
    group.run(3_000, lambda: group.leader() is not None)
    # The next change of the voters has to wait, as behind another one.
    group.leader().voters_due_ms = group.now + wait_ms
    group.start_process(lost, [], 7, 'disk-new')
    group.run(6_000)
    assert sorted(_voters(group)) == NAMES
    assert group.controls[lost].consensus.hard.admitted_as == lost
