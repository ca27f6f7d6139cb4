"""Limits of a database: slots, connections, and one write transaction."""

from __future__ import annotations

from collections import deque
from typing import Protocol

import trio


class Limit:
    """Upper bound on the slots or connections in use, with counters.

    Parameters
    ----------
    size : int
        Maximum number in use at the same time.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.in_use = 0
        self.max_in_use = 0
        self.refusals = 0

    def try_acquire(self) -> bool:
        """Acquire one without waiting, or count a refusal."""
        if self.in_use >= self.size:
            self.refusals += 1
            return False
        self.in_use += 1
        self.max_in_use = max(self.max_in_use, self.in_use)
        return True

    def release(self) -> None:
        """Release one that was acquired."""
        self.in_use -= 1


class TxnOwner(Protocol):
    """Session that can hold the write lock."""

    def on_txn_revoked(self) -> None:
        """Handle the loss of the write lock and the rollback that follows."""


class WriteLock:
    """Exclusive lock of a write or transaction, granted in FIFO order."""

    def __init__(self) -> None:
        self.owner: TxnOwner | None = None
        self._waiting: deque[tuple[TxnOwner, trio.Event]] = deque()

    @property
    def is_free(self) -> bool:
        """Whether nobody holds the lock."""
        return self.owner is None

    async def acquire(self, owner: TxnOwner, deadline_s: float) -> bool:
        """Wait for the lock; return False on timeout or revocation.

        Parameters
        ----------
        owner : TxnOwner
            Session that requests the lock.
        deadline_s : float
            Time of ``trio.current_time()`` at which the wait ends.
        """
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
        # The lock may have been revoked before this task ran again.
        return self.owner is owner

    def release(self, owner: TxnOwner) -> None:
        """Pass the lock to the next waiting session, if `owner` holds it."""
        if self.owner is not owner:
            return
        self.owner = None
        if self._waiting:
            self.owner, event = self._waiting.popleft()
            event.set()

    def revoke(self) -> None:
        """Take the lock from its owner and notify the owner."""
        owner = self.owner
        if owner is None:
            return
        owner.on_txn_revoked()
        self.release(owner)
