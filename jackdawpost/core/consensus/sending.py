"""What a leader sends to its peers."""

from __future__ import annotations

from jackdawpost.core.consensus.state import ConsensusState
from jackdawpost.core.consensus.state import Progress
from jackdawpost.core.consensus.state import send
from jackdawpost.core.consensus.state import SnapshotTransfer
from jackdawpost.core.consensus.state import term_at
from jackdawpost.core.messages.consensus import Append
from jackdawpost.core.messages.consensus import SnapshotChunk

# Several of these fit into one frame of at most 1 MiB.
MAX_APPEND_BYTES = 128 * 1024
SNAPSHOT_CHUNK_BYTES = 128 * 1024
# Further proposals wait for an answer and then travel in one append.
PIPELINE_DEPTH = 4


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


def send_round(state: ConsensusState, now_ms: float) -> None:
    """Send every peer a heartbeat with a new round number."""
    state.round += 1
    state.heartbeat_due_ms = now_ms + state.cfg.heartbeat_ms
    for peer, progress in state.progress.items():
        # Lost appends must not use up the pipeline.
        progress.in_flight = 0
        _send_heartbeat(state, now_ms, peer, progress)


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
            send_chunk(state, now_ms, peer, progress.transfer)


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
    send_chunk(state, now_ms, peer, progress.transfer)


def send_chunk(
    state: ConsensusState, now_ms: float, peer: str, transfer: SnapshotTransfer
) -> None:
    """Send the next part of a snapshot."""
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
