"""Writes bytes to a transport without waiting, in order."""

from __future__ import annotations

import os
import ssl

import trio

MAX_UNSENT_BYTES = 8 << 20
FLUSH_POLL_S = 0.005


class ByteWriter:
    """Sends at once what the transport takes, the rest in the background.

    A peer that lets more than 8 MiB pile up is cut off, so that it cannot
    fill the memory.

    Parameters
    ----------
    stream : trio.SocketStream or trio.SSLStream
        Connected transport.
    """

    def __init__(
        self, stream: trio.SocketStream | trio.SSLStream[trio.SocketStream]
    ) -> None:
        self.closed = False
        self._stream = stream
        self._unsent = bytearray()
        self._flushing = False
        self._fd = (
            stream.socket.fileno()
            if isinstance(stream, trio.SocketStream)
            else None
        )

    def write(self, data: bytes) -> None:
        """Send bytes; those for a closed transport are dropped."""
        self._unsent += data
        if not self._unsent or self._flushing:
            self._check_backlog()
            return
        if self._fd is not None:
            self._write_now(self._fd)
        if self._unsent:
            self._flushing = True
            # A system task costs an idle connection nothing, unlike a
            # nursery; _flush handles every error of the transport itself.
            trio.lowlevel.spawn_system_task(self._flush)

    async def drain(self) -> None:
        """Wait until everything is sent or the transport has failed."""
        while self._flushing:
            await trio.sleep(FLUSH_POLL_S)

    async def abort(self) -> None:
        """Close the transport at once."""
        self.closed = True
        await trio.aclose_forcefully(self._stream)

    def _write_now(self, fd: int) -> None:
        try:
            written = os.write(fd, self._unsent)
        except BlockingIOError:
            return
        except OSError:
            # The reader of the connection reports its end.
            self._unsent.clear()
            return
        del self._unsent[:written]

    def _check_backlog(self) -> None:
        if len(self._unsent) > MAX_UNSENT_BYTES:
            self.closed = True
            trio.lowlevel.spawn_system_task(
                trio.aclose_forcefully, self._stream
            )

    async def _flush(self) -> None:
        try:
            while self._unsent and not self.closed:
                data = bytes(self._unsent)
                self._unsent.clear()
                await self._stream.send_all(data)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            ssl.SSLError,
        ):
            self._unsent.clear()
        finally:
            self._flushing = False
