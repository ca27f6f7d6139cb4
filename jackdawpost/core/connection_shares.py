"""How the poolers share the connections that an upstream accepts.

Each pooler has a guaranteed share. Where there are fewer connections than
poolers nobody has one: connections are then opened on demand and closed soon
after, and a few poolers, the watchers of the upstream, keep one to observe it.
Every process derives the same watchers from the published members.
"""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32

# Connections per upstream that are not shared out among the proxies. They
# remain for control, for checks of newcomers, and for joining members.
RESERVED_CONNECTIONS = 3
# Share of the connections that watchers keep open. The rest serves statements.
WATCHER_SHARE = 1 / 3
# A majority of the watchers must be able to fail without hiding an upstream.
MIN_WATCHERS = 3


def guaranteed_connections(max_connections: int, proxies: int) -> int:
    """Return how many connections to an upstream each pooler may keep.

    Parameters
    ----------
    max_connections : int
        Connections that the upstream accepts from all poolers together.
    proxies : int
        Number of poolers.
    """
    shared = max(0, max_connections - RESERVED_CONNECTIONS)
    return shared // max(1, proxies)


def is_scarce(max_connections: int, proxies: int) -> bool:
    """Return whether there are fewer connections than poolers."""
    return guaranteed_connections(max_connections, proxies) < 1


def is_watcher(
    proxy: str, upstream: str, proxies: Iterable[str], max_connections: int
) -> bool:
    """Return whether a pooler is one of the watchers of an upstream."""
    shared = max(0, max_connections - RESERVED_CONNECTIONS)
    watchers = max(MIN_WATCHERS, int(shared * WATCHER_SHARE))
    rank = (_weight(proxy, upstream), proxy)
    before = sum(
        (_weight(other, upstream), other) < rank
        for other in proxies
        if other != proxy
    )
    return before < watchers


def _weight(proxy: str, upstream: str) -> int:
    return crc32(f'{upstream}/{proxy}'.encode())
