"""Elections, replication and confirmations of the consensus core."""

from __future__ import annotations

from jackdawpost.testing.consensus_group import Group

ABC = ['a', 'b', 'c']


def test_single_voter_commits_by_itself():
    """Guards against a deployment of one control process that stalls."""
    group = Group(['a'])
    leader = group.elect(limit_ms=100)
    index = group.propose(leader, b'x')
    token = group.confirm(leader)
    group.run(20)
    assert group.applied('a') == [b'x']
    assert group.members['a'].applied_index == index
    assert group.members['a'].confirmed == [token]


def test_group_replicates_and_confirms():
    """Guards against entries that do not reach every process."""
    group = Group(ABC)
    leader = group.elect()
    commands = [b'%d' % number for number in range(200)]
    for command in commands:
        group.propose(leader, command)
    token = group.confirm(leader)
    group.run(300)
    for name in ABC:
        assert group.applied(name) == commands
    assert group.members[leader].confirmed == [token]


def test_group_survives_the_loss_of_its_leader():
    """Guards against an election that takes a second or more."""
    group = Group(ABC)
    first = group.elect()
    group.propose(first, b'x')
    group.run(100)
    crashed_ms = group.now_ms
    group.crash(first)
    second = group.elect()
    assert group.now_ms - crashed_ms < 1_000
    group.propose(second, b'y')
    group.run(50)
    group.start(first)
    group.run(1_000)
    for name in ABC:
        assert group.applied(name) == [b'x', b'y']
