"""Frame connection with simulated latency and injected faults."""

from __future__ import annotations

from collections import deque

import trio

from jackdawpost.runtime.timers import MS_PER_SECOND
from jackdawpost.wire.stream import FrameStream
from jackdawpost.wire.stream import LinkClosedError
from jackdawpost_standin.faults import FaultInjector


class PeerLink:
    """Sends frames to one peer and receives its frames, in order.

    Parameters
    ----------
    stream : FrameStream
        Open connection to the peer.
    faults : FaultInjector
        Decides whether the traffic with the peer is dropped.
    nursery : trio.Nursery
        Runs the tasks that delay frames; cancelled with the connection.
    peer : str
        Name of the peer; empty until the peer has sent it.
    latency_ms : float
        One-way latency, in milliseconds.
    """

    def __init__(
        self,
        stream: FrameStream,
        faults: FaultInjector,
        nursery: trio.Nursery,
        peer: str = '',
        latency_ms: float = 0.0,
    ) -> None:
        self.peer = peer
        self.purpose = ''
        self.silent = False
        self._stream = stream
        self._faults = faults
        self._nursery = nursery
        self._latency_ms = latency_ms
        self._outgoing: deque[tuple[float, bytes | str]] = deque()
        self._sending = False
        self._incoming: (
            trio.MemoryReceiveChannel[tuple[float, bytes | str]] | None
        ) = None

    def set_latency(self, latency_ms: float) -> None:
        """Set the one-way latency once the peer is known."""
        self._latency_ms = latency_ms

    async def receive(self) -> bytes | str:
        """Return the next frame that is not dropped by an injected fault.

        Raises
        ------
        LinkClosedError
            The connection has ended.
        """
        while True:
            frame = await self._receive_after_latency()
            if not self._is_blocked():
                return frame
            self._faults.dropped_frames += 1

    def post(self, frame: bytes | str, delay_ms: float = 0.0) -> None:
        """Send a frame after the latency plus `delay_ms`."""
        delay_ms += self._latency_ms
        if delay_ms <= 0 and not self._outgoing:
            self._post_unless_blocked(frame)
            return
        due_s = trio.current_time() + delay_ms / MS_PER_SECOND
        self._outgoing.append((due_s, frame))
        if not self._sending:
            self._sending = True
            self._nursery.start_soon(self._send_delayed)

    async def aclose(self, reason: str = '') -> None:
        """Close the connection."""
        await self._stream.aclose(reason)

    async def abort(self) -> None:
        """Close the connection without a closing handshake."""
        await self._stream.abort()

    def _is_blocked(self) -> bool:
        return self.silent or self._faults.is_isolated_from(self.peer)

    def _post_unless_blocked(self, frame: bytes | str) -> None:
        if self._is_blocked():
            self._faults.dropped_frames += 1
        else:
            self._stream.post(frame)

    async def _send_delayed(self) -> None:
        while self._outgoing:
            due_s, frame = self._outgoing[0]
            await trio.sleep_until(due_s)
            self._post_unless_blocked(frame)
            self._outgoing.popleft()
        self._sending = False

    async def _receive_after_latency(self) -> bytes | str:
        if self._latency_ms <= 0:
            return await self._stream.receive()
        if self._incoming is None:
            sender, self._incoming = trio.open_memory_channel[
                tuple[float, bytes | str]
            ](float('inf'))
            self._nursery.start_soon(self._read_into_channel, sender)
        try:
            due_s, frame = await self._incoming.receive()
        except trio.EndOfChannel as exc:
            raise LinkClosedError('connection closed') from exc
        await trio.sleep_until(due_s)
        return frame

    async def _read_into_channel(
        self, sender: trio.MemorySendChannel[tuple[float, bytes | str]]
    ) -> None:
        with sender:
            while True:
                try:
                    frame = await self._stream.receive()
                except LinkClosedError:
                    return
                due_s = trio.current_time() + self._latency_ms / MS_PER_SECOND
                sender.send_nowait((due_s, frame))
