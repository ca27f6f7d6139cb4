"""Runs a proxy process: its reducer, connections and HTTP pages."""

from __future__ import annotations

import logging
import random
import uuid

import trio

from jackdawpost.core.messages import caller
from jackdawpost.core.messages import upstream
from jackdawpost.core.proxy.reducer import dump_proxy
from jackdawpost.core.proxy.reducer import is_healthy
from jackdawpost.core.proxy.reducer import new_proxy
from jackdawpost.core.proxy.reducer import ProxyConfig
from jackdawpost.core.proxy.reducer import reduce_proxy
from jackdawpost.runtime.control_codec import CONTROL_CODEC
from jackdawpost.runtime.control_codec import PROXY_PATH
from jackdawpost.runtime.pages import build_pages
from jackdawpost.runtime.process import build_intake_limits
from jackdawpost.runtime.process import build_tls_contexts
from jackdawpost.runtime.process import run_shell
from jackdawpost.runtime.recorder import build_recorder
from jackdawpost.runtime.recorder import TraceHeader
from jackdawpost.runtime.shell import LinkTarget
from jackdawpost.runtime.shell import ReducerShell
from jackdawpost.runtime.timers import read_now_ms
from jackdawpost.settings.models import ProxySettings
from jackdawpost.wire.codec import FrameCodec
from jackdawpost.wire.server import Endpoints
from jackdawpost.wire.stream import FrameStream

SESSION_PATH = '/v1/session'

CODECS = {
    'caller': FrameCodec(
        caller.Statement, caller.Begin, caller.Commit, caller.Rollback
    ),
    'upstream': FrameCodec(
        upstream.Opened, upstream.Executed, upstream.Probed, upstream.Progress
    ),
    'proxy': CONTROL_CODEC,
}


async def run_proxy(
    settings: ProxySettings, record_path: str | None = None
) -> int:
    """Run a proxy until it is stopped.

    Parameters
    ----------
    settings : ProxySettings
        Validated settings.
    record_path : str, optional
        File to which a trace of all events is written.

    Returns
    -------
    int
        Exit code.
    """
    log = logging.getLogger('jackdawpost')
    server_tls, client_tls = build_tls_contexts(
        settings.tls, log, settings.ask_caller_certificate
    )
    header = TraceHeader(
        role='proxy',
        settings=settings.model_dump(mode='json'),
        incarnation=uuid.uuid4().hex,
        now_ms=read_now_ms(),
    )
    cfg = ProxyConfig.from_settings(settings, header.incarnation)
    rng = random.Random(settings.seed)
    state, effects = new_proxy(cfg, rng, header.now_ms)
    shell = ReducerShell(
        settings.name,
        state,
        reduce_proxy,
        CODECS,
        tls=client_tls,
        record_event=build_recorder(record_path, header),
        intake_limits=build_intake_limits(settings),
    )

    async def serve_caller(stream: FrameStream, peer: str) -> None:
        await shell.serve_link('caller', stream, peer)

    endpoints = Endpoints(
        {SESSION_PATH: serve_caller},
        build_pages(shell, is_healthy, dump_proxy),
        max_connections=settings.max_callers,
        guard=shell.guard,
        interface='caller',
        serves_clients=True,
    )
    log.info('proxy starts', extra={'port': settings.listen.port})
    return await run_shell(
        shell,
        effects,
        settings.listen,
        endpoints,
        server_tls,
        _build_link_targets(settings),
    )


def _build_link_targets(settings: ProxySettings) -> list[LinkTarget]:
    return [
        LinkTarget('proxy', peer.name, peer.host, peer.port, PROXY_PATH)
        for peer in settings.control
    ]


def start_proxy(settings: ProxySettings, record_path: str | None) -> int:
    """Run a proxy in a new trio event loop and return its exit code."""
    return trio.run(run_proxy, settings, record_path)
