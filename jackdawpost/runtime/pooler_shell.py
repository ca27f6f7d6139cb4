"""Runs a session pooler: links to control and pages around its reducer.

The protocol of callers and upstreams is an adapter's: it serves the callers'
connections and opens those to upstreams.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from jackdawpost.core.effects import Connect
from jackdawpost.core.effects import SetPeers
from jackdawpost.core.events import ConnClosed
from jackdawpost.core.events import ConnOpened
from jackdawpost.core.pooler.reducer import dump_pooler
from jackdawpost.core.pooler.reducer import is_healthy
from jackdawpost.core.pooler.reducer import new_pooler
from jackdawpost.core.pooler.reducer import reduce_pooler
from jackdawpost.core.pooler.state import PoolerConfig
from jackdawpost.runtime.control_codec import FROM_CONTROL
from jackdawpost.runtime.control_codec import PROXY_PATH
from jackdawpost.runtime.pages import build_pages
from jackdawpost.runtime.peer_links import PeerLinks
from jackdawpost.runtime.process import raise_file_limit
from jackdawpost.runtime.process import run_shell
from jackdawpost.runtime.shell import Encode
from jackdawpost.runtime.shell import MessageCodec
from jackdawpost.runtime.shell import MessageStream
from jackdawpost.runtime.shell import ReducerShell
from jackdawpost.runtime.timers import read_now_ms
from jackdawpost.runtime.upstream_link import describe_failure
from jackdawpost.runtime.upstream_link import OPEN_ERRORS
from jackdawpost.settings.models import Address
from jackdawpost.wire.server import Endpoints

OpenStream = Callable[[Connect], Any]


@dataclass(slots=True, kw_only=True)
class SessionProtocol:
    """Adapter of the protocol that callers and upstreams speak.

    Parameters
    ----------
    codecs, encoders : mapping
        For the links ``'session'`` and ``'upstream'``.
    open_stream : callable
        Returns an async context manager with a `MessageStream` to an
        upstream; raises `OPEN_ERRORS`.
    """

    codecs: Mapping[str, MessageCodec]
    encoders: Mapping[str, Encode]
    open_stream: OpenStream


async def run_pooler(
    cfg: PoolerConfig,
    protocol: SessionProtocol,
    pages: Address,
    control_port: int,
    seed: int,
    *attach: Callable[[ReducerShell], Callable[[], Any] | None],
) -> int:
    """Run a session pooler until it is stopped.

    Parameters
    ----------
    pages : Address
        Where health, metrics and the state are served.
    control_port : int
        Port of the control processes.
    *attach : callable
        Called with the shell before it runs; may return a coroutine
        function to run beside.

    Returns
    -------
    int
        Exit code.
    """
    log = logging.getLogger('jackdawpost')
    raise_file_limit()
    state, effects = new_pooler(cfg, random.Random(seed), read_now_ms())
    peer_links = PeerLinks('proxy', control_port, PROXY_PATH)
    openers = UpstreamOpener(protocol.open_stream)
    shell = ReducerShell(
        cfg.name,
        state,
        reduce_pooler,
        {'proxy': FROM_CONTROL, **protocol.codecs},
        encoders=protocol.encoders,
        performers={SetPeers: peer_links.set_peers, Connect: openers.connect},
    )
    peer_links.shell = shell
    openers.shell = shell
    endpoints = Endpoints({}, build_pages(shell, is_healthy, dump_pooler))
    tasks = [task for part in attach if (task := part(shell)) is not None]
    log.info('pooler starts', extra={'port': pages.port})
    return await run_shell(shell, effects, pages, endpoints, None, [], *tasks)


class UpstreamOpener:
    """Carries out `Connect` through an adapter's protocol."""

    def __init__(self, open_stream: OpenStream) -> None:
        self.shell: ReducerShell | None = None
        self._open_stream = open_stream

    def connect(self, effect: Connect) -> None:
        """Open a connection and serve it until it ends."""
        assert self.shell is not None
        self.shell.spawn(self._run, effect)

    async def _run(self, effect: Connect) -> None:
        assert self.shell is not None
        stream: MessageStream
        try:
            async with self._open_stream(effect) as stream:
                opened = ConnOpened(
                    now_ms=read_now_ms(),
                    conn=effect.conn,
                    link='upstream',
                    peer=effect.peer,
                    purpose=effect.purpose,
                )
                await self.shell.serve_opened('upstream', stream, opened)
                return
        except OPEN_ERRORS as exc:
            reason, detail = describe_failure(exc)
        self.shell.dispatch(
            ConnClosed(
                now_ms=read_now_ms(),
                conn=effect.conn,
                reason=reason,
                detail=detail,
            )
        )
