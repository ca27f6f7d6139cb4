"""TLS certificates for tests."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from jackdawpost.settings.models import TlsSettings

if TYPE_CHECKING:
    from trustme import CA

LOOPBACK = '127.0.0.1'


def issue_tls(authority: CA, folder: Path, common_name: str) -> TlsSettings:
    """Issue a certificate, write its files and return settings with them.

    Parameters
    ----------
    authority : trustme.CA
        Authority that signs the certificate.
    folder : Path
        Folder for the PEM files.
    common_name : str
        Common name of the certificate, ``ROLE.NAME``.
    """
    issued = authority.issue_cert(LOOPBACK, common_name=common_name)
    stem = folder / f'{common_name}-{id(authority)}'
    certificate, key, ca = (
        f'{stem}.{suffix}' for suffix in ('pem', 'key', 'ca')
    )
    issued.cert_chain_pems[0].write_to_path(certificate)
    issued.private_key_pem.write_to_path(key)
    authority.cert_pem.write_to_path(ca)
    return TlsSettings(certificate=certificate, key=key, authority=ca)
