"""Buffered, non-blocking writes to a TCP or TLS connection."""

from __future__ import annotations

import os
import ssl

import trio

from jackdawpost.wire.intake_guard import GuardedConnection

MAX_UNSENT_BYTES = 8 << 20
DRAIN_POLL_INTERVAL_S = 0.005
# Sent at a time by the background task, so that the memory of what has been
# sent is released early.
FLUSH_BYTES = 65_536


class ByteWriter:
    """Writes to a transport without blocking the caller.

    Bytes that the socket does not accept immediately are buffered and sent
    in order by a background task. The transport is aborted when the buffer
    exceeds 8 MiB, because a peer that does not read could otherwise exhaust
    the memory.

    Parameters
    ----------
    stream : trio.SocketStream or trio.SSLStream
        Connected transport.
    guarded : GuardedConnection, optional
        Registration of a client's connection, which is told what is unsent.

    Attributes
    ----------
    closed : bool
        True once this process closes the transport. The owner of the writer
        sets it if the peer has closed the transport or reading from it has
        failed.
    """

    def __init__(
        self,
        stream: trio.SocketStream | trio.SSLStream[trio.SocketStream],
        guarded: GuardedConnection | None = None,
    ) -> None:
        self.closed = False
        self._stream = stream
        self._unsent = bytearray()
        self._flushing = False
        self._guarded = guarded
        if guarded is not None:
            guarded.writer = self
            # It may have been closed since it was registered.
            self.closed = guarded.holder.closed
        self._fd = (
            stream.socket.fileno()
            if isinstance(stream, trio.SocketStream)
            else None
        )

    def write(self, data: bytes) -> None:
        """Send bytes; they are dropped if the transport has failed.

        Must not be called after `abort`: the file descriptor may already
        belong to another connection.
        """
        if self.closed:
            return
        self._unsent += data
        if not self._unsent:
            return
        if self._flushing:
            self._note_unsent()
            self._abort_if_over_limit()
            return
        if self._fd is not None:
            self._write_now(self._fd)
        if self._unsent:
            self._note_unsent()
            self._flushing = True
            # Unlike a nursery, a system task costs an idle connection
            # nothing. `_flush` handles all transport errors, because an
            # exception in a system task would crash the program.
            trio.lowlevel.spawn_system_task(self._flush)

    async def drain(self) -> None:
        """Wait until all bytes are sent or the transport has failed."""
        while self._flushing:
            await trio.sleep(DRAIN_POLL_INTERVAL_S)

    async def abort(self) -> None:
        """Close the transport immediately and drop unsent bytes."""
        self._mark_closed()
        await trio.aclose_forcefully(self._stream)

    def _write_now(self, fd: int) -> None:
        try:
            written = os.write(fd, self._unsent)
        except BlockingIOError:
            return
        except OSError:
            # The task that reads from the connection reports the error.
            self._unsent.clear()
            return
        del self._unsent[:written]

    def _mark_closed(self) -> None:
        self.closed = True
        if self._guarded is not None:
            self._guarded.wake_reader()

    def _note_unsent(self) -> None:
        if self._guarded is not None:
            self._guarded.set_unsent(len(self._unsent))

    def _abort_if_over_limit(self) -> None:
        if len(self._unsent) > MAX_UNSENT_BYTES and not self.closed:
            self._mark_closed()
            trio.lowlevel.spawn_system_task(
                trio.aclose_forcefully, self._stream
            )

    async def _flush(self) -> None:
        try:
            while self._unsent and not self.closed:
                data = bytes(self._unsent[:FLUSH_BYTES])
                await self._stream.send_all(data)
                del self._unsent[: len(data)]
                self._note_unsent()
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            ssl.SSLError,
        ):
            self._unsent.clear()
            self._note_unsent()
        finally:
            self._flushing = False
