"""Tests of encoding, decoding and validation of frames.

Guards against invalid input that reaches the reducers.
"""

from __future__ import annotations

import json
import zlib

import cbor2
import pytest

from jackdawpost.core.messages.caller import Begin
from jackdawpost.core.messages.caller import Commit
from jackdawpost.core.messages.caller import Rollback
from jackdawpost.core.messages.caller import Statement
from jackdawpost.core.messages.control import LeaseGrant
from jackdawpost.core.messages.control import PublishedObject
from jackdawpost.core.messages.control import StateUpdate
from jackdawpost.core.messages.upstream import Sealed
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.positions import TermEnd
from jackdawpost.wire.codec import build_caching_encoder
from jackdawpost.wire.codec import COMPRESSED_FRAME_TAG
from jackdawpost.wire.codec import encode_cbor
from jackdawpost.wire.codec import encode_compressed
from jackdawpost.wire.codec import encode_json
from jackdawpost.wire.codec import FrameCodec
from jackdawpost.wire.codec import FrameError
from jackdawpost.wire.codec import MAX_DECOMPRESSED_BYTES

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


def test_text_that_cannot_be_passed_on_is_rejected():
    # Guards against a caller's half of a surrogate pair that ends the proxy
    # when it forwards the statement.
    with pytest.raises(FrameError, match='surrogates not allowed'):
        CALLER_CODEC.decode(json.dumps(_statement(sql='\ud83d')))
    for text in ('\U0001f600', '\\ud83d', '\u20ac'):
        frame = json.dumps(_statement(sql=text))
        assert CALLER_CODEC.decode(frame)[0].sql == text


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


def _update(routes):
    return StateUpdate(
        from_version=0,
        version=1,
        upserts=[
            PublishedObject(
                type='endpoint', name=f'r-{n}', body={'timeout_ms': 1_000}
            )
            for n in range(routes)
        ],
    )


def test_large_frame_is_compressed_and_restored():
    # 1,500 routes for 78 proxies took 34 MB between regions, and 1.4 s on the
    # link of each proxy after a restart.
    message = _update(1_500)
    frame = encode_compressed([message])
    assert len(frame) < len(encode_cbor([message])) / 5
    codec = FrameCodec(StateUpdate, accepts_compressed=True)
    assert codec.decode(frame) == [message]


def test_small_frame_is_not_compressed():
    message = LeaseGrant(seq=1, leases=[], duration_ms=1, version=1)
    assert encode_compressed([message]) == encode_cbor([message])


@pytest.mark.parametrize(
    'tag',
    [
        cbor2.CBORTag(COMPRESSED_FRAME_TAG, b'not compressed'),
        cbor2.CBORTag(COMPRESSED_FRAME_TAG, 'text'),
        cbor2.CBORTag(COMPRESSED_FRAME_TAG, zlib.compress(b'x' * 5_000)[:-4]),
        cbor2.CBORTag(1, b''),
    ],
)
def test_malformed_compressed_frame_is_refused(tag):
    codec = FrameCodec(StateUpdate, accepts_compressed=True)
    with pytest.raises(FrameError):
        codec.decode(cbor2.dumps(tag))


def test_compressed_frame_cannot_take_unlimited_memory():
    data = zlib.compress(bytes(MAX_DECOMPRESSED_BYTES + 1))
    frame = cbor2.dumps(cbor2.CBORTag(COMPRESSED_FRAME_TAG, data))
    codec = FrameCodec(StateUpdate, accepts_compressed=True)
    with pytest.raises(FrameError, match='too long'):
        codec.decode(frame)


def test_compressed_frame_is_refused_on_other_links():
    codec = FrameCodec(StateUpdate)
    with pytest.raises(FrameError):
        codec.decode(encode_compressed([_update(1_500)]))


def test_message_for_many_links_is_encoded_once():
    calls = []

    def encode(messages):
        calls.append(messages)
        return encode_cbor(messages)

    encode_once = build_caching_encoder(encode, StateUpdate)
    first, second = _update(1), _update(2)
    frames = [encode_once([m]) for m in (first, second, first, first)]
    assert frames[0] == frames[2] == frames[3] == encode_cbor([first])
    assert len(calls) == 2
    for n in range(20):
        assert encode_once([_update(n)]) == encode_cbor([_update(n)])
