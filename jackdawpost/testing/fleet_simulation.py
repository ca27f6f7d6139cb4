"""Simulated fleet: a control leader, many poolers and many database groups.

It runs the reducers of one control process and of all poolers, against
databases that answer at once. Each event and each message is counted by role
and kind, with the processor time of the reducer, to show what grows with the
size of a deployment.
"""

from __future__ import annotations

import time
from collections import Counter
from collections import deque
from random import Random
from typing import Any

from jackdawpost.core.consensus.process import RestoredState
from jackdawpost.core.control.commands import DeclareObject
from jackdawpost.core.control.process import ControlConfig
from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.reducer import new_control
from jackdawpost.core.control.reducer import reduce_control
from jackdawpost.core.effects import Connect
from jackdawpost.core.effects import OrderPromotion
from jackdawpost.core.effects import Send
from jackdawpost.core.events import ConnClosed
from jackdawpost.core.events import ConnOpened
from jackdawpost.core.events import Event
from jackdawpost.core.events import PromotionEnded
from jackdawpost.core.events import Received
from jackdawpost.core.events import RequestReceived
from jackdawpost.core.events import TimerFired
from jackdawpost.core.messages.registry import DeclareConfig
from jackdawpost.core.messages.registry import Registration
from jackdawpost.core.messages.session import Done
from jackdawpost.core.messages.session import Execute
from jackdawpost.core.messages.session import Failed
from jackdawpost.core.messages.session import Internal
from jackdawpost.core.messages.session import OpenUpstream
from jackdawpost.core.messages.session import Ready
from jackdawpost.core.messages.session import Row
from jackdawpost.core.messages.session import StartSession
from jackdawpost.core.pooler.reducer import new_pooler
from jackdawpost.core.pooler.reducer import reduce_pooler
from jackdawpost.core.pooler.state import PoolerConfig
from jackdawpost.core.pooler.state import PoolerState
from jackdawpost.core.positions import LogPosition
from jackdawpost.testing.failover_simulation import decode_status
from jackdawpost.testing.failover_simulation import describe_status
from jackdawpost.testing.failover_simulation import SimulatedDatabase
from jackdawpost.testing.pooler_simulation import build_request
from jackdawpost.testing.process_network import End
from jackdawpost.testing.process_network import SimulatedNetwork
from jackdawpost.testing.process_network import SimulatedProcess
from jackdawpost.wire.codec import encode_cbor

CONTROL = 'control'
DATABASES_PER_GROUP = 3
DATA_CENTRES = 6
REGIONS = {f'dc{n}': f'region-{n % 3}' for n in range(DATA_CENTRES)}
REPORT_INTERVAL_MS = 1_200.0
STATEMENT_MS = 20.0
PROMOTION_MS = 1_000.0


class FleetSimulation(SimulatedNetwork):
    """Simulation of a fleet.

    Parameters
    ----------
    poolers, groups : int
        Number of poolers and of database groups.
    max_connections : int
        Connection limit of each database.
    statements_per_s : float
        Statements per second that callers send to each pooler.

    Attributes
    ----------
    events, sent_messages, sent_bytes : Counter
        Number of reducer events and sent messages, and bytes sent between
        processes, by role and kind.
    cpu_s : Counter
        Processor time of the reducers in seconds, by role and kind of event.
    answers : Counter
        Number of answers to callers by error code; successes count as
        ``'done'``.
    conns, max_conns : Counter
        Number of open connections by database, and its maximum.
    refused_conns : int
        Number of connections refused at the limit.
    """

    def __init__(
        self,
        poolers: int,
        groups: int,
        *,
        seed: int = 1,
        max_connections: int = 144,
        statements_per_s: float = 0.0,
        needs_leases: bool = False,
    ) -> None:
        super().__init__(seed)
        self.groups = [f'g{number}' for number in range(groups)]
        self.poolers = [f'p{number}' for number in range(poolers)]
        self.databases: dict[str, SimulatedDatabase] = {}
        self.group_of: dict[str, str] = {}
        self.events: Counter[tuple[str, str]] = Counter()
        self.cpu_s: Counter[tuple[str, str]] = Counter()
        self.sent_messages: Counter[tuple[str, str]] = Counter()
        self.sent_bytes: Counter[tuple[str, str]] = Counter()
        self.answers: Counter[str] = Counter()
        self.conns: Counter[str] = Counter()
        self.max_conns: Counter[str] = Counter()
        self.refused_conns = 0
        self.promotions: list[tuple[float, str, str]] = []
        self.silent: set[str] = set()
        self._needs_leases = needs_leases
        self._max_connections = max_connections
        self._sequence = 0
        self._last_answer_ms: dict[int, float] = {}
        self._sessions: dict[tuple[str, int], deque[str]] = {}
        for group in self.groups:
            for number in range(DATABASES_PER_GROUP):
                name = f'{group}-d{number}'
                self.databases[name] = SimulatedDatabase(
                    name, leads=number == 0
                )
                self.group_of[name] = group
        self._start_control()
        self.run(1_000)
        self._declare()
        self._report_regularly()
        for name in self.poolers:
            self._start_pooler(name)
        self._statement_interval_ms = 0.0
        if statements_per_s:
            self._statement_interval_ms = 1_000 / statements_per_s

    def reset_counters(self) -> None:
        """Forget what has been counted so far."""
        for counter in (self.events, self.cpu_s, self.sent_messages):
            counter.clear()
        self.sent_bytes.clear()
        self.answers.clear()

    @property
    def control(self) -> ControlState:
        """State of the control process."""
        return self.processes[CONTROL].state

    def pooler(self, name: str) -> PoolerState:
        """State of a pooler."""
        return self.processes[name].state

    def open_sessions(self, per_pooler: int) -> None:
        """Open sessions at each pooler, over all groups in turn."""
        number = 0
        for pooler in self.poolers:
            for _ in range(per_pooler):
                conn = next(self._numbers)
                self._sessions[(pooler, conn)] = deque()
                opened = ConnOpened(now_ms=0, conn=conn, link='session')
                self._feed(pooler, opened)
                group = self.groups[number % len(self.groups)]
                start = StartSession(database=f'{group}-any')
                self._feed(pooler, self._received(conn, [start]))
                number += 1
        for pooler in self.poolers:
            self._schedule_statement(pooler)

    def stop_statements(self) -> None:
        """Send no further statements."""
        self._statement_interval_ms = 0.0

    # Set-up.

    def _start_control(self) -> None:
        cfg = ControlConfig(
            name=CONTROL,
            peers=[CONTROL],
            holder=CONTROL,
            delegated=True,
            write_leases=self._needs_leases,
            lease_ms=4_000 if self._needs_leases else 2_000,
            report_ttl_ms=2_000,
            member_expiry_ms=2_500,
            refused_ms=150,
            silent_ms=150,
        )
        restored = RestoredState(node_id='')
        state, effects = new_control(
            cfg, Random(self.rng.random()), restored, self.now_ms
        )
        self.processes[CONTROL] = SimulatedProcess(
            CONTROL, state, reduce_control
        )
        self._perform(CONTROL, effects)

    def _start_pooler(self, name: str) -> None:
        number = self.poolers.index(name)
        data_centre = f'dc{number % DATA_CENTRES}'
        cfg = PoolerConfig(
            name=name,
            member_id=f'id-{name}',
            incarnation=f'{name}-{next(self._numbers)}',
            host=f'10.0.{number // 250}.{number % 250 + 1}',
            port=5000,
            data_centre=data_centre,
            region=REGIONS[data_centre],
            regions=REGIONS,
            seeds=(),
            decode_status=decode_status,
            needs_leases=self._needs_leases,
        )
        rng = Random(self.rng.random())
        state, effects = new_pooler(cfg, rng, self.now_ms)
        self.processes[name] = SimulatedProcess(name, state, reduce_pooler)
        self._perform(name, effects)
        self._link(CONTROL, name, 'proxy')

    def _declare(self) -> None:
        objects = []
        for group in self.groups:
            objects.append(
                DeclareObject(
                    type='group',
                    name=group,
                    body={'databases': 1, 'write_copies': 1},
                )
            )
            objects.append(
                DeclareObject(
                    type='endpoint',
                    name=f'{group}-route',
                    body={
                        'database': f'{group}-any',
                        'group': group,
                        'timeout_ms': 1_500,
                        'max_connections': self._max_connections,
                    },
                )
            )
        self._request(DeclareConfig(version=1, document=b'1', objects=objects))

    def _report_regularly(self) -> None:
        self._sequence += 1
        for number, database in enumerate(self.databases.values(), 1):
            report = Registration(
                name=database.name,
                group=self.group_of[database.name],
                host=f'10.1.{number // 250}.{number % 250 + 1}',
                port=5432,
                data_centre=f'dc{number % DATA_CENTRES}',
                slots=4,
                state='ready',
                started_ms=1_700_000_000_000,
                sequence=self._sequence,
                leads=database.leads,
            )
            if database.name not in self.silent:
                delay_ms = self.rng.uniform(0, REPORT_INTERVAL_MS)
                self._schedule(delay_ms, lambda r=report: self._request(r))
        self._schedule(REPORT_INTERVAL_MS, self._report_regularly)

    def _request(self, request: Any) -> None:
        received = RequestReceived(
            now_ms=0, request_id=next(self._numbers), request=request
        )
        self._feed(CONTROL, received)

    # Callers.

    def _schedule_statement(self, pooler: str) -> None:
        if not self._statement_interval_ms:
            return
        delay_ms = self.rng.expovariate(1 / self._statement_interval_ms)
        self._schedule(delay_ms, lambda: self._call(pooler))

    def _call(self, pooler: str) -> None:
        idle = [
            key
            for key, outstanding in self._sessions.items()
            if key[0] == pooler and not outstanding
        ]
        if idle:
            key = self.rng.choice(idle)
            request_id = f'q{next(self._numbers)}'
            self._sessions[key].append(request_id)
            text = 'WRITE 1 x' if self.rng.random() < 0.15 else 'READ 1'
            request = build_request(request_id, text)
            self._feed(pooler, self._received(key[1], [request]))
        self._schedule_statement(pooler)

    # Processes.

    def _reduce(self, process: SimulatedProcess, event: Event) -> list[Any]:
        key = (self._role(process.name), _event_kind(event))
        begin_s = time.process_time()
        effects = super()._reduce(process, event)
        self.cpu_s[key] += time.process_time() - begin_s  # type: ignore
        self.events[key] += 1
        return effects

    def _role(self, name: str) -> str:
        return 'control' if name == CONTROL else 'pooler'

    def _send(self, name: str, effect: Send) -> None:
        for message in effect.messages:
            kind = getattr(message, 'kind', type(message).__name__)
            self.sent_messages[(self._role(name), kind)] += 1
        outstanding = self._sessions.get((name, effect.conn))
        if outstanding is not None:
            for message in effect.messages:
                if isinstance(message, Done | Failed) and outstanding:
                    outstanding.popleft()
                    code = getattr(message, 'code', 'done')
                    self.answers[code] += 1
            return
        end = self._ends.get((name, effect.conn))
        if end is not None and end.name in self.processes:
            frame = encode_cbor(list(effect.messages))
            kind = getattr(effect.messages[0], 'kind', '')
            self.sent_bytes[(self._role(name), kind)] += len(frame)
        super()._send(name, effect)

    def _perform_other(self, name: str, effect: Any) -> None:
        if isinstance(effect, OrderPromotion):
            self._order(effect)

    # Databases and their platform.

    def _connect(self, name: str, effect: Connect) -> None:
        has_room = self.conns[effect.peer] < self._max_connections
        if not has_room and effect.peer not in self.silent:
            self._refuse_connection(name, effect.conn)
            return
        self.conns[effect.peer] += 1
        self.max_conns[effect.peer] = max(
            self.max_conns[effect.peer], self.conns[effect.peer]
        )
        super()._connect(name, effect)

    def _refuse_connection(self, name: str, conn: int) -> None:
        """Answer the opening as a database that has no room."""
        refusal = Failed(code='no_connections', text='')
        events = [
            ConnOpened(now_ms=0, conn=conn, link='upstream'),
            self._received(conn, [refusal]),
            ConnClosed(now_ms=0, conn=conn, reason='closed'),
        ]
        self.refused_conns += 1
        for number, event in enumerate(events):
            self._schedule(2 + number, lambda e=event: self._feed(name, e))

    def _close(self, name: str, conn: int) -> None:
        end = self._ends.get((name, conn))
        if end is not None and end.name in self.databases:
            self.conns[end.name] -= 1
        super()._close(name, conn)

    def _serve(
        self, end: End, sender: str, conn: int, messages: list[Any]
    ) -> None:
        database = self.databases[end.name]
        if database.name in self.silent:
            return
        delay_ms = 0.5
        replies: list[Any] = []
        for message in messages:
            if isinstance(message, Execute):
                delay_ms = STATEMENT_MS
            replies += _answer(database, message)

        def reply() -> None:
            if database.name in self.silent:
                return
            self._transmit(
                database.name,
                End(sender, conn),
                lambda: self._feed(sender, self._received(conn, replies)),
            )

        # The answers on one connection keep their order.
        answer_ms = max(
            self.now_ms + delay_ms, self._last_answer_ms.get(end.conn, 0) + 0.1
        )
        self._last_answer_ms[end.conn] = answer_ms
        self._schedule(answer_ms - self.now_ms, reply)

    def _order(self, order: OrderPromotion) -> None:
        self.promotions.append((self.now_ms, order.group, order.upstream))

        def take_over() -> None:
            for name, database in self.databases.items():
                if self.group_of[name] == order.group:
                    database.term += 1
                    database.leads = name == order.upstream

        ended = PromotionEnded(
            now_ms=0, group=order.group, token=order.token, outcome='done'
        )
        self._schedule(PROMOTION_MS, take_over)
        self._schedule(10, lambda: self._feed(CONTROL, ended))


def _event_kind(event: Event) -> str:
    if isinstance(event, TimerFired):
        return f'timer {event.key.partition("/")[0]}'
    if isinstance(event, Received):
        kind = type(event.messages[0]).__name__
        return f'message {getattr(event.messages[0], "kind", kind)}'
    if isinstance(event, RequestReceived):
        return f'request {type(event.request).__name__}'
    return type(event).__name__


def _answer(database: SimulatedDatabase, message: Any) -> list[Any]:
    ready = Ready(state='idle', position=database.position)
    if isinstance(message, OpenUpstream):
        return [ready]
    if isinstance(message, Internal):
        if message.action == 'begin' and not database.leads:
            return [Failed(code='not_primary', text=''), ready]
        if message.action == 'status':
            row = describe_status(database)
            return [Row(text=row), Done(signature='-'), ready]
        if message.action == 'begin':
            ready.state = 'in_txn'
        return [Done(signature='-'), ready]
    assert isinstance(message, Execute)
    if message.text.startswith('WRITE'):
        if not database.leads:
            return [Failed(code='not_primary', text=''), ready]
        database.log.append(message.id)
        ready.position = LogPosition(database.term, 10 + len(database.log))
    return [Done(signature=f'{database.name}.{message.id}'), ready]
