"""Frames over one WebSocket connection.

Uses the I/O-free protocol of `websockets` on a trio stream: one task reads,
and frames are written without a task of their own. With thousands of mostly
idle callers this saves the reader and keepalive tasks that the library's own
trio connection keeps for each of them.
"""

from __future__ import annotations

import ssl
from collections.abc import Iterator

import trio
from websockets.frames import Frame
from websockets.frames import Opcode
from websockets.protocol import Protocol
from websockets.protocol import State

from jackdawpost.errors import ProtocolError
from jackdawpost.wire.byte_writer import ByteWriter

READ_BYTES = 65_536
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
        self._writer = ByteWriter(stream)
        self._ended = False
        self._parts: list[bytes] = []
        self._text = False
        self._frames: Iterator[bytes | str] = iter(())

    @property
    def closed(self) -> bool:
        """Whether the connection has ended on this side."""
        return self._writer.closed

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
        if self._writer.closed or self._protocol.state is not State.OPEN:
            return
        if isinstance(frame, str):
            self._protocol.send_text(frame.encode())
        else:
            self._protocol.send_binary(frame)
        self._write_output()

    async def aclose(self, reason: str = '') -> None:
        """Send what is unsent, then close."""
        if self._writer.closed:
            await self.abort()
            return
        with trio.move_on_after(CLOSE_TIMEOUT_S) as scope:
            scope.shield = True
            try:
                self._protocol.send_close(NORMAL_CLOSURE, reason[:120])
                self._write_output()
                await self._writer.drain()
            except Exception:  # noqa: BLE001 - closing must not fail
                pass
        await self.abort()

    async def abort(self) -> None:
        """Close the transport at once."""
        await self._writer.abort()

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
        if self._writer.closed:
            raise LinkClosedError('connection closed')
        try:
            data = await self._stream.receive_some(READ_BYTES)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            ssl.SSLError,
        ) as exc:
            self._writer.closed = True
            raise LinkClosedError(str(exc) or 'connection reset') from exc
        if data:
            self._protocol.receive_data(data)
        else:
            self._protocol.receive_eof()
        self._write_output()
        if not data or self._protocol.close_expected():
            if not self._protocol.close_expected() or not data:
                self._writer.closed = True
            # Frames that came before the end are still delivered.
            self._ended = True

    def _describe_end(self) -> str:
        exc = self._protocol.parser_exc
        return str(exc) if exc is not None else 'connection closed by peer'

    def _write_output(self) -> None:
        self._writer.write(b''.join(self._protocol.data_to_send()))
