"""Delegated promotions: decided by the leader, carried out by the platform.

The leader orders a promotion from the deployment's platform. Each order
carries a fencing token assigned by the replicated state. An order of an
earlier leader, or an order carried out late, therefore cannot undo a later
one. A new leader never uses a token of another holder.
"""

from __future__ import annotations

from jackdawpost.core.control import failure_detector
from jackdawpost.core.control.commands import AbandonPromotion
from jackdawpost.core.control.commands import AdoptPrimary
from jackdawpost.core.control.commands import DelegatePromotion
from jackdawpost.core.control.commands import FinishPromotion
from jackdawpost.core.control.commit_holders import find_commit_holders
from jackdawpost.core.control.commit_holders import track_absent_replicas
from jackdawpost.core.control.demotion import advance_demotion
from jackdawpost.core.control.demotion import demote_primaries
from jackdawpost.core.control.demotion import has_waited_for_demotion
from jackdawpost.core.control.demotion import needs_demotion
from jackdawpost.core.control.leases import end_leases
from jackdawpost.core.control.leases import is_leadership_recent
from jackdawpost.core.control.observations import find_leading_upstream
from jackdawpost.core.control.observations import find_possible_primaries
from jackdawpost.core.control.observations import find_returned_primary
from jackdawpost.core.control.observations import fresh_observations
from jackdawpost.core.control.observations import has_failed
from jackdawpost.core.control.observations import has_stopped_leading
from jackdawpost.core.control.observations import highest_term
from jackdawpost.core.control.observations import is_seen_leading
from jackdawpost.core.control.observations import leads_in_new_term
from jackdawpost.core.control.observations import received_position
from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.process import is_leaving
from jackdawpost.core.control.process import LeaderState
from jackdawpost.core.control.process import PromotionOrder
from jackdawpost.core.control.process import propose
from jackdawpost.core.control.replica_pause import advance_pause
from jackdawpost.core.control.replica_pause import begin_resume
from jackdawpost.core.control.replica_pause import find_newer_replica
from jackdawpost.core.control.replica_pause import has_all_commits
from jackdawpost.core.control.replica_pause import log_missing_answers
from jackdawpost.core.control.replica_pause import repeat_resume
from jackdawpost.core.control.state import GroupState
from jackdawpost.core.control.state import Member
from jackdawpost.core.control.state import Promotion
from jackdawpost.core.control.upstream_actions import needs_replica_copies
from jackdawpost.core.effects import OrderPromotion
from jackdawpost.core.events import PromotionEnded
from jackdawpost.core.outbox import log

# Grace period before a group without a primary gets one by promotion: the
# primary may be running, with no report of it received yet.
NO_PRIMARY_GRACE_MS = 3_000.0
# Interval at which an order without a known outcome is repeated.
ORDER_RETRY_MS = 1_000.0
# Time after which an order has its outcome, known or not.
ORDER_TIMEOUT_MS = 3_000.0
# Cool-down before a replaced primary may be adopted again. The new primary
# takes up to 1 s to lead, and a proxy that was suspended for seconds then
# reports what it saw before.
READOPTION_COOLDOWN_MS = 5_000.0
# A proxy from which the control processes receive nothing is removed as a
# member, but may still reach the primary. It stays in the electorate for this
# time; after a longer partition it counts as lost.
ELECTORATE_RETENTION_MS = 10_000.0
# Interval at which the members that are proxies are counted.
ELECTORATE_INTERVAL_MS = 100.0
# Interval at which all groups are reconsidered. Groups with a running
# promotion or a suspected upstream do not wait for it.
GROUP_SWEEP_INTERVAL_MS = 500.0
# Cool-down before an upstream is a candidate again after it failed, an order
# for it was refused, or another replica had received more.
CANDIDATE_COOLDOWN_MS = 3_000.0


def advance_delegated_groups(
    state: ControlState, leader: LeaderState, is_tick: bool
) -> None:
    """Advance the promotions of the groups that may need it.

    After an event these are the groups that it has changed. At a tick they
    are also those that wait for a time to pass, and in intervals all of them.
    """
    _update_electorate(state, leader)
    names = leader.dirty_groups
    leader.dirty_groups = set()
    if is_tick:
        names |= leader.suspect_groups | _unsettled_groups(state)
        names |= leader.replica_pauses.keys()
    if state.now_ms >= leader.next_group_sweep_ms:
        leader.next_group_sweep_ms = state.now_ms + GROUP_SWEEP_INTERVAL_MS
        names |= state.machine.groups.keys()
        leader.suspect_groups = _suspect_groups(state, leader)
    for name in sorted(names & state.machine.groups.keys()):
        group = state.machine.groups[name]
        upstreams = _joined_upstreams(state, leader, name)
        if not upstreams:
            continue
        track_absent_replicas(state, leader, name, upstreams)
        if _group_key(name) in leader.proposed:
            # The promotion may have been given up: no order may follow.
            leader.dirty_groups.add(name)
            continue
        if group.promotion is not None:
            leader.without_primary_since_ms.pop(name, None)
            _advance_promotion(state, leader, name, group, upstreams)
            continue
        if _adopt_primary(state, leader, name, group, upstreams):
            continue
        reason = _replacement_reason(state, leader, name, group, upstreams)
        if reason:
            _propose_promotion(state, leader, name, group, upstreams, reason)
        else:
            repeat_resume(state, leader, name)


def _group_key(group: str) -> str:
    """Return the key of all proposals that change the state of a group."""
    return f'group/{group}'


def _unsettled_groups(state: ControlState) -> set[str]:
    """Return the groups that wait for a time or for the next request."""
    return {
        name
        for name, group in state.machine.groups.items()
        if group.promotion is not None
        or group.primary is None
        or is_leaving(state, group.primary)
        or any(former.limit is None for former in group.former_holders)
    }


def _suspect_groups(state: ControlState, leader: LeaderState) -> set[str]:
    """Return the groups with an upstream that some proxy sees as not up."""
    members = state.machine.members
    return {
        members[name].group
        for name in leader.detector.suspecting
        if name in members
    }


def _joined_upstreams(
    state: ControlState, leader: LeaderState, group: str
) -> dict[str, Member]:
    members = state.machine.members
    return {
        name: members[name] for name in leader.group_upstreams.get(group, ())
    }


def _adopt_primary(
    state: ControlState,
    leader: LeaderState,
    name: str,
    group: GroupState,
    upstreams: dict[str, Member],
) -> bool:
    """Adopt the upstream that leads according to the proxies' reports.

    Returns
    -------
    bool
        Whether the recorded primary differs from the one that leads.
    """
    leading = find_leading_upstream(state, leader, group, upstreams)
    if leading is None:
        return False
    upstream = leading[1]
    member_id = upstreams[upstream].member_id
    if (group.primary, group.primary_id) == (upstream, member_id):
        return False
    index = propose(
        state,
        _group_key(name),
        AdoptPrimary(group=name, upstream=upstream, data_id=member_id),
    )
    if index is not None:
        log(
            state,
            'info',
            'primary_adopted',
            group=name,
            upstream=upstream,
            before=group.primary,
            term=leading[0],
        )
    return True


def _replacement_reason(
    state: ControlState,
    leader: LeaderState,
    name: str,
    group: GroupState,
    upstreams: dict[str, Member],
) -> str:
    """Return why the primary must be replaced; empty if it need not be."""
    now_ms = state.now_ms
    is_demoted = needs_replica_copies(state, name) and has_stopped_leading(
        state, leader, group.primary or ''
    )
    if group.primary is None or is_demoted:
        since_ms = leader.without_primary_since_ms.setdefault(name, now_ms)
        if now_ms >= since_ms + NO_PRIMARY_GRACE_MS:
            return 'no primary'
    else:
        leader.without_primary_since_ms.pop(name, None)
    if group.primary is None:
        return ''
    member = upstreams.get(group.primary)
    if member is None or member.member_id != group.primary_id:
        return 'primary is not a member'
    if has_failed(state, leader, group.primary):
        return 'primary failed'
    if is_leaving(state, group.primary):
        return 'primary leaving'
    return ''


def _propose_promotion(
    state: ControlState,
    leader: LeaderState,
    name: str,
    group: GroupState,
    upstreams: dict[str, Member],
    reason: str,
    chosen: str | None = None,
) -> None:
    """Propose the promotion of an upstream under a new token.

    Parameters
    ----------
    chosen : str, optional
        Upstream to promote; by default the best candidate.
    """
    chosen = chosen or _choose_candidate(state, leader, name, upstreams)
    if chosen is None:
        return
    token = group.last_term + 1
    command = DelegatePromotion(
        group=name,
        token=token,
        holder=state.cfg.holder,
        upstream=chosen,
        data_id=upstreams[chosen].member_id,
        reason=reason,
        superseded_term=highest_term(state, leader, upstreams),
    )
    if propose(state, _group_key(name), command) is not None:
        log(
            state,
            'warning',
            'promotion_started',
            group=name,
            before=group.primary,
            upstream=chosen,
            token=token,
            reason=reason,
            received=list(received_position(state, leader, chosen)),
        )


def _choose_candidate(
    state: ControlState,
    leader: LeaderState,
    group_name: str,
    upstreams: dict[str, Member],
) -> str | None:
    """Return the candidate with the highest received position.

    Candidates are all upstreams except the recorded primary, leaving ones,
    those without recent observations, and those that have failed or are
    excluded. In a group with copies the primary is one if it was demoted for a
    promotion that was given up, and leaving ones are if no primary runs: the
    others may lack commits. At equal positions the upstream in the data centre
    with most proxies is preferred, which keeps the latency of their writes
    low.
    """
    candidates = []
    group = state.machine.groups[group_name]
    # Without a primary, no other upstream can catch up with one that leaves.
    accepts_leaving = needs_replica_copies(
        state, group_name
    ) and not _can_primary_run(state, leader, group, upstreams)
    for name in sorted(upstreams):
        identity = (name, upstreams[name].member_id)
        is_primary = identity == (group.primary, group.primary_id)
        if is_primary and group.final_position is None:
            continue
        if is_leaving(state, name) and not accepts_leaving:
            continue
        if not fresh_observations(state, leader, name):
            continue
        if state.now_ms < leader.excluded_until_ms.get(name, 0):
            continue
        if failure_detector.is_doubted(leader.detector, state.now_ms, name):
            continue
        candidates.append(name)
    proxy_counts = _proxies_by_data_centre(state)
    return max(
        candidates,
        key=lambda name: (
            received_position(state, leader, name),
            not is_leaving(state, name),
            proxy_counts.get(upstreams[name].data_centre, 0),
        ),
        default=None,
    )


def _proxies_by_data_centre(state: ControlState) -> dict[str, int]:
    counts: dict[str, int] = {}
    for member in state.machine.members.values():
        if member.role == 'proxy':
            counts[member.data_centre] = counts.get(member.data_centre, 0) + 1
    return counts


def _advance_promotion(
    state: ControlState,
    leader: LeaderState,
    name: str,
    group: GroupState,
    upstreams: dict[str, Member],
) -> None:
    promotion = group.promotion
    assert promotion is not None
    chosen = promotion.chosen or ''
    member = upstreams.get(chosen)
    if member is None or member.member_id != promotion.data_id:
        reason = 'chosen upstream is no longer a member'
        _abandon_promotion(state, leader, name, promotion, reason)
        return
    order = _current_order(leader, name, promotion)
    if order is not None and not order.outcome:
        # A primary may return while the order is under way.
        _are_primaries_demoted(state, leader, name, promotion, upstreams)
    if order is not None and (
        order.outcome == 'done'
        or leads_in_new_term(state, leader, group, chosen)
    ):
        _finish_promotion(state, leader, name, promotion.to_term)
    elif promotion.holder != state.cfg.holder or (
        promotion.to_term not in leader.own_tokens
    ):
        # The token belongs to another holder, or to an earlier leadership of
        # this process, whose order may still be carried out.
        _propose_promotion(
            state, leader, name, group, upstreams, promotion.reason
        )
    elif order is not None and order.outcome == 'refused':
        _abandon_for_other(state, leader, name, promotion, order.detail)
    elif order is None and not _is_order_safe(
        state, leader, name, promotion, upstreams
    ):
        return
    elif not is_leadership_recent(state, leader, name):
        return
    elif order is not None and (state.now_ms < order.sent_ms + ORDER_RETRY_MS):
        return
    elif order is not None and has_failed(state, leader, chosen):
        reason = 'chosen upstream failed'
        _abandon_for_other(state, leader, name, promotion, reason)
    elif not _is_order_under_way(state, leader, name):
        _send_order(state, leader, name, chosen, promotion.to_term)


def _is_order_under_way(
    state: ControlState, leader: LeaderState, name: str
) -> bool:
    """Return whether an order of a group with copies has no outcome yet.

    Carried out late, it would let its upstream lead again while the next
    order is under way, which then loses what that has acknowledged.
    """
    if not needs_replica_copies(state, name):
        return False
    sent_ms = leader.unanswered_order_ms.get(name)
    return sent_ms is not None and state.now_ms < sent_ms + ORDER_TIMEOUT_MS


def _current_order(
    leader: LeaderState, group: str, promotion: Promotion
) -> PromotionOrder | None:
    """Return the latest order under the token of a promotion."""
    order = leader.orders.get(group)
    if order is None or order.token != promotion.to_term:
        return None
    return order


def _is_order_safe(
    state: ControlState,
    leader: LeaderState,
    name: str,
    promotion: Promotion,
    upstreams: dict[str, Member],
) -> bool:
    """Return whether the order cannot lose an acknowledged commit.

    No write lease may be in force, and the chosen upstream must not lead in
    an old term. In a group with copies no other upstream may lead. Advances
    the pause of the replicas too. Abandons the promotion if the chosen
    upstream cannot be demoted because it has failed, or if the primary has
    failed and another replica has received more.
    """
    is_safe = end_leases(state, leader, name)
    term = highest_term(state, leader, upstreams) + 1
    if needs_demotion(state, promotion) and not advance_demotion(
        state, leader, name, promotion, term
    ):
        is_safe = False
        if has_failed(state, leader, promotion.chosen or ''):
            _abandon_for_other(
                state, leader, name, promotion, 'chosen upstream failed'
            )
            return False
    if not needs_replica_copies(state, name):
        return is_safe
    group = state.machine.groups[name]
    returned = find_returned_primary(state, leader, group, upstreams)
    if returned is not None and not promotion.replaces_other:
        reason = f'{returned} leads again'
        _abandon_promotion(state, leader, name, promotion, reason)
        return False
    if returned not in (None, promotion.chosen):
        # An earlier order may be carried out late. A new one fences it off.
        reason = f'{returned} leads again'
        _propose_promotion(
            state, leader, name, group, upstreams, reason, returned
        )
        return False
    pause = advance_pause(state, leader, name, promotion, upstreams, term)
    holders = find_commit_holders(state, leader, name, upstreams, pause)
    if has_all_commits(state, name, promotion, pause, holders):
        return is_safe and _are_primaries_demoted(
            state, leader, name, promotion, upstreams
        )
    if returned is not None:
        # It is chosen, so the order changes nothing. The others are
        # paused and may never answer: the primary cannot commit anything.
        return is_safe
    log_missing_answers(state, name, pause, holders)
    newer = find_newer_replica(state, name, promotion, pause, holders)
    if newer is not None and not _is_primary_running(
        state, leader, group, upstreams
    ):
        # From a running primary the chosen upstream can still catch up.
        reason = f'{newer} has received more than the chosen upstream'
        _abandon_for_other(state, leader, name, promotion, reason)
    return False


def _are_primaries_demoted(
    state: ControlState,
    leader: LeaderState,
    name: str,
    promotion: Promotion,
    upstreams: dict[str, Member],
) -> bool:
    """Demote the upstreams that may lead; return whether none that runs does.

    The answer of one that has failed is not waited for, and that of another
    not for ever: a primary may have no slot for it while its commits wait for
    copies. With write leases the
    proxies acknowledge nothing of a primary once its leases have ended.
    """
    if state.cfg.write_leases or not needs_replica_copies(state, name):
        return True
    primaries = find_possible_primaries(
        state, leader, name, upstreams, promotion.chosen
    )
    term = highest_term(state, leader, upstreams) + 1
    demotion = demote_primaries(
        state, leader, name, promotion, primaries, term
    )
    running = [
        primary
        for primary, member in upstreams.items()
        if (primary, member.member_id) in primaries - demotion.demoted.keys()
        and not has_failed(state, leader, primary)
    ]
    return not running or has_waited_for_demotion(
        state, name, demotion, running
    )


def _abandon_for_other(
    state: ControlState,
    leader: LeaderState,
    name: str,
    promotion: Promotion,
    reason: str,
) -> None:
    """Abandon a promotion and exclude its upstream from the next one."""
    leader.excluded_until_ms[promotion.chosen or ''] = (
        state.now_ms + CANDIDATE_COOLDOWN_MS
    )
    _abandon_promotion(state, leader, name, promotion, reason)


def _is_primary_running(
    state: ControlState,
    leader: LeaderState,
    group: GroupState,
    upstreams: dict[str, Member],
) -> bool:
    """Return whether a primary may run, recorded or not."""
    if any(is_seen_leading(state, leader, group, name) for name in upstreams):
        return True
    return _can_primary_run(
        state, leader, group, upstreams
    ) and not has_stopped_leading(state, leader, group.primary or '')


def _can_primary_run(
    state: ControlState,
    leader: LeaderState,
    group: GroupState,
    upstreams: dict[str, Member],
) -> bool:
    """Return whether the recorded primary is neither gone nor demoted."""
    member = upstreams.get(group.primary or '')
    if member is None or member.member_id != group.primary_id:
        return False
    return group.final_position is None and not has_failed(
        state, leader, member.name
    )


def _update_electorate(state: ControlState, leader: LeaderState) -> None:
    """Update the proxies whose majority decides that an upstream failed.

    Proxies that are no longer members stay for `ELECTORATE_RETENTION_MS`.
    """
    electorate = leader.electorate_ms
    if state.now_ms < leader.electorate_due_ms:
        return
    leader.electorate_due_ms = state.now_ms + ELECTORATE_INTERVAL_MS
    for name, member in state.machine.members.items():
        if member.role == 'proxy':
            electorate[name] = state.now_ms
    for name, last_ms in list(electorate.items()):
        if state.now_ms >= last_ms + ELECTORATE_RETENTION_MS:
            del electorate[name]


def _send_order(
    state: ControlState,
    leader: LeaderState,
    name: str,
    upstream: str,
    token: int,
) -> None:
    previous = leader.orders.get(name)
    leader.unanswered_order_ms[name] = state.now_ms
    leader.orders[name] = PromotionOrder(
        token=token,
        sent_ms=state.now_ms,
        may_take_effect=(
            previous is not None
            and previous.token == token
            and (previous.may_take_effect or previous.outcome != 'refused')
        ),
    )
    log(
        state,
        'info',
        'promotion_ordered',
        group=name,
        upstream=upstream,
        token=token,
    )
    state.outbox.append(
        OrderPromotion(
            group=name,
            upstream=upstream,
            holder=state.cfg.holder,
            token=token,
        )
    )


def _finish_promotion(
    state: ControlState, leader: LeaderState, name: str, token: int
) -> None:
    _resume_all(state, leader, name, token)
    replaced = state.machine.groups[name].primary
    command = FinishPromotion(group=name, to_term=token)
    if propose(state, _group_key(name), command) is not None and replaced:
        leader.not_adopted_until_ms[replaced] = (
            state.now_ms + READOPTION_COOLDOWN_MS
        )


def _abandon_promotion(
    state: ControlState,
    leader: LeaderState,
    name: str,
    promotion: Promotion,
    reason: str,
) -> None:
    token = promotion.to_term
    order = _current_order(leader, name, promotion)
    may_lead = state.cfg.write_leases and (
        promotion.replaces_other
        or (
            order is not None
            and (order.may_take_effect or order.outcome != 'refused')
        )
    )
    command = AbandonPromotion(
        group=name, to_term=token, reason=reason, may_lead=may_lead
    )
    if propose(state, _group_key(name), command) is not None:
        _resume_all(state, leader, name, token)
        log(
            state,
            'warning',
            'promotion_given_up',
            group=name,
            token=token,
            reason=reason,
            may_lead=may_lead,
        )


def _resume_all(
    state: ControlState, leader: LeaderState, name: str, token: int
) -> None:
    if needs_replica_copies(state, name):
        upstreams = _joined_upstreams(state, leader, name)
        begin_resume(leader, name, upstreams, token)


def on_promotion_ended(
    state: ControlState, leader: LeaderState, event: PromotionEnded
) -> None:
    """Record the outcome of an order."""
    log(
        state,
        'info' if event.outcome == 'done' else 'warning',
        'promotion_answered',
        group=event.group,
        token=event.token,
        outcome=event.outcome,
        detail=event.detail,
    )
    leader.dirty_groups.add(event.group)
    leader.unanswered_order_ms.pop(event.group, None)
    order = leader.orders.get(event.group)
    if order is not None and order.token == event.token:
        order.outcome = event.outcome
        order.detail = event.detail
