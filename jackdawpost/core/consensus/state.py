"""State of the consensus core, its log and its writes."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from dataclasses import field
from typing import Literal

from jackdawpost.core.consensus.effects import ApplyEntry
from jackdawpost.core.consensus.effects import ConsensusEffect
from jackdawpost.core.consensus.effects import SendToPeer
from jackdawpost.core.consensus.records import COMMAND_ENTRY
from jackdawpost.core.consensus.records import decode_snapshot
from jackdawpost.core.consensus.records import decode_voter_set
from jackdawpost.core.consensus.records import HardState
from jackdawpost.core.consensus.records import LogEntry
from jackdawpost.core.consensus.records import SnapshotRecord
from jackdawpost.core.consensus.records import VOTERS_ENTRY
from jackdawpost.core.consensus.records import VoterSet
from jackdawpost.core.messages.consensus import ConsensusMessage


@dataclass(slots=True, kw_only=True)
class ConsensusConfig:
    """Settings of one process of a consensus group.

    Parameters
    ----------
    voters : list of str
        First voters of the group; later the log decides.
    heartbeat_ms : float
        Interval of heartbeats in milliseconds.
    election_min_ms, election_max_ms : float
        Bounds of the random election timeout in milliseconds.
    first_election_min_ms, first_election_max_ms : float
        Bounds until a leader has been heard since the start; 0 for the same
        as later. Pre-votes keep a process that restarts from disturbing a
        group that has a leader, so that they may be short.
    node_id : str
        Identity that the data folder must hold; with another one the
        process never votes. Empty accepts any folder.
    """

    name: str
    voters: list[str]
    heartbeat_ms: float = 50
    election_min_ms: float = 300
    election_max_ms: float = 600
    first_election_min_ms: float = 0
    first_election_max_ms: float = 0
    node_id: str = ''


@dataclass(slots=True, kw_only=True)
class RestoredState:
    """Durable state as loaded from disk.

    Parameters
    ----------
    hard_state, snapshot : bytes, optional
        Encoded; None if never written.
    entries : list of bytes
        Encoded entries that follow the snapshot.
    node_id : str
        Identity of the data folder. With an empty one a wiped disk is not
        told apart, which is for tests and folders that cannot be wiped.
    """

    hard_state: bytes | None = None
    snapshot: bytes | None = None
    entries: list[bytes] = field(default_factory=list)
    node_id: str = ''


@dataclass(slots=True)
class SnapshotTransfer:
    """Snapshot being sent to one peer."""

    index: int
    data: bytes
    offset: int = 0
    sent_ms: float = -math.inf


@dataclass(slots=True)
class Progress:
    """What a leader knows of one peer.

    Parameters
    ----------
    match : int
        Last index known to be durable at the peer.
    next : int
        Next index to send.
    ack_ms : float
        When the peer last answered in this term.
    ack_round : int
        Highest round that the peer has answered.
    in_flight : int
        Appends with entries sent and not answered.
    probing : bool
        The end of the peer's log is unknown; send one append at a time.
    newcomer_id : str
        Node id of a peer without the right to vote; it counts for nothing.
    """

    next: int
    ack_ms: float
    match: int = 0
    ack_round: int = 0
    in_flight: int = 0
    probing: bool = False
    newcomer_id: str = ''
    transfer: SnapshotTransfer | None = None


@dataclass(slots=True)
class OutstandingWrite:
    """Write handed out and not yet reported as done."""

    token: int
    first_index: int
    last_index: int
    previous_disk_last: int
    has_hard_state: bool
    has_snapshot: bool
    waiting: list[Deferred] = field(default_factory=list)


@dataclass(slots=True)
class OwnVote:
    """A candidate's vote for itself, counted once durable."""

    term: int


Deferred = SendToPeer | OwnVote


@dataclass(slots=True)
class IncomingSnapshot:
    """Snapshot being received from a leader."""

    index: int
    term: int
    data: bytearray


@dataclass(slots=True, kw_only=True)
class ConsensusState:
    """State of one process of a consensus group.

    Read `role`, `leader`, `term`, `commit_index`, `applied_index`,
    `voters`, `learners` and `last_refusal`; change it only through the
    functions of `jackdawpost.core.consensus.process`.
    """

    cfg: ConsensusConfig
    rng: random.Random
    node_id: str
    hard: HardState
    configs: list[tuple[int, VoterSet]]
    role: Literal['follower', 'candidate', 'leader'] = 'follower'
    leader: str | None = None
    commit_index: int = 0
    applied_index: int = 0
    last_refusal: str = ''
    outbox: list[ConsensusEffect] = field(default_factory=list)

    # Log: entries after the snapshot point.
    log: list[LogEntry] = field(default_factory=list)
    snapshot_index: int = 0
    snapshot_term: int = 0
    snapshot: bytes | None = None
    incoming: IncomingSnapshot | None = None

    # Writes. Entries from `dirty_from` on were not handed out yet.
    dirty_from: int = 1
    disk_last: int = 0
    durable_index: int = 0
    hard_dirty: bool = False
    snapshot_dirty: bool = False
    next_token: int = 1
    outstanding: OutstandingWrite | None = None
    waiting: list[Deferred] = field(default_factory=list)
    retry_write_ms: float | None = None

    # Elections.
    election_due_ms: float = 0.0
    probe_due_ms: float = math.inf
    leader_contact_ms: float = -math.inf
    pre_vote_term: int = 0
    pre_votes: set[str] = field(default_factory=set)
    votes: set[str] = field(default_factory=set)
    vouched: dict[str, str] = field(default_factory=dict)

    # Leadership.
    progress: dict[str, Progress] = field(default_factory=dict)
    heartbeat_due_ms: float = math.inf
    won: bool = False
    round: int = 0
    confirm_round: int = 0
    confirming: list[int] = field(default_factory=list)
    confirm_waiting: list[int] = field(default_factory=list)
    transfer_target: str | None = None
    transfer_due_ms: float = math.inf
    transfer_sent: bool = False

    @property
    def name(self) -> str:
        """Name of this process."""
        return self.cfg.name

    @property
    def term(self) -> int:
        """Current term."""
        return self.hard.term

    @property
    def voter_set(self) -> VoterSet:
        """Voter set in force: the latest in the log, committed or not."""
        return self.configs[-1][1]

    @property
    def voters(self) -> list[str]:
        """Names of the present voters."""
        return self.voter_set.voters

    @property
    def learners(self) -> list[str]:
        """Names of processes that receive the log without a vote."""
        return self.voter_set.learners

    @property
    def last_index(self) -> int:
        """Index of the last entry of the log."""
        return self.snapshot_index + len(self.log)

    @property
    def last_term(self) -> int:
        """Term of the last entry of the log."""
        return self.log[-1].term if self.log else self.snapshot_term


def send(state: ConsensusState, peer: str, message: ConsensusMessage) -> None:
    """Send at once: nothing in the message depends on a write."""
    state.outbox.append(SendToPeer(peer=peer, message=message))


def send_when_durable(
    state: ConsensusState, peer: str, message: ConsensusMessage
) -> None:
    """Send once everything changed so far is durable."""
    state.waiting.append(SendToPeer(peer=peer, message=message))


def term_at(state: ConsensusState, index: int) -> int | None:
    """Term of the entry at `index`; None if the log does not hold it."""
    if index == state.snapshot_index:
        return state.snapshot_term
    if not state.snapshot_index < index <= state.last_index:
        return None
    return state.log[index - state.snapshot_index - 1].term


def entry_at(state: ConsensusState, index: int) -> LogEntry:
    """Entry at `index`, which the log must hold."""
    return state.log[index - state.snapshot_index - 1]


def append_entry(state: ConsensusState, entry: LogEntry) -> None:
    """Add an entry at the end of the log."""
    state.log.append(entry)
    if entry.entry_type == VOTERS_ENTRY:
        state.configs.append((entry.index, decode_voter_set(entry.payload)))
        admit_by_config(state)


def admit_by_config(state: ConsensusState) -> None:
    """Gain the right to vote when the voter set names this data folder."""
    node_id = state.voter_set.node_ids.get(state.name)
    if may_vote(state) or not node_id or node_id != state.node_id:
        return
    if state.name in state.voters:
        state.hard.admitted_as = state.name
        state.hard_dirty = True


def truncate_log(state: ConsensusState, index: int) -> None:
    """Discard the entries from `index` on."""
    if index <= state.commit_index:
        raise RuntimeError(
            f'entry {index} is committed up to {state.commit_index}: '
            'the log of the leader differs'
        )
    del state.log[index - state.snapshot_index - 1 :]
    while state.configs[-1][0] >= index:
        state.configs.pop()
    state.dirty_from = min(state.dirty_from, index)
    state.durable_index = min(state.durable_index, index - 1)


def drop_log_prefix(state: ConsensusState, record: SnapshotRecord) -> None:
    """Make a snapshot the start of the log."""
    keep_from = record.index - state.snapshot_index
    if term_at(state, record.index) == record.term:
        del state.log[:keep_from]
        later = [item for item in state.configs if item[0] > record.index]
    else:
        state.log.clear()
        later = []
        state.durable_index = min(state.durable_index, state.commit_index)
    state.configs = [(record.index, record.voter_set), *later]
    state.snapshot_index = record.index
    state.snapshot_term = record.term
    state.dirty_from = max(state.dirty_from, record.index + 1)
    if not state.log:
        state.dirty_from = record.index + 1
    state.snapshot_dirty = True


def compact_log(state: ConsensusState, record_raw: bytes) -> None:
    """Replace applied entries by an encoded snapshot."""
    record = decode_snapshot(record_raw)
    drop_log_prefix(state, record)
    state.snapshot = record_raw


def voter_set_at(state: ConsensusState, index: int) -> VoterSet:
    """Voter set in force at `index`."""
    found = state.configs[0][1]
    for config_index, voter_set in state.configs:
        if config_index <= index:
            found = voter_set
    return found


def advance_commit(state: ConsensusState, index: int) -> None:
    """Raise the commit index and apply what it covers."""
    if index <= state.commit_index:
        return
    state.commit_index = index
    while state.applied_index < state.commit_index:
        state.applied_index += 1
        entry = entry_at(state, state.applied_index)
        command = entry.payload if entry.entry_type == COMMAND_ENTRY else None
        state.outbox.append(
            ApplyEntry(index=entry.index, term=entry.term, command=command)
        )


def is_hard_state_durable(state: ConsensusState) -> bool:
    """Tell whether term, vote and admission are on disk as they stand."""
    if state.hard_dirty:
        return False
    return state.outstanding is None or not state.outstanding.has_hard_state


def holds_named_folder(state: ConsensusState) -> bool:
    """Tell whether the data folder is the one that the settings name."""
    return state.cfg.node_id in ('', state.node_id)


def may_vote(state: ConsensusState) -> bool:
    """Tell whether this process may vote and count for quorums."""
    return holds_named_folder(state) and state.hard.admitted_as == state.name


def newcomer_id(state: ConsensusState) -> str:
    """Node id to report while this process must not count, else empty."""
    return '' if may_vote(state) else state.node_id


def is_quorum(state: ConsensusState, names: set[str]) -> bool:
    """Tell whether `names` hold a majority of the voters."""
    count = sum(1 for voter in state.voters if voter in names)
    return count > len(state.voters) // 2


def reset_election_timer(state: ConsensusState, now_ms: float) -> None:
    """Choose a new random election timeout."""
    cfg = state.cfg
    bounds = (cfg.election_min_ms, cfg.election_max_ms)
    if cfg.first_election_max_ms and math.isinf(state.leader_contact_ms):
        if state.role != 'leader':
            bounds = (cfg.first_election_min_ms, cfg.first_election_max_ms)
    timeout = state.rng.uniform(*bounds)
    state.election_due_ms = now_ms + timeout
