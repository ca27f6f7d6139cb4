"""Tests of the operator connection against a server on loopback."""

from __future__ import annotations

import ssl
from functools import partial

import pytest
import trio
import trustme
from websockets.trio.server import serve

from jackdawpost.cli.operator_link import LinkError
from jackdawpost.cli.operator_link import open_operator_link
from jackdawpost.cli.operator_link import OPERATOR_PATH
from jackdawpost.core.messages.operator import OperatorAnswer
from jackdawpost.core.messages.operator import Query
from jackdawpost.errors import ProtocolError
from jackdawpost.settings.models import Peer
from jackdawpost.settings.models import TlsSettings
from jackdawpost.wire.codec import encode_cbor
from jackdawpost.wire.codec import FrameCodec

QUERY = Query(id=5, what='status')
ANSWER = OperatorAnswer(id=5, status='done', message='x' * 2_000_000)


async def _answer(conn):
    assert conn.request.path == OPERATOR_PATH
    assert FrameCodec(Query).decode(await conn.recv()) == [QUERY]
    await conn.send(encode_cbor([ANSWER]))


async def _close(conn):
    await conn.recv()


async def _send_nonsense(conn):
    await conn.recv()
    await conn.send(b'\xff')


async def _listen(nursery, handler, context=None):
    server = await nursery.start(
        partial(serve, handler, 0, host='127.0.0.1', ssl=context)
    )
    port = server.listeners[0].socket.getsockname()[1]
    return Peer(name='c1', host='127.0.0.1', port=port)


async def _exchange_query(peer, tls=None):
    with trio.fail_after(5):
        async with open_operator_link(peer, tls) as exchange:
            return await exchange(QUERY)


async def test_large_answer_arrives(nursery):
    # Guards against a dump that exceeds the default limit of a frame.
    peer = await _listen(nursery, _answer)
    assert await _exchange_query(peer) == ANSWER


@pytest.mark.parametrize(
    ('handler', 'error'),
    [(_close, LinkError), (_send_nonsense, ProtocolError)],
)
async def test_broken_exchange_raises_a_link_or_protocol_error(
    nursery, handler, error
):
    # Guards against a traceback or an exception group in place of an error
    # after which the request is resent.
    peer = await _listen(nursery, handler)
    with pytest.raises(error):
        await _exchange_query(peer)


async def test_refused_connection_and_plain_tcp_are_link_errors(nursery):
    # Guards against a traceback when a port in the settings is wrong.
    async def close_stream(stream):
        await stream.aclose()

    listeners = await nursery.start(
        partial(trio.serve_tcp, close_stream, 0, host='127.0.0.1')
    )
    port = listeners[0].socket.getsockname()[1]
    for number in (1, port):
        with pytest.raises(LinkError):
            await _exchange_query(
                Peer(name='c1', host='127.0.0.1', port=number)
            )


@pytest.fixture
def authority():
    return trustme.CA()


@pytest.fixture
def tls(authority, tmp_path):
    issued = authority.issue_cert('127.0.0.1', common_name='operator.ada')
    paths = [str(tmp_path / name) for name in ('cert', 'key', 'ca')]
    issued.cert_chain_pems[0].write_to_path(paths[0])
    issued.private_key_pem.write_to_path(paths[1])
    authority.cert_pem.write_to_path(paths[2])
    return TlsSettings(certificate=paths[0], key=paths[1], authority=paths[2])


@pytest.mark.parametrize(
    ('common_name', 'own_authority', 'valid'),
    [
        ('control.c1', True, True),
        ('control.c1', False, False),
        ('proxy.c1', True, False),
        ('control.c2', True, False),
    ],
)
async def test_only_the_named_control_process_gets_requests(
    nursery, authority, tls, common_name, own_authority, valid
):
    # Guards against sending change sets to a process with the certificate of
    # another process, role or authority.
    issuer = authority if own_authority else trustme.CA()
    issued = issuer.issue_cert('127.0.0.1', common_name=common_name)
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    issued.configure_cert(context)
    authority.configure_trust(context)
    context.verify_mode = ssl.CERT_REQUIRED
    peer = await _listen(nursery, _answer, context)
    if valid:
        assert await _exchange_query(peer, tls) == ANSWER
    else:
        with pytest.raises(LinkError):
            await _exchange_query(peer, tls)
