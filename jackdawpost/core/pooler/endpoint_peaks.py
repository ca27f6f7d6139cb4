"""Places in the queue of a group when one endpoint gets a peak of requests.

An endpoint alone may use the whole queue. It does not keep others out: each
of k endpoints with queued statements is admitted up to `1/(2k)` of the places
even if the queue is full. The queue exceeds its size by these at most.
"""

from __future__ import annotations

from collections.abc import Mapping

# Queue length per database group.
MAX_QUEUED_STATEMENTS = 256
GUARANTEED_SHARE = 0.5  # of the places, for all endpoints together


def has_place(queued: Mapping[str, int], endpoint: str) -> bool:
    """Return whether another statement of an endpoint may be queued.

    Parameters
    ----------
    queued : dict of str to int
        Number of queued statements of each endpoint that has any.
    """
    if sum(queued.values()) < MAX_QUEUED_STATEMENTS:
        return True
    endpoints = len({*queued, endpoint})
    guaranteed = MAX_QUEUED_STATEMENTS * GUARANTEED_SHARE / endpoints
    return queued.get(endpoint, 0) + 1 <= guaranteed
