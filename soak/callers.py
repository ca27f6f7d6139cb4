"""Callers that run random operations in sessions and record the outcomes.

They connect to edge processes, as the platform calls its session poolers.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import Literal

import trio

from jackdawpost_standin.line_caller import LineCaller
from jackdawpost_standin.line_caller import SessionLostError
from soak.cluster import FRONTEND_PORT
from soak.cluster import Node
from soak.tenants import KeyHistory
from soak.tenants import PUBLIC_DATABASES
from soak.tenants import SessionStart

OPERATION_TIMEOUT_S = 3.0  # longer than the time limit of the routes
CONNECT_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.05
MEAN_THINK_TIME_S = 0.02  # between two operations of a session
KEY_COUNT = 40
TRANSACTION_SHARE = 0.2  # of the operations
WRITE_SHARE = 0.4  # of single statements
TXN_WRITE_SHARE = 0.6  # of the statements in transactions
COMMIT_SHARE = 0.8  # of transactions without an error; the others roll back
MAX_SESSION_OPERATIONS = 30
AHEAD_REQUEST_COUNT = 60  # a pooler closes sessions with more than 64
MISBEHAVING_COUNT = 8  # connections of each kind
# Sessions of this share last for about 10 s unless they fail, which is longer
# than the removal of their key may take.
LONG_SESSION_SHARE = 0.2
LONG_SESSION_OPERATIONS = 300
# Error codes that guarantee that no write of the operation was committed.
NO_COMMIT_CODES = frozenset(
    {
        'BUSY',
        'ABORTED',
        'LAGGING',
        'READONLY',
        'MISROUTED',
        'CONNLIMIT',
        'UNAUTH',
    }
)


@dataclass(slots=True, kw_only=True)
class Operation:
    """Single statement or transaction, as observed by its caller.

    Parameters
    ----------
    database : str
        Database name of the session, which selects the route.
    session : int
        Number of the session.
    edge : str
        Name of the edge process.
    tenant, key : str
        Tenant and key of the caller; empty on a public endpoint.
    requests : list of str
        Ids of all requests, also of those that are not statements.
    began_s, ended_s : float
        Start and end on the monotonic clock.
    reads, writes : list of str
        Request ids of the statements.
    outcome : str
        ``'done'``, ``'rolled back'`` by the caller, an error code, ``'lost'``
        if the connection ended, ``'silent'`` after a timeout, a text that
        starts with ``'malformed'``, or empty while the operation is running.
    answered : list of str
        Signatures ``DATABASE.REQUEST`` of the successful statements, with the
        database that executed the statement and the request id.
    """

    database: str
    session: int
    edge: str
    began_s: float
    tenant: str = ''
    key: str = ''
    requests: list[str] = field(default_factory=list)
    ended_s: float = 0.0
    reads: list[str] = field(default_factory=list)
    writes: list[str] = field(default_factory=list)
    outcome: str = ''
    answered: list[str] = field(default_factory=list)
    kind: Literal['single', 'transaction'] = 'single'


@dataclass
class Recorder:
    """Records the operations of all callers and assigns request ids.

    Parameters
    ----------
    starts : list of SessionStart
        Answers to session starts on endpoints that need a key.
    history : KeyHistory
        Keys that callers may use.
    last_request, last_session : int
        Last assigned number of a request and of a session.
    """

    operations: list[Operation] = field(default_factory=list)
    starts: list[SessionStart] = field(default_factory=list)
    history: KeyHistory = field(default_factory=KeyHistory)
    last_request: int = 0
    last_session: int = 0

    def new_request_id(self, operation: Operation) -> str:
        """Return a request id that no other request of the run has."""
        self.last_request += 1
        request_id = f'q{self.last_request:x}'
        operation.requests.append(request_id)
        return request_id


async def run_caller(
    recorder: Recorder,
    rng: random.Random,
    choose_edge: Callable[[], Node],
    databases: tuple[str, ...],
    tenant: str,
) -> None:
    """Open one session after another and run operations in each."""
    while True:
        edge = choose_edge()
        stream = await _connect(edge)
        if stream is not None:
            async with stream:
                database = rng.choice(databases)
                await _run_session(
                    recorder, rng, edge, stream, database, tenant
                )
        await trio.sleep(RECONNECT_DELAY_S)


async def run_misbehaving_callers(
    recorder: Recorder, edges: list[Node], database: str, tenant: str
) -> None:
    """Keep `MISBEHAVING_COUNT` connections of each kind open until cancelled.

    They never start a session, send half of a message, or send requests and
    read no answer.
    """
    async with trio.open_nursery() as nursery:
        for index in range(MISBEHAVING_COUNT):
            edge = edges[index % len(edges)]
            key = f'{tenant}-key-0' if tenant else ''
            start = f'START {database} {key}\r\n'
            ahead = Operation(
                database=database,
                session=0,
                edge=edge.name,
                began_s=time.monotonic(),
            )
            for text in ('', start[:-4], f'{start}QUERY h READ'):
                nursery.start_soon(_send_without_reading, edge, text)
            for _ in range(AHEAD_REQUEST_COUNT):
                read = replace(ahead, tenant=tenant, key=key, requests=[])
                recorder.operations.append(read)
                start += f'QUERY {recorder.new_request_id(read)} READ 1\r\n'
            nursery.start_soon(_send_without_reading, edge, start)


async def _send_without_reading(edge: Node, text: str) -> None:
    stream = await _connect(edge)
    if stream is None:
        return
    async with stream:
        try:
            await stream.send_all(text.encode())
            await trio.sleep_forever()
        except trio.BrokenResourceError:
            return  # closed by the edge


async def _connect(edge: Node) -> trio.SocketStream | None:
    with trio.move_on_after(CONNECT_TIMEOUT_S):
        try:
            return await trio.open_tcp_stream(edge.host, FRONTEND_PORT)
        except OSError:
            return None  # edge is down; the next attempt chooses an edge anew
    return None


async def _run_session(
    recorder: Recorder,
    rng: random.Random,
    edge: Node,
    stream: trio.SocketStream,
    database: str,
    tenant: str,
) -> None:
    recorder.last_session += 1
    session_number = recorder.last_session
    session = LineCaller(stream)
    key = ''
    if database in PUBLIC_DATABASES:
        tenant = ''
    else:
        key = recorder.history.choose(rng, tenant)
    if not await start_session(session, database, key, recorder, edge.name):
        return
    operation_count = rng.randint(1, MAX_SESSION_OPERATIONS)
    if rng.random() < LONG_SESSION_SHARE:
        operation_count = LONG_SESSION_OPERATIONS
    for _ in range(operation_count):
        operation = Operation(
            database=database,
            session=session_number,
            edge=edge.name,
            began_s=time.monotonic(),
            tenant=tenant,
            key=key,
        )
        recorder.operations.append(operation)
        outcome = 'silent'
        with trio.move_on_after(OPERATION_TIMEOUT_S):
            outcome = await _run_operation(recorder, rng, session, operation)
        operation.outcome = outcome
        operation.ended_s = time.monotonic()
        if operation.outcome in ('lost', 'silent', 'UNAUTH'):
            return
        await trio.sleep(rng.expovariate(1 / MEAN_THINK_TIME_S))


async def start_session(
    session: LineCaller,
    database: str,
    key: str = '',
    recorder: Recorder | None = None,
    edge: str = '',
) -> bool:
    """Start a session; return True if it is served.

    Parameters
    ----------
    recorder : Recorder, optional
        Records the answer if a key is given.
    edge : str
        Name of the edge process.
    """
    answer = ''
    with trio.move_on_after(CONNECT_TIMEOUT_S):
        try:
            [answer, *_] = await session.request(f'START {database} {key}')
        except SessionLostError as exc:
            answer = exc.lines[0] if exc.lines else ''
    is_ready = answer.startswith('READY')
    is_unauthorized = answer.startswith('ERROR UNAUTH')
    if recorder is not None and key and (is_ready or is_unauthorized):
        recorder.starts.append(
            SessionStart(key, edge, time.monotonic(), is_ready)
        )
    return is_ready


async def _run_operation(
    recorder: Recorder,
    rng: random.Random,
    session: LineCaller,
    operation: Operation,
) -> str:
    try:
        if rng.random() < TRANSACTION_SHARE:
            operation.kind = 'transaction'
            return await _run_transaction(recorder, rng, session, operation)
        is_write = rng.random() < WRITE_SHARE
        return await _run_statement(
            recorder, rng, session, operation, is_write
        )
    except SessionLostError:
        return 'lost'


async def _run_statement(
    recorder: Recorder,
    rng: random.Random,
    session: LineCaller,
    operation: Operation,
    is_write: bool,
) -> str:
    request_id = recorder.new_request_id(operation)
    key = rng.randrange(KEY_COUNT)
    text = f'WRITE {key} {request_id}' if is_write else f'READ {key}'
    (operation.writes if is_write else operation.reads).append(request_id)
    return _record_answer(
        await session.request(f'QUERY {request_id} {text}'), operation
    )


async def _run_transaction(
    recorder: Recorder,
    rng: random.Random,
    session: LineCaller,
    operation: Operation,
) -> str:
    async def run_command(command: str) -> tuple[str, bool]:
        lines = await session.request(
            f'QUERY {recorder.new_request_id(operation)} {command}'
        )
        return _record_answer(lines, operation), lines[-1].startswith(
            'READY I'
        )

    outcome, _ = await run_command('BEGIN')
    for _ in range(rng.randint(1, 4)):
        if outcome != 'done':
            break
        is_write = rng.random() < TXN_WRITE_SHARE
        outcome = await _run_statement(
            recorder, rng, session, operation, is_write
        )
    if outcome == 'done' and rng.random() < COMMIT_SHARE:
        outcome, has_ended = await run_command('COMMIT')
        if has_ended:
            return outcome
    elif outcome == 'done':
        outcome = 'rolled back'
    await run_command('ROLLBACK')
    return outcome


def _record_answer(lines: list[str], operation: Operation) -> str:
    """Return the outcome and record the signature of a successful answer."""
    result = lines[-2] if len(lines) > 1 else ''
    if result.startswith('ERROR '):
        return result.split(' ')[1]
    if result.startswith('COMPLETE'):
        operation.answered.append(result.partition(' ')[2])
        return 'done'
    return f'malformed answer {lines}, expected COMPLETE or ERROR before READY'
