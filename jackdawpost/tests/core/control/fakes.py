"""Simulated control processes with fake proxies and upstreams.

A message takes 1 ms and a write 0.1 ms of simulated time, which advances in
`SimulatedCluster.run` only.
"""

from __future__ import annotations

import heapq
import itertools
import random
from typing import Any

from jackdawpost.core.consensus.process import RestoredState
from jackdawpost.core.control.reducer import ControlConfig
from jackdawpost.core.control.reducer import ControlState
from jackdawpost.core.control.reducer import new_control
from jackdawpost.core.control.reducer import reduce_control
from jackdawpost.core.effects import CancelTimer
from jackdawpost.core.effects import Close
from jackdawpost.core.effects import Connect
from jackdawpost.core.effects import Persist
from jackdawpost.core.effects import Send
from jackdawpost.core.effects import SetTimer
from jackdawpost.core.events import ConnClosed
from jackdawpost.core.events import ConnOpened
from jackdawpost.core.events import Persisted
from jackdawpost.core.events import Received
from jackdawpost.core.events import TimerFired
from jackdawpost.core.messages.control import Announce
from jackdawpost.core.messages.control import Approval
from jackdawpost.core.messages.control import ApprovalRequest
from jackdawpost.core.messages.control import LeaseGrant
from jackdawpost.core.messages.control import LeaseRevoke
from jackdawpost.core.messages.control import LeaseRevoked
from jackdawpost.core.messages.control import ProxyReport
from jackdawpost.core.messages.control import StateUpdate
from jackdawpost.core.messages.control import UpstreamAction
from jackdawpost.core.messages.control import UpstreamActionAnswer
from jackdawpost.core.messages.control import UpstreamReport
from jackdawpost.core.messages.operator import Apply
from jackdawpost.core.messages.operator import Operation
from jackdawpost.core.messages.upstream import AdminDone
from jackdawpost.core.messages.upstream import Follow
from jackdawpost.core.messages.upstream import Promote
from jackdawpost.core.messages.upstream import Seal
from jackdawpost.core.messages.upstream import Sealed
from jackdawpost.core.positions import LogPosition
from jackdawpost.core.published import apply_update
from jackdawpost.core.published import PublishedState


class FakeProxy:
    """Proxy that sends reports, approves newcomers and answers revocations."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.incarnation = f'{name}-1'
        self.seq = 0
        self.is_up = True
        self.approves = True
        self.unverified: set[str] = set()
        self.answers_revocations = True
        self.evidence: dict[str, str] = {}
        self.upstream_reports: dict[str, UpstreamReport] | None = None
        self.received_positions: dict[str, LogPosition] = {}
        self.actions: list[UpstreamAction] = []
        self.action_leads = False
        self.answered_term = 0
        self.demotes_primaries = False
        self.holdings: dict[str, int] = {}
        self.published = PublishedState()
        self.received: list[Any] = []
        self.lease_until_ms: dict[tuple[str, int], float] = {}
        self.sent_ms: dict[int, float] = {}
        self.revoked: dict[str, int] = {}

    def report(self, now_ms: float) -> ProxyReport:
        self.seq += 1
        self.sent_ms[self.seq] = now_ms
        return ProxyReport(
            proxy=self.name,
            proxy_id=f'id-{self.name}',
            incarnation=self.incarnation,
            seq=self.seq,
            host='127.0.0.1',
            port=1,
            data_centre='dc',
            version=self.published.version,
            holdings=dict(self.holdings),
            evidence=dict(self.evidence),
            upstreams=self.upstream_reports,
        )

    def answer(self, message: Any) -> list[Any]:
        self.received.append(message)
        if isinstance(message, UpstreamAction):
            self.actions.append(message)
            received = self.received_positions.get(message.upstream)
            if message.action == 'demote' and self.can_demote(message):
                received = received or LogPosition(1, 0)
            if received is None:
                return []
            answer = UpstreamActionAnswer(
                upstream=message.upstream,
                action=message.action,
                token=message.token,
                received=received,
                leads=self.action_leads or self.sees_lead(message),
                term=self.answered_term,
                requested_term=message.term,
            )
            return [answer]
        if isinstance(message, StateUpdate):
            apply_update(self.published, message)
        elif isinstance(message, LeaseGrant):
            until_ms = self.sent_ms[message.seq] + message.duration_ms
            for lease in message.leases:
                if lease.term > self.revoked.get(lease.group, 0):
                    self.lease_until_ms[(lease.group, lease.term)] = until_ms
        elif isinstance(message, LeaseRevoke) and self.answers_revocations:
            self.revoked[message.group] = message.term
            for key in list(self.lease_until_ms):
                if key[0] == message.group and key[1] <= message.term:
                    del self.lease_until_ms[key]
            return [LeaseRevoked(group=message.group, term=message.term)]
        elif isinstance(message, ApprovalRequest) and self.approves:
            if f'{message.newcomer} at {message.host}' in self.unverified:
                return []
            return [approve(self.name, f'id-{self.name}', message)]
        return []

    def can_demote(self, message: UpstreamAction) -> bool:
        is_up = self.evidence.get(message.upstream, 'up') == 'up'
        return self.demotes_primaries and is_up

    def sees_lead(self, message: UpstreamAction) -> bool:
        reported = (self.upstream_reports or {}).get(message.upstream)
        is_demoted = message.action == 'demote'
        return not is_demoted and reported is not None and reported.leads

    def holds_lease(self, now_ms: float, group: str, term: int) -> bool:
        return now_ms < self.lease_until_ms.get((group, term), 0)


class FakeUpstream:
    """Database that announces itself and executes admin requests."""

    def __init__(self, name: str, group: str = 'g') -> None:
        self.name = name
        self.group = group
        self.data_id = f'data-{name}'
        self.is_up = True
        self.is_silent = False
        self.promotes = True
        self.term = 0
        self.leads = False
        self.leaving = False
        self.received = LogPosition(0, 0)
        self.primary = ''
        self.admin: list[Any] = []

    def announce(self) -> Announce:
        return Announce(
            name=self.name,
            group=self.group,
            data_id=self.data_id,
            host='127.0.0.1',
            port=2,
            data_centre='dc',
            slots=3,
            connections=20,
            term=self.term,
            leads=self.leads,
            received=self.received,
            leaving=self.leaving,
        )

    def answer(self, message: Any) -> list[Any]:
        if isinstance(message, ApprovalRequest):
            return [approve(self.name, self.data_id, message)]
        if not isinstance(message, Seal | Promote | Follow):
            return []
        self.admin.append(message)
        ok = message.term >= self.term
        if ok:
            self.leads = self.leads and message.term == self.term
            self.term = message.term
        if isinstance(message, Seal):
            return [
                Sealed(
                    id=message.id,
                    ok=ok,
                    term=self.term,
                    data_id=self.data_id,
                    received=self.received,
                )
            ]
        if isinstance(message, Promote):
            ok = ok and self.promotes
            self.leads = self.leads or ok
        elif ok:
            self.primary = message.primary
        return [AdminDone(id=message.id, ok=ok, term=self.term)]


def approve(name: str, member_id: str, request: ApprovalRequest) -> Approval:
    return Approval(
        member=name,
        member_id=member_id,
        newcomer=request.newcomer,
        newcomer_id=request.newcomer_id,
        checked='reached',
    )


class SimulatedCluster:
    """Control processes with fake proxies, fake upstreams and one operator.

    Attributes
    ----------
    controls : dict of str to ControlState
        State of each control process.
    stopped : set of str
        Control processes that have been stopped.
    remote_ends : dict of tuple to tuple
        Remote end of each connection, by process and connection id: kind of
        link, fake or name of the other process, and connection id there.
    fake_conns : dict of tuple to int
        Connection id by name of the fake and name of the process.
    cut_links : set of frozenset
        Pairs of names that do not receive each other's messages.
    scheduled : list
        Heap of actions with their time.
    effects : list of tuple
        Time, process and effect for each effect that is not simulated, such
        as a log line or the order of a promotion.
    grants : list of tuple
        Time, process and message of every lease grant that was delivered.
    operator_answers : list
        Messages sent to operators.
    """

    def __init__(
        self, names: list[str], seed: int = 1, **cfg_fields: Any
    ) -> None:
        self.cfg_fields = cfg_fields
        self.now_ms = 1_000.0
        self.sequence = itertools.count()
        self.conn_numbers = itertools.count(1)
        self.scheduled: list[Any] = []
        self.controls: dict[str, ControlState] = {}
        self.remote_ends: dict[tuple[str, int], tuple[str, Any, int]] = {}
        self.timers: dict[tuple[str, str], float] = {}
        self.cut_links: set[frozenset[str]] = set()
        self.fakes: dict[str, Any] = {}
        self.fake_conns: dict[tuple[str, str], int] = {}
        self.operator_answers: list[Any] = []
        self.stopped: set[str] = set()
        self.effects: list[Any] = []
        self.grants: list[tuple[float, str, Any]] = []
        for number, name in enumerate(names):
            self.start_process(name, names, seed * 100 + number)
        for left, right in itertools.combinations(names, 2):
            self.link_processes(left, right)

    def start_process(
        self, name: str, peers: list[str], seed: int, node_id: str = ''
    ) -> None:
        """Start a control process with an empty disk."""
        cfg = ControlConfig(name=name, peers=peers, **self.cfg_fields)
        restored = RestoredState(node_id=node_id)
        state, effects = new_control(
            cfg, random.Random(seed), restored, self.now_ms
        )
        self.controls[name] = state
        self.stopped.discard(name)
        self.perform(name, effects)

    def link_processes(self, left: str, right: str) -> None:
        """Open a link between two control processes."""
        left_conn, right_conn = (
            next(self.conn_numbers),
            next(self.conn_numbers),
        )
        self.remote_ends[(left, left_conn)] = ('control', right, right_conn)
        self.remote_ends[(right, right_conn)] = ('control', left, left_conn)
        for own, other, conn in (
            (left, right, left_conn),
            (right, left, right_conn),
        ):
            self.feed(
                own,
                ConnOpened(
                    now_ms=self.now_ms, conn=conn, link='peer', peer=other
                ),
            )

    def stop_process(self, name: str) -> None:
        """Stop a control process without a drain and close its links."""
        self.stopped.add(name)
        for (own, conn), end in list(self.remote_ends.items()):
            if end[0] == 'control' and name in (own, end[1]):
                self.remote_ends.pop((own, conn), None)
                if own != name:
                    closed = ConnClosed(now_ms=self.now_ms, conn=conn)
                    self.feed(own, closed)

    def schedule(self, delay_ms: float, action: Any) -> None:
        due_ms = self.now_ms + delay_ms
        heapq.heappush(self.scheduled, (due_ms, next(self.sequence), action))

    def feed(self, name: str, event: Any) -> None:
        if name not in self.stopped:
            self.perform(name, reduce_control(self.controls[name], event))

    def perform(self, name: str, effects: list[Any]) -> None:
        for effect in effects:
            if isinstance(effect, Persist):
                done = Persisted(now_ms=self.now_ms, token=effect.token)
                self.schedule(
                    0.1, lambda e=done: self.feed_at_current_time(name, e)
                )
            elif isinstance(effect, SetTimer):
                self.timers[(name, effect.key)] = effect.due_ms
                self.schedule(
                    effect.due_ms - self.now_ms,
                    lambda e=effect: self.fire_timer(name, e),
                )
            elif isinstance(effect, CancelTimer):
                self.timers.pop((name, effect.key), None)
            elif isinstance(effect, Send):
                self.deliver(name, effect)
            elif isinstance(effect, Connect):
                self.schedule(
                    1, lambda e=effect: self.open_admin_connection(name, e)
                )
            elif isinstance(effect, Close):
                self.handle_close(name, effect.conn)
            else:
                self.effects.append((self.now_ms, name, effect))

    def handle_close(self, name: str, conn: int) -> None:
        """Close a connection; proxies and upstreams open a new one."""
        end = self.remote_ends.pop((name, conn), None)
        if end is None or end[0] not in ('proxy', 'announce'):
            return
        fake = end[1]
        if self.fake_conns.get((fake.name, name)) == conn:
            self.feed(name, ConnClosed(now_ms=self.now_ms, conn=conn))
            self.schedule(20, lambda: self.connect(fake, name))

    def feed_at_current_time(self, name: str, event: Any) -> None:
        event.now_ms = self.now_ms
        self.feed(name, event)

    def fire_timer(self, name: str, effect: SetTimer) -> None:
        if self.timers.get((name, effect.key)) == effect.due_ms:
            del self.timers[(name, effect.key)]
            self.feed(name, TimerFired(now_ms=self.now_ms, key=effect.key))

    def deliver(self, name: str, effect: Send) -> None:
        end = self.remote_ends.get((name, effect.conn))
        if end is None:
            return
        kind, other, conn = end
        if kind == 'operator':
            self.operator_answers += effect.messages
        elif kind == 'control':
            if frozenset((name, other)) not in self.cut_links:
                self.schedule(
                    1, lambda: self.receive(other, conn, effect.messages)
                )
        elif (
            other.is_up and frozenset((name, other.name)) not in self.cut_links
        ):
            self.schedule(1, lambda: self.deliver_to_fake(name, effect, other))

    def receive(self, name: str, conn: int, messages: list[Any]) -> None:
        event = Received(now_ms=self.now_ms, conn=conn, messages=messages)
        self.feed(name, event)

    def deliver_to_fake(self, name: str, effect: Send, other: Any) -> None:
        if not other.is_up or getattr(other, 'is_silent', False):
            return
        replies = []
        for message in effect.messages:
            if isinstance(message, LeaseGrant) and message.leases:
                self.grants.append((self.now_ms, name, message))
            replies += other.answer(message)
        if replies and frozenset((name, other.name)) not in self.cut_links:
            self.schedule(1, lambda: self.receive(name, effect.conn, replies))

    def open_admin_connection(self, name: str, effect: Connect) -> None:
        upstream = self.fakes[effect.peer]
        if (
            not upstream.is_up
            or frozenset((name, effect.peer)) in self.cut_links
        ):
            closed = ConnClosed(
                now_ms=self.now_ms, conn=effect.conn, reason='refused'
            )
            self.feed(name, closed)
            return
        self.remote_ends[(name, effect.conn)] = ('upstream', upstream, 0)
        opened = ConnOpened(
            now_ms=self.now_ms,
            conn=effect.conn,
            link='upstream',
            peer=effect.peer,
            purpose='admin',
            data_id=upstream.data_id,
        )
        self.feed(name, opened)

    def add(self, fake: Any, every_ms: float = 100) -> Any:
        """Connect a fake to all processes; it reports at this interval."""
        self.fakes[fake.name] = fake
        for name in self.controls:
            self.connect(fake, name)
        self.report_regularly(fake, every_ms)
        return fake

    def connect(self, fake: Any, name: str) -> None:
        link = 'proxy' if isinstance(fake, FakeProxy) else 'announce'
        conn = next(self.conn_numbers)
        self.remote_ends[(name, conn)] = (link, fake, 0)
        self.fake_conns[(fake.name, name)] = conn
        opened = ConnOpened(now_ms=self.now_ms, conn=conn, link=link)
        self.feed(name, opened)

    def disconnect(self, fake: Any, name: str) -> None:
        conn = self.fake_conns.pop((fake.name, name), 0)
        self.remote_ends.pop((name, conn), None)
        self.feed(name, ConnClosed(now_ms=self.now_ms, conn=conn))

    def report_regularly(self, fake: Any, every_ms: float) -> None:
        if fake.is_up and not getattr(fake, 'is_silent', False):
            for name in self.controls:
                self.send_report(fake, name)
        self.schedule(every_ms, lambda: self.report_regularly(fake, every_ms))

    def send_report(self, fake: Any, name: str) -> None:
        conn = self.fake_conns.get((fake.name, name))
        if conn is None or frozenset((name, fake.name)) in self.cut_links:
            return
        if isinstance(fake, FakeProxy):
            message = fake.report(self.now_ms)
        else:
            message = fake.announce()
        self.schedule(1, lambda: self.receive(name, conn, [message]))

    def kill(self, fake: Any) -> None:
        fake.is_up = False
        for name in self.controls:
            self.disconnect(fake, name)

    def run(self, for_ms: float, until: Any = None) -> bool:
        """Advance time; return True early once `until` returns True.

        Without `until` the result is always True.
        """
        end_ms = self.now_ms + for_ms
        while self.scheduled and self.scheduled[0][0] <= end_ms:
            due_ms, _, action = heapq.heappop(self.scheduled)
            self.now_ms = max(self.now_ms, due_ms)
            action()
            if until is not None and until():
                return True
        self.now_ms = end_ms
        return until is None

    def leader(self) -> ControlState | None:
        """Return the state of the process that leads in the highest term."""
        leaders = [
            state
            for name, state in self.controls.items()
            if state.leader is not None and name not in self.stopped
        ]
        return max(leaders, key=lambda s: s.consensus.term, default=None)

    def isolate(self, name: str) -> None:
        """Cut the links of a control process to all others and all fakes."""
        for other in (*self.controls, *self.fakes):
            self.cut_links.add(frozenset((name, other)))

    def send_operator_message(self, message: Any) -> None:
        """Send a message of an operator to the leader."""
        leader = self.leader()
        assert leader is not None
        conn = next(self.conn_numbers)
        name = leader.cfg.name
        self.remote_ends[(name, conn)] = ('operator', None, 0)
        self.feed(
            name, ConnOpened(now_ms=self.now_ms, conn=conn, link='operator')
        )
        self.receive(name, conn, [message])


def start_cluster(
    controls: int = 1, proxies: int = 2, upstreams: int = 3, seed: int = 1
) -> SimulatedCluster:
    """Return a cluster in which every proxy holds a lease of term 1."""
    cluster = SimulatedCluster([f'c{n}' for n in range(1, controls + 1)], seed)
    assert cluster.run(3_000, lambda: cluster.leader() is not None)
    create = Operation(
        action='create',
        type='group',
        name='g',
        body={'databases': upstreams, 'write_copies': 2},
    )
    cluster.send_operator_message(
        Apply(
            id=1,
            change_id='first',
            base_revision=0,
            operations=[create],
            operator='test',
        )
    )
    for number in range(1, proxies + 1):
        cluster.add(FakeProxy(f'p{number}'))
        cluster.run(20)
    for number in range(1, upstreams + 1):
        cluster.add(FakeUpstream(f'u{number}'))
        cluster.run(20)
    assert cluster.run(5_000, lambda: has_leases(cluster, proxies))
    return cluster


def has_leases(cluster: SimulatedCluster, proxies: int) -> bool:
    """Return whether every proxy holds a lease of the current term."""
    leader = cluster.leader()
    if leader is None or 'g' not in leader.machine.groups:
        return False
    term = leader.machine.groups['g'].term
    fakes = [f for f in cluster.fakes.values() if isinstance(f, FakeProxy)]
    return (
        len([f for f in fakes if f.holds_lease(cluster.now_ms, 'g', term)])
        == proxies
    )
