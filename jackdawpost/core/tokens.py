"""Session tokens, which carry the positions of a session's writes.

A read with a token is served only by a database that has applied the position
that the token holds for its group, which gives read-your-writes consistency.
"""

from __future__ import annotations

import base64
import binascii
import struct
import zlib
from collections.abc import Container
from dataclasses import dataclass

from jackdawpost.core.positions import LogPosition
from jackdawpost.errors import TokenError

MAX_ENTRIES = 16
MAX_TOKEN_CHARS = 2_048
TOKEN_VERSION = 1

_HEADER = struct.Struct('>BB')
_POSITION = struct.Struct('>QQ')
_CRC = struct.Struct('>I')
_MAX_GROUP_BYTES = 63


@dataclass(frozen=True, slots=True)
class SessionToken:
    """Positions of a session's writes, least recently written group first.

    Parameters
    ----------
    entries : tuple of (str, LogPosition)
        Group name and position, one entry for each group, at most 16.
    """

    entries: tuple[tuple[str, LogPosition], ...] = ()

    def position(self, group: str) -> LogPosition | None:
        """Return the position that reads of `group` must include, or None."""
        for name, position in self.entries:
            if name == group:
                return position
        return None


EMPTY_TOKEN = SessionToken()


def encode_token(token: SessionToken) -> str:
    """Encode a token as URL-safe base64 text without padding."""
    parts = [_HEADER.pack(TOKEN_VERSION, len(token.entries))]
    for group, position in token.entries:
        name = group.encode()
        parts.append(bytes((len(name),)))
        parts.append(name)
        parts.append(_POSITION.pack(position[0], position[1]))
    body = b''.join(parts)
    raw = body + _CRC.pack(zlib.crc32(body))
    return base64.urlsafe_b64encode(raw).rstrip(b'=').decode()


def decode_token(text: str) -> SessionToken:
    """Decode a token from its text.

    Raises
    ------
    TokenError
        The text is malformed or truncated, or its checksum is wrong.
    """
    raw = _decode_base64(text)
    if len(raw) < _HEADER.size + _CRC.size:
        raise TokenError(f'session token of {len(raw)} bytes is truncated')
    body = raw[: -_CRC.size]
    (checksum,) = _CRC.unpack(raw[-_CRC.size :])
    if checksum != zlib.crc32(body):
        raise TokenError('session token has a wrong checksum')
    version, count = _HEADER.unpack_from(body)
    if version != TOKEN_VERSION:
        raise TokenError(
            f'session token has version {version}: expected {TOKEN_VERSION}'
        )
    if count > MAX_ENTRIES:
        raise TokenError(
            f'session token has {count} entries: expected at most '
            f'{MAX_ENTRIES}'
        )
    return _decode_entries(body, count)


def has_room(token: SessionToken, group: str, known: Container[str]) -> bool:
    """Return whether a write to `group` can be added to a token.

    Parameters
    ----------
    token : SessionToken
        Token before the write.
    group : str
        Group that is about to be written.
    known : container of str
        Names of the existing groups.
    """
    if len(token.entries) < MAX_ENTRIES:
        return True
    return any(name == group or name not in known for name, _ in token.entries)


def merge_position(
    token: SessionToken,
    group: str,
    position: LogPosition,
    known: Container[str],
) -> SessionToken:
    """Add the position of a write to a token.

    If the token is full, the entry of a group that no longer exists is
    dropped. No read can reach the rows of such a group, while dropping any
    other entry would break read-your-writes consistency.

    Parameters
    ----------
    token : SessionToken
        Token before the write.
    group : str
        Group that was written.
    position : LogPosition
        Position of the write; ignored if the token has a later one.
    known : container of str
        Names of the existing groups.

    Raises
    ------
    TokenError
        The token is full and all its groups exist.
    """
    kept = [entry for entry in token.entries if entry[0] != group]
    earlier = token.position(group)
    if earlier is not None and earlier > position:
        position = earlier
    if len(kept) >= MAX_ENTRIES:
        dropped_entry = next((e for e in kept if e[0] not in known), None)
        if dropped_entry is None:
            raise TokenError(
                f'session token is full: all {MAX_ENTRIES} groups still exist'
            )
        kept.remove(dropped_entry)
    kept.append((group, position))
    return SessionToken(tuple(kept))


def _decode_base64(text: str) -> bytes:
    if len(text) > MAX_TOKEN_CHARS:
        raise TokenError(
            f'session token of {len(text)} characters: expected at most '
            f'{MAX_TOKEN_CHARS}'
        )
    padded = text + '=' * (-len(text) % 4)
    try:
        raw = base64.b64decode(padded, altchars=b'-_', validate=True)
    except (binascii.Error, ValueError) as exc:
        raise TokenError(f'session token is not base64 text: {exc}') from exc
    if base64.urlsafe_b64encode(raw).rstrip(b'=').decode() != text:
        raise TokenError('session token is not canonical base64 text')
    return raw


def _decode_entries(body: bytes, count: int) -> SessionToken:
    offset = _HEADER.size
    entries = []
    seen = set()
    try:
        for _ in range(count):
            size = body[offset]
            offset += 1
            group = body[offset : offset + size].decode()
            offset += size
            term, index = _POSITION.unpack_from(body, offset)
            offset += _POSITION.size
            if not 1 <= size <= _MAX_GROUP_BYTES or group in seen:
                raise TokenError(
                    f'session token has invalid or duplicate group {group!r}'
                )
            seen.add(group)
            entries.append((group, LogPosition(term, index)))
    except (IndexError, struct.error, UnicodeDecodeError) as exc:
        raise TokenError(
            f'session token entries are malformed: {exc}'
        ) from exc
    if offset != len(body):
        raise TokenError(
            f'session token has {len(body) - offset} bytes after the last '
            'entry: expected 0'
        )
    return SessionToken(tuple(entries))
