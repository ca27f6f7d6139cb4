"""Connection of a client to a proxy; answers are matched by request id."""

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
    """IP address and port of a proxy, or of a load balancer for proxies."""

    host: str
    port: int


class AnswerLostError(ProtocolError):
    """The connection ended or the wait timed out without an answer."""


class ProxyLink:
    """Connection to one proxy.

    Parameters
    ----------
    stream : FrameStream
        Open connection.

    Attributes
    ----------
    usable : bool
        False once the proxy is going away, an answer was lost or the
        connection has ended. New requests then need another connection.
    """

    def __init__(self, stream: FrameStream) -> None:
        self.usable = True
        self._ended = False
        self._stream = stream
        self._next_id = 1
        self._pending: dict[int, _PendingRequest] = {}

    def allocate_request_id(self) -> int:
        """Return a request id that is not yet used on this connection."""
        request_id = self._next_id
        self._next_id += 1
        return request_id

    async def request(
        self, message: CallerRequest, timeout_ms: float
    ) -> Answer:
        """Send a request and wait for its answer.

        Parameters
        ----------
        message : Statement, Begin, Commit or Rollback
            Request with an id from `allocate_request_id`.
        timeout_ms : float
            Time limit for the answer, in milliseconds.

        Raises
        ------
        AnswerLostError
            No answer arrived; the outcome is unknown.
        """
        if self._ended:
            raise AnswerLostError('the connection to the proxy has ended')
        pending = _PendingRequest()
        self._pending[message.id] = pending
        try:
            self._stream.post(encode_cbor([message]))
            with trio.move_on_after(timeout_ms / MS_PER_SECOND):
                await pending.arrived.wait()
        finally:
            self._pending.pop(message.id, None)
        if pending.answer is None:
            raise AnswerLostError(
                f'no answer to request {message.id} within the time limit or '
                'before the connection ended'
            )
        return pending.answer

    async def run(self) -> None:
        """Receive answers until the connection ends."""
        try:
            while True:
                self._handle_messages(
                    _REPLY_CODEC.decode(await self._stream.receive())
                )
        except ProtocolError:
            pass
        finally:
            self.usable = False
            self._ended = True
            for pending in self._pending.values():
                pending.arrived.set()

    def _handle_messages(self, messages: Sequence[Answer | GoingAway]) -> None:
        for message in messages:
            if isinstance(message, GoingAway):
                self.usable = False
                continue
            pending = self._pending.get(message.id)
            if pending is not None:
                pending.answer = message
                pending.arrived.set()


class _PendingRequest:
    """Request that waits for its answer."""

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
    """Open a connection and receive its answers until it ends.

    Parameters
    ----------
    address : ProxyAddress
        Address to connect to.
    timeout_ms : float
        Time limit for opening the connection, in milliseconds.
    tls : ssl.SSLContext, optional
        Context of the client; None connects without TLS.
    task_status : trio.TaskStatus
        Receives the `ProxyLink` once the connection is open.
    """
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
