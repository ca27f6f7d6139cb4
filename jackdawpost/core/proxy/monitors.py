"""Monitor connections to upstreams: probes, progress, failure detection."""

from __future__ import annotations

from jackdawpost.core.effects import Connect
from jackdawpost.core.events import ConnClosed
from jackdawpost.core.events import ConnOpened
from jackdawpost.core.messages.upstream import Probe
from jackdawpost.core.messages.upstream import Probed
from jackdawpost.core.messages.upstream import Progress
from jackdawpost.core.outbox import count
from jackdawpost.core.outbox import log
from jackdawpost.core.proxy.answers import answer_replicated_writes
from jackdawpost.core.proxy.control import send_report
from jackdawpost.core.proxy.state import close
from jackdawpost.core.proxy.state import Group
from jackdawpost.core.proxy.state import holds_lease
from jackdawpost.core.proxy.state import new_conn_id
from jackdawpost.core.proxy.state import new_id
from jackdawpost.core.proxy.state import ProxyState
from jackdawpost.core.proxy.state import schedule
from jackdawpost.core.proxy.state import send
from jackdawpost.core.proxy.state import Upstream
from jackdawpost.core.retry import backoff_ms

# The first failure may concern only that connection; a second connection
# shows whether the upstream has failed.
FAILURES_BEFORE_EVIDENCE = 2


def open_monitor(state: ProxyState, up: Upstream) -> None:
    """Open a monitor connection, replacing any earlier one."""
    if up.monitor:
        state.monitor_conns.pop(up.monitor, None)
        close(state, up.monitor, 'monitor connection replaced', abort=True)
    up.monitor = new_conn_id(state)
    up.monitor_open = False
    up.probes.clear()
    state.monitor_conns[up.monitor] = up.name
    state.outbox.append(
        Connect(
            conn=up.monitor,
            peer=up.name,
            host=up.view.host,
            port=up.view.port,
            purpose='monitor',
            timeout_ms=state.cfg.probe_timeout_ms,
        )
    )


def on_monitor_opened(state: ProxyState, event: ConnOpened) -> None:
    """Start probing on a new monitor connection.

    An upstream with another data identity than the published one counts as
    refused.
    """
    up = _monitored_upstream(state, event.conn)
    if up is None:
        close(state, event.conn, 'connection no longer needed')
        return
    if event.data_id != up.view.data_id:
        log(state, 'warning', 'other_data', upstream=up.name)
        _on_monitor_failure(state, up, 'refused')
        return
    up.monitor_open = True
    _send_probe(state, up)


def on_monitor_closed(state: ProxyState, event: ConnClosed) -> None:
    """Count a failure for a monitor connection that closed or never opened."""
    up = _monitored_upstream(state, event.conn)
    if up is None:
        return
    state.monitor_conns.pop(event.conn)
    up.monitor = 0
    evidence = 'silent' if event.reason == 'timeout' else 'refused'
    _on_monitor_failure(state, up, evidence)


def _monitored_upstream(state: ProxyState, conn: int) -> Upstream | None:
    name = state.monitor_conns.get(conn)
    return None if name is None else state.upstreams.get(name)


def _on_monitor_failure(
    state: ProxyState, up: Upstream, evidence: str
) -> None:
    """Reconnect at once, or report the upstream and back off.

    It is reported once `FAILURES_BEFORE_EVIDENCE` connections have failed in
    succession.
    """
    up.failures += 1
    up.monitor_open = False
    if up.failures >= FAILURES_BEFORE_EVIDENCE:
        set_evidence(state, up, evidence)
        if up.monitor:
            state.monitor_conns.pop(up.monitor)
            close(state, up.monitor, 'monitor connection failed', abort=True)
            up.monitor = 0
        delay_ms = state.cfg.probe_interval_ms / 2
        delay_ms += backoff_ms(1, state.rng)
        schedule(state, state.now_ms + delay_ms, 'monitor', up.name)
    else:
        open_monitor(state, up)


def reopen_monitor(state: ProxyState, name: str) -> None:
    """Open a monitor connection again after a back-off."""
    up = state.upstreams.get(name)
    if up is not None and not up.monitor:
        open_monitor(state, up)


def on_probe_due(state: ProxyState, name: str) -> None:
    """Send the next probe, or drop a connection that does not answer."""
    up = state.upstreams.get(name)
    if up is None:
        return
    schedule(state, state.now_ms + state.cfg.probe_interval_ms, 'probe', name)
    if not up.monitor_open:
        return
    oldest_ms = next(iter(up.probes.values()), state.now_ms)
    if state.now_ms - oldest_ms < state.cfg.probe_timeout_ms:
        _send_probe(state, up)
        return
    count(state, 'monitor_silent')
    _on_monitor_failure(state, up, 'silent')


def probe_for_sample(state: ProxyState, name: str) -> None:
    """Probe at once in a new term.

    Replicas serve reads only after the first sample of the term.
    """
    up = state.upstreams.get(name)
    if up is not None and up.monitor_open:
        _send_probe(state, up)


def _send_probe(state: ProxyState, up: Upstream) -> None:
    probe_id = new_id(state)
    up.probes[probe_id] = state.now_ms
    send(state, up.monitor, Probe(id=probe_id))


def on_monitor_message(
    state: ProxyState, conn: int, message: Probed | Progress
) -> None:
    """Record the term, role and positions that an upstream reports."""
    up = _monitored_upstream(state, conn)
    if up is None or not up.monitor_open:
        return
    group = state.groups.get(up.view.group)
    sent_ms = None
    if isinstance(message, Probed):
        sent_ms = up.probes.pop(message.id, None)
        if sent_ms is None:
            return
        _drop_earlier_probes(up, message.id)
        up.failures = 0
        set_evidence(state, up, 'up')
    up.term = message.term
    up.leads = message.leads
    up.received = message.received
    up.applied = message.applied
    _update_leaving(state, up, message.leaving)
    if group is None:
        return
    if up.name != group.view.primary:
        _update_lag(state, group, up)
        answer_replicated_writes(state, group)
    elif sent_ms is not None and message.leads:
        _record_sample(state, group, up, sent_ms)
    if len(group.queue):
        state.groups_to_dispatch.add(group.name)


def _drop_earlier_probes(up: Upstream, probe_id: int) -> None:
    # Probes are answered in order: earlier ones will not be answered.
    for earlier in [i for i in up.probes if i < probe_id]:
        del up.probes[earlier]


def _record_sample(
    state: ProxyState, group: Group, up: Upstream, sent_ms: float
) -> None:
    # A replaced primary may still answer. The lease proves that no other
    # primary could commit before this answer arrived.
    if holds_lease(state, group, up.term):
        position = max(up.received, up.applied)
        group.freshness.record_sample(sent_ms, up.term, position)


def _update_lag(state: ProxyState, group: Group, up: Upstream) -> None:
    if up.term != group.view.term:
        return
    age_ms = group.freshness.age_ms(up.applied, state.now_ms)
    if age_ms is not None:
        # Between two samples the age exceeds the lag by up to one probe
        # interval.
        up.lag_ms = max(0.0, age_ms - state.cfg.probe_interval_ms)


def _update_leaving(state: ProxyState, up: Upstream, leaving: bool) -> None:
    up.reported_leaving = leaving
    up.leaving = leaving or up.view.leaving


def set_evidence(state: ProxyState, up: Upstream, evidence: str) -> None:
    """Record the reachability of an upstream; report a change at once.

    An upstream that was down and is up again begins its slow start.
    """
    if up.evidence == evidence:
        return
    log(state, 'info', 'evidence', upstream=up.name, evidence=evidence)
    if evidence == 'up' and up.was_down:
        up.recovered_ms = state.now_ms
    up.was_down = evidence != 'up'
    up.evidence = evidence
    state.groups_to_dispatch.add(up.view.group)
    send_report(state)
