"""Stand-in for a caller that speaks the platform's line protocol."""

from __future__ import annotations

from dataclasses import dataclass

import trio


class SessionLostError(Exception):
    """The connection has ended before an answer was complete."""


@dataclass
class LineCaller:
    """A session over a connection to a pooler.

    Parameters
    ----------
    buffer : bytes
        Received bytes that belong to no answer yet.
    """

    stream: trio.SocketStream
    buffer: bytes = b''

    async def ask(self, line: str) -> list[str]:
        """Send a line and return its answer up to ``READY``.

        Raises
        ------
        SessionLostError
            The connection ended first.
        """
        lines: list[str] = []
        try:
            await self.stream.send_all(line.encode() + b'\r\n')
            while not lines or not lines[-1].startswith('READY'):
                while b'\r\n' not in self.buffer:
                    data = await self.stream.receive_some(65_536)
                    if not data:
                        raise SessionLostError(
                            f'{line!r}: closed after {lines}'
                        )
                    self.buffer += data
                text, _, self.buffer = self.buffer.partition(b'\r\n')
                lines.append(text.decode())
        except trio.BrokenResourceError as exc:
            raise SessionLostError(f'{line!r}: broken after {lines}') from exc
        return lines
