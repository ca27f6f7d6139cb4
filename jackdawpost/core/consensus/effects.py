"""Effects returned by the consensus core: the I/O its embedder performs."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from jackdawpost.core.messages.consensus import ConsensusMessage


@dataclass(slots=True, kw_only=True)
class SendToPeer:
    """Send a message to another process of the group; loss is tolerated."""

    peer: str
    message: ConsensusMessage


@dataclass(slots=True, kw_only=True)
class WriteDurably:
    """Write to disk and sync, then call `persisted` or `persist_failed`.

    At most one write is outstanding. The write must be atomic: either all
    of it takes effect or nothing.

    Parameters
    ----------
    token : int
        Number of the write, increasing; passed back to `persisted` or
        `persist_failed`.
    hard_state : bytes, optional
        New hard state; None leaves the stored one.
    truncate_from : int, optional
        First log index to discard before `entries` are appended.
    entries : list of bytes
        Encoded log entries to append.
    snapshot : bytes, optional
        New snapshot; replaces the stored one and the log up to its index.
    """

    token: int
    hard_state: bytes | None = None
    truncate_from: int | None = None
    entries: list[bytes] = field(default_factory=list)
    snapshot: bytes | None = None


@dataclass(slots=True, kw_only=True)
class ApplyEntry:
    """Apply a committed entry to the application state.

    `command` is None for entries without a command (no-op and voter-set
    entries).
    """

    index: int
    term: int
    command: bytes | None


@dataclass(slots=True, kw_only=True)
class InstallSnapshot:
    """Replace the application state by a snapshot as of log entry `index`."""

    index: int
    snapshot: bytes


@dataclass(slots=True, kw_only=True)
class LeadershipWon:
    """This process became leader; all entries of earlier terms are committed.

    Emitted when the first entry of the new term commits, after the
    `ApplyEntry` effects up to that entry.
    """

    term: int


@dataclass(slots=True, kw_only=True)
class LeadershipLost:
    """This process stepped down; emitted only after a `LeadershipWon`."""

    term: int


@dataclass(slots=True, kw_only=True)
class LeadershipConfirmed:
    """This process was still leader after `confirm_leadership` was called.

    `token` is the one passed to that call.
    """

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
