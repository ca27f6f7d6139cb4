"""HTTP/1.1 towards the platform, operators and databases, by `h11`."""

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
from jackdawpost.wire.server import LISTEN_BACKLOG
from jackdawpost.wire.server import ListenError
from jackdawpost.wire.sockets import CALLER_KEEPALIVE_TIMEOUT_MS
from jackdawpost.wire.sockets import enable_keepalive

LOG = logging.getLogger(__name__)

READ_BYTES = 65_536
# The platform's largest configuration, with room for its growth.
MAX_BODY_BYTES = 2 << 20
# A peer that is slower than this blocks nobody else, but holds memory.
REQUEST_TIMEOUT_S = 10.0


class HttpError(ProtocolError):
    """The other end does not speak HTTP as expected, or is gone."""


@dataclass(slots=True)
class HttpRequest:
    """A request as it was received; names of headers are in lower case."""

    method: str
    path: str
    body: bytes
    headers: list[tuple[str, str]] = field(default_factory=list)


@dataclass(slots=True)
class HttpResponse:
    """A response to send, or one received.

    Names of received headers are in lower case.
    """

    status: int
    body: bytes = b''
    headers: list[tuple[str, str]] = field(default_factory=list)


Serve = Callable[[HttpRequest], Awaitable[HttpResponse]]


async def serve_http(host: str, port: int, serve: Serve) -> None:
    """Serve requests until cancelled.

    Raises
    ------
    ListenError
        The address cannot be listened on.
    """
    try:
        listeners = await trio.open_tcp_listeners(
            port, host=host, backlog=LISTEN_BACKLOG
        )
    except OSError as exc:
        raise ListenError(f'cannot listen on {host}:{port}: {exc}') from exc

    async def handle(stream: trio.SocketStream) -> None:
        try:
            enable_keepalive(stream, CALLER_KEEPALIVE_TIMEOUT_MS)
            await _serve_stream(stream, serve)
        except (
            OSError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.TooSlowError,
            h11.RemoteProtocolError,
            HttpError,
        ) as exc:
            LOG.debug('http connection ended', extra={'detail': str(exc)})
        finally:
            await trio.aclose_forcefully(stream)

    await trio.serve_listeners(handle, listeners)


async def _serve_stream(stream: trio.SocketStream, serve: Serve) -> None:
    conn = h11.Connection(h11.SERVER)
    while True:
        try:
            request = await _read_request(stream, conn)
        except h11.RemoteProtocolError as exc:
            await _send(stream, conn, HttpResponse(exc.error_status_hint))
            return
        if request is None:
            return
        response = await serve(request)
        await _send(stream, conn, response)
        if conn.our_state is not h11.DONE:
            return
        conn.start_next_cycle()


async def _read_request(
    stream: trio.SocketStream, conn: h11.Connection
) -> HttpRequest | None:
    head: h11.Request | None = None
    body = bytearray()
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            with trio.fail_after(REQUEST_TIMEOUT_S):
                conn.receive_data(await stream.receive_some(READ_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                raise h11.RemoteProtocolError(
                    'body is too long', error_status_hint=413
                )
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return HttpRequest(
                head.method.decode(),
                head.target.decode(),
                bytes(body),
                _decode_headers(head.headers),
            )
        else:
            return None


async def _send(
    stream: trio.SocketStream, conn: h11.Connection, response: HttpResponse
) -> None:
    if conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    headers = [
        ('Content-Length', str(len(response.body))),
        ('Content-Type', 'application/json'),
        *response.headers,
    ]
    head = h11.Response(status_code=response.status, headers=headers)
    data = conn.send(head) or b''
    data += conn.send(h11.Data(data=response.body)) or b''
    data += conn.send(h11.EndOfMessage()) or b''
    await stream.send_all(data)


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: list[tuple[str, str]],
    body: bytes,
    timeout_s: float,
) -> HttpResponse:
    """Make one request on a connection of its own.

    Raises
    ------
    HttpError
        There was no whole response in time; the request may have been, or
        may still be, carried out.
    """
    place = f'{method} {address[0]}:{address[1]}{path}'
    try:
        with trio.fail_after(timeout_s):
            stream = await trio.open_tcp_stream(*address)
            async with stream:
                return await _exchange(
                    stream, address, method, path, headers, body
                )
    except trio.TooSlowError as exc:
        raise HttpError(f'{place}: no response in {timeout_s} s') from exc
    except (
        OSError,
        trio.BrokenResourceError,
        h11.RemoteProtocolError,
    ) as exc:
        raise HttpError(f'{place}: {exc}') from exc


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
    answer_headers: list[tuple[str, str]] = []
    answer = bytearray()
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            conn.receive_data(await stream.receive_some(READ_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
            answer_headers = _decode_headers(event.headers)
        elif isinstance(event, h11.Data):
            answer += event.data
        elif isinstance(event, h11.EndOfMessage):
            return HttpResponse(status, bytes(answer), answer_headers)
        elif isinstance(event, h11.ConnectionClosed):
            raise HttpError('closed before the response')


def _decode_headers(
    headers: Iterable[tuple[bytes, bytes]],
) -> list[tuple[str, str]]:
    return [
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in headers
    ]
