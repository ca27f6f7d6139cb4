"""Raft-style replicated log with pre-vote, check-quorum and snapshots.

This is the public interface of the consensus core, a state machine without
I/O. The functions of this module operate one process of a group. Each takes
the current time of a monotonic clock in milliseconds, changes the state in
place and returns effects. Nothing here reads a clock, uses a global random
generator, or does I/O.

The embedder passes in received messages, the time (`tick`) and the results
of writes, and performs the returned effects in order. `next_due_ms` returns
the time of the next `tick`.
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
from jackdawpost.core.consensus.election import request_bootstrap
from jackdawpost.core.consensus.follower import on_append
from jackdawpost.core.consensus.follower import on_snapshot_chunk
from jackdawpost.core.consensus.leader import advance_leader
from jackdawpost.core.consensus.leader import advance_leadership_transfer
from jackdawpost.core.consensus.leader import append_leader_entry
from jackdawpost.core.consensus.leader import append_voter_set
from jackdawpost.core.consensus.leader import has_quorum_contact
from jackdawpost.core.consensus.leader import on_append_answer
from jackdawpost.core.consensus.leader import on_chunk_answer
from jackdawpost.core.consensus.leader import start_heartbeat_round
from jackdawpost.core.consensus.records import COMMAND_ENTRY
from jackdawpost.core.consensus.records import decode_entry
from jackdawpost.core.consensus.records import decode_hard_state
from jackdawpost.core.consensus.records import decode_snapshot
from jackdawpost.core.consensus.records import encode_snapshot
from jackdawpost.core.consensus.records import HardState
from jackdawpost.core.consensus.records import SnapshotRecord
from jackdawpost.core.consensus.records import VoterSet
from jackdawpost.core.consensus.roles import become_follower
from jackdawpost.core.consensus.roles import clear_leadership_transfer
from jackdawpost.core.consensus.sending import replicate
from jackdawpost.core.consensus.state import append_entry
from jackdawpost.core.consensus.state import compact_log
from jackdawpost.core.consensus.state import ConsensusConfig
from jackdawpost.core.consensus.state import ConsensusState
from jackdawpost.core.consensus.state import has_configured_node_id
from jackdawpost.core.consensus.state import may_vote
from jackdawpost.core.consensus.state import reset_election_timer
from jackdawpost.core.consensus.state import RestoredState
from jackdawpost.core.consensus.state import term_at
from jackdawpost.core.consensus.state import voter_set_at
from jackdawpost.core.consensus.writes import complete_write
from jackdawpost.core.consensus.writes import flush
from jackdawpost.core.consensus.writes import requeue_failed_write
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

# A command is sent in one frame of at most 1 MiB.
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
# A pre-vote refers to a term that may never start, and a vote request may
# have to be ignored, so the handlers of these decide on the term themselves.
_TERM_NEUTRAL_MESSAGES = (PreVote, PreVoteAnswer, Vote)


def new_consensus(
    cfg: ConsensusConfig,
    rng: random.Random,
    restored: RestoredState,
    now_ms: float,
) -> ConsensusState:
    """Create the state of a process from its durable state.

    Parameters
    ----------
    cfg : ConsensusConfig
        Settings; `cfg.voters` is used only until the log contains a voter
        set.
    rng : random.Random
        Random generator for election timeouts.
    restored : RestoredState
        Durable state, empty at the first start.
    now_ms : float
        Current time in milliseconds.

    Returns
    -------
    ConsensusState
        If a snapshot was restored, the next call with this state returns
        `InstallSnapshot`.

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
        voter_sets=[(0, first_voters)],
    )
    _restore_log(state, restored)
    is_single_voter = first_voters.voters == [cfg.name]
    if restored.hard_state is None and (
        is_single_voter or not restored.node_id
    ):
        hard.admitted_as = cfg.name
    if not may_vote(state) and has_configured_node_id(state):
        state.bootstrap_due_ms = now_ms
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
        state.voter_sets = [(record.index, record.voter_set)]
        state.commit_index = record.index
        state.applied_index = record.index
        state.outbox.append(
            InstallSnapshot(index=record.index, snapshot=record.data)
        )
    for raw in restored.entries:
        append_entry(state, decode_entry(raw))
    state.durable_index = state.last_index
    state.disk_last_index = state.last_index
    state.dirty_from = state.last_index + 1


def next_due_ms(state: ConsensusState) -> float:
    """Return the time at which `tick` must be called next, in milliseconds.

    It may change with every call of another function.
    """
    if state.write_retry_due_ms is not None:
        return state.write_retry_due_ms
    if state.role == 'leader':
        return min(state.heartbeat_due_ms, state.transfer_due_ms)
    return min(state.election_due_ms, state.bootstrap_due_ms)


def tick(state: ConsensusState, now_ms: float) -> list[ConsensusEffect]:
    """Process timers that have expired; an early call does no harm."""
    if state.write_retry_due_ms is not None:
        if now_ms >= state.write_retry_due_ms:
            state.write_retry_due_ms = None
            reset_election_timer(state, now_ms)
    elif state.role == 'leader':
        _tick_leader(state, now_ms)
    else:
        if now_ms >= state.bootstrap_due_ms:
            request_bootstrap(state, now_ms)
        if now_ms >= state.election_due_ms:
            on_election_timeout(state, now_ms)
    return _pop_effects(state, now_ms)


def _tick_leader(state: ConsensusState, now_ms: float) -> None:
    if not has_quorum_contact(state, now_ms):
        become_follower(state, now_ms, state.term, None)
        return
    if now_ms >= state.transfer_due_ms:
        clear_leadership_transfer(state)
    if now_ms >= state.heartbeat_due_ms:
        start_heartbeat_round(state, now_ms)


def receive(
    state: ConsensusState,
    now_ms: float,
    peer: str,
    message: ConsensusMessage,
) -> list[ConsensusEffect]:
    """Handle a message from another process of the group.

    Parameters
    ----------
    peer : str
        Name of the sender, as established by the connection.
    """
    if state.write_retry_due_ms is not None:
        # No vote or acknowledgement can become durable while the disk fails.
        return _pop_effects(state, now_ms)
    if message.term > state.term and not isinstance(
        message, _TERM_NEUTRAL_MESSAGES
    ):
        become_follower(state, now_ms, message.term, None)
    _HANDLERS[type(message)](state, now_ms, peer, message)
    return _pop_effects(state, now_ms)


def propose(
    state: ConsensusState, now_ms: float, command: bytes
) -> tuple[int | None, list[ConsensusEffect]]:
    """Append a command to the log, if this process is the leader.

    Returns
    -------
    index : int or None
        Log index of the command. The command is committed if `ApplyEntry`
        with this index follows in the same term. None if this process is
        not the leader or is transferring leadership.
    effects : list of ConsensusEffect

    Raises
    ------
    ValueError
        The command is longer than `MAX_COMMAND_BYTES`.
    """
    if len(command) > MAX_COMMAND_BYTES:
        raise ValueError(
            f'command too long: got {len(command)} bytes, expected at most '
            f'{MAX_COMMAND_BYTES}'
        )
    if state.role != 'leader' or state.transfer_target is not None:
        return None, _pop_effects(state, now_ms)
    entry = append_leader_entry(state, COMMAND_ENTRY, command)
    replicate(state, now_ms)
    return entry.index, _pop_effects(state, now_ms)


def persisted(
    state: ConsensusState, now_ms: float, token: int
) -> list[ConsensusEffect]:
    """Record that the write with this `token` is durable."""
    if complete_write(state, now_ms, token, count_own_vote):
        advance_leader(state, now_ms)
    return _pop_effects(state, now_ms)


def persist_failed(
    state: ConsensusState, now_ms: float, token: int
) -> list[ConsensusEffect]:
    """Record that the write with this `token` failed, and step down.

    The write is retried after `election_min_ms`. Until then received
    messages are ignored, because no vote or acknowledgement can become
    durable.
    """
    if requeue_failed_write(state, now_ms, token):
        become_follower(state, now_ms, state.term, None)
    return _pop_effects(state, now_ms)


def confirm_leadership(
    state: ConsensusState, now_ms: float, token: int
) -> list[ConsensusEffect]:
    """Request `LeadershipConfirmed`, as for a linearizable read.

    The effect is returned once a quorum has answered a heartbeat sent after
    this call and `LeadershipWon` has been returned. It is never returned
    after leadership is lost. Calls during an unfinished heartbeat round are
    confirmed together by the next round.
    """
    if state.role == 'leader':
        state.next_confirm_tokens.append(token)
        if not state.confirm_tokens:
            start_heartbeat_round(state, now_ms)
    return _pop_effects(state, now_ms)


def transfer_leadership(
    state: ConsensusState, now_ms: float, target: str | None
) -> list[ConsensusEffect]:
    """Transfer leadership to `target`, or to the most up-to-date voter.

    Proposals are refused until the transfer completes or is abandoned,
    which happens after `election_max_ms`. If `target` is not another voter,
    the reason is left in `state.last_refusal`.
    """
    if state.role != 'leader' or state.transfer_target is not None:
        return _pop_effects(state, now_ms)
    candidates = {
        peer: progress.match_index
        for peer, progress in state.progress.items()
        if peer in state.voters and not progress.newcomer_id
    }
    if target is None and candidates:
        target = max(candidates, key=lambda peer: candidates[peer])
    if target not in candidates:
        state.last_refusal = f'{target!r} cannot lead: not another voter'
        return _pop_effects(state, now_ms)
    state.transfer_target = target
    state.timeout_now_sent = False
    state.transfer_due_ms = now_ms + state.cfg.election_max_ms
    advance_leadership_transfer(state)
    return _pop_effects(state, now_ms)


def change_voters(
    state: ConsensusState,
    now_ms: float,
    add: str | None = None,
    remove: str | None = None,
) -> list[ConsensusEffect]:
    """Add or remove one voter.

    A new voter is a learner until it has caught up with the log.
    `state.voters` and `state.learners` show the result. A refused call
    leaves the reason in `state.last_refusal` and changes nothing else.
    """
    state.last_refusal = _voter_change_refusal(state, add, remove)
    if state.last_refusal:
        return _pop_effects(state, now_ms)
    current = state.voter_set
    voters = [name for name in current.voters if name != remove]
    learners = [name for name in current.learners if name != remove]
    node_ids = dict(current.node_ids)
    if add is not None:
        learners.append(add)
    if remove is not None:
        node_ids.pop(remove, None)
    append_voter_set(state, now_ms, VoterSet(voters, learners, node_ids))
    return _pop_effects(state, now_ms)


def record_voters(
    state: ConsensusState, now_ms: float
) -> list[ConsensusEffect]:
    """Append the current voter set to the log without changing it.

    A process that joins later then reads it from the log and does not need
    the first voters in its settings.
    """
    if state.role == 'leader' and state.leadership_won:
        append_voter_set(state, now_ms, state.voter_set)
    return _pop_effects(state, now_ms)


def _voter_change_refusal(
    state: ConsensusState, add: str | None, remove: str | None
) -> str:
    """Return why a voter change is refused, or an empty string."""
    if state.role != 'leader' or not state.leadership_won:
        return 'this process is not the leader'
    if state.transfer_target is not None:
        return 'a leadership transfer is in progress'
    if (add is None) == (remove is None):
        return 'expected exactly one process to add or to remove'
    if state.voter_sets[-1][0] > state.commit_index:
        return 'an earlier voter change is not committed yet'
    members = [*state.voters, *state.learners]
    if add is not None and add in members:
        return f'{add!r} is already a member of the group'
    if remove is not None and remove not in members:
        return f'{remove!r} is not a member of the group, expected {members}'
    if state.voters == [remove]:
        return f'{remove!r} is the only voter and cannot be removed'
    return ''


def compact(
    state: ConsensusState, now_ms: float, index: int, snapshot: bytes
) -> list[ConsensusEffect]:
    """Replace the log up to `index` by a snapshot of the application state.

    Raises
    ------
    ValueError
        The entry at `index` is not applied yet.
    """
    if index > state.applied_index:
        raise ValueError(
            f'snapshot index {index} is not applied yet, expected at most '
            f'{state.applied_index}'
        )
    term = term_at(state, index)
    if index > state.snapshot_index and term is not None:
        voters = voter_set_at(state, index)
        record = SnapshotRecord(index, term, voters, snapshot)
        compact_log(state, encode_snapshot(record))
    return _pop_effects(state, now_ms)


def describe(state: ConsensusState) -> dict[str, Any]:
    """Return the state as JSON-compatible data for state dumps."""
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
        'disk_failing': state.write_retry_due_ms is not None,
        'last_refusal': state.last_refusal,
        'peers': {
            peer: {
                'match': progress.match_index,
                'next': progress.next_index,
                'ack_ms': progress.last_answer_ms,
                'newcomer_id': progress.newcomer_id,
                'gets_snapshot': progress.snapshot_transfer is not None,
            }
            for peer, progress in state.progress.items()
        },
    }


def _pop_effects(
    state: ConsensusState, now_ms: float
) -> list[ConsensusEffect]:
    """Start the next write, if any, and return the collected effects."""
    flush(state, now_ms, count_own_vote)
    effects = state.outbox
    state.outbox = []
    return effects
