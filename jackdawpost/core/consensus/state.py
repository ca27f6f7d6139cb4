"""State of one consensus process, with the operations on its log.

Holds the settings, the log and its voter sets, what is durable, the election
timer, and the leader's view of its peers.
"""

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
        First voters of the group; used only until the log contains a voter
        set.
    heartbeat_ms : float
        Interval of heartbeats in milliseconds.
    election_min_ms, election_max_ms : float
        Bounds of the random election timeout in milliseconds.
    first_election_min_ms, first_election_max_ms : float
        Bounds of the election timeout from the start of the process until
        its first contact with a leader; 0 uses the bounds above. They may
        be short, because a restarted process cannot disrupt a group that
        has a leader: its pre-votes are denied.
    node_id : str
        Node id that the data folder is required to have; the process never
        votes with another one. Empty accepts any data folder.
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
        Node id of the data folder. If it is empty, a wiped data folder
        cannot be detected and may vote at once; use this only in tests or
        where the folder cannot be wiped.
    """

    hard_state: bytes | None = None
    snapshot: bytes | None = None
    entries: list[bytes] = field(default_factory=list)
    node_id: str = ''


@dataclass(slots=True)
class SnapshotTransfer:
    """Snapshot that a leader is sending to one peer, chunk by chunk."""

    index: int
    data: bytes
    offset: int = 0
    sent_ms: float = -math.inf


@dataclass(slots=True)
class Progress:
    """Replication progress of one peer, as tracked by the leader.

    Parameters
    ----------
    match_index : int
        Highest index known to be durable at the peer.
    next_index : int
        Index of the next entry to send.
    last_answer_ms : float
        Time of the peer's last answer in this term, or of the start of
        tracking. Answers of a peer that may not vote are not included.
    ack_round : int
        Highest heartbeat round that the peer has answered.
    in_flight : int
        Number of unanswered appends with entries.
    probing : bool
        The end of the peer's log is unknown, so appends are sent one at a
        time.
    newcomer_id : str
        Node id of a peer whose data folder may not vote, else empty. Such a
        peer is not part of any quorum.
    snapshot_transfer : SnapshotTransfer, optional
        Snapshot being sent; no entries are sent meanwhile.
    """

    next_index: int
    last_answer_ms: float
    match_index: int = 0
    ack_round: int = 0
    in_flight: int = 0
    probing: bool = False
    newcomer_id: str = ''
    snapshot_transfer: SnapshotTransfer | None = None


@dataclass(slots=True)
class OutstandingWrite:
    """Write that was started and has neither completed nor failed yet.

    Parameters
    ----------
    first_index, last_index : int
        Range of the entries that the write contains.
    previous_disk_last_index : int
        `disk_last_index` before the write.
    deferred : list of Deferred
        Messages and own votes that wait for this write.
    """

    token: int
    first_index: int
    last_index: int
    previous_disk_last_index: int
    has_hard_state: bool
    has_snapshot: bool
    deferred: list[Deferred] = field(default_factory=list)


@dataclass(slots=True)
class OwnVote:
    """A candidate's vote for itself, counted once it is durable."""

    term: int


Deferred = SendToPeer | OwnVote


@dataclass(slots=True)
class IncomingSnapshot:
    """Snapshot that a follower is receiving, with the bytes so far."""

    index: int
    term: int
    data: bytearray


@dataclass(slots=True, kw_only=True)
class ConsensusState:
    """State of one process of a consensus group.

    Embedders may read `role`, `leader`, `term`, `commit_index`,
    `applied_index`, `voters`, `learners` and `last_refusal`. Only the
    functions of `jackdawpost.core.consensus.process` change the state.

    `last_refusal` is the reason for the latest refusal of a voter change or
    leadership transfer; an accepted voter change clears it.
    """

    cfg: ConsensusConfig
    rng: random.Random
    node_id: str
    hard: HardState
    # Voter sets, each with the index of its log entry; the last one is in
    # force. The first comes from the settings (index 0) or the snapshot.
    voter_sets: list[tuple[int, VoterSet]]
    role: Literal['follower', 'candidate', 'leader'] = 'follower'
    leader: str | None = None
    commit_index: int = 0
    applied_index: int = 0
    last_refusal: str = ''
    outbox: list[ConsensusEffect] = field(default_factory=list)

    # Log: the entries after `snapshot_index`.
    log: list[LogEntry] = field(default_factory=list)
    snapshot_index: int = 0
    snapshot_term: int = 0
    snapshot: bytes | None = None
    incoming_snapshot: IncomingSnapshot | None = None

    # Writes. Entries from `dirty_from` on are not part of any write yet.
    # `disk_last_index` is the last index that the disk may hold. `deferred`
    # holds the messages and own votes that wait for changes not yet written.
    # `write_retry_due_ms` is set from a failed write until its retry.
    dirty_from: int = 1
    disk_last_index: int = 0
    durable_index: int = 0
    hard_dirty: bool = False
    snapshot_dirty: bool = False
    next_token: int = 1
    outstanding_write: OutstandingWrite | None = None
    deferred: list[Deferred] = field(default_factory=list)
    write_retry_due_ms: float | None = None

    # Elections. `pre_vote_term` is 0 while no pre-vote is in progress.
    # `bootstrap_ids` holds the node ids of the voters that agreed to
    # bootstrap the group, by name.
    election_due_ms: float = 0.0
    bootstrap_due_ms: float = math.inf
    leader_contact_ms: float = -math.inf
    pre_vote_term: int = 0
    pre_votes: set[str] = field(default_factory=set)
    votes: set[str] = field(default_factory=set)
    bootstrap_ids: dict[str, str] = field(default_factory=dict)

    # Leadership. `leadership_won` is set once an entry of the current term is
    # committed. `confirm_tokens` are the confirmations that wait for answers
    # to `confirm_round`; `next_confirm_tokens` wait for the round after it.
    progress: dict[str, Progress] = field(default_factory=dict)
    heartbeat_due_ms: float = math.inf
    leadership_won: bool = False
    heartbeat_round: int = 0
    confirm_round: int = 0
    confirm_tokens: list[int] = field(default_factory=list)
    next_confirm_tokens: list[int] = field(default_factory=list)
    transfer_target: str | None = None
    transfer_due_ms: float = math.inf
    timeout_now_sent: bool = False

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
        """Voter set in force: the last one in the log, committed or not."""
        return self.voter_sets[-1][1]

    @property
    def voters(self) -> list[str]:
        """Names of the current voters."""
        return self.voter_set.voters

    @property
    def learners(self) -> list[str]:
        """Names of the current learners: they get the log but cannot vote."""
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
    """Send a message that does not depend on an unfinished write."""
    state.outbox.append(SendToPeer(peer=peer, message=message))


def send_when_durable(
    state: ConsensusState, peer: str, message: ConsensusMessage
) -> None:
    """Send a message once all state changes up to now are durable."""
    state.deferred.append(SendToPeer(peer=peer, message=message))


def term_at(state: ConsensusState, index: int) -> int | None:
    """Return the term of the entry at `index`, or None if not in the log."""
    if index == state.snapshot_index:
        return state.snapshot_term
    if not state.snapshot_index < index <= state.last_index:
        return None
    return state.log[index - state.snapshot_index - 1].term


def entry_at(state: ConsensusState, index: int) -> LogEntry:
    """Return the entry at `index`, which must be in the log."""
    return state.log[index - state.snapshot_index - 1]


def append_entry(state: ConsensusState, entry: LogEntry) -> None:
    """Append an entry to the log; a voter set is in force at once."""
    state.log.append(entry)
    if entry.entry_type == VOTERS_ENTRY:
        state.voter_sets.append((entry.index, decode_voter_set(entry.payload)))
        admit_by_voter_set(state)


def admit_by_voter_set(state: ConsensusState) -> None:
    """Gain the right to vote if the voter set lists this node id."""
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
            f'cannot truncate the log at entry {index}: entries up to '
            f'{state.commit_index} are committed, but the leader sent others'
        )
    del state.log[index - state.snapshot_index - 1 :]
    while state.voter_sets[-1][0] >= index:
        state.voter_sets.pop()
    state.dirty_from = min(state.dirty_from, index)
    state.durable_index = min(state.durable_index, index - 1)


def drop_log_prefix(state: ConsensusState, record: SnapshotRecord) -> None:
    """Replace the log up to the index of a snapshot by that snapshot.

    The entries after it are kept only if the log agrees with the snapshot.
    """
    keep_from = record.index - state.snapshot_index
    if term_at(state, record.index) == record.term:
        del state.log[:keep_from]
        later_voter_sets = [
            item for item in state.voter_sets if item[0] > record.index
        ]
    else:
        state.log.clear()
        later_voter_sets = []
        state.durable_index = min(state.durable_index, state.commit_index)
    state.voter_sets = [(record.index, record.voter_set), *later_voter_sets]
    state.snapshot_index = record.index
    state.snapshot_term = record.term
    state.dirty_from = max(state.dirty_from, record.index + 1)
    if not state.log:
        state.dirty_from = record.index + 1
    state.snapshot_dirty = True


def compact_log(state: ConsensusState, record_raw: bytes) -> None:
    """Replace applied log entries by an encoded snapshot."""
    record = decode_snapshot(record_raw)
    drop_log_prefix(state, record)
    state.snapshot = record_raw


def voter_set_at(state: ConsensusState, index: int) -> VoterSet:
    """Return the voter set that was in force at `index`."""
    found = state.voter_sets[0][1]
    for voter_set_index, voter_set in state.voter_sets:
        if voter_set_index <= index:
            found = voter_set
    return found


def advance_commit(state: ConsensusState, index: int) -> None:
    """Raise the commit index to `index` and apply the entries up to it."""
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
    """Return whether the current term, vote and admission are durable."""
    if state.hard_dirty:
        return False
    return (
        state.outstanding_write is None
        or not state.outstanding_write.has_hard_state
    )


def has_configured_node_id(state: ConsensusState) -> bool:
    """Return whether the data folder has the node id the settings require."""
    return state.cfg.node_id in ('', state.node_id)


def may_vote(state: ConsensusState) -> bool:
    """Return whether this process may vote and be part of a quorum."""
    return (
        has_configured_node_id(state) and state.hard.admitted_as == state.name
    )


def newcomer_id(state: ConsensusState) -> str:
    """Return the node id if this process may not vote, else an empty string.

    Answers carry it, so that the leader excludes this process from quorums.
    """
    return '' if may_vote(state) else state.node_id


def is_quorum(state: ConsensusState, names: set[str]) -> bool:
    """Return whether `names` include a majority of the voters."""
    count = sum(1 for voter in state.voters if voter in names)
    return count > len(state.voters) // 2


def reset_election_timer(state: ConsensusState, now_ms: float) -> None:
    """Restart the election timer with a new random timeout."""
    cfg = state.cfg
    bounds = (cfg.election_min_ms, cfg.election_max_ms)
    if cfg.first_election_max_ms and math.isinf(state.leader_contact_ms):
        if state.role != 'leader':
            bounds = (cfg.first_election_min_ms, cfg.first_election_max_ms)
    timeout = state.rng.uniform(*bounds)
    state.election_due_ms = now_ms + timeout
