"""Opens WebSocket connections to other processes."""

from __future__ import annotations

import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio
from websockets.client import ClientProtocol
from websockets.exceptions import InvalidURI
from websockets.http11 import Response
from websockets.protocol import State
from websockets.uri import parse_uri

from jackdawpost.errors import ProtocolError
from jackdawpost.wire.sockets import enable_keepalive
from jackdawpost.wire.stream import FrameStream
from jackdawpost.wire.tls import PeerIdentity
from jackdawpost.wire.tls import read_peer_name

MS_PER_SECOND = 1_000
# Answers and state updates may be larger than what strangers may send.
MAX_REPLY_BYTES = 16 << 20


class LinkRefusedError(ProtocolError):
    """The other end refused the connection or reset it while opening."""


class PeerIdentityError(LinkRefusedError):
    """The process that was reached has another role or name."""


class LinkTimeoutError(ProtocolError):
    """The other end did not answer in time while opening."""


@asynccontextmanager
async def open_link(
    host: str,
    port: int,
    path: str,
    *,
    tls: ssl.SSLContext | None = None,
    expected: PeerIdentity | None = None,
    timeout_ms: float = 5_000,
    max_frame_bytes: int = MAX_REPLY_BYTES,
    keepalive_timeout_ms: int = 0,
) -> AsyncIterator[FrameStream]:
    """Connect to a process; the connection is closed on exit.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    path : str
        WebSocket path.
    tls : ssl.SSLContext, optional
        Context with this process's certificate.
    expected : PeerIdentity, optional
        Whom the certificate of the other end must name. Ignored without
        `tls`.
    timeout_ms : float
        Longest time for opening, in milliseconds.
    max_frame_bytes : int
        Longest frame accepted from the other end.
    keepalive_timeout_ms : int
        The kernel ends the connection if the other end stops to answer for
        so long; 0 leaves that to the messages on it.

    Yields
    ------
    FrameStream
        The open connection; its `peer` is the certificate name of the
        other end.

    Raises
    ------
    LinkRefusedError
        The other end refused or reset the connection.
    PeerIdentityError
        The certificate of the other end names somebody else.
    LinkTimeoutError
        The other end did not answer in time.
    """
    place = f'{host}:{port}{path}'
    try:
        protocol = _build_protocol(host, port, path, max_frame_bytes)
        with trio.fail_after(timeout_ms / MS_PER_SECOND):
            frames = await _open_stream(
                host, port, protocol, tls, expected, keepalive_timeout_ms
            )
    except trio.TooSlowError as exc:
        raise LinkTimeoutError(
            f'{place}: no answer within {timeout_ms:.0f} ms'
        ) from exc
    except PeerIdentityError as exc:
        raise PeerIdentityError(f'{place}: {exc}') from exc
    except (
        OSError,
        trio.BrokenResourceError,
        ssl.SSLError,
        InvalidURI,
        ValueError,
    ) as exc:
        # The last two stand for an address that an instance announced and
        # that cannot be one.
        detail = exc.__cause__ or exc
        raise LinkRefusedError(f'{place}: {detail}') from exc
    try:
        yield frames
    finally:
        await frames.aclose()


def _build_protocol(
    host: str, port: int, path: str, max_frame_bytes: int
) -> ClientProtocol:
    authority = f'[{host}]' if ':' in host else host
    return ClientProtocol(
        parse_uri(f'ws://{authority}:{port}{path}'),
        max_size=max_frame_bytes,
        # An empty list would send an empty header, which servers refuse.
        extensions=None,
    )


async def _open_stream(
    host: str,
    port: int,
    protocol: ClientProtocol,
    tls: ssl.SSLContext | None,
    expected: PeerIdentity | None,
    keepalive_timeout_ms: int,
) -> FrameStream:
    socket_stream = await trio.open_tcp_stream(host, port)
    if keepalive_timeout_ms:
        enable_keepalive(socket_stream, keepalive_timeout_ms)
    stream: trio.SocketStream | trio.SSLStream[trio.SocketStream]
    stream = socket_stream
    peer = ''
    try:
        if tls is not None:
            stream = trio.SSLStream(socket_stream, tls)
            await stream.do_handshake()
            peer = read_peer_name(stream)
            if expected is not None and not expected.matches(peer):
                raise PeerIdentityError(
                    f'certificate of {peer or "nobody"}: valid is {expected}'
                )
        protocol.send_request(protocol.connect())
        await stream.send_all(b''.join(protocol.data_to_send()))
        await _read_response(stream, protocol)
        return FrameStream(stream, protocol, peer)
    except BaseException:
        await trio.aclose_forcefully(socket_stream)
        raise


async def _read_response(
    stream: trio.abc.Stream, protocol: ClientProtocol
) -> None:
    while protocol.state is State.CONNECTING:
        data = await stream.receive_some(4_096)
        if not data:
            raise LinkRefusedError('closed while opening')
        protocol.receive_data(data)
        if protocol.handshake_exc is not None:
            raise LinkRefusedError(str(protocol.handshake_exc))
    events = protocol.events_received()
    if events and isinstance(events[0], Response):
        del events[0]
    # Frames that arrived together with the response stay queued.
    protocol.events.extend(events)
