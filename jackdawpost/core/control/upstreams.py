"""Links from upstreams that announce themselves, and group promotions."""

from __future__ import annotations

from typing import Any

from jackdawpost.core.control import admin as control_admin
from jackdawpost.core.control import failure_detector
from jackdawpost.core.control import promotion
from jackdawpost.core.control.commands import AnnounceMember
from jackdawpost.core.control.leases import revoke_leases
from jackdawpost.core.control.members import handle_approval
from jackdawpost.core.control.members import propose_leaving
from jackdawpost.core.control.members import record_announcement
from jackdawpost.core.control.members import request_approvals
from jackdawpost.core.control.process import AnnouncedUpstream
from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.process import is_leaving
from jackdawpost.core.control.process import is_member
from jackdawpost.core.control.process import LeaderState
from jackdawpost.core.control.process import LinkState
from jackdawpost.core.control.process import member_state
from jackdawpost.core.control.process import propose
from jackdawpost.core.control.process import refuse
from jackdawpost.core.control.promotion_facts import Database
from jackdawpost.core.control.promotion_facts import GroupFacts
from jackdawpost.core.control.promotion_facts import progress_of
from jackdawpost.core.control.promotion_facts import RunningPromotion
from jackdawpost.core.control.promotion_facts import SealedDatabase
from jackdawpost.core.control.state import GroupState
from jackdawpost.core.control.state import promotion_quorum
from jackdawpost.core.leases import ledger as lease_ledger
from jackdawpost.core.messages.control import Announce
from jackdawpost.core.messages.control import AnnounceAck
from jackdawpost.core.messages.control import Approval
from jackdawpost.core.messages.upstream import AdminDone
from jackdawpost.core.messages.upstream import Sealed
from jackdawpost.core.outbox import log
from jackdawpost.core.outbox import send
from jackdawpost.core.positions import LogPosition

ANNOUNCE_TIMEOUT_MS = 1_000.0  # five announcement intervals


def receive_from_upstream(
    state: ControlState, link: LinkState, message: Any
) -> None:
    """Handle one message from an upstream."""
    if isinstance(message, Announce):
        _handle_announce(state, link, message)
    elif not link.name:
        refuse(
            state, link, f'{message.kind} received before the first announce'
        )
    elif isinstance(message, Approval):
        if state.leader is not None:
            handle_approval(state, link, message)
    else:
        refuse(state, link, f'{message.kind} is not a message of an upstream')


def _handle_announce(
    state: ControlState, link: LinkState, announce: Announce
) -> None:
    if link.peer and announce.name != link.peer:
        refuse(
            state, link, f'announce of {announce.name!r} sent by another peer'
        )
        return
    key = (announce.name, announce.data_id)
    if link.name and (link.name, link.member_id) != key:
        refuse(state, link, 'upstream identity changed on an open connection')
        return
    is_new = not link.name
    link.name, link.member_id = key
    state.upstreams[key] = AnnouncedUpstream(
        announce=announce, conn=link.conn, last_contact_ms=state.now_ms
    )
    ack = AnnounceAck(
        state=member_state(state, *key), leader=state.consensus.leader
    )
    send(state, link.conn, ack)
    if state.leader is None:
        return
    record_announcement(state, _announce_command(announce))
    if is_member(state, *key):
        propose_leaving(state, key, announce.leaving)
        state.leader.dirty_groups.add(announce.group)
    if is_new:
        request_approvals(state)


def _announce_command(announce: Announce) -> AnnounceMember:
    return AnnounceMember(
        role='upstream',
        name=announce.name,
        member_id=announce.data_id,
        host=announce.host,
        port=announce.port,
        data_centre=announce.data_centre,
        group=announce.group,
        slots=announce.slots,
        connections=announce.connections,
    )


def on_upstream_closed(state: ControlState, link: LinkState) -> None:
    """Handle the end of a connection of an upstream.

    The last announcement of a joined upstream is kept, so that a promotion
    can still try to reach it.
    """
    key = (link.name, link.member_id)
    announced = state.upstreams.get(key)
    if announced is None or announced.conn != link.conn:
        return
    announced.connected = False
    if not is_member(state, *key):
        del state.upstreams[key]


def mark_silent_upstreams(state: ControlState) -> None:
    """Mark upstreams that have stopped announcing as disconnected."""
    oldest_ms = state.now_ms - ANNOUNCE_TIMEOUT_MS
    for announced in state.upstreams.values():
        if announced.last_contact_ms < oldest_ms:
            announced.connected = False


def group_facts(
    state: ControlState, leader: LeaderState, name: str
) -> GroupFacts | None:
    """Return the current facts about a group; None if it does not exist."""
    group = state.machine.groups.get(name)
    settings = state.machine.objects.groups.get(name)
    if group is None or settings is None:
        return None
    running_promotion = None
    if group.promotion is not None:
        running_promotion = RunningPromotion(
            from_term=group.promotion.from_term,
            to_term=group.promotion.to_term,
            accept_loss=group.promotion.accept_loss,
            upstream=group.promotion.chosen,
            data_id=group.promotion.data_id,
        )
    return GroupFacts(
        name=name,
        size=settings.databases,
        quorum=max(1, promotion_quorum(state.machine, name)),
        term=group.term,
        last_term=group.last_term,
        primary=group.primary,
        database_set=group.database_set,
        promotion=running_promotion,
        databases=_databases(state, leader, name),
        lease_holders=_lease_holders(state, leader, name, group),
        failure_reason=_failure_reason(state, leader, name, group),
    )


def _databases(
    state: ControlState, leader: LeaderState, group: str
) -> dict[str, Database]:
    found = {}
    for name in leader.group_upstreams.get(group, ()):
        member = state.machine.members[name]
        announced = state.upstreams.get((name, member.member_id))
        if announced is None:
            continue
        announce = announced.announce
        found[name] = Database(
            name=name,
            data_id=announce.data_id,
            host=announce.host,
            port=announce.port,
            term=announce.term,
            leads=announce.leads,
            received=LogPosition(*announce.received),
            leaving=announce.leaving or is_leaving(state, name),
            announce_conn=announced.conn,
            last_contact_ms=announced.last_contact_ms,
            connected=announced.connected,
        )
    return found


def _lease_holders(
    state: ControlState, leader: LeaderState, name: str, group: GroupState
) -> dict[str, float]:
    if group.promotion is None or group.promotion.chosen is not None:
        return {}
    return lease_ledger.holders(
        leader.leases, state.now_ms, name, group.promotion.from_term
    )


def _failure_reason(
    state: ControlState, leader: LeaderState, name: str, group: GroupState
) -> str:
    """Return why the primary must be replaced; empty if it need not be."""
    if group.primary is None:
        return ''
    if name in leader.suspect_groups:
        failed_ms = failure_detector.failed_at_ms(
            leader.detector, state.now_ms, group.primary
        )
        if failed_ms is not None and failed_ms <= state.now_ms:
            return 'primary failed'
    if _has_lost_data(state, leader, group):
        return 'primary lost its data'
    if not is_member(state, group.primary, group.primary_id):
        return 'primary is not a member'
    return ''


def _has_lost_data(
    state: ControlState, leader: LeaderState, group: GroupState
) -> bool:
    """Return whether the primary has restarted without its data.

    It then announces a new data identity. The old identity must also be
    silent, so that another instance that uses the name cannot cause a
    promotion.
    """
    assert group.primary is not None
    key = (group.primary, group.primary_id)
    last_contact_ms = max(
        leader.last_contact_ms.get(key, 0), leader.contact_floor_ms
    )
    if state.now_ms < last_contact_ms + state.cfg.silent_ms:
        return False
    return any(
        name == group.primary and data_id != group.primary_id
        for name, data_id in state.upstreams
    )


def advance_groups(state: ControlState, leader: LeaderState) -> None:
    """Advance the promotion of every group that has changed."""
    dirty = leader.dirty_groups
    leader.dirty_groups = set()
    for name in sorted(dirty):
        _advance_group(state, leader, name)


def _advance_group(
    state: ControlState, leader: LeaderState, name: str
) -> None:
    facts = group_facts(state, leader, name)
    if facts is None:
        leader.driver.groups.pop(name, None)
        leader.group_due_ms.pop(name, None)
        state.outbox += control_admin.update_requests(
            leader.admin, state.now_ms, name, {}
        )
        return
    if facts.promotion is not None and facts.promotion.from_term > 0:
        revoke_leases(state, leader, name, facts.promotion.from_term)
    key = f'group/{name}'
    progress = progress_of(leader.driver, name)
    progress.busy = key in leader.proposed
    command = promotion.next_command(leader.driver, state.now_ms, facts)
    if command is not None:
        progress.busy = propose(state, key, command) is not None
        log(state, 'info', command.kind, **_log_fields(command))
    requests = promotion.admin_requests(leader.driver, facts)
    state.outbox += control_admin.update_requests(
        leader.admin, state.now_ms, name, requests
    )
    _set_group_due(state, leader, facts)


def _log_fields(command: promotion.GroupCommand) -> dict[str, Any]:
    names = ('group', 'to_term', 'upstream', 'name', 'reason')
    return {
        name: getattr(command, name)
        for name in names
        if hasattr(command, name)
    }


def _set_group_due(
    state: ControlState, leader: LeaderState, facts: GroupFacts
) -> None:
    due_times_ms = [
        promotion.next_promotion_due_ms(leader.driver, state.now_ms, facts)
    ]
    primary = facts.primary
    is_suspect = facts.name in leader.suspect_groups and primary is not None
    if is_suspect and failure_detector.is_suspected(
        leader.detector, state.now_ms, primary or ''
    ):
        due_times_ms += [
            failure_detector.failed_at_ms(
                leader.detector, state.now_ms, primary or ''
            ),
            failure_detector.next_expiry_ms(leader.detector, state.now_ms),
        ]
    else:
        leader.suspect_groups.discard(facts.name)
    later = [
        due_ms
        for due_ms in due_times_ms
        if due_ms is not None and due_ms > state.now_ms
    ]
    if later:
        leader.group_due_ms[facts.name] = min(later)
    else:
        leader.group_due_ms.pop(facts.name, None)


def mark_due_groups(state: ControlState, leader: LeaderState) -> None:
    """Mark the groups that are due to be reconsidered."""
    for name, due_ms in leader.group_due_ms.items():
        if due_ms <= state.now_ms:
            leader.dirty_groups.add(name)
    leader.dirty_groups |= control_admin.groups_with_due_requests(
        leader.admin, state.now_ms
    )


def on_admin_opened(
    state: ControlState, leader: LeaderState, conn: int
) -> bool:
    """Handle an opened connection; False if it is not an admin connection."""
    if not control_admin.on_opened(leader.admin, conn):
        return False
    upstream = leader.admin.conns[conn]
    leader.dirty_groups.add(leader.admin.links[upstream].request.group)
    return True


def on_admin_closed(
    state: ControlState, leader: LeaderState, conn: int, reason: Any
) -> None:
    """Retry later; a refused connection counts against a chosen database."""
    request = control_admin.on_closed(leader.admin, state.now_ms, conn, reason)
    if request is None:
        return
    facts = group_facts(state, leader, request.group)
    if facts is not None:
        promotion.on_connection_refused(
            leader.driver, state.now_ms, facts, request
        )
        leader.dirty_groups.add(request.group)


def receive_admin(
    state: ControlState, leader: LeaderState, conn: int, message: Any
) -> None:
    """Handle an upstream's answer to an admin request."""
    if not isinstance(message, Sealed | AdminDone):
        return
    request = control_admin.on_answer(
        leader.admin, state.now_ms, conn, message.id
    )
    facts = group_facts(state, leader, request.group) if request else None
    if request is None or facts is None:
        return
    if isinstance(message, Sealed):
        sealed = SealedDatabase(
            data_id=message.data_id, received=LogPosition(*message.received)
        )
        promotion.on_sealed(
            leader.driver, facts, request, message.ok, message.term, sealed
        )
    else:
        promotion.on_admin_done(
            leader.driver, facts, request, message.ok, message.term
        )
    if not message.ok:
        log(
            state,
            'warning',
            'admin_request_refused',
            upstream=request.upstream,
            action=request.action,
            term=request.term,
            upstream_term=message.term,
        )
    leader.dirty_groups.add(request.group)
