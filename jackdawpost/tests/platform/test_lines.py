"""Line protocol: encoding and decoding, and malformed input."""

from __future__ import annotations

import dataclasses

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from jackdawpost.core.keys import digest_caller_key
from jackdawpost.core.messages.session import Done
from jackdawpost.core.messages.session import EndSession
from jackdawpost.core.messages.session import Execute
from jackdawpost.core.messages.session import Failed
from jackdawpost.core.messages.session import Internal
from jackdawpost.core.messages.session import OpenUpstream
from jackdawpost.core.messages.session import Ready
from jackdawpost.core.messages.session import Row
from jackdawpost.core.messages.session import StartSession
from jackdawpost.core.positions import LogPosition
from jackdawpost.errors import EncodingError
from jackdawpost.errors import ProtocolError
from jackdawpost.platform import lines
from jackdawpost.platform.lines import CALLER_CODEC
from jackdawpost.platform.lines import DATABASE_CODEC
from jackdawpost.platform.lines import decode_status
from jackdawpost.platform.lines import encode_messages
from jackdawpost.wire.codec import FrameError


@pytest.mark.parametrize(
    'message, line',
    [
        (
            OpenUpstream(group='pool', peer='edge-1', upstream='i-1'),
            b'START pool edge-1 i-1\r\n',
        ),
        (Execute(id='a1', text='READ 7'), b'QUERY a1 READ 7\r\n'),
        (
            Execute(id='a1', text='READ 7', after=LogPosition(3, 12)),
            b'QUERY a1 AFTER 3.12 READ 7\r\n',
        ),
        (
            Internal(action='begin_read', after=LogPosition(3, 12)),
            b'QUERY - AFTER 3.12 BEGIN READ\r\n',
        ),
        (
            Internal(action='set', name='zone', argument='a b'),
            b'QUERY - SET zone a b\r\n',
        ),
        (
            Internal(action='prepare', name='s1', argument='READ q1'),
            b'QUERY - PREPARE s1 READ q1\r\n',
        ),
        (Failed(code='overloaded', text='full'), b'ERROR BUSY full\r\n'),
        (Failed(code='failed_txn', text='x'), b'ERROR MALFORMED x\r\n'),
        (Ready(state='idle'), b'READY I -\r\n'),
        (
            Ready(state='failed_txn', position=LogPosition(2, 5)),
            b'READY E 2.5\r\n',
        ),
    ],
)
def test_messages_are_encoded_as_lines(message, line):
    assert encode_messages([message]) == line


ENCODED_MESSAGES = [
    OpenUpstream(group='pool', peer='edge-1', upstream='i-1'),
    Execute(id='a1', text='READ 7', after=LogPosition(3, 12)),
    Internal(action='set', name='zone', argument='a'),
    Internal(action='pause', argument='7'),
    Row(text='a'),
    Done(signature='7.1'),
    Failed(code='overloaded', text='full'),
    Ready(state='idle', position=LogPosition(2, 5)),
]
FIXED_TEXTS = {'kind', 'action', 'code', 'state'}
ENCODED_TEXTS = [
    (message, field.name)
    for message in ENCODED_MESSAGES
    for field in dataclasses.fields(message)
    if field.name not in FIXED_TEXTS
    and isinstance(getattr(message, field.name), str)
]


def _encode_with(message, field, text):
    return encode_messages([dataclasses.replace(message, **{field: text})])


def test_every_encoder_is_checked_for_texts_that_end_a_line():
    assert {type(m) for m in ENCODED_MESSAGES} == set(lines._ENCODERS)


@pytest.mark.parametrize('message, field', ENCODED_TEXTS)
@pytest.mark.parametrize('line_end', ['\r\n', '\n', '\r'])
def test_text_with_a_line_end_is_not_sent_as_two_lines(
    message, field, line_end
):
    # Guards against a statement inside a text: a database ran the rest of an
    # unknown group's name.
    text = f'x{line_end}QUERY a2 WRITE 1 foreign'
    if isinstance(message, Failed):
        # Error texts of this process may quote anything.
        sent = _encode_with(message, field, text)
        assert sent.count(b'\r') == sent.count(b'\n') == 1
        return
    with pytest.raises(EncodingError):
        _encode_with(message, field, text)


@pytest.mark.parametrize(
    'message, field',
    [
        (ENCODED_MESSAGES[0], 'group'),
        (ENCODED_MESSAGES[0], 'peer'),
        (ENCODED_MESSAGES[0], 'upstream'),
        (ENCODED_MESSAGES[1], 'id'),
        (ENCODED_MESSAGES[2], 'name'),
    ],
)
def test_text_with_a_blank_is_not_sent_as_two_fields(message, field):
    # Guards against a group's name that chooses the identity to be checked.
    with pytest.raises(EncodingError):
        _encode_with(message, field, 'pool i-2')


def test_answers_of_a_database_are_decoded_in_order():
    data = b'DATAROW a b\r\nCOMPLETE 7.1\r\nREADY T 3.9\r\nERROR LAGGING x\r\n'
    assert DATABASE_CODEC.decode(data) == [
        Row(text='a b'),
        Done(signature='7.1'),
        Ready(state='in_txn', position=LogPosition(3, 9)),
        Failed(code='behind', text='x'),
    ]


@pytest.mark.parametrize(
    'text, verb, name, argument',
    [
        ('BEGIN', 'begin', '', ''),
        ('BEGIN READ', 'begin_read', '', ''),
        ('BEGIN NOW', 'unknown', '', ''),
        ('READ 1', 'read', '', ''),
        ('READ 1 2', 'unknown', '', ''),
        ('WRITE 1', 'unknown', '', ''),
        ('SET a b c', 'set', 'a', 'b c'),
        ('PREPARE s READ q', 'prepare', 's', 'READ q'),
        ('PREPARE s DROP q', 'unknown', '', ''),
        ('EXECUTE s 1 x', 'execute', 's', '1 x'),
        ('AFTER 3.1 READ 1', 'unknown', '', ''),
        ('STATUS', 'unknown', '', ''),
        ('PAUSE 9', 'unknown', '', ''),
    ],
)
def test_statements_are_classified(text, verb, name, argument):
    # AFTER, STATUS, PAUSE and similar statements are sent by this process
    # only; a caller's statement of that form is unknown.
    request = CALLER_CODEC.decode(f'QUERY a1 {text}\r\n'.encode())[0]
    assert (request.verb, request.name, request.argument) == (
        verb,
        name,
        argument,
    )
    assert request.text == text


@pytest.mark.parametrize(
    'line',
    [
        b'\r\n',
        b'HELLO\r\n',
        b'QUERY\r\n',
        b'QUERY - READ 1\r\n',
        b'QUERY a1\r\n',
        b'START \r\n',
        b'QUERY a1 READ 1\nQUERY a2 WRITE 1 x\r\n',
        b'READY I -\r\n',
    ],
)
def test_lines_that_no_caller_may_send_are_rejected(line):
    with pytest.raises(FrameError):
        CALLER_CODEC.decode(line)


def test_start_and_end_of_a_session_are_decoded():
    decoded = CALLER_CODEC.decode(b'START orders u1\r\nTERMINATE\r\n')
    start = StartSession(database='orders', key=digest_caller_key('u1'))
    assert decoded == [start, EndSession()]


def test_key_of_a_caller_does_not_leave_the_decoder():
    # Guards against keys in traces, dumps and logs.
    [start] = CALLER_CODEC.decode(b'START orders secret\r\n')
    assert 'secret' not in repr(start)
    digest = digest_caller_key('secret')
    [start] = CALLER_CODEC.decode(f'START orders {digest}\r\n'.encode())
    assert start.key != digest  # the digest is no proof of knowing the key


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_rejected(data):
    for codec in (CALLER_CODEC, DATABASE_CODEC):
        try:
            messages = codec.decode(data + b'\r\n')
        except FrameError:
            continue
        assert messages


@settings(derandomize=True, max_examples=200)
@given(
    st.binary(max_size=60).filter(lambda b: b'\r' not in b and b'\n' not in b)
)
def test_statement_bytes_are_passed_on_unchanged(data):
    request = CALLER_CODEC.decode(b'QUERY a1 X' + data + b'\r\n')[0]
    line = encode_messages([Execute(id=request.id, text=request.text)])
    assert line == b'QUERY a1 X' + data + b'\r\n'


@pytest.mark.parametrize(
    'row', ['', 'primary', 'primary x 3.1', 'boss 3 3.1', 'replica 3 -']
)
def test_malformed_status_is_rejected(row):
    with pytest.raises(ProtocolError):
        decode_status(row)


def test_status_has_role_term_and_received_position():
    status = decode_status('replica 3 3.1209 0 12 2 17')
    assert (status.leads, status.term) == (False, 3)
    assert status.received == LogPosition(3, 1209)
