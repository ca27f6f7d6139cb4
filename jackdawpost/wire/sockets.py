"""Opening and reading from sockets, and their TCP keepalive options."""

from __future__ import annotations

import os
import socket

import trio

# For connections between processes: longer than an election takes, but short
# enough to detect a dead connection before leases are affected.
PEER_KEEPALIVE_TIMEOUT_MS = 2_000
# Callers may be suspended for seconds and resume afterwards.
CALLER_KEEPALIVE_TIMEOUT_MS = 15_000
KEEPALIVE_PROBES = 2
MAX_PORT = 65_535


async def open_tcp_stream(host: str, port: int) -> trio.SocketStream:
    """Connect to an address, which may have been received from a peer.

    Raises
    ------
    OSError
        The connection failed, or the address is invalid. The resolver raises
        other errors for a host that it cannot encode.
    """
    if not 0 < port <= MAX_PORT:
        raise OSError(
            f'invalid address: port {str(port)[:20]}, expected 1 to {MAX_PORT}'
        )
    try:
        return await trio.open_tcp_stream(host, port)
    except ValueError as exc:
        raise OSError(f'invalid address: host {host!r:.80}, {exc}') from exc


def enable_keepalive(
    stream: trio.SocketStream, keepalive_timeout_ms: int
) -> None:
    """Make the kernel close a connection to an unresponsive peer.

    Parameters
    ----------
    keepalive_timeout_ms : int
        Time without an acknowledgement from the peer after which the
        connection is closed, in milliseconds. It applies to unacknowledged
        data and to keepalive probes on an idle connection.
    """
    interval_s = max(
        1, keepalive_timeout_ms // 1_000 // (KEEPALIVE_PROBES + 1)
    )
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, interval_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, keepalive_timeout_ms),
    )
    for level, option, value in options:
        stream.socket.setsockopt(level, option, value)


async def receive_bytes(stream: trio.SocketStream, max_bytes: int) -> bytes:
    """Wait for data and return it; return no bytes at the end of the stream.

    Most connections are idle when this is called. It therefore waits first,
    while `trio.SocketStream.receive_some` tries to read first, which costs a
    system call for each message.

    Raises
    ------
    OSError
        The connection has failed.
    trio.ClosedResourceError
        This process has closed the connection.
    """
    fd = stream.socket.fileno()
    if fd < 0:
        raise trio.ClosedResourceError('connection closed')
    while True:
        await trio.lowlevel.wait_readable(fd)
        if stream.socket.fileno() != fd:
            # Closed since the task was woken: another connection may have
            # the file descriptor by now.
            raise trio.ClosedResourceError('connection closed')
        try:
            return os.read(fd, max_bytes)
        except BlockingIOError:
            continue
