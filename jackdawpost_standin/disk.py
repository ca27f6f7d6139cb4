"""Data folder of a database: its log and its replication role."""

from __future__ import annotations

import fcntl
import json
import os
import struct
import uuid
import zlib
from dataclasses import asdict
from dataclasses import dataclass
from pathlib import Path

from jackdawpost.errors import FolderLockedError
from jackdawpost.errors import StorageCorruptError

# Length and CRC-32 of the encoded record that follows.
_HEADER = struct.Struct('>II')


@dataclass(slots=True)
class Role:
    """Replication role and accepted terms of a database, kept over restarts.

    Parameters
    ----------
    data_id : str
        Identity of the data; a wiped database gets a new one.
    term : int
        Highest term accepted by a seal, promotion or follow.
    sealed_term : int
        Highest term of a seal.
    leads : bool
        Whether the database is the primary in `term`; false after a restart.
    primary, host, port : str, str, int
        Name and address of the primary to replicate from; empty for none.
    """

    data_id: str
    term: int = 0
    sealed_term: int = 0
    leads: bool = False
    primary: str = ''
    host: str = ''
    port: int = 0


def new_role() -> Role:
    """Return the role of an empty database, with a new identity."""
    return Role(data_id=uuid.uuid4().hex)


class DataFolder:
    """Stores log and role in files; without a path nothing is stored.

    Parameters
    ----------
    path : str or None
        Path of the folder; None stores nothing.
    sync_log : bool
        Whether `flush` syncs the log to disk.
    """

    def __init__(self, path: str | None, sync_log: bool) -> None:
        self._sync_log = sync_log
        self._log_fd = -1
        self._lock_fd = -1
        self._buffer: list[bytes] = []
        # End offset of each record in the file, needed to truncate it.
        self._record_ends: list[int] = []
        self._folder = Path(path) if path is not None else None
        if self._folder is not None:
            self._open(self._folder)

    def _open(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._lock_fd = os.open(folder / 'lock', os.O_RDWR | os.O_CREAT)
        try:
            fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as exc:
            os.close(self._lock_fd)
            raise FolderLockedError(f'{folder}: used by a process') from exc
        self._log_fd = os.open(folder / 'log', os.O_RDWR | os.O_CREAT)

    def load(self) -> tuple[Role, list[bytes]]:
        """Read role and encoded records; remove a torn last record."""
        if self._folder is None:
            return new_role(), []
        records = self._load_records(self._folder / 'log')
        path = self._folder / 'role.json'
        if not path.exists():
            role = new_role()
            self.save_role(role)
            return role, records
        role = Role(**json.loads(path.read_text(encoding='utf-8')))
        role.leads = False
        return role, records

    def _load_records(self, path: Path) -> list[bytes]:
        data = path.read_bytes()
        records = []
        offset = 0
        while offset + _HEADER.size <= len(data):
            length, checksum = _HEADER.unpack_from(data, offset)
            end = offset + _HEADER.size + length
            body = data[offset + _HEADER.size : end]
            if len(body) < length:
                break
            if zlib.crc32(body) != checksum:
                if end < len(data):
                    raise StorageCorruptError(
                        str(path),
                        offset,
                        'checksum of the record does not match',
                    )
                break
            records.append(body)
            self._record_ends.append(end)
            offset = end
        os.ftruncate(self._log_fd, offset)
        os.lseek(self._log_fd, offset, os.SEEK_SET)
        return records

    def save_role(self, role: Role) -> None:
        """Replace the role file atomically and sync it."""
        if self._folder is None:
            return
        temporary = self._folder / 'role.json.new'
        with temporary.open('w', encoding='utf-8') as file:
            json.dump(asdict(role), file)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self._folder / 'role.json')
        folder_fd = os.open(self._folder, os.O_RDONLY)
        os.fsync(folder_fd)
        os.close(folder_fd)

    def append(self, body: bytes) -> None:
        """Buffer one encoded record until `flush`."""
        if self._folder is None:
            return
        start = self._record_ends[-1] if self._record_ends else 0
        self._record_ends.append(start + _HEADER.size + len(body))
        self._buffer.append(_HEADER.pack(len(body), zlib.crc32(body)))
        self._buffer.append(body)

    def flush(self) -> None:
        """Write the buffered records, and sync the file if configured."""
        if not self._buffer:
            return
        _write_all(self._log_fd, b''.join(self._buffer))
        self._buffer.clear()
        if self._sync_log:
            os.fsync(self._log_fd)

    def truncate(self, last_index: int) -> None:
        """Remove all records after `last_index` from the file."""
        if self._folder is None:
            return
        self.flush()
        del self._record_ends[last_index:]
        end = self._record_ends[-1] if self._record_ends else 0
        os.ftruncate(self._log_fd, end)
        os.lseek(self._log_fd, end, os.SEEK_SET)
        os.fsync(self._log_fd)

    def close(self) -> None:
        """Write the buffered records and unlock the folder."""
        if self._folder is None:
            return
        self.flush()
        os.close(self._log_fd)
        os.close(self._lock_fd)
        self._folder = None


def _write_all(fd: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]
