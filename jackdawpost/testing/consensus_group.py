"""Several consensus cores over a scripted network, clock and disks."""

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
    """Durable state of one process; survives its crashes.

    Parameters
    ----------
    failing_writes : int
        Number of coming writes that fail.
    crash_in : int
        Crash the process at this one of the coming writes, counted from 1.
    crash_after_sync : bool
        The crash comes after the write is durable, but before the core
        knows.
    """

    node_id: str
    hard_state: bytes | None = None
    snapshot: bytes | None = None
    snapshot_index: int = 0
    entries: list[bytes] = field(default_factory=list)
    failing_writes: int = 0
    crash_in: int = 0
    crash_after_sync: bool = False

    def write(self, effect: WriteDurably) -> None:
        """Carry out a write as a whole."""
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
        """Return what a restarted process would load."""
        return RestoredState(
            hard_state=self.hard_state,
            snapshot=self.snapshot,
            entries=list(self.entries),
            node_id=self.node_id,
        )


@dataclass(slots=True)
class Member:
    """One process: its core, its disk and what its application saw."""

    name: str
    disk: MemoryDisk
    state: ConsensusState | None = None
    incarnation: int = 0
    frozen: bool = False
    tick_ms: float = math.inf
    applied: list[bytes] = field(default_factory=list)
    applied_index: int = 0
    confirmed: list[int] = field(default_factory=list)
    events: list[Any] = field(default_factory=list)
    delayed: list[tuple[Any, ...]] = field(default_factory=list)


class Group:
    """Consensus group in simulated time; checks safety at every step.

    Parameters
    ----------
    names : list of str
        First voters.
    seed : int
        Seed of the network, the disks and the cores.
    loss, duplication : float
        Shares of messages lost and sent twice.
    """

    def __init__(
        self,
        names: list[str],
        seed: int = 1,
        loss: float = 0.0,
        duplication: float = 0.0,
        delay_ms: tuple[float, float] = (1.0, 3.0),
        write_ms: tuple[float, float] = (0.5, 4.0),
    ) -> None:
        self.names = list(names)
        self.rng = random.Random(seed)
        self.loss = loss
        self.duplication = duplication
        self.delay_ms = delay_ms
        self.write_ms = write_ms
        self.now_ms = 0.0
        self.blocked: set[tuple[str, str]] = set()
        self.members: dict[str, Member] = {}
        self.elections: list[tuple[float, str, int]] = []
        self._queue: list[tuple[float, int, tuple[Any, ...]]] = []
        self._order = itertools.count()
        self._leaders: dict[int, str] = {}
        self._entries: dict[tuple[int, int], tuple[bytes, int]] = {}
        self._committed: dict[int, bytes] = {}
        self._tokens = itertools.count(1)
        self._asked: dict[int, tuple[str, int, int]] = {}
        for name in names:
            self.add_process(name)

    # -- processes ----------------------------------------------------------

    def wipe(self, name: str) -> None:
        """Replace a process by one with an empty disk."""
        self.crash(name)
        self.members[name].disk = self._new_disk(name)
        self.start(name)

    def _new_disk(self, name: str) -> MemoryDisk:
        return MemoryDisk(f'{name}-{self.rng.getrandbits(32):08x}')

    def add_process(self, name: str, voters: list[str] | None = None) -> None:
        """Start a process with an empty disk."""
        self.members[name] = Member(name, self._new_disk(name))
        self.start(name, voters)

    def start(self, name: str, voters: list[str] | None = None) -> None:
        """Start a process from what its disk holds."""
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
        member.tick_ms = math.inf
        self._schedule_tick(member)

    def crash(self, name: str) -> None:
        """Stop a process; only its disk remains."""
        member = self.members[name]
        member.state = None
        member.frozen = False
        member.delayed = []

    def freeze(self, name: str) -> None:
        """Suspend a process; what arrives meanwhile waits."""
        self.members[name].frozen = True

    def thaw(self, name: str) -> None:
        """Resume a suspended process."""
        member = self.members[name]
        member.frozen = False
        delayed = member.delayed
        member.delayed = []
        for event in delayed:
            self._push(0, event)

    # -- network ------------------------------------------------------------

    def isolate(self, name: str) -> None:
        """Cut a process off in both directions."""
        for other in self.members:
            self.blocked |= {(name, other), (other, name)}

    def split(self, *sides: list[str]) -> None:
        """Let processes reach only those of their own side."""
        for side in sides:
            for name in side:
                for other in self.members:
                    if other not in side:
                        self.blocked |= {(name, other), (other, name)}

    def heal(self) -> None:
        """Let every process reach every other again."""
        self.blocked.clear()

    # -- driving ------------------------------------------------------------

    def run(
        self, duration_ms: float, until: Callable[[], bool] | None = None
    ) -> bool:
        """Pass time; stop early once `until` holds and return whether."""
        end = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end:
            self.now_ms, _, event = heapq.heappop(self._queue)
            self._handle(event)
            if until is not None and until():
                return True
        self.now_ms = end
        return False

    def leader(self) -> str | None:
        """Return the leader of the highest term that reported its win."""
        leading = [
            (member.state.term, name)
            for name, member in self.members.items()
            if member.state is not None
            and member.state.role == 'leader'
            and member.state.won
        ]
        return max(leading)[1] if leading else None

    def elect(self, limit_ms: float = 5_000) -> str:
        """Run until there is a leader and return it."""
        self.run(limit_ms, lambda: self.leader() is not None)
        leader = self.leader()
        assert leader is not None, 'no leader'
        return leader

    def state(self, name: str) -> ConsensusState:
        """Return the core of a running process."""
        state = self.members[name].state
        assert state is not None, f'{name} does not run'
        return state

    def call(self, name: str, function: Callable, *args: Any) -> Any:
        """Call a function of the core and carry out its effects."""
        member = self.members[name]
        result = function(self.state(name), self.now_ms, *args)
        value = None
        if isinstance(result, tuple):
            value, result = result
        self._carry_out(member, result)
        self._schedule_tick(member)
        return value

    def propose(self, name: str, command: bytes) -> int | None:
        """Propose a command at one process."""
        index: int | None = self.call(name, propose, command)
        return index

    def confirm(self, name: str) -> int:
        """Ask one process to confirm its leadership; return the token."""
        token = next(self._tokens)
        highest = max(self._leaders, default=0)
        self._asked[token] = (name, self.state(name).term, highest)
        self.call(name, confirm_leadership, token)
        return token

    def compact(self, name: str) -> None:
        """Take a snapshot of the application of one process."""
        member = self.members[name]
        snapshot = b'\n'.join(member.applied)
        self.call(name, compact, member.applied_index, snapshot)

    def applied(self, name: str) -> list[bytes]:
        """Return the commands that one application has applied."""
        return self.members[name].applied

    # -- events -------------------------------------------------------------

    def _push(self, delay_ms: float, event: tuple[Any, ...]) -> None:
        due_ms = self.now_ms + delay_ms
        heapq.heappush(self._queue, (due_ms, next(self._order), event))

    def _schedule_tick(self, member: Member) -> None:
        if member.state is None:
            return
        due_ms = max(self.now_ms, next_due_ms(member.state))
        if due_ms < member.tick_ms:
            member.tick_ms = due_ms
            event = ('tick', member.name, (member.incarnation, due_ms))
            self._push(due_ms - self.now_ms, event)

    def _handle(self, event: tuple[Any, ...]) -> None:
        kind, name, detail = event
        member = self.members[name]
        if kind == 'message' and (detail[0], name) in self.blocked:
            return
        if member.state is None:
            return
        if member.frozen:
            member.delayed.append(event)
        elif kind == 'tick':
            if detail == (member.incarnation, member.tick_ms):
                member.tick_ms = math.inf
                self.call(name, tick)
        elif kind == 'message':
            peer, message = detail
            self.call(name, receive, peer, message)
        elif detail[0] == member.incarnation:
            self._end_write(member, detail[1])

    def _end_write(self, member: Member, effect: WriteDurably) -> None:
        if member.disk.failing_writes:
            member.disk.failing_writes -= 1
            self.call(member.name, persist_failed, effect.token)
            return
        disk = member.disk
        disk.crash_in -= 1
        if disk.crash_in == 0:
            if disk.crash_after_sync:
                disk.write(effect)
            self.crash(member.name)
            return
        disk.write(effect)
        self.call(member.name, persisted, effect.token)

    def _carry_out(
        self, member: Member, effects: list[ConsensusEffect]
    ) -> None:
        for effect in effects:
            if isinstance(effect, SendToPeer):
                self._send(member.name, effect)
            elif isinstance(effect, WriteDurably):
                delay_ms = self.rng.uniform(*self.write_ms)
                write = (member.incarnation, effect)
                self._push(delay_ms, ('write', member.name, write))
            else:
                self._report(member, effect)
        self._check(member)

    def _send(self, name: str, effect: SendToPeer) -> None:
        if effect.peer not in self.members:
            return
        copies = 1
        if self.rng.random() < self.loss:
            copies = 0
        elif self.rng.random() < self.duplication:
            copies = 2
        for _ in range(copies):
            delay_ms = self.rng.uniform(*self.delay_ms)
            event = ('message', effect.peer, (name, effect.message))
            self._push(delay_ms, event)

    def _report(self, member: Member, effect: ConsensusEffect) -> None:
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
            assert term == effect.term, 'won before its entry was applied'
            self.elections.append((self.now_ms, member.name, effect.term))
            member.events.append(effect)
        elif isinstance(effect, LeadershipLost):
            member.events.append(effect)
        elif isinstance(effect, LeadershipConfirmed):
            self._check_confirmation(member, effect.token)
            member.confirmed.append(effect.token)

    # -- safety -------------------------------------------------------------

    def _check(self, member: Member) -> None:
        state = member.state
        assert state is not None
        if state.role == 'leader':
            first = self._leaders.setdefault(state.term, member.name)
            assert first == member.name, 'election safety: two leaders'
        self._check_log_matching(state)
        self._check_committed(state)

    def _check_log_matching(self, state: ConsensusState) -> None:
        previous = state.snapshot_term
        for entry in state.log:
            key = (entry.index, entry.term)
            seen = self._entries.setdefault(key, (entry.raw, previous))
            assert seen == (entry.raw, previous), 'log matching'
            previous = entry.term

    def _check_committed(self, state: ConsensusState) -> None:
        first = state.snapshot_index + 1
        for index in range(first, state.commit_index + 1):
            raw = state.log[index - first].raw
            seen = self._committed.setdefault(index, raw)
            assert seen == raw, 'state-machine safety'
        if state.role != 'leader':
            return
        for index, raw in self._committed.items():
            if index <= state.snapshot_index:
                continue
            if decode_entry(raw).term < state.term:
                assert index <= state.last_index, 'leader completeness'
                assert state.log[index - first].raw == raw, (
                    'leader completeness'
                )

    def _term_at(self, member: Member, index: int) -> int:
        state = member.state
        assert state is not None
        return state.log[index - state.snapshot_index - 1].term

    def _check_confirmation(self, member: Member, token: int) -> None:
        name, term, highest = self._asked[token]
        assert name == member.name
        assert self.state(name).term == term, 'confirmed in another term'
        assert highest <= term, 'confirmed by a deposed leader'
