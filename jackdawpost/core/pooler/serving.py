"""What the answers and losses of upstream connections mean.

A statement that nothing has run of is placed again when its upstream
refuses it or is lost; one that may have run is never repeated unless it only
reads.
"""

from __future__ import annotations

from jackdawpost.core.outbox import count
from jackdawpost.core.outbox import log
from jackdawpost.core.outbox import observe
from jackdawpost.core.pooler.answers import finish
from jackdawpost.core.pooler.answers import forget
from jackdawpost.core.pooler.answers import refuse
from jackdawpost.core.pooler.answers import unserved_code
from jackdawpost.core.pooler.connections import connection_limit
from jackdawpost.core.pooler.connections import discard
from jackdawpost.core.pooler.connections import open_count
from jackdawpost.core.pooler.connections import send_rollback
from jackdawpost.core.pooler.limits import note_pace
from jackdawpost.core.pooler.limits import note_served
from jackdawpost.core.pooler.limits import note_shed
from jackdawpost.core.pooler.placement import requeue
from jackdawpost.core.pooler.placement import run_statement
from jackdawpost.core.pooler.probes import PROBE_STEPS
from jackdawpost.core.pooler.probes import take_probe_answer
from jackdawpost.core.pooler.probes import take_told
from jackdawpost.core.pooler.stalls import note_success
from jackdawpost.core.pooler.stalls import note_unserved
from jackdawpost.core.pooler.state import Answer
from jackdawpost.core.pooler.state import group_of
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import schedule
from jackdawpost.core.pooler.state import Session
from jackdawpost.core.pooler.state import Step
from jackdawpost.core.pooler.state import UpstreamConn
from jackdawpost.core.pooler.state import Work
from jackdawpost.core.pooler.upstreams import note_applied
from jackdawpost.core.pooler.upstreams import note_latency
from jackdawpost.core.pooler.upstreams import note_leader
from jackdawpost.core.pooler.upstreams import note_not_leader
from jackdawpost.core.retry import backoff_ms

# Reads that got no answer are tried elsewhere this often at most.
MAX_READ_ATTEMPTS = 3
# Signature of answers that no database has signed.
NOT_RUN_SIGNATURE = '-'
# Refusals by the upstream that promise that nothing has run.
NOT_RUN_CODES = frozenset(
    {'overloaded', 'behind', 'not_primary', 'wrong_upstream', 'no_statement'}
)


def take_answer(
    state: PoolerState, conn: UpstreamConn, step: Step, answer: Answer
) -> None:
    """Handle the complete answer to one step of a statement connection."""
    pool = state.pools.get(conn.upstream)
    work = step.work
    if step.kind in PROBE_STEPS and pool is not None:
        take_probe_answer(state, pool, conn, step, answer)
    if step.kind == 'told' and pool is not None:
        take_told(state, pool, step, answer)
    if step.kind == 'statement' and answer.signature == NOT_RUN_SIGNATURE:
        # Only statements of this process are answered so: an answer before
        # this one has been lost.
        _abandon(state, conn, 'an answer is missing', step)
        return
    if step.kind == 'replay' and answer.code:
        # The session's values are not on the connection.
        log(
            state,
            'warning',
            'replay_refused',
            upstream=conn.upstream,
            code=answer.code,
            detail=answer.text,
        )
        _abandon(state, conn, 'replay refused')
        return
    if step.kind == 'begin' and work is not None:
        _take_begin(state, pool, conn, step, work, answer)
    elif step.kind == 'statement' and work is not None:
        _take_result(state, pool, conn, step, work, answer)
    release(state, conn)


def release(state: PoolerState, conn: UpstreamConn) -> None:
    """Offer a connection that has become idle to what waits."""
    if not conn.is_idle:
        return
    pool = state.pools.get(conn.upstream)
    if pool is None:
        discard(state, conn, 'upstream has left')
    elif open_count(pool) > connection_limit(state, pool):
        discard(state, conn, 'more proxies share the connections')
    else:
        state.dirty.add(f'group/{pool.view.group}')


def _take_begin(
    state: PoolerState,
    pool: Pool | None,
    conn: UpstreamConn,
    step: Step,
    work: Work,
    answer: Answer,
) -> None:
    if answer.code:
        conn.owner = 0
        if answer.state != 'idle':
            send_rollback(state, conn)
        _take_refusal(state, pool, work, answer)
        return
    if pool is not None and work.after is None and answer.position:
        note_leader(state, pool, step.sent_ms, answer.position)
    if work.session is None or work.number not in state.works:
        conn.owner = 0
        send_rollback(state, conn)
        return
    txn = work.session.txn
    if work.in_txn and txn is not None:
        txn.conn = conn.conn
    run_statement(state, conn, work)


def _take_result(
    state: PoolerState,
    pool: Pool | None,
    conn: UpstreamConn,
    step: Step,
    work: Work,
    answer: Answer,
) -> None:
    if pool is not None:
        _learn(state, pool, step, work, answer)
    if work.number not in state.works:
        return
    if _may_repeat_in_place(state, work, answer):
        work.attempts += 1
        pause_ms = backoff_ms(work.attempts, state.rng)
        schedule(state, f'again/{work.number}', state.now_ms + pause_ms)
        return
    if answer.code and not work.in_txn and answer.code in NOT_RUN_CODES:
        _take_refusal(state, pool, work, answer)
        return
    session = work.session
    if session is not None:
        if answer.position and (work.is_write or work.req.verb == 'commit'):
            if answer.signature:
                session.position = answer.position
        if work.in_txn:
            _follow_txn(state, conn, session, work, answer)
    finish(state, work, answer, session.state if session else 'idle')


def _may_repeat_in_place(
    state: PoolerState, work: Work, answer: Answer
) -> bool:
    """Tell whether a transaction's statement was refused for a slot only."""
    return (
        work.in_txn
        and work.session is not None
        and answer.code == 'overloaded'
        and answer.state == 'in_txn'
        and state.now_ms < work.due_ms
    )


def on_again_due(state: PoolerState, number: int) -> None:
    """Send a statement again inside the transaction that it belongs to."""
    work = state.works.get(number)
    conn = state.conns.get(work.conn) if work is not None else None
    if work is None or conn is None or work.session is None:
        return
    if conn.owner == work.session.conn and not conn.steps:
        run_statement(state, conn, work)


def _learn(
    state: PoolerState, pool: Pool, step: Step, work: Work, answer: Answer
) -> None:
    """Take what an answer shows of the upstream."""
    taken_ms = state.now_ms - step.sent_ms
    pool.heard_ms = state.now_ms
    if answer.code == 'overloaded':
        note_shed(state, pool)
    else:
        note_pace(state, group_of(state, pool.view.group))
    if answer.code == 'not_primary':
        note_not_leader(state, pool, 'not_primary')
    elif answer.code == 'statement_failed':
        note_unserved(state, pool, step.sent_ms)
    elif answer.signature:
        note_latency(pool, taken_ms)
        note_served(pool)
        note_success(state, pool)
        observe(state, f'upstream_{work.req.verb}', taken_ms)
        if work.is_write and not work.in_txn and answer.position:
            note_leader(state, pool, step.sent_ms, answer.position)
    if answer.position and work.place == 'any':
        note_applied(state, pool, answer.position)


def _follow_txn(
    state: PoolerState,
    conn: UpstreamConn,
    session: Session,
    work: Work,
    answer: Answer,
) -> None:
    txn = session.txn
    if txn is None:
        return
    session.state = answer.state
    txn.active_ms = state.now_ms
    if answer.state == 'idle':
        conn.owner = 0
        session.txn = None


def _take_refusal(
    state: PoolerState, pool: Pool | None, work: Work, answer: Answer
) -> None:
    """Place a statement again that an upstream refused to run."""
    if work.number not in state.works or work.session is None:
        forget(state, work)
        return
    count(state, f'refused_{answer.code}')
    work.refusal = answer.code
    if answer.code == 'not_primary' and pool is not None:
        note_not_leader(state, pool, 'not_primary')
    elif answer.code == 'behind' and pool is not None:
        work.excluded.add(pool.view.name)
    elif answer.code == 'no_statement':
        finish(state, work, answer, work.session.state)
        return
    else:
        if work.place == 'any' and pool is not None:
            work.excluded.add(pool.view.name)
        pause_ms = backoff_ms(work.attempts, state.rng)
        work.not_before_ms = state.now_ms + pause_ms
        schedule(state, f'group/{work.endpoint.group}', work.not_before_ms)
    requeue(state, work)


def lose_statement_conn(
    state: PoolerState,
    conn: UpstreamConn,
    reason: str,
    unanswered: Step | None = None,
) -> None:
    """Decide what becomes of the statements on a connection that ended.

    Parameters
    ----------
    unanswered : Step, optional
        Step that was taken off the connection without its answer.
    """
    owner = state.sessions.get(conn.owner)
    steps = list(conn.steps)
    if unanswered is not None:
        steps.insert(0, unanswered)
    conn.steps.clear()
    pool = state.pools.get(conn.upstream)
    for step in steps:
        work = step.work
        if step.kind == 'statement' and pool is not None:
            note_unserved(state, pool, step.sent_ms)
        if work is None or work.number not in state.works:
            continue
        if step.kind == 'begin':
            requeue(state, work)
        elif step.kind == 'statement':
            _lose_statement(state, work, reason)
    if owner is not None and owner.txn is not None:
        if owner.txn.conn == conn.conn:
            # The upstream rolls back what a closed connection leaves open.
            owner.txn.conn = 0
            owner.state = 'failed_txn'
            waiting = owner.work
            if waiting is not None and waiting.number in state.works:
                # It waited for a slot: nothing of it has run.
                _end_in_txn(state, owner, waiting, 'aborted', reason)
    conn.owner = 0


def _abandon(
    state: PoolerState,
    conn: UpstreamConn,
    reason: str,
    unanswered: Step | None = None,
) -> None:
    """Give a connection up with all that is out on it."""
    lose_statement_conn(state, conn, reason, unanswered)
    discard(state, conn, reason)


def _lose_statement(state: PoolerState, work: Work, reason: str) -> None:
    session = work.session
    if session is None:
        forget(state, work)
        return
    if work.in_txn:
        is_commit = work.req.verb == 'commit'
        code = 'unknown_outcome' if is_commit else 'aborted'
        _end_in_txn(state, session, work, code, reason)
    elif work.is_write:
        refuse(state, work, 'unknown_outcome', f'connection lost: {reason}')
    elif work.attempts < MAX_READ_ATTEMPTS and state.now_ms < work.due_ms:
        count(state, 'reads_repeated')
        work.may_have_run = True
        requeue(state, work)
    else:
        refuse(state, work, 'aborted', f'connection lost: {reason}')


def _end_in_txn(
    state: PoolerState, session: Session, work: Work, code: str, reason: str
) -> None:
    """Refuse a transaction's statement whose connection is lost."""
    is_commit = work.req.verb == 'commit'
    session.state = 'idle' if is_commit else 'failed_txn'
    if is_commit:
        session.txn = None
    refuse(state, work, code, f'connection lost: {reason}')


def move_reads(state: PoolerState, upstream: str) -> None:
    """Try the reads elsewhere that wait for an upstream out of reach.

    Statements that write, and transactions, wait for an answer as long as
    they have time: one may still come.
    """
    pool = state.pools.get(upstream)
    if pool is None or pool.reach == 'up':
        return
    for number in sorted(pool.conns):
        conn = state.conns[number]
        works = [step.work for step in conn.steps if step.work is not None]
        if not works or any(w.is_write or w.in_txn for w in works):
            continue
        for work in works:
            work.excluded.add(upstream)
        _abandon(state, conn, 'upstream out of reach')


def on_attempt_due(state: PoolerState, number: int, attempt: int) -> None:
    """Try a read elsewhere whose answer seems to be lost."""
    work = state.works.get(number)
    if work is None or work.attempts != attempt or work.phase == 'waiting':
        return
    if work.attempts >= MAX_READ_ATTEMPTS:
        return
    conn = state.conns.get(work.conn)
    log(
        state,
        'warning',
        'read_unanswered',
        request=work.req.id,
        upstream=conn.upstream if conn else None,
        waited_ms=round(state.now_ms - work.sent_ms),
    )
    if conn is not None:
        work.excluded.add(conn.upstream)
        _abandon(state, conn, 'no answer')


def give_up_all(state: PoolerState) -> None:
    """Give every statement its final answer before the process ends."""
    for number, work in list(state.works.items()):
        work.due_ms = state.now_ms
        on_work_due(state, number)


def on_work_due(state: PoolerState, number: int) -> None:
    """End a statement whose time is over."""
    work = state.works.get(number)
    if work is None:
        return
    if state.now_ms < work.due_ms:
        schedule(state, f'work/{number}', work.due_ms)
        return
    conn = state.conns.get(work.conn)
    if work.phase != 'running':
        # Nothing of this attempt was sent.
        refuse(state, work, unserved_code(work), 'no upstream in time')
        if conn is not None and conn.steps:
            _abandon(state, conn, 'no answer to a begin')
        return
    work.attempts = MAX_READ_ATTEMPTS
    if conn is None:
        refuse(state, work, 'aborted', 'connection lost')
        return
    _abandon(state, conn, 'time limit')
