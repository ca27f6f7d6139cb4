"""Simulation of a consensus group: network, clock and disks in memory.

The network can lose, duplicate, delay and partition messages; processes can
crash, freeze and lose their disks; writes can fail. Safety is checked after
every call of a core.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from jackdawpost.core.consensus.process import ApplyEntry
from jackdawpost.core.consensus.process import compact
from jackdawpost.core.consensus.process import confirm_leadership
from jackdawpost.core.consensus.process import ConsensusConfig
from jackdawpost.core.consensus.process import ConsensusEffect
from jackdawpost.core.consensus.process import ConsensusState
from jackdawpost.core.consensus.process import InstallSnapshot
from jackdawpost.core.consensus.process import LeadershipConfirmed
from jackdawpost.core.consensus.process import LeadershipLost
from jackdawpost.core.consensus.process import LeadershipWon
from jackdawpost.core.consensus.process import new_consensus
from jackdawpost.core.consensus.process import next_due_ms
from jackdawpost.core.consensus.process import persist_failed
from jackdawpost.core.consensus.process import persisted
from jackdawpost.core.consensus.process import propose
from jackdawpost.core.consensus.process import receive
from jackdawpost.core.consensus.process import RestoredState
from jackdawpost.core.consensus.process import SendToPeer
from jackdawpost.core.consensus.process import tick
from jackdawpost.core.consensus.process import WriteDurably
from jackdawpost.core.consensus.records import decode_entry
from jackdawpost.core.consensus.records import decode_snapshot


@dataclass(slots=True)
class MemoryDisk:
    """Simulated disk of one process; its content survives a crash.

    Parameters
    ----------
    failing_writes : int
        Number of upcoming writes that fail.
    writes_until_crash : int
        The process crashes during this upcoming write, counted from 1; 0
        for none.
    crash_after_sync : bool
        The crash happens after the write is durable, but before `persisted`
        is called.
    """

    node_id: str
    hard_state: bytes | None = None
    snapshot: bytes | None = None
    snapshot_index: int = 0
    entries: list[bytes] = field(default_factory=list)
    failing_writes: int = 0
    writes_until_crash: int = 0
    crash_after_sync: bool = False

    def write(self, effect: WriteDurably) -> None:
        """Perform a write atomically."""
        if effect.snapshot is not None:
            index = decode_snapshot(effect.snapshot).index
            del self.entries[: index - self.snapshot_index]
            self.snapshot = effect.snapshot
            self.snapshot_index = index
        if effect.truncate_from is not None:
            keep = max(0, effect.truncate_from - self.snapshot_index - 1)
            del self.entries[keep:]
        if effect.hard_state is not None:
            self.hard_state = effect.hard_state
        for raw in effect.entries:
            expected = self.snapshot_index + len(self.entries) + 1
            assert decode_entry(raw).index == expected, 'gap in the log'
            self.entries.append(raw)

    def restore(self) -> RestoredState:
        """Return the durable state that a restarted process loads."""
        return RestoredState(
            hard_state=self.hard_state,
            snapshot=self.snapshot,
            entries=list(self.entries),
            node_id=self.node_id,
        )


@dataclass(slots=True)
class Member:
    """One process: its core, its disk and the effects on its application.

    Parameters
    ----------
    state : ConsensusState, optional
        State of the core; None while the process is down.
    incarnation : int
        Number of starts; ticks and writes from before the last start are
        discarded.
    frozen : bool
        The process is suspended; its events are kept in `delayed_events`.
    applied : list of bytes
        Commands that the application has applied.
    confirmed : list of int
        Tokens of confirmed leadership.
    """

    name: str
    disk: MemoryDisk
    state: ConsensusState | None = None
    incarnation: int = 0
    frozen: bool = False
    next_tick_ms: float = math.inf
    applied: list[bytes] = field(default_factory=list)
    applied_index: int = 0
    confirmed: list[int] = field(default_factory=list)
    leadership_events: list[Any] = field(default_factory=list)
    delayed_events: list[tuple[Any, ...]] = field(default_factory=list)


class Group:
    """Consensus group in simulated time with safety checks at every step.

    Parameters
    ----------
    names : list of str
        First voters.
    seed : int
        Random seed of the network, the disks and the cores.
    loss, duplication : float
        Fractions of messages that are lost and delivered twice.
    message_delay_ms, write_delay_ms : tuple of float
        Bounds of the delay of a message and of a write, in milliseconds.
    """

    def __init__(
        self,
        names: list[str],
        seed: int = 1,
        loss: float = 0.0,
        duplication: float = 0.0,
        message_delay_ms: tuple[float, float] = (1.0, 3.0),
        write_delay_ms: tuple[float, float] = (0.5, 4.0),
    ) -> None:
        self.names = list(names)
        self.rng = random.Random(seed)
        self.loss = loss
        self.duplication = duplication
        self.message_delay_ms = message_delay_ms
        self.write_delay_ms = write_delay_ms
        self.now_ms = 0.0
        self.blocked_links: set[tuple[str, str]] = set()
        self.members: dict[str, Member] = {}
        self.elections: list[tuple[float, str, int]] = []
        self._queue: list[tuple[float, int, tuple[Any, ...]]] = []
        self._event_numbers = itertools.count()
        self._leader_by_term: dict[int, str] = {}
        self._entry_by_position: dict[tuple[int, int], tuple[bytes, int]] = {}
        self._committed_by_index: dict[int, bytes] = {}
        self._tokens = itertools.count(1)
        self._confirm_requests: dict[int, tuple[str, int, int]] = {}
        for name in names:
            self.add_process(name)

    # -- processes ----------------------------------------------------------

    def wipe(self, name: str) -> None:
        """Restart a process with an empty disk and a new node id."""
        self.crash(name)
        self.members[name].disk = self._new_disk(name)
        self.start(name)

    def _new_disk(self, name: str) -> MemoryDisk:
        return MemoryDisk(f'{name}-{self.rng.getrandbits(32):08x}')

    def add_process(self, name: str, voters: list[str] | None = None) -> None:
        """Add a process with an empty disk and start it."""
        self.members[name] = Member(name, self._new_disk(name))
        self.start(name, voters)

    def start(self, name: str, voters: list[str] | None = None) -> None:
        """Start a process from the content of its disk."""
        member = self.members[name]
        member.incarnation += 1
        member.applied = []
        member.applied_index = 0
        cfg = ConsensusConfig(name=name, voters=voters or self.names)
        member.state = new_consensus(
            cfg,
            random.Random(self.rng.getrandbits(32)),
            member.disk.restore(),
            self.now_ms,
        )
        member.next_tick_ms = math.inf
        self._schedule_tick(member)

    def crash(self, name: str) -> None:
        """Crash a process; only the content of its disk survives."""
        member = self.members[name]
        member.state = None
        member.frozen = False
        member.delayed_events = []

    def freeze(self, name: str) -> None:
        """Suspend a process; its events are delayed until `thaw`."""
        self.members[name].frozen = True

    def thaw(self, name: str) -> None:
        """Resume a suspended process and deliver its delayed events."""
        member = self.members[name]
        member.frozen = False
        delayed_events = member.delayed_events
        member.delayed_events = []
        for event in delayed_events:
            self._schedule_event(0, event)

    # -- network ------------------------------------------------------------

    def isolate(self, name: str) -> None:
        """Block all links of a process in both directions."""
        for other in self.members:
            self.blocked_links |= {(name, other), (other, name)}

    def split(self, *sides: list[str]) -> None:
        """Partition the network: links between the sides are blocked."""
        for side in sides:
            for name in side:
                for other in self.members:
                    if other not in side:
                        self.blocked_links |= {(name, other), (other, name)}

    def heal(self) -> None:
        """Unblock all links."""
        self.blocked_links.clear()

    # -- simulated time and calls of the cores ------------------------------

    def run(
        self, duration_ms: float, until: Callable[[], bool] | None = None
    ) -> bool:
        """Advance the time by `duration_ms`, or until a condition holds.

        Returns
        -------
        bool
            Whether the condition `until` was met.
        """
        end = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end:
            self.now_ms, _, event = heapq.heappop(self._queue)
            self._handle_event(event)
            if until is not None and until():
                return True
        self.now_ms = end
        return False

    def leader(self) -> str | None:
        """Return the leader of the highest term, or None.

        Only leaders that have emitted `LeadershipWon` are considered.
        """
        leaders = [
            (member.state.term, name)
            for name, member in self.members.items()
            if member.state is not None
            and member.state.role == 'leader'
            and member.state.leadership_won
        ]
        return max(leaders)[1] if leaders else None

    def wait_for_leader(self, limit_ms: float = 5_000) -> str:
        """Run until there is a leader and return its name."""
        self.run(limit_ms, lambda: self.leader() is not None)
        leader = self.leader()
        assert leader is not None, 'no leader elected'
        return leader

    def state(self, name: str) -> ConsensusState:
        """Return the state of the core of a running process."""
        state = self.members[name].state
        assert state is not None, f'{name} is not running'
        return state

    def call(self, name: str, function: Callable, *args: Any) -> Any:
        """Call a function of a core and perform the returned effects."""
        member = self.members[name]
        result = function(self.state(name), self.now_ms, *args)
        value = None
        if isinstance(result, tuple):
            value, result = result
        self._perform_effects(member, result)
        self._schedule_tick(member)
        return value

    def propose(self, name: str, command: bytes) -> int | None:
        """Propose a command at one process; return its index, if any."""
        index: int | None = self.call(name, propose, command)
        return index

    def confirm(self, name: str) -> int:
        """Request confirmation of leadership from a process.

        Returns
        -------
        int
            Token of the request.
        """
        token = next(self._tokens)
        highest_term = max(self._leader_by_term, default=0)
        self._confirm_requests[token] = (
            name,
            self.state(name).term,
            highest_term,
        )
        self.call(name, confirm_leadership, token)
        return token

    def compact(self, name: str) -> None:
        """Compact the log of one process by a snapshot of its application."""
        member = self.members[name]
        snapshot = b'\n'.join(member.applied)
        self.call(name, compact, member.applied_index, snapshot)

    def applied(self, name: str) -> list[bytes]:
        """Return the commands that the application of a process applied."""
        return self.members[name].applied

    # -- events -------------------------------------------------------------

    def _schedule_event(self, delay_ms: float, event: tuple[Any, ...]) -> None:
        due_ms = self.now_ms + delay_ms
        heapq.heappush(self._queue, (due_ms, next(self._event_numbers), event))

    def _schedule_tick(self, member: Member) -> None:
        if member.state is None:
            return
        due_ms = max(self.now_ms, next_due_ms(member.state))
        if due_ms < member.next_tick_ms:
            member.next_tick_ms = due_ms
            event = ('tick', member.name, (member.incarnation, due_ms))
            self._schedule_event(due_ms - self.now_ms, event)

    def _handle_event(self, event: tuple[Any, ...]) -> None:
        kind, name, detail = event
        member = self.members[name]
        if kind == 'message' and (detail[0], name) in self.blocked_links:
            return
        if member.state is None:
            return
        if member.frozen:
            member.delayed_events.append(event)
        elif kind == 'tick':
            if detail == (member.incarnation, member.next_tick_ms):
                member.next_tick_ms = math.inf
                self.call(name, tick)
        elif kind == 'message':
            peer, message = detail
            self.call(name, receive, peer, message)
        elif detail[0] == member.incarnation:
            self._complete_write(member, detail[1])

    def _complete_write(self, member: Member, effect: WriteDurably) -> None:
        if member.disk.failing_writes:
            member.disk.failing_writes -= 1
            self.call(member.name, persist_failed, effect.token)
            return
        disk = member.disk
        disk.writes_until_crash -= 1
        if disk.writes_until_crash == 0:
            if disk.crash_after_sync:
                disk.write(effect)
            self.crash(member.name)
            return
        disk.write(effect)
        self.call(member.name, persisted, effect.token)

    def _perform_effects(
        self, member: Member, effects: list[ConsensusEffect]
    ) -> None:
        for effect in effects:
            if isinstance(effect, SendToPeer):
                self._send(member.name, effect)
            elif isinstance(effect, WriteDurably):
                delay_ms = self.rng.uniform(*self.write_delay_ms)
                write = (member.incarnation, effect)
                self._schedule_event(delay_ms, ('write', member.name, write))
            else:
                self._record_effect(member, effect)
        self._check_safety(member)

    def _send(self, name: str, effect: SendToPeer) -> None:
        if effect.peer not in self.members:
            return
        copies = 1
        if self.rng.random() < self.loss:
            copies = 0
        elif self.rng.random() < self.duplication:
            copies = 2
        for _ in range(copies):
            delay_ms = self.rng.uniform(*self.message_delay_ms)
            event = ('message', effect.peer, (name, effect.message))
            self._schedule_event(delay_ms, event)

    def _record_effect(self, member: Member, effect: ConsensusEffect) -> None:
        if isinstance(effect, ApplyEntry):
            assert effect.index == member.applied_index + 1, 'entry skipped'
            member.applied_index = effect.index
            if effect.command is not None:
                member.applied.append(effect.command)
        elif isinstance(effect, InstallSnapshot):
            member.applied_index = effect.index
            commands = effect.snapshot.split(b'\n')
            member.applied = commands if effect.snapshot else []
        elif isinstance(effect, LeadershipWon):
            term = self._term_at(member, member.applied_index)
            assert term == effect.term, (
                'LeadershipWon before an entry of its term was applied'
            )
            self.elections.append((self.now_ms, member.name, effect.term))
            member.leadership_events.append(effect)
        elif isinstance(effect, LeadershipLost):
            member.leadership_events.append(effect)
        elif isinstance(effect, LeadershipConfirmed):
            self._check_confirmation(member, effect.token)
            member.confirmed.append(effect.token)

    # -- safety -------------------------------------------------------------

    def _check_safety(self, member: Member) -> None:
        state = member.state
        assert state is not None
        if state.role == 'leader':
            known_leader = self._leader_by_term.setdefault(
                state.term, member.name
            )
            assert known_leader == member.name, 'election safety: two leaders'
        self._check_log_matching(state)
        self._check_committed(state)

    def _check_log_matching(self, state: ConsensusState) -> None:
        previous_term = state.snapshot_term
        for entry in state.log:
            key = (entry.index, entry.term)
            recorded = self._entry_by_position.setdefault(
                key, (entry.raw, previous_term)
            )
            assert recorded == (entry.raw, previous_term), (
                'log matching: entries differ'
            )
            previous_term = entry.term

    def _check_committed(self, state: ConsensusState) -> None:
        first_index = state.snapshot_index + 1
        for index in range(first_index, state.commit_index + 1):
            raw = state.log[index - first_index].raw
            recorded = self._committed_by_index.setdefault(index, raw)
            assert recorded == raw, (
                'state-machine safety: committed entries differ'
            )
        if state.role != 'leader':
            return
        for index, raw in self._committed_by_index.items():
            if index <= state.snapshot_index:
                continue
            if decode_entry(raw).term < state.term:
                assert index <= state.last_index, (
                    'leader completeness: committed entry missing'
                )
                assert state.log[index - first_index].raw == raw, (
                    'leader completeness: committed entry differs'
                )

    def _term_at(self, member: Member, index: int) -> int:
        state = member.state
        assert state is not None
        return state.log[index - state.snapshot_index - 1].term

    def _check_confirmation(self, member: Member, token: int) -> None:
        name, term, highest_term = self._confirm_requests[token]
        assert name == member.name
        assert self.state(name).term == term, 'confirmed in another term'
        assert highest_term <= term, 'confirmed by a deposed leader'
