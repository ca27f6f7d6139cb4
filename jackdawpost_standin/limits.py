"""Limits of a database: slots, connections and its one writer."""

from __future__ import annotations

from collections import deque
from typing import Protocol

import trio


class Limit:
    """Counts what is in use and what was refused.

    Parameters
    ----------
    size : int
        Largest number in use at the same time.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.in_use = 0
        self.max_in_use = 0
        self.refusals = 0

    def take(self) -> bool:
        """Take one if there is one, else count a refusal."""
        if self.in_use >= self.size:
            self.refusals += 1
            return False
        self.in_use += 1
        self.max_in_use = max(self.max_in_use, self.in_use)
        return True

    def release(self) -> None:
        """Give one back."""
        self.in_use -= 1


class TxnOwner(Protocol):
    """Holder of the open transaction."""

    def lose_txn(self) -> None:
        """Learn that the transaction was rolled back from outside."""


class WriteTurn:
    """The right to run a transaction; first come, first served."""

    def __init__(self) -> None:
        self.owner: TxnOwner | None = None
        self._waiting: deque[tuple[TxnOwner, trio.Event]] = deque()

    @property
    def free(self) -> bool:
        """Whether a write can run at once."""
        return self.owner is None

    async def acquire(self, owner: TxnOwner, deadline_s: float) -> bool:
        """Wait for the turn; return False if it did not come in time."""
        if self.owner is None:
            self.owner = owner
            return True
        entry = (owner, trio.Event())
        self._waiting.append(entry)
        event = entry[1]
        try:
            with trio.move_on_at(deadline_s):
                await event.wait()
        except trio.Cancelled:
            if event.is_set():
                self.release(owner)
            else:
                self._waiting.remove(entry)
            raise
        if not event.is_set():
            self._waiting.remove(entry)
            return False
        # The turn may have been revoked before this task ran again.
        return self.owner is owner

    def release(self, owner: TxnOwner) -> None:
        """Pass the turn on, if `owner` still has it."""
        if self.owner is not owner:
            return
        self.owner = None
        if self._waiting:
            self.owner, event = self._waiting.popleft()
            event.set()

    def revoke(self) -> None:
        """Take the turn away from its owner."""
        owner = self.owner
        if owner is None:
            return
        owner.lose_txn()
        self.release(owner)
