"""Reports to control: what this pooler observes of the upstreams.

A full report names every upstream. While the same leader answers, the later
ones state only what has changed, so that their size depends on the events and
not on the number of upstreams. Positions change with every commit, but control
needs them only to choose a new primary; they are reported while a group has
none or its primary leaves.
"""

from __future__ import annotations

from jackdawpost.core.messages.control import ProxyReport
from jackdawpost.core.messages.control import ReportChange
from jackdawpost.core.messages.control import UpstreamReport
from jackdawpost.core.outbox import send
from jackdawpost.core.pooler.rate_reports import build_rate_report
from jackdawpost.core.pooler.state import get_group
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import ReportedUpstream
from jackdawpost.core.pooler.watching import is_watched

# Interval of full reports to a leader that has had one. It bounds how old the
# positions can be that control knows of a group with a primary.
FULL_REPORT_INTERVAL_MS = 10_000.0
# An upstream that is not watched is reported for this time after its last
# answer.
UNWATCHED_REPORT_MS = 1_000.0
# Reports whose send time is remembered, for positions that answer them.
MAX_REMEMBERED_REPORTS = 16


def send_report(state: PoolerState) -> None:
    """Report to the leader, or to all control processes if it is unknown."""
    leader_conn = state.leader_conn
    targets = [leader_conn] if leader_conn else list(state.control_conns)
    if not targets:
        return
    state.report_seq += 1
    state.leases.note_report(state.report_seq, state.now_ms)
    state.reports_sent_ms[state.report_seq] = state.now_ms
    if len(state.reports_sent_ms) > MAX_REMEMBERED_REPORTS:
        del state.reports_sent_ms[next(iter(state.reports_sent_ms))]
    if state.unanswered_report_ms is None:
        state.unanswered_report_ms = state.now_ms
    is_change = (
        leader_conn != 0
        and leader_conn == state.reported_conn
        and state.now_ms < state.full_report_due_ms
    )
    message: ProxyReport | ReportChange
    if is_change:
        message = _build_change(state)
    else:
        message = _build_report(state)
        state.reported_conn = leader_conn
        state.full_report_due_ms = state.now_ms + FULL_REPORT_INTERVAL_MS
    for conn in targets:
        rate_report = build_rate_report(state, conn)
        send(state, conn, message, *rate_report)


def _build_report(state: PoolerState) -> ProxyReport:
    cfg = state.cfg
    state.reported = {
        name: reported
        for name, pool in state.pools.items()
        if (reported := _observe(state, pool)) is not None
    }
    return ProxyReport(
        proxy=cfg.name,
        proxy_id=cfg.member_id,
        incarnation=cfg.incarnation,
        seq=state.report_seq,
        host=cfg.host,
        port=cfg.port,
        data_centre=cfg.data_centre,
        version=state.published.version,
        draining=state.drain_started_ms is not None,
        evidence={
            name: reported.reachability
            for name, reported in state.reported.items()
        },
        upstreams={
            name: reported.report
            for name, reported in state.reported.items()
            if reported.report is not None
        },
    )


def _build_change(state: PoolerState) -> ReportChange:
    change = ReportChange(
        seq=state.report_seq,
        version=state.published.version,
        draining=state.drain_started_ms is not None,
    )
    upstreams: dict[str, UpstreamReport] = {}
    observed: set[str] = set()
    for name, pool in state.pools.items():
        current = _observe(state, pool)
        if current is None:
            continue
        observed.add(name)
        previous = state.reported.get(name)
        if previous is None or previous.reachability != current.reachability:
            change.evidence[name] = current.reachability
        if current.report is not None and _is_news(
            state, pool, previous, current.report
        ):
            upstreams[name] = current.report
        elif previous is not None:
            current.report = previous.report
        state.reported[name] = current
    change.gone = [name for name in state.reported if name not in observed]
    for name in change.gone:
        del state.reported[name]
    change.upstreams = upstreams or None
    return change


def _observe(state: PoolerState, pool: Pool) -> ReportedUpstream | None:
    """Return what there is to report of an upstream, or None.

    There is nothing before a probe, nor of an upstream that is not watched.
    """
    is_outdated = state.now_ms >= pool.last_contact_ms + UNWATCHED_REPORT_MS
    if not pool.reachability or (is_outdated and not is_watched(state, pool)):
        return None
    received = pool.highest_position
    report = None
    if received is not None:
        report = UpstreamReport(
            leads=pool.leads, term=pool.term, received=received
        )
    return ReportedUpstream(reachability=pool.reachability, report=report)


def _is_news(
    state: PoolerState,
    pool: Pool,
    previous: ReportedUpstream | None,
    current: UpstreamReport,
) -> bool:
    known = previous.report if previous is not None else None
    if known is None:
        return True
    if (known.leads, known.term) != (current.leads, current.term):
        return True
    return known.received != current.received and _needs_positions(state, pool)


def _needs_positions(state: PoolerState, pool: Pool) -> bool:
    """Return whether control may choose a new primary for the group."""
    primary = state.pools.get(get_group(state, pool.view.group).primary or '')
    return primary is None or primary.view.leaving
