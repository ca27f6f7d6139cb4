"""Connections that a session pooler opens to upstreams."""

from __future__ import annotations

import pytest
import trio

from jackdawpost.core.effects import Connect
from jackdawpost.core.events import ConnClosed
from jackdawpost.platform.lines import open_database_stream
from jackdawpost.runtime.pooler_shell import UpstreamOpener
from jackdawpost.runtime.shell import ReducerShell


async def _open(host):
    """Return the events after a connection to `host` was requested."""
    events = []

    def reduce(state, event):
        events.append(event)
        return []

    shell = ReducerShell('test', None, reduce, {})
    opener = UpstreamOpener(open_database_stream)
    opener.shell = shell
    connect = Connect(
        conn=7,
        peer='u1',
        host=host,
        port=5432,
        purpose='check',
        timeout_ms=1_000,
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(shell.run, [])
        opener.connect(connect)
        with trio.move_on_after(2):
            while not events:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    return events


@pytest.mark.parametrize('host', ['127.0.0.1\ufffd', 'a..b', '127.0.0.1\0'])
async def test_newcomer_with_an_invalid_address_ends_no_process(host):
    # The address of a newcomer comes from its own report. An error of the
    # resolver ended all proxies, again at each start.
    [event] = await _open(host)
    assert isinstance(event, ConnClosed)
    assert (event.conn, event.reason) == (7, 'refused')
