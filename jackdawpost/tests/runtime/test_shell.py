"""How the shell performs the effects of a reducer."""

from __future__ import annotations

import trio
import trio.testing

from jackdawpost.core.effects import Close
from jackdawpost.core.effects import Send
from jackdawpost.core.events import ConnOpened
from jackdawpost.runtime.shell import ReducerShell


class FakeStream:
    """Stream that records what is posted and when it is closed."""

    def __init__(self):
        self.calls = []

    async def receive(self):
        await trio.sleep_forever()

    def post(self, *frames):
        self.calls.append(frames)

    async def abort(self):
        self.calls.append('aborted')

    async def aclose(self, reason=''):
        self.calls.append('closed')


async def _perform(effects, conn=1):
    """Return what a connection is asked to do for the effects of one event."""
    stream = FakeStream()

    def reduce(state, event):
        return effects if isinstance(event, ConnOpened) else []

    shell = ReducerShell(
        'test', None, reduce, {}, encoders={'session': lambda m: bytes(m)}
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(shell.run, [])
        nursery.start_soon(shell.serve_link, 'session', stream, '')
        await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()
    return stream.calls


async def test_frames_of_one_event_are_posted_together():
    # Each post is a system call and, for the peer, a packet.
    effects = [Send(conn=1, messages=[65]), Send(conn=1, messages=[66, 67])]
    assert await _perform(effects) == [(b'A', b'BC')]


async def test_frames_are_posted_before_the_connection_is_closed():
    effects = [
        Close(conn=1, reason='done', abort=False),
        Send(conn=1, messages=[65]),
    ]
    assert await _perform(effects) == [(b'A',), 'closed']
