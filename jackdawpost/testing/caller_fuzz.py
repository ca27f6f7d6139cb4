"""Bad input of callers: random frames, and what a proxy owes for them."""

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
LAST_ID = 7_777_777
ANSWER_S = 5.0
CODES = frozenset(
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

_REPLIES = FrameCodec(Answer, GoingAway)
_TOKEN = encode_token(SessionToken((('orders', LogPosition(1, 1)),)))
# A list that contains itself, by the CBOR tags for shared values.
_CYCLE = bytes.fromhex('d81c81d81d00')
_SURROGATE = '"\\ud800"'

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
_odd = st.one_of(
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
_tokens = st.one_of(
    st.integers(0, len(_TOKEN)).map(lambda n: _TOKEN[:n]),
    st.integers(0, len(_TOKEN) - 1).map(
        lambda n: _TOKEN[:n] + 'A' + _TOKEN[n + 1 :]
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
_ids = st.integers(1, 3)
_deadlines = st.integers(20, 120)
_statement = st.fixed_dictionaries(
    {
        'kind': st.just('statement'),
        'id': _ids,
        'route': st.sampled_from(['orders', 'orders', 'orders', 'none']),
        'sql': st.sampled_from(
            ['select 1', 'select ?', 'insert into t values (?)', 'nonsense']
        ),
        'access': st.sampled_from(['read', 'write']),
        'deadline_ms': _deadlines,
    },
    optional={
        'params': st.lists(_odd, max_size=2),
        'max_age_ms': st.sampled_from([-1, 0, 100, 10**9]),
        'allowance': st.just('none'),
        'session': _tokens,
        'idempotent': st.booleans(),
        'request_key': st.text(max_size=3),
        'txn': st.integers(-1, 3),
    },
)
_others = st.one_of(
    st.fixed_dictionaries(
        {
            'kind': st.just('begin'),
            'id': _ids,
            'route': st.just('orders'),
            'deadline_ms': _deadlines,
        }
    ),
    st.fixed_dictionaries(
        {
            'kind': st.sampled_from(['commit', 'rollback']),
            'id': _ids,
            'txn': st.integers(-1, 3),
            'deadline_ms': _deadlines,
        }
    ),
)
_faulty = st.builds(
    lambda message, field, value: {**message, field: value},
    st.one_of(_statement, _others),
    st.sampled_from(
        [
            *('kind', 'id', 'route', 'sql', 'access', 'params', 'max_age_ms'),
            *('session', 'txn', 'deadline_ms', 'request_key', 'surplus'),
            *('idempotent', 'key', '\ud800', 'z' * 3_000),
        ]
    ),
    _odd,
)
_messages = st.one_of(_statement, _others, _faulty, _faulty)
_contents = st.one_of(_messages, st.lists(_messages, max_size=4), _odd)


def _encode(value: Any, as_text: bool) -> Frame:
    try:
        return json.dumps(value) if as_text else cbor2.dumps(value)
    except (TypeError, ValueError):
        # The other encoding cannot carry the value either way round.
        return repr(value).encode('ascii', 'replace')


def _embed(raw: bytes) -> bytes:
    message = {'kind': 'statement', 'id': 1, 'route': 'orders'}
    message |= {'sql': 'select ?', 'access': 'read', 'params': ['MARK']}
    return cbor2.dumps(message).replace(cbor2.dumps('MARK'), raw)


SPECIAL_FRAMES: list[Frame] = [
    b'',
    b'\xff',
    b'\x81' * 10_000,
    '[' * 100_000,
    '',
    'NaN',
    _CYCLE,
    _embed(_CYCLE),
    _embed(b'\x81' * 500 + b'\x01'),
    _embed(b'\xc2\x5a\x00\x00\x40\x00' + b'\x7f' * 0x4000),
    b'\xa1\x64kind\xc2\x5a\x00\x00\x40\x00' + b'\x7f' * 0x4000,
    b'\x9b\xff\xff\xff\xff\xff\xff\xff\xff',
    b'\x5b\x7f\xff\xff\xff\xff\xff\xff\xff',
    b'\xa1\x80\x01',
    '{"kind":"statement","id":1,"route":"orders","sql":"select ?",'
    f'"access":"read","params":[{_SURROGATE}]}}',
    f'{{"kind":{_SURROGATE}}}',
    f'{{"kind":"begin","id":1,"route":"orders",{_SURROGATE}:1}}',
    encode_cbor([Answer(id=1, outcome='done')] * 65),
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
_encoded = st.builds(_encode, _contents, st.booleans())
_cut = st.builds(
    lambda frame, n: frame[: n % (len(frame) + 1)],
    _encoded,
    st.integers(0, 10_000),
)
_special = st.sampled_from(SPECIAL_FRAMES)
frames = st.lists(
    st.one_of(
        _encoded, _encoded, _encoded, _cut, st.sampled_from(SPECIAL_FRAMES)
    ),
    min_size=1,
    max_size=4,
)


def count_owed(frame: Frame) -> int:
    """Return how many answers a proxy owes for a frame."""
    try:
        return len(CODECS['caller'].decode(frame))
    except FrameError:
        return 1


async def check_frames(port: int, sent: list[Frame]) -> None:
    """Send frames to a proxy and check that each is answered.

    Parameters
    ----------
    port : int
        Port of a proxy whose route ``orders`` serves reads.
    sent : list of bytes or str
        Frames.

    Raises
    ------
    AssertionError
        An answer is missing, surplus, unclear, or the connection ended
        without an oversized frame.
    """
    answers: list[Answer] = []
    is_oversized = any(len(frame) > MAX_FRAME_BYTES for frame in sent)
    owed = sum(count_owed(frame) for frame in sent)
    async with open_link(HOST, port, '/v1/session') as stream:
        for frame in sent:
            stream.post(frame)
        try:
            with trio.fail_after(ANSWER_S):
                while len(answers) < owed:
                    answers += _REPLIES.decode(await stream.receive())
            await _check_still_served(stream)
        except LinkClosedError:
            assert is_oversized, f'closed after {sent!r:.300}'
    for answer in answers:
        _check_answer(answer)
    malformed = Counter(_code(answer) for answer in answers)['malformed']
    assert is_oversized or malformed >= _count_unreadable(sent)


async def _check_still_served(stream: Any) -> None:
    stream.post(encode_cbor([read_request()]))
    with trio.fail_after(ANSWER_S):
        replies = _REPLIES.decode(await stream.receive())
    assert [reply.id for reply in replies] == [LAST_ID], replies
    assert replies[0].outcome == 'done', replies


def read_request() -> Any:
    """Return a read that a healthy proxy answers with one row."""
    return CODECS['caller'].validate(
        {
            'kind': 'statement',
            'id': LAST_ID,
            'route': 'orders',
            'sql': 'select 1',
            'access': 'read',
        }
    )


def _count_unreadable(sent: list[Frame]) -> int:
    unreadable = 0
    for frame in sent:
        try:
            CODECS['caller'].decode(frame)
        except FrameError:
            unreadable += 1
    return unreadable


def _code(answer: Answer) -> str:
    return answer.error.code if answer.error else ''


def _check_answer(answer: Answer) -> None:
    if answer.outcome == 'done':
        assert answer.error is None, answer
        return
    assert _code(answer) in CODES, answer
    assert answer.error is not None and answer.error.message, answer
    assert len(answer.error.message) < 2_000, len(answer.error.message)
