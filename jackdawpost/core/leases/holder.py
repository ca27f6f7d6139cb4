"""Leases that a proxy holds.

A lease is the right to acknowledge writes of one group in one term.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from jackdawpost.core.messages.control import GroupLease

# The control leader waits 2% longer than the duration that it granted, and the
# proxy subtracts 2%: both clock rates may be wrong by 2% at the same time.
CLOCK_MARGIN = 0.02
MAX_OPEN_REPORTS = 64


class LeaseHolder:
    """Leases of one proxy, valid from when the answered report was sent.

    Attributes
    ----------
    grant_until_ms : float
        End of validity of the latest grant.
    config_until_ms : float
        Time until which the configuration is confirmed as current.
    """

    __slots__ = (
        '_report_sent_ms',
        '_leases',
        '_revoked_terms',
        '_last_grant',
        'grant_until_ms',
        'config_until_ms',
    )

    def __init__(self) -> None:
        self._report_sent_ms: dict[int, float] = {}
        self._leases: dict[str, tuple[int, float]] = {}
        self._revoked_terms: dict[str, int] = {}
        self._last_grant: tuple[int, float] | None = None
        self.grant_until_ms = -math.inf
        self.config_until_ms = -math.inf

    def oldest_open_ms(self) -> float | None:
        """Return when the oldest unanswered report was sent, if any."""
        return next(iter(self._report_sent_ms.values()), None)

    def note_report(self, seq: int, now_ms: float) -> None:
        """Record when the report `seq` was sent."""
        self._report_sent_ms[seq] = now_ms
        if len(self._report_sent_ms) > MAX_OPEN_REPORTS:
            del self._report_sent_ms[next(iter(self._report_sent_ms))]

    def apply_grant(
        self,
        seq: int,
        leases: Iterable[GroupLease],
        duration_ms: float,
        leader_version: int,
        own_version: int,
    ) -> bool:
        """Apply a grant, valid from when its report was sent.

        Parameters
        ----------
        seq : int
            Sequence number of the report that the grant answers.
        leases : iterable of GroupLease
            Groups and terms granted.
        duration_ms : float
            Duration of validity, in milliseconds.
        leader_version : int
            Version of the published state at the leader.
        own_version : int
            Version of the published state at this proxy; a lower one
            leaves the configuration unconfirmed until `note_version` is
            called with the leader's version.

        Returns
        -------
        bool
            False if the grant is ignored: it answers an unknown report, or
            one older than the last answered one.
        """
        sent_ms = self._report_sent_ms.get(seq)
        if sent_ms is None:
            return False
        # Grants for older reports are no longer accepted.
        self._report_sent_ms = {
            report_seq: report_ms
            for report_seq, report_ms in self._report_sent_ms.items()
            if report_seq > seq
        }
        until_ms = sent_ms + duration_ms * (1 - CLOCK_MARGIN)
        self.grant_until_ms = until_ms
        self._leases = {
            lease.group: (lease.term, until_ms)
            for lease in leases
            if lease.term > self._revoked_terms.get(lease.group, -1)
        }
        self._last_grant = (leader_version, until_ms)
        self.note_version(own_version)
        return True

    def note_version(self, own_version: int) -> None:
        """Confirm the configuration if it has reached the leader's version."""
        if self._last_grant is None or own_version < self._last_grant[0]:
            return
        self.config_until_ms = max(self.config_until_ms, self._last_grant[1])

    def withdraw(self) -> None:
        """Drop all leases, as this proxy is not a member."""
        self._leases.clear()
        self.config_until_ms = -math.inf

    def revoke(self, group: str, term: int) -> None:
        """Drop the leases of a group up to and including `term`."""
        self._revoked_terms[group] = max(
            term, self._revoked_terms.get(group, -1)
        )
        lease = self._leases.get(group)
        if lease is not None and lease[0] <= term:
            del self._leases[group]

    def is_valid(self, group: str, term: int, now_ms: float) -> bool:
        """Return whether writes of `group` may be acknowledged in `term`."""
        lease = self._leases.get(group)
        return lease is not None and lease[0] == term and now_ms < lease[1]

    def dump(self) -> dict[str, object]:
        """Return the leases as plain data."""
        return {
            'leases': {g: list(lease) for g, lease in self._leases.items()},
            'revoked': dict(self._revoked_terms),
            'open_reports': len(self._report_sent_ms),
        }
