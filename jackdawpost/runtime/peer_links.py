"""Maintains connections to a changing set of control processes."""

from __future__ import annotations

import trio

from jackdawpost.core.effects import SetPeers
from jackdawpost.core.events import Link
from jackdawpost.core.messages.peer import Hello
from jackdawpost.runtime.shell import LinkTarget
from jackdawpost.runtime.shell import ReducerShell
from jackdawpost.wire.sockets import PEER_KEEPALIVE_TIMEOUT_MS

# A machine that is still powered off does not answer, and the kernel resends
# the SYN only after a second. A new attempt connects earlier than that.
OPEN_TIMEOUT_MS = 300
MAX_RECONNECT_DELAY_S = 0.2


class PeerLinks:
    """Performs `SetPeers` effects: keeps one link to each address.

    Parameters
    ----------
    link : str
        Kind of the links, as in `ConnOpened`.
    port : int
        Port of the control processes.
    path : str
        WebSocket path on the control processes.
    hello : Hello, optional
        First message to send on each link.
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
        """Open links to new peers and close links to removed peers."""
        assert self.shell is not None
        for peer in [p for p in self._scopes if p not in effect.peers]:
            self._scopes.pop(peer).cancel()
        for peer in effect.peers:
            if peer not in self._scopes:
                self._scopes[peer] = trio.CancelScope()
                self.shell.spawn(self._maintain_link, peer, self._scopes[peer])

    async def _maintain_link(self, peer: str, scope: trio.CancelScope) -> None:
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
            max_reconnect_delay_s=MAX_RECONNECT_DELAY_S,
        )
        with scope:
            await self.shell.maintain_link(target)
