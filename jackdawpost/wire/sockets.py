"""Socket options that end connections which have gone silent."""

from __future__ import annotations

import socket

import trio

# Between processes: longer than an election, shorter than a lease matters.
PEER_KEEPALIVE_TIMEOUT_MS = 2_000
# Callers may be suspended for seconds and go on afterwards.
CALLER_KEEPALIVE_TIMEOUT_MS = 15_000
PROBES = 2


def enable_keepalive(
    stream: trio.SocketStream, keepalive_timeout_ms: int
) -> None:
    """Have the kernel end a connection whose other end stops to answer.

    Parameters
    ----------
    keepalive_timeout_ms : int
        Time without any acknowledgement, in milliseconds. It covers both
        unacknowledged data and an idle connection.
    """
    interval_s = max(1, keepalive_timeout_ms // 1_000 // (PROBES + 1))
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, interval_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval_s),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, keepalive_timeout_ms),
    )
    for level, option, value in options:
        stream.socket.setsockopt(level, option, value)
