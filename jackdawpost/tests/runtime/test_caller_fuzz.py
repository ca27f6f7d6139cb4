"""Tests of a proxy that receives invalid frames from callers."""

from __future__ import annotations

import json

import trio
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings

from jackdawpost.client import open_session
from jackdawpost.client import ProxyAddress
from jackdawpost.core.messages.caller import MAX_PARAMS
from jackdawpost.testing.caller_fuzz import check_frames
from jackdawpost.testing.caller_fuzz import EDGE_CASE_FRAMES
from jackdawpost.testing.caller_fuzz import frames
from jackdawpost.tests.runtime.helpers import create_table
from jackdawpost.tests.runtime.helpers import daemons
from jackdawpost.tests.runtime.helpers import HOST
from jackdawpost.tests.runtime.helpers import start_proxy
from jackdawpost.tests.runtime.helpers import start_system
from jackdawpost.tests.runtime.helpers import wait_for_first_write
from jackdawpost.wire.codec import MAX_FRAME_BYTES
from jackdawpost.wire.link import open_link

EXAMPLES = 100


async def test_the_longest_frame_of_a_caller_reaches_the_upstream(tmp_path):
    # Guards against a frame that exceeds the limit of the upstream after it
    # is re-encoded. The upstream would close the connection, and the proxy
    # would retry the statement.
    floats = '1.1,' * MAX_PARAMS
    start = (
        '{"kind":"statement","id":1,"route":"orders","access":"read",'
        f'"params":[{floats[:-1]}],"sql":"select 1 -- '
    )
    frame = start + 'x' * (MAX_FRAME_BYTES - len(start) - 2) + '"}'
    assert len(frame) == MAX_FRAME_BYTES
    async with daemons() as nursery:
        port, _ = await start_system(nursery, tmp_path)
        await wait_for_first_write(port)
        async with open_link(HOST, port, '/v1/session') as stream:
            stream.post(frame)
            with trio.fail_after(5):
                reply = json.loads(await stream.receive())
    assert reply['error']['code'] == 'statement_failed', reply


async def test_an_answer_has_the_encoding_of_the_latest_frame():
    # Guards against a connection that keeps answering in JSON after one text
    # frame.
    async with daemons() as nursery:
        port = await start_proxy(nursery, 9)
        async with open_link(HOST, port, '/v1/session') as stream:
            for frame in ('{}', b'\xa0', '{}'):
                stream.post(frame)
                with trio.fail_after(5):
                    assert type(await stream.receive()) is type(frame)


async def test_each_known_invalid_frame_is_answered(tmp_path):
    # Guards against frames that have crashed the proxy: half a surrogate
    # pair, a list that contains itself, an integer of 39,000 digits. The
    # proxy records a trace, because the trace contains these frames too.
    async with daemons() as nursery:
        port, _ = await start_system(
            nursery, tmp_path, record=str(tmp_path / 'trace')
        )
        await wait_for_first_write(port)
        for frame in EDGE_CASE_FRAMES:
            await check_frames(port, [frame])


async def test_invalid_input_does_not_affect_other_callers(tmp_path):
    # Guards against a frame that ends the process, gets no answer or a wrong
    # one, or prevents the proxy from serving another caller.
    async with daemons() as nursery:
        port, _ = await start_system(nursery, tmp_path)
        async with open_session([ProxyAddress(HOST, port)]) as other_session:
            await create_table(other_session)

            async def check(sent):
                async with trio.open_nursery() as check_nursery:
                    check_nursery.start_soon(check_frames, port, sent)
                    result = await other_session.read('orders', 'select 1')
                    assert result.rows == [[1]]

            @settings(
                max_examples=EXAMPLES,
                derandomize=True,
                deadline=None,
                suppress_health_check=list(HealthCheck),
            )
            @given(frames)
            def run(sent):
                trio.from_thread.run(check, sent)

            await trio.to_thread.run_sync(run)
