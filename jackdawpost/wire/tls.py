"""TLS between known peers: one authority, one certificate a process."""

from __future__ import annotations

import ssl
from typing import Any

import trio

from jackdawpost.core.errors import ConfigError
from jackdawpost.settings.models import TlsSettings


def build_server_context(cfg: TlsSettings) -> ssl.SSLContext:
    """Return a context that demands a certificate of the authority."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.verify_mode = ssl.CERT_REQUIRED
    _load_files(context, cfg)
    return context


def build_client_context(cfg: TlsSettings) -> ssl.SSLContext:
    """Return a context that presents and demands certificates.

    Host names are not checked, because processes are addressed by IP
    number; the caller compares the peer's role and name instead.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    _load_files(context, cfg)
    return context


def _load_files(context: ssl.SSLContext, cfg: TlsSettings) -> None:
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(cfg.certificate, cfg.key)
        context.load_verify_locations(cfg.authority)
    except (OSError, ssl.SSLError) as exc:
        raise ConfigError(
            cfg.certificate,
            'tls',
            str(exc),
            'certificate, key and authority must be readable PEM files',
        ) from exc


def read_peer_name(stream: trio.SSLStream[Any]) -> str:
    """Return the common name of the peer's certificate, or ''."""
    certificate = stream.getpeercert() or {}
    for attributes in certificate.get('subject', ()):
        for key, value in attributes:
            if key == 'commonName':
                return str(value)
    return ''


def peer_has_role(peer: str, role: str, name: str) -> bool:
    """Tell whether a certificate name stands for this role and name."""
    return peer == f'{role}.{name}'
