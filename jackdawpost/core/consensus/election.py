"""Leader election, and admission of a data folder as a voter.

Elections use Raft with pre-vote. A process votes only if its data folder has
been admitted. A data folder is identified by its node id. A new one is not
admitted, since it may replace a wiped one that had already voted or
acknowledged entries. It is admitted in one of two ways:

* Bootstrap of the group: each of the other first voters, as listed in the
  settings, answers that it is not admitted either, or that it bootstrapped
  the group with this node id.
* A voter set in the log, committed or not, lists its node id.
"""

from __future__ import annotations

import math

from jackdawpost.core.consensus.leader import become_leader
from jackdawpost.core.consensus.roles import become_follower
from jackdawpost.core.consensus.state import ConsensusState
from jackdawpost.core.consensus.state import is_quorum
from jackdawpost.core.consensus.state import may_vote
from jackdawpost.core.consensus.state import OwnVote
from jackdawpost.core.consensus.state import reset_election_timer
from jackdawpost.core.consensus.state import send_when_durable
from jackdawpost.core.messages.consensus import PreVote
from jackdawpost.core.messages.consensus import PreVoteAnswer
from jackdawpost.core.messages.consensus import TimeoutNow
from jackdawpost.core.messages.consensus import Vote
from jackdawpost.core.messages.consensus import VoteAnswer

# Heartbeat intervals between two attempts to bootstrap the group.
BOOTSTRAP_RETRY_HEARTBEATS = 2


def request_bootstrap(state: ConsensusState, now_ms: float) -> None:
    """Send a bootstrap request to the other first voters.

    Sends nothing if this process is already admitted or is no voter. The
    request is a `PreVote` whose `admitted` is false.
    """
    interval = BOOTSTRAP_RETRY_HEARTBEATS * state.cfg.heartbeat_ms
    state.bootstrap_due_ms = now_ms + interval
    if may_vote(state) or state.name not in state.voters:
        return
    _request_pre_votes(state)


def on_election_timeout(state: ConsensusState, now_ms: float) -> None:
    """Start a pre-vote, which leaves the term of every process unchanged."""
    reset_election_timer(state, now_ms)
    if not may_vote(state) or state.name not in state.voters:
        return
    if state.role == 'candidate':
        become_follower(state, now_ms, state.term, None)
    state.leader = None
    state.pre_vote_term = state.term + 1
    state.pre_votes = {state.name}
    if is_quorum(state, state.pre_votes):
        start_election(state, now_ms, transfer=False)
        return
    _request_pre_votes(state)


def _request_pre_votes(state: ConsensusState) -> None:
    for peer in state.voters:
        if peer == state.name:
            continue
        request = PreVote(
            term=state.term + 1,
            last_index=state.last_index,
            last_term=state.last_term,
            node_id=state.node_id,
            admitted=may_vote(state),
        )
        send_when_durable(state, peer, request)


def start_election(
    state: ConsensusState, now_ms: float, transfer: bool
) -> None:
    """Become a candidate in a new term and request votes.

    Parameters
    ----------
    transfer : bool
        True if the leader asked for this election, so voters need not wait
        until they have lost contact with it.
    """
    # Enters the new term and clears the state of the previous role.
    become_follower(state, now_ms, state.term + 1, None)
    state.role = 'candidate'
    state.hard.voted_for = state.name
    reset_election_timer(state, now_ms)
    state.deferred.append(OwnVote(state.term))
    for peer in state.voters:
        if peer == state.name:
            continue
        request = Vote(
            term=state.term,
            last_index=state.last_index,
            last_term=state.last_term,
            transfer=transfer,
        )
        send_when_durable(state, peer, request)


def count_vote(state: ConsensusState, now_ms: float, voter: str) -> None:
    """Count a durable vote; become leader once a quorum has voted."""
    if state.role != 'candidate':
        return
    state.votes.add(voter)
    # The own vote is required: it is counted only once the term is durable.
    if state.name in state.votes and is_quorum(state, state.votes):
        become_leader(state, now_ms)


def count_own_vote(state: ConsensusState, now_ms: float) -> None:
    """Count this candidate's vote for itself after it became durable."""
    count_vote(state, now_ms, state.name)


def has_live_leader(state: ConsensusState, now_ms: float) -> bool:
    """Return whether a leader made contact within `election_min_ms`."""
    if state.role == 'leader':
        return True
    return now_ms - state.leader_contact_ms < state.cfg.election_min_ms


def on_pre_vote(
    state: ConsensusState, now_ms: float, peer: str, message: PreVote
) -> None:
    """Answer whether this process would grant a vote in that term."""
    granted = (
        may_vote(state)
        and message.admitted
        and message.term > state.term
        and not has_live_leader(state, now_ms)
        and _is_up_to_date(state, message)
    )
    known_id = state.hard.known_ids.get(peer)
    answer = PreVoteAnswer(
        term=state.term,
        asked_term=message.term,
        granted=granted,
        node_id=state.node_id,
        admitted=may_vote(state),
        knows_asker=bool(known_id) and known_id == message.node_id,
    )
    # The admission that the answer reports may not be durable yet.
    send_when_durable(state, peer, answer)


def on_pre_vote_answer(
    state: ConsensusState, now_ms: float, peer: str, message: PreVoteAnswer
) -> None:
    """Count a pre-vote, or an answer to a bootstrap request."""
    if not may_vote(state):
        _on_bootstrap_answer(state, now_ms, peer, message)
        return
    if message.granted:
        if message.asked_term != state.pre_vote_term:
            return
        state.pre_votes.add(peer)
        if is_quorum(state, state.pre_votes):
            start_election(state, now_ms, transfer=False)
    elif message.term > state.term:
        become_follower(state, now_ms, message.term, None)


def _on_bootstrap_answer(
    state: ConsensusState, now_ms: float, peer: str, message: PreVoteAnswer
) -> None:
    """Admit this data folder once all other voters agree to bootstrap."""
    if message.admitted and not message.knows_asker:
        state.bootstrap_ids.pop(peer, None)
        return
    state.bootstrap_ids[peer] = message.node_id
    others = {voter for voter in state.voters if voter != state.name}
    if (
        not others <= state.bootstrap_ids.keys()
        or state.name not in state.voters
    ):
        return
    state.hard.admitted_as = state.name
    # Sorted, so that a replayed trace encodes the same bytes.
    state.hard.known_ids = {
        name: state.bootstrap_ids[name] for name in sorted(others)
    }
    state.hard_dirty = True
    state.bootstrap_due_ms = math.inf
    reset_election_timer(state, now_ms)


def on_vote(
    state: ConsensusState, now_ms: float, peer: str, message: Vote
) -> None:
    """Grant or deny a vote; the answer is sent once the vote is durable.

    Requests are ignored while a leader is in contact with this process,
    unless that leader asked for the election to transfer leadership.
    """
    if not may_vote(state):
        return
    if not message.transfer and has_live_leader(state, now_ms):
        return
    if message.term > state.term:
        become_follower(state, now_ms, message.term, None)
    granted = (
        message.term == state.term
        and state.role == 'follower'
        and state.hard.voted_for in (None, peer)
        and _is_up_to_date(state, message)
    )
    if granted:
        if state.hard.voted_for is None:
            state.hard.voted_for = peer
            state.hard_dirty = True
        state.pre_vote_term = 0
        reset_election_timer(state, now_ms)
    answer = VoteAnswer(term=state.term, granted=granted)
    send_when_durable(state, peer, answer)


def on_vote_answer(
    state: ConsensusState, now_ms: float, peer: str, message: VoteAnswer
) -> None:
    """Count a vote granted in the current term."""
    if message.granted and message.term == state.term:
        count_vote(state, now_ms, peer)


def on_timeout_now(
    state: ConsensusState, now_ms: float, peer: str, message: TimeoutNow
) -> None:
    """Start an election at once because the leader requests it."""
    if message.term != state.term or state.leader != peer:
        return
    if may_vote(state) and state.name in state.voters:
        start_election(state, now_ms, transfer=True)


def _is_up_to_date(state: ConsensusState, message: PreVote | Vote) -> bool:
    """Return whether the candidate's log is at least as new as this one."""
    candidate_last = (message.last_term, message.last_index)
    return candidate_last >= (state.last_term, state.last_index)
