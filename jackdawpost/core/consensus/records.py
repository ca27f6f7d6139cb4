"""Binary encoding of log entries, hard state and snapshots.

A log entry is a fixed header (type, term, index) followed by its payload;
hard state, voter sets and snapshots are CBOR arrays.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import cbor2

from jackdawpost.errors import ProtocolError

NOOP_ENTRY = 0
COMMAND_ENTRY = 1
VOTERS_ENTRY = 2

# Entry type, term, index.
_ENTRY_HEADER = struct.Struct('>BQQ')


@dataclass(slots=True)
class LogEntry:
    """One entry of the replicated log.

    Parameters
    ----------
    entry_type : int
        `NOOP_ENTRY`, `COMMAND_ENTRY` or `VOTERS_ENTRY`.
    raw : bytes
        Header and payload, as stored on disk and sent to peers.
    """

    index: int
    term: int
    entry_type: int
    raw: bytes

    @property
    def payload(self) -> bytes:
        """Command or encoded voter set; empty for a no-op entry."""
        return self.raw[_ENTRY_HEADER.size :]


@dataclass(slots=True)
class VoterSet:
    """Membership of the group: its voters and learners.

    Parameters
    ----------
    voters, learners : list of str
        Names of processes. Learners receive the log but have no vote and
        are not part of any quorum.
    node_ids : dict of str to str
        Node id by name, for each process that gained the right to vote
        through a voter change rather than the bootstrap of the group.
    """

    voters: list[str]
    learners: list[str] = field(default_factory=list)
    node_ids: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class HardState:
    """Term, vote and right to vote; synced before any message reveals them.

    Parameters
    ----------
    term : int
        Current term.
    voted_for : str, optional
        Candidate that received this process's vote in `term`.
    admitted_as : str, optional
        Process name under which this data folder may vote.
    known_ids : dict of str to str
        Node ids of the other first voters, by name, as of the bootstrap of
        the group.
    """

    term: int = 0
    voted_for: str | None = None
    admitted_as: str | None = None
    known_ids: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class SnapshotRecord:
    """Application state and voter set as of the log entry at `index`."""

    index: int
    term: int
    voter_set: VoterSet
    data: bytes


def make_entry(
    index: int, term: int, entry_type: int, payload: bytes
) -> LogEntry:
    """Create a log entry and encode it."""
    raw = _ENTRY_HEADER.pack(entry_type, term, index) + payload
    return LogEntry(index, term, entry_type, raw)


def decode_entry(raw: bytes) -> LogEntry:
    """Decode a log entry.

    Raises
    ------
    ProtocolError
        The bytes are not a valid log entry.
    """
    if len(raw) < _ENTRY_HEADER.size:
        raise ProtocolError(
            f'log entry too short: got {len(raw)} bytes, expected at least '
            f'{_ENTRY_HEADER.size}'
        )
    entry_type, term, index = _ENTRY_HEADER.unpack_from(raw)
    if entry_type > VOTERS_ENTRY:
        raise ProtocolError(
            f'unknown log entry type {entry_type}, expected 0 to '
            f'{VOTERS_ENTRY}'
        )
    return LogEntry(index, term, entry_type, raw)


def encode_voter_set(voter_set: VoterSet) -> bytes:
    """Encode the payload of a `VOTERS_ENTRY`."""
    return cbor2.dumps(
        [voter_set.voters, voter_set.learners, voter_set.node_ids]
    )


def decode_voter_set(payload: bytes) -> VoterSet:
    """Decode the payload of a `VOTERS_ENTRY`.

    Raises
    ------
    ProtocolError
        The bytes are not a valid voter set.
    """
    voters, learners, node_ids = _decode_list(payload, 3, 'voter set')
    return VoterSet(voters, learners, node_ids)


def encode_hard_state(hard: HardState) -> bytes:
    """Encode a hard state as the CBOR array that is stored on disk."""
    return cbor2.dumps(
        [hard.term, hard.voted_for, hard.admitted_as, hard.known_ids]
    )


def decode_hard_state(raw: bytes) -> HardState:
    """Decode a hard state as stored on disk.

    Raises
    ------
    ProtocolError
        The bytes are not a valid hard state.
    """
    term, voted_for, admitted_as, known_ids = _decode_list(
        raw, 4, 'hard state'
    )
    return HardState(term, voted_for, admitted_as, known_ids)


def encode_snapshot(record: SnapshotRecord) -> bytes:
    """Encode a snapshot as stored and sent."""
    voters = encode_voter_set(record.voter_set)
    return cbor2.dumps([record.index, record.term, voters, record.data])


def decode_snapshot(raw: bytes) -> SnapshotRecord:
    """Decode a snapshot.

    Raises
    ------
    ProtocolError
        The bytes are not a valid snapshot.
    """
    index, term, voters, data = _decode_list(raw, 4, 'snapshot')
    return SnapshotRecord(index, term, decode_voter_set(voters), data)


def _decode_list(raw: bytes, length: int, record_name: str) -> list[Any]:
    try:
        value = cbor2.loads(raw)
    except (ValueError, cbor2.CBORError) as exc:
        raise ProtocolError(f'invalid CBOR in {record_name}: {exc}') from exc
    if not isinstance(value, list) or len(value) != length:
        raise ProtocolError(
            f'malformed {record_name}: expected an array of {length} items'
        )
    return value
