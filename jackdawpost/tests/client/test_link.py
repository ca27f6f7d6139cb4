"""Tests of the connection of the client library."""

from __future__ import annotations

import pytest
import trio

from jackdawpost.client.link import AnswerLostError
from jackdawpost.client.link import ProxyAddress
from jackdawpost.client.link import run_link
from jackdawpost.core.messages.caller import Rollback
from jackdawpost.wire.server import Endpoints
from jackdawpost.wire.server import serve_endpoints
from jackdawpost.wire.stream import FrameStream

ANSWER_TIMEOUT_MS = 60_000
TEST_TIMEOUT_S = 5.0


async def test_request_on_an_ended_connection_fails_immediately(
    nursery: trio.Nursery,
) -> None:
    # Guards against a transaction that, after its proxy was killed, waits
    # for its whole deadline and then for the same time again to roll back.
    async def close_connection(stream: FrameStream, peer: str) -> None:
        await stream.abort()

    endpoints = Endpoints({'/v1/session': close_connection}, {})
    port = await nursery.start(serve_endpoints, '127.0.0.1', 0, endpoints)
    address = ProxyAddress('127.0.0.1', port)
    link = await nursery.start(run_link, address, 1_000)
    with trio.fail_after(TEST_TIMEOUT_S):
        while link.usable:
            await trio.sleep(0.01)
        with pytest.raises(AnswerLostError, match='has ended'):
            await link.request(Rollback(id=1, txn=1), ANSWER_TIMEOUT_MS)
