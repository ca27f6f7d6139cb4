"""Startup code that all daemons share: file limit, TLS contexts, tasks."""

from __future__ import annotations

import logging
import resource
import ssl
from collections.abc import Callable
from functools import partial
from typing import Any

from jackdawpost.core.effects import Effect
from jackdawpost.runtime.shell import LinkTarget
from jackdawpost.runtime.shell import ReducerShell
from jackdawpost.settings.models import Address
from jackdawpost.settings.models import TlsSettings
from jackdawpost.wire.server import Endpoints
from jackdawpost.wire.server import serve_endpoints
from jackdawpost.wire.tls import build_client_context
from jackdawpost.wire.tls import build_server_context


def raise_file_limit() -> None:
    """Raise the limit of open files to the hard limit of this process."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def build_tls_contexts(
    tls: TlsSettings | None,
    log: logging.Logger,
    require_certificate: bool = True,
) -> tuple[ssl.SSLContext | None, ssl.SSLContext | None]:
    """Return the server and the client context; log a warning without TLS.

    Parameters
    ----------
    require_certificate : bool
        If False, the server accepts clients without a certificate.
    """
    if tls is None:
        log.warning(
            'tls is off: anyone who reaches this port can pose as any peer'
        )
        return None, None
    server = build_server_context(tls, require_certificate)
    return server, build_client_context(tls)


async def run_shell(
    shell: ReducerShell,
    initial_effects: list[Effect],
    listen: Address,
    endpoints: Endpoints,
    server_tls: ssl.SSLContext | None,
    link_targets: list[LinkTarget],
    *tasks: Callable[[], Any],
) -> int:
    """Run a shell with its server, links and other tasks until it stops.

    Parameters
    ----------
    initial_effects : list
        Effects returned with the initial state of the reducer.
    link_targets : list of LinkTarget
        Control processes to stay connected to.
    *tasks : callable
        Additional coroutine functions to run concurrently.

    Returns
    -------
    int
        Exit code.
    """
    serve = partial(
        serve_endpoints, listen.host, listen.port, endpoints, server_tls
    )
    link_tasks = [
        partial(shell.maintain_link, target) for target in link_targets
    ]
    return await shell.run(
        initial_effects, serve, shell.watch_signals, *tasks, *link_tasks
    )
