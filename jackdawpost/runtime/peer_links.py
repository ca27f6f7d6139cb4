"""Keeps links to a set of control processes that may change."""

from __future__ import annotations

import trio

from jackdawpost.core.effects import SetPeers
from jackdawpost.core.events import Link
from jackdawpost.core.messages.peer import Hello
from jackdawpost.runtime.shell import LinkTarget
from jackdawpost.runtime.shell import ReducerShell
from jackdawpost.wire.sockets import PEER_KEEPALIVE_TIMEOUT_MS

# A machine without power answers nothing, and the kernel repeats an opening
# only after a second: an attempt made too early is better made anew.
OPEN_TIMEOUT_MS = 300
RETRY_MAX_S = 0.2


class PeerLinks:
    """Carries out `SetPeers`: one link to each address.

    Parameters
    ----------
    link : str
        Kind of the other end as the reducer sees it.
    port : int
        Port of the control processes.
    path : str
        WebSocket path.
    hello : Hello, optional
        First message on each link.
    """

    def __init__(
        self, link: Link, port: int, path: str, hello: Hello | None = None
    ) -> None:
        self.shell: ReducerShell | None = None
        self._link = link
        self._port = port
        self._path = path
        self._hello = hello
        self._scopes: dict[str, trio.CancelScope] = {}

    def set_peers(self, effect: SetPeers) -> None:
        """Open links to new peers and close those to all others."""
        assert self.shell is not None
        for peer in [p for p in self._scopes if p not in effect.peers]:
            self._scopes.pop(peer).cancel()
        for peer in effect.peers:
            if peer not in self._scopes:
                self._scopes[peer] = trio.CancelScope()
                self.shell.spawn(self._keep, peer, self._scopes[peer])

    async def _keep(self, peer: str, scope: trio.CancelScope) -> None:
        assert self.shell is not None
        target = LinkTarget(
            self._link,
            peer,
            peer,
            self._port,
            self._path,
            hello=self._hello,
            timeout_ms=OPEN_TIMEOUT_MS,
            keepalive_timeout_ms=PEER_KEEPALIVE_TIMEOUT_MS,
            retry_max_s=RETRY_MAX_S,
        )
        with scope:
            await self.shell.maintain_link(target)
