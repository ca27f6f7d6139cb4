"""Links from proxies: reports, published state, leases, permits."""

from __future__ import annotations

from typing import Any

from jackdawpost.core.control import failure_detector
from jackdawpost.core.control import permit_ledger
from jackdawpost.core.control.commands import AnnounceMember
from jackdawpost.core.control.commit_holders import record_primary_position
from jackdawpost.core.control.demotion import record_chosen_position
from jackdawpost.core.control.demotion import record_demotion
from jackdawpost.core.control.demotion import record_primary_demotion
from jackdawpost.core.control.members import handle_approval
from jackdawpost.core.control.members import propose_leaving
from jackdawpost.core.control.members import record_announcement
from jackdawpost.core.control.members import request_approvals
from jackdawpost.core.control.observations import record_observations
from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.process import is_leaving
from jackdawpost.core.control.process import is_member
from jackdawpost.core.control.process import LeaderState
from jackdawpost.core.control.process import LinkState
from jackdawpost.core.control.process import member_state
from jackdawpost.core.control.process import refuse
from jackdawpost.core.control.publication import shared_update
from jackdawpost.core.control.rates import handle_rate_report
from jackdawpost.core.control.replica_pause import record_position
from jackdawpost.core.control.sampling import note_arrival
from jackdawpost.core.control.sampling import record_position_answer
from jackdawpost.core.effects import Close
from jackdawpost.core.leases import ledger as lease_ledger
from jackdawpost.core.messages.control import Approval
from jackdawpost.core.messages.control import LeaseGrant
from jackdawpost.core.messages.control import LeaseRevoked
from jackdawpost.core.messages.control import NotLeader
from jackdawpost.core.messages.control import PermitDemand
from jackdawpost.core.messages.control import PermitGrant
from jackdawpost.core.messages.control import PermitRecall
from jackdawpost.core.messages.control import PermitReturn
from jackdawpost.core.messages.control import PositionAnswer
from jackdawpost.core.messages.control import ProxyReport
from jackdawpost.core.messages.control import RateReport
from jackdawpost.core.messages.control import ReportChange
from jackdawpost.core.messages.control import UpstreamActionAnswer
from jackdawpost.core.outbox import log
from jackdawpost.core.outbox import send
from jackdawpost.core.reports import apply_change

# A report may still show the old version because it crossed the update on the
# way; after this time the update counts as lost and is sent again.
UPDATE_RESEND_MS = 2_000.0
# Reports received before this process was elected count for this time. It is
# longer than the interval in which a proxy that knows no leader reports.
MAX_HELD_REPORT_AGE_MS = 500.0


def receive_from_proxy(
    state: ControlState, link: LinkState, message: Any
) -> None:
    """Handle one message from a proxy."""
    if isinstance(message, ProxyReport):
        if _bind_connection(state, link, message):
            link.report = message
            _handle_report(state, link, message, None)
        return
    if link.report is None:
        refuse(
            state,
            link,
            f'{message.kind} received before the first proxy_report',
        )
        return
    if isinstance(message, ReportChange):
        apply_change(link.report, message)
        _handle_report(state, link, link.report, message)
        return
    if state.leader is None:
        return
    if isinstance(message, Approval):
        handle_approval(state, link, message)
        return
    if isinstance(message, PermitDemand):
        # Kept for a proxy that joins later, since it sends its demand once.
        link.demands[message.upstream] = message.wanted
    if not is_member(state, link.name, link.member_id):
        log(state, 'info', 'not_joined', proxy=link.name, kind=message.kind)
        return
    _handle_member_message(state, state.leader, link, message)


def _handle_member_message(
    state: ControlState, leader: LeaderState, link: LinkState, message: Any
) -> None:
    assert link.report is not None
    if not link.is_served:
        return
    if isinstance(message, UpstreamActionAnswer):
        record_position(state, leader, message)
        record_demotion(state, leader, message)
        record_primary_demotion(state, leader, message)
        record_chosen_position(state, leader, message)
        record_primary_position(state, leader, message)
        upstream = state.machine.members.get(message.upstream)
        if upstream is not None:
            leader.dirty_groups.add(upstream.group)
    elif isinstance(message, PositionAnswer):
        record_position_answer(leader, message)
    elif isinstance(message, LeaseRevoked):
        lease_ledger.note_revoked(
            leader.leases,
            link.name,
            link.report.incarnation,
            message.group,
            message.term,
        )
        leader.dirty_groups.add(message.group)
    elif isinstance(message, PermitDemand):
        permit_ledger.record_demand(
            leader.permits,
            state.now_ms,
            link.name,
            message.upstream,
            message.wanted,
        )
        leader.dirty_permits.add(message.upstream)
    elif isinstance(message, PermitReturn):
        permit_ledger.record_return(
            leader.permits,
            state.now_ms,
            link.name,
            message.upstream,
            message.count,
        )
        leader.dirty_permits.add(message.upstream)
    elif isinstance(message, RateReport):
        handle_rate_report(state, leader, link, message)
    else:
        refuse(state, link, f'{message.kind} is not a message of a proxy')


def _handle_report(
    state: ControlState,
    link: LinkState,
    report: ProxyReport,
    change: ReportChange | None,
) -> None:
    """Handle the report of a proxy.

    Parameters
    ----------
    change : ReportChange, optional
        What differs from the previous report; None if all is reported.
    """
    if state.leader is None:
        current = state.consensus.leader or state.group_leader or None
        send(state, link.conn, NotLeader(leader=current))
        return
    record_announcement(state, _announce_command(report))
    if not is_member(state, link.name, link.member_id):
        _send_member_state(state, link)
        return
    propose_leaving(state, (link.name, link.member_id), report.draining)
    process_report(state, state.leader, link, change)


def process_held_reports(state: ControlState) -> None:
    """Process the reports that were received before the election.

    Proxies report to all control processes while they know no leader. They
    are answered at once, and not after their next report. Reports that list
    permits must be newer: an earlier leader may have granted others since.
    """
    if not state.cfg.delegated:
        return
    oldest_ms = state.now_ms - MAX_HELD_REPORT_AGE_MS
    for conn in list(state.proxies.values()):
        link = state.links[conn]
        if link.report is not None and link.last_contact_ms > oldest_ms:
            _handle_report(state, link, link.report, None)


def _bind_connection(
    state: ControlState, link: LinkState, report: ProxyReport
) -> bool:
    """Bind a connection to the reporting proxy; False if it is refused."""
    if link.peer and report.proxy != link.peer:
        refuse(
            state,
            link,
            f'proxy_report of {report.proxy!r} sent by another peer',
        )
        return False
    previous = link.report
    identity = (report.proxy, report.proxy_id, report.incarnation)
    if previous is not None:
        if identity != (
            previous.proxy,
            previous.proxy_id,
            previous.incarnation,
        ):
            refuse(state, link, 'proxy identity changed on an open connection')
            return False
        return True
    link.name = report.proxy
    link.member_id = report.proxy_id
    older = state.links.get(state.proxies.get(report.proxy, 0))
    if older is not None:
        has_other_id = older.member_id != link.member_id
        if has_other_id and is_member(state, older.name, older.member_id):
            return True  # a newcomer must not replace the link of a member
        older.is_served = False
        state.outbox.append(Close(conn=older.conn, reason='superseded'))
    state.proxies[report.proxy] = link.conn
    return True


def _announce_command(report: ProxyReport) -> AnnounceMember:
    return AnnounceMember(
        role='proxy',
        name=report.proxy,
        member_id=report.proxy_id,
        host=report.host,
        port=report.port,
        data_centre=report.data_centre,
    )


def _send_member_state(state: ControlState, link: LinkState) -> None:
    """Send a proxy that has not joined its membership state, and no lease."""
    assert link.report is not None
    grant = LeaseGrant(
        seq=link.report.seq,
        leases=[],
        duration_ms=0,
        version=0,
        member_state=member_state(state, link.name, link.member_id),
    )
    send(state, link.conn, grant)


def process_report(
    state: ControlState,
    leader: LeaderState,
    link: LinkState,
    change: ReportChange | None = None,
) -> None:
    """Process the latest report of a joined proxy.

    Only what has changed is processed, unless this leader does not have the
    observations that the change is based on.
    """
    report = link.report
    if report is None or state.proxies.get(link.name) != link.conn:
        return
    leader.versions_in_force[link.name] = report.version
    note_arrival(state, link, report.seq)
    if not link.is_served:
        _start_serving(state, leader, link, report)
        change = None
    push_update(state, link)
    _record_evidence(state, leader, report, change)
    if state.cfg.delegated:
        record_observations(state, leader, report, change)
    lease_ledger.note_report(
        leader.leases,
        state.now_ms,
        link.name,
        report.incarnation,
        link.conn,
        report.seq,
    )


def _start_serving(
    state: ControlState,
    leader: LeaderState,
    link: LinkState,
    report: ProxyReport,
) -> None:
    link.is_served = True
    if state.cfg.delegated:
        # The platform runs one process of a proxy at a time, so the earlier
        # one has ended.
        lease_ledger.note_restart(leader.leases, link.name, report.incarnation)
    previous = leader.permits.incarnations.get(link.name)
    if previous is not None and previous != report.incarnation:
        reserve_permits(state, leader, link.name)
    was_granting = permit_ledger.is_granting(leader.permits, state.now_ms)
    leader.dirty_permits |= permit_ledger.record_holdings(
        leader.permits, link.name, report.incarnation, report.holdings
    )
    if permit_ledger.is_granting(leader.permits, state.now_ms) > was_granting:
        leader.dirty_permits.update(leader.permits.upstreams)
    for upstream, wanted in link.demands.items():
        permit_ledger.record_demand(
            leader.permits, state.now_ms, link.name, upstream, wanted
        )
    leader.dirty_permits.update(link.demands)
    for name, group in state.machine.groups.items():
        if group.promotion is not None:
            leader.dirty_groups.add(name)
    request_approvals(state)


def reserve_permits(
    state: ControlState, leader: LeaderState, proxy: str
) -> None:
    """Reserve the permits of a lost process until it can no longer use them.

    That is when its last lease has expired and the longest statement started
    under it has ended.
    """
    end_ms = lease_ledger.lease_end_ms(leader.leases, state.now_ms, proxy)
    permit_ledger.reserve_permits(
        leader.permits, proxy, end_ms + state.cfg.max_statement_ms
    )


def _record_evidence(
    state: ControlState,
    leader: LeaderState,
    report: ProxyReport,
    change: ReportChange | None,
) -> None:
    """Record the reachability of upstreams as a proxy reports it.

    Marks the groups with an upstream that is reported as not up. Their
    promotions are reconsidered, as are those of all groups still marked
    unless a tick does that.
    """
    detector = leader.detector
    if change is None or not failure_detector.is_live(
        detector, state.now_ms, report.proxy
    ):
        evidence = report.evidence
        failure_detector.record_evidence(
            detector, state.now_ms, report.proxy, evidence
        )
    else:
        evidence = change.evidence
        failure_detector.record_changes(
            detector, state.now_ms, report.proxy, evidence, change.gone
        )
    for upstream, reachability in evidence.items():
        member = state.machine.members.get(upstream)
        if reachability != 'up' and member is not None and member.group:
            leader.suspect_groups.add(member.group)
            leader.dirty_groups.add(member.group)
    if not state.cfg.delegated:
        leader.dirty_groups |= leader.suspect_groups


def push_update(state: ControlState, link: LinkState) -> None:
    """Send a joined proxy the published changes that it does not have."""
    report = link.report
    if not link.is_served or report is None:
        return
    base = link.sent_version
    is_overdue = state.now_ms > link.sent_ms + UPDATE_RESEND_MS
    if base is None or (report.version < base and is_overdue):
        base = report.version
    if base >= state.machine.version:
        link.sent_version = base
        return
    send(state, link.conn, shared_update(state.updates, state.machine, base))
    link.sent_version = state.machine.version
    link.sent_ms = state.now_ms


def push_updates(state: ControlState) -> None:
    """Send every joined proxy the published changes that it does not have."""
    for conn in state.proxies.values():
        push_update(state, state.links[conn])


def update_permits(state: ControlState, leader: LeaderState) -> None:
    """Grant and recall permits of the upstreams that changed or are due."""
    due_ms = leader.permit_due_ms
    names = {name for name, at_ms in due_ms.items() if at_ms <= state.now_ms}
    names |= leader.dirty_permits & leader.permits.upstreams.keys()
    leader.dirty_permits = set()
    decisions = permit_ledger.decide_permits(
        leader.permits, state.now_ms, names
    )
    for decision in decisions:
        conn = state.proxies.get(decision.proxy)
        if conn is None:
            continue
        kind = PermitGrant if decision.action == 'grant' else PermitRecall
        send(
            state, conn, kind(upstream=decision.upstream, count=decision.count)
        )
    for name in names:
        next_ms = permit_ledger.next_permit_due_ms(
            leader.permits, state.now_ms, name
        )
        if next_ms is None:
            due_ms.pop(name, None)
        else:
            due_ms[name] = next_ms


def refresh_upstreams(state: ControlState, leader: LeaderState) -> None:
    """Update the joined upstreams and their slots.

    A leaving upstream counts with 0 slots, so no permits are granted for it.
    """
    leader.group_upstreams = {}
    for name, member in state.machine.members.items():
        if member.role == 'upstream':
            leader.group_upstreams.setdefault(member.group, []).append(name)
    slots = {
        name: 0 if is_leaving(state, name) else member.slots
        for name, member in state.machine.members.items()
        if member.role == 'upstream'
    }
    permit_ledger.set_slots(leader.permits, slots)
    leader.dirty_permits.update(slots)


def note_leaving_upstreams(
    state: ControlState, leader: LeaderState, now_ms: float | None
) -> None:
    """Record since when the upstreams that are leaving now have been.

    Parameters
    ----------
    now_ms : float, optional
        Time for those that were not known to leave; None at an election,
        since how long ago the earlier leader recorded them is not known.
    """
    since_ms = leader.leaving_since_ms
    leader.leaving_since_ms = {
        key: since_ms.get(key, now_ms)
        for key in (
            (name, member.member_id)
            for name, member in state.machine.members.items()
            if member.role == 'upstream' and is_leaving(state, name)
        )
    }


def stop_serving(state: ControlState, link: LinkState) -> None:
    """Stop serving a proxy that is lost or no longer a member."""
    if state.proxies.get(link.name) == link.conn and state.leader is not None:
        if link.is_served:
            reserve_permits(state, state.leader, link.name)
    link.is_served = False
    link.sent_version = None


def on_proxy_closed(state: ControlState, link: LinkState) -> None:
    """Stop serving a proxy whose connection has closed."""
    stop_serving(state, link)
    if state.proxies.get(link.name) == link.conn:
        del state.proxies[link.name]


def close_silent_proxies(state: ControlState, leader: LeaderState) -> None:
    """Close connections on which a proxy has stopped reporting.

    A connection can stay silent without being closed.
    """
    limit_ms = state.cfg.report_ttl_ms * (1 + state.cfg.clock_margin)
    limit_ms = limit_ms or lease_ledger.hold_ms(leader.leases)
    for link in list(state.links.values()):
        if (
            not link.is_served
            or state.now_ms < link.last_contact_ms + limit_ms
        ):
            continue
        log(state, 'warning', 'proxy_silent', proxy=link.name)
        on_proxy_closed(state, link)
        del state.links[link.conn]
        state.outbox.append(
            Close(
                conn=link.conn,
                reason='no report in time',
                abort=True,
            )
        )


def drop_removed_proxies(state: ControlState, leader: LeaderState) -> None:
    """Stop serving proxies that are no longer members."""
    for link in state.links.values():
        if link.is_served and not is_member(state, link.name, link.member_id):
            stop_serving(state, link)
            failure_detector.remove_proxy(leader.detector, link.name)
            leader.versions_in_force.pop(link.name, None)
