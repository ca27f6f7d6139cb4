"""Durable consensus state of a control process, in one data folder.

The folder holds ``lock``, ``node_id``, one log file ``log-SEQUENCE``, and the
snapshot file ``snapshot-SEQUENCE`` if the log file refers to one. The first
record of a log file holds the whole state except the snapshot. Each later
record holds the content of one write, which makes a write atomic. A write
with a snapshot starts a new log file; the old files are removed once the new
ones are synced.
"""

from __future__ import annotations

import fcntl
import os
import secrets
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import cbor2

from jackdawpost.core.consensus.records import decode_entry
from jackdawpost.core.consensus.records import decode_snapshot
from jackdawpost.core.consensus.state import RestoredState
from jackdawpost.core.effects import Persist
from jackdawpost.errors import FolderLockedError
from jackdawpost.errors import ProtocolError
from jackdawpost.errors import StorageCorruptError
from jackdawpost.errors import StorageError
from jackdawpost.storage.files import FileLayer
from jackdawpost.storage.records import encode_record
from jackdawpost.storage.records import FILE_HEADER
from jackdawpost.storage.records import read_records

_LOG_PREFIX = 'log-'
_SNAPSHOT_PREFIX = 'snapshot-'
_TEMPORARY_SUFFIX = '.tmp'


@dataclass(slots=True)
class _LogContent:
    """State that the records of the log file describe."""

    hard_state: bytes | None = None
    snapshot_name: str | None = None
    snapshot_index: int = 0
    entries: list[bytes] = field(default_factory=list)

    @property
    def last_index(self) -> int:
        return self.snapshot_index + len(self.entries)


class DurableStore:
    """Store of the consensus state of one process in a data folder.

    It is created by `DurableStore.open`.

    Attributes
    ----------
    restored : RestoredState
        Content of the folder when it was opened.
    """

    restored: RestoredState

    def __init__(self, data_dir: str, files: FileLayer) -> None:
        self._dir = data_dir
        self._files = files
        self._lock_fd = -1
        self._log_fd = -1
        self._log_length = 0
        self._sequence = 0
        self._content = _LogContent()
        # Files and log data that a failed write may have left in the folder.
        # These attributes are reset when the rollback of the write succeeds.
        self._unfinished_files: list[str] = []
        self._has_unfinished_append = False

    @classmethod
    def open(
        cls, data_dir: str, files: FileLayer | None = None
    ) -> DurableStore:
        """Lock and load a data folder; create it if it does not exist.

        Parameters
        ----------
        data_dir : str
            Data folder, which no other process may use.
        files : FileLayer, optional
            File operations; those of the operating system by default.

        Raises
        ------
        FolderLockedError
            Another process uses the folder.
        StorageCorruptError
            A record is damaged and is not an incomplete last record.
        StorageError
            The folder cannot be read or written, or a file is missing.
        """
        store = cls(data_dir, files or FileLayer())
        try:
            store._open()
        except OSError as exc:
            store.close()
            raise StorageError(f'{data_dir}: {exc}') from exc
        except BaseException:
            store.close()
            raise
        return store

    def close(self) -> None:
        """Close the files and release the folder."""
        for fd in (self._log_fd, self._lock_fd):
            if fd >= 0:
                os.close(fd)
        self._log_fd = -1
        self._lock_fd = -1

    def write(self, effect: Persist) -> None:
        """Write and sync an effect atomically.

        Raises
        ------
        StorageError
            The write failed and has no effect; a later write may succeed.
        """
        if self._log_fd < 0:
            raise StorageError(f'{self._dir}: the store is closed')
        try:
            self._roll_back_failed_write()
            if effect.snapshot is not None:
                self._write_new_log(effect, effect.snapshot)
            else:
                self._append_record(effect)
        except OSError as exc:
            self._try_roll_back()
            raise StorageError(f'{self._dir}: {exc}') from exc

    # -- opening a folder ---------------------------------------------------

    def _open(self) -> None:
        if not os.path.isdir(self._dir):
            os.makedirs(self._dir, mode=0o700, exist_ok=True)
            parent = os.path.dirname(os.path.abspath(self._dir))
            self._files.sync_folder(parent)
        self._lock_folder()
        file_names = os.listdir(self._dir)
        sequences = _find_log_sequences(file_names)
        if sequences:
            self._sequence = sequences[-1]
            self._load_log()
        elif 'node_id' in file_names:
            # The node id is written after the first log file.
            raise StorageError(f'{self._path("node_id")}: log file is missing')
        else:
            self._create_log()
        node_id = self._load_node_id()
        self._remove_unused_files(file_names)
        self.restored = self._build_restored_state(node_id)

    def _lock_folder(self) -> None:
        path = self._path('lock')
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        self._lock_fd = os.open(path, flags, 0o600)
        try:
            fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as exc:
            raise FolderLockedError(
                f'{self._dir}: used by another process'
            ) from exc

    def _load_log(self) -> None:
        path = self._log_path(self._sequence)
        content = _read_file(path)
        payloads, length = read_records(
            path, content, last_may_be_incomplete=True
        )
        if not payloads:
            raise StorageCorruptError(
                path, len(FILE_HEADER), 'expected at least one record'
            )
        for payload in payloads:
            self._replay_record(path, payload)
        self._log_fd = self._files.open(path)
        self._log_length = length
        if length < len(content):
            self._files.truncate(self._log_fd, length)
        # A process that crashed before the sync leaves records that can be
        # read but are not durable yet.
        self._files.sync(self._log_fd)
        self._files.sync_folder(self._dir)

    def _replay_record(self, path: str, payload: bytes) -> None:
        try:
            hard_state, truncate_from, entries, snapshot = cbor2.loads(payload)
            if snapshot is not None:
                name, index = snapshot
                self._content.snapshot_name = name
                self._content.snapshot_index = index
            _apply_write(self._content, hard_state, truncate_from, entries)
        except (ValueError, TypeError, ProtocolError, StorageError) as exc:
            raise StorageError(f'{path}: {exc}') from exc

    def _load_node_id(self) -> str:
        path = self._path('node_id')
        try:
            node_id = _read_file(path).decode('ascii').strip()
        except FileNotFoundError:
            if self._content.hard_state is not None:
                raise StorageError(f'{path}: file is missing') from None
            node_id = secrets.token_hex(8)
            self._create_file(path, node_id.encode('ascii'))
        if not node_id:
            raise StorageCorruptError(path, 0, 'node id is empty')
        return node_id

    def _build_restored_state(self, node_id: str) -> RestoredState:
        content = self._content
        snapshot = None
        if content.snapshot_name is not None:
            path = self._path(content.snapshot_name)
            try:
                raw = _read_file(path)
            except FileNotFoundError as exc:
                raise StorageError(f'{path}: file is missing') from exc
            payloads, _ = read_records(path, raw, last_may_be_incomplete=False)
            if len(payloads) != 1:
                raise StorageCorruptError(
                    path, 0, 'expected exactly one snapshot record'
                )
            snapshot = payloads[0]
        return RestoredState(
            hard_state=content.hard_state,
            snapshot=snapshot,
            entries=list(content.entries),
            node_id=node_id,
        )

    def _remove_unused_files(self, file_names: list[str]) -> None:
        used = {
            os.path.basename(self._log_path(self._sequence)),
            self._content.snapshot_name,
        }
        prefixes = (_LOG_PREFIX, _SNAPSHOT_PREFIX)
        for name in file_names:
            has_store_prefix = name.startswith(prefixes)
            if name.endswith(_TEMPORARY_SUFFIX) or has_store_prefix:
                if name not in used:
                    self._files.unlink(self._path(name))

    # -- writing ------------------------------------------------------------

    def _append_record(self, effect: Persist) -> None:
        next_content = self._build_next_content(effect)
        record = encode_record(
            cbor2.dumps(
                [
                    effect.hard_state,
                    effect.truncate_from,
                    effect.entries,
                    None,
                ]
            )
        )
        self._has_unfinished_append = True
        self._files.write(self._log_fd, self._log_length, record)
        self._files.sync(self._log_fd)
        self._has_unfinished_append = False
        self._log_length += len(record)
        self._content = next_content

    def _write_new_log(self, effect: Persist, snapshot: bytes) -> None:
        next_content = self._build_next_content(effect)
        sequence = self._sequence + 1
        snapshot_name = f'{_SNAPSHOT_PREFIX}{sequence:016d}'
        log_path = self._log_path(sequence)
        self._unfinished_files = [log_path, self._path(snapshot_name)]
        file_content = FILE_HEADER + encode_record(snapshot)
        self._create_file(self._path(snapshot_name), file_content)
        next_content.snapshot_name = snapshot_name
        content = _encode_log_file(next_content)
        self._create_file(log_path, content)
        log_fd = self._files.open(log_path)
        self._unfinished_files = []
        os.close(self._log_fd)
        self._log_fd = log_fd
        self._log_length = len(content)
        old_file_names = [
            os.path.basename(self._log_path(self._sequence)),
            self._content.snapshot_name,
        ]
        self._sequence = sequence
        self._content = next_content
        self._remove_old_files(old_file_names)

    def _build_next_content(self, effect: Persist) -> _LogContent:
        old = self._content
        next_content = _LogContent(
            hard_state=old.hard_state,
            snapshot_name=old.snapshot_name,
            snapshot_index=old.snapshot_index,
            entries=old.entries,
        )
        try:
            if effect.snapshot is not None:
                index = decode_snapshot(effect.snapshot).index
                if index < old.snapshot_index:
                    raise StorageError(
                        f'{self._dir}: snapshot index {index} is too low, '
                        f'expected at least {old.snapshot_index}'
                    )
                next_content.entries = old.entries[
                    index - old.snapshot_index :
                ]
                next_content.snapshot_index = index
            else:
                next_content.entries = list(old.entries)
            _apply_write(
                next_content,
                effect.hard_state,
                effect.truncate_from,
                effect.entries,
            )
        except ProtocolError as exc:
            raise StorageError(f'{self._dir}: {exc}') from exc
        return next_content

    def _create_log(self) -> None:
        content = _encode_log_file(self._content)
        path = self._log_path(self._sequence)
        self._create_file(path, content)
        self._log_fd = self._files.open(path)
        self._log_length = len(content)

    def _create_file(self, path: str, content: bytes) -> None:
        temporary = path + _TEMPORARY_SUFFIX
        fd = self._files.create(temporary)
        try:
            self._files.write(fd, 0, content)
            self._files.sync(fd)
        finally:
            os.close(fd)
        self._files.rename(temporary, path)
        self._files.sync_folder(self._dir)

    def _remove_old_files(self, file_names: list[str | None]) -> None:
        for name in file_names:
            if name is None:
                continue
            try:
                self._files.unlink(self._path(name))
            except OSError:
                # The new log file is already in use. The next start removes
                # the old files.
                pass

    def _try_roll_back(self) -> None:
        try:
            self._roll_back_failed_write()
        except OSError:
            # The next write tries the rollback again, and fails as long as
            # the rollback fails.
            pass

    def _roll_back_failed_write(self) -> None:
        if self._unfinished_files:
            for path in self._unfinished_files:
                self._files.unlink(path)
                self._files.unlink(path + _TEMPORARY_SUFFIX)
            self._files.sync_folder(self._dir)
            self._unfinished_files = []
        if self._has_unfinished_append:
            self._files.truncate(self._log_fd, self._log_length)
            self._files.sync(self._log_fd)
            self._has_unfinished_append = False

    def _path(self, name: str) -> str:
        return os.path.join(self._dir, name)

    def _log_path(self, sequence: int) -> str:
        return self._path(f'{_LOG_PREFIX}{sequence:016d}')


def _apply_write(
    content: _LogContent,
    hard_state: bytes | None,
    truncate_from: int | None,
    entries: list[bytes],
) -> None:
    if hard_state is not None:
        content.hard_state = hard_state
    if truncate_from is not None:
        kept_count = max(0, truncate_from - content.snapshot_index - 1)
        del content.entries[kept_count:]
    for raw in entries:
        index = decode_entry(raw).index
        if index != content.last_index + 1:
            raise StorageError(
                f'log entry index {index} is out of sequence, expected '
                f'{content.last_index + 1}'
            )
        content.entries.append(raw)


def _encode_log_file(content: _LogContent) -> bytes:
    snapshot: list[Any] | None = None
    if content.snapshot_name is not None:
        snapshot = [content.snapshot_name, content.snapshot_index]
    payload = cbor2.dumps(
        [content.hard_state, None, content.entries, snapshot]
    )
    return FILE_HEADER + encode_record(payload)


def _find_log_sequences(file_names: list[str]) -> list[int]:
    sequences = []
    for name in file_names:
        digits = name.removeprefix(_LOG_PREFIX)
        if name.startswith(_LOG_PREFIX) and digits.isdigit():
            sequences.append(int(digits))
    return sorted(sequences)


def _read_file(path: str) -> bytes:
    with open(path, 'rb') as file:
        return file.read()
