"""Bounded queue of requests with deadlines and priorities.

A request is rejected on arrival, with a hint when to retry, if the queue is
full or if the expected wait would use up most of its deadline.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Generic
from typing import Protocol
from typing import TypeVar

# Priorities, highest first. A fresh read runs on the primary; a stale read has
# an accepted age and may run on a replica.
WRITE = 0
FRESH_READ = 1
STALE_READ = 2
PRIORITIES = (WRITE, FRESH_READ, STALE_READ)

MIN_RETRY_AFTER_MS = 20
MAX_RETRY_AFTER_MS = 2_000
# A request that would wait for longer than this share of its deadline has no
# time left to run; queueing it would only make others miss theirs.
USABLE_DEADLINE_SHARE = 0.8
# A lane is compacted when the entries of removed requests make it longer than
# this multiple of its queued requests, plus 64.
MAX_LANE_RATIO = 4
# Weight of the latest interval in the moving average.
_INTERVAL_WEIGHT = 0.05


class QueueItem(Protocol):
    """Interface of a request that can be queued.

    Attributes
    ----------
    priority : int
        `WRITE`, `FRESH_READ` or `STALE_READ`.
    due_ms : float
        Deadline, in milliseconds.
    queued : bool
        Set by the queue: the request is in it.
    """

    priority: int
    due_ms: float
    queued: bool


Q = TypeVar('Q', bound=QueueItem)


class AdmissionQueue(Generic[Q]):
    """Requests of one group that wait to be sent.

    Each priority has a FIFO lane. A removed request stays in its lane until
    it reaches the front or the lane is compacted. It is skipped there, also
    if it has been queued again with another priority.

    Parameters
    ----------
    limit : int
        Maximum number of queued requests.
    """

    __slots__ = (
        'limit',
        '_lanes',
        '_counts',
        '_last_pop_ms',
        '_mean_pop_interval_ms',
    )

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._lanes: tuple[deque[Q], ...] = tuple(deque() for _ in PRIORITIES)
        self._counts = [0 for _ in PRIORITIES]
        self._last_pop_ms = -math.inf
        self._mean_pop_interval_ms = 0.0

    def __len__(self) -> int:
        return sum(self._counts)

    def count(self, priority: int) -> int:
        """Return the number of queued requests of one priority."""
        return self._counts[priority]

    def retry_delay_ms(self, item: Q, now_ms: float) -> int | None:
        """Return when to retry a new request if it must be rejected.

        Returns
        -------
        int or None
            None to accept the request, else the time after which a retry
            is worthwhile, in milliseconds.
        """
        waiting = self._counts[0] + self._counts[1] + self._counts[2]
        if not waiting:
            return None
        wait_ms = self._expected_wait_ms(item.priority)
        usable_ms = (item.due_ms - now_ms) * USABLE_DEADLINE_SHARE
        if waiting < self.limit and wait_ms <= usable_ms:
            return None
        bounded_wait_ms = min(
            max(wait_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS
        )
        return int(bounded_wait_ms)

    def evict_lower_priority(self, priority: int) -> Q | None:
        """Remove and return the newest request of a lower priority, if any.

        A write can thus enter a full queue in place of a read.
        """
        for lower in range(STALE_READ, priority, -1):
            lane = self._lanes[lower]
            while lane:
                item = lane.pop()
                if item.queued and item.priority == lower:
                    self.remove(item)
                    return item
        return None

    def push(self, item: Q, at_front: bool = False) -> None:
        """Add a request at the back, or at the front, of its priority."""
        lane = self._lanes[item.priority]
        if len(lane) > MAX_LANE_RATIO * self._counts[item.priority] + 64:
            self._compact_lane(item.priority)
        item.queued = True
        self._counts[item.priority] += 1
        if at_front:
            lane.appendleft(item)
        else:
            lane.append(item)

    def peek(self, priority: int) -> Q | None:
        """Return the first request of a priority without removing it."""
        if not self._counts[priority]:
            self._lanes[priority].clear()
            return None
        lane = self._lanes[priority]
        while lane:
            item = lane[0]
            if item.queued and item.priority == priority:
                return item
            lane.popleft()
        return None

    def pop(self, priority: int, now_ms: float) -> Q | None:
        """Remove and return the first request of a priority."""
        item = self.peek(priority)
        if item is None:
            return None
        self._lanes[priority].popleft()
        item.queued = False
        self._counts[priority] -= 1
        self._record_pop(now_ms)
        return item

    def remove(self, item: Q) -> None:
        """Remove a request, such as an expired one, wherever it is queued."""
        if item.queued:
            item.queued = False
            self._counts[item.priority] -= 1

    def pop_all(self) -> list[Q]:
        """Remove and return all requests."""
        items = [i for lane in self._lanes for i in lane if i.queued]
        for item in items:
            self.remove(item)
        for lane in self._lanes:
            lane.clear()
        return items

    def reset_rate(self) -> None:
        """Drop the estimated rate at which requests leave the queue.

        While there is no primary, intervals between requests show nothing
        about the rate.
        """
        self._mean_pop_interval_ms = 0.0
        self._last_pop_ms = -math.inf

    def _compact_lane(self, priority: int) -> None:
        # Expired requests would accumulate while nothing is popped.
        lane = self._lanes[priority]
        kept = [i for i in lane if i.queued and i.priority == priority]
        lane.clear()
        lane.extend(kept)

    def _record_pop(self, now_ms: float) -> None:
        """Update the mean interval between pops.

        Only intervals in which other requests were waiting are used, since
        the others show how fast requests arrive. Long ones are ignored.
        """
        if len(self):
            gap_ms = now_ms - self._last_pop_ms
            if gap_ms < MAX_RETRY_AFTER_MS:
                change = gap_ms - self._mean_pop_interval_ms
                self._mean_pop_interval_ms += _INTERVAL_WEIGHT * change
            self._last_pop_ms = now_ms
        else:
            self._last_pop_ms = -math.inf

    def _expected_wait_ms(self, priority: int) -> float:
        ahead = sum(self._counts[: priority + 1])
        return ahead * self._mean_pop_interval_ms
