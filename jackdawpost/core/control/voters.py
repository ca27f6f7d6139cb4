"""Adjustment of the voter set to the control processes that run.

A voter that lost its disk is removed and admitted again under its new
identity. A voter that is lost or is stopping is replaced once another control
process is available. Otherwise the set never shrinks: a voter that returns
with its disk continues to vote.
"""

from __future__ import annotations

from jackdawpost.core.consensus import process as consensus
from jackdawpost.core.consensus.state import newcomer_id
from jackdawpost.core.control.process import ControlState
from jackdawpost.core.effects import SetPeers
from jackdawpost.core.messages.peer import ControlGroup
from jackdawpost.core.outbox import log
from jackdawpost.core.outbox import send

# Time without an answer after which a voter counts as lost. A restart takes
# less.
VOTER_TIMEOUT_MS = 2_000.0
# Minimum interval between two changes of the voter set.
CHANGE_INTERVAL_MS = 100.0
# Time without a leader after which a voter opens links to all processes that
# it knows. It is longer than an election.
LEADERLESS_MS = 1_500.0
# Interval at which the leader sends the control group to its peers.
GROUP_NOTICE_INTERVAL_MS = 1_000.0


def advance_voters(state: ControlState) -> None:
    """Propose one change of the voter set if it is needed."""
    core = state.consensus
    if not state.cfg.voter_target or not core.leadership_won:
        return
    if state.now_ms < state.voters_due_ms:
        return
    state.voters_due_ms = state.now_ms + CHANGE_INTERVAL_MS
    if core.voter_sets[-1][0] > core.commit_index:
        return
    if core.voter_sets[-1][0] == 0:
        # The settings give only the initial voters; from the first leader on,
        # the log records them.
        state.consensus_effects.extend(
            consensus.record_voters(state.consensus, state.now_ms)
        )
        return
    change = _next_change(state)
    if change is None:
        return
    add, remove, reason = change
    log(
        state,
        'warning',
        'voters_change',
        add=add,
        remove=remove,
        reason=reason,
        voters=list(core.voters),
        learners=list(core.learners),
    )
    state.consensus_effects.extend(
        consensus.change_voters(core, state.now_ms, add=add, remove=remove)
    )
    if core.last_refusal:
        log(state, 'info', 'voters_unchanged', reason=core.last_refusal)


def _next_change(
    state: ControlState,
) -> tuple[str | None, str | None, str] | None:
    """Return the process to add, the one to remove, and why; None if none."""
    core = state.consensus
    for name in core.voters:
        progress = core.progress.get(name)
        if progress is not None and progress.newcomer_id:
            return None, name, 'voter restarted with an empty disk'
    for name in core.learners:
        if name not in state.peers:
            return None, name, 'learner disconnected before it had caught up'
    if core.learners:
        return None
    target = state.cfg.voter_target
    if len(core.voters) > target:
        for name in core.voters:
            if _is_lost(state, name) or name in state.leaving_peers:
                return None, name, 'replaced by a new voter'
        return None
    candidates = sorted(
        name
        for name in state.peers
        if name not in core.voters and name not in state.leaving_peers
    )
    if not candidates:
        return None
    if len(core.voters) < target:
        return candidates[0], None, 'fewer voters than the target'
    for name in core.voters:
        if _is_lost(state, name):
            return candidates[0], None, f'voter {name} does not answer'
        if name in state.leaving_peers:
            return candidates[0], None, f'voter {name} is stopping'
    return None


def _is_lost(state: ControlState, name: str) -> bool:
    progress = state.consensus.progress.get(name)
    if progress is None or name == state.cfg.name:
        return False
    return state.now_ms >= progress.last_answer_ms + VOTER_TIMEOUT_MS


def known_peers(state: ControlState) -> list[str]:
    """Return the voters and learners that this process knows of."""
    core = state.consensus
    return sorted({*core.voters, *core.learners, *state.group_voters})


def update_peer_links(state: ControlState) -> None:
    """Open links to the other processes of the control group.

    Of two voters, the one whose name sorts first opens the link. A process
    outside the group opens links to all processes that it knows of, and to
    the seeds.
    """
    if not state.cfg.voter_target:
        return
    core = state.consensus
    name = state.cfg.name
    if core.leader is not None:
        state.last_leader_ms = state.now_ms
    lacks_leader = state.now_ms >= state.last_leader_ms + LEADERLESS_MS
    # A process with an empty disk or without a leader may have been removed
    # from the group; the other processes then open no link to it.
    is_in_group = (
        (name in core.voters or name in core.learners)
        and not newcomer_id(core)
        and not lacks_leader
    )
    others = {*known_peers(state), *state.cfg.seeds} - {name}
    if is_in_group:
        others = {peer for peer in others if name < peer}
    peers = sorted(others)
    if peers != state.connected_peers:
        state.connected_peers = peers
        state.outbox.append(SetPeers(peers=peers))


def send_control_group(state: ControlState) -> None:
    """Send the voters and the leader to the connected control processes.

    Sent on every change, and regularly by the leader.
    """
    core = state.consensus
    if not state.cfg.voter_target or core.leader is None:
        return
    group = (core.leader, tuple(core.voters))
    is_due = (
        state.now_ms >= state.notify_group_due_ms and state.leader is not None
    )
    if group == state.notified_group and not is_due:
        return
    state.notified_group = group
    state.notify_group_due_ms = state.now_ms + GROUP_NOTICE_INTERVAL_MS
    message = ControlGroup(leader=core.leader, voters=list(core.voters))
    # Voters get it too: one that lost its disk does not know the group.
    for conn in state.peers.values():
        send(state, conn, message)


def handle_control_group(state: ControlState, message: ControlGroup) -> None:
    """Record the group as received from another control process.

    A voter ignores it, as its own log holds the voters.
    """
    if state.cfg.name in state.consensus.voters:
        return
    state.group_voters = list(message.voters)
    state.group_leader = message.leader
