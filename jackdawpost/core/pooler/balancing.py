"""Order of the upstreams that can serve a read.

Many poolers choose at the same moment from knowledge that is slightly old. If
all take the upstream that looks best, its queue grows while slots of others
are idle, until the answers show it. Under load the choice is therefore
random, with weights by slots and expected latency. With little load it is
the upstream with the lowest expected latency. docs/design/load-balancing.md
has the figures.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from jackdawpost.core.pooler.observed_load import ObservedLoad

# After this time without an answer, 1/e of the difference between the waits
# on an upstream and on the others is left, since the queues change. With
# 300 ms, an upstream that has become slow is tried too often.
WAIT_MEMORY_MS = 600.0
# The same for the wait in the group as a whole. Without answers, little load
# is assumed.
LOAD_MEMORY_MS = 2_000.0
# The same for the time without a wait, so that an upstream that was slow is
# tried again.
SERVICE_MEMORY_MS = 10_000.0
# Wait, as a share of the time without a wait, from which the weights differ
# least between upstreams.
FULL_LOAD_WAIT_SHARE = 0.15
# How strongly the expected latency determines the choice: the logarithm of the
# weight falls by this for each multiple of the lowest latency. Under load, and
# the limit with little load.
LOADED_STEEPNESS = 2.0
MAX_STEEPNESS = 64.0
# A refusal for lack of a slot counts as a queue of this many mean latencies,
# which drains with time.
REFUSED_WAIT_LATENCIES = 2.0
# Keeps ratios of latencies finite.
MIN_SERVICE_MS = 0.1
# Replaces a variate of 0, which has no logarithm.
MIN_VARIATE = 1e-300


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """What a pooler knows of an upstream that can serve a read.

    Parameters
    ----------
    outstanding : int
        Connections of this pooler that are busy.
    slots : int
        Statements that it runs at the same time; 0 if unknown.
    distance_ms : float
        Additional latency of an upstream in another region.
    """

    name: str
    outstanding: int
    load: ObservedLoad
    slots: int = 0
    distance_ms: float = 0.0


def rank(
    candidates: Sequence[Candidate], rng: Random, now_ms: float
) -> list[Candidate]:
    """Return the candidates in the order in which to try them.

    Upstreams in other regions come last. One that is expected to answer
    sooner than those in the own region do on average comes first, since the
    own region is overloaded then.
    """
    if len(candidates) < 2:
        return list(candidates)
    services_ms = _estimate_services(candidates, now_ms)
    waits_ms, mean_wait_ms = _estimate_waits(candidates, now_ms)
    latencies_ms = _add_up(candidates, services_ms, waits_ms)
    mean_service_ms = sum(services_ms) / len(services_ms)
    steepness = _steepness(mean_wait_ms / mean_service_ms)
    lowest_ms = min(latencies_ms)
    near_ms = [
        latency_ms
        for item, latency_ms in zip(candidates, latencies_ms, strict=True)
        if not item.distance_ms
    ]
    mean_near_ms = sum(near_ms) / len(near_ms) if near_ms else math.inf
    keys = []
    for number, item in enumerate(candidates):
        latency_ms = latencies_ms[number]
        tier = 1
        if item.distance_ms:
            tier = 0 if latency_ms < mean_near_ms else 2
        weight_log = math.log(max(1, item.slots))
        weight_log -= steepness * (latency_ms / lowest_ms - 1)
        # The order of exponential variates divided by weights is that of
        # draws without replacement in proportion to the weights.
        variate = rng.expovariate(1.0) or MIN_VARIATE
        keys.append((tier, math.log(variate) - weight_log, number))
    return [candidates[number] for _, _, number in sorted(keys)]


def _steepness(wait_share: float) -> float:
    """Return how strongly the latency determines the choice."""
    if wait_share * MAX_STEEPNESS <= FULL_LOAD_WAIT_SHARE * LOADED_STEEPNESS:
        return MAX_STEEPNESS
    return LOADED_STEEPNESS * max(1.0, FULL_LOAD_WAIT_SHARE / wait_share)


def _add_up(
    candidates: Sequence[Candidate],
    services_ms: Sequence[float],
    waits_ms: Sequence[float],
) -> list[float]:
    """Return the expected latency of each candidate."""
    return [
        (service_ms + wait_ms) * (1 + item.outstanding) + item.distance_ms
        for item, service_ms, wait_ms in zip(
            candidates, services_ms, waits_ms, strict=True
        )
    ]


def _estimate_services(
    candidates: Sequence[Candidate], now_ms: float
) -> list[float]:
    """Return the expected time without a wait on each candidate.

    Old knowledge of a slow one decays towards the lowest time in the group.
    """
    known_ms = [
        item.load.service_ms
        for item in candidates
        if item.load.answered_ms is not None
    ]
    lowest_ms = min(known_ms, default=0.0)
    services_ms = []
    for item in candidates:
        service_ms = item.load.service_ms
        if item.load.answered_ms is not None:
            difference_ms = service_ms - lowest_ms
            service_ms = lowest_ms + difference_ms * _decay(
                item, now_ms, SERVICE_MEMORY_MS
            )
        services_ms.append(max(MIN_SERVICE_MS, service_ms))
    return services_ms


def _estimate_waits(
    candidates: Sequence[Candidate], now_ms: float
) -> tuple[list[float], float]:
    """Return the expected wait on each candidate, and the mean wait.

    The wait in another region may well be shorter, since statements go there
    only when that makes up for the distance. Old knowledge therefore decays
    towards the mean of the same distance.
    """
    known_ms = [
        item.load.wait_ms * _decay(item, now_ms, LOAD_MEMORY_MS)
        for item in candidates
    ]
    waits_ms = []
    for item in candidates:
        load = item.load
        equally_far_ms = [
            wait_ms
            for other, wait_ms in zip(candidates, known_ms, strict=True)
            if other.distance_ms == item.distance_ms
        ]
        mean_ms = sum(equally_far_ms) / len(equally_far_ms)
        wait_ms = mean_ms + (load.wait_ms - mean_ms) * _decay(
            item, now_ms, WAIT_MEMORY_MS
        )
        if load.refused_ms is not None:
            queue_ms = REFUSED_WAIT_LATENCIES * (
                load.service_ms + load.wait_ms
            )
            wait_ms = max(wait_ms, queue_ms - (now_ms - load.refused_ms))
        waits_ms.append(wait_ms)
    return waits_ms, sum(known_ms) / len(known_ms)


def _decay(item: Candidate, now_ms: float, memory_ms: float) -> float:
    """Return the weight that the knowledge of a candidate still has."""
    if item.load.answered_ms is None:
        return 0.0
    return math.exp((item.load.answered_ms - now_ms) / memory_ms)
