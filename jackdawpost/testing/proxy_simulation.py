"""Simulated control processes, upstreams and callers of a proxy's reducer.

Time is simulated as well; nothing is sent over a network.
"""

from __future__ import annotations

from collections import deque
from random import Random
from typing import Any

from jackdawpost.core.effects import Close
from jackdawpost.core.effects import Connect
from jackdawpost.core.effects import Effect
from jackdawpost.core.effects import Send
from jackdawpost.core.effects import SetTimer
from jackdawpost.core.effects import Stop
from jackdawpost.core.events import ConnClosed
from jackdawpost.core.events import ConnOpened
from jackdawpost.core.events import Event
from jackdawpost.core.events import Received
from jackdawpost.core.events import TimerFired
from jackdawpost.core.messages.caller import Answer
from jackdawpost.core.messages.caller import Statement
from jackdawpost.core.messages.control import GroupLease
from jackdawpost.core.messages.control import LeaseGrant
from jackdawpost.core.messages.control import PermitDemand
from jackdawpost.core.messages.control import PermitGrant
from jackdawpost.core.messages.control import ProxyReport
from jackdawpost.core.messages.control import PublishedObject
from jackdawpost.core.messages.control import StateUpdate
from jackdawpost.core.messages.upstream import Executed
from jackdawpost.core.messages.upstream import Probe
from jackdawpost.core.messages.upstream import Probed
from jackdawpost.core.messages.upstream import Progress
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.proxy.reducer import new_proxy
from jackdawpost.core.proxy.reducer import ProxyConfig
from jackdawpost.core.proxy.reducer import reduce_proxy

GROUP = 'spares'
ROUTE = 'orders'
DATABASES = ('db-1', 'db-2', 'db-3')
CONTROL_CONN = 1
LEASE_MS = 1_500
OPENING_TIMER_PREFIX = 'opening:'


class FakeUpstream:
    """Simulated database of the group.

    Attributes
    ----------
    position : LogPosition
        Received and applied position that it reports.
    reachable : str
        ``'yes'``, ``'refused'`` (refuses connections) or ``'silent'``
        (connections time out).
    answers_probes : bool
        Probes are answered.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.term = 1
        self.leads = name == DATABASES[0]
        self.position = LogPosition(1, 10)
        self.leaving = False
        self.reachable = 'yes'
        self.answers_probes = True


class ProxySimulation:
    """Proxy with simulated control processes and upstreams.

    Control and monitor connections are answered at once, unless configured
    otherwise. Statements are answered by the test.

    Parameters
    ----------
    write_copies : int
        Databases that must hold a write before it is acknowledged.
    overrides : dict
        Fields of `ProxyConfig` that differ from the defaults.

    Attributes
    ----------
    conn_upstreams : dict of int to str
        Upstream of each open connection to an upstream.
    conn_purposes : dict of int to str
        Purpose of each connection to an upstream.
    statements : list of (int, message)
        Connection and message of each statement that was sent to an
        upstream and not yet answered.
    answers : dict of int to list
        Messages received by each caller.
    control_sent : list
        Messages received by control processes, in order.
    control_conn : int
        Connection to the control process that was opened last.
    control_answers : bool
        Whether control processes answer reports.
    grants_permits : bool
        Whether control processes grant requested permits.
    database_set : sequence of str
        Databases in the published database set of the group.
    reduce : callable
        Reducer of the proxy; a benchmark replaces it by a measured one.
    """

    def __init__(self, write_copies: int = 2, **overrides: Any) -> None:
        cfg = ProxyConfig(
            name='proxy-1',
            proxy_id='proxy-id-1',
            incarnation='inc-1',
            host='127.0.0.1',
            port=7000,
            data_centre='rey',
            **overrides,
        )
        self.reduce = reduce_proxy
        self.now_ms = 1_000.0
        self.upstreams = {name: FakeUpstream(name) for name in DATABASES}
        self.conn_upstreams: dict[int, str] = {}
        self.conn_purposes: dict[int, str] = {}
        self.statements: list[tuple[int, Any]] = []
        self.answers: dict[int, list[Any]] = {}
        self.control_sent: list[Any] = []
        self.closed_conns: list[int] = []
        self.timers: dict[str, float] = {}
        self.stopped = False
        self.control_conn = CONTROL_CONN
        self.control_answers = True
        self.grants_permits = True
        self.granted_permits: dict[str, int] = {}
        self.term = 1
        self.version = 0
        self.write_copies = write_copies
        self.database_set = DATABASES
        self._events: deque[Event] = deque()
        self._next_caller = 100
        self.state, effects = new_proxy(cfg, Random(1), self.now_ms)
        self._perform(effects)

    def start(self) -> None:
        """Join, publish one group of three databases, and open connections."""
        self.open_control(CONTROL_CONN)
        self.publish()
        self.advance(250)
        self.control_sent.clear()

    def open_control(self, conn: int) -> None:
        """Open a link to a control process."""
        self.control_conn = conn
        self.feed(
            ConnOpened(
                now_ms=self.now_ms, conn=conn, link='proxy', peer=f'c{conn}'
            )
        )

    def publish(self, primary: str | None = 'db-1', **upstream: Any) -> None:
        """Publish the whole state with the current term and a primary.

        Parameters
        ----------
        primary : str, optional
            Primary of the group; None for a group without one.
        upstream : dict
            Fields of all upstreams that differ from the defaults.
        """
        self.version += 1
        group = {
            'name': GROUP,
            'databases': 3,
            'write_copies': self.write_copies,
            'replica_wait_ms': 50,
            'term': self.term,
            'primary': primary,
            'database_set': {
                name: f'data-{name}' for name in self.database_set
            },
        }
        items = [
            PublishedObject(type='group', name=GROUP, body=group),
            _rule(ROUTE),
            _rule('reports', read_only=True, allowance='relaxed'),
            PublishedObject(
                type='allowance',
                name='relaxed',
                body={'name': 'relaxed', 'max_age_ms': 500},
            ),
        ]
        for index, name in enumerate(DATABASES):
            body = {
                'name': name,
                'group': GROUP,
                'data_id': f'data-{name}',
                'host': '127.0.0.1',
                'port': 7100 + index,
                'data_centre': 'rey',
                'slots': 3,
                'connections': 20,
                **upstream,
            }
            items.append(
                PublishedObject(type='upstream', name=name, body=body)
            )
        self.deliver_from_control(
            StateUpdate(
                from_version=0, version=self.version, upserts=items, full=True
            )
        )

    def promote(self, name: str, publish: bool = True) -> None:
        """Make another database the primary of the next term."""
        self.term += 1
        for up in self.upstreams.values():
            up.leads = up.name == name
            up.term = self.term
        if publish:
            self.publish(primary=name)

    def deliver_from_control(self, message: Any, conn: int = 0) -> None:
        """Deliver a message of a control process.

        The default connection is the one that was opened last.
        """
        sender = conn or self.control_conn
        self.feed(
            Received(now_ms=self.now_ms, conn=sender, messages=[message])
        )

    def connect_caller(self) -> int:
        """Connect a caller."""
        self._next_caller += 1
        conn = self._next_caller
        self.answers[conn] = []
        self.feed(ConnOpened(now_ms=self.now_ms, conn=conn, link='caller'))
        return conn

    def send_requests(self, conn: int, *messages: Any) -> None:
        """Send requests of a caller in one frame."""
        self.feed(
            Received(now_ms=self.now_ms, conn=conn, messages=list(messages))
        )

    def write(self, conn: int, request_id: int = 1, **fields: Any) -> None:
        """Send a write with a request key."""
        fields.setdefault('request_key', f'key-{request_id}')
        self.send_requests(conn, _statement(request_id, 'write', **fields))

    def read(self, conn: int, request_id: int = 1, **fields: Any) -> None:
        """Send a read."""
        self.send_requests(conn, _statement(request_id, 'read', **fields))

    def pop_answer(self, conn: int) -> Answer:
        """Remove and return the only message that a caller received."""
        messages = self.answers[conn]
        assert len(messages) == 1, messages
        return messages.pop()

    def pop_statement(self) -> tuple[int, Any]:
        """Remove and return the only unanswered statement."""
        assert len(self.statements) == 1, self.statements
        return self.statements.pop()

    def reply(self, conn: int, message: Any, **fields: Any) -> None:
        """Answer a statement on behalf of its upstream."""
        fields.setdefault('status', 'done')
        fields.setdefault('term', self.term)
        executed = Executed(id=message.id, **fields)
        self.feed(Received(now_ms=self.now_ms, conn=conn, messages=[executed]))

    def refuse(self, conn: int, message: Any, code: str) -> None:
        """Refuse a statement on behalf of its upstream."""
        self.reply(conn, message, status='not_run', code=code)

    def report_position(self, position: LogPosition, *names: str) -> None:
        """Set the position of databases and report it to the proxy."""
        for name in names or DATABASES:
            self.upstreams[name].position = position
            for conn, owner in list(self.conn_upstreams.items()):
                if owner == name and self.conn_purposes[conn] == 'monitor':
                    self.feed(
                        Received(
                            now_ms=self.now_ms,
                            conn=conn,
                            messages=[self._report(name, Progress)],
                        )
                    )

    def disconnect(self, conn: int, reason: Any = 'closed') -> None:
        """Close a connection at its other end."""
        self.conn_upstreams.pop(conn, None)
        self.feed(ConnClosed(now_ms=self.now_ms, conn=conn, reason=reason))

    def fail_upstream(self, name: str, reachable: str = 'refused') -> None:
        """Make an upstream refuse connections, or stop answering."""
        up = self.upstreams[name]
        up.reachable = reachable
        up.answers_probes = False
        if reachable == 'refused':
            for conn in [
                c for c, n in self.conn_upstreams.items() if n == name
            ]:
                self.disconnect(conn)

    def advance(self, duration_ms: float) -> None:
        """Let time pass and fire the timers that become due."""
        end_ms = self.now_ms + duration_ms
        while self.timers:
            key, due_ms = min(self.timers.items(), key=lambda item: item[1])
            if due_ms > end_ms:
                break
            del self.timers[key]
            self.now_ms = max(self.now_ms, due_ms)
            if key.startswith(OPENING_TIMER_PREFIX):
                self.disconnect(
                    int(key.removeprefix(OPENING_TIMER_PREFIX)), 'timeout'
                )
            else:
                self.feed(TimerFired(now_ms=self.now_ms, key=key))
        self.now_ms = end_ms

    def suspend_process(self, duration_ms: float) -> None:
        """Let time pass without any event, as in a suspended process."""
        self.now_ms += duration_ms

    def feed(self, event: Event) -> None:
        """Deliver an event and carry out its effects."""
        self._events.append(event)
        if len(self._events) > 1:
            return
        while self._events:
            effects = self.reduce(self.state, self._events[0])
            self._perform(effects)
            self._events.popleft()

    def find_conn(self, name: str, purpose: str = 'statements') -> int:
        """Return an open connection to an upstream."""
        for conn, owner in self.conn_upstreams.items():
            if owner == name and self.conn_purposes[conn] == purpose:
                return conn
        raise LookupError(f'no {purpose} connection to {name!r}')

    def _perform(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SetTimer):
                self.timers[effect.key] = effect.due_ms
            elif isinstance(effect, Connect):
                self._connect(effect)
            elif isinstance(effect, Close):
                self.closed_conns.append(effect.conn)
                self.conn_upstreams.pop(effect.conn, None)
            elif isinstance(effect, Stop):
                self.stopped = True
            elif isinstance(effect, Send):
                for message in effect.messages:
                    self._deliver(effect.conn, message)

    def _connect(self, effect: Connect) -> None:
        self.conn_purposes[effect.conn] = effect.purpose
        up = self.upstreams.get(effect.peer)
        if up is None or up.reachable == 'refused':
            self._events.append(
                ConnClosed(
                    now_ms=self.now_ms, conn=effect.conn, reason='refused'
                )
            )
        elif up.reachable == 'silent':
            key = f'{OPENING_TIMER_PREFIX}{effect.conn}'
            self.timers[key] = self.now_ms + effect.timeout_ms
        else:
            self.conn_upstreams[effect.conn] = up.name
            self._events.append(
                ConnOpened(
                    now_ms=self.now_ms,
                    conn=effect.conn,
                    link='upstream',
                    peer=up.name,
                    purpose=effect.purpose,
                    data_id=f'data-{up.name}',
                )
            )

    def _deliver(self, conn: int, message: Any) -> None:
        if conn in self.answers:
            self.answers[conn].append(message)
        elif conn > 0:
            self.control_sent.append(message)
            self._answer_as_control(conn, message)
        elif isinstance(message, Probe):
            name = self.conn_upstreams.get(conn)
            if name and self.upstreams[name].answers_probes:
                probed = self._report(name, Probed, id=message.id)
                self._enqueue_message(conn, probed)
        elif conn in self.conn_upstreams:
            self.statements.append((conn, message))

    def _enqueue_message(self, conn: int, message: Any) -> None:
        event = Received(now_ms=self.now_ms, conn=conn, messages=[message])
        self._events.append(event)

    def _report(self, name: str, kind: Any, **fields: Any) -> Any:
        up = self.upstreams[name]
        return kind(
            term=up.term,
            leads=up.leads,
            received=up.position,
            applied=up.position,
            leaving=up.leaving,
            **fields,
        )

    def _answer_as_control(self, conn: int, message: Any) -> None:
        if isinstance(message, ProxyReport) and self.control_answers:
            grant = LeaseGrant(
                seq=message.seq,
                leases=[GroupLease(group=GROUP, term=self.term)],
                duration_ms=LEASE_MS,
                version=self.version,
                member_state='leaving' if message.draining else 'joined',
            )
            self._enqueue_message(conn, grant)
        elif isinstance(message, PermitDemand) and self.grants_permits:
            held = self.state.permits.account(message.upstream).held
            if message.wanted > held:
                more = message.wanted - held
                permit_grant = PermitGrant(
                    upstream=message.upstream, count=more
                )
                self._enqueue_message(conn, permit_grant)


def _statement(request_id: int, access: Any, **fields: Any) -> Statement:
    fields.setdefault('route', ROUTE)
    fields.setdefault('sql', 'select 1')
    return Statement(id=request_id, access=access, **fields)


def _rule(name: str, **fields: Any) -> PublishedObject:
    body = {'name': name, 'groups': [GROUP], **fields}
    return PublishedObject(type='rule', name=name, body=body)
