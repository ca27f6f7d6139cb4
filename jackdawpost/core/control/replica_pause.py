"""Replicas are stopped before a group that promises copies is promoted.

With `write_copies` above one, a commit is acknowledged once another database
holds it. A promotion must not choose a database that lacks such a commit, so
the replicas that are not chosen are stopped from receiving first: from then
on only the chosen one can let the old primary acknowledge anything. Control
has no connections to databases; proxies pass the requests on.
"""

from __future__ import annotations

from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.process import LeaderState
from jackdawpost.core.control.process import ReplicaPause
from jackdawpost.core.control.state import Member
from jackdawpost.core.control.state import Promotion
from jackdawpost.core.messages.control import UpstreamAction
from jackdawpost.core.messages.control import UpstreamActionAnswer
from jackdawpost.core.outbox import log
from jackdawpost.core.outbox import send
from jackdawpost.core.positions import LogPosition

# Pause between two attempts, each through another proxy.
ASK_PAUSE_MS = 200.0


def needs_pause(state: ControlState, group: str) -> bool:
    """Tell whether a group's commits must survive a promotion."""
    settings = state.machine.objects.groups.get(group)
    return settings is not None and settings.write_copies > 1


def advance_pause(
    state: ControlState,
    leader: LeaderState,
    group: str,
    promotion: Promotion,
    upstreams: dict[str, Member],
    term: int,
) -> ReplicaPause:
    """Stop the replicas that are not chosen; ask again where it failed.

    Parameters
    ----------
    term : int
        Term above every one that the databases know.

    Returns
    -------
    ReplicaPause
        What is known so far; `positions` holds the chosen one's position
        only once all others that answer have been stopped.
    """
    pause = leader.replica_pauses.get(group)
    if pause is None or pause.token != promotion.to_term:
        pause = ReplicaPause(token=promotion.to_term, term=term)
        leader.replica_pauses[group] = pause
    if state.now_ms < pause.next_request_ms:
        return pause
    pause.next_request_ms = state.now_ms + ASK_PAUSE_MS
    primary = state.machine.groups[group].primary
    for name in sorted(upstreams):
        if name in (primary, promotion.chosen) or name in pause.positions:
            continue
        _ask(state, leader, pause, name, 'pause')
    _ask(state, leader, pause, promotion.chosen or '', 'status')
    return pause


def is_safe(
    state: ControlState,
    group: str,
    promotion: Promotion,
    pause: ReplicaPause,
    upstreams: dict[str, Member],
) -> bool:
    """Tell whether the chosen one holds every acknowledged commit."""
    chosen = pause.positions.get(promotion.chosen or '')
    if chosen is None or not _are_enough(state, group, pause, upstreams):
        return False
    return chosen >= max(pause.positions.values())


def better_choice(
    state: ControlState,
    group: str,
    promotion: Promotion,
    pause: ReplicaPause,
    upstreams: dict[str, Member],
) -> str | None:
    """Return a stopped replica that holds more than the chosen one."""
    if not _are_enough(state, group, pause, upstreams):
        return None
    best = max(pause.positions, key=lambda name: pause.positions[name])
    return None if best == promotion.chosen else best


def _are_enough(
    state: ControlState,
    group: str,
    pause: ReplicaPause,
    upstreams: dict[str, Member],
) -> bool:
    """Tell whether one that was heard holds each acknowledged commit."""
    copies = state.machine.objects.groups[group].write_copies
    return len(pause.positions) >= len(upstreams) - copies + 1


def _ask(
    state: ControlState,
    leader: LeaderState,
    pause: ReplicaPause,
    upstream: str,
    action: str,
) -> None:
    """Pass a request on through the next proxy."""
    links = [state.links[conn] for conn in sorted(state.proxies.values())]
    served = [link for link in links if link.is_served]
    if not served:
        return
    pause.attempts += 1
    link = served[pause.attempts % len(served)]
    message = UpstreamAction(
        upstream=upstream,
        action=action,  # type: ignore[arg-type]
        term=pause.term,
        token=pause.token,
    )
    send(state, link.conn, message)


def record_action_answer(
    state: ControlState, leader: LeaderState, message: UpstreamActionAnswer
) -> None:
    """Take an upstream's answer."""
    for group, pause in leader.replica_pauses.items():
        if pause.token != message.token:
            continue
        member = state.machine.members.get(message.upstream)
        if member is None or member.group != group:
            continue
        promotion = state.machine.groups[group].promotion
        is_chosen = promotion is not None and (
            promotion.chosen == message.upstream
        )
        if is_chosen == (message.action == 'pause'):
            continue
        received = LogPosition(*message.received)
        pause.positions[message.upstream] = received
        log(
            state,
            'info',
            'upstream_told',
            group=group,
            upstream=message.upstream,
            action=message.action,
            token=message.token,
            received=list(received),
        )


def resume_replicas(
    state: ControlState, leader: LeaderState, group: str
) -> None:
    """Let the stopped replicas receive again."""
    pause = leader.replica_pauses.pop(group, None)
    if pause is None:
        return
    for name in sorted(pause.positions):
        _ask(state, leader, pause, name, 'resume')
