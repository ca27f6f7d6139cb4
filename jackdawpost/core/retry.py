"""Retry budget, exponential backoff with jitter, and slow start."""

from __future__ import annotations

from random import Random

BACKOFF_BASE_MS = 5.0
BACKOFF_MAX_MS = 200.0
# Covers the writes of one proxy that wait for replication when the primary
# fails: 100 ms at 2,000 statements/s.
RETRY_BUDGET_RESERVE = 200.0
SLOW_START_MS = 2_000.0
SLOW_START_MIN_FRACTION = 0.1


def backoff_ms(attempt: int, rng: Random) -> float:
    """Return the delay before the next attempt, in milliseconds.

    Parameters
    ----------
    attempt : int
        Number of attempts made so far, at least 1.
    rng : Random
        Source of the jitter. The delay is drawn from the upper half of a
        range that grows exponentially.
    """
    doublings = min(max(attempt, 1) - 1, 10)
    ceiling = min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2**doublings)
    return ceiling * (0.5 + rng.random() / 2)


class RetryBudget:
    """Limit retries to a fraction of the requests plus a small reserve.

    Parameters
    ----------
    ratio : float
        Retries allowed per request, from 0 to 1.
    reserve : float
        Maximum number of accumulated retries. They allow the requests in
        flight to be retried when a primary fails after a period with few
        requests.
    """

    __slots__ = ('ratio', '_reserve', '_available')

    def __init__(
        self, ratio: float, reserve: float = RETRY_BUDGET_RESERVE
    ) -> None:
        self.ratio = ratio
        self._reserve = reserve
        self._available = reserve if ratio > 0 else 0.0

    @property
    def available(self) -> float:
        """Number of retries available now."""
        return self._available

    def resize(self, reserve: float) -> None:
        """Change the reserve; an increase is available at once."""
        added = max(0.0, reserve - self._reserve)
        self._available = min(reserve, self._available + added)
        self._reserve = reserve

    def record_request(self) -> None:
        """Add the share of one new request to the available retries."""
        self._available = min(self._reserve, self._available + self.ratio)

    def try_spend(self) -> bool:
        """Use one retry and return True, or return False if none is left."""
        if self._available < 1:
            return False
        self._available -= 1
        return True


def slow_start_limit(limit: int, elapsed_ms: float) -> int:
    """Return the statement limit of an upstream during its slow start.

    Parameters
    ----------
    limit : int
        Concurrent statements allowed after the slow start.
    elapsed_ms : float
        Time since the upstream became available again, in milliseconds.
    """
    if elapsed_ms >= SLOW_START_MS:
        return limit
    fraction = max(SLOW_START_MIN_FRACTION, elapsed_ms / SLOW_START_MS)
    return max(1, int(limit * fraction))
