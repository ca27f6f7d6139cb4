"""Durable store: crashes, damaged files, disk errors and node ids."""

from __future__ import annotations

import dataclasses
import errno
import os
import random
import subprocess
import sys
import time

import pytest

from jackdawpost.core.consensus.process import ApplyEntry
from jackdawpost.core.consensus.process import compact
from jackdawpost.core.consensus.process import ConsensusConfig
from jackdawpost.core.consensus.process import InstallSnapshot
from jackdawpost.core.consensus.process import new_consensus
from jackdawpost.core.consensus.process import persisted
from jackdawpost.core.consensus.process import propose
from jackdawpost.core.consensus.process import tick
from jackdawpost.core.consensus.process import WriteDurably
from jackdawpost.core.consensus.records import COMMAND_ENTRY
from jackdawpost.core.consensus.records import encode_hard_state
from jackdawpost.core.consensus.records import encode_snapshot
from jackdawpost.core.consensus.records import HardState
from jackdawpost.core.consensus.records import make_entry
from jackdawpost.core.consensus.records import SnapshotRecord
from jackdawpost.core.consensus.records import VoterSet
from jackdawpost.core.effects import Persist
from jackdawpost.errors import FolderLockedError
from jackdawpost.errors import StorageCorruptError
from jackdawpost.errors import StorageError
from jackdawpost.storage import DurableStore
from jackdawpost.storage.files import FileLayer

FILE_OPERATIONS = (
    'create',
    'write',
    'truncate',
    'sync',
    'rename',
    'unlink',
    'sync_folder',
)


def _entry(index, term=1, payload=b'x'):
    return make_entry(index, term, COMMAND_ENTRY, payload).raw


def _snapshot(index):
    return encode_snapshot(SnapshotRecord(index, 1, VoterSet(['a']), b's'))


WRITES = [
    Persist(token=1, hard_state=encode_hard_state(HardState(1, 'a'))),
    Persist(token=2, entries=[_entry(1), _entry(2), _entry(3)]),
    Persist(
        token=3,
        hard_state=encode_hard_state(HardState(2, 'b')),
        truncate_from=3,
        entries=[_entry(3, 2), _entry(4, 2)],
    ),
    Persist(token=4, snapshot=_snapshot(3)),
    Persist(token=5, entries=[_entry(5, 2)]),
    Persist(token=6, snapshot=_snapshot(9), truncate_from=10),
    Persist(token=7, entries=[_entry(10, 2)]),
]


class Crash(BaseException):
    """Simulated end of the process or failure of the machine."""


class CrashingLayer(FileLayer):
    """Raises `Crash` at one operation and records what was synced before.

    Parameters
    ----------
    crash_after : int
        Number of operations that are executed before the crash.
    """

    def __init__(self, crash_after=10**9):
        self.remaining_operations = crash_after
        self.synced_content = {}
        self.synced_names = {}

    def __getattribute__(self, name):
        value = super().__getattribute__(name)
        if name not in FILE_OPERATIONS:
            return value

        def operation(*args):
            if self.remaining_operations == 0:
                raise Crash
            self.remaining_operations -= 1
            return value(*args)

        return operation

    def sync(self, fd):
        super().sync(fd)
        inode = os.fstat(fd).st_ino
        with open(f'/proc/self/fd/{fd}', 'rb') as file:
            self.synced_content[inode] = file.read()

    def sync_folder(self, path):
        super().sync_folder(path)
        self.synced_names = {
            entry.name: entry.inode() for entry in os.scandir(path)
        }

    def lose_unsynced(self, path):
        """Restore the last synced files, as after a power failure."""
        present = {entry.inode(): entry.name for entry in os.scandir(path)}
        synced_files = {
            name: self.synced_content.get(inode, b'')
            for name, inode in self.synced_names.items()
        }
        for name in present.values():
            os.unlink(path / name)
        for name, content in synced_files.items():
            (path / name).write_bytes(content)


def _load(path):
    store = DurableStore.open(str(path))
    store.close()
    return store.restored


def _stored_state(restored):
    return (restored.hard_state, restored.snapshot, restored.entries)


def _expected_states(tmp_path):
    """Return the stored state after each number of writes, from 0."""
    states = []
    for count in range(len(WRITES) + 1):
        path = tmp_path / f'expected-{count}'
        _write_to_new_store(path, WRITES[:count])
        states.append(_stored_state(_load(path)))
    return states


def _write_to_new_store(path, effects):
    store = DurableStore.open(str(path))
    try:
        for effect in effects:
            store.write(effect)
    finally:
        store.close()


def _log_file(path):
    (name,) = [item for item in os.listdir(path) if item.startswith('log-')]
    return path / name


def test_writes_are_restored(tmp_path):
    """Guards against a restart that loses or changes state."""
    assert _expected_states(tmp_path)[-1] == (
        encode_hard_state(HardState(2, 'b')),
        _snapshot(9),
        [_entry(10, 2)],
    )


@pytest.mark.parametrize('loses_unsynced', [False, True])
def test_crash_at_each_file_operation(tmp_path, loses_unsynced):
    """Guards against the loss of a write that was acknowledged."""
    states = _expected_states(tmp_path)
    crash_after = 0
    while True:
        path = tmp_path / f'crash-{crash_after}'
        files = CrashingLayer(crash_after)
        completed = _run_until_crash(path, files)
        if loses_unsynced and path.exists():
            files.lose_unsynced(path)
        restored = _load(path)
        # The write in progress may have taken effect, but only as a whole.
        assert (
            _stored_state(restored)
            in states[max(completed, 0) : completed + 2]
        )
        assert _stored_state(restored) == _stored_state(_load(path))
        assert restored.node_id
        if completed == len(WRITES):
            break
        crash_after += 1
    assert crash_after > 30


def _run_until_crash(path, files):
    """Return the number of writes that were acknowledged."""
    completed = 0
    store = None
    try:
        store = DurableStore.open(str(path), files)
        for effect in WRITES:
            store.write(effect)
            completed += 1
    except Crash:
        pass
    if store is not None:
        store.close()
    return completed


def test_incomplete_last_record_is_truncated(tmp_path):
    """Guards against a process that cannot start after a crash."""
    _write_to_new_store(tmp_path / 'whole', WRITES[:3])
    before = _expected_states(tmp_path)[2]
    content = _log_file(tmp_path / 'whole').read_bytes()
    _write_to_new_store(tmp_path / 'shorter', WRITES[:2])
    intact_length = _log_file(tmp_path / 'shorter').stat().st_size
    for length in range(intact_length + 1, len(content)):
        _log_file(tmp_path / 'whole').write_bytes(content[:length])
        assert _stored_state(_load(tmp_path / 'whole')) == before
        assert _log_file(tmp_path / 'whole').stat().st_size == intact_length


def test_damage_before_the_last_record_is_rejected(tmp_path):
    """Guards against the silent loss of votes and acknowledged entries."""
    _write_to_new_store(tmp_path / 'a', WRITES[:3])
    log = _log_file(tmp_path / 'a')
    content = log.read_bytes()
    _write_to_new_store(tmp_path / 'b', WRITES[:2])
    last_record_offset = _log_file(tmp_path / 'b').stat().st_size
    for offset in range(last_record_offset):
        damaged = bytearray(content)
        damaged[offset] ^= 0xFF
        log.write_bytes(damaged)
        with pytest.raises(StorageError) as caught:
            DurableStore.open(str(tmp_path / 'a'))
        assert str(log) in str(caught.value)
        if offset >= 8:
            assert isinstance(caught.value, StorageCorruptError)
            assert caught.value.offset <= offset


def test_damaged_snapshot_is_rejected(tmp_path):
    """Guards against the restore of an application from damaged bytes."""
    _write_to_new_store(tmp_path, WRITES[:4])
    (name,) = [
        item for item in os.listdir(tmp_path) if item.startswith('snapshot-')
    ]
    content = bytearray((tmp_path / name).read_bytes())
    content[-1] ^= 1
    (tmp_path / name).write_bytes(content)
    with pytest.raises(StorageCorruptError, match=name):
        DurableStore.open(str(tmp_path))


class FailingDisk(FileLayer):
    """Fails chosen operations; a failing write writes half of the data."""

    def __init__(self):
        self.failing = set()
        self.remaining_folder_syncs = 0

    def write(self, fd, offset, data):
        if 'write' in self.failing:
            super().write(fd, offset, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, 'No space left on device')
        super().write(fd, offset, data)

    def sync(self, fd):
        if 'sync' in self.failing:
            raise OSError(errno.EIO, 'Input/output error')
        super().sync(fd)

    def sync_folder(self, path):
        self.remaining_folder_syncs -= 1
        if 'sync_folder' in self.failing and self.remaining_folder_syncs < 0:
            raise OSError(errno.EIO, 'Input/output error')
        super().sync_folder(path)

    def truncate(self, fd, length):
        if 'truncate' in self.failing:
            raise OSError(errno.EIO, 'Input/output error')
        super().truncate(fd, length)


@pytest.mark.parametrize(
    'failing',
    [{'write'}, {'sync'}, {'sync_folder'}, {'write', 'truncate'}],
    ids='-'.join,
)
@pytest.mark.parametrize('write_index', range(len(WRITES)))
def test_failed_write_keeps_the_earlier_state(tmp_path, failing, write_index):
    """Guards against a full disk that damages data of earlier writes."""
    states = _expected_states(tmp_path)
    path = tmp_path / 'data'
    files = FailingDisk()
    store = DurableStore.open(str(path), files)
    for effect in WRITES[:write_index]:
        store.write(effect)
    syncs_folder = WRITES[write_index].snapshot is not None
    if failing == {'sync_folder'} and not syncs_folder:
        store.close()
        return
    files.failing = failing
    for _ in range(2):
        with pytest.raises(StorageError, match='No space|Input/output'):
            store.write(WRITES[write_index])
    files.failing = set()
    for effect in WRITES[write_index:]:
        store.write(effect)
    store.close()
    assert _stored_state(_load(path)) == states[-1]


@pytest.mark.parametrize('failing', ['write', 'sync'])
@pytest.mark.parametrize('write_index', range(len(WRITES)))
def test_failed_write_has_no_effect_after_restart(
    tmp_path, write_index, failing
):
    """Guards against a failed write that takes effect after a restart."""
    states = _expected_states(tmp_path)
    files = FailingDisk()
    store = DurableStore.open(str(tmp_path / 'data'), files)
    for effect in WRITES[:write_index]:
        store.write(effect)
    if failing == 'sync' and WRITES[write_index].snapshot is None:
        # The file receives the whole write; only the sync fails.
        real_sync = files.sync
        files.sync = _fail_once(files, real_sync)
    else:
        files.failing = {failing}
    with pytest.raises(StorageError):
        store.write(WRITES[write_index])
    store.close()
    assert _stored_state(_load(tmp_path / 'data')) == states[write_index]


def _fail_once(files, real_sync):
    def sync(fd):
        files.sync = real_sync
        raise OSError(errno.EIO, 'Input/output error')

    return sync


def test_writes_after_a_failed_snapshot_are_kept(tmp_path):
    """Guards against a restart from the log file of a failed write."""
    states = _expected_states(tmp_path)
    files = FailingDisk()
    store = DurableStore.open(str(tmp_path / 'data'), files)
    for effect in WRITES[:3]:
        store.write(effect)
    # The snapshot file is complete; the name of the new log file is not
    # synced.
    files.remaining_folder_syncs = 1
    files.failing = {'sync_folder'}
    with pytest.raises(StorageError):
        store.write(WRITES[3])
    files.failing = set()
    store.write(WRITES[4])
    store.close()
    hard_state, snapshot, entries = states[3]
    expected = (hard_state, snapshot, [*entries, _entry(5, 2)])
    assert _stored_state(_load(tmp_path / 'data')) == expected


def test_entries_with_a_gap_are_rejected(tmp_path):
    """Guards against a log that cannot be restored."""
    store = DurableStore.open(str(tmp_path))
    with pytest.raises(
        StorageError,
        match='log entry index 2 is out of sequence, expected 1',
    ):
        store.write(Persist(token=1, entries=[_entry(2)]))
    store.write(Persist(token=2, entries=[_entry(1)]))
    store.close()
    assert _load(tmp_path).entries == [_entry(1)]


def test_second_process_is_rejected(tmp_path):
    """Guards against two processes that write to the same log."""
    store = DurableStore.open(str(tmp_path))
    script = (
        'import sys\n'
        'from jackdawpost.errors import FolderLockedError\n'
        'from jackdawpost.storage import DurableStore\n'
        'try:\n'
        '    DurableStore.open(sys.argv[1])\n'
        'except FolderLockedError:\n'
        '    sys.exit(7)\n'
    )
    command = [sys.executable, '-c', script, str(tmp_path)]
    assert subprocess.run(command, timeout=20).returncode == 7
    with pytest.raises(FolderLockedError):
        DurableStore.open(str(tmp_path))
    store.close()
    assert subprocess.run(command, timeout=20).returncode == 0


def test_new_folder_gets_a_new_node_id(tmp_path):
    """Guards against a process without its stored votes that votes again."""
    first = _load(tmp_path / 'data')
    assert _load(tmp_path / 'data').node_id == first.node_id
    os.rename(tmp_path / 'data', tmp_path / 'old')
    assert _load(tmp_path / 'data').node_id != first.node_id


@pytest.mark.parametrize('missing', ['log-', 'node_id', 'snapshot-'])
def test_missing_file_is_rejected(tmp_path, missing):
    """Guards against a start with only a part of the stored state."""
    _write_to_new_store(tmp_path, WRITES)
    for name in os.listdir(tmp_path):
        if name.startswith(missing):
            os.unlink(tmp_path / name)
    with pytest.raises(StorageError, match='missing'):
        DurableStore.open(str(tmp_path))


def test_unknown_format_version_is_rejected(tmp_path):
    """Guards against a newer file that is reported as damaged."""
    _write_to_new_store(tmp_path, WRITES)
    log = _log_file(tmp_path)
    content = bytearray(log.read_bytes())
    content[7] = 2
    log.write_bytes(content)
    with pytest.raises(StorageError, match='format version 2, expected 1'):
        DurableStore.open(str(tmp_path))


def test_old_files_are_removed_after_a_snapshot(tmp_path):
    """Guards against a folder that grows without limit."""
    _write_to_new_store(tmp_path, WRITES)
    names = sorted(item.split('-')[0] for item in os.listdir(tmp_path))
    assert names == ['lock', 'log', 'node_id', 'snapshot']


def test_consensus_continues_after_a_restart(tmp_path):
    """Guards against writes of the consensus core that cannot be restored."""
    proposed = []
    for count in range(1, 8):
        store = DurableStore.open(str(tmp_path))
        cfg = ConsensusConfig(name='a', voters=['a'])
        state = new_consensus(cfg, random.Random(1), store.restored, 0.0)
        applied = []
        _perform_effects(store, state, tick(state, 0.0), applied)
        _, effects = propose(state, 1.0, b'%d' % count)
        _perform_effects(store, state, effects, applied)
        proposed.append(b'%d' % count)
        assert applied == proposed
        if count % 3 == 0:
            snapshot = b','.join(applied)
            effects = compact(state, 2.0, state.applied_index, snapshot)
            _perform_effects(store, state, effects, applied)
        store.close()


def _perform_effects(store, state, effects, applied):
    for effect in effects:
        if isinstance(effect, WriteDurably):
            store.write(Persist(**dataclasses.asdict(effect)))
            next_effects = persisted(state, 1.0, effect.token)
            _perform_effects(store, state, next_effects, applied)
        elif isinstance(effect, InstallSnapshot):
            applied[:] = effect.snapshot.split(b',')
        elif isinstance(effect, ApplyEntry) and effect.command is not None:
            applied.append(effect.command)


def test_long_log_is_restored_in_time(tmp_path):
    """Guards against a restart that takes longer than 2 s."""
    hard_state = encode_hard_state(HardState(1, None, 'a'))
    writes = [Persist(token=1, hard_state=hard_state)]
    for index in range(1, 1_001):
        entry = _entry(index, payload=bytes(500))
        writes.append(Persist(token=index + 1, entries=[entry]))
    _write_to_new_store(tmp_path, writes)
    started = time.perf_counter()
    restored = _load(tmp_path)
    cfg = ConsensusConfig(name='a', voters=['a', 'b', 'c'])
    state = new_consensus(cfg, random.Random(1), restored, 0.0)
    assert time.perf_counter() - started < 2.0
    assert state.last_index == 1_000
