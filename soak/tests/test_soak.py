"""Tests of the drawn fault plans, and a short run of the soak test."""

from __future__ import annotations

import pytest
import trio

from soak.plan import CONTROL_KINDS
from soak.plan import draw_plan
from soak.plan import WEIGHTS
from soak.run import run_plan

CI_SEED = 1
CI_LENGTH_S = 6.0


def test_plan_is_the_same_for_the_same_seed():
    assert draw_plan(7, 20.0) == draw_plan(7, 20.0)
    assert draw_plan(7, 20.0) != draw_plan(8, 20.0)


def test_every_kind_of_fault_is_drawn():
    kinds = {f.kind for seed in range(40) for f in draw_plan(seed, 20.0)}
    assert kinds == set(WEIGHTS)


def test_faults_overlap_and_end_within_the_run():
    plans = [draw_plan(seed, 20.0) for seed in range(40)]
    ends = [fault.at_s + fault.for_s for plan in plans for fault in plan]
    assert max(ends) <= 20.001
    overlaps = sum(
        later.at_s < fault.at_s + fault.for_s
        for plan in plans
        for fault, later in zip(plan, plan[1:], strict=False)
    )
    assert overlaps > 400


def test_control_faults_do_not_overlap():
    # Two overlapping faults would exceed the one lost control process that
    # the group tolerates; control_kill_all is one fault.
    for seed in range(200):
        faults = [f for f in draw_plan(seed, 30.0) if f.kind in CONTROL_KINDS]
        for fault, later in zip(faults, faults[1:], strict=False):
            assert later.at_s >= fault.at_s + fault.for_s


@pytest.mark.process
def test_short_run_has_no_violations(tmp_path):
    assert trio.run(run_plan, CI_SEED, CI_LENGTH_S, tmp_path).violations == []
