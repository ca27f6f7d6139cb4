"""Start-time fair queuing: shares capacity between callers by weight.

Each queued statement gets a virtual start time once, when it is queued, and
the statement with the lowest one is served first. It is the virtual finish
time of the caller's previous statement, but not before the present virtual
time. A caller that queues many statements thus delays mostly its own.

Virtual time advances by the cost of each served statement, divided by the
weights of all callers with queued statements, as in a server that serves them
all at once. It is never behind the lowest queued start time. If it were the
start time of the statement being served, as in the simplest form of the
algorithm, it would stand still while new callers keep arriving, and callers
that have been served once would wait until no new ones arrive.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

# Weight of the latest statement in the moving average of its kind.
COST_WEIGHT = 0.1
# Expected slot time of a kind of which none has been served yet.
INITIAL_COST_MS = 20.0
# Very short statements have a cost, too; otherwise they would be unlimited.
MIN_COST_MS = 0.5

# Tenant, or number of the session if it has no tenant.
FairCaller = str | int


@dataclass(slots=True, kw_only=True, frozen=True)
class FairTag:
    """Place of a statement in virtual time; it is kept when queued again.

    Parameters
    ----------
    cost_ms : float
        Expected slot time, divided by the weight of the caller.
    """

    caller: FairCaller
    weight: float
    cost_ms: float
    start_ms: float


@dataclass(slots=True)
class FairClock:
    """Virtual time of a queue.

    Parameters
    ----------
    virtual_ms : float
        Present virtual time.
    finish_ms : dict
        Virtual finish time of each caller's latest statement. Callers whose
        finish time has passed may be missing.
    queued : dict
        Number of queued statements of each caller that has any.
    queued_weight : float
        Sum of the weights of those callers.
    """

    virtual_ms: float = 0.0
    finish_ms: dict[FairCaller, float] = field(default_factory=dict)
    queued: dict[FairCaller, int] = field(default_factory=dict)
    queued_weight: float = 0.0

    def build_tag(
        self,
        caller: FairCaller,
        weight: float,
        cost_ms: float,
        first_start_ms: float,
    ) -> FairTag:
        """Return the tag that a new statement would get.

        Parameters
        ----------
        cost_ms : float
            Expected slot time of the statement.
        first_start_ms : float
            Lowest queued start time; minus infinity if none is queued.
        """
        self.virtual_ms = max(self.virtual_ms, first_start_ms)
        start_ms = max(self.virtual_ms, self.finish_ms.get(caller, 0.0))
        return FairTag(
            caller=caller,
            weight=weight,
            cost_ms=max(MIN_COST_MS, cost_ms) / weight,
            start_ms=start_ms,
        )

    def charge(self, tag: FairTag) -> None:
        """Charge the caller for a statement that is queued with a new tag."""
        self.finish_ms[tag.caller] = tag.start_ms + tag.cost_ms

    def add(self, tag: FairTag) -> None:
        """Count a statement as queued."""
        count = self.queued.get(tag.caller, 0)
        if not count:
            self.queued_weight += tag.weight
        self.queued[tag.caller] = count + 1

    def remove(self, tag: FairTag, started: bool) -> None:
        """Count a statement as no longer queued.

        Parameters
        ----------
        started : bool
            False if it was removed without being served. The caller is not
            charged for it then.
        """
        if started:
            cost_ms = tag.cost_ms * tag.weight
            self.virtual_ms += cost_ms / self.queued_weight
        elif tag.caller in self.finish_ms:
            self.finish_ms[tag.caller] -= tag.cost_ms
        self.queued[tag.caller] -= 1
        if not self.queued[tag.caller]:
            del self.queued[tag.caller]
            self.queued_weight -= tag.weight
        if not self.queued:
            self._end_busy_period()
        elif len(self.finish_ms) > 2 * len(self.queued) + 64:
            self._forget_finished()

    def _end_busy_period(self) -> None:
        """Treat all callers alike again, since nobody waits."""
        self.virtual_ms = max([self.virtual_ms, *self.finish_ms.values()])
        self.finish_ms.clear()
        self.queued_weight = 0.0

    def _forget_finished(self) -> None:
        self.finish_ms = {
            caller: finish_ms
            for caller, finish_ms in self.finish_ms.items()
            if finish_ms > self.virtual_ms
        }


@dataclass(slots=True)
class SlotCosts:
    """Expected slot time by kind of statement.

    The time from sending a statement to its answer stands for the slot time.
    It includes the wait for a slot of the database, which concerns all kinds
    alike and thus makes them more similar.

    Parameters
    ----------
    mean_ms : dict
        Moving average by endpoint and whether the statement writes.
    """

    mean_ms: dict[tuple[str, bool], float] = field(default_factory=dict)

    def expected_ms(self, endpoint: str, is_write: bool) -> float:
        """Return the expected slot time of a statement."""
        return self.mean_ms.get((endpoint, is_write), INITIAL_COST_MS)

    def record(self, endpoint: str, is_write: bool, slot_ms: float) -> None:
        """Record the time that a successful statement has taken."""
        mean_ms = self.mean_ms.setdefault((endpoint, is_write), slot_ms)
        self.mean_ms[endpoint, is_write] += COST_WEIGHT * (slot_ms - mean_ms)
