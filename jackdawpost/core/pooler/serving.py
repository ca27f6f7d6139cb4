"""Statements: where they run, and what their answers mean.

A statement that nothing has run of is placed again when its upstream
refuses it or is lost; one that may have run is never repeated unless it only
reads.
"""

from __future__ import annotations

from jackdawpost.core.messages.session import Done
from jackdawpost.core.messages.session import Execute
from jackdawpost.core.messages.session import Failed
from jackdawpost.core.messages.session import Internal
from jackdawpost.core.messages.session import Ready
from jackdawpost.core.messages.session import Row
from jackdawpost.core.messages.session import SessionState
from jackdawpost.core.pooler.limits import has_room
from jackdawpost.core.pooler.limits import must_wait_too_long
from jackdawpost.core.pooler.limits import note_pace
from jackdawpost.core.pooler.limits import note_served
from jackdawpost.core.pooler.limits import note_shed
from jackdawpost.core.pooler.state import Answer
from jackdawpost.core.pooler.state import count
from jackdawpost.core.pooler.state import group_of
from jackdawpost.core.pooler.state import log
from jackdawpost.core.pooler.state import observe
from jackdawpost.core.pooler.state import Pool
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.pooler.state import PoolGroup
from jackdawpost.core.pooler.state import schedule
from jackdawpost.core.pooler.state import send
from jackdawpost.core.pooler.state import Session
from jackdawpost.core.pooler.state import Step
from jackdawpost.core.pooler.state import UpstreamConn
from jackdawpost.core.pooler.state import Work
from jackdawpost.core.pooler.upstreams import add_connection
from jackdawpost.core.pooler.upstreams import connection_limit
from jackdawpost.core.pooler.upstreams import discard
from jackdawpost.core.pooler.upstreams import may_open
from jackdawpost.core.pooler.upstreams import note_applied
from jackdawpost.core.pooler.upstreams import note_latency
from jackdawpost.core.pooler.upstreams import note_leader
from jackdawpost.core.pooler.upstreams import note_not_leader
from jackdawpost.core.pooler.upstreams import PROBE_STEPS
from jackdawpost.core.pooler.upstreams import replay_session
from jackdawpost.core.pooler.upstreams import send_internal
from jackdawpost.core.pooler.upstreams import take_probe_answer
from jackdawpost.core.pooler.upstreams import take_told
from jackdawpost.core.pooler.upstreams import takes_work
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.retry import backoff_ms

# Statements that may wait for an upstream, for each group.
MAX_WAITING = 256
# Reads that got no answer are tried elsewhere this often at most.
MAX_READ_ATTEMPTS = 3
# Share of a read's time after which a lost answer is given up for another
# attempt.
READ_ATTEMPT_SHARE = 0.5
# What a trip to another region costs a read more than one in this region.
OTHER_REGION_MS = 30.0
# Signature of answers that no database has signed.
NOT_RUN_SIGNATURE = '-'
# Connections to one upstream that may be on their way at a time.
MAX_OPENING = 2
# Time that a read must save for another connection to be opened for it.
OPENING_GAIN_MS = 20.0
# Time for which a replica seen behind is not asked for the same again.
BEHIND_MS = 150.0
# Refusals by the upstream that promise that nothing has run.
NOT_RUN_CODES = frozenset(
    {'overloaded', 'behind', 'not_primary', 'wrong_upstream', 'no_statement'}
)


def submit(state: PoolerState, work: Work) -> None:
    """Take a statement that an upstream has to run."""
    state.works[work.number] = work
    schedule(state, f'work/{work.number}', work.due_ms)
    group = group_of(state, work.endpoint.group)
    if len(group.waiting) >= MAX_WAITING:
        refuse(state, work, 'overloaded', 'too many statements wait')
        return
    if must_wait_too_long(group, work):
        refuse(state, work, 'overloaded', 'others wait that leave no time')
        return
    group.waiting.append(work)
    state.dirty.add(f'group/{group.name}')


def dispatch(state: PoolerState, name: str) -> None:
    """Place the waiting statements of a group, the most urgent first."""
    group = group_of(state, name)
    if not group.waiting:
        return
    group.waiting.sort(key=_urgency)
    waiting = group.waiting
    group.waiting = []
    wanted: dict[str, int] = {}
    for work in waiting:
        if work.number not in state.works:
            continue
        if not _place(state, group, work, wanted):
            group.waiting.append(work)
    for upstream, number in wanted.items():
        _open_for(state, state.pools[upstream], number)


def _urgency(work: Work) -> tuple[bool, int, float]:
    # An open transaction holds a connection that others wait for.
    return not work.in_txn, work.endpoint.priority, work.arrived_ms


def _open_for(state: PoolerState, pool: Pool, wanted: int) -> None:
    opening = sum(1 for number in pool.conns if not state.conns[number].opened)
    for _ in range(min(wanted, MAX_OPENING) - opening):
        if not may_open(state, pool) or not has_room(state, pool):
            return
        add_connection(state, pool)


def _place(
    state: PoolerState, group: PoolGroup, work: Work, wanted: dict[str, int]
) -> bool:
    """Send a statement if an upstream has a connection for it."""
    if work.not_before_ms > state.now_ms:
        return False
    after = None
    if work.place == 'any':
        after = _needed_position(group, work)
        if after is not None:
            pools = _readers(state, group, work, after)
            for pool in pools:
                conn = _free_conn(state, pool, work.session)
                if conn is not None:
                    if _is_much_quicker(state, pools[0], pool):
                        _want(wanted, pools[0])
                    _start(state, pool, conn, work, after)
                    return True
            if pools:
                _want(wanted, pools[0])
                return False
    primary = state.pools.get(group.primary or '')
    if primary is None or not takes_work(state, primary):
        return False
    conn = _free_conn(state, primary, work.session)
    if conn is None:
        _want(wanted, primary)
        return False
    _start(state, primary, conn, work, None)
    return True


def _want(wanted: dict[str, int], pool: Pool) -> None:
    wanted[pool.view.name] = wanted.get(pool.view.name, 0) + 1


def _is_much_quicker(state: PoolerState, best: Pool, used: Pool) -> bool:
    """Tell whether a connection to `best` would soon pay for its opening."""
    gain_ms = _expected_ms(state, used) - _expected_ms(state, best)
    return best is not used and gain_ms > OPENING_GAIN_MS


def _needed_position(group: PoolGroup, work: Work) -> LogPosition | None:
    """Return the position that a read needs; None if only the primary can."""
    sample = group.samples.oldest_within(
        work.arrived_ms, work.endpoint.max_age_ms
    )
    if sample is None:
        return None
    session = work.session
    is_own = work.endpoint.consistency == 'read_your_writes'
    if is_own and session is not None and session.position is not None:
        return max(sample, session.position)
    return sample


def _readers(
    state: PoolerState, group: PoolGroup, work: Work, after: LogPosition
) -> list[Pool]:
    """Return the upstreams that can serve a read, the quickest first."""
    found = []
    for pool in state.pools.values():
        view = pool.view
        if view.group != group.name or view.leaving or pool.reach != 'up':
            continue
        if view.name in work.excluded:
            continue
        if _is_known_behind(state, pool, after):
            continue
        found.append(pool)
    return sorted(found, key=lambda pool: _expected_ms(state, pool))


def _is_known_behind(
    state: PoolerState, pool: Pool, after: LogPosition
) -> bool:
    """Tell whether a replica has just shown that it lacks a position.

    An older sight says little: it may have caught up since. One read finds
    out, and costs nothing but the way if it has not.
    """
    if pool.applied is None or pool.applied >= after:
        return False
    return state.now_ms < pool.applied_ms + BEHIND_MS


def _expected_ms(state: PoolerState, pool: Pool) -> float:
    busy = sum(1 for number in pool.conns if state.conns[number].steps)
    region = state.cfg.regions.get(pool.view.data_centre)
    distance_ms = 0.0 if region == state.cfg.region else OTHER_REGION_MS
    return pool.latency_ms * (1 + busy) + distance_ms


def _free_conn(
    state: PoolerState, pool: Pool, session: Session | None
) -> UpstreamConn | None:
    """Return an idle connection, best one that holds the session's values."""
    found = None
    if not has_room(state, pool):
        return None
    for number in pool.conns:
        conn = state.conns[number]
        if not conn.is_idle:
            continue
        if session is not None and conn.session == session.conn:
            return conn
        if found is None or not conn.session:
            found = conn
    return found


def _start(
    state: PoolerState,
    pool: Pool,
    conn: UpstreamConn,
    work: Work,
    after: LogPosition | None,
) -> None:
    """Send a statement, or the begin that it needs before it."""
    session = work.session
    assert session is not None
    work.attempts += 1
    work.conn = conn.conn
    work.after = after
    work.sent_ms = state.now_ms
    messages = replay_session(state, conn, session)
    if messages:
        send(state, conn.conn, *messages)
    _watch_attempt(state, work)
    is_guarded = not work.is_write and after is None
    if work.in_txn or is_guarded:
        work.phase = 'beginning'
        conn.owner = session.conn if work.in_txn else 0
        begin = Internal(action='begin')
        if after is not None:
            begin = Internal(action='begin_read', after=after)
        conn.steps.append(Step(kind='begin', sent_ms=state.now_ms, work=work))
        send(state, conn.conn, begin)
        return
    run_statement(state, conn, work)


def _watch_attempt(state: PoolerState, work: Work) -> None:
    if work.is_write or work.in_txn:
        return
    left_ms = work.due_ms - state.now_ms
    schedule(
        state,
        f'attempt/{work.number}/{work.attempts}',
        state.now_ms + left_ms * READ_ATTEMPT_SHARE,
    )


def run_statement(state: PoolerState, conn: UpstreamConn, work: Work) -> None:
    """Send the caller's statement on a connection that is ready for it."""
    work.phase = 'running'
    work.conn = conn.conn
    work.sent_ms = state.now_ms
    # In a transaction the position was demanded by the begin.
    is_alone = not work.in_txn and not _is_guarded(work)
    conn.steps.append(Step(kind='statement', sent_ms=state.now_ms, work=work))
    execute = Execute(
        id=work.req.id,
        text=work.req.text,
        after=work.after if is_alone else None,
    )
    send(state, conn.conn, execute)
    if _is_guarded(work):
        undo = Internal(action='rollback')
        send_internal(state, conn, 'rollback', undo)


def _is_guarded(work: Work) -> bool:
    return not work.is_write and not work.in_txn and work.after is None


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
        lose_statement_conn(state, conn, 'an answer is missing', step)
        discard(state, conn, 'an answer is missing')
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
        lose_statement_conn(state, conn, 'replay refused')
        discard(state, conn, 'replay refused')
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
    conn.idle_since_ms = state.now_ms
    pool = state.pools.get(conn.upstream)
    if pool is None:
        discard(state, conn, 'upstream has left')
    elif len(pool.conns) > connection_limit(state, pool):
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
            send_internal(state, conn, 'rollback', Internal(action='rollback'))
        _take_refusal(state, pool, work, answer)
        return
    if pool is not None and work.after is None and answer.position:
        note_leader(state, pool, step.sent_ms, answer.position)
    if work.session is None or work.number not in state.works:
        conn.owner = 0
        send_internal(state, conn, 'rollback', Internal(action='rollback'))
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
    elif answer.signature:
        note_latency(pool, taken_ms)
        note_served(pool)
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


def requeue(state: PoolerState, work: Work) -> None:
    """Let a statement of which nothing has run wait for an upstream."""
    if work.session is None:
        forget(state, work)
        return
    work.phase = 'waiting'
    work.conn = 0
    group = group_of(state, work.endpoint.group)
    group.waiting.append(work)
    state.dirty.add(f'group/{group.name}')


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
    for step in steps:
        work = step.work
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
    conn.owner = 0


def _lose_statement(state: PoolerState, work: Work, reason: str) -> None:
    session = work.session
    if session is None:
        forget(state, work)
        return
    if work.in_txn:
        is_commit = work.req.verb == 'commit'
        session.state = 'idle' if is_commit else 'failed_txn'
        if is_commit:
            session.txn = None
        code = 'unknown_outcome' if is_commit else 'aborted'
        refuse(state, work, code, f'connection lost: {reason}')
    elif work.is_write:
        refuse(state, work, 'unknown_outcome', f'connection lost: {reason}')
    elif work.attempts < MAX_READ_ATTEMPTS and state.now_ms < work.due_ms:
        count(state, 'reads_repeated')
        requeue(state, work)
    else:
        refuse(state, work, 'aborted', f'connection lost: {reason}')


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
        lose_statement_conn(state, conn, 'upstream out of reach')
        discard(state, conn, 'upstream out of reach')


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
        lose_statement_conn(state, conn, 'no answer')
        discard(state, conn, 'no answer')


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
        # Nothing of the statement was sent.
        work_conn = conn
        refuse(state, work, _waiting_code(work), 'no upstream in time')
        if work_conn is not None and work_conn.steps:
            lose_statement_conn(state, work_conn, 'no answer to a begin')
            discard(state, work_conn, 'no answer to a begin')
        return
    work.attempts = MAX_READ_ATTEMPTS
    if conn is None:
        refuse(state, work, 'aborted', 'connection lost')
        return
    lose_statement_conn(state, conn, 'time limit')
    discard(state, conn, 'time limit')


def _waiting_code(work: Work) -> str:
    if work.in_txn:
        return 'aborted'
    return 'overloaded'


def refuse(state: PoolerState, work: Work, code: str, text: str) -> None:
    """Answer a statement that is not going to succeed."""
    session = work.session
    if session is not None and work.in_txn and session.txn is not None:
        session.state = 'failed_txn'
    answer = Answer(code=code, text=text)
    finish(state, work, answer, session.state if session else 'idle')


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
