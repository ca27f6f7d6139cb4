"""Replicas are stopped before a group that promises copies is promoted.

With `write_copies` above one, a commit is acknowledged once another database
holds it. A promotion must not choose a database that lacks such a commit, so
the replicas that are not chosen are stopped from receiving first: from then
on only the chosen one can let the old primary acknowledge anything. Control
has no connections to databases; proxies pass the requests on.
"""

from __future__ import annotations

from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.process import Freeze
from jackdawpost.core.control.process import LeaderState
from jackdawpost.core.control.state import Member
from jackdawpost.core.control.state import Promotion
from jackdawpost.core.messages.control import AskUpstream
from jackdawpost.core.messages.control import UpstreamTold
from jackdawpost.core.outbox import log
from jackdawpost.core.outbox import send
from jackdawpost.core.positions import LogPosition

# Pause between two attempts, each through another proxy.
ASK_PAUSE_MS = 200.0


def needs_freeze(state: ControlState, group: str) -> bool:
    """Tell whether a group's commits must survive a promotion."""
    settings = state.machine.objects.groups.get(group)
    return settings is not None and settings.write_copies > 1


def advance_freeze(
    state: ControlState,
    leader: LeaderState,
    group: str,
    promotion: Promotion,
    upstreams: dict[str, Member],
    term: int,
) -> Freeze:
    """Stop the replicas that are not chosen; ask again where it failed.

    Parameters
    ----------
    term : int
        Term above every one that the databases know.

    Returns
    -------
    Freeze
        What is known so far; `positions` holds the chosen one's position
        only once all others that answer have been stopped.
    """
    freeze = leader.freezes.get(group)
    if freeze is None or freeze.token != promotion.to_term:
        freeze = Freeze(token=promotion.to_term, term=term)
        leader.freezes[group] = freeze
    if state.now_ms < freeze.ask_ms:
        return freeze
    freeze.ask_ms = state.now_ms + ASK_PAUSE_MS
    primary = state.machine.groups[group].primary
    for name in sorted(upstreams):
        if name in (primary, promotion.chosen) or name in freeze.positions:
            continue
        _ask(state, leader, freeze, name, 'pause')
    _ask(state, leader, freeze, promotion.chosen or '', 'status')
    return freeze


def is_safe(
    state: ControlState,
    group: str,
    promotion: Promotion,
    freeze: Freeze,
    upstreams: dict[str, Member],
) -> bool:
    """Tell whether the chosen one holds every acknowledged commit."""
    chosen = freeze.positions.get(promotion.chosen or '')
    if chosen is None or not _are_enough(state, group, freeze, upstreams):
        return False
    return chosen >= max(freeze.positions.values())


def better_choice(
    state: ControlState,
    group: str,
    promotion: Promotion,
    freeze: Freeze,
    upstreams: dict[str, Member],
) -> str | None:
    """Return a stopped replica that holds more than the chosen one."""
    if not _are_enough(state, group, freeze, upstreams):
        return None
    best = max(freeze.positions, key=lambda name: freeze.positions[name])
    return None if best == promotion.chosen else best


def _are_enough(
    state: ControlState,
    group: str,
    freeze: Freeze,
    upstreams: dict[str, Member],
) -> bool:
    """Tell whether one that was heard holds each acknowledged commit."""
    copies = state.machine.objects.groups[group].write_copies
    return len(freeze.positions) >= len(upstreams) - copies + 1


def _ask(
    state: ControlState,
    leader: LeaderState,
    freeze: Freeze,
    upstream: str,
    action: str,
) -> None:
    """Pass a request on through the next proxy."""
    links = [state.links[conn] for conn in sorted(state.proxies.values())]
    served = [link for link in links if link.is_served]
    if not served:
        return
    freeze.attempts += 1
    link = served[freeze.attempts % len(served)]
    message = AskUpstream(
        upstream=upstream,
        action=action,  # type: ignore[arg-type]
        term=freeze.term,
        token=freeze.token,
    )
    send(state, link.conn, message)


def note_told(
    state: ControlState, leader: LeaderState, message: UpstreamTold
) -> None:
    """Take an upstream's answer."""
    for group, freeze in leader.freezes.items():
        if freeze.token != message.token:
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
        freeze.positions[message.upstream] = received
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


def release_frozen(
    state: ControlState, leader: LeaderState, group: str
) -> None:
    """Let the stopped replicas receive again."""
    freeze = leader.freezes.pop(group, None)
    if freeze is None:
        return
    for name in sorted(freeze.positions):
        _ask(state, leader, freeze, name, 'resume')
