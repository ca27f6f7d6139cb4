"""Upper bound on the age of the data that a replica shows."""

from __future__ import annotations

from bisect import bisect_left
from bisect import bisect_right

from jackdawpost.core.positions import LogPosition

MAX_SAMPLES = 512


class FreshnessTracker:
    """Samples of the primary's position, each with the time of its probe.

    A sample (send time, position) means that a replica which has applied
    the position shows everything committed up to the send time. Dropping
    samples is safe: ages are then overestimated.

    Parameters
    ----------
    term : int
        Current term of the group; samples of other terms do not count.
    """

    __slots__ = ('term', '_sent_ms', '_positions')

    def __init__(self, term: int = 0) -> None:
        self.term = term
        self._sent_ms: list[float] = []
        self._positions: list[LogPosition] = []

    def __len__(self) -> int:
        return len(self._sent_ms)

    def reset(self, term: int) -> None:
        """Drop all samples and start another term."""
        self.term = term
        self._sent_ms.clear()
        self._positions.clear()

    def record_sample(
        self, sent_ms: float, term: int, position: LogPosition
    ) -> bool:
        """Record the primary's answer to a probe.

        Parameters
        ----------
        sent_ms : float
            When the probe was sent, in milliseconds.
        term : int
            Term in which the primary answered.
        position : LogPosition
            Position of the primary.

        Returns
        -------
        bool
            False if the sample is ignored: it has another term, is not
            newer than the newest sample, or has a lower position.
        """
        if term != self.term:
            return False
        if self._sent_ms and sent_ms <= self._sent_ms[-1]:
            return False
        if self._positions and position < self._positions[-1]:
            return False
        if self._positions and position == self._positions[-1]:
            self._sent_ms[-1] = sent_ms
            return True
        self._sent_ms.append(sent_ms)
        self._positions.append(position)
        if len(self._sent_ms) > MAX_SAMPLES:
            self._thin_out()
        return True

    def age_ms(self, applied: LogPosition, now_ms: float) -> float | None:
        """Return an upper bound on the age of the data at a position.

        Parameters
        ----------
        applied : LogPosition
            Position that the replica has applied in the current term.
        now_ms : float
            Current time, in milliseconds.

        Returns
        -------
        float or None
            Age in milliseconds, at least zero; None if unknown, which must
            be treated as too old.
        """
        index = bisect_right(self._positions, applied) - 1
        if index < 0:
            return None
        return max(0.0, now_ms - self._sent_ms[index])

    def required_position(
        self, max_age_ms: float, now_ms: float
    ) -> LogPosition | None:
        """Return the position that a replica must have for an accepted age.

        Parameters
        ----------
        max_age_ms : float
            Accepted age, in milliseconds.
        now_ms : float
            Current time, in milliseconds.

        Returns
        -------
        LogPosition or None
            None if no sample is recent enough.
        """
        index = bisect_left(self._sent_ms, now_ms - max_age_ms)
        if index == len(self._sent_ms):
            return None
        return self._positions[index]

    def reached_ms(self, position: LogPosition) -> float | None:
        """Return a time by which the primary had reached a position.

        Parameters
        ----------
        position : LogPosition
            Position in the history of the current term.

        Returns
        -------
        float or None
            Send time of the first sample at or after the position, in
            milliseconds; None if there is no such sample.
        """
        index = bisect_left(self._positions, position)
        return self._sent_ms[index] if index < len(self._sent_ms) else None

    def _thin_out(self) -> None:
        half = len(self._sent_ms) // 2
        del self._sent_ms[1:half:2]
        del self._positions[1:half:2]
