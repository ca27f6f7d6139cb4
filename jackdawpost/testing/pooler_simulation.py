"""Deterministic simulation of a pooler with its environment.

The simulation runs the reducer of the session pooler in simulated time, with
simulated callers, control leader and databases.
Events are processed in the order of their due times, and every run with the
same calls gives the same result.
"""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from copy import deepcopy
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import Any

from jackdawpost.core.effects import Close
from jackdawpost.core.effects import Connect
from jackdawpost.core.effects import Effect
from jackdawpost.core.effects import LogLine
from jackdawpost.core.effects import Send
from jackdawpost.core.effects import SetTimer
from jackdawpost.core.effects import Stop
from jackdawpost.core.events import ConnClosed
from jackdawpost.core.events import ConnOpened
from jackdawpost.core.events import DrainRequested
from jackdawpost.core.events import Event
from jackdawpost.core.events import Received
from jackdawpost.core.events import TimerFired
from jackdawpost.core.keys import digest_caller_key
from jackdawpost.core.messages.control import GroupLease
from jackdawpost.core.messages.control import LeaseGrant
from jackdawpost.core.messages.control import LeavingUpstream
from jackdawpost.core.messages.control import ProxyReport
from jackdawpost.core.messages.control import PublishedObject
from jackdawpost.core.messages.control import ReportChange
from jackdawpost.core.messages.control import StateUpdate
from jackdawpost.core.messages.control import UpstreamActionAnswer
from jackdawpost.core.messages.session import Done
from jackdawpost.core.messages.session import Execute
from jackdawpost.core.messages.session import Failed
from jackdawpost.core.messages.session import Internal
from jackdawpost.core.messages.session import OpenUpstream
from jackdawpost.core.messages.session import Ready
from jackdawpost.core.messages.session import Request
from jackdawpost.core.messages.session import Row
from jackdawpost.core.messages.session import StartSession
from jackdawpost.core.messages.session import UpstreamStatus
from jackdawpost.core.messages.session import Verb
from jackdawpost.core.pooler.reducer import new_pooler
from jackdawpost.core.pooler.reducer import reduce_pooler
from jackdawpost.core.pooler.state import PoolerConfig
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.reports import apply_change

CONTROL_CONN = 1
GROUP = 'spares'
DATABASES = ('db-1', 'db-2', 'db-3')
LEASE_MS = 1_500
ROUND_TRIP_MS = 0.5  # to a database or a control process
SLOTLESS_MS = 0.5  # duration of statements that need no slot
VERBS: dict[str, Verb] = {
    'BEGIN': 'begin',
    'COMMIT': 'commit',
    'ROLLBACK': 'rollback',
    'READ': 'read',
    'WRITE': 'write',
    'SET': 'set',
    'PREPARE': 'prepare',
    'EXECUTE': 'execute',
    'DEALLOC': 'deallocate',
}


def decode_status(row: str) -> UpstreamStatus:
    """Read the status row of a `FakeDatabase`."""
    role, term, index = row.split()
    return UpstreamStatus(
        leads=role == 'primary',
        term=int(term),
        received=LogPosition(int(term), int(index)),
    )


def build_request(request_id: str, text: str) -> Request:
    """Parse a caller's text into a request."""
    keyword, _, rest = text.partition(' ')
    verb: Verb = VERBS.get(keyword, 'unknown')
    if verb == 'begin' and rest == 'READ':
        verb = 'begin_read'
    if verb not in ('set', 'prepare', 'execute', 'deallocate'):
        return Request(id=request_id, text=text, verb=verb)
    name, _, argument = rest.partition(' ')
    return Request(
        id=request_id, text=text, verb=verb, name=name, argument=argument
    )


@dataclass
class ExecutedStatement:
    """Statement of a caller that a database has executed.

    Parameters
    ----------
    peer : str
        Peer that the pooler named when it opened the connection.
    """

    id: str
    text: str
    database: str
    at_ms: float
    values: dict[str, str]
    in_txn: bool
    conn: int
    position: LogPosition
    peer: str = ''


@dataclass
class FakeConn:
    """Connection of the pooler to a database, as the database sees it.

    Parameters
    ----------
    txn : str
        Kind of the open transaction, ``'write'`` or ``'read'``; empty if none
        is open.
    failed : bool
        The open transaction has failed.
    queue : deque
        Messages that wait for the one in progress.
    busy : bool
        A message is in progress.
    """

    number: int
    database: FakeDatabase
    peer: str = ''
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, str] = field(default_factory=dict)
    txn: str = ''
    failed: bool = False
    queue: deque[Any] = field(default_factory=deque)
    busy: bool = False


@dataclass
class FakeDatabase:
    """Simulated database with execution slots, a log and injected faults.

    Parameters
    ----------
    lag : int
        Number of commits that it has received but not applied.
    slots : int
        Maximum number of statements that run at the same time.
    queue : int
        Maximum number of statements that wait for a slot. Further ones are
        refused.
    statement_ms : float
        Duration of a statement that needs a slot.
    reachable : str
        ``'up'``; ``'silent'``: answers nothing; ``'refused'``: refuses
        connections.
    lost_answers : set of str
        Requests that run but whose answers are lost.
    refused_requests : set of str
        Requests that are refused for lack of a slot.
    fails_all : bool
        True if all statements run and fail while probes succeed.
    fault : str
        What happens to a share of the statements while probes succeed:
        ``'error'``: they run and fail; ``'lost'``: they run unanswered;
        ``'busy'``: they are refused for lack of a slot.
    fault_share : float
        Share of the statements with that fault, drawn at random.
    failing_texts : set of str
        Statements that fail whenever they run.
    overload_refusals : list of str
        Requests that were refused because the queue was full.
    """

    name: str
    leads: bool = False
    term: int = 1
    index: int = 10
    lag: int = 0
    paused: bool = False
    leaving: bool = False
    slots: int = 3
    queue: int = 1_000
    statement_ms: float = 10.0
    reachable: str = 'up'
    lost_answers: set[str] = field(default_factory=set)
    refused_requests: set[str] = field(default_factory=set)
    fails_all: bool = False
    fault: str = ''
    fault_share: float = 0.0
    failing_texts: set[str] = field(default_factory=set)
    data_centre: str = 'rvk'
    running: int = 0
    max_running: int = 0
    opened: int = 0
    waiting: deque[FakeConn] = field(default_factory=deque)
    overload_refusals: list[str] = field(default_factory=list)
    rng: Random = field(init=False)

    def __post_init__(self) -> None:
        self.rng = Random(self.name)

    @property
    def position(self) -> LogPosition:
        """Log position that the database has applied."""
        return LogPosition(self.term, self.index - self.lag)

    def next_fault(self) -> str:
        """Return the fault of the next statement; empty if it has none."""
        return self.fault if self.rng.random() < self.fault_share else ''


class PoolerSimulation:
    """Simulation of a pooler with a control leader, databases and callers.

    Parameters
    ----------
    endpoints : list of dict
        Bodies of the endpoints to publish. The default is ``orders``
        (primary), ``reports`` (bounded staleness) and ``returns`` (read your
        writes).
    leaving : dict of str to int or None
        Time in ms since which databases have been leaving when the pooler
        starts; None if the control leader does not know it.
    needs_leases : bool
        Whether the databases do not fence themselves, so that the pooler
        serves the primary under write leases only.

    Attributes
    ----------
    grants_leases : bool
        Whether the control leader answers reports.
    untold_leaving_ms : dict of str to int
        Times of leaving databases to send with the next answer to a report.
    lease_term : int
        Term of the leases that the control leader grants; 0 for none.
    control_answers : list
        Other messages that the pooler has sent to control processes.
    executed : list of ExecutedStatement
        Statements of callers in the order of execution.
    reports : list of ProxyReport
        Reports that the pooler has sent to control processes, each with what
        it left out because it had not changed.
    action_answers : list of UpstreamActionAnswer
        Answers to forwarded requests of control processes.
    lag_refusals : list of str
        Databases that refused a read because they lag behind, one per read.
    caller_messages : dict of int to list
        Messages sent to each caller and not yet popped.
    """

    def __init__(
        self,
        endpoints: list[dict[str, Any]] | None = None,
        needs_leases: bool = False,
        proxies: int = 1,
        far: tuple[str, ...] = (),
        leads: str = 'db-1',
        leaving: dict[str, int | None] | None = None,
    ) -> None:
        self.now_ms = 1_000.0
        self.grants_leases = True
        self.lease_term = 1
        self.control_answers: list[Any] = []
        self.untold_leaving_ms: dict[str, int] = {}
        self.databases = {name: FakeDatabase(name) for name in DATABASES}
        self.databases[leads].leads = True
        for name in far:
            self.databases[name].data_centre = 'aey'
        for name, age_ms in (leaving or {}).items():
            self.databases[name].leaving = True
            if age_ms is not None:
                self.untold_leaving_ms[name] = age_ms
        self.executed: list[ExecutedStatement] = []
        self.logs: list[LogLine] = []
        self.reports: list[ProxyReport] = []
        self.action_answers: list[UpstreamActionAnswer] = []
        self.lag_refusals: list[str] = []
        self.caller_messages: dict[int, list[Any]] = {}
        self.closed: set[int] = set()
        self.stopped = False
        self.conns: dict[int, FakeConn] = {}
        self._scheduled: list[tuple[float, int, Any]] = []
        self._event_numbers = itertools.count()
        self._timers: dict[str, float] = {}
        self._conn_numbers = itertools.count(100)
        self._request_ids = itertools.count(1)
        cfg = PoolerConfig(
            name='edge-1',
            member_id='edge-1@10.0.0.1',
            incarnation='first',
            host='10.0.0.1',
            port=5000,
            data_centre='rvk',
            region='north',
            regions={'rvk': 'north', 'aey': 'east'},
            seeds=('10.0.0.9',),
            decode_status=decode_status,
            needs_leases=needs_leases,
        )
        self.state, effects = new_pooler(cfg, Random(7), self.now_ms)
        self._perform(effects)
        self.dispatch(
            ConnOpened(
                now_ms=self.now_ms,
                conn=CONTROL_CONN,
                link='proxy',
                peer='10.0.0.9',
            )
        )
        self.send_grant()
        self.publish(endpoints or default_endpoints(), proxies=proxies)
        self.advance(200)

    # Control.

    def send_grant(self) -> None:
        """Answer the latest report as the control leader."""
        if not self.grants_leases:
            return
        ages_ms, self.untold_leaving_ms = self.untold_leaving_ms, {}
        grant = LeaseGrant(
            seq=self.state.report_seq,
            leases=[GroupLease(group=GROUP, term=self.lease_term)],
            duration_ms=LEASE_MS,
            version=self.state.published.version,
            leaving=[
                LeavingUpstream(upstream=name, data_id='1', age_ms=age_ms)
                for name, age_ms in ages_ms.items()
            ],
        )
        self.receive(CONTROL_CONN, grant)

    def publish(
        self,
        endpoints: list[dict[str, Any]],
        proxies: int = 1,
        primary: str = 'db-1',
        term: int = 1,
        tenants: list[dict[str, Any]] | None = None,
    ) -> None:
        """Publish a full state with the databases and these endpoints."""
        body = {**_group_body(), 'primary': primary, 'term': term}
        objects = [PublishedObject(type='group', name=GROUP, body=body)]
        for database in self.databases.values():
            objects.append(_upstream(database))
        for body in endpoints:
            objects.append(
                PublishedObject(type='endpoint', name=body['name'], body=body)
            )
        for body in tenants or []:
            objects.append(
                PublishedObject(type='tenant', name=body['name'], body=body)
            )
        for number in range(1, proxies + 1):
            objects.append(_proxy(f'edge-{number}'))
        update = StateUpdate(
            from_version=0,
            version=self.state.published.version + 1,
            upserts=objects,
            full=True,
        )
        self.receive(CONTROL_CONN, update)

    # Callers.

    def open(self, database: str, key: str = '') -> int:
        """Open a session to a database; return the caller's connection."""
        conn = next(self._conn_numbers)
        self.caller_messages[conn] = []
        self.dispatch(
            ConnOpened(now_ms=self.now_ms, conn=conn, link='session')
        )
        start = StartSession(database=database, key=digest_caller_key(key))
        self.receive(conn, start)
        return conn

    def send_request(self, conn: int, text: str) -> str:
        """Send a statement and return its id."""
        request_id = f'q{next(self._request_ids)}'
        self.receive(conn, build_request(request_id, text))
        return request_id

    def pop_messages(self, conn: int) -> list[Any]:
        """Return and clear the messages that a session has received."""
        messages = self.caller_messages[conn]
        self.caller_messages[conn] = []
        return messages

    def call(self, conn: int, text: str, within_ms: float = 5_000) -> Any:
        """Send a statement and return its answer, `Done` or `Failed`.

        Simulated time advances until the answer arrives. The result is None
        if there is no answer after `within_ms`.
        """
        self.pop_messages(conn)
        self.send_request(conn, text)
        end_ms = self.now_ms + within_ms
        while self.now_ms < end_ms:
            if any(isinstance(m, Ready) for m in self.caller_messages[conn]):
                break
            if not self._process_next(end_ms):
                break
        found = [
            m for m in self.pop_messages(conn) if isinstance(m, Done | Failed)
        ]
        return found[0] if found else None

    def disconnect(self, conn: int) -> None:
        """Close the connection of a caller."""
        self.dispatch(ConnClosed(now_ms=self.now_ms, conn=conn))

    # Faults.

    def promote(self, name: str) -> None:
        """Make a database the primary of the next term."""
        term = max(db.term for db in self.databases.values()) + 1
        chosen = self.databases[name]
        for database in self.databases.values():
            database.leads = database is chosen
        chosen.term = term
        for database in self.databases.values():
            database.term = term
            database.index = chosen.index
            database.lag = 0

    def take_over(self, name: str) -> None:
        """Promote a database while the old primary goes on as such."""
        chosen = self.databases[name]
        chosen.term = max(db.term for db in self.databases.values()) + 1
        chosen.leads = True

    def silence(self, name: str) -> None:
        """Stop a database from answering, on open and on new connections."""
        self.databases[name].reachable = 'silent'

    def crash(self, name: str) -> None:
        """Reset the connections to a database and refuse new ones."""
        self.databases[name].reachable = 'refused'
        self.reset_connections(name)

    def reset_connections(self, name: str) -> None:
        """Reset the connections to a database."""
        database = self.databases[name]
        database.running = 0
        database.waiting.clear()
        for number, conn in list(self.conns.items()):
            if conn.database is database:
                del self.conns[number]
                self.dispatch(ConnClosed(now_ms=self.now_ms, conn=number))

    def drain(self) -> None:
        """Request the pooler to drain and stop."""
        self.dispatch(DrainRequested(now_ms=self.now_ms))

    # Simulated time.

    def advance(self, duration_ms: float) -> None:
        """Process the events of the next `duration_ms` milliseconds."""
        end_ms = self.now_ms + duration_ms
        while self._process_next(end_ms):
            pass
        self.now_ms = end_ms

    def _process_next(self, end_ms: float) -> bool:
        if not self._scheduled or self._scheduled[0][0] > end_ms:
            return False
        due_ms, _, action = heapq.heappop(self._scheduled)
        self.now_ms = max(self.now_ms, due_ms)
        action()
        return True

    def _schedule(self, due_ms: float, action: Any) -> None:
        heapq.heappush(
            self._scheduled, (due_ms, next(self._event_numbers), action)
        )

    # The pooler.

    def receive(self, conn: int, *messages: Any) -> None:
        """Deliver messages to the pooler."""
        self.dispatch(
            Received(now_ms=self.now_ms, conn=conn, messages=list(messages))
        )

    def dispatch(self, event: Event) -> None:
        """Deliver an event to the pooler and perform the resulting effects."""
        self._perform(reduce_pooler(self.state, event))

    def _perform(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._send(effect)
            elif isinstance(effect, Connect):
                self._connect(effect)
            elif isinstance(effect, Close):
                self._close(effect.conn)
            elif isinstance(effect, SetTimer):
                self._set_timer(effect)
            elif isinstance(effect, LogLine):
                self.logs.append(effect)
            elif isinstance(effect, Stop):
                self.stopped = True

    def _set_timer(self, effect: SetTimer) -> None:
        self._timers[effect.key] = effect.due_ms

        def fire() -> None:
            if self._timers.get(effect.key) == effect.due_ms:
                del self._timers[effect.key]
                self.dispatch(TimerFired(now_ms=self.now_ms, key=effect.key))

        self._schedule(effect.due_ms, fire)

    def _send(self, effect: Send) -> None:
        if effect.conn == CONTROL_CONN:
            for message in effect.messages:
                if isinstance(message, UpstreamActionAnswer):
                    self.action_answers.append(message)
                    continue
                if isinstance(message, ReportChange):
                    report = deepcopy(self.reports[-1])
                    apply_change(report, message)
                    self.reports.append(report)
                elif isinstance(message, ProxyReport):
                    self.reports.append(message)
                else:
                    self.control_answers.append(message)
                if isinstance(message, ProxyReport | ReportChange):
                    self._schedule(
                        self.now_ms + ROUND_TRIP_MS, self.send_grant
                    )
            return
        if effect.conn in self.caller_messages:
            self.caller_messages[effect.conn].extend(effect.messages)
            return
        conn = self.conns.get(effect.conn)
        if conn is not None:
            conn.queue.extend(effect.messages)
            self._process_queue(conn)

    def _close(self, number: int) -> None:
        self.closed.add(number)
        conn = self.conns.pop(number, None)
        if conn is not None and conn in conn.database.waiting:
            conn.database.waiting.remove(conn)

    def _connect(self, effect: Connect) -> None:
        database = self.databases.get(effect.peer)

        def open_conn() -> None:
            if database is None or database.reachable == 'refused':
                self.dispatch(
                    ConnClosed(
                        now_ms=self.now_ms,
                        conn=effect.conn,
                        reason='refused',
                    )
                )
            elif database.reachable == 'silent':
                self._schedule(
                    self.now_ms + effect.timeout_ms,
                    lambda: self.dispatch(
                        ConnClosed(
                            now_ms=self.now_ms,
                            conn=effect.conn,
                            reason='timeout',
                        )
                    ),
                )
            else:
                database.opened += 1
                self.conns[effect.conn] = FakeConn(effect.conn, database)
                self.dispatch(
                    ConnOpened(
                        now_ms=self.now_ms,
                        conn=effect.conn,
                        link='upstream',
                        peer=effect.peer,
                    )
                )

        self._schedule(self.now_ms + ROUND_TRIP_MS, open_conn)

    # Databases.

    def _process_queue(self, conn: FakeConn) -> None:
        database = conn.database
        if conn.busy or not conn.queue or database.reachable != 'up':
            return
        message = conn.queue[0]
        needs_slot = isinstance(message, Execute)
        if needs_slot and database.running >= database.slots:
            if conn in database.waiting:
                return
            if len(database.waiting) < database.queue:
                database.waiting.append(conn)
                return
            needs_slot = False
            database.refused_requests.add(message.id)
            database.overload_refusals.append(message.id)
        conn.queue.popleft()
        conn.busy = True
        duration_ms = SLOTLESS_MS
        if needs_slot:
            database.running += 1
            database.max_running = max(database.max_running, database.running)
            duration_ms = database.statement_ms
        self._schedule(
            self.now_ms + duration_ms,
            lambda: self._end_statement(conn, message, needs_slot),
        )

    def _end_statement(
        self, conn: FakeConn, message: Any, needs_slot: bool
    ) -> None:
        database = conn.database
        conn.busy = False
        if needs_slot:
            database.running = max(0, database.running - 1)
        # Before the answer, upon which the pooler sends the next statement:
        # with the slot, that one would overtake all that wait for it.
        if database.waiting:
            self._process_queue(database.waiting.popleft())
        if self.conns.get(conn.number) is conn:
            replies = self._build_answer(conn, message)
            if replies and database.reachable == 'up':
                self.receive(conn.number, *replies)
        self._process_queue(conn)

    def _build_answer(self, conn: FakeConn, message: Any) -> list[Any]:
        database = conn.database
        if isinstance(message, OpenUpstream):
            conn.peer = message.peer
            return [Ready(state='idle', position=database.position)]
        code = ''
        rows: list[str] = []
        signature = '-'
        if isinstance(message, Internal):
            code, rows = self._execute_internal(conn, message)
        else:
            fault = database.next_fault()
            code = 'overloaded' if fault == 'busy' else ''
            code = code or self._execute(conn, message)
            if fault == 'error':
                code = 'statement_failed'
            signature = f'{database.name}.{message.id}'
            rows = [f'row of {message.text}']
            if fault == 'lost' or message.id in database.lost_answers:
                return []
        state = 'failed_txn' if conn.failed else 'idle'
        if conn.txn and not conn.failed:
            state = 'in_txn'
        ready = Ready(
            state=state,  # type: ignore[arg-type]
            position=database.position,
        )
        if code:
            return [Failed(code=code, text=database.name), ready]
        return [*(Row(text=r) for r in rows), Done(signature=signature), ready]

    def _execute_internal(
        self, conn: FakeConn, message: Internal
    ) -> tuple[str, list[str]]:
        database = conn.database
        if message.after is not None and message.after > database.position:
            return 'behind', []
        if message.action == 'begin':
            if not database.leads:
                return 'not_primary', []
            conn.txn = 'write'
        elif message.action == 'begin_read':
            conn.txn = 'read'
        elif message.action == 'rollback':
            conn.txn = ''
            conn.failed = False
        elif message.action == 'reset':
            conn.values = {}
            conn.prepared = {}
        elif message.action == 'set':
            conn.values[message.name] = message.argument
        elif message.action == 'prepare':
            conn.prepared[message.name] = message.argument
        elif message.action in ('status', 'pause', 'resume', 'demote'):
            if message.action == 'demote':
                if database.term < int(message.argument):
                    database.leads = False
            elif message.action != 'status':
                database.paused = message.action == 'pause'
            role = 'primary' if database.leads else 'replica'
            return '', [f'{role} {database.term} {database.index}']
        return '', []

    def _execute(self, conn: FakeConn, message: Execute) -> str:
        database = conn.database
        if message.id in database.refused_requests:
            if message.id in database.overload_refusals:
                database.refused_requests.discard(message.id)
            return 'overloaded'
        if database.fails_all or message.text in database.failing_texts:
            return 'statement_failed'
        if message.after is not None and message.after > database.position:
            self.lag_refusals.append(database.name)
            return 'behind'
        request = build_request(message.id, message.text)
        shape = conn.prepared.get(request.name, '')
        if request.verb == 'execute' and not shape:
            return 'no_statement'
        is_write = request.verb == 'write' or shape.startswith('WRITE')
        if not database.leads and (is_write or conn.txn == 'write'):
            conn.failed = bool(conn.txn)
            return 'not_primary'
        if is_write and not conn.txn or message.text == 'COMMIT':
            database.index += 1
        self.executed.append(
            ExecutedStatement(
                id=message.id,
                text=message.text,
                database=database.name,
                at_ms=self.now_ms,
                values=dict(conn.values),
                in_txn=bool(conn.txn),
                conn=conn.number,
                position=database.position,
                peer=conn.peer,
            )
        )
        if message.text == 'COMMIT':
            conn.txn = ''
        return ''


def default_endpoints() -> list[dict[str, Any]]:
    """Return one endpoint for each consistency level."""
    return [
        endpoint('orders', 'primary', 0),
        endpoint('reports', 'bounded_staleness', 1_500),
        endpoint('returns', 'read_your_writes', 2_500),
    ]


def endpoint(
    name: str, consistency: str, max_age_ms: int, **fields: Any
) -> dict[str, Any]:
    """Return the body of a published endpoint."""
    return {
        'name': name,
        'database': name,
        'group': GROUP,
        'consistency': consistency,
        'max_age_ms': max_age_ms,
        'timeout_ms': 1_000,
        'objective_ms': 800,
        'priority': 1,
        'idle_txn_ms': 3_000,
        'max_connections': 21,
        **fields,
    }


def _group_body() -> dict[str, Any]:
    return {
        'name': GROUP,
        'databases': 3,
        'write_copies': 1,
        'replica_wait_ms': 0,
    }


def _upstream(database: FakeDatabase) -> PublishedObject:
    body = {
        'name': database.name,
        'group': GROUP,
        'data_id': '1',
        'host': '10.0.1.1',
        'port': 5432,
        'data_centre': database.data_centre,
        'slots': database.slots,
        'connections': 0,
        'leaving': database.leaving,
    }
    return PublishedObject(type='upstream', name=database.name, body=body)


def _proxy(name: str) -> PublishedObject:
    body = {
        'name': name,
        'member_id': name,
        'role': 'proxy',
        'host': '10.0.0.1',
        'port': 5000,
        'state': 'joined',
    }
    return PublishedObject(type='member', name=name, body=body)
