"""Writes of the consensus core and the answers that wait for them.

One write is outstanding at a time; what changes meanwhile goes into the
next one. This groups proposals under load and leaves a single write to
undo when the disk fails.
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
    """Start the next write and release answers that depend on none."""
    while state.retry_write_ms is None:
        if _is_dirty(state):
            if state.outstanding is not None:
                return
            _start_write(state)
        if not state.waiting:
            return
        waiting = state.waiting
        state.waiting = []
        if state.outstanding is not None:
            state.outstanding.waiting += waiting
            return
        _release(state, now_ms, waiting, count_own_vote)


def finish_write(
    state: ConsensusState,
    now_ms: float,
    token: int,
    count_own_vote: OwnVoteHandler,
) -> bool:
    """Take note that a write is durable and release its answers."""
    write = state.outstanding
    if write is None or write.token != token:
        return False
    state.outstanding = None
    if not state.snapshot_dirty:
        # A pending snapshot may replace entries that this write held.
        durable = min(write.last_index, state.dirty_from - 1)
        state.durable_index = max(state.durable_index, durable)
    _release(state, now_ms, write.waiting, count_own_vote)
    return True


def undo_write(state: ConsensusState, now_ms: float, token: int) -> bool:
    """Drop the answers of a failed write and keep its content for later."""
    write = state.outstanding
    if write is None or write.token != token:
        return False
    state.outstanding = None
    state.hard_dirty = state.hard_dirty or write.has_hard_state
    state.snapshot_dirty = state.snapshot_dirty or write.has_snapshot
    first = max(write.first_index, state.snapshot_index + 1)
    state.dirty_from = min(state.dirty_from, first)
    # A retry truncates whatever the failed write may have left.
    state.disk_last = max(state.disk_last, write.previous_disk_last)
    state.waiting.clear()
    state.retry_write_ms = now_ms + state.cfg.election_min_ms
    return True


def _is_dirty(state: ConsensusState) -> bool:
    return (
        state.hard_dirty
        or state.snapshot_dirty
        or state.dirty_from <= max(state.last_index, state.disk_last)
    )


def _start_write(state: ConsensusState) -> None:
    first = state.dirty_from
    entries = state.log[first - state.snapshot_index - 1 :]
    state.outstanding = OutstandingWrite(
        token=state.next_token,
        first_index=first,
        last_index=state.last_index,
        previous_disk_last=state.disk_last,
        has_hard_state=state.hard_dirty,
        has_snapshot=state.snapshot_dirty,
    )
    state.outbox.append(
        WriteDurably(
            token=state.next_token,
            hard_state=(
                encode_hard_state(state.hard) if state.hard_dirty else None
            ),
            truncate_from=first if first <= state.disk_last else None,
            entries=[entry.raw for entry in entries],
            snapshot=state.snapshot if state.snapshot_dirty else None,
        )
    )
    state.next_token += 1
    state.disk_last = state.last_index
    state.dirty_from = state.last_index + 1
    state.hard_dirty = False
    state.snapshot_dirty = False


def _release(
    state: ConsensusState,
    now_ms: float,
    waiting: list[Deferred],
    count_own_vote: OwnVoteHandler,
) -> None:
    for item in waiting:
        if not isinstance(item, OwnVote):
            state.outbox.append(item)
        elif item.term == state.term:
            count_own_vote(state, now_ms)
