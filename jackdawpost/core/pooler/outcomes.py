"""What the answers and losses of upstream connections mean.

A statement that nothing has run of is placed again when its upstream
refuses it or is lost; one that may have run is never repeated unless it only
reads.
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
from jackdawpost.core.pooler.limits import lower_limit
from jackdawpost.core.pooler.limits import raise_limit
from jackdawpost.core.pooler.limits import record_answer_interval
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
from jackdawpost.core.pooler.upstreams import clear_leadership
from jackdawpost.core.pooler.upstreams import record_applied
from jackdawpost.core.pooler.upstreams import record_latency
from jackdawpost.core.pooler.upstreams import record_leadership
from jackdawpost.core.retry import backoff_ms

# Reads that got no answer are tried elsewhere this often at most.
MAX_READ_ATTEMPTS = 3
# Signature of answers that no database has signed.
UNSIGNED = '-'
# Refusals by the upstream that promise that nothing has run.
NOT_RUN_CODES = frozenset(
    {'overloaded', 'behind', 'not_primary', 'wrong_upstream', 'no_statement'}
)


def handle_answer(
    state: PoolerState,
    conn: UpstreamConn,
    request: UpstreamRequest,
    answer: Answer,
) -> None:
    """Handle the complete answer to one step of a statement connection."""
    pool = state.pools.get(conn.upstream)
    task = request.task
    if request.kind in PROBE_KINDS and pool is not None:
        handle_probe_answer(state, pool, conn, request, answer)
    if request.kind == 'control_action' and pool is not None:
        handle_action_answer(state, pool, request, answer)
    if request.kind == 'statement' and answer.signature == UNSIGNED:
        # Only statements of this process are answered so: an answer before
        # this one has been lost.
        _abandon_conn(state, conn, 'an answer is missing', request)
        return
    if request.kind == 'replay' and answer.code:
        # The session's values are not on the connection.
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
    """Offer a connection that has become idle to what waits."""
    if not conn.is_idle:
        return
    pool = state.pools.get(conn.upstream)
    if pool is None:
        close_upstream_conn(state, conn, 'upstream has left')
    elif count_connections(pool) > connection_limit(state, pool):
        close_upstream_conn(state, conn, 'more proxies share the connections')
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
    if answer.code and not task.in_txn and answer.code in NOT_RUN_CODES:
        _handle_refusal(state, pool, task, answer)
        return
    session = task.session
    if session is not None:
        if answer.position and (task.is_write or task.req.verb == 'commit'):
            if answer.signature:
                session.position = answer.position
        if task.in_txn:
            _update_txn_from_answer(state, conn, session, task, answer)
    finish_statement(state, task, answer, session.state if session else 'idle')


def _can_retry_in_txn(
    state: PoolerState, task: StatementTask, answer: Answer
) -> bool:
    """Tell whether a transaction's statement was refused for a slot only."""
    return (
        task.in_txn
        and task.session is not None
        and answer.code == 'overloaded'
        and answer.state == 'in_txn'
        and state.now_ms < task.deadline_ms
    )


def on_retry_due(state: PoolerState, number: int) -> None:
    """Send a statement again inside the transaction that it belongs to."""
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
    """Take what an answer shows of the upstream."""
    duration_ms = state.now_ms - request.sent_ms
    pool.last_contact_ms = state.now_ms
    if answer.code == 'overloaded':
        lower_limit(state, pool)
    else:
        record_answer_interval(state, get_group(state, pool.view.group))
    if answer.code == 'not_primary':
        clear_leadership(state, pool, 'not_primary')
    elif answer.code == 'statement_failed':
        record_failure(state, pool, request.sent_ms)
    elif answer.signature:
        record_latency(pool, duration_ms)
        raise_limit(pool)
        record_success(state, pool)
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
    """Place a statement again that an upstream refused to run."""
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
        schedule(state, f'group/{task.endpoint.group}', task.not_before_ms)
    requeue(state, task)


def handle_lost_conn(
    state: PoolerState,
    conn: UpstreamConn,
    reason: str,
    lost_request: UpstreamRequest | None = None,
) -> None:
    """Decide what becomes of the statements on a connection that ended.

    Parameters
    ----------
    unanswered : Step, optional
        Step that was taken off the connection without its answer.
    """
    txn_session = state.sessions.get(conn.txn_session)
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
            _handle_lost_statement(state, task, reason)
    if txn_session is not None and txn_session.txn is not None:
        if txn_session.txn.conn == conn.conn:
            # The upstream rolls back what a closed connection leaves open.
            txn_session.txn.conn = 0
            txn_session.state = 'failed_txn'
            waiting = txn_session.task
            if waiting is not None and waiting.number in state.tasks:
                # It waited for a slot: nothing of it has run.
                _fail_in_txn(state, txn_session, waiting, 'aborted', reason)
    conn.txn_session = 0


def _abandon_conn(
    state: PoolerState,
    conn: UpstreamConn,
    reason: str,
    lost_request: UpstreamRequest | None = None,
) -> None:
    """Give a connection up with all that is out on it."""
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
    elif task.attempts < MAX_READ_ATTEMPTS and state.now_ms < task.deadline_ms:
        count(state, 'reads_repeated')
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
    """Refuse a transaction's statement whose connection is lost."""
    is_commit = task.req.verb == 'commit'
    session.state = 'idle' if is_commit else 'failed_txn'
    if is_commit:
        session.txn = None
    fail_statement(state, task, code, f'connection lost: {reason}')


def retry_reads_elsewhere(state: PoolerState, upstream: str) -> None:
    """Try the reads elsewhere that wait for an upstream out of reach.

    Statements that write, and transactions, wait for an answer as long as
    they have time: one may still come.
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
        if not tasks or any(w.is_write or w.in_txn for w in tasks):
            continue
        for task in tasks:
            task.excluded_upstreams.add(upstream)
        _abandon_conn(state, conn, 'upstream out of reach')


def on_attempt_timeout(state: PoolerState, number: int, attempt: int) -> None:
    """Try a read elsewhere whose answer seems to be lost."""
    task = state.tasks.get(number)
    if task is None or task.attempts != attempt or task.phase == 'waiting':
        return
    if task.attempts >= MAX_READ_ATTEMPTS:
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
    """Give every statement its final answer before the process ends."""
    for number, task in list(state.tasks.items()):
        task.deadline_ms = state.now_ms
        on_deadline(state, number)


def on_deadline(state: PoolerState, number: int) -> None:
    """End a statement whose time is over."""
    task = state.tasks.get(number)
    if task is None:
        return
    if state.now_ms < task.deadline_ms:
        schedule(state, f'work/{number}', task.deadline_ms)
        return
    conn = state.conns.get(task.conn)
    if task.phase != 'running':
        # Nothing of this attempt was sent.
        fail_statement(state, task, expiry_code(task), 'no upstream in time')
        if conn is not None and conn.pending_requests:
            _abandon_conn(state, conn, 'no answer to a begin')
        return
    task.attempts = MAX_READ_ATTEMPTS
    if conn is None:
        fail_statement(state, task, 'aborted', 'connection lost')
        return
    _abandon_conn(state, conn, 'time limit')
