"""Transactions; each holds one upstream connection and one permit."""

from __future__ import annotations

import math
from typing import Any

from jackdawpost.core.messages.caller import Answer
from jackdawpost.core.messages.caller import Commit
from jackdawpost.core.messages.caller import Rollback
from jackdawpost.core.messages.caller import Statement
from jackdawpost.core.messages.upstream import Execute
from jackdawpost.core.messages.upstream import Executed
from jackdawpost.core.messages.upstream import TxnBegin
from jackdawpost.core.messages.upstream import TxnCommit
from jackdawpost.core.messages.upstream import TxnRollback
from jackdawpost.core.outbox import count
from jackdawpost.core.proxy.answers import answer_when_replicated
from jackdawpost.core.proxy.answers import finish
from jackdawpost.core.proxy.answers import finish_done
from jackdawpost.core.proxy.answers import finish_error
from jackdawpost.core.proxy.answers import finish_refused
from jackdawpost.core.proxy.answers import retry_later
from jackdawpost.core.proxy.answers import retry_or_fail
from jackdawpost.core.proxy.conns import attempt_timeout_ms
from jackdawpost.core.proxy.conns import drop_conn
from jackdawpost.core.proxy.conns import end_frame
from jackdawpost.core.proxy.conns import start_frame
from jackdawpost.core.proxy.state import Group
from jackdawpost.core.proxy.state import holds_lease
from jackdawpost.core.proxy.state import new_id
from jackdawpost.core.proxy.state import ProxyState
from jackdawpost.core.proxy.state import Request
from jackdawpost.core.proxy.state import schedule
from jackdawpost.core.proxy.state import Transaction
from jackdawpost.core.proxy.state import UpstreamConn

MAX_LOST_HANDLES = 64
# Refusals after which the transaction is still open on the upstream.
TRANSACTION_KEEPING_CODES = frozenset({'statement_failed', 'timeout'})
# Refusals of a begin that a retry would not change.
PERMANENT_BEGIN_CODES = TRANSACTION_KEEPING_CODES | {
    'malformed',
    'history_lost',
}


def send_begin(
    state: ProxyState, group: Group, conn: UpstreamConn, req: Request
) -> None:
    """Open a transaction on a connection acquired for it."""
    req.exec_id = new_id(state)
    req.term = group.view.term
    message = TxnBegin(
        id=req.exec_id,
        term=req.term,
        timeout_ms=attempt_timeout_ms(state, req),
        after=req.after,
    )
    start_frame(state, conn, [req], [message], message.timeout_ms)


def add_to_transaction(
    state: ProxyState, txn: Transaction, req: Request
) -> None:
    """Send a request of a transaction, or queue it behind earlier ones."""
    req.txn = txn
    txn.idle_due_ms = math.inf
    if txn.running is not None or txn.pending:
        req.phase = 'txn'
        txn.pending.append(req)
        return
    _send_in_transaction(state, txn, req)


def _send_in_transaction(
    state: ProxyState, txn: Transaction, req: Request
) -> None:
    conn = state.conns[txn.conn]
    txn.running = req
    req.exec_id = new_id(state)
    req.term = txn.term
    req.token = txn.token
    timeout_ms = attempt_timeout_ms(state, req)
    message = _build_message(req, timeout_ms)
    start_frame(state, conn, [req], [message], timeout_ms)


def _build_message(req: Request, timeout_ms: int) -> Any:
    message = req.message
    if isinstance(message, Commit):
        return TxnCommit(
            id=req.exec_id,
            term=req.term,
            timeout_ms=timeout_ms,
            request_key=message.request_key,
        )
    if isinstance(message, Rollback):
        return TxnRollback(id=req.exec_id)
    assert isinstance(message, Statement)
    return Execute(
        id=req.exec_id,
        sql=message.sql,
        access=message.access,
        term=req.term,
        must_lead=True,
        timeout_ms=timeout_ms,
        params=message.params,
        in_txn=True,
    )


def on_txn_executed(
    state: ProxyState,
    conn: UpstreamConn,
    req: Request,
    executed: Executed,
) -> None:
    """Handle an upstream's answer to a request of a transaction."""
    txn = conn.txn
    if txn is None:
        _on_begin_executed(state, conn, req, executed)
        return
    txn.running = None
    if isinstance(req.message, (Commit, Rollback)):
        _on_commit_or_rollback_executed(state, conn, txn, req, executed)
        return
    group = state.groups.get(req.group)
    if group is None or not holds_lease(state, group, txn.term):
        retry_or_fail(state, req, 'lease_lost')
        drop_conn(state, conn, 'lease lost during a transaction')
        return
    if executed.status == 'done':
        finish_done(state, req, executed, 'primary', 0)
    else:
        if executed.code not in TRANSACTION_KEEPING_CODES:
            text = executed.message or ''
            finish_error(state, req, 'not_run', 'transaction_lost', text)
            drop_conn(state, conn, 'statement of a transaction refused')
            return
        finish_refused(state, req, executed, True)
    end_frame(state, conn)
    _run_next(state, txn)


def _run_next(state: ProxyState, txn: Transaction) -> None:
    if txn.state == 'lost':
        return
    if txn.pending:
        _send_in_transaction(state, txn, txn.pending.pop(0))
        return
    txn.idle_due_ms = state.now_ms + state.cfg.idle_txn_ms
    _schedule_idle_check(state, txn)


def _schedule_idle_check(state: ProxyState, txn: Transaction) -> None:
    if not txn.idle_check_scheduled:
        txn.idle_check_scheduled = True
        schedule(state, txn.idle_due_ms, 'txn_idle', txn.handle)


def _on_begin_executed(
    state: ProxyState,
    conn: UpstreamConn,
    req: Request,
    executed: Executed,
) -> None:
    group = state.groups.get(req.group)
    caller = state.callers.get(req.caller)
    if executed.status != 'done':
        end_frame(state, conn)
        _on_begin_refused(state, req, executed)
        return
    if caller is None or group is None or req.phase != 'running':
        drop_conn(state, conn, 'caller disconnected')
        return
    if not holds_lease(state, group, req.term):
        drop_conn(state, conn, 'lease lost while a transaction opened')
        retry_later(state, req)
        return
    txn = Transaction(
        handle=new_id(state),
        caller=req.caller,
        group=req.group,
        term=req.term,
        conn=conn.conn,
        token=req.token,
    )
    conn.txn = txn
    state.txns[txn.handle] = txn
    _evict_lost_handles(caller.txns)
    caller.txns[txn.handle] = txn
    answer = Answer(id=req.message.id, outcome='done', txn=txn.handle)
    finish(state, req, answer)
    end_frame(state, conn)
    _run_next(state, txn)


def _evict_lost_handles(txns: dict[int, Transaction]) -> None:
    if len(txns) < MAX_LOST_HANDLES:
        return
    lost = [h for h, txn in txns.items() if txn.state == 'lost']
    for handle in lost[: len(lost) - MAX_LOST_HANDLES // 2]:
        del txns[handle]


def _on_begin_refused(
    state: ProxyState, req: Request, executed: Executed
) -> None:
    if req.phase != 'running':
        return
    if executed.code in PERMANENT_BEGIN_CODES:
        finish_refused(state, req, executed, True)
    else:
        retry_later(state, req)


def _on_commit_or_rollback_executed(
    state: ProxyState,
    conn: UpstreamConn,
    txn: Transaction,
    req: Request,
    executed: Executed,
) -> None:
    group = state.groups.get(req.group)
    _remove_transaction(state, txn)
    if executed.status != 'done':
        # The transaction may still be open on the upstream; closing the
        # connection rolls it back.
        finish_refused(state, req, executed, True)
        drop_conn(state, conn, 'commit or rollback refused')
        return
    conn.txn = None
    if isinstance(req.message, Rollback):
        finish_done(state, req, executed)
    elif group is None or not holds_lease(state, group, txn.term):
        retry_or_fail(state, req, 'lease_lost')
    elif req.phase == 'running':
        answer_when_replicated(state, group, req, executed)
    end_frame(state, conn)
    _refuse_pending(state, txn)


def _refuse_pending(state: ProxyState, txn: Transaction) -> None:
    txn.state = 'lost'
    pending = txn.pending
    txn.pending = []
    for req in pending:
        finish_error(state, req, 'not_run', 'unknown_transaction')


def _remove_transaction(state: ProxyState, txn: Transaction) -> None:
    state.txns.pop(txn.handle, None)
    caller = state.callers.get(txn.caller)
    if caller is not None:
        caller.txns.pop(txn.handle, None)


def roll_back(state: ProxyState, txn: Transaction, reason: str) -> None:
    """Roll back a transaction by closing its connection."""
    count(state, 'transactions_rolled_back')
    conn = state.conns.get(txn.conn)
    if conn is not None:
        drop_conn(state, conn, reason)


def check_idle_transaction(state: ProxyState, handle: int) -> None:
    """Roll back a transaction that was idle for too long."""
    txn = state.txns.get(handle)
    if txn is None:
        return
    txn.idle_check_scheduled = False
    if txn.idle_due_ms <= state.now_ms:
        roll_back(state, txn, 'idle transaction')
    elif txn.idle_due_ms < math.inf:
        _schedule_idle_check(state, txn)
