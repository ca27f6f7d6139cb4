"""Timer service: parts subscribe to a key and a due time."""

from __future__ import annotations

import heapq
import math
import time
from collections.abc import Callable

import trio

MS_PER_SECOND = 1_000


# The sleep of the event loop does not count time in which the machine was
# suspended, so that a timer may be found overdue only after its end.
MAX_SLEEP_S = 0.25


def read_now_ms() -> float:
    """Return the monotonic time of this machine in milliseconds.

    Time in which the machine was suspended counts: leases and ages that ran
    out meanwhile must not be trusted afterwards.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_SECOND


class TimerService:
    """Calls a subscriber once each timer is due.

    Parameters
    ----------
    on_due : callable
        Called with the key of a due timer.
    """

    def __init__(self, on_due: Callable[[str], None]) -> None:
        self._on_due = on_due
        self._due_by_key: dict[str, float] = {}
        self._heap: list[tuple[float, str]] = []
        self._sleep_scope: trio.CancelScope | None = None
        self._next_due = math.inf

    def set_timer(self, key: str, due_ms: float) -> None:
        """Fire `key` at `due_ms`, in place of its earlier due time."""
        self._due_by_key[key] = due_ms
        heapq.heappush(self._heap, (due_ms, key))
        if due_ms < self._next_due and self._sleep_scope is not None:
            self._sleep_scope.cancel()

    def cancel_timer(self, key: str) -> None:
        """Forget the timer with `key`, if there is one."""
        self._due_by_key.pop(key, None)

    async def run(self) -> None:
        """Serve until cancelled."""
        while True:
            self._fire_due()
            due_ms = self._heap[0][0] if self._heap else math.inf
            self._next_due = due_ms
            with trio.CancelScope() as scope:
                self._sleep_scope = scope
                await _sleep_until_ms(due_ms)
            self._sleep_scope = None

    def _fire_due(self) -> None:
        now_ms = read_now_ms()
        while self._heap and self._heap[0][0] <= now_ms:
            due_ms, key = heapq.heappop(self._heap)
            if self._due_by_key.get(key) == due_ms:
                del self._due_by_key[key]
                self._on_due(key)


async def _sleep_until_ms(due_ms: float) -> None:
    if math.isinf(due_ms):
        await trio.sleep_forever()
    left_s = (due_ms - read_now_ms()) / MS_PER_SECOND
    await trio.sleep(max(0.0, min(MAX_SLEEP_S, left_s)))
