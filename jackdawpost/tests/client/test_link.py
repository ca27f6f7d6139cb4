"""Requests on connections of the embeddable client."""

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

WAIT_MS = 60_000
LIMIT_S = 5.0


async def test_request_on_an_ended_connection_fails_at_once(
    nursery: trio.Nursery,
) -> None:
    # Guards against a transaction whose proxy was killed waiting for its
    # whole deadline, and then once more to roll back.
    async def hang_up(stream: FrameStream, peer: str) -> None:
        await stream.abort()

    endpoints = Endpoints({'/v1/session': hang_up}, {})
    port = await nursery.start(serve_endpoints, '127.0.0.1', 0, endpoints)
    address = ProxyAddress('127.0.0.1', port)
    link = await nursery.start(run_link, address, 1_000)
    with trio.fail_after(LIMIT_S):
        while link.usable:
            await trio.sleep(0.01)
        with pytest.raises(AnswerLostError, match='has ended'):
            await link.request(Rollback(id=1, txn=1), WAIT_MS)
