"""Fuzzing of the decoders of bytes from outside.

`damaged_inputs` is a Hypothesis strategy of valid inputs with random damage.
`check_decoder` passes one to a decoder, which has to decode it or to raise a
`ProtocolError`: any other exception would end the process. `check_pieces`
sends one in pieces to a server, which has to serve the next client.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

import cbor2
import trio
from hypothesis import strategies as st

from jackdawpost.core.messages.session import Execute
from jackdawpost.core.messages.session import Request
from jackdawpost.errors import ProtocolError
from jackdawpost.platform.documents import decode_config
from jackdawpost.platform.documents import decode_departure
from jackdawpost.platform.documents import decode_instance
from jackdawpost.platform.lines import CALLER_CODEC
from jackdawpost.platform.lines import DATABASE_CODEC
from jackdawpost.platform.lines import decode_status
from jackdawpost.platform.lines import encode_messages
from jackdawpost.runtime import control_shell
from jackdawpost.runtime import proxy_shell
from jackdawpost.wire.codec import FrameCodec
from jackdawpost.wire.http import HttpRequest
from jackdawpost.wire.http import HttpResponse
from jackdawpost.wire.http import serve_http
from jackdawpost.wire.line_stream import LineStream
from jackdawpost.wire.server import Endpoints
from jackdawpost.wire.server import serve_endpoints
from jackdawpost.wire.stream import FrameStream

HOST = '127.0.0.1'
ANSWER_TIMEOUT_S = 5.0
MAX_PIECE_BYTES = 40

_CONFIG = {
    'version': 3,
    'routes': [
        {
            'name': 'r-1',
            'databaseName': 'orders',
            'type': 'primary',
            'timeoutMs': 2_000,
            'service': 'pool',
        }
    ],
    'services': [{'name': 'pool', 'maxConnections': 20}],
    'tenants': [{'name': 't', 'apiKeys': ['k'], 'ratePerS': 5, 'burst': 1}],
    'limits': {'txnIdleMs': 3_000},
}
_REPORT = {
    'service': 'pool',
    'address': '10.0.0.1:5432',
    'zone': 'rvk-a',
    'state': 'ready',
    'dbRole': 'primary',
    'sequence': 1,
    'born': 1_700_000_000_000,
}
_CALLER_LINES = [
    b'START orders key',
    b'QUERY a1 READ 7',
    b'QUERY a2 WRITE 7 blue',
    b'QUERY a3 PREPARE p READ q',
    b'QUERY a4 EXECUTE p 7',
    b'QUERY a5 SET zone x',
    b'QUERY a6 BEGIN READ',
    b'QUERY a7 COMMIT',
    b'TERMINATE',
]
_DATABASE_LINES = [
    b'READY I 3.12',
    b'READY T -',
    b'DATAROW blue',
    b'COMPLETE i-1.a1',
    b'ERROR BUSY all slots are taken',
]
_STATUS_ROWS = [b'primary 3 3.1209 0 12 2 17', b'replica 4 4.0 3 9 0 1']
# Inserted into inputs: deep nesting, long and special numbers, invalid UTF-8,
# half a surrogate pair, control characters, separators.
_INSERTIONS = [
    b'[' * 100_000,
    b'{"a":' * 50_000,
    b'\x81' * 10_000,
    b'9' * 5_000,
    b'-1',
    b'1e999',
    b'NaN',
    b'null',
    b'\xff\xfe',
    b'\xed\xa0\x80',
    b'"\\ud800"',
    b'\x00',
    b'\r',
    b'\n',
    b'\r\n',
    b' ',
    b'%00',
    b'%ff',
    b'::1%x y',
    b'\xc2\x5a\x00\x00\x40\x00' + b'\x7f' * 0x4000,
    b'\x9b\xff\xff\xff\xff\xff\xff\xff\xff',
    b'\xd8\x1c\x81\xd8\x1d\x00',
]


@dataclass(slots=True)
class Decoder:
    """Decoder under test.

    Parameters
    ----------
    decode : callable
        Receives bytes; raises `ProtocolError` if they are invalid.
    samples : list of bytes
        Valid inputs.
    """

    decode: Callable[[bytes], Any]
    samples: list[bytes]


def _decode_caller_lines(data: bytes) -> None:
    for message in CALLER_CODEC.decode(data + b'\r\n'):
        if isinstance(message, Request):
            # What a caller may send, the pooler must be able to pass on.
            encode_messages([Execute(id=message.id, text=message.text)])


def _decode_status_row(data: bytes) -> None:
    decode_status(data.decode(errors='surrogateescape'))


def _decode_text_or_binary(codec: FrameCodec, data: bytes) -> None:
    errors: list[ProtocolError] = []
    for frame in (data, data.decode(errors='replace')):
        try:
            codec.decode(frame)
        except ProtocolError as exc:
            errors.append(exc)
    if errors:
        raise errors[0]


_OBJECT = {'kind': 'statement', 'id': 1, 'route': 'orders', 'sql': 'x'}
_FRAMES = [
    json.dumps(_OBJECT).encode(),
    json.dumps([_OBJECT, {'kind': 'hello', 'name': 'c-1'}]).encode(),
    cbor2.dumps([{**_OBJECT, 'access': 'read', 'params': [1, 'a', b'b']}]),
]

DECODERS: dict[str, Decoder] = {
    'caller lines': Decoder(_decode_caller_lines, _CALLER_LINES),
    'database lines': Decoder(
        lambda data: DATABASE_CODEC.decode(data + b'\r\n'), _DATABASE_LINES
    ),
    'status rows': Decoder(_decode_status_row, _STATUS_ROWS),
    'configurations': Decoder(decode_config, [json.dumps(_CONFIG).encode()]),
    'status reports': Decoder(
        partial(decode_instance, 'i-1'), [json.dumps(_REPORT).encode()]
    ),
    'departures': Decoder(decode_departure, [b'{"born":1700000000000}']),
    **{
        f'frames of {program} from {link}': Decoder(
            partial(_decode_text_or_binary, codec), _FRAMES
        )
        for program, codecs in (
            ('proxy', proxy_shell.CODECS),
            ('control', control_shell.CODECS),
        )
        for link, codec in codecs.items()
    },
}


# A masked WebSocket text frame in two fragments; the mask of zeros changes
# nothing.
_FRAGMENTS = b'\x01\x84\x00\x00\x00\x00{"ki\x80\x84\x00\x00\x00\x00nd":'
STREAM_SAMPLES: dict[str, list[bytes]] = {
    'lines': [b'\r\n'.join([*_CALLER_LINES, b''])],
    'http': [
        b'PUT /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n12345'
        b'GET /b?c=%20 HTTP/1.1\r\nHost: x\r\n\r\n',
        b'POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'3\r\nabc\r\n0\r\n\r\n',
    ],
    'frames': [
        b'GET /link HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n'
        b'Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n'
        b'Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n' + _FRAGMENTS,
    ],
}
piece_sizes = st.lists(st.integers(1, MAX_PIECE_BYTES), min_size=1, max_size=4)


async def start_server(nursery: trio.Nursery, protocol: str) -> int:
    """Start a server of one of `STREAM_SAMPLES`; return its port.

    What it receives is decoded as by the programs, and answered.
    """
    if protocol == 'frames':
        endpoints = Endpoints({'/link': _serve_frames}, {})
        port: int = await nursery.start(serve_endpoints, HOST, 0, endpoints)
        return port
    listeners = await trio.open_tcp_listeners(0, host=HOST)
    port = listeners[0].socket.getsockname()[1]
    if protocol == 'lines':
        nursery.start_soon(trio.serve_listeners, _serve_lines, listeners)
        return port
    await listeners[0].aclose()
    nursery.start_soon(serve_http, HOST, port, _answer_request)
    await trio.sleep(0.05)
    return port


async def _serve_frames(stream: FrameStream, peer: str) -> None:
    try:
        while True:
            frame = await stream.receive()
            proxy_shell.CODECS['caller'].decode(frame)
            stream.post(frame)
    except ProtocolError:
        pass


async def _serve_lines(stream: trio.SocketStream) -> None:
    lines = LineStream(stream)
    try:
        while True:
            data = await lines.receive()
            CALLER_CODEC.decode(data)
            lines.post(data)
    except ProtocolError:
        await lines.aclose()


async def _answer_request(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200, request.body)


def _damage(data: bytes, changes: list[tuple[int, int, bytes]]) -> bytes:
    for position, removed, inserted in changes:
        start = position % (len(data) + 1)
        data = data[:start] + inserted + data[start + removed :]
    return data


_changes = st.tuples(
    st.integers(0, 2_000),
    st.integers(0, 12),
    st.one_of(st.binary(max_size=6), st.sampled_from(_INSERTIONS)),
)


def damaged_inputs(samples: list[bytes]) -> st.SearchStrategy[bytes]:
    """Return a strategy of the samples with up to four changes."""
    return st.one_of(
        st.builds(
            _damage, st.sampled_from(samples), st.lists(_changes, max_size=4)
        ),
        st.binary(max_size=60),
        st.sampled_from(_INSERTIONS),
    )


def check_decoder(decoder: Decoder, data: bytes) -> None:
    """Decode bytes; raise what the process would not survive."""
    try:
        decoder.decode(data)
    except ProtocolError as exc:
        assert len(str(exc)) < 5_000, 'the text of the refusal is too long'


async def check_pieces(port: int, data: bytes, sizes: list[int]) -> None:
    """Send bytes in pieces of these sizes, repeated, and then disconnect.

    Raises
    ------
    AssertionError
        The server does not accept the next connection.
    """
    stream = await trio.open_tcp_stream(HOST, port)
    try:
        async with stream:
            start = number = 0
            while start < len(data):
                size = sizes[number % len(sizes)]
                number += 1
                if number > 50:  # enough pieces to cut every part once
                    size = len(data)
                await stream.send_all(data[start : start + size])
                start += size
            await stream.send_eof()
            with trio.move_on_after(ANSWER_TIMEOUT_S):
                while await stream.receive_some(65_536):
                    pass
    except (OSError, trio.BrokenResourceError):
        pass  # refused
    with trio.fail_after(ANSWER_TIMEOUT_S):
        await (await trio.open_tcp_stream(HOST, port)).aclose()
