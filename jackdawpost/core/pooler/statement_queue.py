"""Queue of a database group, kept in the order in which it is served.

Statements are served by priority. Within a priority, writes and reads that
may run on a replica have separate virtual times, since they compete for
different upstreams: a queue of writes that waits for the primary must not
hold up virtual time for reads. Between the two, the older statement is first.

Statements that need the same connections form a lane. If one of them finds
none, the others of the lane are not tried, so that an event after which
nothing can start costs no work per queued statement.
"""

from __future__ import annotations

import heapq
import math
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from jackdawpost.core.pooler.fair_queue import FairClock
from jackdawpost.core.pooler.fair_queue import FairTag
from jackdawpost.core.pooler.fair_queue import SlotCosts
from jackdawpost.core.pooler.overtaking import Overtaking
from jackdawpost.core.pooler.overtaking import QueuePosition

if TYPE_CHECKING:
    from jackdawpost.core.pooler.state import StatementTask

# Order of a statement within its level: virtual start time, arrival, number.
QueueKey = tuple[float, float, int]
# Priority and target of the statements of a level.
LevelKey = tuple[int, str]
# Endpoint, tenant and excluded upstreams of the statements of a lane.
LaneKey = tuple[str, str, tuple[str, ...]]
# Time, and number of the statement. A heap may hold entries of statements that
# have left the queue, so it must not keep their texts in memory.
DueTask = tuple[float, int]
# Entries of statements that have left the queue which a heap may hold besides
# one for each queued statement.
MAX_REMOVED_ENTRIES = 64


@dataclass(slots=True)
class OrderedTasks:
    """Queued statements in order.

    Parameters
    ----------
    keys, tasks : list
        Keys in ascending order, and the statements with these keys.
    """

    keys: list[QueueKey] = field(default_factory=list)
    tasks: list[StatementTask] = field(default_factory=list)

    def insert(self, key: QueueKey, task: StatementTask) -> None:
        """Insert a statement unless it is there."""
        index = bisect_left(self.keys, key)
        if index < len(self.keys) and self.keys[index] == key:
            return
        self.keys.insert(index, key)
        self.tasks.insert(index, task)

    def remove(self, key: QueueKey) -> None:
        """Remove a statement if it is there."""
        index = bisect_left(self.keys, key)
        if index < len(self.keys) and self.keys[index] == key:
            del self.keys[index]
            del self.tasks[index]


@dataclass(slots=True)
class Level:
    """Queued statements of one priority and target.

    Parameters
    ----------
    queued : OrderedTasks
        All statements, including those that back off.
    lanes : dict of LaneKey to OrderedTasks
        Statements that may start now; no lane is empty.
    """

    clock: FairClock = field(default_factory=FairClock)
    overtaking: Overtaking = field(default_factory=Overtaking)
    queued: OrderedTasks = field(default_factory=OrderedTasks)
    lanes: dict[LaneKey, OrderedTasks] = field(default_factory=dict)

    @property
    def first_start_ms(self) -> float:
        """Lowest virtual start time; minus infinity if nothing is queued."""
        return self.queued.keys[0][0] if self.queued.keys else -math.inf


@dataclass(slots=True)
class StatementQueue:
    """Queue of a database group.

    Parameters
    ----------
    levels : dict of LevelKey to Level
    backing_off : list
        Heap of the statements that may not start yet, by that time. Like
        `expiring`, it may hold statements that have left the queue.
    expiring : list
        Heap of the queued statements by the time from which they are not
        started any more.
    by_number : dict of int to StatementTask
        All queued statements.
    by_endpoint : dict of str to int
        Number of queued statements of each endpoint that has any.
    starts : int
        Number of statements that have been started.
    """

    levels: dict[LevelKey, Level] = field(default_factory=dict)
    backing_off: list[DueTask] = field(default_factory=list)
    expiring: list[DueTask] = field(default_factory=list)
    by_number: dict[int, StatementTask] = field(default_factory=dict)
    by_endpoint: dict[str, int] = field(default_factory=dict)
    costs: SlotCosts = field(default_factory=SlotCosts)
    size: int = 0
    starts: int = 0

    def __len__(self) -> int:
        return self.size

    def build_tag(self, task: StatementTask, weight: float) -> FairTag:
        """Return the tag with which a new statement would be queued."""
        session = task.session
        assert session is not None
        level = self.levels.setdefault(_level_key(task), Level())
        cost_ms = self.costs.expected_ms(task.endpoint.name, task.is_write)
        return level.clock.build_tag(
            session.tenant or session.conn,
            weight,
            cost_ms,
            level.first_start_ms,
        )

    def count_ahead(self, task: StatementTask, tag: FairTag) -> int:
        """Return how many queued statements precede one with this tag."""
        own = _level_key(task)
        key = tag.start_ms, task.arrived_ms, task.number
        ahead = 0
        for level_key, level in self.levels.items():
            if level_key == own:
                ahead += bisect_left(level.queued.keys, key)
            elif level_key[0] <= own[0]:
                ahead += len(level.queued.keys)
        return ahead

    def expected_starts(self, task: StatementTask, tag: FairTag) -> float:
        """Return how many statements will be started before a new one."""
        assert task.session is not None
        overtaking = self.levels[_level_key(task)].overtaking
        ahead = self.count_ahead(task, tag)
        return overtaking.expected_starts(task.session.tenant, ahead)

    def is_lowest_priority(self, priority: int) -> bool:
        """Return whether no statement of a lower priority is queued.

        A higher number is a lower priority.
        """
        return not any(
            level.queued.keys and level_key[0] > priority
            for level_key, level in self.levels.items()
        )

    def add_new(
        self, task: StatementTask, tag: FairTag, expires_ms: float
    ) -> None:
        """Queue a new statement and charge its caller for it."""
        ahead = self.count_ahead(task, tag)
        task.position = QueuePosition(ahead=ahead, starts=self.starts)
        task.tag = tag
        self.levels[_level_key(task)].clock.charge(tag)
        self.add(task, expires_ms, task.arrived_ms)

    def add(
        self, task: StatementTask, expires_ms: float, now_ms: float
    ) -> None:
        """Queue a statement that has a tag."""
        assert task.tag is not None
        assert task.session is not None
        level = self.levels.setdefault(_level_key(task), Level())
        level.clock.add(task.tag)
        level.queued.insert(_queue_key(task), task)
        name = task.endpoint.name
        excluded = tuple(sorted(task.excluded_upstreams))
        task.lane = (name, task.session.tenant, excluded)
        self.size += 1
        self.by_number[task.number] = task
        self.by_endpoint[name] = self.by_endpoint.get(name, 0) + 1
        heapq.heappush(self.expiring, (expires_ms, task.number))
        if task.not_before_ms > now_ms:
            entry = (task.not_before_ms, task.number)
            heapq.heappush(self.backing_off, entry)
        else:
            _insert_in_lane(level, task)

    def remove(self, task: StatementTask, started: bool = False) -> None:
        """Remove a statement if it is queued.

        Parameters
        ----------
        started : bool
            True if it has been started, False if it leaves without service.
        """
        if task.lane is None or task.tag is None:
            return
        level = self.levels[_level_key(task)]
        key = _queue_key(task)
        level.queued.remove(key)
        lane = level.lanes.get(task.lane)
        if lane is not None:
            lane.remove(key)
            if not lane.keys:
                del level.lanes[task.lane]
        level.clock.remove(task.tag, started)
        if task.position is not None and task.session is not None:
            tenant = task.session.tenant
            level.overtaking.record(
                tenant, task.position, self.starts, started
            )
        self.starts += started
        task.position = None
        task.lane = None
        self.size -= 1
        self.by_number.pop(task.number, None)
        name = task.endpoint.name
        self.by_endpoint[name] -= 1
        if not self.by_endpoint[name]:
            del self.by_endpoint[name]
        self.backing_off = self._without_removed(self.backing_off)
        self.expiring = self._without_removed(self.expiring)

    def end_back_off(self, now_ms: float) -> None:
        """Let the statements start whose back-off has ended."""
        while self.backing_off and self.backing_off[0][0] <= now_ms:
            due_ms, number = heapq.heappop(self.backing_off)
            task = self.by_number.get(number)
            if task is not None and task.not_before_ms == due_ms:
                _insert_in_lane(self.levels[_level_key(task)], task)

    def pop_expired(self, now_ms: float) -> list[StatementTask]:
        """Return the statements that have expired since the last call.

        They stay queued.
        """
        found = {}
        while self.expiring and self.expiring[0][0] <= now_ms:
            _, number = heapq.heappop(self.expiring)
            if number in self.by_number:
                found[number] = self.by_number[number]
        return list(found.values())

    def next_due_ms(self, now_ms: float) -> float:
        """Return when a back-off ends or a statement expires next."""
        due_ms = math.inf
        for heap in (self.backing_off, self.expiring):
            while heap and heap[0][1] not in self.by_number:
                heapq.heappop(heap)
            if heap and heap[0][0] > now_ms:
                due_ms = min(due_ms, heap[0][0])
        return due_ms

    def _without_removed(self, heap: list[DueTask]) -> list[DueTask]:
        """Return a heap, rid of removed statements if it holds too many."""
        if len(heap) <= 2 * self.size + MAX_REMOVED_ENTRIES:
            return heap
        kept = [entry for entry in heap if entry[1] in self.by_number]
        heapq.heapify(kept)
        return kept

    def tasks(self) -> list[StatementTask]:
        """Return all queued statements."""
        return [
            task
            for level in self.levels.values()
            for task in level.queued.tasks
        ]

    def start_in_order(
        self,
        try_start: Callable[[StatementTask], bool],
        has_room: Callable[[str], bool],
        max_misses: dict[str, int],
    ) -> None:
        """Start as many statements as possible, in order.

        Parameters
        ----------
        try_start : callable
            Starts a statement; returns False if it cannot start.
        has_room : callable
            Returns whether any statement with a target might start.
        max_misses : dict of str to int
            Number of statements in a lane, by target, that are tried in vain
            before the rest of the lane is left out.
        """
        for priority in sorted({key[0] for key in self.levels}):
            walks = [
                LevelWalk(target, level.lanes)
                for (level_priority, target), level in self.levels.items()
                if level_priority == priority and level.lanes
            ]
            walks = [walk for walk in walks if has_room(walk.target)]
            while walks:
                walk = min(walks, key=LevelWalk.age_order)
                task = walk.pop()
                if try_start(task):
                    self.remove(task, started=True)
                    walk.note_started()
                    walks = [
                        w for w in walks if w.cursors and has_room(w.target)
                    ]
                else:
                    walk.note_missed(max_misses[walk.target])
                    walks = [w for w in walks if w.cursors]


class LevelWalk:
    """Walk over the lanes of a level in the order of their statements.

    Parameters
    ----------
    lanes : dict of LaneKey to OrderedTasks
        Lanes; only `note_started` allows for statements removed meanwhile.

    Attributes
    ----------
    cursors : list
        Heap of the next statement of each lane: its key, its index in the
        lane, the number of misses in the lane, and the lane's key.
    """

    def __init__(
        self, target: str, lanes: dict[LaneKey, OrderedTasks]
    ) -> None:
        self.target = target
        self.lanes = lanes
        self.cursors: list[tuple[QueueKey, int, int, LaneKey]] = [
            (lane.keys[0], 0, 0, key) for key, lane in lanes.items()
        ]
        heapq.heapify(self.cursors)
        self._popped = self.cursors[0]

    def age_order(self) -> tuple[float, int]:
        """Return arrival and number of the next statement."""
        return self.cursors[0][0][1:]

    def pop(self) -> StatementTask:
        """Return the next statement and remove it from the walk."""
        self._popped = heapq.heappop(self.cursors)
        _, index, _, key = self._popped
        return self.lanes[key].tasks[index]

    def note_started(self) -> None:
        """Go on with the lane, from which the statement was removed."""
        _, index, misses, key = self._popped
        self._push(key, index, misses)

    def note_missed(self, max_misses: int) -> None:
        """Go on with the lane unless too many could not start."""
        _, index, misses, key = self._popped
        if misses + 1 < max_misses:
            self._push(key, index + 1, misses + 1)

    def _push(self, key: LaneKey, index: int, misses: int) -> None:
        lane = self.lanes.get(key)
        if lane is not None and index < len(lane.keys):
            entry = (lane.keys[index], index, misses, key)
            heapq.heappush(self.cursors, entry)


def _level_key(task: StatementTask) -> LevelKey:
    return task.endpoint.priority, task.target


def _queue_key(task: StatementTask) -> QueueKey:
    assert task.tag is not None
    return task.tag.start_ms, task.arrived_ms, task.number


def _insert_in_lane(level: Level, task: StatementTask) -> None:
    assert task.lane is not None
    lane = level.lanes.setdefault(task.lane, OrderedTasks())
    lane.insert(_queue_key(task), task)
