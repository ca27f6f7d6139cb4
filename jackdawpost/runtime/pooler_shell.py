"""Runs a session pooler: reducer, control links and HTTP pages.

An adapter, passed as `SessionProtocol`, implements the protocol of callers and
upstreams. It accepts the connections of callers and opens connections to
upstreams.
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
from jackdawpost.runtime.control_codec import CONTROL_CODEC
from jackdawpost.runtime.control_codec import PROXY_PATH
from jackdawpost.runtime.pages import build_pages
from jackdawpost.runtime.peer_links import PeerLinks
from jackdawpost.runtime.process import build_intake_limits
from jackdawpost.runtime.process import run_shell
from jackdawpost.runtime.shell import EncodeFrame
from jackdawpost.runtime.shell import MessageCodec
from jackdawpost.runtime.shell import MessageStream
from jackdawpost.runtime.shell import ReducerShell
from jackdawpost.runtime.timers import read_now_ms
from jackdawpost.runtime.upstream_link import describe_failure
from jackdawpost.runtime.upstream_link import OPEN_ERRORS
from jackdawpost.settings.models import Address
from jackdawpost.settings.models import IntakeSettings
from jackdawpost.wire.codec import encode_compressed
from jackdawpost.wire.server import Endpoints

OpenStream = Callable[[Connect], Any]


@dataclass(slots=True, kw_only=True)
class SessionProtocol:
    """Adapter for the protocol of callers and upstreams.

    Parameters
    ----------
    codecs, encoders : mapping
        Decoders and encoders of messages, by the kind of link:
        ``'session'`` or ``'upstream'``.
    open_stream : callable
        Receives a `Connect` effect and returns an async context manager that
        yields a `MessageStream` to the upstream. Raises one of `OPEN_ERRORS`.
    """

    codecs: Mapping[str, MessageCodec]
    encoders: Mapping[str, EncodeFrame]
    open_stream: OpenStream


async def run_pooler(
    cfg: PoolerConfig,
    protocol: SessionProtocol,
    pages_address: Address,
    control_port: int,
    seed: int,
    intake: IntakeSettings,
    *task_factories: Callable[[ReducerShell], Callable[[], Any] | None],
) -> int:
    """Run a session pooler until it is stopped.

    Parameters
    ----------
    pages_address : Address
        Listening address of the pages for health, metrics and state.
    control_port : int
        TCP port of all control processes.
    seed : int
        Seed of the random generator of the reducer.
    intake : IntakeSettings
        Limits on what clients make the process hold.
    *task_factories : callable
        Called with the shell before it runs. Each may return a coroutine
        function to run concurrently.

    Returns
    -------
    int
        Exit code.
    """
    log = logging.getLogger('jackdawpost')
    state, effects = new_pooler(cfg, random.Random(seed), read_now_ms())
    peer_links = PeerLinks('proxy', control_port, PROXY_PATH)
    opener = UpstreamOpener(protocol.open_stream)
    shell = ReducerShell(
        cfg.name,
        state,
        reduce_pooler,
        {'proxy': CONTROL_CODEC, **protocol.codecs},
        encoders={'proxy': encode_compressed, **protocol.encoders},
        effect_handlers={
            SetPeers: peer_links.set_peers,
            Connect: opener.connect,
        },
        intake_limits=build_intake_limits(intake),
    )
    peer_links.shell = shell
    opener.shell = shell
    endpoints = Endpoints(
        {}, build_pages(shell, is_healthy, dump_pooler), guard=shell.guard
    )
    tasks = [
        task
        for build_task in task_factories
        if (task := build_task(shell)) is not None
    ]
    log.info('pooler starts', extra={'port': pages_address.port})
    return await run_shell(
        shell, effects, pages_address, endpoints, None, [], *tasks
    )


class UpstreamOpener:
    """Opens connections to upstreams for `Connect` effects.

    Parameters
    ----------
    open_stream : callable
        `SessionProtocol.open_stream` of the adapter.
    """

    def __init__(self, open_stream: OpenStream) -> None:
        self.shell: ReducerShell | None = None
        self._open_stream = open_stream

    def connect(self, effect: Connect) -> None:
        """Start a task that opens a connection and serves it until closed."""
        assert self.shell is not None
        self.shell.spawn(self._open_and_serve, effect)

    async def _open_and_serve(self, effect: Connect) -> None:
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
                await self.shell.serve_connection('upstream', stream, opened)
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
