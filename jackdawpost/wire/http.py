"""HTTP/1.1 server and client on trio, based on the parser `h11`.

The platform, operators and databases send requests to the server. The client
sends requests to the platform.
"""

from __future__ import annotations

import logging
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

import h11
import trio

from jackdawpost.errors import ProtocolError
from jackdawpost.wire.intake_guard import GuardedConnection
from jackdawpost.wire.intake_guard import IntakeGuard
from jackdawpost.wire.server import LISTEN_BACKLOG
from jackdawpost.wire.server import ListenError
from jackdawpost.wire.sockets import CALLER_KEEPALIVE_TIMEOUT_MS
from jackdawpost.wire.sockets import enable_keepalive
from jackdawpost.wire.sockets import open_tcp_stream

LOG = logging.getLogger(__name__)

READ_BYTES = 65_536
# Limit of a request body. The platform's largest configuration fits, with room
# for growth.
MAX_BODY_BYTES = 2 << 20
# Longest wait for more data from a peer. A slow peer blocks no other
# connection, but holds memory.
READ_TIMEOUT_S = 10.0
# Sent to clients that are refused for lack of capacity.
REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n'
    b'Connection: close\r\n\r\n'
)


class HttpError(ProtocolError):
    """The peer violated HTTP, closed the connection or did not answer."""


@dataclass(slots=True)
class HttpRequest:
    """Request received by the server, with header names in lower case."""

    method: str
    path: str
    body: bytes
    headers: list[tuple[str, str]] = field(default_factory=list)


@dataclass(slots=True)
class HttpResponse:
    """Response to send, or response received.

    Header names of a received response are in lower case.
    """

    status: int
    body: bytes = b''
    headers: list[tuple[str, str]] = field(default_factory=list)


RequestHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]


async def serve_http(
    host: str,
    port: int,
    handler: RequestHandler,
    guard: IntakeGuard | None = None,
    interface: str = 'http',
) -> None:
    """Serve HTTP requests until cancelled.

    A network or protocol error ends only the connection on which it occurs.

    Parameters
    ----------
    guard : IntakeGuard, optional
        Limits of the process on what clients make it hold.
    interface : str
        Name of the listening address, for the log.

    Raises
    ------
    ListenError
        The process cannot listen on the address.
    """
    try:
        listeners = await trio.open_tcp_listeners(
            port, host=host, backlog=LISTEN_BACKLOG
        )
    except OSError as exc:
        raise ListenError(f'cannot listen on {host}:{port}: {exc}') from exc

    guard = guard or IntakeGuard()

    async def handle(stream: trio.SocketStream) -> None:
        guarded = guard.admit(stream, interface, REFUSAL)
        if guarded is None:
            return
        try:
            with guarded:
                enable_keepalive(stream, CALLER_KEEPALIVE_TIMEOUT_MS)
                await _serve_stream(stream, handler, guarded)
        except (
            OSError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.TooSlowError,
            h11.RemoteProtocolError,
            HttpError,
        ) as exc:
            LOG.debug('http connection ended', extra={'detail': str(exc)})
        except h11.LocalProtocolError as exc:
            LOG.warning('http_response_invalid', extra={'detail': str(exc)})
        finally:
            await trio.aclose_forcefully(stream)

    await trio.serve_listeners(handle, listeners)


async def _serve_stream(
    stream: trio.SocketStream,
    handler: RequestHandler,
    guarded: GuardedConnection,
) -> None:
    conn = h11.Connection(h11.SERVER)
    while True:
        try:
            request = await _read_request(stream, conn, guarded)
        except h11.RemoteProtocolError as exc:
            await _send_response(
                stream, conn, HttpResponse(exc.error_status_hint)
            )
            return
        if request is None:
            return
        guarded.start()
        if request.body:
            guarded.set_pending(len(request.body))
        response = await handler(request)
        if request.body:
            guarded.set_pending(0)
        guarded.set_unsent(len(response.body))
        await _send_response(stream, conn, response, request.method)
        guarded.set_unsent(0)
        if conn.our_state is not h11.DONE:
            return
        conn.start_next_cycle()
        guarded.expect()


async def _read_request(
    stream: trio.SocketStream,
    conn: h11.Connection,
    guarded: GuardedConnection,
) -> HttpRequest | None:
    request_head: h11.Request | None = None
    body = bytearray()
    received = 0
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            await guarded.wait_until_readable()
            with trio.fail_after(READ_TIMEOUT_S):
                data = await stream.receive_some(guarded.read_bytes)
            conn.receive_data(data)
            received += len(data)
            guarded.set_received(received, len(data))
        elif isinstance(event, h11.Request):
            request_head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                raise h11.RemoteProtocolError(
                    'request body is too long, expected at most 2 MiB',
                    error_status_hint=413,
                )
        elif isinstance(event, h11.EndOfMessage) and request_head is not None:
            if received:
                guarded.set_received(0, 0)
            return HttpRequest(
                request_head.method.decode(),
                request_head.target.decode(),
                bytes(body),
                _decode_headers(request_head.headers),
            )
        else:
            return None


async def _send_response(
    stream: trio.SocketStream,
    conn: h11.Connection,
    response: HttpResponse,
    method: str = '',
) -> None:
    if conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    headers = [
        ('Content-Length', str(len(response.body))),
        ('Content-Type', 'application/json'),
        *response.headers,
    ]
    response_head = h11.Response(status_code=response.status, headers=headers)
    data = conn.send(response_head) or b''
    if method != 'HEAD':
        data += conn.send(h11.Data(data=response.body)) or b''
    data += conn.send(h11.EndOfMessage()) or b''
    await stream.send_all(data)


async def send_request(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: list[tuple[str, str]],
    body: bytes,
    timeout_s: float,
) -> HttpResponse:
    """Send a request on a new connection and return the response.

    Raises
    ------
    HttpError
        No complete response was received in time. The request may have been
        executed, or may be executed later.
    """
    request_line = f'{method} {address[0]}:{address[1]}{path}'
    try:
        with trio.fail_after(timeout_s):
            stream = await open_tcp_stream(*address)
            async with stream:
                return await _exchange(
                    stream, address, method, path, headers, body
                )
    except trio.TooSlowError as exc:
        raise HttpError(
            f'{request_line}: no response within {timeout_s} s'
        ) from exc
    except (
        OSError,
        trio.BrokenResourceError,
        h11.ProtocolError,
    ) as exc:
        raise HttpError(f'{request_line}: {exc}') from exc


async def _exchange(
    stream: trio.SocketStream,
    address: tuple[str, int],
    method: str,
    path: str,
    headers: list[tuple[str, str]],
    body: bytes,
) -> HttpResponse:
    conn = h11.Connection(h11.CLIENT)
    request = h11.Request(
        method=method,
        target=path,
        headers=[
            ('Host', f'{address[0]}:{address[1]}'),
            ('Content-Length', str(len(body))),
            ('Content-Type', 'application/json'),
            ('Connection', 'close'),
            *headers,
        ],
    )
    data = conn.send(request) or b''
    data += conn.send(h11.Data(data=body)) or b''
    data += conn.send(h11.EndOfMessage()) or b''
    await stream.send_all(data)
    status = 0
    response_headers: list[tuple[str, str]] = []
    response_body = bytearray()
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            conn.receive_data(await stream.receive_some(READ_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
            response_headers = _decode_headers(event.headers)
        elif isinstance(event, h11.Data):
            response_body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return HttpResponse(status, bytes(response_body), response_headers)
        elif isinstance(event, h11.ConnectionClosed):
            raise HttpError('connection closed before the response ended')


def _decode_headers(
    headers: Iterable[tuple[bytes, bytes]],
) -> list[tuple[str, str]]:
    return [
        (name.decode('latin-1'), value.decode('latin-1'))
        for name, value in headers
    ]
