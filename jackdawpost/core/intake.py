"""Limits on what clients make a process hold, and whom to stop at a limit.

Pure: an adapter tells what each connection holds, and closes the connections
that are returned to it. Only connections of clients are registered here; links
to control processes and to upstreams are not, so that they are neither paused
nor closed.

Three steps apply in this order. Reading from connections that hold much is
paused; only the one closest to the end of its message goes on. A connection
that holds the most is closed if that brings no relief. At the budget itself it
is closed at once.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import Literal

Reason = Literal[
    'descriptors',
    'address',
    'start_timeout',
    'slow_message',
    'unread',
    'memory',
]

MIB = 1 << 20
# Resident memory of an idle process, and of the state that sessions without a
# request need.
BASE_BYTES = 64 * MIB
# Decoded messages and allocator overhead take up to twice the counted bytes.
BUDGET_DIVISOR = 3
MIN_BUDGET_BYTES = 8 * MIB
MAX_BUDGET_BYTES = 256 * MIB
# Descriptors that are left to upstreams, control and files.
RESERVED_FD_DIVISOR = 8
MIN_RESERVED_FDS = 24
MAX_RESERVED_FDS = 128
# Reading pauses when less of the budget is left than this share of it, and in
# any case room for one message and for what others receive until they pause.
PAUSE_SHARE = 0.25
MIN_PAUSE_BYTES = 3 * MIB
# The connection closest to the end of its message is read until only this is
# left.
FINISH_BYTES = MIB
# A connection that holds less is never paused.
FREE_BYTES = 16_384
# An incomplete message must grow by this much within the message timeout.
MIN_PROGRESS_BYTES = 1_024
# Time without relief after which the largest connection is closed.
RELIEF_TIMEOUT_MS = 500.0
RELIEF_SHARE = 1 / 16


@dataclass(frozen=True, slots=True, kw_only=True)
class IntakeLimits:
    """Limits of one process.

    Parameters
    ----------
    budget_bytes : int
        Bytes of all clients that wait to be read, run or sent.
    connection_bytes : int
        Reading from a connection pauses while its requests in progress and
        unsent answers hold more.
    max_fds : int
        Descriptors of the process.
    reserved_fds : int
        Descriptors of these that clients cannot occupy.
    max_connections_per_address : int
        Connections from one IP address.
    start_timeout_ms : float
        Time for the first message of a connection.
    message_timeout_ms : float
        Time in which an incomplete message must grow by 1 KiB.
    unread_timeout_ms : float
        Time in which a client must read some of its unsent answers.
    """

    budget_bytes: int = MAX_BUDGET_BYTES
    connection_bytes: int = 256 << 10
    max_fds: int = 1 << 20
    reserved_fds: int = 0
    max_connections_per_address: int = 8_192
    start_timeout_ms: float = 10_000
    message_timeout_ms: float = 15_000
    unread_timeout_ms: float = 15_000


def derive_budget(memory_bytes: int) -> int:
    """Return the budget in bytes of a process with this much memory."""
    spare = (memory_bytes - BASE_BYTES) // BUDGET_DIVISOR
    return min(MAX_BUDGET_BYTES, max(MIN_BUDGET_BYTES, spare))


def derive_reserved_fds(max_fds: int) -> int:
    """Return the number of descriptors that clients cannot occupy."""
    share = max_fds // RESERVED_FD_DIVISOR
    return min(MAX_RESERVED_FDS, max(MIN_RESERVED_FDS, share))


@dataclass(slots=True, eq=False)
class Holder:
    """Connection of a client.

    Parameters
    ----------
    started : bool
        A complete message has been received.
    received, pending, unsent : int
        Bytes of an incomplete message, of requests in progress and of
        answers that the client has not read.
    held : int
        Sum of the three.
    paused : bool
        Reading is paused.
    window_ms, window_bytes
        Start of the current period of the message timeout, and the bytes
        received in it.
    unsent_ms : float
        When answers were last read, or began to wait.
    """

    number: int
    address: str
    opened_ms: float
    started: bool = False
    closed: bool = False
    received: int = 0
    pending: int = 0
    unsent: int = 0
    held: int = 0
    paused: bool = False
    window_ms: float = 0.0
    window_bytes: int = 0
    unsent_ms: float = 0.0


Closing = tuple[Holder, Reason]


@dataclass(slots=True)
class Admission:
    """Decision on a new connection.

    Parameters
    ----------
    holder : Holder, optional
        None if the connection is refused.
    reason : str
        Why it is refused, or why others are closed for it.
    evicted : list of Holder
        Connections without a message that are closed to make room.
    """

    holder: Holder | None
    reason: Reason | None = None
    evicted: list[Holder] = field(default_factory=list)


class Intake:
    """Accounting of all client connections of a process.

    Attributes
    ----------
    total : int
        Bytes that all connections hold.
    pressed : bool
        Reading from connections that hold much is paused.
    connections : int
        Number of registered connections.
    other_fds : int
        Descriptors in use for other purposes. `admit` raises it if it is too
        low; the adapter measures it from time to time.
    """

    def __init__(self, limits: IntakeLimits) -> None:
        self.limits = limits
        self.total = 0
        self.pressed = False
        self.connections = 0
        self.other_fds = 0
        self.paused: dict[int, Holder] = {}
        spare = max(MIN_PAUSE_BYTES, int(limits.budget_bytes * PAUSE_SHARE))
        self._pause_bytes = limits.budget_bytes - spare
        self._finish_bytes = limits.budget_bytes - FINISH_BYTES
        self._next_number = 1
        self._by_address: Counter[str] = Counter()
        self._unstarted: dict[int, Holder] = {}
        self._holding: dict[int, Holder] = {}
        self._finisher: Holder | None = None
        self._relieved_ms = 0.0
        self._relieved_total = 0

    def admit(self, now_ms: float, address: str, fd: int) -> Admission:
        """Decide on a new connection.

        Parameters
        ----------
        fd : int
            Its descriptor. The kernel assigns the lowest free number, so
            that at least this many descriptors were open before.
        """
        limits = self.limits
        evicted: list[Holder] = []
        reason: Reason | None = None
        self.other_fds = max(self.other_fds, fd - self.connections)
        used_fds = self.connections + self.other_fds
        if used_fds >= limits.max_fds - limits.reserved_fds:
            reason = 'descriptors'
            evicted = self._evict('')
        elif self._by_address[address] >= limits.max_connections_per_address:
            reason = 'address'
            evicted = self._evict(address)
        if reason is not None and not evicted:
            return Admission(None, reason)
        holder = Holder(self._next_number, address, now_ms)
        self._next_number += 1
        self._by_address[address] += 1
        self.connections += 1
        self._unstarted[holder.number] = holder
        return Admission(holder, reason, evicted)

    def start(self, holder: Holder) -> None:
        """Note the first complete message of a connection."""
        holder.started = True
        self._unstarted.pop(holder.number, None)

    def expect(self, holder: Holder, now_ms: float) -> None:
        """Treat a connection again as one that has sent no message."""
        if not holder.closed:
            holder.started = False
            holder.opened_ms = now_ms
            self._unstarted.pop(holder.number, None)
            self._unstarted[holder.number] = holder

    def release(self, holder: Holder) -> None:
        """Forget a connection."""
        if holder.closed:
            return
        holder.closed = True
        self.connections -= 1
        self.total -= holder.held
        holder.held = 0
        self._update_pressure()
        self._unstarted.pop(holder.number, None)
        self._holding.pop(holder.number, None)
        self.paused.pop(holder.number, None)
        if self._finisher is holder:
            self._finisher = None
        self._by_address[holder.address] -= 1
        if not self._by_address[holder.address]:
            del self._by_address[holder.address]

    def set_received(
        self, holder: Holder, now_ms: float, size: int, new_bytes: int
    ) -> list[Closing]:
        """Note the size of an incomplete message, and how much is new."""
        if holder.received == 0 or size == 0:
            holder.window_ms = now_ms
            holder.window_bytes = 0
        holder.window_bytes += new_bytes
        if holder is self._finisher:
            self._relieved_ms = now_ms
        change = size - holder.received
        holder.received = size
        return self._change(holder, change)

    def set_pending(self, holder: Holder, size: int) -> list[Closing]:
        """Note the size of the requests in progress."""
        change = size - holder.pending
        holder.pending = size
        return self._change(holder, change)

    def set_unsent(
        self, holder: Holder, now_ms: float, size: int
    ) -> list[Closing]:
        """Note the size of the unsent answers."""
        if holder.unsent == 0 or size < holder.unsent:
            holder.unsent_ms = now_ms
        change = size - holder.unsent
        holder.unsent = size
        return self._change(holder, change)

    def may_read(self, holder: Holder) -> bool:
        """Return whether to read from a connection now."""
        busy_bytes = holder.pending + holder.unsent
        if busy_bytes >= self.limits.connection_bytes:
            return False
        if not self.pressed or holder.held < FREE_BYTES:
            return True
        if self.total >= self._finish_bytes:
            return False
        finisher = self._finisher
        if finisher is None or not finisher.received:
            finisher = self._finisher = self._find_largest_message()
        return finisher is holder

    def pause(self, holder: Holder) -> None:
        """Note that reading from a connection is paused."""
        holder.paused = True
        self.paused[holder.number] = holder

    def resume(self, holder: Holder, now_ms: float) -> None:
        """Note that reading goes on; the message timeout starts again."""
        holder.paused = False
        holder.window_ms = now_ms
        holder.window_bytes = 0
        self.paused.pop(holder.number, None)

    def tick(self, now_ms: float) -> list[Closing]:
        """Return the connections to close because of a timeout."""
        closings = self._close_unstarted(now_ms)
        closings += self._close_stalled(now_ms)
        closings += self._close_without_relief(now_ms)
        return closings

    def _evict(self, address: str) -> list[Holder]:
        for holder in self._unstarted.values():
            if not address or holder.address == address:
                self.release(holder)
                return [holder]
        return []

    def _change(self, holder: Holder, change: int) -> list[Closing]:
        if holder.closed:
            return []
        holder.held += change
        self.total += change
        if holder.held:
            self._holding[holder.number] = holder
        else:
            self._holding.pop(holder.number, None)
        self._update_pressure()
        closings: list[Closing] = []
        while self.total >= self.limits.budget_bytes:
            closings.append(self._close_largest())
        return closings

    def _update_pressure(self) -> None:
        self.pressed = self.total >= self._pause_bytes

    def _close_largest(self) -> Closing:
        largest = max(self._holding.values(), key=lambda item: item.held)
        self.release(largest)
        return largest, 'memory'

    def _find_largest_message(self) -> Holder:
        return max(self._holding.values(), key=lambda item: item.received)

    def _close_unstarted(self, now_ms: float) -> list[Closing]:
        closings: list[Closing] = []
        for holder in list(self._unstarted.values()):
            if now_ms - holder.opened_ms < self.limits.start_timeout_ms:
                break  # all others are younger
            self.release(holder)
            closings.append((holder, 'start_timeout'))
        return closings

    def _close_stalled(self, now_ms: float) -> list[Closing]:
        closings: list[Closing] = []
        for holder in list(self._holding.values()):
            reason = self._find_stall(holder, now_ms)
            if reason is not None:
                self.release(holder)
                closings.append((holder, reason))
        return closings

    def _find_stall(self, holder: Holder, now_ms: float) -> Reason | None:
        limits = self.limits
        if holder.unsent:
            if now_ms - holder.unsent_ms >= limits.unread_timeout_ms:
                return 'unread'
        if not holder.received or holder.paused:
            return None
        if now_ms - holder.window_ms < limits.message_timeout_ms:
            return None
        if holder.window_bytes < MIN_PROGRESS_BYTES:
            return 'slow_message'
        holder.window_ms = now_ms
        holder.window_bytes = 0
        return None

    def _close_without_relief(self, now_ms: float) -> list[Closing]:
        relief = int(self.limits.budget_bytes * RELIEF_SHARE)
        if not self.pressed or self.total <= self._relieved_total - relief:
            self._relieved_ms = now_ms
            self._relieved_total = self.total
            return []
        self._relieved_total = max(self._relieved_total, self.total)
        if now_ms - self._relieved_ms < RELIEF_TIMEOUT_MS:
            return []
        self._relieved_ms = now_ms
        return [self._close_largest()]
