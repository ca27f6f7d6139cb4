"""Fuzzing of the caller connections of a proxy.

`frames` is a Hypothesis strategy for lists of valid, malformed and truncated
frames and of the fixed `EDGE_CASE_FRAMES`. `check_frames` sends such a list to
a proxy and checks its answers.
"""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

import cbor2
import trio
from hypothesis import strategies as st

from jackdawpost.core.messages.caller import Answer
from jackdawpost.core.messages.caller import GoingAway
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.tokens import encode_token
from jackdawpost.core.tokens import SessionToken
from jackdawpost.runtime.proxy_shell import CODECS
from jackdawpost.wire.codec import encode_cbor
from jackdawpost.wire.codec import FrameCodec
from jackdawpost.wire.codec import FrameError
from jackdawpost.wire.link import open_link
from jackdawpost.wire.server import MAX_FRAME_BYTES
from jackdawpost.wire.stream import LinkClosedError

HOST = '127.0.0.1'
# Id of the read that follows the frames, outside the range of generated ids.
FINAL_READ_ID = 7_777_777
ANSWER_TIMEOUT_S = 5.0
# Error codes that a proxy may return to callers.
KNOWN_ERROR_CODES = frozenset(
    {
        *('malformed', 'duplicate_id', 'unknown_route', 'read_only_route'),
        *('unknown_allowance', 'request_key_missing', 'invalid_token'),
        *('session_history_lost', 'unknown_transaction', 'transaction_lost'),
        *('statement_failed', 'overloaded', 'deadline', 'no_primary'),
        *('control_unreachable', 'not_joined', 'draining'),
        *('connection_lost', 'lease_lost', 'not_durable'),
    }
)

Frame = bytes | str

_REPLY_CODEC = FrameCodec(Answer, GoingAway)
_VALID_TOKEN = encode_token(SessionToken((('orders', LogPosition(1, 1)),)))
# A list that contains itself, written with the CBOR tags of shared values.
_CYCLIC_LIST = bytes.fromhex('d81c81d81d00')
_LONE_SURROGATE_JSON = '"\\ud800"'

_scalars = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-3, 70_000),
    st.sampled_from([2**63, -(2**63) - 1]),
    st.floats(),
    st.text(max_size=8),
    st.binary(max_size=8),
    st.sampled_from(['\ud800', 'x' * 5_000]),
)
_arbitrary_values = st.one_of(
    _scalars,
    st.lists(_scalars, max_size=3),
    st.dictionaries(st.text(max_size=3), _scalars, max_size=2),
    st.builds(
        cbor2.CBORTag,
        st.sampled_from([0, 1, 2, 4, 5, 30, 35, 36, 37, 100, 258, 9_999]),
        st.one_of(_scalars, st.lists(st.integers(-9, 2**40), max_size=2)),
    ),
    st.sampled_from([cbor2.undefined, cbor2.CBORSimpleValue(99)]),
)
_session_tokens = st.one_of(
    st.integers(0, len(_VALID_TOKEN)).map(lambda n: _VALID_TOKEN[:n]),
    st.integers(0, len(_VALID_TOKEN) - 1).map(
        lambda n: _VALID_TOKEN[:n] + 'A' + _VALID_TOKEN[n + 1 :]
    ),
    st.builds(
        lambda group, term, index: encode_token(
            SessionToken(((group, LogPosition(term, index)),))
        ),
        st.sampled_from(['orders', 'other']),
        st.integers(0, 2**64 - 1),
        st.integers(0, 2**64 - 1),
    ),
    st.text(max_size=40),
)
_request_ids = st.integers(1, 3)
_deadlines_ms = st.integers(20, 120)
_statements = st.fixed_dictionaries(
    {
        'kind': st.just('statement'),
        'id': _request_ids,
        'route': st.sampled_from(['orders', 'orders', 'orders', 'none']),
        'sql': st.sampled_from(
            ['select 1', 'select ?', 'insert into t values (?)', 'nonsense']
        ),
        'access': st.sampled_from(['read', 'write']),
        'deadline_ms': _deadlines_ms,
    },
    optional={
        'params': st.lists(_arbitrary_values, max_size=2),
        'max_age_ms': st.sampled_from([-1, 0, 100, 10**9]),
        'allowance': st.just('none'),
        'session': _session_tokens,
        'idempotent': st.booleans(),
        'request_key': st.text(max_size=3),
        'txn': st.integers(-1, 3),
    },
)
_transaction_messages = st.one_of(
    st.fixed_dictionaries(
        {
            'kind': st.just('begin'),
            'id': _request_ids,
            'route': st.just('orders'),
            'deadline_ms': _deadlines_ms,
        }
    ),
    st.fixed_dictionaries(
        {
            'kind': st.sampled_from(['commit', 'rollback']),
            'id': _request_ids,
            'txn': st.integers(-1, 3),
            'deadline_ms': _deadlines_ms,
        }
    ),
)
_messages_with_bad_field = st.builds(
    lambda message, field, value: {**message, field: value},
    st.one_of(_statements, _transaction_messages),
    st.sampled_from(
        [
            *('kind', 'id', 'route', 'sql', 'access', 'params', 'max_age_ms'),
            *('session', 'txn', 'deadline_ms', 'request_key', 'surplus'),
            *('idempotent', 'key', '\ud800', 'z' * 3_000),
        ]
    ),
    _arbitrary_values,
)
_messages = st.one_of(
    _statements,
    _transaction_messages,
    _messages_with_bad_field,
    _messages_with_bad_field,
)
_frame_contents = st.one_of(
    _messages, st.lists(_messages, max_size=4), _arbitrary_values
)


def _encode(value: Any, as_text: bool) -> Frame:
    try:
        return json.dumps(value) if as_text else cbor2.dumps(value)
    except (TypeError, ValueError):
        # JSON and CBOR each lack some values that the other can encode.
        return repr(value).encode('ascii', 'replace')


def _embed_param(raw: bytes) -> bytes:
    """Return a CBOR statement with raw bytes as its only parameter."""
    message = {'kind': 'statement', 'id': 1, 'route': 'orders'}
    message |= {'sql': 'select ?', 'access': 'read', 'params': ['MARK']}
    return cbor2.dumps(message).replace(cbor2.dumps('MARK'), raw)


EDGE_CASE_FRAMES: list[Frame] = [
    b'',
    b'\xff',
    # Arrays nested too deeply, as CBOR and as JSON.
    b'\x81' * 10_000,
    '[' * 100_000,
    '',
    'NaN',
    # A cyclic list as the frame and as a parameter.
    _CYCLIC_LIST,
    _embed_param(_CYCLIC_LIST),
    # Nested arrays as a parameter.
    _embed_param(b'\x81' * 500 + b'\x01'),
    # An integer of 39,000 digits as a parameter and as the kind.
    _embed_param(b'\xc2\x5a\x00\x00\x40\x00' + b'\x7f' * 0x4000),
    b'\xa1\x64kind\xc2\x5a\x00\x00\x40\x00' + b'\x7f' * 0x4000,
    # An array and a byte string with a huge declared length.
    b'\x9b\xff\xff\xff\xff\xff\xff\xff\xff',
    b'\x5b\x7f\xff\xff\xff\xff\xff\xff\xff',
    # A map whose key is an array.
    b'\xa1\x80\x01',
    # A lone surrogate as a parameter, as the kind and as a field name.
    '{"kind":"statement","id":1,"route":"orders","sql":"select ?",'
    f'"access":"read","params":[{_LONE_SURROGATE_JSON}]}}',
    f'{{"kind":{_LONE_SURROGATE_JSON}}}',
    f'{{"kind":"begin","id":1,"route":"orders",{_LONE_SURROGATE_JSON}:1}}',
    # More messages than a frame may have, of a kind that callers never send.
    encode_cbor([Answer(id=1, outcome='done')] * 65),
    # A frame above the size limit, and a statement just below it.
    b'\x00' * (MAX_FRAME_BYTES + 1),
    cbor2.dumps(
        {
            'kind': 'statement',
            'id': 1,
            'route': 'orders',
            'sql': 'select 1 -- ' + 'x' * (MAX_FRAME_BYTES - 200),
            'access': 'read',
        }
    ),
    # More parameters than a statement may have.
    cbor2.dumps(
        {
            'kind': 'statement',
            'id': 1,
            'route': 'orders',
            'sql': 'select 1',
            'params': [1.5] * 40_000,
            'access': 'read',
        }
    ),
]
_encoded_frames = st.builds(_encode, _frame_contents, st.booleans())
_truncated_frames = st.builds(
    lambda frame, n: frame[: n % (len(frame) + 1)],
    _encoded_frames,
    st.integers(0, 10_000),
)
_edge_case_frames = st.sampled_from(EDGE_CASE_FRAMES)
frames = st.lists(
    st.one_of(
        _encoded_frames,
        _encoded_frames,
        _encoded_frames,
        _truncated_frames,
        st.sampled_from(EDGE_CASE_FRAMES),
    ),
    min_size=1,
    max_size=4,
)


def count_expected_answers(frame: Frame) -> int:
    """Return how many answers a proxy has to send for a frame."""
    try:
        return len(CODECS['caller'].decode(frame))
    except FrameError:
        return 1


async def check_frames(port: int, sent: list[Frame]) -> None:
    """Send frames to a proxy and check that it answers each request.

    Parameters
    ----------
    port : int
        Port of a proxy whose route ``orders`` serves reads.
    sent : list of bytes or str
        Frames to send.

    Raises
    ------
    AssertionError
        An answer is missing, surplus, or has an unknown code or no message,
        or the connection ended although no frame exceeds `MAX_FRAME_BYTES`.
    """
    answers: list[Answer] = []
    is_oversized = any(len(frame) > MAX_FRAME_BYTES for frame in sent)
    expected_count = sum(count_expected_answers(frame) for frame in sent)
    async with open_link(HOST, port, '/v1/session') as stream:
        for frame in sent:
            stream.post(frame)
        try:
            with trio.fail_after(ANSWER_TIMEOUT_S):
                while len(answers) < expected_count:
                    answers += _REPLY_CODEC.decode(await stream.receive())
            await _check_still_served(stream)
        except LinkClosedError:
            assert is_oversized, f'proxy closed after frames {sent!r:.300}'
    for answer in answers:
        _check_answer(answer)
    malformed = Counter(_error_code(answer) for answer in answers)['malformed']
    assert is_oversized or malformed >= _count_undecodable(sent)


async def _check_still_served(stream: Any) -> None:
    stream.post(encode_cbor([build_read_request()]))
    with trio.fail_after(ANSWER_TIMEOUT_S):
        replies = _REPLY_CODEC.decode(await stream.receive())
    assert [reply.id for reply in replies] == [FINAL_READ_ID], replies
    assert replies[0].outcome == 'done', replies


def build_read_request() -> Any:
    """Return a read that a healthy proxy answers with one row."""
    return CODECS['caller'].validate(
        {
            'kind': 'statement',
            'id': FINAL_READ_ID,
            'route': 'orders',
            'sql': 'select 1',
            'access': 'read',
        }
    )


def _count_undecodable(sent: list[Frame]) -> int:
    undecodable = 0
    for frame in sent:
        try:
            CODECS['caller'].decode(frame)
        except FrameError:
            undecodable += 1
    return undecodable


def _error_code(answer: Answer) -> str:
    return answer.error.code if answer.error else ''


def _check_answer(answer: Answer) -> None:
    if answer.outcome == 'done':
        assert answer.error is None, answer
        return
    assert _error_code(answer) in KNOWN_ERROR_CODES, answer
    assert answer.error is not None and answer.error.message, answer
    assert len(answer.error.message) < 2_000, len(answer.error.message)
