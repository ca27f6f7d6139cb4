"""Frames over one WebSocket connection.

Uses the I/O-free protocol of `websockets` on a trio stream: one task reads,
and frames are written without a task of their own. With thousands of mostly
idle callers this saves the reader and keepalive tasks that the library's own
trio connection keeps for each of them.
"""

from __future__ import annotations

import os
import ssl
from collections.abc import Iterator

import trio
from websockets.frames import Frame
from websockets.frames import Opcode
from websockets.protocol import Protocol
from websockets.protocol import State

from jackdawpost.core.errors import ProtocolError

READ_BYTES = 65_536
MAX_UNSENT_BYTES = 8 << 20
CLOSE_TIMEOUT_S = 2.0
NORMAL_CLOSURE = 1000


class LinkClosedError(ProtocolError):
    """The connection has ended."""


class FrameStream:
    """Sends and receives whole frames.

    Parameters
    ----------
    stream : trio.SocketStream or trio.SSLStream
        Connected transport.
    protocol : websockets.protocol.Protocol
        Protocol object after the opening handshake.
    peer : str
        Common name of the peer's certificate; empty without one.
    """

    def __init__(
        self,
        stream: trio.SocketStream | trio.SSLStream[trio.SocketStream],
        protocol: Protocol,
        peer: str = '',
    ) -> None:
        self.peer = peer
        self._stream = stream
        self._protocol = protocol
        self._unsent = bytearray()
        self._flushing = False
        self._closed = False
        self._ended = False
        self._parts: list[bytes] = []
        self._text = False
        self._frames: Iterator[bytes | str] = iter(())
        self._fd = (
            stream.socket.fileno()
            if isinstance(stream, trio.SocketStream)
            else None
        )

    @property
    def closed(self) -> bool:
        """Whether the connection has ended on this side."""
        return self._closed

    async def receive(self) -> bytes | str:
        """Return the next whole frame.

        Raises
        ------
        LinkClosedError
            The connection has ended.
        """
        while True:
            for frame in self._frames:
                return frame
            self._frames = iter(self._take_frames())
            for frame in self._frames:
                return frame
            if self._ended:
                raise LinkClosedError(self._describe_end())
            await self._read_more()

    def post(self, frame: bytes | str) -> None:
        """Send a frame without waiting; order is kept.

        A frame on a closed connection is dropped. A peer that lets more
        than 8 MiB pile up is cut off, so that it cannot fill the memory.
        """
        if self._closed or self._protocol.state is not State.OPEN:
            return
        if isinstance(frame, str):
            self._protocol.send_text(frame.encode())
        else:
            self._protocol.send_binary(frame)
        self._write_output()

    async def aclose(self, reason: str = '') -> None:
        """Send what is unsent, then close."""
        if self._closed:
            await self.abort()
            return
        with trio.move_on_after(CLOSE_TIMEOUT_S) as scope:
            scope.shield = True
            try:
                self._protocol.send_close(NORMAL_CLOSURE, reason[:120])
                self._write_output()
                while self._flushing:
                    await trio.sleep(0.005)
            except Exception:  # noqa: BLE001 - closing must not fail
                pass
        await self.abort()

    async def abort(self) -> None:
        """Close the transport at once."""
        self._closed = True
        await trio.aclose_forcefully(self._stream)

    def _take_frames(self) -> list[bytes | str]:
        frames: list[bytes | str] = []
        for event in self._protocol.events_received():
            if not isinstance(event, Frame):
                continue
            if event.opcode in (Opcode.TEXT, Opcode.BINARY):
                self._text = event.opcode is Opcode.TEXT
                self._parts = [bytes(event.data)]
            elif event.opcode is Opcode.CONT:
                self._parts.append(bytes(event.data))
            else:
                continue
            if event.fin:
                frames.append(self._join_parts())
        return frames

    def _join_parts(self) -> bytes | str:
        data = b''.join(self._parts)
        self._parts = []
        if not self._text:
            return data
        try:
            return data.decode()
        except UnicodeDecodeError as exc:
            raise LinkClosedError(f'text frame is not UTF-8: {exc}') from exc

    async def _read_more(self) -> None:
        if self._closed:
            raise LinkClosedError('connection closed')
        try:
            data = await self._stream.receive_some(READ_BYTES)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            ssl.SSLError,
        ) as exc:
            self._closed = True
            raise LinkClosedError(str(exc) or 'connection reset') from exc
        if data:
            self._protocol.receive_data(data)
        else:
            self._protocol.receive_eof()
        self._write_output()
        if not data or self._protocol.close_expected():
            if not self._protocol.close_expected() or not data:
                self._closed = True
            # Frames that came before the end are still delivered.
            self._ended = True

    def _describe_end(self) -> str:
        exc = self._protocol.parser_exc
        return str(exc) if exc is not None else 'connection closed by peer'

    def _write_output(self) -> None:
        chunks = self._protocol.data_to_send()
        for chunk in chunks:
            self._unsent += chunk
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

    def _write_now(self, fd: int) -> None:
        try:
            written = os.write(fd, self._unsent)
        except BlockingIOError:
            return
        except OSError:
            self._unsent.clear()
            return
        del self._unsent[:written]

    def _check_backlog(self) -> None:
        if len(self._unsent) > MAX_UNSENT_BYTES:
            self._closed = True
            trio.lowlevel.spawn_system_task(
                trio.aclose_forcefully, self._stream
            )

    async def _flush(self) -> None:
        try:
            while self._unsent and not self._closed:
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
