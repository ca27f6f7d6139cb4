"""Strategies for choosing the replica that serves a read."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from random import Random
from typing import Protocol
from typing import TypeVar

from jackdawpost.core.positions import LogPosition
from jackdawpost.core.positions import ZERO_POSITION


class Replica(Protocol):
    """Interface of a replica to choose from.

    Attributes
    ----------
    leaving : bool
        The replica accepts no new statements.
    evidence : str
        Reachability: ``'up'``, ``'silent'``, ``'refused'`` or unknown.
    term : int
        Term of the replica's latest report.
    applied : LogPosition
        Applied position in the replica's latest report.
    outstanding : int
        Frames sent to the replica and not completely answered.
    lag_ms : float
        Estimated replication lag, in milliseconds.
    """

    leaving: bool
    evidence: str
    term: int
    applied: LogPosition
    outstanding: int
    lag_ms: float


R = TypeVar('R', bound=Replica)
Chooser = Callable[[Sequence[R], Random, int], R]


def choose_random(replicas: Sequence[R], rng: Random, turn: int) -> R:
    """Return a replica drawn at random."""
    return replicas[int(rng.random() * len(replicas))]


def choose_round_robin(replicas: Sequence[R], rng: Random, turn: int) -> R:
    """Return the next replica in turn."""
    return replicas[turn % len(replicas)]


def choose_two(replicas: Sequence[R], rng: Random, turn: int) -> R:
    """Return the less loaded one of two replicas drawn at random."""
    count = len(replicas)
    if count == 1:
        return replicas[0]
    first = int(rng.random() * count)
    second = int(rng.random() * (count - 1))
    if second >= first:
        second += 1
    if replicas[second].outstanding < replicas[first].outstanding:
        return replicas[second]
    return replicas[first]


def choose_least_outstanding(
    replicas: Sequence[R], rng: Random, turn: int
) -> R:
    """Return a replica with the fewest outstanding frames."""
    fewest = min(replica.outstanding for replica in replicas)
    tied = [r for r in replicas if r.outstanding == fewest]
    return tied[int(rng.random() * len(tied))]


CHOOSERS: Mapping[str, Chooser] = {
    'random': choose_random,
    'round_robin': choose_round_robin,
    'two_choices': choose_two,
    'least_outstanding': choose_least_outstanding,
}


def is_usable(replica: Replica, term: int) -> bool:
    """Return whether a replica may get new statements in `term`."""
    return (
        replica.evidence == 'up'
        and replica.term == term
        and not replica.leaving
    )


def split_by_freshness(
    replicas: Sequence[R],
    term: int,
    after: LogPosition | None,
    fresh_after: LogPosition,
    max_wait_lag_ms: float,
) -> tuple[list[R], list[R]]:
    """Return the replicas that can serve now, and those that need a wait.

    Parameters
    ----------
    replicas : sequence of Replica
        Replicas of one group.
    term : int
        Current term of the group.
    after : LogPosition or None
        Position of the session token, which must be applied.
    fresh_after : LogPosition
        Position that must be applied for the accepted age.
    max_wait_lag_ms : float
        Replicas with a higher lag do not become fresh enough by waiting;
        below zero, no wait is allowed.

    Returns
    -------
    tuple of (list, list)
        Replicas that are fresh enough, and those that will be after a wait.
    """
    needed = max(after or ZERO_POSITION, fresh_after)
    ready = []
    catching_up = []
    for replica in replicas:
        if not is_usable(replica, term):
            continue
        if replica.applied >= needed:
            ready.append(replica)
        elif replica.lag_ms <= max_wait_lag_ms:
            catching_up.append(replica)
    return ready, catching_up
