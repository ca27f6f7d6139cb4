"""Final answers of statements to callers, and log lines of failures."""

from __future__ import annotations

from jackdawpost.core.messages.session import Done
from jackdawpost.core.messages.session import Failed
from jackdawpost.core.messages.session import Ready
from jackdawpost.core.messages.session import Row
from jackdawpost.core.messages.session import SessionState
from jackdawpost.core.outbox import count
from jackdawpost.core.outbox import log
from jackdawpost.core.outbox import observe
from jackdawpost.core.outbox import send
from jackdawpost.core.pooler.state import Answer
from jackdawpost.core.pooler.state import cancel
from jackdawpost.core.pooler.state import get_group
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import StatementTask
from jackdawpost.core.rates.stock import return_token


def fail_statement(
    state: PoolerState, task: StatementTask, code: str, text: str
) -> None:
    """Answer a statement with an error; its open transaction fails, too.

    A read that an upstream has failed before is answered with that error.
    """
    session = task.session
    if session is not None and task.in_txn and session.txn is not None:
        session.state = 'failed_txn'
    answer = task.error or Answer(code=code, text=text)
    finish_statement(state, task, answer, session.state if session else 'idle')


def expiry_code(task: StatementTask) -> str:
    """Return the error code for a statement that expires while it is unsent.

    ``'overloaded'`` guarantees to the caller that nothing has run. A
    statement of a transaction, or one that may have run in an earlier
    attempt whose answer was lost, gets ``'aborted'``.
    """
    if task.in_txn or task.may_have_run:
        return 'aborted'
    return 'overloaded'


def finish_statement(
    state: PoolerState,
    task: StatementTask,
    answer: Answer,
    session_state: SessionState,
) -> None:
    """Send the final answer of a statement to its caller."""
    session = task.session
    drop_task(state, task)
    duration_ms = state.now_ms - task.arrived_ms
    outcome = answer.code or 'done'
    count(state, f'statements_{outcome}')
    observe(state, f'statement_{task.endpoint.consistency}', duration_ms)
    if answer.code:
        _log_failure(state, task, answer, duration_ms)
    elif duration_ms > task.endpoint.objective_ms:
        log(
            state,
            'info',
            'statement_late',
            request=task.req.id,
            database=task.endpoint.database,
            verb=task.req.verb,
            attempts=task.attempts,
            refusal=task.refusal_code,
            waited_ms=round(task.sent_ms - task.arrived_ms),
            taken_ms=round(duration_ms),
        )
    if session is None:
        return
    result: list[Row | Done | Failed] = [Row(text=t) for t in answer.rows]
    if answer.code:
        result = [Failed(code=answer.code, text=answer.text or answer.code)]
    else:
        result.append(Done(signature=answer.signature))
    ready = Ready(state=session_state, position=answer.position)
    send(state, session.conn, *result, ready)
    session.task = None
    state.dirty.add(f'session/{session.conn}')


def _log_failure(
    state: PoolerState, task: StatementTask, answer: Answer, duration_ms: float
) -> None:
    group = get_group(state, task.endpoint.group)
    log(
        state,
        'warning',
        'statement_failed',
        request=task.req.id,
        session=task.session.conn if task.session else None,
        database=task.endpoint.database,
        verb=task.req.verb,
        in_txn=task.in_txn,
        code=answer.code,
        detail=answer.text,
        phase=task.phase,
        attempts=task.attempts,
        refusal=task.refusal_code,
        primary=group.primary,
        config_version=state.published.version,
        taken_ms=round(duration_ms),
    )


def drop_task(state: PoolerState, task: StatementTask) -> None:
    """Remove a statement; a late answer to it will be ignored."""
    get_group(state, task.endpoint.group).waiting.remove(task)
    if state.tasks.pop(task.number, None) is None:
        return
    cancel(state, f'work/{task.number}')
    if task.token_ms is not None and not task.attempts:
        return_token(state.rates, task.tenant, task.token_ms, state.now_ms)
    if task.attempt_due_ms is not None:
        cancel(state, f'attempt/{task.number}')
