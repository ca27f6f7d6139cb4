"""Tests of the relay that simulates a network partition."""

from __future__ import annotations

import pytest
import trio

from bench.cluster import allocate_port
from bench.cluster import LOOPBACK
from bench.partition import PartitionRelay

NO_DATA_TIME_S = 0.1
TIMEOUT_S = 5.0


async def echo(stream: trio.SocketStream) -> None:
    async for data in stream:
        await stream.send_all(data)


async def connect(port: int) -> trio.SocketStream:
    with trio.fail_after(TIMEOUT_S):
        while True:
            try:
                return await trio.open_tcp_stream(LOOPBACK, port)
            except OSError:
                await trio.sleep(0.01)


async def test_partitioned_relay_delivers_held_bytes_after_the_partition(
    nursery: trio.Nursery,
) -> None:
    # Guards against a partition that closes connections, or that loses bytes
    # which TCP would retransmit.
    relay = PartitionRelay(allocate_port(), allocate_port())
    nursery.start_soon(trio.serve_tcp, echo, relay.target_port)
    nursery.start_soon(relay.run)
    stream = await connect(relay.port)
    await stream.send_all(b'one')
    assert await stream.receive_some() == b'one'
    relay.set_partitioned(True)
    await stream.send_all(b'two')
    second_stream = await connect(relay.port)
    await second_stream.send_all(b'three')
    with pytest.raises(trio.TooSlowError), trio.fail_after(NO_DATA_TIME_S):
        await stream.receive_some()
    relay.set_partitioned(False)
    with trio.fail_after(TIMEOUT_S):
        assert await stream.receive_some() == b'two'
        assert await second_stream.receive_some() == b'three'


async def test_relay_closes_connection_when_target_closes_it(
    nursery: trio.Nursery,
) -> None:
    # Guards against connections that stay open after the target has ended.
    relay = PartitionRelay(allocate_port(), allocate_port())

    async def close_after_first_bytes(stream: trio.SocketStream) -> None:
        await stream.receive_some()

    nursery.start_soon(
        trio.serve_tcp, close_after_first_bytes, relay.target_port
    )
    nursery.start_soon(relay.run)
    with trio.fail_after(TIMEOUT_S):
        while True:
            stream = await connect(relay.port)
            await stream.send_all(b'bye')
            try:
                assert await stream.receive_some() == b''
            except trio.BrokenResourceError:
                pass
            break
