"""Links to control processes.

Sends reports to the control leader, applies the published state, and checks
newcomers that control asks this pooler to approve. A newcomer is an upstream
or a proxy that asks to join the deployment.
"""

from __future__ import annotations

from typing import Any

from jackdawpost.core.effects import SetPeers
from jackdawpost.core.messages.control import Approval
from jackdawpost.core.messages.control import ApprovalRequest
from jackdawpost.core.messages.control import LeaseGrant
from jackdawpost.core.messages.control import LeaseRevoke
from jackdawpost.core.messages.control import NotLeader
from jackdawpost.core.messages.control import PositionRequest
from jackdawpost.core.messages.control import RateGrant
from jackdawpost.core.messages.control import StateUpdate
from jackdawpost.core.messages.control import UpstreamAction
from jackdawpost.core.outbox import log
from jackdawpost.core.outbox import send
from jackdawpost.core.pooler.connections import close_upstream_conn
from jackdawpost.core.pooler.connections import open_connection
from jackdawpost.core.pooler.leases import apply_grant
from jackdawpost.core.pooler.leases import on_revoke
from jackdawpost.core.pooler.pools import sync_pools
from jackdawpost.core.pooler.probes import forward_control_action
from jackdawpost.core.pooler.probes import on_position_request
from jackdawpost.core.pooler.rate_reports import change_rate_link
from jackdawpost.core.pooler.rates import on_rate_grant
from jackdawpost.core.pooler.rates import update_rates
from jackdawpost.core.pooler.reports import send_report
from jackdawpost.core.pooler.sessions import end_unauthorized_sessions
from jackdawpost.core.pooler.sessions import open_waiting_sessions
from jackdawpost.core.pooler.state import Newcomer
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import schedule
from jackdawpost.core.pooler.state import UpstreamConn
from jackdawpost.core.pooler.tenants import index_keys
from jackdawpost.core.pooler.upstreams import drop_replaced_primaries
from jackdawpost.core.published import apply_update
from jackdawpost.core.published import UpstreamView
from jackdawpost.core.rates.stock import reset_link

# Interval of reports while the leader is unknown: about one round trip between
# regions.
LEADER_SEARCH_INTERVAL_MS = 150.0
# A leader that leaves a report unanswered for this time is dropped. An
# election in progress delays an answer for less time.
LEADER_ANSWER_TIMEOUT_MS = 1_000.0
# Longer than an answer takes. A process that names another leader than the
# known one may only be late.
REPLACED_LEADER_SILENCE_MS = 100.0
APPROVAL_RETRY_INTERVAL_MS = 300.0
MAX_APPROVAL_ATTEMPTS = 20


def on_control_opened(state: PoolerState, conn: int, peer: str) -> None:
    """Record a new connection; report at once if no leader is known."""
    state.control_conns[conn] = peer
    log(state, 'info', 'control_connected', peer=peer)
    if not state.leader_conn:
        send_report(state)


def on_control_closed(state: PoolerState, conn: int) -> None:
    """Remove a closed connection; if it was the leader's, search for one."""
    peer = state.control_conns.pop(conn)
    log(
        state,
        'warning',
        'control_lost',
        peer=peer,
        led=conn == state.leader_conn,
    )
    if conn == state.rates.link:
        reset_link(state.rates, 0)
    if conn == state.leader_conn:
        search_leader(state)


def search_leader(state: PoolerState) -> None:
    """Report to all control processes; only a leader sends a `LeaseGrant`."""
    state.leader_conn = 0
    state.unanswered_report_ms = None
    send_report(state)
    schedule(state, 'report', state.now_ms + LEADER_SEARCH_INTERVAL_MS)


def on_report_due(state: PoolerState) -> None:
    """Send the regular report, or drop a leader that does not answer."""
    unanswered_report_ms = state.unanswered_report_ms
    if state.leader_conn and unanswered_report_ms is not None:
        if state.now_ms - unanswered_report_ms >= LEADER_ANSWER_TIMEOUT_MS:
            log(
                state,
                'warning',
                'leader_silent',
                peer=state.control_conns.get(state.leader_conn),
                waited_ms=round(state.now_ms - unanswered_report_ms),
            )
            search_leader(state)
            return
    send_report(state)
    delay_ms = state.cfg.report_interval_ms
    if not state.leader_conn:
        delay_ms = LEADER_SEARCH_INTERVAL_MS * (0.5 + state.rng.random())
    schedule(state, 'report', state.now_ms + delay_ms)


def on_control_message(state: PoolerState, conn: int, message: Any) -> None:
    """Handle one message of a control process."""
    if isinstance(message, LeaseGrant):
        _handle_grant(state, conn, message)
    elif isinstance(message, LeaseRevoke):
        on_revoke(state, conn, message)
    elif isinstance(message, StateUpdate):
        _handle_update(state, conn, message)
    elif isinstance(message, ApprovalRequest):
        _check_newcomer(state, conn, message)
    elif isinstance(message, PositionRequest):
        on_position_request(state, conn, message)
    elif isinstance(message, UpstreamAction):
        forward_control_action(state, conn, message)
    elif isinstance(message, RateGrant):
        on_rate_grant(state, conn, message)
    elif isinstance(message, NotLeader):
        if message.leader:
            _set_control_peers(state, {*state.connected_peers, message.leader})
        if conn == state.leader_conn or _is_replaced(state, message.leader):
            search_leader(state)


def _is_replaced(state: PoolerState, leader: str | None) -> bool:
    """Return whether another leader is named while the known one is silent.

    A frozen leader keeps its connections. Without this check, poolers went on
    without leases and positions for up to 0.7 s after an election.
    """
    unanswered_ms = state.unanswered_report_ms
    return (
        leader is not None
        and bool(state.leader_conn)
        and leader != state.control_conns.get(state.leader_conn)
        and unanswered_ms is not None
        and state.now_ms >= unanswered_ms + REPLACED_LEADER_SILENCE_MS
    )


def _set_control_peers(state: PoolerState, peers: set[str]) -> None:
    """Replace the set of control processes to stay connected to."""
    if peers != state.connected_peers:
        state.connected_peers = peers
        state.outbox.append(SetPeers(peers=sorted(peers)))


def connect_to_seeds(state: PoolerState) -> None:
    """Connect to the control processes listed in the settings."""
    _set_control_peers(state, {*state.connected_peers, *state.cfg.seeds})
    schedule(state, 'report', state.now_ms)


def _handle_grant(state: PoolerState, conn: int, message: LeaseGrant) -> None:
    """Record what the leader's answer to a report shows.

    This is the leader's connection, the membership and the leases of this
    proxy, and the control processes to stay connected to. An answer that
    arrives after the answer to a later report is ignored.
    """
    # Each departure is told once, maybe in a second answer to a report.
    _record_departures(state, message)
    if message.seq <= state.last_grant_seq:
        return
    state.last_grant_seq = message.seq
    state.last_grant_ms = state.now_ms
    state.unanswered_report_ms = None
    if conn != state.leader_conn:
        state.leader_conn = conn
        log(
            state,
            'info',
            'leader_found',
            peer=state.control_conns.get(conn),
            version=message.version,
        )
    if message.member_state != state.member_state:
        log(
            state,
            'info',
            'member_state',
            before=state.member_state,
            now=message.member_state,
        )
        state.member_state = message.member_state
    apply_grant(state, message)
    _record_positions(state, message)
    if conn != state.rates.link:
        change_rate_link(state)
    if message.peers:
        _set_control_peers(state, set(message.peers))


def _record_departures(state: PoolerState, message: LeaseGrant) -> None:
    """Record since when upstreams may have been leaving.

    Only a lower bound is safe: the answer may have been delayed on its way,
    but not before its report was sent.
    """
    sent_ms = state.reports_sent_ms.get(message.seq)
    if sent_ms is None:
        return
    if 0 < message.version <= state.published.version:
        state.confirmed_ms = max(state.confirmed_ms, sent_ms)
    for leaving in message.leaving or ():
        since_ms = sent_ms - leaving.age_ms
        pool = state.pools.get(leaving.upstream)
        if pool is None or pool.view.data_id != leaving.data_id:
            state.leaving_ms[leaving.upstream, leaving.data_id] = since_ms
        elif pool.leaving_since_ms is None:
            state.leaving_ms[leaving.upstream, leaving.data_id] = since_ms
        elif since_ms > pool.leaving_since_ms:
            pool.leaving_since_ms = since_ms
            state.dirty.add(f'group/{pool.view.group}')


def _record_positions(state: PoolerState, message: LeaseGrant) -> None:
    """Record the positions of primaries that control has asked others for."""
    for read_position in message.positions or ():
        sent_ms = state.reports_sent_ms.get(read_position.seq)
        group = state.groups.get(read_position.group)
        if sent_ms is not None and group is not None:
            group.samples.add(sent_ms, read_position.position)


def _handle_update(
    state: PoolerState, conn: int, message: StateUpdate
) -> None:
    """Apply an update of the published state and report the new version.

    An update that does not follow the current version is dropped. The
    following reports contain that version, from which the leader sends what
    is missing.
    """
    before = state.published.version
    if not apply_update(state.published, message):
        log(
            state,
            'warning',
            'update_gap',
            in_force=before,
            from_version=message.from_version,
        )
        return
    if state.published.version == before:
        return
    log(
        state,
        'info',
        'config_in_force',
        version=state.published.version,
        before=before,
        upserts=len(message.upserts),
        removals=len(message.removals),
        full=message.full,
    )
    state.endpoints = {
        view.database: view for view in state.published.endpoints.values()
    }
    index_keys(state)
    end_unauthorized_sessions(state)
    state.leases.note_version(state.published.version)
    sync_pools(state)
    drop_replaced_primaries(state)
    update_rates(state)
    if not before:
        open_waiting_sessions(state)
    # Report at once that this version is in force.
    send_report(state)


def _check_newcomer(
    state: PoolerState, conn: int, message: ApprovalRequest
) -> None:
    """Check a newcomer that control asks this pooler to approve.

    An upstream must answer at its address with its own identity; if it is
    being checked already, only the connection for the approval is updated.
    A proxy cannot be checked by connecting, since proxies do not connect to
    each other. Its address must not belong to a joined proxy of another name.
    """
    if message.role == 'proxy':
        _check_new_proxy(state, conn, message)
        return
    existing = state.newcomers.get(message.newcomer)
    if existing is not None and existing.member_id == message.newcomer_id:
        existing.control_conn = conn
        return
    newcomer = Newcomer(
        name=message.newcomer,
        member_id=message.newcomer_id,
        group=message.group,
        host=message.host,
        port=message.port,
        control_conn=conn,
    )
    state.newcomers[newcomer.name] = newcomer
    _connect_to_newcomer(state, newcomer)


def _check_new_proxy(
    state: PoolerState, conn: int, message: ApprovalRequest
) -> None:
    for member in state.published.members.values():
        if member.role != 'proxy' or member.member_id == message.newcomer_id:
            continue
        if member.state != 'joined':
            continue
        same_address = (member.host, member.port) == (
            message.host,
            message.port,
        )
        if same_address and member.name != message.newcomer:
            log(
                state,
                'warning',
                'approval_refused',
                newcomer=message.newcomer,
                member=member.name,
            )
            return
    _send_approval(
        state,
        conn,
        message.newcomer,
        message.newcomer_id,
        'name and address are not in use by others',
    )


def _connect_to_newcomer(state: PoolerState, newcomer: Newcomer) -> None:
    newcomer.attempts += 1
    view = UpstreamView(
        name=newcomer.name,
        group=newcomer.group,
        data_id=newcomer.member_id,
        host=newcomer.host,
        port=newcomer.port,
        data_centre='',
        slots=0,
        connections=0,
    )
    newcomer.conn = open_connection(state, view, 'check').conn


def on_newcomer_opened(state: PoolerState, conn: UpstreamConn) -> None:
    """Approve a newcomer that answered with its own identity."""
    close_upstream_conn(state, conn, 'newcomer checked')
    newcomer = state.newcomers.pop(conn.upstream, None)
    if newcomer is not None:
        _send_approval(
            state,
            newcomer.control_conn,
            newcomer.name,
            newcomer.member_id,
            'answers at its address under its identity',
        )


def on_newcomer_failed(state: PoolerState, conn: UpstreamConn) -> None:
    """Schedule another check; give up after `MAX_APPROVAL_ATTEMPTS`."""
    newcomer = state.newcomers.get(conn.upstream)
    if newcomer is None:
        return
    newcomer.conn = 0
    if newcomer.attempts >= MAX_APPROVAL_ATTEMPTS:
        log(
            state,
            'warning',
            'approval_refused',
            newcomer=newcomer.name,
            attempts=newcomer.attempts,
        )
        del state.newcomers[newcomer.name]
        return
    due_ms = state.now_ms + APPROVAL_RETRY_INTERVAL_MS
    schedule(state, f'newcomer/{newcomer.name}', due_ms)


def on_newcomer_due(state: PoolerState, name: str) -> None:
    """Connect to a newcomer for another check."""
    newcomer = state.newcomers.get(name)
    if newcomer is not None and not newcomer.conn:
        _connect_to_newcomer(state, newcomer)


def _send_approval(
    state: PoolerState,
    control_conn: int,
    newcomer: str,
    newcomer_id: str,
    checked: str,
) -> None:
    log(
        state,
        'info',
        'approved',
        newcomer=newcomer,
        newcomer_id=newcomer_id,
        checked=checked,
        version=state.published.version,
    )
    approval = Approval(
        member=state.cfg.name,
        member_id=state.cfg.member_id,
        newcomer=newcomer,
        newcomer_id=newcomer_id,
        checked=checked,
        version=state.published.version,
    )
    state.unsent_approvals.setdefault(control_conn, []).append(approval)


def send_approvals(state: PoolerState) -> None:
    """Send the approvals of one event in one frame for each connection."""
    unsent, state.unsent_approvals = state.unsent_approvals, {}
    for conn, approvals in unsent.items():
        send(state, conn, *approvals)
