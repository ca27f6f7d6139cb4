"""Connections between two ends on loopback."""

from __future__ import annotations

import pytest
import trio

from jackdawpost.wire.link import LinkRefusedError
from jackdawpost.wire.link import LinkTimeoutError
from jackdawpost.wire.link import open_link
from jackdawpost.wire.server import Endpoints
from jackdawpost.wire.server import reply_json
from jackdawpost.wire.server import serve_endpoints
from jackdawpost.wire.stream import LinkClosedError

LARGE_FRAME_BYTES = 900_000


async def _echo(stream, peer):
    try:
        while True:
            stream.post(await stream.receive())
    except LinkClosedError:
        return


async def _start(nursery, **options):
    endpoints = Endpoints(
        {'/echo': _echo}, {'/healthz': lambda: reply_json('ok')}, **options
    )
    return await nursery.start(serve_endpoints, '127.0.0.1', 0, endpoints)


async def test_large_frames_arrive_whole_and_in_order(nursery):
    port = await _start(nursery)
    async with open_link('127.0.0.1', port, '/echo') as link:
        frames = [bytes([n]) * LARGE_FRAME_BYTES for n in range(4)]
        for frame in frames:
            link.post(frame)
        assert [await link.receive() for _ in frames] == frames


async def test_http_page_on_the_same_port(nursery):
    port = await _start(nursery)
    stream = await trio.open_tcp_stream('127.0.0.1', port)
    await stream.send_all(b'GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n')
    reply = b''
    async for chunk in stream:
        reply += chunk
    assert reply.startswith(b'HTTP/1.1 200')
    assert reply.endswith(b'"ok"\n')


async def test_unknown_path_is_refused(nursery):
    port = await _start(nursery)
    with pytest.raises(LinkRefusedError):
        async with open_link('127.0.0.1', port, '/other'):
            pass


async def test_connections_beyond_the_limit_are_refused(nursery):
    port = await _start(nursery, max_connections=1)
    async with open_link('127.0.0.1', port, '/echo'):
        with pytest.raises(LinkRefusedError):
            async with open_link('127.0.0.1', port, '/echo'):
                pass


async def test_silent_server_is_a_timeout_not_a_hang():
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listeners[0].socket.getsockname()[1]
    with pytest.raises(LinkTimeoutError):
        async with open_link('127.0.0.1', port, '/echo', timeout_ms=50):
            pass
    await listeners[0].aclose()


async def test_oversized_frame_closes_the_connection(nursery):
    port = await _start(nursery)
    async with open_link('127.0.0.1', port, '/echo') as link:
        link.post(bytes(2 * LARGE_FRAME_BYTES))
        with pytest.raises(LinkClosedError):
            await link.receive()
