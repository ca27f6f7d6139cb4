"""Tenants of callers, and what happens when a key is removed.

A caller of an endpoint that is not public identifies itself by a key. Each
operation is checked against the keys in force, since a key may be removed or
move to another tenant while the session is open.
"""

from __future__ import annotations

from jackdawpost.core.keys import fingerprint
from jackdawpost.core.outbox import count
from jackdawpost.core.outbox import log
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import Session
from jackdawpost.core.pooler.state import StatementTask
from jackdawpost.core.published import EndpointView

# Time for which a transaction may go on after the key of its caller has been
# removed. With the delivery of the configuration it stays below the 4 s in
# which a removal must be in force.
REMOVED_KEY_GRACE_MS = 2_000.0


def index_keys(state: PoolerState) -> None:
    """Index the published keys by their digests."""
    state.tenant_by_key = {
        key: tenant.name
        for tenant in state.published.tenants.values()
        for key in tenant.keys
    }


def find_tenant(
    state: PoolerState, endpoint: EndpointView, key: str
) -> str | None:
    """Return the tenant of a caller on an endpoint.

    Returns
    -------
    str or None
        Empty on a public endpoint; None if the key is missing or unknown.
    """
    if endpoint.public:
        return ''
    return state.tenant_by_key.get(key)


def describe_rejected_key(key: str) -> str:
    """Return the error text for a key that is missing or not in force."""
    if not key:
        return 'a key is required: START DATABASE KEY'
    return f'unknown key, its fingerprint is {fingerprint(key)}'


def caller_weight(state: PoolerState, task: StatementTask) -> float:
    """Return the weight of a statement's caller in the queue."""
    name = task.session.tenant if task.session is not None else ''
    tenant = state.published.tenants.get(name)
    return tenant.weight if tenant is not None else 1


def is_authorized(state: PoolerState, session: Session) -> bool:
    """Return whether the key of a session is in force; update its tenant."""
    endpoint = state.endpoints.get(session.database)
    if endpoint is None:
        return True
    tenant = find_tenant(state, endpoint, session.key)
    if tenant is None:
        return False
    if session.txn is None and session.task is None:
        session.tenant = tenant
    return True


def log_removed_key(state: PoolerState, session: Session) -> None:
    """Log that the key of an open session is no longer in force."""
    count(state, 'sessions_unauthorized')
    log(
        state,
        'info',
        'key_removed',
        session=session.conn,
        tenant=session.tenant,
        key=fingerprint(session.key),
        session_state=session.state,
        config_version=state.published.version,
    )
