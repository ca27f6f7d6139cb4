"""Digests of the keys by which callers identify themselves.

A key is a secret. It is replaced by its digest where it enters the system, so
that the state, the traces, the logs and the dumps hold no key.
"""

from __future__ import annotations

import hashlib
from typing import Any

DIGEST_PREFIX = 'sha256:'
MAX_KEY_CHARS = 1_024
FINGERPRINT_CHARS = 8
_DIGEST_CHARS = 64
_HEX_DIGITS = frozenset('0123456789abcdef')


def digest_key(key: str) -> str:
    """Return the digest of a key; a digest is returned unchanged.

    An empty key has the empty digest, which belongs to no tenant.
    """
    if not key or is_digest(key):
        return key
    digest = hashlib.sha256(key.encode(errors='surrogateescape')).hexdigest()
    return DIGEST_PREFIX + digest


def digest_caller_key(key: str) -> str:
    """Return the digest of a key that a caller has sent.

    A digest that was sent in place of a key is no proof of knowing the key,
    so it is hashed like any other text.
    """
    if not key:
        return ''
    digest = hashlib.sha256(key.encode(errors='surrogateescape')).hexdigest()
    return DIGEST_PREFIX + digest


def is_digest(text: str) -> bool:
    """Return whether a text has the form of a digest."""
    digits = text.removeprefix(DIGEST_PREFIX)
    return (
        len(text) == len(DIGEST_PREFIX) + _DIGEST_CHARS
        and len(digits) == _DIGEST_CHARS
        and _HEX_DIGITS.issuperset(digits)
    )


def fingerprint(digest: str) -> str:
    """Return the start of a digest, which identifies the key in logs."""
    return digest.removeprefix(DIGEST_PREFIX)[:FINGERPRINT_CHARS]


def digest_body_keys(body: dict[str, Any]) -> dict[str, Any]:
    """Return the fields of an object with its keys replaced by digests.

    This includes fields with a misspelt name, which are stored with the
    rejected change set. What is not a valid key is left to the validation,
    which does not quote it.
    """
    return {
        name: _digest_value(value) if 'key' in name.lower() else value
        for name, value in body.items()
    }


def _digest_value(value: Any) -> Any:
    if isinstance(value, list):
        return [_digest_value(item) for item in value]
    if isinstance(value, str) and is_valid_key(value):
        return digest_key(value)
    return value


def is_valid_key(key: str) -> bool:
    """Return whether a text may be a key."""
    return 0 < len(key) <= MAX_KEY_CHARS and not any(map(str.isspace, key))
