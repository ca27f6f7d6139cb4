"""Entry point of a session pooler that runs on the platform.

The platform calls this process "edge". This module converts the platform's
settings into the configuration of the pooler, and connects the line protocol
of callers and databases, the readiness check, the metrics and the reload of
the settings file to it.
"""

from __future__ import annotations

import uuid
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import Any
from zlib import crc32

import trio

from jackdawpost.core.pooler.reducer import is_healthy
from jackdawpost.core.pooler.state import PoolerConfig
from jackdawpost.platform.lines import CALLER_CODEC
from jackdawpost.platform.lines import DATABASE_CODEC
from jackdawpost.platform.lines import decode_status
from jackdawpost.platform.lines import encode_messages
from jackdawpost.platform.lines import open_database_stream
from jackdawpost.platform.metrics import attach_metrics
from jackdawpost.platform.program import run_program
from jackdawpost.platform.reload import seed_hosts
from jackdawpost.platform.reload import watch_settings
from jackdawpost.platform.settings import load_platform_settings
from jackdawpost.platform.settings import PlatformSettings
from jackdawpost.platform.settings import settings_path
from jackdawpost.platform.settings import split_address
from jackdawpost.runtime.pooler_shell import run_pooler
from jackdawpost.runtime.pooler_shell import SessionProtocol
from jackdawpost.runtime.shell import ReducerShell
from jackdawpost.settings.models import Address
from jackdawpost.wire.http import HttpRequest
from jackdawpost.wire.http import HttpResponse
from jackdawpost.wire.http import serve_http
from jackdawpost.wire.line_stream import LineStream
from jackdawpost.wire.server import LISTEN_BACKLOG
from jackdawpost.wire.sockets import CALLER_KEEPALIVE_TIMEOUT_MS
from jackdawpost.wire.sockets import enable_keepalive

READINESS_PATH = '/readiness'
REFUSAL = b'ERROR BUSY too many connections, retry after %d ms\r\n'
MS_PER_SECOND = 1_000
# Time until the load balancer sends no more connections to a process that is
# not ready: it checks once a second and removes a process after two failures.
BALANCER_REMOVAL_MS = 2_300
# Reserve at the end of the grace period, in which answers in transit reach
# the callers. It is at most the last sixth of the period, because the platform
# expects statements to be answered until that sixth begins.
EXIT_MARGIN_MS = 700
EXIT_MARGIN_SHARE = 1 / 6
# Share of the time limit `drainMs` for which a leaving primary still receives
# statements. The rest covers the delays of its report to this process and of
# a statement to the database.
LEAVING_PRIMARY_SHARE = 0.7


def build_config(settings: PlatformSettings) -> PoolerConfig:
    """Return the configuration of the pooler."""
    grace_ms = settings.bounds.grace_s * MS_PER_SECOND
    exit_margin_ms = min(EXIT_MARGIN_MS, grace_ms * EXIT_MARGIN_SHARE)
    host, port = split_address(settings.bind.frontend or ':0')
    return PoolerConfig(
        name=settings.node,
        # The same after a restart: a process that restarts quickly stays a
        # member.
        member_id=f'{settings.node}@{settings.ip}',
        incarnation=uuid.uuid4().hex,
        host=host,
        port=port,
        data_centre=settings.zone,
        region=settings.region,
        regions=settings.zones,
        seeds=seed_hosts(settings),
        decode_status=decode_status,
        drain_notice_ms=min(BALANCER_REMOVAL_MS, grace_ms / 2),
        drain_txn_ms=grace_ms / 2,
        drain_limit_ms=grace_ms - exit_margin_ms,
        leaving_work_ms=settings.bounds.drain_ms * LEAVING_PRIMARY_SHARE,
        needs_leases=not settings.bounds.has_fencing,
        rate_window_ms=settings.bounds.quota_window_s * MS_PER_SECOND,
        rate_overage=settings.bounds.quota_overage,
        rate_slack=settings.bounds.quota_slack,
        max_tenant_sessions=settings.limits.max_sessions_per_tenant,
    )


def run(settings: PlatformSettings) -> int:
    """Run a session pooler until it is stopped."""
    if settings.bind.frontend is None or settings.bind.readiness is None:
        raise SystemExit(
            'an edge process needs bindAddresses.frontend and '
            'bindAddresses.readiness in its settings'
        )
    cfg = build_config(settings)
    protocol = SessionProtocol(
        codecs={'session': CALLER_CODEC, 'upstream': DATABASE_CODEC},
        encoders={'session': encode_messages, 'upstream': encode_messages},
        open_stream=open_database_stream,
    )
    frontend = split_address(settings.bind.frontend)
    readiness = split_address(settings.bind.readiness)

    def attach_frontend(shell: ReducerShell) -> Callable[[], Any]:
        return partial(_serve_callers, shell, *frontend)

    def attach_readiness(shell: ReducerShell) -> Callable[[], Any]:
        async def serve(request: HttpRequest) -> HttpResponse:
            if request.path != READINESS_PATH:
                return HttpResponse(HTTPStatus.NOT_FOUND)
            if is_healthy(shell.state):
                return HttpResponse(HTTPStatus.OK)
            return HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE)

        return partial(serve_http, *readiness, serve, shell.guard, 'readiness')

    pages_address = Address(
        host=settings.ip, port=settings.internal_ports[0] + 1
    )
    return trio.run(
        run_pooler,
        cfg,
        protocol,
        pages_address,
        settings.internal_ports[0],
        crc32(settings.ip.encode()),
        settings.limits,
        attach_frontend,
        attach_readiness,
        watch_settings,
        attach_metrics(settings),
    )


async def _serve_callers(shell: ReducerShell, host: str, port: int) -> None:
    listeners = await trio.open_tcp_listeners(
        port, host=host, backlog=LISTEN_BACKLOG
    )

    async def serve(stream: trio.SocketStream) -> None:
        guarded = shell.guard.admit(stream, 'session', REFUSAL)
        if guarded is None:
            return
        with guarded:
            enable_keepalive(stream, CALLER_KEEPALIVE_TIMEOUT_MS)
            await shell.serve_link('session', LineStream(stream, guarded), '')

    await trio.serve_listeners(serve, listeners)


def main() -> int:
    """Load the settings, run the process and return its exit code."""
    return run_program(lambda: load_platform_settings(settings_path()), run)


if __name__ == '__main__':
    raise SystemExit(main())
