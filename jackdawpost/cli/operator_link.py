"""Requests of operators to the control processes.

Each request may be sent again: change sets carry a change id, promotions the
term and removals the identity that the operator saw.
"""

from __future__ import annotations

import ssl
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from contextlib import asynccontextmanager
from dataclasses import dataclass
from itertools import cycle
from typing import Any

import trio
from websockets.exceptions import WebSocketException
from websockets.trio.client import connect

from jackdawpost.core.errors import JackdawpostError
from jackdawpost.core.errors import ProtocolError
from jackdawpost.core.messages.control import NotLeader
from jackdawpost.core.messages.operator import OperatorAnswer
from jackdawpost.core.messages.operator import OperatorRequest
from jackdawpost.settings.models import CtlSettings
from jackdawpost.settings.models import Peer
from jackdawpost.settings.models import TlsSettings
from jackdawpost.wire.codec import encode_cbor
from jackdawpost.wire.codec import FrameCodec

OPERATOR_PATH = '/v1/operator'
MAX_ANSWER_BYTES = 64 << 20
RETRY_PAUSE_S = 0.1
CLOSE_TIMEOUT_S = 1
# A silent connection must leave time for the other control processes.
ATTEMPTS_PER_TIMEOUT = 3

Reply = OperatorAnswer | NotLeader
Exchange = Callable[[OperatorRequest], Awaitable[Reply]]
OpenLink = Callable[
    [Peer, TlsSettings | None], AbstractAsyncContextManager[Exchange]
]

_CODEC = FrameCodec(OperatorAnswer, NotLeader)


class LinkError(JackdawpostError):
    """A control process could not be reached or the connection was lost."""


class NoAnswerError(JackdawpostError):
    """No control process answered in time.

    Parameters
    ----------
    sent : bool
        The request was sent at least once, so that it may have taken effect.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


@dataclass(slots=True)
class _Attempts:
    sent: int = 0
    last_error: str = 'no attempt was made'


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
        Sends one request and returns the reply; raises `LinkError` or
        `ProtocolError`.
    """
    host = f'[{peer.host}]' if ':' in peer.host else peer.host
    uri = f'ws://{host}:{peer.port}{OPERATOR_PATH}'
    try:
        stream = await _open_stream(peer, tls)
        async with connect(
            uri,
            stream=stream,
            proxy=None,
            compression=None,
            open_timeout=None,
            close_timeout=CLOSE_TIMEOUT_S,
            max_size=MAX_ANSWER_BYTES,
        ) as conn:

            async def exchange(request: OperatorRequest) -> Reply:
                await conn.send(encode_cbor([request]))
                return _CODEC.decode(await conn.recv())[0]

            yield exchange
    except (OSError, WebSocketException, trio.BrokenResourceError) as exc:
        raise LinkError(f'{peer.name}: {exc or type(exc).__name__}') from exc


async def _open_stream(peer: Peer, tls: TlsSettings | None) -> trio.abc.Stream:
    stream = await trio.open_tcp_stream(peer.host, peer.port)
    if tls is None:
        return stream
    secure = trio.SSLStream(
        stream, _build_tls_context(tls), https_compatible=True
    )
    try:
        await secure.do_handshake()
        _check_role(secure.getpeercert(), f'control.{peer.name}')
    except BaseException:
        await trio.aclose_forcefully(secure)
        raise
    return secure


def _build_tls_context(tls: TlsSettings) -> ssl.SSLContext:
    context = ssl.create_default_context(cafile=tls.authority)
    # Processes are reached by address; certificates name ROLE.NAME, which
    # is checked after the handshake.
    context.check_hostname = False
    context.load_cert_chain(tls.certificate, tls.key)
    return context


def _check_role(certificate: dict[str, Any], expected: str) -> None:
    names = [
        value
        for part in certificate.get('subject', ())
        for key, value in part
        if key == 'commonName'
    ]
    if names != [expected]:
        raise LinkError(
            f'certificate of {", ".join(names) or "nobody"}: valid is '
            f'{expected}'
        )


async def send_request(
    cfg: CtlSettings,
    request: OperatorRequest,
    open_link: OpenLink = open_operator_link,
) -> OperatorAnswer:
    """Send a request until the leader answers it.

    Parameters
    ----------
    cfg : CtlSettings
        Control processes and the time limit.
    request : OperatorRequest
        Request; it is sent unchanged each time.
    open_link : callable
        Opens a connection to one control process.

    Returns
    -------
    OperatorAnswer
        Answer of the leader.

    Raises
    ------
    NoAnswerError
        The time limit ran out.
    """
    attempts = _Attempts()
    timeout_s = cfg.timeout_ms / 1_000
    with trio.move_on_after(timeout_s):
        return await _ask_leader(cfg, request, open_link, attempts)
    raise NoAnswerError(
        f'no answer within {cfg.timeout_ms} ms: {attempts.last_error}',
        sent=attempts.sent > 0,
    )


async def _ask_leader(
    cfg: CtlSettings,
    request: OperatorRequest,
    open_link: OpenLink,
    attempts: _Attempts,
) -> OperatorAnswer:
    order = cycle(cfg.control)
    peer = next(order)
    by_name = {item.name: item for item in cfg.control}
    while True:
        reply = await _try_peer(cfg, peer, request, open_link, attempts)
        if isinstance(reply, OperatorAnswer):
            return reply
        leader = by_name.get(reply.leader or '') if reply else None
        if leader is None or leader == peer:
            peer = next(order)
            await trio.sleep(RETRY_PAUSE_S)
        else:
            peer = leader


async def _try_peer(
    cfg: CtlSettings,
    peer: Peer,
    request: OperatorRequest,
    open_link: OpenLink,
    attempts: _Attempts,
) -> Reply | None:
    limit_s = cfg.timeout_ms / 1_000 / ATTEMPTS_PER_TIMEOUT
    reply: Reply | None = None
    try:
        with trio.fail_after(limit_s):
            async with open_link(peer, cfg.tls) as exchange:
                attempts.sent += 1
                reply = await exchange(request)
    except (trio.TooSlowError, LinkError, ProtocolError) as exc:
        # A connection that fails while closing has delivered its reply.
        if reply is None:
            attempts.last_error = (
                f'{peer.name}: silent for {limit_s:.1f} s'
                if isinstance(exc, trio.TooSlowError)
                else str(exc)
            )
            return None
    if isinstance(reply, NotLeader):
        attempts.sent -= 1
        attempts.last_error = (
            f'{peer.name} does not lead, it names {reply.leader!r}'
        )
    elif reply is not None and reply.id != request.id:
        attempts.last_error = f'{peer.name}: answer to request {reply.id}'
        return None
    return reply
