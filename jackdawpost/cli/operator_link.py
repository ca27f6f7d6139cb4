"""Sends requests of operators to the leader of the control processes.

Every request can safely be resent: a change set carries a change id, a
promotion carries the term and a removal the member identity that the operator
saw.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from contextlib import asynccontextmanager
from dataclasses import dataclass
from itertools import cycle

import trio

from jackdawpost.core.messages.control import NotLeader
from jackdawpost.core.messages.operator import OperatorAnswer
from jackdawpost.core.messages.operator import OperatorRequest
from jackdawpost.errors import JackdawpostError
from jackdawpost.errors import ProtocolError
from jackdawpost.settings.models import CtlSettings
from jackdawpost.settings.models import Peer
from jackdawpost.settings.models import TlsSettings
from jackdawpost.wire.codec import encode_cbor
from jackdawpost.wire.codec import FrameCodec
from jackdawpost.wire.link import LinkRefusedError
from jackdawpost.wire.link import LinkTimeoutError
from jackdawpost.wire.link import open_link
from jackdawpost.wire.stream import LinkClosedError
from jackdawpost.wire.tls import build_client_context
from jackdawpost.wire.tls import PeerIdentity

OPERATOR_PATH = '/v1/operator'
MAX_ANSWER_BYTES = 64 << 20
RETRY_DELAY_S = 0.1
# Limits each attempt to a share of the total time, which leaves time to try
# other control processes when one does not answer.
ATTEMPTS_PER_TIMEOUT = 3

Reply = OperatorAnswer | NotLeader
Exchange = Callable[[OperatorRequest], Awaitable[Reply]]
OpenLink = Callable[
    [Peer, TlsSettings | None], AbstractAsyncContextManager[Exchange]
]

_CODEC = FrameCodec(OperatorAnswer, NotLeader)


class LinkError(JackdawpostError):
    """A control process is unreachable or the connection to it was lost."""


class NoAnswerError(JackdawpostError):
    """The leader of the control processes did not answer in time.

    Parameters
    ----------
    sent : bool
        True if the request was sent and may have taken effect.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


@dataclass(slots=True)
class _Attempts:
    """Attempts to send one request.

    Attributes
    ----------
    sent : int
        Number of attempts that may have taken effect.
    last_error : str
        Why the latest failed attempt got no answer from the leader.
    """

    sent: int = 0
    last_error: str = 'no control process was tried'


@asynccontextmanager
async def open_operator_link(
    peer: Peer, tls: TlsSettings | None
) -> AsyncIterator[Exchange]:
    """Open a WebSocket to a control process.

    Parameters
    ----------
    peer : Peer
        Control process.
    tls : TlsSettings, optional
        Certificates of the operator.

    Yields
    ------
    callable
        Coroutine function that sends one request and returns the reply. It
        raises `LinkError` or `ProtocolError`.
    """
    context = build_client_context(tls) if tls is not None else None
    try:
        async with open_link(
            peer.host,
            peer.port,
            OPERATOR_PATH,
            tls=context,
            expected=PeerIdentity('control', peer.name),
            max_frame_bytes=MAX_ANSWER_BYTES,
        ) as stream:

            async def exchange(request: OperatorRequest) -> Reply:
                stream.post(encode_cbor([request]))
                return _CODEC.decode(await stream.receive())[0]

            yield exchange
    except (LinkRefusedError, LinkTimeoutError, LinkClosedError) as exc:
        raise LinkError(f'{peer.name}: {exc}') from exc


async def send_request(
    cfg: CtlSettings,
    request: OperatorRequest,
    open_link: OpenLink = open_operator_link,
) -> OperatorAnswer:
    """Send a request, and resend it until the leader answers.

    Parameters
    ----------
    cfg : CtlSettings
        Addresses of the control processes and the time limit.
    request : OperatorRequest
        Request, which is the same in each attempt.
    open_link : callable
        Opens a connection to one control process.

    Returns
    -------
    OperatorAnswer
        Answer of the leader.

    Raises
    ------
    NoAnswerError
        The time limit expired.
    """
    attempts = _Attempts()
    timeout_s = cfg.timeout_ms / 1_000
    with trio.move_on_after(timeout_s):
        return await _request_from_leader(cfg, request, open_link, attempts)
    raise NoAnswerError(
        f'control processes: no answer within {cfg.timeout_ms} ms: '
        f'{attempts.last_error}',
        sent=attempts.sent > 0,
    )


async def _request_from_leader(
    cfg: CtlSettings,
    request: OperatorRequest,
    open_link: OpenLink,
    attempts: _Attempts,
) -> OperatorAnswer:
    peers = cycle(cfg.control)
    peer = next(peers)
    peers_by_name = {item.name: item for item in cfg.control}
    while True:
        reply = await _request_from_peer(
            cfg, peer, request, open_link, attempts
        )
        if isinstance(reply, OperatorAnswer):
            return reply
        leader = peers_by_name.get(reply.leader or '') if reply else None
        if leader is None or leader == peer:
            peer = next(peers)
            await trio.sleep(RETRY_DELAY_S)
        else:
            peer = leader


async def _request_from_peer(
    cfg: CtlSettings,
    peer: Peer,
    request: OperatorRequest,
    open_link: OpenLink,
    attempts: _Attempts,
) -> Reply | None:
    attempt_timeout_s = cfg.timeout_ms / 1_000 / ATTEMPTS_PER_TIMEOUT
    reply: Reply | None = None
    try:
        with trio.fail_after(attempt_timeout_s):
            async with open_link(peer, cfg.tls) as exchange:
                attempts.sent += 1
                reply = await exchange(request)
    except (trio.TooSlowError, LinkError, ProtocolError) as exc:
        # If the connection failed only while closing, the reply has arrived.
        if reply is None:
            attempts.last_error = (
                f'{peer.name}: no answer within {attempt_timeout_s:.1f} s'
                if isinstance(exc, trio.TooSlowError)
                else str(exc)
            )
            return None
    if isinstance(reply, NotLeader):
        # The request was not handled and cannot have taken effect.
        attempts.sent -= 1
        attempts.last_error = (
            f'{peer.name} is not the leader; the leader that it knows is '
            f'{reply.leader!r}'
        )
    elif reply is not None and reply.id != request.id:
        attempts.last_error = (
            f'{peer.name}: answer has the id of another request: {reply.id}'
        )
        return None
    return reply
