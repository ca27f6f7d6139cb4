"""Proved positions of a primary, for reads of a bounded age."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field

from jackdawpost.core.positions import LogPosition

RETENTION_MS = 3_000.0  # longer than the allowances that replicas can serve
# Between the first byte of a read and the time at which it is taken up.
ARRIVAL_MARGIN_MS = 100.0


@dataclass(slots=True)
class PositionSamples:
    """Positions that the primary held at known times.

    A sample says that every commit acknowledged before `sent_ms` is at or
    before its position. It counts only if the upstream's answer proved that
    it led when it was asked: an isolated old primary would otherwise pass
    old rows as fresh.
    """

    samples: deque[tuple[float, LogPosition]] = field(default_factory=deque)

    def add(self, sent_ms: float, position: LogPosition) -> None:
        """Take a position that a request sent at `sent_ms` proved."""
        samples = self.samples
        if samples and position < samples[-1][1]:
            return
        if samples and sent_ms <= samples[-1][0]:
            # An answer overtaken by that of a later request adds nothing.
            return
        samples.append((sent_ms, position))
        while samples[0][0] < sent_ms - RETENTION_MS:
            samples.popleft()

    def newest_ms(self) -> float | None:
        """Return when the newest sample was asked for."""
        return self.samples[-1][0] if self.samples else None

    def oldest_position(self) -> LogPosition | None:
        """Return the position of the oldest sample kept."""
        return self.samples[0][1] if self.samples else None

    def oldest_within(
        self, arrived_ms: float, max_age_ms: float
    ) -> LogPosition | None:
        """Return the least position that a read may be served from.

        Parameters
        ----------
        arrived_ms : float
            When the read arrived, in milliseconds.
        max_age_ms : float
            Age that the caller accepts, in milliseconds.

        Returns
        -------
        LogPosition or None
            None if no sample is young enough.
        """
        earliest_ms = arrived_ms - max_age_ms + ARRIVAL_MARGIN_MS
        for sent_ms, position in self.samples:
            if sent_ms >= earliest_ms:
                return position
        return None
