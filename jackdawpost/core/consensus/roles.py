"""Transition to the follower role and end of a leadership transfer."""

from __future__ import annotations

import math

from jackdawpost.core.consensus.effects import LeadershipLost
from jackdawpost.core.consensus.state import ConsensusState
from jackdawpost.core.consensus.state import reset_election_timer


def become_follower(
    state: ConsensusState, now_ms: float, term: int, leader: str | None
) -> None:
    """Become a follower in `term`, ending any candidacy or leadership."""
    if state.leadership_won:
        state.outbox.append(LeadershipLost(term=state.term))
    if term > state.term:
        state.hard.term = term
        state.hard.voted_for = None
        state.hard_dirty = True
        state.incoming_snapshot = None
    was_leader = state.role == 'leader'
    state.role = 'follower'
    state.leader = leader
    state.leadership_won = False
    state.pre_vote_term = 0
    state.votes.clear()
    state.progress.clear()
    state.confirm_tokens.clear()
    state.next_confirm_tokens.clear()
    clear_leadership_transfer(state)
    if was_leader:
        reset_election_timer(state, now_ms)


def clear_leadership_transfer(state: ConsensusState) -> None:
    """Cancel any leadership transfer; a leader accepts proposals again."""
    state.transfer_target = None
    state.timeout_now_sent = False
    state.transfer_due_ms = math.inf
