"""Callers: sessions with operations of every kind, and what they saw."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Literal

import trio

from jackdawpost_standin.line_caller import LineCaller
from jackdawpost_standin.line_caller import SessionLostError
from soak.cluster import FRONTEND_PORT
from soak.cluster import Node

# A caller gives an operation up after this; beyond the route's time limit.
GIVE_UP_S = 3.0
CONNECT_S = 1.0
RECONNECT_S = 0.05
PAUSE_S = 0.02  # mean time between two operations of a session
KEYS = 40
TRANSACTION_SHARE = 0.2
WRITE_SHARE = 0.4  # of single statements
TXN_WRITE_SHARE = 0.6  # of the statements of transactions
COMMIT_SHARE = 0.8  # of transactions that get so far; the others roll back
SESSION_OPERATIONS = 30
# Codes that promise that nothing of the operation is kept.
NOT_KEPT = frozenset(
    {'BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'CONNLIMIT'}
)


@dataclass(slots=True, kw_only=True)
class Operation:
    """One operation as its caller saw it.

    Parameters
    ----------
    reads, writes : list of str
        Request ids of its statements.
    outcome : str
        ``'done'``, ``'rolled back'`` by the caller, a code, ``'lost'`` if the
        connection ended, ``'silent'`` if the caller gave it up, or empty
        while it goes on.
    answered : list of str
        Signatures of the statements that succeeded.
    """

    database: str
    session: int
    edge: str
    began_s: float
    ended_s: float = 0.0
    reads: list[str] = field(default_factory=list)
    writes: list[str] = field(default_factory=list)
    outcome: str = ''
    answered: list[str] = field(default_factory=list)
    kind: Literal['single', 'transaction'] = 'single'


@dataclass
class Recorder:
    """All operations of a run."""

    operations: list[Operation] = field(default_factory=list)
    next_id: int = 0
    next_session: int = 0

    def new_id(self) -> str:
        """Return a request id that no other statement has."""
        self.next_id += 1
        return f'q{self.next_id:x}'


async def run_caller(
    recorder: Recorder,
    rng: random.Random,
    choose_edge: Callable[[], Node],
    databases: tuple[str, ...],
) -> None:
    """Open one session after another and use each for a while."""
    while True:
        edge = choose_edge()
        stream = await _connect(edge)
        if stream is not None:
            async with stream:
                database = rng.choice(databases)
                await _use(recorder, rng, edge, stream, database)
        await trio.sleep(RECONNECT_S)


async def _connect(edge: Node) -> trio.SocketStream | None:
    with trio.move_on_after(CONNECT_S):
        try:
            return await trio.open_tcp_stream(edge.host, FRONTEND_PORT)
        except OSError:
            return None  # it is down; the next attempt may go elsewhere
    return None


async def _use(
    recorder: Recorder,
    rng: random.Random,
    edge: Node,
    stream: trio.SocketStream,
    database: str,
) -> None:
    recorder.next_session += 1
    number = recorder.next_session
    session = LineCaller(stream)
    if not await start(session, database):
        return
    for _ in range(rng.randint(1, SESSION_OPERATIONS)):
        operation = Operation(
            database=database,
            session=number,
            edge=edge.name,
            began_s=time.monotonic(),
        )
        recorder.operations.append(operation)
        outcome = 'silent'
        with trio.move_on_after(GIVE_UP_S):
            outcome = await _operate(recorder, rng, session, operation)
        operation.outcome = outcome
        operation.ended_s = time.monotonic()
        if operation.outcome in ('lost', 'silent'):
            return
        await trio.sleep(rng.expovariate(1 / PAUSE_S))


async def start(session: LineCaller, database: str) -> bool:
    """Start a session; True if the database name is served."""
    with trio.move_on_after(CONNECT_S):
        try:
            opened = await session.request(f'START {database} soak')
        except SessionLostError:
            return False
        return opened[0].startswith('READY')
    return False


async def _operate(
    recorder: Recorder,
    rng: random.Random,
    session: LineCaller,
    operation: Operation,
) -> str:
    try:
        if rng.random() < TRANSACTION_SHARE:
            operation.kind = 'transaction'
            return await _transact(recorder, rng, session, operation)
        is_write = rng.random() < WRITE_SHARE
        return await _statement(recorder, rng, session, operation, is_write)
    except SessionLostError:
        return 'lost'


async def _statement(
    recorder: Recorder,
    rng: random.Random,
    session: LineCaller,
    operation: Operation,
    is_write: bool,
) -> str:
    request = recorder.new_id()
    key = rng.randrange(KEYS)
    text = f'WRITE {key} {request}' if is_write else f'READ {key}'
    (operation.writes if is_write else operation.reads).append(request)
    return _outcome(
        await session.request(f'QUERY {request} {text}'), operation
    )


async def _transact(
    recorder: Recorder,
    rng: random.Random,
    session: LineCaller,
    operation: Operation,
) -> str:
    async def control(word: str) -> tuple[str, bool]:
        lines = await session.request(f'QUERY {recorder.new_id()} {word}')
        return _outcome(lines, operation), lines[-1].startswith('READY I')

    outcome, _ = await control('BEGIN')
    for _ in range(rng.randint(1, 4)):
        if outcome != 'done':
            break
        is_write = rng.random() < TXN_WRITE_SHARE
        outcome = await _statement(recorder, rng, session, operation, is_write)
    if outcome == 'done' and rng.random() < COMMIT_SHARE:
        outcome, is_over = await control('COMMIT')
        if is_over:
            return outcome
    elif outcome == 'done':
        outcome = 'rolled back'
    await control('ROLLBACK')
    return outcome


def _outcome(lines: list[str], operation: Operation) -> str:
    """Return ``'done'`` or the code; keep the rows."""
    last = lines[-2] if len(lines) > 1 else ''
    if last.startswith('ERROR '):
        return last.split(' ')[1]
    if last.startswith('COMPLETE'):
        operation.answered.append(last.partition(' ')[2])
        return 'done'
    return f'malformed answer {lines}'
