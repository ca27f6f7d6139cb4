"""Encoding of log entries, hard state and snapshots."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import cbor2

from jackdawpost.errors import ProtocolError

INTERNAL_ENTRY = 0
COMMAND_ENTRY = 1
VOTERS_ENTRY = 2

_HEADER = struct.Struct('>BQQ')


@dataclass(slots=True)
class LogEntry:
    """One entry of the replicated log.

    Parameters
    ----------
    entry_type : int
        `INTERNAL_ENTRY`, `COMMAND_ENTRY` or `VOTERS_ENTRY`.
    raw : bytes
        Encoded form, as stored and sent.
    """

    index: int
    term: int
    entry_type: int
    raw: bytes

    @property
    def payload(self) -> bytes:
        """Command or encoded voter set."""
        return self.raw[_HEADER.size :]


@dataclass(slots=True)
class VoterSet:
    """Processes that take part in the group.

    Parameters
    ----------
    voters, learners : list of str
        Names; learners receive the log but count for no quorum.
    node_ids : dict of str to str
        Node ids of the processes admitted by a voter change.
    """

    voters: list[str]
    learners: list[str] = field(default_factory=list)
    node_ids: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class HardState:
    """Promises of a process, durable before anyone relies on them.

    Parameters
    ----------
    admitted_as : str, optional
        Name under which this data folder has the right to vote.
    known_ids : dict of str to str
        Node ids of the other voters when this process was admitted.
    """

    term: int = 0
    voted_for: str | None = None
    admitted_as: str | None = None
    known_ids: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class SnapshotRecord:
    """Application state after `index`, with the voter set of that point."""

    index: int
    term: int
    voter_set: VoterSet
    data: bytes


def make_entry(
    index: int, term: int, entry_type: int, payload: bytes
) -> LogEntry:
    """Build an entry with its encoded form."""
    raw = _HEADER.pack(entry_type, term, index) + payload
    return LogEntry(index, term, entry_type, raw)


def decode_entry(raw: bytes) -> LogEntry:
    """Decode one entry.

    Raises
    ------
    ProtocolError
        The bytes are no log entry.
    """
    if len(raw) < _HEADER.size:
        raise ProtocolError(
            f'log entry of {len(raw)} bytes: valid are {_HEADER.size} or more'
        )
    entry_type, term, index = _HEADER.unpack_from(raw)
    if entry_type > VOTERS_ENTRY:
        raise ProtocolError(
            f'log entry type {entry_type}: valid are 0 to {VOTERS_ENTRY}'
        )
    return LogEntry(index, term, entry_type, raw)


def encode_voter_set(voter_set: VoterSet) -> bytes:
    """Encode the payload of a `VOTERS_ENTRY`."""
    return cbor2.dumps(
        [voter_set.voters, voter_set.learners, voter_set.node_ids]
    )


def decode_voter_set(payload: bytes) -> VoterSet:
    """Decode the payload of a `VOTERS_ENTRY`."""
    voters, learners, node_ids = _load(payload, 3, 'voter set')
    return VoterSet(voters, learners, node_ids)


def encode_hard_state(hard: HardState) -> bytes:
    """Encode a hard state."""
    return cbor2.dumps(
        [hard.term, hard.voted_for, hard.admitted_as, hard.known_ids]
    )


def decode_hard_state(raw: bytes) -> HardState:
    """Decode a hard state."""
    term, voted_for, admitted_as, known_ids = _load(raw, 4, 'hard state')
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
        The bytes are no snapshot.
    """
    index, term, voters, data = _load(raw, 4, 'snapshot')
    return SnapshotRecord(index, term, decode_voter_set(voters), data)


def _load(raw: bytes, length: int, what: str) -> list[Any]:
    try:
        value = cbor2.loads(raw)
    except (ValueError, cbor2.CBORError) as exc:
        raise ProtocolError(f'{what} cannot be decoded: {exc}') from exc
    if not isinstance(value, list) or len(value) != length:
        raise ProtocolError(f'{what}: valid is a list of {length} items')
    return value
