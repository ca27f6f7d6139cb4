"""Durable writes of the consensus core, and the actions that wait for them.

One write is outstanding at a time; later changes are collected for the next
one. This batches proposals under load, and after a disk failure only one
write has to be repeated.
"""

from __future__ import annotations

from collections.abc import Callable

from jackdawpost.core.consensus.effects import WriteDurably
from jackdawpost.core.consensus.records import encode_hard_state
from jackdawpost.core.consensus.state import ConsensusState
from jackdawpost.core.consensus.state import Deferred
from jackdawpost.core.consensus.state import OutstandingWrite
from jackdawpost.core.consensus.state import OwnVote

OwnVoteHandler = Callable[[ConsensusState, float], None]


def flush(
    state: ConsensusState, now_ms: float, count_own_vote: OwnVoteHandler
) -> None:
    """Start the next write and perform deferred actions that need no write.

    The other deferred actions are attached to the write that they wait for.
    Nothing is done until a failed write is due to be retried.
    """
    while state.write_retry_due_ms is None:
        if _is_dirty(state):
            if state.outstanding_write is not None:
                return
            _start_write(state)
        if not state.deferred:
            return
        deferred = state.deferred
        state.deferred = []
        if state.outstanding_write is not None:
            state.outstanding_write.deferred += deferred
            return
        _perform_deferred(state, now_ms, deferred, count_own_vote)


def complete_write(
    state: ConsensusState,
    now_ms: float,
    token: int,
    count_own_vote: OwnVoteHandler,
) -> bool:
    """Record that a write is durable; perform the actions that wait for it.

    Returns
    -------
    bool
        False if `token` is not that of the outstanding write.
    """
    write = state.outstanding_write
    if write is None or write.token != token:
        return False
    state.outstanding_write = None
    if not state.snapshot_dirty:
        # A snapshot not yet written may replace entries of this write.
        durable = min(write.last_index, state.dirty_from - 1)
        state.durable_index = max(state.durable_index, durable)
    _perform_deferred(state, now_ms, write.deferred, count_own_vote)
    return True


def requeue_failed_write(
    state: ConsensusState, now_ms: float, token: int
) -> bool:
    """Mark the content of a failed write as unwritten and schedule a retry.

    All deferred actions are dropped.

    Returns
    -------
    bool
        False if `token` is not that of the outstanding write.
    """
    write = state.outstanding_write
    if write is None or write.token != token:
        return False
    state.outstanding_write = None
    state.hard_dirty = state.hard_dirty or write.has_hard_state
    state.snapshot_dirty = state.snapshot_dirty or write.has_snapshot
    first = max(write.first_index, state.snapshot_index + 1)
    state.dirty_from = min(state.dirty_from, first)
    # The retry must truncate what the failed write may have left on disk.
    state.disk_last_index = max(
        state.disk_last_index, write.previous_disk_last_index
    )
    state.deferred.clear()
    state.write_retry_due_ms = now_ms + state.cfg.election_min_ms
    return True


def _is_dirty(state: ConsensusState) -> bool:
    """Return whether there are changes that no write contains yet.

    A log that has only become shorter must be truncated on disk, too.
    """
    return (
        state.hard_dirty
        or state.snapshot_dirty
        or state.dirty_from <= max(state.last_index, state.disk_last_index)
    )


def _start_write(state: ConsensusState) -> None:
    first = state.dirty_from
    entries = state.log[first - state.snapshot_index - 1 :]
    state.outstanding_write = OutstandingWrite(
        token=state.next_token,
        first_index=first,
        last_index=state.last_index,
        previous_disk_last_index=state.disk_last_index,
        has_hard_state=state.hard_dirty,
        has_snapshot=state.snapshot_dirty,
    )
    state.outbox.append(
        WriteDurably(
            token=state.next_token,
            hard_state=(
                encode_hard_state(state.hard) if state.hard_dirty else None
            ),
            truncate_from=first if first <= state.disk_last_index else None,
            entries=[entry.raw for entry in entries],
            snapshot=state.snapshot if state.snapshot_dirty else None,
        )
    )
    state.next_token += 1
    state.disk_last_index = state.last_index
    state.dirty_from = state.last_index + 1
    state.hard_dirty = False
    state.snapshot_dirty = False


def _perform_deferred(
    state: ConsensusState,
    now_ms: float,
    deferred: list[Deferred],
    count_own_vote: OwnVoteHandler,
) -> None:
    for item in deferred:
        if not isinstance(item, OwnVote):
            state.outbox.append(item)
        elif item.term == state.term:
            count_own_vote(state, now_ms)
