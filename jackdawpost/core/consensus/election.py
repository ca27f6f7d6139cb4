"""Elections of the consensus core and the right to take part in them.

A data folder starts without the right to vote, since it may be a wiped one
whose promises are lost. It gains the right in one of two ways:

* the group is formed: every other first voter answers that it has no right
  either, or that it formed the group with this very folder;
* a voter change names the folder's node id.
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

# Heartbeat intervals between attempts to gain the right to vote.
PROBE_HEARTBEATS = 2


def probe_group(state: ConsensusState, now_ms: float) -> None:
    """Ask the other first voters to vouch for this data folder."""
    interval = PROBE_HEARTBEATS * state.cfg.heartbeat_ms
    state.probe_due_ms = now_ms + interval
    if may_vote(state) or state.name not in state.voters:
        return
    _ask_pre_votes(state)


def on_election_timeout(state: ConsensusState, now_ms: float) -> None:
    """Ask for pre-votes, without disturbing anyone."""
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
    _ask_pre_votes(state)


def _ask_pre_votes(state: ConsensusState) -> None:
    for peer in state.voters:
        if peer == state.name:
            continue
        question = PreVote(
            term=state.term + 1,
            last_index=state.last_index,
            last_term=state.last_term,
            node_id=state.node_id,
            admitted=may_vote(state),
        )
        send_when_durable(state, peer, question)


def start_election(
    state: ConsensusState, now_ms: float, transfer: bool
) -> None:
    """Become a candidate in a new term."""
    become_follower(state, now_ms, state.term + 1, None)
    state.role = 'candidate'
    state.hard.voted_for = state.name
    reset_election_timer(state, now_ms)
    state.waiting.append(OwnVote(state.term))
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
    """Count a durable vote for this candidate."""
    if state.role != 'candidate':
        return
    state.votes.add(voter)
    # The own vote must be among them: it shows that the term is durable.
    if state.name in state.votes and is_quorum(state, state.votes):
        become_leader(state, now_ms)


def count_own_vote(state: ConsensusState, now_ms: float) -> None:
    """Count this candidate's vote for itself, now that it is durable."""
    count_vote(state, now_ms, state.name)


def has_live_leader(state: ConsensusState, now_ms: float) -> bool:
    """Tell whether a leader was heard within the least timeout."""
    if state.role == 'leader':
        return True
    return now_ms - state.leader_contact_ms < state.cfg.election_min_ms


def on_pre_vote(
    state: ConsensusState, now_ms: float, peer: str, message: PreVote
) -> None:
    """Tell whether a vote would be granted."""
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
    # An answer may rest on an admission that is not durable yet.
    send_when_durable(state, peer, answer)


def on_pre_vote_answer(
    state: ConsensusState, now_ms: float, peer: str, message: PreVoteAnswer
) -> None:
    """Count a pre-vote, or a voucher for this data folder."""
    if not may_vote(state):
        _count_voucher(state, now_ms, peer, message)
        return
    if message.granted:
        if message.asked_term != state.pre_vote_term:
            return
        state.pre_votes.add(peer)
        if is_quorum(state, state.pre_votes):
            start_election(state, now_ms, transfer=False)
    elif message.term > state.term:
        become_follower(state, now_ms, message.term, None)


def _count_voucher(
    state: ConsensusState, now_ms: float, peer: str, message: PreVoteAnswer
) -> None:
    if message.admitted and not message.knows_asker:
        state.vouched.pop(peer, None)
        return
    state.vouched[peer] = message.node_id
    others = {voter for voter in state.voters if voter != state.name}
    if not others <= state.vouched.keys() or state.name not in state.voters:
        return
    state.hard.admitted_as = state.name
    # Sorted, so that a replayed trace encodes the same bytes.
    state.hard.known_ids = {
        name: state.vouched[name] for name in sorted(others)
    }
    state.hard_dirty = True
    state.probe_due_ms = math.inf
    reset_election_timer(state, now_ms)


def on_vote(
    state: ConsensusState, now_ms: float, peer: str, message: Vote
) -> None:
    """Grant or refuse a vote; a grant is sent once it is durable."""
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
    """Count a vote of this term."""
    if message.granted and message.term == state.term:
        count_vote(state, now_ms, peer)


def on_timeout_now(
    state: ConsensusState, now_ms: float, peer: str, message: TimeoutNow
) -> None:
    """Start an election on behalf of the leader."""
    if message.term != state.term or state.leader != peer:
        return
    if may_vote(state) and state.name in state.voters:
        start_election(state, now_ms, transfer=True)


def _is_up_to_date(state: ConsensusState, message: PreVote | Vote) -> bool:
    theirs = (message.last_term, message.last_index)
    return theirs >= (state.last_term, state.last_index)
