"""Plans: which faults strike when, drawn from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Literal

Kind = Literal[
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
]
# How often each kind is drawn, relative to the others. A database leaves at
# most once in a run; see `LEAVE_SHARE`.
WEIGHTS: dict[Kind, int] = {
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
}
# Kinds that take a control process away. Of three, one may be gone at once.
CONTROL_KINDS = frozenset(
    {'control_kill', 'control_pause', 'control_wipe', 'control_kill_all'}
)
MIN_FOR_S = 0.3
MAX_FOR_S = 4.0
# A control process is back in the group this long after its fault.
CONTROL_GAP_S = 5.0
# Share of the plans in which a database leaves.
LEAVE_SHARE = 0.5
# Mean time between the starts of two faults; they overlap.
MEAN_GAP_S = 0.8


@dataclass(slots=True, kw_only=True, frozen=True)
class Fault:
    """A fault and its target.

    Parameters
    ----------
    at_s, for_s : float
        Start after the start of traffic, and duration, in seconds.
    target : int
        Number of the process, database or link, from 0; the runner takes it
        modulo how many there are.
    share : float
        Part of the connections that a fault of a link touches.
    """

    kind: Kind
    at_s: float
    for_s: float
    target: int
    share: float


def draw_plan(seed: int, length_s: float) -> list[Fault]:
    """Return the faults of a seed in the order of their starts."""
    rng = random.Random(seed)
    kinds = list(WEIGHTS)
    weights = list(WEIGHTS.values())
    plan = []
    control_free_s = 0.0
    at_s = rng.uniform(0.2, 1.0)
    while at_s < length_s:
        [kind] = rng.choices(kinds, weights)
        for_s = min(rng.uniform(MIN_FOR_S, MAX_FOR_S), length_s - at_s)
        fault = Fault(
            kind=kind,
            at_s=round(at_s, 3),
            for_s=round(for_s, 3),
            target=rng.randrange(6),
            share=rng.choice((0.3, 0.6, 1.0)),
        )
        at_s += rng.expovariate(1 / MEAN_GAP_S)
        if kind in CONTROL_KINDS:
            if fault.at_s < control_free_s:
                continue
            control_free_s = fault.at_s + for_s + CONTROL_GAP_S
        plan.append(fault)
    # Drawn apart, so that the other faults of a seed stay as they were.
    other = random.Random(f'{seed}/leave')
    if other.random() < LEAVE_SHARE:
        leave = Fault(
            kind='database_leave',
            at_s=round(other.uniform(0.0, length_s / 2), 3),
            for_s=0.0,
            target=other.randrange(6),
            share=1.0,
        )
        plan.append(leave)
    return sorted(plan, key=lambda fault: fault.at_s)
