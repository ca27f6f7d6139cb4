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
    if primaries and primaries <= demotion.demoted.keys():
        _record_end(state, leader, group, promotion, demotion)
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


def _record_end(
    state: ControlState,
    leader: LeaderState,
    group: str,
    promotion: Promotion,
    demotion: PrimaryDemotion,
) -> None:
    """Record where the log ends once nobody can acknowledge a commit.

    If the promotion is given up, the copies of databases that do not return
    would be waited for otherwise, and there is no primary that could return.
    The chosen upstream is asked again: it had every acknowledged commit when
    the primary was demoted, while the end of the primary's log may be a commit
    without a copy.
    """
    if demotion.recorded == demotion.demoted.keys():
        return
    demotion.recorded = set(demotion.demoted)
    _propose_end(state, group, max(demotion.demoted.values()))
    pause = leader.replica_pauses.get(group)
    if pause is not None and pause.token == promotion.to_term:
        pause.term += 1
        demotion.status_term = pause.term
        send_action(state, pause, promotion.chosen or '', 'status')


def _propose_end(
    state: ControlState, group: str, position: LogPosition
) -> None:
    command = RecordFinalPosition(group=group, position=position)
    propose(state, f'final/{group}/{position}', command)


def record_chosen_position(
    state: ControlState, leader: LeaderState, message: UpstreamActionAnswer
) -> None:
    """Record what the chosen upstream has after the demotion of the primary.

    Every other replica was paused before, so that it has every commit which
    was acknowledged.
    """
    member = state.machine.members.get(message.upstream)
    demotion = leader.primary_demotions.get(member.group if member else '')
    if member is None or demotion is None or demotion.token != message.token:
        return
    promotion = state.machine.groups[member.group].promotion
    if (
        promotion is None
        or (promotion.chosen, promotion.data_id)
        != (member.name, member.member_id)
        or not demotion.status_term
        or message.requested_term < demotion.status_term
        or demotion.requested - demotion.recorded
        or not is_known_to_run(leader, member)
    ):
        return
    received = LogPosition(*message.received)
    if received < max(demotion.demoted.values()):
        _propose_end(state, member.group, received)


def record_primary_demotion(
    state: ControlState, leader: LeaderState, message: UpstreamActionAnswer
) -> None:
    """Record that a primary that is to be replaced does not lead any more."""
    registered = leader.registered.get(message.upstream)
    if registered is None or message.action != 'demote':
        return
    report = registered.report
    demotion = leader.primary_demotions.get(report.group)
    if demotion is None or demotion.token != message.token:
        return
    if message.leads:
        demotion.term = max(demotion.term, message.term + 1)
        return
    refused_ms = leader.refused_ms.get(report.name)
    if refused_ms is not None and registered.last_contact_ms <= refused_ms:
        # Another incarnation may run that has not been reported yet.
        return
    key = (report.name, str(report.started_ms))
    demotion.demoted[key] = LogPosition(*message.received)
    log(
        state,
        'info',
        'primary_demoted',
        group=report.group,
        upstream=report.name,
        token=message.token,
        received=list(message.received),
    )
