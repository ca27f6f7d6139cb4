"""Applies the intake limits of a process to the connections of its clients."""

from __future__ import annotations

import logging
import os
import random
from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
from types import TracebackType
from typing import Protocol

import trio

from jackdawpost.core.intake import Closing
from jackdawpost.core.intake import Holder
from jackdawpost.core.intake import Intake
from jackdawpost.core.intake import IntakeLimits
from jackdawpost.core.intake import Reason

LOG = logging.getLogger('jackdawpost')

MS_PER_SECOND = 1_000
TICK_S = 0.25
# While reading is paused somewhere.
PAUSED_TICK_S = 0.02
READ_BYTES = 65_536
# Less is read at a time while memory is short.
PRESSED_READ_BYTES = 4_096
FD_FOLDER = '/proc/self/fd'
MEASURE_INTERVAL_MS = 1_000
# At most one log line for each reason in this time.
LOG_INTERVAL_MS = 1_000
# Range of the advised time to the next attempt after a refusal. An evicted or
# refused client finds a place when others have been closed, which takes about
# a second in a flood.
MIN_RETRY_MS = 500
MAX_RETRY_MS = 1_500

CountMetric = Callable[[str], None]


class Closable(Protocol):
    """Part of a connection that must not be used after its closing."""

    closed: bool


def _ignore_count(name: str) -> None:
    """Count nothing; used by servers without metrics."""


class IntakeGuard:
    """Registers the connections of clients and closes those above a limit.

    Parameters
    ----------
    limits : IntakeLimits, optional
        Limits of the process; the defaults without it.
    count : callable
        Adds 1 to the metric with the given name.
    """

    def __init__(
        self,
        limits: IntakeLimits | None = None,
        count: CountMetric = _ignore_count,
    ) -> None:
        self.intake = Intake(limits or IntakeLimits())
        self._count = count
        self._connections: dict[int, GuardedConnection] = {}
        self._measured_ms = 0.0
        self._logged_ms: dict[Reason, float] = {}
        self._suppressed: Counter[Reason] = Counter()

    def admit(
        self, stream: trio.SocketStream, interface: str, refusal: bytes = b''
    ) -> GuardedConnection | None:
        """Register a new connection; close it and return None if refused.

        Parameters
        ----------
        interface : str
            Name of the listening address, for the log.
        refusal : bytes
            Sent to a refused client, with the advised time to the next
            attempt in milliseconds in place of ``%d``.
        """
        try:
            address = str(stream.socket.getpeername()[0])
        except OSError:  # closed by the client since it was accepted
            stream.socket.close()
            return None
        admission = self.intake.admit(
            _read_now_ms(), address, stream.socket.fileno()
        )
        for evicted in admission.evicted:
            self._close(evicted, 'descriptors')
        if admission.holder is None:
            assert admission.reason is not None
            self._report('refused', admission.reason, interface, address, 0)
            _refuse(stream, refusal)
            return None
        connection = GuardedConnection(
            self, admission.holder, stream, interface, refusal
        )
        self._connections[admission.holder.number] = connection
        return connection

    async def run(self) -> None:
        """Apply the timeouts until cancelled."""
        while True:
            await trio.sleep(PAUSED_TICK_S if self.intake.paused else TICK_S)
            self.close_all(self.intake.tick(_read_now_ms()))
            self._measure_fds()
            for holder in list(self.intake.paused.values()):
                self._connections[holder.number].resume_if_allowed()

    def close_all(self, closings: Iterable[Closing]) -> None:
        """Close connections that the accounting has released."""
        for holder, reason in closings:
            self._close(holder, reason)

    def remove(self, holder: Holder) -> None:
        """Forget a connection that has ended."""
        self.intake.release(holder)
        self._connections.pop(holder.number, None)

    def _measure_fds(self) -> None:
        """Count the descriptors of other kinds, where clients have many.

        Each count takes a millisecond for some thousand descriptors.
        """
        intake = self.intake
        now_ms = _read_now_ms()
        if intake.connections * 2 < intake.limits.max_fds:
            return
        if now_ms - self._measured_ms >= MEASURE_INTERVAL_MS:
            self._measured_ms = now_ms
            open_fds = len(os.listdir(FD_FOLDER))
            intake.other_fds = open_fds - intake.connections

    def _close(self, holder: Holder, reason: Reason) -> None:
        connection = self._connections.pop(holder.number)
        self._report(
            'closed',
            reason,
            connection.interface,
            holder.address,
            holder.received + holder.pending + holder.unsent,
        )
        connection.close()

    def _report(
        self,
        action: str,
        reason: Reason,
        interface: str,
        address: str,
        held_bytes: int,
    ) -> None:
        self._count(f'clients_{action}_{reason}')
        now_ms = _read_now_ms()
        if now_ms - self._logged_ms.get(reason, -LOG_INTERVAL_MS) < (
            LOG_INTERVAL_MS
        ):
            self._suppressed[reason] += 1
            return
        self._logged_ms[reason] = now_ms
        LOG.warning(
            'client_stopped',
            extra={
                'action': action,
                'reason': reason,
                'interface': interface,
                'address': address,
                'held_bytes': held_bytes,
                'total_bytes': self.intake.total,
                'more_since_last_line': self._suppressed.pop(reason, 0),
            },
        )


class GuardedConnection:
    """Registered connection; a context manager that ends the registration.

    Parameters
    ----------
    holder : Holder
        What the connection holds.
    """

    def __init__(
        self,
        guard: IntakeGuard,
        holder: Holder,
        stream: trio.SocketStream,
        interface: str,
        refusal: bytes,
    ) -> None:
        self.holder = holder
        self.interface = interface
        self.writer: Closable | None = None
        self._guard = guard
        self._intake = guard.intake
        self._stream = stream
        self._refusal = refusal
        self._resumed: trio.Event | None = None

    def __enter__(self) -> GuardedConnection:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.writer = None
        self._guard.remove(self.holder)

    def start(self) -> None:
        """Note the first complete message."""
        self._intake.start(self.holder)

    def expect(self) -> None:
        """Apply the timeout for the first message again, to the next one."""
        self._intake.expect(self.holder, _read_now_ms())

    def set_received(self, size: int, new_bytes: int) -> None:
        """Note the size of an incomplete message, and how much is new."""
        self._guard.close_all(
            self._intake.set_received(
                self.holder, _read_now_ms(), size, new_bytes
            )
        )

    def set_pending(self, size: int) -> None:
        """Note the size of the requests in progress."""
        self._guard.close_all(self._intake.set_pending(self.holder, size))
        self.resume_if_allowed()

    def set_unsent(self, size: int) -> None:
        """Note the size of the unsent answers."""
        self._guard.close_all(
            self._intake.set_unsent(self.holder, _read_now_ms(), size)
        )
        self.resume_if_allowed()

    async def wait_until_readable(self) -> None:
        """Wait while reading from the connection is paused.

        Raises
        ------
        trio.ClosedResourceError
            The connection was closed in the meantime.
        """
        intake = self._intake
        while not self._is_closed() and not intake.may_read(self.holder):
            self._resumed = trio.Event()
            intake.pause(self.holder)
            await self._resumed.wait()
        if self._is_closed():
            raise trio.ClosedResourceError('connection closed')

    @property
    def read_bytes(self) -> int:
        """Number of bytes to read at a time."""
        return PRESSED_READ_BYTES if self._intake.pressed else READ_BYTES

    def resume_if_allowed(self) -> None:
        """Let a paused reader go on if the limits allow it."""
        if self._resumed is not None and self._intake.may_read(self.holder):
            self.wake_reader()

    def close(self) -> None:
        """Close the socket at once, with a refusal if no request was sent."""
        if self.writer is not None:
            self.writer.closed = True
        refusal = b'' if self.holder.started else self._refusal
        _refuse(self._stream, refusal)
        self.wake_reader()

    def wake_reader(self) -> None:
        """Let a paused reader look again whether it may read."""
        if self._resumed is not None:
            self._resumed.set()
            self._resumed = None
            self._intake.resume(self.holder, _read_now_ms())

    def _is_closed(self) -> bool:
        return self.holder.closed or (
            self.writer is not None and self.writer.closed
        )


def _refuse(stream: trio.SocketStream, refusal: bytes) -> None:
    if refusal:
        retry_ms = random.randint(MIN_RETRY_MS, MAX_RETRY_MS)
        try:
            os.write(
                stream.socket.fileno(),
                refusal.replace(b'%d', b'%d' % retry_ms),
            )
        except OSError:
            pass  # the client does not read, or is gone
    stream.socket.close()


def _read_now_ms() -> float:
    return trio.current_time() * MS_PER_SECOND
