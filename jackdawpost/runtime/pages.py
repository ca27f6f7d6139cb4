"""HTTP pages that all daemons serve: health, metrics and state dump."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

from jackdawpost.runtime.shell import ReducerShell
from jackdawpost.wire.server import HttpReply
from jackdawpost.wire.server import Page
from jackdawpost.wire.server import reply_json


def build_pages(
    shell: ReducerShell,
    is_healthy: Callable[[Any], bool],
    dump: Callable[[Any], dict[str, Any]],
) -> Mapping[str, Page]:
    """Return the pages by path: health, metrics (JSON and text), state.

    Parameters
    ----------
    shell : ReducerShell
        Shell that holds the state and the metrics of the process.
    is_healthy : callable
        Returns whether a process in the given state can serve.
    dump : callable
        Returns the given state as data that can be encoded as JSON.
    """

    def healthz() -> HttpReply:
        healthy = is_healthy(shell.state)
        status = HTTPStatus.OK if healthy else HTTPStatus.SERVICE_UNAVAILABLE
        return reply_json({'name': shell.name, 'healthy': healthy}, status)

    def metrics() -> HttpReply:
        return reply_json(shell.metrics.snapshot())

    def metrics_text() -> HttpReply:
        text = shell.metrics.render_text()
        return HttpReply(HTTPStatus.OK, text, 'text/plain')

    def dump_state() -> HttpReply:
        return reply_json(dump(shell.state))

    return {
        '/healthz': healthz,
        '/metrics': metrics,
        '/metrics/text': metrics_text,
        '/dump': dump_state,
    }
