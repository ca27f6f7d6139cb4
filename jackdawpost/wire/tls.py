"""TLS contexts and identities of peers.

Each process has one certificate, and one authority signs all of them. The
common name of a certificate is ``ROLE.NAME``.
"""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from typing import Any

import trio

from jackdawpost.errors import ConfigError
from jackdawpost.settings.models import TlsSettings


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Role and name that a peer's certificate must have.

    Parameters
    ----------
    role : str
        ``control``, ``proxy``, ``upstream`` or ``operator``.
    name : str
        Name of the process or operator; empty accepts any name.
    """

    role: str
    name: str = ''

    def matches(self, common_name: str) -> bool:
        """Return whether the common name has this role and name."""
        role, separator, name = common_name.partition('.')
        if role != self.role or not separator or not name:
            return False
        return not self.name or name == self.name

    def __str__(self) -> str:
        return f'{self.role}.{self.name or "NAME"}'


def build_server_context(
    cfg: TlsSettings, require_certificate: bool = True
) -> ssl.SSLContext:
    """Return a context for connections that this process accepts.

    Parameters
    ----------
    cfg : TlsSettings
        Certificate and key of this process, and the authority.
    require_certificate : bool
        Require clients to present a certificate of the authority. If False,
        client certificates are neither requested nor verified.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.verify_mode = (
        ssl.CERT_REQUIRED if require_certificate else ssl.CERT_NONE
    )
    _load_certificate(context, cfg)
    _load_authority(context, cfg.authority)
    return context


def build_client_context(cfg: TlsSettings) -> ssl.SSLContext:
    """Return a context for connections that this process opens.

    Host names are not verified, because processes are addressed by IP
    address. `open_link` checks the role and name in the certificate instead.
    """
    context = build_caller_context(cfg.authority)
    _load_certificate(context, cfg)
    return context


def build_caller_context(authority: str) -> ssl.SSLContext:
    """Return a context for callers, which present no certificate.

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


def _load_certificate(context: ssl.SSLContext, cfg: TlsSettings) -> None:
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
    """Return the common name of the peer's certificate; '' if it has none."""
    certificate = stream.getpeercert() or {}
    names = [
        str(value)
        for attributes in certificate.get('subject', ())
        for key, value in attributes
        if key == 'commonName'
    ]
    # A certificate with several common names is ambiguous and is not used.
    return names[0] if len(names) == 1 else ''


def peer_has_role(peer: str, role: str, name: str) -> bool:
    """Return whether `peer` is ``ROLE.NAME``; False if `name` is empty."""
    return bool(name) and PeerIdentity(role, name).matches(peer)
