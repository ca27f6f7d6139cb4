"""Control processes get every role change; listed newcomers are approved."""

from __future__ import annotations

import trio

from jackdawpost.core.messages.control import Announce
from jackdawpost.core.messages.control import AnnounceAck
from jackdawpost.core.messages.control import Approval
from jackdawpost.core.messages.control import ApprovalRequest
from jackdawpost.wire.codec import encode_cbor
from jackdawpost.wire.codec import FrameCodec
from jackdawpost.wire.server import Endpoints
from jackdawpost.wire.server import serve_endpoints
from jackdawpost.wire.stream import LinkClosedError
from jackdawpost_standin.faults import FaultState
from jackdawpost_standin.tests.helpers import HOST
from jackdawpost_standin.tests.helpers import promote
from jackdawpost_standin.tests.helpers import start
from jackdawpost_standin.tests.helpers import wait_for

CODEC = FrameCodec(Announce, Approval)


class FakeControl:
    """Control process that records announcements and approvals."""

    def __init__(self):
        self.streams = []
        self.announces = []
        self.approvals = []

    async def serve(self, stream, peer):
        self.streams.append(stream)
        try:
            while True:
                for message in CODEC.decode(await stream.receive()):
                    self._handle_message(stream, message)
        except LinkClosedError:
            return

    def _handle_message(self, stream, message):
        if isinstance(message, Approval):
            self.approvals.append(message)
            return
        self.announces.append(message)
        stream.post(encode_cbor([AnnounceAck(state='joined')]))

    def request_approval(self, newcomer):
        req = ApprovalRequest(
            newcomer=newcomer,
            newcomer_id=f'id-{newcomer}',
            host=HOST,
            port=1,
            role='proxy',
        )
        self.streams[-1].post(encode_cbor([req]))


async def _start_control(nursery):
    control = FakeControl()
    endpoints = Endpoints({'/v1/announce': control.serve}, {})
    port = await nursery.start(serve_endpoints, HOST, 0, endpoints)
    return control, {'name': f'control-{port}', 'host': HOST, 'port': port}


async def test_every_control_process_is_sent_role_changes_immediately(nursery):
    first, first_peer = await _start_control(nursery)
    second, second_peer = await _start_control(nursery)
    standin = await start(
        nursery,
        control=[first_peer, second_peer],
        announce_interval_ms=60_000,
    )
    await wait_for(lambda: first.announces and second.announces)
    assert first.announces[0].port == standin.port
    await promote(standin)
    await wait_for(lambda: first.announces[-1].leads)
    await wait_for(lambda: second.announces[-1].leads)
    assert second.announces[-1].term == 1
    await wait_for(lambda: len(standin.announcer.acks) == 2)


async def test_announces_regularly_and_reconnects(nursery):
    control, peer = await _start_control(nursery)
    await start(nursery, control=[peer], announce_interval_ms=10)
    await wait_for(lambda: len(control.announces) >= 3)
    await control.streams[0].abort()
    await wait_for(lambda: len(control.streams) == 2)
    announce_count = len(control.announces)
    await wait_for(lambda: len(control.announces) > announce_count)


async def test_approval_names_member_and_newcomer(nursery):
    control, peer = await _start_control(nursery)
    standin = await start(nursery, control=[peer])
    await wait_for(lambda: control.announces)
    control.request_approval('proxy-9')
    await wait_for(lambda: control.approvals)
    approval = control.approvals[0]
    assert approval.member_id == standin.database.role.data_id
    assert (approval.newcomer, approval.newcomer_id) == (
        'proxy-9',
        'id-proxy-9',
    )


async def test_only_listed_newcomers_are_approved(nursery):
    control, peer = await _start_control(nursery)
    await start(nursery, control=[peer], approve=['proxy-2'])
    await wait_for(lambda: control.announces)
    control.request_approval('proxy-1')
    control.request_approval('proxy-2')
    await wait_for(lambda: control.approvals)
    assert [item.newcomer for item in control.approvals] == ['proxy-2']


async def test_isolated_database_sends_no_announces(nursery):
    control, peer = await _start_control(nursery)
    standin = await start(nursery, control=[peer], announce_interval_ms=5)
    await wait_for(lambda: control.announces)
    standin.faults.state = FaultState(isolated=[peer['name']])
    await trio.sleep(0.05)
    announce_count = len(control.announces)
    control.request_approval('proxy-1')
    await trio.sleep(0.05)
    assert (len(control.announces), control.approvals) == (
        announce_count,
        [],
    )
    standin.faults.state = FaultState()
    await wait_for(lambda: len(control.announces) > announce_count)
