"""Startup code that all daemons share: file limit, TLS contexts, tasks."""

from __future__ import annotations

import logging
import os
import resource
import ssl
from collections.abc import Callable
from functools import partial
from typing import Any

from jackdawpost.core.effects import Effect
from jackdawpost.core.intake import derive_budget
from jackdawpost.core.intake import derive_reserved_fds
from jackdawpost.core.intake import IntakeLimits
from jackdawpost.core.intake import MIB
from jackdawpost.runtime.shell import LinkTarget
from jackdawpost.runtime.shell import ReducerShell
from jackdawpost.settings.models import Address
from jackdawpost.settings.models import IntakeSettings
from jackdawpost.settings.models import TlsSettings
from jackdawpost.wire.server import Endpoints
from jackdawpost.wire.server import serve_endpoints
from jackdawpost.wire.tls import build_client_context
from jackdawpost.wire.tls import build_server_context

# Memory limit of the container, in bytes or `max`.
CGROUP_MEMORY_PATH = '/sys/fs/cgroup/memory.max'


def raise_file_limit() -> None:
    """Raise the limit of open files to the hard limit of this process."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def build_intake_limits(settings: IntakeSettings) -> IntakeLimits:
    """Return the intake limits, from the settings and from the machine.

    Raises the limit of open files first.
    """
    raise_file_limit()
    max_fds, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if settings.max_fds is not None:
        max_fds = min(max_fds, settings.max_fds)
    memory_bytes = _read_memory_limit()
    if settings.memory_limit_mb is not None:
        memory_bytes = min(memory_bytes, settings.memory_limit_mb * MIB)
    return IntakeLimits(
        budget_bytes=derive_budget(memory_bytes),
        max_fds=max_fds,
        reserved_fds=derive_reserved_fds(max_fds),
        max_connections_per_address=settings.max_connections_per_address,
        start_timeout_ms=settings.start_timeout_ms,
        message_timeout_ms=settings.message_timeout_ms,
        unread_timeout_ms=settings.unread_timeout_ms,
    )


def _read_memory_limit() -> int:
    memory_bytes = os.sysconf('SC_PAGE_SIZE') * os.sysconf('SC_PHYS_PAGES')
    try:
        with open(CGROUP_MEMORY_PATH) as file:
            return min(memory_bytes, int(file.read()))
    except (OSError, ValueError):  # no limit, or no control groups
        return memory_bytes


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
