"""TCP relay on loopback that delays, blocks and resets connections."""

from __future__ import annotations

import random
import re
import socket
import struct
import time
from dataclasses import dataclass
from dataclasses import field
from typing import Literal

import trio

Mode = Literal['pass', 'delay', 'silent', 'one_way']
READ_BYTES = 65_536
POLL_INTERVAL_S = 0.02  # of blocked data
DELAY_S = 0.15
# SO_LINGER with a timeout of 0 s: close() sends a reset.
_LINGER_RESET = struct.pack('ii', 1, 0)
_REQUEST_PATTERN = re.compile(rb'QUERY (\S+) ')


@dataclass(eq=False)
class _RelayedConnection:
    client: trio.SocketStream
    server: trio.SocketStream
    is_affected: bool = False


@dataclass
class Relay:
    """Forwards connections to a port, with the fault set by `mode`.

    Blocked data is forwarded once the fault ends, like data that TCP
    retransmits after a network partition.

    Parameters
    ----------
    rng : random.Random
        Selects the connections affected by a fault.
    port : int
        Port on 127.0.0.1 to which connections are forwarded.
    mode : str
        ``'delay'`` delays all data, ``'silent'`` blocks both directions,
        ``'one_way'`` blocks only answers, ``'pass'`` has no effect.
    share : float
        Fraction of the connections affected by the mode.
    arrivals : dict of str to float
        Time on the monotonic clock at which each request id was first
        received, before the delay of a fault.
    """

    rng: random.Random
    port: int = 0
    mode: Mode = 'pass'
    share: float = 1.0
    arrivals: dict[str, float] = field(default_factory=dict)
    _connections: list[_RelayedConnection] = field(default_factory=list)

    def set_mode(self, mode: Mode, share: float) -> None:
        """Apply a mode to a fraction of the open and new connections."""
        self.mode = mode
        self.share = share
        for connection in self._connections:
            connection.is_affected = self.rng.random() < share

    def reset(self, share: float) -> None:
        """Reset a fraction of the open connections."""
        for connection in self._connections:
            if self.rng.random() < share:
                for stream in (connection.client, connection.server):
                    _close_with_reset(stream)

    async def serve(self, client: trio.SocketStream) -> None:
        """Forward one connection until either end closes it."""
        try:
            server = await trio.open_tcp_stream('127.0.0.1', self.port)
        except OSError:
            _close_with_reset(client)
            return
        is_affected = self.rng.random() < self.share
        connection = _RelayedConnection(client, server, is_affected)
        self._connections.append(connection)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._forward, connection, client, server, False, nursery
                )
                nursery.start_soon(
                    self._forward, connection, server, client, True, nursery
                )
        finally:
            self._connections.remove(connection)
            for stream in (client, server):
                _close_with_reset(stream)

    async def _forward(
        self,
        connection: _RelayedConnection,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        is_answer: bool,
        nursery: trio.Nursery,
    ) -> None:
        try:
            while data := await source.receive_some(READ_BYTES):
                if not is_answer:
                    for request_id in _REQUEST_PATTERN.findall(data):
                        self.arrivals.setdefault(
                            request_id.decode(), time.monotonic()
                        )
                if connection.is_affected and self.mode == 'delay':
                    await trio.sleep(DELAY_S)
                while connection.is_affected and self._is_blocked(is_answer):
                    await trio.sleep(POLL_INTERVAL_S)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # one end has closed; serve() closes the other
        nursery.cancel_scope.cancel()

    def _is_blocked(self, is_answer: bool) -> bool:
        return self.mode == 'silent' or (self.mode == 'one_way' and is_answer)


def _close_with_reset(stream: trio.SocketStream) -> None:
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    except OSError:
        return  # already closed
    stream.socket.close()
