"""Tests of TLS: which peers the daemons accept and connect to."""

from __future__ import annotations

import logging
from functools import partial

import pytest
import trio
import trustme

from jackdawpost.client import build_caller_context
from jackdawpost.client import open_session
from jackdawpost.client import ProxyAddress
from jackdawpost.core.messages.control import Announce
from jackdawpost.core.messages.control import AnnounceAck
from jackdawpost.core.messages.control import LeaseGrant
from jackdawpost.core.messages.control import NotLeader
from jackdawpost.core.messages.control import ProxyReport
from jackdawpost.core.messages.control import StateUpdate
from jackdawpost.core.messages.operator import Drain
from jackdawpost.core.messages.operator import OperatorAnswer
from jackdawpost.core.messages.operator import Query
from jackdawpost.core.messages.peer import Hello
from jackdawpost.runtime import control_shell
from jackdawpost.testing.certificates import issue_tls
from jackdawpost.tests.runtime.helpers import create_table
from jackdawpost.tests.runtime.helpers import daemons
from jackdawpost.tests.runtime.helpers import HOST
from jackdawpost.tests.runtime.helpers import LogCapture
from jackdawpost.tests.runtime.helpers import start_control
from jackdawpost.tests.runtime.helpers import start_proxy
from jackdawpost.tests.runtime.helpers import start_system
from jackdawpost.wire.codec import encode_cbor
from jackdawpost.wire.codec import FrameCodec
from jackdawpost.wire.link import LinkRefusedError
from jackdawpost.wire.link import open_link
from jackdawpost.wire.link import PeerIdentityError
from jackdawpost.wire.stream import LinkClosedError
from jackdawpost.wire.tls import build_client_context
from jackdawpost.wire.tls import PeerIdentity

CODEC = FrameCodec(
    AnnounceAck, LeaseGrant, NotLeader, StateUpdate, OperatorAnswer
)
REPORT = ProxyReport(
    proxy='p1',
    proxy_id='id-p1',
    incarnation='i',
    seq=1,
    host=HOST,
    port=1,
    data_centre='dc-1',
    version=0,
)
ANNOUNCE = Announce(
    name='db-1',
    group='g',
    data_id='d',
    host=HOST,
    port=1,
    data_centre='dc-1',
    slots=1,
    connections=9,
    term=0,
    leads=False,
    received=(0, 0),
)
DRAIN = Drain(id=1, change_id='c', name='x', operator='ada', drained=True)
LINKS = {
    'proxy': ('/v1/proxy', REPORT, 'proxy.p1'),
    'announce': ('/v1/announce', ANNOUNCE, 'upstream.db-1'),
    'operator': ('/v1/operator', DRAIN, 'operator.ada'),
    'peer': ('/v1/peer', Hello(name='control-2'), 'control.control-2'),
}


@pytest.fixture
def authority():
    return trustme.CA()


@pytest.fixture
def logs():
    capture = LogCapture()
    logger = logging.getLogger('jackdawpost')
    logger.addHandler(capture)
    level = logger.level
    logger.setLevel(logging.INFO)
    yield capture
    logger.setLevel(level)
    logger.removeHandler(capture)


async def _send_request(port, context, path, message):
    with trio.fail_after(5):
        async with open_link(HOST, port, path, tls=context) as stream:
            stream.post(encode_cbor([message]))
            return CODEC.decode(await stream.receive())[0]


async def _list_members(port, tls):
    query = Query(id=1, what='members')
    context = build_client_context(tls)
    return str(await _send_request(port, context, '/v1/operator', query))


@pytest.mark.parametrize('link', ['proxy', 'announce', 'operator'])
async def test_the_correct_role_and_name_are_accepted(
    authority, tmp_path, link, logs
):
    # Guards against a check that compares ROLE.NAME with NAME and therefore
    # refuses all peers if TLS is enabled.
    path, message, common_name = LINKS[link]
    control_tls = issue_tls(authority, tmp_path, 'control.control-1')
    context = build_client_context(issue_tls(authority, tmp_path, common_name))
    async with daemons() as nursery:
        port = await start_control(nursery, tmp_path, control_tls)
        reply = await _send_request(port, context, path, message)
    assert isinstance(
        reply, (LeaseGrant, AnnounceAck, NotLeader, OperatorAnswer)
    )
    refused = {'peer_refused', 'message_refused'}
    assert refused.isdisjoint(r.getMessage() for r in logs.records)


@pytest.mark.parametrize('link', LINKS)
async def test_a_wrong_role_or_name_is_refused_and_logged(
    authority, tmp_path, logs, link
):
    # Guards against a process that reports, announces, votes or sends
    # operator requests under the name of another one.
    path, message, common_name = LINKS[link]
    role = common_name.partition('.')[0]
    control_tls = issue_tls(authority, tmp_path, 'control.control-1')
    other_role = 'proxy' if role == 'upstream' else 'upstream'
    async with daemons() as nursery:
        port = await start_control(nursery, tmp_path, control_tls)
        for name, event in (
            (common_name.replace(role, other_role), 'peer_refused'),
            (
                f'{role}.somebody',
                'peer_refused' if link == 'peer' else 'message_refused',
            ),
        ):
            context = build_client_context(
                issue_tls(authority, tmp_path, name)
            )
            try:
                reply = await _send_request(port, context, path, message)
                assert reply.status == 'refused'
            except (LinkClosedError, LinkRefusedError):
                pass
            await logs.wait(event, name.partition('.')[2])


@pytest.mark.parametrize('link', LINKS)
async def test_a_missing_or_untrusted_certificate_is_refused(
    authority, tmp_path, link
):
    # Guards against a TLS context that does not verify certificates.
    path, message, common_name = LINKS[link]
    control_tls = issue_tls(authority, tmp_path, 'control.control-1')
    untrusted_tls = issue_tls(trustme.CA(), tmp_path, common_name)
    untrusted = build_client_context(untrusted_tls)
    untrusted.load_verify_locations(control_tls.authority)
    anonymous = build_caller_context(control_tls.authority)
    async with daemons() as nursery:
        port = await start_control(nursery, tmp_path, control_tls)
        for context in (untrusted, anonymous, None):
            with pytest.raises((LinkRefusedError, LinkClosedError)):
                await _send_request(port, context, path, message)


@pytest.mark.parametrize(
    ('common_name', 'joined'),
    [('control.control-1', True), ('control.c9', False), ('proxy.p', False)],
)
async def test_a_proxy_checks_which_control_process_it_reached(
    authority, tmp_path, logs, common_name, joined
):
    # Guards against accepting leases and published state from a process that
    # is not the configured control process.
    async with daemons() as nursery:
        tls = issue_tls(authority, tmp_path, common_name)
        control = await start_control(nursery, tmp_path, tls)
        tls = issue_tls(authority, tmp_path, 'proxy.proxy-1')
        await start_proxy(nursery, control, tls)
        if joined:
            operator = issue_tls(authority, tmp_path, 'operator.ada')
            with trio.fail_after(5):
                while 'proxy-1' not in await _list_members(control, operator):
                    await trio.sleep(0.05)
        else:
            await logs.wait('wrong_peer', common_name)


@pytest.mark.parametrize('required', [False, True])
async def test_callers_need_a_certificate_only_if_the_proxy_requires_it(
    authority, tmp_path, required
):
    # Guards against a default that refuses callers without a certificate, and
    # against a setting without effect.
    tls = issue_tls(authority, tmp_path, 'proxy.proxy-1')
    anonymous = build_caller_context(tls.authority)
    known = build_client_context(issue_tls(authority, tmp_path, 'caller.shop'))
    async with daemons() as nursery:
        port = await start_proxy(
            nursery, 9, tls, ask_caller_certificate=required
        )
        for context, served in ((known, True), (anonymous, not required)):
            try:
                async with open_link(
                    HOST,
                    port,
                    '/v1/session',
                    tls=context,
                    expected=PeerIdentity('proxy'),
                ) as stream:
                    assert stream.peer == 'proxy.proxy-1'
                    stream.post(b'\xff')
                    with trio.fail_after(5):
                        await stream.receive()
                    assert served
            except (LinkRefusedError, LinkClosedError):
                assert not served


async def test_a_caller_refuses_a_server_that_is_not_a_proxy(
    authority, tmp_path
):
    # Guards against sending statements to a process that is not a proxy.
    tls = issue_tls(authority, tmp_path, 'upstream.db-1')
    async with daemons() as nursery:
        port = await start_proxy(nursery, 9, tls)
        with pytest.raises(PeerIdentityError, match='upstream.db-1'):
            async with open_link(
                HOST,
                port,
                '/v1/session',
                tls=build_caller_context(tls.authority),
                expected=PeerIdentity('proxy'),
            ):
                pass


async def test_a_query_needs_no_operator_name(authority, tmp_path):
    # Guards against a name check that refuses queries, which contain no
    # operator name.
    control_tls = issue_tls(authority, tmp_path, 'control.control-1')
    tls = issue_tls(authority, tmp_path, 'operator.ada')
    async with daemons() as nursery:
        port = await start_control(nursery, tmp_path, control_tls)
        query = Query(id=1, what='status')
        reply = NotLeader(leader=None)
        with trio.fail_after(5):
            while isinstance(reply, NotLeader):
                reply = await _send_request(
                    port, build_client_context(tls), '/v1/operator', query
                )
        assert reply.status == 'done'


async def test_an_operator_link_without_a_message_is_closed(
    tmp_path, monkeypatch
):
    # Guards against idle connections that accumulate on a control process.
    monkeypatch.setattr(control_shell, 'FIRST_FRAME_TIMEOUT_S', 0.1)
    async with daemons() as nursery:
        port = await start_control(nursery, tmp_path)
        async with open_link(HOST, port, '/v1/operator') as stream:
            with trio.fail_after(3), pytest.raises(LinkClosedError):
                await stream.receive()


async def test_a_complete_system_serves_writes_over_tls(authority, tmp_path):
    # Guards against a connection between operator, control, upstream, proxy
    # and caller that works only without TLS.
    issue = partial(issue_tls, authority, tmp_path)
    async with daemons() as nursery:
        port, _ = await start_system(nursery, tmp_path, issue)
        context = build_caller_context(issue('proxy.proxy-1').authority)
        address = ProxyAddress(HOST, port)
        async with open_session([address], tls=context) as session:
            await create_table(session)
            await session.write(
                'orders', 'insert into t values (?)', [7], request_key='k'
            )
            result = await session.read('orders', 'select x from t')
    assert result.rows == [[7]]
