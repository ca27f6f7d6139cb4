"""Pause of replication before the promotion of a group with copies.

With `write_copies` above 1, a commit is acknowledged once another database
holds it. A promotion must not choose a database that lacks such a commit.
Before the promotion is ordered, the replicas other than the chosen upstream
are therefore paused: they receive nothing more, so the old primary can only
acknowledge commits that the chosen upstream holds.
"""

from __future__ import annotations

from jackdawpost.core.control.commit_holders import is_known_to_run
from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.process import LeaderState
from jackdawpost.core.control.process import MemberKey
from jackdawpost.core.control.process import ReplicaPause
from jackdawpost.core.control.state import Member
from jackdawpost.core.control.state import Promotion
from jackdawpost.core.control.upstream_actions import REQUEST_INTERVAL_MS
from jackdawpost.core.control.upstream_actions import send_action
from jackdawpost.core.messages.control import UpstreamActionAnswer
from jackdawpost.core.outbox import log
from jackdawpost.core.positions import LogPosition

# Time in which the chosen upstream can answer through another proxy if one
# does not forward the request.
CHOSEN_ANSWER_MS = 1_000.0


def advance_pause(
    state: ControlState,
    leader: LeaderState,
    group: str,
    promotion: Promotion,
    upstreams: dict[str, Member],
    term: int,
) -> ReplicaPause:
    """Request the pause of the replicas that have not answered yet.

    The chosen upstream is told to receive, and then asked for its position. A
    primary that was demoted for an earlier promotion is paused like a replica.

    Parameters
    ----------
    term : int
        Term above every term that the databases know.

    Returns
    -------
    ReplicaPause
        The answers received so far.
    """
    pause = leader.replica_pauses.get(group)
    if pause is None or pause.token != promotion.to_term:
        pause = ReplicaPause(
            token=promotion.to_term, term=term, since_ms=state.now_ms
        )
        leader.replica_pauses[group] = pause
    if state.now_ms < pause.next_request_ms:
        return pause
    pause.next_request_ms = state.now_ms + REQUEST_INTERVAL_MS
    recorded = state.machine.groups[group]
    primary = (recorded.primary, recorded.primary_id)
    for name in sorted(upstreams):
        key = (name, upstreams[name].member_id)
        is_primary = key == primary and recorded.final_position is None
        if is_primary or name == promotion.chosen:
            continue
        if key in pause.positions:
            continue
        send_action(state, pause, name, 'pause')
    chosen = (promotion.chosen or '', promotion.data_id)
    # An earlier promotion, perhaps of another leader, may have paused it. If
    # all replicas stayed paused, a primary that returns could not acknowledge
    # any commit, nor could the chosen upstream catch up with it.
    if chosen in pause.positions:
        send_action(state, pause, chosen[0], 'status')
    else:
        send_action(state, pause, chosen[0], 'resume')
    return pause


def has_all_commits(
    state: ControlState,
    group: str,
    promotion: Promotion,
    pause: ReplicaPause,
    holders: set[MemberKey],
) -> bool:
    """Return whether the chosen upstream holds every acknowledged commit.

    Parameters
    ----------
    holders : set of tuple
        Result of `find_commit_holders`.
    """
    chosen = (promotion.chosen or '', promotion.data_id)
    chosen_position = pause.positions.get(chosen)
    if chosen_position is None or not _has_read_quorum(
        state, group, pause, holders
    ):
        return False
    return chosen_position >= max(pause.positions.values())


def find_newer_replica(
    state: ControlState,
    group: str,
    promotion: Promotion,
    pause: ReplicaPause,
    holders: set[MemberKey],
) -> str | None:
    """Return the replica with the highest position of those that answered.

    None if that is the chosen upstream, if too few have answered, or if the
    chosen upstream may still answer.
    """
    chosen = (promotion.chosen or '', promotion.data_id)
    is_early = state.now_ms < pause.since_ms + CHOSEN_ANSWER_MS
    if chosen not in pause.positions and is_early:
        return None
    if not pause.positions or not _has_read_quorum(
        state, group, pause, holders
    ):
        return None
    best = max(pause.positions, key=lambda key: pause.positions[key])
    return None if best[0] == promotion.chosen else best[0]


def _has_read_quorum(
    state: ControlState,
    group: str,
    pause: ReplicaPause,
    holders: set[MemberKey],
) -> bool:
    """Return whether some upstream that answered holds each commit.

    Each acknowledged commit is on `write_copies` of the holders, so any
    ``len(holders) - write_copies + 1`` of them include one that has it.
    """
    copies = state.machine.objects.groups[group].write_copies
    answered = len(holders & pause.positions.keys())
    return answered >= len(holders) - copies + 1


def log_missing_answers(
    state: ControlState,
    group: str,
    pause: ReplicaPause,
    holders: set[MemberKey],
) -> None:
    """Log which databases have not told their position, when that changes."""
    missing = sorted({name for name, _ in holders - pause.positions.keys()})
    if missing == pause.logged_missing:
        return
    pause.logged_missing = missing
    log(
        state,
        'info',
        'promotion_waits',
        group=group,
        token=pause.token,
        missing=missing,
        answered=sorted(name for name, _ in pause.positions),
        copies=state.machine.objects.groups[group].write_copies,
    )


def record_position(
    state: ControlState, leader: LeaderState, message: UpstreamActionAnswer
) -> None:
    """Record the position that an upstream answered.

    Only the answers to ``'pause'`` of the other replicas and to ``'status'``
    or ``'resume'`` of the chosen upstream count. A pause does not stop a
    primary, which goes on to acknowledge commits with the copies of databases
    that have not answered.
    """
    for group, pause in leader.replica_pauses.items():
        if pause.token != message.token:
            continue
        member = state.machine.members.get(message.upstream)
        if member is None or member.group != group:
            continue
        key = (message.upstream, member.member_id)
        promotion = state.machine.groups[group].promotion
        if promotion is None:
            if message.action == 'resume':
                pause.to_resume.discard(key)
            continue
        is_chosen = promotion is not None and (
            promotion.chosen == message.upstream
        )
        if (message.action == 'pause') == is_chosen:
            continue
        if message.leads and not is_chosen:
            continue
        if message.action == 'pause' and (
            message.term >= message.requested_term
        ):
            # The upstream has ignored the pause: the proxies have not
            # reported the newest term yet.
            pause.term = max(pause.term, message.term + 1)
            continue
        if not is_known_to_run(leader, member):
            continue
        received = LogPosition(*message.received)
        if pause.positions.get(key) == received:
            continue
        pause.positions[key] = received
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


def begin_resume(
    leader: LeaderState, group: str, upstreams: dict[str, Member], token: int
) -> None:
    """Note that all replicas must resume after a promotion has ended.

    Another leader, or a request whose answer was lost, may have paused any of
    them. The platform resumes them only if it has changed the primary.
    """
    pause = leader.replica_pauses.setdefault(
        group, ReplicaPause(token=token, term=0)
    )
    pause.next_request_ms = 0.0
    pause.to_resume = {
        (name, member.member_id) for name, member in upstreams.items()
    }


def repeat_resume(
    state: ControlState, leader: LeaderState, group: str
) -> None:
    """Request that replicas resume, until each has answered.

    A primary with copies cannot acknowledge any commit while all of its
    replicas are paused.
    """
    pause = leader.replica_pauses.get(group)
    if pause is None or state.now_ms < pause.next_request_ms:
        return
    members = state.machine.members
    pause.to_resume = {
        (name, member_id)
        for name, member_id in pause.to_resume
        if name in members and members[name].member_id == member_id
    }
    if not pause.to_resume:
        del leader.replica_pauses[group]
        return
    pause.next_request_ms = state.now_ms + REQUEST_INTERVAL_MS
    for name, _ in sorted(pause.to_resume):
        send_action(state, pause, name, 'resume')
