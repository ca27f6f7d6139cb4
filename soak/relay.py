"""Loopback relay that delays, resets, cuts or silences connections."""

from __future__ import annotations

import random
import socket
import struct
from dataclasses import dataclass
from dataclasses import field
from typing import Literal

import trio

Mode = Literal['pass', 'delay', 'silent', 'one_way']
READ_BYTES = 65_536
POLL_S = 0.02  # between looks whether a cut has healed
DELAY_S = 0.15
# Close with a reset: no lingering, at once.
_ABORT = struct.pack('ii', 1, 0)


@dataclass(eq=False)
class _Pair:
    near: trio.SocketStream
    far: trio.SocketStream
    is_touched: bool = False


@dataclass
class Relay:
    """Passes connections on to an address, under the fault set in `mode`.

    What a cut holds back is delivered once it heals, as a network does that
    sends again.

    Parameters
    ----------
    port : int
        Where it passes connections on to.
    mode : str
        ``'one_way'`` holds back answers only.
    share : float
        Part of the connections that the mode touches.
    """

    rng: random.Random
    port: int = 0
    mode: Mode = 'pass'
    share: float = 1.0
    _pairs: list[_Pair] = field(default_factory=list)

    def set_mode(self, mode: Mode, share: float) -> None:
        """Put old and new connections under a fault."""
        self.mode = mode
        self.share = share
        for pair in self._pairs:
            pair.is_touched = self.rng.random() < share

    def reset(self, share: float) -> None:
        """Reset a part of the open connections."""
        for pair in self._pairs:
            if self.rng.random() < share:
                for stream in (pair.near, pair.far):
                    _abort(stream)

    async def serve(self, near: trio.SocketStream) -> None:
        """Pass one connection on until an end closes it."""
        try:
            far = await trio.open_tcp_stream('127.0.0.1', self.port)
        except OSError:
            _abort(near)
            return
        touched = self.rng.random() < self.share
        pair = _Pair(near, far, touched)
        self._pairs.append(pair)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, pair, near, far, False, nursery)
                nursery.start_soon(self._copy, pair, far, near, True, nursery)
        finally:
            self._pairs.remove(pair)
            for stream in (near, far):
                _abort(stream)

    async def _copy(
        self,
        pair: _Pair,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        is_answer: bool,
        nursery: trio.Nursery,
    ) -> None:
        try:
            while data := await source.receive_some(READ_BYTES):
                if pair.is_touched and self.mode == 'delay':
                    await trio.sleep(DELAY_S)
                while pair.is_touched and self._holds_back(is_answer):
                    await trio.sleep(POLL_S)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # either end has gone: so does the other
        nursery.cancel_scope.cancel()

    def _holds_back(self, is_answer: bool) -> bool:
        return self.mode == 'silent' or (self.mode == 'one_way' and is_answer)


def _abort(stream: trio.SocketStream) -> None:
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ABORT)
    except OSError:
        return  # closed already
    stream.socket.close()
