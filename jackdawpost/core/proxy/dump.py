"""Snapshot of a proxy's state as plain data, for operators."""

from __future__ import annotations

import dataclasses
import math
from typing import Any

from jackdawpost.core.proxy.state import Group
from jackdawpost.core.proxy.state import ProxyState
from jackdawpost.core.proxy.state import Transaction
from jackdawpost.core.proxy.state import Upstream
from jackdawpost.core.proxy.state import UpstreamConn


def dump_proxy(state: ProxyState) -> dict[str, Any]:
    """Return a snapshot of a proxy's state as plain data.

    Callers are only counted, as there may be thousands of them.
    """
    now_ms = state.now_ms
    return {
        'now_ms': now_ms,
        'config': dataclasses.asdict(state.cfg),
        'version': state.published.version,
        'member_state': state.member_state,
        'draining': state.drain_started_ms is not None,
        'callers': len(state.callers),
        'requests': len(state.requests),
        'requests_by_phase': _count_phases(state),
        'leader': state.control_conns.get(state.leader_conn),
        'controls': sorted(state.control_conns.values()),
        'report_seq': state.report_seq,
        'control_left_ms': _finite(state.leases.config_until_ms - now_ms),
        'leases': state.leases.dump(),
        'permits': {
            name: dataclasses.asdict(account)
            for name, account in state.permits.accounts.items()
        },
        'groups': {g.name: _dump_group(g) for g in state.groups.values()},
        'upstreams': {
            up.name: _dump_upstream(up) for up in state.upstreams.values()
        },
        'connections': [_dump_conn(c) for c in state.conns.values()],
        'transactions': [_dump_txn(t) for t in state.txns.values()],
        'approvals': [
            dataclasses.asdict(item) for item in state.approvals.values()
        ],
        'agenda': len(state.agenda),
    }


def _finite(value: float) -> float | None:
    return value if math.isfinite(value) else None


def _count_phases(state: ProxyState) -> dict[str, int]:
    phases: dict[str, int] = {}
    for req in state.requests.values():
        phases[req.phase] = phases.get(req.phase, 0) + 1
    return phases


def _dump_conn(conn: UpstreamConn) -> dict[str, Any]:
    return {
        'conn': conn.conn,
        'upstream': conn.upstream,
        'opened': conn.opened,
        'running': len(conn.running),
        'condemned': conn.close_after_frame,
        'transaction': conn.txn.handle if conn.txn else None,
    }


def _dump_txn(txn: Transaction) -> dict[str, Any]:
    return {
        'handle': txn.handle,
        'caller': txn.caller,
        'group': txn.group,
        'term': txn.term,
        'conn': txn.conn,
    }


def _dump_group(group: Group) -> dict[str, Any]:
    return {
        'view': dataclasses.asdict(group.view),
        'queued': len(group.queue),
        'queue_limit': group.queue.limit,
        'retries_left': group.retry_budget.available,
        'samples': len(group.freshness),
        'waiting_for_copies': len(group.unconfirmed_writes),
    }


def _dump_upstream(up: Upstream) -> dict[str, Any]:
    return {
        'group': up.view.group,
        'data_id': up.view.data_id,
        'evidence': up.evidence,
        'leaving': up.leaving,
        'term': up.term,
        'leads': up.leads,
        'received': list(up.received),
        'applied': list(up.applied),
        'lag_ms': _finite(up.lag_ms),
        'outstanding': up.outstanding,
        'connections': len(up.conns),
        'idle': len(up.idle),
        'opening': up.opening,
        'failures': up.failures,
    }
