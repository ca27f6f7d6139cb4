"""Opens WebSocket connections to other processes, with or without TLS."""

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
from jackdawpost.wire.sockets import open_tcp_stream
from jackdawpost.wire.stream import FrameStream
from jackdawpost.wire.tls import PeerIdentity
from jackdawpost.wire.tls import read_peer_name

MS_PER_SECOND = 1_000
# Answers and state updates can exceed the limit of servers, which is lower
# because their clients may be unauthenticated.
MAX_INBOUND_FRAME_BYTES = 16 << 20


class LinkRefusedError(ProtocolError):
    """The connection could not be opened.

    The address is invalid, or the other end refused the connection or closed
    it during the handshake.
    """


class PeerIdentityError(LinkRefusedError):
    """The certificate of the other end has the wrong role or name."""


class LinkTimeoutError(ProtocolError):
    """The connection was not established within the time limit."""


@asynccontextmanager
async def open_link(
    host: str,
    port: int,
    path: str,
    *,
    tls: ssl.SSLContext | None = None,
    expected: PeerIdentity | None = None,
    timeout_ms: float = 5_000,
    max_frame_bytes: int = MAX_INBOUND_FRAME_BYTES,
    keepalive_timeout_ms: int = 0,
) -> AsyncIterator[FrameStream]:
    """Connect to another process; the connection is closed on exit.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    path : str
        WebSocket path.
    tls : ssl.SSLContext, optional
        Client context; without it the connection is not encrypted.
    expected : PeerIdentity, optional
        Role and name required in the certificate of the other end. Ignored
        without `tls`.
    timeout_ms : float
        Time limit for establishing the connection, in milliseconds.
    max_frame_bytes : int
        Maximum size of a frame accepted from the other end.
    keepalive_timeout_ms : int
        The kernel closes the connection if the other end acknowledges
        nothing for this time, in milliseconds; 0 disables TCP keepalive.

    Yields
    ------
    FrameStream
        Open connection; its `peer` is the common name of the certificate of
        the other end.

    Raises
    ------
    LinkRefusedError
        The address is invalid, or the other end refused the connection or
        closed it during the handshake.
    PeerIdentityError
        The certificate of the other end does not match `expected`.
    LinkTimeoutError
        The connection was not established within `timeout_ms`.
    """
    address = f'{host}:{port}{path}'
    try:
        protocol = _build_protocol(host, port, path, max_frame_bytes)
        with trio.fail_after(timeout_ms / MS_PER_SECOND):
            frame_stream = await _connect(
                host, port, protocol, tls, expected, keepalive_timeout_ms
            )
    except trio.TooSlowError as exc:
        raise LinkTimeoutError(
            f'{address}: no answer within {timeout_ms:.0f} ms'
        ) from exc
    except PeerIdentityError as exc:
        raise PeerIdentityError(f'{address}: {exc}') from exc
    except (
        OSError,
        trio.BrokenResourceError,
        ssl.SSLError,
        InvalidURI,
        ValueError,
    ) as exc:
        # InvalidURI and ValueError: an instance announced an address that is
        # not a valid host and port.
        detail = exc.__cause__ or exc
        raise LinkRefusedError(f'{address}: {detail}') from exc
    try:
        yield frame_stream
    finally:
        await frame_stream.aclose()


def _build_protocol(
    host: str, port: int, path: str, max_frame_bytes: int
) -> ClientProtocol:
    authority = f'[{host}]' if ':' in host else host
    return ClientProtocol(
        parse_uri(f'ws://{authority}:{port}{path}'),
        max_size=max_frame_bytes,
        # With an empty list the client sends an empty
        # Sec-WebSocket-Extensions header, which servers reject.
        extensions=None,
    )


async def _connect(
    host: str,
    port: int,
    protocol: ClientProtocol,
    tls: ssl.SSLContext | None,
    expected: PeerIdentity | None,
    keepalive_timeout_ms: int,
) -> FrameStream:
    socket_stream = await open_tcp_stream(host, port)
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
                    f'certificate name {peer or "(none)"}, expected {expected}'
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
            raise LinkRefusedError('closed during the handshake')
        protocol.receive_data(data)
        if protocol.handshake_exc is not None:
            raise LinkRefusedError(str(protocol.handshake_exc))
    events = protocol.events_received()
    if events and isinstance(events[0], Response):
        del events[0]
    # Requeue the frames that arrived together with the response.
    protocol.events.extend(events)
