"""The relay that stands for a silent partition."""

from __future__ import annotations

import pytest
import trio

from bench.cluster import allocate_port
from bench.cluster import LOOPBACK
from bench.partition import PartitionRelay

SILENT_S = 0.1
LIMIT_S = 5.0


async def echo(stream: trio.SocketStream) -> None:
    async for data in stream:
        await stream.send_all(data)


async def connect(port: int) -> trio.SocketStream:
    with trio.fail_after(LIMIT_S):
        while True:
            try:
                return await trio.open_tcp_stream(LOOPBACK, port)
            except OSError:
                await trio.sleep(0.01)


async def test_silent_relay_holds_bytes_back_and_delivers_them_later(
    nursery: trio.Nursery,
) -> None:
    # Guards against a partition that the processes notice as a closed
    # connection, or that loses what TCP would retransmit.
    relay = PartitionRelay(allocate_port(), allocate_port())
    nursery.start_soon(trio.serve_tcp, echo, relay.target_port)
    nursery.start_soon(relay.run)
    stream = await connect(relay.port)
    await stream.send_all(b'one')
    assert await stream.receive_some() == b'one'
    relay.set_partitioned(True)
    await stream.send_all(b'two')
    fresh = await connect(relay.port)
    await fresh.send_all(b'three')
    with pytest.raises(trio.TooSlowError), trio.fail_after(SILENT_S):
        await stream.receive_some()
    relay.set_partitioned(False)
    with trio.fail_after(LIMIT_S):
        assert await stream.receive_some() == b'two'
        assert await fresh.receive_some() == b'three'


async def test_relay_passes_the_end_of_a_connection_on(
    nursery: trio.Nursery,
) -> None:
    # Guards against connections that outlive the process behind the relay.
    relay = PartitionRelay(allocate_port(), allocate_port())

    async def hang_up(stream: trio.SocketStream) -> None:
        await stream.receive_some()

    nursery.start_soon(trio.serve_tcp, hang_up, relay.target_port)
    nursery.start_soon(relay.run)
    with trio.fail_after(LIMIT_S):
        while True:
            stream = await connect(relay.port)
            await stream.send_all(b'bye')
            try:
                assert await stream.receive_some() == b''
            except trio.BrokenResourceError:
                pass
            break
