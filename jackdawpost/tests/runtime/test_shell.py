"""How the shell performs the effects of a reducer."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from jackdawpost.core.effects import Close
from jackdawpost.core.effects import Send
from jackdawpost.core.events import ConnOpened
from jackdawpost.core.messages.control import NotLeader
from jackdawpost.errors import EncodingError
from jackdawpost.runtime.shell import ReducerShell
from jackdawpost.wire.codec import encode_cbor
from jackdawpost.wire.codec import encode_compressed


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


def _encode_bytes(messages):
    return bytes(messages)


async def _perform(effects, encode=_encode_bytes):
    """Return what a connection is asked to do for the effects of one event."""
    stream = FakeStream()

    def reduce(state, event):
        return effects if isinstance(event, ConnOpened) else []

    shell = ReducerShell(
        'test', None, reduce, {}, encoders={'session': encode}
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


def _encode_or_refuse(messages):
    if 0 in messages:
        raise EncodingError('malformed line')
    return bytes(messages)


@pytest.mark.parametrize(
    'encode, bad_messages',
    [
        (_encode_or_refuse, [0]),
        (encode_cbor, [NotLeader(leader='\ud800')]),
        (encode_compressed, [NotLeader(leader='\ud800')]),
    ],
)
async def test_unencodable_message_closes_its_connection_only(
    encode, bad_messages
):
    # Guards against a process that a text ends which it passes on, and against
    # messages that are sent without the one before them.
    good_messages = [65] if encode is _encode_or_refuse else [NotLeader()]
    effects = [
        Send(conn=1, messages=good_messages),
        Send(conn=1, messages=bad_messages),
        Send(conn=1, messages=good_messages),
    ]
    assert await _perform(effects, encode) == ['aborted']
