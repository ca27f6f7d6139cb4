"""Lines that end in CR LF, on a TCP connection."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from jackdawpost.errors import EncodingError
from jackdawpost.wire.byte_writer import ByteWriter
from jackdawpost.wire.codec import FrameError
from jackdawpost.wire.intake_guard import GuardedConnection
from jackdawpost.wire.intake_guard import READ_BYTES
from jackdawpost.wire.link import LinkRefusedError
from jackdawpost.wire.link import LinkTimeoutError
from jackdawpost.wire.sockets import enable_keepalive
from jackdawpost.wire.sockets import open_tcp_stream
from jackdawpost.wire.sockets import PEER_KEEPALIVE_TIMEOUT_MS
from jackdawpost.wire.sockets import receive_bytes
from jackdawpost.wire.stream import LinkClosedError

MAX_LINE_BYTES = 1 << 20
MS_PER_SECOND = 1_000
LINE_END = b'\r\n'
MAX_QUOTED_CHARS = 80


def check_word(text: str) -> str:
    """Return a text that may be any field of a line, or raise.

    Raises
    ------
    EncodingError
        The text is empty or contains a blank.
    """
    if not text or ' ' in text:
        raise EncodingError(
            f'malformed field {text[:MAX_QUOTED_CHARS]!r}, expected one word'
        )
    return text


def encode_line(text: str, errors: str) -> bytes:
    """Encode one line and its line end.

    Parameters
    ----------
    errors : str
        Error handler of the UTF-8 codec.

    Raises
    ------
    EncodingError
        The text contains a CR or LF, so that the rest of it would be read as
        another line, or it is not valid UTF-8.
    """
    if '\r' in text or '\n' in text:
        raise EncodingError(
            f'malformed line {text[:MAX_QUOTED_CHARS]!r}, expected no CR or LF'
        )
    try:
        return text.encode(errors=errors) + LINE_END
    except UnicodeEncodeError as exc:
        raise EncodingError(f'malformed line: {exc}') from exc


class LineStream:
    """Stream of complete lines over one TCP connection.

    Parameters
    ----------
    guarded : GuardedConnection, optional
        Registration of a client's connection, which is told what the
        connection holds.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        guarded: GuardedConnection | None = None,
    ) -> None:
        self.guarded = guarded
        self._holder = guarded.holder if guarded is not None else None
        self._stream = stream
        self._writer = ByteWriter(stream, guarded)
        self._buffer = bytearray()

    async def receive(self) -> bytes:
        """Wait for a complete line and return all complete lines received.

        The lines are returned with their line ends.

        Raises
        ------
        LinkClosedError
            The connection is closed.
        FrameError
            A line is longer than 1 MiB.
        """
        while True:
            if self._writer.closed:
                raise LinkClosedError('connection closed')
            max_bytes = READ_BYTES
            try:
                if self._holder is not None and self._holder.held:
                    max_bytes = await self._wait_until_readable()
                data = await receive_bytes(self._stream, max_bytes)
            except (OSError, trio.ClosedResourceError) as exc:
                # Operators search the logs for the text 'reset'.
                raise LinkClosedError(str(exc) or 'reset') from exc
            if not data:
                raise LinkClosedError('connection closed by peer')
            if data.endswith(LINE_END) and not self._buffer:
                # Most reads: complete lines and nothing else.
                if self._holder is not None and not self._holder.started:
                    self._note_lines()
                return data
            lines = self._split_lines(data)
            if lines:
                return lines
            if len(self._buffer) > MAX_LINE_BYTES:
                raise FrameError('line is too long, expected at most 1 MiB')

    def post(self, *frames: bytes | str) -> None:
        """Send lines without waiting; drop them if the stream is closed."""
        lines = b''.join(frame for frame in frames if isinstance(frame, bytes))
        if not self._writer.closed:
            self._writer.write(lines)

    async def aclose(self, reason: str = '') -> None:
        """Send the unsent data for at most 1 s, then close."""
        with trio.move_on_after(1) as scope:
            scope.shield = True
            await self._writer.drain()
        await self.abort()

    async def abort(self) -> None:
        """Close the connection and drop unsent data."""
        await self._writer.abort()

    async def _wait_until_readable(self) -> int:
        """Wait while reading is paused; return how much to read."""
        assert self.guarded is not None
        await self.guarded.wait_until_readable()
        return self.guarded.read_bytes

    def _split_lines(self, data: bytes) -> bytes:
        """Append received data and remove all complete lines."""
        # What was there before contains at most the first byte of a line end.
        # A search from the start would take quadratic time for a line that is
        # received in single bytes.
        start = max(0, len(self._buffer) - len(LINE_END) + 1)
        self._buffer += data
        end = self._buffer.rfind(LINE_END, start)
        lines = b''
        if end >= 0:
            lines = bytes(self._buffer[: end + len(LINE_END)])
            del self._buffer[: end + len(LINE_END)]
            self._note_lines()
        if self.guarded is not None:
            self.guarded.set_received(len(self._buffer), len(data))
        return lines

    def _note_lines(self) -> None:
        if self.guarded is not None and not self.guarded.holder.started:
            self.guarded.start()


@asynccontextmanager
async def open_line_stream(
    host: str, port: int, timeout_ms: float
) -> AsyncIterator[LineStream]:
    """Connect to an address; the connection is closed on exit.

    Raises
    ------
    LinkRefusedError
        The connection failed.
    LinkTimeoutError
        The other end did not accept the connection in time.
    """
    address = f'{host}:{port}'
    try:
        with trio.fail_after(timeout_ms / MS_PER_SECOND):
            stream = await open_tcp_stream(host, port)
    except trio.TooSlowError as exc:
        raise LinkTimeoutError(
            f'{address}: no answer within {timeout_ms} ms'
        ) from exc
    except OSError as exc:
        raise LinkRefusedError(f'{address}: {exc}') from exc
    enable_keepalive(stream, PEER_KEEPALIVE_TIMEOUT_MS)
    lines = LineStream(stream)
    try:
        yield lines
    finally:
        await lines.abort()
