"""Demotion of an upstream that is about to be promoted again.

Without fencing, a primary that was replaced while it was cut off goes on to
lead in its old term. If it is promoted again, it would answer as primary as
soon as control publishes it, before the platform has carried out the order:
its commits would be lost with the old term. Before the order it is therefore
demoted, so that it leads again only in the new term.
"""

from __future__ import annotations

from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.process import ForwardedRequests
from jackdawpost.core.control.process import LeaderState
from jackdawpost.core.control.state import Promotion
from jackdawpost.core.control.upstream_actions import REQUEST_INTERVAL_MS
from jackdawpost.core.control.upstream_actions import send_action
from jackdawpost.core.messages.control import UpstreamActionAnswer
from jackdawpost.core.outbox import log


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
