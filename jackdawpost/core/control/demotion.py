"""Demotion of upstreams before a promotion is ordered.

Without fencing, a primary that was replaced while it was cut off goes on to
lead in its old term. If it is promoted again, it would answer as primary as
soon as control publishes it, before the platform has carried out the order:
its commits would be lost with the old term. Before the order it is therefore
demoted, so that it leads again only in the new term.

In a group with copies the primary that is to be replaced is demoted as well.
An order can't be called back, and takes some time. Until it takes effect, a
replica that returns, or one that nobody knows yet, would let a primary that
runs acknowledge commits that the chosen upstream has not received.
"""

from __future__ import annotations

from jackdawpost.core.control.commands import RecordFinalPosition
from jackdawpost.core.control.commit_holders import is_known_to_run
from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.process import ForwardedRequests
from jackdawpost.core.control.process import LeaderState
from jackdawpost.core.control.process import MemberKey
from jackdawpost.core.control.process import PrimaryDemotion
from jackdawpost.core.control.process import propose
from jackdawpost.core.control.state import Promotion
from jackdawpost.core.control.upstream_actions import REQUEST_INTERVAL_MS
from jackdawpost.core.control.upstream_actions import send_action
from jackdawpost.core.messages.control import UpstreamActionAnswer
from jackdawpost.core.outbox import log
from jackdawpost.core.positions import LogPosition

# A primary that answers probes but not this is not waited for any longer. The
# replicas are paused, so that only one that has just started could help it.
DEMOTION_TIMEOUT_MS = 2_000.0


def needs_demotion(state: ControlState, promotion: Promotion) -> bool:
    """Return whether the chosen upstream may have led before.

    No upstream other than the adopted first primary has led before the first
    promotion of a group.
    """
    return state.cfg.write_leases and promotion.to_term > 2


def advance_demotion(
    state: ControlState,
    leader: LeaderState,
    group: str,
    promotion: Promotion,
    term: int,
) -> bool:
    """Demote the chosen upstream; return whether it is known not to lead.

    Parameters
    ----------
    term : int
        Term above every term that the databases are known to have.
    """
    demotion = leader.demotions.get(group)
    if demotion is None or demotion.token != promotion.to_term:
        demotion = ForwardedRequests(token=promotion.to_term, term=term)
        leader.demotions[group] = demotion
    if demotion.is_confirmed:
        return True
    demotion.term = max(demotion.term, term)
    if state.now_ms >= demotion.next_request_ms:
        demotion.next_request_ms = state.now_ms + REQUEST_INTERVAL_MS
        send_action(state, demotion, promotion.chosen or '', 'demote')
    return False


def record_demotion(
    state: ControlState, leader: LeaderState, message: UpstreamActionAnswer
) -> None:
    """Record that an upstream does not lead, if it has answered so."""
    member = state.machine.members.get(message.upstream)
    group = member.group if member is not None else ''
    demotion = leader.demotions.get(group)
    if demotion is None or demotion.token != message.token:
        return
    promotion = state.machine.groups[group].promotion
    if promotion is None or promotion.chosen != message.upstream:
        return
    log(
        state,
        'info',
        'upstream_demoted',
        group=group,
        upstream=message.upstream,
        token=message.token,
        leads=message.leads,
    )
    demotion.is_confirmed = not message.leads


def demote_primaries(
    state: ControlState,
    leader: LeaderState,
    group: str,
    promotion: Promotion,
    primaries: set[MemberKey],
    term: int,
) -> PrimaryDemotion:
    """Request the demotion of the upstreams that may lead.

    An incarnation that has not been asked before is asked at once.

    Parameters
    ----------
    primaries : set of tuple
        Upstreams other than the chosen one, by name and identity.
    term : int
        Term above every term that the databases are known to have.

    Returns
    -------
    PrimaryDemotion
        The answers received so far.
    """
    demotion = leader.primary_demotions.get(group)
    if demotion is None or demotion.token != promotion.to_term:
        demotion = PrimaryDemotion(
            token=promotion.to_term, term=term, since_ms=state.now_ms
        )
        leader.primary_demotions[group] = demotion
    demotion.term = max(demotion.term, term)
    due = primaries - demotion.demoted.keys()
    if state.now_ms < demotion.next_request_ms:
        due -= demotion.requested
    else:
        demotion.next_request_ms = state.now_ms + REQUEST_INTERVAL_MS
    demotion.requested |= due
    for name, _ in sorted(due):
        send_action(state, demotion, name, 'demote')
    _propose_final_position(state, group, primaries, demotion)
    return demotion


def has_waited_for_demotion(
    state: ControlState,
    group: str,
    demotion: PrimaryDemotion,
    running: list[str],
) -> bool:
    """Return whether upstreams have left the requests unanswered for long."""
    if state.now_ms < demotion.since_ms + DEMOTION_TIMEOUT_MS:
        return False
    if not demotion.is_overdue:
        demotion.is_overdue = True
        log(
            state,
            'warning',
            'primary_not_demoted',
            group=group,
            token=demotion.token,
            upstreams=running,
            waited_ms=round(state.now_ms - demotion.since_ms),
        )
    return True


def _propose_final_position(
    state: ControlState,
    group: str,
    primaries: set[MemberKey],
    demotion: PrimaryDemotion,
) -> None:
    """Record where the log ends once nobody can acknowledge a commit.

    If the promotion is given up, the copies of databases that do not return
    would be waited for otherwise, and there is no primary that could return.
    """
    if not primaries or not primaries <= demotion.demoted.keys():
        return
    position = max(demotion.demoted[key] for key in primaries)
    if state.machine.groups[group].final_position != position:
        command = RecordFinalPosition(group=group, position=position)
        propose(state, f'final/{group}', command)


def record_primary_demotion(
    state: ControlState, leader: LeaderState, message: UpstreamActionAnswer
) -> None:
    """Record that a primary that is to be replaced does not lead any more."""
    member = state.machine.members.get(message.upstream)
    if member is None or message.action != 'demote':
        return
    demotion = leader.primary_demotions.get(member.group)
    if demotion is None or demotion.token != message.token:
        return
    if message.leads:
        demotion.term = max(demotion.term, message.term + 1)
        return
    if not is_known_to_run(leader, member):
        return
    key = (member.name, member.member_id)
    demotion.demoted[key] = LogPosition(*message.received)
    log(
        state,
        'info',
        'primary_demoted',
        group=member.group,
        upstream=member.name,
        token=message.token,
        received=list(message.received),
    )
