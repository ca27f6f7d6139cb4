"""Simulated databases in the process of the test, and their client."""

from __future__ import annotations

from contextlib import asynccontextmanager

import trio

from jackdawpost.core.messages.upstream import AdminDone
from jackdawpost.core.messages.upstream import Execute
from jackdawpost.core.messages.upstream import Executed
from jackdawpost.core.messages.upstream import Follow
from jackdawpost.core.messages.upstream import Open
from jackdawpost.core.messages.upstream import Opened
from jackdawpost.core.messages.upstream import Probed
from jackdawpost.core.messages.upstream import Progress
from jackdawpost.core.messages.upstream import Promote
from jackdawpost.core.messages.upstream import Sealed
from jackdawpost.wire.codec import encode_cbor
from jackdawpost.wire.codec import FrameCodec
from jackdawpost.wire.link import open_link
from jackdawpost_standin.process import StandinDatabase
from jackdawpost_standin.settings import StandinSettings

HOST = '127.0.0.1'
TIMEOUT_S = 5
CODEC = FrameCodec(Opened, Executed, Probed, Progress, Sealed, AdminDone)


def build_settings(name='db-1', **options):
    """Return the settings of a database on loopback."""
    return StandinSettings.model_validate(
        {
            'name': name,
            'data_centre': 'dc-1',
            'listen': {'host': HOST, 'port': 1},
            'group': 'orders',
            **options,
        }
    )


async def start(nursery, name='db-1', **options):
    """Start one database on a free port."""
    standin = StandinDatabase(build_settings(name, **options), port=0)
    await nursery.start(standin.run)
    return standin


class Client:
    """Client on one connection to a database."""

    def __init__(self, stream):
        self.stream = stream
        self.opened = None
        self._inbox = []
        self._last_id = 0

    def post(self, *messages):
        self.stream.post(encode_cbor(list(messages)))

    async def receive(self):
        with trio.fail_after(TIMEOUT_S):
            while not self._inbox:
                self._inbox = CODEC.decode(await self.stream.receive())
        return self._inbox.pop(0)

    async def request(self, message_type, **fields):
        """Send one request and return its answer."""
        self._last_id += 1
        self.post(message_type(id=self._last_id, **fields))
        while True:
            answer = await self.receive()
            if getattr(answer, 'id', None) == self._last_id:
                return answer

    async def execute(self, sql, params=None, access='write', **fields):
        defaults = {
            'term': 1,
            'must_lead': access == 'write',
            'timeout_ms': 1_000,
        }
        return await self.request(
            Execute,
            sql=sql,
            params=params,
            access=access,
            **{**defaults, **fields},
        )


@asynccontextmanager
async def connect(standin, purpose='statements', peer='proxy-1'):
    """Open a connection for a purpose."""
    async with open_link(HOST, standin.port, '/v1/upstream') as stream:
        client = Client(stream)
        client.post(Open(peer=peer, purpose=purpose))
        client.opened = await client.receive()
        yield client


async def send_admin_request(standin, message_type, **fields):
    """Send one admin request on a new connection and return its answer."""
    async with connect(standin, 'admin', 'control-1') as client:
        return await client.request(message_type, **fields)


async def promote(standin, *replicas, term=1):
    """Promote `standin` and let the others replicate from it."""
    done = await send_admin_request(standin, Promote, term=term)
    assert done.ok, done
    for replica in replicas:
        done = await send_admin_request(
            replica,
            Follow,
            term=term,
            primary=standin.cfg.name,
            host=HOST,
            port=standin.port,
        )
        assert done.ok, done


async def wait_for(condition, timeout_s=TIMEOUT_S):
    """Poll until a condition is true."""
    with trio.fail_after(timeout_s):
        while not condition():
            await trio.sleep(0.002)
