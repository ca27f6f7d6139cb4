"""Network of simulated processes that run the real reducers.

Messages between processes are delayed at random and keep their order on each
connection. Links hold messages back while they are cut, and processes can be
suspended. Upstreams are left to subclasses.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import Any

from jackdawpost.core.effects import CancelTimer
from jackdawpost.core.effects import Close
from jackdawpost.core.effects import Connect
from jackdawpost.core.effects import Persist
from jackdawpost.core.effects import Send
from jackdawpost.core.effects import SetTimer
from jackdawpost.core.events import ConnClosed
from jackdawpost.core.events import ConnOpened
from jackdawpost.core.events import Event
from jackdawpost.core.events import Persisted
from jackdawpost.core.events import Received
from jackdawpost.core.events import TimerFired

MAX_DELAY_MS = 4.0
RECONNECT_MS = 50.0


@dataclass
class SimulatedProcess:
    """Process that runs a reducer.

    Parameters
    ----------
    state : object
        State of its reducer.
    reduce : callable
        ``reduce(state, event) -> list of effects``.
    suspended_until_ms : float
        End of its suspension; events are delivered afterwards.
    timers : dict of str to float
        Due time of each timer.
    """

    name: str
    state: Any
    reduce: Callable[[Any, Any], list[Any]]
    suspended_until_ms: float = 0.0
    timers: dict[str, float] = field(default_factory=dict)


@dataclass
class End:
    """One end of a connection: its process or database, and its number."""

    name: str
    conn: int


class SimulatedNetwork:
    """Simulated processes, their links and their clock.

    Parameters
    ----------
    seed : int
        Seed of all delays.
    """

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.now_ms = 1_000.0
        self.processes: dict[str, SimulatedProcess] = {}
        self.cut_links: set[frozenset[str]] = set()
        self._held: dict[frozenset[str], list[Any]] = {}
        self._scheduled: list[tuple[float, int, Any]] = []
        self._numbers = itertools.count(1)
        self._ends: dict[tuple[str, int], End] = {}
        self._last_arrival_ms: dict[tuple[str, int], float] = {}

    def cut(self, left: str, right: str) -> None:
        """Hold back all messages between two processes or databases."""
        self.cut_links.add(frozenset((left, right)))

    def isolate(self, name: str, others: tuple[str, ...]) -> None:
        """Cut the links of a process to some others."""
        for other in others:
            if other != name:
                self.cut(name, other)

    def heal(self) -> None:
        """Deliver all messages that were held back, and cut no more links."""
        for link in [*self._held, *self.cut_links]:
            self._join(link)

    def rejoin(self, name: str, others: tuple[str, ...]) -> None:
        """Heal the links of a process to some others."""
        for other in others:
            self._join(frozenset((name, other)))

    def _join(self, link: frozenset[str]) -> None:
        self.cut_links.discard(link)
        for deliver in self._held.pop(link, []):
            self._schedule(self.rng.uniform(0, MAX_DELAY_MS), deliver)

    def suspend(self, name: str, for_ms: float) -> None:
        """Suspend a process; its clock goes on."""
        self.processes[name].suspended_until_ms = self.now_ms + for_ms

    def run(self, for_ms: float) -> None:
        """Process the events of the next `for_ms` milliseconds."""
        end_ms = self.now_ms + for_ms
        while self._scheduled and self._scheduled[0][0] <= end_ms:
            due_ms, _, action = heapq.heappop(self._scheduled)
            self.now_ms = max(self.now_ms, due_ms)
            action()
        self.now_ms = end_ms

    def _schedule(self, delay_ms: float, action: Any) -> None:
        due_ms = self.now_ms + delay_ms
        heapq.heappush(self._scheduled, (due_ms, next(self._numbers), action))

    def _received(self, conn: int, messages: list[Any]) -> Received:
        return Received(now_ms=self.now_ms, conn=conn, messages=messages)

    def _feed(self, name: str, event: Event) -> None:
        process = self.processes[name]
        wait_ms = process.suspended_until_ms - self.now_ms
        if wait_ms > 0:
            self._schedule(wait_ms, lambda: self._feed(name, event))
            return
        event.now_ms = self.now_ms
        self._perform(name, self._reduce(process, event))

    def _reduce(self, process: SimulatedProcess, event: Event) -> list[Any]:
        return process.reduce(process.state, event)

    def _perform(self, name: str, effects: list[Any]) -> None:
        process = self.processes[name]
        for effect in effects:
            if isinstance(effect, SetTimer):
                self._set_timer(process, effect)
            elif isinstance(effect, CancelTimer):
                process.timers.pop(effect.key, None)
            elif isinstance(effect, Persist):
                persisted = Persisted(now_ms=0, token=effect.token)
                self._schedule(1, lambda e=persisted: self._feed(name, e))
            elif isinstance(effect, Send):
                self._send(name, effect)
            elif isinstance(effect, Connect):
                self._connect(name, effect)
            elif isinstance(effect, Close):
                self._close(name, effect.conn)
            else:
                self._perform_other(name, effect)

    def _perform_other(self, name: str, effect: Any) -> None:
        """Perform an effect that only subclasses simulate."""

    def _serve(
        self, end: End, sender: str, conn: int, messages: list[Any]
    ) -> None:
        """Answer the messages to an upstream, which is not a process."""
        raise NotImplementedError

    def _set_timer(self, process: SimulatedProcess, effect: SetTimer) -> None:
        process.timers[effect.key] = effect.due_ms

        def fire() -> None:
            if process.timers.get(effect.key) == effect.due_ms:
                del process.timers[effect.key]
                event = TimerFired(now_ms=self.now_ms, key=effect.key)
                self._feed(process.name, event)

        self._schedule(max(0, effect.due_ms - self.now_ms), fire)

    def _send(self, name: str, effect: Send) -> None:
        end = self._ends.get((name, effect.conn))
        if end is None:
            return
        messages = list(effect.messages)
        if end.name not in self.processes:
            self._transmit(
                name,
                end,
                lambda: self._serve(end, name, effect.conn, messages),
            )
            return
        self._transmit(
            name,
            end,
            lambda: self._feed(end.name, self._received(end.conn, messages)),
        )

    def _transmit(self, sender: str, end: End, deliver: Any) -> None:
        """Deliver in order, after a delay, or once the link is healed."""
        link = frozenset((sender, end.name))

        def arrive() -> None:
            if link in self.cut_links:
                self._held.setdefault(link, []).append(arrive)
            elif self._is_open(end):
                deliver()

        key = (end.name, end.conn)
        arrival_ms = self.now_ms + self.rng.uniform(0.2, MAX_DELAY_MS)
        arrival_ms = max(arrival_ms, self._last_arrival_ms.get(key, 0) + 0.01)
        self._last_arrival_ms[key] = arrival_ms
        self._schedule(arrival_ms - self.now_ms, arrive)

    def _is_open(self, end: End) -> bool:
        return (end.name, end.conn) in self._ends

    def _connect(self, name: str, effect: Connect) -> None:
        end = End(effect.peer, next(self._numbers))
        opened = ConnOpened(
            now_ms=0, conn=effect.conn, link='upstream', peer=effect.peer
        )

        def open_conn() -> None:
            self._ends[(name, effect.conn)] = end
            self._ends[(end.name, end.conn)] = End(name, effect.conn)
            self._feed(name, opened)

        def expire() -> None:
            closed = ConnClosed(
                now_ms=0, conn=effect.conn, reason='timeout', detail=''
            )
            self._feed(name, closed)

        if frozenset((name, effect.peer)) in self.cut_links:
            self._schedule(effect.timeout_ms, expire)
        else:
            self._schedule(self.rng.uniform(1, 12), open_conn)

    def _close(self, name: str, conn: int) -> None:
        end = self._ends.pop((name, conn), None)
        if end is None:
            return
        self._ends.pop((end.name, end.conn), None)
        if end.name in self.processes:
            closed = ConnClosed(now_ms=0, conn=end.conn)
            self._schedule(MAX_DELAY_MS, lambda: self._feed(end.name, closed))
            self._schedule(
                RECONNECT_MS, lambda: self._reconnect(name, end.name)
            )

    def _reconnect(self, control: str, pooler: str) -> None:
        if frozenset((control, pooler)) in self.cut_links:
            self._schedule(
                RECONNECT_MS, lambda: self._reconnect(control, pooler)
            )
        else:
            self._link(control, pooler, 'proxy')

    def _link(self, left: str, right: str, link: str) -> None:
        ends = [
            End(left, next(self._numbers)),
            End(right, next(self._numbers)),
        ]
        self._ends[(left, ends[0].conn)] = ends[1]
        self._ends[(right, ends[1].conn)] = ends[0]
        for own, other in (ends, ends[::-1]):
            peer = other.name if link == 'peer' or own is ends[1] else ''
            self._feed(
                own.name,
                ConnOpened(
                    now_ms=self.now_ms,
                    conn=own.conn,
                    link=link,  # type: ignore[arg-type]
                    peer=peer,
                ),
            )
