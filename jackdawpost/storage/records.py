"""Encoding of the checksummed records in storage files.

A file starts with a magic number and a format version. A record consists of
a header and the payload; the header holds the length and checksum of the
payload, and a checksum of these two. Without this second checksum, a damaged
length in the middle of a file would look like an incomplete last record.
"""

from __future__ import annotations

import struct
import zlib

from jackdawpost.errors import StorageCorruptError
from jackdawpost.errors import StorageError

FORMAT_VERSION = 1
FILE_HEADER = b'JDPS' + struct.pack('>I', FORMAT_VERSION)

_RECORD_HEADER = struct.Struct('>III')
_LENGTH_AND_CHECKSUM = struct.Struct('>II')


def encode_record(payload: bytes) -> bytes:
    """Return `payload` with the record header in front of it."""
    length_and_checksum = _LENGTH_AND_CHECKSUM.pack(
        len(payload), zlib.crc32(payload)
    )
    return (
        length_and_checksum
        + struct.pack('>I', zlib.crc32(length_and_checksum))
        + payload
    )


def check_file_header(path: str, content: bytes) -> None:
    """Check the magic number and the format version of a file.

    Raises
    ------
    StorageCorruptError
        The file does not start with the magic number, or ends within the
        file header.
    StorageError
        The file has another format version.
    """
    if content[:4] != FILE_HEADER[:4] or len(content) < len(FILE_HEADER):
        raise StorageCorruptError(path, 0, 'not a jackdawpost storage file')
    (version,) = struct.unpack_from('>I', content, 4)
    if version != FORMAT_VERSION:
        raise StorageError(
            f'{path}: unknown format version {version}, expected '
            f'{FORMAT_VERSION}'
        )


def read_records(
    path: str, content: bytes, last_may_be_incomplete: bool
) -> tuple[list[bytes], int]:
    """Return the payloads of all records of a file.

    Parameters
    ----------
    path : str
        Path of the file, for error messages.
    content : bytes
        Whole content of the file.
    last_may_be_incomplete : bool
        Accept and ignore an incomplete last record, which a crash during a
        write leaves.

    Returns
    -------
    payloads : list of bytes
    length : int
        Length of the intact part of the file in bytes.

    Raises
    ------
    StorageCorruptError
        A record is damaged and is not an incomplete last record.
    """
    check_file_header(path, content)
    payloads = []
    offset = len(FILE_HEADER)
    while offset < len(content):
        payload = _read_record(content, offset)
        if payload is None:
            if last_may_be_incomplete and not _has_record_after(
                content, offset
            ):
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
    length, _, header_checksum = _RECORD_HEADER.unpack_from(content, offset)
    length_and_checksum = content[offset : offset + _LENGTH_AND_CHECKSUM.size]
    return (
        length if zlib.crc32(length_and_checksum) == header_checksum else None
    )


def _has_record_after(content: bytes, offset: int) -> bool:
    length = _read_length(content, offset)
    if length is not None:
        return offset + _RECORD_HEADER.size + length < len(content)
    # The length is damaged: search for an intact record at any offset.
    for start in range(offset + 1, len(content) - _RECORD_HEADER.size):
        if _read_length(content, start) is not None:
            if _read_record(content, start) is not None:
                return True
    return False
