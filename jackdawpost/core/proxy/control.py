"""Links to control processes: reports, leases, permits, approvals.

The proxy sends a report to the control leader at regular intervals and on
changes. The answer renews its leases (the right to acknowledge writes of a
group in a term) and confirms its configuration.
"""

from __future__ import annotations

import math
from typing import Any

from jackdawpost.core.effects import Connect
from jackdawpost.core.events import ConnOpened
from jackdawpost.core.messages.control import Approval as ApprovalMessage
from jackdawpost.core.messages.control import ApprovalRequest
from jackdawpost.core.messages.control import LeaseGrant
from jackdawpost.core.messages.control import LeaseRevoke
from jackdawpost.core.messages.control import LeaseRevoked
from jackdawpost.core.messages.control import NotLeader
from jackdawpost.core.messages.control import PermitGrant
from jackdawpost.core.messages.control import PermitRecall
from jackdawpost.core.messages.control import PermitReturn
from jackdawpost.core.messages.control import ProxyReport
from jackdawpost.core.outbox import count
from jackdawpost.core.outbox import log
from jackdawpost.core.proxy.answers import finish_error
from jackdawpost.core.proxy.answers import retry_unconfirmed_writes
from jackdawpost.core.proxy.conns import return_recalled_permits
from jackdawpost.core.proxy.conns import schedule_idle_permit_check
from jackdawpost.core.proxy.state import Approval
from jackdawpost.core.proxy.state import close
from jackdawpost.core.proxy.state import new_conn_id
from jackdawpost.core.proxy.state import ProxyState
from jackdawpost.core.proxy.state import schedule
from jackdawpost.core.proxy.state import send
from jackdawpost.core.proxy.state import SERVING_STATES

LEADER_SEARCH_INTERVAL_MS = 100
APPROVAL_RETRY_INTERVAL_MS = 500
MAX_APPROVAL_ATTEMPTS = 60


def on_control_opened(state: ProxyState, event: ConnOpened) -> None:
    """Record the connection; report at once if no leader is known."""
    state.control_conns[event.conn] = event.peer
    if not state.leader_conn:
        send_report(state)


def on_control_closed(state: ProxyState, conn: int) -> None:
    """Search for the leader if the connection to it has closed."""
    del state.control_conns[conn]
    if conn == state.leader_conn:
        _on_leader_lost(state)


def _on_leader_lost(state: ProxyState) -> None:
    count(state, 'leader_lost')
    state.leader_conn = 0
    state.permits.reset_demand()
    send_report(state)
    schedule_report(state)


def send_report(state: ProxyState) -> None:
    """Report to the leader, or to all control processes if it is unknown."""
    targets = (
        [state.leader_conn] if state.leader_conn else list(state.control_conns)
    )
    if not targets:
        return
    state.report_seq += 1
    state.leases.note_report(state.report_seq, state.now_ms)
    cfg = state.cfg
    report = ProxyReport(
        proxy=cfg.name,
        proxy_id=cfg.proxy_id,
        incarnation=cfg.incarnation,
        seq=state.report_seq,
        host=cfg.host,
        port=cfg.port,
        data_centre=cfg.data_centre,
        version=state.published.version,
        draining=state.drain_started_ms is not None,
        holdings=state.permits.holdings(),
        evidence={
            up.name: up.evidence  # type: ignore[misc]
            for up in state.upstreams.values()
            if up.evidence
        },
    )
    for conn in targets:
        send(state, conn, report)


def on_report_due(state: ProxyState, subject: object) -> None:
    """Send the regular report, or drop a leader that does not answer."""
    if state.now_ms < state.report_due_ms:
        return
    oldest_ms = state.leases.oldest_open_ms()
    limit_ms = state.cfg.report_interval_ms
    is_leader_silent = (
        oldest_ms is not None and state.now_ms - oldest_ms >= limit_ms
    )
    if state.leader_conn and is_leader_silent:
        log(state, 'warning', 'leader_silent', seq=state.report_seq)
        _on_leader_lost(state)
    else:
        # Demands are sent again in case control dropped one, such as one for
        # an upstream that it did not know yet.
        state.permits.reset_demand()
        mark_groups_to_dispatch(state)
        send_report(state)
        schedule_report(state)


def schedule_report(state: ProxyState) -> None:
    """Schedule the next regular report."""
    delay_ms = float(state.cfg.report_interval_ms)
    if not state.leader_conn:
        delay_ms = LEADER_SEARCH_INTERVAL_MS * (0.5 + state.rng.random() / 2)
    state.report_due_ms = state.now_ms + delay_ms
    schedule(state, state.report_due_ms, 'report')


def on_not_leader(state: ProxyState, conn: int, message: NotLeader) -> None:
    """Search for the new leader once the current one has lost its role.

    If the leader that it names is connected, reports go out at once.
    """
    if conn != state.leader_conn:
        # While no leader is known, reports go to all control processes.
        return
    count(state, 'leader_moved')
    state.leader_conn = 0
    state.permits.reset_demand()
    if any(name == message.leader for name in state.control_conns.values()):
        send_report(state)
    schedule_report(state)


def on_lease_grant(state: ProxyState, conn: int, message: LeaseGrant) -> None:
    """Renew leases and permits from the leader's answer to a report."""
    joined = message.member_state in SERVING_STATES
    if not state.leases.apply_grant(
        message.seq,
        message.leases if joined else [],
        message.duration_ms,
        message.version,
        state.published.version,
    ):
        count(state, 'grants_ignored')
        return
    if conn != state.leader_conn:
        state.leader_conn = conn
        state.permits.reset_demand()
    for name in state.permits.accounts:
        return_recalled_permits(state, name)
    state.member_state = message.member_state
    if not joined:
        state.leases.withdraw()
    schedule_validity_check(state)
    mark_groups_to_dispatch(state)
    for group in state.groups.values():
        if not len(group.freshness):
            for up in group.upstreams:
                schedule(state, state.now_ms, 'sample', up.name)


def mark_groups_to_dispatch(state: ProxyState) -> None:
    """Mark all groups with queued requests for dispatch."""
    for group in state.groups.values():
        if len(group.queue):
            state.groups_to_dispatch.add(group.name)


def schedule_validity_check(state: ProxyState) -> None:
    """Schedule a check for when the grant or the configuration expires."""
    expiries_ms = [
        expiry_ms
        for expiry_ms in (
            state.leases.config_until_ms,
            state.leases.grant_until_ms,
        )
        if expiry_ms > state.now_ms
    ]
    due_ms = min(expiries_ms, default=math.inf)
    if due_ms < state.validity_due_ms:
        state.validity_due_ms = due_ms
        schedule(state, due_ms, 'validity')


def check_validity(state: ProxyState, subject: object) -> None:
    """Invalidate permits and refuse queued requests after expiry.

    The grant and the configuration expire when control has not been
    reachable for too long.
    """
    state.validity_due_ms = math.inf
    if state.now_ms >= state.leases.grant_until_ms:
        state.permits.invalidate_all()
    if state.now_ms >= state.leases.config_until_ms:
        refuse_queued_requests(state)
    schedule_validity_check(state)


def refuse_queued_requests(state: ProxyState) -> None:
    """Refuse all queued requests, as control is unreachable."""
    for group in state.groups.values():
        for req in group.queue.pop_all():
            finish_error(state, req, 'not_run', 'control_unreachable')


def on_lease_revoke(
    state: ProxyState, conn: int, message: LeaseRevoke
) -> None:
    """Drop a group's lease and confirm the revocation at once."""
    state.leases.revoke(message.group, message.term)
    reply = LeaseRevoked(group=message.group, term=message.term)
    send(state, conn, reply)
    group = state.groups.get(message.group)
    if group is not None and group.view.term <= message.term:
        retry_unconfirmed_writes(state, group)


def on_permit_grant(
    state: ProxyState, conn: int, message: PermitGrant
) -> None:
    """Add granted permits, or return those that cannot be used."""
    up = state.upstreams.get(message.upstream)
    expired = state.now_ms >= state.leases.grant_until_ms
    if up is None or expired or conn != state.leader_conn:
        permit_return = PermitReturn(
            upstream=message.upstream, count=message.count
        )
        send(state, conn, permit_return)
        return
    state.permits.add_granted(up.name, message.count)
    schedule_idle_permit_check(state, up)
    state.groups_to_dispatch.add(up.view.group)


def on_permit_recall(
    state: ProxyState, conn: int, message: PermitRecall
) -> None:
    """Return permits now, or as soon as their statements end."""
    if conn != state.leader_conn:
        return
    state.permits.recall(message.upstream, message.count)
    return_recalled_permits(state, message.upstream)


def on_approval_request(
    state: ProxyState, conn: int, message: ApprovalRequest
) -> None:
    """Check a newcomer that control asks this proxy to approve.

    An upstream must be reachable and hold the announced data. For a proxy,
    the name and address must not belong to another member; no connection is
    tried, as proxies never connect to each other.
    """
    earlier = state.approvals.get(message.newcomer_id)
    if earlier is not None and earlier.conn:
        return
    approval = Approval(
        newcomer=message.newcomer,
        newcomer_id=message.newcomer_id,
        host=message.host,
        port=message.port,
        role=message.role,
    )
    if message.role == 'proxy':
        _check_new_proxy(state, approval)
        return
    state.approvals[message.newcomer_id] = approval
    _connect_to_newcomer(state, approval)


def _check_new_proxy(state: ProxyState, approval: Approval) -> None:
    for member in state.published.members.values():
        same_id = member.member_id == approval.newcomer_id
        same_address = (
            member.role == 'proxy'
            and (member.host, member.port) == (approval.host, approval.port)
            and member.state == 'joined'
        )
        same_name = member.name == approval.newcomer
        if not same_id and (same_address or same_name):
            log(
                state,
                'warning',
                'approval_refused',
                newcomer=approval.newcomer,
                member=member.name,
            )
            return
    _send_approval(
        state, approval, 'name and address are not in use by others'
    )


def _connect_to_newcomer(state: ProxyState, approval: Approval) -> None:
    approval.attempts += 1
    approval.conn = new_conn_id(state)
    state.approval_conns[approval.conn] = approval.newcomer_id
    state.outbox.append(
        Connect(
            conn=approval.conn,
            peer=approval.newcomer,
            host=approval.host,
            port=approval.port,
            purpose='monitor',
            timeout_ms=state.cfg.upstream_open_timeout_ms,
        )
    )


def on_approval_conn_opened(state: ProxyState, event: ConnOpened) -> None:
    """Approve a newcomer that is reachable and holds the announced data."""
    newcomer_id = state.approval_conns.pop(event.conn)
    close(state, event.conn, 'newcomer checked')
    approval = state.approvals[newcomer_id]
    approval.conn = 0
    if event.data_id == newcomer_id and event.peer == approval.newcomer:
        del state.approvals[newcomer_id]
        _send_approval(
            state, approval, 'monitor connection opened; same data_id'
        )
        return
    log(
        state,
        'warning',
        'approval_refused',
        newcomer=approval.newcomer,
        found=event.peer,
        data_id=event.data_id,
    )
    _schedule_approval_retry(state, approval)


def on_approval_conn_closed(state: ProxyState, conn: int) -> None:
    """Schedule another attempt to reach a newcomer."""
    approval = state.approvals[state.approval_conns.pop(conn)]
    approval.conn = 0
    _schedule_approval_retry(state, approval)


def _schedule_approval_retry(state: ProxyState, approval: Approval) -> None:
    if approval.attempts >= MAX_APPROVAL_ATTEMPTS:
        del state.approvals[approval.newcomer_id]
        return
    due_ms = state.now_ms + APPROVAL_RETRY_INTERVAL_MS
    schedule(state, due_ms, 'approval', approval.newcomer_id)


def retry_approval(state: ProxyState, newcomer_id: str) -> None:
    """Try to connect to a newcomer again."""
    approval = state.approvals.get(newcomer_id)
    if approval is not None and not approval.conn:
        _connect_to_newcomer(state, approval)


def _send_approval(
    state: ProxyState, approval: Approval, checked: str
) -> None:
    message = ApprovalMessage(
        member=state.cfg.name,
        member_id=state.cfg.proxy_id,
        newcomer=approval.newcomer,
        newcomer_id=approval.newcomer_id,
        checked=checked,
        version=state.published.version,
    )
    targets: list[Any] = [state.leader_conn] if state.leader_conn else []
    for conn in targets or list(state.control_conns):
        send(state, conn, message)
