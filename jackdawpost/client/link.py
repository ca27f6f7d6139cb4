"""One connection of a client to a proxy, answers matched by id."""

from __future__ import annotations

import ssl
from collections.abc import Sequence
from typing import NamedTuple

import trio

from jackdawpost.core.messages.caller import Answer
from jackdawpost.core.messages.caller import CallerRequest
from jackdawpost.core.messages.caller import GoingAway
from jackdawpost.errors import ProtocolError
from jackdawpost.wire.codec import encode_cbor
from jackdawpost.wire.codec import FrameCodec
from jackdawpost.wire.link import open_link
from jackdawpost.wire.stream import FrameStream
from jackdawpost.wire.tls import PeerIdentity

SESSION_PATH = '/v1/session'
MS_PER_SECOND = 1_000

_REPLY_CODEC = FrameCodec(Answer, GoingAway)


class ProxyAddress(NamedTuple):
    """IP address and port of a proxy or of the balancer before them."""

    host: str
    port: int


class AnswerLostError(ProtocolError):
    """The connection ended, or the deadline passed, without an answer."""


class ProxyLink:
    """Connection to one proxy.

    Parameters
    ----------
    stream : FrameStream
        Open connection.
    """

    def __init__(self, stream: FrameStream) -> None:
        self.usable = True
        self._ended = False
        self._stream = stream
        self._next_id = 1
        self._waiting: dict[int, _Waiter] = {}

    def take_id(self) -> int:
        """Return a request id that this connection has not used."""
        request_id = self._next_id
        self._next_id += 1
        return request_id

    async def request(self, message: CallerRequest, wait_ms: float) -> Answer:
        """Send a request and wait for its answer.

        Parameters
        ----------
        message : Statement, Begin, Commit or Rollback
            Request with an id from `take_id`.
        wait_ms : float
            Longest wait in milliseconds.

        Raises
        ------
        AnswerLostError
            No answer arrived; the outcome is unknown.
        """
        if self._ended:
            raise AnswerLostError('the connection has ended')
        waiter = _Waiter()
        self._waiting[message.id] = waiter
        try:
            self._stream.post(encode_cbor([message]))
            with trio.move_on_after(wait_ms / MS_PER_SECOND):
                await waiter.arrived.wait()
        finally:
            self._waiting.pop(message.id, None)
        if waiter.answer is None:
            raise AnswerLostError(f'no answer to request {message.id}')
        return waiter.answer

    async def run(self) -> None:
        """Read answers until the connection ends."""
        try:
            while True:
                self._take(_REPLY_CODEC.decode(await self._stream.receive()))
        except ProtocolError:
            pass
        finally:
            self.usable = False
            self._ended = True
            for waiter in self._waiting.values():
                waiter.arrived.set()

    def _take(self, messages: Sequence[Answer | GoingAway]) -> None:
        for message in messages:
            if isinstance(message, GoingAway):
                self.usable = False
                continue
            waiter = self._waiting.get(message.id)
            if waiter is not None:
                waiter.answer = message
                waiter.arrived.set()


class _Waiter:
    """Place for the answer to one request."""

    __slots__ = ('answer', 'arrived')

    def __init__(self) -> None:
        self.arrived = trio.Event()
        self.answer: Answer | None = None


async def run_link(
    address: ProxyAddress,
    timeout_ms: float,
    tls: ssl.SSLContext | None = None,
    task_status: trio.TaskStatus[ProxyLink] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Open a connection, report it through `task_status`, and serve it."""
    async with open_link(
        address.host,
        address.port,
        SESSION_PATH,
        tls=tls,
        expected=PeerIdentity('proxy'),
        timeout_ms=timeout_ms,
    ) as stream:
        link = ProxyLink(stream)
        task_status.started(link)
        await link.run()
