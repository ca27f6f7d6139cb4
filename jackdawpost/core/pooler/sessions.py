"""Caller sessions: start, request processing, transactions and end."""

from __future__ import annotations

from typing import Literal

from jackdawpost.core.keys import fingerprint
from jackdawpost.core.messages.session import Done
from jackdawpost.core.messages.session import Failed
from jackdawpost.core.messages.session import Internal
from jackdawpost.core.messages.session import Ready
from jackdawpost.core.messages.session import Request
from jackdawpost.core.messages.session import StartSession
from jackdawpost.core.outbox import count
from jackdawpost.core.outbox import log
from jackdawpost.core.outbox import send
from jackdawpost.core.pooler.answers import drop_task
from jackdawpost.core.pooler.answers import fail_statement
from jackdawpost.core.pooler.connections import send_internal
from jackdawpost.core.pooler.connections import send_rollback
from jackdawpost.core.pooler.holdings import add_value_bytes
from jackdawpost.core.pooler.holdings import MAX_VALUE_BYTES
from jackdawpost.core.pooler.holdings import MIN_REPORTED_BYTES
from jackdawpost.core.pooler.holdings import report_holdings
from jackdawpost.core.pooler.leases import lease_term
from jackdawpost.core.pooler.leases import needs_lease
from jackdawpost.core.pooler.placement import send_statement
from jackdawpost.core.pooler.rates import admit_operation
from jackdawpost.core.pooler.state import close
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import schedule
from jackdawpost.core.pooler.state import Session
from jackdawpost.core.pooler.state import StatementTask
from jackdawpost.core.pooler.state import Transaction
from jackdawpost.core.pooler.tenants import describe_rejected_key
from jackdawpost.core.pooler.tenants import find_tenant
from jackdawpost.core.pooler.tenants import is_authorized
from jackdawpost.core.pooler.tenants import log_removed_key
from jackdawpost.core.pooler.tenants import REMOVED_KEY_GRACE_MS
from jackdawpost.core.published import EndpointView

# Shorter than the 2 s after which callers abandon an unopened session.
CONFIG_WAIT_MS = 1_500.0
# Pipelined requests that may be queued per session.
MAX_PIPELINED_REQUESTS = 64


def open_session(state: PoolerState, conn: int, start: StartSession) -> None:
    """Open a session, or hold it until a configuration has been received."""
    state.unidentified.discard(conn)
    if not state.published.version:
        state.waiting_sessions[conn] = start
        schedule(state, f'open/{conn}', state.now_ms + CONFIG_WAIT_MS)
        return
    endpoint = state.endpoints.get(start.database)
    if endpoint is None:
        text = f'unknown database {start.database[:80]!r}'
        _refuse_session(state, conn, start, 'no_database', text)
        return
    tenant = find_tenant(state, endpoint, start.key)
    if tenant is None:
        text = describe_rejected_key(start.key)
        _refuse_session(state, conn, start, 'unauthorized', text)
        return
    if tenant and not _has_room(state, tenant):
        text = (
            f'tenant {tenant[:80]!r} has {state.cfg.max_tenant_sessions} '
            'sessions here, which is the limit'
        )
        _refuse_session(state, conn, start, 'overloaded', text)
        return
    state.tenant_sessions[tenant] += 1
    state.sessions[conn] = Session(
        conn=conn, database=start.database, tenant=tenant, key=start.key
    )
    count(state, 'sessions_opened')
    send(state, conn, Ready(state='idle'))


def _has_room(state: PoolerState, tenant: str) -> bool:
    return state.tenant_sessions[tenant] < state.cfg.max_tenant_sessions


def _refuse_session(
    state: PoolerState, conn: int, start: StartSession, code: str, text: str
) -> None:
    count(state, f'sessions_refused_{code}')
    log(
        state,
        'info',
        'session_refused',
        database=start.database[:80],
        code=code,
        key=fingerprint(start.key),
        config_version=state.published.version,
    )
    send(state, conn, Failed(code=code, text=text))
    close(state, conn, text, abort=False)


def open_waiting_sessions(state: PoolerState) -> None:
    """Open the sessions that arrived before the first configuration."""
    waiting_sessions, state.waiting_sessions = state.waiting_sessions, {}
    for conn, start in waiting_sessions.items():
        open_session(state, conn, start)


def on_config_wait_expired(state: PoolerState, conn: int) -> None:
    """Refuse a session if no configuration has been received in time."""
    start = state.waiting_sessions.pop(conn, None)
    if start is None:
        return
    log(state, 'warning', 'session_unserved', database=start.database[:80])
    text = 'the proxy has received no configuration yet'
    send(state, conn, Failed(code='overloaded', text=text))
    close(state, conn, 'no configuration received', abort=False)


def end_unauthorized_sessions(state: PoolerState) -> None:
    """End the sessions whose key is no longer in force.

    A session within a transaction or a statement may finish it for
    `REMOVED_KEY_GRACE_MS`.
    """
    for session in list(state.sessions.values()):
        if not session.key or is_authorized(state, session):
            continue
        log_removed_key(state, session)
        if session.state == 'idle' and session.task is None:
            close(state, session.conn, 'key removed', abort=False)
            end_session(state, session.conn)
        else:
            session.key_until_ms = state.now_ms + REMOVED_KEY_GRACE_MS
            schedule(state, f'key/{session.conn}', session.key_until_ms)


def on_removed_key_due(state: PoolerState, conn: int) -> None:
    """Abort the transaction of a session whose key has been removed.

    A running statement may still end; the next one is not started.
    """
    session = state.sessions.get(conn)
    if session is None or is_authorized(state, session):
        return
    if session.task is None and session.state == 'in_txn':
        text = 'the key of the caller has been removed'
        abort_idle_txn(state, session, text)


def on_request(state: PoolerState, conn: int, req: Request) -> None:
    """Queue a request of a session; requests run one at a time, in order."""
    session = state.sessions.get(conn)
    if session is None:
        text = 'request received before the session was started'
        send(state, conn, Failed(code='malformed', text=text))
        close(state, conn, 'session not started', abort=False)
        return
    if len(session.backlog) >= MAX_PIPELINED_REQUESTS:
        close(state, conn, 'too many pipelined requests', abort=True)
        end_session(state, conn)
        return
    session.backlog.append(req)
    session.backlog_bytes += len(req.text)
    process_backlog(state, session)


def process_backlog(state: PoolerState, session: Session) -> None:
    """Process queued requests until one of them needs an upstream."""
    while (
        session.task is None
        and session.backlog
        and session.conn in state.sessions
    ):
        req = session.backlog.popleft()
        session.running_bytes = len(req.text)
        session.backlog_bytes -= session.running_bytes
        _process_request(state, session, req)
    if session.task is None:
        session.running_bytes = 0
    if session.reported_bytes or (
        session.backlog_bytes + session.running_bytes + session.value_bytes
        >= MIN_REPORTED_BYTES
    ):
        report_holdings(state, session)


def _process_request(
    state: PoolerState, session: Session, req: Request
) -> None:
    if session.txn is not None and state.now_ms >= session.key_until_ms:
        on_removed_key_due(state, session.conn)
    if req.verb == 'unknown':
        text = f'unknown statement {req.text!r:.80}'
        refuse_request(state, session, req, 'malformed', text)
    elif session.txn is None and not is_authorized(state, session):
        text = describe_rejected_key(session.key)
        refuse_request(state, session, req, 'unauthorized', text)
        close(state, session.conn, text, abort=False)
        end_session(state, session.conn)
    elif session.state == 'failed_txn' and req.verb not in (
        'rollback',
        'commit',
    ):
        if session.abort_reason:
            # The caller does not know yet; nothing of it has been kept.
            code, text = 'aborted', session.abort_reason
        else:
            code = 'failed_txn'
            text = 'transaction failed; only commit and rollback are accepted'
        refuse_request(state, session, req, code, text)
    elif req.verb in ('set', 'prepare', 'deallocate'):
        _update_session_values(state, session, req)
    elif req.verb in ('begin', 'begin_read'):
        _begin(state, session, req)
    elif req.verb == 'rollback':
        _roll_back(state, session)
    elif req.verb == 'commit':
        _commit(state, session, req)
    else:
        _submit_statement(state, session, req)


def answer_locally(state: PoolerState, session: Session) -> None:
    """Answer a request that needs no upstream."""
    ready = Ready(state=session.state)
    send(state, session.conn, Done(signature='-'), ready)


def refuse_request(
    state: PoolerState, session: Session, req: Request, code: str, text: str
) -> None:
    """Refuse a request before anything of it has run."""
    count(state, f'statements_{code}')
    log(
        state,
        'info',
        'request_refused',
        request=req.id,
        verb=req.verb,
        session=session.conn,
        database=session.database,
        code=code,
        detail=text,
    )
    ready = Ready(state=session.state)
    send(state, session.conn, Failed(code=code, text=text), ready)


def _update_session_values(
    state: PoolerState, session: Session, req: Request
) -> None:
    if not add_value_bytes(session, req):
        text = (
            f'the values of the session would exceed {MAX_VALUE_BYTES} bytes'
        )
        refuse_request(state, session, req, 'too_large', text)
        return
    if req.verb == 'set':
        session.values[req.name] = req.argument
    elif req.verb == 'prepare':
        session.prepared[req.name] = req.argument
    else:
        session.prepared.pop(req.name, None)
    session.epoch += 1
    _replay_in_txn(state, session, req)
    answer_locally(state, session)


def _replay_in_txn(state: PoolerState, session: Session, req: Request) -> None:
    """Replay a changed value on the connection of the open transaction."""
    txn = session.txn
    conn = state.conns.get(txn.conn) if txn is not None else None
    if conn is None:
        return
    if req.verb == 'deallocate':
        # No message is needed: the connection is reset before another
        # session uses it.
        conn.replayed_epoch = session.epoch
        return
    action = 'set' if req.verb == 'set' else 'prepare'
    message = Internal(
        action=action,  # type: ignore[arg-type]
        name=req.name,
        argument=req.argument,
    )
    send_internal(state, conn, 'replay', message)
    conn.replayed_session = session.conn
    conn.replayed_epoch = session.epoch


def _begin(state: PoolerState, session: Session, req: Request) -> None:
    if session.txn is not None:
        text = 'a transaction is already open'
        refuse_request(state, session, req, 'malformed', text)
        return
    endpoint = state.endpoints.get(session.database)
    if endpoint is None:
        _refuse_dropped_database(state, session, req)
        return
    session.txn = Transaction(
        endpoint=endpoint,
        read_only=req.verb == 'begin_read',
        last_activity_ms=state.now_ms,
    )
    session.state = 'in_txn'
    _schedule_idle_timeout(state, session)
    answer_locally(state, session)


def _refuse_dropped_database(
    state: PoolerState, session: Session, req: Request
) -> None:
    text = f'database {session.database!r} has been dropped'
    refuse_request(state, session, req, 'no_database', text)


def _schedule_idle_timeout(state: PoolerState, session: Session) -> None:
    txn = session.txn
    if txn is not None and txn.endpoint.idle_txn_ms:
        due_ms = txn.last_activity_ms + txn.endpoint.idle_txn_ms
        schedule(state, f'txn/{session.conn}', due_ms)


def on_txn_idle_timeout(state: PoolerState, conn: int) -> None:
    """Roll back a transaction that has been idle for too long."""
    session = state.sessions.get(conn)
    txn = session.txn if session is not None else None
    if session is None or txn is None or session.state != 'in_txn':
        return
    if session.task is not None:
        txn.last_activity_ms = state.now_ms
    idle_ms = state.now_ms - txn.last_activity_ms
    if idle_ms < txn.endpoint.idle_txn_ms:
        _schedule_idle_timeout(state, session)
        return
    log(
        state,
        'info',
        'idle_transaction_ended',
        session=conn,
        database=session.database,
        idle_ms=round(idle_ms),
    )
    count(state, 'transactions_idle')
    release_txn_conn(state, session)
    session.state = 'failed_txn'


def abort_idle_txn(state: PoolerState, session: Session, reason: str) -> None:
    """Roll back a transaction between two requests of its caller.

    A message without a request would reach the caller as the answer to the
    request that it is just sending. The answer to that one tells the reason.
    """
    log(
        state,
        'info',
        'transaction_aborted',
        session=session.conn,
        database=session.database,
        reason=reason,
    )
    release_txn_conn(state, session)
    session.state = 'failed_txn'
    session.abort_reason = reason


def release_txn_conn(state: PoolerState, session: Session) -> None:
    """Roll back on the upstream and release the connection."""
    txn = session.txn
    conn = state.conns.get(txn.conn) if txn is not None else None
    if txn is None or conn is None:
        return
    txn.conn = 0
    conn.txn_session = 0
    send_rollback(state, conn)


def _roll_back(state: PoolerState, session: Session) -> None:
    _end_txn(state, session)
    answer_locally(state, session)


def _end_txn(state: PoolerState, session: Session) -> None:
    release_txn_conn(state, session)
    session.txn = None
    session.state = 'idle'
    session.abort_reason = ''


def _commit(state: PoolerState, session: Session, req: Request) -> None:
    if session.txn is None:
        text = 'no transaction is open'
        refuse_request(state, session, req, 'malformed', text)
        return
    if session.state == 'failed_txn':
        _end_txn(state, session)
        text = 'the transaction failed earlier and has been rolled back'
        refuse_request(state, session, req, 'aborted', text)
        return
    _submit_statement(state, session, req)


def _submit_statement(
    state: PoolerState, session: Session, req: Request
) -> None:
    """Create the task for a statement and send or queue it."""
    txn = session.txn
    endpoint = txn.endpoint if txn else state.endpoints.get(session.database)
    if endpoint is None:
        _refuse_dropped_database(state, session, req)
        return
    is_write = _is_write(session, req)
    if is_write is None:
        text = f'unknown prepared statement {req.name!r:.80}'
        refuse_request(state, session, req, 'no_statement', text)
        return
    task = StatementTask(
        number=state.next_task,
        session=session,
        req=req,
        endpoint=endpoint,
        arrived_ms=state.now_ms,
        deadline_ms=state.now_ms + endpoint.timeout_ms,
        target=_choose_target(endpoint, txn, is_write),
        is_write=is_write,
        in_txn=txn is not None,
    )
    state.next_task += 1
    session.task = task
    if txn is not None and txn.conn:
        _send_in_txn(state, session, txn, task)
        return
    if txn is not None:
        # First statement of the transaction. If an upstream refuses the
        # begin, nothing of the transaction has run.
        txn.last_activity_ms = state.now_ms
    admit_operation(state, task, session.tenant)


def _is_write(session: Session, req: Request) -> bool | None:
    if req.verb != 'execute':
        return req.verb == 'write'
    shape = session.prepared.get(req.name)
    return None if shape is None else shape.startswith('WRITE')


def _choose_target(
    endpoint: EndpointView, txn: Transaction | None, is_write: bool
) -> Literal['primary', 'any']:
    if endpoint.consistency == 'primary' or is_write:
        return 'primary'
    if txn is not None and not txn.read_only:
        return 'primary'
    return 'any'


def _send_in_txn(
    state: PoolerState,
    session: Session,
    txn: Transaction,
    task: StatementTask,
) -> None:
    conn = state.conns[txn.conn]
    txn.last_activity_ms = state.now_ms
    state.tasks[task.number] = task
    if (task.is_write or needs_lease(task)) and (
        lease_term(state, conn.upstream, txn.endpoint.group) is None
    ):
        _abort_without_lease(state, session, task)
        return
    schedule(state, f'work/{task.number}', task.deadline_ms)
    send_statement(state, conn, task)


def _abort_without_lease(
    state: PoolerState, session: Session, task: StatementTask
) -> None:
    """Roll back a transaction whose writes can no longer be committed."""
    count(state, 'transactions_without_lease')
    release_txn_conn(state, session)
    fail_statement(
        state, task, 'aborted', 'the primary is being replaced or unknown'
    )
    if task.req.verb == 'commit':
        session.txn = None
        session.state = 'idle'


def end_session(state: PoolerState, conn: int) -> None:
    """Remove a session and roll back its open transaction."""
    state.unidentified.discard(conn)
    state.waiting_sessions.pop(conn, None)
    session = state.sessions.pop(conn, None)
    if session is None:
        return
    state.tenant_sessions[session.tenant] -= 1
    task = session.task
    release_txn_conn(state, session)
    if task is not None:
        task.session = None
        if task.phase == 'waiting':
            drop_task(state, task)
