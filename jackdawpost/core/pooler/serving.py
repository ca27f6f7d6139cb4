"""Outcomes of statements: results, refusals, lost connections, timeouts.

A statement that has not run at all is queued again when its upstream
refuses it or the connection is lost. A statement that may have run is
retried only if it is a read outside a transaction.
"""

from __future__ import annotations

from jackdawpost.core.outbox import count
from jackdawpost.core.outbox import log
from jackdawpost.core.outbox import observe
from jackdawpost.core.pooler.answers import drop_task
from jackdawpost.core.pooler.answers import expiry_code
from jackdawpost.core.pooler.answers import fail_statement
from jackdawpost.core.pooler.answers import finish_statement
from jackdawpost.core.pooler.connections import close_upstream_conn
from jackdawpost.core.pooler.connections import connection_limit
from jackdawpost.core.pooler.connections import count_connections
from jackdawpost.core.pooler.connections import send_rollback
from jackdawpost.core.pooler.ejection import has_other_upstream
from jackdawpost.core.pooler.ejection import has_repeats
from jackdawpost.core.pooler.ejection import is_comparable
from jackdawpost.core.pooler.ejection import may_be_compared
from jackdawpost.core.pooler.ejection import note_failed_read
from jackdawpost.core.pooler.ejection import record_read
from jackdawpost.core.pooler.ejection import try_spend_repeat
from jackdawpost.core.pooler.leases import advance_revocation
from jackdawpost.core.pooler.leases import lease_term
from jackdawpost.core.pooler.leases import needs_lease
from jackdawpost.core.pooler.leases import note_lease_lost
from jackdawpost.core.pooler.limits import lower_limit
from jackdawpost.core.pooler.limits import raise_limit
from jackdawpost.core.pooler.limits import record_answer_interval
from jackdawpost.core.pooler.observed_load import record_duration
from jackdawpost.core.pooler.placement import requeue
from jackdawpost.core.pooler.placement import send_statement
from jackdawpost.core.pooler.probes import handle_action_answer
from jackdawpost.core.pooler.probes import handle_probe_answer
from jackdawpost.core.pooler.probes import PROBE_KINDS
from jackdawpost.core.pooler.stalls import record_failure
from jackdawpost.core.pooler.stalls import record_success
from jackdawpost.core.pooler.state import Answer
from jackdawpost.core.pooler.state import get_group
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import schedule
from jackdawpost.core.pooler.state import Session
from jackdawpost.core.pooler.state import StatementTask
from jackdawpost.core.pooler.state import UpstreamConn
from jackdawpost.core.pooler.state import UpstreamRequest
from jackdawpost.core.pooler.tenant_changes import add_credit
from jackdawpost.core.pooler.upstreams import clear_leadership
from jackdawpost.core.pooler.upstreams import record_applied
from jackdawpost.core.pooler.upstreams import record_latency
from jackdawpost.core.pooler.upstreams import record_leadership
from jackdawpost.core.retry import backoff_ms

# Maximum number of attempts of a read that gets no answer.
MAX_READ_ATTEMPTS = 3
# Signature in the answer to a statement of the pooler itself. The answer to
# a caller's statement is signed by the database.
UNSIGNED = '-'
# Error codes with which an upstream guarantees that nothing has run.
NOT_RUN_CODES = frozenset(
    {'overloaded', 'behind', 'not_primary', 'wrong_upstream', 'no_statement'}
)


def handle_answer(
    state: PoolerState,
    conn: UpstreamConn,
    request: UpstreamRequest,
    answer: Answer,
) -> None:
    """Handle the complete answer to one request on a statement connection."""
    pool = state.pools.get(conn.upstream)
    task = request.task
    if request.kind in PROBE_KINDS and pool is not None:
        handle_probe_answer(state, pool, conn, request, answer)
    if request.kind == 'control_action' and pool is not None:
        handle_action_answer(state, pool, request, answer)
    if request.kind == 'statement' and answer.signature == UNSIGNED:
        # This answers a later request of the pooler itself, hence the answer
        # to the statement has been lost.
        _abandon_conn(state, conn, 'answer missing', request)
        return
    if request.kind == 'replay' and answer.code:
        # The connection does not have the session's values.
        log(
            state,
            'warning',
            'replay_refused',
            upstream=conn.upstream,
            code=answer.code,
            detail=answer.text,
        )
        _abandon_conn(state, conn, 'replay refused')
        return
    if request.kind == 'begin' and task is not None:
        _handle_begin_answer(state, pool, conn, request, task, answer)
    elif request.kind == 'statement' and task is not None:
        _handle_result(state, pool, conn, request, task, answer)
    release_if_idle(state, conn)


def release_if_idle(state: PoolerState, conn: UpstreamConn) -> None:
    """Offer an idle connection to queued statements, or close it."""
    if not conn.is_idle:
        return
    pool = state.pools.get(conn.upstream)
    if pool is None:
        close_upstream_conn(state, conn, 'upstream removed')
    elif count_connections(pool) > connection_limit(state, pool):
        close_upstream_conn(state, conn, 'connection limit exceeded')
    else:
        state.dirty.add(f'group/{pool.view.group}')


def _handle_begin_answer(
    state: PoolerState,
    pool: Pool | None,
    conn: UpstreamConn,
    request: UpstreamRequest,
    task: StatementTask,
    answer: Answer,
) -> None:
    if answer.code:
        conn.txn_session = 0
        if answer.state != 'idle':
            send_rollback(state, conn)
        _handle_refusal(state, pool, task, answer)
        return
    if pool is not None and task.required_position is None and answer.position:
        record_leadership(state, pool, request.sent_ms, answer.position)
    if task.session is None or task.number not in state.tasks:
        conn.txn_session = 0
        send_rollback(state, conn)
        return
    if task.required_position is None and _is_lease_lost(
        state, conn, request, task
    ):
        # The begin may have run on a primary that has been replaced since.
        conn.txn_session = 0
        send_rollback(state, conn)
        requeue(state, task)
        return
    txn = task.session.txn
    if task.in_txn and txn is not None:
        txn.conn = conn.conn
    send_statement(state, conn, task)


def _handle_result(
    state: PoolerState,
    pool: Pool | None,
    conn: UpstreamConn,
    request: UpstreamRequest,
    task: StatementTask,
    answer: Answer,
) -> None:
    if pool is not None:
        _update_pool_from_answer(state, pool, request, task, answer)
    if task.number not in state.tasks:
        return
    if _can_retry_in_txn(state, task, answer):
        task.attempts += 1
        delay_ms = backoff_ms(task.attempts, state.rng)
        schedule(state, f'again/{task.number}', state.now_ms + delay_ms)
        return
    if (
        answer.code == 'statement_failed'
        and pool is not None
        and _can_repeat_failed_read(state, pool, task)
    ):
        _repeat_failed_read(state, pool, task, answer)
        return
    if answer.code and not task.in_txn and answer.code in NOT_RUN_CODES:
        _handle_refusal(state, pool, task, answer)
        return
    if (
        answer.signature
        and needs_lease(task)
        and _is_lease_lost(state, conn, request, task)
    ):
        _handle_unvouched_result(state, conn, task, answer)
        return
    session = task.session
    if session is not None:
        if answer.position and (task.is_write or task.req.verb == 'commit'):
            if answer.signature:
                session.position = answer.position
        if task.in_txn:
            _update_txn_from_answer(state, conn, session, task, answer)
    finish_statement(state, task, answer, session.state if session else 'idle')
    advance_revocation(state, task.endpoint.group)


def _can_repeat_failed_read(
    state: PoolerState, pool: Pool, task: StatementTask
) -> bool:
    """Return whether to try a failed read on another upstream.

    The budget is asked last, since it is used up by that.
    """
    return (
        is_comparable(task)
        and task.error is None
        and task.session is not None
        and task.attempts < MAX_READ_ATTEMPTS
        and state.now_ms < task.deadline_ms
        and has_other_upstream(state, pool, task)
        and try_spend_repeat(state, task)
    )


def _repeat_failed_read(
    state: PoolerState, pool: Pool, task: StatementTask, answer: Answer
) -> None:
    task.error = answer
    task.may_have_run = True
    task.excluded_upstreams.add(pool.view.name)
    note_failed_read(pool, task, is_answered=True)
    requeue(state, task)


def _is_lease_lost(
    state: PoolerState,
    conn: UpstreamConn,
    request: UpstreamRequest,
    task: StatementTask,
) -> bool:
    """Return whether the lease of a request has ended before its answer."""
    current = lease_term(state, conn.upstream, task.endpoint.group)
    return current is None or current != request.lease_term


def _handle_unvouched_result(
    state: PoolerState,
    conn: UpstreamConn,
    task: StatementTask,
    answer: Answer,
) -> None:
    """Handle a success that a replaced primary may have answered.

    A read runs again on the present primary. The outcome of a write is
    unknown: the next primary may have taken over without it.
    """
    note_lease_lost(state, task, conn.upstream)
    session = task.session
    if session is None:
        drop_task(state, task)
        return
    if task.in_txn:
        _update_txn_from_answer(state, conn, session, task, answer)
    elif (
        not task.is_write
        and task.attempts < MAX_READ_ATTEMPTS
        and try_spend_repeat(state, task)
    ):
        task.may_have_run = True
        requeue(state, task)
        return
    is_unknown = task.in_txn or task.is_write
    fail_statement(
        state,
        task,
        'unknown_outcome' if is_unknown else 'aborted',
        'the write lease ended before the answer arrived',
    )


def _can_retry_in_txn(
    state: PoolerState, task: StatementTask, answer: Answer
) -> bool:
    """Return whether to retry a statement within its open transaction.

    It was refused for lack of a slot, and the transaction is still intact.
    """
    return (
        task.in_txn
        and task.session is not None
        and answer.code == 'overloaded'
        and answer.state == 'in_txn'
        and state.now_ms < task.deadline_ms
    )


def on_retry_due(state: PoolerState, number: int) -> None:
    """Resend a refused statement within its open transaction."""
    task = state.tasks.get(number)
    conn = state.conns.get(task.conn) if task is not None else None
    if task is None or conn is None or task.session is None:
        return
    if conn.txn_session == task.session.conn and not conn.pending_requests:
        send_statement(state, conn, task)


def _update_pool_from_answer(
    state: PoolerState,
    pool: Pool,
    request: UpstreamRequest,
    task: StatementTask,
    answer: Answer,
) -> None:
    """Update the state of an upstream from the answer to a statement."""
    duration_ms = state.now_ms - request.sent_ms
    pool.last_contact_ms = state.now_ms
    if answer.code == 'overloaded':
        lower_limit(state, pool)
        pool.load.refused_ms = state.now_ms
    else:
        record_answer_interval(state, get_group(state, pool.view.group))
    if answer.code == 'not_primary':
        clear_leadership(state, pool, 'not_primary')
    elif answer.code == 'statement_failed':
        if not may_be_compared(state, pool, task):
            session = task.session.conn if task.session is not None else 0
            record_failure(state, pool, request.sent_ms, session)
    elif answer.signature:
        record_latency(pool, duration_ms)
        pool.change_credit_ms = add_credit(pool.change_credit_ms, duration_ms)
        kind = f'{task.endpoint.name} {task.req.verb}'
        record_duration(pool.load, kind, duration_ms, state.now_ms)
        raise_limit(pool)
        record_success(state, pool)
        record_read(state, pool, task)
        if task.req.verb != 'commit':
            costs = get_group(state, pool.view.group).waiting.costs
            costs.record(task.endpoint.name, task.is_write, duration_ms)
        observe(state, f'upstream_{task.req.verb}', duration_ms)
        if task.is_write and not task.in_txn and answer.position:
            record_leadership(state, pool, request.sent_ms, answer.position)
    if answer.position and task.target == 'any':
        record_applied(state, pool, answer.position)


def _update_txn_from_answer(
    state: PoolerState,
    conn: UpstreamConn,
    session: Session,
    task: StatementTask,
    answer: Answer,
) -> None:
    txn = session.txn
    if txn is None:
        return
    session.state = answer.state
    txn.last_activity_ms = state.now_ms
    if answer.state == 'idle':
        conn.txn_session = 0
        session.txn = None


def _handle_refusal(
    state: PoolerState, pool: Pool | None, task: StatementTask, answer: Answer
) -> None:
    """Queue a statement again that an upstream refused to run."""
    if task.number not in state.tasks or task.session is None:
        drop_task(state, task)
        return
    count(state, f'refused_{answer.code}')
    task.refusal_code = answer.code
    if answer.code == 'not_primary' and pool is not None:
        clear_leadership(state, pool, 'not_primary')
    elif answer.code == 'behind' and pool is not None:
        task.excluded_upstreams.add(pool.view.name)
    elif answer.code == 'no_statement':
        finish_statement(state, task, answer, task.session.state)
        return
    else:
        if task.target == 'any' and pool is not None:
            task.excluded_upstreams.add(pool.view.name)
        delay_ms = backoff_ms(task.attempts, state.rng)
        task.not_before_ms = state.now_ms + delay_ms
    requeue(state, task)


def handle_lost_conn(
    state: PoolerState,
    conn: UpstreamConn,
    reason: str,
    lost_request: UpstreamRequest | None = None,
) -> None:
    """Retry or fail the statements on a lost connection.

    Parameters
    ----------
    lost_request : UpstreamRequest, optional
        Request that is no longer pending although its answer was lost.
    """
    session = state.sessions.get(conn.txn_session)
    pending_requests = list(conn.pending_requests)
    if lost_request is not None:
        pending_requests.insert(0, lost_request)
    conn.pending_requests.clear()
    pool = state.pools.get(conn.upstream)
    for request in pending_requests:
        task = request.task
        if request.kind == 'statement' and pool is not None:
            record_failure(state, pool, request.sent_ms)
        if task is None or task.number not in state.tasks:
            continue
        if request.kind == 'begin':
            requeue(state, task)
        elif request.kind == 'statement':
            if pool is not None:
                note_failed_read(pool, task, is_answered=False)
            if is_comparable(task):
                # Its other connections may be about to be closed, too.
                task.excluded_upstreams.add(conn.upstream)
            _handle_lost_statement(state, task, reason)
    if session is not None and session.txn is not None:
        if session.txn.conn == conn.conn:
            # The upstream rolls back the transaction of a closed connection.
            session.txn.conn = 0
            session.state = 'failed_txn'
            waiting_task = session.task
            if waiting_task is not None and waiting_task.number in state.tasks:
                # It was waiting for a slot, and nothing of it has run.
                _fail_in_txn(state, session, waiting_task, 'aborted', reason)
    conn.txn_session = 0


def _abandon_conn(
    state: PoolerState,
    conn: UpstreamConn,
    reason: str,
    lost_request: UpstreamRequest | None = None,
) -> None:
    """Close a connection and handle its outstanding statements as lost."""
    handle_lost_conn(state, conn, reason, lost_request)
    close_upstream_conn(state, conn, reason)


def _handle_lost_statement(
    state: PoolerState, task: StatementTask, reason: str
) -> None:
    session = task.session
    if session is None:
        drop_task(state, task)
        return
    if task.in_txn:
        is_commit = task.req.verb == 'commit'
        code = 'unknown_outcome' if is_commit else 'aborted'
        _fail_in_txn(state, session, task, code, reason)
    elif task.is_write:
        fail_statement(
            state, task, 'unknown_outcome', f'connection lost: {reason}'
        )
    elif (
        task.attempts < MAX_READ_ATTEMPTS
        and state.now_ms < task.deadline_ms
        and try_spend_repeat(state, task)
    ):
        task.may_have_run = True
        requeue(state, task)
    else:
        fail_statement(state, task, 'aborted', f'connection lost: {reason}')


def _fail_in_txn(
    state: PoolerState,
    session: Session,
    task: StatementTask,
    code: str,
    reason: str,
) -> None:
    """Fail a statement whose transaction was lost with its connection."""
    is_commit = task.req.verb == 'commit'
    session.state = 'idle' if is_commit else 'failed_txn'
    if is_commit:
        session.txn = None
    fail_statement(state, task, code, f'connection lost: {reason}')


def retry_reads_elsewhere(state: PoolerState, upstream: str) -> None:
    """Retry reads that are outstanding on an unreachable or stalled upstream.

    Writes and transactions keep waiting until their deadline, since an
    answer may still arrive.
    """
    pool = state.pools.get(upstream)
    if pool is None or pool.reachability == 'up':
        return
    for number in sorted(pool.conns):
        conn = state.conns[number]
        tasks = [
            request.task
            for request in conn.pending_requests
            if request.task is not None
        ]
        if not tasks or any(t.is_write or t.in_txn for t in tasks):
            continue
        for task in tasks:
            task.excluded_upstreams.add(upstream)
        _abandon_conn(state, conn, 'upstream unreachable or stalled')


def on_attempt_timeout(state: PoolerState, number: int) -> None:
    """Retry an unanswered read on another upstream."""
    task = state.tasks.get(number)
    if task is None or task.phase == 'waiting':
        return
    due_ms = task.attempt_due_ms
    if due_ms is None or state.now_ms < due_ms:
        return
    if task.attempts >= MAX_READ_ATTEMPTS:
        return
    if task.phase == 'running' and not has_repeats(state, task):
        # The answer may still arrive before the deadline.
        return
    conn = state.conns.get(task.conn)
    log(
        state,
        'warning',
        'read_unanswered',
        request=task.req.id,
        upstream=conn.upstream if conn else None,
        waited_ms=round(state.now_ms - task.sent_ms),
    )
    if conn is not None:
        task.excluded_upstreams.add(conn.upstream)
        _abandon_conn(state, conn, 'no answer')


def expire_all(state: PoolerState) -> None:
    """Time out all statements, to answer them before the process exits."""
    for number, task in list(state.tasks.items()):
        task.deadline_ms = state.now_ms
        on_deadline(state, number)


def on_deadline(state: PoolerState, number: int) -> None:
    """Time out a statement at its deadline."""
    task = state.tasks.get(number)
    if task is None:
        return
    if state.now_ms < task.deadline_ms:
        schedule(state, f'work/{number}', task.deadline_ms)
        return
    conn = state.conns.get(task.conn)
    if task.phase != 'running':
        # The statement itself was not sent in this attempt.
        fail_statement(
            state, task, expiry_code(task), 'no upstream was available in time'
        )
        if conn is not None and conn.pending_requests:
            _abandon_conn(state, conn, 'begin timed out')
        return
    # A read is not tried again after its deadline.
    task.attempts = MAX_READ_ATTEMPTS
    if conn is None:
        fail_statement(state, task, 'aborted', 'connection lost')
        return
    # Operators search the logs for this text.
    _abandon_conn(state, conn, 'time limit')
