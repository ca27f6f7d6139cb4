"""Line protocol of callers and databases: codec and stream.

A message is one line: a word, then fields parted by blanks. The last field
extends to the end of the line, which ends with CR LF.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import Any

import trio

from jackdawpost.core.effects import Connect
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
from jackdawpost.wire.byte_writer import ByteWriter
from jackdawpost.wire.codec import FrameError
from jackdawpost.wire.link import LinkRefusedError
from jackdawpost.wire.link import LinkTimeoutError
from jackdawpost.wire.sockets import enable_keepalive
from jackdawpost.wire.sockets import PEER_KEEPALIVE_TIMEOUT_MS
from jackdawpost.wire.stream import LinkClosedError

MAX_MESSAGE_BYTES = 1 << 20
READ_BYTES = 65_536
MS_PER_SECOND = 1_000
LINE_END = b'\r\n'
NO_ID = '-'
NO_POSITION = '-'
# Bytes that are no UTF-8 are passed on as they came.
_KEEP_BYTES = 'surrogateescape'
# Characters that would end a line or a field inside a text of our own.
_BREAKS = str.maketrans({'\r': ' ', '\n': ' '})

_STATES: dict[str, SessionState] = {
    'I': 'idle',
    'T': 'in_txn',
    'E': 'failed_txn',
}
_STATE_WORDS = {state: word for word, state in _STATES.items()}

# The project's failure codes by the protocol's.
_CODES = {
    'BUSY': 'overloaded',
    'ABORTED': 'aborted',
    'LAGGING': 'behind',
    'READONLY': 'not_primary',
    'MISROUTED': 'wrong_upstream',
    'CONNLIMIT': 'no_connections',
    'INDOUBT': 'unknown_outcome',
    'TIMEOUT': 'timeout',
    'NODATABASE': 'no_database',
    'MALFORMED': 'malformed',
    'NOSTMT': 'no_statement',
    'FAILED': 'statement_failed',
}
_CODE_WORDS = {code: word for word, code in _CODES.items()}

_INTERNAL_TEXTS: dict[str, str] = {
    'begin': 'BEGIN',
    'begin_read': 'BEGIN READ',
    'rollback': 'ROLLBACK',
    'reset': 'RESET',
    'status': 'STATUS',
    'resume': 'RESUME',
}


def encode_messages(messages: list[Any]) -> bytes:
    """Encode messages as lines."""
    lines = [_ENCODERS[type(message)](message) for message in messages]
    return b''.join(
        line.encode(errors=_KEEP_BYTES) + LINE_END for line in lines
    )


def _encode_execute(message: Execute) -> str:
    return f'QUERY {message.id} {_after(message.after)}{message.text}'


def _encode_internal(message: Internal) -> str:
    text = _INTERNAL_TEXTS.get(message.action)
    if text is None:
        word = message.action.upper()
        fields = (word, message.name, message.argument)
        text = ' '.join(field for field in fields if field)
    return f'QUERY {NO_ID} {_after(message.after)}{text}'


def _after(position: LogPosition | None) -> str:
    return '' if position is None else f'AFTER {_encode_position(position)} '


def _encode_position(position: LogPosition | None) -> str:
    if position is None:
        return NO_POSITION
    return f'{position.term}.{position.index}'


def _encode_ready(message: Ready) -> str:
    state = _STATE_WORDS[message.state]
    return f'READY {state} {_encode_position(message.position)}'


def _encode_failed(message: Failed) -> str:
    word = _CODE_WORDS.get(message.code, 'FAILED')
    return f'ERROR {word} {message.text.translate(_BREAKS)}'


_ENCODERS: dict[type[Any], Callable[[Any], str]] = {
    Execute: _encode_execute,
    Internal: _encode_internal,
    OpenUpstream: lambda m: f'START {m.group} {m.peer} {m.upstream}',
    Row: lambda m: f'DATAROW {m.text}',
    Done: lambda m: f'COMPLETE {m.signature}',
    Failed: _encode_failed,
    Ready: _encode_ready,
}


class LineCodec:
    """Decodes lines of one kind of peer.

    Parameters
    ----------
    decoders : dict
        Function for the rest of the line by its first word.
    """

    def __init__(self, decoders: dict[str, Callable[[str], Any]]) -> None:
        self._decoders = decoders

    def decode(self, frame: bytes | str) -> list[Any]:
        """Decode whole lines.

        Raises
        ------
        FrameError
            A line is no message that this kind of peer may send.
        """
        assert isinstance(frame, bytes)
        text = frame.decode(errors=_KEEP_BYTES)
        return [self._decode_line(line) for line in text.split('\r\n')[:-1]]

    def _decode_line(self, line: str) -> Any:
        if '\n' in line or '\r' in line:
            raise FrameError(f'line break inside {line!r:.80}')
        word, _, rest = line.partition(' ')
        decoder = self._decoders.get(word)
        if decoder is None:
            valid = ', '.join(self._decoders)
            raise FrameError(f'word {word!r:.40}: valid are {valid}')
        return decoder(rest)


def _decode_start(rest: str) -> StartSession:
    database = rest.split(' ')[0]
    if not database:
        raise FrameError('START names no database')
    return StartSession(database=database)


def decode_request(rest: str) -> Request:
    """Decode the fields of a QUERY."""
    request_id, _, text = rest.partition(' ')
    if not request_id or request_id == NO_ID or not text:
        raise FrameError(f'QUERY {rest!r:.80}: valid is an id and a text')
    word, _, fields = text.partition(' ')
    verb = _VERBS.get(word, 'unknown')
    name, _, argument = fields.partition(' ')
    if verb == 'begin' and fields:
        verb = 'begin_read' if fields == 'READ' else 'unknown'
    elif verb in ('commit', 'rollback') and fields:
        verb = 'unknown'
    elif verb in _FIELDS_OF and not _FIELDS_OF[verb](name, argument):
        verb = 'unknown'
    if verb not in ('set', 'prepare', 'execute', 'deallocate'):
        return Request(id=request_id, text=text, verb=verb)
    return Request(
        id=request_id, text=text, verb=verb, name=name, argument=argument
    )


_VERBS: dict[str, Verb] = {
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

# Whether the fields of a statement are complete.
_FIELDS_OF: dict[str, Callable[[str, str], bool]] = {
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
    word, _, text = rest.partition(' ')
    return Failed(code=_CODES.get(word, 'statement_failed'), text=text)


def _decode_ready(rest: str) -> Ready:
    state, _, position = rest.partition(' ')
    if state not in _STATES:
        raise FrameError(f'state {state!r:.20}: valid are I, T and E')
    return Ready(state=_STATES[state], position=decode_position(position))


def decode_position(text: str) -> LogPosition | None:
    """Decode TERM.NUMBER, or ``-`` for none.

    Raises
    ------
    FrameError
        The text is neither.
    """
    if text == NO_POSITION:
        return None
    term, _, number = text.partition('.')
    try:
        return LogPosition(int(term), int(number))
    except ValueError as exc:
        raise FrameError(
            f'position {text!r:.40}: valid is TERM.NUMBER'
        ) from exc


def decode_status(row: str) -> UpstreamStatus:
    """Decode the row that answers STATUS.

    Its fields are role, term, position received, term held, lag in ms, busy
    slots and open connections.

    Raises
    ------
    ProtocolError
        The row has other fields.
    """
    fields = row.split(' ')
    try:
        role, term = fields[0], int(fields[1])
        received = decode_position(fields[2])
    except (ValueError, IndexError) as exc:
        raise ProtocolError(f'status {row!r:.80} cannot be read') from exc
    if role not in ('primary', 'replica') or received is None:
        raise ProtocolError(f'status {row!r:.80} cannot be read')
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


class LineStream:
    """Sends and receives whole lines over one connection."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._writer = ByteWriter(stream)
        self._buffer = bytearray()

    async def receive(self) -> bytes:
        """Return all whole lines that have arrived, with their ends.

        Raises
        ------
        LinkClosedError
            The connection has ended.
        FrameError
            A line is longer than 1 MiB.
        """
        while True:
            end = self._buffer.rfind(LINE_END)
            if end >= 0:
                lines = bytes(self._buffer[: end + len(LINE_END)])
                del self._buffer[: end + len(LINE_END)]
                return lines
            if len(self._buffer) > MAX_MESSAGE_BYTES:
                raise FrameError('line is longer than 1 MiB')
            if self._writer.closed:
                raise LinkClosedError('connection closed')
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except (
                trio.BrokenResourceError,
                trio.ClosedResourceError,
            ) as exc:
                raise LinkClosedError(str(exc) or 'reset') from exc
            if not data:
                raise LinkClosedError('connection closed by peer')
            self._buffer += data

    def post(self, frame: bytes | str) -> None:
        """Send lines without waiting."""
        assert isinstance(frame, bytes)
        if not self._writer.closed:
            self._writer.write(frame)

    async def aclose(self, reason: str = '') -> None:
        """Send what is unsent, then close."""
        with trio.move_on_after(1) as scope:
            scope.shield = True
            await self._writer.drain()
        await self.abort()

    async def abort(self) -> None:
        """Close at once."""
        await self._writer.abort()


@asynccontextmanager
async def open_database(effect: Connect) -> AsyncIterator[LineStream]:
    """Connect to a database.

    Raises
    ------
    LinkRefusedError
        The other end refused the connection.
    LinkTimeoutError
        The other end did not answer in time.
    """
    place = f'{effect.host}:{effect.port}'
    try:
        with trio.fail_after(effect.timeout_ms / MS_PER_SECOND):
            stream = await trio.open_tcp_stream(effect.host, effect.port)
    except trio.TooSlowError as exc:
        raise LinkTimeoutError(
            f'{place}: no answer within {effect.timeout_ms} ms'
        ) from exc
    except OSError as exc:
        raise LinkRefusedError(f'{place}: {exc}') from exc
    enable_keepalive(stream, PEER_KEEPALIVE_TIMEOUT_MS)
    lines = LineStream(stream)
    try:
        yield lines
    finally:
        await lines.abort()
