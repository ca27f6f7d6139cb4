"""Updates of the published state, applied to groups, upstreams and terms."""

from __future__ import annotations

from jackdawpost.core.messages.control import StateUpdate
from jackdawpost.core.outbox import log
from jackdawpost.core.proxy.admission import AdmissionQueue
from jackdawpost.core.proxy.admission import STALE_READ
from jackdawpost.core.proxy.answers import finish_error
from jackdawpost.core.proxy.answers import retry_unconfirmed_writes
from jackdawpost.core.proxy.conns import close_surplus_conns
from jackdawpost.core.proxy.conns import drop_conn
from jackdawpost.core.proxy.conns import return_permits
from jackdawpost.core.proxy.control import schedule_validity_check
from jackdawpost.core.proxy.control import send_report
from jackdawpost.core.proxy.freshness import FreshnessTracker
from jackdawpost.core.proxy.monitors import open_monitor
from jackdawpost.core.proxy.state import close
from jackdawpost.core.proxy.state import Group
from jackdawpost.core.proxy.state import ProxyState
from jackdawpost.core.proxy.state import schedule
from jackdawpost.core.proxy.state import Upstream
from jackdawpost.core.published import apply_update
from jackdawpost.core.published import GroupView
from jackdawpost.core.published import LimitView
from jackdawpost.core.published import UpstreamView
from jackdawpost.core.retry import RetryBudget

# Limits of a group for which none are published.
DEFAULT_QUEUE_LENGTH = 1_000
DEFAULT_RETRY_RATIO = 0.1
DEFAULT_MAX_DEADLINE_MS = 60_000
# Spreads the connections that all proxies open to a new primary.
OPEN_JITTER_MS = 20.0
# Time for which reads with an accepted age wait for the first reports of a new
# term. Without it they would all go to the new primary.
NEW_TERM_GRACE_MS = 150.0


def on_state_update(state: ProxyState, message: StateUpdate) -> None:
    """Apply an update of the published state and act on the changes.

    The resulting version is reported at once. An update that does not follow
    the current version is dropped; the report of that version makes the
    leader send what is missing.
    """
    before = state.published.version
    if not apply_update(state.published, message):
        log(
            state,
            'warning',
            'update_gap',
            version=before,
            from_version=message.from_version,
        )
        send_report(state)
        return
    if state.published.version == before:
        return
    state.proxy_count = max(
        1,
        sum(
            member.role == 'proxy' and member.state in ('joined', 'leaving')
            for member in state.published.members.values()
        ),
    )
    _refresh_groups(state)
    _refresh_upstreams(state)
    _remove_joined_newcomers(state)
    state.leases.note_version(state.published.version)
    schedule_validity_check(state)
    send_report(state)


def _refresh_groups(state: ProxyState) -> None:
    limits = {limit.group: limit for limit in state.published.limits.values()}
    for name in [n for n in state.groups if n not in state.published.groups]:
        group = state.groups.pop(name)
        retry_unconfirmed_writes(state, group)
        for req in group.queue.pop_all():
            finish_error(
                state, req, 'not_run', 'unknown_route', 'group removed'
            )
    for name, view in state.published.groups.items():
        known = state.groups.get(name)
        if known is None:
            known = _new_group(view)
            state.groups[name] = known
        _apply_limit(known, limits.get(name))
        old = known.view
        known.view = view
        if (old.term, old.primary) != (view.term, view.primary):
            _on_new_term(state, known, old)
        state.groups_to_dispatch.add(name)


def _new_group(view: GroupView) -> Group:
    return Group(
        name=view.name,
        view=view,
        queue=AdmissionQueue(DEFAULT_QUEUE_LENGTH),
        retry_budget=RetryBudget(DEFAULT_RETRY_RATIO),
        freshness=FreshnessTracker(view.term),
    )


def _apply_limit(group: Group, limit: LimitView | None) -> None:
    if limit is None:
        group.queue.limit = DEFAULT_QUEUE_LENGTH
        group.retry_budget.ratio = DEFAULT_RETRY_RATIO
        group.max_deadline_ms = DEFAULT_MAX_DEADLINE_MS
        return
    group.queue.limit = limit.queue_length
    group.retry_budget.ratio = limit.retry_ratio
    group.max_deadline_ms = limit.max_deadline_ms


def _on_new_term(state: ProxyState, group: Group, old: GroupView) -> None:
    """Act on a new term or primary of a group.

    The new primary gets no slow start.
    """
    log(
        state,
        'info',
        'new_term',
        group=group.name,
        term=group.view.term,
        primary=group.view.primary,
    )
    if group.view.term != old.term:
        group.freshness.reset(group.view.term)
        group.new_term_grace_until_ms = state.now_ms + NEW_TERM_GRACE_MS
        group.queue.reset_rate()
        retry_unconfirmed_writes(state, group)
        _drop_frames_of_earlier_terms(state, group)
    jitter = state.rng.random() * OPEN_JITTER_MS
    for up in group.upstreams:
        if up.name == group.view.primary:
            up.recovered_ms = float('-inf')
            up.next_open_ms = max(up.next_open_ms, state.now_ms + jitter)


def _drop_frames_of_earlier_terms(state: ProxyState, group: Group) -> None:
    # The answers to these frames could not be used. Once their connections are
    # dropped, the requests are retried on the new primary at once.
    for conn in list(state.conns.values()):
        up = state.upstreams[conn.upstream]
        if up.view.group != group.name:
            continue
        has_outdated_request = any(
            req.term < group.view.term and req.priority != STALE_READ
            for req in conn.running.values()
        )
        if has_outdated_request or conn.txn is not None:
            drop_conn(state, conn, 'term ended', 'lease_lost')


def _refresh_upstreams(state: ProxyState) -> None:
    views = state.published.upstreams
    for up in list(state.upstreams.values()):
        if not _has_same_identity(up.view, views.get(up.name)):
            _remove_upstream(state, up)
    for group in state.groups.values():
        group.upstreams.clear()
    for name, view in views.items():
        known = state.upstreams.get(name)
        if known is None:
            known = Upstream(name, view)
            state.upstreams[name] = known
            open_monitor(state, known)
            due_ms = state.now_ms + state.cfg.probe_interval_ms
            schedule(state, due_ms, 'probe', name)
        known.view = view
        known.leaving = view.leaving or known.reported_leaving
        close_surplus_conns(state, known)
        if view.group in state.groups:
            state.groups[view.group].upstreams.append(known)


def _has_same_identity(old: UpstreamView, new: UpstreamView | None) -> bool:
    return new is not None and (
        old.data_id,
        old.host,
        old.port,
        old.group,
    ) == (new.data_id, new.host, new.port, new.group)


def _remove_upstream(state: ProxyState, up: Upstream) -> None:
    if up.monitor:
        state.monitor_conns.pop(up.monitor, None)
        close(state, up.monitor, 'upstream removed', abort=True)
    for conn_id in list(up.conns):
        drop_conn(state, state.conns[conn_id], 'upstream removed')
    account = state.permits.account(up.name)
    if state.leader_conn:
        return_permits(state, up.name, account.held)
    del state.permits.accounts[up.name]
    del state.upstreams[up.name]


def _remove_joined_newcomers(state: ProxyState) -> None:
    joined = {member.member_id for member in state.published.members.values()}
    for newcomer_id in [i for i in state.approvals if i in joined]:
        if not state.approvals[newcomer_id].conn:
            del state.approvals[newcomer_id]
