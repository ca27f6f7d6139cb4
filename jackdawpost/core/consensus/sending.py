"""Leader side of replication: heartbeats, appends and snapshot chunks."""

from __future__ import annotations

from jackdawpost.core.consensus.state import ConsensusState
from jackdawpost.core.consensus.state import Progress
from jackdawpost.core.consensus.state import send
from jackdawpost.core.consensus.state import SnapshotTransfer
from jackdawpost.core.consensus.state import term_at
from jackdawpost.core.messages.consensus import Append
from jackdawpost.core.messages.consensus import SnapshotChunk

# Several of these messages fit into one frame of at most 1 MiB.
MAX_APPEND_BYTES = 128 * 1024
SNAPSHOT_CHUNK_BYTES = 128 * 1024
# Unanswered appends per peer. Later proposals wait for an answer and are then
# batched into one append.
PIPELINE_DEPTH = 4


def sync_progress(state: ConsensusState, now_ms: float) -> None:
    """Match the tracked peers to the voters and learners in force."""
    members = {*state.voters, *state.learners} - {state.name}
    for peer in list(state.progress):
        if peer not in members:
            del state.progress[peer]
    for peer in sorted(members):
        if peer not in state.progress:
            state.progress[peer] = Progress(
                next_index=state.last_index + 1,
                last_answer_ms=now_ms,
                probing=True,
            )


def broadcast_heartbeat(state: ConsensusState, now_ms: float) -> None:
    """Send a heartbeat with a new round number to every peer."""
    state.heartbeat_round += 1
    state.heartbeat_due_ms = now_ms + state.cfg.heartbeat_ms
    for peer, progress in state.progress.items():
        # Otherwise lost appends would occupy the pipeline forever.
        progress.in_flight = 0
        _send_heartbeat(state, now_ms, peer, progress)


def replicate(state: ConsensusState, now_ms: float) -> None:
    """Send log entries to every peer, up to the pipeline depth."""
    for peer, progress in state.progress.items():
        _send_entries(state, now_ms, peer, progress)


def _send_heartbeat(
    state: ConsensusState, now_ms: float, peer: str, progress: Progress
) -> None:
    prev_index = progress.next_index - 1
    prev_term = term_at(state, prev_index)
    if progress.snapshot_transfer is not None or prev_term is None:
        # Index 0 precedes the first entry and matches in every log.
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
            round=state.heartbeat_round,
        ),
    )
    if progress.snapshot_transfer is not None:
        stalled_ms = now_ms - progress.snapshot_transfer.sent_ms
        if stalled_ms >= state.cfg.election_min_ms:
            send_snapshot_chunk(
                state, now_ms, peer, progress.snapshot_transfer
            )


def _send_entries(
    state: ConsensusState, now_ms: float, peer: str, progress: Progress
) -> None:
    max_in_flight = 1 if progress.probing else PIPELINE_DEPTH
    while (
        progress.snapshot_transfer is None
        and progress.next_index <= state.last_index
        and progress.in_flight < max_in_flight
    ):
        prev_index = progress.next_index - 1
        prev_term = term_at(state, prev_index)
        if prev_term is None:
            _start_snapshot_transfer(state, now_ms, peer, progress)
            return
        entries = _collect_batch(state, progress.next_index)
        progress.in_flight += 1
        progress.next_index += len(entries)
        send(
            state,
            peer,
            Append(
                term=state.term,
                prev_index=prev_index,
                prev_term=prev_term,
                commit=state.commit_index,
                round=state.heartbeat_round,
                entries=entries,
            ),
        )


def _collect_batch(state: ConsensusState, first: int) -> list[bytes]:
    entries: list[bytes] = []
    size = 0
    for position in range(first - state.snapshot_index - 1, len(state.log)):
        raw = state.log[position].raw
        size += len(raw)
        if entries and size > MAX_APPEND_BYTES:
            break
        entries.append(raw)
    return entries


def _start_snapshot_transfer(
    state: ConsensusState, now_ms: float, peer: str, progress: Progress
) -> None:
    if state.snapshot is None:
        raise RuntimeError(
            'log starts after a snapshot but there is no snapshot to send'
        )
    progress.snapshot_transfer = SnapshotTransfer(
        state.snapshot_index, state.snapshot
    )
    send_snapshot_chunk(state, now_ms, peer, progress.snapshot_transfer)


def send_snapshot_chunk(
    state: ConsensusState, now_ms: float, peer: str, transfer: SnapshotTransfer
) -> None:
    """Send the chunk of a snapshot at the current offset."""
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
            round=state.heartbeat_round,
            data=transfer.data[transfer.offset : end],
        ),
    )
