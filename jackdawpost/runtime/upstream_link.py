"""Opens connections to upstreams and verifies their identity."""

from __future__ import annotations

import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import cast
from typing import Literal

import trio

from jackdawpost.core.effects import Connect
from jackdawpost.core.messages.upstream import Open
from jackdawpost.core.messages.upstream import Opened
from jackdawpost.core.messages.upstream import Purpose
from jackdawpost.wire.codec import encode_cbor
from jackdawpost.wire.codec import FrameCodec
from jackdawpost.wire.codec import FrameError
from jackdawpost.wire.link import LinkRefusedError
from jackdawpost.wire.link import LinkTimeoutError
from jackdawpost.wire.link import open_link
from jackdawpost.wire.link import PeerIdentityError
from jackdawpost.wire.stream import FrameStream
from jackdawpost.wire.stream import LinkClosedError
from jackdawpost.wire.tls import PeerIdentity

UPSTREAM_PATH = '/v1/upstream'
MS_PER_SECOND = 1_000

# Errors raised when a connection to an upstream cannot be opened.
OPEN_ERRORS = (
    LinkRefusedError,
    LinkTimeoutError,
    LinkClosedError,
    FrameError,
    trio.TooSlowError,
)

Reason = Literal['refused', 'timeout', 'malformed']


@asynccontextmanager
async def open_upstream(
    name: str,
    effect: Connect,
    codec: FrameCodec,
    tls: ssl.SSLContext | None,
) -> AsyncIterator[tuple[FrameStream, Opened]]:
    """Connect to an upstream and perform the opening handshake.

    This process sends `Open` and the upstream answers with `Opened`.

    Parameters
    ----------
    name : str
        Name of this process.
    effect : Connect
        Upstream, its address and the purpose of the connection.
    codec : FrameCodec
        Codec for messages received from upstreams.
    tls : ssl.SSLContext, optional
        Client context. With TLS, the certificate and the name in `Opened`
        must match the upstream.

    Yields
    ------
    tuple of FrameStream and Opened
        Open connection, and the upstream's answer to `Open`.

    Raises
    ------
    PeerIdentityError
        The process at this address is not the upstream.
    """
    async with open_link(
        effect.host,
        effect.port,
        UPSTREAM_PATH,
        tls=tls,
        expected=PeerIdentity('upstream', effect.peer),
        timeout_ms=effect.timeout_ms,
    ) as stream:
        request = Open(peer=name, purpose=cast(Purpose, effect.purpose))
        stream.post(encode_cbor([request]))
        with trio.fail_after(effect.timeout_ms / MS_PER_SECOND):
            reply = codec.decode(await stream.receive())[0]
        if not isinstance(reply, Opened):
            raise FrameError(f'got message {reply.kind!r}, expected opened')
        if tls is not None and reply.name != effect.peer:
            raise PeerIdentityError(
                f'{stream.peer} sent the name {reply.name!r}, expected '
                f'{effect.peer!r}'
            )
        yield stream, reply


def describe_failure(exc: Exception) -> tuple[Reason, str]:
    """Return the `ConnClosed` reason and detail for one of `OPEN_ERRORS`."""
    if isinstance(exc, (LinkTimeoutError, trio.TooSlowError)):
        return 'timeout', str(exc)
    if isinstance(exc, FrameError):
        return 'malformed', str(exc)
    return 'refused', str(exc)
