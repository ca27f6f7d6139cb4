"""Wakes tasks that wait for a change."""

from __future__ import annotations

import trio


class Notifier:
    """Counts changes and wakes the tasks that wait for the next one."""

    def __init__(self) -> None:
        self.version = 0
        self._event: trio.Event | None = None

    def notify(self) -> None:
        """Wake all waiting tasks."""
        self.version += 1
        if self._event is not None:
            self._event.set()
            self._event = None

    async def wait_beyond(self, version: int) -> None:
        """Wait until `version` is no longer the current one."""
        while self.version == version:
            if self._event is None:
                self._event = trio.Event()
            await self._event.wait()

    async def wait_until(self, deadline_s: float) -> None:
        """Wait for the next change or for the time `deadline_s`."""
        with trio.move_on_at(deadline_s):
            await self.wait_beyond(self.version)
