"""Follower side of log replication: log entries and snapshot chunks."""

from __future__ import annotations

from jackdawpost.core.consensus.effects import InstallSnapshot
from jackdawpost.core.consensus.records import decode_entry
from jackdawpost.core.consensus.records import decode_snapshot
from jackdawpost.core.consensus.records import LogEntry
from jackdawpost.core.consensus.roles import become_follower
from jackdawpost.core.consensus.state import advance_commit
from jackdawpost.core.consensus.state import append_entry
from jackdawpost.core.consensus.state import ConsensusState
from jackdawpost.core.consensus.state import drop_log_prefix
from jackdawpost.core.consensus.state import IncomingSnapshot
from jackdawpost.core.consensus.state import is_hard_state_durable
from jackdawpost.core.consensus.state import newcomer_id
from jackdawpost.core.consensus.state import reset_election_timer
from jackdawpost.core.consensus.state import send
from jackdawpost.core.consensus.state import send_when_durable
from jackdawpost.core.consensus.state import term_at
from jackdawpost.core.consensus.state import truncate_log
from jackdawpost.core.messages.consensus import Append
from jackdawpost.core.messages.consensus import AppendAnswer
from jackdawpost.core.messages.consensus import SnapshotChunk
from jackdawpost.core.messages.consensus import SnapshotChunkAnswer
from jackdawpost.errors import ProtocolError


def on_append(
    state: ConsensusState, now_ms: float, peer: str, message: Append
) -> None:
    """Append entries from the leader of this term and raise the commit index.

    An append from an earlier term, or one whose previous entry is not in
    the log, is rejected. One with a malformed entry is ignored. A higher
    term has been adopted before this call.
    """
    if message.term < state.term:
        _answer_append(state, peer, message, ok=False, index=0)
        return
    try:
        entries = [decode_entry(raw) for raw in message.entries]
    except ProtocolError:
        return
    _accept_leader(state, now_ms, peer)
    if not _has_previous_entry(state, message):
        hint = _conflict_hint(state, message.prev_index)
        _answer_append(state, peer, message, ok=False, index=hint)
        return
    _append_entries(state, entries)
    index = message.prev_index + len(entries)
    advance_commit(state, min(message.commit, index))
    _answer_append(state, peer, message, ok=True, index=index)


def on_snapshot_chunk(
    state: ConsensusState, now_ms: float, peer: str, message: SnapshotChunk
) -> None:
    """Store a chunk of a snapshot; install the snapshot once complete.

    The answer reports the number of bytes received in order; the leader
    continues from there. A snapshot of committed entries is reported as
    complete, since it contains nothing new. A malformed one is discarded
    without an answer.
    """
    if message.term < state.term:
        _answer_chunk(state, peer, message, 0, done=False)
        return
    _accept_leader(state, now_ms, peer)
    if message.index <= state.commit_index:
        _answer_chunk(state, peer, message, message.total, done=True)
        return
    incoming = state.incoming_snapshot
    if incoming is None or (incoming.index, incoming.term) != (
        message.index,
        message.term,
    ):
        incoming = IncomingSnapshot(message.index, message.term, bytearray())
        state.incoming_snapshot = incoming
    if message.offset == len(incoming.data):
        incoming.data += message.data
    offset = len(incoming.data)
    if offset < message.total:
        _answer_chunk(state, peer, message, offset, done=False)
        return
    state.incoming_snapshot = None
    try:
        _install_snapshot(state, bytes(incoming.data))
    except ProtocolError:
        return
    _answer_chunk(state, peer, message, offset, done=True)


def _accept_leader(state: ConsensusState, now_ms: float, peer: str) -> None:
    if state.role != 'follower':
        become_follower(state, now_ms, state.term, peer)
    state.leader = peer
    state.pre_vote_term = 0
    state.leader_contact_ms = now_ms
    reset_election_timer(state, now_ms)


def _has_previous_entry(state: ConsensusState, message: Append) -> bool:
    if message.prev_index <= state.snapshot_index:
        # Committed entries are identical in all logs.
        return True
    return term_at(state, message.prev_index) == message.prev_term


def _conflict_hint(state: ConsensusState, prev_index: int) -> int:
    # The leader retries from the entry after the hint. The hint is the last
    # index if the log is too short, otherwise the index before the entries of
    # the conflicting term, but not below the commit index.
    if prev_index > state.last_index:
        return state.last_index
    conflict_term = term_at(state, prev_index)
    index = prev_index
    while (
        index > state.commit_index and term_at(state, index) == conflict_term
    ):
        index -= 1
    return index


def _append_entries(state: ConsensusState, entries: list[LogEntry]) -> None:
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
    """Send the answer to an append once what it acknowledges is durable."""
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
            # Also answer a heartbeat at once, as far as the log is durable: a
            # slow disk must not delay that.
            durable_answer = AppendAnswer(
                term=state.term,
                ok=True,
                index=state.durable_index,
                round=message.round,
                newcomer_id=newcomer_id(state),
            )
            send(state, peer, durable_answer)
        send_when_durable(state, peer, answer)


def _install_snapshot(state: ConsensusState, raw: bytes) -> None:
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
