"""HTTP server of the metrics, at the port that the deploy file names."""

from __future__ import annotations

import logging
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from jackdawpost.platform.settings import PlatformSettings
from jackdawpost.runtime.shell import ReducerShell
from jackdawpost.wire.http import HttpRequest
from jackdawpost.wire.http import HttpResponse
from jackdawpost.wire.http import serve_http
from jackdawpost.wire.server import ListenError

# Must equal the port in deploy/system.toml. It is not taken from the ports in
# the settings, because those change from day to day.
METRICS_PORT = 9464
METRICS_PATH = '/metrics'

LOG = logging.getLogger('jackdawpost')


def attach_metrics(
    settings: PlatformSettings,
) -> Callable[[ReducerShell], Callable[[], Any]]:
    """Return a function that attaches the metrics server to a process.

    The function takes the shell of the process and returns the coroutine
    function that serves its metrics as text.
    """

    def attach(shell: ReducerShell) -> Callable[[], Any]:
        async def serve(request: HttpRequest) -> HttpResponse:
            if request.path != METRICS_PATH:
                return HttpResponse(HTTPStatus.NOT_FOUND)
            text = shell.metrics.render_text()
            return HttpResponse(HTTPStatus.OK, text.encode())

        async def run() -> None:
            try:
                await serve_http(
                    settings.ip, METRICS_PORT, serve, shell.guard, 'metrics'
                )
            except ListenError as exc:
                # Serving callers is more important than metrics: the process
                # continues without them.
                LOG.warning('metrics_unserved', extra={'detail': str(exc)})

        return run

    return attach
