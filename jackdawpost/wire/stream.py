"""Sends and receives WebSocket frames on a trio stream.

Uses the I/O-free protocol objects of `websockets`. The trio connection of that
library runs a reader task and a keepalive task for each connection. Here the
task that serves a connection also reads from it, and frames are written
without a separate task. This saves resources with thousands of mostly idle
callers.
"""

from __future__ import annotations

from collections.abc import Iterator

import trio
from websockets.frames import Frame
from websockets.frames import Opcode
from websockets.protocol import Protocol
from websockets.protocol import State

from jackdawpost.errors import ProtocolError
from jackdawpost.wire.byte_writer import ByteWriter
from jackdawpost.wire.intake_guard import GuardedConnection
from jackdawpost.wire.sockets import receive_bytes

READ_BYTES = 65_536
CLOSE_TIMEOUT_S = 2.0
NORMAL_CLOSURE = 1000
# Memory of a fragment apart from its data: a message may have any number of
# empty ones.
FRAGMENT_BYTES = 64


class LinkClosedError(ProtocolError):
    """The connection is closed or has failed."""


class FrameStream:
    """WebSocket connection that sends and receives complete frames.

    A frame is a whole WebSocket message, whose fragments are joined.

    Parameters
    ----------
    stream : trio.SocketStream or trio.SSLStream
        Connected transport.
    protocol : websockets.protocol.Protocol
        Protocol object after the opening handshake.
    peer : str
        Common name of the peer's certificate; empty if it sent none.
    guarded : GuardedConnection, optional
        Registration of a client's connection, which is told what the
        connection holds.
    """

    def __init__(
        self,
        stream: trio.SocketStream | trio.SSLStream[trio.SocketStream],
        protocol: Protocol,
        peer: str = '',
        guarded: GuardedConnection | None = None,
    ) -> None:
        self.peer = peer
        self.guarded = guarded
        self._holder = guarded.holder if guarded is not None else None
        self._stream = stream
        self._protocol = protocol
        self._writer = ByteWriter(stream, guarded)
        self._end_received = False
        self._fragments: list[bytes] = []
        self._fragment_bytes = 0
        self._new_bytes = 0
        self._reader = protocol.reader
        self._is_text = False
        self._parsed_frames: Iterator[bytes | str] = iter(())

    @property
    def closed(self) -> bool:
        """True after the connection was closed by either side or failed."""
        return self._writer.closed

    async def receive(self) -> bytes | str:
        """Wait for the next complete frame and return it.

        Raises
        ------
        LinkClosedError
            The connection is closed or has failed.
        """
        while True:
            for frame in self._parsed_frames:
                return frame
            self._parsed_frames = iter(self._parse_frames())
            if self._holder is not None and (
                self._reader.buffer
                or self._fragment_bytes
                or self._holder.received
            ):
                self._note_incomplete()
            for frame in self._parsed_frames:
                return frame
            if self._end_received:
                raise LinkClosedError(self._describe_close())
            await self._read_transport()

    def post(self, *frames: bytes | str) -> None:
        """Send frames without blocking, in order.

        On a closed connection the frames are dropped. The connection is
        aborted when more than 8 MiB are unsent, because a peer that does not
        read could otherwise exhaust the memory.
        """
        if self._writer.closed or self._protocol.state is not State.OPEN:
            return
        for frame in frames:
            if isinstance(frame, str):
                self._protocol.send_text(frame.encode())
            else:
                self._protocol.send_binary(frame)
        self._write_output()

    async def aclose(self, reason: str = '') -> None:
        """Send the remaining output and a close frame, then close."""
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
        """Close the transport immediately, without the closing handshake."""
        await self._writer.abort()

    def _parse_frames(self) -> list[bytes | str]:
        frames: list[bytes | str] = []
        for event in self._protocol.events_received():
            if not isinstance(event, Frame):
                continue
            if event.opcode in (Opcode.TEXT, Opcode.BINARY):
                self._is_text = event.opcode is Opcode.TEXT
                self._fragments = [bytes(event.data)]
            elif event.opcode is Opcode.CONT:
                self._fragments.append(bytes(event.data))
            else:
                continue
            if event.fin:
                frames.append(self._join_fragments())
            else:
                self._fragment_bytes += len(event.data) + FRAGMENT_BYTES
        return frames

    def _join_fragments(self) -> bytes | str:
        data = b''.join(self._fragments)
        self._fragments = []
        self._fragment_bytes = 0
        if not self._is_text:
            return data
        try:
            return data.decode()
        except UnicodeDecodeError as exc:
            raise LinkClosedError(
                f'text frame is not valid UTF-8: {exc}'
            ) from exc

    async def _read_transport(self) -> None:
        if self._writer.closed:
            raise LinkClosedError('connection closed')
        data: bytes | bytearray
        max_bytes = READ_BYTES
        try:
            if self._holder is not None and self._holder.held:
                max_bytes = await self._wait_until_readable()
            if isinstance(self._stream, trio.SocketStream):
                data = await receive_bytes(self._stream, max_bytes)
            else:
                data = await self._stream.receive_some(max_bytes)
        except (
            OSError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ) as exc:
            self._writer.closed = True
            raise LinkClosedError(str(exc) or 'connection reset') from exc
        if data:
            self._protocol.receive_data(data)
            self._new_bytes = len(data)
        else:
            self._protocol.receive_eof()
        self._write_output()
        if not data or self._protocol.close_expected():
            if not self._protocol.close_expected() or not data:
                self._writer.closed = True
            # Frames received before the end are still returned by `receive`.
            self._end_received = True

    def _note_incomplete(self) -> None:
        """Tell the size of an incomplete frame, or that there is none now."""
        size = len(self._reader.buffer) + self._fragment_bytes
        new_bytes, self._new_bytes = self._new_bytes, 0
        if self.guarded is not None:
            self.guarded.set_received(size, new_bytes)

    async def _wait_until_readable(self) -> int:
        """Wait while reading is paused; return how much to read."""
        assert self.guarded is not None
        await self.guarded.wait_until_readable()
        return self.guarded.read_bytes

    def _describe_close(self) -> str:
        exc = self._protocol.parser_exc
        return str(exc) if exc is not None else 'connection closed by peer'

    def _write_output(self) -> None:
        self._writer.write(b''.join(self._protocol.data_to_send()))
