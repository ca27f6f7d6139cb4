"""Effects that the consensus core returns."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from jackdawpost.core.messages.consensus import ConsensusMessage


@dataclass(slots=True, kw_only=True)
class SendToPeer:
    """Send a message to a process of the group; it may be lost."""

    peer: str
    message: ConsensusMessage


@dataclass(slots=True, kw_only=True)
class WriteDurably:
    """Write and sync; answer with `persisted` or `persist_failed`.

    At most one write is outstanding. A write takes effect as a whole or not
    at all.

    Parameters
    ----------
    token : int
        Rising number of the write.
    hard_state : bytes, optional
        New hard state.
    truncate_from : int, optional
        First log index to discard before appending.
    entries : list of bytes
        Encoded log entries to append.
    snapshot : bytes, optional
        New snapshot; replaces the log up to its index.
    """

    token: int
    hard_state: bytes | None = None
    truncate_from: int | None = None
    entries: list[bytes] = field(default_factory=list)
    snapshot: bytes | None = None


@dataclass(slots=True, kw_only=True)
class ApplyEntry:
    """Apply a committed entry; `command` is None for internal entries."""

    index: int
    term: int
    command: bytes | None


@dataclass(slots=True, kw_only=True)
class InstallSnapshot:
    """Replace the application state by a snapshot taken after `index`."""

    index: int
    snapshot: bytes


@dataclass(slots=True, kw_only=True)
class LeadershipWon:
    """This process leads and has applied everything committed earlier."""

    term: int


@dataclass(slots=True, kw_only=True)
class LeadershipLost:
    """This process no longer leads; follows only a `LeadershipWon`."""

    term: int


@dataclass(slots=True, kw_only=True)
class LeadershipConfirmed:
    """This process led at some time after the call with `token`."""

    token: int


ConsensusEffect = (
    SendToPeer
    | WriteDurably
    | ApplyEntry
    | InstallSnapshot
    | LeadershipWon
    | LeadershipLost
    | LeadershipConfirmed
)
