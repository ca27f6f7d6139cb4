"""Write leases that proxies may hold, as recorded by the control leader.

A lease allows one proxy to acknowledge writes of one group in one term. The
control leader keeps the ledger in memory only. A newly elected leader starts
with an empty ledger and must assume that every joined proxy holds every
lease until the leases of its predecessor have expired.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from jackdawpost.core.messages.control import GroupLease


@dataclass(slots=True, kw_only=True)
class PendingReport:
    """Report of a proxy that is answered once leadership is confirmed.

    Parameters
    ----------
    incarnation : str
        Identity of the proxy's process.
    conn : int
        Connection on which the grant is sent.
    seq : int
        Sequence number of the report.
    received_ms : float
        Time of receipt, from which the leader counts the lease.
    """

    proxy: str
    incarnation: str
    conn: int
    seq: int
    received_ms: float


@dataclass(slots=True, kw_only=True)
class LeaseLedger:
    """Leases that may be in force, and reports waiting for a grant.

    Parameters
    ----------
    duration_ms : float
        Duration of a lease, measured by the clock of the proxy.
    clock_margin : float
        Largest relative difference between the rates of two clocks.
    elected_ms : float
        Time at which this process was elected.
    assumed : set of str
        Proxies that may hold leases granted by an earlier leader.
    holds : dict
        End of each lease by proxy, incarnation, group and term.
    granted_until : dict of str to float
        End of the last grant to each proxy. The proxy's slot permits are
        valid until then as well.
    released : dict
        Highest term whose revocation a proxy has confirmed to this leader,
        by proxy and group.
    revoked : dict of str to int
        Highest term revoked by this leader, by group.
    waiting, confirming : dict of str to PendingReport
        Latest report of each proxy that waits for the next confirmation of
        leadership, or for the running one.
    confirming_token : int, optional
        Token of the running confirmation.
    prune_due_ms : float
        Next time at which expired leases are dropped.
    """

    duration_ms: float
    clock_margin: float
    elected_ms: float
    assumed: set[str] = field(default_factory=set)
    holds: dict[tuple[str, str, str, int], float] = field(default_factory=dict)
    granted_until: dict[str, float] = field(default_factory=dict)
    released: dict[tuple[str, str], int] = field(default_factory=dict)
    revoked: dict[str, int] = field(default_factory=dict)
    waiting: dict[str, PendingReport] = field(default_factory=dict)
    confirming: dict[str, PendingReport] = field(default_factory=dict)
    confirming_token: int | None = None
    next_token: int = 1
    prune_due_ms: float = 0.0


def hold_ms(ledger: LeaseLedger) -> float:
    """Return the longest duration of a lease on the leader's clock, in ms."""
    return ledger.duration_ms * (1 + ledger.clock_margin)


def assumed_until_ms(ledger: LeaseLedger) -> float:
    """Return when all leases granted by earlier leaders have expired."""
    return ledger.elected_ms + hold_ms(ledger)


def note_report(
    ledger: LeaseLedger,
    now_ms: float,
    proxy: str,
    incarnation: str,
    conn: int,
    seq: int,
) -> None:
    """Queue a report for the next confirmation of leadership.

    It replaces an older queued report of the same proxy.
    """
    ledger.waiting[proxy] = PendingReport(
        proxy=proxy,
        incarnation=incarnation,
        conn=conn,
        seq=seq,
        received_ms=now_ms,
    )


def start_confirmation(ledger: LeaseLedger) -> int | None:
    """Start one confirmation of leadership for all queued reports.

    Returns
    -------
    int or None
        Token for the confirmation; None if no report is queued or a
        confirmation is running. Reports received during a confirmation wait
        for the next one, since the heartbeats that confirm leadership must
        be sent after the receipt of the report.
    """
    if not ledger.waiting or ledger.confirming_token is not None:
        return None
    ledger.confirming = ledger.waiting
    ledger.waiting = {}
    ledger.confirming_token = ledger.next_token
    ledger.next_token += 1
    return ledger.confirming_token


def confirmed(ledger: LeaseLedger, token: int) -> list[PendingReport]:
    """Return the reports to answer after a confirmation of leadership.

    The list is empty if the token is not that of the running confirmation.
    """
    if token != ledger.confirming_token:
        return []
    reports = list(ledger.confirming.values())
    ledger.confirming = {}
    ledger.confirming_token = None
    return reports


def record_grant(
    ledger: LeaseLedger, report: PendingReport, terms: dict[str, int]
) -> list[GroupLease]:
    """Record the leases granted in answer to a report.

    Parameters
    ----------
    terms : dict of str to int
        Terms of the groups that have a primary and no running promotion.

    Returns
    -------
    list of GroupLease
        Leases to grant: one for each group whose term is not revoked.
    """
    until_ms = report.received_ms + hold_ms(ledger)
    previous_ms = ledger.granted_until.get(report.proxy, 0)
    ledger.granted_until[report.proxy] = max(until_ms, previous_ms)
    leases = []
    for group, term in sorted(terms.items()):
        if term <= ledger.revoked.get(group, -1):
            continue
        key = (report.proxy, report.incarnation, group, term)
        ledger.holds[key] = max(until_ms, ledger.holds.get(key, 0))
        leases.append(GroupLease(group=group, term=term))
    return leases


def revoke(ledger: LeaseLedger, group: str, term: int) -> None:
    """Stop granting leases of `group` for terms up to `term`, inclusive."""
    ledger.revoked[group] = max(term, ledger.revoked.get(group, -1))


def note_revoked(
    ledger: LeaseLedger, proxy: str, incarnation: str, group: str, term: int
) -> None:
    """Record that a proxy has confirmed a revocation by this leader.

    The confirmation releases only leases of the process that sent it. A
    lease granted to an earlier process of the same proxy stays recorded
    until it expires.
    """
    if term > ledger.revoked.get(group, -1):
        return
    key = (proxy, group)
    ledger.released[key] = max(term, ledger.released.get(key, -1))
    for lease_key in list(ledger.holds):
        if (
            lease_key[:3] == (proxy, incarnation, group)
            and lease_key[3] <= term
        ):
            del ledger.holds[lease_key]


def note_restart(ledger: LeaseLedger, proxy: str, incarnation: str) -> None:
    """Drop the leases of the earlier processes of a proxy, which have ended.

    Parameters
    ----------
    incarnation : str
        Identity of the process that runs now.
    """
    for key in list(ledger.holds):
        if key[0] == proxy and key[1] != incarnation:
            del ledger.holds[key]


def holders(
    ledger: LeaseLedger, now_ms: float, group: str, term: int
) -> dict[str, float]:
    """Return the proxies that may hold a lease of a group.

    Parameters
    ----------
    term : int
        Highest term of the leases to include.

    Returns
    -------
    dict of str to float
        Latest time at which the leases of each proxy end. Empty once no
        proxy can acknowledge a write in these terms.
    """
    ends_ms: dict[str, float] = {}
    if term == 0:
        return ends_ms
    assumed_end_ms = assumed_until_ms(ledger)
    if now_ms < assumed_end_ms:
        for proxy in ledger.assumed:
            if ledger.released.get((proxy, group), -1) < term:
                ends_ms[proxy] = assumed_end_ms
    for (proxy, _, held_group, held_term), until_ms in ledger.holds.items():
        if held_group == group and held_term <= term and now_ms < until_ms:
            ends_ms[proxy] = max(until_ms, ends_ms.get(proxy, 0))
    return ends_ms


def lease_end_ms(ledger: LeaseLedger, now_ms: float, proxy: str) -> float:
    """Return when the last grant to a proxy ends; `now_ms` without one.

    Grants that it may have received from an earlier leader count as well.
    """
    ends = [ledger.granted_until.get(proxy, now_ms)]
    if proxy in ledger.assumed:
        ends.append(assumed_until_ms(ledger))
    return max([now_ms, *ends])


def forget_expired(ledger: LeaseLedger, now_ms: float) -> None:
    """Drop expired leases, at most once per lease duration.

    This bounds the size of the ledger.
    """
    if now_ms < ledger.prune_due_ms:
        return
    ledger.prune_due_ms = now_ms + hold_ms(ledger)
    for key, until_ms in list(ledger.holds.items()):
        if until_ms <= now_ms:
            del ledger.holds[key]
    for proxy, until_ms in list(ledger.granted_until.items()):
        if until_ms <= now_ms:
            del ledger.granted_until[proxy]
