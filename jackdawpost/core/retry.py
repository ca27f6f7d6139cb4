"""Retry budget, backoff with jitter, and slow start."""

from __future__ import annotations

from random import Random

BACKOFF_BASE_MS = 5.0
BACKOFF_MAX_MS = 200.0
# Covers the writes of one proxy that wait for their copies when a primary
# fails: 100 ms at 2,000 statements/s.
BUDGET_RESERVE = 200.0
SLOW_START_MS = 2_000.0
SLOW_START_SHARE = 0.1


def backoff_ms(attempt: int, rng: Random) -> float:
    """Return the pause before another attempt, in milliseconds.

    Parameters
    ----------
    attempt : int
        Attempts made so far, from 1.
    rng : Random
        Source of the jitter: the pause is drawn from the upper half of an
        exponentially growing range.
    """
    doublings = min(max(attempt, 1) - 1, 10)
    ceiling = min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2**doublings)
    return ceiling * (0.5 + rng.random() / 2)


class RetryBudget:
    """Allows retries as a share of requests, plus a small reserve.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request, 0 to 1.
    reserve : float
        Retries that may accumulate, so that a failover after a quiet
        period can retry what was in flight.
    """

    __slots__ = ('ratio', '_reserve', '_available')

    def __init__(self, ratio: float, reserve: float = BUDGET_RESERVE) -> None:
        self.ratio = ratio
        self._reserve = reserve
        self._available = reserve if ratio > 0 else 0.0

    @property
    def available(self) -> float:
        """Retries that may be spent now."""
        return self._available

    def record_request(self) -> None:
        """Count one new request."""
        self._available = min(self._reserve, self._available + self.ratio)

    def try_spend(self) -> bool:
        """Take one retry; False if none is left."""
        if self._available < 1:
            return False
        self._available -= 1
        return True


def slow_start_limit(limit: int, since_ms: float) -> int:
    """Return how many statements a returning upstream may run.

    Parameters
    ----------
    limit : int
        Statements allowed after the slow start.
    since_ms : float
        Time since the upstream returned, in milliseconds.
    """
    if since_ms >= SLOW_START_MS:
        return limit
    share = max(SLOW_START_SHARE, since_ms / SLOW_START_MS)
    return max(1, int(limit * share))
