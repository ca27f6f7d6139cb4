"""Answers to callers: success, failure, and what is logged of them."""

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
from jackdawpost.core.pooler.state import group_of
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import Work


def refuse(state: PoolerState, work: Work, code: str, text: str) -> None:
    """Answer a statement that is not going to succeed."""
    session = work.session
    if session is not None and work.in_txn and session.txn is not None:
        session.state = 'failed_txn'
    answer = Answer(code=code, text=text)
    finish(state, work, answer, session.state if session else 'idle')


def unserved_code(work: Work) -> str:
    """Return the code of a statement that no upstream took in time.

    ``'overloaded'`` promises that nothing has run.
    """
    if work.in_txn or work.may_have_run:
        return 'aborted'
    return 'overloaded'


def finish(
    state: PoolerState, work: Work, answer: Answer, end: SessionState
) -> None:
    """Give a caller the answer to its statement."""
    session = work.session
    forget(state, work)
    taken_ms = state.now_ms - work.arrived_ms
    outcome = answer.code or 'done'
    count(state, f'statements_{outcome}')
    observe(state, f'statement_{work.endpoint.consistency}', taken_ms)
    if answer.code:
        _log_failure(state, work, answer, taken_ms)
    elif taken_ms > work.endpoint.objective_ms:
        log(
            state,
            'info',
            'statement_late',
            request=work.req.id,
            database=work.endpoint.database,
            verb=work.req.verb,
            attempts=work.attempts,
            refusal=work.refusal,
            waited_ms=round(work.sent_ms - work.arrived_ms),
            taken_ms=round(taken_ms),
        )
    if session is None:
        return
    result: list[Row | Done | Failed] = [Row(text=t) for t in answer.rows]
    if answer.code:
        result = [Failed(code=answer.code, text=answer.text or answer.code)]
    else:
        result.append(Done(signature=answer.signature))
    ready = Ready(state=end, position=answer.position)
    send(state, session.conn, *result, ready)
    session.work = None
    state.dirty.add(f'session/{session.conn}')


def _log_failure(
    state: PoolerState, work: Work, answer: Answer, taken_ms: float
) -> None:
    group = group_of(state, work.endpoint.group)
    log(
        state,
        'warning',
        'statement_failed',
        request=work.req.id,
        session=work.session.conn if work.session else None,
        database=work.endpoint.database,
        verb=work.req.verb,
        in_txn=work.in_txn,
        code=answer.code,
        detail=answer.text,
        phase=work.phase,
        attempts=work.attempts,
        refusal=work.refusal,
        primary=group.primary,
        config_version=state.published.version,
        taken_ms=round(taken_ms),
    )


def forget(state: PoolerState, work: Work) -> None:
    """Drop a statement; a late answer to it is ignored."""
    state.works.pop(work.number, None)
