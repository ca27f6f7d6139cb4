"""Opens WebSocket connections to other processes."""

from __future__ import annotations

import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio
from websockets.client import ClientProtocol
from websockets.http11 import Response
from websockets.protocol import State
from websockets.uri import parse_uri

from jackdawpost.core.errors import ProtocolError
from jackdawpost.wire.stream import FrameStream

MS_PER_SECOND = 1_000
# Answers and state updates may be larger than what strangers may send.
MAX_REPLY_BYTES = 16 << 20


class LinkRefusedError(ProtocolError):
    """The other end refused the connection or reset it while opening."""


class LinkTimeoutError(ProtocolError):
    """The other end did not answer in time while opening."""


@asynccontextmanager
async def open_link(
    host: str,
    port: int,
    path: str,
    *,
    tls: ssl.SSLContext | None = None,
    timeout_ms: float = 5_000,
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
    timeout_ms : float
        Longest time for opening, in milliseconds.

    Yields
    ------
    FrameStream
        The open connection.

    Raises
    ------
    LinkRefusedError
        The other end refused or reset the connection.
    LinkTimeoutError
        The other end did not answer in time.
    """
    stream, protocol = await _open_with_deadline(
        host, port, path, tls, timeout_ms
    )
    frames = FrameStream(stream, protocol)
    try:
        yield frames
    finally:
        await frames.aclose()


async def _open_with_deadline(
    host: str,
    port: int,
    path: str,
    tls: ssl.SSLContext | None,
    timeout_ms: float,
) -> tuple[
    trio.SocketStream | trio.SSLStream[trio.SocketStream], ClientProtocol
]:
    try:
        with trio.fail_after(timeout_ms / MS_PER_SECOND):
            return await _open_stream(host, port, path, tls)
    except trio.TooSlowError as exc:
        raise LinkTimeoutError(
            f'{host}:{port}{path}: no answer within {timeout_ms:.0f} ms'
        ) from exc
    except (OSError, trio.BrokenResourceError, ssl.SSLError) as exc:
        raise LinkRefusedError(f'{host}:{port}{path}: {exc}') from exc


async def _open_stream(
    host: str, port: int, path: str, tls: ssl.SSLContext | None
) -> tuple[
    trio.SocketStream | trio.SSLStream[trio.SocketStream], ClientProtocol
]:
    socket_stream = await trio.open_tcp_stream(host, port)
    stream: trio.SocketStream | trio.SSLStream[trio.SocketStream]
    stream = socket_stream
    try:
        if tls is not None:
            stream = trio.SSLStream(socket_stream, tls)
            await stream.do_handshake()
        authority = f'[{host}]' if ':' in host else host
        uri = parse_uri(f'ws://{authority}:{port}{path}')
        protocol = ClientProtocol(uri, max_size=MAX_REPLY_BYTES, extensions=[])
        protocol.send_request(protocol.connect())
        await stream.send_all(b''.join(protocol.data_to_send()))
        await _read_response(stream, protocol, path)
        return stream, protocol
    except BaseException:
        await trio.aclose_forcefully(socket_stream)
        raise


async def _read_response(
    stream: trio.abc.Stream, protocol: ClientProtocol, path: str
) -> None:
    while protocol.state is State.CONNECTING:
        data = await stream.receive_some(4_096)
        if not data:
            raise LinkRefusedError(f'{path}: closed while opening')
        protocol.receive_data(data)
        if protocol.handshake_exc is not None:
            raise LinkRefusedError(f'{path}: {protocol.handshake_exc}')
    events = protocol.events_received()
    if events and isinstance(events[0], Response):
        del events[0]
    # Frames that arrived together with the response stay queued.
    protocol.events.extend(events)
