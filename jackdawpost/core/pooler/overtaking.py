"""How many statements overtake those of a tenant while they are queued.

The statements ahead of a new one do not tell how long it will wait. Later
ones of a higher priority, or of tenants that have used less of their share,
are served before it. Without a correction, a tenant at seven times its rate
had 30% of its statements refused only after 0.6 times their timeout, since
too many had been admitted.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

# Weight of the latest statement in the moving average.
RATIO_WEIGHT = 0.1
# With fewer statements ahead, the ratio is mostly chance.
MIN_AHEAD = 4
MAX_RATIO = 8.0


@dataclass(slots=True, kw_only=True)
class QueuePosition:
    """Where a statement has joined the queue.

    Parameters
    ----------
    ahead : int
        Number of statements that preceded it.
    starts : int
        Number of statements of the queue that had been started before.
    """

    ahead: int
    starts: int


@dataclass(slots=True)
class Overtaking:
    """Statements served while others wait, in proportion to those ahead.

    Parameters
    ----------
    ratios : dict of str to float
        Moving average by tenant; missing for 1.
    """

    ratios: dict[str, float] = field(default_factory=dict)

    def expected_starts(self, tenant: str, ahead: int) -> float:
        """Return how many statements will be served before a new one."""
        return ahead * max(1.0, self.ratios.get(tenant, 1.0))

    def record(
        self, tenant: str, position: QueuePosition, starts: int, started: bool
    ) -> None:
        """Record what has been served while a statement was queued.

        Parameters
        ----------
        starts : int
            Number of statements of the queue that have been started.
        started : bool
            False if the statement expired, so that still more would have
            been served before it.
        """
        if position.ahead < MIN_AHEAD:
            return
        mean = self.ratios.get(tenant, 1.0)
        ratio = min(MAX_RATIO, (starts - position.starts) / position.ahead)
        if not started:
            ratio = max(ratio, mean)
        self.ratios[tenant] = mean + RATIO_WEIGHT * (ratio - mean)
