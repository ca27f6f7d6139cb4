"""Condition variable with a version counter."""

from __future__ import annotations

import trio


class Notifier:
    """Wakes the tasks that wait for a change.

    The version increases with each change. A task that reads the version
    before it reads the state misses no change in between.
    """

    def __init__(self) -> None:
        self.version = 0
        self._event: trio.Event | None = None

    def notify(self) -> None:
        """Record a change and wake all waiting tasks."""
        self.version += 1
        if self._event is not None:
            self._event.set()
            self._event = None

    async def wait_for_change(self, version: int) -> None:
        """Wait until the current version differs from `version`."""
        while self.version == version:
            if self._event is None:
                self._event = trio.Event()
            await self._event.wait()

    async def wait_for_change_until(self, deadline_s: float) -> None:
        """Wait for the next change, at most until `deadline_s`."""
        with trio.move_on_at(deadline_s):
            await self.wait_for_change(self.version)
