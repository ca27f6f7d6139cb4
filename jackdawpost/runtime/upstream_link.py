"""Opens connections to upstreams and checks whom they reached."""

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
    """Connect to an upstream and introduce this process.

    Parameters
    ----------
    name : str
        Name of this process.
    effect : Connect
        Which upstream, where, and for what.
    codec : FrameCodec
        Codec of the messages that upstreams send.
    tls : ssl.SSLContext, optional
        Client context; with it the certificate and the stated name must be
        those of the upstream.

    Yields
    ------
    tuple of FrameStream and Opened
        The connection and the upstream's introduction.

    Raises
    ------
    PeerIdentityError
        Another process was reached.
    """
    async with open_link(
        effect.host,
        effect.port,
        UPSTREAM_PATH,
        tls=tls,
        expected=PeerIdentity('upstream', effect.peer),
        timeout_ms=effect.timeout_ms,
    ) as stream:
        hello = Open(peer=name, purpose=cast(Purpose, effect.purpose))
        stream.post(encode_cbor([hello]))
        with trio.fail_after(effect.timeout_ms / MS_PER_SECOND):
            reply = codec.decode(await stream.receive())[0]
        if not isinstance(reply, Opened):
            raise FrameError(f'{reply.kind!r} in place of opened')
        if tls is not None and reply.name != effect.peer:
            raise PeerIdentityError(
                f'{stream.peer} calls itself {reply.name!r}: valid is '
                f'{effect.peer!r}'
            )
        yield stream, reply


def describe_failure(exc: Exception) -> tuple[Reason, str]:
    """Return reason and detail of one of the `OPEN_ERRORS`."""
    if isinstance(exc, (LinkTimeoutError, trio.TooSlowError)):
        return 'timeout', str(exc)
    if isinstance(exc, FrameError):
        return 'malformed', str(exc)
    return 'refused', str(exc)
