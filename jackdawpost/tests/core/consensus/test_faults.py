"""Safety and recovery of the consensus core under random faults.

`Group` checks election safety, log matching, leader completeness,
state-machine safety and leadership confirmations after every step.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies as st

from jackdawpost.core.consensus.process import change_voters
from jackdawpost.core.consensus.process import transfer_leadership
from jackdawpost.testing.consensus_group import Group

ABC = ['a', 'b', 'c']
ABCDE = ['a', 'b', 'c', 'd', 'e']
ACTIONS = [
    'propose',
    'propose',
    'confirm',
    'isolate',
    'split',
    'heal',
    'crash',
    'crash_at_write',
    'start',
    'freeze',
    'thaw',
    'compact',
    'fail_write',
    'transfer',
    'add',
    'remove',
]
# Three voters tolerate the loss of one. The wiped voter is that one, so the
# voter set must not change in these runs.
ACTIONS_WITH_WIPE = sorted({*ACTIONS, 'wipe'} - {'add', 'remove'})


def _steps(actions):
    step = st.tuples(
        st.sampled_from(actions),
        st.integers(0, 4),
        st.integers(0, 400),
    )
    return st.lists(step, min_size=20, max_size=60)


# No shrinking, which takes minutes: the printed steps reproduce the failure.
PROFILE = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    database=None,
    phases=[Phase.explicit, Phase.generate],
)


class Scenario:
    """Actions on a group, and the number of commands proposed so far."""

    def __init__(self, names, seed):
        self.group = Group(names, seed, loss=0.05, duplication=0.1)
        self.group.message_delay_ms = (1.0, 25.0)
        self.proposed = 0
        self.has_wiped = False
        self.group.wait_for_leader()

    def act(self, action, member_number, pause_ms):
        """Perform an action on the nth member and let `pause_ms` pass."""
        names = sorted(self.group.members)
        name = names[member_number % len(names)]
        getattr(self, f'_{action}')(name)
        self.group.run(pause_ms)

    def finish(self):
        """End all faults and check that all voters converge."""
        group = self.group
        group.heal()
        group.loss = 0.0
        for name, member in group.members.items():
            member.disk.failing_writes = 0
            member.disk.writes_until_crash = 0
            if member.state is None:
                group.start(name)
            elif member.frozen:
                group.thaw(name)
        group.run(3_000)
        leader = group.wait_for_leader()
        assert group.propose(leader, b'last') is not None
        group.run(1_000)
        expected = group.applied(leader)
        assert expected[-1] == b'last'
        for name in group.state(leader).voters:
            assert group.applied(name) == expected

    def _running(self, name):
        member = self.group.members[name]
        return member.state is not None and not member.frozen

    def _propose(self, name):
        for other in sorted(self.group.members):
            if self._running(other):
                self.proposed += 1
                self.group.propose(other, b'%d' % self.proposed)

    def _confirm(self, name):
        for other in sorted(self.group.members):
            if self._running(other):
                self.group.confirm(other)

    def _isolate(self, name):
        self.group.isolate(name)

    def _split(self, name):
        names = sorted(self.group.members)
        middle = names.index(name)
        self.group.split(names[:middle], names[middle:])

    def _heal(self, name):
        self.group.heal()

    def _crash(self, name):
        self.group.crash(name)

    def _crash_at_write(self, name):
        disk = self.group.members[name].disk
        disk.writes_until_crash = 1 + self.proposed % 3
        disk.crash_after_sync = self.proposed % 2 == 0

    def _start(self, name):
        for other, member in self.group.members.items():
            if member.state is None:
                self.group.start(other)

    def _freeze(self, name):
        if self.group.members[name].state is not None:
            self.group.freeze(name)

    def _thaw(self, name):
        for other, member in self.group.members.items():
            if member.frozen:
                self.group.thaw(other)

    def _compact(self, name):
        if self._running(name):
            self.group.compact(name)

    def _fail_write(self, name):
        self.group.members[name].disk.failing_writes += 1

    def _wipe(self, name):
        if not self.has_wiped:
            self.has_wiped = True
            self.group.wipe(name)

    def _transfer(self, name):
        self._call_leader(transfer_leadership, None)

    def _add(self, name):
        for other in sorted(self.group.members):
            self._call_leader(change_voters, other, None)

    def _remove(self, name):
        leader = self.group.leader()
        if leader and len(self.group.state(leader).voters) > 2:
            self._call_leader(change_voters, None, name)

    def _call_leader(self, function, *args):
        leader = self.group.leader()
        if leader is not None and self._running(leader):
            self.group.call(leader, function, *args)


@PROFILE
@given(
    steps=_steps(ACTIONS),
    size=st.sampled_from([3, 5]),
    seed=st.integers(0, 99),
)
def test_safety_and_recovery_under_any_faults(steps, size, seed):
    """Guards against two leaders in a term, lost or differing entries.

    Links, processes and disks fail in random order while messages are lost,
    duplicated and delayed and the voter set changes.
    """
    scenario = Scenario(ABCDE[:size], seed)
    for step in steps:
        scenario.act(*step)
    scenario.finish()


@PROFILE
@given(steps=_steps(ACTIONS_WITH_WIPE), seed=st.integers(0, 99))
def test_safety_with_one_wiped_disk(steps, seed):
    """Guards against entries lost because a wiped voter still counts."""
    scenario = Scenario(ABC, seed)
    for step in steps:
        scenario.act(*step)
    scenario.finish()
