"""Start, periodic work and end of the services that only the leader runs."""

from __future__ import annotations

from jackdawpost.core.control import admin as control_admin
from jackdawpost.core.control import failure_detector
from jackdawpost.core.control import permit_ledger
from jackdawpost.core.control import promotion
from jackdawpost.core.control.admin import AdminLinks
from jackdawpost.core.control.commands import Command
from jackdawpost.core.control.commands import DelegatePromotion
from jackdawpost.core.control.delegation import advance_delegated_groups
from jackdawpost.core.control.leases import revoke_superseded_leases
from jackdawpost.core.control.leases import start_confirmation
from jackdawpost.core.control.members import discard_approval_requests
from jackdawpost.core.control.members import expire_members
from jackdawpost.core.control.members import finish_removals
from jackdawpost.core.control.members import propose_approvals
from jackdawpost.core.control.members import removal_due_ms
from jackdawpost.core.control.members import request_approvals
from jackdawpost.core.control.operators import answer_waiting_operators
from jackdawpost.core.control.operators import redirect_waiting_operators
from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.process import is_member
from jackdawpost.core.control.process import LeaderState
from jackdawpost.core.control.promotion_facts import progress_of
from jackdawpost.core.control.promotion_facts import PromotionDriver
from jackdawpost.core.control.proxies import close_silent_proxies
from jackdawpost.core.control.proxies import drop_removed_proxies
from jackdawpost.core.control.proxies import note_leaving_upstreams
from jackdawpost.core.control.proxies import process_held_reports
from jackdawpost.core.control.proxies import process_report
from jackdawpost.core.control.proxies import push_updates
from jackdawpost.core.control.proxies import refresh_upstreams
from jackdawpost.core.control.proxies import update_permits
from jackdawpost.core.control.rates import new_rate_ledger
from jackdawpost.core.control.registrations import forget_report
from jackdawpost.core.control.registrations import remove_superseded
from jackdawpost.core.control.registrations import sweep_registrations
from jackdawpost.core.control.registry import abort_pending_requests
from jackdawpost.core.control.registry import answer_pending_requests
from jackdawpost.core.control.sampling import request_positions
from jackdawpost.core.control.state import Applied
from jackdawpost.core.control.state import CommandRefused
from jackdawpost.core.control.upstreams import advance_groups
from jackdawpost.core.control.upstreams import mark_due_groups
from jackdawpost.core.control.voters import advance_voters
from jackdawpost.core.leases import ledger as lease_ledger
from jackdawpost.core.outbox import log

# A longer gap between ticks means that this process was suspended: a leader
# ticks at least once per heartbeat.
MAX_TICK_GAP_MS = 1_000.0
MEMBER_COMMANDS = (
    'announce_member',
    'approve_member',
    'approve_members',
    'remove_member',
    'mark_leaving',
    'apply_change_set',
)


def begin_leadership(state: ControlState, term: int) -> None:
    """Start the leader services with a new state.

    Proxies may hold leases and permits granted by earlier leaders. Every
    joined proxy is therefore assumed to hold some until it has reported or a
    full lease has passed.
    """
    cfg = state.cfg
    proxies = _joined_proxies(state)
    leases = lease_ledger.LeaseLedger(
        duration_ms=cfg.lease_ms,
        clock_margin=cfg.clock_margin,
        elected_ms=state.now_ms,
        assumed=set(proxies),
    )
    leader = LeaderState(
        term=term,
        elected_ms=state.now_ms,
        leases=leases,
        permits=permit_ledger.PermitLedger(
            ready_ms=lease_ledger.assumed_until_ms(leases),
            unreported=set(proxies),
        ),
        detector=failure_detector.FailureDetector(
            refused_ms=cfg.refused_ms,
            silent_ms=cfg.silent_ms,
            live_ms=cfg.report_ttl_ms or cfg.lease_ms,
        ),
        driver=PromotionDriver(
            refused_ms=cfg.refused_ms, silent_ms=cfg.silent_ms
        ),
        admin=AdminLinks(next_conn=state.next_conn),
        rates=new_rate_ledger(state),
        contact_floor_ms=state.now_ms,
        last_tick_ms=state.now_ms,
    )
    leader.dirty_groups.update(state.machine.groups)
    state.leader = leader
    refresh_upstreams(state, leader)
    note_leaving_upstreams(state, leader, None)
    log(state, 'info', 'leadership_won', term=term)
    process_held_reports(state)


def _joined_proxies(state: ControlState) -> set[str]:
    return {
        name
        for name, member in state.machine.members.items()
        if member.role == 'proxy'
    }


def end_leadership(state: ControlState, term: int) -> None:
    """Stop the leader services and drop their state."""
    leader = state.leader
    if leader is None:
        return
    redirect_waiting_operators(state, leader)
    abort_pending_requests(state, leader)
    state.outbox += control_admin.close_connections(leader.admin)
    state.next_conn = leader.admin.next_conn
    state.leader = None
    for link in state.links.values():
        link.is_served = False
        link.sent_version = None
        link.approvals_requested = set()
        link.revoked = set()
        link.told_leaving = set()
        # A proxy sends its demand again to the next leader.
        link.demands = {}
    log(state, 'info', 'leadership_lost', term=term)


def after_apply(
    state: ControlState,
    leader: LeaderState,
    index: int,
    command: Command,
    applied: Applied,
) -> None:
    """Run the leader services that depend on a command just applied."""
    for key, proposed_index in list(leader.proposed.items()):
        if proposed_index <= index:
            del leader.proposed[key]
    answer_waiting_operators(state, leader, index, command, applied)
    answer_pending_requests(state, leader, index, command, applied)
    _after_group_command(state, leader, command, applied)
    if command.kind in MEMBER_COMMANDS:
        _after_member_command(state, leader, command, applied)
    if applied.changed:
        push_updates(state)


def _after_group_command(
    state: ControlState,
    leader: LeaderState,
    command: Command,
    applied: Applied,
) -> None:
    group = getattr(command, 'group', '')
    if command.kind == 'declare_objects' and applied.changed:
        leader.dirty_groups.update(state.machine.groups)
    if group in state.machine.groups:
        leader.dirty_groups.add(group)
    if command.kind in MEMBER_COMMANDS or group not in state.machine.groups:
        return
    progress = progress_of(leader.driver, group)
    if isinstance(applied.answer, CommandRefused):
        progress.retry_at_ms = state.now_ms + promotion.COMMAND_RETRY_MS
        log(
            state,
            'warning',
            'command_refused',
            command=command.kind,
            group=group,
            code=applied.answer.code,
        )
    elif isinstance(command, DelegatePromotion):
        leader.own_tokens.add(command.token)
    elif command.kind in ('finish_promotion', 'adopt_primary'):
        if command.kind == 'adopt_primary':
            revoke_superseded_leases(state, leader, group)
        primary = state.machine.groups[group].primary
        if primary is not None:
            failure_detector.set_primary_since(
                leader.detector, primary, state.now_ms
            )


def _after_member_command(
    state: ControlState,
    leader: LeaderState,
    command: Command,
    applied: Applied,
) -> None:
    if command.kind == 'remove_member':
        key = (command.name, command.member_id)
        leader.removing.pop(key, None)
        leader.removal_reasons.pop(key, None)
        leader.last_contact_ms.pop(key, None)
        leader.next_announce_ms.pop(key, None)
        forget_report(leader, key)
        discard_approval_requests(state, key)
        if not is_member(state, *key):
            state.upstreams.pop(key, None)
        drop_removed_proxies(state, leader)
    refresh_upstreams(state, leader)
    note_leaving_upstreams(state, leader, state.now_ms)
    leader.dirty_groups.update(state.machine.groups)
    for name in applied.joined:
        link = state.links.get(state.proxies.get(name, 0))
        if link is not None and is_member(state, link.name, link.member_id):
            process_report(state, leader, link)
    request_approvals(state)
    if state.cfg.delegated:
        remove_superseded(state)


def run_services(
    state: ControlState, leader: LeaderState, is_tick: bool
) -> None:
    """Run the leader services that are due after an event or a tick."""
    if is_tick:
        _detect_suspension(state, leader)
        close_silent_proxies(state, leader)
        lease_ledger.forget_expired(leader.leases, state.now_ms)
        expire_members(state)
        mark_due_groups(state, leader)
        request_positions(state, leader)
    if leader.removing:
        finish_removals(state)
    start_confirmation(state, leader)
    advance_voters(state)
    propose_approvals(state, leader)
    if state.cfg.delegated:
        sweep_registrations(state, leader)
        advance_delegated_groups(state, leader, is_tick)
        return
    advance_groups(state, leader)
    update_permits(state, leader)


def _detect_suspension(state: ControlState, leader: LeaderState) -> None:
    """Restart the silence timeouts if this process has been suspended.

    Members that sent messages meanwhile must not count as silent.
    """
    if state.now_ms > leader.last_tick_ms + MAX_TICK_GAP_MS:
        leader.contact_floor_ms = state.now_ms
        for link in state.links.values():
            link.last_contact_ms = state.now_ms
    leader.last_tick_ms = state.now_ms


def next_service_due_ms(
    state: ControlState, leader: LeaderState
) -> float | None:
    """Return when `run_services` is due without an event; None if never."""
    due_times_ms = [
        leader.expiry_check_ms,
        leader.positions_due_ms if leader.positions else None,
        *leader.permit_due_ms.values(),
        control_admin.next_admin_due_ms(leader.admin, state.now_ms),
        *leader.group_due_ms.values(),
        *(removal_due_ms(state, leader, key) for key in leader.removing),
    ]
    later = [
        due_ms
        for due_ms in due_times_ms
        if due_ms is not None and due_ms > state.now_ms
    ]
    return min(later, default=None)
