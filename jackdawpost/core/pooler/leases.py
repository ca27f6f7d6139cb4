"""Write leases of the pooler, for upstreams that do not fence themselves.

Without fencing, a replaced primary goes on to answer for a while and nothing
in its answers tells. The pooler then vouches for an answer of the primary only
while it holds a lease of the group, since control orders no promotion before
every lease has ended. The lease is checked when the answer arrives: the
process may have been suspended since it sent the statement.
"""

from __future__ import annotations

from dataclasses import dataclass

from jackdawpost.core.messages.control import LeaseGrant
from jackdawpost.core.messages.control import LeaseRevoke
from jackdawpost.core.messages.control import LeaseRevoked
from jackdawpost.core.outbox import count
from jackdawpost.core.outbox import log
from jackdawpost.core.outbox import observe
from jackdawpost.core.outbox import send
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import schedule
from jackdawpost.core.pooler.state import schedule_probe
from jackdawpost.core.pooler.state import StatementTask

# Maximum time for which a revocation waits for the answers to statements that
# were sent under the lease. Callers would get unknown outcomes for them, but
# the promotion of the next primary waits meanwhile.
MAX_REVOCATION_DELAY_MS = 150.0


@dataclass(slots=True, kw_only=True)
class Revocation:
    """Revocation of a lease that waits for answers to sent statements.

    Parameters
    ----------
    term : int
        Highest term that is revoked.
    control_conn : int
        Control connection on which to confirm the revocation.
    requested_ms, due_ms : float
        Time at which control requested it, and at which it takes effect
        without further waiting.
    """

    term: int
    control_conn: int
    requested_ms: float
    due_ms: float


def lease_term(state: PoolerState, upstream: str, group: str) -> int | None:
    """Return the term in which an upstream's answers may be vouched for.

    Returns
    -------
    int or None
        Term of the group's lease; 0 if the upstreams fence themselves and no
        lease is needed. None if the lease is missing, has expired, or is for
        another primary.
    """
    if not state.cfg.needs_leases:
        return 0
    view = state.published.groups.get(group)
    if view is None or view.primary != upstream:
        return None
    if not state.leases.is_valid(group, view.term, state.now_ms):
        return None
    return view.term


def is_covered(state: PoolerState, pool: Pool) -> bool:
    """Return whether answers of an upstream as primary may be vouched for."""
    return lease_term(state, pool.view.name, pool.view.group) is not None


def may_start(state: PoolerState, pool: Pool) -> bool:
    """Return whether new statements may be sent to a primary."""
    return is_covered(state, pool) and pool.view.group not in state.revocations


def has_lost_control(state: PoolerState, for_ms: float = 0.0) -> bool:
    """Return whether all leases ran out `for_ms` ago, for lack of a grant."""
    return (
        state.cfg.needs_leases
        and state.published.version > 0
        and state.now_ms >= state.leases.grant_until_ms + for_ms
    )


def needs_lease(task: StatementTask) -> bool:
    """Return whether the answer to a statement depends on the lease.

    Within a transaction only the commit of its writes does: the lease at the
    answer to the begin covers the reads.
    """
    if task.required_position is not None:
        return False
    if not task.in_txn:
        return True
    txn = task.session.txn if task.session is not None else None
    return task.req.verb == 'commit' and txn is not None and txn.has_written


def apply_grant(state: PoolerState, message: LeaseGrant) -> None:
    """Apply the leases granted in answer to a report."""
    if message.member_state != 'joined':
        state.leases.withdraw()
        return
    state.leases.apply_grant(
        message.seq,
        message.leases,
        message.duration_ms,
        message.version,
        state.published.version,
    )
    if not state.cfg.needs_leases:
        return
    for lease in message.leases:
        group = state.groups.get(lease.group)
        if group is None:
            continue
        if group.waiting:
            state.dirty.add(f'group/{group.name}')
        view = state.published.groups.get(group.name)
        pool = state.pools.get(view.primary or '') if view else None
        if group.primary is None and pool is not None:
            schedule_probe(state, pool, state.now_ms)


def on_revoke(state: PoolerState, conn: int, message: LeaseRevoke) -> None:
    """Stop starting statements under a lease, then give it up.

    A primary that is not up will hardly answer what was sent to it, so the
    lease is given up at once.
    """
    revocation = Revocation(
        term=message.term,
        control_conn=conn,
        requested_ms=state.now_ms,
        due_ms=state.now_ms + MAX_REVOCATION_DELAY_MS,
    )
    earlier = state.revocations.get(message.group)
    if earlier is not None:
        revocation.requested_ms = earlier.requested_ms
        revocation.due_ms = earlier.due_ms
    state.revocations[message.group] = revocation
    schedule(state, f'lease/{message.group}', revocation.due_ms)
    advance_revocation(state, message.group)


def advance_revocation(state: PoolerState, group: str) -> None:
    """Give up a revoked lease once nothing depends on it, or when due."""
    revocation = state.revocations.get(group)
    if revocation is None:
        return
    outstanding = _count_outstanding(state, group)
    view = state.published.groups.get(group)
    pool = state.pools.get(view.primary or '') if view is not None else None
    is_answering = pool is not None and pool.reachability == 'up'
    if outstanding and is_answering and state.now_ms < revocation.due_ms:
        return
    del state.revocations[group]
    state.leases.revoke(group, revocation.term)
    duration_ms = state.now_ms - revocation.requested_ms
    observe(state, 'lease_revocation', duration_ms)
    log(
        state,
        'info',
        'lease_revoked',
        group=group,
        term=revocation.term,
        outstanding=outstanding,
        taken_ms=round(duration_ms),
    )
    reply = LeaseRevoked(group=group, term=revocation.term)
    send(state, revocation.control_conn, reply)


def _count_outstanding(state: PoolerState, group: str) -> int:
    return sum(
        1
        for task in state.tasks.values()
        if task.endpoint.group == group
        and task.phase == 'running'
        and needs_lease(task)
    )


def note_lease_lost(
    state: PoolerState, task: StatementTask, upstream: str
) -> None:
    """Log an answer that arrived without the lease it was sent under."""
    count(state, 'answers_without_lease')
    view = state.published.groups.get(task.endpoint.group)
    log(
        state,
        'warning',
        'answer_without_lease',
        request=task.req.id,
        upstream=upstream,
        verb=task.req.verb,
        group=task.endpoint.group,
        primary=view.primary if view is not None else None,
        term=view.term if view is not None else None,
        grant_age_ms=round(state.now_ms - state.last_grant_ms),
    )
