"""Log positions of the primary over time, for bounded-staleness reads."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field

from jackdawpost.core.positions import LogPosition

# Longer than the staleness bounds for which replicas can be used.
RETENTION_MS = 3_000.0
# Allowance for the time between the first byte of a read and its recorded
# arrival.
ARRIVAL_MARGIN_MS = 100.0


@dataclass(slots=True)
class PositionSamples:
    """Time series of log positions of the primary.

    A sample is a pair of a send time and a position. Every commit that was
    acknowledged before the send time is at or before the position. A sample
    may be added only if the answer proved that the upstream was the primary
    at that time: a partitioned old primary would otherwise make outdated
    rows look fresh.

    Parameters
    ----------
    samples : deque of (float, LogPosition)
        Samples in ascending order.
    """

    samples: deque[tuple[float, LogPosition]] = field(default_factory=deque)

    def add(self, sent_ms: float, position: LogPosition) -> None:
        """Add the position from the answer to a request sent at `sent_ms`."""
        samples = self.samples
        if samples and position < samples[-1][1]:
            return
        if samples and sent_ms <= samples[-1][0]:
            # The answer to a later request has arrived first.
            return
        samples.append((sent_ms, position))
        while samples[0][0] < sent_ms - RETENTION_MS:
            samples.popleft()

    def newest_ms(self) -> float | None:
        """Return the send time of the latest sample."""
        return self.samples[-1][0] if self.samples else None

    def oldest_position(self) -> LogPosition | None:
        """Return the position of the oldest retained sample."""
        return self.samples[0][1] if self.samples else None

    def oldest_within(
        self, arrived_ms: float, max_age_ms: float
    ) -> LogPosition | None:
        """Return the lowest log position that satisfies a staleness bound.

        Parameters
        ----------
        arrived_ms : float
            Arrival time of the read, in milliseconds.
        max_age_ms : float
            Maximum staleness that the caller accepts, in milliseconds.

        Returns
        -------
        LogPosition or None
            None if no sample is recent enough.
        """
        earliest_ms = arrived_ms - max_age_ms + ARRIVAL_MARGIN_MS
        for sent_ms, position in self.samples:
            if sent_ms >= earliest_ms:
                return position
        return None
