"""Metrics on the address that the deploy file names."""

from __future__ import annotations

import logging
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from jackdawpost.platform.http import HttpRequest
from jackdawpost.platform.http import HttpResponse
from jackdawpost.platform.http import serve_http
from jackdawpost.platform.settings import PlatformSettings
from jackdawpost.runtime.shell import ReducerShell
from jackdawpost.wire.server import ListenError

# As in deploy/system.toml; the ports in the settings change from day to day.
METRICS_PORT = 9464
METRICS_PATH = '/metrics'

LOG = logging.getLogger('jackdawpost')


def attach_metrics(
    settings: PlatformSettings,
) -> Callable[[ReducerShell], Callable[[], Any]]:
    """Return what serves a process's metrics as text."""

    def attach(shell: ReducerShell) -> Callable[[], Any]:
        async def serve(request: HttpRequest) -> HttpResponse:
            if request.path != METRICS_PATH:
                return HttpResponse(HTTPStatus.NOT_FOUND)
            text = shell.metrics.render_text()
            return HttpResponse(HTTPStatus.OK, text.encode())

        async def run() -> None:
            try:
                await serve_http(settings.ip, METRICS_PORT, serve)
            except ListenError as exc:
                # Serving callers matters more than being measured.
                LOG.warning('metrics_unserved', extra={'detail': str(exc)})

        return run

    return attach
