"""Completion of requests: answers, retries and confirmed replication."""

from __future__ import annotations

import heapq
import math
from typing import Literal

from jackdawpost.core.effects import Hold
from jackdawpost.core.messages.caller import Answer
from jackdawpost.core.messages.caller import AnswerError
from jackdawpost.core.messages.caller import Begin
from jackdawpost.core.messages.caller import Commit
from jackdawpost.core.messages.caller import Outcome
from jackdawpost.core.messages.caller import Rollback
from jackdawpost.core.messages.caller import Statement
from jackdawpost.core.messages.upstream import Executed
from jackdawpost.core.outbox import count
from jackdawpost.core.outbox import observe
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.proxy.admission import FRESH_READ
from jackdawpost.core.proxy.admission import STALE_READ
from jackdawpost.core.proxy.admission import WRITE
from jackdawpost.core.proxy.state import Caller
from jackdawpost.core.proxy.state import Group
from jackdawpost.core.proxy.state import holds_lease
from jackdawpost.core.proxy.state import ProxyState
from jackdawpost.core.proxy.state import Request
from jackdawpost.core.proxy.state import schedule
from jackdawpost.core.proxy.state import send
from jackdawpost.core.proxy.state import Transaction
from jackdawpost.core.retry import backoff_ms
from jackdawpost.core.tokens import encode_token
from jackdawpost.core.tokens import merge_position
from jackdawpost.errors import TokenError

Source = Literal['primary', 'replica']

_DURATION_METRICS = {
    'done': 'request_done_ms',
    'not_run': 'request_not_run_ms',
    'unknown': 'request_unknown_ms',
}

# Callers that hold less are not reported, so that small requests cost nothing.
MIN_REPORTED_BYTES = 4_096
# Above and below the positions of all records.
CONFIRMED_ALL = LogPosition(1 << 62, 0)
CONFIRMED_NONE = LogPosition(-1, 0)

ERROR_MESSAGES = {
    'deadline': 'the deadline passed before an answer was complete',
    'connection_lost': 'the connection to the upstream was lost',
    'lease_lost': 'the right to acknowledge for the primary was lost',
    'not_durable': 'executed, but its replication was not confirmed in time',
    'no_primary': 'the group has no primary',
    'control_unreachable': 'this proxy has lost contact with control',
    'not_joined': 'this proxy is not a member',
    'draining': 'this proxy is draining; use another one',
    'transaction_lost': 'the transaction was rolled back',
}


def finish(state: ProxyState, req: Request, answer: Answer) -> None:
    """Send the answer of a request and remove the request."""
    if req.phase == 'over':
        return
    if req.queued:
        state.groups[req.group].queue.remove(req)
    req.phase = 'over'
    state.requests.pop(req.serial, None)
    caller = state.callers.get(req.caller)
    if caller is None:
        return
    observe(
        state, _DURATION_METRICS[answer.outcome], state.now_ms - req.arrived_ms
    )
    del caller.requests[req.message.id]
    send(state, req.caller, answer)
    caller.held_bytes -= req.size_bytes
    report_holdings(state, caller)


def report_holdings(state: ProxyState, caller: Caller) -> None:
    """Tell what a caller's requests hold, if it is much or was before."""
    size = caller.held_bytes
    if size < MIN_REPORTED_BYTES:
        size = 0
    if size != caller.reported_bytes:
        caller.reported_bytes = size
        state.outbox.append(Hold(conn=caller.conn, size_bytes=size))


def finish_error(
    state: ProxyState,
    req: Request,
    outcome: Outcome,
    code: str,
    message: str = '',
    retry_after_ms: int | None = None,
) -> None:
    """Answer a request with an error.

    If an earlier attempt may have taken effect, ``'not_run'`` becomes
    ``'unknown'``: the refusal of a later attempt proves nothing about it.
    """
    text = message or ERROR_MESSAGES.get(code, code)
    if outcome == 'not_run' and req.uncertain_term >= 0:
        outcome = 'unknown'
        if code not in ('deadline', 'not_durable'):
            text = f'an earlier attempt may have run; last error: {text}'
            code = 'connection_lost'
    error = AnswerError(code=code, message=text, retry_after_ms=retry_after_ms)
    answer = Answer(id=req.message.id, outcome=outcome, error=error)
    finish(state, req, answer)


def finish_done(
    state: ProxyState,
    req: Request,
    executed: Executed,
    source: Source | None = None,
    age_ms: int | None = None,
) -> None:
    """Answer a request with its result.

    The answer to a commit, or to a write outside a transaction, has a
    session token with the position of the write.
    """
    message = req.message
    session = None
    is_write = isinstance(message, Commit) or (
        isinstance(message, Statement)
        and message.access == 'write'
        and message.txn is None
    )
    if is_write and executed.position is not None:
        try:
            token = merge_position(
                req.token, req.group, executed.position, state.groups
            )
        except TokenError:
            # Admission checked that the token has room; a group that was
            # added since can have used it up. The write must not be
            # acknowledged without its token.
            req.uncertain_term = max(req.uncertain_term, req.term)
            finish_error(state, req, 'not_run', 'not_durable')
            return
        session = encode_token(token)
    answer = Answer(
        id=message.id,
        outcome='done',
        columns=executed.columns,
        rows=executed.rows,
        row_count=executed.row_count,
        session=session,
        source=source,
        age_ms=age_ms,
        duplicate=executed.duplicate,
    )
    finish(state, req, answer)


def enqueue(state: ProxyState, req: Request, at_front: bool = False) -> None:
    """Put a request into the queue of its group.

    Answers it with an error if the group was removed or this proxy has
    lost contact with control.
    """
    group = state.groups.get(req.group)
    if group is None:
        finish_error(state, req, 'not_run', 'unknown_route', 'group removed')
        return
    if state.now_ms >= state.leases.config_until_ms:
        finish_error(state, req, 'not_run', 'control_unreachable')
        return
    req.phase = 'queued'
    group.queue.push(req, at_front)
    state.groups_to_dispatch.add(req.group)


def retry_later(state: ProxyState, req: Request) -> None:
    """Queue a request again after a back-off that grows with attempts."""
    req.phase = 'delayed'
    due_ms = state.now_ms + backoff_ms(req.attempts, state.rng)
    schedule(state, due_ms, 'requeue', req)


def requeue_delayed(state: ProxyState, req: Request) -> None:
    """Queue a request whose back-off has ended."""
    if req.phase == 'delayed':
        enqueue(state, req, at_front=True)


def retry_or_fail(state: ProxyState, req: Request, code: str) -> None:
    """Retry a request whose attempt has an unknown effect, or fail it.

    It is retried only if that is safe (a begin, a read, an idempotent
    write, or a write with a request key), if its deadline and the retry
    budget allow it, and if this proxy has contact with control.
    """
    if req.txn is not None:
        _fail_in_transaction(state, req, code)
        return
    if not isinstance(req.message, Begin):
        req.uncertain_term = max(req.uncertain_term, req.term)
    group = state.groups.get(req.group)
    if req.caller not in state.callers or group is None:
        finish_error(state, req, 'unknown', code)
        return
    out_of_time = req.due_ms <= state.now_ms
    is_isolated = state.now_ms >= state.leases.config_until_ms
    if out_of_time or is_isolated or not _is_safe_to_retry(req):
        finish_error(state, req, 'unknown', code)
        return
    if not group.retry_budget.try_spend():
        count(state, 'retry_budget_exhausted')
        finish_error(state, req, 'unknown', code)
        return
    count(state, 'retries')
    if req.attempts > 1:
        retry_later(state, req)
    else:
        enqueue(state, req, at_front=True)


def _fail_in_transaction(state: ProxyState, req: Request, code: str) -> None:
    # A commit that the upstream may have received has an unknown effect;
    # anything else is rolled back when the connection ends.
    if isinstance(req.message, Commit):
        finish_error(state, req, 'unknown', code)
    elif isinstance(req.message, Rollback):
        finish(state, req, Answer(id=req.message.id, outcome='done'))
    elif code == 'lease_lost':
        finish_error(state, req, 'unknown', code)
    else:
        finish_error(state, req, 'not_run', 'transaction_lost')


def on_transaction_lost(state: ProxyState, txn: Transaction) -> None:
    """Record that the upstream has rolled back a transaction.

    The caller's handle is kept: later statements that use it are refused as
    lost and never run outside the transaction.
    """
    if txn.state == 'lost':
        return
    txn.state = 'lost'
    state.txns.pop(txn.handle, None)
    pending = txn.pending
    txn.pending = []
    for req in pending:
        finish_error(state, req, 'not_run', 'transaction_lost')


def _is_safe_to_retry(req: Request) -> bool:
    message = req.message
    if isinstance(message, Begin):
        # A transaction whose handle was never answered is rolled back.
        return True
    if not isinstance(message, Statement) or message.txn is not None:
        return False
    if message.access == 'read' or message.idempotent:
        return True
    return message.request_key is not None


def finish_refused(
    state: ProxyState,
    req: Request,
    executed: Executed,
    from_current_primary: bool,
) -> None:
    """Answer a request that its upstream refused permanently.

    Parameters
    ----------
    from_current_primary : bool
        The refusal comes from the current primary under a valid lease. If
        its term is higher than that of every earlier attempt, it searched
        for the request key in a history that those attempts can no longer
        enter, so they took no effect.
    """
    code: str = executed.code or 'malformed'
    has_request_key = getattr(req.message, 'request_key', None) is not None
    if (
        code == 'statement_failed'
        and has_request_key
        and from_current_primary
        and req.uncertain_term < req.term
    ):
        req.uncertain_term = -1
    if code == 'timeout':
        code = 'deadline'
    elif code == 'history_lost':
        code = 'session_history_lost'
    finish_error(state, req, 'not_run', code, executed.message or '')


def redirect_to_primary(
    state: ProxyState, req: Request, was_executed: bool
) -> None:
    """Queue a read for the primary after a replica could not serve it.

    Parameters
    ----------
    was_executed : bool
        The replica executed it, but the result was too old.
    """
    if was_executed:
        req.uncertain_term = max(req.uncertain_term, req.term)
    req.priority = FRESH_READ
    enqueue(state, req, at_front=True)


def on_statement_done(
    state: ProxyState,
    group: Group,
    req: Request,
    executed: Executed,
    upstream_name: str,
) -> None:
    """Handle the result of a statement that an upstream executed.

    It is answered only if the term and the lease are still valid, a write
    also only once it is replicated, and a result of a replica only if it is
    fresh enough.
    """
    same_term = executed.term is None or executed.term == req.term
    if req.priority == STALE_READ:
        _on_replica_read_done(state, group, req, executed, same_term)
        return
    if not same_term or not holds_lease(state, group, req.term):
        retry_or_fail(state, req, 'lease_lost')
        return
    if req.priority == WRITE:
        answer_when_replicated(state, group, req, executed)
    else:
        if req.max_age_ms:
            count(state, 'aged_reads_on_primary')
        finish_done(state, req, executed, 'primary', 0)


def _on_replica_read_done(
    state: ProxyState,
    group: Group,
    req: Request,
    executed: Executed,
    same_term: bool,
) -> None:
    age_ms = None
    is_current_term = same_term and req.term == group.view.term
    if is_current_term and executed.position is not None:
        age_ms = group.freshness.age_ms(executed.position, state.now_ms)
    if age_ms is None or age_ms > (req.max_age_ms or 0):
        count(state, 'reads_too_old')
        redirect_to_primary(state, req, was_executed=True)
        return
    count(state, 'replica_reads')
    finish_done(state, req, executed, 'replica', math.ceil(age_ms))


def answer_when_replicated(
    state: ProxyState, group: Group, req: Request, executed: Executed
) -> None:
    """Answer a write as soon as enough databases hold it."""
    req.result = executed
    req.phase = 'durable'
    position = executed.position
    if position is None:
        # Replication cannot be confirmed without a position.
        finish_error(state, req, 'unknown', 'not_durable')
        return
    if position <= confirmed_position(state, group):
        finish_done(state, req, executed)
        return
    waiting = group.unconfirmed_writes
    while waiting and waiting[0][2].phase != 'durable':
        heapq.heappop(waiting)
    heapq.heappush(waiting, (position, req.serial, req))


def confirmed_position(state: ProxyState, group: Group) -> LogPosition:
    """Return the last position that enough databases hold.

    Only databases of the published database set count: a promotion counts
    its quorum over them and can succeed without asking any other one.
    """
    replicas_needed = group.view.write_copies - 1
    if replicas_needed <= 0:
        return CONFIRMED_ALL
    received = [
        up.received
        for up in group.upstreams
        if up.term == group.view.term
        and up.name != group.view.primary
        and group.view.database_set.get(up.name) == up.view.data_id
    ]
    if len(received) < replicas_needed:
        return CONFIRMED_NONE
    received.sort(reverse=True)
    return received[replicas_needed - 1]


def answer_replicated_writes(state: ProxyState, group: Group) -> None:
    """Answer the waiting writes that enough databases now hold."""
    waiting = group.unconfirmed_writes
    if not waiting:
        return
    confirmed = confirmed_position(state, group)
    while waiting and waiting[0][0] <= confirmed:
        req = waiting[0][2]
        if req.phase != 'durable' or req.result is None:
            heapq.heappop(waiting)
            continue
        if not holds_lease(state, group, req.term):
            return
        heapq.heappop(waiting)
        finish_done(state, req, req.result)


def retry_unconfirmed_writes(state: ProxyState, group: Group) -> None:
    """Retry or fail the writes whose term ended before confirmation."""
    waiting = [entry[2] for entry in group.unconfirmed_writes]
    group.unconfirmed_writes.clear()
    for req in waiting:
        if req.phase == 'durable':
            retry_or_fail(state, req, 'lease_lost')
