"""The set of voters follows the control processes that run.

A voter that lost its disk is removed and admitted again under its new
identity; one that is lost, or stops, is replaced as soon as another control
process offers itself. The set is never made smaller otherwise: a voter that
returns with its disk goes on voting.
"""

from __future__ import annotations

from jackdawpost.core.consensus import process as consensus
from jackdawpost.core.consensus.state import newcomer_id
from jackdawpost.core.control.process import ControlState
from jackdawpost.core.effects import SetPeers
from jackdawpost.core.messages.peer import ControlGroup
from jackdawpost.core.outbox import log
from jackdawpost.core.outbox import send

# Time without an answer after which a voter is replaced if another process
# is there. A restart takes less.
VOTER_LOST_MS = 2_000.0
# Pause between two changes of the voter set.
CHANGE_PAUSE_MS = 100.0
# Time without a leader after which a voter opens links to all others, longer
# than an election.
LONE_MS = 1_500.0
# Pause between two notes of the group to processes that follow it.
TELL_PAUSE_MS = 1_000.0


def advance_voters(state: ControlState) -> None:
    """Make one change to the voter set if it needs one."""
    core = state.consensus
    if not state.cfg.voter_target or not core.won:
        return
    if state.now_ms < state.voters_due_ms:
        return
    state.voters_due_ms = state.now_ms + CHANGE_PAUSE_MS
    if core.configs[-1][0] > core.commit_index:
        return
    if core.configs[-1][0] == 0:
        # The settings name only the first voters; later the log must.
        state.queue.extend(
            consensus.record_voters(state.consensus, state.now_ms)
        )
        return
    change = _next_change(state)
    if change is None:
        return
    add, remove, why = change
    log(
        state,
        'warning',
        'voters_change',
        add=add,
        remove=remove,
        reason=why,
        voters=list(core.voters),
        learners=list(core.learners),
    )
    state.queue.extend(
        consensus.change_voters(core, state.now_ms, add=add, remove=remove)
    )
    if core.last_refusal:
        log(state, 'info', 'voters_unchanged', reason=core.last_refusal)


def _next_change(
    state: ControlState,
) -> tuple[str | None, str | None, str] | None:
    core = state.consensus
    for name in core.voters:
        progress = core.progress.get(name)
        if progress is not None and progress.newcomer_id:
            return None, name, 'lost its disk'
    for name in core.learners:
        if name not in state.peers:
            return None, name, 'gone before it had caught up'
    if core.learners:
        return None
    target = state.cfg.voter_target
    if len(core.voters) > target:
        for name in core.voters:
            if _is_lost(state, name) or name in state.leaving_peers:
                return None, name, 'replaced'
        return None
    candidates = sorted(
        name
        for name in state.peers
        if name not in core.voters and name not in state.leaving_peers
    )
    if not candidates:
        return None
    if len(core.voters) < target:
        return candidates[0], None, 'too few voters'
    for name in core.voters:
        if _is_lost(state, name):
            return candidates[0], None, f'{name} is lost'
        if name in state.leaving_peers:
            return candidates[0], None, f'{name} stops'
    return None


def _is_lost(state: ControlState, name: str) -> bool:
    progress = state.consensus.progress.get(name)
    if progress is None or name == state.cfg.name:
        return False
    return state.now_ms >= progress.ack_ms + VOTER_LOST_MS


def known_peers(state: ControlState) -> list[str]:
    """Return the control processes that this one knows."""
    core = state.consensus
    return sorted({*core.voters, *core.learners, *state.group_voters})


def follow_group(state: ControlState) -> None:
    """Stay connected to the other processes of the control group.

    Of two voters, the one whose name sorts first opens the link; a process
    outside the group opens links to all that it knows.
    """
    if not state.cfg.voter_target:
        return
    core = state.consensus
    name = state.cfg.name
    if core.leader is not None:
        state.leader_seen_ms = state.now_ms
    is_lone = state.now_ms >= state.leader_seen_ms + LONE_MS
    # One with an empty disk, or that hears no leader, may have been removed:
    # the others then open no link to it.
    is_inside = (
        (name in core.voters or name in core.learners)
        and not newcomer_id(core)
        and not is_lone
    )
    wanted = {*known_peers(state), *state.cfg.seeds} - {name}
    if is_inside:
        wanted = {peer for peer in wanted if name < peer}
    peers = sorted(wanted)
    if peers != state.connected_peers:
        state.connected_peers = peers
        state.outbox.append(SetPeers(peers=peers))


def tell_group(state: ControlState) -> None:
    """Tell connected control processes of the group and its leader."""
    core = state.consensus
    if not state.cfg.voter_target or core.leader is None:
        return
    told = (core.leader, tuple(core.voters))
    is_due = (
        state.now_ms >= state.notify_group_due_ms and state.leader is not None
    )
    if told == state.notified_group and not is_due:
        return
    state.notified_group = told
    state.notify_group_due_ms = state.now_ms + TELL_PAUSE_MS
    message = ControlGroup(leader=core.leader, voters=list(core.voters))
    # A voter may have lost its disk, and know nothing of the group.
    for conn in state.peers.values():
        send(state, conn, message)


def take_group(state: ControlState, message: ControlGroup) -> None:
    """Take what another control process says of the group."""
    if state.cfg.name in state.consensus.voters:
        return
    state.group_voters = list(message.voters)
    state.group_leader = message.leader
