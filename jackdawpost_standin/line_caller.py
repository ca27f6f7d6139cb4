"""Client of the line protocol of the platform, for tests."""

from __future__ import annotations

from dataclasses import dataclass

import trio


class SessionLostError(Exception):
    """The connection ended before an answer was complete.

    Parameters
    ----------
    lines : list of str
        Complete lines of the answer that were received.
    """

    def __init__(self, text: str, lines: list[str]) -> None:
        super().__init__(text)
        self.lines = lines


@dataclass
class LineCaller:
    """Session over a connection to a pooler or a database.

    Parameters
    ----------
    stream : trio.SocketStream
        Open connection.
    buffer : bytes
        Received bytes that are not parsed yet.
    """

    stream: trio.SocketStream
    buffer: bytes = b''

    async def request(self, line: str) -> list[str]:
        """Send a line and return the lines of its answer, ``READY`` included.

        Raises
        ------
        SessionLostError
            The connection ended before the ``READY`` line.
        """
        lines: list[str] = []
        try:
            await self.stream.send_all(line.encode() + b'\r\n')
            while not lines or not lines[-1].startswith('READY'):
                while b'\r\n' not in self.buffer:
                    data = await self.stream.receive_some(65_536)
                    if not data:
                        raise SessionLostError(
                            f'connection closed after request {line!r}: '
                            f'received {lines}, expected a READY line',
                            lines,
                        )
                    self.buffer += data
                text, _, self.buffer = self.buffer.partition(b'\r\n')
                lines.append(text.decode())
        except trio.BrokenResourceError as exc:
            raise SessionLostError(
                f'connection broken after request {line!r}: '
                f'received {lines}, expected a READY line',
                lines,
            ) from exc
        return lines
