"""Server for WebSocket connections and plain HTTP pages on one port."""

from __future__ import annotations

import json
import logging
import ssl
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from http import HTTPStatus
from typing import Any

import trio
from websockets.http11 import Request
from websockets.server import ServerProtocol

from jackdawpost.errors import JackdawpostError
from jackdawpost.wire.codec import MAX_FRAME_BYTES
from jackdawpost.wire.intake_guard import GuardedConnection
from jackdawpost.wire.intake_guard import IntakeGuard
from jackdawpost.wire.sockets import enable_keepalive
from jackdawpost.wire.stream import FrameStream
from jackdawpost.wire.stream import LinkClosedError
from jackdawpost.wire.tls import read_peer_name

LOG = logging.getLogger(__name__)

# For the TLS handshake and the HTTP request with its response.
HANDSHAKE_TIMEOUT_S = 5.0
LISTEN_BACKLOG = 1_024


class ListenError(JackdawpostError):
    """The process cannot listen on the address, which may be in use."""


@dataclass(slots=True)
class HttpReply:
    """Reply to a plain HTTP request."""

    status: int
    body: str
    content_type: str = 'application/json'


def reply_json(value: Any, status: int = HTTPStatus.OK) -> HttpReply:
    """Return a reply whose body is `value` encoded as JSON."""
    return HttpReply(status, json.dumps(value, default=str, indent=1) + '\n')


Handler = Callable[[FrameStream, str], Awaitable[None]]
Page = Callable[[], HttpReply]


@dataclass(slots=True)
class Endpoints:
    """Paths, limits and connection count of one server.

    Parameters
    ----------
    handlers : mapping of str to callable
        Coroutine function for each WebSocket path. It receives the stream
        and the common name of the peer's certificate (empty without one).
        The stream is closed when it returns.
    pages : mapping of str to callable
        Function for each plain HTTP path that returns the reply.
    max_connections : int
        Maximum number of open connections; further ones are closed
        immediately.
    max_frame_bytes : int
        Maximum size of a received frame; a larger one closes the connection.
    keepalive_timeout_ms : int
        The kernel closes a connection whose other end acknowledges nothing
        for this time, in milliseconds; 0 disables TCP keepalive.
    guard : IntakeGuard
        Limits of the process on what clients make it hold.
    interface : str
        Name of the listening address, for the log.
    serves_clients : bool
        Whether the other ends of WebSocket connections are clients. Links to
        other processes are neither paused nor closed by the guard.
    open_connections : int
        Current number of connections, maintained by the server.
    """

    handlers: Mapping[str, Handler]
    pages: Mapping[str, Page]
    max_connections: int = 20_000
    max_frame_bytes: int = MAX_FRAME_BYTES
    keepalive_timeout_ms: int = 0
    guard: IntakeGuard = field(default_factory=IntakeGuard)
    interface: str = 'internal'
    serves_clients: bool = False
    open_connections: int = 0


async def serve_endpoints(
    host: str,
    port: int,
    endpoints: Endpoints,
    tls: ssl.SSLContext | None = None,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Accept and serve connections until cancelled.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port; 0 selects a free one. `task_status` reports the port.
    endpoints : Endpoints
        Handlers and pages by path, and limits.
    tls : ssl.SSLContext, optional
        Server context; without it connections are not encrypted.

    Raises
    ------
    ListenError
        The server cannot listen on the address.
    """
    try:
        listeners = await trio.open_tcp_listeners(
            port, host=host, backlog=LISTEN_BACKLOG
        )
    except OSError as exc:
        raise ListenError(
            f'cannot listen on {host}:{port}: {exc.strerror or exc}'
        ) from exc
    bound_port = listeners[0].socket.getsockname()[1]

    async def serve_stream(stream: trio.SocketStream) -> None:
        await _serve_connection(stream, endpoints, tls)

    async with trio.open_nursery() as nursery:
        await nursery.start(trio.serve_listeners, serve_stream, listeners)
        task_status.started(bound_port)


async def _serve_connection(
    socket_stream: trio.SocketStream,
    endpoints: Endpoints,
    tls: ssl.SSLContext | None,
) -> None:
    if endpoints.open_connections >= endpoints.max_connections:
        await trio.aclose_forcefully(socket_stream)
        return
    guarded = endpoints.guard.admit(socket_stream, endpoints.interface)
    if guarded is None:
        return
    endpoints.open_connections += 1
    try:
        with guarded:
            if endpoints.keepalive_timeout_ms:
                enable_keepalive(socket_stream, endpoints.keepalive_timeout_ms)
            await _serve_transport(socket_stream, endpoints, tls, guarded)
    except (
        OSError,
        trio.BrokenResourceError,
        trio.ClosedResourceError,
        trio.TooSlowError,
        ssl.SSLError,
        LinkClosedError,
    ) as exc:
        LOG.debug('connection ended', extra={'detail': str(exc)})
    finally:
        endpoints.open_connections -= 1
        await trio.aclose_forcefully(socket_stream)


async def _serve_transport(
    socket_stream: trio.SocketStream,
    endpoints: Endpoints,
    tls: ssl.SSLContext | None,
    guarded: GuardedConnection,
) -> None:
    stream: trio.SocketStream | trio.SSLStream[trio.SocketStream]
    stream = socket_stream
    peer = ''
    with trio.fail_after(HANDSHAKE_TIMEOUT_S):
        if tls is not None:
            stream = trio.SSLStream(socket_stream, tls, server_side=True)
            await stream.do_handshake()
            peer = read_peer_name(stream)
        protocol = ServerProtocol(
            max_size=endpoints.max_frame_bytes, extensions=None
        )
        request = await _read_request(stream, protocol)
        # The library fails a connection whose request is followed by anything
        # but a frame, and then does not accept a response.
        if request is None or protocol.eof_sent:
            return
        handler = endpoints.handlers.get(request.path)
        if handler is None:
            await _send_page(stream, protocol, request, endpoints)
            return
        response = protocol.accept(request)
        protocol.send_response(response)
        await stream.send_all(b''.join(protocol.data_to_send()))
        if response.status_code != HTTPStatus.SWITCHING_PROTOCOLS:
            return
    guarded.start()
    frame_stream = FrameStream(
        stream, protocol, peer, guarded if endpoints.serves_clients else None
    )
    # Not kept in memory while the connection is open.
    del request, response
    try:
        await handler(frame_stream, peer)
    finally:
        await frame_stream.aclose()


async def _read_request(
    stream: trio.abc.Stream, protocol: ServerProtocol
) -> Request | None:
    while True:
        for event in protocol.events_received():
            if isinstance(event, Request):
                return event
        if protocol.handshake_exc is not None:
            return None
        data = await stream.receive_some(4_096)
        if not data:
            return None
        protocol.receive_data(data)


async def _send_page(
    stream: trio.abc.Stream,
    protocol: ServerProtocol,
    request: Request,
    endpoints: Endpoints,
) -> None:
    page = endpoints.pages.get(request.path)
    if page is None:
        served_paths = sorted([*endpoints.pages, *endpoints.handlers])
        reply = reply_json(
            {
                'error': f'path {request.path!r} is not served',
                'paths': served_paths,
            },
            HTTPStatus.NOT_FOUND,
        )
    else:
        reply = page()
    response = protocol.reject(reply.status, reply.body)
    del response.headers['Content-Type']
    response.headers['Content-Type'] = f'{reply.content_type}; charset=utf-8'
    protocol.send_response(response)
    await stream.send_all(b''.join(protocol.data_to_send()))
