"""Changes of role of a consensus process."""

from __future__ import annotations

import math

from jackdawpost.core.consensus.effects import LeadershipLost
from jackdawpost.core.consensus.state import ConsensusState
from jackdawpost.core.consensus.state import reset_election_timer


def become_follower(
    state: ConsensusState, now_ms: float, term: int, leader: str | None
) -> None:
    """Follow in `term`, giving up any candidacy or leadership."""
    if state.won:
        state.outbox.append(LeadershipLost(term=state.term))
    if term > state.term:
        state.hard.term = term
        state.hard.voted_for = None
        state.hard_dirty = True
        state.incoming = None
    was_leader = state.role == 'leader'
    state.role = 'follower'
    state.leader = leader
    state.won = False
    state.pre_vote_term = 0
    state.votes.clear()
    state.progress.clear()
    state.confirming.clear()
    state.confirm_waiting.clear()
    end_transfer(state)
    if was_leader:
        reset_election_timer(state, now_ms)


def end_transfer(state: ConsensusState) -> None:
    """Go on as leader after a transfer that did not happen."""
    state.transfer_target = None
    state.transfer_sent = False
    state.transfer_due_ms = math.inf
