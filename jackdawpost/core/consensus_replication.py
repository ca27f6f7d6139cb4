"""Leadership, replication and snapshots of the consensus core."""

from __future__ import annotations

import math

from jackdawpost.core.consensus_effects import InstallSnapshot
from jackdawpost.core.consensus_effects import LeadershipConfirmed
from jackdawpost.core.consensus_effects import LeadershipLost
from jackdawpost.core.consensus_effects import LeadershipWon
from jackdawpost.core.consensus_records import decode_entry
from jackdawpost.core.consensus_records import decode_snapshot
from jackdawpost.core.consensus_records import encode_voter_set
from jackdawpost.core.consensus_records import INTERNAL_ENTRY
from jackdawpost.core.consensus_records import LogEntry
from jackdawpost.core.consensus_records import make_entry
from jackdawpost.core.consensus_records import VOTERS_ENTRY
from jackdawpost.core.consensus_records import VoterSet
from jackdawpost.core.consensus_state import advance_commit
from jackdawpost.core.consensus_state import append_entry
from jackdawpost.core.consensus_state import ConsensusState
from jackdawpost.core.consensus_state import drop_log_prefix
from jackdawpost.core.consensus_state import IncomingSnapshot
from jackdawpost.core.consensus_state import is_hard_state_durable
from jackdawpost.core.consensus_state import is_quorum
from jackdawpost.core.consensus_state import newcomer_id
from jackdawpost.core.consensus_state import Progress
from jackdawpost.core.consensus_state import reset_election_timer
from jackdawpost.core.consensus_state import send
from jackdawpost.core.consensus_state import send_when_durable
from jackdawpost.core.consensus_state import SnapshotTransfer
from jackdawpost.core.consensus_state import term_at
from jackdawpost.core.consensus_state import truncate_log
from jackdawpost.core.errors import ProtocolError
from jackdawpost.core.messages.consensus import Append
from jackdawpost.core.messages.consensus import AppendAnswer
from jackdawpost.core.messages.consensus import SnapshotChunk
from jackdawpost.core.messages.consensus import SnapshotChunkAnswer
from jackdawpost.core.messages.consensus import TimeoutNow

# Several of these fit into one frame of at most 1 MiB.
MAX_APPEND_BYTES = 128 * 1024
SNAPSHOT_CHUNK_BYTES = 128 * 1024
# Further proposals wait for an answer and then travel in one append.
PIPELINE_DEPTH = 4


# -- roles ------------------------------------------------------------------


def become_follower(
    state: ConsensusState, now_ms: float, term: int, leader: str | None
) -> None:
    """Follow in `term`, giving up any candidacy or leadership."""
    if state.won:
        state.outbox.append(LeadershipLost(term=state.term))
    if term > state.term:
        state.hard.term = term
        state.hard.voted_for = None
        state.hard_dirty = True
        state.incoming = None
    was_leader = state.role == 'leader'
    state.role = 'follower'
    state.leader = leader
    state.won = False
    state.pre_vote_term = 0
    state.votes.clear()
    state.progress.clear()
    state.confirming.clear()
    state.confirm_waiting.clear()
    end_transfer(state)
    if was_leader:
        reset_election_timer(state, now_ms)


def become_leader(state: ConsensusState, now_ms: float) -> None:
    """Lead in the present term, starting with an entry of that term."""
    state.role = 'leader'
    state.leader = state.name
    state.won = False
    state.confirm_round = 0
    state.progress.clear()
    state.first_own_index = state.last_index + 1
    sync_progress(state, now_ms)
    append_own(state, INTERNAL_ENTRY, b'')
    send_heartbeats(state, now_ms)


def append_own(
    state: ConsensusState, entry_type: int, payload: bytes
) -> LogEntry:
    """Append an entry of the present term as its leader."""
    entry = make_entry(state.last_index + 1, state.term, entry_type, payload)
    append_entry(state, entry)
    return entry


def sync_progress(state: ConsensusState, now_ms: float) -> None:
    """Track exactly the other members of the voter set in force."""
    members = {*state.voters, *state.learners} - {state.name}
    for peer in list(state.progress):
        if peer not in members:
            del state.progress[peer]
    for peer in sorted(members):
        if peer not in state.progress:
            state.progress[peer] = Progress(
                next=state.last_index + 1, ack_ms=now_ms, probing=True
            )


def has_quorum_contact(state: ConsensusState, now_ms: float) -> bool:
    """Tell whether a quorum answered within the election timeout."""
    limit = now_ms - state.cfg.election_max_ms
    heard = {
        peer
        for peer, progress in state.progress.items()
        if progress.ack_ms >= limit
    }
    return is_quorum(state, heard | {state.name})


# -- sending ----------------------------------------------------------------


def send_heartbeats(state: ConsensusState, now_ms: float) -> None:
    """Start a new round: a heartbeat to every peer."""
    state.round += 1
    state.heartbeat_due_ms = now_ms + state.cfg.heartbeat_ms
    if not state.confirming:
        state.confirming = state.confirm_waiting
        state.confirm_waiting = []
        state.confirm_round = state.round
    for peer, progress in state.progress.items():
        # Lost appends must not use up the pipeline.
        progress.in_flight = 0
        _send_heartbeat(state, now_ms, peer, progress)
    release_confirmations(state, now_ms)


def replicate(state: ConsensusState, now_ms: float) -> None:
    """Send every peer what its pipeline allows."""
    for peer, progress in state.progress.items():
        _send_entries(state, now_ms, peer, progress)


def _send_heartbeat(
    state: ConsensusState, now_ms: float, peer: str, progress: Progress
) -> None:
    prev_index = progress.next - 1
    prev_term = term_at(state, prev_index)
    if progress.transfer is not None or prev_term is None:
        # Every log agrees at index 0.
        prev_index = 0
        prev_term = 0
    send(
        state,
        peer,
        Append(
            term=state.term,
            prev_index=prev_index,
            prev_term=prev_term,
            commit=state.commit_index,
            round=state.round,
        ),
    )
    if progress.transfer is not None:
        stalled = now_ms - progress.transfer.sent_ms
        if stalled >= state.cfg.election_min_ms:
            _send_chunk(state, now_ms, peer, progress.transfer)


def _send_entries(
    state: ConsensusState, now_ms: float, peer: str, progress: Progress
) -> None:
    depth = 1 if progress.probing else PIPELINE_DEPTH
    while (
        progress.transfer is None
        and progress.next <= state.last_index
        and progress.in_flight < depth
    ):
        prev_index = progress.next - 1
        prev_term = term_at(state, prev_index)
        if prev_term is None:
            _start_transfer(state, now_ms, peer, progress)
            return
        entries = _batch(state, progress.next)
        progress.in_flight += 1
        progress.next += len(entries)
        send(
            state,
            peer,
            Append(
                term=state.term,
                prev_index=prev_index,
                prev_term=prev_term,
                commit=state.commit_index,
                round=state.round,
                entries=entries,
            ),
        )


def _batch(state: ConsensusState, first: int) -> list[bytes]:
    entries: list[bytes] = []
    size = 0
    for position in range(first - state.snapshot_index - 1, len(state.log)):
        raw = state.log[position].raw
        size += len(raw)
        if entries and size > MAX_APPEND_BYTES:
            break
        entries.append(raw)
    return entries


def _start_transfer(
    state: ConsensusState, now_ms: float, peer: str, progress: Progress
) -> None:
    if state.snapshot is None:
        raise RuntimeError('log has a snapshot point but no snapshot')
    progress.transfer = SnapshotTransfer(state.snapshot_index, state.snapshot)
    _send_chunk(state, now_ms, peer, progress.transfer)


def _send_chunk(
    state: ConsensusState, now_ms: float, peer: str, transfer: SnapshotTransfer
) -> None:
    transfer.sent_ms = now_ms
    end = transfer.offset + SNAPSHOT_CHUNK_BYTES
    send(
        state,
        peer,
        SnapshotChunk(
            term=state.term,
            index=transfer.index,
            offset=transfer.offset,
            total=len(transfer.data),
            round=state.round,
            data=transfer.data[transfer.offset : end],
        ),
    )


# -- following --------------------------------------------------------------


def _follow(state: ConsensusState, now_ms: float, peer: str) -> None:
    if state.role != 'follower':
        become_follower(state, now_ms, state.term, peer)
    state.leader = peer
    state.pre_vote_term = 0
    state.leader_contact_ms = now_ms
    reset_election_timer(state, now_ms)


def on_append(
    state: ConsensusState, now_ms: float, peer: str, message: Append
) -> None:
    """Take entries from the leader of this term."""
    if message.term < state.term:
        _answer_append(state, peer, message, ok=False, index=0)
        return
    try:
        entries = [decode_entry(raw) for raw in message.entries]
    except ProtocolError:
        return
    _follow(state, now_ms, peer)
    if not _matches(state, message):
        hint = _retry_after(state, message.prev_index)
        _answer_append(state, peer, message, ok=False, index=hint)
        return
    _store_entries(state, entries)
    index = message.prev_index + len(entries)
    advance_commit(state, min(message.commit, index))
    _answer_append(state, peer, message, ok=True, index=index)


def _matches(state: ConsensusState, message: Append) -> bool:
    if message.prev_index <= state.snapshot_index:
        # Committed entries are the same everywhere.
        return True
    return term_at(state, message.prev_index) == message.prev_term


def _retry_after(state: ConsensusState, prev_index: int) -> int:
    if prev_index > state.last_index:
        return state.last_index
    conflict = term_at(state, prev_index)
    index = prev_index
    while index > state.commit_index and term_at(state, index) == conflict:
        index -= 1
    return index


def _store_entries(state: ConsensusState, entries: list[LogEntry]) -> None:
    for entry in entries:
        if entry.index <= state.snapshot_index:
            continue
        if entry.index <= state.last_index:
            if term_at(state, entry.index) == entry.term:
                continue
            truncate_log(state, entry.index)
        append_entry(state, entry)


def _answer_append(
    state: ConsensusState, peer: str, message: Append, ok: bool, index: int
) -> None:
    answer = AppendAnswer(
        term=state.term,
        ok=ok,
        index=index,
        round=message.round,
        newcomer_id=newcomer_id(state),
    )
    if not is_hard_state_durable(state):
        send_when_durable(state, peer, answer)
    elif not ok or index <= state.durable_index:
        send(state, peer, answer)
    else:
        if not message.entries:
            # A slow disk must not hold up the answer to a heartbeat.
            early = AppendAnswer(
                term=state.term,
                ok=True,
                index=state.durable_index,
                round=message.round,
                newcomer_id=newcomer_id(state),
            )
            send(state, peer, early)
        send_when_durable(state, peer, answer)


def on_snapshot_chunk(
    state: ConsensusState, now_ms: float, peer: str, message: SnapshotChunk
) -> None:
    """Collect a snapshot and install it when complete."""
    if message.term < state.term:
        _answer_chunk(state, peer, message, 0, done=False)
        return
    _follow(state, now_ms, peer)
    if message.index <= state.commit_index:
        _answer_chunk(state, peer, message, message.total, done=True)
        return
    incoming = state.incoming
    if incoming is None or (incoming.index, incoming.term) != (
        message.index,
        message.term,
    ):
        incoming = IncomingSnapshot(message.index, message.term, bytearray())
        state.incoming = incoming
    if message.offset == len(incoming.data):
        incoming.data += message.data
    offset = len(incoming.data)
    if offset < message.total:
        _answer_chunk(state, peer, message, offset, done=False)
        return
    state.incoming = None
    try:
        _install(state, bytes(incoming.data))
    except ProtocolError:
        return
    _answer_chunk(state, peer, message, offset, done=True)


def _install(state: ConsensusState, raw: bytes) -> None:
    record = decode_snapshot(raw)
    drop_log_prefix(state, record)
    state.snapshot = raw
    state.commit_index = record.index
    state.applied_index = record.index
    state.outbox.append(
        InstallSnapshot(index=record.index, snapshot=record.data)
    )


def _answer_chunk(
    state: ConsensusState,
    peer: str,
    message: SnapshotChunk,
    offset: int,
    done: bool,
) -> None:
    answer = SnapshotChunkAnswer(
        term=state.term,
        index=message.index,
        offset=offset,
        round=message.round,
        done=done,
        newcomer_id=newcomer_id(state),
    )
    send_when_durable(state, peer, answer)


# -- answers to a leader ----------------------------------------------------


def on_append_answer(
    state: ConsensusState, now_ms: float, peer: str, message: AppendAnswer
) -> None:
    """Take note of a peer's log and go on sending."""
    progress = _heard(state, now_ms, peer, message)
    if progress is None:
        return
    progress.in_flight = max(0, progress.in_flight - 1)
    if message.ok:
        progress.match = max(progress.match, message.index)
        progress.next = max(progress.next, progress.match + 1)
        if message.index >= progress.next - 1:
            progress.probing = False
    elif progress.transfer is None and message.index < progress.next - 1:
        progress.next = max(progress.match, message.index) + 1
        progress.probing = True
        progress.in_flight = 0
    after_progress(state, now_ms)


def on_chunk_answer(
    state: ConsensusState,
    now_ms: float,
    peer: str,
    message: SnapshotChunkAnswer,
) -> None:
    """Send the next part of a snapshot, or entries after the last part."""
    progress = _heard(state, now_ms, peer, message)
    if progress is None:
        return
    transfer = progress.transfer
    if transfer is not None and transfer.index == message.index:
        if message.done:
            progress.transfer = None
            progress.match = max(progress.match, message.index)
            progress.next = progress.match + 1
        elif message.offset != transfer.offset:
            transfer.offset = message.offset
            _send_chunk(state, now_ms, peer, transfer)
    after_progress(state, now_ms)


def _heard(
    state: ConsensusState,
    now_ms: float,
    peer: str,
    message: AppendAnswer | SnapshotChunkAnswer,
) -> Progress | None:
    progress = state.progress.get(peer)
    if state.role != 'leader' or message.term < state.term:
        return None
    if progress is None:
        return None
    if progress.newcomer_id != message.newcomer_id and message.newcomer_id:
        # The peer lost its disk: what it acknowledged before is gone.
        progress.match = 0
        progress.probing = True
        progress.transfer = None
    progress.newcomer_id = message.newcomer_id
    if not message.newcomer_id:
        progress.ack_ms = now_ms
        progress.ack_round = max(progress.ack_round, message.round)
    return progress


def after_progress(state: ConsensusState, now_ms: float) -> None:
    """Commit, confirm and send what the latest answers allow."""
    if state.role != 'leader':
        return
    _commit_as_leader(state, now_ms)
    if state.role != 'leader':
        return
    release_confirmations(state, now_ms)
    promote_learner(state, now_ms)
    replicate(state, now_ms)
    hand_over(state)


def _commit_as_leader(state: ConsensusState, now_ms: float) -> None:
    matches = sorted(_match(state, voter) for voter in state.voters)
    if not matches:
        return
    index = matches[(len(matches) - 1) // 2]
    # Entries of earlier terms commit only together with one of this term.
    if term_at(state, index) != state.term:
        return
    advance_commit(state, index)
    if not state.won and state.applied_index >= state.first_own_index:
        state.won = True
        state.outbox.append(LeadershipWon(term=state.term))
    config_index, voter_set = state.configs[-1]
    if state.name not in voter_set.voters and config_index <= index:
        _leave(state)
        become_follower(state, now_ms, state.term, None)


def _leave(state: ConsensusState) -> None:
    # Without this the others would wait for an election timeout.
    for peer in state.voters:
        progress = state.progress[peer]
        if progress.match == state.last_index and not progress.newcomer_id:
            send(state, peer, TimeoutNow(term=state.term))
            return


def _match(state: ConsensusState, voter: str) -> int:
    if voter == state.name:
        return state.durable_index
    progress = state.progress[voter]
    return 0 if progress.newcomer_id else progress.match


def release_confirmations(state: ConsensusState, now_ms: float) -> None:
    """Report confirmations whose round a quorum has answered."""
    if not state.won:
        return
    if state.confirming:
        answered = {
            peer
            for peer, progress in state.progress.items()
            if progress.ack_round >= state.confirm_round
        }
        if not is_quorum(state, answered | {state.name}):
            return
        tokens = state.confirming
        state.confirming = []
        for token in tokens:
            state.outbox.append(LeadershipConfirmed(token=token))
    if state.confirm_waiting:
        send_heartbeats(state, now_ms)


# -- voter changes and transfer ---------------------------------------------


def append_voter_set(
    state: ConsensusState, now_ms: float, voter_set: VoterSet
) -> None:
    """Append a voter set, in force at once, and send it."""
    append_own(state, VOTERS_ENTRY, encode_voter_set(voter_set))
    sync_progress(state, now_ms)
    replicate(state, now_ms)


def promote_learner(state: ConsensusState, now_ms: float) -> None:
    """Make a learner that has caught up a voter."""
    config_index, current = state.configs[-1]
    if not state.won or config_index > state.commit_index:
        return
    for name in current.learners:
        progress = state.progress[name]
        if progress.match < max(config_index, state.commit_index):
            continue
        node_ids = dict(current.node_ids)
        if progress.newcomer_id:
            node_ids[name] = progress.newcomer_id
        learners = [item for item in current.learners if item != name]
        voters = sorted([*current.voters, name])
        append_voter_set(state, now_ms, VoterSet(voters, learners, node_ids))
        return


def hand_over(state: ConsensusState) -> None:
    """Tell the target of a transfer to start once it has the whole log."""
    target = state.transfer_target
    if target is None or state.transfer_sent:
        return
    if state.progress[target].match == state.last_index:
        state.transfer_sent = True
        send(state, target, TimeoutNow(term=state.term))


def end_transfer(state: ConsensusState) -> None:
    """Go on as leader after a transfer that did not happen."""
    state.transfer_target = None
    state.transfer_sent = False
    state.transfer_due_ms = math.inf


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
