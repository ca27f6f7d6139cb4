"""HTTP server and client, with correct, malformed and missing messages."""

from __future__ import annotations

from functools import partial

import pytest
import trio

from jackdawpost.wire import http
from jackdawpost.wire.http import HttpError
from jackdawpost.wire.http import HttpResponse
from jackdawpost.wire.http import send_request
from jackdawpost.wire.http import serve_http

HOST = '127.0.0.1'


async def _echo_request(request):
    text = f'{request.method} {request.path} {len(request.body)}'
    return HttpResponse(200, text.encode())


async def _start_server(nursery, serve=_echo_request):
    listeners = await trio.open_tcp_listeners(0, host=HOST)
    port = listeners[0].socket.getsockname()[1]
    await listeners[0].aclose()
    nursery.start_soon(partial(serve_http, HOST, port, serve))
    await trio.sleep(0.05)
    return port


async def _send_raw(port, data, wait_s=1):
    stream = await trio.open_tcp_stream(HOST, port)
    async with stream:
        await stream.send_all(data)
        answer = b''
        with trio.move_on_after(wait_s):
            while chunk := await stream.receive_some(65_536):
                answer += chunk
        return answer


async def test_request_is_answered(nursery):
    port = await _start_server(nursery)
    response = await send_request((HOST, port), 'PUT', '/a?b', [], b'12345', 2)
    assert (response.status, response.body) == (200, b'PUT /a?b 5')


async def test_two_requests_on_one_connection_are_both_answered(nursery):
    port = await _start_server(nursery)
    one = b'GET /1 HTTP/1.1\r\nHost: x\r\n\r\n'
    two = b'GET /2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
    answer = await _send_raw(port, one + two)
    assert b'GET /1 0' in answer and b'GET /2 0' in answer


@pytest.mark.parametrize(
    'data',
    [
        b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03' + b'\x00' * 40,
        b'GET\r\n\r\n',
        b'PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: x\r\n\r\n',
        b'PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n'
        b'Content-Length: 2\r\n\r\nab',
        b'GET / HTTP/1.1\r\n\r\n',
    ],
)
async def test_malformed_request_is_rejected_and_the_next_served(
    nursery, data
):
    port = await _start_server(nursery)
    answer = await _send_raw(port, data)
    assert answer == b'' or answer.startswith(b'HTTP/1.1 4')
    response = await send_request((HOST, port), 'GET', '/next', [], b'', 2)
    assert response.status == 200


@pytest.mark.parametrize('path', ['/config', '/metrics'])
async def test_head_request_is_answered_without_a_body(nursery, path):
    # Guards against one HEAD request that ends the process.
    port = await _start_server(nursery)
    head = f'HEAD {path} HTTP/1.1\r\nHost: x\r\n\r\n'.encode()
    answer = await _send_raw(port, head + head, 0.3)
    length = len(f'HEAD {path} 0')
    responses = answer.split(b'\r\n\r\n')
    assert [r[:15] for r in responses] == 2 * [b'HTTP/1.1 200 \r\n'] + [b'']
    assert all(f'{length}'.encode() in r for r in responses[:2])


@pytest.mark.parametrize(
    'data',
    [
        b'CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n',
        b'OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n',
        b'GET / HTTP/1.0\r\n\r\n',
        b'GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: h2\r\n'
        b'\r\nmore',
        b'PUT / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n'
        b'Content-Length: 1\r\n\r\nx',
        b'HEAD / HTTP/1.0\r\n\r\nmore',
    ],
)
@pytest.mark.parametrize(
    'response',
    [
        HttpResponse(200, b'{}'),
        HttpResponse(204, b'{}'),
        HttpResponse(304, b'{}'),
        HttpResponse(200, b'{}', [('Location', 'a\r\nb: c')]),
    ],
)
async def test_unusual_request_ends_at_most_its_connection(
    nursery, data, response
):
    # Guards against a response that does not fit its request and ends the
    # process with an error that nobody catches.
    async def serve(request):
        return HttpResponse(200) if request.path == '/next' else response

    port = await _start_server(nursery, serve)
    await _send_raw(port, data, 0.1)
    answer = await send_request((HOST, port), 'GET', '/next', [], b'', 2)
    assert answer.status == 200


async def test_request_that_cannot_be_sent_fails(nursery):
    port = await _start_server(nursery)
    with pytest.raises(HttpError):
        headers = [('X-Lease-Holder', 'a\r\nb: c')]
        await send_request((HOST, port), 'GET', '/', headers, b'', 0.5)


async def test_body_above_the_limit_is_rejected(nursery, monkeypatch):
    monkeypatch.setattr(http, 'MAX_BODY_BYTES', 1_000)
    port = await _start_server(nursery)
    head = b'PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n'
    answer = await _send_raw(port, head + b'x' * 2_000)
    assert answer.startswith(b'HTTP/1.1 413')


async def test_truncated_request_is_not_handled(nursery):
    handled = []

    async def serve(request):
        handled.append(request)
        return HttpResponse(200)

    port = await _start_server(nursery, serve)
    stream = await trio.open_tcp_stream(HOST, port)
    await stream.send_all(
        b'PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc'
    )
    await stream.aclose()
    await trio.sleep(0.1)
    assert not handled


async def test_request_without_response_times_out(nursery):
    async def sleep(request):
        await trio.sleep(10)

    port = await _start_server(nursery, sleep)
    with pytest.raises(HttpError):
        await send_request((HOST, port), 'GET', '/', [], b'', 0.2)


async def test_request_to_a_closed_port_fails():
    with pytest.raises(HttpError):
        await send_request((HOST, 1), 'GET', '/', [], b'', 0.5)
