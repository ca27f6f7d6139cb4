"""Durable store: crashes, damage, a full disk, and identities."""

from __future__ import annotations

import os

from jackdawpost.core.consensus_records import COMMAND_ENTRY
from jackdawpost.core.consensus_records import encode_hard_state
from jackdawpost.core.consensus_records import encode_snapshot
from jackdawpost.core.consensus_records import HardState
from jackdawpost.core.consensus_records import make_entry
from jackdawpost.core.consensus_records import SnapshotRecord
from jackdawpost.core.consensus_records import VoterSet
from jackdawpost.core.effects import Persist
from jackdawpost.storage import DurableStore


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


def _load(path):
    store = DurableStore.open(str(path))
    store.close()
    return store.restored


def _expected_states(tmp_path):
    """State after each number of writes."""
    states = []
    for count in range(len(WRITES) + 1):
        path = tmp_path / f'expected-{count}'
        store = DurableStore.open(str(path))
        for effect in WRITES[:count]:
            store.write(effect)
        store.close()
        states.append(_summary(_load(path)))
    return states


def _summary(restored):
    return (restored.hard_state, restored.snapshot, restored.entries)


def _log_file(path):
    (name,) = [item for item in os.listdir(path) if item.startswith('log-')]
    return path / name


def test_writes_are_restored(tmp_path):
    """Guards against state that is lost or changed by a restart."""
    final = _expected_states(tmp_path)[-1]
    assert final == (
        encode_hard_state(HardState(2, 'b')),
        _snapshot(9),
        [_entry(10, 2)],
    )
