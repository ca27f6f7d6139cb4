"""Codecs of the line protocol that callers and databases speak.

A message is one line: a keyword, then fields separated by spaces. The last
field extends to the end of the line. CR LF ends each line.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import Any

from jackdawpost.core.effects import Connect
from jackdawpost.core.keys import digest_caller_key
from jackdawpost.core.messages.session import Done
from jackdawpost.core.messages.session import EndSession
from jackdawpost.core.messages.session import Execute
from jackdawpost.core.messages.session import Failed
from jackdawpost.core.messages.session import Internal
from jackdawpost.core.messages.session import OpenUpstream
from jackdawpost.core.messages.session import Ready
from jackdawpost.core.messages.session import Request
from jackdawpost.core.messages.session import Row
from jackdawpost.core.messages.session import SessionState
from jackdawpost.core.messages.session import StartSession
from jackdawpost.core.messages.session import UpstreamStatus
from jackdawpost.core.messages.session import Verb
from jackdawpost.core.positions import LogPosition
from jackdawpost.errors import ProtocolError
from jackdawpost.wire.codec import FrameError
from jackdawpost.wire.line_stream import check_word
from jackdawpost.wire.line_stream import encode_line
from jackdawpost.wire.line_stream import LineStream
from jackdawpost.wire.line_stream import open_line_stream

MAX_DATABASE_CHARS = 255  # of an endpoint
NO_ID = '-'  # of statements that this process sends on its own behalf
NO_POSITION = '-'
# Error handler of str codecs that passes on invalid UTF-8 unchanged.
_UTF8_ERRORS = 'surrogateescape'
# For error texts of this process: a line break would end the message.
_LINE_BREAKS_TO_SPACES = str.maketrans({'\r': ' ', '\n': ' '})

_STATES: dict[str, SessionState] = {
    'I': 'idle',
    'T': 'in_txn',
    'E': 'failed_txn',
}
_STATE_KEYWORDS = {state: keyword for keyword, state in _STATES.items()}

# Codes of `Failed` by the error keywords of the line protocol.
_ERROR_CODES = {
    'BUSY': 'overloaded',
    'ABORTED': 'aborted',
    'LAGGING': 'behind',
    'READONLY': 'not_primary',
    'MISROUTED': 'wrong_upstream',
    'CONNLIMIT': 'no_connections',
    'INDOUBT': 'unknown_outcome',
    'TIMEOUT': 'timeout',
    'NODATABASE': 'no_database',
    'UNAUTH': 'unauthorized',
    'TOOBIG': 'too_large',
    'MALFORMED': 'malformed',
    'NOSTMT': 'no_statement',
    'FAILED': 'statement_failed',
}
_ERROR_KEYWORDS = {code: keyword for keyword, code in _ERROR_CODES.items()}
# The line protocol has no keyword of its own for a transaction that has
# failed earlier.
_ERROR_KEYWORDS['failed_txn'] = 'MALFORMED'

# Statements of the internal actions that have neither a name nor an argument.
_INTERNAL_STATEMENTS: dict[str, str] = {
    'begin': 'BEGIN',
    'begin_read': 'BEGIN READ',
    'rollback': 'ROLLBACK',
    'reset': 'RESET',
    'status': 'STATUS',
    'resume': 'RESUME',
}


def encode_messages(messages: list[Any]) -> bytes:
    """Encode messages as lines.

    Raises
    ------
    EncodingError
        A text would end its line, or its field, before its own end.
    """
    lines = [_ENCODERS[type(message)](message) for message in messages]
    return b''.join(encode_line(line, _UTF8_ERRORS) for line in lines)


def _encode_execute(message: Execute) -> str:
    after = _encode_after(message.after)
    return f'QUERY {check_word(message.id)} {after}{message.text}'


def _encode_internal(message: Internal) -> str:
    text = _INTERNAL_STATEMENTS.get(message.action)
    if text is None:
        text = message.action.upper()
        if message.name:
            text += f' {check_word(message.name)}'
        if message.argument:
            text += f' {message.argument}'
    return f'QUERY {NO_ID} {_encode_after(message.after)}{text}'


def _encode_after(position: LogPosition | None) -> str:
    return '' if position is None else f'AFTER {_encode_position(position)} '


def _encode_position(position: LogPosition | None) -> str:
    if position is None:
        return NO_POSITION
    return f'{position.term}.{position.index}'


def _encode_ready(message: Ready) -> str:
    state = _STATE_KEYWORDS[message.state]
    return f'READY {state} {_encode_position(message.position)}'


def _encode_failed(message: Failed) -> str:
    keyword = _ERROR_KEYWORDS.get(message.code, 'FAILED')
    return f'ERROR {keyword} {message.text.translate(_LINE_BREAKS_TO_SPACES)}'


def _encode_open(message: OpenUpstream) -> str:
    fields = (message.group, message.peer, message.upstream)
    return ' '.join(['START', *map(check_word, fields)])


_ENCODERS: dict[type[Any], Callable[[Any], str]] = {
    Execute: _encode_execute,
    Internal: _encode_internal,
    OpenUpstream: _encode_open,
    Row: lambda m: f'DATAROW {m.text}',
    Done: lambda m: f'COMPLETE {m.signature}',
    Failed: _encode_failed,
    Ready: _encode_ready,
}


class LineCodec:
    """Decoder of the lines that one kind of peer may send.

    Parameters
    ----------
    decoders : dict
        Maps the keyword of a line to a function that decodes the rest.
    """

    def __init__(self, decoders: dict[str, Callable[[str], Any]]) -> None:
        self._decoders = decoders

    def decode(self, frame: bytes | str) -> list[Any]:
        """Decode complete lines into messages.

        Raises
        ------
        FrameError
            A line is malformed, or this kind of peer may not send it.
        """
        assert isinstance(frame, bytes)
        text = frame.decode(errors=_UTF8_ERRORS)
        return [self._decode_line(line) for line in text.split('\r\n')[:-1]]

    def _decode_line(self, line: str) -> Any:
        if '\n' in line or '\r' in line:
            raise FrameError(
                f'malformed line {line!r:.80}, expected CR LF only at its end'
            )
        keyword, _, rest = line.partition(' ')
        decoder = self._decoders.get(keyword)
        if decoder is None:
            accepted = ', '.join(self._decoders)
            raise FrameError(
                f'unknown keyword {keyword!r:.40}, expected one of {accepted}'
            )
        return decoder(rest)


def _decode_start(rest: str) -> StartSession:
    database, _, key = rest.partition(' ')
    if not database:
        raise FrameError('START without a field, expected a database name')
    # A longer name is unknown anyway, and may have to wait in memory.
    return StartSession(
        database=database[: MAX_DATABASE_CHARS + 1],
        key=digest_caller_key(key),
    )


def decode_request(rest: str) -> Request:
    """Decode the fields of a ``QUERY`` line of a caller.

    A statement that is unknown or has the wrong fields gets the verb
    ``'unknown'``.

    Raises
    ------
    FrameError
        The id or the statement is missing.
    """
    request_id, _, text = rest.partition(' ')
    if not request_id or request_id == NO_ID or not text:
        raise FrameError(
            f'malformed QUERY {rest!r:.80}, expected an id and a statement'
        )
    keyword, _, fields = text.partition(' ')
    verb = _VERBS_BY_KEYWORD.get(keyword, 'unknown')
    name, _, argument = fields.partition(' ')
    if verb == 'begin' and fields:
        verb = 'begin_read' if fields == 'READ' else 'unknown'
    elif verb in ('commit', 'rollback') and fields:
        verb = 'unknown'
    elif verb in _FIELD_CHECKS and not _FIELD_CHECKS[verb](name, argument):
        verb = 'unknown'
    if verb not in ('set', 'prepare', 'execute', 'deallocate'):
        return Request(id=request_id, text=text, verb=verb)
    return Request(
        id=request_id, text=text, verb=verb, name=name, argument=argument
    )


_VERBS_BY_KEYWORD: dict[str, Verb] = {
    'BEGIN': 'begin',
    'COMMIT': 'commit',
    'ROLLBACK': 'rollback',
    'READ': 'read',
    'WRITE': 'write',
    'SET': 'set',
    'PREPARE': 'prepare',
    'EXECUTE': 'execute',
    'DEALLOC': 'deallocate',
}

# Checks that a statement has exactly the fields that its verb requires.
_FIELD_CHECKS: dict[str, Callable[[str, str], bool]] = {
    'read': lambda name, argument: bool(name) and not argument,
    'write': lambda name, argument: bool(name) and bool(argument),
    'set': lambda name, argument: bool(name) and bool(argument),
    'prepare': lambda name, argument: (
        bool(name) and argument.split(' ')[0] in ('READ', 'WRITE')
    ),
    'execute': lambda name, argument: bool(name) and bool(argument),
    'deallocate': lambda name, argument: bool(name) and not argument,
}


def _decode_failed(rest: str) -> Failed:
    keyword, _, text = rest.partition(' ')
    return Failed(
        code=_ERROR_CODES.get(keyword, 'statement_failed'), text=text
    )


def _decode_ready(rest: str) -> Ready:
    state, _, position = rest.partition(' ')
    if state not in _STATES:
        raise FrameError(
            f'unknown session state {state!r:.20}, expected I, T or E'
        )
    return Ready(state=_STATES[state], position=decode_position(position))


def decode_position(text: str) -> LogPosition | None:
    """Decode a log position: ``TERM.NUMBER``, or ``-`` for None.

    Raises
    ------
    FrameError
        The text has another form.
    """
    if text == NO_POSITION:
        return None
    term, _, number = text.partition('.')
    try:
        return LogPosition(int(term), int(number))
    except ValueError as exc:
        raise FrameError(
            f'malformed log position {text!r:.40}, expected TERM.NUMBER or -'
        ) from exc


def decode_status(row: str) -> UpstreamStatus:
    """Decode the row that a database returns for ``STATUS``.

    Its fields are role, term, last position received, term held, replication
    lag in ms, number of slots in use and number of open connections. Only the
    first three are read.

    Raises
    ------
    ProtocolError
        One of the first three fields is missing or malformed.
    """
    fields = row.split(' ')
    try:
        role, term = fields[0], int(fields[1])
        received = decode_position(fields[2])
    except (ValueError, IndexError) as exc:
        raise ProtocolError(
            f'malformed status {row!r:.80}, expected a role, a term and a log '
            'position'
        ) from exc
    if role not in ('primary', 'replica') or received is None:
        raise ProtocolError(
            f'malformed status {row!r:.80}, expected the role primary or '
            'replica, and a log position other than -'
        )
    return UpstreamStatus(
        leads=role == 'primary', term=term, received=received
    )


CALLER_CODEC = LineCodec(
    {
        'START': _decode_start,
        'QUERY': decode_request,
        'TERMINATE': lambda rest: EndSession(),
    }
)
DATABASE_CODEC = LineCodec(
    {
        'DATAROW': lambda rest: Row(text=rest),
        'COMPLETE': lambda rest: Done(signature=rest),
        'ERROR': _decode_failed,
        'READY': _decode_ready,
    }
)


def open_database_stream(
    effect: Connect,
) -> AbstractAsyncContextManager[LineStream]:
    """Connect to a database; the connection is closed on exit."""
    return open_line_stream(effect.host, effect.port, effect.timeout_ms)
