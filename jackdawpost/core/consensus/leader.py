"""Leader side: commit index, leadership confirmation and voter changes.

Also handles check-quorum, leadership transfer and the answers of followers
to appends and snapshot chunks.
"""

from __future__ import annotations

from jackdawpost.core.consensus.effects import LeadershipConfirmed
from jackdawpost.core.consensus.effects import LeadershipWon
from jackdawpost.core.consensus.records import encode_voter_set
from jackdawpost.core.consensus.records import LogEntry
from jackdawpost.core.consensus.records import make_entry
from jackdawpost.core.consensus.records import NOOP_ENTRY
from jackdawpost.core.consensus.records import VOTERS_ENTRY
from jackdawpost.core.consensus.records import VoterSet
from jackdawpost.core.consensus.roles import become_follower
from jackdawpost.core.consensus.sending import broadcast_heartbeat
from jackdawpost.core.consensus.sending import replicate
from jackdawpost.core.consensus.sending import send_snapshot_chunk
from jackdawpost.core.consensus.sending import sync_progress
from jackdawpost.core.consensus.state import advance_commit
from jackdawpost.core.consensus.state import append_entry
from jackdawpost.core.consensus.state import ConsensusState
from jackdawpost.core.consensus.state import is_quorum
from jackdawpost.core.consensus.state import Progress
from jackdawpost.core.consensus.state import send
from jackdawpost.core.consensus.state import term_at
from jackdawpost.core.messages.consensus import AppendAnswer
from jackdawpost.core.messages.consensus import SnapshotChunkAnswer
from jackdawpost.core.messages.consensus import TimeoutNow


def become_leader(state: ConsensusState, now_ms: float) -> None:
    """Become leader of the current term and append a no-op entry.

    Entries of earlier terms commit only together with that entry.
    """
    state.role = 'leader'
    state.leader = state.name
    state.leadership_won = False
    state.confirm_round = 0
    state.progress.clear()
    sync_progress(state, now_ms)
    append_leader_entry(state, NOOP_ENTRY, b'')
    start_heartbeat_round(state, now_ms)
    replicate(state, now_ms)


def append_leader_entry(
    state: ConsensusState, entry_type: int, payload: bytes
) -> LogEntry:
    """Append an entry of the current term to the leader's own log."""
    entry = make_entry(state.last_index + 1, state.term, entry_type, payload)
    append_entry(state, entry)
    return entry


def has_quorum_contact(state: ConsensusState, now_ms: float) -> bool:
    """Return whether a quorum answered within `election_max_ms`.

    A leader without quorum contact steps down (check-quorum).
    """
    oldest_ms = now_ms - state.cfg.election_max_ms
    active = {
        peer
        for peer, progress in state.progress.items()
        if progress.last_answer_ms >= oldest_ms
    }
    return is_quorum(state, active | {state.name})


def start_heartbeat_round(state: ConsensusState, now_ms: float) -> None:
    """Send heartbeats with a new round number.

    Pending confirmations are tied to this round unless those of an earlier
    round are still unanswered.
    """
    broadcast_heartbeat(state, now_ms)
    if not state.confirm_tokens:
        state.confirm_tokens = state.next_confirm_tokens
        state.next_confirm_tokens = []
        state.confirm_round = state.heartbeat_round
    report_confirmations(state, now_ms)


def on_append_answer(
    state: ConsensusState, now_ms: float, peer: str, message: AppendAnswer
) -> None:
    """Update a peer's replication progress and continue replication."""
    progress = _record_answer(state, now_ms, peer, message)
    if progress is None:
        return
    progress.in_flight = max(0, progress.in_flight - 1)
    if message.ok:
        progress.match_index = max(progress.match_index, message.index)
        progress.next_index = max(
            progress.next_index, progress.match_index + 1
        )
        if message.index >= progress.next_index - 1:
            progress.probing = False
    elif (
        progress.snapshot_transfer is None
        and message.index < progress.next_index - 1
    ):
        progress.next_index = max(progress.match_index, message.index) + 1
        progress.probing = True
        progress.in_flight = 0
    advance_leader(state, now_ms)


def on_chunk_answer(
    state: ConsensusState,
    now_ms: float,
    peer: str,
    message: SnapshotChunkAnswer,
) -> None:
    """Send the next snapshot chunk, or log entries after the last chunk."""
    progress = _record_answer(state, now_ms, peer, message)
    if progress is None:
        return
    transfer = progress.snapshot_transfer
    if transfer is not None and transfer.index == message.index:
        if message.done:
            progress.snapshot_transfer = None
            progress.match_index = max(progress.match_index, message.index)
            progress.next_index = progress.match_index + 1
        elif message.offset != transfer.offset:
            transfer.offset = message.offset
            send_snapshot_chunk(state, now_ms, peer, transfer)
    advance_leader(state, now_ms)


def _record_answer(
    state: ConsensusState,
    now_ms: float,
    peer: str,
    message: AppendAnswer | SnapshotChunkAnswer,
) -> Progress | None:
    """Record contact with a peer; return None if its answer is ignored."""
    progress = state.progress.get(peer)
    if state.role != 'leader' or message.term < state.term:
        return None
    if progress is None:
        return None
    if progress.newcomer_id != message.newcomer_id and message.newcomer_id:
        # The peer lost its disk and with it the entries it acknowledged.
        progress.match_index = 0
        progress.probing = True
        progress.snapshot_transfer = None
    progress.newcomer_id = message.newcomer_id
    if not message.newcomer_id:
        progress.last_answer_ms = now_ms
        progress.ack_round = max(progress.ack_round, message.round)
    return progress


def advance_leader(state: ConsensusState, now_ms: float) -> None:
    """Act on an answer of a peer or on a write that has become durable.

    Commits entries, reports confirmations, promotes a learner, replicates
    further entries and completes a leadership transfer, where possible.
    """
    if state.role != 'leader':
        return
    _commit_by_quorum(state, now_ms)
    if state.role != 'leader':
        return
    report_confirmations(state, now_ms)
    promote_learner(state, now_ms)
    replicate(state, now_ms)
    advance_leadership_transfer(state)


def _commit_by_quorum(state: ConsensusState, now_ms: float) -> None:
    match_indexes = sorted(
        _match_index(state, voter) for voter in state.voters
    )
    if not match_indexes:
        return
    index = match_indexes[(len(match_indexes) - 1) // 2]
    # Raft: an entry of an earlier term commits only through a later entry
    # of the current term.
    if term_at(state, index) != state.term:
        return
    advance_commit(state, index)
    if not state.leadership_won:
        state.leadership_won = True
        state.outbox.append(LeadershipWon(term=state.term))
    voter_set_index, voter_set = state.voter_sets[-1]
    if state.name not in voter_set.voters and voter_set_index <= index:
        _trigger_successor_election(state)
        become_follower(state, now_ms, state.term, None)


def _trigger_successor_election(state: ConsensusState) -> None:
    # Saves the remaining voters the wait for an election timeout.
    for peer in state.voters:
        progress = state.progress[peer]
        if (
            progress.match_index == state.last_index
            and not progress.newcomer_id
        ):
            send(state, peer, TimeoutNow(term=state.term))
            return


def _match_index(state: ConsensusState, voter: str) -> int:
    if voter == state.name:
        return state.durable_index
    progress = state.progress[voter]
    return 0 if progress.newcomer_id else progress.match_index


def report_confirmations(state: ConsensusState, now_ms: float) -> None:
    """Emit `LeadershipConfirmed` once a quorum has answered `confirm_round`.

    A new round is then started for confirmations requested in the meantime.
    """
    if not state.leadership_won:
        return
    if state.confirm_tokens:
        answered = {
            peer
            for peer, progress in state.progress.items()
            if progress.ack_round >= state.confirm_round
        }
        if not is_quorum(state, answered | {state.name}):
            return
        tokens = state.confirm_tokens
        state.confirm_tokens = []
        for token in tokens:
            state.outbox.append(LeadershipConfirmed(token=token))
    if state.next_confirm_tokens:
        start_heartbeat_round(state, now_ms)


def append_voter_set(
    state: ConsensusState, now_ms: float, voter_set: VoterSet
) -> None:
    """Append a voter set, which is in force at once, and replicate it."""
    append_leader_entry(state, VOTERS_ENTRY, encode_voter_set(voter_set))
    sync_progress(state, now_ms)
    replicate(state, now_ms)


def promote_learner(state: ConsensusState, now_ms: float) -> None:
    """Promote the first learner that has caught up to a voter."""
    voter_set_index, current = state.voter_sets[-1]
    if not state.leadership_won or voter_set_index > state.commit_index:
        return
    if state.transfer_target is not None:
        return
    for name in current.learners:
        progress = state.progress[name]
        if progress.match_index < max(voter_set_index, state.commit_index):
            continue
        node_ids = dict(current.node_ids)
        if progress.newcomer_id:
            node_ids[name] = progress.newcomer_id
        learners = [item for item in current.learners if item != name]
        voters = sorted([*current.voters, name])
        append_voter_set(state, now_ms, VoterSet(voters, learners, node_ids))
        return


def advance_leadership_transfer(state: ConsensusState) -> None:
    """Send `TimeoutNow` to the transfer target once it has the whole log."""
    target = state.transfer_target
    if target is None or state.timeout_now_sent:
        return
    if state.progress[target].match_index == state.last_index:
        state.timeout_now_sent = True
        send(state, target, TimeoutNow(term=state.term))
