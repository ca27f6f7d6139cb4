"""Leader-based replicated log with pre-vote, check-quorum and snapshots.

The functions of this module drive one process of a group. Each takes the
present time of the process's monotonic clock in milliseconds, changes the
state in place and returns effects. Nothing here reads a clock, draws from
a global random generator, or does I/O.

An embedder feeds in messages, time and the ends of writes, and carries out
the effects in order. `next_due_ms` tells when `tick` is due.
"""

from __future__ import annotations

import random
from typing import Any

from jackdawpost.core.consensus.effects import ApplyEntry
from jackdawpost.core.consensus.effects import ConsensusEffect
from jackdawpost.core.consensus.effects import InstallSnapshot
from jackdawpost.core.consensus.effects import LeadershipConfirmed
from jackdawpost.core.consensus.effects import LeadershipLost
from jackdawpost.core.consensus.effects import LeadershipWon
from jackdawpost.core.consensus.effects import SendToPeer
from jackdawpost.core.consensus.effects import WriteDurably
from jackdawpost.core.consensus.election import count_own_vote
from jackdawpost.core.consensus.election import on_election_timeout
from jackdawpost.core.consensus.election import on_pre_vote
from jackdawpost.core.consensus.election import on_pre_vote_answer
from jackdawpost.core.consensus.election import on_timeout_now
from jackdawpost.core.consensus.election import on_vote
from jackdawpost.core.consensus.election import on_vote_answer
from jackdawpost.core.consensus.election import probe_group
from jackdawpost.core.consensus.follower import on_append
from jackdawpost.core.consensus.follower import on_snapshot_chunk
from jackdawpost.core.consensus.leader import after_progress
from jackdawpost.core.consensus.leader import append_own
from jackdawpost.core.consensus.leader import append_voter_set
from jackdawpost.core.consensus.leader import hand_over
from jackdawpost.core.consensus.leader import has_quorum_contact
from jackdawpost.core.consensus.leader import on_append_answer
from jackdawpost.core.consensus.leader import on_chunk_answer
from jackdawpost.core.consensus.leader import send_heartbeats
from jackdawpost.core.consensus.records import COMMAND_ENTRY
from jackdawpost.core.consensus.records import decode_entry
from jackdawpost.core.consensus.records import decode_hard_state
from jackdawpost.core.consensus.records import decode_snapshot
from jackdawpost.core.consensus.records import encode_snapshot
from jackdawpost.core.consensus.records import HardState
from jackdawpost.core.consensus.records import SnapshotRecord
from jackdawpost.core.consensus.records import VoterSet
from jackdawpost.core.consensus.roles import become_follower
from jackdawpost.core.consensus.roles import end_transfer
from jackdawpost.core.consensus.sending import replicate
from jackdawpost.core.consensus.state import append_entry
from jackdawpost.core.consensus.state import compact_log
from jackdawpost.core.consensus.state import ConsensusConfig
from jackdawpost.core.consensus.state import ConsensusState
from jackdawpost.core.consensus.state import holds_named_folder
from jackdawpost.core.consensus.state import may_vote
from jackdawpost.core.consensus.state import reset_election_timer
from jackdawpost.core.consensus.state import RestoredState
from jackdawpost.core.consensus.state import term_at
from jackdawpost.core.consensus.state import voter_set_at
from jackdawpost.core.consensus.writes import finish_write
from jackdawpost.core.consensus.writes import flush
from jackdawpost.core.consensus.writes import undo_write
from jackdawpost.core.messages.consensus import Append
from jackdawpost.core.messages.consensus import AppendAnswer
from jackdawpost.core.messages.consensus import ConsensusMessage
from jackdawpost.core.messages.consensus import PreVote
from jackdawpost.core.messages.consensus import PreVoteAnswer
from jackdawpost.core.messages.consensus import SnapshotChunk
from jackdawpost.core.messages.consensus import SnapshotChunkAnswer
from jackdawpost.core.messages.consensus import TimeoutNow
from jackdawpost.core.messages.consensus import Vote
from jackdawpost.core.messages.consensus import VoteAnswer

__all__ = [
    'ApplyEntry',
    'change_voters',
    'compact',
    'confirm_leadership',
    'describe',
    'ConsensusConfig',
    'ConsensusEffect',
    'ConsensusState',
    'InstallSnapshot',
    'LeadershipConfirmed',
    'LeadershipLost',
    'LeadershipWon',
    'MAX_COMMAND_BYTES',
    'new_consensus',
    'next_due_ms',
    'persist_failed',
    'persisted',
    'propose',
    'receive',
    'record_voters',
    'RestoredState',
    'SendToPeer',
    'tick',
    'transfer_leadership',
    'WriteDurably',
]

# A command travels in one frame of at most 1 MiB.
MAX_COMMAND_BYTES = 768 * 1024

_HANDLERS: dict[type[Any], Any] = {
    PreVote: on_pre_vote,
    PreVoteAnswer: on_pre_vote_answer,
    Vote: on_vote,
    VoteAnswer: on_vote_answer,
    Append: on_append,
    AppendAnswer: on_append_answer,
    SnapshotChunk: on_snapshot_chunk,
    SnapshotChunkAnswer: on_chunk_answer,
    TimeoutNow: on_timeout_now,
}
# Questions about a future term, and votes that may have to be ignored, do
# not change the term by themselves.
_KEEPS_TERM = (PreVote, PreVoteAnswer, Vote)


def new_consensus(
    cfg: ConsensusConfig,
    rng: random.Random,
    restored: RestoredState,
    now_ms: float,
) -> ConsensusState:
    """Build the state of a process from what its disk holds.

    Parameters
    ----------
    cfg : ConsensusConfig
        Settings; `cfg.voters` counts only until the log names a voter set.
    rng : random.Random
        Source of election timeouts.
    restored : RestoredState
        Durable state, empty at the first start.
    now_ms : float
        Present time in milliseconds.

    Returns
    -------
    ConsensusState
        The first call with it returns `InstallSnapshot` if a snapshot was
        restored.

    Raises
    ------
    ProtocolError
        The durable state cannot be decoded.
    """
    hard = HardState()
    if restored.hard_state is not None:
        hard = decode_hard_state(restored.hard_state)
    first_voters = VoterSet(sorted(cfg.voters))
    state = ConsensusState(
        cfg=cfg,
        rng=rng,
        node_id=restored.node_id,
        hard=hard,
        configs=[(0, first_voters)],
    )
    _restore_log(state, restored)
    is_alone = first_voters.voters == [cfg.name]
    if restored.hard_state is None and (is_alone or not restored.node_id):
        hard.admitted_as = cfg.name
    if not may_vote(state) and holds_named_folder(state):
        state.probe_due_ms = now_ms
    reset_election_timer(state, now_ms)
    if may_vote(state) and state.voters == [cfg.name]:
        state.election_due_ms = now_ms
    return state


def _restore_log(state: ConsensusState, restored: RestoredState) -> None:
    if restored.snapshot is not None:
        record = decode_snapshot(restored.snapshot)
        state.snapshot = restored.snapshot
        state.snapshot_index = record.index
        state.snapshot_term = record.term
        state.configs = [(record.index, record.voter_set)]
        state.commit_index = record.index
        state.applied_index = record.index
        state.outbox.append(
            InstallSnapshot(index=record.index, snapshot=record.data)
        )
    for raw in restored.entries:
        append_entry(state, decode_entry(raw))
    state.durable_index = state.last_index
    state.disk_last = state.last_index
    state.dirty_from = state.last_index + 1


def next_due_ms(state: ConsensusState) -> float:
    """Tell when `tick` must be called next, in milliseconds."""
    if state.retry_write_ms is not None:
        return state.retry_write_ms
    if state.role == 'leader':
        return min(state.heartbeat_due_ms, state.transfer_due_ms)
    return min(state.election_due_ms, state.probe_due_ms)


def tick(state: ConsensusState, now_ms: float) -> list[ConsensusEffect]:
    """Take note of the time; harmless when called early."""
    if state.retry_write_ms is not None:
        if now_ms >= state.retry_write_ms:
            state.retry_write_ms = None
            reset_election_timer(state, now_ms)
    elif state.role == 'leader':
        _tick_leader(state, now_ms)
    else:
        if now_ms >= state.probe_due_ms:
            probe_group(state, now_ms)
        if now_ms >= state.election_due_ms:
            on_election_timeout(state, now_ms)
    return _end_call(state, now_ms)


def _tick_leader(state: ConsensusState, now_ms: float) -> None:
    if not has_quorum_contact(state, now_ms):
        become_follower(state, now_ms, state.term, None)
        return
    if now_ms >= state.transfer_due_ms:
        end_transfer(state)
    if now_ms >= state.heartbeat_due_ms:
        send_heartbeats(state, now_ms)


def receive(
    state: ConsensusState,
    now_ms: float,
    peer: str,
    message: ConsensusMessage,
) -> list[ConsensusEffect]:
    """Take a message from a process of the group.

    Parameters
    ----------
    peer : str
        Sender, as established by the link.
    """
    if state.retry_write_ms is not None:
        # Nothing can be promised while the disk fails.
        return _end_call(state, now_ms)
    if message.term > state.term and not isinstance(message, _KEEPS_TERM):
        become_follower(state, now_ms, message.term, None)
    _HANDLERS[type(message)](state, now_ms, peer, message)
    return _end_call(state, now_ms)


def propose(
    state: ConsensusState, now_ms: float, command: bytes
) -> tuple[int | None, list[ConsensusEffect]]:
    """Append a command to the log as its leader.

    Returns
    -------
    index : int or None
        Where the command stands if `ApplyEntry` of this index follows in
        the same term; None if this process does not lead or is handing
        over.
    effects : list of ConsensusEffect

    Raises
    ------
    ValueError
        The command is longer than `MAX_COMMAND_BYTES`.
    """
    if len(command) > MAX_COMMAND_BYTES:
        raise ValueError(
            f'command of {len(command)} bytes: valid are up to '
            f'{MAX_COMMAND_BYTES}'
        )
    if state.role != 'leader' or state.transfer_target is not None:
        return None, _end_call(state, now_ms)
    entry = append_own(state, COMMAND_ENTRY, command)
    replicate(state, now_ms)
    return entry.index, _end_call(state, now_ms)


def persisted(
    state: ConsensusState, now_ms: float, token: int
) -> list[ConsensusEffect]:
    """Take note that the write named by `token` is durable."""
    if finish_write(state, now_ms, token, count_own_vote):
        after_progress(state, now_ms)
    return _end_call(state, now_ms)


def persist_failed(
    state: ConsensusState, now_ms: float, token: int
) -> list[ConsensusEffect]:
    """Step down after a failed write and retry it later.

    Until the retry succeeds the process takes no messages, so that it
    promises nothing that it cannot keep.
    """
    if undo_write(state, now_ms, token):
        become_follower(state, now_ms, state.term, None)
    return _end_call(state, now_ms)


def confirm_leadership(
    state: ConsensusState, now_ms: float, token: int
) -> list[ConsensusEffect]:
    """Ask for `LeadershipConfirmed`.

    It follows once a quorum has answered a heartbeat sent after this call
    and `LeadershipWon` was reported; never after a loss of leadership.
    Calls during an unfinished round share the next one.
    """
    if state.role == 'leader':
        state.confirm_waiting.append(token)
        if not state.confirming:
            send_heartbeats(state, now_ms)
    return _end_call(state, now_ms)


def transfer_leadership(
    state: ConsensusState, now_ms: float, target: str | None
) -> list[ConsensusEffect]:
    """Hand leadership over to `target`, or to the best voter.

    Proposals are refused until the transfer ends, at the latest after the
    longest election timeout.
    """
    if state.role != 'leader' or state.transfer_target is not None:
        return _end_call(state, now_ms)
    candidates = {
        peer: progress.match
        for peer, progress in state.progress.items()
        if peer in state.voters and not progress.newcomer_id
    }
    if target is None and candidates:
        target = max(candidates, key=lambda peer: candidates[peer])
    if target not in candidates:
        state.last_refusal = f'{target!r} cannot lead: no other voter'
        return _end_call(state, now_ms)
    state.transfer_target = target
    state.transfer_sent = False
    state.transfer_due_ms = now_ms + state.cfg.election_max_ms
    hand_over(state)
    return _end_call(state, now_ms)


def change_voters(
    state: ConsensusState,
    now_ms: float,
    add: str | None = None,
    remove: str | None = None,
) -> list[ConsensusEffect]:
    """Add or remove one voter.

    A new voter is a learner until it has caught up. `state.voters` and
    `state.learners` show the outcome; a refused call changes nothing and
    leaves the reason in `state.last_refusal`.
    """
    state.last_refusal = _refuse_change(state, add, remove)
    if state.last_refusal:
        return _end_call(state, now_ms)
    present = state.voter_set
    voters = [name for name in present.voters if name != remove]
    learners = [name for name in present.learners if name != remove]
    node_ids = dict(present.node_ids)
    if add is not None:
        learners.append(add)
    if remove is not None:
        node_ids.pop(remove, None)
    append_voter_set(state, now_ms, VoterSet(voters, learners, node_ids))
    return _end_call(state, now_ms)


def record_voters(
    state: ConsensusState, now_ms: float
) -> list[ConsensusEffect]:
    """Write the present voter set into the log, without changing it.

    A process that starts later then needs no settings to know it.
    """
    if state.role == 'leader' and state.won:
        append_voter_set(state, now_ms, state.voter_set)
    return _end_call(state, now_ms)


def _refuse_change(
    state: ConsensusState, add: str | None, remove: str | None
) -> str:
    if state.role != 'leader' or not state.won:
        return 'this process does not lead'
    if state.transfer_target is not None:
        return 'leadership is being handed over'
    if (add is None) == (remove is None):
        return 'name one process to add or one to remove'
    if state.configs[-1][0] > state.commit_index:
        return 'an earlier change is not committed yet'
    members = [*state.voters, *state.learners]
    if add is not None and add in members:
        return f'{add!r} takes part already'
    if remove is not None and remove not in members:
        return f'{remove!r} takes no part: valid are {members}'
    if state.voters == [remove]:
        return f'{remove!r} is the last voter'
    return ''


def compact(
    state: ConsensusState, now_ms: float, index: int, snapshot: bytes
) -> list[ConsensusEffect]:
    """Replace the log up to `index` by a snapshot of the application.

    Raises
    ------
    ValueError
        `index` is not applied yet.
    """
    if index > state.applied_index:
        raise ValueError(
            f'snapshot at {index}: valid are up to {state.applied_index}'
        )
    term = term_at(state, index)
    if index > state.snapshot_index and term is not None:
        voters = voter_set_at(state, index)
        record = SnapshotRecord(index, term, voters, snapshot)
        compact_log(state, encode_snapshot(record))
    return _end_call(state, now_ms)


def describe(state: ConsensusState) -> dict[str, Any]:
    """Return the state as plain data, for dumps."""
    return {
        'name': state.name,
        'node_id': state.node_id,
        'may_vote': may_vote(state),
        'role': state.role,
        'leader': state.leader,
        'term': state.term,
        'voted_for': state.hard.voted_for,
        'voters': list(state.voters),
        'learners': list(state.learners),
        'last_index': state.last_index,
        'commit_index': state.commit_index,
        'applied_index': state.applied_index,
        'durable_index': state.durable_index,
        'snapshot_index': state.snapshot_index,
        'disk_failing': state.retry_write_ms is not None,
        'last_refusal': state.last_refusal,
        'peers': {
            peer: {
                'match': progress.match,
                'next': progress.next,
                'ack_ms': progress.ack_ms,
                'newcomer_id': progress.newcomer_id,
                'gets_snapshot': progress.transfer is not None,
            }
            for peer, progress in state.progress.items()
        },
    }


def _end_call(state: ConsensusState, now_ms: float) -> list[ConsensusEffect]:
    flush(state, now_ms, count_own_vote)
    effects = state.outbox
    state.outbox = []
    return effects
