"""Promotions that the leader decides on and orders from outside.

Each order carries the fencing token that the replicated state assigned to
it, so that an order of an earlier leader, or one that is carried out late,
cannot undo a later one. A new leader never uses a token of another holder.
"""

from __future__ import annotations

from jackdawpost.core.control import failure_detector
from jackdawpost.core.control.commands import AbandonPromotion
from jackdawpost.core.control.commands import AdoptPrimary
from jackdawpost.core.control.commands import DelegatePromotion
from jackdawpost.core.control.commands import FinishPromotion
from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.process import is_leaving
from jackdawpost.core.control.process import LeaderState
from jackdawpost.core.control.process import PromotionOrder
from jackdawpost.core.control.process import propose
from jackdawpost.core.control.process import UpstreamObservation
from jackdawpost.core.control.replica_pause import advance_pause
from jackdawpost.core.control.replica_pause import better_choice
from jackdawpost.core.control.replica_pause import is_safe
from jackdawpost.core.control.replica_pause import needs_pause
from jackdawpost.core.control.replica_pause import resume_replicas
from jackdawpost.core.control.state import GroupState
from jackdawpost.core.control.state import Member
from jackdawpost.core.control.state import Promotion
from jackdawpost.core.effects import OrderPromotion
from jackdawpost.core.events import PromotionEnded
from jackdawpost.core.messages.control import ProxyReport
from jackdawpost.core.outbox import log
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.positions import ZERO_POSITION

# What proxies have seen counts for this long: three of their reports.
SIGHTING_MS = 1_500.0
# A group without a primary may only lack reports of it.
NO_PRIMARY_MS = 3_000.0
# Pause after an order was refused, and before an unanswered one is repeated.
ORDER_RETRY_MS = 1_000.0
# A replaced primary is not adopted again for so long: the new one takes up
# to a second to lead, and proxies may be frozen for seconds and then report
# what they saw before.
REPLACED_MS = 5_000.0
# A proxy that control no longer hears may only be cut off from it, and reach
# the primary well. Cuts that last longer than this are taken for a loss.
WITNESS_MS = 10_000.0
# Time for which a replica must have been gone to count for no copy: longer
# than the others need to receive what it had helped to acknowledge.
GONE_MS = 2_000.0
# An upstream that an order was refused for is not chosen again for so long.
AVOID_MS = 3_000.0


def record_observations(
    state: ControlState, leader: LeaderState, report: ProxyReport
) -> None:
    """Take what a proxy saw of the upstreams."""
    for name, seen in (report.upstreams or {}).items():
        leader.upstream_observations.setdefault(name, {})[report.proxy] = (
            UpstreamObservation(report=seen, last_contact_ms=state.now_ms)
        )


def advance_delegated(state: ControlState, leader: LeaderState) -> None:
    """Take every group one step on."""
    _note_witnesses(state, leader)
    _note_refused(state, leader)
    for name in sorted(state.machine.groups):
        group = state.machine.groups[name]
        upstreams = _joined(state, name)
        if not upstreams:
            continue
        if group.promotion is not None:
            _advance_promotion(state, leader, name, group, upstreams)
            continue
        if _adopt(state, leader, name, group, upstreams):
            continue
        reason = _why_replace(state, leader, name, group, upstreams)
        if reason:
            _delegate(state, leader, name, group, upstreams, reason)


def _joined(state: ControlState, group: str) -> dict[str, Member]:
    return {
        name: member
        for name, member in state.machine.members.items()
        if member.role == 'upstream' and member.group == group
    }


def _fresh(
    state: ControlState, leader: LeaderState, name: str
) -> list[UpstreamObservation]:
    return [
        observation
        for observation in leader.upstream_observations.get(name, {}).values()
        if state.now_ms < observation.last_contact_ms + SIGHTING_MS
    ]


def _adopt(
    state: ControlState,
    leader: LeaderState,
    name: str,
    group: GroupState,
    upstreams: dict[str, Member],
) -> bool:
    """Record the upstream that leads, if it is not the one on record."""
    leading: tuple[int, str] | None = None
    for upstream in upstreams:
        if state.now_ms < leader.not_adopted_until_ms.get(upstream, 0):
            continue
        for observation in _fresh(state, leader, upstream):
            if observation.report.leads:
                found = (observation.report.term, upstream)
                leading = max(leading or found, found)
    if leading is None:
        return False
    upstream = leading[1]
    member_id = upstreams[upstream].member_id
    if (group.primary, group.primary_id) == (upstream, member_id):
        return False
    index = propose(
        state,
        f'group/{name}',
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


def _why_replace(
    state: ControlState,
    leader: LeaderState,
    name: str,
    group: GroupState,
    upstreams: dict[str, Member],
) -> str:
    """Return why a primary must be replaced, empty if it need not be."""
    now_ms = state.now_ms
    if group.primary is None:
        since_ms = leader.without_primary_since_ms.setdefault(name, now_ms)
        return 'no primary' if now_ms >= since_ms + NO_PRIMARY_MS else ''
    leader.without_primary_since_ms.pop(name, None)
    member = upstreams.get(group.primary)
    if member is None or member.member_id != group.primary_id:
        return 'primary is no member'
    if _has_failed(state, leader, group.primary):
        return 'primary failed'
    if is_leaving(state, group.primary):
        return 'primary leaving'
    return ''


def _delegate(
    state: ControlState,
    leader: LeaderState,
    name: str,
    group: GroupState,
    upstreams: dict[str, Member],
    reason: str,
) -> None:
    """Choose an upstream and have the order recorded with its token."""
    chosen = _choose(state, leader, group, upstreams)
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
    )
    if propose(state, f'group/{name}', command) is not None:
        log(
            state,
            'warning',
            'promotion_started',
            group=name,
            before=group.primary,
            upstream=chosen,
            token=token,
            reason=reason,
            received=list(_received(state, leader, chosen)),
        )


def _received(
    state: ControlState, leader: LeaderState, name: str
) -> LogPosition:
    positions = [
        observation.report.received
        for observation in _fresh(state, leader, name)
    ]
    return max(positions, default=ZERO_POSITION)


def _choose(
    state: ControlState,
    leader: LeaderState,
    group: GroupState,
    upstreams: dict[str, Member],
) -> str | None:
    """Return the reachable upstream that has received most.

    At equal positions the one in the data centre of most proxies is best,
    since their writes then stay near.
    """
    candidates = []
    for name in sorted(upstreams):
        identity = (name, upstreams[name].member_id)
        if identity == (group.primary, group.primary_id):
            continue
        if is_leaving(state, name) or not _fresh(state, leader, name):
            continue
        if state.now_ms < leader.excluded_until_ms.get(name, 0):
            continue
        if _has_failed(state, leader, name):
            continue
        candidates.append(name)
    near = _proxies_by_data_centre(state)
    return max(
        candidates,
        key=lambda name: (
            _received(state, leader, name),
            near.get(upstreams[name].data_centre, 0),
        ),
        default=None,
    )


def _proxies_by_data_centre(state: ControlState) -> dict[str, int]:
    found: dict[str, int] = {}
    for member in state.machine.members.values():
        if member.role == 'proxy':
            found[member.data_centre] = found.get(member.data_centre, 0) + 1
    return found


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
        _give_up(state, name, promotion.to_term, 'the chosen one has left')
        return
    order = leader.orders.get(name)
    if order is not None and order.token != promotion.to_term:
        order = None
    if order is not None and order.outcome == 'done':
        _finish(state, leader, name, promotion.to_term)
    elif promotion.holder != state.cfg.holder or (
        promotion.to_term not in leader.own_tokens
    ):
        # The token belongs to another holder, or to this one's earlier
        # leadership, whose order may still be under way.
        _delegate(state, leader, name, group, upstreams, promotion.reason)
    elif order is not None and order.outcome == 'refused':
        leader.excluded_until_ms[chosen] = state.now_ms + AVOID_MS
        _give_up(state, name, promotion.to_term, order.detail)
    elif order is None and not _is_frozen(
        state, leader, name, promotion, upstreams
    ):
        return
    elif order is None or state.now_ms >= order.sent_ms + ORDER_RETRY_MS:
        if order is not None and _has_failed(state, leader, chosen):
            leader.excluded_until_ms[chosen] = state.now_ms + AVOID_MS
            _give_up(state, name, promotion.to_term, 'the chosen one failed')
            return
        _order(state, leader, name, chosen, promotion.to_term)


def _is_frozen(
    state: ControlState,
    leader: LeaderState,
    name: str,
    promotion: Promotion,
    upstreams: dict[str, Member],
) -> bool:
    """Tell whether nothing acknowledged can be lost by the order."""
    if not needs_pause(state, name):
        return True
    terms = [
        observation.report.term
        for upstream in upstreams
        for observation in _fresh(state, leader, upstream)
    ]
    upstreams = _counted(state, leader, name, upstreams)
    pause = advance_pause(
        state, leader, name, promotion, upstreams, max(terms, default=0) + 1
    )
    if is_safe(state, name, promotion, pause, upstreams):
        return True
    primary = state.machine.groups[name].primary
    better = better_choice(state, name, promotion, pause, upstreams)
    if better is not None and _has_failed(state, leader, primary or ''):
        # A primary that runs would let the chosen one catch up.
        leader.excluded_until_ms[promotion.chosen or ''] = (
            state.now_ms + AVOID_MS
        )
        _give_up(state, name, promotion.to_term, f'{better} has received more')
    return False


def _counted(
    state: ControlState,
    leader: LeaderState,
    name: str,
    upstreams: dict[str, Member],
) -> dict[str, Member]:
    """Leave out what was gone well before the primary ended.

    The replicas that stayed have received since then whatever was
    acknowledged with its help. One that is only silent may still receive.
    """
    primary = state.machine.groups[name].primary or ''
    end_ms = leader.refused_since_ms.get(primary, state.now_ms)
    return {
        upstream: member
        for upstream, member in upstreams.items()
        if upstream == primary
        or leader.refused_since_ms.get(upstream, end_ms) + GONE_MS > end_ms
    }


def _note_refused(state: ControlState, leader: LeaderState) -> None:
    """Keep since when nobody is found at an upstream's address."""
    for name, member in state.machine.members.items():
        if member.role != 'upstream':
            continue
        if failure_detector.is_refused(leader.detector, state.now_ms, name):
            leader.refused_since_ms.setdefault(name, state.now_ms)
        else:
            leader.refused_since_ms.pop(name, None)


def _has_failed(state: ControlState, leader: LeaderState, name: str) -> bool:
    failed_ms = failure_detector.failed_at_ms(
        leader.detector,
        state.now_ms,
        name,
        electorate=len(leader.electorate_ms),
    )
    return failed_ms is not None and failed_ms <= state.now_ms


def _note_witnesses(state: ControlState, leader: LeaderState) -> None:
    """Keep the proxies whose word counts, or would if it could be heard."""
    known = leader.electorate_ms
    for name, member in state.machine.members.items():
        if member.role == 'proxy':
            known[name] = state.now_ms
    for name, last_ms in list(known.items()):
        if state.now_ms >= last_ms + WITNESS_MS:
            del known[name]


def _order(
    state: ControlState,
    leader: LeaderState,
    name: str,
    upstream: str,
    token: int,
) -> None:
    leader.orders[name] = PromotionOrder(token=token, sent_ms=state.now_ms)
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


def _finish(
    state: ControlState, leader: LeaderState, name: str, token: int
) -> None:
    resume_replicas(state, leader, name)
    old = state.machine.groups[name].primary
    command = FinishPromotion(group=name, to_term=token)
    if propose(state, f'group/{name}', command) is not None and old:
        leader.not_adopted_until_ms[old] = state.now_ms + REPLACED_MS


def _give_up(state: ControlState, name: str, token: int, why: str) -> None:
    command = AbandonPromotion(group=name, to_term=token, reason=why)
    if propose(state, f'group/{name}', command) is not None:
        log(
            state,
            'warning',
            'promotion_given_up',
            group=name,
            token=token,
            reason=why,
        )


def on_promotion_ended(
    state: ControlState, leader: LeaderState, event: PromotionEnded
) -> None:
    """Take the answer to an order."""
    log(
        state,
        'info' if event.outcome == 'done' else 'warning',
        'promotion_answered',
        group=event.group,
        token=event.token,
        outcome=event.outcome,
        detail=event.detail,
    )
    order = leader.orders.get(event.group)
    if order is not None and order.token == event.token:
        order.outcome = event.outcome
        order.detail = event.detail
