"""Early refusal of statements while more arrive than can be served.

A statement that would wait too long is refused when it arrives, while its
caller still has time to try another pooler. The refusal tells when a retry
here may succeed.
"""

from __future__ import annotations

from random import Random

# A statement is refused if it is expected to spend more than this share of
# its timeout in the queue. The rest is needed to run it, and for a retry by
# the caller.
MAX_QUEUE_TIME_SHARE = 0.5
# Shortest time to a retry: a few statement times. If no backlog has been
# measured yet, the expected wait is 0.
MIN_RETRY_AFTER_MS = 20.0
# Share of the drain time that is drawn at random, so that the callers that
# were refused at once do not return at once.
RETRY_JITTER = 0.5


def exceeds_timeout(wait_ms: float, timeout_ms: float) -> bool:
    """Return whether an expected wait leaves too little time to run."""
    return wait_ms > timeout_ms * MAX_QUEUE_TIME_SHARE


def misses_objective(
    wait_ms: float, slot_ms: float, objective_ms: float
) -> bool:
    """Return whether a statement is expected to miss its objective."""
    return wait_ms > 0 and wait_ms + slot_ms > objective_ms


def retry_after_ms(drain_ms: float, rng: Random) -> int:
    """Return when a refused caller should try again.

    Parameters
    ----------
    drain_ms : float
        Expected time until the statements have run that were in the way.
    """
    delay_ms = drain_ms * (1 - RETRY_JITTER * rng.random())
    floor_ms = MIN_RETRY_AFTER_MS * (1 + rng.random())
    return round(max(delay_ms, floor_ms))
