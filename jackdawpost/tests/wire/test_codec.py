"""Tests of encoding, decoding and validation of frames.

Guards against invalid input that reaches the reducers.
"""

from __future__ import annotations

import cbor2
import pytest

from jackdawpost.core.messages.caller import Begin
from jackdawpost.core.messages.caller import Commit
from jackdawpost.core.messages.caller import Rollback
from jackdawpost.core.messages.caller import Statement
from jackdawpost.core.messages.control import LeaseGrant
from jackdawpost.core.messages.upstream import Sealed
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.positions import TermEnd
from jackdawpost.wire.codec import encode_cbor
from jackdawpost.wire.codec import encode_json
from jackdawpost.wire.codec import FrameCodec
from jackdawpost.wire.codec import FrameError

CALLER_CODEC = FrameCodec(Statement, Begin, Commit, Rollback)


def _statement(**fields):
    return {
        'kind': 'statement',
        'id': 7,
        'sql': 'select 1',
        'access': 'read',
        **fields,
    }


def test_round_trip_keeps_nested_positions():
    message = Sealed(
        id=1,
        ok=True,
        term=2,
        data_id='d',
        received=LogPosition(1, 2),
        history=[TermEnd(1, 2)],
    )
    codec = FrameCodec(Sealed)
    assert codec.decode(encode_cbor([message])) == [message]
    assert codec.decode(encode_json([message])) == [message]


@pytest.mark.parametrize(
    'fields',
    [
        {'id': True},
        {'id': '1'},
        {'deadline_ms': '7'},
        {'unknown_field': 1},
        {'access': 'delete'},
        {'kind': 'promote'},
        {'kind': 7},
    ],
)
def test_wrong_types_and_unknown_fields_are_rejected(fields):
    with pytest.raises(FrameError):
        CALLER_CODEC.decode(cbor2.dumps(_statement(**fields)))


def test_frame_error_contains_the_request_id():
    with pytest.raises(FrameError) as exc_info:
        CALLER_CODEC.decode(cbor2.dumps(_statement(access='x')))
    assert exc_info.value.request_id == 7


@pytest.mark.parametrize('frame', [b'', b'\xff', '{', '[]', '7'])
def test_malformed_frames_are_rejected(frame):
    with pytest.raises(FrameError):
        CALLER_CODEC.decode(frame)


def test_unknown_fields_of_nested_data_are_rejected():
    codec = FrameCodec(LeaseGrant)
    lease = {'group': 'g', 'term': 1, 'unknown_field': 1}
    message = {
        'kind': 'lease_grant',
        'seq': 1,
        'leases': [lease],
        'duration_ms': 1,
        'version': 1,
    }
    with pytest.raises(FrameError):
        codec.decode(cbor2.dumps(message))
