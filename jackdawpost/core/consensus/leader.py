"""Leadership: commitment, confirmation, voter changes, transfer."""

from __future__ import annotations

from jackdawpost.core.consensus.effects import LeadershipConfirmed
from jackdawpost.core.consensus.effects import LeadershipWon
from jackdawpost.core.consensus.records import encode_voter_set
from jackdawpost.core.consensus.records import INTERNAL_ENTRY
from jackdawpost.core.consensus.records import LogEntry
from jackdawpost.core.consensus.records import make_entry
from jackdawpost.core.consensus.records import VOTERS_ENTRY
from jackdawpost.core.consensus.records import VoterSet
from jackdawpost.core.consensus.roles import become_follower
from jackdawpost.core.consensus.sending import replicate
from jackdawpost.core.consensus.sending import send_chunk
from jackdawpost.core.consensus.sending import send_round
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
    """Lead in the present term, starting with an entry of that term."""
    state.role = 'leader'
    state.leader = state.name
    state.won = False
    state.confirm_round = 0
    state.progress.clear()
    sync_progress(state, now_ms)
    append_own(state, INTERNAL_ENTRY, b'')
    send_heartbeats(state, now_ms)
    replicate(state, now_ms)


def append_own(
    state: ConsensusState, entry_type: int, payload: bytes
) -> LogEntry:
    """Append an entry of the present term as its leader."""
    entry = make_entry(state.last_index + 1, state.term, entry_type, payload)
    append_entry(state, entry)
    return entry


def has_quorum_contact(state: ConsensusState, now_ms: float) -> bool:
    """Tell whether a quorum answered within the election timeout."""
    limit = now_ms - state.cfg.election_max_ms
    heard = {
        peer
        for peer, progress in state.progress.items()
        if progress.ack_ms >= limit
    }
    return is_quorum(state, heard | {state.name})


def send_heartbeats(state: ConsensusState, now_ms: float) -> None:
    """Start a new round, which also serves waiting confirmations."""
    send_round(state, now_ms)
    if not state.confirming:
        state.confirming = state.confirm_waiting
        state.confirm_waiting = []
        state.confirm_round = state.round
    release_confirmations(state, now_ms)


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
            send_chunk(state, now_ms, peer, transfer)
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
    if not state.won:
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
    if state.transfer_target is not None:
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
