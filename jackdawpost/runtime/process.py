"""What the daemons share at start: limits, TLS contexts, their tasks."""

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
    """Allow as many open files as the system permits this process."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def build_tls_contexts(
    tls: TlsSettings | None,
    log: logging.Logger,
    require_certificate: bool = True,
) -> tuple[ssl.SSLContext | None, ssl.SSLContext | None]:
    """Return the server and the client context, or warn without TLS.

    Parameters
    ----------
    ask_certificate : bool
        False serves clients without a certificate.
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
    first_effects: list[Effect],
    listen: Address,
    endpoints: Endpoints,
    server_tls: ssl.SSLContext | None,
    targets: list[LinkTarget],
    *tasks: Callable[[], Any],
) -> int:
    """Serve the endpoints, keep the links, and run a shell until it stops.

    Parameters
    ----------
    first_effects : list
        Effects of creating the reducer's state.
    targets : list of LinkTarget
        Processes to stay connected to.
    *tasks : callable
        Further coroutine functions to run beside.

    Returns
    -------
    int
        Exit code.
    """
    serve = partial(
        serve_endpoints, listen.host, listen.port, endpoints, server_tls
    )
    links = [partial(shell.maintain_link, target) for target in targets]
    return await shell.run(
        first_effects, serve, shell.watch_signals, *tasks, *links
    )
