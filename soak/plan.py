"""Fault plans: the kind, time and target of each fault, drawn from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Literal

FaultKind = Literal[
    'link_delay',
    'link_reset',
    'link_one_way',
    'link_silent',
    'stop',
    'kill',
    'pause',
    'reload',
    'control_kill',
    'control_pause',
    'control_wipe',
    'control_kill_all',
    'database_crash',
    'database_hang',
    'database_slow',
    'database_lag',
    'database_leave',
    'order_lost',
    'order_late',
    'tenant_surge',
    'tenant_burst',
    'misbehaving',
]
# Relative frequency of each kind. 'database_leave' occurs at most once in a
# run, with the probability `LEAVE_PROBABILITY`; `LOAD_KINDS` occur once each.
WEIGHTS: dict[FaultKind, int] = {
    'link_delay': 2,
    'link_reset': 2,
    'link_one_way': 2,
    'link_silent': 2,
    'stop': 4,
    'kill': 2,
    'pause': 2,
    'reload': 2,
    'control_kill': 2,
    'control_pause': 2,
    'control_wipe': 1,
    'control_kill_all': 1,
    'database_crash': 2,
    'database_hang': 1,
    'database_slow': 2,
    'database_lag': 2,
    'database_leave': 0,
    'order_lost': 1,
    'order_late': 1,
    'tenant_surge': 0,
    'tenant_burst': 0,
    'misbehaving': 0,
}
# Kinds that make control processes unavailable. A group of three tolerates
# the loss of one, so these faults do not overlap.
CONTROL_KINDS = frozenset(
    {'control_kill', 'control_pause', 'control_wipe', 'control_kill_all'}
)
LOAD_KINDS: tuple[FaultKind, ...] = (
    'tenant_surge',
    'tenant_burst',
    'misbehaving',
)
MIN_DURATION_S = 0.3
MAX_DURATION_S = 4.0
# Time for a control process to rejoin its group after a fault.
CONTROL_REJOIN_S = 5.0
# Probability that a database leaves during a run.
LEAVE_PROBABILITY = 0.5
# Mean time between the starts of two faults, which may overlap.
MEAN_INTERVAL_S = 0.8


@dataclass(slots=True, kw_only=True, frozen=True)
class Fault:
    """Fault to inject, with its time and target.

    Parameters
    ----------
    kind : str
        Kind of the fault. ``stop``, ``kill``, ``pause`` and ``reload`` affect
        edge processes. The ``order`` kinds affect promotions that the
        control leader requests from the platform. `LOAD_KINDS` start
        additional callers. The others start with the name of their target.
    at_s, for_s : float
        Start, in seconds after the start of the traffic, and duration in
        seconds.
    target : int
        Index of the process, database or link, modulo their number.
    share : float
        Fraction of the connections affected by a link fault.
    """

    kind: FaultKind
    at_s: float
    for_s: float
    target: int
    share: float


def draw_plan(seed: int, length_s: float) -> list[Fault]:
    """Return the faults of a seed, sorted by start time."""
    rng = random.Random(seed)
    kinds = list(WEIGHTS)
    weights = list(WEIGHTS.values())
    plan = []
    next_control_fault_s = 0.0
    at_s = rng.uniform(0.2, 1.0)
    while at_s < length_s:
        [kind] = rng.choices(kinds, weights)
        for_s = min(
            rng.uniform(MIN_DURATION_S, MAX_DURATION_S), length_s - at_s
        )
        fault = Fault(
            kind=kind,
            at_s=round(at_s, 3),
            for_s=round(for_s, 3),
            target=rng.randrange(6),
            share=rng.choice((0.3, 0.6, 1.0)),
        )
        at_s += rng.expovariate(1 / MEAN_INTERVAL_S)
        if kind in CONTROL_KINDS:
            if fault.at_s < next_control_fault_s:
                continue
            next_control_fault_s = fault.at_s + for_s + CONTROL_REJOIN_S
        plan.append(fault)
    # A generator of its own leaves the other faults of a seed unchanged.
    leave_rng = random.Random(f'{seed}/leave')
    if leave_rng.random() < LEAVE_PROBABILITY:
        leave = Fault(
            kind='database_leave',
            at_s=round(leave_rng.uniform(0.0, length_s / 2), 3),
            for_s=0.0,
            target=leave_rng.randrange(6),
            share=1.0,
        )
        plan.append(leave)
    load_rng = random.Random(f'{seed}/load')
    for kind in LOAD_KINDS:
        # Rate limits are hardest to keep when a surge follows a quiet time.
        start_s = load_rng.uniform(0.3, 0.6) * length_s
        for_s = load_rng.uniform(0.2, 0.4) * length_s
        plan.append(
            Fault(
                kind=kind,
                at_s=round(start_s, 3),
                for_s=round(for_s, 3),
                target=load_rng.randrange(6),
                share=1.0,
            )
        )
    return sorted(plan, key=lambda fault: fault.at_s)
