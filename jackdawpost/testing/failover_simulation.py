"""Simulated failover: control processes, poolers and databases without fences.

The simulation runs the reducers of three control processes and three poolers.
A replaced primary goes on to answer as primary for a while, and the platform
carries out every order, also a late one. Messages are delayed at random,
links hold messages back while they are cut, and processes are suspended.

Two promises are checked while it runs: no write that was committed on a
replaced primary is acknowledged, and no read that needs the primary misses a
write that was acknowledged before the read was sent.
"""

from __future__ import annotations

import itertools
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import Any
from typing import Literal

from jackdawpost.core.consensus.process import RestoredState
from jackdawpost.core.control.commands import DeclareObject
from jackdawpost.core.control.process import ControlConfig
from jackdawpost.core.control.process import ControlState
from jackdawpost.core.control.reducer import new_control
from jackdawpost.core.control.reducer import reduce_control
from jackdawpost.core.effects import OrderPromotion
from jackdawpost.core.effects import Send
from jackdawpost.core.events import ConnOpened
from jackdawpost.core.events import PromotionEnded
from jackdawpost.core.events import RequestReceived
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
from jackdawpost.core.messages.session import UpstreamStatus
from jackdawpost.core.pooler.reducer import new_pooler
from jackdawpost.core.pooler.reducer import reduce_pooler
from jackdawpost.core.pooler.state import PoolerConfig
from jackdawpost.core.positions import LogPosition
from jackdawpost.testing.pooler_simulation import build_request
from jackdawpost.testing.process_network import End
from jackdawpost.testing.process_network import SimulatedNetwork
from jackdawpost.testing.process_network import SimulatedProcess

CONTROLS = ('c1', 'c2', 'c3')
POOLERS = ('p1', 'p2', 'p3')
DATABASES = ('d1', 'd2', 'd3')
GROUP = 'g'
DATABASE_NAME = 'orders'
REPORT_INTERVAL_MS = 400.0
CALL_INTERVAL_MS = 12.0
# Bounds of the time that a platform takes to carry out an order, the same for
# all of its orders, and of the time for which a replaced primary goes on.
MIN_PROMOTION_MS, MAX_PROMOTION_MS = 30.0, 600.0
MIN_AFTERLIFE_MS, MAX_AFTERLIFE_MS = 200.0, 4_000.0


class PromiseBroken(AssertionError):
    """A promise to callers was broken in a simulation."""


def decode_status(row: str) -> UpstreamStatus:
    """Read the status row of a simulated database."""
    role, term, entry_term, index = row.split()
    return UpstreamStatus(
        leads=role == 'primary',
        term=int(term),
        received=LogPosition(int(entry_term), int(index)),
    )


def describe_status(database: SimulatedDatabase) -> str:
    """Return the status row of a simulated database."""
    role = 'primary' if database.leads else 'replica'
    entry_term, index = database.position
    return f'{role} {database.term} {entry_term} {index}'


@dataclass
class SimulatedDatabase:
    """Database that does not refuse work after it has been replaced.

    Parameters
    ----------
    log : list of str
        Requests whose writes it has received, in order.
    leads : bool
        Whether it believes to be the primary.
    replaced : bool
        Whether another database has taken over from it.
    entry_term : int
        Term of the last entry of its log.
    """

    name: str
    log: list[str] = field(default_factory=list)
    term: int = 1
    entry_term: int = 1
    leads: bool = False
    replaced: bool = False

    @property
    def position(self) -> LogPosition:
        """Log position that it has applied."""
        return LogPosition(self.entry_term, 10 + len(self.log))

    def demote(self, term: int) -> None:
        """Stop leading in a lower term."""
        if self.leads and self.term < term:
            self.leads = False
            self.replaced = False

    def follow(self, primary: SimulatedDatabase) -> None:
        """Become a replica of a primary, with its log."""
        self.leads = False
        self.replaced = False
        self.term = primary.term
        self.log = list(primary.log)
        self.entry_term = primary.entry_term


@dataclass
class Execution:
    """Execution of a caller's statement on a database.

    Parameters
    ----------
    replaced : bool
        Whether the database had been replaced by then.
    visible : frozenset of str
        Writes in its log.
    """

    replaced: bool
    visible: frozenset[str]


class FailoverSimulation(SimulatedNetwork):
    """Simulation of failovers without fencing.

    Parameters
    ----------
    seed : int
        Seed of all delays.
    needs_leases : bool
        Whether poolers vouch for a primary only under a lease.
    promotion_ms, afterlife_ms : float, optional
        Time that the platform takes to carry out an order, and for which a
        replaced primary goes on; drawn if they are not given.
    **cfg_fields
        Fields of `ControlConfig` that differ from those used here.

    Attributes
    ----------
    acknowledged : list of str
        Writes acknowledged to callers.
    answers : dict of str to int
        Number of answers by error code; successes count as ``'done'``.
    takeovers : int
        Number of promotions that have taken effect.
    """

    def __init__(
        self,
        seed: int,
        needs_leases: bool = True,
        promotion_ms: float | None = None,
        afterlife_ms: float | None = None,
        **cfg_fields: Any,
    ) -> None:
        super().__init__(seed)
        self.needs_leases = needs_leases
        self.databases = {name: SimulatedDatabase(name) for name in DATABASES}
        self.databases['d1'].leads = True
        self.acknowledged: list[str] = []
        self.answers: dict[str, int] = {}
        self.takeovers = 0
        self._last_answer_ms: dict[int, float] = {}
        self._executions: dict[str, Execution] = {}
        self._expected: dict[str, frozenset[str]] = {}
        self._visible: set[str] = set()
        self._sessions: dict[tuple[str, int], deque[str]] = {}
        self._sequence = 0
        self._promotion_ms = promotion_ms or self.rng.uniform(
            MIN_PROMOTION_MS, MAX_PROMOTION_MS
        )
        self._afterlife_ms = afterlife_ms
        fields: dict[str, Any] = {
            'delegated': True,
            'write_leases': needs_leases,
            'lease_ms': 1_200,
            'report_ttl_ms': 1_000,
            'member_expiry_ms': 2_500,
            'refused_ms': 100,
            'silent_ms': 100,
            **cfg_fields,
        }
        for name in CONTROLS:
            self._start_control(name, fields)
        for left, right in itertools.combinations(CONTROLS, 2):
            self._link(left, right, 'peer')
        self.run(1_000)
        for name in POOLERS:
            self._start_pooler(name)
        self.run(500)
        self._configure()
        self._report_regularly()
        self.run(1_500)
        for name in POOLERS:
            self._open_session(name)
        self._call_regularly()

    # Set-up.

    def _start_control(self, name: str, fields: dict[str, Any]) -> None:
        cfg = ControlConfig(
            name=name, peers=list(CONTROLS), holder=name, **fields
        )
        rng = Random(self.rng.random())
        restored = RestoredState(node_id='')
        state, effects = new_control(cfg, rng, restored, self.now_ms)
        self.processes[name] = SimulatedProcess(name, state, reduce_control)
        self._perform(name, effects)

    def _start_pooler(self, name: str) -> None:
        cfg = PoolerConfig(
            name=name,
            member_id=f'id-{name}',
            incarnation=f'{name}-{next(self._numbers)}',
            host=f'10.0.0.{name[1]}',
            port=5000,
            data_centre='dc',
            region='region',
            regions={'dc': 'region'},
            seeds=(),
            decode_status=decode_status,
            needs_leases=self.needs_leases,
        )
        rng = Random(self.rng.random())
        state, effects = new_pooler(cfg, rng, self.now_ms)
        self.processes[name] = SimulatedProcess(name, state, reduce_pooler)
        self._perform(name, effects)
        for control in CONTROLS:
            self._link(control, name, 'proxy')

    def _configure(self) -> None:
        group = DeclareObject(
            type='group', name=GROUP, body={'databases': 1, 'write_copies': 1}
        )
        body = {
            'database': DATABASE_NAME,
            'group': GROUP,
            'timeout_ms': 1_500,
        }
        endpoint = DeclareObject(type='endpoint', name='r-1', body=body)
        config = DeclareConfig(
            version=1, document=b'1', objects=[group, endpoint]
        )
        self._request(config)
        self.run(300)

    def _report_regularly(self) -> None:
        self._sequence += 1
        for number, database in enumerate(self.databases.values(), 1):
            report = Registration(
                name=database.name,
                group=GROUP,
                host=f'10.0.1.{number}',
                port=5432,
                data_centre='dc',
                slots=3,
                state='ready',
                started_ms=1_700_000_000_000,
                sequence=self._sequence,
                leads=database.leads,
            )
            self._request(report)
        self._schedule(REPORT_INTERVAL_MS, self._report_regularly)

    def _request(self, request: Any) -> None:
        for name in CONTROLS:
            self._feed(
                name,
                RequestReceived(
                    now_ms=self.now_ms,
                    request_id=next(self._numbers),
                    request=request,
                ),
            )

    # Callers.

    def _open_session(self, pooler: str) -> None:
        conn = next(self._numbers)
        self._sessions[(pooler, conn)] = deque()
        opened = ConnOpened(now_ms=self.now_ms, conn=conn, link='session')
        self._feed(pooler, opened)
        start = StartSession(database=DATABASE_NAME)
        self._feed(pooler, self._received(conn, [start]))

    def _call_regularly(self) -> None:
        for (pooler, conn), outstanding in self._sessions.items():
            if outstanding:
                continue
            request_id = f'q{next(self._numbers)}'
            text = f'WRITE 1 {request_id}'
            if self.rng.random() < 0.5:
                text = 'READ 1'
                self._expected[request_id] = frozenset(self._visible)
            outstanding.append(request_id)
            request = build_request(request_id, text)
            self._feed(pooler, self._received(conn, [request]))
        self._schedule(CALL_INTERVAL_MS, self._call_regularly)

    def _answer_caller(
        self, outstanding: deque[str], messages: list[Any]
    ) -> None:
        for message in messages:
            if not isinstance(message, Done | Failed) or not outstanding:
                continue
            request_id = outstanding.popleft()
            code = message.code if isinstance(message, Failed) else 'done'
            self.answers[code] = self.answers.get(code, 0) + 1
            if code == 'done':
                self._check_answer(request_id)

    def _check_answer(self, request_id: str) -> None:
        execution = self._executions[request_id]
        if request_id not in self._expected:
            if execution.replaced:
                raise PromiseBroken(
                    f'write {request_id} was acknowledged at '
                    f'{self.now_ms:.1f} ms, although it was committed on a '
                    'replaced primary'
                )
            self.acknowledged.append(request_id)
            self._visible.add(request_id)
            return
        expected = self._expected[request_id] & self._visible
        missing = expected - execution.visible
        if missing:
            raise PromiseBroken(
                f'read {request_id} answered at {self.now_ms:.1f} ms misses '
                f'the writes {sorted(missing)}'
            )

    # Roles.

    def leader(self) -> str | None:
        """Return the control process that leads in the highest term."""
        leaders = [
            process.state
            for process in self.processes.values()
            if isinstance(process.state, ControlState)
            and process.state.leader is not None
        ]
        state = max(leaders, key=lambda s: s.consensus.term, default=None)
        return state.cfg.name if state is not None else None

    def primary(self) -> str:
        """Return the database that took over last."""
        leading = [db for db in self.databases.values() if not db.replaced]
        return max(leading, key=lambda db: (db.leads, db.term)).name

    # Effects of the processes.

    def _send(self, name: str, effect: Send) -> None:
        outstanding = self._sessions.get((name, effect.conn))
        if outstanding is not None:
            self._answer_caller(outstanding, effect.messages)
        else:
            super()._send(name, effect)

    def _perform_other(self, name: str, effect: Any) -> None:
        if isinstance(effect, OrderPromotion):
            self._order(name, effect)

    # Databases and their platform.

    def _serve(
        self, end: End, sender: str, conn: int, messages: list[Any]
    ) -> None:
        database = self.databases[end.name]
        replies: list[Any] = []
        for message in messages:
            replies += self._answer(database, message)

        def reply() -> None:
            self._transmit(
                database.name,
                End(sender, conn),
                lambda: self._feed(sender, self._received(conn, replies)),
            )

        # The database has run the statements; its answers may take longer,
        # but keep their order on each connection.
        answer_ms = self.now_ms + self.rng.choice((0.5, 2.0, 30.0))
        answer_ms = max(answer_ms, self._last_answer_ms.get(end.conn, 0) + 0.1)
        self._last_answer_ms[end.conn] = answer_ms
        self._schedule(answer_ms - self.now_ms, reply)

    def _answer(self, database: SimulatedDatabase, message: Any) -> list[Any]:
        ready = Ready(state='idle', position=database.position)
        if isinstance(message, OpenUpstream):
            return [ready]
        if isinstance(message, Internal):
            if message.action == 'begin' and not database.leads:
                return [Failed(code='not_primary', text=''), ready]
            if message.action == 'demote':
                database.demote(int(message.argument))
            if message.action in ('status', 'demote'):
                row = describe_status(database)
                return [Row(text=row), Done(signature='-'), ready]
            state = 'in_txn' if message.action == 'begin' else 'idle'
            ready.state = state  # type: ignore[assignment]
            return [Done(signature='-'), ready]
        assert isinstance(message, Execute)
        if message.text.startswith('WRITE'):
            if not database.leads:
                return [Failed(code='not_primary', text=''), ready]
            self._commit(database, message.id)
            ready = Ready(state='idle', position=database.position)
        self._executions[message.id] = Execution(
            replaced=database.replaced, visible=frozenset(database.log)
        )
        return [Done(signature=f'{database.name}.{message.id}'), ready]

    def _commit(self, database: SimulatedDatabase, request_id: str) -> None:
        database.log.append(request_id)
        database.entry_term = database.term
        for other in self.databases.values():
            link = frozenset((database.name, other.name))
            if other is not database and link not in self.cut_links:
                self._schedule(
                    self.rng.uniform(1, 10),
                    lambda o=other: self._replicate(database, o),
                )

    def _replicate(
        self, source: SimulatedDatabase, target: SimulatedDatabase
    ) -> None:
        if target.term == source.term and not target.leads:
            target.log = list(source.log)
            target.entry_term = source.entry_term

    def _order(self, control: str, order: OrderPromotion) -> None:
        delay_ms = self.rng.uniform(1, 10)
        outcome: Literal['done', 'unknown'] = 'done'
        if self.rng.random() < 0.2:
            # The call is carried out later and gets no answer.
            outcome, delay_ms = 'unknown', self.rng.uniform(200, 1_500)
        self._schedule(
            delay_ms + self._promotion_ms,
            lambda: self._take_over(order.upstream),
        )
        ended = PromotionEnded(
            now_ms=0, group=order.group, token=order.token, outcome=outcome
        )
        self._schedule(delay_ms + 2, lambda: self._feed(control, ended))

    def _take_over(self, name: str) -> None:
        chosen = self.databases[name]
        if not chosen.replaced and chosen.leads:
            return
        self.takeovers += 1
        term = max(db.term for db in self.databases.values()) + 1
        self._visible &= set(chosen.log)
        for database in self.databases.values():
            if database is chosen:
                continue
            was_primary = database.leads
            database.replaced = database.replaced or was_primary
            if was_primary:
                afterlife_ms = self._afterlife_ms or self.rng.uniform(
                    MIN_AFTERLIFE_MS, MAX_AFTERLIFE_MS
                )
                self._schedule(
                    afterlife_ms, lambda d=database: self._demote(d)
                )
            else:
                database.follow(chosen)
                database.term = term
        chosen.term = term
        chosen.leads = True
        chosen.replaced = False

    def _demote(self, database: SimulatedDatabase) -> None:
        if not database.replaced:
            return
        database.follow(self.databases[self.primary()])
