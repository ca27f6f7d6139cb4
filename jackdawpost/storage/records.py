"""Checksummed records in files.

A file starts with a magic number and a format version. A record is a
header (length and checksum of the payload, then a checksum of these two)
and the payload. The header has its own checksum so that a damaged length
in the middle of a file is not taken for a torn end.
"""

from __future__ import annotations

import struct
import zlib

from jackdawpost.errors import StorageCorruptError
from jackdawpost.errors import StorageError

FORMAT_VERSION = 1
FILE_HEADER = b'JDPS' + struct.pack('>I', FORMAT_VERSION)

_RECORD_HEADER = struct.Struct('>III')
_LENGTH_AND_SUM = struct.Struct('>II')


def encode_record(payload: bytes) -> bytes:
    """Frame a payload."""
    head = _LENGTH_AND_SUM.pack(len(payload), zlib.crc32(payload))
    return head + struct.pack('>I', zlib.crc32(head)) + payload


def check_file_header(path: str, content: bytes) -> None:
    """Refuse a file of another format or version.

    Raises
    ------
    StorageCorruptError
        The file does not start with the magic number.
    StorageError
        The file has another format version.
    """
    if content[:4] != FILE_HEADER[:4] or len(content) < len(FILE_HEADER):
        raise StorageCorruptError(path, 0, 'no jackdawpost storage file')
    (version,) = struct.unpack_from('>I', content, 4)
    if version != FORMAT_VERSION:
        raise StorageError(
            f'{path}: format version {version}: valid is {FORMAT_VERSION}'
        )


def read_records(
    path: str, content: bytes, may_be_torn: bool
) -> tuple[list[bytes], int]:
    """Read the records of a file.

    Parameters
    ----------
    may_be_torn : bool
        The last record may be incomplete after a crash.

    Returns
    -------
    payloads : list of bytes
    length : int
        Length of the intact part of the file in bytes.

    Raises
    ------
    StorageCorruptError
        A record is damaged and is not the torn last one.
    """
    check_file_header(path, content)
    payloads = []
    offset = len(FILE_HEADER)
    while offset < len(content):
        payload = _read_record(content, offset)
        if payload is None:
            if may_be_torn and not _has_record_after(content, offset):
                break
            raise StorageCorruptError(path, offset, 'checksum mismatch')
        payloads.append(payload)
        offset += _RECORD_HEADER.size + len(payload)
    return payloads, offset


def _read_record(content: bytes, offset: int) -> bytes | None:
    length = _read_length(content, offset)
    if length is None:
        return None
    start = offset + _RECORD_HEADER.size
    payload = content[start : start + length]
    _, checksum, _ = _RECORD_HEADER.unpack_from(content, offset)
    if len(payload) < length or zlib.crc32(payload) != checksum:
        return None
    return payload


def _read_length(content: bytes, offset: int) -> int | None:
    if offset + _RECORD_HEADER.size > len(content):
        return None
    length, _, head_sum = _RECORD_HEADER.unpack_from(content, offset)
    head = content[offset : offset + _LENGTH_AND_SUM.size]
    return length if zlib.crc32(head) == head_sum else None


def _has_record_after(content: bytes, offset: int) -> bool:
    length = _read_length(content, offset)
    if length is not None:
        return offset + _RECORD_HEADER.size + length < len(content)
    # The length is unknown: look for an intact record at any offset.
    for start in range(offset + 1, len(content) - _RECORD_HEADER.size):
        if _read_length(content, start) is not None:
            if _read_record(content, start) is not None:
                return True
    return False
