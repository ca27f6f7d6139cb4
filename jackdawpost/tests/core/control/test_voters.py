"""The voter set follows the control processes that run."""

from __future__ import annotations

from jackdawpost.core.effects import FollowPeers
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
        if isinstance(effect, FollowPeers) and name == 'c1'
    ]
    assert follows[-1].peers == ['c2', 'c3']
    _join(group, 'c4', 'disk-c4')
    group.run(1_500)
    follows = [
        effect
        for _, name, effect in group.logs
        if isinstance(effect, FollowPeers) and name == 'c4'
    ]
    assert set(follows[-1].peers) >= set(NAMES)
