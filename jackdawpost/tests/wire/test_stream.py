"""Tests of closing connections."""

from __future__ import annotations

import pytest
import trio

from jackdawpost.wire.link import open_link
from jackdawpost.wire.server import Endpoints
from jackdawpost.wire.server import serve_endpoints
from jackdawpost.wire.stream import LinkClosedError


async def _start_server(nursery, handler):
    endpoints = Endpoints({'/link': handler}, {})
    return await nursery.start(serve_endpoints, '127.0.0.1', 0, endpoints)


async def test_frames_that_arrive_with_the_close_frame_are_delivered(nursery):
    # Guards against losing an answer sent just before the close, which would
    # make the outcome of the request unknown.
    async def answer_and_close(stream, peer):
        stream.post(b'1')
        stream.post(b'2')

    port = await _start_server(nursery, answer_and_close)
    async with open_link('127.0.0.1', port, '/link') as link:
        await trio.sleep(0.05)
        assert [await link.receive(), await link.receive()] == [b'1', b'2']
        with pytest.raises(LinkClosedError):
            await link.receive()


async def test_post_after_the_peer_has_closed_is_dropped(nursery):
    # Guards against an error if another task posts after the peer has closed
    # the connection and before `receive` reports it.
    async def close(stream, peer):
        return

    port = await _start_server(nursery, close)
    async with open_link('127.0.0.1', port, '/link') as link:
        with pytest.raises(LinkClosedError):
            await link.receive()
        link.post(b'late')


async def test_transport_is_closed_after_a_reset_by_the_peer(nursery):
    # Guards against a socket that stays open after the peer has reset the
    # connection.
    async def reset(stream, peer):
        await stream.abort()

    port = await _start_server(nursery, reset)
    async with open_link('127.0.0.1', port, '/link') as link:
        with pytest.raises(LinkClosedError):
            await link.receive()
    assert link._stream.socket.fileno() == -1
