"""Random failovers without fencing keep the promises to callers.

Hypothesis draws series of faults: links cut between any two of control
processes, poolers and databases, suspended processes, and pauses between
them. The reducers are the real ones; see the simulation for what it checks.
"""

from __future__ import annotations

from unittest import mock

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from jackdawpost.testing.failover_simulation import CONTROLS
from jackdawpost.testing.failover_simulation import DATABASES
from jackdawpost.testing.failover_simulation import FailoverSimulation
from jackdawpost.testing.failover_simulation import POOLERS
from jackdawpost.testing.failover_simulation import PromiseBroken

HEAL_MS = 5_000.0
SEEDS = range(1, 11)

_pauses_ms = st.sampled_from([5, 40, 200, 700, 1_500, 3_000])
_suspensions_ms = st.sampled_from([100, 600, 1_300, 2_500])
_observers = st.sampled_from(['all', 'most', *POOLERS])
_faults = st.one_of(
    st.tuples(
        st.just('lose_primary'), st.sampled_from(['all', 'most', *POOLERS])
    ),
    st.tuples(st.just('lose_leader'), st.booleans()),
    st.tuples(st.just('cut_pooler'), st.sampled_from(POOLERS)),
    st.tuples(st.just('suspend_leader'), _suspensions_ms),
    st.tuples(st.just('suspend'), st.sampled_from([*POOLERS, *CONTROLS])),
    st.tuples(st.just('heal'), st.none()),
)
_steps = st.lists(st.tuples(_faults, _pauses_ms), min_size=1, max_size=10)


def _apply(sim, fault, argument):
    primary = sim.primary()
    leader = sim.leader()
    if fault == 'lose_primary':
        poolers = {'all': POOLERS, 'most': POOLERS[:2]}.get(
            argument, (argument,)
        )
        sim.isolate(primary, (*poolers, *DATABASES))
    elif fault == 'lose_leader' and leader is not None:
        sim.isolate(leader, (*CONTROLS, *POOLERS) if argument else CONTROLS)
    elif fault == 'cut_pooler':
        sim.isolate(argument, CONTROLS)
    elif fault == 'suspend_leader' and leader is not None:
        sim.suspend(leader, argument)
    elif fault == 'suspend':
        sim.suspend(argument, 1_000)
    elif fault == 'heal':
        sim.heal()


def _play(seed, steps, **fields):
    sim = FailoverSimulation(seed, **fields)
    for (fault, argument), pause_ms in steps:
        _apply(sim, fault, argument)
        sim.run(pause_ms)
    sim.heal()
    sim.run(HEAL_MS)
    return sim


# The pooler that is cut off goes on while the others see the primary fail.
SPLIT = [
    (('cut_pooler', 'p3'), 5),
    (('lose_primary', 'most'), 3_000),
    (('heal', None), 700),
]
LOSSES = [(('lose_primary', 'all'), 3_000), (('heal', None), 3_000)]
LEADER_LOST = [
    (('lose_primary', 'most'), 200),
    (('lose_leader', True), 3_000),
    (('heal', None), 700),
]
# Primaries are cut off one after the other, and the first ones return before
# the last one. They do not know yet that they have been replaced.
IN_TURN = [
    (('lose_primary', 'all'), 1_500),
    (('lose_primary', 'all'), 1_500),
    (('lose_primary', 'all'), 700),
]
PATTERNS = {
    'split': SPLIT,
    'losses': LOSSES,
    'leader lost': LEADER_LOST,
    'in turn': IN_TURN,
}


@settings(max_examples=40, derandomize=True, deadline=None)
@given(seed=st.integers(1, 1_000), steps=_steps)
def test_promises_hold_in_drawn_failovers(seed, steps):
    sim = _play(seed, steps)
    answered = len(sim.acknowledged)
    sim.run(1_000)
    # Service has returned after the faults.
    assert len(sim.acknowledged) > answered


@pytest.mark.parametrize('pattern', PATTERNS)
def test_promises_hold_in_fixed_failovers(pattern):
    takeovers = 0
    for seed in SEEDS:
        takeovers += _play(seed, PATTERNS[pattern]).takeovers
    assert takeovers >= len(SEEDS) / 2


def _find_fault(**fields):
    """Return the first broken promise in any pattern, or fail."""
    for seed in SEEDS:
        for steps in PATTERNS.values():
            try:
                _play(seed, steps, **fields)
            except PromiseBroken as exc:
                return exc
    pytest.fail('the simulation has not found the fault')


def test_simulation_finds_acknowledgements_without_leases():
    assert 'replaced primary' in str(_find_fault(needs_leases=False))


def test_simulation_finds_a_lease_that_never_expires():
    def is_valid(self, group, term, now_ms):
        lease = self._leases.get(group)
        return lease is not None and lease[0] == term

    holder = 'jackdawpost.core.leases.holder.LeaseHolder.is_valid'
    with mock.patch(holder, is_valid):
        _find_fault()


def test_simulation_finds_an_order_before_the_leases_end():
    end_leases = 'jackdawpost.core.control.delegation.end_leases'
    with mock.patch(end_leases, lambda state, leader, name: True):
        _find_fault(lease_ms=4_000)


def _promote_former_primary(seed):
    """Let the second primary return, which leads on, when all others fail."""
    sim = FailoverSimulation(seed, promotion_ms=500, afterlife_ms=60_000)
    former = []
    for _ in range(2):
        former.append(sim.primary())
        sim.isolate(former[-1], (*POOLERS, *DATABASES))
        takeovers = sim.takeovers
        while sim.takeovers == takeovers:
            sim.run(50)
        sim.run(300)
    sim.isolate(sim.primary(), (*POOLERS, *DATABASES))
    sim.rejoin(former[-1], POOLERS)
    sim.run(5_000)
    return sim


def test_former_primary_acknowledges_only_in_its_new_term():
    for seed in SEEDS:
        sim = _promote_former_primary(seed)
        assert sim.takeovers == 3


def test_simulation_finds_a_former_primary_that_still_leads():
    needs_demotion = 'jackdawpost.core.control.delegation.needs_demotion'
    with mock.patch(needs_demotion, lambda state, promotion: False):
        with pytest.raises(PromiseBroken, match='replaced primary'):
            for seed in SEEDS:
                _promote_former_primary(seed)
