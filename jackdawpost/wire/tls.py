"""TLS between known peers: one authority, one certificate a process."""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from typing import Any

import trio

from jackdawpost.errors import ConfigError
from jackdawpost.settings.models import TlsSettings


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Whom a certificate must name.

    Parameters
    ----------
    role : str
        ``control``, ``proxy``, ``upstream`` or ``operator``.
    name : str
        Name of the process or operator; empty accepts any.
    """

    role: str
    name: str = ''

    def matches(self, common_name: str) -> bool:
        """Tell whether a certificate's common name stands for this peer."""
        role, separator, name = common_name.partition('.')
        if role != self.role or not separator or not name:
            return False
        return not self.name or name == self.name

    def __str__(self) -> str:
        return f'{self.role}.{self.name or "NAME"}'


def build_server_context(
    cfg: TlsSettings, ask_certificate: bool = True
) -> ssl.SSLContext:
    """Return a context for accepted connections.

    Parameters
    ----------
    cfg : TlsSettings
        Certificates of this process.
    ask_certificate : bool
        False accepts clients without a certificate and reads none.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.verify_mode = (
        ssl.CERT_REQUIRED if ask_certificate else ssl.CERT_NONE
    )
    _load_own(context, cfg)
    _load_authority(context, cfg.authority)
    return context


def build_client_context(cfg: TlsSettings) -> ssl.SSLContext:
    """Return a context that presents and demands certificates.

    Host names are not checked, because processes are addressed by IP
    number; `open_link` compares the peer's role and name instead.
    """
    context = build_caller_context(cfg.authority)
    _load_own(context, cfg)
    return context


def build_caller_context(authority: str) -> ssl.SSLContext:
    """Return a context for callers, who present no certificate.

    Parameters
    ----------
    authority : str
        PEM file of the authority that signed the proxies' certificates.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    _load_authority(context, authority)
    return context


def _load_own(context: ssl.SSLContext, cfg: TlsSettings) -> None:
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(cfg.certificate, cfg.key)
    except (OSError, ssl.SSLError) as exc:
        raise ConfigError(
            cfg.certificate,
            'tls.certificate',
            str(exc),
            'certificate and key must be readable PEM files that match',
        ) from exc


def _load_authority(context: ssl.SSLContext, authority: str) -> None:
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_verify_locations(authority)
    except (OSError, ssl.SSLError) as exc:
        raise ConfigError(
            authority,
            'tls.authority',
            str(exc),
            'the authority must be a readable PEM file',
        ) from exc


def read_peer_name(stream: trio.SSLStream[Any]) -> str:
    """Return the common name of the peer's certificate, or ''."""
    certificate = stream.getpeercert() or {}
    names = [
        str(value)
        for attributes in certificate.get('subject', ())
        for key, value in attributes
        if key == 'commonName'
    ]
    # A certificate with several names could stand for several peers.
    return names[0] if len(names) == 1 else ''


def peer_has_role(peer: str, role: str, name: str) -> bool:
    """Tell whether a certificate name stands for this role and name."""
    return bool(name) and PeerIdentity(role, name).matches(peer)
