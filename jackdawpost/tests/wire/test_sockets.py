"""Reading from sockets whose file descriptors are used again."""

from __future__ import annotations

import os

import pytest
import trio
import trio.testing

from jackdawpost.wire.sockets import open_tcp_stream
from jackdawpost.wire.sockets import receive_bytes


async def _open_pair():
    [listener] = await trio.open_tcp_listeners(0, host='127.0.0.1')
    address = listener.socket.getsockname()
    client = await trio.open_tcp_stream(*address[:2])
    server = await listener.accept()
    await listener.aclose()
    return client, server


async def test_data_and_the_end_are_received():
    client, server = await _open_pair()
    async with client, server:
        await client.send_all(b'one')
        assert await receive_bytes(server, 100) == b'one'
        await client.send_eof()
        assert await receive_bytes(server, 100) == b''


async def test_waiting_task_is_told_that_the_connection_was_closed():
    client, server = await _open_pair()
    async with client, trio.open_nursery() as nursery:

        async def close():
            await trio.testing.wait_all_tasks_blocked()
            await trio.aclose_forcefully(server)

        nursery.start_soon(close)
        with pytest.raises(trio.ClosedResourceError):
            await receive_bytes(server, 100)


async def _replace_woken_connection():
    """Return what is received on a connection that is closed and replaced.

    Data wakes the task that closes it and the task that reads from it in the
    same step of the event loop; which one runs first is left to chance.
    """
    client, server = await _open_pair()
    other_client, other_server = await _open_pair()
    fd = server.socket.fileno()
    received = []

    async def receive():
        try:
            received.append(await receive_bytes(server, 100))
        except trio.ClosedResourceError:
            received.append(b'closed')

    async def replace():
        await trio.lowlevel.wait_readable(client.socket)
        server.socket.close()
        os.dup2(other_server.socket.fileno(), fd)

    async with client, other_client, other_server:
        await other_client.send_all(b'of another connection')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(replace)
            nursery.start_soon(receive)
            await trio.testing.wait_all_tasks_blocked()
            os.write(fd, b'wakes the first task')
            os.write(client.socket.fileno(), b'own')
        os.close(fd)
    return received[0]


async def test_task_woken_by_data_reads_no_other_connection():
    results = {await _replace_woken_connection() for _ in range(30)}
    # Both orders have occurred.
    assert results == {b'own', b'closed'}


@pytest.mark.parametrize(
    ('host', 'port'),
    [
        ('127.0.0.1\ufffd', 5432),
        ('a..b', 5432),
        (64 * 'a', 5432),
        ('127.0.0.1', 1 << 70),
        ('127.0.0.1', -1),
    ],
)
async def test_invalid_address_is_a_failed_connection(host, port):
    # An instance announces its own address. An error other than OSError would
    # end the process that connects to it.
    with pytest.raises(OSError, match='invalid address'):
        await open_tcp_stream(host, port)
