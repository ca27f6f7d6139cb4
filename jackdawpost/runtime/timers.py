"""Timers identified by a key, on a clock that includes suspended time."""

from __future__ import annotations

import heapq
import math
import time
from collections.abc import Callable

import trio

MS_PER_SECOND = 1_000

# The event loop's clock stops while the machine is suspended. Without this
# limit a timer that became due during a suspension would fire late.
MAX_SLEEP_S = 0.25


def read_now_ms() -> float:
    """Return the monotonic time of this machine in milliseconds.

    The clock includes the time during which the machine was suspended,
    because leases and ages that expired meanwhile must not be trusted.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_SECOND


class TimerService:
    """Calls a function with the key of each timer that is due.

    Parameters
    ----------
    on_due : callable
        Called with the key of the timer.
    """

    def __init__(self, on_due: Callable[[str], None]) -> None:
        self._on_due = on_due
        self._due_ms_by_key: dict[str, float] = {}
        # Also contains entries of cancelled and replaced timers, which are
        # skipped when they become due.
        self._heap: list[tuple[float, str]] = []
        self._sleep_scope: trio.CancelScope | None = None
        self._next_due_ms = math.inf

    def set_timer(self, key: str, due_ms: float) -> None:
        """Set a timer to `due_ms`, replacing a timer with the same key."""
        self._due_ms_by_key[key] = due_ms
        heapq.heappush(self._heap, (due_ms, key))
        if due_ms < self._next_due_ms and self._sleep_scope is not None:
            self._sleep_scope.cancel()

    def cancel_timer(self, key: str) -> None:
        """Cancel the timer with `key`, if there is one."""
        self._due_ms_by_key.pop(key, None)

    async def run(self) -> None:
        """Fire due timers until cancelled."""
        while True:
            self._fire_due()
            due_ms = self._find_next_due_ms()
            self._next_due_ms = due_ms
            with trio.CancelScope() as scope:
                self._sleep_scope = scope
                await _sleep_until_ms(due_ms)
            self._sleep_scope = None

    def _fire_due(self) -> None:
        now_ms = read_now_ms()
        while self._heap and self._heap[0][0] <= now_ms:
            due_ms, key = heapq.heappop(self._heap)
            if self._due_ms_by_key.get(key) == due_ms:
                del self._due_ms_by_key[key]
                self._on_due(key)

    def _find_next_due_ms(self) -> float:
        """Return when the next timer is due.

        Removes the entries of cancelled and replaced timers from the top of
        the heap, which would wake the process for nothing.
        """
        while self._heap:
            due_ms, key = self._heap[0]
            if self._due_ms_by_key.get(key) == due_ms:
                return due_ms
            heapq.heappop(self._heap)
        return math.inf


async def _sleep_until_ms(due_ms: float) -> None:
    if math.isinf(due_ms):
        await trio.sleep_forever()
    remaining_s = (due_ms - read_now_ms()) / MS_PER_SECOND
    await trio.sleep(max(0.0, min(MAX_SLEEP_S, remaining_s)))
