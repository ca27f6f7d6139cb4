"""Limits and warnings that the daemons set at start."""

from __future__ import annotations

import logging
import resource
import ssl

from jackdawpost.settings.models import TlsSettings
from jackdawpost.wire.tls import build_client_context
from jackdawpost.wire.tls import build_server_context


def raise_file_limit() -> None:
    """Allow as many open files as the system permits this process."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def build_contexts(
    tls: TlsSettings | None,
    log: logging.Logger,
    ask_certificate: bool = True,
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
    server = build_server_context(tls, ask_certificate)
    return server, build_client_context(tls)
